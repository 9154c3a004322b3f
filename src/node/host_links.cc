// Links between entry hosts.

#include <algorithm>

#include "cell.pb.h"
#include "node/entry_host.h"

namespace oleandergauge::node {
namespace {

/// Silence after which a link between hosts is given up.
constexpr Millis LinkSilence = 650;
/// An owner that has had no answer from the store for longer is replaced by a
/// host that has.
constexpr Millis StoreSilence = 1200;
/// Age of a beat up to which its sender counts as a follower: shorter than
/// any takeover.
constexpr Millis FollowerSilence = 500;

constexpr Millis UnknownStoreAge = 1000000;
/// A host counts as much stronger from this ratio of their shares of a core.
constexpr double MuchStronger = 2;

} // namespace

void EntryHost::acceptLink(std::unique_ptr<PeerLink> Link) {
  const std::shared_ptr<PeerLink> Made(std::move(Link));
  Made->onFrame([this, Raw = Made.get()](const Frame &Received) {
    for (const HostLink &Each : Links_)
      if (Each.Link_.get() == Raw) {
        handleFromHost(std::shared_ptr<PeerLink>(Each.Link_), Received);
        return;
      }
  });
  Made->onEnd([this, Raw = Made.get()](PeerLink::End) {
    Events_.after(0, [this, Raw] {
      for (std::size_t At = 0; At < Links_.size(); ++At) {
        if (Links_[At].Link_.get() != Raw)
          continue;
        dropLink(At);
        return;
      }
    });
  });
  Links_.push_back({Made, "", 0, "", false, UnknownStoreAge});
}

/// Lets this host's ownership use a host that follows it.
void EntryHost::addToOwner(const HostLink &From) {
  if (Owner_ && !From.Host_.empty())
    Owner_->addHost(
        From.Host_, From.Strength_,
        [Weak = std::weak_ptr<PeerLink>(From.Link_)](const Frame &Message) {
          if (const auto To = Weak.lock())
            To->send(Message);
        });
}

void EntryHost::handleFromHost(const std::shared_ptr<PeerLink> &Link,
                               const Frame &Received) {
  switch (Received.kind_case()) {
  case Frame::kHello:
    for (HostLink &Each : Links_)
      if (Each.Link_ == Link) {
        Each.Host_ = Received.hello().host();
        Each.Strength_ = Received.hello().strength();
        Each.Address_ = Received.hello().address();
        addToOwner(Each);
      }
    sendBeats();
    break;
  case Frame::kBeat:
    for (HostLink &Each : Links_)
      if (Each.Link_ == Link) {
        Each.Leaving_ = Received.beat().leaving();
        Each.StoreAge_ = Received.beat().store_age_ms();
      }
    break;
  case Frame::kAnnouncement:
    noteAnnouncement(Received.announcement());
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
    if (Owner_ && Owner_->ready())
      Owner_->handle(Received.forward(), Answer);
    else
      Answer(notOwner());
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
  case Frame::kBeat:
    noteBeat(Received.beat());
    break;
  case Frame::kForwardReply:
    Front_.handle(Received.forward_reply());
    break;
  case Frame::kAdviceRequest:
    answerAdvice(Received.advice_request());
    break;
  case Frame::kRelease:
    noteRelease(Received.release());
    break;
  default:
    break;
  }
}

void EntryHost::noteBeat(const cell::pb::Beat &Beat) {
  const bool Was = OwnerSaysReady_;
  OwnerEpoch_ = std::max(OwnerEpoch_, Beat.epoch());
  OwnerSaysReady_ = Beat.owner_ready();
  Succession_.setOwnerHealthy(Beat.epoch() == OwnerEpoch_ &&
                           Beat.store_age_ms() < StoreSilence);
  Succession_.setPreferred(Beat.successor() == Settings_.Name_);
  if (Beat.strongest() > 0)
    Succession_.setOutranked(isMuchStronger(Beat.strongest()));
  if (Beat.epoch() == OwnerEpoch_)
    Peers_ = {Beat.peers().begin(), Beat.peers().end()};
  if (OwnerSaysReady_)
    Front_.ownerReady();
  if (OwnerSaysReady_ != Was)
    Log_.event(OwnerSaysReady_ ? "owner reachable" : "owner not ready",
               {{"address", OwnerAddress_},
                {"epoch", static_cast<std::int64_t>(OwnerEpoch_)}});
}

void EntryHost::answerAdvice(const cell::pb::AdviceRequest &Request) {
  cell::AskAdvice Question;
  Question.Token_ = Request.token();
  Question.Step_ = Request.step();
  Question.Workers_.assign(Request.workers().begin(), Request.workers().end());
  Question.Timeout_ = Request.timeout_ms();
  Advice_.ask(Question, [this, Asked = Request.epoch()](
                            const cell::AdviceOutcome &Outcome) {
    if (!OwnerLink_)
      return;
    Frame Out;
    cell::pb::AdviceReply &Reply = *Out.mutable_advice_reply();
    Reply.set_epoch(Asked);
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

/// The strongest host that follows this one and stays.
const EntryHost::HostLink *EntryHost::successor() const {
  const HostLink *Best = nullptr;
  for (const HostLink &Each : Links_)
    if (!Each.Host_.empty() && !Each.Leaving_ &&
        (Best == nullptr || std::pair(Each.Strength_, Each.Host_) >
                                std::pair(Best->Strength_, Best->Host_)))
      Best = &Each;
  return Best;
}

bool EntryHost::isMuchStronger(double Strength) const {
  return Strength >= MuchStronger * Settings_.Strength_;
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
  Beat.set_store_age_ms(Store_.silence());
  Beat.set_leaving(DrainingSince_ != 0);
  if (OwnerLink_)
    OwnerLink_->send(Out);
  Beat.set_owner_ready(Owner_ && Owner_->ready());
  if (const HostLink *Next = successor())
    Beat.set_successor(Next->Host_);
  if (Owner_) {
    Beat.set_epoch(Owner_->epoch());
    const HostLink *Strongest = successor();
    Beat.set_strongest(std::max(
        Settings_.Strength_, Strongest == nullptr ? 0 : Strongest->Strength_));
    for (const HostLink &Each : Links_)
      if (!Each.Address_.empty())
        Beat.add_peers(Each.Address_);
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
    ownerLinkEnded(PeerLink::End::Silent);
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

} // namespace oleandergauge::node
