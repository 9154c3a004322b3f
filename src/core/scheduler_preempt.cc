#include <algorithm>

#include "scheduler_state.h"

namespace oleandergauge {

using namespace detail;

namespace {

/// Tasks of a team looked at for one urgent item.
constexpr std::size_t MaxCandidatesPerTeam = 64;
/// The same over all teams.
constexpr std::size_t MaxCandidates = 512;
/// Waiting items of a shape that are considered in one call.
constexpr std::size_t MaxItemsPerGroup = 8;
/// Items for which no victims are found in one call, divided evenly among the
/// teams with urgent work; bounds the time of the call.
constexpr std::size_t MaxFailures = 16;

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
  dropFulfilledPledges();
  for (const std::size_t Band : {UrgentDirectBand, UrgentBand}) {
    const auto &Teams = Waiting_.teams(Band);
    for (const TeamIndex T : Teams) {
      const std::size_t Failures =
          std::max<std::size_t>(MaxFailures / Teams.size(), 1);
      if (Teams_[T].Headroom_ > 0)
        preemptInLine(Waiting_.line(Band, T), Now, Failures, Chosen);
    }
  }
  return Chosen;
}

void Scheduler::State::addPledge(const TaskId &Item,
                                 std::vector<Preemption> Victims) {
  std::set<WorkerIndex> On;
  for (const Preemption &P : Victims) {
    Running &Victim = Running_.at(P.Task_);
    Victim.Victim_ = true;
    On.insert(Victim.Worker_);
  }
  for (const WorkerIndex W : On)
    ++Workers_[W].Pledges_;
  Pledges_[Item] = {std::move(Victims), {On.begin(), On.end()}};
}

void Scheduler::State::dropPledge(const TaskId &Item) {
  const auto Found = Pledges_.find(Item);
  if (Found == Pledges_.end())
    return;
  for (const WorkerIndex W : Found->second.Workers_)
    if (Workers_[W].Pledges_ > 0)
      --Workers_[W].Pledges_;
  Pledges_.erase(Found);
}

void Scheduler::State::dropFulfilledPledges() {
  std::vector<TaskId> Fulfilled;
  for (const auto &[Item, P] : Pledges_)
    if (!pending(P))
      Fulfilled.push_back(Item);
  for (const TaskId &Item : Fulfilled)
    dropPledge(Item);
}

bool Scheduler::State::pending(const Pledge &P) const {
  // A victim that was put back in line may run again already.
  return std::any_of(
      P.Victims_.begin(), P.Victims_.end(), [this](const Preemption &V) {
        const auto Victim = Running_.find(V.Task_);
        return Victim != Running_.end() && Victim->second.Victim_;
      });
}

void Scheduler::State::preemptInLine(const Line &L, TimePoint Now,
                                     std::size_t Failures,
                                     std::vector<Preemption> &Chosen) {
  for (const auto &[Unused, G] : L.Heads_) {
    if (!preemptInGroup(*G, Now, Chosen))
      --Failures;
    if (Failures == 0)
      return;
  }
}

bool Scheduler::State::preemptInGroup(const Group &G, TimePoint Now,
                                      std::vector<Preemption> &Chosen) {
  std::size_t Items = 0;
  for (const WaitingItem *I = G.First_; I != nullptr; I = I->Next_) {
    if (Chosen.size() >= Options_.MaxPreemptionsPerRound_ ||
        ++Items > MaxItemsPerGroup ||
        I->Work_.Count_ > Teams_[I->Team_].Headroom_)
      return true;
    if (Pledges_.contains(I->Work_.First_))
      continue;
    Chosen_.clear();
    if (chooseWorkers(I->Work_, Now, Chosen_))
      return true;
    std::vector<Preemption> Victims = victimsFor(I->Work_);
    if (Victims.empty())
      return false;
    Chosen.insert(Chosen.end(), Victims.begin(), Victims.end());
    addPledge(I->Work_.First_, std::move(Victims));
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

std::uint32_t Scheduler::State::fitsWithoutVictims(const WorkItem &Item) {
  const bool Direct = Item.Class_ == WorkClass::Direct;
  std::uint32_t Fits = 0;
  All_.visit(0, Item.Need_, Direct, Counters_.WorkersExamined_,
             [&](WorkerIndex W) {
               if (Workers_[W].Pledges_ == 0)
                 Fits += countFits(Item.Need_, Workers_[W].Free_.usable(Direct),
                                   Item.Count_);
               return Fits >= Item.Count_;
             });
  return Fits;
}

std::uint32_t Scheduler::State::addVictim(const WorkItem &Item,
                                          const Running &Task,
                                          Clearings &Cleared) const {
  const bool Direct = Item.Class_ == WorkClass::Direct;
  const Worker &W = Workers_[Task.Worker_];
  if (Task.Victim_ || !W.Open_ || W.Pledges_ > 0)
    return 0;
  Clearing &C = Cleared[Task.Worker_];
  C.Victims_.push_back({Task.Id_, W.Info_.Id_});
  C.Released_ = C.Released_ + Task.Taken_;
  const std::uint32_t Before = C.Gain_;
  C.Gain_ = countFits(Item.Need_, freeOf(W, C.Released_).usable(Direct),
                      Item.Count_) -
            countFits(Item.Need_, W.Free_.usable(Direct), Item.Count_);
  return C.Gain_ - Before;
}

std::vector<Preemption> Scheduler::State::victimsFor(const WorkItem &Item) {
  std::uint32_t Fits = fitsWithoutVictims(Item);
  Clearings Cleared;
  std::size_t SeenOfAll = 0;
  for (const TeamIndex T : teamsByShare()) {
    std::size_t Seen = 0;
    const auto &Tasks = Teams_[T].Preemptible_;
    for (auto It = Tasks.rbegin(); It != Tasks.rend(); ++It) {
      if (Fits >= Item.Count_ || ++Seen > MaxCandidatesPerTeam ||
          ++SeenOfAll > MaxCandidates)
        break;
      Fits += addVictim(Item, Running_.at(It->second), Cleared);
    }
  }
  std::vector<Preemption> Victims;
  if (Fits < Item.Count_)
    return Victims;
  for (const auto &[Unused, C] : Cleared)
    if (C.Gain_ > 0)
      Victims.insert(Victims.end(), C.Victims_.begin(), C.Victims_.end());
  return Victims;
}

} // namespace oleandergauge
