#ifndef OLEANDERGAUGE_DAEMON_MESSAGES_H
#define OLEANDERGAUGE_DAEMON_MESSAGES_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "codec/records.h"
#include "daemon/task.h"
#include "oleandergauge/config.h"
#include "oleandergauge/membership.h"
#include "oleandergauge/partition.h"

namespace oleandergauge::daemon {

// Messages between the daemon's tasks. Tokens are chosen by the sender of a
// request and come back with the answer.

/// A caller's request to its home partition.
using HomeRequest = std::variant<Submitted, CancelRequested, JobQueried>;

/// The task that waits for the answer to a HomeRequest.
enum class Requester { Http, Peer };

// ----------------------------------------------------- To the partition task

struct HomeAsked {
  Requester From_ = Requester::Http;
  PartitionId Partition_;
  HomeRequest Request_;
  friend bool operator==(const HomeAsked &, const HomeAsked &) = default;
};

/// The answer is no longer wanted.
struct HomeAbandoned {
  Requester From_ = Requester::Http;
  Token Token_ = 0;
  friend bool operator==(const HomeAbandoned &,
                         const HomeAbandoned &) = default;
};

/// The freshness guard's state and this host's rank for each partition.
struct EvidenceShared {
  TimePoint MayActUntil_;
  TimePoint OutageUntil_;
  bool MayTakeOver_ = false;
  std::map<PartitionId, std::uint32_t> Ranks_;
  /// Partitions that another host is known to own.
  std::set<PartitionId> OwnedElsewhere_;
  friend bool operator==(const EvidenceShared &,
                         const EvidenceShared &) = default;
};

using PartitionTaskMessage =
    std::variant<HomeAsked, HomeAbandoned, ConfigApplied, EvidenceShared,
                 WorkersListed, DrainRequested>;

// -------------------------------------------------------- To the config task

struct OwnershipReported {
  std::vector<OwnedPartition> Owned_;
  friend bool operator==(const OwnershipReported &,
                         const OwnershipReported &) = default;
};

/// A peer's heartbeat as it came; answered with HeartbeatAnswered.
struct HeartbeatReceived {
  Token Token_ = 0;
  std::string Body_;
  friend bool operator==(const HeartbeatReceived &,
                         const HeartbeatReceived &) = default;
};

/// An operator's change of one record; answered with ChangeAnswered.
struct ChangeAsked {
  Token Token_ = 0;
  codec::RecordChange Change_;
  std::string Operator_;
  friend bool operator==(const ChangeAsked &, const ChangeAsked &) = default;
};

/// Asks for a record as the store has it now.
struct RecordAsked {
  Token Token_ = 0;
  RecordKind Kind_ = RecordKind::Team;
  std::string Name_;
  friend bool operator==(const RecordAsked &, const RecordAsked &) = default;
};

/// Asks for up to Limit_ changes after the head version After_.
struct LogAsked {
  Token Token_ = 0;
  std::uint64_t After_ = 0;
  std::uint32_t Limit_ = 0;
  friend bool operator==(const LogAsked &, const LogAsked &) = default;
};

/// Shut down in order: tell the peers, take over nothing more.
struct DrainAnnounced {
  friend bool operator==(const DrainAnnounced &,
                         const DrainAnnounced &) = default;
};

/// Delete the member row; answered with Deregistered.
struct DeregisterRequested {
  friend bool operator==(const DeregisterRequested &,
                         const DeregisterRequested &) = default;
};

using ConfigTaskMessage =
    std::variant<OwnershipReported, HeartbeatReceived, ChangeAsked, RecordAsked,
                 LogAsked, DrainAnnounced, DeregisterRequested>;

// ---------------------------------------------------------- To the HTTP task

struct HomeAnswered {
  Token Token_ = 0;
  Result<JobStatus> Answer_;
  friend bool operator==(const HomeAnswered &, const HomeAnswered &) = default;
};

/// What the entry host knows of the cell; immutable.
struct Routing {
  std::shared_ptr<const ConfigView> View_;
  TimePoint MayActUntil_;
  TimePoint OutageUntil_;
  std::map<PartitionId, Member> Owners_;
  std::vector<Member> Members_;
  std::vector<HostId> Live_;
  friend bool operator==(const Routing &, const Routing &) = default;
};

struct RoutingChanged {
  std::shared_ptr<const Routing> Routing_;
  friend bool operator==(const RoutingChanged &,
                         const RoutingChanged &) = default;
};

struct PartitionsReported {
  std::map<PartitionId, PartitionStats> Partitions_;
  friend bool operator==(const PartitionsReported &,
                         const PartitionsReported &) = default;
};

/// The change is committed. Stored_ is the record with its new version; empty
/// where it was deleted.
struct ChangeAccepted {
  std::uint64_t HeadVersion_ = 0;
  std::optional<Record> Stored_;
  friend bool operator==(const ChangeAccepted &,
                         const ChangeAccepted &) = default;
};

/// Another change came first. Last_ is empty where it is too old to be found
/// at once.
struct ChangeConflict {
  std::optional<Record> Present_;
  std::optional<codec::ConfigLogEntry> Last_;
  friend bool operator==(const ChangeConflict &,
                         const ChangeConflict &) = default;
};

using ChangeOutcome = std::variant<ChangeAccepted, ChangeConflict, Refusal>;

struct ChangeAnswered {
  Token Token_ = 0;
  ChangeOutcome Outcome_;
  friend bool operator==(const ChangeAnswered &,
                         const ChangeAnswered &) = default;
};

struct RecordAnswered {
  Token Token_ = 0;
  Result<std::optional<Record>> Record_;
  friend bool operator==(const RecordAnswered &,
                         const RecordAnswered &) = default;
};

struct LogAnswered {
  Token Token_ = 0;
  Result<std::vector<codec::ConfigLogEntry>> Changes_;
  friend bool operator==(const LogAnswered &, const LogAnswered &) = default;
};

/// Refuse new requests; answered with HttpIdle once none is in flight.
struct RefuseNew {
  friend bool operator==(const RefuseNew &, const RefuseNew &) = default;
};

using HttpTaskMessage =
    std::variant<HomeAnswered, RoutingChanged, PartitionsReported,
                 ChangeAnswered, RecordAnswered, LogAnswered, RefuseNew>;

// ---------------------------------------------------------- To the peer task

struct HeartbeatAnswered {
  Token Token_ = 0;
  std::string Body_;
  friend bool operator==(const HeartbeatAnswered &,
                         const HeartbeatAnswered &) = default;
};

using PeerTaskMessage = std::variant<HomeAnswered, HeartbeatAnswered>;

// --------------------------------------------------------------- To the host

struct HttpIdle {
  friend bool operator==(const HttpIdle &, const HttpIdle &) = default;
};

/// Every partition has committed its work and let its lease go.
struct PartitionsDrained {
  friend bool operator==(const PartitionsDrained &,
                         const PartitionsDrained &) = default;
};

struct Deregistered {
  friend bool operator==(const Deregistered &, const Deregistered &) = default;
};

/// A task cannot go on, as when an address cannot be bound.
struct TaskFailed {
  std::string Message_;
  friend bool operator==(const TaskFailed &, const TaskFailed &) = default;
};

using HostMessage =
    std::variant<HttpIdle, PartitionsDrained, Deregistered, TaskFailed>;

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_MESSAGES_H
