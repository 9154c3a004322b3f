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

/// What a submitter asks for.
struct JobSpec {
  JobId Id_; ///< Made from team and request identifier; the same on a retry.
  RequestId Request_;
  TeamId Team_;
  QueueId Queue_;
  WorkClass Class_ = WorkClass::Batch;
  bool Urgent_ = false;
  bool Idempotent_ = true;
  std::uint32_t TaskCount_ = 1; ///< Replicas of a service.
  Resources Need_;              ///< Declared, of each task.
  Duration DeclaredRun_{0};
  Duration StartWithin_{0}; ///< Refused if not started by then; 0: no bound.
  Duration ExpiresIn_{0};   ///< How long retries of this request may come.
  std::string Command_;     ///< Passed to the worker.
  std::string Body_;        ///< Body of a direct call.
  friend bool operator==(const JobSpec &, const JobSpec &) = default;
};

struct JobAccepted {
  JobSpec Spec_;
  friend bool operator==(const JobAccepted &, const JobAccepted &) = default;
};

/// Committed before the start command is sent.
struct TaskAssigned {
  TaskId Task_;
  std::uint32_t Attempt_ = 0;
  WorkerId Worker_;
  Resources Reserved_;
  friend bool operator==(const TaskAssigned &, const TaskAssigned &) = default;
};

/// The attempt certainly runs nowhere any more; the task waits again.
struct TaskReturned {
  TaskId Task_;
  std::uint32_t Attempt_ = 0;
  friend bool operator==(const TaskReturned &, const TaskReturned &) = default;
};

/// The task has ended for good.
struct TaskEnded {
  TaskId Task_;
  std::uint32_t Attempt_ = 0;
  Verdict Verdict_ = Verdict::Ran;
  std::int32_t ExitCode_ = 0;
  std::string Output_;
  friend bool operator==(const TaskEnded &, const TaskEnded &) = default;
};

/// No task of the job starts any more; running ones are stopped.
struct JobCancelled {
  JobId Job_;
  RefusalReason Reason_ = RefusalReason::Cancelled;
  friend bool operator==(const JobCancelled &, const JobCancelled &) = default;
};

/// The job and its request identifier are dropped.
struct JobForgotten {
  JobId Job_;
  friend bool operator==(const JobForgotten &, const JobForgotten &) = default;
};

using Transition = std::variant<JobAccepted, TaskAssigned, TaskReturned,
                                TaskEnded, JobCancelled, JobForgotten>;

/// Smallest time between two batches under load; 20 writes a second.
inline constexpr Duration JournalSpacing = std::chrono::milliseconds(50);
/// A failed request is tried again after this time.
inline constexpr Duration JournalRetry = std::chrono::milliseconds(100);
/// Batches between two snapshots.
inline constexpr std::uint64_t BatchesPerSnapshot = 200;
/// Encoded size at which a batch is closed.
inline constexpr std::size_t MaxBatchBytes = std::size_t{256} * 1024;

/// Every transition with a ticket at or below Ticket_ is committed.
struct BatchCommitted {
  std::uint64_t Ticket_ = 0;
  friend bool operator==(const BatchCommitted &,
                         const BatchCommitted &) = default;
};

/// Another owner has taken the partition; nothing more will be written.
struct JournalFenced {
  friend bool operator==(const JournalFenced &,
                         const JournalFenced &) = default;
};

/// The store has not answered; the batch is tried again.
struct JournalStalled {
  friend bool operator==(const JournalStalled &,
                         const JournalStalled &) = default;
};

using JournalOutcome =
    std::variant<std::monostate, BatchCommitted, JournalFenced, JournalStalled>;

/// Writes transitions in batches, one row and one request in flight at a
/// time. See decision D2 in docs/design.md.
class Journal {
public:
  explicit Journal(PartitionId Partition);

  /// Begins a new epoch after replay. \p NextSequence follows the last row.
  /// Drops what is queued or in flight; tickets of earlier epochs mean nothing
  /// from now on.
  void open(const Condition &Fence, Epoch HeldEpoch,
            std::uint64_t NextSequence);
  /// Queues a transition and returns its ticket, which grows by one.
  std::uint64_t append(Transition Change);
  /// The next request, if one is due. Nothing is sent at or after
  /// \p ValidUntil.
  std::optional<TableRequest> poll(TimePoint Now, TimePoint ValidUntil);
  /// The answer to the last request of poll. Every request needs one; the
  /// caller passes OutcomeUnknown where no answer came in time, and drops
  /// answers to older requests.
  JournalOutcome answered(TimePoint Now, const TableReply &Reply);

  /// Tickets up to this one were part of a write that was sent at least once.
  std::uint64_t lastSentTicket() const { return LastSentTicket_; }
  std::uint64_t committedTicket() const { return CommittedTicket_; }
  /// Sequence of the last committed batch.
  std::uint64_t lastSequence() const { return NextSequence_ - 1; }
  std::size_t queuedCount() const { return Queue_.size(); }
  /// Removes queued transitions that were never sent, as when the lease is
  /// lost, and returns them.
  std::vector<Transition> takeUnsentTransitions();

private:
  enum class Pending { None, Write, ReadBack };

  void formBatch();
  TableRequest sendBatch(TimePoint Now);
  JournalOutcome settleWrite(TimePoint Now, const TableReply &Reply);
  JournalOutcome settleReadBack(TimePoint Now, const TableReply &Reply);
  JournalOutcome noteConflict(const Conflicted &Conflict);
  JournalOutcome commitBatch();
  JournalOutcome fence();

  PartitionId Partition_;
  Condition Fence_;
  Epoch Epoch_ = 0;
  bool Open_ = false;
  std::uint64_t NextSequence_ = 1;
  std::uint64_t NextTicket_ = 1;
  std::uint64_t LastSentTicket_ = 0;
  std::uint64_t CommittedTicket_ = 0;
  std::deque<Transition> Queue_;
  /// Encoded batch that was sent and is not committed; empty where none.
  std::string Batch_;
  bool ReadBackDue_ = false;
  Pending Pending_ = Pending::None;
  std::optional<TimePoint> LastSend_;
  TimePoint NextTry_;
};

/// Row key of a batch: "journal/<partition>/<sequence, 20 digits>".
std::string journalKey(const PartitionId &Partition, std::uint64_t Sequence);

/// A decoded batch.
struct JournalBatch {
  Epoch Epoch_ = 0;
  std::uint64_t Sequence_ = 0;
  std::vector<Transition> Changes_;
  friend bool operator==(const JournalBatch &, const JournalBatch &) = default;
};

/// Encodes for a journal row or a snapshot. A snapshot is a batch whose
/// transitions, replayed in order, give the whole state.
std::string encodeBatch(const JournalBatch &Batch);
/// Empty where the bytes are no batch.
std::optional<JournalBatch> decodeBatch(const std::string &Bytes);

} // namespace oleandergauge

#endif // OLEANDERGAUGE_JOURNAL_H
