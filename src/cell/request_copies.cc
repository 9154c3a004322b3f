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

void RequestCopies::recordUnanswered() {
  if (InFlight_)
    UnansweredEpoch_ = std::max(UnansweredEpoch_, LastEpoch_);
  Unanswered_ = Unanswered_ || InFlight_;
  InFlight_ = false;
}

bool RequestCopies::provesNotRun(Epoch UnknownToEpoch) const {
  return !Unanswered_ || UnknownToEpoch >= UnansweredEpoch_;
}

Millis ageOf(const CopyStamp &Stamp, Millis Now) {
  return Stamp.OwnerClock_ == 0 ? 0
                                : std::max<Millis>(0, Now - Stamp.OwnerClock_);
}

std::optional<Millis> remainingTime(const CopyStamp &Stamp, Epoch Own,
                                    Millis Now) {
  const bool OtherOwner = Stamp.Epoch_ != 0 && Stamp.Epoch_ != Own;
  const Millis Remaining = Stamp.Timeout_ - ageOf(Stamp, Now);
  if (OtherOwner || Remaining <= 0)
    return std::nullopt;
  return Remaining;
}

bool LatestCopies::recordUnlessSuperseded(const CopyStamp &Stamp, Millis Now) {
  removeExpired(Now);
  const auto Known = Numbers_.find(Stamp.Request_);
  if (Known != Numbers_.end() && Known->second > Stamp.Number_)
    return false;
  if (Stamp.Request_ == 0 || Stamp.Number_ <= 1)
    return true;
  Numbers_[Stamp.Request_] = Stamp.Number_;
  // All copies of a request have the same deadline.
  Expiry_.emplace(Now + Stamp.Timeout_, Stamp.Request_);
  return true;
}

void LatestCopies::removeExpired(Millis Now) {
  while (!Expiry_.empty() && Expiry_.begin()->first < Now) {
    Numbers_.erase(Expiry_.begin()->second);
    Expiry_.erase(Expiry_.begin());
  }
}

} // namespace oleandergauge::cell
