#ifndef OLEANDERGAUGE_CONFIG_H
#define OLEANDERGAUGE_CONFIG_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "oleandergauge/base.h"

namespace oleandergauge {

/// The kinds of records that operators change. The text form is part of row
/// keys
/// ("config/<kind>/<name>") and of URLs.
enum class RecordKind {
  Team,
  Key,
  Share,
  Limit,
  Queue,
  FailureDomain,
  Worker,
  Partition
};

/// Returns "team", "key", "share", "limit", "queue", "failure_domain", "worker"
/// or "partition".
std::string_view toString(RecordKind Kind);
/// Returns the kind with this text form, or nothing for any other text.
std::optional<RecordKind> parseRecordKind(std::string_view Text);

/// A team. The record's name is the TeamId.
struct TeamRecord {
  std::string DisplayName_;
  friend bool operator==(const TeamRecord &, const TeamRecord &) = default;
};

/// An API key of a team. The record's name is the hexadecimal SHA-256 of the
/// key, so that the store never holds the key itself.
struct KeyRecord {
  TeamId Team_;
  bool Withdrawn_ = false;
  friend bool operator==(const KeyRecord &, const KeyRecord &) = default;
};

/// The weight with which a team shares a full cell. The record's name is the
/// TeamId.
struct ShareRecord {
  double Weight_ = 1.0;
  friend bool operator==(const ShareRecord &, const ShareRecord &) = default;
};

/// The maximum number of running tasks and calls of a team across the fleet.
/// The record's name is the TeamId. A team without a limit record may not run
/// anything.
struct LimitRecord {
  std::uint32_t MaxRunning_ = 0;
  friend bool operator==(const LimitRecord &, const LimitRecord &) = default;
};

/// A queue accepts work of one class. Schema version 1 has only the flag
/// "open"; version 2 replaces it with an access list.
struct QueueRecord {
  WorkClass Class_ = WorkClass::Batch;
  bool OpenToAll_ = false; ///< Requests need no key.
  /// Teams that may use the queue. If empty, every team with a valid key may.
  std::vector<TeamId> Teams_;
  friend bool operator==(const QueueRecord &, const QueueRecord &) = default;
};

/// A failure domain that operators may take out of service.
struct FailureDomainRecord {
  bool Out_ = false; ///< The workers of the domain get no new work.
  friend bool operator==(const FailureDomainRecord &,
                         const FailureDomainRecord &) = default;
};

/// A worker that operators may drain.
struct WorkerRecord {
  bool Draining_ = false; ///< The worker gets no new work.
  friend bool operator==(const WorkerRecord &, const WorkerRecord &) = default;
};

/// A partition, which covers one stripe of the racks of a region. A rack
/// belongs to stripe number hash(rack) modulo Stripes_.
struct PartitionRecord {
  Region Region_;
  std::uint32_t Stripe_ = 0;
  std::uint32_t Stripes_ = 1; ///< Number of stripes in the region.
  friend bool operator==(const PartitionRecord &,
                         const PartitionRecord &) = default;
};

using RecordBody =
    std::variant<TeamRecord, KeyRecord, ShareRecord, LimitRecord, QueueRecord,
                 FailureDomainRecord, WorkerRecord, PartitionRecord>;

RecordKind kindOf(const RecordBody &Body);

/// A stored record. UnknownFields_ holds the fields that this version does not
/// know, so that a change made by an older host preserves them.
struct Record {
  std::string Name_;
  std::uint32_t SchemaVersion_ = 2;
  RecordBody Body_;
  std::string UnknownFields_;
  std::uint64_t Version_ = 0; ///< Version of the table row.
  friend bool operator==(const Record &, const Record &) = default;
};

/// The oldest and newest schema versions that this build can interpret.
inline constexpr std::uint32_t OldestSchemaVersion = 1;
inline constexpr std::uint32_t NewestSchemaVersion = 2;

/// An immutable snapshot of all records at one version of the head row.
class ConfigView {
public:
  ConfigView() = default;
  ConfigView(std::uint64_t HeadVersion, const std::vector<Record> &Records);

  /// Returns the version of the "config-head" row that this view reflects.
  std::uint64_t headVersion() const { return HeadVersion_; }

  const KeyRecord *findKey(const std::string &KeyHash) const;
  const TeamRecord *findTeam(const TeamId &Team) const;
  const QueueRecord *findQueue(const QueueId &Queue) const;
  /// Returns the weight of the team, or 1 if it has no share record.
  double weightOf(const TeamId &Team) const;
  /// Returns the limit of the team, or 0 if it has no limit record.
  std::uint32_t limitOf(const TeamId &Team) const;
  bool isOut(const FailureDomain &Domain) const;
  bool isDraining(const WorkerId &Worker) const;
  const std::map<PartitionId, PartitionRecord> &partitions() const {
    return Partitions_;
  }
  const std::map<TeamId, std::uint32_t> &limits() const { return Limits_; }
  const std::vector<Record> &records() const { return Records_; }

  /// Authorizes a request and returns the team that it runs for. This is the
  /// team that the key belongs to or, for a request without a key on a queue
  /// open to all, the team that the request names. Fails with UnknownKey,
  /// WrongTeam or UnknownQueue and the verdict NotRun.
  Result<TeamId> authorize(const std::optional<std::string> &KeyHash,
                           const TeamId &ClaimedTeam,
                           const QueueId &Queue) const;

  /// Returns the partition that handles the request. It is the same on all
  /// hosts that know the same partitions. Empty if there is no partition.
  std::optional<PartitionId> homePartitionOf(const TeamId &Team,
                                             const RequestId &Request) const;

  /// Returns the partition of the workers in a rack. Empty if no partition, or
  /// more than one, claims the rack.
  std::optional<PartitionId> partitionOf(const Region &WorkerRegion,
                                         const Rack &WorkerRack) const;

private:
  std::uint64_t HeadVersion_ = 0;
  std::vector<Record> Records_;
  std::map<std::string, KeyRecord> Keys_;
  std::map<TeamId, TeamRecord> Teams_;
  std::map<TeamId, double> Weights_;
  std::map<TeamId, std::uint32_t> Limits_;
  std::map<QueueId, QueueRecord> Queues_;
  std::map<FailureDomain, bool> DomainsOut_;
  std::map<WorkerId, bool> WorkersDraining_;
  std::map<PartitionId, PartitionRecord> Partitions_;
};

/// Maximum age of the evidence that a view is current. With older evidence a
/// host stops admitting requests and starting tasks.
inline constexpr Duration MaxEvidenceAge = std::chrono::milliseconds(3000);

/// Stands for an unknown time, which is earlier than any known one. It is far
/// enough from the ends of the range that subtraction cannot overflow.
inline constexpr TimePoint UnknownTime{Duration::min() / 2};

/// A vouch: the last statement of a registered host about the store. All times
/// are on the clock of the host that received it.
struct PeerVouch {
  std::uint64_t HeadVersion_ = 0;
  /// Lower bound of the time at which the peer's latest read of the head began.
  /// Empty if it never read the head.
  std::optional<TimePoint> HeadReadAt_;
  /// True if the peer cannot reach the store, has no change in flight and will
  /// make none until MaxEvidenceAge after its last such statement.
  bool StoreOut_ = false;
  /// Lower bound of the time at which the peer sent the statement, or
  /// UnknownTime if there is none.
  TimePoint SentAt_;
  friend bool operator==(const PeerVouch &, const PeerVouch &) = default;
};

/// Decides whether a host may act on its configuration view (see decision D4 in
/// docs/design.md). Calls may arrive late, twice and in any order. The head
/// version only rises, so the highest one ever seen is the valid one.
class FreshnessGuard {
public:
  explicit FreshnessGuard(HostId Self) : Self_(std::move(Self)) {}

  /// Records this host's own read of the head. \p StartedAt is a time before
  /// the request was sent.
  void noteHeadRead(std::uint64_t HeadVersion, TimePoint BeganAt);
  /// Records that the store did not answer a read that began at \p StartedAt.
  void noteStoreFailure(TimePoint BeganAt);
  /// Records a vouch from a peer's reply to this host's heartbeat.
  void noteVouch(const HostId &Peer, const PeerVouch &Vouch);
  /// Sets the members whose vouches are needed, as returned by
  /// Membership::countedMembers. They include this host once it is registered.
  void setMembers(std::vector<HostId> Members);
  /// Sets the head version of the view that the host applies.
  void setAppliedVersion(std::uint64_t HeadVersion);
  /// Sets whether a change by this host may be in flight. That includes a
  /// change whose outcome is not known yet.
  void setChangeInFlight(bool InFlight) { ChangeInFlight_ = InFlight; }

  /// Returns true if the applied view is proven to have been the head at some
  /// time not older than MaxEvidenceAge, and no evidence shows a higher head.
  bool mayAct(TimePoint Now) const;
  /// Returns the latest time at which the applied view is proven to have been
  /// the head. Empty if there is no such time.
  std::optional<TimePoint> provenAt(TimePoint Now) const;
  /// Returns true if all members state that the store is out.
  bool outageProven(TimePoint Now) const;
  /// Returns the latest time at which the outage proves the applied view. Empty
  /// if the members are not unanimous.
  std::optional<TimePoint> outageProvenAt(TimePoint Now) const;
  /// Returns this host's own vouch for its peers. Stating an outage binds the
  /// host: see mayCommitChange. Must be called again for each reply.
  PeerVouch vouch(TimePoint Now);
  /// Returns whether this host may make operator changes and takeovers. False
  /// until MaxEvidenceAge after its last statement of an outage and after its
  /// registration. Also false until every counted member has answered a
  /// heartbeat since the registration: members that cannot reach the store do
  /// not see the new member row and would otherwise be unanimous without this
  /// host.
  bool mayCommitChange(TimePoint Now) const;
  /// Records that this host registered at \p Now.
  void noteRegistered(TimePoint Now);

private:
  void noteKnownHead(std::uint64_t HeadVersion,
                     std::optional<TimePoint> ReadAt);
  bool seesOutage() const;
  bool isKnownToAllMembers(TimePoint Now) const;

  HostId Self_;
  std::uint64_t Applied_ = 0;
  /// The highest head version in any evidence, and the latest time at which
  /// some host read it.
  std::uint64_t KnownHead_ = 0;
  std::optional<TimePoint> KnownHeadAt_;
  /// The head version of this host's own reads and the times of its reads.
  std::optional<std::uint64_t> HeadVersion_;
  std::optional<TimePoint> HeadReadAt_;
  std::optional<TimePoint> StoreReadAt_;
  std::optional<TimePoint> StoreFailedAt_;
  std::optional<TimePoint> LastOutageVouch_;
  std::optional<TimePoint> RegisteredAt_;
  bool KnownToAllMembers_ = false;
  bool ChangeInFlight_ = false;
  std::vector<HostId> Members_;
  std::map<HostId, PeerVouch> Vouches_;
};

} // namespace oleandergauge

#endif // OLEANDERGAUGE_CONFIG_H
