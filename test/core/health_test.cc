#include "oleandergauge/health.h"

#include <gtest/gtest.h>

namespace oleandergauge {
namespace {

using std::chrono::seconds;

const WorkerId FailingWorker("w-bad");
const TimePoint Start{seconds(100)};

WorkerHealth withGoodWorkers() {
  WorkerHealth Health;
  for (int I = 0; I < 9; ++I)
    Health.noteSuccess(WorkerId("w" + std::to_string(I)), Start);
  return Health;
}

void fail(WorkerHealth &Health, const WorkerId &Worker, int Times) {
  for (int I = 0; I < Times; ++I)
    Health.noteFailure(Worker, Start);
}

// Guards against a worker on which every task fails and that therefore always
// has free resources for more tasks.
TEST(WorkerHealthTest, QuarantinesAfterFiveFailuresInARow) {
  WorkerHealth Health = withGoodWorkers();
  fail(Health, FailingWorker, 4);
  EXPECT_FALSE(Health.isQuarantined(FailingWorker));
  fail(Health, FailingWorker, 1);
  EXPECT_TRUE(Health.isQuarantined(FailingWorker));
}

// Guards against quarantining all workers because of work that fails anywhere.
TEST(WorkerHealthTest, DoesNotQuarantineWhereTheOthersFailAsWell) {
  WorkerHealth Health;
  for (int Round = 0; Round < 30; ++Round)
    for (int I = 0; I < 10; ++I)
      Health.noteFailure(WorkerId("w" + std::to_string(I)), Start);
  for (int I = 0; I < 10; ++I)
    EXPECT_FALSE(Health.isQuarantined(WorkerId("w" + std::to_string(I))));
}

// Guards against a quarantine that never ends, and against probes that come
// before their backoff is over.
TEST(WorkerHealthTest, ProbesWithADoublingDelayUpToTenMinutes) {
  WorkerHealth Health = withGoodWorkers();
  fail(Health, FailingWorker, 5);
  TimePoint Now = Start;
  for (const int Delay : {10, 20, 40, 80, 160, 320, 600, 600}) {
    EXPECT_TRUE(Health.dueProbes(Now + seconds(Delay) - Duration(1)).empty());
    Now += seconds(Delay);
    EXPECT_EQ(Health.dueProbes(Now), std::vector<WorkerId>{FailingWorker});
    EXPECT_TRUE(Health.dueProbes(Now + seconds(9999)).empty());
    Health.noteFailure(FailingWorker, Now);
  }
}

// Guards against taking the end of an earlier task for the end of the probe.
TEST(WorkerHealthTest, OnlyAProbeEndsTheQuarantine) {
  WorkerHealth Health = withGoodWorkers();
  fail(Health, FailingWorker, 5);
  Health.noteSuccess(FailingWorker, Start);
  EXPECT_TRUE(Health.isQuarantined(FailingWorker));
  EXPECT_EQ(Health.dueProbes(Start + seconds(10)).size(), 1U);
  Health.noteSuccess(FailingWorker, Start + seconds(11));
  EXPECT_FALSE(Health.isQuarantined(FailingWorker));
}

// Guards against quarantining a worker because of a removed one with the same
// identifier.
TEST(WorkerHealthTest, ForgetsARemovedWorker) {
  WorkerHealth Health = withGoodWorkers();
  fail(Health, FailingWorker, 5);
  Health.forget(FailingWorker);
  EXPECT_FALSE(Health.isQuarantined(FailingWorker));
  EXPECT_TRUE(Health.dueProbes(Start + seconds(3600)).empty());
}

} // namespace
} // namespace oleandergauge
