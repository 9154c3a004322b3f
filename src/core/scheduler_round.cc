#include <algorithm>

#include "scheduler_state.h"

namespace oleandergauge {

using namespace detail;

namespace {

/// Number of groups known not to fit that a team may skip in a round, for each
/// search that it may use.
constexpr std::size_t MaxSkippedGroupsPerSearch = 8;
/// Maximum number of capacity increases for which a group is checked against
/// the workers concerned only. With more increases, a search runs.
constexpr std::uint64_t MaxIncreasesToCheck = 64;

/// Orders the heap of teams: the lowest weighted share is served first, and
/// teams with equal shares are ordered by the number of items placed in this
/// round.
bool hasLowerPriority(const TeamTurn &A, const TeamTurn &B) {
  return std::tie(B.Share_, B.Placed_, B.Team_) <
         std::tie(A.Share_, A.Placed_, A.Team_);
}

} // namespace

void Scheduler::State::placeBand(std::size_t Band, SchedulingRound &R) {
  LargestUnplaced_.clear();
  dropBlockedReservations(Band);
  std::vector<TeamTurn> Turns;
  for (const TeamIndex T : Waiting_.teams(Band))
    if (Teams_[T].Headroom_ > 0)
      Turns.push_back({Teams_[T].weightedShare(), 0, T,
                       Waiting_.teamQueue(Band, T).startCursor()});
  MeanShare_ = 0.0;
  for (const TeamTurn &T : Turns)
    MeanShare_ += T.Share_ / static_cast<double>(Turns.size());
  std::make_heap(Turns.begin(), Turns.end(), hasLowerPriority);
  const std::size_t Searches = std::max<std::size_t>(
      Options_.MaxFailedShapesPerBand_ / std::max<std::size_t>(Turns.size(), 1),
      1);
  while (!Turns.empty() && R.Placed_.size() < R.MaxPlacements_) {
    std::pop_heap(Turns.begin(), Turns.end(), hasLowerPriority);
    TeamTurn &Next = Turns.back();
    if (placeNextItem(Band, Searches, Next, R)) {
      Next.Share_ = Teams_[Next.Team_].weightedShare();
      ++Next.Placed_;
      std::push_heap(Turns.begin(), Turns.end(), hasLowerPriority);
    } else {
      Turns.pop_back();
    }
  }
  replanReservations(Band, R.Now_);
}

bool Scheduler::State::placeNextItem(std::size_t Band, std::size_t Searches,
                                     TeamTurn &T, SchedulingRound &R) {
  if (tryPlaceHolder(Band, T, R))
    return true;
  TeamQueue &Queue = Waiting_.teamQueue(Band, T.Team_);
  Queue.ResumeAfter_ = 0;
  auto Head = Queue.GroupsByArrival_.upper_bound(T.Cursor_);
  for (; Head != Queue.GroupsByArrival_.end(); ++Head) {
    T.Cursor_ = Head->first;
    ShapeGroup &G = *Head->second;
    const WorkItem &Item = G.Head_->Work_;
    // A gang larger than the headroom waits until the headroom suffices. Later
    // work of its team in the band waits too, since it would use up the
    // headroom and the gang would never start.
    if (Item.Count_ > Teams_[T.Team_].Headroom_)
      return false;
    if (!mayFitNow(G, Item)) {
      recordUnplaced(*G.Head_, Band);
      ++T.SkippedGroups_;
    } else if (tryPlaceGroup(G, Band, R)) {
      return true;
    } else {
      ++T.FailedSearches_;
    }
    if (T.FailedSearches_ >= Searches ||
        T.SkippedGroups_ >= Searches * MaxSkippedGroupsPerSearch) {
      Queue.ResumeAfter_ = T.Cursor_;
      return false;
    }
  }
  return false;
}

bool Scheduler::State::mayFitNow(ShapeGroup &G, const WorkItem &Item) const {
  if (!G.FailedToFit_ || G.FailedAtIncrease_ < FirstIncreaseNumber_)
    return true;
  const std::uint64_t End = FirstIncreaseNumber_ + CapacityIncreases_.size();
  if (End - G.FailedAtIncrease_ > MaxIncreasesToCheck)
    return true;
  const bool Direct = Item.Class_ == WorkClass::Direct;
  for (std::uint64_t I = G.FailedAtIncrease_; I < End; ++I) {
    const Worker &W = Workers_[CapacityIncreases_[I - FirstIncreaseNumber_]];
    if (W.Open_ && W.Free_.admits(Item.Need_, Direct))
      return true;
  }
  G.FailedAtIncrease_ = End;
  return false;
}

bool Scheduler::State::tryPlaceGroup(ShapeGroup &G, std::size_t Band,
                                     SchedulingRound &R) {
  if (tryPlaceItem(G.Head_->Work_, R))
    return true;
  recordUnplaced(*G.Head_, Band);
  // Reserved capacity may become usable without an increase of free capacity.
  G.FailedToFit_ = !BlockedByReservation_;
  G.FailedAtIncrease_ = FirstIncreaseNumber_ + CapacityIncreases_.size();
  return false;
}

bool Scheduler::State::tryPlaceItem(const WorkItem &Item, SchedulingRound &R) {
  ChosenWorkers_.clear();
  if (!chooseWorkers(Item, R.Now_, ChosenWorkers_))
    return false;
  placeItem(Item, ChosenWorkers_, R);
  return true;
}

void Scheduler::State::placeItem(const WorkItem &Waiting,
                                 const std::vector<WorkerIndex> &Chosen,
                                 SchedulingRound &R) {
  const WorkItem Item = Waiting; // Waiting refers to the entry that is removed.
  Waiting_.remove(Item.First_);
  dropPendingPreemption(Item.First_);
  dropReservationOf(Item.First_);
  TaskId Id = Item.First_;
  for (const WorkerIndex W : Chosen) {
    if (startTask(Item, Id, W, Item.Need_, R.Now_)) {
      Worker &Target = Workers_[W];
      R.Placed_.push_back({Id, Target.Info_.Id_, Item.Need_});
      --Teams_[internTeam(Item.Team_)].Headroom_;
      ++Counters_.Placements_;
      if (Target.Reservation_ &&
          (Item.ExpectedRun_ == Duration(0) ||
           R.Now_ + Item.ExpectedRun_ > Target.ReservationReadyAt_))
        Target.SpareResources_ = Target.SpareResources_ - Item.Need_;
      if (Target.Probe_)
        setOpen(W, false);
    }
    ++Id.Index_;
  }
}

} // namespace oleandergauge
