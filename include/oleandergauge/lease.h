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

/// Who holds a partition, as its "owner" row says.
struct PartitionOwner {
  Epoch Epoch_ = 0;
  HostId Host_; ///< Empty after a release.
  std::string Address_;
  friend bool operator==(const PartitionOwner &,
                         const PartitionOwner &) = default;
};

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
  void answered(TimePoint Now, const TableReply &Reply);

  /// True while the host may act as owner.
  bool held(TimePoint Now) const;
  /// The host must not act at or after this moment.
  TimePoint heldUntil() const { return HeldUntil_; }
  /// The last held epoch; state of a lower one is stale.
  Epoch epoch() const { return Epoch_; }
  /// Condition that fences the writes of earlier owners.
  Condition fence() const;
  /// Lets the lease go with the next poll; no work may be started after.
  void release() { Releasing_ = true; }
  bool released() const { return Released_; }
  /// Another host's journal write or row shows that the lease is lost.
  void noteFenced();
  /// The owner last read from the table.
  const std::optional<PartitionOwner> &observedOwner() const {
    return Observed_;
  }

private:
  std::optional<TableRequest> pollHolder(TimePoint Now);
  std::optional<TableRequest> pollChallenger(TimePoint Now, std::uint32_t Rank,
                                             bool MayTakeOver);
  void noteRows(TimePoint Now, const Rows &Read);
  void noteCommitted(TimePoint Now, const Committed &Reply);

  enum class Pending { None, Read, TakeOver, Renew, Release };

  PartitionId Partition_;
  HostId Self_;
  std::string Address_;
  Pending Pending_ = Pending::None;
  TimePoint AskedAt_;
  TimePoint NextPoll_;
  TimePoint HeldUntil_;
  Epoch Epoch_ = 0;
  bool Holding_ = false;
  bool Releasing_ = false;
  bool Released_ = false;
  std::uint64_t OwnerVersion_ = 0;
  std::uint64_t LeaseVersion_ = 0;
  std::optional<TimePoint> LeaseSeenAt_;
  std::optional<PartitionOwner> Observed_;
};

} // namespace oleandergauge

#endif // OLEANDERGAUGE_LEASE_H
