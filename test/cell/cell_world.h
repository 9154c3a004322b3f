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

/// What goes wrong in a World, as shares of calls.
struct Faults {
  double LostAnswer_ = 0; ///< Carried out, the answer does not come.
  double LateOrder_ = 0;  ///< No answer, carried out 2 to 8 s later.
  double FailedRun_ = 0;  ///< Runs that end as failed.
  double LostAdvice_ = 0; ///< Calls for advice without any outcome.
};

/// A job's task as the oracle sees it, over all owners.
struct TaskHistory {
  int RunningOn_ = 0;
  bool Done_ = false;
  std::set<std::uint64_t> FailedNoted_; ///< Failed runs taken note of.
};

/// A machine of the platform; the worker at the same place runs on it.
struct FakeMachine {
  MachineState State_ = MachineState::Up;
  int Upkeeps_ = 0;
  int Orders_ = 0;
};

/// One cell with its store, workers and callers in virtual time, and an
/// oracle that checks each start against what must always hold.
class World {
public:
  explicit World(std::uint64_t Seed, std::size_t WorkerCount = 4)
      : Random_(Seed) {
    for (std::size_t At = 0; At < WorkerCount; ++At) {
      FakeWorker Made;
      Made.Id_ = "w" + std::to_string(At);
      Made.Address_ = "10.0.0." + std::to_string(At) + ":1";
      Made.Domain_ = At % 2 == 0 ? "d1" : "d2";
      Workers_.push_back(Made);
      Machines_.emplace_back();
    }
    auto State = std::make_shared<DesiredState>();
    State->Version_ = 1;
    Queue Fast{"fast", "h", "/f/", "svc", 0, 2, 2, 500, std::nullopt, false};
    Queue Slow{"slow", "h", "/s/", "svc", 1, 2, 2, 500, std::nullopt, false};
    Queue Advised{"advised", "h", "/a/",
                  "svc",     1,   2,
                  2,         500, AdviceCost{2, 0.3, TicketTime},
                  false};
    State->Queues_ = {Fast, Slow, Advised};
    State->Teams_ = {{"team", {"key"}, 100, {9000, 0, 0, 0, 0}}};
    State_ = State;
  }

  /// Starts an owner from what is stored.
  void takeOver() {
    ++Epoch_;
    OwnerSince_ = Now_;
    Cell_ =
        std::make_unique<Cell>("h" + std::to_string(Epoch_), Epoch_, Bounds{});
    StoredCell Stored;
    for (const auto &[Key, Value] : Rows_) {
      if (Key.first == JobTable)
        Stored.Jobs_.emplace_back(Key.second, Value);
      else if (Key.first == ProgressTable)
        Stored.Progress_.emplace_back(Key.second, Value);
      else if (Key.first == EndedTable)
        Stored.Ended_.emplace_back(Key.second, Value);
      else if (Key.first == WorkersTable)
        Stored.Workers_ = decodeWorkers(Value).value();
      else if (Key.first == WavesTable)
        Stored.Waves_.emplace_back(Key.second, Value);
    }
    Cell_->setDesiredState(Now_, State_);
    Cell_->restore(Now_, wall(), Stored);
    Cell_->setWaves(Now_, Waves_);
    Cell_->addAdviceHost("agent", 1);
    listWorkers();
    perform();
  }

  /// The owner's process is gone; its orders under way stay under way.
  void killOwner() {
    Cell_.reset();
    ++Life_;
    Holds_.clear();
  }

  void submit(const std::string &Id, const JobSpec &Spec,
              const std::string &Queue = "slow") {
    Specs_[Id] = Spec;
    Queues_[Id] = Queue;
    if (!Cell_)
      return;
    Cell_->submit(Now_, wall(), NextCaller_,
                  {Access::Allowed, 1, Queue, "team", Id}, Spec);
    Callers_[NextCaller_++] = Id;
    perform();
  }

  void cancel(const std::string &Id) {
    if (!Cell_)
      return;
    Cell_->cancel(Now_, NextCaller_, {Access::Allowed, 1, "", "team", Id});
    Callers_[NextCaller_++] = Id;
    perform();
  }

  std::optional<JobState> stateOf(const std::string &Id) {
    Asked_.reset();
    Cell_->query(Now_, QueryToken, {Access::Allowed, 1, "", "team", Id});
    perform();
    return Asked_;
  }

  /// Advice that takes its time and allows each \p AllowedEvery'th worker only.
  void makeAdviceScarce(const AdviceCost &Cost, std::size_t AllowedEvery) {
    auto State = std::make_shared<DesiredState>(*State_);
    State->Queues_.back().Advice_ = Cost;
    State_ = State;
    AdviceCost_ = Cost;
    AllowedEvery_ = AllowedEvery;
  }
  /// When calls for advice were sent and answered.
  const std::vector<std::pair<Millis, Millis>> &adviceCalls() const {
    return AdviceCalls_;
  }

  /// An operator asks for upkeep of the first \p Count machines.
  void requestWave(std::size_t Count, std::uint32_t MaxDown, Millis Duration) {
    Wave Made{Waves_.size() + 1, {}, Duration, MaxDown};
    for (std::size_t At = 0; At < Count; ++At)
      Made.Machines_.push_back("m" + std::to_string(At));
    Waves_.push_back(Made);
    if (Cell_)
      Cell_->setWaves(Now_, Waves_);
  }
  const FakeMachine &machine(std::size_t At) const { return Machines_[At]; }

  void run(Millis Span) {
    for (const Millis End = Now_ + Span; Now_ < End;) {
      Now_ += Step;
      noteCuts();
      gatherGangs();
      for (FakeWorker &Each : Workers_)
        advance(Each);
      deliver();
      if (!Cell_)
        continue;
      if (Now_ % 200 == 0)
        listWorkers();
      Cell_->setStoreReachable(!StoreDown_);
      Cell_->tick(Now_, wall());
      perform();
    }
  }

  FakeWorker &worker(std::size_t At) { return Workers_[At]; }
  std::size_t workerCount() const { return Workers_.size(); }
  Millis now() const { return Now_; }
  bool hasOwner() const { return Cell_ != nullptr; }
  Cell &cell() { return *Cell_; }
  const std::vector<std::string> &violations() const { return Violations_; }
  std::size_t starts() const { return Starts_; }
  /// Members of gangs that ended because others did not come.
  std::size_t aloneEnds() const { return AloneEnds_; }
  void setStoreDown(bool Down) { StoreDown_ = Down; }
  void setListed(const std::string &Id, bool Listed) {
    if (Listed)
      Unlisted_.erase(Id);
    else
      Unlisted_.insert(Id);
  }
  std::set<std::string> Accepted_;
  std::set<std::string> Refused_;
  std::map<std::string, Millis> CancelledAt_;
  Faults Faults_;
  /// Run time and failure of a task; the seed decides where it is empty.
  std::function<std::pair<Millis, bool>(const std::string &Task)> Behaviour_;
  /// Tail that a service's task reports.
  std::function<double(const std::string &Task)> Tail_;
  std::map<std::uint64_t, bool> WaveStates_; ///< Told; true for complete.
  std::map<std::string, int> Paces_;         ///< Last order, by task.
  /// Rows in the store, by table and key.
  std::map<std::pair<std::string, std::string>, std::string> Rows_;

private:
  static constexpr Millis Step = 5;
  static constexpr Token QueryToken = ~Token{0};
  static constexpr Millis TicketTime = 1500;
  static constexpr Millis LongestStop = 200;
  /// An owner that hears of all workers calls off a gang within this time.
  static constexpr Millis CallOff = 2000;

  Millis wall() const { return 1000000 + Now_; }
  bool chance(double Share) {
    return std::uniform_real_distribution<>(0, 1)(Random_) < Share;
  }
  Millis between(Millis Low, Millis High) {
    return std::uniform_int_distribution<Millis>(Low, High)(Random_);
  }
  void fail(const std::string &What) {
    Violations_.push_back(std::to_string(Now_) + " ms: " + What);
  }
  void later(Millis Delay, std::function<void()> Work) {
    Events_.emplace(Now_ + Delay, std::move(Work));
  }
  void deliver() {
    while (!Events_.empty() && Events_.begin()->first <= Now_) {
      const std::function<void()> Work = std::move(Events_.begin()->second);
      Events_.erase(Events_.begin());
      Work();
    }
    for (std::size_t At = 0; At < Holds_.size();) {
      FakeWorker *On = find(Holds_[At].first.Worker_.Id_);
      if (Now_ < Holds_[At].second && On->Ends_.empty()) {
        ++At;
        continue;
      }
      const SendRenewal Look = Holds_[At].first;
      Holds_.erase(Holds_.begin() + static_cast<std::ptrdiff_t>(At));
      answerHold(*On, Look);
    }
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
    for (const auto &[Task, Kind] : Each.advance(Now_, Step))
      endRun(Each, Task, Kind);
  }

  void noteCuts() {
    for (const FakeWorker &Each : Workers_)
      if (Each.Cut_)
        LastCut_ = Now_;
  }

  /// The members of a gang end together.
  void endRun(FakeWorker &On, const std::string &Task, EndKind Kind) {
    const auto It = On.Runs_.find(Task);
    if (It == On.Runs_.end())
      return;
    const FakeWorker::Activity Over = It->second;
    On.end(Task, Kind);
    TaskHistory &Of = Tasks_[Task];
    --Of.RunningOn_;
    Of.Done_ = Of.Done_ || Kind == EndKind::Done;
    if (Kind == EndKind::Alone)
      noteAlone(Task, Over);
    if (!Over.Gang_)
      return;
    const EndKind Others = Kind == EndKind::Done ? Kind : EndKind::Broken;
    for (const auto &[Worker, Member] : membersOf(stepOf(Task), Over.Attempt_))
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

  /// Gangs work from the moment when all members of a run are present; where
  /// one is gone without an end, the others end too.
  void gatherGangs() {
    std::set<std::pair<std::string, std::uint64_t>> Gangs;
    for (const FakeWorker &Worker : Workers_)
      for (const auto &[Task, Each] : Worker.Runs_)
        if (Each.Gang_)
          Gangs.emplace(stepOf(Task), Each.Attempt_);
    for (const auto &[Step, Attempt] : Gangs) {
      const auto Members = membersOf(Step, Attempt);
      std::string Job;
      std::uint32_t StepAt = 0;
      const bool Whole =
          Members.size() == specOf(Members.front().second, Job, StepAt).Count_;
      for (const auto &[Worker, Task] : Members) {
        FakeWorker::Activity &Each = Worker->Runs_[Task];
        if (Whole)
          Each.Together_ = true;
      }
      const auto &[First, Task] = Members.front();
      if (!Whole && First->Runs_[Task].Together_)
        endRun(*First, Task, EndKind::Broken);
    }
  }

  /// A wait that an owner in touch with all workers could have cut short.
  void noteAlone(const std::string &Task, const FakeWorker::Activity &Over) {
    ++AloneEnds_;
    const Millis Since = Now_ - Over.Waited_;
    const bool Owned = Cell_ && Now_ - std::max(OwnerSince_, Since) >= CallOff;
    const bool Calm = Now_ - LastCut_ >= Bounds{}.GangTimeout_ + CallOff;
    if (Owned && Calm)
      fail("a member of a gang waited alone: " + Task);
  }

  const StepSpec &specOf(const std::string &Task, std::string &Job,
                         std::uint32_t &StepAt) {
    Job = Task.substr(0, Task.find('.'));
    const std::size_t Second = Task.find('.', Job.size() + 1);
    StepAt = static_cast<std::uint32_t>(std::stoul(Task.substr(Second + 1)));
    return Specs_.at(Job).Steps_[StepAt];
  }

  // --- Orders at a worker.
  OrderOutcome carryOut(const SendStart &Order) {
    FakeWorker &On = *find(Order.Worker_.Id_);
    OrderOutcome Out{Order.Token_, OrderResult::Rejected, On.clock(Now_),
                     On.Incarnation_};
    if (Order.Worker_.Fence_ < On.Fence_) {
      Out.Result_ = OrderResult::Fenced;
      return Out;
    }
    On.Fence_ = Order.Worker_.Fence_;
    const auto Known = On.Runs_.find(Order.Task_);
    if (Known != On.Runs_.end() && Known->second.Attempt_ == Order.Attempt_) {
      Out.Result_ = OrderResult::Done;
      return Out;
    }
    if (Queues_[Order.Task_.substr(0, Order.Task_.find('.'))] == "advised") {
      const auto Ticket = TicketEnd_.find(Order.Ticket_);
      const std::string Step = Order.Task_.substr(0, Order.Task_.rfind('.'));
      if (Order.Ticket_ != On.Id_ + "/" + Step || Ticket == TicketEnd_.end() ||
          Ticket->second < Now_) {
        Out.Result_ = OrderResult::BadTicket;
        return Out;
      }
    }
    if (On.Rejects_)
      return Out;
    const bool Old = On.Spent_.count(Order.Task_) != 0 &&
                     Order.Attempt_ <= On.Spent_[Order.Task_];
    if (Old || Known != On.Runs_.end() || On.clock(Now_) > Order.Deadline_)
      return Out;
    On.Deadline_ = std::max(On.Deadline_,
                            std::min(Order.Deadline_, On.clock(Now_) + 6000));
    checkStart(On, Order);
    std::string Job;
    std::uint32_t StepAt = 0;
    const StepSpec &Spec = specOf(Order.Task_, Job, StepAt);
    FakeWorker::Activity Made{Order.Attempt_, Spec.Need_, between(50, 900),
                              chance(Faults_.FailedRun_), std::nullopt};
    Made.Gang_ = Spec.Gang_;
    if (Behaviour_)
      std::tie(Made.Left_, Made.Fails_) = Behaviour_(Order.Task_);
    On.Runs_[Order.Task_] = Made;
    ++Tasks_[Order.Task_].RunningOn_;
    ++Starts_;
    Out.Result_ = OrderResult::Done;
    return Out;
  }

  void checkStart(const FakeWorker &On, const SendStart &Order) {
    TaskHistory &Of = Tasks_[Order.Task_];
    std::string Job;
    std::uint32_t StepAt = 0;
    const StepSpec &Spec = specOf(Order.Task_, Job, StepAt);
    if (Of.RunningOn_ > 0)
      fail("two runs at once: " + Order.Task_);
    if (Of.Done_ && NotedDone_.count(Order.Task_) != 0)
      fail("started after its end was noted: " + Order.Task_);
    if (Of.FailedNoted_.size() >= 2)
      fail("started beyond its attempts: " + Order.Task_);
    const Resources Sum = On.used() + Spec.Need_;
    if (Sum.CpuMilli_ > On.Capacity_.CpuMilli_ ||
        Sum.MemoryMib_ > On.Capacity_.MemoryMib_)
      fail("worker over its capacity: " + On.Id_);
    std::int64_t TeamCpu = Spec.Need_.CpuMilli_;
    for (const FakeWorker &Each : Workers_)
      TeamCpu += Each.used().CpuMilli_;
    if (TeamCpu > 9900 + 4000)
      fail("team above its limit");
    for (std::uint32_t Earlier : Spec.After_)
      for (std::uint32_t At = 0; At < Specs_[Job].Steps_[Earlier].Count_; ++At)
        if (!Tasks_[Job + ".0." + std::to_string(Earlier) + "." +
                    std::to_string(At)]
                 .Done_)
          fail("started before an earlier step was done: " + Order.Task_);
    if (Accepted_.count(Job) == 0 && Rows_.count({JobTable, Job}) == 0)
      fail("started a job that is not stored: " + Job);
    const auto Cancelled = CancelledAt_.find(Job);
    if (Cancelled != CancelledAt_.end() && Now_ > Cancelled->second + 9000)
      fail("started long after its cancel: " + Order.Task_);
  }

  /// A stop of a service's task leaves enough of its others at work.
  void checkStop(const std::string &Task) {
    std::string Job;
    std::uint32_t StepAt = 0;
    const StepSpec &Spec = specOf(Task, Job, StepAt);
    if (Spec.MaxUnavailable_ == 0 || CancelledAt_.count(Job) != 0)
      return;
    std::uint32_t Away = 0;
    const std::string Step = Task.substr(0, Task.rfind('.') + 1);
    for (std::uint32_t At = 0; At < Spec.Count_; ++At) {
      const std::string Other = Step + std::to_string(At);
      Away += Other != Task && Tasks_[Other].RunningOn_ == 0 ? 1 : 0;
    }
    if (Away >= Spec.MaxUnavailable_)
      fail("too many tasks of a service taken away: " + Task);
  }

  OrderOutcome carryOut(const SendStop &Order) {
    FakeWorker &On = *find(Order.Worker_.Id_);
    OrderOutcome Out{Order.Token_, OrderResult::Fenced, On.clock(Now_),
                     On.Incarnation_};
    if (Order.Worker_.Fence_ < On.Fence_)
      return Out;
    On.Fence_ = Order.Worker_.Fence_;
    Out.Result_ = OrderResult::Done;
    const auto Known = On.Runs_.find(Order.Task_);
    if (Known != On.Runs_.end())
      checkStop(Order.Task_);
    if (Known != On.Runs_.end() && Known->second.Attempt_ <= Order.Attempt_ &&
        !Known->second.StopLeft_)
      Known->second.StopLeft_ = between(0, LongestStop);
    On.Spent_[Order.Task_] = std::max(On.Spent_[Order.Task_], Order.Attempt_);
    return Out;
  }

  template <typename Order> void sendOrder(const Order &Each) {
    auto Answer = [this, Life = Life_](const OrderOutcome &Outcome) {
      if (Cell_ && Life == Life_) {
        Cell_->handle(Now_, Outcome);
        perform();
      }
    };
    const OrderOutcome None{Each.Token_, OrderResult::NoAnswer, 0, 0};
    if (find(Each.Worker_.Id_)->Cut_) {
      later(350, [Answer, None] { Answer(None); });
    } else if (chance(Faults_.LateOrder_)) {
      later(350, [Answer, None] { Answer(None); });
      later(between(2000, 8000), [this, Each] { carryOut(Each); });
    } else if (chance(Faults_.LostAnswer_)) {
      later(between(1, 3), [this, Each] { carryOut(Each); });
      later(350, [Answer, None] { Answer(None); });
    } else {
      later(between(1, 3), [this, Each, Answer] {
        const OrderOutcome Outcome = carryOut(Each);
        later(between(1, 2), [Answer, Outcome] { Answer(Outcome); });
      });
    }
  }

  void answerHold(FakeWorker &On, const SendRenewal &Look) {
    RenewalOutcome Out{
        Look.Worker_.Id_, Look.Worker_.Fence_, OrderResult::Done, {}};
    if (On.Cut_) {
      Out.Result_ = OrderResult::NoAnswer;
    } else if (Look.Worker_.Fence_ < On.Fence_) {
      Out.Result_ = OrderResult::Fenced;
    } else {
      On.Fence_ = Look.Worker_.Fence_;
      if (Look.Deadline_ > 0)
        On.Deadline_ = std::max(
            On.Deadline_, std::min(Look.Deadline_, On.clock(Now_) + 6000));
      while (!On.Ends_.empty() &&
             On.Ends_.front().Number_ <= Look.AcknowledgedEnd_) {
        const EndEntry &Noted = On.Ends_.front();
        if (Noted.Kind_ == EndKind::Done)
          NotedDone_.insert(Noted.Task_);
        if (Noted.Kind_ == EndKind::Failed)
          Tasks_[Noted.Task_].FailedNoted_.insert(Noted.Attempt_);
        On.Ends_.pop_front();
      }
      Out.List_.ClockMs_ = On.clock(Now_);
      Out.List_.Incarnation_ = On.Incarnation_;
      for (const auto &[Name, Each] : On.Runs_)
        Out.List_.Running_.push_back({Name, Each.Attempt_, "",
                                      Each.Gang_ && !Each.Together_ ? 0 : 100,
                                      Tail_ ? Tail_(Name) : 0});
      Out.List_.Ended_.assign(On.Ends_.begin(), On.Ends_.end());
    }
    later(between(1, 3), [this, Out, Life = Life_] {
      if (Cell_ && Life == Life_) {
        Cell_->handle(Now_, Out);
        perform();
      }
    });
  }

  // --- Effects.
  void perform() {
    for (const Effect &Each : Cell_->takeEffects())
      std::visit([this](const auto &Kind) { carry(Kind); }, Each);
  }
  void carry(const Reply &Each) {
    if (Each.Token_ == QueryToken) {
      if (Each.Answer_ == Answer::State)
        Asked_ = Each.State_;
      return;
    }
    if (Each.Answer_ == Answer::Accepted)
      Accepted_.insert(Callers_[Each.Token_]);
    if (Each.Answer_ == Answer::Busy)
      Refused_.insert(Callers_[Each.Token_]);
    if (Each.Answer_ == Answer::Cancelled)
      CancelledAt_.emplace(Callers_[Each.Token_], Now_);
  }
  void carry(const SendStart &Each) { sendOrder(Each); }
  void carry(const SendStop &Each) { sendOrder(Each); }
  void carry(const SendPace &Each) {
    Paces_[Each.Task_] = Each.Percent_;
    later(2, [this, Each, Life = Life_] {
      if (Cell_ && Life == Life_)
        Cell_->handle(Now_,
                      OrderOutcome{Each.Token_, OrderResult::Done,
                                   find(Each.Worker_.Id_)->clock(Now_), 0});
    });
  }
  void carry(const SendRenewal &Each) {
    later(1, [this, Each, Life = Life_] {
      if (Life == Life_)
        Holds_.emplace_back(Each, Now_ + (find(Each.Worker_.Id_)->Cut_
                                              ? Each.Wait_ + 500
                                              : Each.Wait_));
    });
  }
  /// All workers but one may run a step, unless advice is scarce.
  bool isAllowed(const std::string &Worker, const std::string &Step) const {
    if (AllowedEvery_ > 0)
      return std::stoul(Worker.substr(1)) % AllowedEvery_ == 0;
    const std::size_t Refused = std::hash<std::string>()(Step);
    return Worker != "w" + std::to_string(Refused % Workers_.size());
  }
  void carry(const AskAdvice &Each) {
    if (chance(Faults_.LostAdvice_))
      return;
    AdviceOutcome Out{Each.Token_, true, {}, TicketTime};
    for (const std::string &Id : Each.Workers_)
      if (isAllowed(Id, Each.Step_)) {
        Out.Tickets_.emplace_back(Id, Id + "/" + Each.Step_);
        TicketEnd_[Id + "/" + Each.Step_] = Now_ + TicketTime + 20;
      }
    const auto Took = static_cast<Millis>(
        10 + AdviceCost_.Base_ +
        AdviceCost_.PerWorker_ * static_cast<double>(Each.Workers_.size()));
    AdviceCalls_.emplace_back(Now_, Now_ + Took);
    later(Took, [this, Out, Life = Life_] {
      if (Cell_ && Life == Life_)
        Cell_->handle(Now_, Out);
    });
  }
  void carry(const Commit &Each) {
    later(8, [this, Each, Life = Life_] { commit(Each, Life); });
  }
  void commit(const Commit &Each, int Life) {
    if (Life != Life_)
      return; // The next owner's row is in the way.
    if (StoreDown_) {
      later(50, [this, Each, Life] { commit(Each, Life); });
      return;
    }
    for (const RowChange &Row : Each.Changes_) {
      if (Row.Value_)
        Rows_[{Row.Table_, Row.Key_}] = *Row.Value_;
      else
        Rows_.erase({Row.Table_, Row.Key_});
    }
    if (Cell_) {
      Cell_->committed(Now_, wall());
      perform();
    }
  }
  void carry(const ListMachines &) {
    std::vector<MachineEntry> Out;
    for (std::size_t At = 0; At < Machines_.size(); ++At)
      Out.push_back(
          {"m" + std::to_string(At), Workers_[At].Id_, Machines_[At].State_});
    later(3, [this, Out, Life = Life_] {
      if (Cell_ && Life == Life_)
        Cell_->setMachines(Now_, Out);
    });
  }
  void carry(const OrderUpkeep &Each) {
    const bool Lost = chance(Faults_.LostAnswer_);
    later(3, [this, Each, Lost, Life = Life_] {
      const UpkeepResult Result = beginUpkeep(Each);
      if (Cell_ && Life == Life_)
        Cell_->handle(Now_,
                      UpkeepOutcome{Each.Machine_, Each.Wave_,
                                    Lost ? UpkeepResult::NoAnswer : Result});
    });
  }
  UpkeepResult beginUpkeep(const OrderUpkeep &Each) {
    const std::size_t At = std::stoul(Each.Machine_.substr(1));
    FakeMachine &Of = Machines_[At];
    ++Of.Orders_;
    if (Of.Upkeeps_ > 0)
      return UpkeepResult::Done;
    std::uint32_t Down = 0;
    for (const FakeMachine &Other : Machines_)
      Down += Other.State_ == MachineState::Upkeep ? 1 : 0;
    if (Down >= Waves_[Each.Wave_ - 1].MaxDown_)
      fail("too many machines down for upkeep");
    Of.State_ = MachineState::Upkeep;
    ++Of.Upkeeps_;
    FakeWorker &On = Workers_[At];
    for (const auto &[Name, Run] : On.Runs_)
      --Tasks_[Name].RunningOn_;
    On.Runs_.clear();
    On.Cut_ = true;
    Unlisted_.insert(On.Id_);
    later(2000, [this, At] {
      FakeWorker &Back = Workers_[At];
      Unlisted_.erase(Back.Id_);
      Back.restart(Now_);
      Back.Cut_ = false;
      Machines_[At].State_ = MachineState::Up;
    });
    return UpkeepResult::Done;
  }
  void carry(const ReportWave &Each) {
    for (const std::string &Machine : Waves_[Each.Wave_ - 1].Machines_)
      if (Each.Complete_ &&
          Machines_[std::stoul(Machine.substr(1))].Upkeeps_ == 0)
        fail("wave told as complete before " + Machine);
    WaveStates_[Each.Wave_] = Each.Complete_;
  }
  void carry(const DurationSample &) {}
  void carry(const Decision &) {}

  std::mt19937_64 Random_;
  Millis Now_ = 1000;
  Epoch Epoch_ = 0;
  int Life_ = 0;
  bool StoreDown_ = false;
  std::set<std::string> Unlisted_;
  std::unique_ptr<Cell> Cell_;
  std::shared_ptr<const DesiredState> State_;
  std::vector<FakeWorker> Workers_;
  std::vector<FakeMachine> Machines_;
  std::vector<Wave> Waves_;
  std::multimap<Millis, std::function<void()>> Events_;
  std::vector<std::pair<SendRenewal, Millis>> Holds_;
  std::map<std::string, JobSpec> Specs_;
  std::map<std::string, std::string> Queues_;
  std::map<Token, std::string> Callers_;
  Token NextCaller_ = 1;
  std::optional<JobState> Asked_;
  std::map<std::string, TaskHistory> Tasks_;
  std::set<std::string> NotedDone_;
  std::map<std::string, Millis> TicketEnd_;
  AdviceCost AdviceCost_; ///< Zero where advice comes at once.
  std::size_t AllowedEvery_ = 0;
  std::vector<std::pair<Millis, Millis>> AdviceCalls_;
  std::vector<std::string> Violations_;
  std::size_t Starts_ = 0;
  std::size_t AloneEnds_ = 0;
  Millis OwnerSince_ = 0;
  Millis LastCut_ = -1000000; ///< When a worker was last cut off.
};

/// A job of one step.
inline JobSpec simpleJob(std::uint32_t Count, std::int64_t Cpu) {
  StepSpec Step;
  Step.Count_ = Count;
  Step.Need_ = {Cpu, 100, 0, 0, 0};
  Step.Estimate_ = 400;
  return {"payload", {Step}, 0, 0, 0};
}

} // namespace oleandergauge::cell::test

#endif // OLEANDERGAUGE_TEST_CELL_CELL_WORLD_H
