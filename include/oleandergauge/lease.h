#ifndef OLEANDERGAUGE_LEASE_H
#define OLEANDERGAUGE_LEASE_H

#include <cstdint>
#include <optional>
#include <string>

#include "oleandergauge/base.h"
#include "oleandergauge/table.h"

namespace oleandergauge {

/// How long a renewal holds, from before it was asked for.
inline constexpr Duration PartitionLeaseLength =
    std::chrono::milliseconds(2000);
inline constexpr Duration PartitionLeaseRenewal =
    std::chrono::milliseconds(500);
/// The holder stops this long before the end.
inline constexpr Duration PartitionLeaseMargin = std::chrono::milliseconds(200);
/// A challenger waits this long after the last change it saw: the length and
/// 10% for clocks that run at different rates.
inline constexpr Duration PartitionLeaseTakeover =
    std::chrono::milliseconds(2200);
/// Challengers of later ranks wait longer, so that one takes over alone.
inline constexpr Duration TakeoverRankDelay = std::chrono::milliseconds(150);
/// The same for a partition that never had an owner. Longer than the time in
/// which all hosts have read a new partition's record, so that the host which
/// sees the records first does not take all partitions of a new cell.
inline constexpr Duration FirstTakeoverRankDelay =
    std::chrono::milliseconds(700);
/// A failed request is tried again after this time.
inline constexpr Duration PartitionLeaseRetry = std::chrono::milliseconds(200);
/// After a failed request a challenger waits this long, so that after an
/// outage the holder's renewal comes first.
inline constexpr Duration TakeoverOutageDelay = std::chrono::milliseconds(600);
/// The owner row is released this long after the last command. A successor of
/// an expired lease comes as late: PartitionLeaseTakeover less the time held.
inline constexpr Duration ReleaseQuietTime = std::chrono::milliseconds(400);

/// Who holds a partition, as its "owner" row says.
struct PartitionOwner {
  Epoch Epoch_ = 0;
  HostId Host_; ///< Empty after a release.
  std::string Address_;
  friend bool operator==(const PartitionOwner &,
                         const PartitionOwner &) = default;
};

/// Row keys "owner/<partition>" and "lease/<partition>".
std::string ownerKey(const PartitionId &Partition);
std::string leaseKey(const PartitionId &Partition);

std::string encodeOwner(const PartitionOwner &Owner);
/// Empty where the bytes are no owner row.
std::optional<PartitionOwner> decodeOwner(const std::string &Bytes);

/// The row "lease/<partition>", which every renewal changes.
struct LeaseRow {
  Epoch Epoch_ = 0;
  std::uint64_t Counter_ = 0;
  friend bool operator==(const LeaseRow &, const LeaseRow &) = default;
};

std::string encodeLease(const LeaseRow &Row);
std::optional<LeaseRow> decodeLease(const std::string &Bytes);

/// Takes, renews and releases the right to decide for one partition. Has at
/// most one table request in flight. See decision D1 in docs/design.md.
class PartitionLease {
public:
  PartitionLease(PartitionId Partition, HostId Self, std::string Address);

  /// The next table request, if one is due. \p Rank is the host's place among
  /// the live hosts in the order of preference for this partition.
  /// \p MayTakeOver is false while a vouch binds the host (decision D4) or it
  /// drains.
  std::optional<TableRequest> poll(TimePoint Now, std::uint32_t Rank,
                                   bool MayTakeOver);
  /// The answer to the last request of poll. Every request needs one; the
  /// caller passes OutcomeUnknown where no answer came in time, and drops
  /// answers to older requests.
  void answered(TimePoint Now, const TableReply &Reply);

  /// True while the host may act as owner.
  bool isHeld(TimePoint Now) const;
  /// The host must not act at or after this moment.
  /// The clock's zero where the lease is not held at all.
  TimePoint heldUntil() const;
  /// The last held epoch; state of a lower one is stale.
  Epoch epoch() const { return Epoch_; }
  /// Condition that fences the writes of earlier owners. Means something only
  /// while the lease is held.
  Condition fence() const;
  /// Lets the lease go: held() is false from now on, and the owner row is
  /// released ReleaseQuietTime after the next poll. The object takes the
  /// lease no more.
  void release() { Releasing_ = true; }
  bool isReleased() const { return Released_; }
  /// Another host's journal write or row shows that the lease is lost.
  void noteFenced();
  /// The owner last read from the table.
  const std::optional<PartitionOwner> &observedOwner() const {
    return Observed_;
  }

private:
  enum class Pending { None, Read, TakeOver, Renew, Release };

  std::optional<TableRequest> pollHolder(TimePoint Now);
  std::optional<TableRequest> pollChallenger(TimePoint Now, std::uint32_t Rank,
                                             bool MayTakeOver);
  std::optional<TimePoint> takeoverDue(std::uint32_t Rank) const;
  TableRequest sendRead(TimePoint Now);
  TableRequest sendTakeover(TimePoint Now);
  TableRequest sendRenewal(TimePoint Now);
  TableRequest sendRelease(TimePoint Now);
  void noteRows(TimePoint Now, const Rows &Read);
  void noteOwn(const PartitionOwner &Owner, const LeaseRow &Lease);
  void noteCommitted(Pending Request, const Committed &Reply);
  void noteConflict(TimePoint Now);
  void noteFailure(TimePoint Now, bool Unknown);
  bool isOwn(const PartitionOwner &Owner, const LeaseRow &Lease) const;
  void stopHolding();

  PartitionId Partition_;
  HostId Self_;
  std::string Address_;
  Pending Pending_ = Pending::None;
  TimePoint AskedAt_;
  TimePoint NextPoll_;
  TimePoint NextTakeover_;
  TimePoint HeldUntil_;
  Epoch Epoch_ = 0;
  bool Holding_ = false;
  bool Releasing_ = false;
  bool Released_ = false;
  /// The rows must be read before anything is written.
  bool Unsettled_ = true;
  std::optional<TimePoint> ReleaseSeenAt_;
  /// The epoch that this object wrote or tried to write, and the counters
  /// that it may have written with it. They tell its own rows from those of
  /// an earlier process with the same host id.
  Epoch OwnEpoch_ = 0;
  TimePoint OwnAskedAt_;
  std::uint64_t FirstCounter_ = 0;
  std::uint64_t LastCounter_ = 0;
  std::uint64_t OwnerVersion_ = 0;
  std::uint64_t LeaseVersion_ = 0;
  std::optional<TimePoint> LeaseSeenAt_;
  /// Empty where the owner row could not be read or decoded.
  std::optional<PartitionOwner> Observed_;
};

} // namespace oleandergauge

#endif // OLEANDERGAUGE_LEASE_H
