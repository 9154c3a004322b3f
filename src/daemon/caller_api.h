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

/// What CallerApi reaches the clock by.
struct CallerApiClocks {
  std::function<TimePoint()> Now_;
  std::function<std::int64_t()> UnixMs_;
};

/// The routes of callers: calls, jobs, their state, cancellation and
/// explanation. Each request is checked against a proven view before it is
/// sent to its home partition.
class CallerApi {
public:
  CallerApi(const Settings &Options, Metrics &Figures, Dispatcher &Home,
            CallerApiClocks Clocks)
      : Options_(Options), Figures_(Figures), Home_(Home),
        Clocks_(std::move(Clocks)), Routing_(std::make_shared<Routing>()) {}

  void setRouting(std::shared_ptr<const Routing> Known) {
    Routing_ = std::move(Known);
  }

  /// POST /v1/calls: answered when the call has ended.
  void call(const ApiRequest &Request, ApiResponder Respond);
  /// POST /v1/jobs: answered when the job is committed.
  void submit(const ApiRequest &Request, ApiResponder Respond);
  /// GET /v1/jobs/<id>; the query "wait=1" holds the answer until its end.
  void query(const ApiRequest &Request, const JobId &Job, ApiResponder Respond);
  /// GET /v1/jobs/<id>/explain
  void explain(const ApiRequest &Request, const JobId &Job,
               ApiResponder Respond);
  /// DELETE /v1/jobs/<id>
  void cancel(const ApiRequest &Request, const JobId &Job,
              ApiResponder Respond);

private:
  using StatusWriter = std::function<ApiReply(const JobStatus &)>;

  Result<JobSpec> readSpec(const ApiRequest &Request,
                           codec::SubmitEndpoint Endpoint) const;
  Result<void> checkEvidence() const;
  /// The team by whose key the request came; empty without a key.
  Result<std::optional<TeamId>> keyTeam(const ApiRequest &Request) const;
  Result<Dispatch> findJob(const ApiRequest &Request, const JobId &Job,
                           Duration Patience) const;
  void sendSpec(const JobSpec &Spec, Duration Patience, StatusWriter Write,
                ApiResponder Respond);
  void askJob(const ApiRequest &Request, const JobId &Job, StatusWriter Write,
              ApiResponder Respond);
  bool mayShow(bool HasKey, const JobStatus &Status) const;

  const Settings &Options_;
  Metrics &Figures_;
  Dispatcher &Home_;
  CallerApiClocks Clocks_;
  std::shared_ptr<const Routing> Routing_;
};

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_CALLER_API_H
