#include <algorithm>

#include "scheduler_state.h"

namespace oleandergauge {

using namespace detail;

namespace {

/// Maximum number of a team's tasks considered as victims for one urgent item.
constexpr std::size_t MaxVictimCandidatesPerTeam = 64;
/// Maximum number of tasks of all teams considered as victims for one urgent
/// item.
constexpr std::size_t MaxVictimCandidates = 512;
/// Maximum number of items of a group considered in one call of
/// choosePreemptions().
constexpr std::size_t MaxItemsPerGroup = 8;
/// Maximum number of groups for which no victims are found in one call. Bounds
/// the time of the call. It is divided evenly among the teams with urgent work
/// in the band, with at least one for each team.
constexpr std::size_t MaxFailedItems = 16;

std::uint32_t countFits(const Resources &Need, Resources Free,
                        std::uint32_t Max) {
  std::uint32_t Count = 0;
  for (; Count < Max && Need.fitsIn(Free); ++Count)
    Free = Free - Need;
  return Count;
}

} // namespace

std::vector<Preemption> Scheduler::State::choosePreemptions(TimePoint Now) {
  std::vector<Preemption> Chosen;
  dropFinishedPreemptions();
  for (const std::size_t Band : {UrgentDirectBand, UrgentBand}) {
    const auto &Teams = Waiting_.teams(Band);
    for (const TeamIndex T : Teams) {
      const std::size_t MaxFailures =
          std::max<std::size_t>(MaxFailedItems / Teams.size(), 1);
      if (Teams_[T].Headroom_ > 0)
        preemptForTeam(Waiting_.teamQueue(Band, T), Now, MaxFailures, Chosen);
    }
  }
  return Chosen;
}

void Scheduler::State::addPendingPreemption(const TaskId &Item,
                                            std::vector<Preemption> Victims) {
  std::set<WorkerIndex> VictimWorkers;
  for (const Preemption &P : Victims) {
    RunningTask &Victim = Running_.at(P.Task_);
    Victim.Victim_ = true;
    VictimWorkers.insert(Victim.Worker_);
  }
  for (const WorkerIndex W : VictimWorkers)
    ++Workers_[W].PendingPreemptionCount_;
  PendingPreemptions_[Item] = {std::move(Victims),
                               {VictimWorkers.begin(), VictimWorkers.end()}};
}

void Scheduler::State::dropPendingPreemption(const TaskId &Item) {
  const auto Found = PendingPreemptions_.find(Item);
  if (Found == PendingPreemptions_.end())
    return;
  for (const WorkerIndex W : Found->second.Workers_)
    if (Workers_[W].PendingPreemptionCount_ > 0)
      --Workers_[W].PendingPreemptionCount_;
  PendingPreemptions_.erase(Found);
}

void Scheduler::State::dropFinishedPreemptions() {
  std::vector<TaskId> Fulfilled;
  for (const auto &[Item, P] : PendingPreemptions_)
    if (!hasRunningVictim(P))
      Fulfilled.push_back(Item);
  for (const TaskId &Item : Fulfilled)
    dropPendingPreemption(Item);
}

bool Scheduler::State::hasRunningVictim(const PendingPreemption &P) const {
  // A victim that was put back into the queue may be running again, as a task
  // that is not marked as a victim.
  return std::any_of(
      P.Victims_.begin(), P.Victims_.end(), [this](const Preemption &V) {
        const auto Victim = Running_.find(V.Task_);
        return Victim != Running_.end() && Victim->second.Victim_;
      });
}

void Scheduler::State::preemptForTeam(const TeamQueue &Queue, TimePoint Now,
                                      std::size_t MaxFailures,
                                      std::vector<Preemption> &Chosen) {
  for (const auto &[Unused, G] : Queue.GroupsByArrival_) {
    if (!preemptForGroup(*G, Now, Chosen))
      --MaxFailures;
    if (MaxFailures == 0)
      return;
  }
}

bool Scheduler::State::preemptForGroup(const ShapeGroup &G, TimePoint Now,
                                       std::vector<Preemption> &Chosen) {
  std::size_t Items = 0;
  for (const WaitingItem *I = G.Head_; I != nullptr; I = I->Next_) {
    if (Chosen.size() >= Options_.MaxPreemptionsPerRound_ ||
        ++Items > MaxItemsPerGroup ||
        I->Work_.Count_ > Teams_[I->Team_].Headroom_)
      return true;
    if (PendingPreemptions_.contains(I->Work_.First_))
      continue;
    ChosenWorkers_.clear();
    if (chooseWorkers(I->Work_, Now, ChosenWorkers_))
      return true;
    std::vector<Preemption> Victims = chooseVictims(I->Work_);
    if (Victims.empty())
      return false;
    Chosen.insert(Chosen.end(), Victims.begin(), Victims.end());
    addPendingPreemption(I->Work_.First_, std::move(Victims));
  }
  return true;
}

std::vector<Scheduler::State::TeamIndex>
Scheduler::State::teamsByShare() const {
  std::vector<TeamIndex> Order;
  for (TeamIndex T = 0; T < Teams_.size(); ++T)
    if (!Teams_[T].Preemptible_.empty())
      Order.push_back(T);
  std::sort(Order.begin(), Order.end(), [this](TeamIndex A, TeamIndex B) {
    return Teams_[A].weightedShare() > Teams_[B].weightedShare();
  });
  return Order;
}

std::uint32_t Scheduler::State::countFitsWithoutVictims(const WorkItem &Item) {
  const bool Direct = Item.Class_ == WorkClass::Direct;
  std::uint32_t Fits = 0;
  FreeIndex_.visit(
      0, Item.Need_, Direct, Counters_.WorkersExamined_, [&](WorkerIndex W) {
        if (Workers_[W].PendingPreemptionCount_ == 0)
          Fits += countFits(Item.Need_, Workers_[W].Free_.usable(Direct),
                            Item.Count_);
        return Fits >= Item.Count_;
      });
  return Fits;
}

std::uint32_t
Scheduler::State::addVictim(const WorkItem &Item, const RunningTask &Task,
                            VictimsByWorker &VictimCandidates) const {
  const bool Direct = Item.Class_ == WorkClass::Direct;
  const Worker &W = Workers_[Task.Worker_];
  if (Task.Victim_ || !W.Open_ || W.PendingPreemptionCount_ > 0)
    return 0;
  WorkerVictims &C = VictimCandidates[Task.Worker_];
  C.Victims_.push_back({Task.Id_, W.Info_.Id_});
  C.Released_ = C.Released_ + Task.Charged_;
  const std::uint32_t Before = C.AddedFits_;
  C.AddedFits_ = countFits(Item.Need_, freeOf(W, C.Released_).usable(Direct),
                           Item.Count_) -
                 countFits(Item.Need_, W.Free_.usable(Direct), Item.Count_);
  return C.AddedFits_ - Before;
}

std::vector<Preemption> Scheduler::State::chooseVictims(const WorkItem &Item) {
  std::uint32_t Fits = countFitsWithoutVictims(Item);
  VictimsByWorker VictimCandidates;
  std::size_t SeenOfAll = 0;
  for (const TeamIndex T : teamsByShare()) {
    std::size_t Seen = 0;
    const auto &Tasks = Teams_[T].Preemptible_;
    for (auto It = Tasks.rbegin(); It != Tasks.rend(); ++It) {
      if (Fits >= Item.Count_ || ++Seen > MaxVictimCandidatesPerTeam ||
          ++SeenOfAll > MaxVictimCandidates)
        break;
      Fits += addVictim(Item, Running_.at(It->second), VictimCandidates);
    }
  }
  std::vector<Preemption> Victims;
  if (Fits < Item.Count_)
    return Victims;
  for (const auto &[Unused, C] : VictimCandidates)
    if (C.AddedFits_ > 0)
      Victims.insert(Victims.end(), C.Victims_.begin(), C.Victims_.end());
  return Victims;
}

} // namespace oleandergauge
