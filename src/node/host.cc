#include "node/host.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>

#include "cell.pb.h"
#include "node/entry_host.h"

namespace oleandergauge::node {
namespace {

constexpr Millis OwnerTickInterval = 10;
constexpr Millis HostTickInterval = 50;
constexpr Millis HeartbeatInterval = 200;
constexpr Millis OwnerRowReadInterval = 300;
constexpr Millis OperatorFeedWait = 1200;
constexpr Millis OperatorReadRetryDelay = 150;
/// Spread of the takeover delays of hosts that lose the owner at the same time.
constexpr Millis TakeoverDelaySpread = 250;
/// Time without a reachable owner after which the host reports not ready, so
/// that it gets no new callers.
constexpr Millis ReadyWithoutOwnerTime = 1200;
/// Minimum time after SIGTERM during which open connections are still served.
constexpr Millis MinDrainTime = 1500;
/// Time before the end of the termination grace at which the process stops in
/// any case.
constexpr Millis StopReserve = 800;
/// Time before that at which open requests are answered and new ones refused.
constexpr Millis AnswerReserve = 500;
constexpr int MetricsPort = 9464;

/// The time by which this host delays a takeover, so that hosts do not compete.
cell::Millis takeoverDelay(const platform::HostSettings &Settings) {
  // Hosts with a larger CPU share go first. The hash of the name separates
  // hosts with equal shares.
  const auto CpuShareDelay =
      static_cast<Millis>(TakeoverDelaySpread / (1 + 4 * Settings.CpuShare_));
  return CpuShareDelay +
         static_cast<Millis>(stableHash(Settings.Name_) % TakeoverDelaySpread);
}

} // namespace

EntryHost::EntryHost(std::string SettingsPath,
                     const platform::HostSettings &Settings)
    : SettingsPath_(std::move(SettingsPath)), Settings_(Settings),
      Log_(Settings.Name_), Store_(Loop_, Settings.StoreAddress_),
      Advice_(Loop_, Settings.AdviceAddress_), Context_{Loop_,  Settings_,
                                                        Store_, Advice_,
                                                        Log_,   Metrics_},
      FrontEnd_(Context_,
                [this](const cell::pb::Forward &Request) {
                  return forwardToOwner(Request);
                }),
      CallerServer_(
          Loop_,
          [this](const std::shared_ptr<IncomingRequest> &Request) {
            FrontEnd_.handleRequest(Request);
          },
          observeAnswers("callers")),
      ReadinessServer_(
          Loop_,
          [this](const std::shared_ptr<IncomingRequest> &Request) {
            Request->answer(isReady() ? 200 : 503, "", {});
          },
          observeAnswers("readiness")),
      MetricsServer_(
          Loop_,
          [this](const std::shared_ptr<IncomingRequest> &Request) {
            Request->answer(200, Metrics_.renderPrometheusText(), {});
          },
          observeAnswers("metrics")),
      PeerListener_(Loop_,
                    [this](std::unique_ptr<PeerLink> Link) {
                      acceptLink(std::move(Link));
                    }),
      Succession_(Settings.Name_, takeoverDelay(Settings)) {}

// ------------------------------------------------------- Operator's rows

/// Reads all of the operator's rows, with retries, and then watches for
/// changes.
void EntryHost::readOperatorRows() {
  Store_.readTable(platform::TableSpace::Operator, "",
                   [this](const std::optional<platform::RowPage> &Page) {
                     if (!Page) {
                       Loop_.runAfter(OperatorReadRetryDelay,
                                      [this] { readOperatorRows(); });
                       return;
                     }
                     platform::OperatorRows Read =
                         platform::keepLastRead(OperatorRows_, Page->Rows_);
                     for (const platform::Row &Each : Page->Rows_)
                       applyOperatorRow(Each, Read);
                     Read.ReadAsOf_ = Page->Version_;
                     OperatorRows_ = std::move(Read);
                     OperatorRowsVersion_ = Page->Version_;
                     publishOperatorRows();
                     watchOperatorRows();
                   });
}

/// Applies a row to \p To. Logs a row that cannot be used, once for each
/// version of it.
void EntryHost::applyOperatorRow(const platform::Row &Changed,
                                 platform::OperatorRows &To) {
  const auto Applied = platform::applyOperatorRow(Changed, To);
  if (Applied)
    return;
  std::uint64_t &LoggedVersion = UnusableOperatorRows_[Changed.Key_];
  if (LoggedVersion != Changed.Version_)
    Log_.logEvent("operator row cannot be read",
                  {{"key", Changed.Key_}, {"why", Applied.error()}});
  LoggedVersion = Changed.Version_;
}

/// Waits for changes of the operator's rows and applies them, in an endless
/// sequence of calls. Reads all rows again if the store lacks the history.
void EntryHost::watchOperatorRows() {
  Store_.watchOperatorRows(
      OperatorRowsVersion_, OperatorFeedWait,
      [this](const StoreClient::OperatorFeedAnswer &Answer) {
        if (Answer.HistoryGone_) {
          Log_.logEvent("history of the operator's rows is gone; reading anew",
                        {});
          readOperatorRows();
          return;
        }
        if (OperatorFeedDown_ == Answer.Rows_.has_value()) {
          OperatorFeedDown_ = !OperatorFeedDown_;
          Log_.logEvent(OperatorFeedDown_ ? "store lost" : "store regained",
                        {});
        }
        if (!Answer.Rows_) {
          Loop_.runAfter(OperatorReadRetryDelay,
                         [this] { watchOperatorRows(); });
          return;
        }
        for (const platform::Row &Each : Answer.Rows_->Rows_)
          applyOperatorRow(Each, OperatorRows_);
        OperatorRowsVersion_ =
            std::max(OperatorRowsVersion_, Answer.Rows_->Version_);
        if (!Answer.Rows_->Rows_.empty())
          publishOperatorRows();
        watchOperatorRows();
      });
}

/// Passes the operator's rows to the parts of this host that use them. The
/// owner gets them only after readOperatorRowsAsOwner() has succeeded.
void EntryHost::publishOperatorRows() {
  if (!OperatorRows_.DesiredState_)
    return;
  const cell::DesiredState &State = *OperatorRows_.DesiredState_;
  Log_.logDecision(
      "desired state",
      {{"version", static_cast<std::int64_t>(State.Version_)},
       {"withdrawn",
        static_cast<std::int64_t>(OperatorRows_.WithdrawnDomains_.size())}});
  FrontEnd_.setDesiredState(OperatorRows_.DesiredState_);
  CallerServer_.setLimits({State.Limits_.HeaderBytes_, State.Limits_.BodyBytes_,
                           State.Limits_.IdleTimeout_});
  if (Owner_ && OwnerHasOperatorRows_)
    Owner_->setOperatorRows(OperatorRows_);
}

// --------------------------------------------------------------- Process

std::string EntryHost::ownAddress() const {
  return Settings_.Ip_ + ":" + std::to_string(Settings_.PeerPort_);
}

/// Whether this host should get new callers.
bool EntryHost::isReady() const {
  return DrainingSince_ == 0 && OperatorRows_.DesiredState_ &&
         (isOwnerReachable() ||
          bootTime() - OwnerSeenAt_ < ReadyWithoutOwnerTime);
}

/// Runs the periodic checks.
void EntryHost::tick() {
  const Millis Now = bootTime();
  if (Owner_ && Owner_->isReady()) {
    OwnerSeenAt_ = Now;
    FrontEnd_.sendPending();
  }
  takeOverIfDue();
  handOverIfCutOffFromStore();
  handOverToLargerHost();
  removeSilentLinks();
  FrontEnd_.answerOverdue();
  Log_.flush();
  if (DrainingSince_ != 0)
    continueDrain(Now);
}

/// Ends the process once it owes nobody an answer. An answer is given when it
/// was written to the socket; it is dropped only at the end of the grace
/// period.
void EntryHost::continueDrain(Millis Now) {
  const Millis Draining = Now - DrainingSince_;
  const Millis StopAt = Settings_.TerminationGrace_ - StopReserve;
  if (StopSoon_ || Draining > StopAt - AnswerReserve)
    FrontEnd_.refuseAll();
  if (Draining > StopAt) {
    // Answers of this tick are written in the next turn of the loop.
    if (countOpenRequests() == 0 || std::exchange(LastTurnGiven_, true))
      Loop_.stop();
    return;
  }
  if (!isDrained(Draining))
    return;
  if (!Listening_) {
    Loop_.stop();
    return;
  }
  // Requests on connections that were accepted before are still read and
  // answered until the next tick.
  Listening_ = false;
  CallerServer_.stopListening();
  ReadinessServer_.stopListening();
  MetricsServer_.stopListening();
}

/// Whether all answers and frames were written and, unless a second signal has
/// arrived, all requests were read and the ownership was given up.
bool EntryHost::isDrained(Millis Draining) {
  if (FrontEnd_.pendingCount() > 0 || countOpenRequests() > 0 ||
      unsentFrameBytes() > 0)
    return false;
  if (StopSoon_)
    return true;
  return Draining > MinDrainTime && !Owner_ && !TakeoverInFlight_ &&
         !ReleaseInFlight_ && countPartlyRead() == 0;
}

std::size_t EntryHost::countOpenRequests() const {
  return CallerServer_.countOpenRequests() +
         ReadinessServer_.countOpenRequests() +
         MetricsServer_.countOpenRequests();
}

std::size_t EntryHost::countPartlyRead() {
  return CallerServer_.countPartlyRead() + ReadinessServer_.countPartlyRead() +
         MetricsServer_.countPartlyRead();
}

/// Stops taking callers and releases ownership. A second call answers all open
/// requests and ends the process as soon as the answers are written; a third
/// call ends it at once.
void EntryHost::startDrain() {
  if (StopSoon_) {
    Loop_.stop();
    return;
  }
  if (DrainingSince_ != 0) {
    StopSoon_ = true;
    Log_.logEvent(
        "stopping soon",
        {{"requests", static_cast<std::int64_t>(FrontEnd_.pendingCount())}});
    FrontEnd_.refuseAll();
    return;
  }
  DrainingSince_ = bootTime();
  FrontEnd_.setDraining();
  Log_.logEvent("stopping", {{"owner", Owner_ ? 1 : 0}});
  sendHeartbeats(); // An owner must not choose this host as its successor.
  if (Owner_ && !Owner_->isReleasing())
    releaseOwnership();
}

/// Counts the answers that were written to the socket, and counts and logs
/// those that were dropped. Status 0 is a request without an answer.
HttpServer::AnswerObserver EntryHost::observeAnswers(const char *Server) {
  return [this, Server](const AnswerReport &Report) {
    if (Report.End_ == AnswerEnd::Written) {
      Metrics_.incrementCounter("answers_written", Server);
      return;
    }
    const char *Cause = Report.End_ == AnswerEnd::ConnectionClosed
                            ? "connection closed"
                            : "process ended";
    Metrics_.incrementCounter("answers_dropped",
                              std::string(Server) + ", " + Cause);
    Log_.logDecision("answer dropped", {{"server", Server},
                                        {"path", Report.Path_},
                                        {"status", Report.Status_},
                                        {"why", Cause}});
  };
}

/// Bytes of frames on connected links that were not written to the socket yet.
std::size_t EntryHost::unsentFrameBytes() const {
  std::size_t Out = 0;
  if (OwnerLink_ && OwnerLink_->isConnected())
    Out += OwnerLink_->unsentBytes();
  for (const HostLink &Each : IncomingLinks_)
    Out += Each.Link_->unsentBytes();
  return Out;
}

/// Logs the end of the process with the answers and frames that it drops.
void EntryHost::logStop() {
  const std::size_t PartlyRead = countPartlyRead();
  const std::size_t Answers = CallerServer_.dropOpenRequests() +
                              ReadinessServer_.dropOpenRequests() +
                              MetricsServer_.dropOpenRequests();
  Log_.logEvent(
      "stopped",
      {{"dropped_answers", static_cast<std::int64_t>(Answers)},
       {"partly_read", static_cast<std::int64_t>(PartlyRead)},
       {"dropped_frame_bytes", static_cast<std::int64_t>(unsentFrameBytes())}});
}

/// Tells the followers at once that this owner has become ready, since they
/// hold requests back until they know.
void EntryHost::reportReadiness() {
  const bool IsReady = Owner_ && Owner_->isReady();
  if (IsReady && !OwnerWasReady_) {
    sendHeartbeats();
    FrontEnd_.sendPending();
  }
  OwnerWasReady_ = IsReady;
}

/// Reads the settings file again. Only the bounds and the termination grace
/// take effect without a restart.
void EntryHost::reloadSettings() {
  const auto Read = readSettings(SettingsPath_);
  if (!Read) {
    Log_.logEvent("settings not reloaded", {{"why", Read.error()}});
    return;
  }
  Settings_.Bounds_ = Read->Bounds_;
  Settings_.TerminationGrace_ = Read->TerminationGrace_;
  Log_.logEvent("settings reloaded", {{"path", SettingsPath_}});
  reportIgnoredSetting(Read->Warning_);
}

void EntryHost::reportIgnoredSetting(const std::string &Why) {
  if (!Why.empty())
    Log_.logEvent("setting ignored", {{"why", Why}});
}

int EntryHost::run() {
  Log_.logEvent("started",
                {{"version", OLEANDERGAUGE_VERSION},
                 {"callers", Settings_.CallerAddress_},
                 {"admission", Settings_.Admission_ ? "on" : "off"}});
  reportIgnoredSetting(Settings_.Warning_);
  if (!CallerServer_.listen(Settings_.CallerAddress_) ||
      !ReadinessServer_.listen(Settings_.ReadyAddress_) ||
      !PeerListener_.listen(Settings_.Ip_, Settings_.PeerPort_) ||
      !MetricsServer_.listen(Settings_.Ip_ + ":" +
                             std::to_string(MetricsPort))) {
    Log_.logEvent("an address cannot be bound",
                  {{"callers", Settings_.CallerAddress_},
                   {"ready", Settings_.ReadyAddress_}});
    return 1;
  }
  std::signal(SIGPIPE, SIG_IGN);
  Loop_.onSignal(SIGTERM, [this] { startDrain(); });
  Loop_.onSignal(SIGINT, [this] { startDrain(); });
  Loop_.onSignal(SIGHUP, [this] { reloadSettings(); });
  readOperatorRows();
  readOwnerRow();
  Loop_.runEvery(OwnerRowReadInterval, [this] { readOwnerRow(); });
  Loop_.runEvery(HostTickInterval, [this] { tick(); });
  Loop_.runEvery(HeartbeatInterval, [this] { sendHeartbeats(); });
  Loop_.runEvery(OwnerTickInterval, [this] {
    if (!Owner_) {
      OwnerWasReady_ = false;
      return;
    }
    Owner_->setFollowers(recentFollowers());
    Owner_->tick();
    reportReadiness();
  });
  Loop_.run();
  logStop();
  return 0;
}

tl::expected<platform::HostSettings, std::string>
readSettings(const std::string &Path) {
  std::ifstream In(Path);
  if (!In)
    return tl::unexpected("settings file " + Path + " cannot be read");
  std::ostringstream Text;
  Text << In.rdbuf();
  return platform::decodeSettings(Text.str());
}

int runHost(const std::string &SettingsPath,
            const platform::HostSettings &Settings) {
  EntryHost Host(SettingsPath, Settings);
  return Host.run();
}

} // namespace oleandergauge::node
