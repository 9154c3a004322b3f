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
      CallerServer_(Loop_,
                    [this](const std::shared_ptr<IncomingRequest> &Request) {
                      FrontEnd_.handleRequest(Request);
                    }),
      ReadinessServer_(Loop_,
                       [this](const std::shared_ptr<IncomingRequest> &Request) {
                         Request->answer(isReady() ? 200 : 503, "", {});
                       }),
      MetricsServer_(Loop_,
                     [this](const std::shared_ptr<IncomingRequest> &Request) {
                       Request->answer(200, Metrics_.renderPrometheusText(),
                                       {});
                     }),
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

/// Runs the periodic checks, and ends the process once draining is complete or
/// its time is over.
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
  if (DrainingSince_ == 0)
    return;
  const Millis Draining = Now - DrainingSince_;
  const bool Late =
      Draining > Settings_.TerminationGrace_ - StopReserve - AnswerReserve;
  if (Late)
    FrontEnd_.refuseAll();
  const bool Done =
      !Owner_ && FrontEnd_.pendingCount() == 0 && Draining > MinDrainTime;
  if (Done || Draining > Settings_.TerminationGrace_ - StopReserve)
    Loop_.stop();
}

/// Stops taking callers and releases ownership. A second call ends the process
/// at once.
void EntryHost::startDrain() {
  if (DrainingSince_ != 0) {
    Loop_.stop();
    return;
  }
  DrainingSince_ = bootTime();
  FrontEnd_.setDraining();
  Log_.logEvent("stopping", {{"owner", Owner_ ? 1 : 0}});
  if (Owner_ && !Owner_->isReleasing())
    releaseOwnership();
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
}

int EntryHost::run() {
  Log_.logEvent("started", {{"version", OLEANDERGAUGE_VERSION},
                            {"callers", Settings_.CallerAddress_}});
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
    if (!Owner_)
      return;
    Owner_->setFollowers(recentFollowers());
    Owner_->tick();
  });
  Loop_.run();
  Log_.logEvent("stopped", {});
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
