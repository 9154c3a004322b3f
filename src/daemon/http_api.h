#ifndef OLEANDERGAUGE_DAEMON_HTTP_API_H
#define OLEANDERGAUGE_DAEMON_HTTP_API_H

#include <memory>

#include "daemon/messages.h"
#include "daemon/metrics.h"
#include "daemon/settings.h"

namespace oleandergauge::daemon {

/// Where the HTTP task sends its messages.
struct HttpApiOutputs {
  Mailbox<PartitionTaskMessage> Partitions_;
  Mailbox<ConfigTaskMessage> Config_;
  Mailbox<HostMessage> Host_;
};

/// Serves callers and operators: checks keys, sends requests to their home
/// partition and holds each caller until the answer.
class HttpApi {
public:
  HttpApi(TaskThread &Thread, const Settings &Options, Metrics &Figures,
          HttpApiOutputs Outputs);
  ~HttpApi();

  /// Listens; on the task's thread. Throws std::runtime_error where the
  /// address cannot be bound.
  void start();
  void handle(HttpTaskMessage Message);

private:
  class Engine;
  std::unique_ptr<Engine> Engine_;
};

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_HTTP_API_H
