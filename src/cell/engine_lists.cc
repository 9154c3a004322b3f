// Run lists of workers: confirmed starts, ends, and runs that former owners
// started.

#include <algorithm>

#include "cell/engine.h"

namespace oleandergauge::cell {
namespace {

/// Minimum time between an answer and the next renewal of a worker, so that
/// ends are reported in groups.
constexpr Millis RenewalInterval = 25;
/// Time until the next renewal while reported ends wait to be stored.
constexpr Millis RenewalIntervalWhileStoring = 250;

} // namespace

/// Processes the run list in a worker's answer to a lease renewal.
void Cell::Engine::processList(Worker &Sender, const WorkerList &List) {
  if (List.Incarnation_ != 0 && Sender.Incarnation_ != 0 &&
      List.Incarnation_ < Sender.Incarnation_) {
    // The answer comes from an earlier incarnation.
    Sender.NextRenewal_ = Now_ + RenewalInterval;
    return;
  }
  if (List.Incarnation_ > Sender.Incarnation_ && Sender.Incarnation_ != 0) {
    changeIncarnation(Sender, List.Incarnation_);
    return; // The next renewal raises the fence at the new incarnation.
  }
  Sender.Incarnation_ = std::max(Sender.Incarnation_, List.Incarnation_);
  if (!Sender.Reachable_) {
    Effects_.push_back(Decision{
        "worker_reachable", Sender.Id_, "answered",
        Sender.UnreachableSince_ == 0 ? 0 : Now_ - Sender.UnreachableSince_});
    PlacementNeeded_ = true;
  }
  const Millis EndDelay = maxEndDelay(Sender, List);
  Sender.Reachable_ = true;
  Sender.UnreachableSince_ = 0;
  Sender.ListRequestedAt_ = Sender.RenewalSentAt_;
  Sender.ClockMs_ = List.ClockMs_;
  Sender.ClockAt_ = Now_;
  for (const EndEntry &End : List.Ended_)
    processEnd(Sender, End, EndDelay);
  for (const RunningEntry &Entry : List.Running_)
    processRunning(Sender, Entry, List.ClockMs_);
  Sender.EndsHidden_ = !List.AllEnds_;
  Sender.ListsEnds_ = !List.Ended_.empty();
  loseUnlistedRuns(Sender, List);
  adjustFillerPaces(Sender);
  if (!Sender.FenceAccepted_) {
    Sender.LeaseEnd_ = std::max(Sender.LeaseEnd_, strayLeaseEnd(Sender));
    Sender.FenceAccepted_ = true;
    PlacementNeeded_ = true;
  }
  if (List.isComplete() && UnconfirmedWorkers_.erase(Sender.Id_) != 0)
    PlacementNeeded_ = true;
  Sender.NextRenewal_ = Now_ + (Sender.LastSeenEnd_ > Sender.LastStoredEnd_
                                    ? RenewalIntervalWhileStoring
                                    : RenewalInterval);
}

/// Adds a listed run that a former owner started.
void Cell::Engine::adoptRun(Worker &Target, const RunningEntry &Entry,
                            StepRun &Step, std::uint32_t Index) {
  Run NewRun;
  NewRun.Step_ = &Step;
  NewRun.Index_ = Index;
  NewRun.Attempt_ = Entry.Attempt_;
  NewRun.Phase_ = Run::Phase::Running;
  NewRun.Need_ = Step.spec().Need_;
  NewRun.TeamNeed_ = NewRun.Need_;
  if (Step.spec().Fill_)
    NewRun.Need_.CpuMilli_ = 0;
  if (Step.spec().Fill_)
    NewRun.ConfirmedPace_ = -1; // The former owner may have changed the pace.
  NewRun.OrderedAt_ = Now_;
  NewRun.Checkpoint_ = Entry.Checkpoint_;
  Task &TargetTask = Step.Tasks_[Index];
  if (TargetTask.Phase_ == Task::Phase::Waiting) {
    TargetTask.Phase_ = Task::Phase::Active;
    TargetTask.AssignedWorker_ = Target.Number_;
    ++Step.ActiveCount_;
    countWaitingWork(Step);
  }
  keepCheckpoint(Step, Index, Entry.Attempt_, Entry.Checkpoint_);
  markStarted(*Step.Job_);
  addRun(Target, Entry.Task_, std::move(NewRun));
}

/// Updates a known run from its list entry, or adopts or stops an unknown one.
void Cell::Engine::processRunning(Worker &Sender, const RunningEntry &Entry,
                                  Millis Clock) {
  const auto Known = Sender.Runs_.find(Entry.Task_);
  if (Known != Sender.Runs_.end()) {
    Run &TargetRun = Known->second;
    if (TargetRun.Attempt_ != Entry.Attempt_)
      return; // A later list contains only one of the two runs.
    TargetRun.ConfirmedClock_ = std::max(TargetRun.ConfirmedClock_, Clock);
    if (TargetRun.SentStarts_ == 1)
      TargetRun.OpenStarts_ = 0; // The list shows what became of the only one.
    confirmStart(Sender, TargetRun);
    if (TargetRun.Step_ != nullptr)
      markStarted(*TargetRun.Step_->Job_);
    if (TargetRun.Phase_ == Run::Phase::Stopping && TargetRun.StopConfirmed_ &&
        !TargetRun.OrderInFlight_ &&
        Now_ > TargetRun.LastOrderAt_ + 2 * Limits_.StopTime_)
      // The run continues, so the stop is sent again.
      TargetRun.StopConfirmed_ = false;
    if (!Entry.Checkpoint_.empty() &&
        Entry.Checkpoint_ != TargetRun.Checkpoint_) {
      TargetRun.Checkpoint_ = Entry.Checkpoint_;
      if (TargetRun.Step_ != nullptr)
        keepCheckpoint(*TargetRun.Step_, TargetRun.Index_, Entry.Attempt_,
                       Entry.Checkpoint_);
    }
    recordProgress(TargetRun, Entry);
    TargetRun.Usage_ = Entry.Usage_;
    TargetRun.Percent_ = Entry.Percent_;
    return;
  }
  const auto Name = parseTaskName(Entry.Task_);
  if (Name)
    openNamedOccurrence(*Name);
  StepRun *Step = Name ? findStep(*Name) : nullptr;
  const bool Wanted =
      Step != nullptr && !Step->Job_->EndState_ && Step->Ready_ &&
      Step->Tasks_[Name->Index_].Phase_ == Task::Phase::Waiting &&
      mayAdopt(*Step, Entry.Attempt_);
  if (Step != nullptr) {
    adoptRun(Sender, Entry, *Step, Name->Index_);
    Effects_.push_back(Decision{Wanted ? "task_adopted" : "task_unexpected",
                                Entry.Task_, Sender.Id_, 0, Entry.Attempt_});
  } else {
    // The resources of an unknown run are not known, so it occupies the whole
    // worker.
    Run UnknownRun;
    UnknownRun.Need_ = Sender.Capacity_;
    UnknownRun.Attempt_ = Entry.Attempt_;
    UnknownRun.OrderedAt_ = Now_;
    UnknownRun.Phase_ = Run::Phase::Running;
    addRun(Sender, Entry.Task_, std::move(UnknownRun));
  }
  Run &Found = Sender.Runs_[Entry.Task_];
  if (!Wanted) {
    stopRun(Sender, Entry.Task_, Found, "run is not wanted");
    return;
  }
  adoptMember(*Step, Entry.Attempt_);
  recordProgress(Found, Entry);
  Found.Percent_ = Entry.Percent_;
}

/// Processes an end that the worker lists, unless it was processed before. \p
/// EndDelay is the longest time for which a listed run can have been over.
void Cell::Engine::processEnd(Worker &Sender, const EndEntry &End,
                              Millis EndDelay) {
  if (End.Number_ <= Sender.LastSeenEnd_)
    return;
  Sender.LastSeenEnd_ = End.Number_;
  const auto Name = parseTaskName(End.Task_);
  if (Name)
    openNamedOccurrence(*Name);
  StepRun *Step = Name ? findStep(*Name) : nullptr;
  // The end of a run in an occurrence that is released relies on what its job
  // has still to store.
  const Job *Cause = Name ? findJob(Name->Job_) : nullptr;
  const auto Known = Sender.Runs_.find(End.Task_);
  const bool Own =
      Known != Sender.Runs_.end() && Known->second.Attempt_ == End.Attempt_;
  if (Step != nullptr) {
    constexpr const char *Kinds[] = {"done",   "failed", "stopped",
                                     "lapsed", "broken", "alone"};
    Effects_.push_back(
        Decision{"task_ended", End.Task_, Kinds[static_cast<int>(End.Kind_)],
                 Own ? Now_ - Known->second.OrderedAt_ : 0, End.Attempt_});
    recordHealth(Sender, End.Kind_, *Step->Job_);
    if (Own)
      learnFromEnd(Sender, Known->second, End.Kind_, EndDelay);
    ++Step->Job_->LiveRuns_; // Keeps the job alive while its run is dropped.
    handleTaskEnd(*Step, Name->Index_, End, &Sender);
    --Step->Job_->LiveRuns_;
  }
  recordEnd(Sender, End.Number_, Cause);
  if (Own)
    dropRun(Sender, End.Task_);
}

/// Drops confirmed runs that a newer list does not contain: they never began,
/// or their end was acknowledged. A run whose end may be among those that the
/// list does not name keeps its room until its end is listed.
void Cell::Engine::loseUnlistedRuns(Worker &Sender, const WorkerList &List) {
  if (!List.AllEnds_)
    return;
  std::vector<std::string> Missing;
  for (const auto &[Name, Each] : Sender.Runs_) {
    if (Each.OrderInFlight_ || Each.ConfirmedClock_ >= List.ClockMs_)
      continue;
    const bool Listed =
        std::any_of(List.Running_.begin(), List.Running_.end(),
                    [&, &Task = Name](const RunningEntry &Entry) {
                      return Entry.Task_ == Task;
                    });
    if (Listed)
      continue;
    const bool Running = Each.Phase_ == Run::Phase::Running && List.AllRuns_;
    const bool Stopped =
        Each.Phase_ == Run::Phase::Stopping && Each.StopConfirmed_;
    if (Running || Stopped)
      Missing.push_back(Name);
  }
  for (const std::string &Name : Missing)
    loseRun(Sender, Name, "not listed by the worker");
}

} // namespace oleandergauge::cell
