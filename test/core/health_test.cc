#include "oleandergauge/health.h"

#include <gtest/gtest.h>

namespace oleandergauge {
namespace {

using std::chrono::seconds;

const WorkerId Bad("w-bad");
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

// Guards against a worker that fails everything and so is always free.
TEST(WorkerHealthTest, QuarantinesAfterFiveFailuresInARow) {
  WorkerHealth Health = withGoodWorkers();
  fail(Health, Bad, 4);
  EXPECT_FALSE(Health.isQuarantined(Bad));
  fail(Health, Bad, 1);
  EXPECT_TRUE(Health.isQuarantined(Bad));
}

// Guards against bad work, which fails anywhere, closing all workers.
TEST(WorkerHealthTest, DoesNotQuarantineWhereTheOthersFailAsWell) {
  WorkerHealth Health;
  for (int Round = 0; Round < 30; ++Round)
    for (int I = 0; I < 10; ++I)
      Health.noteFailure(WorkerId("w" + std::to_string(I)), Start);
  for (int I = 0; I < 10; ++I)
    EXPECT_FALSE(Health.isQuarantined(WorkerId("w" + std::to_string(I))));
}

// Guards against a quarantine that never ends, and against probes that come
// faster than the doubling delay allows.
TEST(WorkerHealthTest, ProbesWithADoublingDelayUpToTenMinutes) {
  WorkerHealth Health = withGoodWorkers();
  fail(Health, Bad, 5);
  TimePoint Now = Start;
  for (const int Delay : {10, 20, 40, 80, 160, 320, 600, 600}) {
    EXPECT_TRUE(Health.dueProbes(Now + seconds(Delay) - Duration(1)).empty());
    Now += seconds(Delay);
    EXPECT_EQ(Health.dueProbes(Now), std::vector<WorkerId>{Bad});
    EXPECT_TRUE(Health.dueProbes(Now + seconds(9999)).empty());
    Health.noteFailure(Bad, Now);
  }
}

// Guards against the end of an earlier task counting as the probe's.
TEST(WorkerHealthTest, OnlyAProbeEndsTheQuarantine) {
  WorkerHealth Health = withGoodWorkers();
  fail(Health, Bad, 5);
  Health.noteSuccess(Bad, Start);
  EXPECT_TRUE(Health.isQuarantined(Bad));
  EXPECT_EQ(Health.dueProbes(Start + seconds(10)).size(), 1U);
  Health.noteSuccess(Bad, Start + seconds(11));
  EXPECT_FALSE(Health.isQuarantined(Bad));
}

// Guards against a replaced host being quarantined for its predecessor.
TEST(WorkerHealthTest, ForgetsARemovedWorker) {
  WorkerHealth Health = withGoodWorkers();
  fail(Health, Bad, 5);
  Health.forget(Bad);
  EXPECT_FALSE(Health.isQuarantined(Bad));
  EXPECT_TRUE(Health.dueProbes(Start + seconds(3600)).empty());
}

} // namespace
} // namespace oleandergauge
