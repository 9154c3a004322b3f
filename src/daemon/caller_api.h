#ifndef OLEANDERGAUGE_DAEMON_CALLER_API_H
#define OLEANDERGAUGE_DAEMON_CALLER_API_H

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "codec/json.h"
#include "daemon/dispatcher.h"
#include "daemon/http_server.h"
#include "daemon/messages.h"
#include "daemon/metrics.h"
#include "daemon/settings.h"

namespace oleandergauge::daemon {

/// The clocks that CallerApi reads.
struct CallerApiClocks {
  std::function<TimePoint()> Now_;
  std::function<std::int64_t()> UnixMs_;
};

/// Implements the HTTP routes of callers: calls, job submission, and queries,
/// explanation and cancellation of jobs. Each request is checked against a
/// configuration that is proven to be the newest before it is sent to its home
/// partition.
class CallerApi {
public:
  CallerApi(const Settings &Options, Metrics &HostMetrics,
            Dispatcher &HomeDispatcher, CallerApiClocks Clocks)
      : Options_(Options), HostMetrics_(HostMetrics),
        HomeDispatcher_(HomeDispatcher), Clocks_(std::move(Clocks)),
        Routing_(std::make_shared<Routing>()) {}

  void setRouting(std::shared_ptr<const Routing> NewRouting) {
    Routing_ = std::move(NewRouting);
  }

  /// POST /v1/calls. The reply is sent when the call has ended.
  void call(const ApiRequest &Request, ApiResponder Respond);
  /// POST /v1/jobs. The reply is sent when the job is committed.
  void submit(const ApiRequest &Request, ApiResponder Respond);
  /// GET /v1/jobs/<id>. With the query parameter "wait=1" the reply is delayed
  /// until the job has ended.
  void query(const ApiRequest &Request, const JobId &Job, ApiResponder Respond);
  /// GET /v1/jobs/<id>/explain
  void explain(const ApiRequest &Request, const JobId &Job,
               ApiResponder Respond);
  /// DELETE /v1/jobs/<id>
  void cancel(const ApiRequest &Request, const JobId &Job,
              ApiResponder Respond);

private:
  using ReplyBuilder = std::function<ApiReply(const JobStatus &)>;

  Result<JobSpec> readSpec(const ApiRequest &Request,
                           codec::SubmitEndpoint Endpoint) const;
  Result<void> checkConfigProven() const;
  /// Returns the team that the request's key belongs to, nullopt if the request
  /// carries no key, or a refusal if the key is unknown or withdrawn.
  Result<std::optional<TeamId>> teamOfKey(const ApiRequest &Request) const;
  Result<Dispatch> makeJobQuery(const ApiRequest &Request, const JobId &Job,
                                Duration Timeout) const;
  void dispatchSpec(const JobSpec &Spec, Duration Timeout,
                    ReplyBuilder BuildReply, ApiResponder Respond);
  void dispatchQuery(const ApiRequest &Request, const JobId &Job,
                     ReplyBuilder BuildReply, ApiResponder Respond);
  bool mayShowJob(bool HasKey, const JobStatus &Status) const;

  const Settings &Options_;
  Metrics &HostMetrics_;
  Dispatcher &HomeDispatcher_;
  CallerApiClocks Clocks_;
  std::shared_ptr<const Routing> Routing_;
};

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_CALLER_API_H
