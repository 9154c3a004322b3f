#include <algorithm>

#include "scheduler_state.h"

namespace oleandergauge {

using namespace detail;

namespace {

/// Interval at which a reservation is planned again, to account for tasks that
/// have started and ended since.
constexpr Duration ReplanInterval = std::chrono::seconds(1);
/// Minimum number of open workers for each reservation of a band. A band may
/// have one reservation with fewer workers.
constexpr std::size_t MinWorkersPerReservation = 10;
/// Minimum size of the sample of workers compared for a reservation. A sample
/// bounds the time of planning.
constexpr std::size_t MinCandidateWorkers = 64;
/// Sample size for each task of a gang, if that is more than
/// MinCandidateWorkers.
constexpr std::size_t CandidateWorkersPerTask = 2;
/// Interval at which a reservation is planned again once the holder should have
/// fitted.
constexpr Duration OverdueReplanInterval = std::chrono::milliseconds(100);
/// Assumed run time of tasks without an estimate.
constexpr Duration DefaultRunTime = std::chrono::hours(1);
/// Assumed run time of services without an estimate, since they do not end by
/// themselves.
constexpr Duration ServiceRunTime = std::chrono::hours(24 * 30);

/// Returns when a task is expected to end. A task that has exceeded its
/// expected run time is assumed to need another half of its run time so far.
TimePoint expectedEnd(const RunningTask &Task, TimePoint Now) {
  Duration Run = Task.ExpectedRun_;
  if (Run <= Duration(0))
    Run = Task.Class_ == WorkClass::Service ? ServiceRunTime : DefaultRunTime;
  const TimePoint End = Task.StartedAt_ + Run;
  return End > Now ? End : Now + (Now - Task.StartedAt_) / 2;
}

/// A time at which one more task of an item fits on a worker.
struct FitTime {
  TimePoint At_;
  WorkerIndex Worker_ = NoWorker;
  friend bool operator<(const FitTime &A, const FitTime &B) {
    return A.At_ < B.At_;
  }
};

/// Returns the worker's tasks other than direct calls, in order of their
/// expected ends.
std::vector<std::pair<TimePoint, const RunningTask *>>
expectedEndsOf(const Worker &W, TimePoint Now) {
  std::vector<std::pair<TimePoint, const RunningTask *>> Ends;
  Ends.reserve(W.Tasks_.size());
  for (const RunningTask *Task : W.Tasks_)
    if (Task->Class_ != WorkClass::Direct)
      Ends.emplace_back(expectedEnd(*Task, Now), Task);
  std::sort(Ends.begin(), Ends.end(),
            [](const auto &A, const auto &B) { return A.first < B.first; });
  return Ends;
}

/// Adds the times at which one more task of the item is expected to fit on the
/// worker, up to the number of the item's tasks.
void addFitTimes(const Worker &W, WorkerIndex Index, const WorkItem &Item,
                 TimePoint Now, std::vector<FitTime> &Fits) {
  Resources Free = W.Free_.NonDirect_;
  std::uint32_t Count = 0;
  const auto AddFitsAt = [&](TimePoint At) {
    for (; Count < Item.Count_ && Item.Need_.fitsIn(Free); ++Count) {
      Fits.push_back({At, Index});
      Free = Free - Item.Need_;
    }
  };
  AddFitsAt(Now);
  for (const auto &[End, Task] : expectedEndsOf(W, Now)) {
    if (Count == Item.Count_)
      return;
    Free = Free + Task->Charged_;
    AddFitsAt(End);
  }
}

/// Returns the capacity expected to be free on a worker at \p At if no other
/// task starts there.
Resources freeAt(const Worker &W, TimePoint Now, TimePoint At) {
  Resources Free = W.Free_.NonDirect_;
  for (const auto &[End, Task] : expectedEndsOf(W, Now))
    if (End <= At)
      Free = Free + Task->Charged_;
  return Free;
}

} // namespace

double Scheduler::State::capacityShareOf(const WorkItem &Item) const {
  const auto Fraction = [&Item](std::int64_t Need, std::int64_t Total) {
    return Total <= 0 ? 0.0
                      : static_cast<double>(Need) * Item.Count_ /
                            static_cast<double>(Total);
  };
  return std::max(
      {Fraction(Item.Need_.CpuMilli_, TotalCapacity_.CpuMilli_),
       Fraction(Item.Need_.MemoryMib_, TotalCapacity_.MemoryMib_),
       Fraction(Item.Need_.Accelerators_, TotalCapacity_.Accelerators_),
       Fraction(Item.Need_.Slots_, TotalCapacity_.Slots_),
       Fraction(Item.Need_.Connections_, TotalCapacity_.Connections_)});
}

std::size_t Scheduler::State::reservationLimit() const {
  return std::clamp<std::size_t>(OpenWorkers_.size() / MinWorkersPerReservation,
                                 1, MaxReservationsPerBand);
}

std::optional<std::size_t> Scheduler::State::reservationOf(std::size_t Band,
                                                           TeamIndex T) const {
  const std::size_t First = Band * MaxReservationsPerBand;
  for (std::size_t I = First; I < First + MaxReservationsPerBand; ++I)
    if (Reservations_[I] && Reservations_[I]->Team_ == T)
      return I;
  return std::nullopt;
}

void Scheduler::State::recordUnplaced(const WaitingItem &Item,
                                      std::size_t Band) {
  // Direct calls are short and find free capacity without a reservation.
  if (Band < UrgentBand || !ReservationAvailable_)
    return;
  // A team above the mean share could use reservations for large items to keep
  // capacity from other teams.
  if (Teams_[Item.Team_].weightedShare() > MeanShare_)
    return;
  const double Size = capacityShareOf(Item.Work_);
  UnplacedItem &Largest = LargestUnplaced_[Item.Team_];
  if (Size > Largest.CapacityShare_)
    Largest = UnplacedItem{Item.Work_.First_, Size};
}

void Scheduler::State::dropBlockedReservations(std::size_t Band) {
  ReservationAvailable_ = false;
  const std::size_t First = Band * MaxReservationsPerBand;
  for (std::size_t I = First; I < First + MaxReservationsPerBand; ++I) {
    ReservationAvailable_ |=
        !Reservations_[I] && I < First + reservationLimit();
    if (!Reservations_[I])
      continue;
    const WaitingItem *Holder = Waiting_.find(Reservations_[I]->Holder_);
    if (Holder == nullptr ||
        Teams_[Holder->Team_].Headroom_ < Holder->Work_.Count_)
      dropReservation(I);
  }
}

bool Scheduler::State::tryPlaceHolder(std::size_t Band, TeamTurn &T,
                                      SchedulingRound &R) {
  if (T.HolderTried_)
    return false;
  T.HolderTried_ = true;
  const std::optional<std::size_t> Index = reservationOf(Band, T.Team_);
  if (!Index)
    return false;
  const WaitingItem *Holder = Waiting_.find(Reservations_[*Index]->Holder_);
  if (Holder == nullptr || Holder->Work_.Count_ > Teams_[T.Team_].Headroom_)
    return false;
  if (tryPlaceItem(Holder->Work_, R))
    return true;
  collectFreedWorkers(*Index, Holder->Work_, R.Now_);
  return false;
}

void Scheduler::State::collectFreedWorkers(std::size_t Index,
                                           const WorkItem &Item,
                                           TimePoint Now) {
  // A single task needs one worker, so there is nothing to collect over time.
  if (Item.Count_ == 1)
    return;
  Reservation &Target = *Reservations_[Index];
  std::set<WorkerIndex> FreedWorkers;
  for (std::uint64_t I = std::max(Target.IncreasesSeen_, FirstIncreaseNumber_);
       I < FirstIncreaseNumber_ + CapacityIncreases_.size(); ++I) {
    const WorkerIndex W = CapacityIncreases_[I - FirstIncreaseNumber_];
    if (Workers_[W].Open_ && !Workers_[W].Reservation_ &&
        Workers_[W].Free_.admits(Item.Need_, false))
      FreedWorkers.insert(W);
  }
  Target.IncreasesSeen_ = FirstIncreaseNumber_ + CapacityIncreases_.size();
  if (!FreedWorkers.empty())
    planReservation(Index, Item, Now, std::move(FreedWorkers), false);
}

void Scheduler::State::replanReservations(std::size_t Band, TimePoint Now) {
  const std::size_t First = Band * MaxReservationsPerBand;
  for (std::size_t I = First; I < First + MaxReservationsPerBand; ++I)
    if (Reservations_[I])
      replanReservation(I, Now);
  for (std::size_t I = First; I < First + reservationLimit(); ++I)
    if (!Reservations_[I])
      addReservation(I, Band, Now);
}

void Scheduler::State::replanReservation(std::size_t Index, TimePoint Now) {
  const Reservation &Current = *Reservations_[Index];
  const Duration Interval =
      Now < Current.ReadyAt_ ? ReplanInterval : OverdueReplanInterval;
  if (Now < Current.PlannedAt_ + Interval)
    return;
  const WaitingItem *Holder = Waiting_.find(Current.Holder_);
  if (Holder == nullptr)
    dropReservation(Index);
  else
    planReservation(Index, Holder->Work_, Now, {}, true);
}

void Scheduler::State::addReservation(std::size_t Index, std::size_t Band,
                                      TimePoint Now) {
  const WaitingItem *Best = nullptr;
  for (const auto &[T, M] : LargestUnplaced_) {
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
  planReservation(Index, Best->Work_, Now, {}, true);
}

void Scheduler::State::addCandidateWorkers(const WorkItem &Item,
                                           std::set<WorkerIndex> &Chosen) {
  const std::size_t Wanted =
      Chosen.size() +
      std::max(MinCandidateWorkers, CandidateWorkersPerTask * Item.Count_);
  for (const auto &[Unused, Class] : CapacityClasses_) {
    if (!Item.Need_.fitsIn(capacityFor(Class.Capacity_, false)))
      continue;
    const std::size_t Size = Class.Workers_.size();
    const std::size_t Start = nextRandom() % Size;
    for (std::size_t I = 0; I < Size && Chosen.size() < Wanted; ++I)
      Chosen.insert(Class.Workers_[(Start + I) % Size]);
  }
}

void Scheduler::State::planReservation(std::size_t Index, const WorkItem &Item,
                                       TimePoint Now,
                                       std::set<WorkerIndex> Candidates,
                                       bool Sample) {
  Reservation &Target = *Reservations_[Index];
  Candidates.insert(Target.Workers_.begin(), Target.Workers_.end());
  if (Sample)
    addCandidateWorkers(Item, Candidates);
  for (const WorkerIndex W : Target.Workers_)
    Workers_[W].Reservation_.reset();
  Target.Workers_.clear();
  std::vector<FitTime> Fits;
  for (const WorkerIndex W : Candidates)
    if (Workers_[W].Open_ && !Workers_[W].Reservation_)
      addFitTimes(Workers_[W], W, Item, Now, Fits);
  if (Fits.size() < Item.Count_) {
    Reservations_[Index].reset();
    return;
  }
  std::stable_sort(Fits.begin(), Fits.end());
  Fits.resize(Item.Count_);
  Target.PlannedAt_ = Now;
  Target.IncreasesSeen_ = FirstIncreaseNumber_ + CapacityIncreases_.size();
  Target.ReadyAt_ = Fits.back().At_;
  for (const FitTime &F : Fits) {
    Worker &W = Workers_[F.Worker_];
    if (!W.Reservation_) {
      W.Reservation_ = Index;
      W.ReservationReadyAt_ = Target.ReadyAt_;
      W.SpareResources_ = freeAt(W, Now, Target.ReadyAt_);
      Target.Workers_.push_back(F.Worker_);
    }
    W.SpareResources_ = W.SpareResources_ - Item.Need_;
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
