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

/// The state machine behind Partition. Its parts stand in files of their own:
/// ownership and table requests (partition.cc), recovery and snapshots
/// (partition_recovery.cc), submissions and answers (partition_jobs.cc),
/// starts and ends of tasks (partition_tasks.cc), workers
/// (partition_workers.cc).
class Partition::Engine {
public:
  Engine(const PartitionId &Id, const HostId &Self, std::string Address,
         SchedulerOptions Options);

  std::vector<PartitionEffect> handle(TimePoint Now,
                                      const PartitionEvent &Event);
  bool owned(TimePoint Now) const;
  PartitionStats stats(TimePoint Now) const;

private:
  enum class Mode { Idle, Recovering, Active };
  enum class RequestKind { Lease, Journal, Allotment, Recovery, Snapshot };
  struct PendingRequest {
    RequestKind Kind_ = RequestKind::Lease;
    TimePoint SentAt_;
  };
  /// What to do once a journal ticket is committed.
  struct AfterCommit {
    std::uint64_t Ticket_ = 0;
    std::function<void()> Work_;
  };
  /// A call that was in flight when the partition was lost; its answer still
  /// goes to its caller.
  struct DetachedCall {
    std::uint32_t Attempt_ = 0;
    detail::JobEntry Job_;
  };
  enum class RecoveryStep { Pointer, Chunks, Batches };
  enum class SnapshotStep {
    None,
    Chunks,
    Pointer,
    ReadPointer,
    ListOld,
    DeleteOld
  };

  // partition.cc: ownership, table requests, time.
  void dispatch(const PartitionEvent &Event);
  void advance();
  void checkOwnership();
  bool lostForGood() const;
  void demote();
  void sendTable(RequestKind Kind, TableRequest Request);
  void noteTableAnswer(RequestKind Kind, const TableReply &Reply);
  void expireRequests();
  bool pending(RequestKind Kind) const;
  void pumpLease();
  void pumpJournal();
  void pumpAllotments();
  void noteJournalOutcome(const JournalOutcome &Outcome);
  void runCommitted(std::uint64_t Ticket);
  std::uint64_t record(Transition Change);
  void whenCommitted(std::uint64_t Ticket, std::function<void()> Work);
  /// The lease is held and the state is complete.
  bool mayDecide() const;
  /// As mayDecide, or limited to what goes on while the store is out.
  bool mayServe() const;
  TimePoint serveUntil() const;
  TimePoint startUntil() const;
  void noteEvidence(const EvidenceChanged &Evidence);
  void applyView(const std::shared_ptr<const ConfigView> &View);
  void pumpDrain();

  // partition_recovery.cc
  void beginRecovery();
  void pumpRecovery();
  void noteRecoveryRows(const TableReply &Reply);
  void replay(const std::string &Bytes);
  void finishRecovery();
  void adoptJob(detail::JobEntry &Job);
  void pumpSnapshot();
  void beginSnapshot();
  void noteSnapshotReply(const TableReply &Reply);
  void sendSnapshotStep();
  void notePointer(const Row &Pointer);
  void noteOldRows(const Rows &Listed);
  void noteSnapshotCommitted(const Committed &Reply);

  // partition_jobs.cc
  void onSubmitted(const Submitted &Event);
  std::optional<Refusal> checkSubmission(const JobSpec &Spec) const;
  void joinExisting(const Submitted &Event, detail::JobEntry &Job);
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
  void expireJobs();
  void giveUpUncommitted();
  void dropUncommitted(const JobId &Id);
  void reappend(std::vector<Transition> Unsent, const std::set<JobId> &Dropped);
  void noteCancelled(const JobId &Id);
  void cancelWaiting(detail::JobEntry &Job);
  void finishIfEnded(const JobId &Id);
  bool lateToStart(const detail::JobEntry &Job) const;

  // partition_tasks.cc
  void enqueueJob(const detail::JobEntry &Job);
  void enqueueTask(const detail::JobEntry &Job, std::uint32_t Index);
  WorkItem itemOf(const detail::JobEntry &Job, std::uint32_t Index) const;
  void requeueLater(const TaskId &Task, Duration Delay);
  void pumpRequeue();
  void schedule();
  void updateTeams();
  void startPlaced(const PlacedTask &Placed);
  void sendStart(const TaskId &Task, std::uint32_t Attempt);
  void onStartAnswered(const StartAnswered &Event);
  void onCallAnswered(const CallAnswered &Event);
  void answerDetached(const CallAnswered &Event);
  void noteRunning(detail::JobEntry &Job, detail::TaskEntry &Task);
  /// The attempt runs nowhere and had no effect that counts.
  void returnTask(detail::JobEntry &Job, std::uint32_t Index, Duration Delay);
  /// The attempt runs nowhere any more, but may have run.
  void loseTask(detail::JobEntry &Job, std::uint32_t Index);
  void endTask(detail::JobEntry &Job, std::uint32_t Index, Verdict Outcome,
               std::int32_t ExitCode, std::string Output);
  void noteFinished(const FinishedTask &Finished, const WorkerId &Worker);
  void retryOrEnd(detail::JobEntry &Job, std::uint32_t Index,
                  const FinishedTask &Finished);
  void releaseTask(detail::JobEntry &Job, std::uint32_t Index);
  void restartGang(detail::JobEntry &Job);
  void askStop(const TaskId &Task, detail::TaskEntry &Entry, StopMode How);
  void pumpStops();
  void pumpPreemption();
  void pumpExcess();
  detail::JobEntry *findJob(const JobId &Id);
  detail::TaskEntry *findTask(const TaskId &Task);

  // partition_workers.cc
  void onWorkersListed(const WorkersListed &Event);
  void onWorkerReported(const WorkerReported &Event);
  void onWorkerUnresponsive(const WorkerUnresponsive &Event);
  void noteReportedTasks(detail::WorkerEntry &Worker,
                         const WorkerReported &Event);
  void checkAbsent(detail::WorkerEntry &Worker, const WorkerReported &Event);
  bool reportMustShow(const detail::TaskEntry &Task,
                      const detail::JobEntry &Job, TimePoint ReportSent) const;
  void noteUsage(const RunningTask &Running);
  void relieveOverload(detail::WorkerEntry &Worker);
  void pumpExchanges();
  void sendExchange(detail::WorkerEntry &Worker);
  void checkLostWorker(detail::WorkerEntry &Worker);
  void updateOpen(detail::WorkerEntry &Worker);
  void updateAllOpen();
  bool mayStartOn(const detail::WorkerEntry &Worker) const;
  bool isWithdrawn(const detail::WorkerEntry &Worker) const;
  void moveServices();
  void pumpProbes();

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
  std::vector<PartitionEffect> Out_;
  Mode Mode_ = Mode::Idle;
  Epoch Epoch_ = 0;
  TimePoint OwnedSince_;
  /// Workers get work after a report that was asked for later than this.
  TimePoint SettledAt_;
  bool LimitedLost_ = false;
  bool Draining_ = false;
  bool DrainReported_ = false;
  EvidenceChanged Evidence_;
  std::shared_ptr<const ConfigView> View_;

  Token NextToken_ = 1;
  std::uint64_t LastTicket_ = 0;
  std::map<Token, PendingRequest> Requests_;
  std::deque<AfterCommit> AfterCommit_;

  detail::JobMap Jobs_;
  std::map<WorkerId, detail::WorkerEntry> Workers_;
  std::vector<ListedWorker> Listed_;
  std::map<TaskId, DetachedCall> Detached_;
  std::multimap<TimePoint, TaskId> Requeue_;
  std::map<TeamId, std::uint32_t> WaitingByTeam_;
  bool ScheduleNeeded_ = false;
  TimePoint NextHousekeeping_;

  RecoveryStep RecoveryStep_ = RecoveryStep::Pointer;
  TimePoint RecoveryRetry_;
  std::uint64_t SnapshotAt_ = 0;
  std::uint32_t SnapshotChunks_ = 0;
  std::string SnapshotPrefix_;
  std::uint64_t SnapshotVersion_ = 0; ///< Of the row that names it.
  std::uint64_t SnapshotTries_ = 0;
  std::string ReplayedKey_;
  std::uint64_t ReplayedSequence_ = 0;

  SnapshotStep SnapshotStep_ = SnapshotStep::None;
  std::vector<std::string> SnapshotRows_;
  std::size_t SnapshotNext_ = 0;
  std::uint64_t SnapshotSequence_ = 0;
  std::uint64_t SnapshotTicket_ = 0;
  std::string NextPrefix_;
  std::vector<std::string> OldKeys_;
  std::string OldPrefix_;
};

} // namespace oleandergauge

#endif // OLEANDERGAUGE_CORE_PARTITION_ENGINE_H
