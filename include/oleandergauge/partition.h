#ifndef OLEANDERGAUGE_PARTITION_H
#define OLEANDERGAUGE_PARTITION_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "oleandergauge/base.h"
#include "oleandergauge/config.h"
#include "oleandergauge/journal.h"
#include "oleandergauge/lease.h"
#include "oleandergauge/scheduler.h"
#include "oleandergauge/table.h"

namespace oleandergauge {

/// Chosen by the caller of Partition to recognise an answer.
using Token = std::uint64_t;

/// How long a worker runs tasks after a renewal.
inline constexpr Duration WorkerLeaseLength = std::chrono::milliseconds(12000);
/// Time between two renewal and report exchanges with a worker.
inline constexpr Duration WorkerExchangeInterval =
    std::chrono::milliseconds(1000);
/// Longest time that a command sent to a worker can take to have its effect.
inline constexpr Duration MaxDeliveryDelay = std::chrono::milliseconds(1000);
/// A silent worker's tasks run nowhere this long after the last renewal:
/// the lease, 10% for clocks that run at different rates, and the delivery.
inline constexpr Duration WorkerLossDelay =
    WorkerLeaseLength + WorkerLeaseLength / 10 + MaxDeliveryDelay;
/// A new owner gives a worker no work before a report that was asked for
/// this long after the takeover. An old owner's last command was sent 400 ms
/// or more before the takeover, so together that is the delivery bound. Where
/// the new owner vouched for an outage around the takeover, it waits for the
/// evidence bound as well.
inline constexpr Duration TakeoverSettleDelay = std::chrono::milliseconds(600);
/// A submission waits this long for its journal write to be sent.
inline constexpr Duration CommitTimeout = std::chrono::milliseconds(5000);
/// Submissions of a partition that may wait for the journal.
inline constexpr std::size_t MaxUncommittedJobs = 1024;
/// Ended jobs are kept this long at the least, for retries.
inline constexpr Duration RequestRetention = std::chrono::minutes(15);

// ---------------------------------------------------------------- Events

/// A caller's job or call. The entry host has checked its key and queue against
/// a proven view.
struct Submitted {
  Token Token_ = 0;
  JobSpec Spec_;
  friend bool operator==(const Submitted &, const Submitted &) = default;
};

struct CancelRequested {
  Token Token_ = 0;
  TeamId Team_;
  JobId Job_;
  friend bool operator==(const CancelRequested &,
                         const CancelRequested &) = default;
};

/// Asks for a job's state; WaitForEnd_ holds the answer until the job ends.
struct JobQueried {
  Token Token_ = 0;
  TeamId Team_;
  JobId Job_;
  bool WaitForEnd_ = false;
  friend bool operator==(const JobQueried &, const JobQueried &) = default;
};

/// The caller went away; no answer is wanted any more.
struct CallerDisconnected {
  Token Token_ = 0;
  friend bool operator==(const CallerDisconnected &,
                         const CallerDisconnected &) = default;
};

struct TableAnswered {
  Token Token_ = 0;
  TableReply Reply_;
  friend bool operator==(const TableAnswered &,
                         const TableAnswered &) = default;
};

/// How a start command or call ended, from the sender's view.
enum class CommandOutcome {
  NotSent, ///< Certainly never reached the worker.
  Refused, ///< The worker said no and runs nothing of it.
  Started, ///< The worker runs it (or has run it, for a call).
  Unknown  ///< Sent without an answer.
};

struct StartAnswered {
  TaskId Task_;
  std::uint32_t Attempt_ = 0;
  CommandOutcome Outcome_ = CommandOutcome::Unknown;
  friend bool operator==(const StartAnswered &,
                         const StartAnswered &) = default;
};

/// Answer to a direct call; with Started the exit code and output are set.
struct CallAnswered {
  TaskId Task_;
  std::uint32_t Attempt_ = 0;
  CommandOutcome Outcome_ = CommandOutcome::Unknown;
  std::int32_t ExitCode_ = 0;
  std::string Output_;
  friend bool operator==(const CallAnswered &, const CallAnswered &) = default;
};

struct RunningTask {
  TaskId Task_;
  std::uint32_t Attempt_ = 0;
  bool Call_ = false;
  Resources Usage_;
  friend bool operator==(const RunningTask &, const RunningTask &) = default;
};

struct FinishedTask {
  TaskId Task_;
  std::uint32_t Attempt_ = 0;
  std::int32_t ExitCode_ = 0;
  bool Checkpointed_ = false;
  std::string Output_;
  friend bool operator==(const FinishedTask &, const FinishedTask &) = default;
};

/// A worker's answer to an exchange that was sent at SentAt_.
struct WorkerReported {
  WorkerId Worker_;
  TimePoint SentAt_;
  std::vector<RunningTask> Running_;
  std::vector<FinishedTask> Finished_;
  friend bool operator==(const WorkerReported &,
                         const WorkerReported &) = default;
};

struct WorkerUnresponsive {
  WorkerId Worker_;
  friend bool operator==(const WorkerUnresponsive &,
                         const WorkerUnresponsive &) = default;
};

/// One worker of the live list.
struct ListedWorker {
  WorkerInfo Info_;
  bool Leaving_ = false;
  friend bool operator==(const ListedWorker &, const ListedWorker &) = default;
};

/// The live list's present workers, of all partitions.
struct WorkersListed {
  std::vector<ListedWorker> Workers_;
  friend bool operator==(const WorkersListed &,
                         const WorkersListed &) = default;
};

struct ConfigApplied {
  std::shared_ptr<const ConfigView> View_;
  friend bool operator==(const ConfigApplied &,
                         const ConfigApplied &) = default;
};

/// The freshness guard's state: the partition may start work until
/// MayActUntil_, and renew worker leases without its own lease until
/// OutageUntil_.
struct EvidenceChanged {
  TimePoint MayActUntil_;
  TimePoint OutageUntil_;
  bool MayTakeOver_ = false;
  std::uint32_t Rank_ = 0; ///< Among the live hosts, for takeovers.
  friend bool operator==(const EvidenceChanged &,
                         const EvidenceChanged &) = default;
};

/// Time passes; to be sent at least every 10 ms while owner.
struct Tick {
  friend bool operator==(const Tick &, const Tick &) = default;
};

/// The host shuts down: finish what is in flight and let the lease go.
struct DrainRequested {
  friend bool operator==(const DrainRequested &,
                         const DrainRequested &) = default;
};

using PartitionEvent =
    std::variant<Submitted, CancelRequested, JobQueried, CallerDisconnected,
                 TableAnswered, StartAnswered, CallAnswered, WorkerReported,
                 WorkerUnresponsive, WorkersListed, ConfigApplied,
                 EvidenceChanged, Tick, DrainRequested>;

// --------------------------------------------------------------- Effects

struct SendTableRequest {
  Token Token_ = 0;
  TableRequest Request_;
  friend bool operator==(const SendTableRequest &,
                         const SendTableRequest &) = default;
};

/// Start a task, or make a direct call where the class is Direct. The sender
/// looks at the clock directly before it writes and answers NotSent at or
/// after ValidUntil_.
struct StartOnWorker {
  WorkerId Worker_;
  std::string Address_;
  TaskId Task_;
  std::uint32_t Attempt_ = 0;
  std::shared_ptr<const JobSpec> Spec_;
  Resources Reserved_;
  Epoch Epoch_ = 0;
  Duration Lease_{0};
  TimePoint ValidUntil_;
};

/// Renews the leases of the attempts in Renew_ and asks for a report.
/// AcknowledgedEnds_ names finished attempts whose end is committed. Not sent
/// at or after ValidUntil_.
struct ExchangeWithWorker {
  WorkerId Worker_;
  std::string Address_;
  Epoch Epoch_ = 0;
  Duration Lease_{0};
  std::vector<AttemptId> Renew_;
  std::vector<AttemptId> AcknowledgedEnds_;
  TimePoint ValidUntil_;
  friend bool operator==(const ExchangeWithWorker &,
                         const ExchangeWithWorker &) = default;
};

enum class StopMode { Stop, Checkpoint, Throttle };

struct StopOnWorker {
  WorkerId Worker_;
  std::string Address_;
  AttemptId Attempt_;
  StopMode Mode_ = StopMode::Stop;
  friend bool operator==(const StopOnWorker &, const StopOnWorker &) = default;
};

enum class TaskState { Waiting, Starting, Running, Unknown, Ended };

/// "waiting", "starting", "running", "unknown" or "ended".
std::string_view toString(TaskState Value);

struct TaskStatus {
  TaskId Task_;
  TaskState State_ = TaskState::Waiting;
  std::uint32_t Attempt_ = 0;
  WorkerId Worker_; ///< Empty while waiting.
  Verdict Verdict_ = Verdict::NotRun;
  std::int32_t ExitCode_ = 0;
  std::string Output_;
  std::string Explanation_; ///< Why it waits.
  friend bool operator==(const TaskStatus &, const TaskStatus &) = default;
};

/// A job as its submitter sees it.
struct JobStatus {
  JobId Job_;
  TeamId Team_;
  QueueId Queue_;
  WorkClass Class_ = WorkClass::Batch;
  bool Ended_ = false;
  std::optional<RefusalReason> CancelledFor_;
  std::vector<TaskStatus> Tasks_;
  friend bool operator==(const JobStatus &, const JobStatus &) = default;
};

struct ReplyToCaller {
  Token Token_ = 0;
  Result<JobStatus> Answer_;
  friend bool operator==(const ReplyToCaller &,
                         const ReplyToCaller &) = default;
};

/// The host gained (Owned_) or lost the partition.
struct OwnershipChanged {
  bool Owned_ = false;
  Epoch Epoch_ = 0;
  friend bool operator==(const OwnershipChanged &,
                         const OwnershipChanged &) = default;
};

/// All is committed and the lease was let go.
struct Drained {
  friend bool operator==(const Drained &, const Drained &) = default;
};

/// A figure for the histograms of a team and class, or for counters. Names:
/// "wait_us" (submission to start), "run_us", "placements", "preemptions",
/// "lost_tasks", "refusals", "orphans".
struct MetricSample {
  std::string_view Name_;
  TeamId Team_;
  WorkClass Class_ = WorkClass::Batch;
  std::int64_t Value_ = 1;
  friend bool operator==(const MetricSample &, const MetricSample &) = default;
};

using PartitionEffect =
    std::variant<SendTableRequest, StartOnWorker, ExchangeWithWorker,
                 StopOnWorker, ReplyToCaller, OwnershipChanged, Drained,
                 MetricSample>;

// ------------------------------------------------------------- Partition

/// What a partition holds, for status pages and capacity figures.
struct PartitionStats {
  bool Owned_ = false;
  Epoch Epoch_ = 0;
  std::size_t Workers_ = 0;
  std::size_t OpenWorkers_ = 0;
  std::size_t Jobs_ = 0;
  std::size_t Waiting_ = 0;
  std::size_t Running_ = 0;
  std::uint64_t JournalSequence_ = 0;
  friend bool operator==(const PartitionStats &,
                         const PartitionStats &) = default;
};

/// Everything one host does for one partition, as challenger and as owner:
/// lease, recovery, admission, placement, leases of workers, answers. A pure
/// state machine: events in, effects out, no clock and no I/O. Events with an
/// answer to an effect may come late, doubled, in any order or never.
class Partition {
public:
  Partition(const PartitionId &Id, const HostId &Self, std::string Address,
            SchedulerOptions Options = {});
  ~Partition();
  Partition(Partition &&) noexcept;
  Partition &operator=(Partition &&) noexcept;

  std::vector<PartitionEffect> handle(TimePoint Now,
                                      const PartitionEvent &Event);

  /// True while this host may decide for the partition.
  bool owned(TimePoint Now) const;
  PartitionStats stats(TimePoint Now) const;

private:
  class Engine;
  std::unique_ptr<Engine> Engine_;
};

} // namespace oleandergauge

#endif // OLEANDERGAUGE_PARTITION_H
