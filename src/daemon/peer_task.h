#ifndef OLEANDERGAUGE_DAEMON_PEER_TASK_H
#define OLEANDERGAUGE_DAEMON_PEER_TASK_H

#include <map>
#include <memory>

#include "daemon/messages.h"
#include "daemon/peer_link.h"
#include "daemon/settings.h"

namespace oleandergauge::daemon {

/// Mailboxes of the tasks that the peer task sends messages to.
struct PeerTaskOutputs {
  Mailbox<PartitionTaskMessage> Partitions_;
  Mailbox<ConfigTaskMessage> Config_;
};

/// Receives requests of other entry hosts, passes them to the tasks that handle
/// them and sends the replies.
class PeerTask {
public:
  PeerTask(TaskThread &Thread, const Settings &Options,
           PeerTaskOutputs Outputs);

  /// Starts to listen. Must be called on the task's thread. Throws
  /// std::runtime_error if the address cannot be bound.
  void start();
  void handle(const PeerTaskMessage &Message);

private:
  struct Waiter {
    PeerResponder Respond_;
    TimePoint ReceivedAt_;
  };

  void handleRequest(const std::string &Path, const std::string &Body,
                     PeerResponder Respond);
  void process(const HomeRequestAnswered &Answer);
  void process(const HeartbeatAnswered &Answer);
  void respond(Token Id, const std::string &Body);
  void dropExpiredWaiters();

  TaskThread &Thread_;
  const Settings &Options_;
  PeerTaskOutputs Outputs_;
  std::map<Token, Waiter> Waiters_;
  Token NextToken_ = 1;
  std::unique_ptr<PeerServer> Server_;
};

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_PEER_TASK_H
