#ifndef OLEANDERGAUGE_LEASE_H
#define OLEANDERGAUGE_LEASE_H

#include <cstdint>
#include <optional>
#include <string>

#include "oleandergauge/base.h"
#include "oleandergauge/table.h"

namespace oleandergauge {

/// Time for which a renewal extends the lease, counted from the moment before
/// its request was sent.
inline constexpr Duration PartitionLeaseDuration =
    std::chrono::milliseconds(2000);
/// Time between two renewals.
inline constexpr Duration PartitionLeaseRenewalInterval =
    std::chrono::milliseconds(500);
/// The holder stops acting as owner this long before the lease expires.
inline constexpr Duration PartitionLeaseSafetyMargin =
    std::chrono::milliseconds(200);
/// A host waits this long after the last change of the rows that it saw before
/// it takes over: PartitionLeaseDuration and 10%, since clocks run at different
/// rates.
inline constexpr Duration PartitionTakeoverDelay =
    std::chrono::milliseconds(2200);
/// Additional wait before a takeover, for each rank of the host. It lets a
/// single host try first.
inline constexpr Duration TakeoverRankDelay = std::chrono::milliseconds(150);
/// Additional wait for each rank for a partition that never had an owner. It is
/// longer than the time in which all hosts have read a new partition's record,
/// so the host that reads the records first does not take over all partitions
/// of a new cell.
inline constexpr Duration InitialTakeoverRankDelay =
    std::chrono::milliseconds(700);
/// Time from a failed request to its retry.
inline constexpr Duration PartitionLeaseRetryDelay =
    std::chrono::milliseconds(200);
/// Time from a failed request to the earliest takeover, so that the holder's
/// renewal comes first after an outage of the table.
inline constexpr Duration TakeoverDelayAfterFailure =
    std::chrono::milliseconds(600);
/// Time from the last command of a releasing owner to the release of the owner
/// row, so that its commands take effect first. A successor after an expired
/// lease comes as late: PartitionTakeoverDelay less the time for which the
/// lease was held.
inline constexpr Duration OwnerReleaseDelay = std::chrono::milliseconds(400);

/// The content of a partition's "owner" row.
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
/// Returns an empty value if the bytes are not a valid owner row.
std::optional<PartitionOwner> decodeOwner(const std::string &Bytes);

/// The content of the row "lease/<partition>", which every renewal changes.
struct LeaseRow {
  Epoch Epoch_ = 0;
  std::uint64_t Counter_ = 0;
  friend bool operator==(const LeaseRow &, const LeaseRow &) = default;
};

std::string encodeLease(const LeaseRow &Row);
/// Returns an empty value if the bytes are not a valid lease row.
std::optional<LeaseRow> decodeLease(const std::string &Bytes);

/// Acquires, renews and releases the ownership of one partition. It has at most
/// one table request in flight. See decision D1 in docs/design.md.
class PartitionLease {
public:
  PartitionLease(PartitionId Partition, HostId Self, std::string Address);

  /// Returns the next table request if one is due. \p Rank is the position of
  /// the host, from zero, in this partition's order of preference among the
  /// live hosts. \p MayTakeOver is false while the host is bound by its vouch
  /// for an outage (decision D4) or drains.
  std::optional<TableRequest> poll(TimePoint Now, std::uint32_t Rank,
                                   bool MayTakeOver);
  /// Handles the reply to the last request of poll(). Every request needs one:
  /// the caller passes OutcomeUnknown if no reply arrived in time, and drops
  /// replies to older requests.
  void answered(TimePoint Now, const TableReply &Reply);

  /// Returns whether the host may act as owner.
  bool isHeld(TimePoint Now) const;
  /// Returns the time from which on the host must not act as owner, or the
  /// epoch of the clock if the lease is not held at all.
  TimePoint heldUntil() const;
  /// The epoch that was held last. State of a lower epoch is stale.
  Epoch epoch() const { return Epoch_; }
  /// Returns the condition that fences the writes of deposed owners. It is
  /// valid only while the lease is held.
  Condition fence() const;
  /// Starts to release the lease: isHeld() returns false from now on, and the
  /// owner row is released OwnerReleaseDelay after the next poll(). This object
  /// does not acquire the lease again.
  void release() { Releasing_ = true; }
  bool isReleased() const { return Released_; }
  /// Records that a row or a journal write of another host has shown that the
  /// lease is lost.
  void noteFenced();
  /// The owner that the last read or takeover showed. Empty if the owner row
  /// could not be read or decoded.
  const std::optional<PartitionOwner> &observedOwner() const {
    return ObservedOwner_;
  }

private:
  enum class Pending { None, Read, TakeOver, Renew, Release };

  std::optional<TableRequest> pollHolder(TimePoint Now);
  std::optional<TableRequest> pollChallenger(TimePoint Now, std::uint32_t Rank,
                                             bool MayTakeOver);
  /// Returns when the host may take over, or an empty value if the rows have
  /// not been read.
  std::optional<TimePoint> takeoverDueAt(std::uint32_t Rank) const;
  TableRequest sendRead(TimePoint Now);
  TableRequest sendTakeover(TimePoint Now);
  TableRequest sendRenewal(TimePoint Now);
  TableRequest sendRelease(TimePoint Now);
  void applyRows(TimePoint Now, const Rows &Read);
  /// Continues as holder after a read has shown rows written by this object.
  void resumeOwnLease(const PartitionOwner &Owner, const LeaseRow &Lease);
  void handleCommitted(Pending Request, const Committed &Reply);
  void handleConflict(TimePoint Now);
  /// \p MayHaveCommitted is true if the failed request was a write that may
  /// have taken effect.
  void handleFailure(TimePoint Now, bool MayHaveCommitted);
  /// Returns whether this object wrote the rows.
  bool isOwnWrite(const PartitionOwner &Owner, const LeaseRow &Lease) const;
  void stopHolding();

  PartitionId Partition_;
  HostId Self_;
  std::string Address_;
  Pending Pending_ = Pending::None;
  TimePoint RequestSentAt_;
  TimePoint NextPoll_;
  TimePoint NextTakeover_;
  TimePoint HeldUntil_;
  Epoch Epoch_ = 0;
  bool Holding_ = false;
  bool Releasing_ = false;
  bool Released_ = false;
  /// Whether both rows must be read before the next write.
  bool ReadRequired_ = true;
  /// When poll() was first called after release().
  std::optional<TimePoint> ReleaseRequestedAt_;
  /// The epoch that this object wrote or tried to write, and the range of lease
  /// counters that it may have written in this epoch. They distinguish its own
  /// rows from those of an earlier process with the same host id.
  Epoch OwnEpoch_ = 0;
  /// When the first takeover attempt in OwnEpoch_ was sent.
  TimePoint TakeoverFirstSentAt_;
  std::uint64_t FirstOwnCounter_ = 0;
  std::uint64_t LastOwnCounter_ = 0;
  std::uint64_t OwnerVersion_ = 0;
  std::uint64_t LeaseVersion_ = 0;
  /// When a read last showed that one of the rows had changed.
  std::optional<TimePoint> LastChangeSeenAt_;
  /// Empty if the owner row could not be read or decoded.
  std::optional<PartitionOwner> ObservedOwner_;
};

} // namespace oleandergauge

#endif // OLEANDERGAUGE_LEASE_H
