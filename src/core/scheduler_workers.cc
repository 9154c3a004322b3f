#include <algorithm>

#include "scheduler_state.h"

namespace oleandergauge {

using namespace detail;

namespace {

/// Length at which the older half of the log of growths is dropped.
constexpr std::size_t MaxGrowths = 8192;

auto capacityKey(const Resources &R) {
  return std::make_tuple(R.CpuMilli_, R.MemoryMib_, R.Accelerators_, R.Slots_,
                         R.Connections_);
}

template <typename Key>
std::size_t intern(std::unordered_map<Key, std::size_t> &Names,
                   const Key &Name) {
  return Names.try_emplace(Name, Names.size()).first->second;
}

} // namespace

Scheduler::State::WorkerIndex
Scheduler::State::internWorker(const WorkerId &Id) {
  const auto [Found, Added] = WorkerByName_.try_emplace(Id, NoWorker);
  if (!Added)
    return Found->second;
  if (FreePlaces_.empty()) {
    FreePlaces_.push_back(static_cast<WorkerIndex>(Workers_.size()));
    Workers_.emplace_back();
  }
  const WorkerIndex W = FreePlaces_.back();
  FreePlaces_.pop_back();
  Found->second = W;
  Workers_[W] = Worker{};
  Workers_[W].Info_.Id_ = Id;
  return W;
}

Scheduler::State::WorkerIndex
Scheduler::State::findWorker(const WorkerId &Id) const {
  const auto Found = WorkerByName_.find(Id);
  return Found == WorkerByName_.end() ? NoWorker : Found->second;
}

void Scheduler::State::upsert(const WorkerInfo &Info) {
  const WorkerIndex Index = internWorker(Info.Id_);
  Worker &W = Workers_[Index];
  const bool Joins = !W.Known_ || W.Removed_;
  if (!Joins)
    removeCapacity(Index);
  setPlace(W, Info);
  W.Info_ = Info;
  addCapacity(Index);
  W.Known_ = true;
  W.Removed_ = false;
  if (Joins)
    setOpen(Index, true);
  else
    refresh(Index);
}

void Scheduler::State::setPlace(Worker &W, const WorkerInfo &Info) {
  for (const Running *Task : W.Tasks_)
    if (Task->Class_ == WorkClass::Service)
      countReplica(*Task, false);
  W.Domain_ = intern(DomainByName_, Info.Domain_);
  W.Rack_ = intern(RackByName_, Info.Rack_);
  for (const Running *Task : W.Tasks_)
    if (Task->Class_ == WorkClass::Service)
      countReplica(*Task, true);
}

void Scheduler::State::remove(WorkerIndex Index) {
  Worker &W = Workers_[Index];
  if (!W.Known_ || W.Removed_)
    return;
  removeCapacity(Index);
  W.Removed_ = true;
  setOpen(Index, false);
  forgetIfIdle(Index);
}

void Scheduler::State::setOpen(WorkerIndex Index, bool Open) {
  Worker &W = Workers_[Index];
  // A worker open for a probe had no room for gangs.
  if (Open && W.Probe_)
    noteGrowth(Index);
  W.Probe_ = false;
  if (Open && (!W.Known_ || W.Removed_))
    return;
  if (Open && !W.Open_) {
    W.OpenPosition_ = OpenWorkers_.size();
    OpenWorkers_.push_back(Index);
    noteGrowth(Index);
  }
  if (!Open && W.Open_) {
    OpenWorkers_[W.OpenPosition_] = OpenWorkers_.back();
    Workers_[OpenWorkers_.back()].OpenPosition_ = W.OpenPosition_;
    OpenWorkers_.pop_back();
    if (W.Reservation_)
      dropReservation(*W.Reservation_);
  }
  W.Open_ = Open;
  refresh(Index);
}

void Scheduler::State::forgetIfIdle(WorkerIndex Index) {
  Worker &W = Workers_[Index];
  if (!W.Tasks_.empty() || (W.Known_ && !W.Removed_))
    return;
  for (auto &[Unused, P] : Pledges_)
    std::erase(P.Workers_, Index);
  WorkerByName_.erase(W.Info_.Id_);
  W = Worker{};
  FreePlaces_.push_back(Index);
}

std::int32_t Scheduler::State::directReserve(const Worker &W) const {
  const std::int32_t Slots = W.Info_.Capacity_.Slots_;
  if (Slots < 2 || Options_.DirectReserveFraction_ <= 0)
    return 0;
  return std::max(1, Slots / Options_.DirectReserveFraction_);
}

Resources Scheduler::State::capacityFor(const Resources &Capacity,
                                        bool Direct) const {
  Worker W;
  W.Info_.Capacity_ = Capacity;
  return freeOf(W).usable(Direct);
}

FreeCapacity Scheduler::State::freeOf(const Worker &W,
                                      const Resources &Released) const {
  FreeCapacity Free;
  Free.Others_ = W.Info_.Capacity_ - W.Used_ - W.Foreign_ + Released;
  Free.DirectSlots_ = Free.Others_.Slots_;
  const std::int32_t Outside = W.Info_.Capacity_.Slots_ - directReserve(W) -
                               W.OtherSlots_ + Released.Slots_;
  // Without free slots outside the reserve, work that takes no slot still
  // fits, so the amount does not go below zero for that reason alone.
  Free.Others_.Slots_ = std::min(Free.Others_.Slots_, std::max(Outside, 0));
  return Free;
}

void Scheduler::State::refresh(WorkerIndex Index) {
  Worker &W = Workers_[Index];
  if (!W.Open_) {
    All_.erase(Index);
    ByDomain_.erase(Index);
    W.Free_ = FreeCapacity{};
    return;
  }
  const FreeCapacity Before = W.Free_;
  W.Free_ = freeOf(W);
  All_.put(0, Index, W.Free_);
  ByDomain_.put(W.Domain_, Index, W.Free_);
  const bool Shrank = W.Free_.Others_.fitsIn(Before.Others_) &&
                      W.Free_.DirectSlots_ <= Before.DirectSlots_;
  if (!Shrank)
    noteGrowth(Index);
}

void Scheduler::State::noteGrowth(WorkerIndex Index) {
  Growths_.push_back(Index);
  if (Growths_.size() < MaxGrowths)
    return;
  Growths_.erase(Growths_.begin(), Growths_.begin() + MaxGrowths / 2);
  GrowthBase_ += MaxGrowths / 2;
}

void Scheduler::State::addCapacity(WorkerIndex Index) {
  Worker &W = Workers_[Index];
  CapacityClass &Class = Capacities_[capacityKey(W.Info_.Capacity_)];
  Class.Capacity_ = W.Info_.Capacity_;
  W.ClassPosition_ = Class.Workers_.size();
  Class.Workers_.push_back(Index);
  Total_ = Total_ + W.Info_.Capacity_;
  refreshShares();
}

void Scheduler::State::removeCapacity(WorkerIndex Index) {
  const Worker &W = Workers_[Index];
  const auto Found = Capacities_.find(capacityKey(W.Info_.Capacity_));
  auto &Members = Found->second.Workers_;
  Members[W.ClassPosition_] = Members.back();
  Workers_[Members.back()].ClassPosition_ = W.ClassPosition_;
  Members.pop_back();
  if (Members.empty())
    Capacities_.erase(Found);
  Total_ = Total_ - W.Info_.Capacity_;
  refreshShares();
}

void Scheduler::State::refreshShares() {
  for (TeamIndex T = 0; T < Teams_.size(); ++T)
    refreshShare(T);
}

} // namespace oleandergauge
