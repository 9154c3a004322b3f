#include "node/host.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>

#include "caller_calls.h"
#include "cell.pb.h"
#include "cell/ownership.h"
#include "node/front.h"
#include "node/owner.h"
#include "node/peer_link.h"

namespace oleandergauge::node {
namespace {

constexpr Millis OwnerTick = 10;
constexpr Millis HostTick = 50;
constexpr Millis BeatPause = 200;
/// Silence after which a link between hosts is given up.
constexpr Millis LinkSilence = 900;
/// An owner that has had no answer from the store for longer is replaced by a
/// host that has.
constexpr Millis StoreSilence = 1200;
/// Age of a beat up to which its sender counts as a follower: shorter than
/// any takeover.
constexpr Millis FollowerSilence = 700;
constexpr Millis RowPoll = 300;
constexpr Millis FeedWait = 1200;
constexpr Millis FeedRetry = 150;
/// Hosts that see the same silent owner act this far apart.
constexpr Millis SuccessionSpread = 250;
/// A host without an owner for longer takes no new callers.
constexpr Millis ReadyGrace = 4000;
/// Least time after SIGTERM in which open connections are still served.
constexpr Millis DrainTime = 1500;
/// Kept of the time that the platform grants after SIGTERM.
constexpr Millis DrainReserve = 800;
/// Before that, what is still open is answered and nothing more is taken.
constexpr Millis AnswerReserve = 500;
constexpr int MetricsPort = 9464;

class EntryHost {
public:
  EntryHost(std::string SettingsPath, const platform::HostSettings &Settings);
  int run();

private:
  // The operator's rows.
  void readOperator();
  void followOperator();
  void operatorChanged();
  // Ownership.
  void pollOwner();
  void tryTakeover();
  void becomeOwner(const cell::OwnerRow &Row, std::uint64_t Version,
                   Millis SentAt);
  void loseOwnership(const std::string &Why);
  void followOwner();
  void ownerLinkEnded(bool Refused);
  // Links between hosts.
  void acceptLink(std::unique_ptr<PeerLink> Link);
  void handleFromHost(const std::shared_ptr<PeerLink> &Link,
                      const Frame &Received);
  void handleFromOwner(const Frame &Received);
  void answerAdvice(const cell::pb::AdviceRequest &Request);
  void sendBeats();
  void dropLink(std::size_t At);
  void dropSilentLinks();
  bool sendToOwner(const cell::pb::Forward &Request);
  bool ownerReachable() const;
  std::string successor() const;
  std::set<std::string> followers() const;
  // Process.
  bool ready() const;
  void tick();
  void drain();
  void reload();

  struct HostLink {
    std::shared_ptr<PeerLink> Link_;
    std::string Host_; ///< Empty before its hello.
    double Strength_ = 0;
  };

  std::string SettingsPath_;
  platform::HostSettings Settings_;
  Loop Events_;
  JsonLog Log_;
  Counters Counters_;
  StoreClient Store_;
  AdviceClient Advice_;
  Context Shared_;
  Front Front_;
  HttpServer Callers_;
  HttpServer Ready_;
  HttpServer Metrics_;
  PeerListener Listener_;
  cell::Succession Succession_;
  platform::OperatorRows Operator_;
  std::uint64_t OperatorVersion_ = 0;
  bool OperatorDown_ = false;
  std::unique_ptr<Owner> Owner_;
  std::unique_ptr<PeerLink> OwnerLink_;
  std::string OwnerAddress_;
  Epoch OwnerEpoch_ = 0;
  bool OwnerSaysReady_ = false;
  Millis OwnerSeen_ = 0;
  std::vector<HostLink> Links_;
  bool Polling_ = false;
  bool TakingOver_ = false;
  /// Written by a takeover whose answer is missing.
  std::optional<cell::OwnerRow> Attempted_;
  Millis AttemptedAt_ = 0;
  Millis DrainingSince_ = 0;
};

cell::Millis spreadOf(const platform::HostSettings &Settings) {
  // Strong hosts come first; equal ones differ by their names.
  const auto Weak =
      static_cast<Millis>(SuccessionSpread / (1 + 4 * Settings.Strength_));
  return Weak +
         static_cast<Millis>(stableHash(Settings.Name_) % SuccessionSpread);
}

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
  if (Owner_)
    Owner_->setOperatorRows(Operator_);
}

// ------------------------------------------------------------- ownership

void EntryHost::pollOwner() {
  if (Owner_ || Polling_ || TakingOver_)
    return;
  Polling_ = true;
  Store_.readTable(platform::Space::Own, cell::OwnerTable,
                   [this](const std::optional<platform::RowPage> &Page) {
                     Polling_ = false;
                     if (!Page || Owner_)
                       return;
                     const cell::StoredOwner Seen = platform::ownerOf(*Page);
                     Succession_.observe(bootTime(), Seen);
                     if (Attempted_ && Seen.Row_ == *Attempted_ &&
                         DrainingSince_ == 0) {
                       // The takeover was done and its answer lost.
                       becomeOwner(Seen.Row_, Seen.Version_, AttemptedAt_);
                       return;
                     }
                     followOwner();
                   });
}

void EntryHost::followOwner() {
  const cell::OwnerRow &Row = Succession_.last().Row_;
  const bool Other = Row.Host_ != Settings_.Name_ && !Row.Released_;
  if (Row.Epoch_ < OwnerEpoch_ || Row.Address_.empty() || !Other)
    return;
  if (OwnerLink_ && OwnerAddress_ == Row.Address_ && OwnerEpoch_ == Row.Epoch_)
    return;
  if (OwnerLink_ && OwnerAddress_ != Row.Address_)
    Front_.ownerLost();
  OwnerAddress_ = Row.Address_;
  OwnerEpoch_ = Row.Epoch_;
  OwnerSaysReady_ = false;
  Succession_.setOwnerWell(false);
  OwnerLink_ = std::make_unique<PeerLink>(Events_, Row.Address_);
  OwnerLink_->onFrame(
      [this](const Frame &Received) { handleFromOwner(Received); });
  OwnerLink_->onEnd([this](bool Refused) {
    Events_.after(0, [this, Refused, Link = OwnerLink_.get()] {
      if (OwnerLink_.get() == Link)
        ownerLinkEnded(Refused);
    });
  });
  Frame Hello;
  Hello.mutable_hello()->set_host(Settings_.Name_);
  Hello.mutable_hello()->set_strength(Settings_.Strength_);
  OwnerLink_->send(Hello);
}

void EntryHost::ownerLinkEnded(bool Refused) {
  Log_.event("link to the owner lost",
             {{"address", OwnerAddress_}, {"refused", Refused ? 1 : 0}});
  OwnerLink_.reset();
  OwnerSaysReady_ = false;
  Succession_.setOwnerWell(false);
  if (Refused)
    Succession_.ownerLinkLost();
  Front_.ownerLost();
}

void EntryHost::tryTakeover() {
  if (Owner_ || TakingOver_ || DrainingSince_ != 0 || !Operator_.State_ ||
      !Succession_.mayTakeOver(bootTime()))
    return;
  TakingOver_ = true;
  Attempted_.reset();
  AttemptedAt_ = bootTime();
  cell::OwnerRow Row;
  const cell::StoredOwner Seen = Succession_.last();
  Row.Epoch_ = Seen.Row_.Epoch_ + 1;
  Row.Host_ = Settings_.Name_;
  Row.Address_ = Settings_.Ip_ + ":" + std::to_string(Settings_.PeerPort_);
  Log_.event("taking over", {{"epoch", static_cast<std::int64_t>(Row.Epoch_)},
                             {"from", Seen.Row_.Host_}});
  Store_.transact(Row, Seen.Version_, {},
                  [this, Row](const platform::TransactionAnswer &Answer) {
                    TakingOver_ = false;
                    Succession_.restart(bootTime());
                    if (Answer.Result_ == cell::TransactionResult::Done)
                      becomeOwner(Row, Answer.Version_, AttemptedAt_);
                    else if (Answer.Result_ == cell::TransactionResult::Unknown)
                      Attempted_ = Row;
                  });
}

void EntryHost::becomeOwner(const cell::OwnerRow &Row, std::uint64_t Version,
                            Millis SentAt) {
  Attempted_.reset();
  OwnerLink_.reset();
  OwnerEpoch_ = Row.Epoch_;
  Owner_ = std::make_unique<Owner>(
      Shared_, Row, Version, SentAt,
      [this](const std::string &Why) { loseOwnership(Why); });
  Owner_->start();
  // Rows that were read after the takeover are as new as any answer that a
  // former owner gave.
  Store_.readTable(platform::Space::Operator, "",
                   [this](const std::optional<platform::RowPage> &Page) {
                     if (Page)
                       for (const platform::Row &Each : Page->Rows_)
                         platform::applyOperatorRow(Each, Operator_);
                     if (Owner_)
                       operatorChanged();
                   });
}

void EntryHost::loseOwnership(const std::string &Why) {
  Log_.event("no longer owner", {{"why", Why}});
  Owner_.reset();
  Links_.clear();
  Succession_.restart(bootTime());
  Front_.ownerLost();
}

// ------------------------------------------------------ links between hosts

void EntryHost::acceptLink(std::unique_ptr<PeerLink> Link) {
  const std::shared_ptr<PeerLink> Made(std::move(Link));
  Made->onFrame([this, Raw = Made.get()](const Frame &Received) {
    for (const HostLink &Each : Links_)
      if (Each.Link_.get() == Raw) {
        handleFromHost(std::shared_ptr<PeerLink>(Each.Link_), Received);
        return;
      }
  });
  Made->onEnd([this, Raw = Made.get()](bool) {
    Events_.after(0, [this, Raw] {
      for (std::size_t At = 0; At < Links_.size(); ++At) {
        if (Links_[At].Link_.get() != Raw)
          continue;
        dropLink(At);
        return;
      }
    });
  });
  Links_.push_back({Made, "", 0});
}

void EntryHost::handleFromHost(const std::shared_ptr<PeerLink> &Link,
                               const Frame &Received) {
  switch (Received.kind_case()) {
  case Frame::kHello:
    for (HostLink &Each : Links_)
      if (Each.Link_ == Link) {
        Each.Host_ = Received.hello().host();
        Each.Strength_ = Received.hello().strength();
        if (Owner_)
          Owner_->addHost(
              Each.Host_, Each.Strength_,
              [Weak = std::weak_ptr<PeerLink>(Link)](const Frame &Message) {
                if (const auto To = Weak.lock())
                  To->send(Message);
              });
      }
    sendBeats();
    break;
  case Frame::kForward: {
    auto Answer = [Token = Received.forward().token(),
                   Weak = std::weak_ptr<PeerLink>(Link)](
                      const cell::pb::ForwardReply &Reply) {
      Frame Out;
      *Out.mutable_forward_reply() = Reply;
      Out.mutable_forward_reply()->set_token(Token);
      if (const auto To = Weak.lock())
        To->send(Out);
    };
    if (Owner_ && Owner_->ready()) {
      Owner_->handle(Received.forward(), Answer);
    } else {
      cell::pb::ForwardReply Reply;
      Reply.set_not_owner(true);
      Answer(Reply);
    }
    break;
  }
  case Frame::kAdviceReply:
    if (Owner_)
      Owner_->handle(Received.advice_reply());
    break;
  default:
    break;
  }
}

void EntryHost::handleFromOwner(const Frame &Received) {
  OwnerSeen_ = bootTime();
  switch (Received.kind_case()) {
  case Frame::kBeat: {
    const bool Was = OwnerSaysReady_;
    OwnerSaysReady_ = Received.beat().owner_ready();
    Succession_.setOwnerWell(Received.beat().epoch() == OwnerEpoch_ &&
                             Received.beat().store_age_ms() < StoreSilence);
    Succession_.setPreferred(Received.beat().successor() == Settings_.Name_);
    if (OwnerSaysReady_)
      Front_.ownerReady();
    if (OwnerSaysReady_ != Was)
      Log_.event(OwnerSaysReady_ ? "owner reachable" : "owner not ready",
                 {{"address", OwnerAddress_},
                  {"epoch", static_cast<std::int64_t>(OwnerEpoch_)}});
    break;
  }
  case Frame::kForwardReply:
    Front_.handle(Received.forward_reply());
    break;
  case Frame::kAdviceRequest:
    answerAdvice(Received.advice_request());
    break;
  case Frame::kRelease:
    Succession_.ownerLinkLost();
    pollOwner();
    break;
  default:
    break;
  }
}

void EntryHost::answerAdvice(const cell::pb::AdviceRequest &Request) {
  cell::AskAdvice Question;
  Question.Token_ = Request.token();
  Question.Step_ = Request.step();
  Question.Workers_.assign(Request.workers().begin(), Request.workers().end());
  Question.Timeout_ = Request.timeout_ms();
  Advice_.ask(Question,
              [this, Asked = OwnerEpoch_](const cell::AdviceOutcome &Outcome) {
                if (!OwnerLink_ || OwnerEpoch_ != Asked)
                  return;
                Frame Out;
                cell::pb::AdviceReply &Reply = *Out.mutable_advice_reply();
                Reply.set_token(Outcome.Token_);
                Reply.set_answered(Outcome.Answered_);
                Reply.set_valid_ms(Outcome.Valid_);
                for (const auto &[Worker, Ticket] : Outcome.Tickets_) {
                  cell::pb::Ticket &Row = *Reply.add_allowed();
                  Row.set_worker(Worker);
                  Row.set_ticket(Ticket);
                }
                OwnerLink_->send(Out);
              });
}

std::string EntryHost::successor() const {
  const HostLink *Best = nullptr;
  for (const HostLink &Each : Links_)
    if (!Each.Host_.empty() &&
        (Best == nullptr || std::pair(Each.Strength_, Each.Host_) >
                                std::pair(Best->Strength_, Best->Host_)))
      Best = &Each;
  return Best == nullptr ? "" : Best->Host_;
}

std::set<std::string> EntryHost::followers() const {
  std::set<std::string> Out;
  for (const HostLink &Each : Links_)
    if (!Each.Host_.empty() &&
        bootTime() - Each.Link_->lastHeard() < FollowerSilence)
      Out.insert(Each.Host_);
  return Out;
}

void EntryHost::sendBeats() {
  Frame Out;
  cell::pb::Beat &Beat = *Out.mutable_beat();
  if (OwnerLink_)
    OwnerLink_->send(Out);
  Beat.set_owner_ready(Owner_ && Owner_->ready());
  Beat.set_successor(successor());
  if (Owner_) {
    Beat.set_epoch(Owner_->epoch());
    Beat.set_store_age_ms(bootTime() - Store_.lastSuccess());
  }
  for (const HostLink &Each : Links_)
    Each.Link_->send(Out);
}

void EntryHost::dropLink(std::size_t At) {
  const HostLink Gone = Links_[At];
  Links_.erase(Links_.begin() + static_cast<std::ptrdiff_t>(At));
  if (Owner_ && !Gone.Host_.empty())
    Owner_->removeHost(Gone.Host_);
}

void EntryHost::dropSilentLinks() {
  const Millis Now = bootTime();
  if (OwnerLink_ && Now - OwnerLink_->lastHeard() > LinkSilence)
    ownerLinkEnded(false);
  for (std::size_t At = Links_.size(); At-- > 0;) {
    if (Now - Links_[At].Link_->lastHeard() <= LinkSilence)
      continue;
    dropLink(At);
  }
}

bool EntryHost::ownerReachable() const {
  return (Owner_ && Owner_->ready()) ||
         (OwnerLink_ && OwnerLink_->connected() && OwnerSaysReady_);
}

bool EntryHost::sendToOwner(const cell::pb::Forward &Request) {
  if (!ownerReachable())
    return false;
  if (Owner_) {
    Owner_->handle(Request, [this, Token = Request.token()](
                                const cell::pb::ForwardReply &Reply) {
      // Not within the call that the request came by.
      Events_.after(0, [this, Token, Reply = Reply]() mutable {
        Reply.set_token(Token);
        Front_.handle(Reply);
      });
    });
    return true;
  }
  Frame Out;
  *Out.mutable_forward() = Request;
  OwnerLink_->send(Out);
  return true;
}

// --------------------------------------------------------------- process

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
  if (!Owner_)
    return;
  Owner_->release([this] {
    Events_.after(0, [this] {
      Frame Out;
      Out.mutable_release()->set_epoch(OwnerEpoch_);
      for (const HostLink &Each : Links_)
        Each.Link_->send(Out);
      Owner_.reset();
      Front_.ownerLost();
    });
  });
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

} // namespace

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
