#include "cell/request_copies.h"

#include <algorithm>

namespace oleandergauge::cell {

void OwnerClock::observe(Millis Sent, Millis Now) {
  Sent_ = Sent;
  ReceivedAt_ = Now;
}

Millis OwnerClock::at(Millis Now) const {
  return Sent_ == 0 ? 0 : Sent_ + (Now - ReceivedAt_);
}

Millis ageOf(const CopyStamp &Stamp, Millis Now) {
  return Stamp.OwnerClock_ == 0 ? 0
                                : std::max<Millis>(0, Now - Stamp.OwnerClock_);
}

} // namespace oleandergauge::cell
