#include <algorithm>

#include "scheduler_state.h"

namespace oleandergauge {

using namespace detail;

namespace {

/// Number of workers drawn at random for a direct call. The call goes to the
/// one with the most free connections among those on which it fits.
constexpr std::size_t DirectSampleSize = 4;
/// Usable amounts of a worker that may not receive an item. Negative, so that
/// even an item without resource needs does not fit.
constexpr Resources NoUsableResources{-1, -1, -1, -1, -1};
/// Maximum number of workers of a failure domain compared by the replicas in
/// their racks when a service replica is placed.
constexpr std::size_t MaxRackCandidates = 16;

Resources componentMin(const Resources &A, const Resources &B) {
  return {
      std::min(A.CpuMilli_, B.CpuMilli_), std::min(A.MemoryMib_, B.MemoryMib_),
      std::min(A.Accelerators_, B.Accelerators_), std::min(A.Slots_, B.Slots_),
      std::min(A.Connections_, B.Connections_)};
}

std::uint32_t
countAt(const std::unordered_map<std::size_t, std::uint32_t> &Counts,
        std::size_t Location) {
  const auto Found = Counts.find(Location);
  return Found == Counts.end() ? 0 : Found->second;
}

} // namespace

std::uint64_t Scheduler::State::nextRandom() {
  RandomState_ ^= RandomState_ << 13U;
  RandomState_ ^= RandomState_ >> 7U;
  RandomState_ ^= RandomState_ << 17U;
  return RandomState_;
}

bool Scheduler::State::chooseWorkers(const WorkItem &Item, TimePoint Now,
                                     std::vector<WorkerIndex> &Chosen) {
  ++Counters_.Decisions_;
  BlockedByReservation_ = false;
  if (Item.Count_ > 1 ||
      (Item.Class_ != WorkClass::Direct && Item.Class_ != WorkClass::Service))
    return choosePackedWorkers(Item, Now, Chosen);
  const WorkerIndex W = Item.Class_ == WorkClass::Direct
                            ? chooseDirectWorker(Item)
                            : chooseSpreadWorker(Item, Now);
  if (W == NoWorker)
    return false;
  Chosen.push_back(W);
  return true;
}

Scheduler::State::WorkerIndex
Scheduler::State::chooseDirectWorker(const WorkItem &Item) {
  WorkerIndex Best = NoWorker;
  const std::size_t Draws = std::min(DirectSampleSize, OpenWorkers_.size());
  for (std::size_t I = 0; I < Draws; ++I) {
    const WorkerIndex W = OpenWorkers_[nextRandom() % OpenWorkers_.size()];
    ++Counters_.WorkersExamined_;
    const FreeCapacity &Free = Workers_[W].Free_;
    if (!Free.admits(Item.Need_, true))
      continue;
    if (Best == NoWorker || Workers_[Best].Free_.NonDirect_.Connections_ <
                                Free.NonDirect_.Connections_)
      Best = W;
  }
  if (Best != NoWorker)
    return Best;
  FreeIndex_.visit(0, Item.Need_, true, Counters_.WorkersExamined_,
                   [&Best](WorkerIndex W) {
                     Best = W;
                     return true;
                   });
  return Best;
}

Scheduler::State::WorkerIndex
Scheduler::State::chooseSpreadWorker(const WorkItem &Item, TimePoint Now) {
  const auto Found = ReplicaCounts_.find(Item.First_.Job_);
  const ReplicaCounts *Replicas =
      Found == ReplicaCounts_.end() ? nullptr : &Found->second;
  std::vector<std::pair<std::uint32_t, std::size_t>> Domains;
  const std::size_t Count = DomainNumbers_.size();
  const std::size_t Start = Count == 0 ? 0 : nextRandom() % Count;
  for (std::size_t I = 0; I < Count; ++I) {
    const std::size_t Domain = (Start + I) % Count;
    Domains.emplace_back(
        Replicas == nullptr ? 0 : countAt(Replicas->Domains_, Domain), Domain);
  }
  std::stable_sort(
      Domains.begin(), Domains.end(),
      [](const auto &A, const auto &B) { return A.first < B.first; });
  for (const auto &[Unused, Domain] : Domains) {
    const WorkerIndex W = chooseWorkerInDomain(Item, Domain, Replicas, Now);
    if (W != NoWorker)
      return W;
  }
  return NoWorker;
}

Scheduler::State::WorkerIndex
Scheduler::State::chooseWorkerInDomain(const WorkItem &Item, std::size_t Domain,
                                       const ReplicaCounts *Replicas,
                                       TimePoint Now) {
  WorkerIndex Best = NoWorker;
  std::uint32_t BestCount = 0;
  std::size_t Seen = 0;
  const auto Compare = [&](WorkerIndex W) {
    if (!Item.Need_.fitsIn(usableFor(Item, Workers_[W], Now)))
      return false;
    const std::uint32_t Count =
        Replicas == nullptr ? 0 : countAt(Replicas->Racks_, Workers_[W].Rack_);
    if (Best == NoWorker || Count < BestCount) {
      Best = W;
      BestCount = Count;
    }
    return BestCount == 0 || ++Seen >= MaxRackCandidates;
  };
  FreeIndexByDomain_.visit(Domain, Item.Need_, false,
                           Counters_.WorkersExamined_, Compare);
  return Best;
}

bool Scheduler::State::choosePackedWorkers(const WorkItem &Item, TimePoint Now,
                                           std::vector<WorkerIndex> &Chosen) {
  const auto Fill = [&](WorkerIndex W) {
    if (Workers_[W].Probe_ && Item.Count_ > 1)
      return false;
    Resources Left = usableFor(Item, Workers_[W], Now);
    while (Chosen.size() < Item.Count_ && Item.Need_.fitsIn(Left)) {
      Chosen.push_back(W);
      Left = Left - Item.Need_;
    }
    return Chosen.size() == Item.Count_;
  };
  return FreeIndex_.visit(0, Item.Need_, Item.Class_ == WorkClass::Direct,
                          Counters_.WorkersExamined_, Fill);
}

Resources Scheduler::State::usableFor(const WorkItem &Item, const Worker &W,
                                      TimePoint Now) {
  const Resources Free = W.Free_.usable(Item.Class_ == WorkClass::Direct);
  const std::size_t Band = bandOf(Item.Class_, Item.Urgent_);
  if (W.PendingPreemptionCount_ > 0 && Band > UrgentBand) {
    BlockedByReservation_ = true;
    return NoUsableResources;
  }
  // Reservations for urgent work restrict lower bands only, since preemption
  // frees capacity for each urgent item.
  if (!W.Reservation_ || Band <= UrgentBand ||
      Band < *W.Reservation_ / MaxReservationsPerBand ||
      Reservations_[*W.Reservation_]->Holder_ == Item.First_)
    return Free;
  if (Item.ExpectedRun_ > Duration(0) &&
      Now + Item.ExpectedRun_ <= W.ReservationReadyAt_)
    return Free;
  BlockedByReservation_ = true;
  return componentMin(Free, W.SpareResources_);
}

} // namespace oleandergauge
