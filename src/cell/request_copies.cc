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

void RequestCopies::recordSent(Epoch To) {
  InFlight_ = true;
  LastEpoch_ = To;
  ++Count_;
}

void RequestCopies::recordLost() {
  Lost_ = Lost_ || InFlight_;
  InFlight_ = false;
}

bool RequestCopies::provesNotRun(Epoch) const { return !Lost_; }

Millis ageOf(const CopyStamp &Stamp, Millis Now) {
  return Stamp.OwnerClock_ == 0 ? 0
                                : std::max<Millis>(0, Now - Stamp.OwnerClock_);
}

std::optional<Millis> remainingTime(const CopyStamp &Stamp, Epoch, Millis) {
  return Stamp.Timeout_;
}

} // namespace oleandergauge::cell
