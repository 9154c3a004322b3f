#include "daemon/http_api.h"

#include <algorithm>
#include <deque>
#include <set>
#include <utility>

#include "codec/json.h"
#include "daemon/api_reply.h"
#include "daemon/caller_api.h"
#include "daemon/dispatcher.h"
#include "daemon/forwarding.h"
#include "daemon/http_server.h"
#include "daemon/log.h"
#include "daemon/operator_api.h"
#include "daemon/peer_link.h"

namespace oleandergauge::daemon {
namespace {

constexpr Duration BusyTickInterval = std::chrono::milliseconds(10);
/// The tick interval while no request is in flight. It is longer because most
/// of the processor time of an idle host is spent on wake-ups.
constexpr Duration IdleTickInterval = std::chrono::milliseconds(50);
/// How often a draining host checks whether requests are still in flight.
constexpr Duration IdleCheckInterval = std::chrono::milliseconds(20);
/// How long a request waits for proof that the configuration is the newest.
/// After each record change a host lacks this proof until it has read the
/// records, usually for a few milliseconds.
constexpr Duration ProofWaitLimit = std::chrono::milliseconds(300);
/// Tell a caller when to try again after a refusal by an overloaded host and by
/// a draining host.
constexpr Duration OverloadRetryHint = std::chrono::milliseconds(500);
constexpr Duration DrainRetryHint = std::chrono::milliseconds(100);

/// "/v1/jobs/<id>/explain" gives {"v1", "jobs", "<id>", "explain"}.
std::vector<std::string> splitPath(const std::string &Path) {
  std::vector<std::string> Out;
  std::size_t Begin = 1;
  while (Begin < Path.size()) {
    std::size_t End = std::min(Path.find('/', Begin), Path.size());
    Out.push_back(Path.substr(Begin, End - Begin));
    Begin = End + 1;
  }
  return Out;
}

/// Returns the metric label of a route. Unknown routes share one label, so that
/// the number of label values stays small.
std::string routeLabel(const std::vector<std::string> &Segments) {
  static const std::set<std::string> KnownRoutes = {"calls", "jobs", "status",
                                                    "records", "histograms"};
  if (Segments.size() >= 2 && KnownRoutes.count(Segments[1]) != 0)
    return Segments[1];
  return Segments.size() == 1 && Segments[0] == "metrics" ? "metrics" : "other";
}

/// Returns whether a draining host refuses the route. Metrics and the status
/// page are served until the end.
bool isRefusedDuringDrain(const std::string &Route) {
  return Route == "calls" || Route == "jobs" || Route == "records";
}

} // namespace

class HttpApi::Engine {
public:
  Engine(TaskThread &Thread, const Settings &Options, Metrics &HostMetrics,
         HttpApiOutputs Outputs);

  void start();
  void receive(HttpTaskMessage Message);

private:
  void process(const HomeRequestAnswered &Answer) {
    Dispatcher_.handle(Answer);
  }
  void process(const RoutingChanged &Changed);
  void process(const PartitionsReported &Reported) {
    PartitionReport_ = Reported;
  }
  void process(const RecordChangeAnswered &Answer) {
    Operators_.handle(Answer);
  }
  void process(const RecordAnswered &Answer) { Operators_.handle(Answer); }
  void process(const ConfigLogAnswered &Answer) { Operators_.handle(Answer); }
  void process(const RefuseNewRequests &Drain);
  void process(const EndServer &End);

  /// A request that waits until the configuration is proven.
  struct HeldRequest {
    TimePoint HoldDeadline_;
    ApiRequest Request_;
    std::vector<std::string> Segments_;
    ApiResponder Respond_;
  };

  bool isConfigProven() const;
  void serveHeldRequests();
  DispatcherOutputs makeDispatcherOutputs();
  void reportIfIdle();
  void tick();
  void handleRequest(const ApiRequest &Request, ApiResponder Respond);
  std::optional<Refusal> checkAdmission(const std::string &Route) const;
  void routeRequest(const ApiRequest &Request,
                    const std::vector<std::string> &Segments,
                    ApiResponder Respond);
  bool routeJob(const ApiRequest &Request,
                const std::vector<std::string> &Segments,
                ApiResponder &Respond);
  bool routeRecord(const ApiRequest &Request,
                   const std::vector<std::string> &Segments,
                   ApiResponder &Respond);
  bool routeMetricsOrStatus(const ApiRequest &Request,
                            const ApiResponder &Respond);
  ApiReply statusPage() const;
  codec::PartitionPage partitionPage(const PartitionId &Id) const;

  TaskThread &Thread_;
  const Settings &Options_;
  Metrics &HostMetrics_;
  HttpApiOutputs Outputs_;
  std::shared_ptr<const Routing> Routing_ = std::make_shared<Routing>();
  PartitionsReported PartitionReport_;
  Dispatcher Dispatcher_;
  CallerApi Callers_;
  OperatorApi Operators_;
  std::deque<HeldRequest> HeldRequests_;
  bool Draining_ = false;
  bool IdleReported_ = false;
  bool Ending_ = false;
  std::unique_ptr<PeerClient> Peers_;
  std::unique_ptr<HttpServer> Server_;
};

HttpApi::Engine::Engine(TaskThread &Thread, const Settings &Options,
                        Metrics &HostMetrics, HttpApiOutputs Outputs)
    : Thread_(Thread), Options_(Options), HostMetrics_(HostMetrics),
      Outputs_(std::move(Outputs)),
      Dispatcher_(Options.Host_, HostMetrics, makeDispatcherOutputs()),
      Callers_(Options, HostMetrics, Dispatcher_,
               {monotonicNow, [] { return g_get_real_time() / 1000; }}),
      Operators_(Options, Outputs_.Config_) {}

DispatcherOutputs HttpApi::Engine::makeDispatcherOutputs() {
  DispatcherOutputs Out;
  Out.Local_ = Outputs_.Partitions_;
  Out.Peer_ = [this](const Member &Owner, const PartitionId &Partition,
                     const HomeRequest &Request, Duration Timeout, auto Done) {
    Peers_->request(Owner.Address_, ForwardPath,
                    codec::encodeForward(makeForward(Partition, Request)),
                    Timeout, [Done = std::move(Done)](const PeerReply &Reply) {
                      ForwardOutcome Out{Reply.Outcome_, std::nullopt};
                      if (Reply.Outcome_ == PeerOutcome::Answered)
                        Out.Answer_ = codec::decodeForwardReply(Reply.Body_);
                      Done(Out);
                    });
  };
  Out.Now_ = monotonicNow;
  return Out;
}

void HttpApi::Engine::start() {
  Peers_ = std::make_unique<PeerClient>();
  Server_ = std::make_unique<HttpServer>(
      Options_.HttpListen_, Options_.MaxBodyBytes_,
      [this](const ApiRequest &Request, ApiResponder Respond) {
        handleRequest(Request, std::move(Respond));
      });
  logLine(LogLevel::Info, "listening", {{"address", Options_.HttpListen_}});
  tick();
}

void HttpApi::Engine::tick() {
  Dispatcher_.tick();
  serveHeldRequests();
  const bool HasRequests =
      Dispatcher_.pending() > 0 || (Server_ && Server_->inFlight() > 0);
  Thread_.runAfter(HasRequests ? BusyTickInterval : IdleTickInterval,
                   [this] { tick(); });
}

void HttpApi::Engine::receive(HttpTaskMessage Message) {
  std::visit([this](const auto &Content) { process(Content); }, Message);
}

void HttpApi::Engine::process(const RoutingChanged &Changed) {
  Routing_ = Changed.Routing_;
  Callers_.setRouting(Routing_);
  Operators_.setRouting(Routing_);
  Dispatcher_.setRouting(Routing_);
  serveHeldRequests();
}

void HttpApi::Engine::process(const RefuseNewRequests &) {
  Draining_ = true;
  Thread_.runEvery(IdleCheckInterval, [this] { reportIfIdle(); });
}

void HttpApi::Engine::process(const EndServer &End) {
  Ending_ = true;
  IdleReported_ = false;
  if (!End.AnswerNow_ || !Server_)
    return;
  Draining_ = true;
  for (HeldRequest &Each : std::exchange(HeldRequests_, {})) {
    ApiReply Refused =
        refusalReply({Verdict::NotRun, RefusalReason::Draining,
                      "this host shuts down; ask another one", DrainRetryHint});
    Refused.Status_ = 503;
    Each.Respond_(std::move(Refused));
  }
  ApiReply Unknown = refusalReply(
      {Verdict::MayHaveRun, RefusalReason::Draining,
       "this host shuts down and does not know the outcome", DrainRetryHint});
  Unknown.Status_ = 504;
  Server_->replyToAll(Unknown);
}

/// Tells the host once that no request is in flight, or read in part, and ends
/// the server if asked to, so that no further request is read.
void HttpApi::Engine::reportIfIdle() {
  const bool Idle = !Server_ || Server_->openRequests() == 0;
  if (!Idle || std::exchange(IdleReported_, true))
    return;
  if (Ending_)
    Server_.reset();
  Outputs_.Host_(HttpIdle{});
}

/// Returns a refusal if the host drains or has too many requests in flight.
std::optional<Refusal>
HttpApi::Engine::checkAdmission(const std::string &Route) const {
  if (Draining_ && isRefusedDuringDrain(Route))
    return Refusal{Verdict::NotRun, RefusalReason::Draining,
                   "this host shuts down; ask another one", DrainRetryHint};
  if (Server_->inFlight() > Options_.MaxInFlight_)
    return Refusal{Verdict::NotRun, RefusalReason::QueueFull,
                   "this host has too many requests in flight",
                   OverloadRetryHint};
  return std::nullopt;
}

void HttpApi::Engine::handleRequest(const ApiRequest &Request,
                                    ApiResponder Respond) {
  std::vector<std::string> Segments = splitPath(Request.Path_);
  std::string Route = routeLabel(Segments);
  ApiResponder RespondAndCount =
      [this, Route, Respond = std::move(Respond)](const ApiReply &Answer) {
        HostMetrics_.count(
            "http_requests",
            {{"route", Route}, {"status", std::to_string(Answer.Status_)}});
        ApiReply Outgoing = Answer;
        Outgoing.CloseConnection_ = Outgoing.CloseConnection_ || Draining_;
        Respond(std::move(Outgoing));
      };
  if (std::optional<Refusal> Cause = checkAdmission(Route)) {
    ApiReply Refused = refusalReply(*Cause);
    Refused.Status_ = 503;
    RespondAndCount(std::move(Refused));
    return;
  }
  bool NeedsProof = Route == "calls" || Route == "jobs";
  if (NeedsProof && !isConfigProven())
    HeldRequests_.push_back({monotonicNow() + ProofWaitLimit, Request, Segments,
                             std::move(RespondAndCount)});
  else
    routeRequest(Request, Segments, std::move(RespondAndCount));
}

bool HttpApi::Engine::isConfigProven() const {
  return monotonicNow() < Routing_->MayActUntil_;
}

/// Routes the held requests once the configuration is proven, and those whose
/// wait is over, which their route refuses.
void HttpApi::Engine::serveHeldRequests() {
  while (!HeldRequests_.empty() &&
         (isConfigProven() ||
          HeldRequests_.front().HoldDeadline_ <= monotonicNow())) {
    HeldRequest Next = std::move(HeldRequests_.front());
    HeldRequests_.pop_front();
    routeRequest(Next.Request_, Next.Segments_, std::move(Next.Respond_));
  }
}

void HttpApi::Engine::routeRequest(const ApiRequest &Request,
                                   const std::vector<std::string> &Segments,
                                   ApiResponder Respond) {
  if (Request.Method_ == "POST" && Request.Path_ == "/v1/calls") {
    Callers_.call(Request, std::move(Respond));
    return;
  }
  if (Request.Method_ == "POST" && Request.Path_ == "/v1/jobs") {
    Callers_.submit(Request, std::move(Respond));
    return;
  }
  if (routeJob(Request, Segments, Respond) ||
      routeRecord(Request, Segments, Respond) ||
      routeMetricsOrStatus(Request, Respond))
    return;
  Respond(refusalReply({Verdict::NotRun, RefusalReason::NotFound,
                        "there is no such route", Duration(0)}));
}

bool HttpApi::Engine::routeJob(const ApiRequest &Request,
                               const std::vector<std::string> &Segments,
                               ApiResponder &Respond) {
  if (Segments.size() < 3 || Segments[0] != "v1" || Segments[1] != "jobs")
    return false;
  JobId Job(Segments[2]);
  bool IsGet = Request.Method_ == "GET";
  if (IsGet && Segments.size() == 3)
    Callers_.query(Request, Job, std::move(Respond));
  else if (IsGet && Segments.size() == 4 && Segments[3] == "explain")
    Callers_.explain(Request, Job, std::move(Respond));
  else if (Request.Method_ == "DELETE" && Segments.size() == 3)
    Callers_.cancel(Request, Job, std::move(Respond));
  else
    return false;
  return true;
}

bool HttpApi::Engine::routeRecord(const ApiRequest &Request,
                                  const std::vector<std::string> &Segments,
                                  ApiResponder &Respond) {
  const std::string &Method = Request.Method_;
  if (Method == "GET" && Request.Path_ == "/v1/records/log") {
    Operators_.log(Request, Respond);
    return true;
  }
  if (Segments.size() < 3 || Segments[0] != "v1" || Segments[1] != "records")
    return false;
  bool KnownRoutes = Method == "GET" || Method == "PUT" || Method == "DELETE";
  if (Method == "GET" && Segments.size() == 3)
    Operators_.list(Request, Segments[2], Respond);
  else if (KnownRoutes && Segments.size() == 4)
    Operators_.record(Request, Segments[2], Segments[3], Respond);
  else
    return false;
  return true;
}

bool HttpApi::Engine::routeMetricsOrStatus(const ApiRequest &Request,
                                           const ApiResponder &Respond) {
  if (Request.Method_ != "GET")
    return false;
  ApiReply Out;
  if (Request.Path_ == "/metrics") {
    Out.ContentType_ = "text/plain; version=0.0.4";
    HostMetrics_.set("http_in_flight", {},
                     static_cast<double>(Server_->inFlight()));
    Out.Body_ = HostMetrics_.exposition();
  } else if (Request.Path_ == "/v1/histograms") {
    Out.Body_ = codec::histogramsToJson(HostMetrics_.histograms());
  } else if (Request.Path_ == "/v1/status") {
    Out = statusPage();
  } else {
    return false;
  }
  Respond(std::move(Out));
  return true;
}

ApiReply HttpApi::Engine::statusPage() const {
  TimePoint Now = monotonicNow();
  codec::StatusPage Page;
  Page.Self_ = Options_.member();
  Page.Draining_ = Draining_;
  Page.MayAct_ = Now < Routing_->MayActUntil_;
  Page.OutageProven_ = Now < Routing_->OutageUntil_;
  if (Routing_->MayActUntil_ != UnknownTime)
    Page.EvidenceAge_ = Now - (Routing_->MayActUntil_ - MaxEvidenceAge);
  Page.Members_ = Routing_->Members_;
  Page.Live_ = Routing_->Live_;
  if (Routing_->View_) {
    Page.ConfigVersion_ = Routing_->View_->headVersion();
    for (const auto &[Id, Spec] : Routing_->View_->partitions())
      Page.Partitions_.push_back(partitionPage(Id));
  }
  return jsonReply(200, codec::toJson(Page));
}

codec::PartitionPage
HttpApi::Engine::partitionPage(const PartitionId &Id) const {
  codec::PartitionPage Out{Id, std::nullopt, {}};
  auto Owner = Routing_->Owners_.find(Id);
  if (Owner != Routing_->Owners_.end())
    Out.Owner_ = Owner->second.Host_;
  auto Stats = PartitionReport_.Partitions_.find(Id);
  if (Stats != PartitionReport_.Partitions_.end())
    Out.Stats_ = Stats->second;
  return Out;
}

HttpApi::HttpApi(TaskThread &Thread, const Settings &Options,
                 Metrics &HostMetrics, HttpApiOutputs Outputs)
    : Engine_(std::make_unique<Engine>(Thread, Options, HostMetrics,
                                       std::move(Outputs))) {}

HttpApi::~HttpApi() = default;

void HttpApi::start() { Engine_->start(); }

void HttpApi::handle(HttpTaskMessage Message) {
  Engine_->receive(std::move(Message));
}

} // namespace oleandergauge::daemon
