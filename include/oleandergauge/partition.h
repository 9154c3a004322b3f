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

/// Matches an answer to its request. The side that sends the request chooses
/// the token: the caller of Partition for submissions, cancellations and
/// queries, Partition for table requests.
using Token = std::uint64_t;

/// How long a worker may run a task after its start or its last lease renewal.
inline constexpr Duration WorkerLeaseLength = std::chrono::milliseconds(12000);
/// Time between two exchanges with a worker. An exchange renews the leases of
/// the worker's tasks and asks for a report of what it runs.
inline constexpr Duration WorkerExchangeInterval =
    std::chrono::milliseconds(1000);
/// Longest time between sending a command to a worker and its effect.
inline constexpr Duration MaxDeliveryDelay = std::chrono::milliseconds(1000);
/// The tasks of an unresponsive worker are known to have ended once this time
/// has passed since the last renewal: the lease, 10% of it because clocks run
/// at different rates, and the delivery of the renewal.
inline constexpr Duration WorkerLossDelay =
    WorkerLeaseLength + WorkerLeaseLength / 10 + MaxDeliveryDelay;
/// A new owner gives a worker no work before the worker has answered an
/// exchange that was sent at least this long after the takeover. The former
/// owner's last command was sent 400 ms or more before the takeover, so that
/// the two together reach MaxDeliveryDelay. If the new owner vouched for an
/// outage around the takeover, it waits for MaxEvidenceAge as well.
inline constexpr Duration TakeoverSettleDelay = std::chrono::milliseconds(600);
/// A submission whose journal write is not sent within this time is refused.
/// One whose write is sent but not confirmed within twice this time is answered
/// with the verdict MayHaveRun.
inline constexpr Duration CommitTimeout = std::chrono::milliseconds(5000);
/// Submissions of a partition that may wait for the journal. New ones are
/// refused above four journal transitions for each.
inline constexpr std::size_t MaxUncommittedJobs = 1024;
/// Minimum time for which an ended job is kept, so that a retry of its request
/// finds it.
inline constexpr Duration RequestRetention = std::chrono::minutes(15);

// ---------------------------------------------------------------- Events

/// A caller submitted a job or a direct call. The entry host has authorized its
/// key and queue with a configuration view that is proven to be current.
struct Submitted {
  Token Token_ = 0;
  JobSpec Spec_;
  friend bool operator==(const Submitted &, const Submitted &) = default;
};

/// A caller asked to cancel a job. The answer follows once the cancellation is
/// committed.
struct CancelRequested {
  Token Token_ = 0;
  TeamId Team_;
  JobId Job_;
  friend bool operator==(const CancelRequested &,
                         const CancelRequested &) = default;
};

/// A caller asked for a job's state. With WaitForEnd_ the answer is delayed
/// until the job ends.
struct JobQueried {
  Token Token_ = 0;
  TeamId Team_;
  JobId Job_;
  bool WaitForEnd_ = false;
  friend bool operator==(const JobQueried &, const JobQueried &) = default;
};

/// The caller closed its connection and needs no answer. A call that has not
/// started is cancelled if no other caller waits for it.
struct CallerDisconnected {
  Token Token_ = 0;
  friend bool operator==(const CallerDisconnected &,
                         const CallerDisconnected &) = default;
};

/// The reply to a SendTableRequest effect.
struct TableAnswered {
  Token Token_ = 0;
  TableReply Reply_;
  friend bool operator==(const TableAnswered &,
                         const TableAnswered &) = default;
};

/// Outcome of a start command or direct call, as known to its sender.
enum class CommandOutcome {
  NotSent, ///< The command never reached the worker.
  Refused, ///< The worker refused the command and did not run the task.
  Started, ///< The worker runs the task, or has completed the call.
  Unknown  ///< The command was sent but not answered.
};

/// The answer to a start command.
struct StartAnswered {
  TaskId Task_;
  std::uint32_t Attempt_ = 0;
  CommandOutcome Outcome_ = CommandOutcome::Unknown;
  friend bool operator==(const StartAnswered &,
                         const StartAnswered &) = default;
};

/// The answer to a direct call. The exit code and the output are set if the
/// outcome is Started.
struct CallAnswered {
  TaskId Task_;
  std::uint32_t Attempt_ = 0;
  CommandOutcome Outcome_ = CommandOutcome::Unknown;
  std::int32_t ExitCode_ = 0;
  std::string Output_;
  friend bool operator==(const CallAnswered &, const CallAnswered &) = default;
};

/// An attempt that a worker reports as running.
struct RunningTask {
  TaskId Task_;
  std::uint32_t Attempt_ = 0;
  bool Call_ = false; ///< The attempt is a direct call.
  Resources Usage_;
  friend bool operator==(const RunningTask &, const RunningTask &) = default;
};

/// An attempt that ended at a worker and whose end is not acknowledged yet.
struct FinishedTask {
  TaskId Task_;
  std::uint32_t Attempt_ = 0;
  std::int32_t ExitCode_ = 0;
  bool Checkpointed_ = false;
  std::string Output_;
  friend bool operator==(const FinishedTask &, const FinishedTask &) = default;
};

/// A worker's answer to the exchange that was sent at SentAt_.
struct WorkerReported {
  WorkerId Worker_;
  TimePoint SentAt_;
  std::vector<RunningTask> Running_;
  std::vector<FinishedTask> Finished_;
  friend bool operator==(const WorkerReported &,
                         const WorkerReported &) = default;
};

/// An exchange with the worker got no answer.
struct WorkerUnresponsive {
  WorkerId Worker_;
  friend bool operator==(const WorkerUnresponsive &,
                         const WorkerUnresponsive &) = default;
};

/// A worker in the live list.
struct ListedWorker {
  WorkerInfo Info_;
  bool Leaving_ = false; ///< The worker shuts down and takes no new work.
  friend bool operator==(const ListedWorker &, const ListedWorker &) = default;
};

/// The live list was read. Contains the present workers of all partitions.
struct WorkersListed {
  std::vector<ListedWorker> Workers_;
  friend bool operator==(const WorkersListed &,
                         const WorkersListed &) = default;
};

/// The host applies a new configuration view. Older views than the present one
/// are ignored.
struct ConfigApplied {
  std::shared_ptr<const ConfigView> View_;
  friend bool operator==(const ConfigApplied &,
                         const ConfigApplied &) = default;
};

/// The evidence held by the host's FreshnessGuard changed.
struct EvidenceChanged {
  /// The applied configuration view counts as current until this time. Work
  /// starts only before it.
  TimePoint MayActUntil_;
  /// An outage of the store is proven until this time. Until then the last
  /// owner renews worker leases without a lease of its own.
  TimePoint OutageUntil_;
  bool MayTakeOver_ = false;
  /// Position of this host among the live hosts in the order of takeover.
  std::uint32_t Rank_ = 0;
  friend bool operator==(const EvidenceChanged &,
                         const EvidenceChanged &) = default;
};

/// Lets work run that is due by time alone. The owner needs one at least every
/// 10 ms.
struct Tick {
  friend bool operator==(const Tick &, const Tick &) = default;
};

/// The host shuts down. The partition completes what is in flight and releases
/// its lease; Drained follows.
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

/// Send a request to the table service and answer with TableAnswered.
struct SendTableRequest {
  Token Token_ = 0;
  TableRequest Request_;
  friend bool operator==(const SendTableRequest &,
                         const SendTableRequest &) = default;
};

/// Start a task at a worker, or make a direct call if the class is Direct. The
/// sender reads the clock immediately before it sends the command and answers
/// NotSent at or after ValidUntil_.
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

/// Renew the leases of the attempts in Renew_ and ask the worker for a report.
/// AcknowledgedEnds_ names finished attempts whose end is committed, which the
/// worker may discard. The sender drops the exchange at or after ValidUntil_.
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

/// Stop ends the attempt. Checkpoint lets it save its state and end. Throttle
/// slows it down and lets it run on.
enum class StopMode { Stop, Checkpoint, Throttle };

/// Stop, checkpoint or throttle an attempt at a worker.
struct StopOnWorker {
  WorkerId Worker_;
  std::string Address_;
  AttemptId Attempt_;
  StopMode Mode_ = StopMode::Stop;
  friend bool operator==(const StopOnWorker &, const StopOnWorker &) = default;
};

/// Unknown means that the attempt may run, but neither the answer to its start
/// command nor a report has confirmed it.
enum class TaskState { Waiting, Starting, Running, Unknown, Ended };

/// Returns "waiting", "starting", "running", "unknown" or "ended".
std::string_view toString(TaskState Value);

/// The state of one task as shown to the submitter.
struct TaskStatus {
  TaskId Task_;
  TaskState State_ = TaskState::Waiting;
  std::uint32_t Attempt_ = 0;
  WorkerId Worker_; ///< Empty while waiting.
  Verdict Verdict_ = Verdict::NotRun;
  std::int32_t ExitCode_ = 0;
  std::string Output_;
  std::string Explanation_; ///< Why the task waits; empty in other states.
  friend bool operator==(const TaskStatus &, const TaskStatus &) = default;
};

/// The state of a job as shown to its submitter.
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

/// Answer the submission, cancellation or query with this token.
struct ReplyToCaller {
  Token Token_ = 0;
  Result<JobStatus> Answer_;
  friend bool operator==(const ReplyToCaller &,
                         const ReplyToCaller &) = default;
};

/// The host became the owner of the partition (Owned_), or lost it.
struct OwnershipChanged {
  bool Owned_ = false;
  Epoch Epoch_ = 0;
  friend bool operator==(const OwnershipChanged &,
                         const OwnershipChanged &) = default;
};

/// The drain is complete: the host does not own the partition, and no call is
/// in flight.
struct Drained {
  friend bool operator==(const Drained &, const Drained &) = default;
};

/// A sample for the histograms of a team and work class, or an increment of a
/// counter. Histograms: "wait_us" (submission to start) and "run_us", both in
/// microseconds. Counters: "placements", "preemptions", "lost_tasks" and
/// "orphans" (attempts at a worker that the owner does not know).
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

/// Counts of a partition's workers, jobs and tasks, for status pages and
/// capacity metrics.
struct PartitionStats {
  bool Owned_ = false;
  Epoch Epoch_ = 0;
  std::size_t Workers_ = 0;
  std::size_t OpenWorkers_ = 0; ///< Workers that may get new work.
  std::size_t Jobs_ = 0;
  std::size_t Waiting_ = 0; ///< Tasks that wait.
  std::size_t Running_ = 0; ///< Tasks in Starting, Running or Unknown.
  std::uint64_t JournalSequence_ = 0;
  friend bool operator==(const PartitionStats &,
                         const PartitionStats &) = default;
};

/// Runs one partition on one host, both while the host competes for the lease
/// and while it is the owner: lease, recovery, admission, placement, worker
/// leases and replies to callers. A state machine that turns events into
/// effects and uses neither a clock nor I/O. Events that answer an effect may
/// arrive late, twice, in any order or never.
class Partition {
public:
  Partition(const PartitionId &Id, const HostId &Self, std::string Address,
            SchedulerOptions Options = {});
  ~Partition();
  Partition(Partition &&) noexcept;
  Partition &operator=(Partition &&) noexcept;

  /// Processes one event at the time \p Now and returns the effects for the
  /// caller to perform, in order.
  std::vector<PartitionEffect> handle(TimePoint Now,
                                      const PartitionEvent &Event);

  /// Returns true while this host holds the partition's lease and has recovered
  /// its state.
  bool owned(TimePoint Now) const;
  PartitionStats stats(TimePoint Now) const;

private:
  class Engine;
  std::unique_ptr<Engine> Engine_;
};

} // namespace oleandergauge

#endif // OLEANDERGAUGE_PARTITION_H
