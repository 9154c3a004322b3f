#include "wait_queue.h"

#include <algorithm>
#include <bit>

namespace oleandergauge::detail {
namespace {

Shape shapeOf(const WorkItem &Work) {
  const auto Micros = std::max<Duration::rep>(Work.ExpectedRun_.count(), 0);
  return {Work.Class_, Work.Count_, Work.Need_,
          static_cast<int>(std::bit_width(static_cast<std::uint64_t>(Micros)))};
}

} // namespace

std::size_t bandOf(WorkClass Class, bool Urgent) {
  if (Class == WorkClass::Direct)
    return Urgent ? UrgentDirectBand : DirectBand;
  if (Urgent)
    return UrgentBand;
  return Class == WorkClass::Service ? ServiceBand : BatchBand;
}

bool WaitQueue::add(const WorkItem &Work, TeamIndex Team) {
  const auto [Found, Added] = Items_.try_emplace(Work.First_);
  if (!Added)
    return false;
  WaitingItem &Item = Found->second;
  Item.Work_ = Work;
  Item.Team_ = Team;
  Item.ArrivalNumber_ = NextArrivalNumber_++;
  const std::size_t Band = bandOf(Work.Class_, Work.Urgent_);
  if (TeamQueues_[Band].size() <= Team)
    TeamQueues_[Band].resize(Team + 1);
  append(Item, TeamQueues_[Band][Team]);
  Teams_[Band].insert(Team);
  TaskCounts_[static_cast<std::size_t>(Work.Class_)] += Work.Count_;
  return true;
}

bool WaitQueue::remove(const TaskId &First) {
  const auto Found = Items_.find(First);
  if (Found == Items_.end())
    return false;
  WaitingItem &Item = Found->second;
  const std::size_t Band = bandOf(Item.Work_.Class_, Item.Work_.Urgent_);
  TeamQueue &Queue = TeamQueues_[Band][Item.Team_];
  unlink(Item, Queue);
  if (Queue.Groups_.empty())
    Teams_[Band].erase(Item.Team_);
  TaskCounts_[static_cast<std::size_t>(Item.Work_.Class_)] -= Item.Work_.Count_;
  Items_.erase(Found);
  return true;
}

const WaitingItem *WaitQueue::find(const TaskId &First) const {
  const auto Found = Items_.find(First);
  return Found == Items_.end() ? nullptr : &Found->second;
}

void WaitQueue::append(WaitingItem &Item, TeamQueue &Queue) {
  ShapeGroup &G = Queue.Groups_[shapeOf(Item.Work_)];
  Item.Group_ = &G;
  Item.Previous_ = G.Tail_;
  if (G.Tail_ != nullptr) {
    G.Tail_->Next_ = &Item;
  } else {
    G.Head_ = &Item;
    Queue.GroupsByArrival_.emplace(Item.ArrivalNumber_, &G);
  }
  G.Tail_ = &Item;
}

void WaitQueue::unlink(WaitingItem &Item, TeamQueue &Queue) {
  ShapeGroup &G = *Item.Group_;
  if (Item.Next_ != nullptr)
    Item.Next_->Previous_ = Item.Previous_;
  else
    G.Tail_ = Item.Previous_;
  if (Item.Previous_ != nullptr) {
    Item.Previous_->Next_ = Item.Next_;
    return;
  }
  G.Head_ = Item.Next_;
  Queue.GroupsByArrival_.erase(Item.ArrivalNumber_);
  if (G.Head_ != nullptr)
    Queue.GroupsByArrival_.emplace(G.Head_->ArrivalNumber_, &G);
  else
    Queue.Groups_.erase(shapeOf(Item.Work_));
}

} // namespace oleandergauge::detail
