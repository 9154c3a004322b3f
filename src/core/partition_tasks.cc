#include <algorithm>

#include "partition_engine.h"

namespace oleandergauge {
namespace {

/// Placements of one event; bounds the time that one event may take.
constexpr std::size_t PlacementsPerRound = 256;
/// Ends with a failure after which an idempotent task is given up.
constexpr std::uint32_t MaxFailedStarts = 5;
/// A failure this soon after the start speaks against the worker.
constexpr Duration EarlyFailure = std::chrono::seconds(5);
constexpr Duration FirstRestartDelay = std::chrono::milliseconds(500);
constexpr Duration MaxRestartDelay = std::chrono::seconds(60);
/// A task that was asked to checkpoint is stopped after this long.
constexpr Duration CheckpointPatience = std::chrono::seconds(3);
/// A command or call without an answer is treated as lost after its
/// validity, the delivery bound and this long.
constexpr Duration AnswerPatience = std::chrono::seconds(2);

Duration restartDelay(std::uint32_t Failures) {
  const std::uint32_t Doublings = std::min<std::uint32_t>(Failures, 7);
  return std::min(MaxRestartDelay, FirstRestartDelay * (1 << Doublings));
}

} // namespace

detail::JobEntry *Partition::Engine::findJob(const JobId &Id) {
  auto Found = Jobs_.find(Id);
  return Found == Jobs_.end() ? nullptr : &Found->second;
}

detail::TaskEntry *Partition::Engine::findTask(const TaskId &Task) {
  detail::JobEntry *Job = findJob(Task.Job_);
  if (!Job || Task.Index_ >= Job->Tasks_.size())
    return nullptr;
  return &Job->Tasks_[Task.Index_];
}

// ----------------------------------------------------------------- Queue

WorkItem Partition::Engine::itemOf(const detail::JobEntry &Job,
                                   std::uint32_t Index) const {
  const JobSpec &Spec = *Job.Spec_;
  WorkItem Item;
  Item.First_ = {Spec.Id_, Index};
  Item.Team_ = Spec.Team_;
  Item.Class_ = Spec.Class_;
  Item.Urgent_ = Spec.Urgent_;
  Item.Need_ = Estimator_.expectedNeed(Spec.Team_, Spec.Queue_, Spec.Need_);
  Item.ExpectedRun_ =
      Estimator_.expectedRun(Spec.Team_, Spec.Queue_, Spec.DeclaredRun_);
  Item.SubmittedAt_ = Job.SubmittedAt_;
  // What was learned must not make a task too large for every worker.
  if (!Scheduler_.checkFeasible(Item))
    Item.Need_ = Spec.Need_;
  return Item;
}

void Partition::Engine::enqueueJob(const detail::JobEntry &Job) {
  if (Job.gang()) {
    WorkItem Item = itemOf(Job, 0);
    Item.Count_ = static_cast<std::uint32_t>(Job.Tasks_.size());
    Scheduler_.enqueue(Item);
    WaitingByTeam_[Item.Team_] += Item.Count_;
    ScheduleNeeded_ = true;
    return;
  }
  for (std::uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index)
    if (Job.Tasks_[Index].State_ == TaskState::Waiting)
      enqueueTask(Job, Index);
}

void Partition::Engine::enqueueTask(const detail::JobEntry &Job,
                                    std::uint32_t Index) {
  Scheduler_.enqueue(itemOf(Job, Index));
  ++WaitingByTeam_[Job.Spec_->Team_];
  ScheduleNeeded_ = true;
}

void Partition::Engine::requeueLater(const TaskId &Task, Duration Delay) {
  Requeue_.emplace(Now_ + Delay, Task);
}

void Partition::Engine::pumpRequeue() {
  while (!Requeue_.empty() && Requeue_.begin()->first <= Now_) {
    const TaskId Id = Requeue_.begin()->second;
    Requeue_.erase(Requeue_.begin());
    const detail::JobEntry *Job = findJob(Id.Job_);
    if (!Job || Job->CancelledFor_ ||
        Job->Tasks_[Id.Index_].State_ != TaskState::Waiting)
      continue;
    if (Job->gang())
      enqueueJob(*Job);
    else
      enqueueTask(*Job, Id.Index_);
  }
}

// ---------------------------------------------------------------- Starts

void Partition::Engine::updateTeams() {
  for (const auto &[Team, Waiting] : WaitingByTeam_) {
    Allotments_.setDemand(Team, Waiting);
    Scheduler_.setTeam(Team, View_ ? View_->weightOf(Team) : 1.0,
                       Allotments_.headroomOf(Team));
  }
}

void Partition::Engine::schedule() {
  if (!ScheduleNeeded_ || Draining_ || !mayServe())
    return;
  if (Now_ >= Evidence_.MayActUntil_)
    return;
  ScheduleNeeded_ = false;
  updateTeams();
  // Without the lease only calls go on, as nothing can be journaled.
  Scheduler_.setDirectOnly(!mayDecide());
  const auto Placed = Scheduler_.decide(Now_, PlacementsPerRound);
  for (const PlacedTask &Decision : Placed)
    startPlaced(Decision);
  if (Placed.size() >= PlacementsPerRound)
    ScheduleNeeded_ = true;
  if (!Placed.empty())
    updateTeams();
  pumpPreemption();
}

void Partition::Engine::startPlaced(const PlacedTask &Placed) {
  detail::JobEntry &Job = Jobs_.at(Placed.Task_.Job_);
  detail::TaskEntry &Task = Job.Tasks_[Placed.Task_.Index_];
  std::uint32_t &Waiting = WaitingByTeam_[Job.Spec_->Team_];
  Waiting -= Waiting > 0 ? 1 : 0;
  const std::uint32_t Attempt = Task.Attempt_ + 1;
  const std::uint32_t Failures = Task.FailedStarts_;
  const bool EverStarted = Task.EverStarted_;
  Task = detail::TaskEntry();
  Task.FailedStarts_ = Failures;
  Task.EverStarted_ = EverStarted;
  Task.State_ = TaskState::Starting;
  Task.Attempt_ = Attempt;
  Task.Worker_ = Placed.Worker_;
  Task.Reserved_ = Placed.Reserved_;
  Task.AssignedAt_ = Now_;
  Allotments_.noteStarted(Job.Spec_->Team_);
  detail::WorkerEntry &Worker = Workers_.at(Placed.Worker_);
  Worker.Tasks_.insert(Placed.Task_);
  if (Worker.Probing_)
    updateOpen(Worker);
  const TaskId Id = Placed.Task_;
  if (!Job.Journaled_) {
    sendStart(Id, Attempt);
    return;
  }
  const std::uint64_t Ticket =
      record(TaskAssigned{Id, Attempt, Placed.Worker_, Placed.Reserved_});
  whenCommitted(Ticket, [this, Id, Attempt] { sendStart(Id, Attempt); });
}

/// The assignment is durable where it must be. What may no longer start, as
/// when the limit fell while the journal stalled, waits again: its command
/// was certainly not sent.
void Partition::Engine::sendStart(const TaskId &Id, std::uint32_t Attempt) {
  detail::TaskEntry *Task = findTask(Id);
  if (!Task || Task->Attempt_ != Attempt || Task->CommandUntil_ ||
      Task->State_ != TaskState::Starting)
    return;
  detail::JobEntry &Job = Jobs_.at(Id.Job_);
  const detail::WorkerEntry &Worker = Workers_.at(Task->Worker_);
  const bool Journaled = Job.Journaled_;
  const bool MayStart = (Journaled ? mayDecide() : mayServe()) &&
                        Now_ < startUntil() && !Draining_ &&
                        !isWithdrawn(Worker) && !Job.CancelledFor_ &&
                        !Task->Final_ && !Job.GangRestart_ &&
                        Allotments_.mayRunStartedTasks(Job.Spec_->Team_);
  if (!MayStart) {
    returnTask(Job, Id.Index_, Duration(0));
    return;
  }
  Task->CommandUntil_ = startUntil();
  detail::WorkerEntry &Target = Workers_.at(Task->Worker_);
  Target.RenewedUntil_ = std::max(Target.RenewedUntil_, *Task->CommandUntil_);
  Out_.push_back(StartOnWorker{Task->Worker_, Worker.Info_.Address_, Id,
                               Attempt, Job.Spec_, Task->Reserved_, Epoch_,
                               WorkerLeaseLength, *Task->CommandUntil_});
  Job.Started_ = true;
  if (Job.direct())
    noteRunning(Job, *Task);
  Out_.push_back(Measured{"placements", Job.Spec_->Team_, Job.Spec_->Class_});
}

void Partition::Engine::onStartAnswered(const StartAnswered &Event) {
  detail::TaskEntry *Task = findTask(Event.Task_);
  if (!Task || Task->Attempt_ != Event.Attempt_ || !Task->active() ||
      Task->CommandAnswered_)
    return;
  detail::JobEntry &Job = Jobs_.at(Event.Task_.Job_);
  Task->CommandAnswered_ = true;
  switch (Event.Outcome_) {
  case CommandOutcome::NotSent:
    returnTask(Job, Event.Task_.Index_, Duration(0));
    return;
  case CommandOutcome::Refused:
    Health_.noteFailure(Task->Worker_, Now_);
    ++Task->FailedStarts_;
    returnTask(Job, Event.Task_.Index_, FirstRestartDelay / 5);
    return;
  case CommandOutcome::Started:
    noteRunning(Job, *Task);
    return;
  case CommandOutcome::Unknown:
    Task->EverStarted_ = true;
    if (Task->State_ == TaskState::Starting)
      Task->State_ = TaskState::Unknown;
    return;
  }
}

void Partition::Engine::noteRunning(detail::JobEntry &Job,
                                    detail::TaskEntry &Task) {
  if (Task.State_ == TaskState::Running)
    return;
  Task.State_ = TaskState::Running;
  Task.EverStarted_ = Task.EverStarted_ || !Job.direct();
  Task.RunningSince_ = Now_;
  Out_.push_back(Measured{"wait_us", Job.Spec_->Team_, Job.Spec_->Class_,
                          (Now_ - Job.SubmittedAt_).count()});
}

// ----------------------------------------------------------------- Calls

void Partition::Engine::onCallAnswered(const CallAnswered &Event) {
  detail::TaskEntry *Task = findTask(Event.Task_);
  if (!Task || Task->Attempt_ != Event.Attempt_ || !Task->active() ||
      Task->CommandAnswered_) {
    answerDetached(Event);
    return;
  }
  detail::JobEntry &Job = Jobs_.at(Event.Task_.Job_);
  switch (Event.Outcome_) {
  case CommandOutcome::NotSent:
  case CommandOutcome::Refused:
    onStartAnswered({Event.Task_, Event.Attempt_, Event.Outcome_});
    return;
  case CommandOutcome::Unknown:
    Task->CommandAnswered_ = true;
    Task->EverStarted_ = true;
    Task->State_ = TaskState::Unknown;
    return;
  case CommandOutcome::Started:
    Task->CommandAnswered_ = true;
    noteRunning(Job, *Task);
    Health_.noteSuccess(Task->Worker_, Now_);
    endTask(Job, Event.Task_.Index_, Verdict::Ran, Event.ExitCode_,
            Event.Output_);
    return;
  }
}

void Partition::Engine::answerDetached(const CallAnswered &Event) {
  auto Found = Detached_.find(Event.Task_);
  if (Found == Detached_.end() || Found->second.Attempt_ != Event.Attempt_)
    return;
  detail::JobEntry Job = std::move(Found->second.Job_);
  Detached_.erase(Found);
  if (Event.Outcome_ == CommandOutcome::Started) {
    Job.Tasks_[0].State_ = TaskState::Ended;
    Job.Tasks_[0].Verdict_ = Verdict::Ran;
    Job.Tasks_[0].ExitCode_ = Event.ExitCode_;
    Job.Tasks_[0].Output_ = Event.Output_;
    Job.Ended_ = true;
    answerAll(Job.UntilEnded_, Job);
    return;
  }
  // A journaled call is the new owner's; only it may say "not run".
  const bool NotRun =
      !Job.Journaled_ && (Event.Outcome_ == CommandOutcome::NotSent ||
                          Event.Outcome_ == CommandOutcome::Refused);
  refuseAll(Job,
            {NotRun ? Verdict::NotRun : Verdict::MayHaveRun,
             RefusalReason::OwnerUnavailable, "the partition changed its owner",
             std::chrono::milliseconds(500)});
}

// ------------------------------------------------------------------ Ends

void Partition::Engine::releaseTask(detail::JobEntry &Job,
                                    std::uint32_t Index) {
  const TaskId Id{Job.Spec_->Id_, Index};
  detail::TaskEntry &Task = Job.Tasks_[Index];
  Scheduler_.release(Id);
  Allotments_.noteEnded(Job.Spec_->Team_);
  auto Worker = Workers_.find(Task.Worker_);
  if (Worker != Workers_.end())
    Worker->second.Tasks_.erase(Id);
  Task.AbsentSince_.reset();
  Task.StopAskedAt_.reset();
  Task.CommandUntil_.reset();
  ScheduleNeeded_ = true;
}

void Partition::Engine::returnTask(detail::JobEntry &Job, std::uint32_t Index,
                                   Duration Delay) {
  detail::TaskEntry &Task = Job.Tasks_[Index];
  const TaskId Id{Job.Spec_->Id_, Index};
  if (Job.CancelledFor_ || Task.Final_) {
    endTask(Job, Index,
            Task.EverStarted_ ? Verdict::MayHaveRun : Verdict::NotRun, 0, "");
    return;
  }
  releaseTask(Job, Index);
  Task.State_ = TaskState::Waiting;
  Task.Worker_ = WorkerId();
  if (Job.Journaled_)
    record(TaskReturned{Id, Task.Attempt_});
  if (Job.gang())
    restartGang(Job);
  else
    requeueLater(Id, Delay);
}

void Partition::Engine::loseTask(detail::JobEntry &Job, std::uint32_t Index) {
  detail::TaskEntry &Task = Job.Tasks_[Index];
  if (!Task.CommandUntil_) {
    returnTask(Job, Index, Duration(0));
    return;
  }
  Task.EverStarted_ = true;
  Out_.push_back(Measured{"lost_tasks", Job.Spec_->Team_, Job.Spec_->Class_});
  if (Job.Spec_->Idempotent_ && !Job.CancelledFor_)
    returnTask(Job, Index, Duration(0));
  else
    endTask(Job, Index, Verdict::MayHaveRun, 0, "");
}

void Partition::Engine::endTask(detail::JobEntry &Job, std::uint32_t Index,
                                Verdict Outcome, std::int32_t ExitCode,
                                std::string Output) {
  detail::TaskEntry &Task = Job.Tasks_[Index];
  const JobId Id = Job.Spec_->Id_;
  const bool Ran = Outcome == Verdict::Ran;
  if (Ran && Task.State_ == TaskState::Running) {
    const Duration Run = Now_ - Task.RunningSince_;
    Estimator_.noteEnd(Job.Spec_->Team_, Job.Spec_->Queue_, Run,
                       Task.PeakUsage_, Job.Spec_->Need_);
    Out_.push_back(
        Measured{"run_us", Job.Spec_->Team_, Job.Spec_->Class_, Run.count()});
  }
  releaseTask(Job, Index);
  Task.State_ = TaskState::Ended;
  Task.Verdict_ = Outcome;
  Task.ExitCode_ = ExitCode;
  Task.Output_ = std::move(Output);
  if (!Job.Journaled_) {
    finishIfEnded(Id);
    return;
  }
  record(
      TaskEnded{{Id, Index}, Task.Attempt_, Outcome, ExitCode, Task.Output_});
  whenCommitted(LastTicket_, [this, Id] { finishIfEnded(Id); });
  if (Job.gang() && Job.GangRestart_)
    restartGang(Job);
}

void Partition::Engine::noteFinished(const FinishedTask &Finished,
                                     const WorkerId &Worker) {
  const TaskId Id = Finished.Task_;
  detail::JobEntry *Job = findJob(Id.Job_);
  detail::TaskEntry *Task = findTask(Id);
  const bool Present = Task && Task->active() && Task->Worker_ == Worker &&
                       Task->Attempt_ == Finished.Attempt_;
  if (Present) {
    if (Task->State_ != TaskState::Running)
      noteRunning(*Job, *Task);
    Task->CommandAnswered_ = true;
    retryOrEnd(*Job, Id.Index_, Finished);
  }
  // Collected once its end is durable; of no use to anybody otherwise.
  const AttemptId Collected{Id, Finished.Attempt_};
  whenCommitted(LastTicket_, [this, Collected, Worker] {
    auto Found = Workers_.find(Worker);
    if (Found != Workers_.end())
      Found->second.Collect_.insert(Collected);
  });
  runCommitted(Journal_.committedTicket());
}

void Partition::Engine::retryOrEnd(detail::JobEntry &Job, std::uint32_t Index,
                                   const FinishedTask &Finished) {
  detail::TaskEntry &Task = Job.Tasks_[Index];
  const bool Failed = Finished.ExitCode_ != 0 && !Finished.Checkpointed_;
  const bool Early = Now_ - Task.RunningSince_ < EarlyFailure;
  if (Failed && Early && !Task.StopAskedAt_)
    Health_.noteFailure(Task.Worker_, Now_);
  if (!Failed)
    Health_.noteSuccess(Task.Worker_, Now_);
  const bool Cancelled = Job.CancelledFor_ || Task.Final_;
  if (!Cancelled && (Finished.Checkpointed_ || Job.GangRestart_)) {
    returnTask(Job, Index, Duration(0));
    return;
  }
  // A service marked non-idempotent runs once, as all such work (P8).
  if (!Cancelled && Job.service() && Job.Spec_->Idempotent_) {
    Task.FailedStarts_ = Early ? Task.FailedStarts_ + 1 : 0;
    returnTask(Job, Index, restartDelay(Task.FailedStarts_));
    return;
  }
  const bool Stopped = Task.StopAskedAt_ && Failed;
  const bool MayRetry = Failed && Job.Spec_->Idempotent_ && !Cancelled &&
                        (Stopped || Task.FailedStarts_ + 1 < MaxFailedStarts);
  if (MayRetry) {
    Task.FailedStarts_ += Stopped ? 0 : 1;
    returnTask(Job, Index, restartDelay(Task.FailedStarts_));
    return;
  }
  endTask(Job, Index, Verdict::Ran, Finished.ExitCode_, Finished.Output_);
}

// ----------------------------------------------------------------- Gangs

/// A gang runs whole or not at all: once one task is gone the others are
/// stopped, and when all are gone the gang waits again as one item.
void Partition::Engine::restartGang(detail::JobEntry &Job) {
  if (Job.CancelledFor_)
    return;
  const JobId Id = Job.Spec_->Id_;
  Job.GangRestart_ = true;
  bool AllGone = true;
  for (std::uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
    detail::TaskEntry &Task = Job.Tasks_[Index];
    if (!Task.active())
      continue;
    AllGone = false;
    if (Task.CommandUntil_ && !Task.StopAskedAt_)
      askStop({Id, Index}, Task, StopMode::Stop);
  }
  if (!AllGone)
    return;
  Job.GangRestart_ = false;
  const bool MayRepeat = Job.Spec_->Idempotent_ || !Job.Started_;
  if (!MayRepeat) {
    cancelJob(Job, RefusalReason::WorkerFailed);
    return;
  }
  for (std::uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
    detail::TaskEntry &Task = Job.Tasks_[Index];
    if (Task.State_ == TaskState::Waiting)
      continue;
    Task.State_ = TaskState::Waiting;
    record(TaskReturned{{Id, Index}, Task.Attempt_});
  }
  requeueLater({Id, 0}, FirstRestartDelay);
}

// ----------------------------------------------------------------- Stops

void Partition::Engine::askStop(const TaskId &Task, detail::TaskEntry &Entry,
                                StopMode How) {
  if (How != StopMode::Throttle && !Entry.StopAskedAt_)
    Entry.StopAskedAt_ = Now_;
  auto Worker = Workers_.find(Entry.Worker_);
  if (Worker == Workers_.end())
    return;
  Out_.push_back(StopOnWorker{Entry.Worker_,
                              Worker->second.Info_.Address_,
                              {Task, Entry.Attempt_},
                              How});
}

/// Repeats stops that had no effect, and turns checkpoints into stops.
void Partition::Engine::pumpStops() {
  if (!mayServe())
    return;
  for (auto &[Id, Job] : Jobs_) {
    if (Job.Ended_)
      continue;
    for (std::uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
      detail::TaskEntry &Task = Job.Tasks_[Index];
      if (!Task.active())
        continue;
      const bool Lost =
          Task.CommandUntil_ && !Task.CommandAnswered_ &&
          Task.State_ == TaskState::Starting && !Job.direct() &&
          Now_ >= *Task.CommandUntil_ + DeliveryBound + AnswerPatience;
      if (Lost)
        Task.State_ = TaskState::Unknown;
      const bool Due =
          Task.StopAskedAt_ && Now_ - *Task.StopAskedAt_ >= CheckpointPatience;
      if (!Due || !Task.CommandUntil_)
        continue;
      Task.StopAskedAt_ = Now_;
      askStop({Id, Index}, Task, StopMode::Stop);
    }
  }
}

void Partition::Engine::pumpPreemption() {
  if (!mayDecide())
    return;
  for (const Preemption &Victim : Scheduler_.choosePreemptions(Now_)) {
    detail::TaskEntry *Task = findTask(Victim.Task_);
    if (!Task || Task->StopAskedAt_)
      continue;
    askStop(Victim.Task_, *Task, StopMode::Checkpoint);
    const JobSpec &Spec = *Jobs_.at(Victim.Task_.Job_).Spec_;
    Out_.push_back(Measured{"preemptions", Spec.Team_, Spec.Class_});
  }
}

/// Stops the youngest work of teams that run more than a lowered limit.
void Partition::Engine::pumpExcess() {
  if (!mayDecide())
    return;
  for (const Excess &Over : Allotments_.excess()) {
    std::vector<std::pair<TimePoint, TaskId>> Youngest;
    std::uint32_t Stopping = 0;
    for (auto &[Id, Job] : Jobs_) {
      if (Job.Spec_->Team_ != Over.Team_ || Job.direct())
        continue;
      for (std::uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
        const detail::TaskEntry &Task = Job.Tasks_[Index];
        if (!Task.active())
          continue;
        if (Task.StopAskedAt_)
          ++Stopping;
        else if (Task.CommandUntil_)
          Youngest.emplace_back(Task.AssignedAt_, TaskId{Id, Index});
      }
    }
    std::sort(Youngest.rbegin(), Youngest.rend());
    for (const auto &[At, Id] : Youngest) {
      if (Stopping >= Over.Count_)
        break;
      askStop(Id, *findTask(Id), StopMode::Checkpoint);
      ++Stopping;
    }
  }
}

} // namespace oleandergauge
