#include "node/host.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>

#include "cell.pb.h"
#include "node/entry_host.h"

namespace oleandergauge::node {
namespace {

constexpr Millis OwnerTick = 10;
constexpr Millis HostTick = 50;
constexpr Millis BeatPause = 200;
constexpr Millis RowPoll = 300;
constexpr Millis FeedWait = 1200;
constexpr Millis FeedRetry = 150;
/// Hosts that see the same silent owner act this far apart.
constexpr Millis SuccessionSpread = 250;
/// A host without an owner for longer takes no new callers.
constexpr Millis ReadyGrace = 1200;
/// Least time after SIGTERM in which open connections are still served.
constexpr Millis DrainTime = 1500;
/// Kept of the time that the platform grants after SIGTERM.
constexpr Millis DrainReserve = 800;
/// Before that, what is still open is answered and nothing more is taken.
constexpr Millis AnswerReserve = 500;
constexpr int MetricsPort = 9464;

cell::Millis spreadOf(const platform::HostSettings &Settings) {
  // Strong hosts come first; equal ones differ by their names.
  const auto Weak =
      static_cast<Millis>(SuccessionSpread / (1 + 4 * Settings.Strength_));
  return Weak +
         static_cast<Millis>(stableHash(Settings.Name_) % SuccessionSpread);
}

} // namespace

EntryHost::EntryHost(std::string SettingsPath,
                     const platform::HostSettings &Settings)
    : SettingsPath_(std::move(SettingsPath)), Settings_(Settings),
      Log_(Settings.Name_), Store_(Events_, Settings.StoreAddress_),
      Advice_(Events_, Settings.AdviceAddress_), Shared_{Events_, Settings_,
                                                         Store_,  Advice_,
                                                         Log_,    Counters_},
      Front_(Shared_,
             [this](const cell::pb::Forward &Request) {
               return sendToOwner(Request);
             }),
      Callers_(Events_,
               [this](const std::shared_ptr<IncomingRequest> &Request) {
                 Front_.serve(Request);
               }),
      Ready_(Events_,
             [this](const std::shared_ptr<IncomingRequest> &Request) {
               Request->answer(ready() ? 200 : 503, "", {});
             }),
      Metrics_(Events_,
               [this](const std::shared_ptr<IncomingRequest> &Request) {
                 Request->answer(200, Counters_.exposition(), {});
               }),
      Listener_(Events_,
                [this](std::unique_ptr<PeerLink> Link) {
                  acceptLink(std::move(Link));
                }),
      Succession_(Settings.Name_, spreadOf(Settings)) {}

// ------------------------------------------------------- operator's rows

void EntryHost::readOperator() {
  Store_.readTable(
      platform::Space::Operator, "",
      [this](const std::optional<platform::RowPage> &Page) {
        if (!Page) {
          Events_.after(FeedRetry, [this] { readOperator(); });
          return;
        }
        platform::OperatorRows Read;
        Read.State_ = Operator_.State_;
        for (const platform::Row &Each : Page->Rows_)
          if (!platform::applyOperatorRow(Each, Read))
            Log_.event("operator row cannot be read", {{"key", Each.Key_}});
        Operator_ = std::move(Read);
        OperatorVersion_ = Page->Version_;
        operatorChanged();
        followOperator();
      });
}

void EntryHost::followOperator() {
  Store_.waitForOperator(
      OperatorVersion_, FeedWait, [this](const StoreClient::FeedAnswer &Got) {
        if (Got.HistoryGone_) {
          Log_.event("history of the operator's rows is gone; reading anew",
                     {});
          readOperator();
          return;
        }
        if (OperatorDown_ == Got.Rows_.has_value()) {
          OperatorDown_ = !OperatorDown_;
          Log_.event(OperatorDown_ ? "store lost" : "store regained", {});
        }
        if (!Got.Rows_) {
          Events_.after(FeedRetry, [this] { followOperator(); });
          return;
        }
        for (const platform::Row &Each : Got.Rows_->Rows_)
          if (!platform::applyOperatorRow(Each, Operator_))
            Log_.event("operator row cannot be read", {{"key", Each.Key_}});
        OperatorVersion_ = std::max(OperatorVersion_, Got.Rows_->Version_);
        if (!Got.Rows_->Rows_.empty())
          operatorChanged();
        followOperator();
      });
}

void EntryHost::operatorChanged() {
  if (!Operator_.State_)
    return;
  const cell::DesiredState &State = *Operator_.State_;
  Log_.decision(
      "desired state",
      {{"version", static_cast<std::int64_t>(State.Version_)},
       {"withdrawn", static_cast<std::int64_t>(Operator_.Withdrawn_.size())}});
  Front_.setDesiredState(Operator_.State_);
  Callers_.setLimits({State.Limits_.HeaderBytes_, State.Limits_.BodyBytes_,
                      State.Limits_.IdleTimeout_});
  if (Owner_ && OwnerKnowsOperator_)
    Owner_->setOperatorRows(Operator_);
}

// --------------------------------------------------------------- process

std::string EntryHost::ownAddress() const {
  return Settings_.Ip_ + ":" + std::to_string(Settings_.PeerPort_);
}

bool EntryHost::ready() const {
  return DrainingSince_ == 0 && Operator_.State_ &&
         (ownerReachable() || bootTime() - OwnerSeen_ < ReadyGrace);
}

void EntryHost::tick() {
  const Millis Now = bootTime();
  if (Owner_ && Owner_->ready()) {
    OwnerSeen_ = Now;
    Front_.ownerReady();
  }
  tryTakeover();
  handOverWhereCutOff();
  handOverToStronger();
  dropSilentLinks();
  Front_.tick();
  Log_.flush();
  if (DrainingSince_ == 0)
    return;
  const Millis Draining = Now - DrainingSince_;
  const bool Late = Draining > Settings_.Grace_ - DrainReserve - AnswerReserve;
  if (Late)
    Front_.refuseAll();
  const bool Done = !Owner_ && Front_.pending() == 0 && Draining > DrainTime;
  if (Done || Draining > Settings_.Grace_ - DrainReserve)
    Events_.stop();
}

void EntryHost::drain() {
  if (DrainingSince_ != 0) {
    Events_.stop();
    return;
  }
  DrainingSince_ = bootTime();
  Front_.setDraining();
  Log_.event("stopping", {{"owner", Owner_ ? 1 : 0}});
  if (Owner_ && !Owner_->releasing())
    releaseOwnership();
}

void EntryHost::reload() {
  const auto Read = readSettings(SettingsPath_);
  if (!Read) {
    Log_.event("settings not reloaded", {{"why", Read.error()}});
    return;
  }
  Settings_.Bounds_ = Read->Bounds_;
  Settings_.Grace_ = Read->Grace_;
  Log_.event("settings reloaded", {{"path", SettingsPath_}});
}

int EntryHost::run() {
  Log_.event("started", {{"version", OLEANDERGAUGE_VERSION},
                         {"callers", Settings_.CallerAddress_}});
  if (!Callers_.listen(Settings_.CallerAddress_) ||
      !Ready_.listen(Settings_.ReadyAddress_) ||
      !Listener_.listen(Settings_.Ip_, Settings_.PeerPort_) ||
      !Metrics_.listen(Settings_.Ip_ + ":" + std::to_string(MetricsPort))) {
    Log_.event("an address cannot be bound",
               {{"callers", Settings_.CallerAddress_},
                {"ready", Settings_.ReadyAddress_}});
    return 1;
  }
  std::signal(SIGPIPE, SIG_IGN);
  Events_.onSignal(SIGTERM, [this] { drain(); });
  Events_.onSignal(SIGINT, [this] { drain(); });
  Events_.onSignal(SIGHUP, [this] { reload(); });
  readOperator();
  pollOwner();
  Events_.every(RowPoll, [this] { pollOwner(); });
  Events_.every(HostTick, [this] { tick(); });
  Events_.every(BeatPause, [this] { sendBeats(); });
  Events_.every(OwnerTick, [this] {
    if (!Owner_)
      return;
    Owner_->setFollowers(followers());
    Owner_->tick();
  });
  Events_.run();
  Log_.event("stopped", {});
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
