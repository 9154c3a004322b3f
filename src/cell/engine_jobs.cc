// Jobs: acceptance, readiness of steps, ends of tasks, cancellation and
// queries.

#include <algorithm>
#include <tuple>

#include "cell/engine.h"

namespace oleandergauge::cell {
namespace {

/// Burst size of a team's submission rate, as seconds of the rate.
constexpr double ShareBurstSeconds = 2.0;
/// Number of workers assumed for a call for advice when the duration of a job
/// is estimated.
constexpr double TypicalWorkersAsked = 30;
/// Time after a takeover during which a former owner may still renew leases: it
/// stays active for 0.8 s after its last proof of ownership, and its last
/// renewal may take a while to arrive.
constexpr Millis FormerOwnerRenewalTime = 1600;
/// Share of a caller's timeout within which a submission has to be stored. The
/// rest is left to the answer's way to the caller and to late transactions.
constexpr double MaxStoreWaitShare = 0.7;
/// Age of an unanswered transaction above which submissions that it does not
/// contain are refused.
constexpr Millis StoreStallTimeout = 400;
/// Interval at which due occurrences, expired advice and old ends are checked.
constexpr Millis JobAdvanceInterval = 40;
/// Upper limit on the bytes of a job's or a step's numbers in a row.
constexpr std::size_t StepNumberBytes = 128;
constexpr std::size_t StepReferenceBytes = 6;

/// Returns an upper limit on the size in bytes of the job's rows, without the
/// cost of encoding them.
std::size_t maxRowSize(const std::string &Id, const JobRecord &Record) {
  std::size_t Out = StepNumberBytes + Id.size() + Record.Queue_.size() +
                    Record.Team_.size() + Record.Spec_.Payload_.size();
  if (Record.Terms_)
    Out += StepNumberBytes + Record.Terms_->Service_.size();
  for (const StepSpec &Each : Record.Spec_.Steps_)
    Out += StepNumberBytes + Each.After_.size() * StepReferenceBytes +
           Each.RequiredLabel_.size() + Each.PreferredRack_.size() +
           Each.Image_.size();
  return Out;
}

/// Returns the time within which a submission has to be stored.
Millis maxStoreWait(Millis CallerTimeout) {
  return static_cast<Millis>(MaxStoreWaitShare *
                             static_cast<double>(CallerTimeout));
}

} // namespace

Cell::Engine::Engine(std::string Self, Epoch OwnEpoch, Bounds Limits)
    : Self_(std::move(Self)), Epoch_(OwnEpoch), Limits_(Limits),
      Memory_(workMemoryOf(Limits)), MaxLiveRuns_(maxLiveRunsOf(Limits)) {}

Job *Cell::Engine::findJob(const std::string &Id) {
  const auto It = Jobs_.find(Id);
  return It == Jobs_.end() ? nullptr : It->second.get();
}

bool Cell::Engine::knowsJob(const std::string &Id) const {
  return Jobs_.count(Id) != 0 || EndedRecords_.count(Id) != 0;
}

StepRun *Cell::Engine::findStep(const TaskName &Name) {
  const Job *TargetJob = findJob(Name.Job_);
  if (TargetJob == nullptr)
    return nullptr;
  StepRun *Out = findStep(*TargetJob, Name.Occurrence_, Name.Step_);
  return Out != nullptr && Name.Index_ < Out->Tasks_.size() ? Out : nullptr;
}

/// Returns null if the occurrence is not open or there is no such step.
StepRun *Cell::Engine::findStep(const Job &TargetJob, std::uint32_t Occurrence,
                                std::uint32_t Step) const {
  const auto Steps = TargetJob.stepsOf(Occurrence);
  return Step < Steps.size() ? Steps[Step].get() : nullptr;
}

/// Returns the latest configuration of a queue, or null.
std::shared_ptr<const Queue>
Cell::Engine::findQueue(const std::string &Name) const {
  const auto It = Queues_.find(Name);
  return It == Queues_.end() ? nullptr : It->second;
}

const Queue *Cell::Engine::queueOf(const Job &TargetJob) const {
  return TargetJob.QueueConfig_.get();
}

void Cell::Engine::updateQueueConfig(Job &TargetJob) const {
  TargetJob.QueueConfig_ = findQueue(TargetJob.Queue_);
  if (!TargetJob.QueueConfig_)
    TargetJob.QueueConfig_ = TargetJob.AcceptedQueue_;
}

int Cell::Engine::priorityOf(const StepRun &Step) const {
  const Queue *JobQueue = queueOf(*Step.Job_);
  return JobQueue == nullptr ? HighestPriority_ : JobQueue->Priority_;
}

void Cell::Engine::setDesiredState(std::shared_ptr<const DesiredState> State) {
  if (State_ && State->Version_ < State_->Version_)
    return;
  State_ = std::move(State);
  for (const Queue &Each : State_->Queues_)
    Queues_[Each.Name_] = std::make_shared<const Queue>(Each);
  for (const auto &[Id, Each] : Jobs_)
    updateQueueConfig(*Each);
  bool First = true;
  for (const Queue &Each : State_->Queues_) {
    HighestPriority_ =
        First ? Each.Priority_ : std::min(HighestPriority_, Each.Priority_);
    First = false;
  }
  refreshRunPriorities();
  reorderWaiting();
  PlacementNeeded_ = true;
}

/// Returns the longest chain of estimates that begins with each step.
std::vector<Millis> Cell::Engine::chainsFrom(const JobSpec &Spec,
                                             const Queue *JobQueue,
                                             bool WithAdvice) const {
  double Advice = 0;
  if (WithAdvice && JobQueue != nullptr && JobQueue->Advice_)
    Advice = JobQueue->Advice_->Base_ +
             TypicalWorkersAsked * JobQueue->Advice_->PerWorker_;
  const std::size_t Count = Spec.Steps_.size();
  std::vector<Millis> Longest(Count, 0);
  for (std::size_t At = Count; At-- > 0;) {
    Longest[At] += Spec.Steps_[At].Estimate_ + static_cast<Millis>(Advice);
    for (std::uint32_t Earlier : Spec.Steps_[At].After_)
      Longest[Earlier] = std::max(Longest[Earlier], Longest[At]);
  }
  return Longest;
}

/// Returns the longest chain of estimates of the whole job.
Millis Cell::Engine::longestChain(const JobSpec &Spec, const Queue *JobQueue,
                                  bool WithAdvice) const {
  Millis Out = 0;
  for (const Millis Each : chainsFrom(Spec, JobQueue, WithAdvice))
    Out = std::max(Out, Each);
  return Out;
}

/// Returns the time from the submission of a job, or from its due time, to its
/// objective.
Millis Cell::Engine::objectiveSpan(const JobSpec &Spec,
                                   const Queue *JobQueue) const {
  const double Slack = JobQueue == nullptr ? 1 : JobQueue->SlackFactor_;
  const auto Out = static_cast<Millis>(
      Slack * static_cast<double>(longestChain(Spec, JobQueue, true)));
  return JobQueue == nullptr ? Out : Out + JobQueue->Objective_;
}

/// Returns the queue as of the job's acceptance, or null. Jobs share it with
/// the present configuration where that has the same terms.
std::shared_ptr<const Queue>
Cell::Engine::acceptedQueue(const JobRecord &Record) const {
  if (!Record.Terms_)
    return nullptr;
  auto Known = findQueue(Record.Queue_);
  if (Known && termsOf(*Known) == *Record.Terms_)
    return Known;
  return std::make_shared<const Queue>(
      queueFrom(Record.Queue_, *Record.Terms_));
}

/// Returns the time from the acceptance of a job to its objective. The terms of
/// its acceptance come first, so that each owner computes the same one.
Millis Cell::Engine::objectiveSpan(const Job &TargetJob) const {
  const Queue *JobQueue = TargetJob.AcceptedQueue_
                              ? TargetJob.AcceptedQueue_.get()
                              : queueOf(TargetJob);
  return objectiveSpan(*TargetJob.Spec_, JobQueue);
}

/// Returns what the row of an accepted job contains.
JobRecord Cell::Engine::recordOf(const Job &TargetJob) {
  JobRecord Out{*TargetJob.Spec_, TargetJob.Queue_, TargetJob.Team_,
                TargetJob.AcceptedWall_};
  if (TargetJob.AcceptedQueue_)
    Out.Terms_ = termsOf(*TargetJob.AcceptedQueue_);
  return Out;
}

Job &Cell::Engine::makeJob(const std::string &Id, const JobRecord &Record) {
  auto OwnedJob = std::make_unique<Job>();
  Job &NewJob = *OwnedJob;
  NewJob.Id_ = Id;
  NewJob.Spec_ = std::make_shared<const JobSpec>(Record.Spec_);
  NewJob.Queue_ = Record.Queue_;
  NewJob.AcceptedQueue_ = acceptedQueue(Record);
  updateQueueConfig(NewJob);
  NewJob.Team_ = Record.Team_;
  NewJob.AcceptedWall_ = Record.AcceptedAt_;
  NewJob.ObjectiveSpan_ = objectiveSpan(NewJob);
  NewJob.Objective_ =
      Now_ - (Wall_ - Record.AcceptedAt_) + NewJob.ObjectiveSpan_;
  NewJob.StepOffsets_ = {0};
  for (const StepSpec &Each : NewJob.Spec_->Steps_)
    NewJob.StepOffsets_.push_back(NewJob.StepOffsets_.back() + Each.Count_);
  Jobs_[Id] = std::move(OwnedJob);
  holdMemory(NewJob);
  scheduleOccurrence(NewJob);
  return NewJob;
}

/// Marks the steps of an occurrence ready whose earlier steps are done.
void Cell::Engine::refreshReadySteps(Job &TargetJob, std::uint32_t Occurrence) {
  if (TargetJob.EndState_)
    return;
  const auto Steps = TargetJob.stepsOf(Occurrence);
  for (const auto &Each : Steps) {
    const std::vector<std::uint32_t> &After = Each->spec().After_;
    const bool Blocked =
        std::any_of(After.begin(), After.end(), [&](std::uint32_t Earlier) {
          return !Steps[Earlier]->isDone();
        });
    if (Each->Ready_ || Blocked)
      continue;
    Each->Ready_ = true;
    Each->ReadySince_ = Now_;
    addWaiting(*Each);
    PlacementNeeded_ = true;
  }
}

void Cell::Engine::restore(const StoredCell &Stored) {
  for (const auto &[Id, Bytes] : Stored.Jobs_) {
    const auto Record = decodeJob(Bytes);
    if (!Record) {
      Effects_.push_back(Decision{"row_unreadable", Id, "jobs", 0});
      continue;
    }
    Job &NewJob = makeJob(Id, *Record);
    NewJob.Stored_ = true;
    NewJob.Sent_ = true;
    NewJob.Inherited_ = true;
    countJob(NewJob);
  }
  restoreProgress(Stored);
  for (const auto &[Id, Bytes] : Stored.Ended_) {
    const auto Batch = decodeEndedBatch(Id, Bytes);
    if (!Batch) {
      Effects_.push_back(Decision{"row_unreadable", Id, "ended", 0});
      continue;
    }
    EndedRow Row{Id, {}};
    Millis Newest = 0;
    for (const auto &[Job, Record] : *Batch) {
      EndedRecords_[Job] = Record;
      Row.Jobs_.push_back(Job);
      Newest = std::max(Newest, Record.EndedAt_);
    }
    EndedByTime_.emplace(Newest, std::move(Row));
  }
  openRestoredJobs();
  restoreWaves(Stored);
  RecordedWorkers_ = Stored.Workers_;
  WorkerRows_ = Stored.WorkerRows_;
  UsedWorkersChanged_ = true;
  UnconfirmedWorkers_ = Stored.Workers_;
  RecoveryEnd_ = Now_ + LeaseTime + LeaseClockSlack + FormerOwnerRenewalTime;
}

/// Opens what is due of the restored jobs, which workers may already run. The
/// jobs that were accepted first go first: a former owner with more memory may
/// have accepted more than can be open here.
void Cell::Engine::openRestoredJobs() {
  std::vector<Job *> InOrder;
  for (const auto &[Id, Each] : Jobs_)
    InOrder.push_back(Each.get());
  std::sort(InOrder.begin(), InOrder.end(), [](const Job *A, const Job *B) {
    return std::tie(A->AcceptedWall_, A->Id_) <
           std::tie(B->AcceptedWall_, B->Id_);
  });
  for (Job *Each : InOrder) {
    openDueOccurrences(*Each);
    endJobIfComplete(*Each);
  }
}

/// Handles a submission whose job is known or is certain to be refused, for
/// which the specification is not needed. Returns false for any other one.
bool Cell::Engine::resubmit(Token Caller, const Resolution &Request,
                            Millis Timeout) {
  if (EndedRecords_.count(Request.JobId_) != 0) {
    Effects_.push_back(Reply{Caller, Answer::Accepted});
    return true;
  }
  if (Job *Known = findJob(Request.JobId_)) {
    if (Known->Stored_) {
      Effects_.push_back(Reply{Caller, Answer::Accepted});
      return true;
    }
    Known->Callers_.push_back(Caller);
    setAnswerTime(*Known, Timeout);
    return true;
  }
  const Millis Wait = expectedStoreWait();
  const bool Stalled = storeStalled();
  if (!Stalled && Wait <= maxStoreWait(Timeout))
    return false;
  Effects_.push_back(Decision{"job_refused", Request.JobId_,
                              Stalled ? "store stalled" : "not stored in time",
                              Wait});
  Effects_.push_back(
      Reply{Caller, Answer::Busy, JobState::Queued, 0, retryTime(Timeout)});
  return true;
}

/// Sets the time by which a submission that arrived now must be stored.
void Cell::Engine::setAnswerTime(Job &TargetJob, Millis Timeout) const {
  TargetJob.AnswerBy_ =
      std::max(TargetJob.AnswerBy_, Now_ + maxStoreWait(Timeout));
}

/// Returns after which time a refused submission is likely to be accepted, or
/// zero if that is not known because the store does not answer.
Millis Cell::Engine::retryTime(Millis Timeout) const {
  if (storeStalled())
    return 0;
  return std::max(CommitTime_, expectedStoreWait() - maxStoreWait(Timeout));
}

/// Returns whether the rows of a job, accepted and ended, fit into the store.
bool Cell::Engine::isStorable(const std::string &Id,
                              const JobRecord &Record) const {
  if (maxRowSize(Id, Record) <= maxRowBytes())
    return true;
  const EndedRecord Ended{EndState::Cancelled, Wall_, Record.Queue_};
  return encode(Record).size() <= maxRowBytes() &&
         encode(EndedBatch{{Id, Ended}}).size() <= maxRowBytes();
}

/// Refills the team's token bucket and returns its level, from which a caller
/// takes one for a submission; null for an unknown team.
double *Cell::Engine::refillTeamTokens(const std::string &TeamName) {
  const Team *JobTeam = State_ ? findTeam(*State_, TeamName) : nullptr;
  if (JobTeam == nullptr)
    return nullptr;
  auto &[Tokens, At] = TeamTokens_[TeamName];
  const double Burst = JobTeam->Weight_ * ShareBurstSeconds;
  Tokens =
      At == 0
          ? Burst
          : std::min(Burst, Tokens + JobTeam->Weight_ *
                                         static_cast<double>(Now_ - At) / 1000);
  At = Now_;
  return &Tokens;
}

void Cell::Engine::submit(Token Caller, const Resolution &Request,
                          const JobSpec &Spec, Millis Timeout) {
  if (resubmit(Caller, Request, Timeout))
    return;
  JobRecord Record{Spec, Request.Queue_, Request.Team_, Wall_};
  if (const auto JobQueue = findQueue(Request.Queue_))
    Record.Terms_ = termsOf(*JobQueue);
  if (!isStorable(Request.JobId_, Record)) {
    Effects_.push_back(Decision{"job_refused", Request.JobId_,
                                "larger than a row of the store", 0});
    Effects_.push_back(Reply{Caller, Answer::TooLarge});
    return;
  }
  if (refuseForMemory(Caller, Request, Spec))
    return;
  double *Tokens = refillTeamTokens(Request.Team_);
  const bool OverTeamShare = Tokens != nullptr && *Tokens < 1;
  const AdmissionDecision Decided =
      decideSubmission(Request, Spec, OverTeamShare);
  if (refuseSubmission(Caller, Request, Decided))
    return;
  if (Tokens != nullptr && !OverTeamShare)
    *Tokens -= 1;
  Job &NewJob = makeJob(Request.JobId_, Record);
  NewJob.Callers_.push_back(Caller);
  NewJob.OverTeamShare_ = OverTeamShare;
  // Work over the team's share also waits for later work within it.
  if (!NewJob.OverTeamShare_)
    NewJob.ForecastWait_ = Decided.ExpectedWait_;
  setAnswerTime(NewJob, Timeout);
  openDueOccurrences(NewJob);
  NewJobs_.push_back(&NewJob);
}

void Cell::Engine::cancel(Token Caller, const Resolution &Request) {
  const bool Ended = EndedRecords_.count(Request.JobId_) != 0;
  Job *Known = findJob(Request.JobId_);
  if (Ended || Known == nullptr) {
    Effects_.push_back(
        Reply{Caller, Ended ? Answer::Cancelled : Answer::NoJob});
    return;
  }
  if (Known->Team_ != Request.Team_) {
    Effects_.push_back(Reply{Caller, Answer::OtherTeam});
    return;
  }
  Known->Cancellers_.push_back(Caller);
  if (!Known->EndState_)
    endJob(*Known, EndState::Cancelled);
}

JobState Cell::Engine::stateOf(const Job &TargetJob) const {
  return TargetJob.Started_ ? JobState::Running : JobState::Queued;
}

/// Notes that a worker has started a task of the job. An order alone does not
/// count, since it may never arrive.
void Cell::Engine::markStarted(Job &TargetJob) {
  if (TargetJob.Started_)
    return;
  TargetJob.Started_ = true;
  recordFirstStart(TargetJob);
  countJob(TargetJob);
}

/// Counts a job among the waiting ones of its queue or removes it from them.
/// Called where its acceptance is stored, where it starts and where it ends.
void Cell::Engine::countJob(Job &TargetJob) {
  const bool Waits =
      TargetJob.Stored_ && !TargetJob.Started_ && !TargetJob.EndState_;
  if (Waits == TargetJob.CountedWaiting_)
    return;
  TargetJob.CountedWaiting_ = Waits;
  std::uint64_t &Count = WaitingJobs_[TargetJob.Queue_];
  if (Waits)
    ++Count;
  else
    --Count;
}

void Cell::Engine::query(Token Caller, const Resolution &Request) {
  if (Request.JobId_.empty()) {
    const auto Waiting = WaitingJobs_.find(Request.Queue_);
    Effects_.push_back(
        Reply{Caller, Answer::Count, JobState::Queued,
              Waiting == WaitingJobs_.end() ? 0 : Waiting->second});
    return;
  }
  const auto EndedJob = EndedRecords_.find(Request.JobId_);
  if (EndedJob != EndedRecords_.end()) {
    constexpr JobState States[] = {JobState::Complete, JobState::Failed,
                                   JobState::Cancelled};
    Effects_.push_back(
        Reply{Caller, Answer::State,
              States[static_cast<int>(EndedJob->second.State_)]});
    return;
  }
  const Job *Known = findJob(Request.JobId_);
  if (Known == nullptr) {
    Effects_.push_back(Reply{Caller, Answer::NoJob});
    return;
  }
  const bool Own = Known->Team_ == Request.Team_;
  Effects_.push_back(
      Reply{Caller, Own ? Answer::State : Answer::OtherTeam, stateOf(*Known)});
}

/// Lets an active task wait for another run.
void Cell::Engine::requeueTask(StepRun &Step, std::uint32_t Index) {
  Task &TargetTask = Step.Tasks_[Index];
  if (TargetTask.Phase_ != Task::Phase::Active)
    return;
  TargetTask.Phase_ = Task::Phase::Waiting;
  TargetTask.AssignedWorker_ = NoWorker;
  --Step.ActiveCount_;
  if (Step.Ready_)
    addWaiting(Step);
  countWaitingWork(Step);
  PlacementNeeded_ = true;
}

/// Marks all members of a gang as done, since they end together.
void Cell::Engine::finishGang(StepRun &Step) {
  for (Task &Each : Step.Tasks_) {
    if (Each.Phase_ == Task::Phase::Active)
      --Step.ActiveCount_;
    Each.Phase_ = Task::Phase::Done;
  }
  Step.DoneCount_ = static_cast<std::uint32_t>(Step.Tasks_.size());
  Step.Gang_.Phase_ = GangAttempt::Phase::Finished;
}

/// Stops the runs of the tasks that the run \p Attempt has completed, other
/// than that run itself. Such a run is started when the lease of a lost worker
/// has ended, before that worker lists the end.
void Cell::Engine::stopOtherRuns(StepRun &Step, std::uint32_t Index,
                                 std::uint64_t Attempt) {
  for (std::uint32_t At = 0; At < Step.Tasks_.size(); ++At) {
    Worker *Target = workerAt(Step.Tasks_[At].AssignedWorker_);
    if (Target == nullptr || (At != Index && !Step.spec().Gang_))
      continue;
    const std::string Name = taskName(Step, At);
    const auto It = Target->Runs_.find(Name);
    if (It != Target->Runs_.end() && It->second.Attempt_ != Attempt)
      stopRun(*Target, Name, It->second, "task is done");
  }
}

/// Returns whether the worker may have a run of the task other than \p Attempt.
bool Cell::Engine::hasOtherAttempt(const Worker &Target,
                                   const std::string &Task,
                                   std::uint64_t Attempt) {
  const auto It = Target.Runs_.find(Task);
  return It != Target.Runs_.end() && It->second.Attempt_ != Attempt;
}

/// Keeps the checkpoint that a run of the task has saved, unless a later run
/// has saved one: an end may be listed after later runs have made progress. The
/// members of a gang share a checkpoint.
void Cell::Engine::keepCheckpoint(StepRun &Step, std::uint32_t Index,
                                  std::uint64_t Attempt,
                                  const std::string &Checkpoint) {
  if (Checkpoint.empty())
    return;
  for (std::uint32_t At = 0; At < Step.Tasks_.size(); ++At) {
    Task &Each = Step.Tasks_[At];
    const bool Concerned = At == Index || Step.spec().Gang_;
    if (!Concerned || Attempt < Each.CheckpointAttempt_)
      continue;
    Each.Checkpoint_ = Checkpoint;
    Each.CheckpointAttempt_ = Attempt;
  }
}

/// Applies the end of a run to its task: completes it, counts a failure, or
/// requeues it. An end may be listed after a later run has started on the same
/// worker, whose answers name a limited number of ends.
void Cell::Engine::handleTaskEnd(StepRun &Step, std::uint32_t Index,
                                 const EndEntry &End, Worker *Sender) {
  Task &TargetTask = Step.Tasks_[Index];
  Job &TargetJob = *Step.Job_;
  markStarted(TargetJob);
  keepCheckpoint(Step, Index, End.Attempt_, End.Checkpoint_);
  if (TargetJob.EndState_ || TargetTask.Phase_ == Task::Phase::Done)
    return;
  const bool IsService = Step.spec().Service_;
  if (End.Kind_ == EndKind::Done && !IsService) {
    stopOtherRuns(Step, Index, End.Attempt_);
    if (Step.spec().Gang_) {
      finishGang(Step);
      markDirty(Step, 0, static_cast<std::uint32_t>(Step.Tasks_.size()));
    } else {
      if (TargetTask.Phase_ == Task::Phase::Active)
        --Step.ActiveCount_;
      TargetTask.Phase_ = Task::Phase::Done;
      ++Step.DoneCount_;
      markDirty(Step, Index, Index + 1);
    }
    if (Step.isDone()) {
      History_.closeStep(Step.Name_);
      if (TargetJob.Spec_->Occurrences_ > 0)
        JobsToRelease_.insert(TargetJob.Id_);
    }
    refreshReadySteps(TargetJob, Step.Occurrence_);
    endJobIfComplete(TargetJob);
    return;
  }
  if (Sender != nullptr && TargetTask.AssignedWorker_ == Sender->Number_ &&
      !hasOtherAttempt(*Sender, taskName(Step, Index), End.Attempt_))
    requeueTask(Step, Index);
  if (End.Kind_ != EndKind::Failed || IsService)
    return;
  // A gang fails as a whole; its failures are counted at its first task.
  const std::uint32_t CountedIndex = Step.spec().Gang_ ? 0 : Index;
  Task &Counted = Step.Tasks_[CountedIndex];
  if (!Counted.FailedAttempts_.insert(End.Attempt_).second)
    return;
  markDirty(Step, CountedIndex, CountedIndex + 1);
  const Queue *JobQueue = queueOf(TargetJob);
  if (JobQueue != nullptr &&
      Counted.FailedAttempts_.size() >= JobQueue->Attempts_)
    endJob(TargetJob, EndState::Failed);
}

/// Records the time since the acceptance of a job. Scheduled jobs are excluded,
/// since they wait for their due times.
void Cell::Engine::recordDuration(std::string_view What, const Job &TargetJob) {
  if (TargetJob.Spec_->Occurrences_ == 0)
    Effects_.push_back(DurationSample{What,
                                      TargetJob.Team_ + "/" + TargetJob.Queue_,
                                      Wall_ - TargetJob.AcceptedWall_});
}

void Cell::Engine::endJobIfComplete(Job &TargetJob) {
  if (TargetJob.EndState_)
    return;
  if (countDoneOccurrences(TargetJob) >= TargetJob.occurrences())
    endJob(TargetJob, EndState::Complete);
}

void Cell::Engine::endJob(Job &Ended, EndState State) {
  Ended.EndState_ = State;
  Ended.EndedAt_ = Now_;
  markChanged(Ended);
  countJob(Ended);
  EndingJobs_.push_back(&Ended);
  for (const auto &Step : Ended.Steps_) {
    for (std::uint32_t Index = 0; Index < Step->Tasks_.size(); ++Index) {
      Worker *Target = workerAt(Step->Tasks_[Index].AssignedWorker_);
      if (Target == nullptr || State == EndState::Complete)
        continue;
      const std::string Name = taskName(*Step, Index);
      const auto It = Target->Runs_.find(Name);
      if (It != Target->Runs_.end())
        stopRun(*Target, Name, It->second, "job ended");
    }
  }
  detachSteps(Ended);
}

/// Removes a step from placement and advice.
void Cell::Engine::detachStep(StepRun &Step) {
  Step.Ready_ = false;
  releaseReservations(Step);
  removeWaiting(Step);
  for (const Token Id : Step.AdviceCalls_)
    PendingAdvice_[Id].Step_ = nullptr;
  Step.AdviceCalls_.clear();
  History_.closeStep(Step.Name_);
  if (Step.spec().Gang_)
    std::erase(AssemblingGangs_, &Step);
}

void Cell::Engine::detachSteps(Job &TargetJob) {
  for (const auto &Step : TargetJob.Steps_)
    detachStep(*Step);
}

/// Returns whether the transaction in flight has been unanswered for too long
/// while the store is unreachable.
bool Cell::Engine::storeStalled() const {
  return !StoreReachable_ && CommitInFlight_ &&
         Now_ - LastCommit_ > StoreStallTimeout;
}

/// Refuses jobs that no transaction contains, so that they never run: all of
/// them while the store does not answer, else those whose callers would have to
/// wait too long.
void Cell::Engine::refuseLateJobs() {
  const bool Stalled = storeStalled();
  const auto IsLate = [&](const Job *Each) {
    return !Each->MayBeStoredLate_ &&
           (Stalled || Now_ + CommitTime_ > Each->AnswerBy_);
  };
  const auto Late =
      std::stable_partition(NewJobs_.begin(), NewJobs_.end(),
                            [&](const Job *Each) { return !IsLate(Each); });
  if (Late == NewJobs_.end())
    return;
  const std::vector<Job *> Refused(Late, NewJobs_.end());
  NewJobs_.erase(Late, NewJobs_.end());
  std::erase_if(EndingJobs_,
                [&](const Job *Each) { return !Each->Sent_ && IsLate(Each); });
  const Millis RetryAfter = retryTime(DefaultCallerTimeout);
  for (Job *Each : Refused) {
    Effects_.push_back(Decision{
        "job_refused", Each->Id_,
        Stalled ? "store stalled" : "not stored in time", Now_ - LastCommit_});
    refuseJob(*Each, {0, Answer::Busy, JobState::Queued, 0, RetryAfter});
  }
}

/// Answers the callers of a job that is not stored and never runs, and removes
/// it. \p Refusal lacks the caller.
void Cell::Engine::refuseJob(Job &Refused, const Reply &Refusal) {
  for (const Token Caller : Refused.Callers_) {
    Effects_.push_back(Refusal);
    std::get<Reply>(Effects_.back()).Token_ = Caller;
  }
  for (const Token Caller : Refused.Cancellers_)
    Effects_.push_back(Reply{Caller, Answer::NoJob});
  detachSteps(Refused);
  forgetJob(Refused);
}

/// Removes a job whose end is stored and that has no runs left.
void Cell::Engine::forgetJob(Job &Ended) {
  const std::string Id = Ended.Id_;
  releaseMemory(Ended);
  Jobs_.erase(Id);
}

void Cell::Engine::advanceJobs() {
  if (Now_ < NextJobAdvance_)
    return;
  NextJobAdvance_ = Now_ + JobAdvanceInterval;
  refuseLateJobs();
  PlacementNeeded_ = true; // Tickets and backoffs expire without an event.
  expireAdvice();
  releaseDoneOccurrences();
  advanceOccurrences();
  openOverdueOccurrences();
  while (!EndedByTime_.empty() &&
         EndedByTime_.begin()->first + Limits_.StatusRetention_ * 3 / 2 <
             Wall_) {
    ObsoleteRows_.push_back(
        {EndedTable, EndedByTime_.begin()->second.Key_, std::nullopt});
    for (const std::string &Job : EndedByTime_.begin()->second.Jobs_)
      EndedRecords_.erase(Job);
    EndedByTime_.erase(EndedByTime_.begin());
  }
}

void Cell::Engine::advanceAll() {
  advanceJobs();
  refreshSpeeds();
  placeReadySteps();
  advanceWaves();
  abortOverdueGangs();
  advanceWorkers();
  commitChanges();
}

} // namespace oleandergauge::cell
