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

/// Priority bands, the first served first.
inline constexpr std::size_t UrgentDirectBand = 0;
inline constexpr std::size_t DirectBand = 1;
/// The bands of direct work.
inline constexpr std::size_t DirectBandCount = 2;
inline constexpr std::size_t UrgentBand = 2;
inline constexpr std::size_t ServiceBand = 3;
inline constexpr std::size_t BatchBand = 4;
inline constexpr std::size_t BandCount = 5;

std::size_t bandOf(WorkClass Class, bool Urgent);

/// What decides whether an item fits. Items of a team that agree in it are
/// one group: where the first does not fit, the others do not either.
struct Shape {
  WorkClass Class_ = WorkClass::Batch;
  std::uint32_t Count_ = 1;
  Resources Need_;
  /// Binary digits of the expected run time: learned run times differ a
  /// little from item to item, and only their order of magnitude decides
  /// whether an item ends before a reservation.
  int RunDigits_ = 0;

  auto tied() const {
    return std::tie(Class_, Count_, Need_.CpuMilli_, Need_.MemoryMib_,
                    Need_.Accelerators_, Need_.Slots_, Need_.Connections_,
                    RunDigits_);
  }
  friend bool operator<(const Shape &A, const Shape &B) {
    return A.tied() < B.tied();
  }
};

struct Group;

/// An item in its group's list, in the order of arrival.
struct WaitingItem {
  WorkItem Work_;
  TeamIndex Team_ = 0;
  std::uint64_t Sequence_ = 0;
  Group *Group_ = nullptr;
  WaitingItem *Previous_ = nullptr;
  WaitingItem *Next_ = nullptr;
};

struct Group {
  WaitingItem *First_ = nullptr;
  WaitingItem *Last_ = nullptr;
  /// Where Misfit_ is set, the group fitted nowhere when the log of growths
  /// had this length.
  std::uint64_t MisfitAt_ = 0;
  bool Misfit_ = false;
};

/// The waiting items of one team in one band.
struct Line {
  std::map<Shape, Group> Groups_;
  /// The first item of each group by arrival.
  std::map<std::uint64_t, Group *> Heads_;
  /// Arrival number at which the next round goes on, where a round stopped
  /// before it had tried every group; otherwise zero.
  std::uint64_t Resume_ = 0;

  /// Arrival number after which a round starts.
  std::uint64_t startOfRound() const {
    return Heads_.upper_bound(Resume_) == Heads_.end() ? 0 : Resume_;
  }
};

/// Waiting items by band and team. Adding and removing cost the logarithm of
/// the number of groups, whatever the number of items.
class WaitQueue {
public:
  /// False where an item with the same first task waits already.
  bool add(const WorkItem &Work, TeamIndex Team);
  bool remove(const TaskId &First);
  const WaitingItem *find(const TaskId &First) const;

  Line &line(std::size_t Band, TeamIndex Team) { return Lines_[Band][Team]; }
  /// Teams with items in the band.
  const std::set<TeamIndex> &teams(std::size_t Band) const {
    return Teams_[Band];
  }
  std::size_t tasksOf(WorkClass Class) const {
    return Tasks_[static_cast<std::size_t>(Class)];
  }

private:
  void append(WaitingItem &Item, Line &To);
  void unlink(WaitingItem &Item, Line &From);

  std::unordered_map<TaskId, WaitingItem> Items_;
  std::array<std::vector<Line>, BandCount> Lines_;
  std::array<std::set<TeamIndex>, BandCount> Teams_;
  std::array<std::size_t, 4> Tasks_{};
  std::uint64_t NextSequence_ = 1;
};

} // namespace oleandergauge::detail

#endif // OLEANDERGAUGE_CORE_WAIT_QUEUE_H
