#include <algorithm>
#include <queue>

#include "scheduler_state.h"

namespace oleandergauge {

using namespace detail;

namespace {

/// Groups of a team that may be passed over in a round because they are known
/// not to fit, for each one that is searched for.
constexpr std::size_t KnownMisfitsForEach = 8;
/// Growths up to which a group is checked against the grown workers alone.
constexpr std::uint64_t MaxGrowthsToCheck = 64;

/// A team's turn in a band. The lowest weighted share comes first; teams with
/// equal shares go by the number of turns they had in this round.
struct Turn {
  double Share_ = 0.0;
  std::uint64_t Turns_ = 0;
  TeamIndex Team_ = 0;
  std::uint64_t Cursor_ = 0; ///< Arrival number of the group tried last.
  std::size_t Searched_ = 0;
  std::size_t Passed_ = 0;

  friend bool operator<(const Turn &A, const Turn &B) {
    return std::tie(B.Share_, B.Turns_, B.Team_) <
           std::tie(A.Share_, A.Turns_, A.Team_);
  }
};

} // namespace

void Scheduler::State::runBand(std::size_t Band, Round &R) {
  LargestMisfit_.reset();
  tryHolder(Band, R);
  std::priority_queue<Turn> Turns;
  for (const TeamIndex T : Waiting_.teams(Band))
    if (Teams_[T].Headroom_ > 0)
      Turns.push({Teams_[T].weightedShare(), 0, T,
                  Waiting_.line(Band, T).startOfRound(), 0, 0});
  if (Turns.empty())
    return;
  const std::size_t Searches =
      std::max<std::size_t>(Options_.MaxMisfitsPerBand_ / Turns.size(), 1);
  while (!Turns.empty() && R.Placed_.size() < R.Max_) {
    Turn Next = Turns.top();
    Turns.pop();
    Line &L = Waiting_.line(Band, Next.Team_);
    const auto Head = L.Heads_.upper_bound(Next.Cursor_);
    L.Resume_ = 0;
    if (Head == L.Heads_.end())
      continue;
    Next.Cursor_ = Head->first;
    Group &G = *Head->second;
    const WorkItem &Item = G.First_->Work_;
    // A gang larger than the headroom waits for it; its team's later work of
    // the band does too, or the gang would never have enough.
    if (Item.Count_ > Teams_[Next.Team_].Headroom_)
      continue;
    if (!mayFitNow(G, Item)) {
      noteMisfit(Item, Band);
      ++Next.Passed_;
    } else if (tryGroup(G, Band, R)) {
      Next.Share_ = Teams_[Next.Team_].weightedShare();
      ++Next.Turns_;
    } else {
      ++Next.Searched_;
    }
    if (Next.Searched_ >= Searches ||
        Next.Passed_ >= Searches * KnownMisfitsForEach)
      L.Resume_ = Next.Cursor_;
    else if (Teams_[Next.Team_].Headroom_ > 0)
      Turns.push(Next);
  }
  renewReservation(Band, R.Now_);
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
  const WorkItem Item = G.First_->Work_;
  if (tryItem(Item, R))
    return true;
  noteMisfit(Item, Band);
  // Room that is only reserved may become usable without growing.
  G.Misfit_ = !MetReservation_;
  G.MisfitAt_ = GrowthBase_ + Growths_.size();
  return false;
}

bool Scheduler::State::tryItem(const WorkItem &Item, Round &R) {
  std::vector<WorkerIndex> Chosen;
  if (!chooseWorkers(Item, R.Now_, Chosen))
    return false;
  place(Item, Chosen, R);
  return true;
}

void Scheduler::State::place(const WorkItem &Item,
                             const std::vector<WorkerIndex> &Chosen, Round &R) {
  Waiting_.remove(Item.First_);
  Pledges_.erase(Item.First_);
  dropReservationOf(Item.First_);
  TaskId Id = Item.First_;
  for (const WorkerIndex W : Chosen) {
    if (start(Item, Id, W, Item.Need_, R.Now_)) {
      Worker &On = Workers_[W];
      R.Placed_.push_back({Id, On.Info_.Id_, Item.Need_});
      --Teams_[internTeam(Item.Team_)].Headroom_;
      ++Counters_.Placements_;
      if (On.ReservedBand_ && (Item.ExpectedRun_ == Duration(0) ||
                               R.Now_ + Item.ExpectedRun_ > On.ReservedAt_))
        On.Spare_ = On.Spare_ - Item.Need_;
      if (On.Probe_)
        setOpen(W, false);
    }
    ++Id.Index_;
  }
}

} // namespace oleandergauge
