#ifndef OLEANDERGAUGE_DAEMON_CONFIG_TASK_H
#define OLEANDERGAUGE_DAEMON_CONFIG_TASK_H

#include <memory>

#include "daemon/messages.h"
#include "daemon/metrics.h"
#include "daemon/settings.h"

namespace oleandergauge::daemon {

/// Mailboxes of the tasks that the configuration task sends messages to.
struct ConfigTaskOutputs {
  Mailbox<PartitionTaskMessage> Partitions_;
  Mailbox<HttpTaskMessage> Http_;
  Mailbox<PeerTaskMessage> Peer_;
  Mailbox<HostMessage> Host_;
};

/// Maintains the configuration view and the evidence that it is the newest,
/// tracks cell members and partition owners, and commits operators' changes.
/// See decision D4 in docs/design.md.
class ConfigTask {
public:
  ConfigTask(TaskThread &Thread, const Settings &Options, Metrics &HostMetrics,
             ConfigTaskOutputs Outputs);
  /// Must run on the task's thread or after that thread has stopped.
  ~ConfigTask();

  /// Creates the clients and starts the periodic reads. Must be called on the
  /// task's thread.
  void start();
  void handle(const ConfigTaskMessage &Message);

private:
  class Engine;
  std::unique_ptr<Engine> Engine_;
};

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_CONFIG_TASK_H
