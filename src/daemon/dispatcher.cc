#include "daemon/dispatcher.h"

#include <utility>

namespace oleandergauge::daemon {
namespace {

constexpr Duration OwnerRetryHint = std::chrono::milliseconds(1000);
constexpr Duration ProofRetry = std::chrono::milliseconds(20);
constexpr Duration ProofPatience = std::chrono::milliseconds(300);

bool isSubmission(const HomeRequest &Request) {
  return std::holds_alternative<Submitted>(Request);
}

/// A later ask of the home may end differently.
bool isTransient(RefusalReason Reason) {
  return Reason == RefusalReason::OwnerUnavailable ||
         Reason == RefusalReason::StoreUnavailable ||
         Reason == RefusalReason::StaleConfiguration ||
         Reason == RefusalReason::Draining;
}

/// The asked host no longer serves the partition; another one may.
bool meansOwnerLost(RefusalReason Reason) {
  return Reason == RefusalReason::OwnerUnavailable ||
         Reason == RefusalReason::Draining;
}

Refusal ownerUnavailable(const char *Message) {
  return {Verdict::NotRun, RefusalReason::OwnerUnavailable, Message,
          OwnerRetryHint};
}

} // namespace

Dispatcher::Dispatcher(HostId Self, Metrics &Figures, DispatcherOutputs Outputs)
    : Self_(std::move(Self)), Figures_(Figures), Outputs_(std::move(Outputs)),
      Routing_(std::make_shared<Routing>()) {}

void Dispatcher::dispatch(Dispatch Wanted, DispatchDone Done) {
  Token Id = NextToken_++;
  Budget_.noteRequest();
  // Answers about a job that was submitted before never mean that it did not
  // run.
  bool Unsettled = !isSubmission(Wanted.Request_);
  Pending Own;
  Own.Wanted_ = std::move(Wanted);
  Own.Done_ = std::move(Done);
  Own.Unsettled_ = Unsettled;
  Deadlines_.emplace(Own.Wanted_.Deadline_, Id);
  Pending_.emplace(Id, std::move(Own));
  attempt(Id);
}

void Dispatcher::tick() {
  TimePoint Now = Outputs_.Now_();
  while (!Repeats_.empty() && Repeats_.begin()->first <= Now) {
    Token Id = Repeats_.begin()->second;
    Repeats_.erase(Repeats_.begin());
    attempt(Id);
  }
  while (!Deadlines_.empty() && Deadlines_.begin()->first <= Now)
    expire(Deadlines_.begin()->second);
}

void Dispatcher::setRouting(std::shared_ptr<const Routing> Known) {
  Routing_ = std::move(Known);
  std::vector<Token> Lost;
  for (const auto &[Id, Own] : Pending_) {
    auto Owner = Routing_->Owners_.find(Own.TargetPartition_);
    bool Moved =
        Owner != Routing_->Owners_.end() && Owner->second.Host_ != Own.Target_;
    if (Own.Waiting_ && Moved)
      Lost.push_back(Id);
  }
  for (Token Id : Lost)
    unknown(Id);
}

std::optional<Dispatcher::Target>
Dispatcher::targetOf(const Dispatch &Wanted) const {
  auto Home = Routing_->Owners_.find(Wanted.Home_);
  if (Home != Routing_->Owners_.end())
    return Target{Home->second, Wanted.Home_};
  if (!Wanted.Repeatable_ || Routing_->Owners_.empty())
    return std::nullopt;
  const auto &[Partition, Owner] = *Routing_->Owners_.begin();
  return Target{Owner, Partition};
}

void Dispatcher::attempt(Token Id) {
  auto Found = Pending_.find(Id);
  if (Found == Pending_.end())
    return;
  Pending &Own = Found->second;
  ++Own.Tries_;
  std::optional<Target> To = targetOf(Own.Wanted_);
  if (!To) {
    refused(Id, ownerUnavailable("the home partition has no owner now"));
    return;
  }
  Own.Waiting_ = true;
  Own.Target_ = To->Owner_.Host_;
  Own.TargetPartition_ = To->Partition_;
  sendTo(Id, *To);
}

void Dispatcher::sendTo(Token Id, const Target &To) {
  Pending &Own = Pending_.at(Id);
  if (To.Owner_.Host_ == Self_) {
    HomeRequest Request = Own.Wanted_.Request_;
    std::visit([&](auto &Any) { Any.Token_ = Id; }, Request);
    Outputs_.Local_(
        HomeAsked{Requester::Http, To.Partition_, std::move(Request)});
    return;
  }
  Duration Left = Own.Wanted_.Deadline_ - Outputs_.Now_();
  std::uint32_t Try = Own.Tries_;
  Figures_.count("forwards", {{"peer", To.Owner_.Host_.str()}});
  Outputs_.Peer_(To.Owner_, To.Partition_, Own.Wanted_.Request_,
                 std::max(Left, Duration(std::chrono::milliseconds(1))),
                 [this, Id, Try](const ForwardOutcome &Reply) {
                   peerAnswered(Id, Try, Reply);
                 });
}

void Dispatcher::handle(const HomeAnswered &Answer) {
  auto Found = Pending_.find(Answer.Token_);
  if (Found != Pending_.end())
    answered(Answer.Token_, Found->second.Tries_, Answer.Answer_);
}

void Dispatcher::peerAnswered(Token Id, std::uint32_t Try,
                              const ForwardOutcome &Reply) {
  auto Found = Pending_.find(Id);
  if (Found == Pending_.end())
    return;
  bool Current = Found->second.Tries_ == Try && Found->second.Waiting_;
  if (Reply.Answer_) {
    answered(Id, Try, *Reply.Answer_);
    return;
  }
  if (!Current)
    return;
  if (Reply.Outcome_ == PeerOutcome::NotSent)
    refused(Id, ownerUnavailable("the owner cannot be reached"));
  else
    unknown(Id);
}

/// A late answer that tells the job's state is as good as the one to the last
/// try; a late refusal says nothing about the tries after it.
void Dispatcher::answered(Token Id, std::uint32_t Try,
                          const Result<JobStatus> &Answer) {
  Pending &Own = Pending_.at(Id);
  if (Answer)
    finish(Id, Answer);
  else if (Own.Tries_ == Try && Own.Waiting_)
    refused(Id, Answer.error());
}

void Dispatcher::unknown(Token Id) {
  Pending &Own = Pending_.at(Id);
  Own.Unsettled_ = true;
  if (!tryAgain(Id, Own))
    finish(Id, tl::unexpected(
                   Refusal{Verdict::MayHaveRun, RefusalReason::OwnerUnavailable,
                           "the owner gave no answer", OwnerRetryHint}));
}

void Dispatcher::refused(Token Id, const Refusal &Why) {
  Pending &Own = Pending_.at(Id);
  Own.Unsettled_ = Own.Unsettled_ || Why.Verdict_ == Verdict::MayHaveRun;
  if (Why.Reason_ == RefusalReason::StaleConfiguration && waitForProof(Id, Own))
    return;
  bool Settles = Own.Unsettled_ && isTransient(Why.Reason_);
  bool Moves = Own.Wanted_.Repeatable_ && meansOwnerLost(Why.Reason_);
  if ((Settles || Moves) && tryAgain(Id, Own))
    return;
  Refusal Told = Why;
  if (Own.Unsettled_ && Told.Verdict_ == Verdict::NotRun)
    Told.Verdict_ = Verdict::MayHaveRun;
  finish(Id, tl::unexpected(std::move(Told)));
}

/// Repeatable calls are bounded by the budget, as each try may run. All other
/// requests of unknown fate are only asked about, until the deadline.
bool Dispatcher::tryAgain(Token Id, Pending &Own) {
  std::uint32_t Next = Own.Tries_ + 1;
  bool Repeatable = Own.Wanted_.Repeatable_;
  if (Repeatable && (Next > MaxTries || !Budget_.take()))
    return false;
  Duration Base = Repeatable ? RetryBase : SettleBase;
  Duration Most = Repeatable ? RetryBase * 4 : SettleMost;
  Duration Delay = jitteredDelay(Base, Most, Next, random());
  if (Outputs_.Now_() + Delay >= Own.Wanted_.Deadline_)
    return false;
  Figures_.count("repeats", {{"kind", Repeatable ? "call" : "settle"}});
  repeatAfter(Id, Own, Delay);
  return true;
}

/// Each change of a record leaves the home without proof for a few
/// milliseconds, in which it takes nothing.
bool Dispatcher::waitForProof(Token Id, Pending &Own) {
  TimePoint Now = Outputs_.Now_();
  if (!Own.ProofUntil_)
    Own.ProofUntil_ = Now + ProofPatience;
  if (Now >= std::min(*Own.ProofUntil_, Own.Wanted_.Deadline_))
    return false;
  Figures_.count("repeats", {{"kind", "proof"}});
  repeatAfter(Id, Own, ProofRetry);
  return true;
}

void Dispatcher::repeatAfter(Token Id, Pending &Own, Duration Delay) {
  Own.Waiting_ = false;
  Repeats_.emplace(Outputs_.Now_() + Delay, Id);
}

void Dispatcher::expire(Token Id) {
  const Pending &Own = Pending_.at(Id);
  if (Own.Waiting_ && Own.Target_ == Self_)
    Outputs_.Local_(HomeAbandoned{Requester::Http, Id});
  bool NeverSent = !Own.Waiting_ && !Own.Unsettled_;
  finish(Id, tl::unexpected(
                 Refusal{NeverSent ? Verdict::NotRun : Verdict::MayHaveRun,
                         RefusalReason::DeadlineExceeded,
                         "no answer came within the time limit", Duration(0)}));
}

void Dispatcher::finish(Token Id, const Result<JobStatus> &Answer) {
  auto Node = Pending_.extract(Id);
  Deadlines_.erase({Node.mapped().Wanted_.Deadline_, Id});
  Node.mapped().Done_(Answer);
}

} // namespace oleandergauge::daemon
