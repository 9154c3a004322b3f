// Gangs: tasks that work only together, under one run number.

#include <algorithm>

#include "cell/engine.h"

namespace oleandergauge::cell {
namespace {

/// Part of the gang time-out within which all starts have to be confirmed; the
/// rest is for the stops to reach the members that wait.
constexpr int AssemblyTimeoutDivisor = 3;
/// The same for an inherited attempt, from the takeover on: its members have
/// waited since before.
constexpr int InheritedTimeoutDivisor = 4;
/// Time within which the workers of a zone that is back list their runs.
constexpr Millis ListCollectionTime = 200;
constexpr Millis FirstGangBackoff = 100;
constexpr Millis LongestGangBackoff = 1600;

} // namespace

/// Divides a gang among \p Workers, those that hold most of it first. Empty
/// where they cannot hold all of it.
std::vector<GangAssignment>
Cell::Engine::assignGang(const StepRun &Step,
                         const std::vector<Worker *> &Workers,
                         bool WithVictims) const {
  std::vector<GangAssignment> Out;
  std::size_t Room = 0;
  for (Worker *Each : Workers) {
    if (Now_ < Each->GangsNotBefore_)
      continue;
    Out.push_back({Each, maxCopiesOn(*Each, Step, WithVictims)});
    Room += Out.back().Members_;
  }
  if (Room < Step.Tasks_.size())
    return {};
  std::sort(Out.begin(), Out.end(),
            [](const GangAssignment &A, const GangAssignment &B) {
              return A.Members_ > B.Members_;
            });
  auto Left = static_cast<std::uint32_t>(Step.Tasks_.size());
  for (GangAssignment &Each : Out) {
    Each.Members_ = std::min(Left, Each.Members_);
    Left -= Each.Members_;
  }
  std::erase_if(Out,
                [](const GangAssignment &Each) { return Each.Members_ == 0; });
  return Out;
}

void Cell::Engine::placeGang(StepRun &Step) {
  const auto Size = static_cast<std::uint32_t>(Step.Tasks_.size());
  if (Step.waiting() < Size || !isUnderTeamLimit(Step, Size))
    return; // Members of the last attempt are still ending.
  for (const Task &Each : Step.Tasks_)
    if (Now_ < Each.NotBefore_)
      return;
  std::map<std::string, std::vector<Worker *>> Racks;
  for (Worker *Each : eligibleWorkers(Step))
    Racks[Step.spec().SameRack_ ? Each->Rack_ : ""].push_back(Each);
  for (const bool WithVictims : {false, true}) {
    for (const auto &[Rack, Workers] : Racks) {
      const std::vector<GangAssignment> Assignments =
          assignGang(Step, Workers, WithVictims);
      if (Assignments.empty())
        continue;
      if (!WithVictims)
        startGang(Step, Assignments);
      else
        for (const GangAssignment &Each : Assignments)
          makeRoom(*Each.Target_, Step, Each.Members_);
      return;
    }
  }
  requestAdvice(Step);
}

void Cell::Engine::startGang(StepRun &Step,
                             const std::vector<GangAssignment> &Assignments) {
  const std::uint64_t Attempt = nextAttempt(Step.Tasks_[0], Step.GangStarts_);
  Step.Gang_ = {.Phase_ = GangAttempt::Phase::Assembling,
                .Attempt_ = Attempt,
                .StartedAt_ = Now_};
  AssemblingGangs_.push_back(&Step);
  Effects_.push_back(
      Decision{"gang_started", Step.Name_,
               std::to_string(Step.Tasks_.size()) + " members on " +
                   std::to_string(Assignments.size()) + " workers",
               0, Attempt});
  std::uint32_t Index = 0;
  for (const GangAssignment &Each : Assignments) {
    for (std::uint32_t Member = 0; Member < Each.Members_; ++Member)
      startTask(Step, Index++, *Each.Target_, Attempt);
    if (Each.Target_->ReservedFor_ == &Step)
      Each.Target_->ReservedFor_ = nullptr;
  }
}

/// A worker says that it runs what it was ordered to start.
void Cell::Engine::confirmStart(Run &TargetRun) {
  if (TargetRun.Phase_ != Run::Phase::Ordered)
    return;
  TargetRun.Phase_ = Run::Phase::Running;
  if (TargetRun.Step_ != nullptr && TargetRun.Step_->spec().Gang_ &&
      TargetRun.Step_->Gang_.isActive(TargetRun.Attempt_))
    confirmMember(*TargetRun.Step_);
}

void Cell::Engine::confirmMember(StepRun &Step) {
  ++Step.Gang_.ConfirmedMembers_;
  if (Step.Gang_.ConfirmedMembers_ == Step.Tasks_.size())
    markAssembled(Step, "all members confirmed");
}

void Cell::Engine::markAssembled(StepRun &Step, std::string_view Why) {
  if (Step.Gang_.Phase_ != GangAttempt::Phase::Assembling)
    return;
  Step.Gang_.Phase_ = GangAttempt::Phase::Assembled;
  Step.GangBackoff_ = 0;
  Effects_.push_back(Decision{"gang_together", Step.Name_, std::string(Why),
                              Now_ - Step.Gang_.StartedAt_,
                              Step.Gang_.Attempt_});
}

/// Members make progress only while all are present. One that resumed from a
/// saved state shows that state's progress from the start.
void Cell::Engine::recordProgress(const Run &TargetRun,
                                  const RunningEntry &Entry) {
  if (TargetRun.Step_ == nullptr || !TargetRun.Step_->spec().Gang_ ||
      !TargetRun.Step_->Gang_.isActive(Entry.Attempt_))
    return;
  const bool Resumed =
      !TargetRun.Checkpoint_.empty() || !Entry.Checkpoint_.empty();
  const bool Working = TargetRun.Percent_ < 0
                           ? !Resumed && Entry.Percent_ > 0
                           : Entry.Percent_ > TargetRun.Percent_;
  if (!Working)
    return;
  TargetRun.Step_->Gang_.MadeProgress_ = true;
  markAssembled(*TargetRun.Step_, "a member makes progress");
}

/// Whether a run that a worker lists belongs to an attempt that goes on.
bool Cell::Engine::mayAdopt(const StepRun &Step, std::uint64_t Attempt) const {
  if (!Step.spec().Gang_ || Step.Gang_.isActive(Attempt))
    return true;
  const GangAttempt::Phase Phase = Step.Gang_.Phase_;
  const bool Open = Phase == GangAttempt::Phase::None ||
                    Phase == GangAttempt::Phase::Finished;
  return Open && !isOwnAttempt(Attempt) && Attempt > Step.Gang_.Attempt_;
}

/// Takes over a member that a former owner started.
void Cell::Engine::adoptMember(StepRun &Step, std::uint64_t Attempt) {
  if (!Step.spec().Gang_)
    return;
  if (!Step.Gang_.isActive(Attempt)) {
    Step.Gang_ = {.Phase_ = GangAttempt::Phase::Assembling,
                  .Attempt_ = Attempt,
                  .StartedAt_ = Now_,
                  .Inherited_ = true};
    AssemblingGangs_.push_back(&Step);
  }
  confirmMember(Step);
}

/// A run has ended, is lost or is to be stopped: its gang cannot go on.
void Cell::Engine::abortGangOf(const Run &TargetRun, std::string_view Why) {
  if (TargetRun.Step_ != nullptr && TargetRun.Step_->spec().Gang_ &&
      TargetRun.Step_->Gang_.isActive(TargetRun.Attempt_))
    abortGang(*TargetRun.Step_, Why);
}

void Cell::Engine::abortGang(StepRun &Step, std::string_view Why) {
  GangAttempt &Gang = Step.Gang_;
  if (Gang.Phase_ == GangAttempt::Phase::Assembling) {
    Step.GangBackoff_ =
        std::clamp(2 * Step.GangBackoff_, FirstGangBackoff, LongestGangBackoff);
    Step.Tasks_[0].NotBefore_ = Now_ + Step.GangBackoff_;
  }
  Gang.Phase_ = GangAttempt::Phase::Finished;
  Effects_.push_back(Decision{"gang_called_off", Step.Name_, std::string(Why),
                              Now_ - Gang.StartedAt_, Gang.Attempt_});
  for (std::uint32_t Index = 0; Index < Step.Tasks_.size(); ++Index) {
    Worker *Target = Step.Tasks_[Index].AssignedWorker_;
    if (Target == nullptr)
      continue;
    const std::string Name = taskName(Step, Index);
    const auto It = Target->Runs_.find(Name);
    if (It != Target->Runs_.end() && It->second.Attempt_ == Gang.Attempt_)
      stopRun(*Target, Name, It->second, "gang called off");
  }
}

/// A worker does not answer. A gang that works goes on until the worker's lease
/// has ended; of any other the member there may never have come.
void Cell::Engine::abortGangsWithoutProgress(const Worker &Silent) {
  std::set<StepRun *> Unproven;
  for (const auto &[Name, Each] : Silent.Runs_)
    if (Each.Step_ != nullptr && Each.Step_->spec().Gang_ &&
        Each.Step_->Gang_.isActive(Each.Attempt_) &&
        !Each.Step_->Gang_.MadeProgress_)
      Unproven.insert(Each.Step_);
  for (StepRun *Step : Unproven)
    abortGang(*Step, "a member's worker does not answer");
}

/// Whether no further member of an attempt is to be expected in time. A former
/// owner's attempt gathers none once all workers have answered this owner.
bool Cell::Engine::isOverdue(const GangAttempt &Gang) const {
  const Millis Known = Now_ - Gang.StartedAt_;
  if (!Gang.Inherited_)
    return Known > Limits_.GangTimeout_ / AssemblyTimeoutDivisor;
  const bool Waited =
      Now_ - OwnerSince_ > Limits_.GangTimeout_ / InheritedTimeoutDivisor;
  return !isRecovering() || (Waited && Known > ListCollectionTime);
}

/// Calls off the attempts that have not gathered in time.
void Cell::Engine::abortOverdueGangs() {
  const std::vector<StepRun *> Watched = AssemblingGangs_;
  for (StepRun *Step : Watched)
    if (Step->Gang_.Phase_ == GangAttempt::Phase::Assembling &&
        isOverdue(Step->Gang_))
      abortGang(*Step, Step->Gang_.Inherited_
                           ? "a former owner's attempt is not whole"
                           : "not all members answered in time");
  std::erase_if(AssemblingGangs_, [](const StepRun *Step) {
    return Step->Gang_.Phase_ != GangAttempt::Phase::Assembling;
  });
}

} // namespace oleandergauge::cell
