#include <gtest/gtest.h>

#include <cstdio>

#include "cell_world.h"

namespace oleandergauge::cell::test {
namespace {

constexpr std::size_t WorkerCount = 9;

std::string numberedId(int Number) {
  char Out[17];
  std::snprintf(Out, sizeof Out, "%016x", Number);
  return Out;
}

/// A cell whose tasks take 1 s on a worker of speed 1, 2.5 times their usual
/// estimate.
class WorkerSpeedsTest : public ::testing::Test {
protected:
  void SetUp() override {
    Sim_.TaskBehaviour_ = [](const std::string &) {
      return std::pair(Millis{1000}, false);
    };
  }

  /// Lets a third of the workers be slow and a third fast.
  void setMixedSpeeds() {
    for (std::size_t At = 0; At < WorkerCount; ++At)
      Sim_.worker(At).Speed_ = At % 3 == 0 ? 0.6 : At % 3 == 1 ? 1 : 1.6;
  }

  /// Runs steps whose tasks are spread over the workers.
  void runSpreadSteps(int Count) {
    for (int At = 0; At < Count; ++At) {
      JobSpec Spread = simpleJob(WorkerCount, 900);
      Spread.Steps_[0].MaxPerWorker_ = 1;
      Spread.Steps_[0].Estimate_ = SpreadEstimate_;
      Sim_.submit(numberedId(NextId_++), Spread);
      Sim_.run(StepInterval);
    }
    Sim_.run(SpeedReportTime);
  }

  /// Checks the number of workers whose speeds are known, and returns the
  /// speeds of the slowest and the fastest one.
  std::pair<double, double> reportedSpeeds(std::size_t ExpectedCount) const {
    std::size_t Known = 0;
    int Observed = 0;
    double Slowest = 0;
    double Fastest = 0;
    std::sscanf(Sim_.SpeedReport_.c_str(),
                "%zu workers observed=%d slowest=%lf fastest=%lf", &Known,
                &Observed, &Slowest, &Fastest);
    EXPECT_EQ(Known, ExpectedCount) << Sim_.SpeedReport_;
    return {Slowest, Fastest};
  }

  /// Submits a job with one large task and returns the worker that runs it.
  std::string workerOf(const JobSpec &Spec, const std::string &Queue) {
    const std::string Id = numberedId(NextId_++);
    Sim_.submit(Id, Spec, Queue);
    Sim_.run(100);
    std::string Out;
    for (std::size_t At = 0; At < WorkerCount; ++At)
      if (Sim_.worker(At).Runs_.count(Id + ".0.0.0") != 0)
        Out = Sim_.worker(At).Id_;
    Sim_.run(3000);
    return Out;
  }

  double speedOf(const std::string &Id) {
    for (std::size_t At = 0; At < WorkerCount; ++At)
      if (Sim_.worker(At).Id_ == Id)
        return Sim_.worker(At).Speed_;
    return 0;
  }

  /// Returns how many of 20 urgent jobs end within their objective.
  int countUrgentInTime() {
    int Out = 0;
    for (int At = 0; At < 20; ++At) {
      const std::string Id = numberedId(NextId_++);
      Sim_.submit(Id, simpleJob(1, 3500), "fast");
      Sim_.run(UrgentObjective);
      Out += Sim_.stateOf(Id) == JobState::Complete ? 1 : 0;
      Sim_.run(1000);
    }
    return Out;
  }

  static constexpr Millis StepInterval = 2000;
  static constexpr Millis SpeedReportTime = 11000;
  /// Twice the estimate of a simple job, and the objective of the queue.
  static constexpr Millis UrgentObjective = 2 * 400 + 500;

  CellSimulation Sim_{1, WorkerCount};
  int NextId_ = 1;
  Millis SpreadEstimate_ = 400;
};

TEST_F(WorkerSpeedsTest, ReportsWhatItHasLearned) {
  setMixedSpeeds();
  Sim_.takeOver();
  runSpreadSteps(20);
  const auto [Slowest, Fastest] = reportedSpeeds(WorkerCount);
  EXPECT_NEAR(Slowest, 0.6, 0.06);
  EXPECT_NEAR(Fastest, 1.6, 0.16);
}

// Guards against a worker that is taken for a slow one because its ends became
// known late.
TEST_F(WorkerSpeedsTest, LearnsNothingFromEndsThatWereSeenLate) {
  Sim_.takeOver();
  Sim_.BeforeTick_ = [this] {
    // Each step starts at phase zero and ends 1 s later.
    const Millis Phase = (Sim_.now() - 1000) % StepInterval;
    Sim_.worker(0).Disconnected_ = Phase > 600 && Phase < 1600;
  };
  runSpreadSteps(40);
  const auto [Slowest, Fastest] = reportedSpeeds(WorkerCount - 1);
  EXPECT_GE(Slowest, 0.95);
  EXPECT_LE(Fastest, 1.05);
}

// Guards against urgent work on slow workers while fast ones have room. An
// owner that knows no speeds takes the fullest workers, which are slow.
TEST_F(WorkerSpeedsTest, EndsMoreUrgentWorkInTimeOnceSpeedsAreKnown) {
  setMixedSpeeds();
  for (std::size_t At = 0; At < WorkerCount; At += 3)
    Sim_.worker(At).Capacity_.CpuMilli_ = 3900;
  Sim_.takeOver();
  EXPECT_EQ(countUrgentInTime(), 0);
  runSpreadSteps(20);
  EXPECT_EQ(countUrgentInTime(), 20);
  Sim_.killOwner();
  Sim_.takeOver();
  Sim_.run(300);
  EXPECT_EQ(countUrgentInTime(), 0) << "The next owner learns anew.";
}

// Guards against speeds that are lost when workers restart under their ids.
TEST_F(WorkerSpeedsTest, KeepsTheSpeedsOfRestartedWorkers) {
  setMixedSpeeds();
  for (std::size_t At = 0; At < WorkerCount; At += 3)
    Sim_.worker(At).Capacity_.CpuMilli_ = 3900;
  Sim_.takeOver();
  countUrgentInTime(); // Teaches how long the tasks of the queue take.
  runSpreadSteps(20);
  for (std::size_t At = 0; At < WorkerCount; ++At)
    Sim_.worker(At).restart(Sim_.now());
  Sim_.run(3000); // The owner sees each restart in an answer to a renewal.
  EXPECT_EQ(countUrgentInTime(), 20);
}

// Guards against urgent work that is sent to the slowest workers because its
// estimates are too short and nothing shows that yet.
TEST_F(WorkerSpeedsTest, KeepsTheOrderWhileDurationsAreUnknown) {
  setMixedSpeeds();
  for (std::size_t At = 2; At < WorkerCount; At += 3)
    Sim_.worker(At).Capacity_.CpuMilli_ = 3900;
  Sim_.takeOver();
  runSpreadSteps(20);
  EXPECT_EQ(countUrgentInTime(), 20);
}

// Guards against work with much time that keeps the fast workers from others.
TEST_F(WorkerSpeedsTest, RunsWorkWithMuchTimeOnSlowWorkers) {
  setMixedSpeeds();
  for (std::size_t At = 2; At < WorkerCount; At += 3)
    Sim_.worker(At).Capacity_.CpuMilli_ = 3900;
  JobSpec Patient = simpleJob(1, 3500);
  Patient.Steps_[0].Estimate_ = 1500;
  SpreadEstimate_ = 1000;
  Sim_.takeOver();
  Sim_.run(300);
  EXPECT_EQ(speedOf(workerOf(Patient, "slow")), 1.6);
  runSpreadSteps(20);
  EXPECT_EQ(speedOf(workerOf(Patient, "slow")), 0.6);
}

// Guards against another order of workers where all are equally fast.
TEST_F(WorkerSpeedsTest, KeepsTheOrderWhereSpeedsAreEqual) {
  Sim_.takeOver();
  Sim_.run(300);
  const std::string First = workerOf(simpleJob(1, 3500), "fast");
  runSpreadSteps(20);
  reportedSpeeds(WorkerCount);
  EXPECT_EQ(workerOf(simpleJob(1, 3500), "fast"), First);
  Sim_.worker(8).Capacity_.CpuMilli_ = 3900;
  Sim_.run(1000);
  EXPECT_EQ(workerOf(simpleJob(1, 3500), "fast"), "w8");
}

} // namespace
} // namespace oleandergauge::cell::test
