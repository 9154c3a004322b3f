#ifndef OLEANDERGAUGE_CELL_PLACE_WAIT_H
#define OLEANDERGAUGE_CELL_PLACE_WAIT_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "cell/types.h"

namespace oleandergauge::cell {

/// A task or a gang whose preferred place has no room, while there is room
/// elsewhere. Work that runs elsewhere takes RemoteFactor_ times as long.
struct PlaceWait {
  Millis Waited_ = 0; ///< Since there was room elsewhere.
  /// Expected further time until the place has room; empty if it is not known.
  std::optional<Millis> ExpectedWait_;
  Millis Duration_ = 0; ///< Expected duration in the preferred place.
  double RemoteFactor_ = 1;
  /// Time left until the work has to end for its job to meet the objective, and
  /// to end before three times the objective. Negative once it has passed.
  Millis LeftToObjective_ = 0;
  Millis LeftToWorthless_ = 0;
  friend bool operator==(const PlaceWait &, const PlaceWait &) = default;
};

enum class PlaceChoice { Wait, GoElsewhere };

/// Returns the time that is lost by running elsewhere.
Millis lossElsewhere(const PlaceWait &Work);

/// Returns whether to wait for the preferred place or to start elsewhere. A
/// wait is chosen while it is expected to be shorter than the loss elsewhere,
/// and never for longer than that loss, so that a wrong or missing expectation
/// costs at most as much again as the better choice. Waiting ends before it
/// alone would make a job late, or worthless, that is in time elsewhere.
PlaceChoice choosePlace(const PlaceWait &Wait);

/// Result of tasksIn() without a limit; small enough for sums of several.
constexpr std::int64_t NoTaskLimit = std::int64_t{1} << 32;
/// Returns how many tasks that need \p Need fit into \p Room; NoTaskLimit if
/// they need nothing of what is counted.
std::int64_t tasksIn(const Resources &Room, const Resources &Need);

/// Estimates how long a place takes to offer room, from the room that became
/// free there recently. Keeps a limited number of samples for a limited number
/// of places.
class FreedRoomHistory {
public:
  static constexpr std::size_t MaxPlaces = 512;
  static constexpr std::size_t MaxSamples = 32; ///< For each place.
  /// A rate that is derived from fewer samples differs much by chance.
  static constexpr std::size_t MinSamples = 4;
  static constexpr Millis MaxAge = 30000;

  /// Records that the free room on a worker of the place has grown.
  void recordFreed(const std::string &Place, Millis Now,
                   const Resources &Before, const Resources &After);

  /// Returns the expected time until room for \p Count tasks becomes free, or
  /// nothing if too little was observed.
  std::optional<Millis> expectedWait(const std::string &Place, Millis Now,
                                     const Resources &Need,
                                     std::uint32_t Count) const;

  std::size_t placeCount() const { return Places_.size(); }

private:
  struct Sample {
    Millis At_ = 0;
    Resources Before_;
    Resources After_;
  };

  void dropOldestPlace();

  std::map<std::string, std::deque<Sample>> Places_;
};

} // namespace oleandergauge::cell

#endif // OLEANDERGAUGE_CELL_PLACE_WAIT_H
