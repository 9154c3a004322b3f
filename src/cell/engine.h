#ifndef OLEANDERGAUGE_CELL_ENGINE_H
#define OLEANDERGAUGE_CELL_ENGINE_H

#include <unordered_set>

#include "cell/model.h"
#include "cell/place_wait.h"
#include "cell/run_history.h"
#include "cell/worker_choice.h"

namespace oleandergauge::cell {

using namespace detail;

/// Duration of the lease that each renewal requests. It outlasts a takeover
/// with a margin, and is short enough that the work of a lost worker restarts
/// soon.
constexpr Millis LeaseTime = 4800;
/// Extra real time that a lease may last: a worker's clock may run 2% slow, and
/// the estimate of that clock has an error.
constexpr Millis LeaseClockSlack = LeaseTime * 3 / 100 + 100;

/// Returns the longest real time for which a worker keeps a lease, whatever
/// deadline an order names. A deadline on the clock of a former incarnation has
/// no meaning on the present one's, which then grants the longest lease.
inline Millis longestLease(const Bounds &Limits) {
  return Limits.MaxLease_ + Limits.MaxLease_ * 3 / 100 + 100;
}

/// Time besides the stop itself until the end of a preempted run is listed and
/// the start that takes its room arrives at the worker.
constexpr Millis PreemptionOverhead = 150;

/// Assumed duration of a transaction before the first one is completed.
constexpr Millis InitialCommitTime = 20;
/// More changes than a transaction can contain.
constexpr std::size_t NoItemLimit = 1000;
/// An entry host that requests advice. It processes its calls one after
/// another.
struct AdviceHost {
  std::string Host_;
  double Strength_ = 0;
  std::size_t Calls_ = 0; ///< Calls without an answer so far.
  /// Expected duration of the unanswered calls, in milliseconds.
  double Backlog_ = 0;
};

/// An order whose outcome is not known yet.
struct PendingOrder {
  WorkerAddress Worker_;
  std::string Task_;
  std::uint64_t Attempt_ = 0;
  /// The worker's clock in the latest list before the order was sent, and when
  /// that list was requested.
  Millis ClockMs_ = 0;
  Millis ListRequestedAt_ = 0;
  bool IsStart_ = false;
  /// The requested pace in percent; negative if the order does not set the
  /// pace.
  int Pace_ = -1;
};

/// A call for advice without an answer so far.
struct PendingAdvice {
  StepRun *Step_ = nullptr; ///< Null once the job is removed.
  std::string EntryHost_;
  double Cost_ = 0; ///< Expected duration in milliseconds.
  std::string Queue_;
  std::vector<std::string> Workers_;
  /// Tasks of a gang that are expected to fit on the workers that are allowed.
  double ExpectedRoom_ = 0;
  Millis ExpiresAt_ = 0; ///< When the answer counts as lost.
};

/// The number of members of a gang that one worker runs.
struct GangAssignment {
  Worker *Target_ = nullptr;
  std::uint32_t Members_ = 0;
};

/// The room for a gang on one worker that may run it.
struct GangOption {
  Worker *Target_ = nullptr;
  std::uint32_t Reserved_ = 0;
  std::uint32_t Free_ = 0;  ///< Members that fit now.
  std::uint32_t Total_ = 0; ///< Members that fit after preemption.
  bool HasTicket_ = false;  ///< A start is allowed now.
};

/// The outcomes of waits for preferred places, since the takeover.
struct PlaceWaitCounts {
  std::uint64_t Met_ = 0;     ///< Starts in the place after a wait for it.
  std::uint64_t GivenUp_ = 0; ///< Starts elsewhere.
  std::uint64_t WaitedMs_ = 0;
  std::uint64_t LostMs_ = 0; ///< Expected extra duration of those elsewhere.
};

/// Which room counts for a gang.
enum class GangRoom {
  Ready, ///< Free room on workers with a valid ticket.
  Free,  ///< Free room on all workers that may run the gang.
  Total  ///< The same, with the room that preemption can free.
};

/// A row of progress in the transaction in flight.
struct SentProgress {
  Job *Job_ = nullptr;
  TaskNumber First_ = 0; ///< The first task that the row covers.
  /// Occurrences that the row states as done as a whole.
  std::uint32_t DoneOccurrences_ = 0;
};

/// A stored row that contains ended jobs.
struct EndedRow {
  std::string Key_;
  std::vector<std::string> Jobs_;
};

/// The rows of a transaction that is being composed, within the limits of the
/// store.
class TransactionRows {
public:
  /// \p MaxItems limits the changes that the transaction contains.
  explicit TransactionRows(std::size_t MaxItems) : MaxItems_(MaxItems) {}
  /// Counts a change, which may take several rows.
  void countItem() { ++Items_; }
  std::size_t items() const { return Items_; }
  void add(std::string Table, std::string Key,
           std::optional<std::string> Value);
  /// Returns whether \p Count further rows with values of \p Bytes in all fit
  /// while \p Reserved rows stay free.
  bool hasRoom(std::size_t Count, std::size_t Reserved,
               std::size_t Bytes) const;
  std::size_t size() const { return Rows_.size(); }
  std::vector<RowChange> take() { return std::move(Rows_); }

private:
  std::vector<RowChange> Rows_;
  std::size_t Bytes_ = 0;
  std::size_t MaxItems_;
  std::size_t Items_ = 0;
};

/// The kinds of changes that transactions contain.
enum class ChangeKind { Workers, Wave, End, NewJob, Progress, Deletion };

/// A change that the store may be unable to take.
struct SuspectedChange {
  ChangeKind Kind_ = ChangeKind::Workers;
  std::string Job_; ///< The id of the job, if the change belongs to one.
  friend bool operator==(const SuspectedChange &,
                         const SuspectedChange &) = default;
};

/// A change of a job in the transaction in flight.
struct SentChange {
  Job *Job_ = nullptr;
  std::shared_ptr<JobChange> Change_;
};

/// Returns the part of the owner's memory that accepted jobs may take, in
/// bytes.
std::uint64_t workMemoryOf(const Bounds &Limits);
/// Returns the number of runs on all workers for which the owner has memory.
std::size_t maxLiveRunsOf(const Bounds &Limits);

/// Implements Cell. The calls of Cell set the time and pass on to this class.
class Cell::Engine {
public:
  Engine(std::string Self, Epoch OwnEpoch, Bounds Limits);

  // Jobs (engine_jobs.cc).
  void restore(const StoredCell &Stored);
  bool knowsJob(const std::string &Id) const;
  bool resubmit(Token Caller, const Resolution &Request, Millis Timeout);
  void submit(Token Caller, const Resolution &Request, const JobSpec &Spec,
              Millis Timeout);
  void cancel(Token Caller, const Resolution &Request);
  void query(Token Caller, const Resolution &Request);
  void setDesiredState(std::shared_ptr<const DesiredState> State);
  void handleTaskEnd(StepRun &Step, std::uint32_t Index, const EndEntry &End,
                     Worker *Sender);
  void endJob(Job &Ended, EndState State);
  void detachStep(StepRun &Step);
  void detachSteps(Job &TargetJob);
  bool storeStalled() const;
  void refuseLateJobs();
  void refuseJob(Job &Refused, const Reply &Refusal);
  void advanceJobs();

  // Workers (engine_workers.cc, engine_lists.cc).
  void setWithdrawnDomains(std::set<std::string> Domains);
  void setWorkers(const std::vector<WorkerEntry> &Entries, bool Fresh);
  void handle(const OrderOutcome &Outcome);
  void handle(const RenewalOutcome &Outcome);
  bool maySend(Token Order);
  bool awaitsRenewal(const SendRenewal &Renewal);
  void advanceWorkers();

  // Upkeep of machines (engine_upkeep.cc).
  void setWaves(const std::vector<Wave> &Waves);
  void setMachines(const std::optional<std::vector<MachineEntry>> &Machines);
  void handle(const UpkeepOutcome &Outcome);
  void advanceWaves();

  // Advice (engine_advice.cc).
  void addAdviceHost(const std::string &Host, double Strength);
  void removeAdviceHost(const std::string &Host);
  void handle(const AdviceOutcome &Outcome);
  void expireAdvice();

  // Placement (engine_placement.cc).
  void placeReadySteps();

  // Storage (engine_commit.cc).
  void committed();
  void commitRejected();
  void commitChanges();

  // Admission (engine_admission.cc).
  void setAdmission(bool Enabled) { AdmissionEnabled_ = Enabled; }

  /// Advances all state machines to the present time and emits the effects that
  /// are due.
  void advanceAll();

  // Reports (engine_reports.cc).
  CellStats stats() const;
  std::size_t countWrongSums() const;

  Millis Now_ = 0;  ///< Time of the present call.
  Millis Wall_ = 0; ///< The same in milliseconds since 1970.
  std::vector<Effect> Effects_;
  bool StoreReachable_ = true;
  bool Authorized_ = true;
  bool PlacementNeeded_ = false;
  std::uint64_t RepeatedStarts_ = 0;
  std::uint64_t StepsExamined_ = 0;
  std::uint64_t WorkersExamined_ = 0;
  std::uint64_t WorkersCompared_ = 0;

private:
  // engine_jobs.cc
  void openRestoredJobs();
  Job &makeJob(const std::string &Id, const JobRecord &Record);
  std::shared_ptr<const Queue> acceptedQueue(const JobRecord &Record) const;
  Millis objectiveSpan(const Job &TargetJob) const;
  static JobRecord recordOf(const Job &TargetJob);
  void refreshReadySteps(Job &TargetJob, std::uint32_t Occurrence);
  void endJobIfComplete(Job &TargetJob);
  void recordDuration(std::string_view What, const Job &TargetJob);
  void requeueTask(StepRun &Step, std::uint32_t Index);
  void finishGang(StepRun &Step);
  static void keepCheckpoint(StepRun &Step, std::uint32_t Index,
                             std::uint64_t Attempt,
                             const std::string &Checkpoint);
  static bool hasOtherAttempt(const Worker &Target, const std::string &Task,
                              std::uint64_t Attempt);
  void stopOtherRuns(StepRun &Step, std::uint32_t Index, std::uint64_t Attempt);
  void markStarted(Job &TargetJob);
  void countJob(Job &TargetJob);
  bool isStorable(const std::string &Id, const JobRecord &Record) const;
  void setAnswerTime(Job &TargetJob, Millis Timeout) const;
  Millis retryTime(Millis Timeout) const;
  void forgetJob(Job &Ended);
  JobState stateOf(const Job &TargetJob) const;
  std::shared_ptr<const Queue> findQueue(const std::string &Name) const;
  const Queue *queueOf(const Job &TargetJob) const;
  void updateQueueConfig(Job &TargetJob) const;
  int priorityOf(const StepRun &Step) const;
  StepRun *findStep(const TaskName &Name);
  StepRun *findStep(const Job &TargetJob, std::uint32_t Occurrence,
                    std::uint32_t Step) const;
  Job *findJob(const std::string &Id);
  std::vector<Millis> chainsFrom(const JobSpec &Spec, const Queue *JobQueue,
                                 bool WithAdvice) const;
  Millis longestChain(const JobSpec &Spec, const Queue *JobQueue,
                      bool WithAdvice) const;

  Millis objectiveSpan(const JobSpec &Spec, const Queue *JobQueue) const;
  double *refillTeamTokens(const std::string &TeamName);

  // engine_admission.cc
  AdmissionDecision decideSubmission(const Resolution &Request,
                                     const JobSpec &Spec, bool OverTeamShare);
  bool refuseSubmission(Token Caller, const Resolution &Request,
                        const AdmissionDecision &Decided);
  void addLoadAhead(AdmissionInput &Input, const Queue &JobQueue,
                    const QueueLoad &Own, Millis LatestStart) const;
  Millis onTimeWaitWithoutCapacity(const Queue &JobQueue) const;
  void countWaitingWork(StepRun &Step);
  void recordStartLoad(const StepRun &Step);
  void recordFirstStart(const Job &Started);
  std::map<std::string_view, double> freeShares() const;
  void observeLoads();
  void forgetLoadWindows();

  // engine_workers.cc
  static void describeWorker(Worker &Target, const WorkerEntry &Entry);
  Worker *findWorker(const std::string &Id);
  Worker *workerAt(WorkerNumber Number) const;
  void markDue(Worker &Target);
  Millis examineWorker(Worker &Target);
  Millis advanceRun(Worker &Target, const std::string &Name, Run &TargetRun);
  void forgetUnlistedWorkers(const std::vector<std::string> &Ids);
  void sendRenewal(Worker &Target);
  void sendStart(Worker &Target, const std::string &Name, Run &TargetRun);
  void sendStop(Worker &Target, const std::string &Name, Run &TargetRun);
  void stopRun(Worker &Target, const std::string &Name, Run &TargetRun,
               std::string_view Why);
  void addRun(Worker &Target, const std::string &Name, Run NewRun);
  void dropRun(Worker &Target, const std::string &Name);
  /// Removes a run that is over without an end that counts. Its task waits for
  /// another run.
  void loseRun(Worker &Target, const std::string &Name, std::string_view Why);
  bool mayBeSameIncarnation(const PendingOrder &Order, Millis ClockMs) const;
  bool continuesClock(const Worker &Target, Millis ClockMs) const;
  bool mayRunInLaterIncarnation(const Worker &Target,
                                const Run &TargetRun) const;
  void changeIncarnation(Worker &Target, Millis Incarnation);
  void keepForNextList(Worker &Target, Run &TargetRun);
  void suspendUntilNextList(Worker &Target);
  void assumeLongestLease(Worker &Target);
  void loseWorker(Worker &Gone, std::string_view Why);
  void expireLease(Worker &Target);
  void applyOrderOutcome(Worker &Target, const PendingOrder &Order,
                         Run &TargetRun, const OrderOutcome &Outcome);
  void applyStopOutcome(Run &TargetRun, const OrderOutcome &Outcome);
  void withdrawStart(Worker &Target, const std::string &Task, Run &TargetRun);
  static WorkerAddress addressOf(const Worker &Target);
  Millis workerClock(const Worker &Target) const;
  bool isRecovering() const;
  Millis strayLeaseEnd(const Worker &Target) const;
  Millis recoveryEndOf(const Worker *Target) const;
  void endRecoveryWithoutContact();
  void recordHealth(Worker &Target, EndKind Kind, const Job &Cause);

  // engine_lists.cc
  void processList(Worker &Sender, const WorkerList &List);
  void processRunning(Worker &Sender, const RunningEntry &Entry, Millis Clock);
  void processEnd(Worker &Sender, const EndEntry &End, Millis EndDelay);
  void loseUnlistedRuns(Worker &Sender, const WorkerList &List);
  void adoptRun(Worker &Target, const RunningEntry &Entry, StepRun &Step,
                std::uint32_t Index);

  // engine_history.cc
  Millis maxEndDelay(const Worker &Sender, const WorkerList &List) const;
  void learnFromEnd(const Worker &Sender, const Run &Ended, EndKind Kind,
                    Millis EndDelay);
  std::optional<double> requiredSpeedOf(const StepRun &Step) const;
  void refreshSpeeds();
  void reportSpeeds();

  // engine_gangs.cc
  void startGang(StepRun &Step, const std::vector<GangAssignment> &Assignments);
  void confirmStart(Worker &Target, Run &TargetRun);
  void confirmMember(StepRun &Step);
  void markAssembled(StepRun &Step, std::string_view Why);
  void recordProgress(const Run &TargetRun, const RunningEntry &Entry);
  bool mayAdopt(const StepRun &Step, std::uint64_t Attempt) const;
  void adoptMember(StepRun &Step, std::uint64_t Attempt);
  void abortGangOf(const Run &TargetRun, std::string_view Why);
  void abortGang(StepRun &Step, std::string_view Why);
  void abortGangsWithoutProgress(const Worker &Silent);
  bool isOverdue(const GangAttempt &Gang) const;
  void abortOverdueGangs();

  // engine_gang_plan.cc
  using GangOptions = std::map<std::string, std::vector<GangOption>>;
  void placeGang(StepRun &Step);
  GangOptions gangOptions(const StepRun &Step);
  bool planGang(StepRun &Step, const GangOptions &Racks, GangRoom Room);
  void collectGangRoom(StepRun &Step, const GangOptions &Racks);
  bool startReadyGang(StepRun &Step, const GangOptions &Racks);
  bool keepsGangPlan(StepRun &Step, const GangOptions &Racks);
  bool reserveGang(StepRun &Step,
                   const std::vector<GangAssignment> &Assignments,
                   GangRoom Room);
  std::vector<Worker *>
  workersWithoutTicket(const StepRun &Step,
                       const std::vector<Worker *> &Workers,
                       Millis Until) const;

  // engine_place_wait.cc
  bool isPlaceWaitOn() const { return Limits_.RemoteFactor_ >= 1; }
  void recordFreed(const Worker &Target, const Resources &UsedBefore);
  PlaceWait describePlaceWait(const StepRun &Step,
                              std::optional<Millis> Expected) const;
  std::uint32_t tasksHeldForRack(StepRun &Step,
                                 const std::vector<Worker *> &Open,
                                 std::uint32_t Left);
  void recordPlaceStart(const StepRun &Step, const std::string &Name,
                        bool Elsewhere, std::string_view Why);
  void recordTaskPlace(const StepRun &Step, std::uint32_t Index,
                       const Worker &Target);

  // engine_gang_racks.cc
  bool needsOneRack(const StepRun &Step) const;
  bool fitsInRack(StepRun &Step);
  std::optional<Millis> expectedRackWait(const StepRun &Step,
                                         const GangOptions &Racks) const;
  bool maySpanRacks(StepRun &Step, const GangOptions &Racks);
  void recordGangPlace(StepRun &Step,
                       const std::vector<GangAssignment> &Assignments);

  // engine_reservations.cc
  void reserve(Worker &Target, StepRun &Step, std::uint32_t Copies,
               Millis Until);
  void useReservation(Worker &Target, StepRun &Step);
  void releaseReservations(StepRun &Step);
  void dropReservationsOn(Worker &Gone);
  std::uint32_t reservedCopies(const Worker &Target, const StepRun &Step) const;
  Resources reservedForOthers(const Worker &Target, const StepRun &Step) const;

  // engine_reports.cc
  GangWait describeWait(const StepRun &Step) const;
  void reportWait(StepRun &Step);
  void reportUsage();
  void reportOpenWork();

  // engine_pace.cc
  void adjustFillerPaces(Worker &Target);
  void sendPaces(Worker &Target);

  // engine_upkeep.cc
  void restoreWaves(const StoredCell &Stored);
  void advanceWave(WaveRun &TargetWave);
  void advanceMachine(WaveRun &TargetWave, const std::string &Machine,
                      MachineUpkeep &Upkeep);
  void startMachines(WaveRun &TargetWave);
  void drainMachine(WaveRun &TargetWave, const MachineUpkeep &Upkeep,
                    Worker &Target);
  bool isRemoved(const std::string &Machine) const;
  Millis drainTimeLimit(const WaveRun &TargetWave) const;
  bool mayStopServiceTask(const StepRun &Step) const;
  bool isServing(const StepRun &Step, std::uint32_t Index) const;
  void markUpkeepDrains();
  void addWaveChanges(TransactionRows &Out);

  // engine_placement.cc
  bool acceptsTasks(const Worker &Target) const;
  bool suits(const Worker &Target, const StepRun &Step) const;
  bool isUsable(const Worker &Target, const StepRun &Step) const;
  Resources freeResourcesFor(const Worker &Target, const StepRun &Step) const;
  std::uint32_t maxCopiesOn(const Worker &Target, const StepRun &Step,
                            bool WithVictims) const;
  std::uint32_t copiesBelowLimit(const Worker &Target,
                                 const StepRun &Step) const;
  std::uint32_t copiesIn(const Resources &Room, const StepRun &Step) const;
  Resources preemptibleRoom(const Worker &Target, const StepRun &Step) const;
  bool mayPreempt(const StepRun &Step, const Run &Victim) const;
  std::uint32_t makeRoom(Worker &Target, StepRun &Step, std::uint32_t Copies,
                         Millis Until);
  void estimateUnseenUsage();
  std::optional<Resources> unconfirmedRoom() const;
  bool isUnderTeamLimit(const StepRun &Step, std::uint32_t Copies) const;
  bool isPreemptible(const Run &Victim) const;
  int minPreemptiblePriority(const StepRun &Step) const;
  bool runsTaskWithTailGoal(const Worker &Target) const;
  void setPhase(Worker &Target, Run &TargetRun, Run::Phase Phase);
  Resources *needSumOf(NeedSums &Sums, const Run &TargetRun) const;
  bool isUrgent(const Run &TargetRun) const;
  void addNeeds(NeedSums &Sums, const Run &TargetRun) const;
  void subtractNeeds(NeedSums &Sums, const Run &TargetRun) const;
  NeedSums countNeeds(const Worker &Target) const;
  void refreshRunPriorities();
  std::vector<Worker *> eligibleWorkers(const StepRun &Step);
  void placeStep(StepRun &Step);
  bool isUnpreferred(const Worker &Target, const StepRun &Step) const;
  Worker *bestWorker(const StepRun &Step, const std::vector<Worker *> &Open,
                     std::optional<double> Required);
  void placeTasks(StepRun &Step);
  bool fitsBesideServices(const Worker &Target, const StepRun &Step) const;
  void collectServiceRoom(StepRun &Step, const std::vector<Worker *> &Open,
                          std::uint32_t Tasks);
  void startTask(StepRun &Step, std::uint32_t Index, Worker &Target,
                 std::uint64_t Attempt);
  Urgency::Class urgencyClassOf(const StepRun &Step) const;
  void addWaiting(StepRun &Step);
  void removeWaiting(StepRun &Step);
  void reorderWaiting();
  std::vector<StepRun *> takeWaiting(const Urgency *After);
  std::size_t examine(const std::vector<StepRun *> &Steps);
  void examineFurther(const Urgency &Border);
  void collectUsableWorkers();
  bool isAllowedAfterStop(const Worker &Target, const StepRun &Step) const;
  std::uint64_t nextAttempt(Task &TargetTask, std::uint32_t &StartCount) const;
  bool isOwnAttempt(std::uint64_t Attempt) const;

  // engine_advice.cc
  bool requestAdvice(StepRun &Step);
  bool mayRequestAdvice(const StepRun &Step);
  bool sendAdviceCall(StepRun &Step, const std::vector<Worker *> &Asked);
  bool sendAdviceCalls(StepRun &Step, const std::vector<Worker *> &Asked);
  bool requestGangAdvice(StepRun &Step);
  double expectedGangRoom(const StepRun &Step, bool WithVictims) const;
  void askForGang(StepRun &Step, const std::vector<Worker *> &Asked,
                  double Room);
  Millis adviceCallTime(const StepRun &Step, std::size_t Count) const;
  std::vector<Worker *> unknownWorkersForGang(const StepRun &Step);
  bool askBeforePreemption(StepRun &Step);
  bool isAdviceQuick(const StepRun &Step) const;
  bool areFewHostsAsked() const;
  void backOffWithoutRoom(StepRun &Step);
  double &allowedRatioOf(const StepRun &Step);
  std::size_t minWorkersAsked(const StepRun &Step) const;
  /// The workers to ask about in one call.
  struct WorkersToAsk {
    std::vector<Worker *> Workers_;
    bool HaveRoom_ = false; ///< Some of them have room without preemption.
  };
  WorkersToAsk chooseWorkersToAsk(const StepRun &Step);
  AdviceHost *chooseAdviceHost(double Cost, const std::string &Queue);
  bool hasEnoughCapacity(const StepRun &Step) const;
  void dropAdviceOn(const Worker &Gone);
  void dropTicketsOn(const Worker &Restarted);

  // engine_schedule.cc
  std::uint32_t dueOccurrences(const Job &TargetJob) const;
  std::uint32_t firstRecentOccurrence(const Job &TargetJob,
                                      std::uint32_t Due) const;
  std::uint32_t skipOpened(const Job &TargetJob, std::uint32_t From) const;
  bool isOpen(const Job &TargetJob, std::uint32_t Occurrence) const;
  bool isDone(const Job &TargetJob, std::uint32_t Occurrence) const;
  std::uint32_t countDoneOccurrences(const Job &TargetJob) const;
  std::uint32_t countUnopenedOccurrences(const Job &TargetJob) const;
  void openNamedOccurrence(const TaskName &Name);
  void openDueOccurrences(Job &TargetJob);
  void openFrom(Job &TargetJob, std::uint32_t &Next, std::uint32_t Due);
  void openOccurrence(Job &TargetJob, std::uint32_t Occurrence);
  void scheduleOccurrence(const Job &TargetJob);
  void advanceOccurrences();
  void openOverdueOccurrences();
  void releaseDoneOccurrences();
  bool releaseDoneOccurrences(Job &TargetJob);

  // engine_memory.cc
  bool mayOpenOccurrence(const Job &TargetJob) const;
  void countOpenOccurrences(const Job &TargetJob, std::uint32_t Before);
  void holdMemory(Job &TargetJob);
  void releaseMemory(const Job &TargetJob);
  bool refuseForMemory(Token Caller, const Resolution &Request,
                       const JobSpec &Spec);
  bool mayStartFurtherRun() const { return LiveRuns_ < MaxLiveRuns_; }

  // engine_progress.cc
  void markDirty(StepRun &Step, std::uint32_t From, std::uint32_t To);
  JobProgress collectProgress(const Job &TargetJob, TaskNumber First,
                              std::uint32_t Done) const;
  bool shrinkProgressRow(Job &TargetJob, TaskNumber First,
                         const JobProgress &Progress);
  bool addProgressOf(Job &TargetJob, TransactionRows &Out);
  void addProgress(TransactionRows &Out);
  void failUnstorable(Job &TargetJob, std::string_view Why);
  void recordStoredProgress();
  void dropProgressRow(const std::string &Id, TaskNumber First);
  StepProgress progressOfStep(const Job &TargetJob, std::uint32_t Occurrence,
                              std::uint32_t Step, std::uint32_t From,
                              std::uint32_t To) const;
  std::optional<std::uint32_t>
  nextOccurrenceWithProgress(const Job &TargetJob, std::uint32_t From) const;
  void restoreProgress(const StoredCell &Stored);
  void restoreDoneOccurrences(Job &TargetJob, std::uint32_t Done);
  void restoreStepProgress(Job &TargetJob, StepProgress Row);
  void applyProgress(StepRun &Step, const StepProgress &Row);

  // engine_rejection.cc
  void takeBackCommit();
  void takeBackJobs();
  void suspect(const SuspectedChange &Change);
  SuspectedChange sentChange() const;
  void resolveSuspicion();
  void giveUp(const SuspectedChange &Change);
  void holdEnd(const std::string &Id);
  void refuseUnstorable(Job &Refused);
  void resumeHeldChanges();

  // engine_commit.cc
  void markSent(Job &TargetJob);
  void markChanged(Job &TargetJob);
  void recordEnd(Worker &Sender, std::uint64_t Number, const Job *Cause);
  void updateUsedWorker(Worker &Target);
  void compareUsedWorkers();
  void addUsedWorkers(TransactionRows &Out);
  void addEndedJobs(TransactionRows &Out);
  void addNewJobs(TransactionRows &Out);
  void collectStoredEnds();
  void acknowledgeStoredEnds();
  void recordStoredWorkers();
  void answerNewJobs();
  void answerEndedJobs();
  bool hasChanges() const;
  std::size_t reservedForNewJobs() const;
  std::size_t reservedForProgress() const;
  std::size_t maxRowBytes() const;
  Millis expectedStoreWait() const;

  std::string Self_;
  Epoch Epoch_;
  Bounds Limits_;
  Token NextToken_ = 1;
  std::shared_ptr<const DesiredState> State_;
  /// Includes queues that have since been removed.
  std::unordered_map<std::string, std::shared_ptr<const Queue>> Queues_;
  int HighestPriority_ = 0;
  std::set<std::string> WithdrawnDomains_;

  std::unordered_map<std::string, std::unique_ptr<Job>> Jobs_;
  std::unordered_map<std::string, EndedRecord> EndedRecords_;
  std::multimap<Millis, EndedRow> EndedByTime_; ///< By time since 1970.
  /// Number of rows of ended jobs that this owner has written.
  std::uint64_t EndedRows_ = 0;
  /// Key of the row of ended jobs in the transaction in flight.
  std::string CommitEndedKey_;
  std::map<std::string, Resources> TeamUsage_;
  /// Most that runs of a former owner may use which no list has shown yet, by
  /// team. Empty once all workers have answered.
  std::map<std::string, Resources> UnseenUsage_;
  Millis UnseenUsageAt_ = 0;           ///< Time of the estimate.
  std::size_t UnseenUsageWorkers_ = 0; ///< Unconfirmed workers at that time.
  /// Token buckets for the submission rates of teams, with the time of the
  /// latest refill.
  std::map<std::string, std::pair<double, Millis>> TeamTokens_;

  std::unordered_map<std::string, std::unique_ptr<Worker>> Workers_;
  /// Restarts by worker id. Kept when a worker is forgotten, since it may come
  /// back with the fence that it has accepted.
  std::unordered_map<std::string, std::uint32_t> RestartCounts_;
  /// The earliest DueAt_ of all workers.
  Millis NextWorkerDue_ = 0;
  /// Workers by number, from NoWorker on; null for those that were forgotten.
  /// Numbers are not used again, so that the table grows by a pointer with each
  /// worker that is found.
  std::vector<Worker *> WorkersByNumber_ = {nullptr};
  /// Workers that may still run tasks of a former owner.
  std::set<std::string> UnconfirmedWorkers_;
  /// When all leases of a former owner have certainly ended.
  Millis RecoveryEnd_ = 0;
  std::unordered_map<Token, PendingOrder> PendingOrders_;

  std::map<std::string, AdviceHost> AdviceHosts_;
  std::unordered_map<Token, PendingAdvice> PendingAdvice_;
  std::unordered_map<std::string, double> AllowedRatio_; ///< By queue.
  /// Number of long calls without an answer, by queue.
  std::unordered_map<std::string, std::size_t> LongCalls_;

  /// Ready steps with waiting tasks. Steps whose tasks have all started, or
  /// whose class has changed, are moved when a pass reaches them.
  std::map<Urgency, StepRun *> WaitingSteps_;
  /// Gangs that wait for the confirmation of some members.
  std::vector<StepRun *> AssemblingGangs_;
  Millis NextWaitReport_ = 0;  ///< Earliest time of the next gang_waits line.
  Millis NextUsageReport_ = 0; ///< Time of the next cell_usage line.
  Millis NextPlacement_ = 0;
  Millis PassStartedAt_ = 0; ///< Start of the latest placement pass.
  bool PassEnded_ = true;    ///< A call after the latest pass has been made.
  /// The latest step that passes examined beyond the most urgent ones, and the
  /// number of steps to be examined there before all have been.
  Urgency LastExamined_;
  std::size_t ExaminationsLeft_ = 0;
  std::size_t ComparedInPart_ = 0; ///< Workers, in the present part of a pass.
  /// Workers that accept tasks in the present placement pass.
  std::vector<Worker *> UsableWorkers_;
  /// Workers with room for the task that is being placed, and what is compared
  /// of them.
  std::vector<Worker *> CandidateWorkers_;
  std::vector<WorkerCandidate> Candidates_;
  std::int64_t UsableCpu_ = 0; ///< Milli-cores of these workers.
  /// Milli-cores that gangs without enough room keep, in the present pass.
  std::int64_t CollectedCpu_ = 0;
  /// Selections of workers to ask about, in the present part of a pass.
  std::size_t AdviceSelections_ = 0;
  /// A step of some value could not make a call in the present pass.
  bool CallsLackHosts_ = false;
  Millis NextJobAdvance_ = 0;
  RunHistory History_;
  bool SpeedsDiffer_ = false;   ///< Some workers are known to be faster.
  Millis NextSpeedRefresh_ = 0; ///< When Worker::Speed_ is set again.
  Millis NextSpeedReport_ = 0;  ///< Time of the next worker_speeds line.
  /// Scheduled jobs by the time since 1970 at which their next occurrence is
  /// due.
  std::multimap<Millis, std::string> DueOccurrences_;
  /// Jobs with occurrences that are due but not open, by id. Those that were
  /// examined longest ago come first.
  std::deque<std::string> OverdueJobs_;
  /// Scheduled jobs with occurrences that are done and still open, by id.
  std::unordered_set<std::string> JobsToRelease_;
  /// What the accepted jobs hold, with what is reserved for them.
  WorkMemory Memory_;
  /// Bytes of the accepted jobs and of the occurrences that are open.
  std::uint64_t OpenBytes_ = 0;
  std::size_t OpenOccurrences_ = 0;
  std::size_t LiveRuns_ = 0; ///< Runs on all workers.
  std::size_t MaxLiveRuns_;
  std::uint64_t RefusedForMemory_ = 0;
  bool AdmissionEnabled_ = true;
  std::unordered_map<std::string, QueueLoad> QueueLoads_; ///< By queue.
  Millis LastLoadCheck_ = 0;
  Millis LoadWindowStart_ = 0;
  /// Submissions that were refused by their forecast, and since their team was
  /// over its share.
  std::uint64_t RefusedHopeless_ = 0;
  std::uint64_t RefusedOverShare_ = 0;
  /// Number of stored jobs that have not started, by queue.
  std::unordered_map<std::string, std::uint64_t> WaitingJobs_;

  FreedRoomHistory FreedRoom_; ///< By rack of a service.
  PlaceWaitCounts PlaceWaits_;
  /// Tasks that wait for room, by place, in the present placement pass.
  std::unordered_map<std::string, std::uint32_t> HeldForPlace_;

  std::map<std::uint64_t, WaveRun> Waves_;
  /// The machines of the latest list, and those that it alone lacks: these are
  /// in MissingMachines_ too and count as down.
  std::map<std::string, MachineEntry> Machines_;
  std::set<std::string> MissingMachines_;
  std::map<std::uint64_t, std::set<std::string>> RestoredWaves_;
  std::size_t MachineLists_ = 0; ///< Received since a wave has been active.
  bool MachineListInFlight_ = false;
  Millis MachineListSentAt_ = 0;
  /// When the current list of machines was requested.
  Millis MachinesAsOf_ = 0;
  Millis OwnerSince_ = 0;

  bool CommitInFlight_ = false;
  Millis LastCommit_ = 0;
  std::vector<Job *> NewJobs_;
  std::vector<Job *> DirtyJobs_;
  std::vector<Job *> EndingJobs_;
  /// Rows of progress in the transaction in flight.
  std::vector<SentProgress> CommitProgress_;
  /// Rows that are due for deletion.
  std::vector<RowChange> ObsoleteRows_;
  /// Workers that are listed or have runs.
  std::set<std::string> UsedWorkers_;
  bool UsedWorkersChanged_ = true; ///< Since the last comparison.
  /// State of the recovery at the last comparison.
  std::pair<bool, std::size_t> ComparedRecovery_;
  bool WorkersDirty_ = false; ///< The stored list of workers is out of date.
  std::set<std::string> RecordedWorkers_;
  /// The list of workers in the transaction in flight, if it contains one.
  std::optional<std::set<std::string>> CommitWorkers_;
  /// Number of rows of that list, and of the stored one.
  std::size_t CommitWorkerRows_ = 0;
  std::size_t WorkerRows_ = 0;
  /// Workers with ends that are not acknowledged to them yet.
  std::unordered_set<std::string> UnacknowledgedWorkers_;
  /// Workers some of whose ends the transaction in flight acknowledges.
  std::vector<std::string> CommitAcknowledged_;
  /// Mean time from the start of a transaction to its completion.
  Millis CommitTime_ = InitialCommitTime;
  std::vector<Job *> CommitNewJobs_;
  std::vector<Job *> CommitEndingJobs_;
  /// Changes of jobs in the transaction in flight.
  std::vector<SentChange> CommitChanges_;
  std::vector<RowChange> CommitObsoleteRows_;
  /// Number of changes in the transaction in flight.
  std::size_t CommitItems_ = 0;
  /// Limit on the changes in a transaction, while the store rejects one.
  std::size_t MaxItems_ = NoItemLimit;
  /// The only change in a transaction that the store rejected. The next
  /// transaction has no changes and shows whether the store takes any.
  std::optional<SuspectedChange> Suspected_;
  SuspectedChange LastSuspected_;
  int Rejections_ = 0;    ///< Of LastSuspected_ alone, one after another.
  Millis NextCommit_ = 0; ///< Earliest time of the next transaction.
  /// Changes that the store rejects and that must not be lost: ends of jobs,
  /// the list of workers and waves. They are sent again at HeldUntil_.
  std::vector<Job *> HeldEnds_;
  bool WorkersHeld_ = false;
  bool WavesHeld_ = false;
  Millis HeldUntil_ = 0;
};

} // namespace oleandergauge::cell

#endif // OLEANDERGAUGE_CELL_ENGINE_H
