// Gangs: tasks that run only together, under a common run number.

#include <algorithm>

#include "cell/engine.h"

namespace oleandergauge::cell {
namespace {

/// Fraction of the gang timeout within which all starts must be confirmed. The
/// rest is left for the stop orders to reach the waiting members.
constexpr int AssemblyTimeoutDivisor = 3;
/// The same fraction for the attempt of a former owner, counted from the
/// takeover, since its members have already been waiting before.
constexpr int InheritedTimeoutDivisor = 4;
/// Time in which the workers of a failure domain that is reachable again list
/// their runs.
constexpr Millis ListCollectionTime = 200;
/// First and longest delay before a gang whose attempt did not assemble is
/// started again.
constexpr Millis FirstGangBackoff = 100;
constexpr Millis LongestGangBackoff = 1600;

} // namespace

void Cell::Engine::startGang(StepRun &Step,
                             const std::vector<GangAssignment> &Assignments) {
  const std::uint64_t Attempt = nextAttempt(Step.Tasks_[0], Step.GangStarts_);
  Step.Gang_ = {.Phase_ = GangAttempt::Phase::Assembling,
                .Attempt_ = Attempt,
                .StartedAt_ = Now_};
  AssemblingGangs_.push_back(&Step);
  Effects_.push_back(DurationSample{"gang_wait",
                                    Step.Job_->Team_ + "/" + Step.Job_->Queue_,
                                    Now_ - Step.ReadySince_});
  Effects_.push_back(
      Decision{"gang_started", Step.Name_,
               std::to_string(Step.Tasks_.size()) + " members on " +
                   std::to_string(Assignments.size()) + " workers",
               Now_ - Step.ReadySince_, Attempt});
  recordGangPlace(Step, Assignments);
  std::uint32_t Index = 0;
  for (const GangAssignment &Each : Assignments)
    for (std::uint32_t Member = 0; Member < Each.Members_; ++Member)
      startTask(Step, Index++, *Each.Target_, Attempt);
  releaseReservations(Step);
}

/// Handles a worker's confirmation that it runs an ordered start.
void Cell::Engine::confirmStart(Worker &Target, Run &TargetRun) {
  if (TargetRun.Phase_ != Run::Phase::Ordered)
    return;
  setPhase(Target, TargetRun, Run::Phase::Running);
  TargetRun.StartConfirmedAt_ = Now_;
  if (TargetRun.Step_ == nullptr)
    return;
  markStarted(*TargetRun.Step_->Job_);
  if (TargetRun.Step_->spec().Gang_ &&
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

/// Detects progress of a gang, which proves that all members are present. A
/// member that resumed from a checkpoint reports the progress of the checkpoint
/// from the start, so that only an increase counts.
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
  markAssembled(*TargetRun.Step_, "a member made progress");
}

/// Returns whether a run that a worker lists belongs to an active attempt.
bool Cell::Engine::mayAdopt(const StepRun &Step, std::uint64_t Attempt) const {
  if (!Step.spec().Gang_ || Step.Gang_.isActive(Attempt))
    return true;
  const GangAttempt::Phase Phase = Step.Gang_.Phase_;
  const bool Open = Phase == GangAttempt::Phase::None ||
                    Phase == GangAttempt::Phase::Finished;
  return Open && !isOwnAttempt(Attempt) && Attempt > Step.Gang_.Attempt_;
}

/// Adopts a member that a former owner started.
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

/// Aborts the gang of a run that has ended, is lost or is being stopped.
void Cell::Engine::abortGangOf(const Run &TargetRun, std::string_view Why) {
  if (TargetRun.Step_ != nullptr && TargetRun.Step_->spec().Gang_ &&
      TargetRun.Step_->Gang_.isActive(TargetRun.Attempt_))
    abortGang(*TargetRun.Step_, Why);
}

/// Ends an attempt and stops all of its members that still run.
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
    Worker *Target = workerAt(Step.Tasks_[Index].AssignedWorker_);
    if (Target == nullptr)
      continue;
    const std::string Name = taskName(Step, Index);
    const auto It = Target->Runs_.find(Name);
    if (It != Target->Runs_.end() && It->second.Attempt_ == Gang.Attempt_)
      stopRun(*Target, Name, It->second, "gang aborted");
  }
}

/// Aborts the gangs without progress that have a member on an unreachable
/// worker, since that member may never have started. A gang with progress
/// continues until the worker's lease ends.
void Cell::Engine::abortGangsWithoutProgress(const Worker &Silent) {
  std::set<StepRun *> Unproven;
  for (const auto &[Name, Each] : Silent.Runs_)
    if (Each.Step_ != nullptr && Each.Step_->spec().Gang_ &&
        Each.Step_->Gang_.isActive(Each.Attempt_) &&
        !Each.Step_->Gang_.MadeProgress_)
      Unproven.insert(Each.Step_);
  for (StepRun *Step : Unproven)
    abortGang(*Step, "worker of a member is unreachable");
}

/// Returns whether the missing members of an attempt can no longer be expected
/// in time. Once all workers have answered this owner, a former owner's attempt
/// gains no further members.
bool Cell::Engine::isOverdue(const GangAttempt &Gang) const {
  const Millis Known = Now_ - Gang.StartedAt_;
  if (!Gang.Inherited_)
    return Known > Limits_.GangTimeout_ / AssemblyTimeoutDivisor;
  const bool Waited =
      Now_ - OwnerSince_ > Limits_.GangTimeout_ / InheritedTimeoutDivisor;
  return !isRecovering() || (Waited && Known > ListCollectionTime);
}

/// Aborts the attempts that were not assembled in time.
void Cell::Engine::abortOverdueGangs() {
  const std::vector<StepRun *> Watched = AssemblingGangs_;
  for (StepRun *Step : Watched)
    if (Step->Gang_.Phase_ == GangAttempt::Phase::Assembling &&
        isOverdue(Step->Gang_))
      abortGang(*Step, Step->Gang_.Inherited_
                           ? "attempt of a former owner is incomplete"
                           : "not all members confirmed in time");
  std::erase_if(AssemblingGangs_, [](const StepRun *Step) {
    return Step->Gang_.Phase_ != GangAttempt::Phase::Assembling;
  });
}

} // namespace oleandergauge::cell
