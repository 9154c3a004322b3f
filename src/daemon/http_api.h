#ifndef OLEANDERGAUGE_DAEMON_HTTP_API_H
#define OLEANDERGAUGE_DAEMON_HTTP_API_H

#include <memory>

#include "daemon/messages.h"
#include "daemon/metrics.h"
#include "daemon/settings.h"

namespace oleandergauge::daemon {

/// Mailboxes of the tasks that the HTTP task sends messages to.
struct HttpApiOutputs {
  Mailbox<PartitionTaskMessage> Partitions_;
  Mailbox<ConfigTaskMessage> Config_;
  Mailbox<HostMessage> Host_;
};

/// Serves the HTTP API of callers and operators: checks keys, sends requests to
/// their home partition and replies when the answer arrives.
class HttpApi {
public:
  HttpApi(TaskThread &Thread, const Settings &Options, Metrics &HostMetrics,
          HttpApiOutputs Outputs);
  ~HttpApi();

  /// Starts to listen. Must be called on the task's thread. Throws
  /// std::runtime_error if the address cannot be bound.
  void start();
  void handle(HttpTaskMessage Message);

private:
  class Engine;
  std::unique_ptr<Engine> Engine_;
};

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_HTTP_API_H
