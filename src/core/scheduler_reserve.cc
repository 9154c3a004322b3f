#include <algorithm>

#include "scheduler_state.h"

namespace oleandergauge {

using namespace detail;

namespace {

/// Time after which a reservation is planned again with the tasks that ended
/// and started since.
constexpr Duration ReplanInterval = std::chrono::seconds(1);
/// Workers compared for a reservation; bounds the time of planning one.
constexpr std::size_t MinCandidates = 64;
/// Workers compared for each task of a gang.
constexpr std::size_t CandidatesPerTask = 2;
/// Run time assumed where none is known.
constexpr Duration UnknownRun = std::chrono::hours(1);
/// Run time assumed of services, which do not end by themselves.
constexpr Duration ServiceRun = std::chrono::hours(24 * 30);

/// When a task is expected to end. One that runs longer than expected is
/// taken to need half of its past run time more.
TimePoint expectedEnd(const Running &Task, TimePoint Now) {
  Duration Run = Task.ExpectedRun_;
  if (Run <= Duration(0))
    Run = Task.Class_ == WorkClass::Service ? ServiceRun : UnknownRun;
  const TimePoint End = Task.Since_ + Run;
  return End > Now ? End : Now + (Now - Task.Since_) / 2;
}

struct Fit {
  TimePoint At_;
  WorkerIndex Worker_ = NoWorker;
  friend bool operator<(const Fit &A, const Fit &B) { return A.At_ < B.At_; }
};

/// Tasks of a worker by their expected end.
std::vector<std::pair<TimePoint, const Running *>> endsOf(const Worker &W,
                                                          TimePoint Now) {
  std::vector<std::pair<TimePoint, const Running *>> Ends;
  Ends.reserve(W.Tasks_.size());
  for (const Running *Task : W.Tasks_)
    if (Task->Class_ != WorkClass::Direct)
      Ends.emplace_back(expectedEnd(*Task, Now), Task);
  std::sort(Ends.begin(), Ends.end(),
            [](const auto &A, const auto &B) { return A.first < B.first; });
  return Ends;
}

/// The times at which one task more of the item will fit on the worker.
void addFits(const Worker &W, WorkerIndex Index, const WorkItem &Item,
             TimePoint Now, std::vector<Fit> &Fits) {
  Resources Free = W.Free_.Others_;
  std::uint32_t Count = 0;
  const auto Take = [&](TimePoint At) {
    for (; Count < Item.Count_ && Item.Need_.fitsIn(Free); ++Count) {
      Fits.push_back({At, Index});
      Free = Free - Item.Need_;
    }
  };
  Take(Now);
  for (const auto &[End, Task] : endsOf(W, Now)) {
    if (Count == Item.Count_)
      return;
    Free = Free + Task->Taken_;
    Take(End);
  }
}

/// What will be free on a worker at \p At if nothing more starts there.
Resources freeAt(const Worker &W, TimePoint Now, TimePoint At) {
  Resources Free = W.Free_.Others_;
  for (const auto &[End, Task] : endsOf(W, Now))
    if (End <= At)
      Free = Free + Task->Taken_;
  return Free;
}

} // namespace

double Scheduler::State::sizeOf(const WorkItem &Item) const {
  const auto Part = [&Item](std::int64_t Need, std::int64_t Total) {
    return Total <= 0 ? 0.0
                      : static_cast<double>(Need) * Item.Count_ /
                            static_cast<double>(Total);
  };
  return std::max({Part(Item.Need_.CpuMilli_, Total_.CpuMilli_),
                   Part(Item.Need_.MemoryMib_, Total_.MemoryMib_),
                   Part(Item.Need_.Accelerators_, Total_.Accelerators_),
                   Part(Item.Need_.Slots_, Total_.Slots_),
                   Part(Item.Need_.Connections_, Total_.Connections_)});
}

void Scheduler::State::noteMisfit(const WaitingItem &Item, std::size_t Band) {
  // Direct calls are short and find room without a reservation.
  if (Band < UrgentBand || Reservations_[Band])
    return;
  // A team above its share would keep others from room by large items.
  if (Teams_[Item.Team_].weightedShare() > FairShare_)
    return;
  const double Size = sizeOf(Item.Work_);
  if (!LargestMisfit_ || Size > LargestMisfit_->Size_)
    LargestMisfit_ = Misfit{Item.Work_.First_, Size};
}

void Scheduler::State::checkHolder(std::size_t Band) {
  if (!Reservations_[Band])
    return;
  const WaitingItem *Holder = Waiting_.find(Reservations_[Band]->Holder_);
  if (Holder == nullptr ||
      Teams_[Holder->Team_].Headroom_ < Holder->Work_.Count_)
    dropReservation(Band);
}

bool Scheduler::State::tryHolder(std::size_t Band, Turn &T, Round &R) {
  if (T.Started_)
    return false;
  T.Started_ = true;
  if (!Reservations_[Band])
    return false;
  const WaitingItem *Holder = Waiting_.find(Reservations_[Band]->Holder_);
  return Holder != nullptr && Holder->Team_ == T.Team_ &&
         Holder->Work_.Count_ <= Teams_[T.Team_].Headroom_ &&
         tryItem(Holder->Work_, R);
}

void Scheduler::State::renewReservation(std::size_t Band, TimePoint Now) {
  std::optional<Reservation> &Held = Reservations_[Band];
  if (!Held) {
    const WaitingItem *Largest =
        LargestMisfit_ ? Waiting_.find(LargestMisfit_->First_) : nullptr;
    if (Largest == nullptr)
      return;
    Held.emplace();
    Held->Holder_ = LargestMisfit_->First_;
    plan(*Held, Largest->Work_, Now);
    return;
  }
  if (Now < Held->ReadyAt_ && Now < Held->PlannedAt_ + ReplanInterval)
    return;
  const WaitingItem *Holder = Waiting_.find(Held->Holder_);
  if (Holder == nullptr)
    dropReservation(Band);
  else
    plan(*Held, Holder->Work_, Now);
}

std::set<Scheduler::State::WorkerIndex>
Scheduler::State::candidates(const Reservation &For, const WorkItem &Item) {
  std::set<WorkerIndex> Chosen(For.Workers_.begin(), For.Workers_.end());
  const std::size_t Wanted =
      Chosen.size() + std::max(MinCandidates, CandidatesPerTask * Item.Count_);
  for (const auto &[Unused, Class] : Capacities_) {
    if (!Item.Need_.fitsIn(capacityFor(Class.Capacity_, false)))
      continue;
    const std::size_t Size = Class.Workers_.size();
    const std::size_t Start = nextRandom() % Size;
    for (std::size_t I = 0; I < Size && Chosen.size() < Wanted; ++I)
      Chosen.insert(Class.Workers_[(Start + I) % Size]);
  }
  return Chosen;
}

void Scheduler::State::plan(Reservation &For, const WorkItem &Item,
                            TimePoint Now) {
  const std::size_t Band = bandOf(Item.Class_, Item.Urgent_);
  const std::set<WorkerIndex> Candidates = candidates(For, Item);
  for (const WorkerIndex W : For.Workers_)
    Workers_[W].ReservedBand_.reset();
  For.Workers_.clear();
  std::vector<Fit> Fits;
  for (const WorkerIndex W : Candidates)
    if (Workers_[W].Open_ && !Workers_[W].ReservedBand_)
      addFits(Workers_[W], W, Item, Now, Fits);
  if (Fits.size() < Item.Count_) {
    Reservations_[Band].reset();
    return;
  }
  std::stable_sort(Fits.begin(), Fits.end());
  Fits.resize(Item.Count_);
  For.PlannedAt_ = Now;
  For.ReadyAt_ = Fits.back().At_;
  for (const Fit &F : Fits) {
    Worker &W = Workers_[F.Worker_];
    if (!W.ReservedBand_) {
      W.ReservedBand_ = Band;
      W.ReservedAt_ = For.ReadyAt_;
      W.Spare_ = freeAt(W, Now, For.ReadyAt_);
      For.Workers_.push_back(F.Worker_);
    }
    W.Spare_ = W.Spare_ - Item.Need_;
  }
}

void Scheduler::State::dropReservation(std::size_t Band) {
  if (!Reservations_[Band])
    return;
  for (const WorkerIndex W : Reservations_[Band]->Workers_)
    Workers_[W].ReservedBand_.reset();
  Reservations_[Band].reset();
}

void Scheduler::State::dropReservationOf(const TaskId &Holder) {
  for (std::size_t Band = 0; Band < BandCount; ++Band)
    if (Reservations_[Band] && Reservations_[Band]->Holder_ == Holder)
      dropReservation(Band);
}

} // namespace oleandergauge
