#include <algorithm>

#include "partition_engine.h"

namespace oleandergauge {
namespace {

/// Exchanges without an answer after which a worker gets no new work and no
/// renewals, so that its leases end and its tasks can go elsewhere.
constexpr std::uint32_t SilentBound = 2;
/// An exchange without an answer for this long has failed.
constexpr Duration ExchangeTimeout = std::chrono::milliseconds(2000);
/// A call that a report does not show may have its answer on the way.
constexpr Duration CallAnswerDelay = std::chrono::milliseconds(2000);

} // namespace

// ------------------------------------------------------------- Live list

void Partition::Engine::onWorkersListed(const WorkersListed &Event) {
  if (&Event.Workers_ != &Listed_)
    Listed_ = Event.Workers_;
  if (!View_ || Mode_ != Mode::Active)
    return;
  for (auto &[Id, Worker] : Workers_)
    Worker.Listed_ = false;
  for (const ListedWorker &Listed : Listed_) {
    const auto Owner =
        View_->partitionOf(Listed.Info_.Region_, Listed.Info_.Rack_);
    if (!Owner || *Owner != Id_)
      continue;
    detail::WorkerEntry &Worker = Workers_[Listed.Info_.Id_];
    Worker.Listed_ = true;
    Worker.Leaving_ = Listed.Leaving_;
    if (Worker.Info_ != Listed.Info_) {
      Worker.Info_ = Listed.Info_;
      Scheduler_.upsertWorker(Listed.Info_);
    }
  }
  std::erase_if(Workers_, [this](const auto &Entry) {
    const bool Gone = !Entry.second.Listed_ && Entry.second.Tasks_.empty();
    if (Gone) {
      Scheduler_.removeWorker(Entry.first);
      Health_.forget(Entry.first);
    }
    return Gone;
  });
  updateAllOpen();
}

bool Partition::Engine::isWithdrawn(const detail::WorkerEntry &Worker) const {
  return Worker.Leaving_ || !View_ || View_->isOut(Worker.Info_.Domain_) ||
         View_->isDraining(Worker.Info_.Id_);
}

bool Partition::Engine::mayStartOn(const detail::WorkerEntry &Worker) const {
  if (!Worker.Listed_ || !Worker.Reported_ || isWithdrawn(Worker))
    return false;
  if (Worker.SilentExchanges_ >= SilentBound)
    return false;
  return !Health_.isQuarantined(Worker.Info_.Id_) || Worker.Probing_;
}

void Partition::Engine::updateOpen(detail::WorkerEntry &Worker) {
  // A probe takes one task; the worker closes as soon as it is placed.
  if (Worker.Probing_ && !Worker.Tasks_.empty())
    Worker.Probing_ = false;
  const bool Open = mayStartOn(Worker);
  Scheduler_.setOpen(Worker.Info_.Id_, Open);
  ScheduleNeeded_ = ScheduleNeeded_ || Open;
}

void Partition::Engine::updateAllOpen() {
  for (auto &[Id, Worker] : Workers_)
    updateOpen(Worker);
}

void Partition::Engine::pumpProbes() {
  for (const WorkerId &Id : Health_.dueProbes(Now_)) {
    auto Found = Workers_.find(Id);
    if (Found == Workers_.end())
      continue;
    Found->second.Probing_ = true;
    if (mayStartOn(Found->second))
      Scheduler_.openForProbe(Id);
  }
}

/// Moves services away from workers that are withdrawn, one replica of a
/// service at a time.
void Partition::Engine::moveServices() {
  if (!mayDecide())
    return;
  for (auto &[Id, Job] : Jobs_) {
    if (!Job.service() || !Job.Spec_->Idempotent_ || Job.Ended_ ||
        Job.CancelledFor_)
      continue;
    const bool OneMoves = std::any_of(
        Job.Tasks_.begin(), Job.Tasks_.end(),
        [](const detail::TaskEntry &Task) {
          return Task.StopAskedAt_ || Task.State_ != TaskState::Running;
        });
    if (OneMoves)
      continue;
    for (std::uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
      auto Worker = Workers_.find(Job.Tasks_[Index].Worker_);
      if (Worker == Workers_.end() || !isWithdrawn(Worker->second))
        continue;
      askStop({Id, Index}, Job.Tasks_[Index], StopMode::Stop);
      break;
    }
  }
}

// ------------------------------------------------------------- Exchanges

void Partition::Engine::pumpExchanges() {
  if (!mayServe())
    return;
  for (auto &[Id, Worker] : Workers_) {
    if (Worker.ExchangeAsked_ &&
        Now_ - *Worker.ExchangeAsked_ >= ExchangeTimeout)
      onWorkerUnresponsive(WorkerUnresponsive{Id});
    if (!Worker.ExchangeAsked_ && Now_ >= Worker.NextExchange_)
      sendExchange(Worker);
    checkLostWorker(Worker);
  }
}

void Partition::Engine::sendExchange(detail::WorkerEntry &Worker) {
  ExchangeWithWorker Exchange;
  Exchange.Worker_ = Worker.Info_.Id_;
  Exchange.Address_ = Worker.Info_.Address_;
  Exchange.Epoch_ = Epoch_;
  Exchange.Lease_ = WorkerLeaseLength;
  Exchange.ValidUntil_ = std::min(serveUntil(), Now_ + MaxDeliveryDelay);
  // A silent worker is asked only: its leases have to end.
  if (Worker.SilentExchanges_ < SilentBound && !Worker.Tasks_.empty()) {
    for (const TaskId &Id : Worker.Tasks_)
      Exchange.Renew_.push_back({Id, findTask(Id)->Attempt_});
    Worker.RenewedUntil_ = std::max(Worker.RenewedUntil_, Exchange.ValidUntil_);
  }
  Exchange.AcknowledgedEnds_.assign(Worker.Collect_.begin(),
                                    Worker.Collect_.end());
  Worker.ExchangeAsked_ = Now_;
  Worker.NextExchange_ = Now_ + WorkerExchangeInterval;
  if (!Worker.Reported_)
    Worker.NextExchange_ = Now_ + WorkerExchangeInterval / 10;
  Out_.push_back(std::move(Exchange));
}

void Partition::Engine::onWorkerUnresponsive(const WorkerUnresponsive &Event) {
  auto Found = Workers_.find(Event.Worker_);
  if (Found == Workers_.end() || !Found->second.ExchangeAsked_)
    return;
  detail::WorkerEntry &Worker = Found->second;
  Worker.ExchangeAsked_.reset();
  Worker.NextExchange_ =
      std::max(Worker.NextExchange_, Now_ + WorkerExchangeInterval / 4);
  ++Worker.SilentExchanges_;
  updateOpen(Worker);
}

/// Tasks of a worker that no renewal can have reached for the whole lease
/// run nowhere any more.
void Partition::Engine::checkLostWorker(detail::WorkerEntry &Worker) {
  if (Worker.Tasks_.empty() || Worker.SilentExchanges_ < SilentBound ||
      !mayDecide())
    return;
  if (Now_ < Worker.RenewedUntil_ + WorkerLossDelay)
    return;
  const std::set<TaskId> Lost = Worker.Tasks_;
  for (const TaskId &Id : Lost)
    loseTask(Jobs_.at(Id.Job_), Id.Index_);
}

// --------------------------------------------------------------- Reports

void Partition::Engine::onWorkerReported(const WorkerReported &Event) {
  auto Found = Workers_.find(Event.Worker_);
  if (Found == Workers_.end() || !mayServe())
    return;
  detail::WorkerEntry &Worker = Found->second;
  // Reports of exchanges before the takeover, and those overtaken by a newer
  // one, say nothing about the present.
  if (Event.SentAt_ <= Worker.LastReportSent_ || Event.SentAt_ < OwnedSince_)
    return;
  Worker.LastReportSent_ = Event.SentAt_;
  Worker.ExchangeAsked_.reset();
  Worker.SilentExchanges_ = 0;
  if (Event.SentAt_ >= SettledAt_ && !Worker.Reported_) {
    Worker.Reported_ = true;
    Worker.NextExchange_ = Now_ + WorkerExchangeInterval;
  }
  noteReportedTasks(Worker, Event);
  checkAbsent(Worker, Event);
  relieveOverload(Worker);
  updateOpen(Worker);
}

void Partition::Engine::noteReportedTasks(detail::WorkerEntry &Worker,
                                          const WorkerReported &Event) {
  std::set<AttemptId> Finished;
  for (const FinishedTask &Reported : Event.Finished_) {
    Finished.insert({Reported.Task_, Reported.Attempt_});
    if (!Worker.Collect_.contains({Reported.Task_, Reported.Attempt_}))
      noteFinished(Reported, Worker.Info_.Id_);
  }
  std::erase_if(Worker.Collect_, [&Finished](const AttemptId &Id) {
    return !Finished.contains(Id);
  });
  Resources Foreign;
  for (const RunningTask &Reported : Event.Running_) {
    detail::TaskEntry *Task = findTask(Reported.Task_);
    const bool Ours = Task && Task->active() &&
                      Task->Worker_ == Worker.Info_.Id_ &&
                      Task->Attempt_ == Reported.Attempt_;
    if (Ours) {
      Task->AbsentSince_.reset();
      noteRunning(Jobs_.at(Reported.Task_.Job_), *Task);
      noteUsage(Reported);
      continue;
    }
    Foreign = Foreign + Reported.Usage_;
    if (Reported.Call_)
      continue; // A former owner's; its answer is still on the way.
    Out_.push_back(MetricSample{"orphans", TeamId(), WorkClass::Batch});
    Out_.push_back(StopOnWorker{Worker.Info_.Id_,
                                Worker.Info_.Address_,
                                {Reported.Task_, Reported.Attempt_},
                                StopMode::Stop});
  }
  Scheduler_.setForeignUsage(Worker.Info_.Id_, Foreign);
}

bool Partition::Engine::reportMustShow(const detail::TaskEntry &Task,
                                       const detail::JobEntry &Job,
                                       TimePoint ReportSent) const {
  if (!Task.CommandUntil_)
    return false;
  if (Task.State_ == TaskState::Running && !Job.direct())
    return ReportSent > Task.RunningSince_;
  return ReportSent >= *Task.CommandUntil_ + MaxDeliveryDelay;
}

void Partition::Engine::checkAbsent(detail::WorkerEntry &Worker,
                                    const WorkerReported &Event) {
  std::set<AttemptId> Shown;
  for (const RunningTask &Reported : Event.Running_)
    Shown.insert({Reported.Task_, Reported.Attempt_});
  for (const FinishedTask &Reported : Event.Finished_)
    Shown.insert({Reported.Task_, Reported.Attempt_});
  const std::set<TaskId> Expected = Worker.Tasks_;
  for (const TaskId &Id : Expected) {
    detail::TaskEntry *Task = findTask(Id);
    if (!Task || Shown.contains({Id, Task->Attempt_}))
      continue;
    detail::JobEntry &Job = Jobs_.at(Id.Job_);
    if (!reportMustShow(*Task, Job, Event.SentAt_))
      continue;
    const bool AnswerExpected = Job.direct() && !Task->CommandAnswered_;
    if (AnswerExpected && !Task->AbsentSince_)
      Task->AbsentSince_ = Now_;
    if (AnswerExpected && Now_ - *Task->AbsentSince_ < CallAnswerDelay)
      continue;
    if (Job.Journaled_ ? mayDecide() : mayServe())
      loseTask(Job, Id.Index_);
  }
}

void Partition::Engine::noteUsage(const RunningTask &Running) {
  detail::TaskEntry &Task = *findTask(Running.Task_);
  Task.PeakUsage_ = componentMax(Task.PeakUsage_, Running.Usage_);
  Scheduler_.noteUsage(Running.Task_, Running.Usage_);
}

/// Where usage exceeds the worker, throttles the task that is most above its
/// reservation; a throttled one is checkpointed.
void Partition::Engine::relieveOverload(detail::WorkerEntry &Worker) {
  const Resources Free = Scheduler_.freeOf(Worker.Info_.Id_);
  if (Free.CpuMilli_ >= 0 && Free.MemoryMib_ >= 0)
    return;
  TaskId Worst;
  double WorstRatio = 1.0;
  for (const TaskId &Id : Worker.Tasks_) {
    const detail::TaskEntry &Task = *findTask(Id);
    const auto Ratio = [](std::int64_t Used, std::int64_t Kept) {
      return static_cast<double>(Used) /
             static_cast<double>(std::max<std::int64_t>(1, Kept));
    };
    const double Over =
        std::max(Ratio(Task.PeakUsage_.CpuMilli_, Task.Reserved_.CpuMilli_),
                 Ratio(Task.PeakUsage_.MemoryMib_, Task.Reserved_.MemoryMib_));
    if (Over > WorstRatio && !Task.StopAskedAt_) {
      WorstRatio = Over;
      Worst = Id;
    }
  }
  detail::TaskEntry *Task = findTask(Worst);
  if (!Task)
    return;
  askStop(Worst, *Task,
          Task->Throttled_ ? StopMode::Checkpoint : StopMode::Throttle);
  Task->Throttled_ = true;
}

} // namespace oleandergauge
