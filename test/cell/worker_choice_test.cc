#include "cell/worker_choice.h"

#include <gtest/gtest.h>

#include <cmath>

namespace oleandergauge::cell::detail {
namespace {

/// Fullest first: the candidates at 1, 0, 2 and 3.
const std::vector<WorkerCandidate> Mixed{{false, 2000, 1.0},
                                         {false, 1000, 0.6},
                                         {false, 3000, 1.6},
                                         {false, 4000, 1.55}};

// Guards against a change of the order where no speed matters.
TEST(WorkerChoice, TakesTheFullestWorkerWithoutARequiredSpeed) {
  EXPECT_EQ(chooseWorker(Mixed, std::nullopt), 1U);
  EXPECT_EQ(chooseWorker({{true, 1, 1}, {false, 9, 1}, {false, 9, 1}}, {}), 1U);
}

// Guards against urgent tasks on workers on which they end too late.
TEST(WorkerChoice, TakesAWorkerOnWhichTheTaskEndsInTime) {
  EXPECT_EQ(chooseWorker(Mixed, 0.9), 0U);
  EXPECT_EQ(chooseWorker(Mixed, 1.3), 2U);
  EXPECT_EQ(chooseWorker(Mixed, 2.0), 2U);
}

// Guards against work with much time that occupies fast workers.
TEST(WorkerChoice, TakesASlowWorkerForATaskWithMuchTime) {
  EXPECT_EQ(chooseWorker({{false, 1000, 1.6}, {false, 4000, 0.6}}, 0.1), 1U);
}

// Guards against tasks that are late anywhere and keep the fast workers from
// those that can still end in time.
TEST(WorkerChoice, PrefersNoSpeedForATaskThatIsLateAnywhere) {
  EXPECT_EQ(chooseWorker(Mixed, 3.0), 1U);
  EXPECT_EQ(chooseWorker(Mixed, requiredSpeed({400, 1, -10, 0})), 1U);
}

// Guards against an order that depends on noise in the learned speeds.
TEST(WorkerChoice, KeepsTheOrderAmongSimilarSpeeds) {
  const std::vector<WorkerCandidate> Similar{
      {false, 3000, 1.1}, {false, 1000, 1.0}, {false, 2000, 0.95}};
  for (const double Required : {0.1, 0.97, 1.05, 1.5, 5.0})
    EXPECT_EQ(chooseWorker(Similar, Required), 1U) << Required;
}

// Guards against a fast worker that costs the task more by its place.
TEST(WorkerChoice, PutsThePreferredRackBeforeTheSpeed) {
  EXPECT_EQ(chooseWorker({{true, 1000, 1.6}, {false, 2000, 0.6}}, 1.2), 1U);
  EXPECT_EQ(chooseWorker({{true, 1000, 0.6}, {true, 2000, 1.6}}, 1.2), 1U);
}

TEST(WorkerChoice, ComputesTheRequiredSpeedFromTheTimeLeft) {
  EXPECT_NEAR(requiredSpeed({400, 1, 500, 0}), 1, 1e-9);
  EXPECT_NEAR(requiredSpeed({400, 2, 1400, 200}), 1, 1e-9);
  EXPECT_TRUE(std::isinf(requiredSpeed({400, 1, 300, 300})));
}

} // namespace
} // namespace oleandergauge::cell::detail
