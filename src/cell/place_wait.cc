#include "cell/place_wait.h"

#include <algorithm>
#include <limits>

namespace oleandergauge::cell {
namespace {

/// Margin before the latest start elsewhere. It covers the time between two
/// examinations of a step, unless the owner is busy.
constexpr Millis DecisionMargin = 60;
/// Returned where a place gains no room at all. It exceeds every limit, and
/// sums of it do not overflow.
constexpr Millis LongestWait = std::numeric_limits<Millis>::max() / 4;

/// Returns whether work that takes \p Duration ends within \p Left if it starts
/// now, but not if it starts after the next decision.
bool isLastMoment(Millis Duration, Millis Left) {
  return Duration <= Left && Duration + DecisionMargin > Left;
}

} // namespace

Millis lossElsewhere(const PlaceWait &Work) {
  return static_cast<Millis>((Work.RemoteFactor_ - 1) *
                             static_cast<double>(Work.Duration_));
}

PlaceChoice choosePlace(const PlaceWait &Work) {
  const Millis Loss = lossElsewhere(Work);
  // What is not known is taken as short; the limit on the time waited bounds
  // the cost.
  if (Work.Waited_ >= Loss || Work.ExpectedWait_.value_or(0) >= Loss)
    return PlaceChoice::GoElsewhere;
  const Millis Elsewhere = Work.Duration_ + Loss;
  if (isLastMoment(Elsewhere, Work.LeftToObjective_) ||
      isLastMoment(Elsewhere, Work.LeftToWorthless_))
    return PlaceChoice::GoElsewhere;
  return PlaceChoice::Wait;
}

std::int64_t tasksIn(const Resources &Room, const Resources &Need) {
  std::int64_t Out = NoTaskLimit;
  const auto Limit = [&Out](std::int64_t Free, std::int64_t Each) {
    if (Each > 0)
      Out = std::min(Out, std::max<std::int64_t>(0, Free) / Each);
  };
  Limit(Room.CpuMilli_, Need.CpuMilli_);
  Limit(Room.MemoryMib_, Need.MemoryMib_);
  Limit(Room.Accelerators_, Need.Accelerators_);
  return Out;
}

void FreedRoomHistory::recordFreed(const std::string &Place, Millis Now,
                                   const Resources &Before,
                                   const Resources &After) {
  auto It = Places_.find(Place);
  if (It == Places_.end()) {
    if (Places_.size() >= MaxPlaces)
      dropOldestPlace();
    It = Places_.emplace(Place, std::deque<Sample>()).first;
  }
  std::deque<Sample> &Samples = It->second;
  if (Samples.size() >= MaxSamples)
    Samples.pop_front();
  Samples.push_back({Now, Before, After});
}

void FreedRoomHistory::dropOldestPlace() {
  Places_.erase(std::min_element(
      Places_.begin(), Places_.end(), [](const auto &A, const auto &B) {
        return A.second.back().At_ < B.second.back().At_;
      }));
}

std::optional<Millis>
FreedRoomHistory::expectedWait(const std::string &Place, Millis Now,
                               const Resources &Need,
                               std::uint32_t Count) const {
  const auto It = Places_.find(Place);
  if (It == Places_.end())
    return std::nullopt;
  std::size_t Used = 0;
  Millis Oldest = Now;
  std::int64_t Gained = 0;
  for (const Sample &Each : It->second) {
    if (Now - Each.At_ > MaxAge)
      continue;
    // The oldest sample only begins the time over which room is counted.
    if (Used++ == 0)
      Oldest = Each.At_;
    else
      Gained += tasksIn(Each.After_, Need) - tasksIn(Each.Before_, Need);
  }
  if (Used < MinSamples || Oldest >= Now)
    return std::nullopt;
  if (Gained <= 0)
    return LongestWait;
  return static_cast<Millis>(static_cast<double>(Now - Oldest) *
                             static_cast<double>(Count) /
                             static_cast<double>(Gained));
}

} // namespace oleandergauge::cell
