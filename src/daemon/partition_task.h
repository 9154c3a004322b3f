#ifndef OLEANDERGAUGE_DAEMON_PARTITION_TASK_H
#define OLEANDERGAUGE_DAEMON_PARTITION_TASK_H

#include <memory>

#include "daemon/messages.h"
#include "daemon/metrics.h"
#include "daemon/settings.h"

namespace oleandergauge::daemon {

/// Where the partition task sends its messages.
struct PartitionTaskOutputs {
  Mailbox<HttpTaskMessage> Http_;
  Mailbox<PeerTaskMessage> Peer_;
  Mailbox<ConfigTaskMessage> Config_;
  Mailbox<HostMessage> Host_;
};

/// Runs one Partition for each configured partition, as challenger or owner:
/// feeds events, executes effects with its own clients, and measures.
class PartitionTask {
public:
  PartitionTask(TaskThread &Thread, const Settings &Options,
                Metrics &HostMetrics, PartitionTaskOutputs Outputs);
  /// To be destroyed after its thread has stopped.
  ~PartitionTask();

  /// Makes the clients and starts to tick; on the task's thread.
  void start();
  void handle(PartitionTaskMessage Message);

private:
  class Engine;
  std::unique_ptr<Engine> Engine_;
};

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_PARTITION_TASK_H
