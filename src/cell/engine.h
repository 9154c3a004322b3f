#ifndef OLEANDERGAUGE_CELL_ENGINE_H
#define OLEANDERGAUGE_CELL_ENGINE_H

#include "cell/model.h"

namespace oleandergauge::cell {

using namespace detail;

/// Lease that each renewal asks for: covers a takeover with room, and ends
/// soon enough that work of a lost worker starts again.
constexpr Millis Lease = 4800;
/// Real time that a lease may take longer, since a worker's clock may be slow
/// by 2%, and the slack of the estimate of that clock.
constexpr Millis LeaseSlack = Lease * 3 / 100 + 100;

/// A host that asks for advice; its calls are served one after another.
struct Agent {
  std::string Host_;
  double Strength_ = 0;
  std::size_t Calls_ = 0; ///< Without an answer yet.
  double Backlog_ = 0;    ///< Milliseconds of advice asked for.
};

/// An order without an outcome yet.
struct OpenOrder {
  std::string Worker_;
  std::string Task_;
  std::uint64_t Attempt_ = 0;
  std::uint64_t Fence_ = 0;
  bool Start_ = false;
  int Pace_ = -1; ///< Of an order on pace, else negative.
};

struct OpenAdvice {
  StepRun *Step_ = nullptr; ///< Empty once the job is gone.
  std::string EntryHost_;
  double Cost_ = 0;
  std::vector<std::string> Workers_;
  Millis GiveUpAt_ = 0;
};

/// Members of a gang that one worker takes.
struct GangShare {
  Worker *On_ = nullptr;
  std::uint32_t Members_ = 0;
};

/// A stored row of ended jobs.
struct EndedRow {
  std::string Key_;
  std::vector<std::string> Jobs_;
};

class Cell::Engine {
public:
  Engine(std::string Self, Epoch OwnEpoch, Bounds Limits);

  // Jobs (engine_jobs.cc).
  void restore(const StoredCell &Stored);
  void submit(Token Caller, const Resolution &Where, const JobSpec &Spec);
  void cancel(Token Caller, const Resolution &Where);
  void query(Token Caller, const Resolution &Where);
  void setDesiredState(std::shared_ptr<const DesiredState> State);
  void taskEnded(StepRun &Step, std::uint32_t Index, const EndEntry &End,
                 Worker *Where);
  void endJob(Job &Ended, EndState State);
  void detach(Job &Of);
  bool storeStalled() const;
  void refuseUnsent();
  void advanceJobs();

  // Workers (engine_workers.cc, engine_lists.cc).
  void setWithdrawn(std::set<std::string> Domains);
  void setWorkers(const std::vector<WorkerEntry> &Entries, bool Fresh);
  void handle(const OrderOutcome &Outcome);
  void handle(const RenewalOutcome &Outcome);
  void pumpWorkers();

  // Upkeep of machines (engine_upkeep.cc).
  void setWaves(const std::vector<Wave> &Waves);
  void setMachines(const std::optional<std::vector<MachineEntry>> &Machines);
  void handle(const UpkeepOutcome &Outcome);
  void pumpUpkeep();

  // Advice (engine_advice.cc).
  void addAdviceHost(const std::string &Host, double Strength);
  void removeAdviceHost(const std::string &Host);
  void handle(const AdviceOutcome &Outcome);
  void expireAdvice();

  // Placement (engine_placement.cc).
  void place();

  // Storage (engine_commit.cc).
  void committed();
  void flush();

  /// Sends what is due.
  void pump();
  CellStats stats() const;

  Millis Now_ = 0;
  Millis Wall_ = 0;
  std::vector<Effect> Effects_;
  bool StoreReachable_ = true;
  bool Authorized_ = true;
  bool PlaceWanted_ = false;

private:
  // engine_jobs.cc
  Job &makeJob(const std::string &Id, const JobRecord &Record);
  void openNamed(const TaskName &Name);
  void openDue(Job &Of);
  void openOccurrence(Job &Of, std::uint32_t Occurrence);
  void applyProgress(Job &Of, const std::vector<StepProgress> &Progress);
  void refreshReady(Job &Of);
  void checkComplete(Job &Of);
  void measure(std::string_view What, const Job &Of);
  void requeue(StepRun &Step, std::uint32_t Index);
  void gangDone(StepRun &Step);
  void markDirty(Job &Of);
  void forgetJob(Job &Ended);
  JobState stateOf(const Job &Of) const;
  std::uint64_t countWaiting(const std::string &Queue) const;
  const Queue *queueOf(const Job &Of) const;
  int priorityOf(const StepRun &Step) const;
  StepRun *findStep(const TaskName &Name);
  Job *findJob(const std::string &Id);
  Millis chainOf(const JobSpec &Spec, const Queue *Of, std::uint32_t From,
                 bool WithAdvice) const;

  // engine_workers.cc
  Worker *findWorker(const std::string &Id);
  void sendHold(Worker &To);
  void sendStart(Worker &To, const std::string &Name, Run &Of);
  void sendStop(Worker &To, const std::string &Name, Run &Of);
  void stopRun(Worker &On, const std::string &Name, Run &Of,
               std::string_view Why);
  void addRun(Worker &On, const std::string &Name, Run Made);
  void dropRun(Worker &On, const std::string &Name);
  /// The run is over without an end that counts; its task waits again.
  void loseRun(Worker &On, const std::string &Name, std::string_view Why);
  void changeLife(Worker &Of, Millis Born);
  void loseWorker(Worker &Gone, std::string_view Why);
  void expireLease(Worker &Of);
  void settleOrder(Worker &On, const OpenOrder &Order, Run &Of,
                   const OrderOutcome &Outcome);
  Millis clockOf(const Worker &Of) const;
  bool recovering() const;
  void noteHealth(Worker &Of, EndKind Kind, const Job &Cause);

  // engine_lists.cc
  void takeList(Worker &From, const WorkerList &List);
  void takeRunning(Worker &From, const RunningEntry &Entry, Millis Clock);
  void takeEnd(Worker &From, const EndEntry &End);
  void dropMissing(Worker &From, const WorkerList &List);
  void adoptRun(Worker &On, const RunningEntry &Entry, StepRun &Step,
                std::uint32_t Index);

  // engine_gangs.cc
  std::vector<GangShare> divideGang(const StepRun &Step,
                                    const std::vector<Worker *> &Workers,
                                    bool WithVictims) const;
  void placeGang(StepRun &Step);
  void startGang(StepRun &Step, const std::vector<GangShare> &Shares);
  void confirmStart(Run &Of);
  void memberPresent(StepRun &Step);
  void gangTogether(StepRun &Step, std::string_view Why);
  void noteProgress(const Run &Of, const RunningEntry &Entry);
  bool mayJoin(const StepRun &Step, std::uint64_t Attempt) const;
  void joinGang(StepRun &Step, std::uint64_t Attempt);
  void memberGone(const Run &Of, std::string_view Why);
  void callOff(StepRun &Step, std::string_view Why);
  void callOffUnproven(const Worker &Silent);
  bool isOverdue(const GangAttempt &Gang) const;
  void watchGangs();

  // engine_pace.cc
  void paceFillers(Worker &On);
  void sendPaces(Worker &On);

  // engine_upkeep.cc
  void restoreWaves(const StoredCell &Stored);
  void advanceWave(WaveRun &Of);
  void advanceMachine(WaveRun &Of, const std::string &Machine,
                      MachineUpkeep &Upkeep);
  void openMachines(WaveRun &Of);
  void vacate(WaveRun &Of, const MachineUpkeep &Upkeep, Worker &On);
  Millis patienceOf(const WaveRun &Of) const;
  bool mayTakeAway(const StepRun &Step) const;
  bool atWork(const StepRun &Step, std::uint32_t Index) const;
  void markVacating();
  void addWaveChanges(std::vector<RowChange> &Out);

  // engine_placement.cc
  bool usable(const Worker &On, const StepRun &For) const;
  Resources freeFor(const Worker &On, const StepRun &For) const;
  std::uint32_t copiesOn(const Worker &On, const StepRun &For,
                         bool WithVictims) const;
  Resources victimRoom(const Worker &On, const StepRun &For) const;
  bool preempts(const StepRun &For, const Run &Victim) const;
  std::uint32_t makeRoom(Worker &On, StepRun &For, std::uint32_t Copies);
  bool underLimit(const StepRun &For, std::uint32_t Copies) const;
  bool yields(const Run &Victim) const;
  int firstYielding(const StepRun &For) const;
  bool serves(const Worker &On) const;
  void sumRuns();
  std::vector<Worker *> openWorkers(const StepRun &For);
  void placeStep(StepRun &Step);
  void placeTasks(StepRun &Step);
  void startTask(StepRun &Step, std::uint32_t Index, Worker &On,
                 std::uint64_t Attempt);
  void collectReady();
  std::uint64_t nextAttempt(Task &Of, std::uint32_t &Counter) const;
  bool isOwnAttempt(std::uint64_t Attempt) const;

  // engine_advice.cc
  void wantAdvice(StepRun &Step);
  bool knowsAllWorkers(const StepRun &Step) const;
  std::size_t leastAsked(const StepRun &Step) const;
  std::vector<Worker *> chooseAsked(const StepRun &Step);
  Agent *chooseAgent(double Cost);

  // engine_commit.cc
  void addJobChanges(std::vector<RowChange> &Out);
  void addNewJobs(std::vector<RowChange> &Out);
  void addEndedJobs(std::vector<RowChange> &Out);
  void addProgress(std::vector<RowChange> &Out);
  bool somethingToStore() const;

  std::string Self_;
  Epoch Epoch_;
  Bounds Limits_;
  Token NextToken_ = 1;
  std::shared_ptr<const DesiredState> State_;
  std::unordered_map<std::string, Queue> Queues_; ///< Also dropped ones.
  int FirstPriority_ = 0;
  std::set<std::string> Withdrawn_;

  std::unordered_map<std::string, std::unique_ptr<Job>> Jobs_;
  std::unordered_map<std::string, EndedRecord> Ended_;
  std::multimap<Millis, EndedRow> EndedByTime_;
  std::uint64_t EndedRows_ = 0; ///< Written by this owner.
  std::string CommitEndedKey_;  ///< Of the transaction in flight.
  std::map<std::string, Resources> TeamUse_;
  std::map<std::string, std::pair<double, Millis>> TeamTokens_;

  std::unordered_map<std::string, std::unique_ptr<Worker>> Workers_;
  std::set<std::string> Unsettled_; ///< Workers a former owner may have used.
  Millis RecoveryEnd_ = 0;
  std::unordered_map<Token, OpenOrder> Orders_;

  std::map<std::string, Agent> Agents_;
  std::unordered_map<Token, OpenAdvice> OpenAdvice_;
  std::unordered_map<std::string, double> AllowedShare_; ///< By queue.

  std::vector<StepRun *> Ready_;
  std::vector<StepRun *> Gathering_; ///< Gangs of which members are awaited.
  Millis NextPlace_ = 0;
  std::size_t AskChoices_ = 0; ///< Made in this pass.
  Millis NextAdvance_ = 0;

  std::map<std::uint64_t, WaveRun> Waves_;
  std::map<std::string, MachineEntry> Machines_;
  std::map<std::uint64_t, std::set<std::string>> StoredWaves_;
  std::vector<std::uint64_t> GoneWaves_;
  bool MachinesKnown_ = false;
  bool ListInFlight_ = false;
  Millis ListSentAt_ = 0;
  Millis ListedAt_ = 0; ///< When the list that is known was asked for.
  Millis OwnerSince_ = 0;

  bool CommitInFlight_ = false;
  Millis LastCommit_ = 0;
  std::vector<Job *> NewJobs_;
  std::vector<Job *> DirtyJobs_;
  std::vector<Job *> EndingJobs_;
  std::vector<std::string> ExpiredRows_; ///< Of ended jobs.
  bool WorkersDirty_ = false;
  std::set<std::string> RecordedWorkers_;
  std::set<std::string> CommitWorkers_;
  std::vector<Job *> CommitNew_;
  std::vector<Job *> CommitEnding_;
  bool CommitAll_ = false;
};

} // namespace oleandergauge::cell

#endif // OLEANDERGAUGE_CELL_ENGINE_H
