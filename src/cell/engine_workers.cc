// Workers: membership, leases, orders and their outcomes.

#include <algorithm>
#include <limits>

#include "cell/engine.h"

namespace oleandergauge::cell {
namespace {

/// Time that a worker may hold a renewal until a run ends.
constexpr Millis RenewalWait = 1500;
/// The same time on workers with a tail latency goal, so that a missed goal is
/// noticed early.
constexpr Millis RenewalWaitWithTailGoal = 400;
/// Delay before a failed lease renewal is retried.
constexpr Millis RenewalRetryDelay = 150;
/// Time for which the lease of an unreachable worker is still renewed.
constexpr Millis SilentRenewalTime = 700;
/// Delay before a start that was unanswered or rejected is sent again.
constexpr Millis OrderRetryDelay = 60;
/// Time after which an unanswered start is revoked by a stop.
constexpr Millis StartTimeout = 1500;
/// Delay before an unanswered stop is sent again.
constexpr Millis StopRetryDelay = 150;
/// Each worker is examined at least this often, since its lease, a late order
/// and its retention end without an event.
constexpr Millis MaxExamineInterval = 200;
constexpr Millis NeverDue = std::numeric_limits<Millis>::max();
/// Longest time after which an unanswered order may still be carried out.
constexpr Millis MaxOrderDelay = 13000;
/// Time for which an unlisted worker without runs is kept.
constexpr Millis UnlistedRetention = 20000;
/// Consecutive failures, each of a different job, after which a worker is
/// quarantined.
constexpr std::uint32_t FailStreakLimit = 2;
/// Time for which a quarantined worker gets no new tasks.
constexpr Millis QuarantineTime = 3000;
/// Time for which a worker that rejected or did not answer a start gets no gang
/// members, since one failed member aborts the whole attempt.
constexpr Millis GangAvoidanceTime = 1000;
/// Fences are numbered by epoch times this factor plus the number of restarts
/// of the worker that this owner has seen.
constexpr std::uint64_t FencesPerEpoch = 1000;
/// Longest time from the sending of a renewal or an order until it is carried
/// out, unless it is delayed by MaxOrderDelay.
constexpr Millis MaxCallTime = 2000;
/// Largest time by which the clock in an answer may lag the estimate: the delay
/// of the answer, and the drift of a slow clock since the latest list.
constexpr Millis MaxClockLag = 200;
/// Longest time after a worker's start in which an order to its former
/// incarnation is carried out: its owner hears of the restart with the next
/// heartbeat and raises the fence, or a call under way arrives. It includes the
/// difference between the wall clocks of a worker and of this host.
constexpr Millis MaxStrayTime = 4500;
/// Error of a comparison of a worker's clock with the owner's.
constexpr Millis ClockTolerance = 50;

} // namespace

Worker *Cell::Engine::findWorker(const std::string &Id) {
  const auto It = Workers_.find(Id);
  return It == Workers_.end() ? nullptr : It->second.get();
}

WorkerAddress Cell::Engine::addressOf(const Worker &Target) {
  return {Target.Id_, Target.Address_, Target.Fence_};
}

/// Returns the worker of that number; null if there is none any more.
Worker *Cell::Engine::workerAt(WorkerNumber Number) const {
  return WorkersByNumber_[Number];
}

/// Returns the estimated present time on the worker's clock.
Millis Cell::Engine::workerClock(const Worker &Target) const {
  return Target.ClockMs_ + (Now_ - Target.ClockAt_);
}

/// Returns whether runs of a former owner may still exist unseen.
bool Cell::Engine::isRecovering() const { return !UnconfirmedWorkers_.empty(); }

/// Returns when a lease has certainly ended that an order to a former
/// incarnation of the worker got the present one.
Millis Cell::Engine::strayLeaseEnd(const Worker &Target) const {
  const Millis StartedAt = Now_ - (Wall_ - Target.Incarnation_);
  return StartedAt + MaxStrayTime + longestLease(Limits_);
}

/// Returns when the leases on a worker that a former owner granted have
/// certainly ended.
Millis Cell::Engine::recoveryEndOf(const Worker *Target) const {
  if (Target == nullptr || !Target->Listed_)
    return RecoveryEnd_;
  const Millis Extra =
      std::max<Millis>(0, longestLease(Limits_) - LeaseTime - LeaseClockSlack);
  return std::clamp(strayLeaseEnd(*Target), RecoveryEnd_, RecoveryEnd_ + Extra);
}

/// Ends the wait for workers that have not answered since the takeover: the
/// leases of a former owner have ended. A worker that answers, but has more
/// ends than a list holds, may still report that an inherited task is done.
void Cell::Engine::endRecoveryWithoutContact() {
  if (UnconfirmedWorkers_.empty() || Now_ < RecoveryEnd_)
    return;
  const auto HasEnded = [this](const std::string &Id) {
    const Worker *Target = findWorker(Id);
    if (Now_ < recoveryEndOf(Target))
      return false;
    if (Target == nullptr || !Target->FenceAccepted_ || !Target->EndsHidden_)
      return true;
    return !Target->Reachable_ && Now_ > Target->LeaseEnd_;
  };
  if (std::erase_if(UnconfirmedWorkers_, HasEnded) != 0)
    PlacementNeeded_ = true;
}

void Cell::Engine::setWithdrawnDomains(std::set<std::string> Domains) {
  WithdrawnDomains_ = std::move(Domains);
  PlacementNeeded_ = true;
}

/// Takes from an entry what the worker is, unless a list has shown a later
/// incarnation than the one that wrote the entry.
void Cell::Engine::describeWorker(Worker &Target, const WorkerEntry &Entry) {
  const bool HasIncarnation = Entry.Incarnation_ != 0;
  if (HasIncarnation && Entry.Incarnation_ < Target.Incarnation_)
    return;
  Target.DescribedIncarnation_ =
      HasIncarnation ? Entry.Incarnation_ : Target.Incarnation_;
  Target.Service_ = Entry.Service_;
  Target.Domain_ = Entry.Domain_;
  Target.Labels_ = Entry.Labels_;
  Target.Rack_ = Entry.Rack_;
  Target.Capacity_ = Entry.Capacity_;
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
      Slot->Number_ = static_cast<WorkerNumber>(WorkersByNumber_.size());
      WorkersByNumber_.push_back(Slot.get());
      Slot->Incarnation_ = Entry.Incarnation_;
      const auto Restarts = RestartCounts_.find(Entry.Id_);
      if (Restarts != RestartCounts_.end())
        Slot->RestartCount_ = Restarts->second;
      Slot->Fence_ = Epoch_ * FencesPerEpoch + Slot->RestartCount_;
      Effects_.push_back(Decision{"worker_found", Entry.Id_, Entry.Domain_, 0});
    }
    Worker &Target = *Slot;
    Target.Address_ = Entry.Address_;
    describeWorker(Target, Entry);
    if (Entry.Draining_ && !Target.Draining_)
      Effects_.push_back(Decision{"worker_draining", Entry.Id_, "listed", 0});
    Target.Draining_ = Entry.Draining_;
    if (!Target.Listed_)
      markDue(Target);
    Target.Listed_ = true;
    updateUsedWorker(Target);
    if (Entry.Incarnation_ > Target.Incarnation_ && Target.Incarnation_ != 0)
      changeIncarnation(Target, Entry.Incarnation_);
  }
  for (auto &[Id, Each] : Workers_) {
    if (!Each->Listed_ || Present.count(Id) != 0 || !Fresh)
      continue;
    Each->Listed_ = false;
    Each->UnlistedSince_ = Now_;
    updateUsedWorker(*Each);
    Effects_.push_back(
        Decision{"worker_unlisted", Id, "entry removed from the store", 0});
  }
  PlacementNeeded_ = true;
}

void Cell::Engine::sendRenewal(Worker &Target) {
  SendRenewal Out;
  Out.Token_ = NextToken_++;
  Out.Worker_ = addressOf(Target);
  // The worker may have restarted since it last answered. The new incarnation
  // counts its ends anew, and would forget some that no owner has read.
  if (Target.Reachable_ && Target.FenceAccepted_ && Target.ListsEnds_)
    Out.AcknowledgedEnd_ = Target.LastStoredEnd_;
  // An unanswered renewal may still extend the lease. Renewals of an
  // unreachable worker therefore soon stop requesting one, so that the lease
  // can end.
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
  Target.Renewal_ = Out.Token_;
  Target.RenewalSentAt_ = Now_;
  Effects_.push_back(std::move(Out));
}

void Cell::Engine::sendStart(Worker &Target, const std::string &Name,
                             Run &TargetRun) {
  const Token Id = NextToken_++;
  PendingOrders_[Id] = {addressOf(Target),
                        Name,
                        TargetRun.Attempt_,
                        Target.ClockMs_,
                        Target.ListRequestedAt_,
                        true,
                        -1};
  TargetRun.OrderInFlight_ = true;
  ++TargetRun.SentStarts_;
  ++TargetRun.OpenStarts_;
  TargetRun.LastOrderAt_ = Now_;
  TargetRun.LastStartAt_ = Now_;
  SendStart Out;
  Out.Token_ = Id;
  Out.Worker_ = addressOf(Target);
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
  PendingOrders_[Id] = {addressOf(Target),
                        Name,
                        TargetRun.Attempt_,
                        Target.ClockMs_,
                        Target.ListRequestedAt_,
                        false,
                        -1};
  TargetRun.OrderInFlight_ = true;
  TargetRun.LastOrderAt_ = Now_;
  Effects_.push_back(SendStop{Id, addressOf(Target), Name, TargetRun.Attempt_});
}

void Cell::Engine::stopRun(Worker &Target, const std::string &Name,
                           Run &TargetRun, std::string_view Why) {
  if (TargetRun.Phase_ == Run::Phase::Stopping)
    return;
  setPhase(Target, TargetRun, Run::Phase::Stopping);
  TargetRun.StopConfirmed_ = false;
  Effects_.push_back(Decision{"task_stopping", Name, std::string(Why),
                              Now_ - TargetRun.OrderedAt_, TargetRun.Attempt_});
  Effects_.push_back(DurationSample{"stopped_run", std::string(Why),
                                    Now_ - TargetRun.OrderedAt_});
  sendStop(Target, Name, TargetRun);
  abortGangOf(TargetRun, "member is being stopped");
}

void Cell::Engine::addRun(Worker &Target, const std::string &Name, Run NewRun) {
  markDue(Target);
  dropRun(Target, Name); // An earlier attempt, whose end did not count.
  Target.Used_ = Target.Used_ + NewRun.Need_;
  if (NewRun.Step_ != nullptr) {
    NewRun.Priority_ = priorityOf(*NewRun.Step_);
    Resources &Usage = TeamUsage_[NewRun.Step_->Job_->Team_];
    Usage = Usage + NewRun.TeamNeed_;
    ++NewRun.Step_->LiveRuns_;
    ++NewRun.Step_->Job_->LiveRuns_;
  }
  addNeeds(Target.Needs_, NewRun);
  Target.Runs_[Name] = std::move(NewRun);
  ++LiveRuns_;
  updateUsedWorker(Target);
}

/// Removes a run from the worker and from all sums, without a new attempt.
void Cell::Engine::dropRun(Worker &Target, const std::string &Name) {
  const auto It = Target.Runs_.find(Name);
  if (It == Target.Runs_.end())
    return;
  const Run Gone = It->second;
  Target.Runs_.erase(It);
  --LiveRuns_;
  updateUsedWorker(Target);
  const Resources UsedBefore = Target.Used_;
  Target.Used_ = Target.Used_ - Gone.Need_;
  recordFreed(Target, UsedBefore);
  subtractNeeds(Target.Needs_, Gone);
  PlacementNeeded_ = true;
  abortGangOf(Gone, "member ended or was lost");
  if (Gone.Step_ == nullptr)
    return;
  Job &TargetJob = *Gone.Step_->Job_;
  Resources &Usage = TeamUsage_[TargetJob.Team_];
  Usage = Usage - Gone.TeamNeed_;
  --Gone.Step_->LiveRuns_;
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
    if (TargetTask.AssignedWorker_ == Target.Number_)
      requeueTask(*Gone.Step_, Gone.Index_);
  }
  dropRun(Target, Name);
}

/// Returns false if the clock in the answer to an order proves that another
/// incarnation gave it than the one the order was meant for. A clock never goes
/// back and runs at most as fast as the owner's.
bool Cell::Engine::mayBeSameIncarnation(const PendingOrder &Order,
                                        Millis ClockMs) const {
  if (ClockMs == 0 || Order.ListRequestedAt_ == 0)
    return true; // Nothing to compare with.
  const Millis Latest = Order.ClockMs_ + (Now_ - Order.ListRequestedAt_);
  return ClockMs >= Order.ClockMs_ && ClockMs <= Latest + ClockTolerance;
}

/// Returns whether the clock in an answer that has just arrived agrees with the
/// estimate from the worker's latest list.
bool Cell::Engine::continuesClock(const Worker &Target, Millis ClockMs) const {
  const Millis Expected = workerClock(Target);
  return Target.ClockAt_ != 0 && ClockMs <= Expected + ClockTolerance &&
         ClockMs >= Expected - MaxClockLag;
}

/// Returns whether a later incarnation of the worker than the present one may
/// have the run. A restarted worker carries out orders that were meant for its
/// former incarnation, and answers do not tell which one gave them. Only a list
/// does, so that the present one has certainly answered what was answered
/// before it was asked for its latest list.
bool Cell::Engine::mayRunInLaterIncarnation(const Worker &Target,
                                            const Run &TargetRun) const {
  return TargetRun.OpenStarts_ > 0 ||
         TargetRun.StartAnsweredAt_ > Target.ListRequestedAt_;
}

/// Keeps a run that the worker may or may not have until its next list tells.
void Cell::Engine::keepForNextList(Worker &Target, Run &TargetRun) {
  TargetRun.OrderInFlight_ = false;
  TargetRun.ConfirmedClock_ = 0;
  TargetRun.StartClockMatches_ = false;
  if (TargetRun.Step_ != nullptr && TargetRun.Step_->spec().Fill_)
    TargetRun.ConfirmedPace_ = -1; // An order may have reached either.
  TargetRun.PaceOrder_ = 0;
  TargetRun.Percent_ = -1;
  // Only a running run is lost if a complete list does not contain it.
  if (TargetRun.Phase_ == Run::Phase::Ordered)
    setPhase(Target, TargetRun, Run::Phase::Running);
  // If the list contains a run that was being stopped, it is stopped again.
  TargetRun.StopConfirmed_ = TargetRun.Phase_ == Run::Phase::Stopping;
  TargetRun.LastOrderAt_ = 0;
}

/// Stops using the worker until it has answered a new renewal. The one in
/// flight may have gone to a former incarnation and no longer counts.
void Cell::Engine::suspendUntilNextList(Worker &Target) {
  Target.FenceAccepted_ = false;
  Target.Renewal_ = 0;
  Target.NextRenewal_ = Now_;
  markDue(Target);
}

/// Notes that orders with deadlines on the clock of a former incarnation may
/// have reached the present one.
void Cell::Engine::assumeLongestLease(Worker &Target) {
  Target.LeaseEnd_ = std::max(Target.LeaseEnd_, Now_ + longestLease(Limits_));
}

/// Handles a restart of the worker under its id. Its runs are gone, but those
/// whose orders may have reached the new incarnation are kept until it has
/// listed what it runs. The higher fence makes orders void there that are still
/// under way.
void Cell::Engine::changeIncarnation(Worker &Target, Millis Incarnation) {
  Target.Incarnation_ = Incarnation;
  RestartCounts_[Target.Id_] = ++Target.RestartCount_;
  Target.Fence_ = Epoch_ * FencesPerEpoch + Target.RestartCount_;
  Target.EndsHidden_ = false;
  Target.LastSeenEnd_ = 0;
  Target.LastStoredEnd_ = 0;
  Target.LastCommitEnd_ = 0;
  Target.UnstoredEnds_.clear();
  Target.ClockAt_ = 0;
  suspendUntilNextList(Target);
  std::vector<std::string> Lost;
  for (auto &[Name, Each] : Target.Runs_)
    if (mayRunInLaterIncarnation(Target, Each))
      keepForNextList(Target, Each);
    else
      Lost.push_back(Name);
  Target.ClockMs_ = 0;
  Target.ListRequestedAt_ = 0;
  assumeLongestLease(Target);
  Effects_.push_back(Decision{
      "worker_restarted", Target.Id_,
      std::to_string(Lost.size()) + " runs lost, " +
          std::to_string(Target.Runs_.size() - Lost.size()) + " uncertain",
      0});
  dropTicketsOn(Target);
  for (const std::string &Name : Lost)
    loseRun(Target, Name, "worker restarted");
  for (const auto &[Name, Each] : Target.Runs_)
    abortGangOf(Each, "worker of a member restarted");
}

/// Handles a worker whose incarnation has ended without a known successor:
/// orders to it are void.
void Cell::Engine::loseWorker(Worker &Gone, std::string_view Why) {
  Effects_.push_back(Decision{"worker_gone", Gone.Id_, std::string(Why), 0});
  Gone.Listed_ = false;
  updateUsedWorker(Gone);
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

/// Drops the runs of an unreachable worker once their leases have ended. A run
/// that a later incarnation may have is kept for the longest lease, and one
/// with an unanswered order until no copy of the order can arrive any more. A
/// matching clock in the answer to the start is enough here, since no list or
/// entry has shown a restart.
void Cell::Engine::expireLease(Worker &Target) {
  const Millis LatestGrantAt = Target.LeaseEnd_ - LeaseTime - LeaseClockSlack;
  std::vector<std::string> Lost;
  for (const auto &[Name, Each] : Target.Runs_) {
    const bool Certain = Each.OpenStarts_ == 0 && Each.StartClockMatches_;
    if (!Certain && mayRunInLaterIncarnation(Target, Each) &&
        Now_ <= LatestGrantAt + MaxCallTime + longestLease(Limits_))
      continue;
    if (Each.OpenStarts_ == 0 || Now_ > Each.LastStartAt_ + MaxOrderDelay)
      Lost.push_back(Name);
  }
  for (const std::string &Name : Lost)
    loseRun(Target, Name, "lease ended");
}

/// Counts consecutive failures on a worker and quarantines it at the limit.
void Cell::Engine::recordHealth(Worker &Target, EndKind Kind,
                                const Job &Cause) {
  if (Kind == EndKind::Done) {
    Target.FailStreak_ = 0;
    return;
  }
  if (Kind != EndKind::Failed)
    return;
  // A job that has already failed elsewhere says little about this worker.
  for (const auto &Step : Cause.Steps_)
    for (const Task &Each : Step->Tasks_)
      if (!Each.FailedAttempts_.empty())
        return;
  if (++Target.FailStreak_ < FailStreakLimit)
    return;
  Target.QuarantineUntil_ = Now_ + QuarantineTime;
  Effects_.push_back(Decision{
      "worker_quarantined", Target.Id_,
      "consecutive failures: " + std::to_string(Target.FailStreak_), 0});
}

void Cell::Engine::handle(const OrderOutcome &Outcome) {
  const auto It = PendingOrders_.find(Outcome.Token_);
  if (It == PendingOrders_.end())
    return;
  const PendingOrder Order = It->second;
  PendingOrders_.erase(It);
  Worker *Target = findWorker(Order.Worker_.Id_);
  // What became of an order to a former incarnation is told by the first list
  // after the restart.
  if (Target == nullptr || Order.Worker_.Fence_ != Target->Fence_)
    return;
  markDue(*Target);
  if (Outcome.Result_ == OrderResult::OtherIncarnation &&
      Order.Worker_.Address_ == Target->Address_) {
    loseWorker(*Target, "another incarnation at its address");
    return;
  }
  const auto Found = Target->Runs_.find(Order.Task_);
  const bool Known =
      Found != Target->Runs_.end() && Found->second.Attempt_ == Order.Attempt_;
  if (Known)
    applyOrderOutcome(*Target, Order, Found->second, Outcome);
  if (!mayBeSameIncarnation(Order, Outcome.ClockMs_) &&
      Target->FenceAccepted_) {
    Effects_.push_back(
        Decision{"worker_restart_suspected", Target->Id_,
                 "clock=" + std::to_string(Outcome.ClockMs_) +
                     " expected=" + std::to_string(workerClock(*Target)),
                 Now_ - Target->ClockAt_, Order.Attempt_});
    suspendUntilNextList(*Target);
  }
}

bool Cell::Engine::maySend(Token Order) {
  const auto Pending = PendingOrders_.find(Order);
  if (Pending == PendingOrders_.end())
    return false;
  const PendingOrder &Each = Pending->second;
  const Worker *Target = findWorker(Each.Worker_.Id_);
  if (Target == nullptr || Target->Fence_ != Each.Worker_.Fence_)
    return false;
  const auto Found = Target->Runs_.find(Each.Task_);
  if (Found == Target->Runs_.end() || Found->second.Attempt_ != Each.Attempt_)
    return false;
  return !Each.IsStart_ || Found->second.Phase_ == Run::Phase::Ordered;
}

/// Takes back a start order that was not sent. The room of the run is free, and
/// no stop is owed, unless an earlier copy of the order was sent.
void Cell::Engine::withdrawStart(Worker &Target, const std::string &Task,
                                 Run &TargetRun) {
  if (TargetRun.OpenStarts_ > 0)
    --TargetRun.OpenStarts_;
  if (--TargetRun.SentStarts_ == 0)
    loseRun(Target, Task, "start was not sent");
}

/// Applies the outcome of an order to its run.
void Cell::Engine::applyOrderOutcome(Worker &Target, const PendingOrder &Order,
                                     Run &TargetRun,
                                     const OrderOutcome &Outcome) {
  if (Order.Pace_ >= 0) {
    TargetRun.PaceOrder_ = 0;
    if (Outcome.Result_ == OrderResult::Done)
      TargetRun.ConfirmedPace_ = Order.Pace_;
    return;
  }
  TargetRun.OrderInFlight_ = false;
  if (!Order.IsStart_) {
    applyStopOutcome(TargetRun, Outcome);
    return;
  }
  if (Outcome.Result_ == OrderResult::NotSent) {
    withdrawStart(Target, Order.Task_, TargetRun);
    return;
  }
  if (Outcome.Result_ == OrderResult::NoAnswer) {
    Target.GangsNotBefore_ = Now_ + GangAvoidanceTime;
    return;
  }
  if (TargetRun.OpenStarts_ > 0) // A list may have shown the run before.
    --TargetRun.OpenStarts_;
  if (Outcome.Result_ == OrderResult::Done) {
    TargetRun.StartAnsweredAt_ = Now_;
    TargetRun.StartClockMatches_ = continuesClock(Target, Outcome.ClockMs_);
    TargetRun.ConfirmedClock_ =
        std::max(TargetRun.ConfirmedClock_, Outcome.ClockMs_);
    confirmStart(Target, TargetRun);
    return;
  }
  StepRun *Step = TargetRun.Step_;
  const std::uint32_t Index = TargetRun.Index_;
  Effects_.push_back(Decision{"start_rejected", Order.Task_, Target.Id_,
                              Now_ - TargetRun.OrderedAt_, TargetRun.Attempt_});
  if (Outcome.Result_ != OrderResult::BadTicket)
    Target.GangsNotBefore_ = Now_ + GangAvoidanceTime;
  else if (Step != nullptr && Step->Allowed_.count(Target.Number_) != 0)
    Step->Allowed_[Target.Number_].ValidUntil_ = 0;
  if (TargetRun.OpenStarts_ > 0) {
    // An earlier copy of the order may have started a run or may still arrive;
    // only a stop prevents that.
    stopRun(Target, Order.Task_, TargetRun, "start rejected");
    return;
  }
  if (Step != nullptr)
    Step->Tasks_[Index].NotBefore_ = Now_ + OrderRetryDelay;
  loseRun(Target, Order.Task_, "start rejected");
}

void Cell::Engine::applyStopOutcome(Run &TargetRun,
                                    const OrderOutcome &Outcome) {
  if (Outcome.Result_ != OrderResult::Done)
    return;
  TargetRun.StopConfirmed_ = true;
  TargetRun.ConfirmedClock_ =
      std::max(TargetRun.ConfirmedClock_, Outcome.ClockMs_);
}

bool Cell::Engine::awaitsRenewal(const SendRenewal &Renewal) {
  const Worker *Target = findWorker(Renewal.Worker_.Id_);
  return Target != nullptr && Target->Renewal_ == Renewal.Token_;
}

void Cell::Engine::handle(const RenewalOutcome &Outcome) {
  Worker *Target = findWorker(Outcome.Worker_.Id_);
  // Only the latest renewal counts: an earlier one may have gone to a former
  // incarnation.
  if (Target == nullptr || Outcome.Token_ != Target->Renewal_)
    return;
  Target->Renewal_ = 0;
  markDue(*Target);
  if (Outcome.Worker_.Address_ != Target->Address_) {
    Target->NextRenewal_ = Now_;
    return;
  }
  switch (Outcome.Result_) {
  case OrderResult::Done:
    processList(*Target, Outcome.List_);
    return;
  case OrderResult::OtherIncarnation:
    loseWorker(*Target, "another incarnation at its address");
    return;
  default:
    break;
  }
  if (Target->Reachable_ || Target->UnreachableSince_ == 0) {
    Target->UnreachableSince_ = Now_;
    Effects_.push_back(Decision{"worker_unreachable", Target->Id_,
                                Outcome.Result_ == OrderResult::Fenced
                                    ? "fenced"
                                    : "no answer to a lease renewal",
                                Now_ - Target->ClockAt_});
    abortGangsWithoutProgress(*Target);
  }
  Target->Reachable_ = false;
  Target->NextRenewal_ = Now_ + RenewalRetryDelay;
}

/// Lets advanceWorkers() examine the worker next. Called after each event that
/// may bring forward what is due for it.
void Cell::Engine::markDue(Worker &Target) {
  Target.DueAt_ = Now_;
  NextWorkerDue_ = std::min(NextWorkerDue_, Now_);
}

/// Sends an unanswered order again if it is due, or revokes a start that has
/// timed out. Returns when the run has to be examined again.
Millis Cell::Engine::advanceRun(Worker &Target, const std::string &Name,
                                Run &TargetRun) {
  // The outcome of an order in flight marks the worker as due.
  if (TargetRun.OrderInFlight_)
    return NeverDue;
  if (TargetRun.Phase_ == Run::Phase::Ordered) {
    const Millis RetryAt = TargetRun.LastOrderAt_ + OrderRetryDelay;
    if (Now_ < RetryAt)
      return RetryAt;
    ++RepeatedStarts_;
    if (Now_ - TargetRun.OrderedAt_ < StartTimeout && Authorized_)
      sendStart(Target, Name, TargetRun);
    else
      stopRun(Target, Name, TargetRun, "no answer to the start");
    return NeverDue;
  }
  if (TargetRun.Phase_ != Run::Phase::Stopping || TargetRun.StopConfirmed_)
    return NeverDue;
  const Millis RetryAt = TargetRun.LastOrderAt_ + StopRetryDelay;
  if (Now_ < RetryAt)
    return RetryAt;
  sendStop(Target, Name, TargetRun);
  return NeverDue;
}

/// Sends the worker's lease renewal and unanswered orders if they are due, and
/// drops its runs once its lease has ended. Returns when the worker has to be
/// examined again.
Millis Cell::Engine::examineWorker(Worker &Target) {
  const bool Wanted = Target.Listed_ || !Target.Runs_.empty();
  if (Wanted && Target.Renewal_ == 0 && Now_ >= Target.NextRenewal_)
    sendRenewal(Target);
  if (!Target.Reachable_ && Now_ > Target.LeaseEnd_ && !Target.Runs_.empty())
    expireLease(Target);
  Millis Due = Now_ + MaxExamineInterval;
  if (Wanted && Target.Renewal_ == 0)
    Due = std::min(Due, Target.NextRenewal_);
  for (auto &[Name, Each] : Target.Runs_)
    Due = std::min(Due, advanceRun(Target, Name, Each));
  return Due;
}

/// Removes workers that are no longer listed and run nothing.
void Cell::Engine::forgetUnlistedWorkers(const std::vector<std::string> &Ids) {
  for (const std::string &Id : Ids) {
    const auto It = Workers_.find(Id);
    dropAdviceOn(*It->second);
    dropReservationsOn(*It->second);
    WorkersByNumber_[It->second->Number_] = nullptr;
    Workers_.erase(It);
    Effects_.push_back(Decision{"worker_forgotten", Id, "unlisted", 0});
  }
}

/// Examines the workers for which something is due.
void Cell::Engine::advanceWorkers() {
  endRecoveryWithoutContact();
  if (Now_ < NextWorkerDue_)
    return;
  NextWorkerDue_ = Now_ + MaxExamineInterval;
  std::vector<std::string> Forgotten;
  for (auto &[Id, Each] : Workers_) {
    Worker &Target = *Each;
    if (Now_ >= Target.DueAt_) {
      ++WorkersExamined_;
      Target.DueAt_ = examineWorker(Target);
      if (!Target.Listed_ && Target.Runs_.empty() &&
          Now_ - Target.UnlistedSince_ > UnlistedRetention)
        Forgotten.push_back(Id);
    }
    NextWorkerDue_ = std::min(NextWorkerDue_, Target.DueAt_);
  }
  forgetUnlistedWorkers(Forgotten);
}

} // namespace oleandergauge::cell
