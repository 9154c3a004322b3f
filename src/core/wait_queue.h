#ifndef OLEANDERGAUGE_CORE_WAIT_QUEUE_H
#define OLEANDERGAUGE_CORE_WAIT_QUEUE_H

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "oleandergauge/scheduler.h"

namespace oleandergauge::detail {

using TeamIndex = std::uint32_t;

/// Priority bands. Lower numbers are served first.
inline constexpr std::size_t UrgentDirectBand = 0;
inline constexpr std::size_t DirectBand = 1;
/// Number of bands of direct work, which come first.
inline constexpr std::size_t DirectBandCount = 2;
inline constexpr std::size_t UrgentBand = 2;
inline constexpr std::size_t ServiceBand = 3;
inline constexpr std::size_t BatchBand = 4;
inline constexpr std::size_t BandCount = 5;

std::size_t bandOf(WorkClass Class, bool Urgent);

/// The properties that decide whether an item fits. Items of a team and band
/// with equal shapes form a group: if the first one does not fit, the others do
/// not either.
struct Shape {
  WorkClass Class_ = WorkClass::Batch;
  std::uint32_t Count_ = 1;
  Resources Need_;
  /// Number of binary digits of the expected run time in microseconds.
  /// Estimated run times vary a little from item to item, and their order of
  /// magnitude is enough to decide whether an item ends before a reservation is
  /// ready.
  int RunTimeBits_ = 0;

  auto asTuple() const {
    return std::tie(Class_, Count_, Need_.CpuMilli_, Need_.MemoryMib_,
                    Need_.Accelerators_, Need_.Slots_, Need_.Connections_,
                    RunTimeBits_);
  }
  friend bool operator<(const Shape &A, const Shape &B) {
    return A.asTuple() < B.asTuple();
  }
};

struct ShapeGroup;

/// A waiting item. The items of a group form a linked list in order of arrival.
struct WaitingItem {
  WorkItem Work_;
  TeamIndex Team_ = 0;
  std::uint64_t ArrivalNumber_ = 0;
  ShapeGroup *Group_ = nullptr;
  WaitingItem *Previous_ = nullptr;
  WaitingItem *Next_ = nullptr;
};

/// The waiting items of one team and band that have the same shape.
struct ShapeGroup {
  WaitingItem *Head_ = nullptr;
  WaitingItem *Tail_ = nullptr;
  /// If FailedToFit_ is set, the number that the next entry of the scheduler's
  /// log of capacity increases had when the group did not fit.
  std::uint64_t FailedAtIncrease_ = 0;
  bool FailedToFit_ = false;
};

/// The waiting items of one team in one priority band.
struct TeamQueue {
  std::map<Shape, ShapeGroup> Groups_;
  /// The groups by the arrival number of their first items.
  std::map<std::uint64_t, ShapeGroup *> GroupsByArrival_;
  /// Arrival number after which the next round continues, if the last round
  /// stopped before it had tried every group. Otherwise zero.
  std::uint64_t ResumeAfter_ = 0;

  /// Returns the arrival number after which the next round starts. It is zero
  /// if no group follows ResumeAfter_.
  std::uint64_t startCursor() const {
    return GroupsByArrival_.upper_bound(ResumeAfter_) == GroupsByArrival_.end()
               ? 0
               : ResumeAfter_;
  }
};

/// Waiting items by priority band and team. The time to add or remove an item
/// is logarithmic in the number of groups and does not depend on the number of
/// items.
class WaitQueue {
public:
  /// Returns false if an item with the same first task is waiting already.
  bool add(const WorkItem &Work, TeamIndex Team);
  bool remove(const TaskId &First);
  const WaitingItem *find(const TaskId &First) const;

  TeamQueue &teamQueue(std::size_t Band, TeamIndex Team) {
    return TeamQueues_[Band][Team];
  }
  /// Returns the teams with waiting items in the band.
  const std::set<TeamIndex> &teams(std::size_t Band) const {
    return Teams_[Band];
  }
  /// Returns the number of waiting tasks of the class.
  std::size_t waitingTasksOf(WorkClass Class) const {
    return TaskCounts_[static_cast<std::size_t>(Class)];
  }

private:
  void append(WaitingItem &Item, TeamQueue &Queue);
  void unlink(WaitingItem &Item, TeamQueue &Queue);

  std::unordered_map<TaskId, WaitingItem> Items_;
  std::array<std::vector<TeamQueue>, BandCount> TeamQueues_;
  /// Teams with waiting items by band.
  std::array<std::set<TeamIndex>, BandCount> Teams_;
  /// Waiting tasks by work class.
  std::array<std::size_t, 4> TaskCounts_{};
  std::uint64_t NextArrivalNumber_ = 1;
};

} // namespace oleandergauge::detail

#endif // OLEANDERGAUGE_CORE_WAIT_QUEUE_H
