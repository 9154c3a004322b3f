#ifndef OLEANDERGAUGE_DAEMON_CONFIG_TASK_H
#define OLEANDERGAUGE_DAEMON_CONFIG_TASK_H

#include <memory>

#include "daemon/messages.h"
#include "daemon/metrics.h"
#include "daemon/settings.h"

namespace oleandergauge::daemon {

/// Where the configuration task sends its messages.
struct ConfigTaskOutputs {
  Mailbox<PartitionTaskMessage> Partitions_;
  Mailbox<HttpTaskMessage> Http_;
  Mailbox<PeerTaskMessage> Peer_;
  Mailbox<HostMessage> Host_;
};

/// Keeps the view of the records and the proof that it is the newest, knows
/// members and owners, and commits operators' changes. See decision D4 in
/// docs/design.md.
class ConfigTask {
public:
  ConfigTask(TaskThread &Thread, const Settings &Options, Metrics &Figures,
             ConfigTaskOutputs Outputs);
  /// To be destroyed on its thread, or after that has stopped.
  ~ConfigTask();

  /// Makes the clients and starts to read; on the task's thread.
  void start();
  void handle(const ConfigTaskMessage &Message);

private:
  class Engine;
  std::unique_ptr<Engine> Engine_;
};

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_CONFIG_TASK_H
