#include <algorithm>

#include "partition_engine.h"

namespace oleandergauge {
namespace {

/// Maximum number of placements during one event. It limits the time that the
/// handling of an event takes.
constexpr std::size_t PlacementsPerRound = 256;
/// An idempotent task ends, without another retry, after this many failures.
constexpr std::uint32_t MaxTaskFailures = 5;
/// A task that fails this soon after its start counts as a failure of its
/// worker.
constexpr Duration EarlyFailureWindow = std::chrono::seconds(5);
/// Initial delay before a failed task restarts. It doubles with each failure up
/// to MaxRestartDelay.
constexpr Duration FirstRestartDelay = std::chrono::milliseconds(500);
constexpr Duration MaxRestartDelay = std::chrono::seconds(60);
/// A task that was told to stop or to checkpoint and is still active after this
/// time is sent a stop.
constexpr Duration CheckpointTimeout = std::chrono::seconds(3);
/// The state of a task becomes Unknown if its start command is not answered
/// within this time after the end of its validity and MaxDeliveryDelay.
constexpr Duration CommandAnswerTimeout = std::chrono::seconds(2);

/// Returns the delay before a task restarts after \p Failures failures.
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

WorkItem Partition::Engine::makeWorkItem(const detail::JobEntry &Job,
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
  // A learned need that no worker can satisfy must not block the task.
  if (!Scheduler_.checkFeasible(Item))
    Item.Need_ = Spec.Need_;
  return Item;
}

void Partition::Engine::enqueueJob(const detail::JobEntry &Job) {
  if (Job.isGang()) {
    WorkItem Item = makeWorkItem(Job, 0);
    Item.Count_ = static_cast<std::uint32_t>(Job.Tasks_.size());
    Scheduler_.enqueue(Item);
    WaitingTasksByTeam_[Item.Team_] += Item.Count_;
    ScheduleNeeded_ = true;
    return;
  }
  for (std::uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index)
    if (Job.Tasks_[Index].State_ == TaskState::Waiting)
      enqueueTask(Job, Index);
}

void Partition::Engine::enqueueTask(const detail::JobEntry &Job,
                                    std::uint32_t Index) {
  Scheduler_.enqueue(makeWorkItem(Job, Index));
  ++WaitingTasksByTeam_[Job.Spec_->Team_];
  ScheduleNeeded_ = true;
}

void Partition::Engine::requeueAfter(const TaskId &Task, Duration Delay) {
  DelayedRequeues_.emplace(Now_ + Delay, Task);
}

void Partition::Engine::requeueDueTasks() {
  while (!DelayedRequeues_.empty() && DelayedRequeues_.begin()->first <= Now_) {
    const TaskId Id = DelayedRequeues_.begin()->second;
    DelayedRequeues_.erase(DelayedRequeues_.begin());
    const detail::JobEntry *Job = findJob(Id.Job_);
    if (!Job || Job->CancelledFor_ ||
        Job->Tasks_[Id.Index_].State_ != TaskState::Waiting)
      continue;
    if (Job->isGang())
      enqueueJob(*Job);
    else
      enqueueTask(*Job, Id.Index_);
  }
}

// ---------------------------------------------------------------- Starts

void Partition::Engine::updateTeams() {
  for (const auto &[Team, Waiting] : WaitingTasksByTeam_) {
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
  // Without the lease nothing can be journaled, so that only direct calls may
  // start.
  Scheduler_.setDirectOnly(!isOwner());
  const auto Placed = Scheduler_.decide(Now_, PlacementsPerRound);
  for (const PlacedTask &Decision : Placed)
    startPlacedTask(Decision);
  if (Placed.size() >= PlacementsPerRound)
    ScheduleNeeded_ = true;
  if (!Placed.empty())
    updateTeams();
  preemptTasks();
}

void Partition::Engine::startPlacedTask(const PlacedTask &Placed) {
  detail::JobEntry &Job = Jobs_.at(Placed.Task_.Job_);
  detail::TaskEntry &Task = Job.Tasks_[Placed.Task_.Index_];
  std::uint32_t &Waiting = WaitingTasksByTeam_[Job.Spec_->Team_];
  Waiting -= Waiting > 0 ? 1 : 0;
  const std::uint32_t Attempt = Task.Attempt_ + 1;
  const std::uint32_t Failures = Task.Failures_;
  const bool MayHaveRun = Task.MayHaveRun_;
  Task = detail::TaskEntry();
  Task.Failures_ = Failures;
  Task.MayHaveRun_ = MayHaveRun;
  Task.State_ = TaskState::Starting;
  Task.Attempt_ = Attempt;
  Task.Worker_ = Placed.Worker_;
  Task.Reserved_ = Placed.Reserved_;
  Task.AssignedAt_ = Now_;
  Allotments_.noteStarted(Job.Spec_->Team_);
  detail::WorkerEntry &Worker = Workers_.at(Placed.Worker_);
  Worker.Tasks_.insert(Placed.Task_);
  if (Worker.Probing_)
    updateWorkerOpen(Worker);
  const TaskId Id = Placed.Task_;
  if (!Job.Journaled_) {
    sendStart(Id, Attempt);
    return;
  }
  const std::uint64_t Ticket = appendToJournal(
      TaskAssigned{Id, Attempt, Placed.Worker_, Placed.Reserved_});
  runAfterCommit(Ticket, [this, Id, Attempt] { sendStart(Id, Attempt); });
}

/// Sends the start command of an assignment. For journaled jobs this runs once
/// the assignment is committed. A task that may no longer start, for example
/// because its team's limit was lowered while the journal stalled, returns to
/// the queue. This is safe because its command was never sent.
void Partition::Engine::sendStart(const TaskId &Id, std::uint32_t Attempt) {
  detail::TaskEntry *Task = findTask(Id);
  if (!Task || Task->Attempt_ != Attempt || Task->CommandValidUntil_ ||
      Task->State_ != TaskState::Starting)
    return;
  detail::JobEntry &Job = Jobs_.at(Id.Job_);
  const detail::WorkerEntry &Worker = Workers_.at(Task->Worker_);
  const bool Journaled = Job.Journaled_;
  const bool MayStart = (Journaled ? isOwner() : mayServe()) &&
                        Now_ < startUntil() && !Draining_ &&
                        !isWithdrawn(Worker) && !Job.CancelledFor_ &&
                        !Task->NoFurtherAttempt_ && !Job.GangAborting_ &&
                        Allotments_.mayRunStartedTasks(Job.Spec_->Team_);
  if (!MayStart) {
    returnTaskToQueue(Job, Id.Index_, Duration(0));
    return;
  }
  Task->CommandValidUntil_ = startUntil();
  detail::WorkerEntry &Target = Workers_.at(Task->Worker_);
  Target.LastRenewalValidUntil_ =
      std::max(Target.LastRenewalValidUntil_, *Task->CommandValidUntil_);
  Effects_.push_back(StartOnWorker{
      Task->Worker_, Worker.Info_.Address_, Id, Attempt, Job.Spec_,
      Task->Reserved_, Epoch_, WorkerLeaseLength, *Task->CommandValidUntil_});
  Job.Started_ = true;
  if (Job.isDirect())
    markRunning(Job, *Task);
  Effects_.push_back(
      MetricSample{"placements", Job.Spec_->Team_, Job.Spec_->Class_});
}

void Partition::Engine::onStartAnswered(const StartAnswered &Event) {
  detail::TaskEntry *Task = findTask(Event.Task_);
  if (!Task || Task->Attempt_ != Event.Attempt_ || !Task->isActive() ||
      Task->CommandAnswered_)
    return;
  detail::JobEntry &Job = Jobs_.at(Event.Task_.Job_);
  Task->CommandAnswered_ = true;
  switch (Event.Outcome_) {
  case CommandOutcome::NotSent:
    returnTaskToQueue(Job, Event.Task_.Index_, Duration(0));
    return;
  case CommandOutcome::Refused:
    Health_.noteFailure(Task->Worker_, Now_);
    ++Task->Failures_;
    returnTaskToQueue(Job, Event.Task_.Index_, FirstRestartDelay / 5);
    return;
  case CommandOutcome::Started:
    markRunning(Job, *Task);
    return;
  case CommandOutcome::Unknown:
    Task->MayHaveRun_ = true;
    if (Task->State_ == TaskState::Starting)
      Task->State_ = TaskState::Unknown;
    return;
  }
}

void Partition::Engine::markRunning(detail::JobEntry &Job,
                                    detail::TaskEntry &Task) {
  if (Task.State_ == TaskState::Running)
    return;
  Task.State_ = TaskState::Running;
  Task.MayHaveRun_ = Task.MayHaveRun_ || !Job.isDirect();
  Task.RunningSince_ = Now_;
  Effects_.push_back(MetricSample{"wait_us", Job.Spec_->Team_,
                                  Job.Spec_->Class_,
                                  (Now_ - Job.SubmittedAt_).count()});
}

// ----------------------------------------------------------------- Calls

void Partition::Engine::onCallAnswered(const CallAnswered &Event) {
  detail::TaskEntry *Task = findTask(Event.Task_);
  if (!Task || Task->Attempt_ != Event.Attempt_ || !Task->isActive() ||
      Task->CommandAnswered_) {
    answerDetachedCall(Event);
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
    Task->MayHaveRun_ = true;
    Task->State_ = TaskState::Unknown;
    return;
  case CommandOutcome::Started:
    Task->CommandAnswered_ = true;
    markRunning(Job, *Task);
    Health_.noteSuccess(Task->Worker_, Now_);
    endTask(Job, Event.Task_.Index_, Verdict::Ran, Event.ExitCode_,
            Event.Output_);
    return;
  }
}

void Partition::Engine::answerDetachedCall(const CallAnswered &Event) {
  auto Found = DetachedCalls_.find(Event.Task_);
  if (Found == DetachedCalls_.end() || Found->second.Attempt_ != Event.Attempt_)
    return;
  detail::JobEntry Job = std::move(Found->second.Job_);
  DetachedCalls_.erase(Found);
  if (Event.Outcome_ == CommandOutcome::Started) {
    Job.Tasks_[0].State_ = TaskState::Ended;
    Job.Tasks_[0].Verdict_ = Verdict::Ran;
    Job.Tasks_[0].ExitCode_ = Event.ExitCode_;
    Job.Tasks_[0].Output_ = Event.Output_;
    Job.Ended_ = true;
    answerAll(Job.EndWaiters_, Job);
    return;
  }
  // A journaled call belongs to the new owner, which may run it. Only the new
  // owner may answer "not run".
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
  Task.MissingSince_.reset();
  Task.StopRequestedAt_.reset();
  Task.CommandValidUntil_.reset();
  ScheduleNeeded_ = true;
}

void Partition::Engine::returnTaskToQueue(detail::JobEntry &Job,
                                          std::uint32_t Index, Duration Delay) {
  detail::TaskEntry &Task = Job.Tasks_[Index];
  const TaskId Id{Job.Spec_->Id_, Index};
  if (Job.CancelledFor_ || Task.NoFurtherAttempt_) {
    endTask(Job, Index,
            Task.MayHaveRun_ ? Verdict::MayHaveRun : Verdict::NotRun, 0, "");
    return;
  }
  releaseTask(Job, Index);
  Task.State_ = TaskState::Waiting;
  Task.Worker_ = WorkerId();
  if (Job.Journaled_)
    appendToJournal(TaskReturned{Id, Task.Attempt_});
  if (Job.isGang())
    abortGangAttempt(Job);
  else
    requeueAfter(Id, Delay);
}

void Partition::Engine::handleLostTask(detail::JobEntry &Job,
                                       std::uint32_t Index) {
  detail::TaskEntry &Task = Job.Tasks_[Index];
  if (!Task.CommandValidUntil_) {
    returnTaskToQueue(Job, Index, Duration(0));
    return;
  }
  Task.MayHaveRun_ = true;
  Effects_.push_back(
      MetricSample{"lost_tasks", Job.Spec_->Team_, Job.Spec_->Class_});
  if (Job.Spec_->Idempotent_ && !Job.CancelledFor_)
    returnTaskToQueue(Job, Index, Duration(0));
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
    Effects_.push_back(MetricSample{"run_us", Job.Spec_->Team_,
                                    Job.Spec_->Class_, Run.count()});
  }
  releaseTask(Job, Index);
  Task.State_ = TaskState::Ended;
  Task.Verdict_ = Outcome;
  Task.ExitCode_ = ExitCode;
  Task.Output_ = std::move(Output);
  if (!Job.Journaled_) {
    finishJobIfEnded(Id);
    return;
  }
  appendToJournal(
      TaskEnded{{Id, Index}, Task.Attempt_, Outcome, ExitCode, Task.Output_});
  runAfterCommit(LastTicket_, [this, Id] { finishJobIfEnded(Id); });
  if (Job.isGang() && Job.GangAborting_)
    abortGangAttempt(Job);
}

void Partition::Engine::handleFinishedTask(const FinishedTask &Finished,
                                           const WorkerId &Worker) {
  const TaskId Id = Finished.Task_;
  detail::JobEntry *Job = findJob(Id.Job_);
  detail::TaskEntry *Task = findTask(Id);
  const bool Present = Task && Task->isActive() && Task->Worker_ == Worker &&
                       Task->Attempt_ == Finished.Attempt_;
  if (Present) {
    if (Task->State_ != TaskState::Running)
      markRunning(*Job, *Task);
    Task->CommandAnswered_ = true;
    retryOrEndTask(*Job, Id.Index_, Finished);
  }
  // Acknowledge the end to the worker once it is committed. An end that belongs
  // to no present attempt is acknowledged as well, since nothing else needs it.
  const AttemptId Collected{Id, Finished.Attempt_};
  runAfterCommit(LastTicket_, [this, Collected, Worker] {
    auto Found = Workers_.find(Worker);
    if (Found != Workers_.end())
      Found->second.EndsToAcknowledge_.insert(Collected);
  });
  runCommitActions(Journal_.committedTicket());
}

void Partition::Engine::retryOrEndTask(detail::JobEntry &Job,
                                       std::uint32_t Index,
                                       const FinishedTask &Finished) {
  detail::TaskEntry &Task = Job.Tasks_[Index];
  const bool Failed = Finished.ExitCode_ != 0 && !Finished.Checkpointed_;
  const bool Early = Now_ - Task.RunningSince_ < EarlyFailureWindow;
  if (Failed && Early && !Task.StopRequestedAt_)
    Health_.noteFailure(Task.Worker_, Now_);
  if (!Failed)
    Health_.noteSuccess(Task.Worker_, Now_);
  const bool Cancelled = Job.CancelledFor_ || Task.NoFurtherAttempt_;
  if (!Cancelled && (Finished.Checkpointed_ || Job.GangAborting_)) {
    returnTaskToQueue(Job, Index, Duration(0));
    return;
  }
  // A non-idempotent service is not restarted: like all non-idempotent work it
  // runs at most once (P8).
  if (!Cancelled && Job.isService() && Job.Spec_->Idempotent_) {
    Task.Failures_ = Early ? Task.Failures_ + 1 : 0;
    returnTaskToQueue(Job, Index, restartDelay(Task.Failures_));
    return;
  }
  const bool Stopped = Task.StopRequestedAt_ && Failed;
  const bool MayRetry = Failed && Job.Spec_->Idempotent_ && !Cancelled &&
                        (Stopped || Task.Failures_ + 1 < MaxTaskFailures);
  if (MayRetry) {
    Task.Failures_ += Stopped ? 0 : 1;
    returnTaskToQueue(Job, Index, restartDelay(Task.Failures_));
    return;
  }
  endTask(Job, Index, Verdict::Ran, Finished.ExitCode_, Finished.Output_);
}

// ----------------------------------------------------------------- Gangs

/// Aborts the present attempt of a gang, since a gang runs only as a whole.
/// Stops the tasks that are still active. Once none is active, the gang returns
/// to the queue as one item, or is cancelled if it must not run again.
void Partition::Engine::abortGangAttempt(detail::JobEntry &Job) {
  if (Job.CancelledFor_)
    return;
  const JobId Id = Job.Spec_->Id_;
  Job.GangAborting_ = true;
  bool AllGone = true;
  for (std::uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
    detail::TaskEntry &Task = Job.Tasks_[Index];
    if (!Task.isActive())
      continue;
    AllGone = false;
    if (Task.CommandValidUntil_ && !Task.StopRequestedAt_)
      sendStop({Id, Index}, Task, StopMode::Stop);
  }
  if (!AllGone)
    return;
  Job.GangAborting_ = false;
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
    appendToJournal(TaskReturned{{Id, Index}, Task.Attempt_});
  }
  requeueAfter({Id, 0}, FirstRestartDelay);
}

// ----------------------------------------------------------------- Stops

void Partition::Engine::sendStop(const TaskId &Task, detail::TaskEntry &Entry,
                                 StopMode How) {
  if (How != StopMode::Throttle && !Entry.StopRequestedAt_)
    Entry.StopRequestedAt_ = Now_;
  auto Worker = Workers_.find(Entry.Worker_);
  if (Worker == Workers_.end())
    return;
  Effects_.push_back(StopOnWorker{Entry.Worker_,
                                  Worker->second.Info_.Address_,
                                  {Task, Entry.Attempt_},
                                  How});
}

/// Repeats stops that had no effect, and sends a stop to tasks that did not
/// checkpoint in time. Also marks tasks as Unknown whose start command was not
/// answered in time.
void Partition::Engine::repeatStops() {
  if (!mayServe())
    return;
  for (auto &[Id, Job] : Jobs_) {
    if (Job.Ended_)
      continue;
    for (std::uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
      detail::TaskEntry &Task = Job.Tasks_[Index];
      if (!Task.isActive())
        continue;
      const bool Lost = Task.CommandValidUntil_ && !Task.CommandAnswered_ &&
                        Task.State_ == TaskState::Starting && !Job.isDirect() &&
                        Now_ >= *Task.CommandValidUntil_ + MaxDeliveryDelay +
                                    CommandAnswerTimeout;
      if (Lost)
        Task.State_ = TaskState::Unknown;
      const bool Due = Task.StopRequestedAt_ &&
                       Now_ - *Task.StopRequestedAt_ >= CheckpointTimeout;
      if (!Due || !Task.CommandValidUntil_)
        continue;
      Task.StopRequestedAt_ = Now_;
      sendStop({Id, Index}, Task, StopMode::Stop);
    }
  }
}

void Partition::Engine::preemptTasks() {
  if (!isOwner())
    return;
  for (const Preemption &Victim : Scheduler_.choosePreemptions(Now_)) {
    detail::TaskEntry *Task = findTask(Victim.Task_);
    if (!Task || Task->StopRequestedAt_)
      continue;
    sendStop(Victim.Task_, *Task, StopMode::Checkpoint);
    const JobSpec &Spec = *Jobs_.at(Victim.Task_.Job_).Spec_;
    Effects_.push_back(MetricSample{"preemptions", Spec.Team_, Spec.Class_});
  }
}

/// Checkpoints the most recently assigned tasks of teams that run more tasks
/// than their lowered limit allows.
void Partition::Engine::stopExcessTasks() {
  if (!isOwner())
    return;
  for (const Excess &TeamExcess : Allotments_.excess()) {
    std::vector<std::pair<TimePoint, TaskId>> Candidates;
    std::uint32_t Stopping = 0;
    for (auto &[Id, Job] : Jobs_) {
      if (Job.Spec_->Team_ != TeamExcess.Team_ || Job.isDirect())
        continue;
      for (std::uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
        const detail::TaskEntry &Task = Job.Tasks_[Index];
        if (!Task.isActive())
          continue;
        if (Task.StopRequestedAt_)
          ++Stopping;
        else if (Task.CommandValidUntil_)
          Candidates.emplace_back(Task.AssignedAt_, TaskId{Id, Index});
      }
    }
    std::sort(Candidates.rbegin(), Candidates.rend());
    for (const auto &[AssignedAt, Id] : Candidates) {
      if (Stopping >= TeamExcess.Count_)
        break;
      sendStop(Id, *findTask(Id), StopMode::Checkpoint);
      ++Stopping;
    }
  }
}

} // namespace oleandergauge
