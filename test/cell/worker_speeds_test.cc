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

/// A cell whose tasks take 1 s on a worker of speed 1, 2.5 times their
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

} // namespace
} // namespace oleandergauge::cell::test
