#include <algorithm>

#include "scheduler_state.h"

namespace oleandergauge {

using namespace detail;

namespace {

/// Time after which a reservation is planned again with the tasks that ended
/// and started since.
constexpr Duration ReplanInterval = std::chrono::seconds(1);
/// At least this many open workers for each reservation of a band.
constexpr std::size_t WorkersPerReservation = 10;
/// Workers compared for a reservation; bounds the time of planning one.
constexpr std::size_t MinCandidates = 64;
/// Workers compared for each task of a gang.
constexpr std::size_t CandidatesPerTask = 2;
/// The same where the holder should have fitted by now.
constexpr Duration OverdueInterval = std::chrono::milliseconds(100);
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

std::size_t Scheduler::State::reservationLimit() const {
  return std::clamp<std::size_t>(OpenWorkers_.size() / WorkersPerReservation, 1,
                                 ReservationsPerBand);
}

std::optional<std::size_t> Scheduler::State::reservationOf(std::size_t Band,
                                                           TeamIndex T) const {
  const std::size_t First = Band * ReservationsPerBand;
  for (std::size_t I = First; I < First + ReservationsPerBand; ++I)
    if (Reservations_[I] && Reservations_[I]->Team_ == T)
      return I;
  return std::nullopt;
}

void Scheduler::State::noteMisfit(const WaitingItem &Item, std::size_t Band) {
  // Direct calls are short and find room without a reservation.
  if (Band < UrgentBand || !FreeReservation_)
    return;
  // A team above its share would keep others from room by large items.
  if (Teams_[Item.Team_].weightedShare() > FairShare_)
    return;
  const double Size = sizeOf(Item.Work_);
  Misfit &Largest = Misfits_[Item.Team_];
  if (Size > Largest.Size_)
    Largest = Misfit{Item.Work_.First_, Size};
}

void Scheduler::State::checkHolders(std::size_t Band) {
  FreeReservation_ = false;
  const std::size_t First = Band * ReservationsPerBand;
  for (std::size_t I = First; I < First + ReservationsPerBand; ++I) {
    FreeReservation_ |= !Reservations_[I] && I < First + reservationLimit();
    if (!Reservations_[I])
      continue;
    const WaitingItem *Holder = Waiting_.find(Reservations_[I]->Holder_);
    if (Holder == nullptr ||
        Teams_[Holder->Team_].Headroom_ < Holder->Work_.Count_)
      dropReservation(I);
  }
}

bool Scheduler::State::tryHolder(std::size_t Band, Turn &T, Round &R) {
  if (T.Started_)
    return false;
  T.Started_ = true;
  const std::optional<std::size_t> Index = reservationOf(Band, T.Team_);
  if (!Index)
    return false;
  const WaitingItem *Holder = Waiting_.find(Reservations_[*Index]->Holder_);
  if (Holder == nullptr || Holder->Work_.Count_ > Teams_[T.Team_].Headroom_)
    return false;
  if (tryItem(Holder->Work_, R))
    return true;
  collectRoom(*Index, Holder->Work_, R.Now_);
  return false;
}

void Scheduler::State::collectRoom(std::size_t Index, const WorkItem &Item,
                                   TimePoint Now) {
  // The room for a single task is there at once or not at all.
  if (Item.Count_ == 1)
    return;
  Reservation &For = *Reservations_[Index];
  std::set<WorkerIndex> Grown;
  for (std::uint64_t I = std::max(For.GrowthsSeen_, GrowthBase_);
       I < GrowthBase_ + Growths_.size(); ++I) {
    const WorkerIndex W = Growths_[I - GrowthBase_];
    if (Workers_[W].Open_ && !Workers_[W].Reservation_ &&
        Workers_[W].Free_.admits(Item.Need_, false))
      Grown.insert(W);
  }
  For.GrowthsSeen_ = GrowthBase_ + Growths_.size();
  if (!Grown.empty())
    plan(Index, Item, Now, std::move(Grown), false);
}

void Scheduler::State::renewReservations(std::size_t Band, TimePoint Now) {
  const std::size_t First = Band * ReservationsPerBand;
  for (std::size_t I = First; I < First + ReservationsPerBand; ++I)
    if (Reservations_[I])
      renewReservation(I, Now);
  for (std::size_t I = First; I < First + reservationLimit(); ++I)
    if (!Reservations_[I])
      addReservation(I, Band, Now);
}

void Scheduler::State::renewReservation(std::size_t Index, TimePoint Now) {
  const Reservation &Held = *Reservations_[Index];
  const Duration Interval =
      Now < Held.ReadyAt_ ? ReplanInterval : OverdueInterval;
  if (Now < Held.PlannedAt_ + Interval)
    return;
  const WaitingItem *Holder = Waiting_.find(Held.Holder_);
  if (Holder == nullptr)
    dropReservation(Index);
  else
    plan(Index, Holder->Work_, Now, {}, true);
}

void Scheduler::State::addReservation(std::size_t Index, std::size_t Band,
                                      TimePoint Now) {
  const WaitingItem *Best = nullptr;
  for (const auto &[T, M] : Misfits_) {
    const WaitingItem *Item = Waiting_.find(M.First_);
    if (Item == nullptr || reservationOf(Band, T))
      continue;
    if (Best == nullptr ||
        Teams_[T].weightedShare() < Teams_[Best->Team_].weightedShare())
      Best = Item;
  }
  if (Best == nullptr)
    return;
  Reservations_[Index].emplace();
  Reservations_[Index]->Holder_ = Best->Work_.First_;
  Reservations_[Index]->Team_ = Best->Team_;
  plan(Index, Best->Work_, Now, {}, true);
}

void Scheduler::State::addCandidates(const WorkItem &Item,
                                     std::set<WorkerIndex> &Chosen) {
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
}

void Scheduler::State::plan(std::size_t Index, const WorkItem &Item,
                            TimePoint Now, std::set<WorkerIndex> Candidates,
                            bool Sample) {
  Reservation &For = *Reservations_[Index];
  Candidates.insert(For.Workers_.begin(), For.Workers_.end());
  if (Sample)
    addCandidates(Item, Candidates);
  for (const WorkerIndex W : For.Workers_)
    Workers_[W].Reservation_.reset();
  For.Workers_.clear();
  std::vector<Fit> Fits;
  for (const WorkerIndex W : Candidates)
    if (Workers_[W].Open_ && !Workers_[W].Reservation_)
      addFits(Workers_[W], W, Item, Now, Fits);
  if (Fits.size() < Item.Count_) {
    Reservations_[Index].reset();
    return;
  }
  std::stable_sort(Fits.begin(), Fits.end());
  Fits.resize(Item.Count_);
  For.PlannedAt_ = Now;
  For.GrowthsSeen_ = GrowthBase_ + Growths_.size();
  For.ReadyAt_ = Fits.back().At_;
  for (const Fit &F : Fits) {
    Worker &W = Workers_[F.Worker_];
    if (!W.Reservation_) {
      W.Reservation_ = Index;
      W.ReservedAt_ = For.ReadyAt_;
      W.Spare_ = freeAt(W, Now, For.ReadyAt_);
      For.Workers_.push_back(F.Worker_);
    }
    W.Spare_ = W.Spare_ - Item.Need_;
  }
}

void Scheduler::State::dropReservation(std::size_t Index) {
  if (!Reservations_[Index])
    return;
  for (const WorkerIndex W : Reservations_[Index]->Workers_)
    Workers_[W].Reservation_.reset();
  Reservations_[Index].reset();
}

void Scheduler::State::dropReservationOf(const TaskId &Holder) {
  for (std::size_t I = 0; I < Reservations_.size(); ++I)
    if (Reservations_[I] && Reservations_[I]->Holder_ == Holder)
      dropReservation(I);
}

} // namespace oleandergauge
