#include <algorithm>

#include "partition_engine.h"

namespace oleandergauge {
namespace {

/// Tasks that may wait in one partition.
constexpr std::size_t MaxWaitingTasks = 100000;
/// A direct call that has not started by then is refused, unless the request
/// says another time.
constexpr Duration DirectStartWithin = std::chrono::seconds(10);
constexpr Duration RetrySoon = std::chrono::milliseconds(500);
constexpr Duration RetryLater = std::chrono::seconds(5);

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

/// The cancel is not stored yet: a next owner may still run the job, so its
/// state is not told.
bool cancelPending(const detail::JobEntry &Job) {
  return Job.Journaled_ && Job.CancelledFor_ && !Job.CancelCommitted_;
}

/// A retry may differ in how long it waits, not in the work.
bool sameWork(const JobSpec &A, const JobSpec &B) {
  return A.Queue_ == B.Queue_ && A.Class_ == B.Class_ &&
         A.Idempotent_ == B.Idempotent_ && A.TaskCount_ == B.TaskCount_ &&
         A.Need_ == B.Need_ && A.Command_ == B.Command_ && A.Body_ == B.Body_;
}

} // namespace

// ------------------------------------------------------------ Submission

void Partition::Engine::onSubmitted(const Submitted &Event) {
  auto Found = Jobs_.find(Event.Spec_.Id_);
  if (Mode_ == Mode::Active && Found != Jobs_.end()) {
    joinExisting(Event, Found->second);
    return;
  }
  if (auto Why = checkSubmission(Event.Spec_)) {
    refuse(Event.Token_, std::move(*Why));
    return;
  }
  acceptJob(Event);
}

void Partition::Engine::joinExisting(const Submitted &Event,
                                     detail::JobEntry &Job) {
  if (!sameWork(Event.Spec_, *Job.Spec_)) {
    refuse(Event.Token_,
           notRun(RefusalReason::Conflict,
                  "the request_id belongs to other work", Duration(0)));
    return;
  }
  if (!Job.direct() && cancelPending(Job)) {
    Job.UntilStored_.push_back(Event.Token_);
    return;
  }
  if (Job.Ended_ || (!Job.direct() && Job.Committed_)) {
    answer(Event.Token_, Job);
    return;
  }
  auto &Waiters = Job.direct() ? Job.UntilEnded_ : Job.UntilAccepted_;
  Waiters.push_back(Event.Token_);
}

std::optional<Refusal>
Partition::Engine::checkSubmission(const JobSpec &Spec) const {
  if (Draining_)
    return notRun(RefusalReason::Draining, "the host is shutting down",
                  RetrySoon);
  if (!mayServe())
    return notRun(RefusalReason::OwnerUnavailable,
                  "the partition is not served by this host", RetrySoon);
  const bool Journaled = Spec.Class_ != WorkClass::Direct || !Spec.Idempotent_;
  if (Journaled && !mayDecide())
    return notRun(RefusalReason::StoreUnavailable,
                  "the table service is not reachable", RetryLater);
  if (Now_ >= Evidence_.MayActUntil_ || !View_)
    return notRun(RefusalReason::StaleConfiguration,
                  "the configuration cannot be confirmed", RetrySoon);
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
                  RetryLater);
  if (Workers_.empty())
    return notRun(RefusalReason::OwnerUnavailable,
                  "the partition does not know its workers yet", RetrySoon);
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
  Job.Journaled_ = !Job.direct() || !Event.Spec_.Idempotent_;
  Job.Tasks_.resize(Event.Spec_.TaskCount_);
  Job.SubmittedAt_ = Now_;
  auto &Waiters = Job.direct() ? Job.UntilEnded_ : Job.UntilAccepted_;
  Waiters.push_back(Event.Token_);
  if (Job.Journaled_) {
    Job.AcceptTicket_ = record(JobAccepted{Event.Spec_});
    whenCommitted(Job.AcceptTicket_, [this, Id] {
      detail::JobEntry *Accepted = findJob(Id);
      if (!Accepted)
        return;
      Accepted->Committed_ = true;
      answerAll(Accepted->UntilAccepted_, *Accepted);
    });
  }
  enqueueJob(Job);
}

// ---------------------------------------------------- Cancel, query, end

void Partition::Engine::onCancel(const CancelRequested &Event) {
  detail::JobEntry *Job = findJob(Event.Job_);
  if (!mayServe() || (Job && Job->Journaled_ && !mayDecide())) {
    refuse(Event.Token_,
           notRun(RefusalReason::OwnerUnavailable,
                  "the partition is not served by this host", RetrySoon));
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
    Job->UntilCancelled_.push_back(Event.Token_);
}

void Partition::Engine::cancelJob(detail::JobEntry &Job, RefusalReason Reason) {
  const JobId Id = Job.Spec_->Id_;
  Job.CancelledFor_ = Reason;
  if (Job.Journaled_)
    record(JobCancelled{Id, Reason});
  cancelWaiting(Job);
  for (std::uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
    detail::TaskEntry &Task = Job.Tasks_[Index];
    if (!Task.active())
      continue;
    Task.Final_ = true;
    if (Task.CommandUntil_)
      askStop({Id, Index}, Task, StopMode::Stop);
  }
  if (!Job.Journaled_) {
    noteCancelled(Id);
    return;
  }
  whenCommitted(LastTicket_, [this, Id] { noteCancelled(Id); });
}

void Partition::Engine::noteCancelled(const JobId &Id) {
  detail::JobEntry *Job = findJob(Id);
  if (!Job)
    return;
  Job->CancelCommitted_ = true;
  answerAll(Job->UntilCancelled_, *Job);
  finishIfEnded(Id);
  answerAll(Job->UntilStored_, *Job);
}

void Partition::Engine::cancelWaiting(detail::JobEntry &Job) {
  const JobId Id = Job.Spec_->Id_;
  for (std::uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
    detail::TaskEntry &Task = Job.Tasks_[Index];
    if (Task.State_ != TaskState::Waiting)
      continue;
    // A task that is to be queued again later is not counted as waiting.
    const bool Queued = Scheduler_.dequeue({Id, Index});
    const std::size_t Counted = Job.gang() ? Job.Tasks_.size() : 1;
    Task.State_ = TaskState::Ended;
    Task.Verdict_ = Task.EverStarted_ ? Verdict::MayHaveRun : Verdict::NotRun;
    std::uint32_t &Waiting = WaitingByTeam_[Job.Spec_->Team_];
    if (Queued)
      Waiting -= std::min(Waiting, static_cast<std::uint32_t>(Counted));
  }
}

void Partition::Engine::onQuery(const JobQueried &Event) {
  if (Mode_ != Mode::Active) {
    refuse(Event.Token_,
           notRun(RefusalReason::OwnerUnavailable,
                  "the partition is not served by this host", RetrySoon));
    return;
  }
  detail::JobEntry *Job = findJob(Event.Job_);
  if (!Job || Job->Spec_->Team_ != Event.Team_) {
    refuse(Event.Token_,
           notRun(RefusalReason::NotFound, "no such job", Duration(0)));
    return;
  }
  if (cancelPending(*Job))
    Job->UntilStored_.push_back(Event.Token_);
  else if (Event.WaitForEnd_ && !Job->Ended_)
    Job->UntilEnded_.push_back(Event.Token_);
  else
    answer(Event.Token_, *Job);
}

void Partition::Engine::onCallerGone(const CallerGone &Event) {
  for (auto &[Id, Job] : Jobs_) {
    std::erase(Job.UntilAccepted_, Event.Token_);
    std::erase(Job.UntilStored_, Event.Token_);
    const bool Waited = std::erase(Job.UntilEnded_, Event.Token_) > 0;
    const bool Pointless = Waited && !Job.Journaled_ && !Job.Started_ &&
                           Job.UntilEnded_.empty() && !Job.CancelledFor_;
    if (Pointless) {
      cancelJob(Job, RefusalReason::Cancelled);
      return;
    }
  }
}

void Partition::Engine::finishIfEnded(const JobId &Id) {
  detail::JobEntry *Job = findJob(Id);
  if (Job && !Job->Ended_ && detail::allTasksEnded(*Job))
    finishJob(*Job);
}

void Partition::Engine::finishJob(detail::JobEntry &Job) {
  Job.Ended_ = true;
  Job.EndedAt_ = Now_;
  answerAll(Job.UntilAccepted_, Job);
  answerAll(Job.UntilEnded_, Job);
}

void Partition::Engine::dropJob(const JobId &Id) { Jobs_.erase(Id); }

bool Partition::Engine::lateToStart(const detail::JobEntry &Job) const {
  if (Job.Started_ || Job.Ended_ || Job.CancelledFor_)
    return false;
  Duration Bound = Job.Spec_->StartWithin_;
  if (Bound.count() == 0 && Job.direct())
    Bound = DirectStartWithin;
  return Bound.count() > 0 && Now_ - Job.SubmittedAt_ >= Bound;
}

void Partition::Engine::expireJobs() {
  std::vector<JobId> Unjournaled;
  for (auto &[Id, Job] : Jobs_) {
    if (lateToStart(Job) && (!Job.Journaled_ || mayDecide()))
      cancelJob(Job, RefusalReason::DeadlineExceeded);
    if (!Job.Ended_)
      continue;
    if (!Job.Journaled_) {
      Unjournaled.push_back(Id);
      continue;
    }
    const Duration Keep = std::max(RequestRetention, Job.Spec_->ExpiresIn_);
    if (Job.EndPending_ || Now_ - Job.EndedAt_ < Keep || !mayDecide())
      continue;
    Job.EndPending_ = true;
    const JobId Forgotten = Id;
    whenCommitted(record(JobForgotten{Id}),
                  [this, Forgotten] { dropJob(Forgotten); });
  }
  for (const JobId &Id : Unjournaled)
    dropJob(Id);
}

// ------------------------------------------------- Submissions that stall

void Partition::Engine::giveUpUncommitted() {
  std::set<JobId> Late;
  for (auto &[Id, Job] : Jobs_) {
    if (!Job.Journaled_ || Job.Committed_)
      continue;
    const Duration Age = Now_ - Job.SubmittedAt_;
    const bool Sent = Job.AcceptTicket_ <= Journal_.lastSentTicket();
    if (!Sent && Age >= CommitPatience)
      Late.insert(Id);
    if (Sent && Age >= 2 * CommitPatience)
      // The job stays: its write may have taken effect.
      refuseAll(Job,
                {Verdict::MayHaveRun, RefusalReason::StoreUnavailable,
                 "the table service did not confirm the request", RetryLater});
  }
  if (Late.empty())
    return;
  // A snapshot under way may show the jobs that are dropped here.
  SnapshotStep_ = SnapshotStep::None;
  reappend(Journal_.takeUnsentTransitions(), Late);
  for (const JobId &Id : Late)
    dropUncommitted(Id);
}

void Partition::Engine::reappend(std::vector<Transition> Unsent,
                                 const std::set<JobId> &Dropped) {
  const std::uint64_t FirstOld = LastTicket_ + 1 - Unsent.size();
  std::deque<AfterCommit> Moved;
  while (!AfterCommit_.empty() && AfterCommit_.back().Ticket_ >= FirstOld) {
    Moved.push_front(std::move(AfterCommit_.back()));
    AfterCommit_.pop_back();
  }
  std::map<std::uint64_t, std::uint64_t> Renumbered;
  std::uint64_t Old = FirstOld;
  for (Transition &Change : Unsent) {
    const JobId Id = jobOf(Change);
    if (!Dropped.contains(Id)) {
      const bool Accepts = std::holds_alternative<JobAccepted>(Change);
      Renumbered[Old] = record(std::move(Change));
      if (detail::JobEntry *Job = Accepts ? findJob(Id) : nullptr)
        Job->AcceptTicket_ = LastTicket_;
    }
    ++Old;
  }
  if (Renumbered.empty())
    LastTicket_ = Journal_.lastSentTicket();
  for (AfterCommit &After : Moved) {
    auto Found = Renumbered.find(After.Ticket_);
    if (Found != Renumbered.end())
      whenCommitted(Found->second, std::move(After.Work_));
  }
}

void Partition::Engine::dropUncommitted(const JobId &Id) {
  detail::JobEntry &Job = Jobs_.at(Id);
  cancelWaiting(Job);
  for (std::uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index)
    if (Job.Tasks_[Index].active())
      releaseTask(Job, Index);
  refuseAll(Job, notRun(RefusalReason::StoreUnavailable,
                        "the table service is not reachable", RetryLater));
  dropJob(Id);
}

// --------------------------------------------------------------- Answers

void Partition::Engine::refuse(Token To, Refusal Why) {
  Out_.push_back(ReplyToCaller{To, tl::make_unexpected(std::move(Why))});
}

void Partition::Engine::refuseAll(detail::JobEntry &Job, const Refusal &Why) {
  for (Token To : Job.UntilAccepted_)
    refuse(To, Why);
  for (Token To : Job.UntilEnded_)
    refuse(To, Why);
  for (Token To : Job.UntilCancelled_)
    refuse(To, Why);
  for (Token To : Job.UntilStored_)
    refuse(To, Why);
  Job.UntilAccepted_.clear();
  Job.UntilEnded_.clear();
  Job.UntilCancelled_.clear();
  Job.UntilStored_.clear();
}

void Partition::Engine::answer(Token To, const detail::JobEntry &Job) {
  if (!Job.direct() || !Job.Ended_) {
    Out_.push_back(ReplyToCaller{To, statusOf(Job)});
    return;
  }
  const detail::TaskEntry &Call = Job.Tasks_[0];
  if (Call.Verdict_ == Verdict::Ran) {
    Out_.push_back(ReplyToCaller{To, statusOf(Job)});
    return;
  }
  const RefusalReason Reason =
      Job.CancelledFor_.value_or(RefusalReason::WorkerFailed);
  refuse(To, {Call.Verdict_, Reason,
              Call.Verdict_ == Verdict::NotRun
                  ? "the call was not started"
                  : "the call was started and its answer was lost",
              RetrySoon});
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
      Why = Scheduler_.explain({Job.Spec_->Id_, Job.gang() ? 0 : Index});
    Status.Tasks_.push_back({Id, Task.State_, Task.Attempt_, Task.Worker_,
                             Task.Verdict_, Task.ExitCode_, Task.Output_,
                             std::move(Why)});
  }
  return Status;
}

} // namespace oleandergauge
