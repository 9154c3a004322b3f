#include "oleandergauge/scheduler.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace oleandergauge {
namespace {

using std::chrono::seconds;

const TimePoint Start{seconds(1000)};

WorkerInfo worker(int Index, Resources Capacity = {64000, 131072, 0, 8, 64}) {
  return {WorkerId("w" + std::to_string(Index)),
          "",
          Region("r"),
          FailureDomain("d" + std::to_string(Index % 3)),
          Rack("k" + std::to_string(Index / 2)),
          Capacity};
}

WorkItem item(const std::string &Job, const std::string &Team, WorkClass Class,
              Resources Need, std::uint32_t Count = 1) {
  WorkItem Item;
  Item.First_ = {JobId(Job), 0};
  Item.Count_ = Count;
  Item.Team_ = TeamId(Team);
  Item.Class_ = Class;
  Item.Need_ = Need;
  return Item;
}

struct SchedulerTest : testing::Test {
  void addWorkers(int Count) {
    for (int I = 0; I < Count; ++I)
      S_.upsertWorker(worker(I));
  }
  std::set<std::string> placedJobs(TimePoint Now = Start,
                                   std::size_t Max = 100) {
    std::set<std::string> Jobs;
    for (const PlacedTask &P : S_.decide(Now, Max))
      Jobs.insert(P.Task_.Job_.str());
    return Jobs;
  }
  using Names = std::set<std::string>;

  Scheduler S_;
  const Resources Small_{1000, 1024, 0, 1, 0};
  const Resources Call_{100, 64, 0, 1, 1};
  const Resources Whole_{60000, 1024, 0, 7, 0};
};

// Guards against direct calls that wait until long work ends because it uses
// every slot of the workers.
TEST_F(SchedulerTest, ReservesASlotForDirectCalls) {
  addWorkers(1);
  S_.setTeam(TeamId("a"), 1.0, 100);
  for (int I = 0; I < 10; ++I)
    S_.enqueue(item("b" + std::to_string(I), "a", WorkClass::Batch, Small_));
  EXPECT_EQ(S_.decide(Start, 100).size(), 7U);
  S_.enqueue(item("call", "a", WorkClass::Direct, Call_));
  EXPECT_EQ(placedJobs(), Names{"call"});
}

// Guards against urgent work that waits behind other classes.
TEST_F(SchedulerTest, ServesBandsInOrder) {
  addWorkers(1);
  S_.setTeam(TeamId("a"), 1.0, 100);
  S_.enqueue(item("batch", "a", WorkClass::Batch, Small_));
  S_.enqueue(item("service", "a", WorkClass::Service, Small_));
  WorkItem Urgent = item("urgent", "a", WorkClass::Batch, Small_);
  Urgent.Urgent_ = true;
  S_.enqueue(Urgent);
  S_.enqueue(item("direct", "a", WorkClass::Direct, Call_));
  for (const char *Next : {"direct", "urgent", "service", "batch"})
    EXPECT_EQ(placedJobs(Start, 1), Names{Next});
}

// Guards against many submissions of one team delaying the work of another, and
// against weights being ignored.
TEST_F(SchedulerTest, DividesCapacityByWeight) {
  addWorkers(3);
  S_.setTeam(TeamId("flood"), 1.0, 1000);
  S_.setTeam(TeamId("calm"), 2.0, 1000);
  for (int I = 0; I < 500; ++I)
    S_.enqueue(
        item("f" + std::to_string(I), "flood", WorkClass::Batch, Small_));
  for (int I = 0; I < 50; ++I)
    S_.enqueue(item("c" + std::to_string(I), "calm", WorkClass::Batch, Small_));
  int Calm = 0;
  for (const PlacedTask &P : S_.decide(Start, 100))
    Calm += P.Task_.Job_.str().front() == 'c' ? 1 : 0;
  EXPECT_EQ(Calm, 14); // Two thirds of the 21 slots that are not reserved.
}

// Guards against items that fit on no worker blocking other work of their own
// or of other teams, even if the team has many shapes that do not fit.
TEST_F(SchedulerTest, ItemsThatDoNotFitBlockNoOtherWork) {
  addWorkers(2);
  S_.setTeam(TeamId("a"), 1.0, 100);
  S_.setTeam(TeamId("b"), 1.0, 100);
  for (int I = 0; I < 300; ++I)
    S_.enqueue(item("big" + std::to_string(I), "a", WorkClass::Batch,
                    {65000 + I, 1, 0, 1, 0}));
  S_.enqueue(item("a", "a", WorkClass::Batch, Small_));
  S_.enqueue(item("b", "b", WorkClass::Batch, Small_));
  Names Placed;
  for (int Round = 0; Round < 20; ++Round)
    Placed.merge(placedJobs());
  EXPECT_EQ(Placed, (Names{"a", "b"}));
}

// Guards against small items starving a large one, and against reserved
// capacity being withheld from work that ends before the large item can start.
TEST_F(SchedulerTest, BackfillsOnlyWorkThatEndsBeforeTheReservation) {
  addWorkers(1);
  S_.setTeam(TeamId("a"), 1.0, 100);
  WorkItem Runs = item("runs", "a", WorkClass::Batch, Small_);
  Runs.ExpectedRun_ = seconds(100);
  S_.enqueue(Runs);
  ASSERT_EQ(placedJobs(), Names{"runs"});
  S_.enqueue(item("large", "a", WorkClass::Batch, {64000, 1024, 0, 1, 0}));
  ASSERT_EQ(placedJobs(), Names{});
  WorkItem Long = item("long", "a", WorkClass::Batch, Small_);
  Long.ExpectedRun_ = seconds(200);
  S_.enqueue(Long);
  WorkItem Short = item("short", "a", WorkClass::Batch, Small_);
  Short.ExpectedRun_ = seconds(50);
  S_.enqueue(Short);
  EXPECT_EQ(placedJobs(), Names{"short"});
  S_.release({JobId("runs"), 0});
  S_.release({JobId("short"), 0});
  EXPECT_EQ(placedJobs(Start + seconds(100)), Names{"large"});
}

// Guards against starting only some of the tasks of a gang.
TEST_F(SchedulerTest, PlacesGangsAsAWhole) {
  addWorkers(3);
  S_.setTeam(TeamId("a"), 1.0, 100);
  S_.enqueue(item("one", "a", WorkClass::Batch, Whole_));
  ASSERT_EQ(placedJobs(), Names{"one"});
  S_.enqueue(item("gang", "a", WorkClass::Gang, Whole_, 3));
  EXPECT_EQ(S_.decide(Start, 100).size(), 0U);
  S_.release({JobId("one"), 0});
  EXPECT_EQ(S_.decide(Start, 100).size(), 3U);
}

// Guards against replicas of a service sharing a failure domain or rack, whose
// failure would stop them together.
TEST_F(SchedulerTest, SpreadsReplicasOverDomainsThenRacks) {
  addWorkers(12);
  S_.setTeam(TeamId("a"), 1.0, 100);
  std::map<std::string, int> Domains;
  std::map<std::string, int> Racks;
  for (std::uint32_t I = 0; I < 6; ++I) {
    WorkItem Replica = item("web", "a", WorkClass::Service, Small_);
    Replica.First_.Index_ = I;
    S_.enqueue(Replica);
  }
  for (const PlacedTask &P : S_.decide(Start, 100)) {
    const int Index = std::stoi(P.Worker_.str().substr(1));
    ++Domains[worker(Index).Domain_.str()];
    ++Racks[worker(Index).Rack_.str()];
  }
  EXPECT_EQ(Domains,
            (std::map<std::string, int>{{"d0", 2}, {"d1", 2}, {"d2", 2}}));
  EXPECT_EQ(Racks.size(), 6U);
}

// Guards against urgent work waiting for running batch work to end, and against
// choosing the same victim twice.
TEST_F(SchedulerTest, PreemptsTheYoungestTaskOfTheTeamMostAboveItsShare) {
  addWorkers(1);
  S_.setTeam(TeamId("much"), 1.0, 100);
  S_.setTeam(TeamId("little"), 1.0, 100);
  S_.setTeam(TeamId("u"), 1.0, 100);
  for (int I = 0; I < 5; ++I) {
    S_.enqueue(item("m" + std::to_string(I), "much", WorkClass::Batch, Small_));
    S_.decide(Start + seconds(I), 1);
  }
  for (int I = 0; I < 2; ++I)
    S_.enqueue(
        item("l" + std::to_string(I), "little", WorkClass::Batch, Small_));
  S_.decide(Start + seconds(9), 9);
  WorkItem Urgent = item("urgent", "u", WorkClass::Batch, Small_);
  Urgent.Urgent_ = true;
  S_.enqueue(Urgent);
  ASSERT_TRUE(S_.decide(Start + seconds(10), 9).empty());
  const auto Victims = S_.choosePreemptions(Start + seconds(10));
  ASSERT_EQ(Victims.size(), 1U);
  EXPECT_EQ(Victims.front().Task_.Job_.str(), "m4");
  EXPECT_TRUE(S_.choosePreemptions(Start + seconds(11)).empty());
  S_.release(Victims.front().Task_);
  EXPECT_EQ(placedJobs(Start + seconds(12)), Names{"urgent"});
}

// Guards against urgent work that keeps waiting for a victim which was stopped
// and is already running again.
TEST_F(SchedulerTest, ChoosesNewVictimsWhenTheFreedCapacityIsTaken) {
  addWorkers(1);
  S_.setTeam(TeamId("a"), 1.0, 100);
  const WorkItem Batch = item("batch", "a", WorkClass::Batch, Whole_);
  S_.enqueue(Batch);
  ASSERT_EQ(placedJobs(), Names{"batch"});
  WorkItem Urgent = item("urgent", "a", WorkClass::Batch, Small_);
  Urgent.Urgent_ = true;
  S_.enqueue(Urgent);
  ASSERT_EQ(S_.choosePreemptions(Start).size(), 1U);
  S_.release(Batch.First_);
  S_.adopt(Batch, {Batch.First_, WorkerId("w0"), Whole_}, Start);
  EXPECT_EQ(S_.choosePreemptions(Start).size(), 1U);
}

// Guards against accepting work that waits without end because it can never
// fit.
TEST_F(SchedulerTest, RefusesWorkThatCanNeverFit) {
  addWorkers(2);
  const auto Reason = [this](const WorkItem &Item) {
    const Result<void> Checked = S_.checkFeasible(Item);
    return Checked ? std::nullopt
                   : std::optional<RefusalReason>(Checked.error().Reason_);
  };
  EXPECT_EQ(Reason(item("a", "a", WorkClass::Batch, {1, 1, 1, 1, 0})),
            RefusalReason::FitsNoWorker);
  // One of the eight slots is reserved for direct calls.
  EXPECT_EQ(Reason(item("a", "a", WorkClass::Batch, {1, 1, 0, 8, 0})),
            RefusalReason::FitsNoWorker);
  EXPECT_EQ(Reason(item("a", "a", WorkClass::Gang, Whole_, 3)),
            RefusalReason::GangExceedsPartition);
  EXPECT_EQ(Reason(item("a", "a", WorkClass::Gang, Whole_, 2)), std::nullopt);
}

// Guards against placing more than the probe on a quarantined worker.
TEST_F(SchedulerTest, WorkerOpenForAProbeReceivesOneTask) {
  addWorkers(1);
  S_.setTeam(TeamId("a"), 1.0, 100);
  S_.setOpen(WorkerId("w0"), false);
  for (int I = 0; I < 3; ++I)
    S_.enqueue(item("b" + std::to_string(I), "a", WorkClass::Batch, Small_));
  EXPECT_TRUE(placedJobs().empty());
  S_.openForProbe(WorkerId("w0"));
  EXPECT_EQ(placedJobs(), Names{"b0"});
  EXPECT_TRUE(placedJobs().empty());
}

// ------------------------------------- Comparison with a reference model

/// One generated call on the scheduler. A_ to C_ select its arguments.
struct Command {
  int Kind_ = 0;
  std::uint32_t A_ = 0;
  std::uint32_t B_ = 0;
  std::uint32_t C_ = 0;
};

void showValue(const Command &C, std::ostream &Out) {
  Out << "{" << C.Kind_ << "," << C.A_ << "," << C.B_ << "," << C.C_ << "}";
}

/// A reference model that computes the free capacity of each worker from its
/// tasks and applies the same commands to a scheduler.
class ReferenceModel {
public:
  static constexpr int KindCount = 12;

  ReferenceModel() {
    for (int I = 0; I < WorkerCount; ++I)
      addWorker(I);
    for (int I = 0; I < TeamCount; ++I)
      setHeadroom(I, 6);
  }

  void run(const Command &C) {
    Now_ += seconds(C.A_ % 3);
    apply(C);
    for (const auto &[Id, Unused] : Capacity_)
      RC_ASSERT(S_.freeOf(Id) == freeOf(Id));
  }

  void releaseAll() {
    while (!Running_.empty())
      release(0);
    for (const auto &[Id, Capacity] : Capacity_) {
      S_.setForeignUsage(Id, {});
      RC_ASSERT(S_.freeOf(Id) == Capacity);
    }
    for (int I = 0; I < TeamCount; ++I)
      RC_ASSERT(S_.dominantShareOf(team(I)) == 0.0);
    for (const WorkClass Class : {WorkClass::Direct, WorkClass::Batch,
                                  WorkClass::Gang, WorkClass::Service})
      RC_ASSERT(S_.countsOf(Class).Running_ == 0U);
  }

private:
  static constexpr int WorkerCount = 5;
  static constexpr int TeamCount = 3;

  struct Task {
    WorkItem Item_;
    WorkerId Worker_;
    Resources Reserved_;
    Resources Charged_;
  };

  /// Returns the element of a non-empty map that the number selects.
  template <typename Map> static auto pick(Map &From, std::uint32_t Number) {
    const auto Steps = static_cast<std::ptrdiff_t>(Number % From.size());
    return std::next(From.begin(), Steps);
  }

  static WorkerId workerId(std::uint32_t Number) {
    return worker(static_cast<int>(Number % WorkerCount)).Id_;
  }

  static TeamId team(std::uint32_t Index) {
    return TeamId("t" + std::to_string(Index % TeamCount));
  }

  void apply(const Command &C) {
    switch (C.Kind_) {
    case 0:
    case 1:
    case 2:
      return enqueue(C);
    case 3:
    case 4:
      return decide(C.A_ % 20);
    case 5:
      return release(C.A_);
    case 6:
      return setOpen(C.A_, C.B_ % 3 != 0);
    case 7:
      return reportUsage(C);
    case 8:
      return cancel(C.A_);
    case 9:
      return setHeadroom(C.A_, C.B_ % 8);
    case 10:
      return C.B_ % 2 == 0 ? removeWorker(C.A_)
                           : addWorker(static_cast<int>(C.A_ % WorkerCount));
    default:
      return C.B_ % 2 == 0 ? adopt(C) : preempt();
    }
  }

  WorkItem randomItem(const Command &C) {
    const Resources Needs[] = {
        {1000, 1000, 0, 1, 1}, {3000, 500, 0, 2, 0}, {500, 6000, 1, 0, 3}};
    const WorkClass Class = static_cast<WorkClass>(C.B_ % 4);
    WorkItem Item =
        item("j" + std::to_string(NextJob_++), "", Class, Needs[C.C_ % 3],
             Class == WorkClass::Gang ? 1 + C.A_ % 5 : 1);
    Item.Team_ = team(C.A_);
    Item.Urgent_ = C.C_ % 5 == 0;
    Item.ExpectedRun_ = seconds(C.C_ % 7);
    return Item;
  }

  void enqueue(const Command &C) {
    const WorkItem Item = randomItem(C);
    Waiting_[Item.First_] = Item;
    S_.enqueue(Item);
  }

  void decide(std::size_t Max) {
    const std::size_t Before = Running_.size();
    const auto Placed = S_.decide(Now_, Max);
    for (std::size_t I = 0; I < Placed.size();) {
      const auto Found = Waiting_.find(Placed[I].Task_);
      RC_ASSERT(Found != Waiting_.end());
      const WorkItem Item = Found->second;
      Waiting_.erase(Found);
      RC_ASSERT(I < Max);
      // The tasks of a gang are returned one after another.
      for (std::uint32_t Task = 0; Task < Item.Count_; ++Task, ++I) {
        RC_ASSERT(I < Placed.size());
        RC_ASSERT(Placed[I].Task_ == (TaskId{Item.First_.Job_, Task}));
        place(Item, Placed[I]);
      }
    }
    RC_ASSERT(Running_.size() == Before + Placed.size());
  }

  void place(const WorkItem &Item, const PlacedTask &P) {
    RC_ASSERT(Open_.contains(P.Worker_));
    RC_ASSERT(Item.Need_.fitsIn(freeOf(P.Worker_)));
    if (Item.Class_ != WorkClass::Direct && Item.Need_.Slots_ > 0)
      RC_ASSERT(nonDirectSlots(P.Worker_) + Item.Need_.Slots_ <=
                Capacity_[P.Worker_].Slots_ - 1);
    RC_ASSERT(Headroom_[Item.Team_] > 0U);
    --Headroom_[Item.Team_];
    RC_ASSERT(!Running_.contains(P.Task_));
    Running_[P.Task_] = {Item, P.Worker_, P.Reserved_, P.Reserved_};
  }

  void release(std::uint32_t Index) {
    if (Running_.empty())
      return;
    const auto Found = pick(Running_, Index);
    const TaskId Id = Found->first;
    const WorkerId Host = Found->second.Worker_;
    Running_.erase(Found);
    S_.release(Id);
    S_.release(Id);
    eraseWorkerIfIdle(Host);
  }

  void setOpen(std::uint32_t Index, bool Open) {
    const WorkerId Id = workerId(Index);
    S_.setOpen(Id, Open);
    if (!Open || Removed_.contains(Id) || !Capacity_.contains(Id))
      Open_.erase(Id);
    else
      Open_.insert(Id);
  }

  void reportUsage(const Command &C) {
    const Resources Usage{static_cast<std::int64_t>(C.B_ % 5000),
                          static_cast<std::int64_t>(C.C_ % 5000), 0, 0, 0};
    if (C.A_ % 2 == 0) {
      const WorkerId Id = workerId(C.A_ / 2);
      S_.setForeignUsage(Id, Usage);
      if (Capacity_.contains(Id))
        Foreign_[Id] = Usage;
    } else if (!Running_.empty()) {
      auto &[Id, T] = *pick(Running_, C.A_);
      S_.noteUsage(Id, Usage);
      T.Charged_ = componentMax(T.Reserved_, Usage);
    }
  }

  void cancel(std::uint32_t Index) {
    if (Waiting_.empty())
      return;
    const auto Found = pick(Waiting_, Index);
    const TaskId First = Found->first;
    Waiting_.erase(Found);
    RC_ASSERT(S_.dequeue(First));
    RC_ASSERT(!S_.dequeue(First));
  }

  void setHeadroom(std::uint32_t Index, std::uint32_t Headroom) {
    Headroom_[team(Index)] = Headroom;
    S_.setTeam(team(Index), 1.0 + Index % 2, Headroom);
  }

  void addWorker(int Index) {
    const WorkerInfo Info = worker(Index, {8000, 16000, Index % 2, 8, 6});
    S_.upsertWorker(Info);
    if (!Capacity_.contains(Info.Id_) || Removed_.contains(Info.Id_))
      Open_.insert(Info.Id_);
    Removed_.erase(Info.Id_);
    Capacity_[Info.Id_] = Info.Capacity_;
  }

  void removeWorker(std::uint32_t Index) {
    const WorkerId Id = workerId(Index);
    S_.removeWorker(Id);
    Open_.erase(Id);
    if (Capacity_.contains(Id))
      Removed_.insert(Id);
    eraseWorkerIfIdle(Id);
  }

  void eraseWorkerIfIdle(const WorkerId &Id) {
    if (!Removed_.contains(Id))
      return;
    for (const auto &[Unused, T] : Running_)
      if (T.Worker_ == Id)
        return;
    Removed_.erase(Id);
    Capacity_.erase(Id);
    Foreign_.erase(Id);
  }

  void adopt(const Command &C) {
    const WorkerId Id = workerId(C.A_);
    if (!Capacity_.contains(Id))
      return;
    const WorkItem Item = randomItem(C);
    const PlacedTask Placed{Item.First_, Id, Item.Need_};
    S_.adopt(Item, Placed, Now_);
    S_.enqueue(Item);
    Running_[Item.First_] = {Item, Id, Item.Need_, Item.Need_};
  }

  void preempt() {
    for (const Preemption &P : S_.choosePreemptions(Now_)) {
      const auto Found = Running_.find(P.Task_);
      RC_ASSERT(Found != Running_.end());
      RC_ASSERT(Found->second.Worker_ == P.Worker_);
      RC_ASSERT(Found->second.Item_.Class_ == WorkClass::Batch);
      RC_ASSERT(!Found->second.Item_.Urgent_);
      RC_ASSERT(Victims_.insert(P.Task_).second);
    }
  }

  Resources freeOf(const WorkerId &Id) const {
    Resources Free = Capacity_.at(Id);
    if (Foreign_.contains(Id))
      Free = Free - Foreign_.at(Id);
    for (const auto &[Unused, T] : Running_)
      if (T.Worker_ == Id)
        Free = Free - T.Charged_;
    return Free;
  }

  std::int32_t nonDirectSlots(const WorkerId &Id) const {
    std::int32_t Slots = 0;
    for (const auto &[Unused, T] : Running_)
      if (T.Worker_ == Id && T.Item_.Class_ != WorkClass::Direct)
        Slots += T.Charged_.Slots_;
    return Slots;
  }

  Scheduler S_;
  TimePoint Now_ = Start;
  int NextJob_ = 0;
  std::map<WorkerId, Resources> Capacity_;
  std::map<WorkerId, Resources> Foreign_;
  std::set<WorkerId> Open_;
  std::set<WorkerId> Removed_;
  std::map<TeamId, std::uint32_t> Headroom_;
  std::map<TaskId, WorkItem> Waiting_;
  std::map<TaskId, Task> Running_;
  std::set<TaskId> Victims_;
};

rc::Gen<Command> anyCommand() {
  return rc::gen::build<Command>(
      rc::gen::set(&Command::Kind_,
                   rc::gen::inRange(0, ReferenceModel::KindCount)),
      rc::gen::set(&Command::A_, rc::gen::inRange(0U, 1000U)),
      rc::gen::set(&Command::B_, rc::gen::inRange(0U, 10000U)),
      rc::gen::set(&Command::C_, rc::gen::inRange(0U, 10000U)));
}

// Guards against placing work beyond a worker's capacity or a team's headroom
// or on a closed worker, against placing only a part of a gang or a task twice,
// and against capacity that is lost or gained between placement and release.
RC_GTEST_PROP(SchedulerProperty, AgreesWithTheReferenceModel, ()) {
  const auto Length = *rc::gen::inRange<std::size_t>(0, 200);
  const auto Commands =
      *rc::gen::container<std::vector<Command>>(Length, anyCommand());
  ReferenceModel Model;
  for (const Command &C : Commands)
    Model.run(C);
  Model.releaseAll();
}

// Guards against an index that misses workers, which would leave work waiting
// although it fits.
RC_GTEST_PROP(SchedulerProperty, FindsAWorkerWheneverOneFits, ()) {
  constexpr int Count = 40;
  Scheduler S;
  S.setTeam(TeamId("a"), 1.0, 100000);
  for (int I = 0; I < Count; ++I)
    S.upsertWorker(worker(I, {8000, 16000, I % 3, 8, 6}));
  std::vector<TaskId> Running;
  const auto Commands =
      *rc::gen::container<std::vector<Command>>(std::size_t(300), anyCommand());
  for (std::size_t Step = 0; Step < Commands.size(); ++Step) {
    const Command &C = Commands[Step];
    if (C.Kind_ < 3 && !Running.empty()) {
      std::swap(Running[C.A_ % Running.size()], Running.back());
      S.release(Running.back());
      Running.pop_back();
      continue;
    }
    const WorkItem Item =
        item("j" + std::to_string(Step), "a", WorkClass::Batch,
             {std::int64_t(1500) * (C.A_ % 4), std::int64_t(3000) * (C.B_ % 4),
              static_cast<int>(C.C_ % 7 / 6), 1, static_cast<int>(C.C_ % 3)});
    // One slot of each worker is reserved for direct calls.
    Resources NeedWithReserve = Item.Need_;
    ++NeedWithReserve.Slots_;
    bool Fits = false;
    for (int I = 0; I < Count; ++I)
      Fits = Fits || NeedWithReserve.fitsIn(S.freeOf(worker(I).Id_));
    S.enqueue(Item);
    const bool Placed = !S.decide(Start, 10).empty();
    RC_ASSERT(Placed == Fits);
    if (Placed)
      Running.push_back(Item.First_);
    else
      S.dequeue(Item.First_);
  }
}

} // namespace
} // namespace oleandergauge
