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

constexpr Duration DispatchInterval = std::chrono::milliseconds(10);
/// While no request is in flight; idle wake-ups are most of an idle host's
/// processor time.
constexpr Duration IdleDispatchInterval = std::chrono::milliseconds(50);
constexpr Duration IdleCheckInterval = std::chrono::milliseconds(20);
/// After each change of a record a host has no proof until it has read the
/// records, mostly for a few milliseconds; requests wait this long for it.
constexpr Duration ProofHold = std::chrono::milliseconds(300);
constexpr Duration ShedRetryHint = std::chrono::milliseconds(500);
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

/// The first two segments, which are few; labels of figures must be.
std::string routeLabel(const std::vector<std::string> &Parts) {
  static const std::set<std::string> Known = {"calls", "jobs", "status",
                                              "records", "histograms"};
  if (Parts.size() >= 2 && Known.count(Parts[1]) != 0)
    return Parts[1];
  return Parts.size() == 1 && Parts[0] == "metrics" ? "metrics" : "other";
}

/// Whether the request brings new work or a new question of a caller; figures
/// and the status page are served until the end.
bool isRefusedInDrain(const std::string &Route) {
  return Route == "calls" || Route == "jobs" || Route == "records";
}

} // namespace

class HttpApi::Engine {
public:
  Engine(TaskThread &Thread, const Settings &Options, Metrics &Figures,
         HttpApiOutputs Outputs);

  void start();
  void receive(HttpTaskMessage Message);

private:
  void take(const HomeAnswered &Answer) { Home_.handle(Answer); }
  void take(const RoutingChanged &Changed);
  void take(const PartitionsReported &Reported) { Reported_ = Reported; }
  void take(const ChangeAnswered &Answer) { Operators_.handle(Answer); }
  void take(const RecordAnswered &Answer) { Operators_.handle(Answer); }
  void take(const LogAnswered &Answer) { Operators_.handle(Answer); }
  void take(const RefuseNew &Wanted);

  /// A request that waits for proof of the configuration.
  struct Held {
    TimePoint Until_;
    ApiRequest Request_;
    std::vector<std::string> Parts_;
    ApiResponder Respond_;
  };

  bool isProven() const;
  void serveHeld();
  DispatcherOutputs dispatcherOutputs();
  void checkIdle();
  void tick();
  void received(const ApiRequest &Request, ApiResponder Respond);
  std::optional<Refusal> refuseNow(const std::string &Route) const;
  void route(const ApiRequest &Request, const std::vector<std::string> &Parts,
             ApiResponder Respond);
  bool routeJob(const ApiRequest &Request,
                const std::vector<std::string> &Parts, ApiResponder &Respond);
  bool routeRecord(const ApiRequest &Request,
                   const std::vector<std::string> &Parts,
                   ApiResponder &Respond);
  bool routePage(const ApiRequest &Request, const ApiResponder &Respond);
  ApiReply statusPage() const;
  codec::PartitionPage partitionPage(const PartitionId &Id) const;

  TaskThread &Thread_;
  const Settings &Options_;
  Metrics &Figures_;
  HttpApiOutputs Outputs_;
  std::shared_ptr<const Routing> Routing_ = std::make_shared<Routing>();
  PartitionsReported Reported_;
  Dispatcher Home_;
  CallerApi Callers_;
  OperatorApi Operators_;
  std::deque<Held> Held_;
  bool Draining_ = false;
  bool IdleTold_ = false;
  std::unique_ptr<PeerClient> Peers_;
  std::unique_ptr<HttpServer> Server_;
};

HttpApi::Engine::Engine(TaskThread &Thread, const Settings &Options,
                        Metrics &Figures, HttpApiOutputs Outputs)
    : Thread_(Thread), Options_(Options), Figures_(Figures),
      Outputs_(std::move(Outputs)),
      Home_(Options.Host_, Figures, dispatcherOutputs()),
      Callers_(Options, Figures, Home_,
               {monotonicNow, [] { return g_get_real_time() / 1000; }}),
      Operators_(Options, Outputs_.Config_) {}

DispatcherOutputs HttpApi::Engine::dispatcherOutputs() {
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
        received(Request, std::move(Respond));
      });
  logLine(LogLevel::Info, "listening", {{"address", Options_.HttpListen_}});
  tick();
}

void HttpApi::Engine::tick() {
  Home_.tick();
  serveHeld();
  const bool Busy = Home_.pending() > 0 || (Server_ && Server_->inFlight() > 0);
  Thread_.after(Busy ? DispatchInterval : IdleDispatchInterval,
                [this] { tick(); });
}

void HttpApi::Engine::receive(HttpTaskMessage Message) {
  std::visit([this](const auto &Taken) { take(Taken); }, Message);
}

void HttpApi::Engine::take(const RoutingChanged &Changed) {
  Routing_ = Changed.Routing_;
  Callers_.setRouting(Routing_);
  Operators_.setRouting(Routing_);
  Home_.setRouting(Routing_);
  serveHeld();
}

void HttpApi::Engine::take(const RefuseNew &) {
  Draining_ = true;
  Thread_.every(IdleCheckInterval, [this] { checkIdle(); });
}

void HttpApi::Engine::checkIdle() {
  bool Idle = !Server_ || Server_->inFlight() == 0;
  if (Idle && !std::exchange(IdleTold_, true))
    Outputs_.Host_(HttpIdle{});
}

std::optional<Refusal>
HttpApi::Engine::refuseNow(const std::string &Route) const {
  if (Draining_ && isRefusedInDrain(Route))
    return Refusal{Verdict::NotRun, RefusalReason::Draining,
                   "this host shuts down; ask another one", DrainRetryHint};
  if (Server_->inFlight() > Options_.MaxInFlight_)
    return Refusal{Verdict::NotRun, RefusalReason::QueueFull,
                   "this host has too many requests in flight", ShedRetryHint};
  return std::nullopt;
}

void HttpApi::Engine::received(const ApiRequest &Request,
                               ApiResponder Respond) {
  std::vector<std::string> Parts = splitPath(Request.Path_);
  std::string Route = routeLabel(Parts);
  ApiResponder Counted =
      [this, Route, Respond = std::move(Respond)](const ApiReply &Answer) {
        Figures_.count(
            "http_requests",
            {{"route", Route}, {"status", std::to_string(Answer.Status_)}});
        ApiReply Sent = Answer;
        Sent.CloseConnection_ = Sent.CloseConnection_ || Draining_;
        Respond(std::move(Sent));
      };
  if (std::optional<Refusal> Why = refuseNow(Route)) {
    ApiReply Refused = refusalReply(*Why);
    Refused.Status_ = 503;
    Counted(std::move(Refused));
    return;
  }
  bool NeedsProof = Route == "calls" || Route == "jobs";
  if (NeedsProof && !isProven())
    Held_.push_back(
        {monotonicNow() + ProofHold, Request, Parts, std::move(Counted)});
  else
    route(Request, Parts, std::move(Counted));
}

bool HttpApi::Engine::isProven() const {
  return monotonicNow() < Routing_->MayActUntil_;
}

/// Serves the requests that waited for proof, and refuses those that waited
/// too long.
void HttpApi::Engine::serveHeld() {
  while (!Held_.empty() &&
         (isProven() || Held_.front().Until_ <= monotonicNow())) {
    Held Next = std::move(Held_.front());
    Held_.pop_front();
    route(Next.Request_, Next.Parts_, std::move(Next.Respond_));
  }
}

void HttpApi::Engine::route(const ApiRequest &Request,
                            const std::vector<std::string> &Parts,
                            ApiResponder Respond) {
  if (Request.Method_ == "POST" && Request.Path_ == "/v1/calls") {
    Callers_.call(Request, std::move(Respond));
    return;
  }
  if (Request.Method_ == "POST" && Request.Path_ == "/v1/jobs") {
    Callers_.submit(Request, std::move(Respond));
    return;
  }
  if (routeJob(Request, Parts, Respond) ||
      routeRecord(Request, Parts, Respond) || routePage(Request, Respond))
    return;
  Respond(refusalReply({Verdict::NotRun, RefusalReason::NotFound,
                        "there is no such route", Duration(0)}));
}

bool HttpApi::Engine::routeJob(const ApiRequest &Request,
                               const std::vector<std::string> &Parts,
                               ApiResponder &Respond) {
  if (Parts.size() < 3 || Parts[0] != "v1" || Parts[1] != "jobs")
    return false;
  JobId Job(Parts[2]);
  bool Reads = Request.Method_ == "GET";
  if (Reads && Parts.size() == 3)
    Callers_.query(Request, Job, std::move(Respond));
  else if (Reads && Parts.size() == 4 && Parts[3] == "explain")
    Callers_.explain(Request, Job, std::move(Respond));
  else if (Request.Method_ == "DELETE" && Parts.size() == 3)
    Callers_.cancel(Request, Job, std::move(Respond));
  else
    return false;
  return true;
}

bool HttpApi::Engine::routeRecord(const ApiRequest &Request,
                                  const std::vector<std::string> &Parts,
                                  ApiResponder &Respond) {
  const std::string &Method = Request.Method_;
  if (Method == "GET" && Request.Path_ == "/v1/records/log") {
    Operators_.log(Request, Respond);
    return true;
  }
  if (Parts.size() < 3 || Parts[0] != "v1" || Parts[1] != "records")
    return false;
  bool Known = Method == "GET" || Method == "PUT" || Method == "DELETE";
  if (Method == "GET" && Parts.size() == 3)
    Operators_.list(Request, Parts[2], Respond);
  else if (Known && Parts.size() == 4)
    Operators_.record(Request, Parts[2], Parts[3], Respond);
  else
    return false;
  return true;
}

bool HttpApi::Engine::routePage(const ApiRequest &Request,
                                const ApiResponder &Respond) {
  if (Request.Method_ != "GET")
    return false;
  ApiReply Out;
  if (Request.Path_ == "/metrics") {
    Out.ContentType_ = "text/plain; version=0.0.4";
    Figures_.set("http_in_flight", {},
                 static_cast<double>(Server_->inFlight()));
    Out.Body_ = Figures_.exposition();
  } else if (Request.Path_ == "/v1/histograms") {
    Out.Body_ = codec::histogramsToJson(Figures_.histograms());
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
  auto Stats = Reported_.Partitions_.find(Id);
  if (Stats != Reported_.Partitions_.end())
    Out.Stats_ = Stats->second;
  return Out;
}

HttpApi::HttpApi(TaskThread &Thread, const Settings &Options, Metrics &Figures,
                 HttpApiOutputs Outputs)
    : Engine_(std::make_unique<Engine>(Thread, Options, Figures,
                                       std::move(Outputs))) {}

HttpApi::~HttpApi() = default;

void HttpApi::start() { Engine_->start(); }

void HttpApi::handle(HttpTaskMessage Message) {
  Engine_->receive(std::move(Message));
}

} // namespace oleandergauge::daemon
