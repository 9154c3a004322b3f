// Workers: membership, leases, orders and their outcomes.

#include <algorithm>

#include "cell/engine.h"

namespace oleandergauge::cell {
namespace {

/// Time that a worker may wait for an end before it answers a look.
constexpr Millis HoldWait = 1500;
/// The same where services have goals, so that a missed one is seen soon.
constexpr Millis ServingWait = 400;
constexpr Millis HoldRetry = 150;
/// Time for which a silent worker's lease is still renewed.
constexpr Millis RenewUnanswered = 700;
/// Pause before an unanswered order is sent again.
constexpr Millis OrderRetry = 60;
/// Time after which an unanswered start is taken back by a stop.
constexpr Millis StartPatience = 1500;
constexpr Millis StopRetry = 150;
/// Longest time after which an order without an answer is still carried out.
constexpr Millis LateOrderLimit = 13000;
/// Time for which a worker that left the list is remembered.
constexpr Millis UnlistedRetention = 20000;
/// Failures in a row, of different jobs, that put a worker aside.
constexpr std::uint32_t FailStreakLimit = 2;
constexpr Millis QuarantineTime = 3000;
/// Time for which a worker that rejected a start, or left one unanswered, gets
/// no member of a gang: one member that fails ends the whole attempt.
constexpr Millis GangAvoidTime = 1000;
/// A fence is the epoch times this, plus the lives of the worker seen.
constexpr std::uint64_t FencesPerEpoch = 1000;

} // namespace

Worker *Cell::Engine::findWorker(const std::string &Id) {
  const auto It = Workers_.find(Id);
  return It == Workers_.end() ? nullptr : It->second.get();
}

Millis Cell::Engine::clockOf(const Worker &Of) const {
  return Of.ClockMs_ + (Now_ - Of.ClockAt_);
}

bool Cell::Engine::recovering() const {
  return !Unsettled_.empty() && Now_ < RecoveryEnd_;
}

void Cell::Engine::setWithdrawn(std::set<std::string> Domains) {
  Withdrawn_ = std::move(Domains);
  PlaceWanted_ = true;
}

void Cell::Engine::setWorkers(const std::vector<WorkerEntry> &Entries,
                              bool Fresh) {
  std::set<std::string> Present;
  for (const WorkerEntry &Entry : Entries) {
    Present.insert(Entry.Id_);
    auto &Slot = Workers_[Entry.Id_];
    if (!Slot) {
      Slot = std::make_unique<Worker>();
      Slot->Id_ = Entry.Id_;
      Slot->Incarnation_ = Entry.Incarnation_;
      Slot->Fence_ = Epoch_ * FencesPerEpoch;
      Effects_.push_back(Decision{"worker_found", Entry.Id_, Entry.Domain_, 0});
    }
    Worker &Of = *Slot;
    Of.Service_ = Entry.Service_;
    Of.Address_ = Entry.Address_;
    Of.Domain_ = Entry.Domain_;
    Of.Labels_ = Entry.Labels_;
    Of.Rack_ = Entry.Rack_;
    Of.Capacity_ = Entry.Capacity_;
    if (Entry.Draining_ && !Of.Draining_)
      Effects_.push_back(Decision{"worker_draining", Entry.Id_, "listed", 0});
    Of.Draining_ = Entry.Draining_;
    Of.Listed_ = true;
    if (Entry.Incarnation_ > Of.Incarnation_ && Of.Incarnation_ != 0)
      changeLife(Of, Entry.Incarnation_);
  }
  for (auto &[Id, Each] : Workers_) {
    if (!Each->Listed_ || Present.count(Id) != 0 || !Fresh)
      continue;
    Each->Listed_ = false;
    Each->UnlistedSince_ = Now_;
    Effects_.push_back(Decision{"worker_unlisted", Id, "entry gone", 0});
  }
  PlaceWanted_ = true;
}

void Cell::Engine::sendHold(Worker &To) {
  SendRenewal Out;
  Out.Worker_ = {To.Id_, To.Address_, To.Fence_};
  Out.AcknowledgedEnd_ = To.StoredEnd_;
  // A look without an answer may still renew the lease, so that a worker that
  // stays silent is soon asked without: its lease has to end.
  const bool Renew = To.Reachable_ || Now_ - To.FailingSince_ < RenewUnanswered;
  if (To.ClockAt_ != 0 && To.Settled_ && Renew && Authorized_) {
    Out.Deadline_ = clockOf(To) + Lease;
    To.LeaseEnd_ = std::max(To.LeaseEnd_, Now_ + Lease + LeaseSlack);
    if (To.Reachable_ && To.SeenEnd_ == To.StoredEnd_)
      Out.Wait_ = serves(To) ? ServingWait : HoldWait;
  }
  To.HoldInFlight_ = true;
  Effects_.push_back(std::move(Out));
}

void Cell::Engine::sendStart(Worker &To, const std::string &Name, Run &Of) {
  const Token Id = NextToken_++;
  Orders_[Id] = {To.Id_, Name, Of.Attempt_, To.Fence_, true, -1};
  Of.OrderInFlight_ = true;
  Of.LastOrderAt_ = Now_;
  Of.LastStartAt_ = Now_;
  SendStart Out;
  Out.Token_ = Id;
  Out.Worker_ = {To.Id_, To.Address_, To.Fence_};
  Out.Task_ = Name;
  Out.Attempt_ = Of.Attempt_;
  Out.Job_ = Of.Step_->Job_->Spec_;
  Out.Deadline_ = clockOf(To) + Lease;
  Out.Checkpoint_ = Of.Checkpoint_;
  Out.Ticket_ = Of.Ticket_;
  To.LeaseEnd_ = std::max(To.LeaseEnd_, Now_ + Lease + LeaseSlack);
  Effects_.push_back(std::move(Out));
}

void Cell::Engine::sendStop(Worker &To, const std::string &Name, Run &Of) {
  const Token Id = NextToken_++;
  Orders_[Id] = {To.Id_, Name, Of.Attempt_, To.Fence_, false, -1};
  Of.OrderInFlight_ = true;
  Of.LastOrderAt_ = Now_;
  Effects_.push_back(
      SendStop{Id, {To.Id_, To.Address_, To.Fence_}, Name, Of.Attempt_});
}

void Cell::Engine::stopRun(Worker &On, const std::string &Name, Run &Of,
                           std::string_view Why) {
  if (Of.Phase_ == Run::Phase::Stopping)
    return;
  Of.Phase_ = Run::Phase::Stopping;
  Of.StopConfirmed_ = false;
  Effects_.push_back(Decision{"task_stopping", Name, std::string(Why),
                              Now_ - Of.OrderedAt_, Of.Attempt_});
  sendStop(On, Name, Of);
  memberGone(Of, "a member is stopped");
}

void Cell::Engine::addRun(Worker &On, const std::string &Name, Run Made) {
  On.Used_ = On.Used_ + Made.Need_;
  if (Made.Step_ != nullptr) {
    Made.Priority_ = priorityOf(*Made.Step_);
    Resources &Use = TeamUse_[Made.Step_->Job_->Team_];
    Use = Use + Made.TeamNeed_;
    ++Made.Step_->Job_->LiveRuns_;
    if (Made.Priority_ == FirstPriority_)
      On.UrgentCpu_ += Made.Need_.CpuMilli_;
  }
  On.Runs_[Name] = std::move(Made);
}

void Cell::Engine::dropRun(Worker &On, const std::string &Name) {
  const auto It = On.Runs_.find(Name);
  if (It == On.Runs_.end())
    return;
  const Run Gone = It->second;
  On.Runs_.erase(It);
  On.Used_ = On.Used_ - Gone.Need_;
  PlaceWanted_ = true;
  memberGone(Gone, "a member has ended or is lost");
  if (Gone.Step_ == nullptr)
    return;
  if (Gone.Priority_ == FirstPriority_)
    On.UrgentCpu_ -= Gone.Need_.CpuMilli_;
  Job &Of = *Gone.Step_->Job_;
  Resources &Use = TeamUse_[Of.Team_];
  Use = Use - Gone.TeamNeed_;
  --Of.LiveRuns_;
  if (Of.LiveRuns_ == 0 && Of.End_ && Ended_.count(Of.Id_) != 0)
    forgetJob(Of);
}

void Cell::Engine::loseRun(Worker &On, const std::string &Name,
                           std::string_view Why) {
  const auto It = On.Runs_.find(Name);
  if (It == On.Runs_.end())
    return;
  const Run Gone = It->second;
  Effects_.push_back(Decision{"task_lost", Name, std::string(Why),
                              Now_ - Gone.OrderedAt_, Gone.Attempt_});
  if (Gone.Step_ != nullptr) {
    Task &Of = Gone.Step_->Tasks_[Gone.Index_];
    if (Of.Where_ == &On)
      requeue(*Gone.Step_, Gone.Index_);
  }
  dropRun(On, Name);
}

/// The worker has started anew under its id: its runs are gone, but an order
/// without an answer may still reach the new life until a higher fence does.
void Cell::Engine::changeLife(Worker &Of, Millis Born) {
  Effects_.push_back(Decision{"worker_restarted", Of.Id_, "born changed", 0});
  Of.Incarnation_ = Born;
  ++Of.Lives_;
  Of.Fence_ = Epoch_ * FencesPerEpoch + Of.Lives_;
  Of.Settled_ = false;
  Of.SeenEnd_ = 0;
  Of.StoredEnd_ = 0;
  Of.CommitEnd_ = 0;
  Of.ClockAt_ = 0;
  Of.NextHold_ = Now_;
  std::vector<std::string> Lost;
  for (auto &[Name, Each] : Of.Runs_) {
    if (!Each.Unanswered_ && !Each.OrderInFlight_)
      Lost.push_back(Name);
    Each.ConfirmedClock_ = 0;
    Each.StopConfirmed_ = true;
    Each.Phase_ = Run::Phase::Stopping;
  }
  for (const std::string &Name : Lost)
    loseRun(Of, Name, "worker restarted");
  for (const auto &[Name, Each] : Of.Runs_)
    memberGone(Each, "a member's worker has restarted");
}

/// The id names no life any more: orders that name it are void.
void Cell::Engine::loseWorker(Worker &Gone, std::string_view Why) {
  Effects_.push_back(Decision{"worker_gone", Gone.Id_, std::string(Why), 0});
  Gone.Listed_ = false;
  Gone.UnlistedSince_ = Now_;
  Gone.Reachable_ = false;
  Gone.Settled_ = false;
  Gone.LeaseEnd_ = 0;
  Unsettled_.erase(Gone.Id_);
  std::vector<std::string> Names;
  for (const auto &[Name, Each] : Gone.Runs_)
    Names.push_back(Name);
  for (const std::string &Name : Names)
    loseRun(Gone, Name, Why);
}

void Cell::Engine::expireLease(Worker &Of) {
  std::vector<std::string> Lost;
  for (const auto &[Name, Each] : Of.Runs_)
    if (!Each.Unanswered_ || Now_ > Each.LastStartAt_ + LateOrderLimit)
      Lost.push_back(Name);
  for (const std::string &Name : Lost)
    loseRun(Of, Name, "lease ended");
}

void Cell::Engine::noteHealth(Worker &Of, EndKind Kind, const Job &Cause) {
  if (Kind == EndKind::Done) {
    Of.FailStreak_ = 0;
    return;
  }
  if (Kind != EndKind::Failed)
    return;
  // A job that failed before on another worker says little about this one.
  for (const auto &Step : Cause.Steps_)
    for (const Task &Each : Step->Tasks_)
      if (!Each.FailedAttempts_.empty())
        return;
  if (++Of.FailStreak_ < FailStreakLimit)
    return;
  Of.QuarantineUntil_ = Now_ + QuarantineTime;
  Effects_.push_back(
      Decision{"worker_quarantined", Of.Id_,
               "failed in a row: " + std::to_string(Of.FailStreak_), 0});
}

void Cell::Engine::handle(const OrderOutcome &Outcome) {
  const auto It = Orders_.find(Outcome.Token_);
  if (It == Orders_.end())
    return;
  const OpenOrder Order = It->second;
  Orders_.erase(It);
  Worker *On = findWorker(Order.Worker_);
  if (On == nullptr)
    return;
  if (Outcome.Result_ == OrderResult::OtherIncarnation) {
    loseWorker(*On, "another life at its address");
    return;
  }
  const auto Found = On->Runs_.find(Order.Task_);
  if (Found == On->Runs_.end() || Found->second.Attempt_ != Order.Attempt_)
    return;
  if (Outcome.Incarnation_ > On->Incarnation_ && On->Incarnation_ != 0) {
    // The new life may run what it was told to: its lists decide.
    Found->second.OrderInFlight_ = false;
    Found->second.Unanswered_ = true;
    changeLife(*On, Outcome.Incarnation_);
    return;
  }
  if (Order.Pace_ >= 0) {
    Found->second.PaceOrder_ = 0;
    if (Outcome.Result_ == OrderResult::Done)
      Found->second.ConfirmedPace_ = Order.Pace_;
    return;
  }
  Found->second.OrderInFlight_ = false;
  settleOrder(*On, Order, Found->second, Outcome);
}

void Cell::Engine::settleOrder(Worker &On, const OpenOrder &Order, Run &Of,
                               const OrderOutcome &Outcome) {
  if (Outcome.Result_ == OrderResult::NoAnswer) {
    if (Order.Start_) {
      Of.Unanswered_ = true;
      On.GangsNotBefore_ = Now_ + GangAvoidTime;
    }
    return;
  }
  if (!Order.Start_) {
    if (Outcome.Result_ == OrderResult::Done) {
      Of.StopConfirmed_ = true;
      Of.ConfirmedClock_ = std::max(Of.ConfirmedClock_, Outcome.ClockMs_);
    }
    return;
  }
  if (Outcome.Result_ == OrderResult::Done) {
    Of.ConfirmedClock_ = std::max(Of.ConfirmedClock_, Outcome.ClockMs_);
    confirmStart(Of);
    return;
  }
  StepRun *Step = Of.Step_;
  const std::uint32_t Index = Of.Index_;
  Effects_.push_back(Decision{"start_rejected", Order.Task_, On.Id_,
                              Now_ - Of.OrderedAt_, Of.Attempt_});
  if (Outcome.Result_ != OrderResult::BadTicket)
    On.GangsNotBefore_ = Now_ + GangAvoidTime;
  else if (Step != nullptr)
    Step->Advice_[On.Id_].ValidUntil_ = 0;
  if (Of.Unanswered_) {
    // An earlier copy may have run: the worker's lists decide.
    Of.Phase_ = Run::Phase::Stopping;
    Of.StopConfirmed_ = Outcome.ClockMs_ != 0;
    Of.ConfirmedClock_ = std::max(Of.ConfirmedClock_, Outcome.ClockMs_);
    memberGone(Of, "a member is rejected");
    return;
  }
  if (Step != nullptr)
    Step->Tasks_[Index].NotBefore_ = Now_ + OrderRetry;
  loseRun(On, Order.Task_, "start rejected");
}

void Cell::Engine::handle(const RenewalOutcome &Outcome) {
  Worker *On = findWorker(Outcome.Worker_);
  if (On == nullptr)
    return;
  On->HoldInFlight_ = false;
  if (Outcome.Fence_ != On->Fence_) {
    On->NextHold_ = Now_; // Sent before the fence was raised.
    return;
  }
  switch (Outcome.Result_) {
  case OrderResult::Done:
    takeList(*On, Outcome.List_);
    return;
  case OrderResult::OtherIncarnation:
    loseWorker(*On, "another life at its address");
    return;
  default:
    break;
  }
  if (On->Reachable_ || On->FailingSince_ == 0) {
    On->FailingSince_ = Now_;
    Effects_.push_back(Decision{"worker_unreachable", On->Id_,
                                Outcome.Result_ == OrderResult::Fenced
                                    ? "fenced"
                                    : "no answer to a look",
                                Now_ - On->ClockAt_});
    callOffUnproven(*On);
  }
  On->Reachable_ = false;
  On->NextHold_ = Now_ + HoldRetry;
}

/// Sends looks, repeats orders without an answer and gives up leases.
void Cell::Engine::pumpWorkers() {
  std::vector<std::string> Forgotten;
  for (auto &[Id, Each] : Workers_) {
    Worker &Of = *Each;
    const bool Wanted = Of.Listed_ || !Of.Runs_.empty();
    if (Wanted && !Of.HoldInFlight_ && Now_ >= Of.NextHold_)
      sendHold(Of);
    if (!Of.Reachable_ && Now_ > Of.LeaseEnd_ && !Of.Runs_.empty())
      expireLease(Of);
    if (!Of.Listed_ && Of.Runs_.empty() &&
        Now_ - Of.UnlistedSince_ > UnlistedRetention)
      Forgotten.push_back(Id);
    for (auto &[Name, Run] : Of.Runs_) {
      if (Run.OrderInFlight_ || Now_ < Run.LastOrderAt_ + OrderRetry)
        continue;
      if (Run.Phase_ == Run::Phase::Ordered) {
        if (Now_ - Run.OrderedAt_ < StartPatience && Authorized_)
          sendStart(Of, Name, Run);
        else
          stopRun(Of, Name, Run, "no answer to the start");
      } else if (Run.Phase_ == Run::Phase::Stopping && !Run.StopConfirmed_ &&
                 Now_ >= Run.LastOrderAt_ + StopRetry) {
        sendStop(Of, Name, Run);
      }
    }
  }
  for (const std::string &Id : Forgotten) {
    Workers_.erase(Id);
    Effects_.push_back(Decision{"worker_forgotten", Id, "unlisted", 0});
  }
  if (!Unsettled_.empty() && Now_ >= RecoveryEnd_) {
    Unsettled_.clear();
    PlaceWanted_ = true;
  }
}

} // namespace oleandergauge::cell
