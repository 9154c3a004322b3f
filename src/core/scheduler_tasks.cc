#include <algorithm>

#include "scheduler_state.h"

namespace oleandergauge {

using namespace detail;

namespace {

double fractionOf(std::int64_t Used, std::int64_t Total) {
  return Total <= 0 ? 0.0
                    : static_cast<double>(Used) / static_cast<double>(Total);
}

void decrementCount(std::unordered_map<std::size_t, std::uint32_t> &Counts,
                    std::size_t Location) {
  const auto Found = Counts.find(Location);
  if (Found != Counts.end() && --Found->second == 0)
    Counts.erase(Found);
}

bool isPreemptible(const RunningTask &Task) {
  return Task.Class_ == WorkClass::Batch && !Task.Urgent_;
}

} // namespace

Scheduler::State::TeamIndex Scheduler::State::internTeam(const TeamId &Id) {
  const auto [Found, Added] =
      TeamIndices_.try_emplace(Id, static_cast<TeamIndex>(Teams_.size()));
  if (Added) {
    Teams_.emplace_back();
    Teams_.back().Id_ = Id;
  }
  return Found->second;
}

void Scheduler::State::updateShare(TeamIndex T) {
  Team &TargetTeam = Teams_[T];
  TargetTeam.Share_ = std::max(
      {fractionOf(TargetTeam.Used_.CpuMilli_, TotalCapacity_.CpuMilli_),
       fractionOf(TargetTeam.Used_.MemoryMib_, TotalCapacity_.MemoryMib_),
       fractionOf(TargetTeam.Used_.Accelerators_, TotalCapacity_.Accelerators_),
       fractionOf(TargetTeam.Used_.Slots_, TotalCapacity_.Slots_),
       fractionOf(TargetTeam.Used_.Connections_, TotalCapacity_.Connections_)});
}

bool Scheduler::State::startTask(const WorkItem &Item, const TaskId &Id,
                                 WorkerIndex W, const Resources &Reserved,
                                 TimePoint StartedAt) {
  const auto [Found, Added] = Running_.try_emplace(Id);
  if (!Added)
    return false;
  RunningTask &Task = Found->second;
  Task.Id_ = Id;
  Task.Worker_ = W;
  Task.Team_ = internTeam(Item.Team_);
  Task.Class_ = Item.Class_;
  Task.Urgent_ = Item.Urgent_;
  Task.Reserved_ = Reserved;
  Task.StartedAt_ = StartedAt;
  Task.ExpectedRun_ = Item.ExpectedRun_;
  Worker &TargetWorker = Workers_[W];
  Task.PositionOnWorker_ = TargetWorker.Tasks_.size();
  TargetWorker.Tasks_.push_back(&Task);
  ++RunningOfClass_[static_cast<std::size_t>(Task.Class_)];
  if (isPreemptible(Task))
    Teams_[Task.Team_].Preemptible_.emplace(StartedAt, Id);
  if (Task.Class_ == WorkClass::Service)
    updateReplicaCounts(Task, true);
  setCharged(Task, Reserved);
  return true;
}

void Scheduler::State::releaseTask(const TaskId &Id) {
  const auto Found = Running_.find(Id);
  if (Found == Running_.end())
    return;
  RunningTask &Task = Found->second;
  setCharged(Task, Resources{});
  if (Task.Class_ == WorkClass::Service)
    updateReplicaCounts(Task, false);
  if (isPreemptible(Task))
    Teams_[Task.Team_].Preemptible_.erase({Task.StartedAt_, Id});
  --RunningOfClass_[static_cast<std::size_t>(Task.Class_)];
  const WorkerIndex W = Task.Worker_;
  auto &Tasks = Workers_[W].Tasks_;
  Tasks.back()->PositionOnWorker_ = Task.PositionOnWorker_;
  Tasks[Task.PositionOnWorker_] = Tasks.back();
  Tasks.pop_back();
  Running_.erase(Found);
  eraseWorkerIfIdle(W);
}

void Scheduler::State::setCharged(RunningTask &Task, const Resources &Charged) {
  if (Charged == Task.Charged_)
    return;
  const Resources Delta = Charged - Task.Charged_;
  Task.Charged_ = Charged;
  Worker &W = Workers_[Task.Worker_];
  W.Used_ = W.Used_ + Delta;
  if (Task.Class_ != WorkClass::Direct)
    W.NonDirectSlots_ += Delta.Slots_;
  Team &TargetTeam = Teams_[Task.Team_];
  TargetTeam.Used_ = TargetTeam.Used_ + Delta;
  updateShare(Task.Team_);
  updateFreeCapacity(Task.Worker_);
}

void Scheduler::State::updateReplicaCounts(const RunningTask &Task,
                                           bool Started) {
  ReplicaCounts &Replicas = ReplicaCounts_[Task.Id_.Job_];
  const Worker &W = Workers_[Task.Worker_];
  if (Started) {
    ++Replicas.Domains_[W.Domain_];
    ++Replicas.Racks_[W.Rack_];
    return;
  }
  decrementCount(Replicas.Domains_, W.Domain_);
  decrementCount(Replicas.Racks_, W.Rack_);
  if (Replicas.Domains_.empty() && Replicas.Racks_.empty())
    ReplicaCounts_.erase(Task.Id_.Job_);
}

} // namespace oleandergauge
