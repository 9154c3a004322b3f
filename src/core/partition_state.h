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

/// One task of a job, with its present attempt.
struct TaskEntry {
  TaskState State_ = TaskState::Waiting;
  std::uint32_t Attempt_ = 0; ///< Of the last assignment; 0: never assigned.
  WorkerId Worker_;
  Resources Reserved_;
  Resources PeakUsage_;
  Verdict Verdict_ = Verdict::NotRun;
  std::int32_t ExitCode_ = 0;
  std::string Output_;
  /// The start command may reach the worker until MaxDeliveryDelay after this;
  /// empty while it was not sent.
  std::optional<TimePoint> CommandUntil_;
  bool CommandAnswered_ = false;
  TimePoint AssignedAt_;
  TimePoint RunningSince_;
  /// First report that did not show the task although it should.
  std::optional<TimePoint> AbsentSince_;
  /// Asked to stop or to checkpoint at this moment.
  std::optional<TimePoint> StopAskedAt_;
  /// The attempt ends without another one, as its job was cancelled.
  bool Final_ = false;
  bool Throttled_ = false;
  std::uint32_t FailedStarts_ = 0;
  /// Some attempt may have run.
  bool EverStarted_ = false;

  bool active() const {
    return State_ == TaskState::Starting || State_ == TaskState::Running ||
           State_ == TaskState::Unknown;
  }
};

/// A job or call with everybody who waits for it.
struct JobEntry {
  std::shared_ptr<const JobSpec> Spec_;
  bool Journaled_ = true;
  /// Ticket of the acceptance in the journal; 0 after a replay.
  std::uint64_t AcceptTicket_ = 0;
  bool Committed_ = false;
  std::vector<TaskEntry> Tasks_;
  std::vector<Token> UntilAccepted_;
  std::vector<Token> UntilEnded_;
  std::vector<Token> UntilCancelled_;
  std::vector<Token> UntilStored_; ///< Asked while a cancel was not stored.
  bool CancelCommitted_ = false;
  std::optional<RefusalReason> CancelledFor_;
  bool EndPending_ = false;
  bool Ended_ = false;
  /// A gang whose tasks all return to wait together again.
  bool GangRestart_ = false;
  bool Started_ = false;
  TimePoint SubmittedAt_;
  TimePoint EndedAt_;

  bool direct() const { return Spec_->Class_ == WorkClass::Direct; }
  bool gang() const { return Spec_->Class_ == WorkClass::Gang; }
  bool service() const { return Spec_->Class_ == WorkClass::Service; }
};

using JobMap = std::map<JobId, JobEntry>;

/// A worker of the partition.
struct WorkerEntry {
  WorkerInfo Info_;
  bool Listed_ = false;
  bool Leaving_ = false;
  /// Has answered since the takeover settled.
  bool Reported_ = false;
  std::uint32_t SilentExchanges_ = 0;
  bool Probing_ = false;
  /// No renewal can have been sent after this moment.
  TimePoint RenewedUntil_;
  TimePoint NextExchange_;
  /// When the exchange in flight was asked for.
  std::optional<TimePoint> ExchangeAsked_;
  /// Newest exchange whose report was taken.
  TimePoint LastReportSent_;
  std::set<TaskId> Tasks_;
  std::set<AttemptId> Collect_;
};

/// Applies a committed transition to a replayed state. Applying one that the
/// state shows already changes nothing for the outcome of the whole replay,
/// so a snapshot may hold later transitions than its sequence says.
void applyTransition(JobMap &Jobs, const Transition &Change);

/// Transitions that give the journaled jobs when replayed.
std::vector<Transition> describeState(const JobMap &Jobs);

/// True where all tasks have ended.
bool allTasksEnded(const JobEntry &Job);

} // namespace oleandergauge::detail

#endif // OLEANDERGAUGE_CORE_PARTITION_STATE_H
