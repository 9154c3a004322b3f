#include "daemon/dispatcher.h"

#include <utility>

namespace oleandergauge::daemon {
namespace {

/// Tells a caller when to try again after a partition had no owner.
constexpr Duration OwnerRetryHint = std::chrono::milliseconds(1000);
/// Pause between attempts at a home partition that cannot prove its
/// configuration, and how long such attempts continue.
constexpr Duration ProofRetryDelay = std::chrono::milliseconds(20);
constexpr Duration ProofRetryLimit = std::chrono::milliseconds(300);

bool isSubmission(const HomeRequest &Request) {
  return std::holds_alternative<Submitted>(Request);
}

/// Returns whether a later attempt at the home partition may end differently.
bool isTransient(RefusalReason Reason) {
  return Reason == RefusalReason::OwnerUnavailable ||
         Reason == RefusalReason::StoreUnavailable ||
         Reason == RefusalReason::StaleConfiguration ||
         Reason == RefusalReason::Draining;
}

/// Returns whether the host no longer serves the partition, so that another
/// host may.
bool isOwnerLost(RefusalReason Reason) {
  return Reason == RefusalReason::OwnerUnavailable ||
         Reason == RefusalReason::Draining;
}

Refusal ownerUnavailable(const char *Message) {
  return {Verdict::NotRun, RefusalReason::OwnerUnavailable, Message,
          OwnerRetryHint};
}

} // namespace

Dispatcher::Dispatcher(HostId Self, Metrics &HostMetrics,
                       DispatcherOutputs Outputs)
    : Self_(std::move(Self)), HostMetrics_(HostMetrics),
      Outputs_(std::move(Outputs)), Routing_(std::make_shared<Routing>()) {}

void Dispatcher::dispatch(Dispatch Outgoing, DispatchCallback Done) {
  Token Id = NextToken_++;
  Budget_.addRequest();
  // Queries and cancellations concern a job that was submitted before. Their
  // refusal never shows that the job did not run.
  bool ConcernsEarlierJob = !isSubmission(Outgoing.Request_);
  Pending Entry;
  Entry.Dispatch_ = std::move(Outgoing);
  Entry.Done_ = std::move(Done);
  Entry.OutcomeUnknown_ = ConcernsEarlierJob;
  Deadlines_.emplace(Entry.Dispatch_.Deadline_, Id);
  Pending_.emplace(Id, std::move(Entry));
  attempt(Id);
}

void Dispatcher::tick() {
  TimePoint Now = Outputs_.Now_();
  while (!Retries_.empty() && Retries_.begin()->first <= Now) {
    Token Id = Retries_.begin()->second;
    Retries_.erase(Retries_.begin());
    attempt(Id);
  }
  while (!Deadlines_.empty() && Deadlines_.begin()->first <= Now)
    expire(Deadlines_.begin()->second);
}

void Dispatcher::setRouting(std::shared_ptr<const Routing> NewRouting) {
  Routing_ = std::move(NewRouting);
  std::vector<Token> MovedIds;
  for (const auto &[Id, Entry] : Pending_) {
    auto Owner = Routing_->Owners_.find(Entry.TargetPartition_);
    bool OwnerChanged = Owner != Routing_->Owners_.end() &&
                        Owner->second.Host_ != Entry.Target_;
    if (Entry.AwaitingAnswer_ && OwnerChanged)
      MovedIds.push_back(Id);
  }
  for (Token Id : MovedIds)
    handleUnknownOutcome(Id);
}

/// Returns the home partition and its owner. If it has no owner, a retryable
/// call gets any partition that has one.
std::optional<Dispatcher::Target>
Dispatcher::findTarget(const Dispatch &Outgoing) const {
  auto Home = Routing_->Owners_.find(Outgoing.Home_);
  if (Home != Routing_->Owners_.end())
    return Target{Home->second, Outgoing.Home_};
  if (!Outgoing.Retryable_ || Routing_->Owners_.empty())
    return std::nullopt;
  const auto &[Partition, Owner] = *Routing_->Owners_.begin();
  return Target{Owner, Partition};
}

void Dispatcher::attempt(Token Id) {
  auto Found = Pending_.find(Id);
  if (Found == Pending_.end())
    return;
  Pending &Entry = Found->second;
  ++Entry.Attempts_;
  std::optional<Target> To = findTarget(Entry.Dispatch_);
  if (!To) {
    handleRefusal(Id, ownerUnavailable("the home partition has no owner now"));
    return;
  }
  Entry.AwaitingAnswer_ = true;
  Entry.Target_ = To->Owner_.Host_;
  Entry.TargetPartition_ = To->Partition_;
  sendTo(Id, *To);
}

void Dispatcher::sendTo(Token Id, const Target &To) {
  Pending &Entry = Pending_.at(Id);
  if (To.Owner_.Host_ == Self_) {
    HomeRequest Request = Entry.Dispatch_.Request_;
    std::visit([&](auto &Content) { Content.Token_ = Id; }, Request);
    Outputs_.Local_(
        HomeRequested{Requester::Http, To.Partition_, std::move(Request)});
    return;
  }
  Duration Remaining = Entry.Dispatch_.Deadline_ - Outputs_.Now_();
  std::uint32_t Attempt = Entry.Attempts_;
  HostMetrics_.count("forwards", {{"peer", To.Owner_.Host_.str()}});
  Outputs_.Peer_(To.Owner_, To.Partition_, Entry.Dispatch_.Request_,
                 std::max(Remaining, Duration(std::chrono::milliseconds(1))),
                 [this, Id, Attempt](const ForwardOutcome &Reply) {
                   handlePeerAnswer(Id, Attempt, Reply);
                 });
}

void Dispatcher::handle(const HomeRequestAnswered &Answer) {
  auto Found = Pending_.find(Answer.Token_);
  if (Found != Pending_.end())
    handleAnswer(Answer.Token_, Found->second.Attempts_, Answer.Answer_);
}

void Dispatcher::handlePeerAnswer(Token Id, std::uint32_t Attempt,
                                  const ForwardOutcome &Reply) {
  auto Found = Pending_.find(Id);
  if (Found == Pending_.end())
    return;
  bool IsCurrent =
      Found->second.Attempts_ == Attempt && Found->second.AwaitingAnswer_;
  if (Reply.Answer_) {
    handleAnswer(Id, Attempt, *Reply.Answer_);
    return;
  }
  if (!IsCurrent)
    return;
  if (Reply.Outcome_ == PeerOutcome::NotSent)
    handleRefusal(Id, ownerUnavailable("the owner cannot be reached"));
  else
    handleUnknownOutcome(Id);
}

/// Handles an answer to any attempt. A job status is valid even if a later
/// attempt is in progress. A refusal counts only if it answers the latest
/// attempt, since it says nothing about attempts after it.
void Dispatcher::handleAnswer(Token Id, std::uint32_t Attempt,
                              const Result<JobStatus> &Answer) {
  Pending &Entry = Pending_.at(Id);
  if (Answer)
    finish(Id, Answer);
  else if (Entry.Attempts_ == Attempt && Entry.AwaitingAnswer_)
    handleRefusal(Id, Answer.error());
}

/// Tries again after an attempt that may have been handled, or gives up with
/// the verdict "may have run".
void Dispatcher::handleUnknownOutcome(Token Id) {
  Pending &Entry = Pending_.at(Id);
  Entry.OutcomeUnknown_ = true;
  if (!scheduleRetry(Id, Entry))
    finish(Id, tl::unexpected(
                   Refusal{Verdict::MayHaveRun, RefusalReason::OwnerUnavailable,
                           "the owner gave no answer", OwnerRetryHint}));
}

/// Tries again if another attempt may succeed, or else passes the refusal on.
/// After an attempt of unknown outcome the verdict is not "not run".
void Dispatcher::handleRefusal(Token Id, const Refusal &Cause) {
  Pending &Entry = Pending_.at(Id);
  Entry.OutcomeUnknown_ =
      Entry.OutcomeUnknown_ || Cause.Verdict_ == Verdict::MayHaveRun;
  if (Cause.Reason_ == RefusalReason::StaleConfiguration &&
      scheduleProofRetry(Id, Entry))
    return;
  bool MustAskAgain = Entry.OutcomeUnknown_ && isTransient(Cause.Reason_);
  bool MayUseOtherOwner =
      Entry.Dispatch_.Retryable_ && isOwnerLost(Cause.Reason_);
  if ((MustAskAgain || MayUseOtherOwner) && scheduleRetry(Id, Entry))
    return;
  Refusal Adjusted = Cause;
  if (Entry.OutcomeUnknown_ && Adjusted.Verdict_ == Verdict::NotRun)
    Adjusted.Verdict_ = Verdict::MayHaveRun;
  finish(Id, tl::unexpected(std::move(Adjusted)));
}

/// Schedules another attempt; returns false if none is allowed before the
/// deadline. Retryable calls are limited by the retry budget, as each attempt
/// may run the call. All other requests are recognized by their identifier, so
/// a repeated attempt only asks for the outcome.
bool Dispatcher::scheduleRetry(Token Id, Pending &Entry) {
  std::uint32_t NextAttempt = Entry.Attempts_ + 1;
  bool Retryable = Entry.Dispatch_.Retryable_;
  if (Retryable && (NextAttempt > MaxCallAttempts || !Budget_.tryConsume()))
    return false;
  Duration BaseDelay = Retryable ? CallRetryBaseDelay : OutcomeRetryBaseDelay;
  Duration MaxDelay = Retryable ? CallRetryBaseDelay * 4 : OutcomeRetryMaxDelay;
  Duration Delay = jitteredBackoff(BaseDelay, MaxDelay, NextAttempt, random());
  if (Outputs_.Now_() + Delay >= Entry.Dispatch_.Deadline_)
    return false;
  HostMetrics_.count("repeats", {{"kind", Retryable ? "call" : "settle"}});
  retryAfter(Id, Entry, Delay);
  return true;
}

/// Schedules another attempt at a home partition that cannot prove its
/// configuration; returns false after ProofRetryLimit. Each record change
/// leaves a host without proof for a few milliseconds, during which it accepts
/// nothing.
bool Dispatcher::scheduleProofRetry(Token Id, Pending &Entry) {
  TimePoint Now = Outputs_.Now_();
  if (!Entry.ProofDeadline_)
    Entry.ProofDeadline_ = Now + ProofRetryLimit;
  if (Now >= std::min(*Entry.ProofDeadline_, Entry.Dispatch_.Deadline_))
    return false;
  HostMetrics_.count("repeats", {{"kind", "proof"}});
  retryAfter(Id, Entry, ProofRetryDelay);
  return true;
}

void Dispatcher::retryAfter(Token Id, Pending &Entry, Duration Delay) {
  Entry.AwaitingAnswer_ = false;
  Retries_.emplace(Outputs_.Now_() + Delay, Id);
}

/// Answers a request that reached its deadline.
void Dispatcher::expire(Token Id) {
  const Pending &Entry = Pending_.at(Id);
  if (Entry.AwaitingAnswer_ && Entry.Target_ == Self_)
    Outputs_.Local_(HomeRequestAbandoned{Requester::Http, Id});
  bool NeverSent = !Entry.AwaitingAnswer_ && !Entry.OutcomeUnknown_;
  finish(Id, tl::unexpected(
                 Refusal{NeverSent ? Verdict::NotRun : Verdict::MayHaveRun,
                         RefusalReason::DeadlineExceeded,
                         "no answer came within the time limit", Duration(0)}));
}

void Dispatcher::finish(Token Id, const Result<JobStatus> &Answer) {
  auto Extracted = Pending_.extract(Id);
  Deadlines_.erase({Extracted.mapped().Dispatch_.Deadline_, Id});
  Extracted.mapped().Done_(Answer);
}

} // namespace oleandergauge::daemon
