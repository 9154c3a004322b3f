#include <algorithm>

#include "partition_engine.h"

namespace oleandergauge {
namespace {

/// Maximum number of waiting items of one work class in a partition.
constexpr std::size_t MaxWaitingTasks = 100000;
/// A direct call that has not started within this time is refused, unless the
/// request sets its own limit.
constexpr Duration DefaultCallStartTimeout = std::chrono::seconds(10);
/// Suggested to callers for conditions that usually pass within a takeover.
constexpr Duration ShortRetryDelay = std::chrono::milliseconds(500);
/// Suggested to callers if the table service is unavailable or the queue full.
constexpr Duration LongRetryDelay = std::chrono::seconds(5);

Refusal notRun(RefusalReason Reason, std::string Message, Duration RetryAfter) {
  return {Verdict::NotRun, Reason, std::move(Message), RetryAfter};
}

JobId jobOf(const Transition &Change) {
  return std::visit(
      detail::Overloaded{
          [](const JobAccepted &Entry) { return Entry.Spec_.Id_; },
          [](const TaskAssigned &Entry) { return Entry.Task_.Job_; },
          [](const TaskReturned &Entry) { return Entry.Task_.Job_; },
          [](const TaskEnded &Entry) { return Entry.Task_.Job_; },
          [](const JobCancelled &Entry) { return Entry.Job_; },
          [](const JobForgotten &Entry) { return Entry.Job_; },
      },
      Change);
}

/// Returns true if the job's cancellation is not committed yet. The next owner
/// might still run the job, so its state must not be reported.
bool isCancelUncommitted(const detail::JobEntry &Job) {
  return Job.Journaled_ && Job.CancelledFor_ && !Job.CancelCommitted_;
}

/// Returns true if \p B may be a retry of \p A. A retry may differ in its
/// deadlines, but not in its work.
bool isSameWork(const JobSpec &A, const JobSpec &B) {
  return A.Queue_ == B.Queue_ && A.Class_ == B.Class_ &&
         A.Idempotent_ == B.Idempotent_ && A.TaskCount_ == B.TaskCount_ &&
         A.Need_ == B.Need_ && A.Command_ == B.Command_ && A.Body_ == B.Body_;
}

} // namespace

// ------------------------------------------------------------ Submission

void Partition::Engine::onSubmitted(const Submitted &Event) {
  auto Found = Jobs_.find(Event.Spec_.Id_);
  if (Mode_ == Mode::Active && Found != Jobs_.end()) {
    joinExistingJob(Event, Found->second);
    return;
  }
  if (auto Why = checkSubmission(Event.Spec_)) {
    refuse(Event.Token_, std::move(*Why));
    return;
  }
  acceptJob(Event);
}

void Partition::Engine::joinExistingJob(const Submitted &Event,
                                        detail::JobEntry &Job) {
  if (!isSameWork(Event.Spec_, *Job.Spec_)) {
    refuse(Event.Token_,
           notRun(RefusalReason::Conflict,
                  "the request_id belongs to other work", Duration(0)));
    return;
  }
  if (!Job.isDirect() && isCancelUncommitted(Job)) {
    Job.CancelStatusWaiters_.push_back(Event.Token_);
    return;
  }
  if (Job.Ended_ || (!Job.isDirect() && Job.Committed_)) {
    answer(Event.Token_, Job);
    return;
  }
  auto &Waiters = Job.isDirect() ? Job.EndWaiters_ : Job.AcceptWaiters_;
  Waiters.push_back(Event.Token_);
}

std::optional<Refusal>
Partition::Engine::checkSubmission(const JobSpec &Spec) const {
  if (Draining_)
    return notRun(RefusalReason::Draining, "the host is shutting down",
                  ShortRetryDelay);
  if (!mayServe())
    return notRun(RefusalReason::OwnerUnavailable,
                  "the partition is not served by this host", ShortRetryDelay);
  const bool Journaled = Spec.Class_ != WorkClass::Direct || !Spec.Idempotent_;
  if (Journaled && !isOwner())
    return notRun(RefusalReason::StoreUnavailable,
                  "the table service is not reachable", LongRetryDelay);
  if (Now_ >= Evidence_.MayActUntil_ || !View_)
    return notRun(RefusalReason::StaleConfiguration,
                  "the configuration cannot be confirmed", ShortRetryDelay);
  if (Spec.TaskCount_ == 0)
    return notRun(RefusalReason::InvalidRequest,
                  "task_count is 0; at least 1 is allowed", Duration(0));
  const std::uint32_t Limit = View_->limitOf(Spec.Team_);
  const bool Together =
      Spec.Class_ == WorkClass::Gang || Spec.Class_ == WorkClass::Service;
  if (Limit == 0 || (Together && Spec.TaskCount_ > Limit))
    return notRun(RefusalReason::LimitReached,
                  "the team's limit is " + std::to_string(Limit) +
                      " running tasks",
                  Duration(0));
  const bool Uncommitted = Journal_.queuedCount() > 4 * MaxUncommittedJobs;
  const std::size_t Waiting = Scheduler_.countsOf(Spec.Class_).Waiting_;
  if (Uncommitted || Waiting >= MaxWaitingTasks)
    return notRun(RefusalReason::QueueFull, "too much work waits already",
                  LongRetryDelay);
  if (Workers_.empty())
    return notRun(RefusalReason::OwnerUnavailable,
                  "the partition does not know its workers yet",
                  ShortRetryDelay);
  WorkItem Item;
  Item.Count_ = Spec.Class_ == WorkClass::Gang ? Spec.TaskCount_ : 1;
  Item.Class_ = Spec.Class_;
  Item.Need_ = Spec.Need_;
  const Result<void> Feasible = Scheduler_.checkFeasible(Item);
  if (!Feasible)
    return Feasible.error();
  return std::nullopt;
}

void Partition::Engine::acceptJob(const Submitted &Event) {
  const JobId Id = Event.Spec_.Id_;
  detail::JobEntry &Job = Jobs_[Id];
  Job.Spec_ = std::make_shared<const JobSpec>(Event.Spec_);
  Job.Journaled_ = !Job.isDirect() || !Event.Spec_.Idempotent_;
  Job.Tasks_.resize(Event.Spec_.TaskCount_);
  Job.SubmittedAt_ = Now_;
  auto &Waiters = Job.isDirect() ? Job.EndWaiters_ : Job.AcceptWaiters_;
  Waiters.push_back(Event.Token_);
  if (Job.Journaled_) {
    Job.AcceptTicket_ = appendToJournal(JobAccepted{Event.Spec_});
    runAfterCommit(Job.AcceptTicket_, [this, Id] {
      detail::JobEntry *Accepted = findJob(Id);
      if (!Accepted)
        return;
      Accepted->Committed_ = true;
      answerAll(Accepted->AcceptWaiters_, *Accepted);
    });
  }
  enqueueJob(Job);
}

// ---------------------------------------------------- Cancel, query, end

void Partition::Engine::onCancel(const CancelRequested &Event) {
  detail::JobEntry *Job = findJob(Event.Job_);
  if (!mayServe() || (Job && Job->Journaled_ && !isOwner())) {
    refuse(Event.Token_,
           notRun(RefusalReason::OwnerUnavailable,
                  "the partition is not served by this host", ShortRetryDelay));
    return;
  }
  if (!Job || Job->Spec_->Team_ != Event.Team_) {
    refuse(Event.Token_,
           notRun(RefusalReason::NotFound, "no such job", Duration(0)));
    return;
  }
  if (!Job->Ended_ && !Job->CancelledFor_)
    cancelJob(*Job, RefusalReason::Cancelled);
  if (Job->Ended_ || Job->CancelCommitted_)
    answer(Event.Token_, *Job);
  else
    Job->CancelWaiters_.push_back(Event.Token_);
}

void Partition::Engine::cancelJob(detail::JobEntry &Job, RefusalReason Reason) {
  const JobId Id = Job.Spec_->Id_;
  Job.CancelledFor_ = Reason;
  if (Job.Journaled_)
    appendToJournal(JobCancelled{Id, Reason});
  cancelWaitingTasks(Job);
  for (std::uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
    detail::TaskEntry &Task = Job.Tasks_[Index];
    if (!Task.isActive())
      continue;
    Task.NoFurtherAttempt_ = true;
    if (Task.CommandValidUntil_)
      sendStop({Id, Index}, Task, StopMode::Stop);
  }
  if (!Job.Journaled_) {
    handleCancelCommitted(Id);
    return;
  }
  runAfterCommit(LastTicket_, [this, Id] { handleCancelCommitted(Id); });
}

void Partition::Engine::handleCancelCommitted(const JobId &Id) {
  detail::JobEntry *Job = findJob(Id);
  if (!Job)
    return;
  Job->CancelCommitted_ = true;
  answerAll(Job->CancelWaiters_, *Job);
  finishJobIfEnded(Id);
  answerAll(Job->CancelStatusWaiters_, *Job);
}

void Partition::Engine::cancelWaitingTasks(detail::JobEntry &Job) {
  const JobId Id = Job.Spec_->Id_;
  for (std::uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
    detail::TaskEntry &Task = Job.Tasks_[Index];
    if (Task.State_ != TaskState::Waiting)
      continue;
    // A task in its restart delay is not in the queue and so is not counted in
    // WaitingTasksByTeam_.
    const bool Queued = Scheduler_.dequeue({Id, Index});
    const std::size_t Counted = Job.isGang() ? Job.Tasks_.size() : 1;
    Task.State_ = TaskState::Ended;
    Task.Verdict_ = Task.MayHaveRun_ ? Verdict::MayHaveRun : Verdict::NotRun;
    std::uint32_t &Waiting = WaitingTasksByTeam_[Job.Spec_->Team_];
    if (Queued)
      Waiting -= std::min(Waiting, static_cast<std::uint32_t>(Counted));
  }
}

void Partition::Engine::onQuery(const JobQueried &Event) {
  if (Mode_ != Mode::Active) {
    refuse(Event.Token_,
           notRun(RefusalReason::OwnerUnavailable,
                  "the partition is not served by this host", ShortRetryDelay));
    return;
  }
  detail::JobEntry *Job = findJob(Event.Job_);
  if (!Job || Job->Spec_->Team_ != Event.Team_) {
    refuse(Event.Token_,
           notRun(RefusalReason::NotFound, "no such job", Duration(0)));
    return;
  }
  if (isCancelUncommitted(*Job))
    Job->CancelStatusWaiters_.push_back(Event.Token_);
  else if (Event.WaitForEnd_ && !Job->Ended_)
    Job->EndWaiters_.push_back(Event.Token_);
  else
    answer(Event.Token_, *Job);
}

void Partition::Engine::onCallerDisconnected(const CallerDisconnected &Event) {
  for (auto &[Id, Job] : Jobs_) {
    std::erase(Job.AcceptWaiters_, Event.Token_);
    std::erase(Job.CancelStatusWaiters_, Event.Token_);
    const bool Waited = std::erase(Job.EndWaiters_, Event.Token_) > 0;
    const bool NobodyWaits = Waited && !Job.Journaled_ && !Job.Started_ &&
                             Job.EndWaiters_.empty() && !Job.CancelledFor_;
    if (NobodyWaits) {
      cancelJob(Job, RefusalReason::Cancelled);
      return;
    }
  }
}

void Partition::Engine::finishJobIfEnded(const JobId &Id) {
  detail::JobEntry *Job = findJob(Id);
  if (Job && !Job->Ended_ && detail::allTasksEnded(*Job))
    finishJob(*Job);
}

void Partition::Engine::finishJob(detail::JobEntry &Job) {
  Job.Ended_ = true;
  Job.EndedAt_ = Now_;
  answerAll(Job.AcceptWaiters_, Job);
  answerAll(Job.EndWaiters_, Job);
}

void Partition::Engine::dropJob(const JobId &Id) { Jobs_.erase(Id); }

bool Partition::Engine::missedStartDeadline(const detail::JobEntry &Job) const {
  if (Job.Started_ || Job.Ended_ || Job.CancelledFor_)
    return false;
  Duration Bound = Job.Spec_->StartWithin_;
  if (Bound.count() == 0 && Job.isDirect())
    Bound = DefaultCallStartTimeout;
  return Bound.count() > 0 && Now_ - Job.SubmittedAt_ >= Bound;
}

void Partition::Engine::expireJobs() {
  std::vector<JobId> Unjournaled;
  for (auto &[Id, Job] : Jobs_) {
    if (missedStartDeadline(Job) && (!Job.Journaled_ || isOwner()))
      cancelJob(Job, RefusalReason::DeadlineExceeded);
    if (!Job.Ended_)
      continue;
    if (!Job.Journaled_) {
      Unjournaled.push_back(Id);
      continue;
    }
    const Duration Keep = std::max(RequestRetention, Job.Spec_->ExpiresIn_);
    if (Job.ForgetPending_ || Now_ - Job.EndedAt_ < Keep || !isOwner())
      continue;
    Job.ForgetPending_ = true;
    const JobId Forgotten = Id;
    runAfterCommit(appendToJournal(JobForgotten{Id}),
                   [this, Forgotten] { dropJob(Forgotten); });
  }
  for (const JobId &Id : Unjournaled)
    dropJob(Id);
}

// ---------------------------------------------------- Stalled submissions

void Partition::Engine::refuseStalledSubmissions() {
  std::set<JobId> Late;
  for (auto &[Id, Job] : Jobs_) {
    if (!Job.Journaled_ || Job.Committed_)
      continue;
    const Duration Age = Now_ - Job.SubmittedAt_;
    const bool Sent = Job.AcceptTicket_ <= Journal_.lastSentTicket();
    if (!Sent && Age >= CommitTimeout)
      Late.insert(Id);
    if (Sent && Age >= 2 * CommitTimeout)
      // The job is kept, because its journal write may have taken effect.
      refuseAll(Job, {Verdict::MayHaveRun, RefusalReason::StoreUnavailable,
                      "the table service did not confirm the request",
                      LongRetryDelay});
  }
  if (Late.empty())
    return;
  // Abandon a snapshot in progress, since it may contain the jobs that are
  // dropped here.
  SnapshotStep_ = SnapshotStep::None;
  reappendUnsent(Journal_.takeUnsentTransitions(), Late);
  for (const JobId &Id : Late)
    dropUncommittedJob(Id);
}

void Partition::Engine::reappendUnsent(std::vector<Transition> Unsent,
                                       const std::set<JobId> &Dropped) {
  const std::uint64_t FirstOld = LastTicket_ + 1 - Unsent.size();
  std::deque<CommitAction> Moved;
  while (!CommitActions_.empty() && CommitActions_.back().Ticket_ >= FirstOld) {
    Moved.push_front(std::move(CommitActions_.back()));
    CommitActions_.pop_back();
  }
  std::map<std::uint64_t, std::uint64_t> Renumbered;
  std::uint64_t Old = FirstOld;
  for (Transition &Change : Unsent) {
    const JobId Id = jobOf(Change);
    if (!Dropped.contains(Id)) {
      const bool Accepts = std::holds_alternative<JobAccepted>(Change);
      Renumbered[Old] = appendToJournal(std::move(Change));
      if (detail::JobEntry *Job = Accepts ? findJob(Id) : nullptr)
        Job->AcceptTicket_ = LastTicket_;
    }
    ++Old;
  }
  if (Renumbered.empty())
    LastTicket_ = Journal_.lastSentTicket();
  for (CommitAction &Action : Moved) {
    auto Found = Renumbered.find(Action.Ticket_);
    if (Found != Renumbered.end())
      runAfterCommit(Found->second, std::move(Action.Action_));
  }
}

void Partition::Engine::dropUncommittedJob(const JobId &Id) {
  detail::JobEntry &Job = Jobs_.at(Id);
  cancelWaitingTasks(Job);
  for (std::uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index)
    if (Job.Tasks_[Index].isActive())
      releaseTask(Job, Index);
  refuseAll(Job, notRun(RefusalReason::StoreUnavailable,
                        "the table service is not reachable", LongRetryDelay));
  dropJob(Id);
}

// --------------------------------------------------------------- Answers

void Partition::Engine::refuse(Token To, Refusal Why) {
  Effects_.push_back(ReplyToCaller{To, tl::make_unexpected(std::move(Why))});
}

void Partition::Engine::refuseAll(detail::JobEntry &Job, const Refusal &Why) {
  for (Token To : Job.AcceptWaiters_)
    refuse(To, Why);
  for (Token To : Job.EndWaiters_)
    refuse(To, Why);
  for (Token To : Job.CancelWaiters_)
    refuse(To, Why);
  for (Token To : Job.CancelStatusWaiters_)
    refuse(To, Why);
  Job.AcceptWaiters_.clear();
  Job.EndWaiters_.clear();
  Job.CancelWaiters_.clear();
  Job.CancelStatusWaiters_.clear();
}

void Partition::Engine::answer(Token To, const detail::JobEntry &Job) {
  if (!Job.isDirect() || !Job.Ended_) {
    Effects_.push_back(ReplyToCaller{To, statusOf(Job)});
    return;
  }
  const detail::TaskEntry &Call = Job.Tasks_[0];
  if (Call.Verdict_ == Verdict::Ran) {
    Effects_.push_back(ReplyToCaller{To, statusOf(Job)});
    return;
  }
  const RefusalReason Reason =
      Job.CancelledFor_.value_or(RefusalReason::WorkerFailed);
  refuse(To, {Call.Verdict_, Reason,
              Call.Verdict_ == Verdict::NotRun
                  ? "the call was not started"
                  : "the call was started and its answer was lost",
              ShortRetryDelay});
}

void Partition::Engine::answerAll(std::vector<Token> &Tokens,
                                  const detail::JobEntry &Job) {
  for (Token To : Tokens)
    answer(To, Job);
  Tokens.clear();
}

JobStatus Partition::Engine::statusOf(const detail::JobEntry &Job) const {
  JobStatus Status{Job.Spec_->Id_,
                   Job.Spec_->Team_,
                   Job.Spec_->Queue_,
                   Job.Spec_->Class_,
                   Job.Ended_,
                   Job.CancelledFor_,
                   {}};
  for (std::uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
    const detail::TaskEntry &Task = Job.Tasks_[Index];
    const TaskId Id{Job.Spec_->Id_, Index};
    std::string Why;
    if (Task.State_ == TaskState::Waiting)
      Why = Scheduler_.explain({Job.Spec_->Id_, Job.isGang() ? 0 : Index});
    Status.Tasks_.push_back({Id, Task.State_, Task.Attempt_, Task.Worker_,
                             Task.Verdict_, Task.ExitCode_, Task.Output_,
                             std::move(Why)});
  }
  return Status;
}

} // namespace oleandergauge
