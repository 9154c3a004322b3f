#ifndef OLEANDERGAUGE_CORE_PARTITION_ENGINE_H
#define OLEANDERGAUGE_CORE_PARTITION_ENGINE_H

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "oleandergauge/allotment.h"
#include "oleandergauge/estimator.h"
#include "oleandergauge/health.h"
#include "oleandergauge/lease.h"
#include "oleandergauge/partition.h"
#include "partition_state.h"

namespace oleandergauge {

/// Implements Partition as a state machine. The implementation is split by
/// topic: partition.cc holds ownership and table requests,
/// partition_recovery.cc recovery and snapshots, partition_jobs.cc submissions
/// and replies to callers, partition_tasks.cc the start and end of tasks, and
/// partition_workers.cc the workers.
class Partition::Engine {
public:
  Engine(const PartitionId &Id, const HostId &Self, std::string Address,
         SchedulerOptions Options);

  std::vector<PartitionEffect> handle(TimePoint Now,
                                      const PartitionEvent &Event);
  bool owned(TimePoint Now) const;
  PartitionStats stats(TimePoint Now) const;

private:
  /// Idle: this host does not own the partition. Recovering: it holds the
  /// lease and replays the snapshot and the journal. Active: the replayed
  /// state is complete.
  enum class Mode { Idle, Recovering, Active };
  enum class RequestKind { Lease, Journal, Allotment, Recovery, Snapshot };
  struct PendingRequest {
    RequestKind Kind_ = RequestKind::Lease;
    TimePoint SentAt_;
  };
  /// An action that runs once the journal entry with this ticket is committed.
  struct CommitAction {
    std::uint64_t Ticket_ = 0;
    std::function<void()> Action_;
  };
  /// A direct call that was in flight when this host lost the partition. The
  /// worker's answer is still passed on to the caller.
  struct DetachedCall {
    std::uint32_t Attempt_ = 0;
    detail::JobEntry Job_;
  };
  /// Recovery reads the snapshot pointer, then the rows of that snapshot, then
  /// the journal batches after it.
  enum class RecoveryStep { Pointer, Chunks, Batches };
  /// A snapshot first writes its rows, then the pointer to them. After that it
  /// lists and deletes obsolete rows until none are left. ReadPointer follows a
  /// pointer write whose outcome is unknown, or a conflict.
  enum class SnapshotStep {
    None,
    Chunks,
    Pointer,
    ReadPointer,
    ListObsolete,
    DeleteObsolete
  };

  // partition.cc: ownership, table requests and the work due at each event.
  void dispatch(const PartitionEvent &Event);
  /// Performs all work that is due at the present time.
  void advance();
  /// Starts recovery when the lease was gained, and demotes this host when
  /// another owner has followed.
  void updateOwnership();
  /// True if the lease was released or another epoch has followed this one.
  bool isDeposed() const;
  /// Gives up the partition: refuses the waiting callers, clears the state and
  /// reports OwnershipChanged. Calls in flight become detached calls.
  void demote();
  void sendTable(RequestKind Kind, TableRequest Request);
  void handleTableReply(RequestKind Kind, const TableReply &Reply);
  /// Treats table requests without a reply for TableRequestTimeout as requests
  /// with an unknown outcome.
  void expireRequests();
  bool isRequestPending(RequestKind Kind) const;
  void sendLeaseRequest();
  void sendJournalRequest();
  void sendAllotmentRequest();
  void handleJournalOutcome(const JournalOutcome &Outcome);
  void runCommitActions(std::uint64_t Ticket);
  /// Appends \p Change to the journal and returns its ticket.
  std::uint64_t appendToJournal(Transition Change);
  /// Runs \p Action once the journal entry \p Ticket is committed.
  void runAfterCommit(std::uint64_t Ticket, std::function<void()> Action);
  /// True while this host holds the partition's lease and its state is
  /// complete. Only then may it write to the journal.
  bool isOwner() const;
  /// True for the owner and, during a proven outage of the store, for the host
  /// that was the owner when the outage began. The latter may only make
  /// unjournaled calls and renew the leases of workers.
  bool mayServe() const;
  /// The time at which mayServe() becomes false unless it is extended.
  TimePoint serveUntil() const;
  /// The time from which a start command decided now must no longer be sent.
  TimePoint startUntil() const;
  void updateEvidence(const EvidenceChanged &Evidence);
  void applyView(const std::shared_ptr<const ConfigView> &View);
  /// Releases the lease once nothing is in flight, and then reports Drained.
  void advanceDrain();

  // partition_recovery.cc
  void beginRecovery();
  void sendRecoveryRequest();
  void handleRecoveryReply(const TableReply &Reply);
  void replay(const std::string &Bytes);
  void finishRecovery();
  /// Takes over a replayed job: registers its active tasks with the scheduler
  /// and queues its waiting tasks.
  void adoptJob(detail::JobEntry &Job);
  void advanceSnapshot();
  void beginSnapshot();
  void handleSnapshotReply(const TableReply &Reply);
  void sendSnapshotStep();
  void readSnapshotPointer(const Row &Pointer);
  void selectObsoleteRows(const Rows &Listed);
  void handleSnapshotCommitted(const Committed &Reply);

  // partition_jobs.cc
  void onSubmitted(const Submitted &Event);
  std::optional<Refusal> checkSubmission(const JobSpec &Spec) const;
  /// Answers a repeated submission of a known job, or adds its caller to those
  /// that wait for the job.
  void joinExistingJob(const Submitted &Event, detail::JobEntry &Job);
  void acceptJob(const Submitted &Event);
  void onCancel(const CancelRequested &Event);
  void cancelJob(detail::JobEntry &Job, RefusalReason Reason);
  void onQuery(const JobQueried &Event);
  void onCallerDisconnected(const CallerDisconnected &Event);
  void refuse(Token To, Refusal Why);
  void answer(Token To, const detail::JobEntry &Job);
  void answerAll(std::vector<Token> &Tokens, const detail::JobEntry &Job);
  void refuseAll(detail::JobEntry &Job, const Refusal &Why);
  JobStatus statusOf(const detail::JobEntry &Job) const;
  void finishJob(detail::JobEntry &Job);
  void dropJob(const JobId &Id);
  /// Cancels jobs that missed their start deadline, and forgets ended jobs
  /// whose retention is over.
  void expireJobs();
  /// Refuses submissions whose journal write is not sent, or not committed, in
  /// time.
  void refuseStalledSubmissions();
  void dropUncommittedJob(const JobId &Id);
  /// Appends the transitions in \p Unsent again, without those of the jobs in
  /// \p Dropped, and moves their commit actions to the new tickets.
  void reappendUnsent(std::vector<Transition> Unsent,
                      const std::set<JobId> &Dropped);
  /// Answers the callers that waited for the commit of a job's cancellation.
  void handleCancelCommitted(const JobId &Id);
  /// Ends the tasks of the job that wait, without an attempt.
  void cancelWaitingTasks(detail::JobEntry &Job);
  void finishJobIfEnded(const JobId &Id);
  bool missedStartDeadline(const detail::JobEntry &Job) const;

  // partition_tasks.cc
  void enqueueJob(const detail::JobEntry &Job);
  void enqueueTask(const detail::JobEntry &Job, std::uint32_t Index);
  WorkItem makeWorkItem(const detail::JobEntry &Job, std::uint32_t Index) const;
  /// Queues the task again after \p Delay. For a gang, index 0 stands for all
  /// of its tasks.
  void requeueAfter(const TaskId &Task, Duration Delay);
  void requeueDueTasks();
  /// Places waiting tasks on workers and starts preemptions.
  void schedule();
  /// Passes the demand, weights and limits of the teams to the scheduler and
  /// the allotments.
  void updateTeams();
  void startPlacedTask(const PlacedTask &Placed);
  void sendStart(const TaskId &Task, std::uint32_t Attempt);
  void onStartAnswered(const StartAnswered &Event);
  void onCallAnswered(const CallAnswered &Event);
  /// Answers the callers of a call that was in flight when this host lost the
  /// partition.
  void answerDetachedCall(const CallAnswered &Event);
  void markRunning(detail::JobEntry &Job, detail::TaskEntry &Task);
  /// Ends an attempt that runs nowhere and that another attempt may replace.
  /// The task waits again, or ends if its job was cancelled.
  void returnTaskToQueue(detail::JobEntry &Job, std::uint32_t Index,
                         Duration Delay);
  /// Ends an attempt that runs nowhere any more but may have run. Idempotent
  /// tasks are retried; others end with the verdict MayHaveRun.
  void handleLostTask(detail::JobEntry &Job, std::uint32_t Index);
  void endTask(detail::JobEntry &Job, std::uint32_t Index, Verdict Outcome,
               std::int32_t ExitCode, std::string Output);
  void handleFinishedTask(const FinishedTask &Finished, const WorkerId &Worker);
  void retryOrEndTask(detail::JobEntry &Job, std::uint32_t Index,
                      const FinishedTask &Finished);
  /// Frees the resources and the limit that the task's attempt occupied.
  void releaseTask(detail::JobEntry &Job, std::uint32_t Index);
  void abortGangAttempt(detail::JobEntry &Job);
  /// Sends a stop, checkpoint or throttle command to the task's worker.
  void sendStop(const TaskId &Task, detail::TaskEntry &Entry, StopMode How);
  void repeatStops();
  void preemptTasks();
  void stopExcessTasks();
  detail::JobEntry *findJob(const JobId &Id);
  detail::TaskEntry *findTask(const TaskId &Task);

  // partition_workers.cc
  void onWorkersListed(const WorkersListed &Event);
  void onWorkerReported(const WorkerReported &Event);
  void onWorkerUnresponsive(const WorkerUnresponsive &Event);
  void handleReportedTasks(detail::WorkerEntry &Worker,
                           const WorkerReported &Event);
  /// Handles tasks as lost that a report should list but does not.
  void checkMissingTasks(detail::WorkerEntry &Worker,
                         const WorkerReported &Event);
  /// True if a report requested at \p ReportSentAt has to list the task while
  /// its attempt exists.
  bool mustAppearInReport(const detail::TaskEntry &Task,
                          const detail::JobEntry &Job,
                          TimePoint ReportSentAt) const;
  void recordUsage(const RunningTask &Running);
  void relieveOverload(detail::WorkerEntry &Worker);
  void sendDueExchanges();
  void sendExchange(detail::WorkerEntry &Worker);
  void checkLostWorker(detail::WorkerEntry &Worker);
  /// Tells the scheduler whether the worker may get new work.
  void updateWorkerOpen(detail::WorkerEntry &Worker);
  void updateAllWorkersOpen();
  bool mayStartOn(const detail::WorkerEntry &Worker) const;
  /// True if the worker leaves or drains, its failure domain is out, or the
  /// configuration is not known yet.
  bool isWithdrawn(const detail::WorkerEntry &Worker) const;
  void moveServices();
  void startDueProbes();

  PartitionId Id_;
  HostId Self_;
  SchedulerOptions Options_;
  PartitionLease Lease_;
  Journal Journal_;
  Allotments Allotments_;
  Scheduler Scheduler_;
  Estimator Estimator_;
  WorkerHealth Health_;

  TimePoint Now_;
  std::vector<PartitionEffect> Effects_;
  Mode Mode_ = Mode::Idle;
  Epoch Epoch_ = 0;
  TimePoint OwnedSince_;
  /// A worker gets work only after it answered an exchange that was sent at or
  /// after this time.
  TimePoint TakeoverSettledAt_;
  /// The host had to stop serving since it last held the lease. It must not
  /// resume on the evidence of an outage alone.
  bool OutageServiceLost_ = false;
  bool Draining_ = false;
  bool DrainReported_ = false;
  EvidenceChanged Evidence_;
  std::shared_ptr<const ConfigView> View_;

  Token NextToken_ = 1;
  std::uint64_t LastTicket_ = 0;
  std::map<Token, PendingRequest> PendingRequests_;
  std::deque<CommitAction> CommitActions_;

  detail::JobMap Jobs_;
  std::map<WorkerId, detail::WorkerEntry> Workers_;
  /// The workers of all partitions in the latest live list.
  std::vector<ListedWorker> LiveList_;
  std::map<TaskId, DetachedCall> DetachedCalls_;
  /// Tasks in their restart delay, by the time at which they are queued again.
  std::multimap<TimePoint, TaskId> DelayedRequeues_;
  std::map<TeamId, std::uint32_t> WaitingTasksByTeam_;
  bool ScheduleNeeded_ = false;
  TimePoint NextHousekeepingAt_;

  RecoveryStep RecoveryStep_ = RecoveryStep::Pointer;
  TimePoint RecoveryRetryAt_;
  /// The snapshot that the pointer row names, and the version of that row.
  std::uint64_t PublishedSequence_ = 0;
  std::uint32_t PublishedChunks_ = 0;
  std::string PublishedPrefix_;
  std::uint64_t PointerVersion_ = 0;
  std::uint64_t SnapshotAttempts_ = 0;
  std::string LastReplayedKey_;
  std::uint64_t LastReplayedSequence_ = 0;

  SnapshotStep SnapshotStep_ = SnapshotStep::None;
  /// The snapshot that is being written. Its pointer may be written once the
  /// journal has committed DraftTicket_.
  std::vector<std::string> DraftRows_;
  std::size_t NextDraftRow_ = 0;
  std::uint64_t DraftSequence_ = 0;
  std::uint64_t DraftTicket_ = 0;
  std::string DraftPrefix_;
  /// Keys of the next deletion, and the prefix that is searched for more.
  std::vector<std::string> ObsoleteKeys_;
  std::string CleanupPrefix_;
};

} // namespace oleandergauge

#endif // OLEANDERGAUGE_CORE_PARTITION_ENGINE_H
