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

// Messages between the daemon's tasks. The sender of a request chooses its
// token, and the answer carries the same token.

/// A caller's request to its home partition.
using HomeRequest = std::variant<Submitted, CancelRequested, JobQueried>;

/// The task that sent a HomeRequest and waits for its answer.
enum class Requester { Http, Peer };

// ----------------------------------------------------- To the partition task

/// Asks a partition to handle a request; answered with HomeRequestAnswered.
struct HomeRequested {
  Requester From_ = Requester::Http;
  PartitionId Partition_;
  HomeRequest Request_;
  friend bool operator==(const HomeRequested &,
                         const HomeRequested &) = default;
};

/// The requester no longer waits for the answer.
struct HomeRequestAbandoned {
  Requester From_ = Requester::Http;
  Token Token_ = 0;
  friend bool operator==(const HomeRequestAbandoned &,
                         const HomeRequestAbandoned &) = default;
};

/// The state of the freshness guard and this host's rank in the takeover of
/// each partition.
struct EvidenceUpdated {
  TimePoint MayActUntil_;
  TimePoint OutageUntil_;
  bool MayTakeOver_ = false;
  std::map<PartitionId, std::uint32_t> Ranks_;
  /// Partitions that another host is known to own.
  std::set<PartitionId> OwnedElsewhere_;
  friend bool operator==(const EvidenceUpdated &,
                         const EvidenceUpdated &) = default;
};

using PartitionTaskMessage =
    std::variant<HomeRequested, HomeRequestAbandoned, ConfigApplied,
                 EvidenceUpdated, WorkersListed, DrainRequested>;

// -------------------------------------------------------- To the config task

/// The partitions that this host owns now.
struct OwnershipReported {
  std::vector<OwnedPartition> Owned_;
  friend bool operator==(const OwnershipReported &,
                         const OwnershipReported &) = default;
};

/// A peer's encoded heartbeat; answered with HeartbeatAnswered.
struct HeartbeatReceived {
  Token Token_ = 0;
  std::string Body_;
  friend bool operator==(const HeartbeatReceived &,
                         const HeartbeatReceived &) = default;
};

/// An operator's change of one record; answered with RecordChangeAnswered.
struct RecordChangeRequested {
  Token Token_ = 0;
  codec::RecordChange Change_;
  std::string Operator_;
  friend bool operator==(const RecordChangeRequested &,
                         const RecordChangeRequested &) = default;
};

/// Asks for the stored state of a record; answered with RecordAnswered.
struct RecordRequested {
  Token Token_ = 0;
  RecordKind Kind_ = RecordKind::Team;
  std::string Name_;
  friend bool operator==(const RecordRequested &,
                         const RecordRequested &) = default;
};

/// Asks for up to Limit_ changes after the head version After_; answered with
/// ConfigLogAnswered.
struct ConfigLogRequested {
  Token Token_ = 0;
  std::uint64_t After_ = 0;
  std::uint32_t Limit_ = 0;
  friend bool operator==(const ConfigLogRequested &,
                         const ConfigLogRequested &) = default;
};

/// The host drains: its peers must be told, and it must take over no more
/// partitions.
struct DrainStarted {
  friend bool operator==(const DrainStarted &, const DrainStarted &) = default;
};

/// Asks to delete this host's member row; answered with Deregistered.
struct DeregisterRequested {
  friend bool operator==(const DeregisterRequested &,
                         const DeregisterRequested &) = default;
};

using ConfigTaskMessage =
    std::variant<OwnershipReported, HeartbeatReceived, RecordChangeRequested,
                 RecordRequested, ConfigLogRequested, DrainStarted,
                 DeregisterRequested>;

// ---------------------------------------------------------- To the HTTP task

struct HomeRequestAnswered {
  Token Token_ = 0;
  Result<JobStatus> Answer_;
  friend bool operator==(const HomeRequestAnswered &,
                         const HomeRequestAnswered &) = default;
};

/// An immutable snapshot of what this host knows about the cell.
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

/// The statistics of all partitions on this host, for the status page.
struct PartitionsReported {
  std::map<PartitionId, PartitionStats> Partitions_;
  friend bool operator==(const PartitionsReported &,
                         const PartitionsReported &) = default;
};

/// The change is committed. StoredRows_ is the record with its new version, or
/// empty if the record was deleted.
struct ChangeAccepted {
  std::uint64_t HeadVersion_ = 0;
  std::optional<Record> Stored_;
  friend bool operator==(const ChangeAccepted &,
                         const ChangeAccepted &) = default;
};

/// The record has another version than the change expected. Current_ is the
/// stored record. Last_ is the latest change of the record, or empty if it is
/// not among the most recent log entries.
struct ChangeConflict {
  std::optional<Record> Current_;
  std::optional<codec::ConfigLogEntry> Last_;
  friend bool operator==(const ChangeConflict &,
                         const ChangeConflict &) = default;
};

using ChangeOutcome = std::variant<ChangeAccepted, ChangeConflict, Refusal>;

struct RecordChangeAnswered {
  Token Token_ = 0;
  ChangeOutcome Outcome_;
  friend bool operator==(const RecordChangeAnswered &,
                         const RecordChangeAnswered &) = default;
};

struct RecordAnswered {
  Token Token_ = 0;
  Result<std::optional<Record>> Record_;
  friend bool operator==(const RecordAnswered &,
                         const RecordAnswered &) = default;
};

struct ConfigLogAnswered {
  Token Token_ = 0;
  Result<std::vector<codec::ConfigLogEntry>> Changes_;
  friend bool operator==(const ConfigLogAnswered &,
                         const ConfigLogAnswered &) = default;
};

/// Asks to refuse new requests; answered with HttpIdle once none is in flight.
struct RefuseNewRequests {
  friend bool operator==(const RefuseNewRequests &,
                         const RefuseNewRequests &) = default;
};

/// Asks to end the server once no request is in flight, and not to wait for
/// outcomes if AnswerNow_ is set; answered with HttpIdle.
struct EndServer {
  bool AnswerNow_ = false;
  friend bool operator==(const EndServer &, const EndServer &) = default;
};

using HttpTaskMessage =
    std::variant<HomeRequestAnswered, RoutingChanged, PartitionsReported,
                 RecordChangeAnswered, RecordAnswered, ConfigLogAnswered,
                 RefuseNewRequests, EndServer>;

// ---------------------------------------------------------- To the peer task

struct HeartbeatAnswered {
  Token Token_ = 0;
  std::string Body_;
  friend bool operator==(const HeartbeatAnswered &,
                         const HeartbeatAnswered &) = default;
};

using PeerTaskMessage = std::variant<HomeRequestAnswered, HeartbeatAnswered>;

// --------------------------------------------------------------- To the host

struct HttpIdle {
  friend bool operator==(const HttpIdle &, const HttpIdle &) = default;
};

/// Every partition has committed its work and released its lease.
struct PartitionsDrained {
  friend bool operator==(const PartitionsDrained &,
                         const PartitionsDrained &) = default;
};

struct Deregistered {
  friend bool operator==(const Deregistered &, const Deregistered &) = default;
};

/// A task could not start, for example because an address cannot be bound.
struct TaskFailed {
  std::string Message_;
  friend bool operator==(const TaskFailed &, const TaskFailed &) = default;
};

using HostMessage =
    std::variant<HttpIdle, PartitionsDrained, Deregistered, TaskFailed>;

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_MESSAGES_H
