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

/// Time between two heartbeats to each peer.
inline constexpr Duration HeartbeatInterval = std::chrono::milliseconds(500);
/// A peer that was silent for this long counts as unreachable.
inline constexpr Duration PeerTimeout = std::chrono::milliseconds(1500);
/// A member that the live list has shown gone for this long no longer counts.
inline constexpr Duration MissingMemberTimeout =
    std::chrono::milliseconds(10000);
/// The row of a member that was gone for this long is deleted. Hosts are
/// replaced all the time, and their rows would stay for ever.
inline constexpr Duration MemberRowRetention = std::chrono::minutes(10);

/// A registered entry host: row "member/<host>".
struct Member {
  HostId Host_;
  std::string Address_; ///< "ip:port" of its peer link.
  Region Region_;
  FailureDomain Domain_;
  friend bool operator==(const Member &, const Member &) = default;
};

struct OwnedPartition {
  PartitionId Partition_;
  Epoch Epoch_ = 0;
  std::size_t Waiting_ = 0;
  friend bool operator==(const OwnedPartition &,
                         const OwnedPartition &) = default;
};

/// What a host tells each peer.
struct Heartbeat {
  Member From_;
  bool Draining_ = false;
  PeerVouch Vouch_; ///< SentAt_ and HeadReadAt_ are moved to the receiver's
                    ///< clock by the codec, never later than the real ones.
  std::vector<OwnedPartition> Owned_;
  friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

/// Who is there, who owns what, and in which order hosts should take a
/// partition. Pure; fed by rows, heartbeats and the live list.
class Membership {
public:
  explicit Membership(Member Self) : Self_(std::move(Self)) {}

  /// The rows "member/" as last read. A peer that was heard lately stays, as
  /// the rows may have been read before it registered.
  void setRegistered(TimePoint Now, const std::vector<Member> &Members);
  /// Entry hosts that the live list shows. Called only with lists that were
  /// read, never in place of one that could not be.
  void setListed(TimePoint Now, const std::vector<HostId> &Hosts);
  /// A heartbeat, or a reply to one. Its sender is a member from now on; a
  /// host sends heartbeats only once it is registered. Late and doubled ones
  /// never lower an epoch. One whose SentAt_ is not known (a request) makes
  /// the sender known but does not show it live.
  void noteHeartbeat(TimePoint Now, const Heartbeat &Beat);
  /// The "owner" row of a partition, where no heartbeat says more.
  void noteOwnerRow(const PartitionId &Partition, Epoch RowEpoch,
                    const HostId &Owner);

  /// Registered members, the host itself among them once its row was read,
  /// less those that the live list has shown gone for MissingMemberTimeout and
  /// that were not heard for as long.
  std::vector<HostId> countedMembers(TimePoint Now) const;
  /// Members that were gone and unheard for MemberRowRetention. A host whose
  /// row was deleted by mistake registers again when it reads the members.
  std::vector<HostId> expiredMembers(TimePoint Now) const;
  /// Members heard within PeerTimeout that do not drain; the host itself
  /// included unless it drains.
  std::vector<HostId> livePeers(TimePoint Now) const;
  /// Whom to send heartbeats to.
  std::vector<Member> peers() const;
  /// The host that owns the partition as far as known, highest epoch first.
  std::optional<Member> ownerOf(const PartitionId &Partition) const;
  /// All configured partitions, in the order of their names.
  void setPartitions(std::vector<PartitionId> Partitions) {
    Partitions_ = std::move(Partitions);
  }
  /// Place of this host among the live ones in the order of preference for
  /// the partition: 0 takes first. Hosts that own fewer partitions come
  /// first, then by rendezvous hash. Partitions before this one that have no
  /// live owner count for the host that is to take them, so that several
  /// which become free at once are spread.
  std::uint32_t takeoverRank(const PartitionId &Partition, TimePoint Now) const;
  void setDraining(bool Draining) { Draining_ = Draining; }
  void setOwned(const std::vector<OwnedPartition> &Owned);

private:
  struct Peer {
    Member Member_;
    bool Draining_ = false;
    /// When it sent the latest of its heartbeats, and when any came in.
    TimePoint SentAt_ = UnknownTime;
    TimePoint ContactAt_ = UnknownTime;
    std::optional<TimePoint> MissingSince_;
    std::optional<TimePoint> MissingUntil_;
  };
  struct OwnerEntry {
    Epoch Epoch_ = 0;
    HostId Host_;
    bool Released_ = false;
  };

  /// The live list has shown the peer gone, and it was not heard, for \p Span.
  static bool goneFor(const Peer &Each, Duration Span, TimePoint Now);
  void noteClaim(const PartitionId &Partition, Epoch ClaimedEpoch,
                 const HostId &Host);
  void dropClaims(const HostId &Host, const std::vector<OwnedPartition> &Kept);
  std::size_t ownedBy(const HostId &Host) const;
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
