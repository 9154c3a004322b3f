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

/// Kinds of records that operators change. The text form stands in row keys
/// ("config/<kind>/<name>") and in URLs.
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

/// "team", "key", "share", "limit", "queue", "failure_domain", "worker",
/// "partition".
std::string_view toString(RecordKind Kind);
std::optional<RecordKind> parseRecordKind(std::string_view Text);

struct TeamRecord {
  std::string DisplayName_;
  friend bool operator==(const TeamRecord &, const TeamRecord &) = default;
};

/// The record's name is the hexadecimal SHA-256 of the key, so that the store
/// never holds the key itself.
struct KeyRecord {
  TeamId Team_;
  bool Withdrawn_ = false;
  friend bool operator==(const KeyRecord &, const KeyRecord &) = default;
};

/// Weight of a team when the cell is full; the record's name is the team.
struct ShareRecord {
  double Weight_ = 1.0;
  friend bool operator==(const ShareRecord &, const ShareRecord &) = default;
};

/// Upper limit of running tasks and calls of a team across the fleet; the
/// record's name is the team. A team without a limit record may run nothing.
struct LimitRecord {
  std::uint32_t MaxRunning_ = 0;
  friend bool operator==(const LimitRecord &, const LimitRecord &) = default;
};

/// A queue takes work of one class. Schema version 1 has only the flag
/// "open"; version 2 replaces it by an access list.
struct QueueRecord {
  WorkClass Class_ = WorkClass::Batch;
  bool OpenToAll_ = false;
  std::vector<TeamId> Teams_; ///< Empty: every team with a valid key.
  friend bool operator==(const QueueRecord &, const QueueRecord &) = default;
};

struct FailureDomainRecord {
  bool Out_ = false;
  friend bool operator==(const FailureDomainRecord &,
                         const FailureDomainRecord &) = default;
};

struct WorkerRecord {
  bool Draining_ = false;
  friend bool operator==(const WorkerRecord &, const WorkerRecord &) = default;
};

/// One stripe of the racks of a region.
struct PartitionRecord {
  Region Region_;
  std::uint32_t Stripe_ = 0;
  std::uint32_t Stripes_ = 1;
  friend bool operator==(const PartitionRecord &,
                         const PartitionRecord &) = default;
};

using RecordBody =
    std::variant<TeamRecord, KeyRecord, ShareRecord, LimitRecord, QueueRecord,
                 FailureDomainRecord, WorkerRecord, PartitionRecord>;

RecordKind kindOf(const RecordBody &Body);

/// A record as stored. UnknownFields_ holds the fields that this version does
/// not know, so that they survive a change made by an old host.
struct Record {
  std::string Name_;
  std::uint32_t SchemaVersion_ = 2;
  RecordBody Body_;
  std::string UnknownFields_;
  std::uint64_t Version_ = 0; ///< Version of the table row.
  friend bool operator==(const Record &, const Record &) = default;
};

/// The oldest and newest schema versions that this build honours.
inline constexpr std::uint32_t OldestSchemaVersion = 1;
inline constexpr std::uint32_t NewestSchemaVersion = 2;

/// An immutable view of all records at one version of the head.
class ConfigView {
public:
  ConfigView() = default;
  ConfigView(std::uint64_t HeadVersion, const std::vector<Record> &Records);

  /// The version of "config-head" that this view shows.
  std::uint64_t headVersion() const { return HeadVersion_; }

  const KeyRecord *findKey(const std::string &KeyHash) const;
  const TeamRecord *findTeam(const TeamId &Team) const;
  const QueueRecord *findQueue(const QueueId &Queue) const;
  /// 1 where the team has no share record.
  double weightOf(const TeamId &Team) const;
  /// 0 where the team has no limit record.
  std::uint32_t limitOf(const TeamId &Team) const;
  bool isOut(const FailureDomain &Domain) const;
  bool isDraining(const WorkerId &Worker) const;
  const std::map<PartitionId, PartitionRecord> &partitions() const {
    return Partitions_;
  }
  const std::map<TeamId, std::uint32_t> &limits() const { return Limits_; }
  const std::vector<Record> &records() const { return Records_; }

  /// Checks a caller's key and queue: the team whose key came with the
  /// request. On a queue open to all a request without a key runs for the
  /// team it names. Fails with UnknownKey, WrongTeam or UnknownQueue, always
  /// NotRun.
  Result<TeamId> authorize(const std::optional<std::string> &KeyHash,
                           const TeamId &ClaimedTeam,
                           const QueueId &Queue) const;

  /// The partition that keeps the request, the same on every host with the
  /// same partitions. Empty where there is no partition.
  std::optional<PartitionId> homePartitionOf(const TeamId &Team,
                                             const RequestId &Request) const;

  /// The partition to which a worker belongs.
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

/// How old evidence may be before a host stops admitting and starting.
inline constexpr Duration MaxEvidenceAge = std::chrono::milliseconds(3000);

/// Stands for a moment that is not known, earlier than any known one; far
/// enough from the ends of the range that a difference cannot overflow.
inline constexpr TimePoint UnknownTime{Duration::min() / 2};

/// What one registered host last said about the store. Times are on the
/// clock of the host that keeps this.
struct PeerVouch {
  std::uint64_t HeadVersion_ = 0;
  /// Moment, not later than the real one, at which the peer's read of the
  /// head began; empty where it never read it.
  std::optional<TimePoint> HeadReadAt_;
  /// True where the peer cannot reach the store, has no change in flight and
  /// will make none until MaxEvidenceAge after its last vouch.
  bool StoreOut_ = false;
  /// Moment, not later than the real one, at which the peer sent this;
  /// UnknownTime where nothing bounds it.
  TimePoint SentAt_;
  friend bool operator==(const PeerVouch &, const PeerVouch &) = default;
};

/// Decides whether a host may act on its view of the records. See decision
/// D4 in docs/design.md. Calls may come late, doubled and in any order; the
/// head version only rises, so the highest one that was ever seen counts.
class FreshnessGuard {
public:
  explicit FreshnessGuard(HostId Self) : Self_(std::move(Self)) {}

  /// The host's own read of the head: \p BeganAt is taken before the request
  /// was sent.
  void noteHeadRead(std::uint64_t HeadVersion, TimePoint BeganAt);
  /// The store did not answer a read that began at \p BeganAt.
  void noteStoreFailure(TimePoint BeganAt);
  /// A vouch out of a peer's reply to this host's heartbeat.
  void noteVouch(const HostId &Peer, const PeerVouch &Vouch);
  /// The registered members, less those that the live list has shown gone
  /// for its lag. The host itself is among them once it is registered.
  void setMembers(std::vector<HostId> Members);
  /// The view the host acts on now.
  void setAppliedVersion(std::uint64_t HeadVersion);
  /// True while a change of this host may be in flight, which includes a
  /// change whose outcome is not known yet.
  void setChangeInFlight(bool InFlight) { ChangeInFlight_ = InFlight; }

  /// True where the applied view is proven to be the head at a moment not
  /// older than MaxEvidenceAge, and nothing shows a higher head.
  bool mayAct(TimePoint Now) const;
  /// The moment up to which the applied view is proven; empty where never.
  std::optional<TimePoint> provenAt(TimePoint Now) const;
  /// True where unanimous members say that the store is out.
  bool outageProven(TimePoint Now) const;
  /// The moment up to which an outage proves the applied view; empty where
  /// the members are not unanimous.
  std::optional<TimePoint> outageProvenAt(TimePoint Now) const;
  /// What this host tells its peers. A vouch of an outage binds the host:
  /// see mayCommitChange. Must be made anew for each reply.
  PeerVouch vouch(TimePoint Now);
  /// False until MaxEvidenceAge after the last vouch of an outage and after
  /// registration; applies to operator changes and takeovers. Also false
  /// until every counted member has answered a heartbeat once since the
  /// registration: members that are cut off from the store cannot read the
  /// new row and would otherwise be unanimous without this host.
  bool mayCommitChange(TimePoint Now) const;
  /// The host registered at \p Now.
  void noteRegistered(TimePoint Now);

private:
  void noteKnownHead(std::uint64_t HeadVersion,
                     std::optional<TimePoint> ReadAt);
  bool seesOutage() const;
  bool isKnownToAllMembers(TimePoint Now) const;

  HostId Self_;
  std::uint64_t Applied_ = 0;
  /// The highest head that any evidence shows, and when it was last read.
  std::uint64_t KnownHead_ = 0;
  std::optional<TimePoint> KnownHeadAt_;
  /// The host's own reads.
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
