#include <algorithm>

#include "scheduler_state.h"

namespace oleandergauge {

using namespace detail;

namespace {

/// Length at which the older half of the log of capacity increases is dropped.
constexpr std::size_t MaxCapacityIncreases = 8192;

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
  const auto [Found, Added] = WorkerIndices_.try_emplace(Id, NoWorker);
  if (!Added)
    return Found->second;
  if (FreeWorkerIndices_.empty()) {
    FreeWorkerIndices_.push_back(static_cast<WorkerIndex>(Workers_.size()));
    Workers_.emplace_back();
  }
  const WorkerIndex W = FreeWorkerIndices_.back();
  FreeWorkerIndices_.pop_back();
  Found->second = W;
  Workers_[W] = Worker{};
  Workers_[W].Info_.Id_ = Id;
  return W;
}

Scheduler::State::WorkerIndex
Scheduler::State::findWorker(const WorkerId &Id) const {
  const auto Found = WorkerIndices_.find(Id);
  return Found == WorkerIndices_.end() ? NoWorker : Found->second;
}

void Scheduler::State::upsertWorker(const WorkerInfo &Info) {
  const WorkerIndex Index = internWorker(Info.Id_);
  Worker &W = Workers_[Index];
  const bool IsNew = !W.Listed_ || W.Removed_;
  if (!IsNew)
    removeCapacity(Index);
  setLocation(W, Info);
  W.Info_ = Info;
  addCapacity(Index);
  W.Listed_ = true;
  W.Removed_ = false;
  if (IsNew)
    setOpen(Index, true);
  else
    updateFreeCapacity(Index);
}

void Scheduler::State::setLocation(Worker &W, const WorkerInfo &Info) {
  for (const RunningTask *Task : W.Tasks_)
    if (Task->Class_ == WorkClass::Service)
      updateReplicaCounts(*Task, false);
  W.Domain_ = intern(DomainNumbers_, Info.Domain_);
  W.Rack_ = intern(RackNumbers_, Info.Rack_);
  for (const RunningTask *Task : W.Tasks_)
    if (Task->Class_ == WorkClass::Service)
      updateReplicaCounts(*Task, true);
}

void Scheduler::State::removeWorker(WorkerIndex Index) {
  Worker &W = Workers_[Index];
  if (!W.Listed_ || W.Removed_)
    return;
  removeCapacity(Index);
  W.Removed_ = true;
  setOpen(Index, false);
  eraseWorkerIfIdle(Index);
}

void Scheduler::State::setOpen(WorkerIndex Index, bool Open) {
  Worker &W = Workers_[Index];
  // A worker that is open for a probe receives no gang tasks, so leaving that
  // state counts as an increase of its capacity.
  if (Open && W.Probe_)
    recordCapacityIncrease(Index);
  W.Probe_ = false;
  if (Open && (!W.Listed_ || W.Removed_))
    return;
  if (Open && !W.Open_) {
    W.OpenPosition_ = OpenWorkers_.size();
    OpenWorkers_.push_back(Index);
    recordCapacityIncrease(Index);
  }
  if (!Open && W.Open_) {
    OpenWorkers_[W.OpenPosition_] = OpenWorkers_.back();
    Workers_[OpenWorkers_.back()].OpenPosition_ = W.OpenPosition_;
    OpenWorkers_.pop_back();
    if (W.Reservation_)
      dropReservation(*W.Reservation_);
  }
  W.Open_ = Open;
  updateFreeCapacity(Index);
}

void Scheduler::State::eraseWorkerIfIdle(WorkerIndex Index) {
  Worker &W = Workers_[Index];
  if (!W.Tasks_.empty() || (W.Listed_ && !W.Removed_))
    return;
  for (auto &[Unused, P] : PendingPreemptions_)
    std::erase(P.Workers_, Index);
  WorkerIndices_.erase(W.Info_.Id_);
  W = Worker{};
  FreeWorkerIndices_.push_back(Index);
}

std::int32_t Scheduler::State::directReservedSlots(const Worker &W) const {
  const std::int32_t Slots = W.Info_.Capacity_.Slots_;
  if (Slots < 2 || Options_.DirectReserveDivisor_ <= 0)
    return 0;
  return std::max(1, Slots / Options_.DirectReserveDivisor_);
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
  Free.NonDirect_ = W.Info_.Capacity_ - W.Used_ - W.ForeignUsage_ + Released;
  Free.DirectSlots_ = Free.NonDirect_.Slots_;
  const std::int32_t UnreservedSlots = W.Info_.Capacity_.Slots_ -
                                       directReservedSlots(W) -
                                       W.NonDirectSlots_ + Released.Slots_;
  // Work that needs no slot fits even if only reserved slots are free. A
  // negative amount would rule it out, so the reserve alone does not lower the
  // amount below zero.
  Free.NonDirect_.Slots_ =
      std::min(Free.NonDirect_.Slots_, std::max(UnreservedSlots, 0));
  return Free;
}

void Scheduler::State::updateFreeCapacity(WorkerIndex Index) {
  Worker &W = Workers_[Index];
  if (!W.Open_) {
    FreeIndex_.erase(Index);
    FreeIndexByDomain_.erase(Index);
    W.Free_ = FreeCapacity{};
    return;
  }
  const FreeCapacity Previous = W.Free_;
  W.Free_ = freeOf(W);
  FreeIndex_.insertOrMove(0, Index, W.Free_);
  FreeIndexByDomain_.insertOrMove(W.Domain_, Index, W.Free_);
  const bool Shrank = W.Free_.NonDirect_.fitsIn(Previous.NonDirect_) &&
                      W.Free_.DirectSlots_ <= Previous.DirectSlots_;
  if (!Shrank)
    recordCapacityIncrease(Index);
}

void Scheduler::State::recordCapacityIncrease(WorkerIndex Index) {
  CapacityIncreases_.push_back(Index);
  if (CapacityIncreases_.size() < MaxCapacityIncreases)
    return;
  CapacityIncreases_.erase(CapacityIncreases_.begin(),
                           CapacityIncreases_.begin() +
                               MaxCapacityIncreases / 2);
  FirstIncreaseNumber_ += MaxCapacityIncreases / 2;
}

void Scheduler::State::addCapacity(WorkerIndex Index) {
  Worker &W = Workers_[Index];
  CapacityClass &Class = CapacityClasses_[capacityKey(W.Info_.Capacity_)];
  Class.Capacity_ = W.Info_.Capacity_;
  W.ClassPosition_ = Class.Workers_.size();
  Class.Workers_.push_back(Index);
  TotalCapacity_ = TotalCapacity_ + W.Info_.Capacity_;
  updateShares();
}

void Scheduler::State::removeCapacity(WorkerIndex Index) {
  const Worker &W = Workers_[Index];
  const auto Found = CapacityClasses_.find(capacityKey(W.Info_.Capacity_));
  auto &Members = Found->second.Workers_;
  Members[W.ClassPosition_] = Members.back();
  Workers_[Members.back()].ClassPosition_ = W.ClassPosition_;
  Members.pop_back();
  if (Members.empty())
    CapacityClasses_.erase(Found);
  TotalCapacity_ = TotalCapacity_ - W.Info_.Capacity_;
  updateShares();
}

void Scheduler::State::updateShares() {
  for (TeamIndex T = 0; T < Teams_.size(); ++T)
    updateShare(T);
}

} // namespace oleandergauge
