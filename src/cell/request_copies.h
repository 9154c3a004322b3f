#ifndef OLEANDERGAUGE_CELL_REQUEST_COPIES_H
#define OLEANDERGAUGE_CELL_REQUEST_COPIES_H

#include "cell/types.h"

namespace oleandergauge::cell {

/// The clock of an owner as a follower knows it from the owner's heartbeats.
/// The estimate lags behind by the time that the last heartbeat was under way,
/// and is never ahead while both clocks run at the same rate.
class OwnerClock {
public:
  /// Processes a heartbeat that the owner sent at \p Sent on its own clock.
  void observe(Millis Sent, Millis Now);
  /// Returns the owner's time at \p Now, or 0 before the first heartbeat.
  Millis at(Millis Now) const;

private:
  Millis Sent_ = 0;
  Millis ReceivedAt_ = 0;
};

/// What a copy of a caller's request states of itself. A front end sends a
/// further copy when the link on which it sent the last one has ended.
struct CopyStamp {
  std::uint32_t Number_ = 1;
  Epoch Epoch_ = 0;       ///< Of the owner that it was sent to; 0 if unknown.
  Millis OwnerClock_ = 0; ///< At which it was sent; 0 if unknown.
  Millis Timeout_ = 0;    ///< For which the caller waited at that time.
  friend bool operator==(const CopyStamp &, const CopyStamp &) = default;
};

/// Returns an upper limit on the age of a copy that the owner reads at \p Now,
/// or 0 if the copy does not state when it was sent.
Millis ageOf(const CopyStamp &Stamp, Millis Now);

} // namespace oleandergauge::cell

#endif // OLEANDERGAUGE_CELL_REQUEST_COPIES_H
