#include <algorithm>

#include "scheduler_state.h"

namespace oleandergauge {

using namespace detail;

namespace {

/// Groups of a team that may be passed over in a round because they are known
/// not to fit, for each one that is searched for.
constexpr std::size_t KnownMisfitsForEach = 8;
/// Growths up to which a group is checked against the grown workers alone.
constexpr std::uint64_t MaxGrowthsToCheck = 64;

/// The lowest weighted share comes first; teams with equal shares go by the
/// number of items placed in this round.
bool comesLater(const Turn &A, const Turn &B) {
  return std::tie(B.Share_, B.Placed_, B.Team_) <
         std::tie(A.Share_, A.Placed_, A.Team_);
}

} // namespace

void Scheduler::State::runBand(std::size_t Band, Round &R) {
  Misfits_.clear();
  checkHolders(Band);
  std::vector<Turn> Turns;
  for (const TeamIndex T : Waiting_.teams(Band))
    if (Teams_[T].Headroom_ > 0)
      Turns.push_back({Teams_[T].weightedShare(), 0, T,
                       Waiting_.line(Band, T).startOfRound()});
  FairShare_ = 0.0;
  for (const Turn &T : Turns)
    FairShare_ += T.Share_ / static_cast<double>(Turns.size());
  std::make_heap(Turns.begin(), Turns.end(), comesLater);
  const std::size_t Searches = std::max<std::size_t>(
      Options_.MaxMisfitsPerBand_ / std::max<std::size_t>(Turns.size(), 1), 1);
  while (!Turns.empty() && R.Placed_.size() < R.Max_) {
    std::pop_heap(Turns.begin(), Turns.end(), comesLater);
    Turn &Next = Turns.back();
    if (serveTeam(Band, Searches, Next, R)) {
      Next.Share_ = Teams_[Next.Team_].weightedShare();
      ++Next.Placed_;
      std::push_heap(Turns.begin(), Turns.end(), comesLater);
    } else {
      Turns.pop_back();
    }
  }
  renewReservations(Band, R.Now_);
}

bool Scheduler::State::serveTeam(std::size_t Band, std::size_t Searches,
                                 Turn &T, Round &R) {
  if (tryHolder(Band, T, R))
    return true;
  Line &L = Waiting_.line(Band, T.Team_);
  L.Resume_ = 0;
  auto Head = L.Heads_.upper_bound(T.Cursor_);
  for (; Head != L.Heads_.end(); ++Head) {
    T.Cursor_ = Head->first;
    Group &G = *Head->second;
    const WorkItem &Item = G.First_->Work_;
    // A gang larger than the headroom waits for it; its team's later work of
    // the band does too, or the gang would never have enough.
    if (Item.Count_ > Teams_[T.Team_].Headroom_)
      return false;
    if (!mayFitNow(G, Item)) {
      noteMisfit(*G.First_, Band);
      ++T.Passed_;
    } else if (tryGroup(G, Band, R)) {
      return true;
    } else {
      ++T.Searched_;
    }
    if (T.Searched_ >= Searches ||
        T.Passed_ >= Searches * KnownMisfitsForEach) {
      L.Resume_ = T.Cursor_;
      return false;
    }
  }
  return false;
}

bool Scheduler::State::mayFitNow(Group &G, const WorkItem &Item) const {
  if (!G.Misfit_ || G.MisfitAt_ < GrowthBase_)
    return true;
  const std::uint64_t End = GrowthBase_ + Growths_.size();
  if (End - G.MisfitAt_ > MaxGrowthsToCheck)
    return true;
  const bool Direct = Item.Class_ == WorkClass::Direct;
  for (std::uint64_t I = G.MisfitAt_; I < End; ++I) {
    const Worker &W = Workers_[Growths_[I - GrowthBase_]];
    if (W.Open_ && W.Free_.admits(Item.Need_, Direct))
      return true;
  }
  G.MisfitAt_ = End;
  return false;
}

bool Scheduler::State::tryGroup(Group &G, std::size_t Band, Round &R) {
  if (tryItem(G.First_->Work_, R))
    return true;
  noteMisfit(*G.First_, Band);
  // Room that is only reserved may become usable without growing.
  G.Misfit_ = !MetReservation_;
  G.MisfitAt_ = GrowthBase_ + Growths_.size();
  return false;
}

bool Scheduler::State::tryItem(const WorkItem &Item, Round &R) {
  Chosen_.clear();
  if (!chooseWorkers(Item, R.Now_, Chosen_))
    return false;
  place(Item, Chosen_, R);
  return true;
}

void Scheduler::State::place(const WorkItem &Waiting,
                             const std::vector<WorkerIndex> &Chosen, Round &R) {
  const WorkItem Item = Waiting; // The queue's own copy is removed.
  Waiting_.remove(Item.First_);
  dropPledge(Item.First_);
  dropReservationOf(Item.First_);
  TaskId Id = Item.First_;
  for (const WorkerIndex W : Chosen) {
    if (start(Item, Id, W, Item.Need_, R.Now_)) {
      Worker &On = Workers_[W];
      R.Placed_.push_back({Id, On.Info_.Id_, Item.Need_});
      --Teams_[internTeam(Item.Team_)].Headroom_;
      ++Counters_.Placements_;
      if (On.Reservation_ && (Item.ExpectedRun_ == Duration(0) ||
                              R.Now_ + Item.ExpectedRun_ > On.ReservedAt_))
        On.Spare_ = On.Spare_ - Item.Need_;
      if (On.Probe_)
        setOpen(W, false);
    }
    ++Id.Index_;
  }
}

} // namespace oleandergauge
