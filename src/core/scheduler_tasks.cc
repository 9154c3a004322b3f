#include <algorithm>

#include "scheduler_state.h"

namespace oleandergauge {

using namespace detail;

namespace {

double part(std::int64_t Used, std::int64_t Total) {
  return Total <= 0 ? 0.0
                    : static_cast<double>(Used) / static_cast<double>(Total);
}

void decrease(std::unordered_map<std::size_t, std::uint32_t> &Counts,
              std::size_t Place) {
  const auto Found = Counts.find(Place);
  if (Found != Counts.end() && --Found->second == 0)
    Counts.erase(Found);
}

bool preemptible(const Running &Task) {
  return Task.Class_ == WorkClass::Batch && !Task.Urgent_;
}

} // namespace

Scheduler::State::TeamIndex Scheduler::State::internTeam(const TeamId &Id) {
  const auto [Found, Added] =
      TeamByName_.try_emplace(Id, static_cast<TeamIndex>(Teams_.size()));
  if (Added) {
    Teams_.emplace_back();
    Teams_.back().Id_ = Id;
  }
  return Found->second;
}

void Scheduler::State::refreshShare(TeamIndex T) {
  Team &Of = Teams_[T];
  Of.Share_ = std::max({part(Of.Used_.CpuMilli_, Total_.CpuMilli_),
                        part(Of.Used_.MemoryMib_, Total_.MemoryMib_),
                        part(Of.Used_.Accelerators_, Total_.Accelerators_),
                        part(Of.Used_.Slots_, Total_.Slots_),
                        part(Of.Used_.Connections_, Total_.Connections_)});
}

bool Scheduler::State::start(const WorkItem &Item, const TaskId &Id,
                             WorkerIndex W, const Resources &Reserved,
                             TimePoint Since) {
  const auto [Found, Added] = Running_.try_emplace(Id);
  if (!Added)
    return false;
  Running &Task = Found->second;
  Task.Id_ = Id;
  Task.Worker_ = W;
  Task.Team_ = internTeam(Item.Team_);
  Task.Class_ = Item.Class_;
  Task.Urgent_ = Item.Urgent_;
  Task.Reserved_ = Reserved;
  Task.Since_ = Since;
  Task.ExpectedRun_ = Item.ExpectedRun_;
  Worker &On = Workers_[W];
  Task.Position_ = On.Tasks_.size();
  On.Tasks_.push_back(&Task);
  ++RunningOfClass_[static_cast<std::size_t>(Task.Class_)];
  if (preemptible(Task))
    Teams_[Task.Team_].Preemptible_.emplace(Since, Id);
  if (Task.Class_ == WorkClass::Service)
    countReplica(Task, true);
  setTaken(Task, Reserved);
  return true;
}

void Scheduler::State::release(const TaskId &Id) {
  const auto Found = Running_.find(Id);
  if (Found == Running_.end())
    return;
  Running &Task = Found->second;
  setTaken(Task, Resources{});
  if (Task.Class_ == WorkClass::Service)
    countReplica(Task, false);
  if (preemptible(Task))
    Teams_[Task.Team_].Preemptible_.erase({Task.Since_, Id});
  --RunningOfClass_[static_cast<std::size_t>(Task.Class_)];
  const WorkerIndex W = Task.Worker_;
  auto &Tasks = Workers_[W].Tasks_;
  Tasks.back()->Position_ = Task.Position_;
  Tasks[Task.Position_] = Tasks.back();
  Tasks.pop_back();
  Running_.erase(Found);
  forgetIfIdle(W);
}

void Scheduler::State::setTaken(Running &Task, const Resources &Taken) {
  if (Taken == Task.Taken_)
    return;
  const Resources Delta = Taken - Task.Taken_;
  Task.Taken_ = Taken;
  Worker &W = Workers_[Task.Worker_];
  W.Used_ = W.Used_ + Delta;
  if (Task.Class_ != WorkClass::Direct)
    W.OtherSlots_ += Delta.Slots_;
  Team &Of = Teams_[Task.Team_];
  Of.Used_ = Of.Used_ + Delta;
  refreshShare(Task.Team_);
  refresh(Task.Worker_);
}

void Scheduler::State::countReplica(const Running &Task, bool Started) {
  Spread &Of = Spreads_[Task.Id_.Job_];
  const Worker &W = Workers_[Task.Worker_];
  if (Started) {
    ++Of.Domains_[W.Domain_];
    ++Of.Racks_[W.Rack_];
    return;
  }
  decrease(Of.Domains_, W.Domain_);
  decrease(Of.Racks_, W.Rack_);
  if (Of.Domains_.empty() && Of.Racks_.empty())
    Spreads_.erase(Task.Id_.Job_);
}

} // namespace oleandergauge
