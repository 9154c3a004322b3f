#ifndef OLEANDERGAUGE_TEST_CELL_CELL_WORLD_H
#define OLEANDERGAUGE_TEST_CELL_CELL_WORLD_H

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cell/cell.h"
#include "fake_worker.h"

namespace oleandergauge::cell::test {

/// Fault rates of a simulation, as shares of calls.
struct Faults {
  double LostAnswer_ = 0; ///< The order is carried out, but its answer is lost.
  /// The order is unanswered and carried out 2 to 8 s later.
  double LateOrder_ = 0;
  double FailedRun_ = 0;  ///< The run ends as failed.
  double LostAdvice_ = 0; ///< The call for advice has no outcome at all.
};

/// The history of a task over all owners, as seen by the checks.
struct TaskHistory {
  int RunningCount_ = 0;
  bool Done_ = false;
  Millis DoneAt_ = 0; ///< Time at which the first run ended as done.
  std::uint64_t DoneAttempt_ = 0; ///< The number of that run.
  Millis StartedAt_ = 0;          ///< Time of the latest start.
  /// Run numbers of failures that an owner acknowledged.
  std::set<std::uint64_t> AcknowledgedFailures_;
};

/// A machine of the platform. The worker at the same index runs on it.
struct FakeMachine {
  MachineState State_ = MachineState::Up;
  int Upkeeps_ = 0;
  int Orders_ = 0;
};

/// Simulates a cell with its store, workers and callers in virtual time, and
/// checks each start against the invariants of the scheduler.
class CellSimulation {
public:
  explicit CellSimulation(std::uint64_t Seed, std::size_t WorkerCount = 4)
      : Random_(Seed) {
    for (std::size_t At = 0; At < WorkerCount; ++At) {
      FakeWorker Created;
      Created.Id_ = "w" + std::to_string(At);
      Created.Address_ = "10.0.0." + std::to_string(At) + ":1";
      Created.Domain_ = At % 2 == 0 ? "d1" : "d2";
      Workers_.push_back(Created);
      Machines_.emplace_back();
    }
    auto State = std::make_shared<DesiredState>();
    State->Version_ = 1;
    Queue Fast{"fast", "h", "/f/", "svc", 0, 2, 2, 500, std::nullopt, false};
    Queue Slow{"slow", "h", "/s/", "svc", 1, 2, 2, 500, std::nullopt, false};
    Queue Advised{"advised", "h", "/a/",
                  "svc",     1,   2,
                  2,         500, AdviceCost{2, 0.3, TicketValidity},
                  false};
    State->Queues_ = {Fast, Slow, Advised};
    State->Teams_ = {{"team", {"key"}, 100, {9000, 0, 0, 0, 0}}};
    State_ = State;
  }

  /// Starts a new owner from the stored rows.
  void takeOver() {
    ++Epoch_;
    OwnerSince_ = Now_;
    Cell_ =
        std::make_unique<Cell>("h" + std::to_string(Epoch_), Epoch_, Bounds_);
    StoredCell Stored;
    for (const auto &[Key, Value] : Rows_) {
      if (Key.first == JobTable)
        Stored.Jobs_.emplace_back(Key.second, Value);
      else if (Key.first == ProgressTable)
        Stored.Progress_.emplace_back(Key.second, Value);
      else if (Key.first == EndedTable)
        Stored.Ended_.emplace_back(Key.second, Value);
      else if (Key.first == WorkersTable)
        restoreWorkers(Stored, Value);
      else if (Key.first == WavesTable)
        Stored.Waves_.emplace_back(Key.second, Value);
    }
    Cell_->setDesiredState(Now_, State_);
    Cell_->restore(Now_, wall(), Stored);
    Cell_->setWaves(Now_, Waves_);
    for (std::size_t At = 0; At < AdviceHosts_; ++At)
      Cell_->addAdviceHost("agent" + std::to_string(At), 1);
    listWorkers();
    processEffects();
  }

  /// Ends the owner's process. Its orders in flight may still arrive.
  void killOwner() {
    Cell_.reset();
    ++OwnerGeneration_;
    PendingRenewals_.clear();
  }

  /// Submits a job and returns the token of its reply, see ReplyObserver_.
  Token submit(const std::string &Id, const JobSpec &Spec,
               const std::string &Queue = "slow",
               Millis Timeout = DefaultCallerTimeout) {
    Specs_[Id] = Spec;
    Queues_[Id] = Queue;
    const Token Caller = NextCaller_++;
    if (!Cell_)
      return Caller;
    SubmittedAt_[Caller] = Now_;
    Callers_[Caller] = Id;
    Cell_->submit(Now_, wall(), Caller, {Access::Allowed, 1, Queue, "team", Id},
                  Spec, Timeout);
    processEffects();
    return Caller;
  }
  /// The token that the next submission gets.
  Token nextCaller() const { return NextCaller_; }

  void cancel(const std::string &Id) {
    if (!Cell_)
      return;
    Cell_->cancel(Now_, NextCaller_, {Access::Allowed, 1, "", "team", Id});
    Callers_[NextCaller_++] = Id;
    processEffects();
  }

  std::optional<JobState> stateOf(const std::string &Id) {
    QueriedState_.reset();
    Cell_->query(Now_, QueryToken, {Access::Allowed, 1, "", "team", Id});
    processEffects();
    return QueriedState_;
  }

  /// Lets advice take the time given by \p Cost and allow only each \p
  /// AllowedEvery'th worker.
  void limitAdvice(const AdviceCost &Cost, std::size_t AllowedEvery) {
    auto State = std::make_shared<DesiredState>(*State_);
    State->Queues_.back().Advice_ = Cost;
    State_ = State;
    AdviceCost_ = Cost;
    AllowedEvery_ = AllowedEvery;
  }
  /// Sets the number of entry hosts that the next owner asks for advice.
  void setAdviceHosts(std::size_t Count) { AdviceHosts_ = Count; }
  /// Sets the priority of a queue for the next owner.
  void setPriority(const std::string &Queue, int Priority) {
    auto State = std::make_shared<DesiredState>(*State_);
    for (auto &Each : State->Queues_)
      if (Each.Name_ == Queue)
        Each.Priority_ = Priority;
    State_ = State;
  }
  /// Sets the number of failed runs that fail a job for the next owner.
  void setAttempts(std::uint32_t Attempts) {
    auto State = std::make_shared<DesiredState>(*State_);
    for (auto &Each : State->Queues_)
      Each.Attempts_ = Attempts;
    State_ = State;
  }
  /// Returns the times at which calls for advice were sent and answered.
  const std::vector<std::pair<Millis, Millis>> &adviceCalls() const {
    return AdviceCalls_;
  }

  /// Requests a wave for the first \p Count machines, as an operator does.
  void requestWave(std::size_t Count, std::uint32_t MaxDown, Millis Duration) {
    Wave Created{Waves_.size() + 1, {}, Duration, MaxDown};
    for (std::size_t At = 0; At < Count; ++At)
      Created.Machines_.push_back("m" + std::to_string(At));
    Waves_.push_back(Created);
    if (Cell_)
      Cell_->setWaves(Now_, Waves_);
  }
  const FakeMachine &machine(std::size_t At) const { return Machines_[At]; }

  /// Advances the virtual time by \p Span.
  void run(Millis Span) {
    for (const Millis End = Now_ + Span; Now_ < End;) {
      Now_ += TickLength;
      if (BeforeTick_)
        BeforeTick_();
      recordDisconnections();
      updateGangs();
      for (FakeWorker &Each : Workers_)
        advance(Each);
      runDueEvents();
      if (!Cell_ || OwnerPaused_)
        continue;
      if (Now_ % 200 == 0)
        listWorkers();
      Cell_->setStoreReachable(!StoreDown_);
      Cell_->tick(Now_, wall());
      processEffects();
    }
  }

  FakeWorker &worker(std::size_t At) { return Workers_[At]; }
  std::size_t workerCount() const { return Workers_.size(); }
  Millis now() const { return Now_; }
  Millis wall() const { return 1000000 + Now_; }
  bool hasOwner() const { return Cell_ != nullptr; }
  Cell &cell() { return *Cell_; }
  const std::vector<std::string> &violations() const { return Violations_; }
  std::size_t starts() const { return Starts_; }
  /// Returns the number of gang members that ended because others were missing.
  std::size_t aloneEnds() const { return AloneEnds_; }
  /// Returns the longest time between a submission and its answer.
  Millis longestSubmissionWait() const { return LongestSubmissionWait_; }
  /// Lets the store stop answering, or answer again.
  void setStoreDown(bool Down) { StoreDown_ = Down; }
  /// Adds a worker to the list in the store or removes it.
  void setListed(const std::string &Id, bool Listed) {
    if (Listed)
      Unlisted_.erase(Id);
    else
      Unlisted_.insert(Id);
  }
  /// Called at the start of each tick, before the owner's.
  std::function<void()> BeforeTick_;
  std::function<void(const Reply &)> ReplyObserver_;
  /// The owner's process is suspended: time passes, but it handles nothing.
  bool OwnerPaused_ = false;
  std::set<std::string> Started_; ///< Jobs of which a task was started.
  std::set<std::string> Accepted_;
  std::set<std::string> Refused_;
  std::set<std::string> TooLarge_;
  std::set<std::string> NotStorable_;
  /// Whether the store rejects a transaction for good; none if not set.
  std::function<bool(const Commit &)> Rejects_;
  std::vector<Millis> RetryTimes_; ///< As told with refusals.
  std::map<std::string, Millis> CancelledAt_;
  Faults Faults_;
  Bounds Bounds_;                        ///< As the next owner is told.
  Millis CommitTime_ = 8;                ///< Duration of a transaction.
  std::size_t EndsPerList_ = 500;        ///< Ends in one answer of a worker.
  std::vector<std::size_t> CommitSizes_; ///< Rows written by transactions.
  /// Run time and failure of a task; drawn at random if not set.
  std::function<std::pair<Millis, bool>(const std::string &Task)>
      TaskBehaviour_;
  /// Tail latency that a task of a service reports.
  std::function<double(const std::string &Task)> ReportedTail_;
  /// The latest report by wave; true if complete.
  std::map<std::uint64_t, bool> WaveStates_;
  std::map<std::string, int> Paces_; ///< The latest pace order by task.
  std::map<std::string, int> Stops_; ///< Number of stopped runs by reason.
  /// Rows in the store, by table and key.
  std::map<std::pair<std::string, std::string>, std::string> Rows_;

private:
  static constexpr Millis TickLength = 5;
  static constexpr Token QueryToken = ~Token{0};
  static constexpr Millis TicketValidity = 1500;
  static constexpr Millis MaxStopTime = 200;
  /// Limits of a transaction, besides the owner's row and its condition.
  static constexpr std::size_t MaxEntries = 98;
  static constexpr std::size_t MaxTransactionBytes = 1000000;
  /// Time within which an owner in contact with all workers aborts a gang.
  static constexpr Millis GangAbortTime = 2000;

  bool drawChance(double Share) {
    return std::uniform_real_distribution<>(0, 1)(Random_) < Share;
  }
  Millis drawBetween(Millis Low, Millis High) {
    return std::uniform_int_distribution<Millis>(Low, High)(Random_);
  }
  void addViolation(const std::string &What) {
    Violations_.push_back(std::to_string(Now_) + " ms: " + What);
  }
  void schedule(Millis Delay, std::function<void()> Work) {
    Events_.emplace(Now_ + Delay, std::move(Work));
  }
  /// Schedules what the process of the present owner handles. It waits while
  /// that process is suspended, and is dropped once it has ended.
  void scheduleForOwner(Millis Delay, std::function<void()> Work) {
    schedule(Delay, [this, Work, Generation = OwnerGeneration_] {
      if (!Cell_ || Generation != OwnerGeneration_)
        return;
      if (OwnerPaused_)
        scheduleForOwner(TickLength, Work);
      else
        Work();
    });
  }
  void runDueEvents() {
    while (!Events_.empty() && Events_.begin()->first <= Now_) {
      const std::function<void()> Work = std::move(Events_.begin()->second);
      Events_.erase(Events_.begin());
      Work();
    }
    for (std::size_t At = 0; !OwnerPaused_ && At < PendingRenewals_.size();) {
      FakeWorker *Receiver = find(PendingRenewals_[At].first.Worker_.Id_);
      if (Now_ < PendingRenewals_[At].second && Receiver->Ends_.empty()) {
        ++At;
        continue;
      }
      const SendRenewal Renewal = PendingRenewals_[At].first;
      PendingRenewals_.erase(PendingRenewals_.begin() +
                             static_cast<std::ptrdiff_t>(At));
      answerRenewal(*Receiver, Renewal);
    }
  }

  static void restoreWorkers(StoredCell &Stored, const std::string &Value) {
    const auto Ids = decodeWorkers(Value).value();
    Stored.Workers_.insert(Ids.begin(), Ids.end());
    ++Stored.WorkerRows_;
  }

  FakeWorker *find(const std::string &Id) {
    for (FakeWorker &Each : Workers_)
      if (Each.Id_ == Id)
        return &Each;
    return nullptr;
  }

  void listWorkers() {
    std::vector<WorkerEntry> Entries;
    for (const FakeWorker &Each : Workers_)
      if (Unlisted_.count(Each.Id_) == 0)
        Entries.push_back({Each.Id_,
                           "svc",
                           Each.Address_,
                           Each.Domain_,
                           {},
                           "r1",
                           Each.Capacity_,
                           Each.Draining_,
                           Each.Incarnation_});
    Cell_->setWorkers(Now_, Entries, true);
  }

  void advance(FakeWorker &Each) {
    for (const auto &[Task, Kind] : Each.advance(Now_, TickLength))
      endRun(Each, Task, Kind);
  }

  void recordDisconnections() {
    for (const FakeWorker &Each : Workers_)
      if (Each.Disconnected_)
        LastDisconnectedAt_ = Now_;
  }

  /// Ends a run, and with it the other members of its gang.
  void endRun(FakeWorker &Receiver, const std::string &Task, EndKind Kind) {
    const auto It = Receiver.Runs_.find(Task);
    if (It == Receiver.Runs_.end())
      return;
    const FakeWorker::ActiveRun EndedRun = It->second;
    Receiver.end(Task, Kind);
    TaskHistory &History = Tasks_[Task];
    --History.RunningCount_;
    if (Kind == EndKind::Done && !History.Done_) {
      History.DoneAt_ = Now_;
      History.DoneAttempt_ = EndedRun.Attempt_;
    }
    History.Done_ = History.Done_ || Kind == EndKind::Done;
    if (Kind == EndKind::Alone)
      checkAloneEnd(Task, EndedRun);
    if (!EndedRun.Gang_)
      return;
    const EndKind Others = Kind == EndKind::Done ? Kind : EndKind::Broken;
    for (const auto &[Worker, Member] :
         membersOf(stepOf(Task), EndedRun.Attempt_))
      endRun(*Worker, Member, Others);
  }

  static std::string stepOf(const std::string &Task) {
    return Task.substr(0, Task.rfind('.'));
  }

  std::vector<std::pair<FakeWorker *, std::string>>
  membersOf(const std::string &Step, std::uint64_t Attempt) {
    std::vector<std::pair<FakeWorker *, std::string>> Out;
    for (FakeWorker &Worker : Workers_)
      for (const auto &[Task, Each] : Worker.Runs_)
        if (Each.Gang_ && Each.Attempt_ == Attempt && stepOf(Task) == Step)
          Out.emplace_back(&Worker, Task);
    return Out;
  }

  /// Lets gangs work once all members of an attempt are present. If a member
  /// has disappeared without an end, the others end too.
  void updateGangs() {
    std::set<std::pair<std::string, std::uint64_t>> Gangs;
    for (const FakeWorker &Worker : Workers_)
      for (const auto &[Task, Each] : Worker.Runs_)
        if (Each.Gang_)
          Gangs.emplace(stepOf(Task), Each.Attempt_);
    for (const auto &[Step, Attempt] : Gangs) {
      const auto Members = membersOf(Step, Attempt);
      std::string Job;
      std::uint32_t StepAt = 0;
      const bool AllPresent =
          Members.size() == specOf(Members.front().second, Job, StepAt).Count_;
      for (const auto &[Worker, Task] : Members) {
        FakeWorker::ActiveRun &Each = Worker->Runs_[Task];
        if (AllPresent)
          Each.Assembled_ = true;
      }
      const auto &[First, Task] = Members.front();
      if (!AllPresent && First->Runs_[Task].Assembled_)
        endRun(*First, Task, EndKind::Broken);
    }
  }

  /// Checks whether an owner in contact with all workers should have ended the
  /// wait of this member earlier.
  void checkAloneEnd(const std::string &Task,
                     const FakeWorker::ActiveRun &EndedRun) {
    ++AloneEnds_;
    const Millis Since = Now_ - EndedRun.WaitedForMembers_;
    const bool OwnerActive =
        Cell_ && Now_ - std::max(OwnerSince_, Since) >= GangAbortTime;
    const bool Connected =
        Now_ - LastDisconnectedAt_ >= Bounds{}.GangTimeout_ + GangAbortTime;
    if (OwnerActive && Connected)
      addViolation("a member of a gang waited alone: " + Task);
  }

  const StepSpec &specOf(const std::string &Task, std::string &Job,
                         std::uint32_t &StepAt) {
    Job = Task.substr(0, Task.find('.'));
    const std::size_t Second = Task.find('.', Job.size() + 1);
    StepAt = static_cast<std::uint32_t>(std::stoul(Task.substr(Second + 1)));
    return Specs_.at(Job).Steps_[StepAt];
  }

  // --- Orders at a worker.
  OrderOutcome executeOrder(const SendStart &Order) {
    FakeWorker &Receiver = *find(Order.Worker_.Id_);
    OrderOutcome Out{Order.Token_, OrderResult::Rejected, Receiver.clock(Now_),
                     Receiver.Incarnation_};
    if (Order.Worker_.Fence_ < Receiver.Fence_) {
      Out.Result_ = OrderResult::Fenced;
      return Out;
    }
    Receiver.Fence_ = Order.Worker_.Fence_;
    const auto Known = Receiver.Runs_.find(Order.Task_);
    if (Known != Receiver.Runs_.end() &&
        Known->second.Attempt_ == Order.Attempt_) {
      Out.Result_ = OrderResult::Done;
      return Out;
    }
    if (Queues_[Order.Task_.substr(0, Order.Task_.find('.'))] == "advised") {
      const auto Ticket = TicketExpiry_.find(Order.Ticket_);
      const std::string Step = Order.Task_.substr(0, Order.Task_.rfind('.'));
      if (Order.Ticket_ != Receiver.Id_ + "/" + Step ||
          Ticket == TicketExpiry_.end() || Ticket->second < Now_) {
        Out.Result_ = OrderResult::BadTicket;
        return Out;
      }
    }
    if (Receiver.RejectsStarts_)
      return Out;
    const bool Outdated =
        Receiver.HighestEndedAttempt_.count(Order.Task_) != 0 &&
        Order.Attempt_ <= Receiver.HighestEndedAttempt_[Order.Task_];
    if (Outdated || Known != Receiver.Runs_.end() ||
        Receiver.clock(Now_) > Order.Deadline_)
      return Out;
    Receiver.Deadline_ =
        std::max(Receiver.Deadline_,
                 std::min(Order.Deadline_, Receiver.clock(Now_) + 6000));
    checkStart(Receiver, Order);
    std::string Job;
    std::uint32_t StepAt = 0;
    const StepSpec &Spec = specOf(Order.Task_, Job, StepAt);
    FakeWorker::ActiveRun Created{Order.Attempt_, Spec.Need_,
                                  drawBetween(50, 900),
                                  drawChance(Faults_.FailedRun_), std::nullopt};
    Created.Gang_ = Spec.Gang_;
    if (TaskBehaviour_)
      std::tie(Created.RemainingWork_, Created.Fails_) =
          TaskBehaviour_(Order.Task_);
    Receiver.Runs_[Order.Task_] = Created;
    Started_.insert(Job);
    ++Tasks_[Order.Task_].RunningCount_;
    Tasks_[Order.Task_].StartedAt_ = Now_;
    ++Starts_;
    Out.Result_ = OrderResult::Done;
    return Out;
  }

  /// Checks a start against the invariants.
  void checkStart(const FakeWorker &Receiver, const SendStart &Order) {
    TaskHistory &History = Tasks_[Order.Task_];
    std::string Job;
    std::uint32_t StepAt = 0;
    const StepSpec &Spec = specOf(Order.Task_, Job, StepAt);
    if (History.RunningCount_ > 0)
      addViolation("two runs of a task at once: " + Order.Task_);
    if (History.Done_ && AcknowledgedDone_.count(Order.Task_) != 0)
      addViolation("started after its end was acknowledged: " + Order.Task_);
    if (History.AcknowledgedFailures_.size() >= State_->Queues_[0].Attempts_)
      addViolation("started after its last allowed attempt: " + Order.Task_);
    const Resources Sum = Receiver.used() + Spec.Need_;
    if (Sum.CpuMilli_ > Receiver.Capacity_.CpuMilli_ ||
        Sum.MemoryMib_ > Receiver.Capacity_.MemoryMib_)
      addViolation("worker above its capacity: " + Receiver.Id_);
    std::int64_t TeamCpu = Spec.Need_.CpuMilli_;
    for (const FakeWorker &Each : Workers_)
      TeamCpu += Each.used().CpuMilli_;
    if (TeamCpu > 9900 + 4000)
      addViolation("team above its limit");
    const std::string Occurrence =
        Order.Task_.substr(0, Order.Task_.find('.', Job.size() + 1) + 1);
    for (std::uint32_t Earlier : Spec.After_)
      for (std::uint32_t At = 0; At < Specs_[Job].Steps_[Earlier].Count_; ++At)
        if (!Tasks_[Occurrence + std::to_string(Earlier) + "." +
                    std::to_string(At)]
                 .Done_)
          addViolation("started before an earlier step was done: " +
                       Order.Task_);
    if (Accepted_.count(Job) == 0 && Rows_.count({JobTable, Job}) == 0)
      addViolation("started a job that is not stored: " + Job);
    const auto Cancelled = CancelledAt_.find(Job);
    if (Cancelled != CancelledAt_.end() && Now_ > Cancelled->second + 9000)
      addViolation("started long after its cancellation: " + Order.Task_);
  }

  /// Checks that a stop leaves enough tasks of the service running.
  void checkStop(const std::string &Task) {
    std::string Job;
    std::uint32_t StepAt = 0;
    const StepSpec &Spec = specOf(Task, Job, StepAt);
    if (Spec.MaxUnavailable_ == 0 || CancelledAt_.count(Job) != 0)
      return;
    std::uint32_t Unavailable = 0;
    const std::string Step = Task.substr(0, Task.rfind('.') + 1);
    for (std::uint32_t At = 0; At < Spec.Count_; ++At) {
      const std::string Other = Step + std::to_string(At);
      Unavailable += Other != Task && Tasks_[Other].RunningCount_ == 0 ? 1 : 0;
    }
    if (Unavailable >= Spec.MaxUnavailable_)
      addViolation("too many tasks of a service made unavailable: " + Task);
  }

  OrderOutcome executeOrder(const SendStop &Order) {
    FakeWorker &Receiver = *find(Order.Worker_.Id_);
    OrderOutcome Out{Order.Token_, OrderResult::Fenced, Receiver.clock(Now_),
                     Receiver.Incarnation_};
    if (Order.Worker_.Fence_ < Receiver.Fence_)
      return Out;
    Receiver.Fence_ = Order.Worker_.Fence_;
    Out.Result_ = OrderResult::Done;
    const auto Known = Receiver.Runs_.find(Order.Task_);
    if (Known != Receiver.Runs_.end())
      checkStop(Order.Task_);
    if (Known != Receiver.Runs_.end() &&
        Known->second.Attempt_ <= Order.Attempt_ &&
        !Known->second.RemainingStopTime_)
      Known->second.RemainingStopTime_ = drawBetween(0, MaxStopTime);
    Receiver.HighestEndedAttempt_[Order.Task_] =
        std::max(Receiver.HighestEndedAttempt_[Order.Task_], Order.Attempt_);
    return Out;
  }

  /// Delivers an order, with faults drawn at random, and returns its outcome.
  template <typename Order> void sendOrder(const Order &Each) {
    auto Answer = [this,
                   Generation = OwnerGeneration_](const OrderOutcome &Outcome) {
      if (Generation == OwnerGeneration_)
        scheduleForOwner(0, [this, Outcome] {
          Cell_->handle(Now_, Outcome);
          processEffects();
        });
    };
    const OrderOutcome None{Each.Token_, OrderResult::NoAnswer, 0, 0};
    if (find(Each.Worker_.Id_)->Disconnected_) {
      schedule(350, [Answer, None] { Answer(None); });
    } else if (drawChance(Faults_.LateOrder_)) {
      schedule(350, [Answer, None] { Answer(None); });
      schedule(drawBetween(2000, 8000), [this, Each] { executeOrder(Each); });
    } else if (drawChance(Faults_.LostAnswer_)) {
      schedule(drawBetween(1, 3), [this, Each] { executeOrder(Each); });
      schedule(350, [Answer, None] { Answer(None); });
    } else {
      schedule(drawBetween(1, 3), [this, Each, Answer] {
        const OrderOutcome Outcome = executeOrder(Each);
        schedule(drawBetween(1, 2), [Answer, Outcome] { Answer(Outcome); });
      });
    }
  }

  /// Notes that a task's end counts. A start since then ran the task twice,
  /// unless the worker's lease lapsed after the end.
  void recordAcknowledgedDone(const FakeWorker &Receiver,
                              const EndEntry &Entry) {
    AcknowledgedDone_.insert(Entry.Task_);
    const TaskHistory &History = Tasks_[Entry.Task_];
    if (Entry.Attempt_ == History.DoneAttempt_ &&
        History.StartedAt_ > History.DoneAt_ &&
        Receiver.LapsedAt_ < History.DoneAt_)
      addViolation("started again after an end that counts: " + Entry.Task_);
  }

  void answerRenewal(FakeWorker &Receiver, const SendRenewal &Renewal) {
    RenewalOutcome Out{
        Renewal.Worker_.Id_, Renewal.Worker_.Fence_, OrderResult::Done, {}};
    if (Receiver.Disconnected_) {
      Out.Result_ = OrderResult::NoAnswer;
    } else if (Renewal.Worker_.Fence_ < Receiver.Fence_) {
      Out.Result_ = OrderResult::Fenced;
    } else {
      Receiver.Fence_ = Renewal.Worker_.Fence_;
      if (Renewal.Deadline_ > 0)
        Receiver.Deadline_ =
            std::max(Receiver.Deadline_,
                     std::min(Renewal.Deadline_, Receiver.clock(Now_) + 6000));
      while (!Receiver.Ends_.empty() &&
             Receiver.Ends_.front().Number_ <= Renewal.AcknowledgedEnd_) {
        const EndEntry &AcknowledgedEntry = Receiver.Ends_.front();
        if (AcknowledgedEntry.Kind_ == EndKind::Done)
          recordAcknowledgedDone(Receiver, AcknowledgedEntry);
        if (AcknowledgedEntry.Kind_ == EndKind::Failed)
          Tasks_[AcknowledgedEntry.Task_].AcknowledgedFailures_.insert(
              AcknowledgedEntry.Attempt_);
        Receiver.Ends_.pop_front();
      }
      Out.List_.ClockMs_ = Receiver.clock(Now_);
      Out.List_.Incarnation_ = Receiver.Incarnation_;
      for (const auto &[Name, Each] : Receiver.Runs_)
        Out.List_.Running_.push_back({Name, Each.Attempt_, "",
                                      Each.Gang_ && !Each.Assembled_ ? 0 : 100,
                                      ReportedTail_ ? ReportedTail_(Name) : 0});
      Out.List_.AllRuns_ = true;
      const std::size_t Count = std::min(Receiver.Ends_.size(), EndsPerList_);
      Out.List_.Ended_.assign(Receiver.Ends_.begin(),
                              Receiver.Ends_.begin() +
                                  static_cast<std::ptrdiff_t>(Count));
      Out.List_.AllEnds_ = Count < EndsPerList_;
    }
    scheduleForOwner(drawBetween(1, 3), [this, Out] {
      Cell_->handle(Now_, Out);
      processEffects();
    });
  }

  // --- Effects.
  void processEffects() {
    for (const Effect &Each : Cell_->takeEffects())
      std::visit([this](const auto &Kind) { applyEffect(Kind); }, Each);
  }
  void applyEffect(const Reply &Each) {
    if (Each.Token_ == QueryToken) {
      if (Each.Answer_ == Answer::State)
        QueriedState_ = Each.State_;
      return;
    }
    if (ReplyObserver_)
      ReplyObserver_(Each);
    const auto Submitted = SubmittedAt_.find(Each.Token_);
    if (Submitted != SubmittedAt_.end()) {
      LongestSubmissionWait_ =
          std::max(LongestSubmissionWait_, Now_ - Submitted->second);
      SubmittedAt_.erase(Submitted);
    }
    if (Each.Answer_ == Answer::Accepted)
      Accepted_.insert(Callers_[Each.Token_]);
    if (Each.Answer_ == Answer::Busy) {
      Refused_.insert(Callers_[Each.Token_]);
      RetryTimes_.push_back(Each.RetryAfter_);
    }
    if (Each.Answer_ == Answer::TooLarge)
      TooLarge_.insert(Callers_[Each.Token_]);
    if (Each.Answer_ == Answer::NotStorable)
      NotStorable_.insert(Callers_[Each.Token_]);
    if (Each.Answer_ == Answer::Cancelled)
      CancelledAt_.emplace(Callers_[Each.Token_], Now_);
  }
  void applyEffect(const SendStart &Each) { sendOrder(Each); }
  void applyEffect(const SendStop &Each) { sendOrder(Each); }
  void applyEffect(const SendPace &Each) {
    Paces_[Each.Task_] = Each.Percent_;
    scheduleForOwner(2, [this, Each] {
      Cell_->handle(Now_, OrderOutcome{Each.Token_, OrderResult::Done,
                                       find(Each.Worker_.Id_)->clock(Now_), 0});
    });
  }
  void applyEffect(const SendRenewal &Each) {
    schedule(1, [this, Each, Generation = OwnerGeneration_] {
      if (Generation == OwnerGeneration_)
        PendingRenewals_.emplace_back(
            Each,
            Now_ + (find(Each.Worker_.Id_)->Disconnected_ ? Each.Wait_ + 500
                                                          : Each.Wait_));
    });
  }
  /// All workers but one may run a step, unless advice is limited.
  bool isAllowed(const std::string &Worker, const std::string &Step) const {
    if (AllowedEvery_ > 0)
      return std::stoul(Worker.substr(1)) % AllowedEvery_ == 0;
    const std::size_t Refused = std::hash<std::string>()(Step);
    return Worker != "w" + std::to_string(Refused % Workers_.size());
  }
  void applyEffect(const AskAdvice &Each) {
    if (drawChance(Faults_.LostAdvice_))
      return;
    AdviceOutcome Out{Each.Token_, true, {}, TicketValidity};
    for (const std::string &Id : Each.Workers_)
      if (isAllowed(Id, Each.Step_)) {
        Out.Tickets_.emplace_back(Id, Id + "/" + Each.Step_);
        TicketExpiry_[Id + "/" + Each.Step_] = Now_ + TicketValidity + 20;
      }
    const auto Took = static_cast<Millis>(
        10 + AdviceCost_.Base_ +
        AdviceCost_.PerWorker_ * static_cast<double>(Each.Workers_.size()));
    AdviceCalls_.emplace_back(Now_, Now_ + Took);
    scheduleForOwner(Took, [this, Out] { Cell_->handle(Now_, Out); });
  }
  /// Checks a transaction against the limits of the store.
  void checkLimits(const Commit &Each) {
    std::size_t Bytes = 0;
    for (const RowChange &Row : Each.Changes_) {
      const std::size_t Size = Row.Value_ ? Row.Value_->size() : 0;
      Bytes += 2 * Size + Row.Table_.size() + Row.Key_.size();
      if (Size > Bounds_.RowBytes_)
        addViolation("row of " + std::to_string(Size) + " bytes: " + Row.Key_);
    }
    if (Each.Changes_.size() > MaxEntries || Bytes > MaxTransactionBytes)
      addViolation("transaction is too large");
  }
  void applyEffect(const Commit &Each) {
    checkLimits(Each);
    CommitSizes_.push_back(Each.Changes_.size());
    schedule(CommitTime_, [this, Each, Generation = OwnerGeneration_] {
      commit(Each, Generation);
    });
  }
  void commit(const Commit &Each, int Generation) {
    if (Generation != OwnerGeneration_)
      return; // The row of the next owner makes the condition fail.
    if (StoreDown_) {
      schedule(50, [this, Each, Generation] { commit(Each, Generation); });
      return;
    }
    if (Rejects_ && Rejects_(Each)) {
      scheduleForOwner(0, [this] {
        Cell_->commitRejected(Now_);
        processEffects();
      });
      return;
    }
    for (const RowChange &Row : Each.Changes_) {
      if (Row.Value_)
        Rows_[{Row.Table_, Row.Key_}] = *Row.Value_;
      else
        Rows_.erase({Row.Table_, Row.Key_});
    }
    scheduleForOwner(0, [this] {
      Cell_->committed(Now_, wall());
      processEffects();
    });
  }
  void applyEffect(const ListMachines &) {
    std::vector<MachineEntry> Out;
    for (std::size_t At = 0; At < Machines_.size(); ++At)
      Out.push_back(
          {"m" + std::to_string(At), Workers_[At].Id_, Machines_[At].State_});
    scheduleForOwner(3, [this, Out] { Cell_->setMachines(Now_, Out); });
  }
  void applyEffect(const OrderUpkeep &Each) {
    const bool Lost = drawChance(Faults_.LostAnswer_);
    schedule(3, [this, Each, Lost, Generation = OwnerGeneration_] {
      const UpkeepResult Result = beginUpkeep(Each);
      if (Generation != OwnerGeneration_)
        return;
      scheduleForOwner(0, [this, Each, Lost, Result] {
        Cell_->handle(Now_,
                      UpkeepOutcome{Each.Machine_, Each.Wave_,
                                    Lost ? UpkeepResult::NoAnswer : Result});
      });
    });
  }
  UpkeepResult beginUpkeep(const OrderUpkeep &Each) {
    const std::size_t At = std::stoul(Each.Machine_.substr(1));
    FakeMachine &Target = Machines_[At];
    ++Target.Orders_;
    if (Target.Upkeeps_ > 0)
      return UpkeepResult::Done;
    std::uint32_t Down = 0;
    for (const FakeMachine &Other : Machines_)
      Down += Other.State_ == MachineState::Upkeep ? 1 : 0;
    if (Down >= Waves_[Each.Wave_ - 1].MaxDown_)
      addViolation("too many machines down for upkeep");
    Target.State_ = MachineState::Upkeep;
    ++Target.Upkeeps_;
    FakeWorker &Receiver = Workers_[At];
    for (const auto &[Name, Run] : Receiver.Runs_)
      --Tasks_[Name].RunningCount_;
    Receiver.Runs_.clear();
    Receiver.Disconnected_ = true;
    Unlisted_.insert(Receiver.Id_);
    schedule(2000, [this, At] {
      FakeWorker &Back = Workers_[At];
      Unlisted_.erase(Back.Id_);
      Back.restart(Now_);
      Back.Disconnected_ = false;
      Machines_[At].State_ = MachineState::Up;
    });
    return UpkeepResult::Done;
  }
  void applyEffect(const ReportWave &Each) {
    for (const std::string &Machine : Waves_[Each.Wave_ - 1].Machines_)
      if (Each.Complete_ &&
          Machines_[std::stoul(Machine.substr(1))].Upkeeps_ == 0)
        addViolation("wave reported as complete before " + Machine);
    WaveStates_[Each.Wave_] = Each.Complete_;
  }
  void applyEffect(const DurationSample &) {}
  void applyEffect(const Decision &Each) {
    if (Each.Event_ == "task_stopping")
      ++Stops_[Each.Reason_];
  }

  std::mt19937_64 Random_;
  Millis Now_ = 1000;
  Epoch Epoch_ = 0;
  int OwnerGeneration_ = 0;
  bool StoreDown_ = false;
  std::set<std::string> Unlisted_;
  std::unique_ptr<Cell> Cell_;
  std::shared_ptr<const DesiredState> State_;
  std::vector<FakeWorker> Workers_;
  std::vector<FakeMachine> Machines_;
  std::vector<Wave> Waves_;
  std::multimap<Millis, std::function<void()>> Events_;
  std::vector<std::pair<SendRenewal, Millis>> PendingRenewals_;
  std::map<std::string, JobSpec> Specs_;
  std::map<std::string, std::string> Queues_;
  std::map<Token, std::string> Callers_;
  std::map<Token, Millis> SubmittedAt_; ///< Submissions without an answer.
  Millis LongestSubmissionWait_ = 0;
  Token NextCaller_ = 1;
  std::optional<JobState> QueriedState_;
  std::map<std::string, TaskHistory> Tasks_;
  std::set<std::string> AcknowledgedDone_;
  std::map<std::string, Millis> TicketExpiry_;
  AdviceCost AdviceCost_; ///< Zero if advice is answered without delay.
  std::size_t AllowedEvery_ = 0;
  std::size_t AdviceHosts_ = 1;
  std::vector<std::pair<Millis, Millis>> AdviceCalls_;
  std::vector<std::string> Violations_;
  std::size_t Starts_ = 0;
  std::size_t AloneEnds_ = 0;
  Millis OwnerSince_ = 0;
  Millis LastDisconnectedAt_ =
      -1000000; ///< When a worker was last disconnected.
};

/// Returns a job with one step.
inline JobSpec simpleJob(std::uint32_t Count, std::int64_t Cpu) {
  StepSpec Step;
  Step.Count_ = Count;
  Step.Need_ = {Cpu, 100, 0, 0, 0};
  Step.Estimate_ = 400;
  return {"payload", {Step}, 0, 0, 0};
}

} // namespace oleandergauge::cell::test

#endif // OLEANDERGAUGE_TEST_CELL_CELL_WORLD_H
