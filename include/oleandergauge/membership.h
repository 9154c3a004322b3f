#ifndef OLEANDERGAUGE_MEMBERSHIP_H
#define OLEANDERGAUGE_MEMBERSHIP_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "oleandergauge/base.h"
#include "oleandergauge/config.h"

namespace oleandergauge {

/// Time between two heartbeats to the same peer.
inline constexpr Duration HeartbeatInterval = std::chrono::milliseconds(500);
/// A peer that sent no heartbeat for this time counts as unreachable.
inline constexpr Duration PeerTimeout = std::chrono::milliseconds(1500);
/// A member that was absent from the live list and sent no heartbeat for this
/// time no longer counts as a member.
inline constexpr Duration MissingMemberTimeout =
    std::chrono::milliseconds(10000);
/// The row of a member that was absent for this time is deleted. Hosts are
/// replaced continually, and their rows would otherwise accumulate.
inline constexpr Duration MemberRowRetention = std::chrono::minutes(10);

/// A registered entry host, stored in the row "member/<host>".
struct Member {
  HostId Host_;
  std::string Address_; ///< "ip:port" of its peer link.
  Region Region_;
  FailureDomain Domain_;
  friend bool operator==(const Member &, const Member &) = default;
};

/// A partition that the sender of a heartbeat owns.
struct OwnedPartition {
  PartitionId Partition_;
  Epoch Epoch_ = 0;
  std::size_t Waiting_ = 0; ///< Number of waiting tasks.
  friend bool operator==(const OwnedPartition &,
                         const OwnedPartition &) = default;
};

/// The message that a host sends to each of its peers.
struct Heartbeat {
  Member From_;
  bool Draining_ = false;
  /// The codec converts SentAt_ and HeadReadAt_ to the receiver's clock, to
  /// lower bounds of the actual times.
  PeerVouch Vouch_;
  std::vector<OwnedPartition> Owned_;
  friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

/// Tracks the members of the cell, the owners of the partitions, and the order
/// in which hosts should take over a partition. Its input are table rows,
/// heartbeats and the live list; it does no I/O.
class Membership {
public:
  explicit Membership(Member Self) : Self_(std::move(Self)) {}

  /// Sets the members found in the "member/" rows. A peer that sent a heartbeat
  /// within MissingMemberTimeout stays a member, since the rows may have been
  /// read before it registered.
  void setRegistered(TimePoint Now, const std::vector<Member> &Members);
  /// Sets the entry hosts in the live list. Must be called only for lists that
  /// were actually read, not after a failed read.
  void setListed(TimePoint Now, const std::vector<HostId> &Hosts);
  /// Processes a heartbeat or a reply to one. Its sender becomes a member,
  /// since hosts send heartbeats only once they are registered. Late and
  /// duplicate heartbeats never lower an epoch. A heartbeat whose SentAt_ is
  /// unknown (a request) makes its sender a member but does not show that it is
  /// live.
  void noteHeartbeat(TimePoint Now, const Heartbeat &Beat);
  /// Processes the "owner" row of a partition, which counts where no heartbeat
  /// shows a later epoch.
  void noteOwnerRow(const PartitionId &Partition, Epoch RowEpoch,
                    const HostId &Owner);

  /// Returns the registered members except those that were absent from the live
  /// list and sent no heartbeat for MissingMemberTimeout. This host is included
  /// once its row was read.
  std::vector<HostId> countedMembers(TimePoint Now) const;
  /// Returns the members that were absent from the live list and sent no
  /// heartbeat for MemberRowRetention. A host whose row is deleted by mistake
  /// registers again when it reads the member rows.
  std::vector<HostId> expiredMembers(TimePoint Now) const;
  /// Returns the hosts that do not drain and sent a heartbeat within
  /// PeerTimeout, including this host unless it drains.
  std::vector<HostId> livePeers(TimePoint Now) const;
  /// Returns the other members, which this host sends heartbeats to.
  std::vector<Member> peers() const;
  /// Returns the owner of the partition in the highest known epoch. Empty if
  /// the owner is unknown or the partition was released.
  std::optional<Member> ownerOf(const PartitionId &Partition) const;
  /// Sets all configured partitions, in the order of their names.
  void setPartitions(std::vector<PartitionId> Partitions) {
    Partitions_ = std::move(Partitions);
  }
  /// Returns the position of this host in the order in which the live hosts
  /// should take over the partition; 0 is the first. Hosts that own fewer
  /// partitions come first, and rendezvous hashing breaks ties. Earlier
  /// partitions without a live owner count for the host that should take them
  /// over, so that several partitions that become free at once are spread.
  std::uint32_t takeoverRank(const PartitionId &Partition, TimePoint Now) const;
  void setDraining(bool Draining) { Draining_ = Draining; }
  void setOwned(const std::vector<OwnedPartition> &Owned);

private:
  struct Peer {
    Member Member_;
    bool Draining_ = false;
    /// Send time of the latest heartbeat.
    TimePoint SentAt_ = UnknownTime;
    /// Arrival time of the last heartbeat, whether late or not.
    TimePoint ContactAt_ = UnknownTime;
    /// Times of the first and the last read of the live list in the present run
    /// of reads without the peer.
    std::optional<TimePoint> MissingSince_;
    std::optional<TimePoint> MissingUntil_;
  };
  /// The owner of a partition in the highest known epoch.
  struct OwnerEntry {
    Epoch Epoch_ = 0;
    HostId Host_; ///< Empty if no host claims the partition.
    bool Released_ = false;
  };

  /// Returns true if the peer was absent from the live list and sent no
  /// heartbeat for \p Span.
  static bool isAbsentFor(const Peer &Candidate, Duration Span, TimePoint Now);
  /// Records that \p Host claims to own the partition in \p ClaimedEpoch.
  void noteClaim(const PartitionId &Partition, Epoch ClaimedEpoch,
                 const HostId &Host);
  /// Drops the claims of \p Host to all partitions that are not in \p Kept.
  void dropClaims(const HostId &Host, const std::vector<OwnedPartition> &Kept);
  std::size_t countOwnedBy(const HostId &Host) const;
  bool hasLiveOwner(const PartitionId &Partition,
                    const std::vector<HostId> &Live) const;

  Member Self_;
  bool SelfRegistered_ = false;
  bool Draining_ = false;
  std::map<HostId, Peer> Peers_;
  std::map<PartitionId, OwnerEntry> Owners_;
  std::vector<PartitionId> Partitions_;
};

} // namespace oleandergauge

#endif // OLEANDERGAUGE_MEMBERSHIP_H
