// Workers: membership, leases, orders and their outcomes.

#include <algorithm>

#include "cell/engine.h"

namespace oleandergauge::cell {
namespace {

/// Time that a worker may wait for an end before it answers a look.
constexpr Millis RenewalWait = 1500;
/// The same where services have goals, so that a missed one is seen soon.
constexpr Millis RenewalWaitWithTailGoal = 400;
constexpr Millis RenewalRetryDelay = 150;
/// Time for which a silent worker's lease is still renewed.
constexpr Millis SilentRenewalTime = 700;
/// Pause before an unanswered order is sent again.
constexpr Millis OrderRetryDelay = 60;
/// Time after which an unanswered start is taken back by a stop.
constexpr Millis StartTimeout = 1500;
constexpr Millis StopRetryDelay = 150;
/// Longest time after which an order without an answer is still carried out.
constexpr Millis MaxOrderDelay = 13000;
/// Time for which a worker that left the list is remembered.
constexpr Millis UnlistedRetention = 20000;
/// Failures in a row, of different jobs, that put a worker aside.
constexpr std::uint32_t FailStreakLimit = 2;
constexpr Millis QuarantineTime = 3000;
/// Time for which a worker that rejected a start, or left one unanswered, gets
/// no member of a gang: one member that fails ends the whole attempt.
constexpr Millis GangAvoidanceTime = 1000;
/// A fence is the epoch times this, plus the lives of the worker seen.
constexpr std::uint64_t FencesPerEpoch = 1000;

} // namespace

Worker *Cell::Engine::findWorker(const std::string &Id) {
  const auto It = Workers_.find(Id);
  return It == Workers_.end() ? nullptr : It->second.get();
}

Millis Cell::Engine::workerClock(const Worker &Target) const {
  return Target.ClockMs_ + (Now_ - Target.ClockAt_);
}

bool Cell::Engine::isRecovering() const {
  return !UnconfirmedWorkers_.empty() && Now_ < RecoveryEnd_;
}

void Cell::Engine::setWithdrawnDomains(std::set<std::string> Domains) {
  WithdrawnDomains_ = std::move(Domains);
  PlacementNeeded_ = true;
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
    Worker &Target = *Slot;
    Target.Service_ = Entry.Service_;
    Target.Address_ = Entry.Address_;
    Target.Domain_ = Entry.Domain_;
    Target.Labels_ = Entry.Labels_;
    Target.Rack_ = Entry.Rack_;
    Target.Capacity_ = Entry.Capacity_;
    if (Entry.Draining_ && !Target.Draining_)
      Effects_.push_back(Decision{"worker_draining", Entry.Id_, "listed", 0});
    Target.Draining_ = Entry.Draining_;
    Target.Listed_ = true;
    if (Entry.Incarnation_ > Target.Incarnation_ && Target.Incarnation_ != 0)
      changeIncarnation(Target, Entry.Incarnation_);
  }
  for (auto &[Id, Each] : Workers_) {
    if (!Each->Listed_ || Present.count(Id) != 0 || !Fresh)
      continue;
    Each->Listed_ = false;
    Each->UnlistedSince_ = Now_;
    Effects_.push_back(Decision{"worker_unlisted", Id, "entry gone", 0});
  }
  PlacementNeeded_ = true;
}

void Cell::Engine::sendRenewal(Worker &Target) {
  SendRenewal Out;
  Out.Worker_ = {Target.Id_, Target.Address_, Target.Fence_};
  Out.AcknowledgedEnd_ = Target.LastStoredEnd_;
  // A look without an answer may still renew the lease, so that a worker that
  // stays silent is soon asked without: its lease has to end.
  const bool Renew =
      Target.Reachable_ || Now_ - Target.UnreachableSince_ < SilentRenewalTime;
  if (Target.ClockAt_ != 0 && Target.FenceAccepted_ && Renew && Authorized_) {
    Out.Deadline_ = workerClock(Target) + LeaseTime;
    Target.LeaseEnd_ =
        std::max(Target.LeaseEnd_, Now_ + LeaseTime + LeaseClockSlack);
    if (Target.Reachable_ && Target.LastSeenEnd_ == Target.LastStoredEnd_)
      Out.Wait_ =
          runsTaskWithTailGoal(Target) ? RenewalWaitWithTailGoal : RenewalWait;
  }
  Target.RenewalInFlight_ = true;
  Effects_.push_back(std::move(Out));
}

void Cell::Engine::sendStart(Worker &Target, const std::string &Name,
                             Run &TargetRun) {
  const Token Id = NextToken_++;
  PendingOrders_[Id] = {Target.Id_,    Name, TargetRun.Attempt_,
                        Target.Fence_, true, -1};
  TargetRun.OrderInFlight_ = true;
  TargetRun.LastOrderAt_ = Now_;
  TargetRun.LastStartAt_ = Now_;
  SendStart Out;
  Out.Token_ = Id;
  Out.Worker_ = {Target.Id_, Target.Address_, Target.Fence_};
  Out.Task_ = Name;
  Out.Attempt_ = TargetRun.Attempt_;
  Out.Job_ = TargetRun.Step_->Job_->Spec_;
  Out.Deadline_ = workerClock(Target) + LeaseTime;
  Out.Checkpoint_ = TargetRun.Checkpoint_;
  Out.Ticket_ = TargetRun.Ticket_;
  Target.LeaseEnd_ =
      std::max(Target.LeaseEnd_, Now_ + LeaseTime + LeaseClockSlack);
  Effects_.push_back(std::move(Out));
}

void Cell::Engine::sendStop(Worker &Target, const std::string &Name,
                            Run &TargetRun) {
  const Token Id = NextToken_++;
  PendingOrders_[Id] = {Target.Id_,    Name,  TargetRun.Attempt_,
                        Target.Fence_, false, -1};
  TargetRun.OrderInFlight_ = true;
  TargetRun.LastOrderAt_ = Now_;
  Effects_.push_back(SendStop{Id,
                              {Target.Id_, Target.Address_, Target.Fence_},
                              Name,
                              TargetRun.Attempt_});
}

void Cell::Engine::stopRun(Worker &Target, const std::string &Name,
                           Run &TargetRun, std::string_view Why) {
  if (TargetRun.Phase_ == Run::Phase::Stopping)
    return;
  TargetRun.Phase_ = Run::Phase::Stopping;
  TargetRun.StopConfirmed_ = false;
  Effects_.push_back(Decision{"task_stopping", Name, std::string(Why),
                              Now_ - TargetRun.OrderedAt_, TargetRun.Attempt_});
  sendStop(Target, Name, TargetRun);
  abortGangOf(TargetRun, "a member is stopped");
}

void Cell::Engine::addRun(Worker &Target, const std::string &Name, Run Made) {
  Target.Used_ = Target.Used_ + Made.Need_;
  if (Made.Step_ != nullptr) {
    Made.Priority_ = priorityOf(*Made.Step_);
    Resources &Use = TeamUsage_[Made.Step_->Job_->Team_];
    Use = Use + Made.TeamNeed_;
    ++Made.Step_->Job_->LiveRuns_;
    if (Made.Priority_ == HighestPriority_)
      Target.UrgentCpu_ += Made.Need_.CpuMilli_;
  }
  Target.Runs_[Name] = std::move(Made);
}

void Cell::Engine::dropRun(Worker &Target, const std::string &Name) {
  const auto It = Target.Runs_.find(Name);
  if (It == Target.Runs_.end())
    return;
  const Run Gone = It->second;
  Target.Runs_.erase(It);
  Target.Used_ = Target.Used_ - Gone.Need_;
  PlacementNeeded_ = true;
  abortGangOf(Gone, "a member has ended or is lost");
  if (Gone.Step_ == nullptr)
    return;
  if (Gone.Priority_ == HighestPriority_)
    Target.UrgentCpu_ -= Gone.Need_.CpuMilli_;
  Job &TargetJob = *Gone.Step_->Job_;
  Resources &Use = TeamUsage_[TargetJob.Team_];
  Use = Use - Gone.TeamNeed_;
  --TargetJob.LiveRuns_;
  if (TargetJob.LiveRuns_ == 0 && TargetJob.EndState_ &&
      EndedRecords_.count(TargetJob.Id_) != 0)
    forgetJob(TargetJob);
}

void Cell::Engine::loseRun(Worker &Target, const std::string &Name,
                           std::string_view Why) {
  const auto It = Target.Runs_.find(Name);
  if (It == Target.Runs_.end())
    return;
  const Run Gone = It->second;
  Effects_.push_back(Decision{"task_lost", Name, std::string(Why),
                              Now_ - Gone.OrderedAt_, Gone.Attempt_});
  if (Gone.Step_ != nullptr) {
    Task &TargetTask = Gone.Step_->Tasks_[Gone.Index_];
    if (TargetTask.AssignedWorker_ == &Target)
      requeueTask(*Gone.Step_, Gone.Index_);
  }
  dropRun(Target, Name);
}

/// The worker has started anew under its id: its runs are gone, but an order
/// without an answer may still reach the new life until a higher fence does.
void Cell::Engine::changeIncarnation(Worker &Target, Millis Born) {
  Effects_.push_back(
      Decision{"worker_restarted", Target.Id_, "born changed", 0});
  Target.Incarnation_ = Born;
  ++Target.IncarnationCount_;
  Target.Fence_ = Epoch_ * FencesPerEpoch + Target.IncarnationCount_;
  Target.FenceAccepted_ = false;
  Target.LastSeenEnd_ = 0;
  Target.LastStoredEnd_ = 0;
  Target.LastCommitEnd_ = 0;
  Target.ClockAt_ = 0;
  Target.NextRenewal_ = Now_;
  std::vector<std::string> Lost;
  for (auto &[Name, Each] : Target.Runs_) {
    if (!Each.Unanswered_ && !Each.OrderInFlight_)
      Lost.push_back(Name);
    Each.ConfirmedClock_ = 0;
    Each.StopConfirmed_ = true;
    Each.Phase_ = Run::Phase::Stopping;
  }
  for (const std::string &Name : Lost)
    loseRun(Target, Name, "worker restarted");
  for (const auto &[Name, Each] : Target.Runs_)
    abortGangOf(Each, "a member's worker has restarted");
}

/// The id names no life any more: orders that name it are void.
void Cell::Engine::loseWorker(Worker &Gone, std::string_view Why) {
  Effects_.push_back(Decision{"worker_gone", Gone.Id_, std::string(Why), 0});
  Gone.Listed_ = false;
  Gone.UnlistedSince_ = Now_;
  Gone.Reachable_ = false;
  Gone.FenceAccepted_ = false;
  Gone.LeaseEnd_ = 0;
  UnconfirmedWorkers_.erase(Gone.Id_);
  std::vector<std::string> Names;
  for (const auto &[Name, Each] : Gone.Runs_)
    Names.push_back(Name);
  for (const std::string &Name : Names)
    loseRun(Gone, Name, Why);
}

void Cell::Engine::expireLease(Worker &Target) {
  std::vector<std::string> Lost;
  for (const auto &[Name, Each] : Target.Runs_)
    if (!Each.Unanswered_ || Now_ > Each.LastStartAt_ + MaxOrderDelay)
      Lost.push_back(Name);
  for (const std::string &Name : Lost)
    loseRun(Target, Name, "lease ended");
}

void Cell::Engine::recordHealth(Worker &Target, EndKind Kind,
                                const Job &Cause) {
  if (Kind == EndKind::Done) {
    Target.FailStreak_ = 0;
    return;
  }
  if (Kind != EndKind::Failed)
    return;
  // A job that failed before on another worker says little about this one.
  for (const auto &Step : Cause.Steps_)
    for (const Task &Each : Step->Tasks_)
      if (!Each.FailedAttempts_.empty())
        return;
  if (++Target.FailStreak_ < FailStreakLimit)
    return;
  Target.QuarantineUntil_ = Now_ + QuarantineTime;
  Effects_.push_back(
      Decision{"worker_quarantined", Target.Id_,
               "failed in a row: " + std::to_string(Target.FailStreak_), 0});
}

void Cell::Engine::handle(const OrderOutcome &Outcome) {
  const auto It = PendingOrders_.find(Outcome.Token_);
  if (It == PendingOrders_.end())
    return;
  const PendingOrder Order = It->second;
  PendingOrders_.erase(It);
  Worker *Target = findWorker(Order.Worker_);
  if (Target == nullptr)
    return;
  if (Outcome.Result_ == OrderResult::OtherIncarnation) {
    loseWorker(*Target, "another life at its address");
    return;
  }
  const auto Found = Target->Runs_.find(Order.Task_);
  if (Found == Target->Runs_.end() || Found->second.Attempt_ != Order.Attempt_)
    return;
  if (Outcome.Incarnation_ > Target->Incarnation_ &&
      Target->Incarnation_ != 0) {
    // The new life may run what it was told to: its lists decide.
    Found->second.OrderInFlight_ = false;
    Found->second.Unanswered_ = true;
    changeIncarnation(*Target, Outcome.Incarnation_);
    return;
  }
  if (Order.Pace_ >= 0) {
    Found->second.PaceOrder_ = 0;
    if (Outcome.Result_ == OrderResult::Done)
      Found->second.ConfirmedPace_ = Order.Pace_;
    return;
  }
  Found->second.OrderInFlight_ = false;
  applyOrderOutcome(*Target, Order, Found->second, Outcome);
}

void Cell::Engine::applyOrderOutcome(Worker &Target, const PendingOrder &Order,
                                     Run &TargetRun,
                                     const OrderOutcome &Outcome) {
  if (Outcome.Result_ == OrderResult::NoAnswer) {
    if (Order.IsStart_) {
      TargetRun.Unanswered_ = true;
      Target.GangsNotBefore_ = Now_ + GangAvoidanceTime;
    }
    return;
  }
  if (!Order.IsStart_) {
    if (Outcome.Result_ == OrderResult::Done) {
      TargetRun.StopConfirmed_ = true;
      TargetRun.ConfirmedClock_ =
          std::max(TargetRun.ConfirmedClock_, Outcome.ClockMs_);
    }
    return;
  }
  if (Outcome.Result_ == OrderResult::Done) {
    TargetRun.ConfirmedClock_ =
        std::max(TargetRun.ConfirmedClock_, Outcome.ClockMs_);
    confirmStart(TargetRun);
    return;
  }
  StepRun *Step = TargetRun.Step_;
  const std::uint32_t Index = TargetRun.Index_;
  Effects_.push_back(Decision{"start_rejected", Order.Task_, Target.Id_,
                              Now_ - TargetRun.OrderedAt_, TargetRun.Attempt_});
  if (Outcome.Result_ != OrderResult::BadTicket)
    Target.GangsNotBefore_ = Now_ + GangAvoidanceTime;
  else if (Step != nullptr)
    Step->Advice_[Target.Id_].ValidUntil_ = 0;
  if (TargetRun.Unanswered_) {
    // An earlier copy may have run: the worker's lists decide.
    TargetRun.Phase_ = Run::Phase::Stopping;
    TargetRun.StopConfirmed_ = Outcome.ClockMs_ != 0;
    TargetRun.ConfirmedClock_ =
        std::max(TargetRun.ConfirmedClock_, Outcome.ClockMs_);
    abortGangOf(TargetRun, "a member is rejected");
    return;
  }
  if (Step != nullptr)
    Step->Tasks_[Index].NotBefore_ = Now_ + OrderRetryDelay;
  loseRun(Target, Order.Task_, "start rejected");
}

void Cell::Engine::handle(const RenewalOutcome &Outcome) {
  Worker *Target = findWorker(Outcome.Worker_);
  if (Target == nullptr)
    return;
  Target->RenewalInFlight_ = false;
  if (Outcome.Fence_ != Target->Fence_) {
    Target->NextRenewal_ = Now_; // Sent before the fence was raised.
    return;
  }
  switch (Outcome.Result_) {
  case OrderResult::Done:
    processList(*Target, Outcome.List_);
    return;
  case OrderResult::OtherIncarnation:
    loseWorker(*Target, "another life at its address");
    return;
  default:
    break;
  }
  if (Target->Reachable_ || Target->UnreachableSince_ == 0) {
    Target->UnreachableSince_ = Now_;
    Effects_.push_back(Decision{"worker_unreachable", Target->Id_,
                                Outcome.Result_ == OrderResult::Fenced
                                    ? "fenced"
                                    : "no answer to a look",
                                Now_ - Target->ClockAt_});
    abortGangsWithoutProgress(*Target);
  }
  Target->Reachable_ = false;
  Target->NextRenewal_ = Now_ + RenewalRetryDelay;
}

/// Sends looks, repeats orders without an answer and gives up leases.
void Cell::Engine::advanceWorkers() {
  std::vector<std::string> Forgotten;
  for (auto &[Id, Each] : Workers_) {
    Worker &Target = *Each;
    const bool Wanted = Target.Listed_ || !Target.Runs_.empty();
    if (Wanted && !Target.RenewalInFlight_ && Now_ >= Target.NextRenewal_)
      sendRenewal(Target);
    if (!Target.Reachable_ && Now_ > Target.LeaseEnd_ && !Target.Runs_.empty())
      expireLease(Target);
    if (!Target.Listed_ && Target.Runs_.empty() &&
        Now_ - Target.UnlistedSince_ > UnlistedRetention)
      Forgotten.push_back(Id);
    for (auto &[Name, Run] : Target.Runs_) {
      if (Run.OrderInFlight_ || Now_ < Run.LastOrderAt_ + OrderRetryDelay)
        continue;
      if (Run.Phase_ == Run::Phase::Ordered) {
        if (Now_ - Run.OrderedAt_ < StartTimeout && Authorized_)
          sendStart(Target, Name, Run);
        else
          stopRun(Target, Name, Run, "no answer to the start");
      } else if (Run.Phase_ == Run::Phase::Stopping && !Run.StopConfirmed_ &&
                 Now_ >= Run.LastOrderAt_ + StopRetryDelay) {
        sendStop(Target, Name, Run);
      }
    }
  }
  for (const std::string &Id : Forgotten) {
    Workers_.erase(Id);
    Effects_.push_back(Decision{"worker_forgotten", Id, "unlisted", 0});
  }
  if (!UnconfirmedWorkers_.empty() && Now_ >= RecoveryEnd_) {
    UnconfirmedWorkers_.clear();
    PlacementNeeded_ = true;
  }
}

} // namespace oleandergauge::cell
