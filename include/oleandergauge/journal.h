#ifndef OLEANDERGAUGE_JOURNAL_H
#define OLEANDERGAUGE_JOURNAL_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "oleandergauge/base.h"
#include "oleandergauge/table.h"

namespace oleandergauge {

/// A job as requested by its submitter.
struct JobSpec {
  JobId Id_; ///< Derived from team and request identifier, so a retry has the
             ///< same.
  RequestId Request_;
  TeamId Team_;
  QueueId Queue_;
  WorkClass Class_ = WorkClass::Batch;
  bool Urgent_ = false;
  bool Idempotent_ = true;
  std::uint32_t TaskCount_ = 1; ///< Replicas of a service.
  Resources Need_;              ///< Declared resource request of each task.
  Duration DeclaredRun_{0};
  Duration StartWithin_{0}; ///< Refused if not started by then. 0: no limit.
  Duration ExpiresIn_{0};   ///< How long the submitter may retry this request.
  std::string Command_;     ///< Passed to the worker.
  std::string Body_;        ///< Body of a direct call.
  friend bool operator==(const JobSpec &, const JobSpec &) = default;
};

struct JobAccepted {
  JobSpec Spec_;
  friend bool operator==(const JobAccepted &, const JobAccepted &) = default;
};

/// The task is assigned to a worker. Committed before the start command is
/// sent.
struct TaskAssigned {
  TaskId Task_;
  std::uint32_t Attempt_ = 0;
  WorkerId Worker_;
  Resources Reserved_;
  friend bool operator==(const TaskAssigned &, const TaskAssigned &) = default;
};

/// The attempt is certain not to run any more. The task waits again.
struct TaskReturned {
  TaskId Task_;
  std::uint32_t Attempt_ = 0;
  friend bool operator==(const TaskReturned &, const TaskReturned &) = default;
};

/// The task has ended and is not attempted again.
struct TaskEnded {
  TaskId Task_;
  std::uint32_t Attempt_ = 0;
  Verdict Verdict_ = Verdict::Ran;
  std::int32_t ExitCode_ = 0;
  std::string Output_;
  friend bool operator==(const TaskEnded &, const TaskEnded &) = default;
};

/// The job is cancelled: none of its tasks starts any more, and running tasks
/// are stopped.
struct JobCancelled {
  JobId Job_;
  RefusalReason Reason_ = RefusalReason::Cancelled;
  friend bool operator==(const JobCancelled &, const JobCancelled &) = default;
};

/// The job and its request identifier are removed from the state.
struct JobForgotten {
  JobId Job_;
  friend bool operator==(const JobForgotten &, const JobForgotten &) = default;
};

using Transition = std::variant<JobAccepted, TaskAssigned, TaskReturned,
                                TaskEnded, JobCancelled, JobForgotten>;

/// Minimum time between two batches. Limits the journal to 20 writes per second
/// under load.
inline constexpr Duration MinJournalWriteInterval =
    std::chrono::milliseconds(50);
/// Time from a failed request to its retry.
inline constexpr Duration JournalRetryDelay = std::chrono::milliseconds(100);
/// Number of batches between two snapshots.
inline constexpr std::uint64_t BatchesPerSnapshot = 200;
/// Encoded size in bytes at which no more transitions are added to a batch.
inline constexpr std::size_t BatchCloseBytes = std::size_t{256} * 1024;

/// Every transition with a ticket up to and including Ticket_ is committed.
struct BatchCommitted {
  std::uint64_t Ticket_ = 0;
  friend bool operator==(const BatchCommitted &,
                         const BatchCommitted &) = default;
};

/// Another host has taken over the partition. The journal writes nothing more.
struct JournalFenced {
  friend bool operator==(const JournalFenced &,
                         const JournalFenced &) = default;
};

/// The store did not confirm the batch, which is retried.
struct JournalStalled {
  friend bool operator==(const JournalStalled &,
                         const JournalStalled &) = default;
};

using JournalOutcome =
    std::variant<std::monostate, BatchCommitted, JournalFenced, JournalStalled>;

/// Writes transitions to the table in batches of one row each, with one request
/// in flight at a time. See decision D2 in docs/design.md.
class Journal {
public:
  explicit Journal(PartitionId Partition);

  /// Begins a new epoch after replay. \p NextSequence is the sequence number
  /// after the last row. Drops queued transitions and the batch in flight, and
  /// invalidates the tickets of earlier epochs.
  void open(const Condition &Fence, Epoch HeldEpoch,
            std::uint64_t NextSequence);
  /// Queues a transition and returns its ticket. Tickets are consecutive.
  std::uint64_t append(Transition Change);
  /// Returns the next table request if one is due. Nothing is sent at or after
  /// \p ValidUntil.
  std::optional<TableRequest> poll(TimePoint Now, TimePoint ValidUntil);
  /// Handles the reply to the last request of poll(). Every request needs one:
  /// the caller passes OutcomeUnknown if no reply arrived in time, and drops
  /// replies to older requests.
  JournalOutcome answered(TimePoint Now, const TableReply &Reply);

  /// The transitions with tickets up to this one were sent in a write at least
  /// once.
  std::uint64_t lastSentTicket() const { return LastSentTicket_; }
  std::uint64_t committedTicket() const { return CommittedTicket_; }
  /// Sequence number of the last committed batch.
  std::uint64_t lastSequence() const { return NextSequence_ - 1; }
  std::size_t queuedCount() const { return Queue_.size(); }
  /// Removes and returns the queued transitions that were never sent, for use
  /// when the lease is lost.
  std::vector<Transition> takeUnsentTransitions();

private:
  enum class Pending { None, Write, ReadBack };

  /// Encodes queued transitions into Batch_ up to BatchCloseBytes.
  void encodeNextBatch();
  TableRequest sendBatch(TimePoint Now);
  JournalOutcome handleWriteReply(TimePoint Now, const TableReply &Reply);
  JournalOutcome handleReadBackReply(TimePoint Now, const TableReply &Reply);
  JournalOutcome handleConflict(const Conflicted &Conflict);
  /// Records that Batch_ is committed.
  JournalOutcome commitBatch();
  /// Stops all writes because another host owns the partition.
  JournalOutcome stopFenced();

  PartitionId Partition_;
  Condition Fence_;
  Epoch Epoch_ = 0;
  bool Open_ = false;
  std::uint64_t NextSequence_ = 1;
  std::uint64_t NextTicket_ = 1;
  std::uint64_t LastSentTicket_ = 0;
  std::uint64_t CommittedTicket_ = 0;
  std::deque<Transition> Queue_;
  /// The encoded batch that was sent and is not known to be committed. Empty if
  /// there is none.
  std::string Batch_;
  /// Whether the row of the batch must be read to learn the outcome of a write.
  bool ReadBackDue_ = false;
  Pending Pending_ = Pending::None;
  std::optional<TimePoint> LastSentAt_;
  TimePoint NextAttemptAt_;
};

/// Returns the row key of a batch: "journal/<partition>/<sequence, 20 digits>".
std::string journalKey(const PartitionId &Partition, std::uint64_t Sequence);

/// The decoded content of a journal row or of a snapshot.
struct JournalBatch {
  Epoch Epoch_ = 0;
  std::uint64_t Sequence_ = 0;
  std::vector<Transition> Changes_;
  friend bool operator==(const JournalBatch &, const JournalBatch &) = default;
};

/// Encodes a batch for a journal row or a snapshot. A snapshot is a batch whose
/// transitions, replayed in order, give the complete state.
std::string encodeBatch(const JournalBatch &Batch);
/// Returns an empty value if the bytes are not a valid batch.
std::optional<JournalBatch> decodeBatch(const std::string &Bytes);

} // namespace oleandergauge

#endif // OLEANDERGAUGE_JOURNAL_H
