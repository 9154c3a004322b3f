#ifndef OLEANDERGAUGE_DAEMON_PARTITION_TASK_H
#define OLEANDERGAUGE_DAEMON_PARTITION_TASK_H

#include <memory>

#include "daemon/messages.h"
#include "daemon/metrics.h"
#include "daemon/settings.h"

namespace oleandergauge::daemon {

/// Mailboxes of the tasks that the partition task sends messages to.
struct PartitionTaskOutputs {
  Mailbox<HttpTaskMessage> Http_;
  Mailbox<PeerTaskMessage> Peer_;
  Mailbox<ConfigTaskMessage> Config_;
  Mailbox<HostMessage> Host_;
};

/// Runs one Partition state machine for each configured partition, as its owner
/// or as a challenger for its lease. Delivers events to the state machines,
/// executes their effects with its own clients and records metrics.
class PartitionTask {
public:
  PartitionTask(TaskThread &Thread, const Settings &Options,
                Metrics &HostMetrics, PartitionTaskOutputs Outputs);
  /// Must run on the task's thread after the loop has ended, or after that
  /// thread has stopped.
  ~PartitionTask();

  /// Creates the clients and starts the periodic ticks. Must be called on the
  /// task's thread.
  void start();
  void handle(PartitionTaskMessage Message);

private:
  class Engine;
  std::unique_ptr<Engine> Engine_;
};

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_PARTITION_TASK_H
