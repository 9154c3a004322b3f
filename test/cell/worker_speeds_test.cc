#include <gtest/gtest.h>

#include <cstdio>

#include "cell_world.h"

namespace oleandergauge::cell::test {
namespace {

constexpr std::size_t WorkerCount = 9;

/// A cell whose tasks take 1 s on a worker of speed 1, 2.5 times their usual
/// estimate.
class WorkerSpeedsTest : public ::testing::Test {
protected:
  void SetUp() override {
    Sim_.TaskBehaviour_ = [](const std::string &) {
      return std::pair(Millis{1000}, false);
    };
  }

  /// Lets a third of the workers be slow and a third fast. Those of the speed
  /// \p Fullest are the first ones that an owner without known speeds takes.
  void setMixedSpeeds(double Fullest) {
    for (std::size_t At = 0; At < WorkerCount; ++At) {
      FakeWorker &Each = Sim_.worker(At);
      Each.Speed_ = At % 3 == 0 ? 0.6 : At % 3 == 1 ? 1 : 1.6;
      Each.Capacity_.CpuMilli_ = Each.Speed_ == Fullest ? 3900 : 4000;
    }
  }

  std::string submit(const JobSpec &Spec, const std::string &Queue) {
    char Id[17];
    std::snprintf(Id, sizeof Id, "%016x", NextId_++);
    Sim_.submit(Id, Spec, Queue);
    return Id;
  }

  /// Runs 20 steps whose tasks are spread over the workers, and waits for a
  /// report.
  void runSpreadSteps(Millis Estimate = 400) {
    JobSpec Spread = simpleJob(WorkerCount, 900);
    Spread.Steps_[0].MaxPerWorker_ = 1;
    Spread.Steps_[0].Estimate_ = Estimate;
    for (int At = 0; At < 20; ++At) {
      submit(Spread, "slow");
      Sim_.run(StepInterval);
    }
    Sim_.run(11000);
  }

  /// Submits a job with one large task and returns the worker that runs it.
  std::size_t workerOf(Millis Estimate, const std::string &Queue) {
    JobSpec Large = simpleJob(1, 3500);
    Large.Steps_[0].Estimate_ = Estimate;
    const std::string Id = submit(Large, Queue);
    Sim_.run(100);
    std::size_t Out = 0;
    while (Out < WorkerCount &&
           Sim_.worker(Out).Runs_.count(Id + ".0.0.0") == 0)
      ++Out;
    EXPECT_LT(Out, WorkerCount);
    Sim_.run(3000);
    return Out % WorkerCount;
  }

  /// Returns how many of 20 urgent jobs end within their objective: twice the
  /// estimate, and the objective of the queue.
  int countUrgentInTime() {
    int Out = 0;
    for (int At = 0; At < 20; ++At) {
      const std::string Id = submit(simpleJob(1, 3500), "fast");
      Sim_.run(2 * 400 + 500);
      Out += Sim_.stateOf(Id) == JobState::Complete ? 1 : 0;
      Sim_.run(1000);
    }
    return Out;
  }

  static constexpr Millis StepInterval = 2000;

  CellSimulation Sim_{1, WorkerCount};
  int NextId_ = 1;
};

// Guards against a worker that is taken for a slow one because its ends became
// known late.
TEST_F(WorkerSpeedsTest, LearnsNothingFromEndsThatWereSeenLate) {
  Sim_.takeOver();
  Sim_.BeforeTick_ = [this] {
    // Each step starts at phase zero and ends 1 s later.
    const Millis Phase = (Sim_.now() - 1000) % StepInterval;
    Sim_.worker(0).Disconnected_ = Phase > 600 && Phase < 1600;
  };
  runSpreadSteps();
  EXPECT_EQ(Sim_.SpeedReport_,
            "8 workers observed=8 slowest=1.00 fastest=1.00");
}

// Guards against urgent work on slow workers while fast ones have room, and
// against speeds that are lost when workers restart under their ids. The next
// owner learns anew.
TEST_F(WorkerSpeedsTest, EndsMoreUrgentWorkInTimeOnceSpeedsAreKnown) {
  setMixedSpeeds(0.6);
  Sim_.takeOver();
  EXPECT_EQ(countUrgentInTime(), 0);
  runSpreadSteps();
  EXPECT_EQ(Sim_.SpeedReport_,
            "9 workers observed=9 slowest=0.60 fastest=1.60");
  EXPECT_EQ(countUrgentInTime(), 20);
  for (std::size_t At = 0; At < WorkerCount; ++At)
    Sim_.worker(At).restart(Sim_.now());
  Sim_.run(3000); // The owner sees each restart in an answer to a renewal.
  EXPECT_EQ(countUrgentInTime(), 20);
  Sim_.killOwner();
  Sim_.takeOver();
  Sim_.run(300);
  EXPECT_EQ(countUrgentInTime(), 0);
}

// Guards against urgent work that is sent to the slowest workers because its
// estimates are too short and nothing shows that yet.
TEST_F(WorkerSpeedsTest, KeepsTheOrderWhileDurationsAreUnknown) {
  setMixedSpeeds(1.6);
  Sim_.takeOver();
  runSpreadSteps();
  EXPECT_EQ(countUrgentInTime(), 20);
}

// Guards against work with much time that keeps the fast workers from others.
TEST_F(WorkerSpeedsTest, RunsWorkWithMuchTimeOnSlowWorkers) {
  setMixedSpeeds(1.6);
  Sim_.takeOver();
  Sim_.run(300);
  EXPECT_EQ(Sim_.worker(workerOf(1500, "slow")).Speed_, 1.6);
  runSpreadSteps(1000);
  EXPECT_EQ(Sim_.worker(workerOf(1500, "slow")).Speed_, 0.6);
}

// Guards against another order of workers where all are equally fast.
TEST_F(WorkerSpeedsTest, KeepsTheOrderWhereSpeedsAreEqual) {
  Sim_.takeOver();
  Sim_.run(300);
  const std::size_t First = workerOf(400, "fast");
  runSpreadSteps();
  EXPECT_EQ(workerOf(400, "fast"), First);
  Sim_.worker(8).Capacity_.CpuMilli_ = 3900;
  Sim_.run(1000);
  EXPECT_EQ(workerOf(400, "fast"), 8U);
}

} // namespace
} // namespace oleandergauge::cell::test
