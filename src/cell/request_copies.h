#ifndef OLEANDERGAUGE_CELL_REQUEST_COPIES_H
#define OLEANDERGAUGE_CELL_REQUEST_COPIES_H

#include <map>
#include <optional>

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
  std::uint64_t Request_ = 0; ///< The same in all copies; 0 if unknown.
  std::uint32_t Number_ = 1;
  Epoch Epoch_ = 0;       ///< Of the owner that it was sent to; 0 if unknown.
  Millis OwnerClock_ = 0; ///< At which it was sent; 0 if unknown.
  Millis Timeout_ = 0;    ///< For which the caller waited at that time.
  friend bool operator==(const CopyStamp &, const CopyStamp &) = default;
};

/// The copies of one caller's request that a front end has sent to owners, and
/// what their answers prove. At most one copy is in flight; an earlier one
/// whose answer can no longer arrive may still be carried out.
class RequestCopies {
public:
  /// Records that a copy was sent to the owner of the epoch \p To.
  void recordSent(Epoch To);
  /// Records that the owner has not carried out the copy in flight.
  void recordReturned() { InFlight_ = false; }
  /// Records that the copy in flight, if any, will not be answered.
  void recordUnanswered();
  /// Whether a copy waits for its answer.
  bool isInFlight() const { return InFlight_; }
  /// Whether some copy may have been carried out, or may be later.
  bool mayHaveRun() const { return InFlight_ || Unanswered_; }
  /// Whether some copy will not be answered.
  bool hasUnansweredCopies() const { return Unanswered_; }
  /// Returns the number of copies sent so far.
  std::uint32_t count() const { return Count_; }
  /// Returns whether the refusal of the copy in flight proves that no copy is
  /// carried out, so that the caller may be told so. \p UnknownToEpoch is the
  /// epoch of the owner that refused, if it has looked up the job and does not
  /// know it, and 0 otherwise. Such an owner knows what it and earlier owners
  /// have accepted, takes no earlier copy from now on (see LatestCopies), and
  /// nothing that former owners read is stored any more.
  bool provesNotRun(Epoch UnknownToEpoch) const;

private:
  bool InFlight_ = false;
  bool Unanswered_ = false;
  std::uint32_t Count_ = 0;
  Epoch LastEpoch_ = 0;       ///< To which the last copy was sent.
  Epoch UnansweredEpoch_ = 0; ///< The latest to which such a copy was sent.
};

/// Returns an upper limit on the age of a copy that the owner reads at \p Now,
/// or 0 if the copy does not state when it was sent.
Millis ageOf(const CopyStamp &Stamp, Millis Now);

/// Returns for how long the caller of a copy that the owner of the epoch \p Own
/// reads at \p Now still waits, or none if the copy is void and must not be
/// carried out.
std::optional<Millis> remainingTime(const CopyStamp &Stamp, Epoch Own,
                                    Millis Now);

/// The latest copies that an owner has read of the requests that were sent more
/// than once. An earlier copy that arrives after a later one is void, since the
/// later one may have been refused.
class LatestCopies {
public:
  /// Records a copy that is read at \p Now, until its caller no longer waits.
  /// Returns false, and records nothing, if a later one was read before.
  bool recordUnlessSuperseded(const CopyStamp &Stamp, Millis Now);
  /// Returns the number of requests on record.
  std::size_t size() const { return Numbers_.size(); }

private:
  void removeExpired(Millis Now);
  std::map<std::uint64_t, std::uint32_t> Numbers_; ///< By request.
  std::multimap<Millis, std::uint64_t> Expiry_;
};

} // namespace oleandergauge::cell

#endif // OLEANDERGAUGE_CELL_REQUEST_COPIES_H
