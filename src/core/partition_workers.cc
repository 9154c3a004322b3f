#include <algorithm>

#include "partition_engine.h"

namespace oleandergauge {
namespace {

/// After this many unanswered exchanges in a row a worker gets no new work and
/// no lease renewals, so that its leases expire and its tasks can be placed on
/// other workers.
constexpr std::uint32_t MaxUnansweredExchanges = 2;
/// An exchange without an answer for this long counts as unanswered.
constexpr Duration ExchangeTimeout = std::chrono::milliseconds(2000);
/// A call that is missing from a report counts as lost only after this time,
/// since its answer may be in transit.
constexpr Duration MissingCallTimeout = std::chrono::milliseconds(2000);

} // namespace

// ------------------------------------------------------------- Live list

void Partition::Engine::onWorkersListed(const WorkersListed &Event) {
  if (&Event.Workers_ != &LiveList_)
    LiveList_ = Event.Workers_;
  if (!View_ || Mode_ != Mode::Active)
    return;
  for (auto &[Id, Worker] : Workers_)
    Worker.Listed_ = false;
  for (const ListedWorker &Listed : LiveList_) {
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
  updateAllWorkersOpen();
}

bool Partition::Engine::isWithdrawn(const detail::WorkerEntry &Worker) const {
  return Worker.Leaving_ || !View_ || View_->isOut(Worker.Info_.Domain_) ||
         View_->isDraining(Worker.Info_.Id_);
}

bool Partition::Engine::mayStartOn(const detail::WorkerEntry &Worker) const {
  if (!Worker.Listed_ || !Worker.ReportedSinceTakeover_ || isWithdrawn(Worker))
    return false;
  if (Worker.UnansweredExchanges_ >= MaxUnansweredExchanges)
    return false;
  return !Health_.isQuarantined(Worker.Info_.Id_) || Worker.Probing_;
}

void Partition::Engine::updateWorkerOpen(detail::WorkerEntry &Worker) {
  // A probe consists of one task. Once that task is placed, the worker gets no
  // further work until its outcome is known.
  if (Worker.Probing_ && !Worker.Tasks_.empty())
    Worker.Probing_ = false;
  const bool Open = mayStartOn(Worker);
  Scheduler_.setOpen(Worker.Info_.Id_, Open);
  ScheduleNeeded_ = ScheduleNeeded_ || Open;
}

void Partition::Engine::updateAllWorkersOpen() {
  for (auto &[Id, Worker] : Workers_)
    updateWorkerOpen(Worker);
}

void Partition::Engine::startDueProbes() {
  for (const WorkerId &Id : Health_.dueProbes(Now_)) {
    auto Found = Workers_.find(Id);
    if (Found == Workers_.end())
      continue;
    Found->second.Probing_ = true;
    if (mayStartOn(Found->second))
      Scheduler_.openForProbe(Id);
  }
}

/// Moves services off withdrawn workers, one replica of each service at a time.
/// Stopping the replica makes it restart on another worker.
void Partition::Engine::moveServices() {
  if (!isOwner())
    return;
  for (auto &[Id, Job] : Jobs_) {
    if (!Job.isService() || !Job.Spec_->Idempotent_ || Job.Ended_ ||
        Job.CancelledFor_)
      continue;
    const bool OneMoves = std::any_of(
        Job.Tasks_.begin(), Job.Tasks_.end(),
        [](const detail::TaskEntry &Task) {
          return Task.StopRequestedAt_ || Task.State_ != TaskState::Running;
        });
    if (OneMoves)
      continue;
    for (std::uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
      auto Worker = Workers_.find(Job.Tasks_[Index].Worker_);
      if (Worker == Workers_.end() || !isWithdrawn(Worker->second))
        continue;
      sendStop({Id, Index}, Job.Tasks_[Index], StopMode::Stop);
      break;
    }
  }
}

// ------------------------------------------------------------- Exchanges

void Partition::Engine::sendDueExchanges() {
  if (!mayServe())
    return;
  for (auto &[Id, Worker] : Workers_) {
    if (Worker.ExchangeSentAt_ &&
        Now_ - *Worker.ExchangeSentAt_ >= ExchangeTimeout)
      onWorkerUnresponsive(WorkerUnresponsive{Id});
    if (!Worker.ExchangeSentAt_ && Now_ >= Worker.NextExchangeAt_)
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
  // An unresponsive worker is only asked for a report, because its leases have
  // to expire.
  if (Worker.UnansweredExchanges_ < MaxUnansweredExchanges &&
      !Worker.Tasks_.empty()) {
    for (const TaskId &Id : Worker.Tasks_)
      Exchange.Renew_.push_back({Id, findTask(Id)->Attempt_});
    Worker.LastRenewalValidUntil_ =
        std::max(Worker.LastRenewalValidUntil_, Exchange.ValidUntil_);
  }
  Exchange.AcknowledgedEnds_.assign(Worker.EndsToAcknowledge_.begin(),
                                    Worker.EndsToAcknowledge_.end());
  Worker.ExchangeSentAt_ = Now_;
  Worker.NextExchangeAt_ = Now_ + WorkerExchangeInterval;
  if (!Worker.ReportedSinceTakeover_)
    Worker.NextExchangeAt_ = Now_ + WorkerExchangeInterval / 10;
  Effects_.push_back(std::move(Exchange));
}

void Partition::Engine::onWorkerUnresponsive(const WorkerUnresponsive &Event) {
  auto Found = Workers_.find(Event.Worker_);
  if (Found == Workers_.end() || !Found->second.ExchangeSentAt_)
    return;
  detail::WorkerEntry &Worker = Found->second;
  Worker.ExchangeSentAt_.reset();
  Worker.NextExchangeAt_ =
      std::max(Worker.NextExchangeAt_, Now_ + WorkerExchangeInterval / 4);
  ++Worker.UnansweredExchanges_;
  updateWorkerOpen(Worker);
}

/// Handles the tasks of an unresponsive worker as lost once their leases are
/// certain to have expired.
void Partition::Engine::checkLostWorker(detail::WorkerEntry &Worker) {
  if (Worker.Tasks_.empty() ||
      Worker.UnansweredExchanges_ < MaxUnansweredExchanges || !isOwner())
    return;
  if (Now_ < Worker.LastRenewalValidUntil_ + WorkerLossDelay)
    return;
  const std::set<TaskId> Lost = Worker.Tasks_;
  for (const TaskId &Id : Lost)
    handleLostTask(Jobs_.at(Id.Job_), Id.Index_);
}

// --------------------------------------------------------------- Reports

void Partition::Engine::onWorkerReported(const WorkerReported &Event) {
  auto Found = Workers_.find(Event.Worker_);
  if (Found == Workers_.end() || !mayServe())
    return;
  detail::WorkerEntry &Worker = Found->second;
  // Ignore reports of exchanges from before the takeover, and reports that
  // arrive after a newer one. Both describe an outdated state.
  if (Event.SentAt_ <= Worker.LastReportSentAt_ || Event.SentAt_ < OwnedSince_)
    return;
  Worker.LastReportSentAt_ = Event.SentAt_;
  Worker.ExchangeSentAt_.reset();
  Worker.UnansweredExchanges_ = 0;
  if (Event.SentAt_ >= TakeoverSettledAt_ && !Worker.ReportedSinceTakeover_) {
    Worker.ReportedSinceTakeover_ = true;
    Worker.NextExchangeAt_ = Now_ + WorkerExchangeInterval;
  }
  handleReportedTasks(Worker, Event);
  checkMissingTasks(Worker, Event);
  relieveOverload(Worker);
  updateWorkerOpen(Worker);
}

void Partition::Engine::handleReportedTasks(detail::WorkerEntry &Worker,
                                            const WorkerReported &Event) {
  std::set<AttemptId> Finished;
  for (const FinishedTask &Reported : Event.Finished_) {
    Finished.insert({Reported.Task_, Reported.Attempt_});
    if (!Worker.EndsToAcknowledge_.contains(
            {Reported.Task_, Reported.Attempt_}))
      handleFinishedTask(Reported, Worker.Info_.Id_);
  }
  std::erase_if(Worker.EndsToAcknowledge_, [&Finished](const AttemptId &Id) {
    return !Finished.contains(Id);
  });
  Resources Foreign;
  for (const RunningTask &Reported : Event.Running_) {
    detail::TaskEntry *Task = findTask(Reported.Task_);
    const bool Ours = Task && Task->isActive() &&
                      Task->Worker_ == Worker.Info_.Id_ &&
                      Task->Attempt_ == Reported.Attempt_;
    if (Ours) {
      Task->MissingSince_.reset();
      markRunning(Jobs_.at(Reported.Task_.Job_), *Task);
      recordUsage(Reported);
      continue;
    }
    Foreign = Foreign + Reported.Usage_;
    if (Reported.Call_)
      continue; // Made by a former owner, which still awaits its answer.
    Effects_.push_back(MetricSample{"orphans", TeamId(), WorkClass::Batch});
    Effects_.push_back(StopOnWorker{Worker.Info_.Id_,
                                    Worker.Info_.Address_,
                                    {Reported.Task_, Reported.Attempt_},
                                    StopMode::Stop});
  }
  Scheduler_.setForeignUsage(Worker.Info_.Id_, Foreign);
}

bool Partition::Engine::mustAppearInReport(const detail::TaskEntry &Task,
                                           const detail::JobEntry &Job,
                                           TimePoint ReportSentAt) const {
  if (!Task.CommandValidUntil_)
    return false;
  if (Task.State_ == TaskState::Running && !Job.isDirect())
    return ReportSentAt > Task.RunningSince_;
  return ReportSentAt >= *Task.CommandValidUntil_ + MaxDeliveryDelay;
}

void Partition::Engine::checkMissingTasks(detail::WorkerEntry &Worker,
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
    if (!mustAppearInReport(*Task, Job, Event.SentAt_))
      continue;
    const bool AnswerExpected = Job.isDirect() && !Task->CommandAnswered_;
    if (AnswerExpected && !Task->MissingSince_)
      Task->MissingSince_ = Now_;
    if (AnswerExpected && Now_ - *Task->MissingSince_ < MissingCallTimeout)
      continue;
    if (Job.Journaled_ ? isOwner() : mayServe())
      handleLostTask(Job, Id.Index_);
  }
}

void Partition::Engine::recordUsage(const RunningTask &Running) {
  detail::TaskEntry &Task = *findTask(Running.Task_);
  Task.PeakUsage_ = componentMax(Task.PeakUsage_, Running.Usage_);
  Scheduler_.noteUsage(Running.Task_, Running.Usage_);
}

/// If the usage exceeds the worker's capacity, throttles the task that exceeds
/// its reservation by the largest factor. A task that is already throttled is
/// checkpointed instead.
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
    if (Over > WorstRatio && !Task.StopRequestedAt_) {
      WorstRatio = Over;
      Worst = Id;
    }
  }
  detail::TaskEntry *Task = findTask(Worst);
  if (!Task)
    return;
  sendStop(Worst, *Task,
           Task->Throttled_ ? StopMode::Checkpoint : StopMode::Throttle);
  Task->Throttled_ = true;
}

} // namespace oleandergauge
