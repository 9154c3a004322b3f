// What workers say of their runs: confirmation, ends, runs of former owners.

#include <algorithm>

#include "cell/engine.h"

namespace oleandergauge::cell {
namespace {

/// Least pause between two looks at a worker, so that ends are grouped.
constexpr Millis LookPause = 25;
/// Longest pause before the next look while ends wait to be stored.
constexpr Millis StorePause = 250;

} // namespace

void Cell::Engine::takeList(Worker &From, const WorkerList &List) {
  if (List.Incarnation_ != 0 && From.Incarnation_ != 0 &&
      List.Incarnation_ < From.Incarnation_)
    return; // An answer of a former life.
  if (List.Incarnation_ > From.Incarnation_ && From.Incarnation_ != 0) {
    changeLife(From, List.Incarnation_);
    return; // The next look raises the fence in the new life.
  }
  From.Incarnation_ = std::max(From.Incarnation_, List.Incarnation_);
  if (!From.Reachable_) {
    Effects_.push_back(
        Decision{"worker_reachable", From.Id_, "answered",
                 From.FailingSince_ == 0 ? 0 : Now_ - From.FailingSince_});
    PlaceWanted_ = true;
  }
  From.Reachable_ = true;
  From.FailingSince_ = 0;
  From.ClockMs_ = List.ClockMs_;
  From.ClockAt_ = Now_;
  for (const EndEntry &End : List.Ended_)
    takeEnd(From, End);
  for (const RunningEntry &Entry : List.Running_)
    takeRunning(From, Entry, List.ClockMs_);
  dropMissing(From, List);
  paceFillers(From);
  if (!From.Settled_) {
    From.Settled_ = true;
    Unsettled_.erase(From.Id_);
    PlaceWanted_ = true;
  }
  From.NextHold_ =
      Now_ + (From.SeenEnd_ > From.StoredEnd_ ? StorePause : LookPause);
}

void Cell::Engine::adoptRun(Worker &On, const RunningEntry &Entry,
                            StepRun &Step, std::uint32_t Index) {
  Run Made;
  Made.Step_ = &Step;
  Made.Index_ = Index;
  Made.Attempt_ = Entry.Attempt_;
  Made.Phase_ = Run::Phase::Running;
  Made.Need_ = Step.spec().Need_;
  Made.TeamNeed_ = Made.Need_;
  if (Step.spec().Fill_)
    Made.Need_.CpuMilli_ = 0;
  if (Step.spec().Fill_)
    Made.ConfirmedPace_ = -1; // The former owner may have changed it.
  Made.OrderedAt_ = Now_;
  Made.Checkpoint_ = Entry.Checkpoint_;
  Task &Of = Step.Tasks_[Index];
  if (Of.Phase_ == Task::Phase::Waiting) {
    Of.Phase_ = Task::Phase::Active;
    Of.Where_ = &On;
    ++Step.ActiveCount_;
    Step.Job_->Started_ = true;
  }
  addRun(On, Entry.Task_, std::move(Made));
}

void Cell::Engine::takeRunning(Worker &From, const RunningEntry &Entry,
                               Millis Clock) {
  const auto Known = From.Runs_.find(Entry.Task_);
  if (Known != From.Runs_.end()) {
    Run &Of = Known->second;
    if (Of.Attempt_ != Entry.Attempt_)
      return; // A later list shows one of them only.
    Of.ConfirmedClock_ = std::max(Of.ConfirmedClock_, Clock);
    confirmStart(Of);
    if (Of.Phase_ == Run::Phase::Stopping && Of.StopConfirmed_ &&
        !Of.OrderInFlight_ && Now_ > Of.LastOrderAt_ + 2 * Limits_.StopTime_)
      Of.StopConfirmed_ = false; // It runs on: the stop is sent again.
    if (!Entry.Checkpoint_.empty() && Entry.Checkpoint_ != Of.Checkpoint_) {
      Of.Checkpoint_ = Entry.Checkpoint_;
      if (Of.Step_ != nullptr) {
        StepRun &Step = *Of.Step_;
        for (std::uint32_t At = 0; At < Step.Tasks_.size(); ++At)
          if (At == Of.Index_ || Step.spec().Gang_)
            Step.Tasks_[At].Checkpoint_ = Entry.Checkpoint_;
      }
    }
    noteProgress(Of, Entry);
    Of.Usage_ = Entry.Usage_;
    Of.Percent_ = Entry.Percent_;
    return;
  }
  const auto Name = parseTaskName(Entry.Task_);
  if (Name)
    openNamed(*Name);
  StepRun *Step = Name ? findStep(*Name) : nullptr;
  const bool Wanted =
      Step != nullptr && !Step->Job_->End_ && Step->Ready_ &&
      Step->Tasks_[Name->Index_].Phase_ == Task::Phase::Waiting &&
      mayJoin(*Step, Entry.Attempt_);
  if (Step != nullptr) {
    adoptRun(From, Entry, *Step, Name->Index_);
    Effects_.push_back(Decision{Wanted ? "task_adopted" : "task_unexpected",
                                Entry.Task_, From.Id_, 0, Entry.Attempt_});
  } else {
    // What it needs is not known, so that nothing starts beside it.
    Run Stray;
    Stray.Need_ = From.Capacity_;
    Stray.Attempt_ = Entry.Attempt_;
    Stray.OrderedAt_ = Now_;
    Stray.Phase_ = Run::Phase::Running;
    addRun(From, Entry.Task_, std::move(Stray));
  }
  Run &Found = From.Runs_[Entry.Task_];
  if (!Wanted) {
    stopRun(From, Entry.Task_, Found, "not wanted here");
    return;
  }
  joinGang(*Step, Entry.Attempt_);
  noteProgress(Found, Entry);
  Found.Percent_ = Entry.Percent_;
}

void Cell::Engine::takeEnd(Worker &From, const EndEntry &End) {
  if (End.Number_ <= From.SeenEnd_)
    return;
  From.SeenEnd_ = End.Number_;
  const auto Name = parseTaskName(End.Task_);
  if (Name)
    openNamed(*Name);
  StepRun *Step = Name ? findStep(*Name) : nullptr;
  const auto Known = From.Runs_.find(End.Task_);
  const bool Own =
      Known != From.Runs_.end() && Known->second.Attempt_ == End.Attempt_;
  if (Step != nullptr) {
    constexpr const char *Kinds[] = {"done",   "failed", "stopped",
                                     "lapsed", "broken", "alone"};
    Effects_.push_back(
        Decision{"task_ended", End.Task_, Kinds[static_cast<int>(End.Kind_)],
                 Own ? Now_ - Known->second.OrderedAt_ : 0, End.Attempt_});
    noteHealth(From, End.Kind_, *Step->Job_);
    ++Step->Job_->LiveRuns_; // Keeps the job while its run is dropped.
    taskEnded(*Step, Name->Index_, End, &From);
    --Step->Job_->LiveRuns_;
  }
  if (Own)
    dropRun(From, End.Task_);
}

/// Runs that a newer list does not show have ended or never began.
void Cell::Engine::dropMissing(Worker &From, const WorkerList &List) {
  std::vector<std::string> Missing;
  for (const auto &[Name, Each] : From.Runs_) {
    if (Each.OrderInFlight_ || Each.ConfirmedClock_ >= List.ClockMs_)
      continue;
    const bool Listed =
        std::any_of(List.Running_.begin(), List.Running_.end(),
                    [&, &Task = Name](const RunningEntry &Entry) {
                      return Entry.Task_ == Task;
                    });
    if (Listed)
      continue;
    const bool Running = Each.Phase_ == Run::Phase::Running;
    const bool Stopped =
        Each.Phase_ == Run::Phase::Stopping && Each.StopConfirmed_;
    if (Running || Stopped)
      Missing.push_back(Name);
  }
  for (const std::string &Name : Missing)
    loseRun(From, Name, "not listed by the worker");
}

} // namespace oleandergauge::cell
