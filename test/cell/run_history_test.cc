#include "cell/run_history.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace oleandergauge::cell::detail {
namespace {

/// Lets steps run on workers w0, w1, ... of given speeds. Tasks of one step
/// differ by 15%, 3% of them take seven times as long, and the estimate of a
/// step is wrong by a factor of up to 2.5.
class RunHistoryTest : public ::testing::Test {
protected:
  void runSteps(int Count, const std::vector<double> &Speeds) {
    for (int At = 0; At < Count; ++At) {
      const std::string Step = "step" + std::to_string(NextStep_++);
      const double Work = 1000 * between(1 / 2.5, 2.5);
      std::map<double, std::string> Ends; // The shortest tasks end first.
      for (int Task = 0; Task < 6; ++Task) {
        const auto Worker = static_cast<std::size_t>(
            between(0, static_cast<double>(Speeds.size())));
        const double Tail = between(0, 1) < 0.03 ? 7 : 1;
        Ends[Work * between(0.85, 1.15) * Tail / Speeds[Worker]] =
            "w" + std::to_string(Worker);
      }
      for (const auto &[Time, Worker] : Ends)
        record(Step, Worker, static_cast<Millis>(Time));
      History_.closeStep(Step);
      History_.normalize();
    }
  }

  void record(const std::string &Step, const std::string &Worker,
              Millis RunTime, EndKind Kind = EndKind::Done) {
    History_.recordEnd({Worker, Step, 6, "q", Kind, RunTime, 1000, ++Now_});
  }

  double between(double Low, double High) {
    return std::uniform_real_distribution<>(Low, High)(Random_);
  }

  RunHistory History_;
  std::mt19937_64 Random_{20261204};
  int NextStep_ = 0;
  Millis Now_ = 0;
};

// Guards against estimates that are wrong, and single tasks that take much
// longer, which make a worker look slow or fast.
TEST_F(RunHistoryTest, TellsSpeedsApartDespiteWrongEstimates) {
  const std::vector<double> Speeds{0.6, 0.6, 1, 1, 1, 1, 1, 1.6, 1.6};
  runSteps(120, Speeds);
  for (std::size_t At = 0; At < Speeds.size(); ++At)
    EXPECT_NEAR(History_.speedOf("w" + std::to_string(At)) / Speeds[At], 1, 0.2)
        << At;
  EXPECT_EQ(History_.summary().Known_, Speeds.size());
}

// Guards against an order of ends that decides what is learned.
TEST_F(RunHistoryTest, LearnsNoDifferenceWhereTheShortestTasksEndFirst) {
  runSteps(60, {1, 1, 1, 1});
  EXPECT_GE(History_.summary().Slowest_, 0.87);
  EXPECT_LE(History_.summary().Fastest_, 1.15);
}

// Guards against a worker that is avoided or preferred because most tasks of
// its steps ran on it.
TEST_F(RunHistoryTest, IsNotBiasedByTheShareOfAStepOnAWorker) {
  for (int At = 0; At < 60; ++At) {
    const std::string Step = "s" + std::to_string(At);
    const std::string Other = At % 2 == 0 ? "w1" : "w2";
    for (int Task = 0; Task < 5; ++Task)
      record(Step, "w0", 1000);
    record(Step, Other, At % 2 == 0 ? 1000 : 2000);
    History_.closeStep(Step);
  }
  History_.normalize();
  EXPECT_NEAR(History_.speedOf("w1") / History_.speedOf("w0"), 1, 0.05);
  EXPECT_NEAR(History_.speedOf("w2") / History_.speedOf("w0"), 0.5, 0.05);
}

// Guards against decisions on one lucky or unlucky run, and against comparing a
// worker with itself.
TEST_F(RunHistoryTest, KnowsNothingFromASingleSampleOrASingleWorker) {
  EXPECT_EQ(History_.speedOf("w0"), 1);
  record("s", "w0", 1000);
  record("s", "w1", 3000);
  History_.closeStep("s");
  for (int At = 0; At < 20; ++At) {
    record("t", "w2", 1000 + 100 * At);
    History_.recordEnd(
        {"w3", "u" + std::to_string(At), 1, "q", EndKind::Done, 900, 1000, 1});
  }
  History_.closeStep("t");
  for (const char *Each : {"w0", "w1", "w2", "w3"})
    EXPECT_EQ(History_.speedOf(Each), 1) << Each;
}

// Guards against a worker that stays avoided, or preferred, after its machine
// was replaced under the same id.
TEST_F(RunHistoryTest, RelearnsAWorkerThatChangesItsSpeed) {
  runSteps(60, {1, 1, 1, 1.6});
  EXPECT_NEAR(History_.speedOf("w3"), 1.6, 0.3);
  runSteps(60, {1, 1, 1, 0.6});
  EXPECT_NEAR(History_.speedOf("w3"), 0.6, 0.12);
}

// Guards against a jump of a clock that is taken for a speed, and against
// learning from runs that did not do their work.
TEST_F(RunHistoryTest, IgnoresImplausibleTimesAndRunsThatDidNotSucceed) {
  for (int At = 0; At < 100; ++At) {
    const std::string Step = "s" + std::to_string(At);
    for (const char *Worker : {"w0", "w1", "w2"})
      record(Step, Worker, 1000);
    for (const Millis Time : {Millis{0}, Millis{-5000}, Millis{1} << 40,
                              Millis{3} * 3600 * 1000, Millis{3}})
      record(Step, "w0", Time);
    for (const EndKind Kind : {EndKind::Failed, EndKind::Stopped,
                               EndKind::Lapsed, EndKind::Broken}) {
      record(Step, "w0", 200, Kind);
      record(Step, "w9", 200, Kind); // Everything fails on this worker.
    }
    History_.closeStep(Step);
  }
  EXPECT_NEAR(History_.speedOf("w0"), 1, 1e-9);
  EXPECT_EQ(History_.speedOf("w9"), 1);
  EXPECT_EQ(History_.summary().Observed_, 3U);
  EXPECT_NEAR(History_.durationRatio("q"), 1, 1e-9);
}

TEST_F(RunHistoryTest, LearnsTheDurationRatioOfAQueue) {
  EXPECT_EQ(History_.durationRatio("q"), 1);
  for (int At = 0; At < 200; ++At)
    record("s" + std::to_string(At), "w0",
           static_cast<Millis>(2000 * between(0.85, 1.15)));
  EXPECT_NEAR(History_.durationRatio("q"), 2, 0.2);
  EXPECT_EQ(History_.durationRatio("other"), 1);
}

// Guards against memory that grows with the number of workers, steps or queues
// that ever existed.
TEST_F(RunHistoryTest, KeepsItsMemoryBounded) {
  for (int At = 0; At < 10000; ++At) {
    const std::string Step = "s" + std::to_string(At);
    for (const char *Kind : {"a", "b"})
      History_.recordEnd({Kind + std::to_string(At), Step, 2, Step,
                          EndKind::Done, 1000, 1000, At});
    ASSERT_LE(History_.openSteps(), RunHistory::MaxOpenSteps);
  }
  EXPECT_EQ(History_.openSteps(), RunHistory::MaxOpenSteps);
  EXPECT_EQ(History_.queues(), RunHistory::MaxQueues);
  EXPECT_EQ(History_.summary().Observed_, RunHistory::MaxWorkers);
}

} // namespace
} // namespace oleandergauge::cell::detail
