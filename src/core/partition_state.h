#ifndef OLEANDERGAUGE_CORE_PARTITION_STATE_H
#define OLEANDERGAUGE_CORE_PARTITION_STATE_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "oleandergauge/journal.h"
#include "oleandergauge/partition.h"

namespace oleandergauge::detail {

/// One task of a job and its latest attempt.
struct TaskEntry {
  TaskState State_ = TaskState::Waiting;
  std::uint32_t Attempt_ =
      0; ///< Number of the latest attempt, 0 if there was none.
  WorkerId Worker_;
  Resources Reserved_;
  Resources PeakUsage_;
  Verdict Verdict_ = Verdict::NotRun;
  std::int32_t ExitCode_ = 0;
  std::string Output_;
  /// The start command is not sent at or after this time and takes effect
  /// within MaxDeliveryDelay of it. Empty until the command is issued.
  std::optional<TimePoint> CommandValidUntil_;
  bool CommandAnswered_ = false;
  TimePoint AssignedAt_;
  TimePoint RunningSince_;
  /// Time of the first report that should have listed the call but did not.
  std::optional<TimePoint> MissingSince_;
  /// Time at which the task was last told to stop or to checkpoint.
  std::optional<TimePoint> StopRequestedAt_;
  /// No further attempt follows this one, because the job was cancelled.
  bool NoFurtherAttempt_ = false;
  bool Throttled_ = false;
  /// Failed attempts that count against the retries of the task and lengthen
  /// its restart delay.
  std::uint32_t Failures_ = 0;
  /// True if any attempt of the task may have run.
  bool MayHaveRun_ = false;

  bool isActive() const {
    return State_ == TaskState::Starting || State_ == TaskState::Running ||
           State_ == TaskState::Unknown;
  }
};

/// A job or direct call and the tokens of the callers that wait for it.
struct JobEntry {
  std::shared_ptr<const JobSpec> Spec_;
  /// False for idempotent direct calls, which leave no trace in the journal.
  bool Journaled_ = true;
  /// Journal ticket of the job's acceptance, 0 if the job was replayed.
  std::uint64_t AcceptTicket_ = 0;
  bool Committed_ = false;
  std::vector<TaskEntry> Tasks_;
  std::vector<Token> AcceptWaiters_;
  std::vector<Token> EndWaiters_;
  std::vector<Token> CancelWaiters_;
  /// Submissions and queries that arrived while the cancellation of the job was
  /// not committed; they are answered after the commit.
  std::vector<Token> CancelStatusWaiters_;
  bool CancelCommitted_ = false;
  std::optional<RefusalReason> CancelledFor_;
  /// The transition that removes the job is in the journal, uncommitted.
  bool ForgetPending_ = false;
  bool Ended_ = false;
  /// The gang's attempt is being aborted. Once no task is active the gang waits
  /// again as one item.
  bool GangAborting_ = false;
  bool Started_ = false;
  TimePoint SubmittedAt_;
  TimePoint EndedAt_;

  bool isDirect() const { return Spec_->Class_ == WorkClass::Direct; }
  bool isGang() const { return Spec_->Class_ == WorkClass::Gang; }
  bool isService() const { return Spec_->Class_ == WorkClass::Service; }
};

using JobMap = std::map<JobId, JobEntry>;

/// A worker of the partition, or one that still holds tasks of it.
struct WorkerEntry {
  WorkerInfo Info_;
  bool Listed_ = false; ///< Present in the latest live list.
  bool Leaving_ = false;
  /// The worker has answered an exchange sent at or after the time at which the
  /// takeover settled.
  bool ReportedSinceTakeover_ = false;
  std::uint32_t UnansweredExchanges_ = 0;
  /// The worker is quarantined and may take one task as a probe.
  bool Probing_ = false;
  /// No start command or lease renewal to the worker was sent at or after this
  /// time.
  TimePoint LastRenewalValidUntil_;
  TimePoint NextExchangeAt_;
  /// Time at which the exchange in flight was issued.
  std::optional<TimePoint> ExchangeSentAt_;
  /// Send time of the newest exchange whose report was processed.
  TimePoint LastReportSentAt_;
  std::set<TaskId> Tasks_;
  /// Finished attempts whose end is committed; the worker may discard them.
  std::set<AttemptId> EndsToAcknowledge_;
};

/// Applies a committed transition during replay. A transition that the state
/// already includes may be applied again without changing the result of the
/// whole replay, so a snapshot may include transitions later than its sequence
/// number.
void applyTransition(JobMap &Jobs, const Transition &Change);

/// Returns transitions whose replay yields the journaled jobs in \p Jobs.
std::vector<Transition> stateAsTransitions(const JobMap &Jobs);

/// Returns true if all tasks of the job have ended.
bool allTasksEnded(const JobEntry &Job);

} // namespace oleandergauge::detail

#endif // OLEANDERGAUGE_CORE_PARTITION_STATE_H
