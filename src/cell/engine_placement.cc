// Placement: orders the waiting steps and selects workers for their tasks.

#include <algorithm>
#include <limits>
#include <utility>

#include "cell/engine.h"

namespace oleandergauge::cell {
namespace {

/// Minimum time between placement passes.
constexpr Millis PlacementInterval = 4;
/// Share of each worker's processors that is reserved for work of the highest
/// priority, so that short urgent work does not wait for the end of long work.
constexpr double UrgentReserveShare = 0.10;
/// Longest pause after a placement pass, for a process that did not run for a
/// while.
constexpr Millis MaxPlacementPause = 100;
/// Largest number of steps that each of the two parts of a pass examines: the
/// most urgent ones, and the next ones in turn.
constexpr std::size_t MaxMostUrgent = 256;
constexpr std::size_t MaxInTurn = 128;
/// Number of workers compared for steps after which a part of a pass ends.
constexpr std::size_t MaxComparedInPart = 8192;
/// Time for which room on a worker stays reserved for the step that it was
/// freed for.
constexpr Millis ReservationTime = 700;
/// Time for which room that becomes free is kept for a service. Each pass
/// renews it as long as the service waits.
constexpr Millis ServiceCollectTime = 200;
/// Share of the usable processors that is kept in this way, at most.
constexpr double MaxServiceCollectShare = 0.25;
/// Run numbers available in each epoch; the next owner continues above them.
constexpr std::uint64_t AttemptsPerEpoch = 1U << 16;
/// Age at which the estimate of unseen usage is renewed. It examines all steps,
/// which is too much for each pass.
constexpr Millis UnseenUsageInterval = 50;
/// Most occurrences of a job that are not open and count as possibly running.
/// With a step's number of tasks, it stays in the range of the sums.
constexpr std::uint32_t MaxUnopenedCounted = 10000;

/// Adds the resources of several tasks, as far as teams have limits on them.
void addCopies(Resources &Sum, const Resources &Need, std::uint32_t Copies) {
  Sum.CpuMilli_ += Need.CpuMilli_ * Copies;
  Sum.MemoryMib_ += Need.MemoryMib_ * Copies;
  Sum.Accelerators_ += Need.Accelerators_ * static_cast<std::int32_t>(Copies);
}

/// Returns the smaller of each of these components, and none below zero.
Resources smallerOf(const Resources &A, const Resources &B) {
  const auto Smaller = [](auto First, auto Second) {
    return std::max<decltype(First)>(0, std::min(First, Second));
  };
  Resources Out;
  Out.CpuMilli_ = Smaller(A.CpuMilli_, B.CpuMilli_);
  Out.MemoryMib_ = Smaller(A.MemoryMib_, B.MemoryMib_);
  Out.Accelerators_ = Smaller(A.Accelerators_, B.Accelerators_);
  return Out;
}

} // namespace

/// Returns whether the worker accepts new tasks. One that has restarted may be
/// of another kind, which only its entry tells.
bool Cell::Engine::acceptsTasks(const Worker &Target) const {
  return Target.Listed_ &&
         Target.DescribedIncarnation_ >= Target.Incarnation_ &&
         !Target.Draining_ && !Target.DrainingForUpkeep_ && Target.Reachable_ &&
         Target.FenceAccepted_ && Target.Recorded_ &&
         Now_ >= Target.QuarantineUntil_ &&
         WithdrawnDomains_.count(Target.Domain_) == 0;
}

/// Returns whether the worker accepts new tasks and suits the step.
bool Cell::Engine::isUsable(const Worker &Target, const StepRun &Step) const {
  return acceptsTasks(Target) && suits(Target, Step);
}

bool Cell::Engine::suits(const Worker &Target, const StepRun &Step) const {
  const Queue *JobQueue = queueOf(*Step.Job_);
  if (JobQueue == nullptr || JobQueue->Service_ != Target.Service_)
    return false;
  const std::string &Label = Step.spec().RequiredLabel_;
  return Label.empty() || Target.hasLabel(Label);
}

/// Returns the free resources on the worker that the step may use, after
/// reservations and the reserve for urgent work.
Resources Cell::Engine::freeResourcesFor(const Worker &Target,
                                         const StepRun &Step) const {
  Resources Free =
      Target.Capacity_ - Target.Used_ - reservedForOthers(Target, Step);
  const int Priority = priorityOf(Step);
  // Late steps may use the reserve too, so that none of them starves.
  if (Priority > HighestPriority_ && !Step.spec().Service_ &&
      Now_ < Step.LatestStart_) {
    const auto Reserve = static_cast<std::int64_t>(
        UrgentReserveShare * static_cast<double>(Target.Capacity_.CpuMilli_));
    // A task that does not fit beside the reserve would wait on an idle worker.
    if (workerNeed(Step.spec()).CpuMilli_ <=
        Target.Capacity_.CpuMilli_ - Reserve)
      Free.CpuMilli_ -=
          std::max<std::int64_t>(0, Reserve - Target.Needs_.UrgentCpu_);
  }
  return Free;
}

/// Returns whether a run may be preempted. Its checkpoint is saved when it
/// stops, so that little work is lost.
bool Cell::Engine::isPreemptible(const Run &Victim) const {
  if (Victim.Phase_ != Run::Phase::Running || Victim.Step_ == nullptr)
    return false;
  const StepSpec &Spec = Victim.Step_->spec();
  return Spec.Checkpointed_ && !Spec.Gang_ && !Spec.Service_;
}

/// Returns the lowest priority number that \p Step may preempt. A service may
/// preempt any checkpointed work, and a step without value none.
int Cell::Engine::minPreemptiblePriority(const StepRun &Step) const {
  if (Step.Urgency_.Class_ == Urgency::Class::Worthless)
    return std::numeric_limits<int>::max();
  return Step.spec().Service_ ? HighestPriority_ : priorityOf(Step) + 1;
}

bool Cell::Engine::mayPreempt(const StepRun &Step, const Run &Victim) const {
  return Victim.Priority_ >= minPreemptiblePriority(Step) &&
         isPreemptible(Victim);
}

/// Returns whether a run uses what is reserved for the highest priority. The
/// queue of a run that was more urgent may have been removed.
bool Cell::Engine::isUrgent(const Run &TargetRun) const {
  return TargetRun.Step_ != nullptr && TargetRun.Priority_ <= HighestPriority_;
}

/// Returns the sum that contains the run in its present phase, or null.
Resources *Cell::Engine::needSumOf(NeedSums &Sums, const Run &TargetRun) const {
  if (TargetRun.Phase_ == Run::Phase::Stopping)
    return &Sums.Stopping_;
  if (isPreemptible(TargetRun))
    return &Sums.Preemptible_[TargetRun.Priority_];
  return nullptr;
}

void Cell::Engine::addNeeds(NeedSums &Sums, const Run &TargetRun) const {
  if (Resources *Sum = needSumOf(Sums, TargetRun))
    *Sum = *Sum + TargetRun.Need_;
  if (isUrgent(TargetRun))
    Sums.UrgentCpu_ += TargetRun.Need_.CpuMilli_;
}

void Cell::Engine::subtractNeeds(NeedSums &Sums, const Run &TargetRun) const {
  if (Resources *Sum = needSumOf(Sums, TargetRun))
    *Sum = *Sum - TargetRun.Need_;
  if (isUrgent(TargetRun))
    Sums.UrgentCpu_ -= TargetRun.Need_.CpuMilli_;
}

/// Counts the sums over the runs of a worker anew.
NeedSums Cell::Engine::countNeeds(const Worker &Target) const {
  NeedSums Out;
  for (const auto &[Name, Each] : Target.Runs_)
    addNeeds(Out, Each);
  return Out;
}

/// Gives all runs the present priorities of their queues. The sums depend on
/// these and on the highest priority, so they are counted anew.
void Cell::Engine::refreshRunPriorities() {
  for (const auto &[Id, Target] : Workers_) {
    for (auto &[Name, Each] : Target->Runs_)
      if (Each.Step_ != nullptr)
        Each.Priority_ = priorityOf(*Each.Step_);
    Target->Needs_ = countNeeds(*Target);
  }
}

/// Sets the phase of a run that the worker's sums contain.
void Cell::Engine::setPhase(Worker &Target, Run &TargetRun, Run::Phase Phase) {
  subtractNeeds(Target.Needs_, TargetRun);
  TargetRun.Phase_ = Phase;
  addNeeds(Target.Needs_, TargetRun);
}

/// Returns the resources on the worker that \p Step can gain from preemption
/// and from runs that are already stopping.
Resources Cell::Engine::preemptibleRoom(const Worker &Target,
                                        const StepRun &Step) const {
  Resources Out = Target.Needs_.Stopping_;
  const auto First =
      Target.Needs_.Preemptible_.lower_bound(minPreemptiblePriority(Step));
  for (auto It = First; It != Target.Needs_.Preemptible_.end(); ++It)
    Out = Out + It->second;
  return Out;
}

/// Returns the workers on which \p Step may start now if there is room.
std::vector<Worker *> Cell::Engine::eligibleWorkers(const StepRun &Step) {
  std::vector<Worker *> Out;
  const Queue *JobQueue = queueOf(*Step.Job_);
  if (JobQueue == nullptr)
    return Out;
  if (!JobQueue->Advice_) {
    ComparedInPart_ += UsableWorkers_.size();
    for (Worker *Each : UsableWorkers_)
      if (suits(*Each, Step))
        Out.push_back(Each);
    return Out;
  }
  ComparedInPart_ += Step.Allowed_.size();
  for (const auto &[Number, Each] : Step.Allowed_) {
    Worker *Target = workerAt(Number);
    if (Target != nullptr && Now_ < Each.ValidUntil_ && isUsable(*Target, Step))
      Out.push_back(Target);
  }
  return Out;
}

/// Returns how many tasks of the step fit into the resources.
std::uint32_t Cell::Engine::copiesIn(const Resources &Room,
                                     const StepRun &Step) const {
  const StepSpec &Spec = Step.spec();
  std::int64_t Copies = static_cast<std::int64_t>(Step.Tasks_.size());
  if (!Spec.Fill_ && Spec.Need_.CpuMilli_ > 0)
    Copies = std::min(Copies, Room.CpuMilli_ / Spec.Need_.CpuMilli_);
  if (Spec.Need_.MemoryMib_ > 0)
    Copies = std::min(Copies, Room.MemoryMib_ / Spec.Need_.MemoryMib_);
  if (Spec.Need_.Accelerators_ > 0)
    Copies = std::min<std::int64_t>(Copies, Room.Accelerators_ /
                                                Spec.Need_.Accelerators_);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, Copies));
}

/// Returns how many tasks of the step fit on the worker, optionally with the
/// room that preemption can free.
std::uint32_t Cell::Engine::maxCopiesOn(const Worker &Target,
                                        const StepRun &Step,
                                        bool WithVictims) const {
  Resources Free = freeResourcesFor(Target, Step);
  if (WithVictims)
    Free = Free + preemptibleRoom(Target, Step);
  return std::min(copiesIn(Free, Step), copiesBelowLimit(Target, Step));
}

/// Returns how many further tasks of the step its limit for each worker admits
/// there.
std::uint32_t Cell::Engine::copiesBelowLimit(const Worker &Target,
                                             const StepRun &Step) const {
  const std::uint32_t Most = Step.spec().MaxPerWorker_;
  if (Most == 0)
    return std::numeric_limits<std::uint32_t>::max();
  std::uint32_t Here = 0;
  for (const auto &[Name, Each] : Target.Runs_)
    Here += Each.Step_ == &Step ? 1 : 0;
  return Most - std::min(Most, Here);
}

/// Returns the room on the workers that have not answered this owner, or
/// nothing if no worker is known. One that has left the list counts as the
/// largest of the others: otherwise a few such workers would let the backlog of
/// each team use up its whole limit.
std::optional<Resources> Cell::Engine::unconfirmedRoom() const {
  Resources Largest;
  for (const auto &[Id, Each] : Workers_)
    Largest = {std::max(Largest.CpuMilli_, Each->Capacity_.CpuMilli_),
               std::max(Largest.MemoryMib_, Each->Capacity_.MemoryMib_),
               std::max(Largest.Accelerators_, Each->Capacity_.Accelerators_),
               0, 0};
  if (Workers_.empty())
    return std::nullopt;
  Resources Out;
  for (const std::string &Id : UnconfirmedWorkers_) {
    const auto It = Workers_.find(Id);
    if (It == Workers_.end())
      Out = Out + Largest;
    else
      Out = Out + (It->second->Capacity_ - It->second->Used_);
  }
  return Out;
}

/// Estimates what runs that no list has shown yet may use of the teams' limits.
/// Any task of an inherited job that is neither done nor seen may run on a
/// worker that has not answered this owner.
void Cell::Engine::estimateUnseenUsage() {
  const std::size_t Unconfirmed = UnconfirmedWorkers_.size();
  if (Unconfirmed == UnseenUsageWorkers_ &&
      (Unconfirmed == 0 || Now_ < UnseenUsageAt_ + UnseenUsageInterval))
    return;
  UnseenUsageWorkers_ = Unconfirmed;
  UnseenUsageAt_ = Now_;
  UnseenUsage_.clear();
  if (Unconfirmed == 0)
    return;
  for (const auto &[Id, Each] : Jobs_) {
    if (!Each->Inherited_)
      continue;
    Resources &Usage = UnseenUsage_[Each->Team_];
    for (const auto &Step : Each->Steps_)
      addCopies(Usage, Step->spec().Need_, Step->waiting());
    const std::uint32_t Unopened =
        std::min(countUnopenedOccurrences(*Each), MaxUnopenedCounted);
    for (const StepSpec &Spec : Each->Spec_->Steps_)
      addCopies(Usage, Spec.Need_, Unopened * Spec.Count_);
  }
  if (const std::optional<Resources> Room = unconfirmedRoom())
    for (auto &[Team, Usage] : UnseenUsage_)
      Usage = smallerOf(Usage, *Room);
}

/// Returns whether the team's limit admits this many further tasks.
bool Cell::Engine::isUnderTeamLimit(const StepRun &Step,
                                    std::uint32_t Copies) const {
  const Team *JobTeam = State_ ? findTeam(*State_, Step.Job_->Team_) : nullptr;
  if (JobTeam == nullptr)
    return true;
  const auto Use = TeamUsage_.find(JobTeam->Name_);
  Resources InUse = Use == TeamUsage_.end() ? Resources{} : Use->second;
  const auto Unseen = UnseenUsage_.find(JobTeam->Name_);
  if (Unseen != UnseenUsage_.end())
    InUse = InUse + Unseen->second;
  const Resources &Need = Step.spec().Need_;
  const Resources &Limits = JobTeam->Limit_;
  auto Within = [&](std::int64_t Used, std::int64_t Each, std::int64_t Limit) {
    return Limit == 0 || Used + Each * Copies <= Limit;
  };
  return Within(InUse.CpuMilli_, Need.CpuMilli_, Limits.CpuMilli_) &&
         Within(InUse.MemoryMib_, Need.MemoryMib_, Limits.MemoryMib_) &&
         Within(InUse.Accelerators_, Need.Accelerators_, Limits.Accelerators_);
}

/// Returns the next run number of a task.
std::uint64_t Cell::Engine::nextAttempt(Task &TargetTask,
                                        std::uint32_t &StartCount) const {
  ++StartCount;
  TargetTask.Starts_ = std::max(TargetTask.Starts_, StartCount);
  return (Epoch_ - 1) * AttemptsPerEpoch + StartCount;
}

/// Returns whether this owner, not a former one, assigned the run number.
bool Cell::Engine::isOwnAttempt(std::uint64_t Attempt) const {
  return Attempt > (Epoch_ - 1) * AttemptsPerEpoch;
}

void Cell::Engine::startTask(StepRun &Step, std::uint32_t Index, Worker &Target,
                             std::uint64_t Attempt) {
  Task &TargetTask = Step.Tasks_[Index];
  TargetTask.Phase_ = Task::Phase::Active;
  TargetTask.AssignedWorker_ = Target.Number_;
  ++Step.ActiveCount_;
  recordStartLoad(Step);
  countWaitingWork(Step);
  Run NewRun;
  NewRun.Step_ = &Step;
  NewRun.Index_ = Index;
  NewRun.Attempt_ = Attempt;
  NewRun.Need_ = Step.spec().Need_;
  NewRun.TeamNeed_ = NewRun.Need_;
  if (Step.spec().Fill_)
    NewRun.Need_.CpuMilli_ = 0;
  NewRun.OrderedAt_ = Now_;
  NewRun.Checkpoint_ = TargetTask.Checkpoint_;
  NewRun.Resumed_ = !TargetTask.Checkpoint_.empty();
  const auto Known = Step.Allowed_.find(Target.Number_);
  if (Known != Step.Allowed_.end())
    NewRun.Ticket_ = Known->second.Ticket_;
  useReservation(Target, Step);
  const std::string Name = taskName(Step, Index);
  addRun(Target, Name, std::move(NewRun));
  Effects_.push_back(Decision{"task_start", Name, Target.Id_,
                              Now_ - Target.ClockAt_, Attempt});
  sendStart(Target, Name, Target.Runs_[Name]);
}

/// Stops runs on \p Target until \p Copies tasks of \p Step will fit, and
/// reserves the room until \p Until. Returns the number of tasks that will fit.
std::uint32_t Cell::Engine::makeRoom(Worker &Target, StepRun &Step,
                                     std::uint32_t Copies, Millis Until) {
  const Resources &Need = Step.spec().Need_;
  Resources Free = freeResourcesFor(Target, Step);
  Free = Free + Target.Needs_.Stopping_;
  std::vector<std::string> Victims;
  auto Fitting = [&] {
    std::uint32_t Out = 0;
    Resources Left = Free;
    while (Out < Copies && fits(Need, Left)) {
      Left = Left - Need;
      ++Out;
    }
    return Out;
  };
  for (auto &[Name, Each] : Target.Runs_) {
    if (Fitting() >= Copies)
      break;
    if (!mayPreempt(Step, Each))
      continue;
    Free = Free + Each.Need_;
    Victims.push_back(Name);
  }
  const std::uint32_t Out = Fitting();
  if (Out == 0)
    return 0;
  for (const std::string &Name : Victims) {
    Run &Victim = Target.Runs_[Name];
    const Resources Before = Free;
    Free = Free - Victim.Need_;
    if (Fitting() == Out)
      continue; // The room of the other victims suffices.
    Free = Before;
    stopRun(Target, Name, Victim, "preempted");
  }
  reserve(Target, Step, Out, Until);
  if (!Victims.empty())
    Effects_.push_back(Decision{"room_reserved", Step.Name_, Target.Id_, 0});
  return Out;
}

/// Returns whether a start on the worker will still be allowed when a run that
/// is preempted now has ended. Otherwise the room would be freed in vain.
bool Cell::Engine::isAllowedAfterStop(const Worker &Target,
                                      const StepRun &Step) const {
  const auto Known = Step.Allowed_.find(Target.Number_);
  return Known == Step.Allowed_.end() ||
         Now_ + Limits_.StopTime_ + PreemptionOverhead <
             Known->second.ValidUntil_;
}

/// Returns whether the worker runs a task that has a tail latency goal.
bool Cell::Engine::runsTaskWithTailGoal(const Worker &Target) const {
  return std::any_of(Target.Runs_.begin(), Target.Runs_.end(),
                     [](const auto &Each) {
                       return Each.second.Step_ != nullptr &&
                              Each.second.Step_->spec().TailGoal_ > 0;
                     });
}

/// Returns whether it is better not to run the step on the worker, although it
/// may run there.
bool Cell::Engine::isUnpreferred(const Worker &Target,
                                 const StepRun &Step) const {
  const StepSpec &Spec = Step.spec();
  return (!Spec.PreferredRack_.empty() &&
          Target.Rack_ != Spec.PreferredRack_) ||
         (Spec.Fill_ && runsTaskWithTailGoal(Target));
}

/// Returns the best of the workers that have room for a task of the step, or
/// null.
Worker *Cell::Engine::bestWorker(const StepRun &Step,
                                 const std::vector<Worker *> &Open,
                                 std::optional<double> Required) {
  Candidates_.clear();
  CandidateWorkers_.clear();
  for (Worker *Each : Open) {
    if (maxCopiesOn(*Each, Step, false) == 0)
      continue;
    Candidates_.push_back({isUnpreferred(*Each, Step),
                           Each->Capacity_.CpuMilli_ - Each->Used_.CpuMilli_,
                           Each->Speed_});
    CandidateWorkers_.push_back(Each);
  }
  return Candidates_.empty()
             ? nullptr
             : CandidateWorkers_[chooseWorker(Candidates_, Required)];
}

/// Starts waiting tasks on the best eligible workers. If some remain, preempts
/// runs for them or requests advice on more workers.
void Cell::Engine::placeTasks(StepRun &Step) {
  const std::vector<Worker *> Open = eligibleWorkers(Step);
  const StepSpec &Spec = Step.spec();
  const std::optional<double> Required = requiredSpeedOf(Step);
  std::uint32_t Left = Step.waiting();
  std::optional<std::uint32_t> Held; // Tasks that wait for the preferred rack.
  for (std::uint32_t Index = 0; Index < Step.Tasks_.size() && Left > 0;
       ++Index) {
    Task &TargetTask = Step.Tasks_[Index];
    if (TargetTask.Phase_ != Task::Phase::Waiting ||
        Now_ < TargetTask.NotBefore_)
      continue;
    if (!isUnderTeamLimit(Step, 1) || !mayStartFurtherRun())
      return;
    Worker *Best = bestWorker(Step, Open, Required);
    if (Best == nullptr)
      break;
    if (!Spec.PreferredRack_.empty() && Best->Rack_ != Spec.PreferredRack_) {
      if (!Held)
        Held = tasksHeldForRack(Step, Open, Left);
      if (Left <= *Held)
        return;
    }
    recordTaskPlace(Step, Index, *Best);
    startTask(Step, Index, *Best, nextAttempt(TargetTask, TargetTask.Starts_));
    --Left;
  }
  if (Left == 0)
    Step.PlaceWaitSince_.reset();
  for (const Worker *Each : Open) // Room that is already being freed.
    Left -= std::min(Left, reservedCopies(*Each, Step));
  if (Left == 0 || askBeforePreemption(Step))
    return;
  for (Worker *Each : Open) {
    if (Left == 0)
      return;
    if (reservedCopies(*Each, Step) > 0 || !isAllowedAfterStop(*Each, Step))
      continue;
    const std::uint32_t Copies = maxCopiesOn(*Each, Step, true);
    if (Copies > 0)
      Left -= std::min(Left, makeRoom(*Each, Step, std::min(Left, Copies),
                                      Now_ + ReservationTime));
  }
  if (Left > 0 && Spec.Service_)
    collectServiceRoom(Step, Open, Left);
  if (Left > 0)
    requestAdvice(Step);
}

/// Returns whether a task of the step fits on the worker once all runs there
/// have ended that end by themselves.
bool Cell::Engine::fitsBesideServices(const Worker &Target,
                                      const StepRun &Step) const {
  Resources Room = Target.Capacity_ - reservedForOthers(Target, Step);
  for (const auto &[Name, Each] : Target.Runs_)
    if (Each.Step_ == nullptr || Each.Step_->spec().Service_)
      Room = Room - Each.Need_;
  return fits(workerNeed(Step.spec()), Room) &&
         copiesBelowLimit(Target, Step) > 0;
}

/// Keeps what becomes free on some workers for tasks of a service. Otherwise
/// shorter work, which fits into smaller pieces, takes it for as long as there
/// is such work.
void Cell::Engine::collectServiceRoom(StepRun &Step,
                                      const std::vector<Worker *> &Open,
                                      std::uint32_t Tasks) {
  const std::int64_t Need = workerNeed(Step.spec()).CpuMilli_;
  const auto Limit = static_cast<std::int64_t>(MaxServiceCollectShare *
                                               static_cast<double>(UsableCpu_));
  const auto FreeCpu = [](const Worker &Each) {
    return Each.Capacity_.CpuMilli_ - Each.Used_.CpuMilli_;
  };
  for (; Tasks > 0; --Tasks) {
    if (CollectedCpu_ > 0 && CollectedCpu_ + Need > Limit)
      return;
    Worker *Best = nullptr;
    for (Worker *Each : Open)
      if ((Best == nullptr || FreeCpu(*Each) > FreeCpu(*Best)) &&
          reservedCopies(*Each, Step) == 0 && fitsBesideServices(*Each, Step))
        Best = Each;
    if (Best == nullptr)
      return;
    CollectedCpu_ += Need;
    reserve(*Best, Step, 1, Now_ + ServiceCollectTime);
  }
}

void Cell::Engine::placeStep(StepRun &Step) {
  if (!Step.Job_->Stored_ || (Step.Job_->Inherited_ && isRecovering())) {
    if (!Step.Job_->Stored_ && Step.spec().Gang_)
      requestGangAdvice(Step);
    else if (!Step.Job_->Stored_)
      requestAdvice(Step);
    return;
  }
  if (Step.spec().Gang_)
    placeGang(Step);
  else
    placeTasks(Step);
}

Urgency::Class Cell::Engine::urgencyClassOf(const StepRun &Step) const {
  const Job &TargetJob = *Step.Job_;
  // Services go first however full the workers are, since their users wait.
  if (Step.spec().Service_)
    return Urgency::Class::Service;
  if (TargetJob.OverTeamShare_ ||
      Now_ > Step.Objective_ + 2 * TargetJob.ObjectiveSpan_)
    return Urgency::Class::Worthless;
  return Now_ > Step.Objective_ ? Urgency::Class::Late : Urgency::Class::OnTime;
}

void Cell::Engine::addWaiting(StepRun &Step) {
  if (Step.InWaiting_)
    return;
  Step.InWaiting_ = true;
  Step.Urgency_ = {urgencyClassOf(Step), priorityOf(Step), Step.LatestStart_,
                   Step.Name_};
  WaitingSteps_.emplace(Step.Urgency_, &Step);
  countWaitingWork(Step);
}

void Cell::Engine::removeWaiting(StepRun &Step) {
  if (Step.InWaiting_)
    WaitingSteps_.erase(Step.Urgency_);
  Step.InWaiting_ = false;
  countWaitingWork(Step);
}

/// Sorts the waiting steps again after their priorities have changed.
void Cell::Engine::reorderWaiting() {
  for (const auto &[Place, Step] : std::exchange(WaitingSteps_, {})) {
    Step->InWaiting_ = false;
    countWaitingWork(*Step);
    addWaiting(*Step);
  }
}

/// Returns the next steps after \p After, or the most urgent ones if it is
/// null. Classes only rise with time, so that a step whose class has changed is
/// reached before its new place and moves on.
std::vector<StepRun *> Cell::Engine::takeWaiting(const Urgency *After) {
  std::vector<StepRun *> Out;
  const std::size_t Most = After == nullptr ? MaxMostUrgent : MaxInTurn;
  auto It = After == nullptr ? WaitingSteps_.begin()
                             : WaitingSteps_.upper_bound(*After);
  while (It != WaitingSteps_.end() && Out.size() < Most) {
    StepRun &Step = *It->second;
    const bool Moved = urgencyClassOf(Step) != Step.Urgency_.Class_;
    if (Step.waiting() > 0 && !Moved) {
      Out.push_back(&Step);
      ++It;
      continue;
    }
    It = WaitingSteps_.erase(It);
    Step.InWaiting_ = false;
    countWaitingWork(Step);
    if (Step.waiting() == 0)
      continue;
    addWaiting(Step);
    // The new place may be directly behind the old one.
    if (It == WaitingSteps_.end() || Step.Urgency_ < It->first)
      It = WaitingSteps_.find(Step.Urgency_);
  }
  return Out;
}

/// Places the steps in their order until this part of the pass has done its
/// share of work. Returns the number of steps examined.
std::size_t Cell::Engine::examine(const std::vector<StepRun *> &Steps) {
  AdviceSelections_ = 0;
  ComparedInPart_ = 0;
  std::size_t Examined = 0;
  for (StepRun *Step : Steps) {
    if (ComparedInPart_ >= MaxComparedInPart)
      break;
    ++Examined;
    placeStep(*Step);
    if (Step->waiting() == 0)
      removeWaiting(*Step);
  }
  StepsExamined_ += Examined;
  WorkersCompared_ += ComparedInPart_;
  return Examined;
}

void Cell::Engine::collectUsableWorkers() {
  UsableWorkers_.clear();
  UsableCpu_ = 0;
  CollectedCpu_ = 0;
  HeldForPlace_.clear();
  for (const auto &[Id, Each] : Workers_)
    if (acceptsTasks(*Each)) {
      UsableWorkers_.push_back(Each.get());
      UsableCpu_ += Each->Capacity_.CpuMilli_;
    }
}

/// Runs a placement pass over the waiting steps if one is due. A pass first
/// examines the most urgent steps, which gain most from room that has become
/// free, and then some of the others, where the previous pass left off. So the
/// work of a pass is bounded, and a step that fits is found however many stand
/// before it.
void Cell::Engine::placeReadySteps() {
  if (!PassEnded_) {
    // The pass and its effects have taken until now. The pause lasts as long,
    // so that passes take at most half of the owner's time.
    PassEnded_ = true;
    NextPlacement_ = Now_ + std::clamp(Now_ - PassStartedAt_, PlacementInterval,
                                       MaxPlacementPause);
  }
  const bool Due = PlacementNeeded_ || ExaminationsLeft_ > 0;
  if (!Due || !Authorized_ || Now_ < NextPlacement_)
    return;
  PassStartedAt_ = Now_;
  PassEnded_ = false;
  CallsLackHosts_ = false;
  collectUsableWorkers();
  observeLoads();
  estimateUnseenUsage();
  reportUsage();
  const std::vector<StepRun *> First = takeWaiting(nullptr);
  const std::size_t Waiting = WaitingSteps_.size();
  const std::size_t Examined = examine(First);
  if (PlacementNeeded_)
    ExaminationsLeft_ = Waiting - Examined;
  PlacementNeeded_ = false;
  if (ExaminationsLeft_ > 0 && Examined > 0)
    examineFurther(First[Examined - 1]->Urgency_);
  // The pointers are valid within the pass only.
  UsableWorkers_.clear();
}

/// Examines further steps, from the end of the previous pass on, which is
/// beyond \p Border unless all steps have had their turn.
void Cell::Engine::examineFurther(const Urgency &Border) {
  const Urgency From = std::max(Border, LastExamined_);
  std::vector<StepRun *> Next = takeWaiting(&From);
  if (Next.empty())
    Next = takeWaiting(&Border);
  const std::size_t Examined = examine(Next);
  ExaminationsLeft_ =
      Examined == 0 ? 0
                    : ExaminationsLeft_ - std::min(ExaminationsLeft_, Examined);
  if (Examined > 0)
    LastExamined_ = Next[Examined - 1]->Urgency_;
}

} // namespace oleandergauge::cell
