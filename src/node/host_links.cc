// Links between entry hosts: heartbeats, forwarded requests and advice.

#include <algorithm>

#include "cell.pb.h"
#include "node/entry_host.h"

namespace oleandergauge::node {
namespace {

/// Time without received bytes after which a link between hosts is closed.
constexpr Millis LinkSilenceLimit = 650;
/// An owner that had no contact with the store for this long may be replaced by
/// a host that has contact.
constexpr Millis OwnerStoreSilenceLimit = 1200;
/// Time since the last received bytes for which a host counts as a follower. It
/// is shorter than any takeover.
constexpr Millis FollowerSilenceLimit = 500;

/// Stands for a host that has not yet reported its last contact with the store.
constexpr Millis UnknownStoreContactAge = 1000000;
/// Ratio of CPU shares from which one host counts as much larger than another.
constexpr double MuchMoreCpuRatio = 2;

} // namespace

/// Adds a link that another host opened, until the link ends.
void EntryHost::acceptLink(std::unique_ptr<PeerLink> Link) {
  const std::shared_ptr<PeerLink> NewLink(std::move(Link));
  NewLink->onFrame([this, Raw = NewLink.get()](const Frame &Received) {
    for (const HostLink &Each : IncomingLinks_)
      if (Each.Link_.get() == Raw) {
        handleHostFrame(std::shared_ptr<PeerLink>(Each.Link_), Received);
        return;
      }
  });
  NewLink->onEnd([this, Raw = NewLink.get()](PeerLink::End) {
    Loop_.runAfter(0, [this, Raw] {
      for (std::size_t At = 0; At < IncomingLinks_.size(); ++At) {
        if (IncomingLinks_[At].Link_.get() != Raw)
          continue;
        removeLink(At);
        return;
      }
    });
  });
  IncomingLinks_.push_back(
      {NewLink, "", 0, "", false, UnknownStoreContactAge, {}});
}

/// Makes a connected host available to the owner, if this host is the owner.
/// The owner asks for advice through it.
void EntryHost::addFollowerToOwner(const HostLink &From) {
  if (Owner_ && !From.Host_.empty())
    Owner_->addHost(
        From.Host_, From.CpuShare_,
        [Weak = std::weak_ptr<PeerLink>(From.Link_)](const Frame &Message) {
          if (const auto To = Weak.lock())
            To->send(Message);
        });
}

/// Handles a frame on a link that another host opened to this one.
void EntryHost::handleHostFrame(const std::shared_ptr<PeerLink> &Link,
                                const Frame &Received) {
  switch (Received.kind_case()) {
  case Frame::kHello:
    for (HostLink &Each : IncomingLinks_)
      if (Each.Link_ == Link) {
        Each.Host_ = Received.hello().host();
        Each.CpuShare_ = Received.hello().strength();
        Each.Address_ = Received.hello().address();
        addFollowerToOwner(Each);
        PeerListSchedule_.recordChange();
        sendHeartbeatTo(Each, makeHeartbeatToFollower());
      }
    break;
  case Frame::kBeat:
    for (HostLink &Each : IncomingLinks_)
      if (Each.Link_ == Link) {
        Each.Draining_ = Received.beat().leaving();
        Each.StoreContactAge_ = Received.beat().store_age_ms();
      }
    break;
  case Frame::kAnnouncement:
    handleAnnouncement(Received.announcement());
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
    if (Owner_ && Owner_->isReady())
      Owner_->handleRequest(Received.forward(), Answer);
    else
      Answer(makeNotOwnerReply());
    break;
  }
  case Frame::kRelease:
    handleReturnedRelease(Link, Received.release());
    break;
  case Frame::kAdviceReply:
    if (Owner_)
      Owner_->handleAdviceReply(Received.advice_reply());
    break;
  default:
    break;
  }
}

/// Handles a frame on the link that this host opened to the owner.
void EntryHost::handleOwnerFrame(const Frame &Received) {
  OwnerSeenAt_ = bootTime();
  switch (Received.kind_case()) {
  case Frame::kBeat:
    handleHeartbeat(Received.beat());
    break;
  case Frame::kForwardReply:
    FrontEnd_.handleReply(Received.forward_reply());
    break;
  case Frame::kAdviceRequest:
    answerAdviceRequest(Received.advice_request());
    break;
  case Frame::kRelease:
    handleRelease(Received.release());
    break;
  default:
    break;
  }
}

/// Sets the epoch of the owner at the end of OwnerLink_. In a later epoch the
/// owner has dropped what it had not answered, so the front end sends it again.
void EntryHost::setOwnerEpoch(Epoch Current) {
  if (Current != OwnerEpoch_)
    FrontEnd_.markOwnerLost();
  OwnerEpoch_ = Current;
}

/// Takes over the state that the owner reports in its heartbeat.
void EntryHost::handleHeartbeat(const cell::pb::Beat &Beat) {
  const bool WasReady = OwnerReportsReady_;
  setOwnerEpoch(std::max(OwnerEpoch_, Beat.epoch()));
  if (Beat.clock_ms() != 0)
    OwnerClock_.observe(Beat.clock_ms(), bootTime());
  OwnerReportsReady_ = Beat.owner_ready() && Beat.epoch() == OwnerEpoch_;
  Succession_.setOwnerHealthy(Beat.epoch() == OwnerEpoch_ &&
                              Beat.store_age_ms() < OwnerStoreSilenceLimit);
  Succession_.setPreferred(Beat.successor() == Settings_.Name_);
  if (Beat.strongest() > 0)
    Succession_.setOutranked(hasMuchMoreCpu(Beat.strongest()));
  if (Beat.epoch() == OwnerEpoch_ && Beat.peers_size() > 0)
    PeerAddresses_ = {Beat.peers().begin(), Beat.peers().end()};
  if (OwnerReportsReady_)
    FrontEnd_.sendPending();
  if (OwnerReportsReady_ != WasReady)
    Log_.logEvent(OwnerReportsReady_ ? "owner reachable" : "owner not ready",
                  {{"address", OwnerAddress_},
                   {"epoch", static_cast<std::int64_t>(OwnerEpoch_)}});
}

/// Asks this host's advice service on behalf of the owner and sends the answer.
void EntryHost::answerAdviceRequest(const cell::pb::AdviceRequest &Request) {
  cell::AskAdvice LocalRequest;
  LocalRequest.Token_ = Request.token();
  LocalRequest.Step_ = Request.step();
  LocalRequest.Workers_.assign(Request.workers().begin(),
                               Request.workers().end());
  LocalRequest.Timeout_ = Request.timeout_ms();
  Advice_.requestAdvice(LocalRequest, [this, RequestEpoch = Request.epoch()](
                                          const cell::AdviceOutcome &Outcome) {
    if (!OwnerLink_)
      return;
    Frame Out;
    cell::pb::AdviceReply &Reply = *Out.mutable_advice_reply();
    Reply.set_epoch(RequestEpoch);
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

/// Returns the connected host with the largest CPU share that is not draining,
/// or null if there is none.
const EntryHost::HostLink *EntryHost::selectSuccessor() const {
  const HostLink *Best = nullptr;
  for (const HostLink &Each : IncomingLinks_)
    if (!Each.Host_.empty() && !Each.Draining_ &&
        (Best == nullptr || std::pair(Each.CpuShare_, Each.Host_) >
                                std::pair(Best->CpuShare_, Best->Host_)))
      Best = &Each;
  return Best;
}

bool EntryHost::hasMuchMoreCpu(double CpuShare) const {
  return CpuShare >= MuchMoreCpuRatio * Settings_.CpuShare_;
}

/// Returns the connected hosts from which bytes have arrived recently.
std::set<std::string> EntryHost::recentFollowers() const {
  std::set<std::string> Out;
  for (const HostLink &Each : IncomingLinks_)
    if (!Each.Host_.empty() &&
        bootTime() - Each.Link_->lastReceivedAt() < FollowerSilenceLimit)
      Out.insert(Each.Host_);
  return Out;
}

/// Returns the part of a heartbeat that goes to every host.
Frame EntryHost::makeHeartbeat() const {
  Frame Out;
  cell::pb::Beat &Beat = *Out.mutable_beat();
  Beat.set_store_age_ms(Store_.timeSinceContact());
  Beat.set_leaving(DrainingSince_ != 0);
  Beat.set_clock_ms(bootTime());
  return Out;
}

/// Returns a heartbeat with the fields about ownership, for hosts that have
/// connected to this one.
Frame EntryHost::makeHeartbeatToFollower() const {
  Frame Out = makeHeartbeat();
  cell::pb::Beat &Beat = *Out.mutable_beat();
  const HostLink *Next = selectSuccessor();
  Beat.set_owner_ready(Owner_ && Owner_->isReady());
  if (Next != nullptr)
    Beat.set_successor(Next->Host_);
  if (!Owner_)
    return Out;
  Beat.set_epoch(Owner_->epoch());
  Beat.set_strongest(
      std::max(Settings_.CpuShare_, Next == nullptr ? 0 : Next->CpuShare_));
  return Out;
}

/// Sends a heartbeat to a host, with the addresses of all hosts if they are due
/// (see cell::PeerListSchedule).
void EntryHost::sendHeartbeatTo(HostLink &Follower, Frame Heartbeat) {
  const Millis Now = bootTime();
  if (Owner_ && PeerListSchedule_.isDue(Follower.SentPeerList_, Now)) {
    for (const HostLink &Each : IncomingLinks_)
      if (!Each.Address_.empty())
        Heartbeat.mutable_beat()->add_peers(Each.Address_);
    Follower.SentPeerList_ = PeerListSchedule_.sentAt(Now);
  }
  Follower.Link_->send(Heartbeat);
}

/// Sends a heartbeat on each link.
void EntryHost::sendHeartbeats() {
  if (OwnerLink_)
    OwnerLink_->send(makeHeartbeat());
  if (IncomingLinks_.empty())
    return;
  const Frame Heartbeat = makeHeartbeatToFollower();
  for (HostLink &Each : IncomingLinks_)
    sendHeartbeatTo(Each, Heartbeat);
}

void EntryHost::removeLink(std::size_t At) {
  const HostLink Removed = IncomingLinks_[At];
  IncomingLinks_.erase(IncomingLinks_.begin() +
                       static_cast<std::ptrdiff_t>(At));
  PeerListSchedule_.recordChange();
  if (Owner_ && !Removed.Host_.empty())
    Owner_->removeHost(Removed.Host_);
}

void EntryHost::removeSilentLinks() {
  const Millis Now = bootTime();
  if (OwnerLink_ && Now - OwnerLink_->lastReceivedAt() > LinkSilenceLimit)
    handleOwnerLinkEnd(PeerLink::End::Silent);
  for (std::size_t At = IncomingLinks_.size(); At-- > 0;) {
    if (Now - IncomingLinks_[At].Link_->lastReceivedAt() <= LinkSilenceLimit)
      continue;
    removeLink(At);
  }
}

bool EntryHost::isOwnerReachable() const {
  return (Owner_ && Owner_->isReady()) ||
         (OwnerLink_ && OwnerLink_->isConnected() && OwnerReportsReady_);
}

/// Sends a request to the owner, which may be this host. Returns the owner's
/// epoch, or none if no owner is reachable.
std::optional<Epoch>
EntryHost::forwardToOwner(const cell::pb::Forward &Request) {
  if (!isOwnerReachable())
    return std::nullopt;
  if (Owner_) {
    Owner_->handleRequest(Request, [this, Token = Request.token()](
                                       const cell::pb::ForwardReply &Reply) {
      // The front end must not be re-entered while it sends the request.
      Loop_.runAfter(0, [this, Token, Reply = Reply]() mutable {
        Reply.set_token(Token);
        FrontEnd_.handleReply(Reply);
      });
    });
    return Owner_->epoch();
  }
  if (Request.copy() > 1)
    Log_.logDecision("request sent again",
                     {{"id", Request.job_id()},
                      {"copy", Request.copy()},
                      {"to", OwnerAddress_},
                      {"epoch", static_cast<std::int64_t>(OwnerEpoch_)}});
  Frame Out;
  cell::pb::Forward &Copy = *Out.mutable_forward();
  Copy = Request;
  Copy.set_epoch(OwnerEpoch_);
  Copy.set_owner_clock_ms(OwnerClock_.at(bootTime()));
  OwnerLink_->send(Out);
  return OwnerEpoch_;
}

} // namespace oleandergauge::node
