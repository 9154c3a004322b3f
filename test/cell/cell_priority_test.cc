#include <gtest/gtest.h>

#include "cell_world.h"

namespace oleandergauge::cell::test {
namespace {

const std::string JobId = "00000000000000aa";
const std::string OtherId = "00000000000000bb";

// Guards against a task of a lower priority that waits on an idle cell: runs
// that began below the highest priority, and ended at it since the desired
// state had changed, left the sum of urgent work negative, which kept room for
// that work that nobody used.
TEST(CellPriority, AChangedHighestPriorityKeepsNoRoomOnAnIdleCell) {
  constexpr std::size_t Workers = 2;
  constexpr std::size_t Tasks = 3 * Workers; // With the reserve, all that fit.
  CellSimulation Sim(1, Workers);
  Sim.TaskBehaviour_ = [](const std::string &) {
    return std::pair(Millis{2000}, false);
  };
  Sim.takeOver();
  Sim.run(300);
  Sim.submit(JobId, simpleJob(Tasks, 1000), "slow");
  Sim.run(500);
  ASSERT_EQ(Sim.starts(), Tasks);
  Sim.setPriority("fast", 2);
  Sim.publishDesiredState();
  Sim.run(4000);
  ASSERT_EQ(Sim.stateOf(JobId), JobState::Complete);
  JobSpec Long = simpleJob(1, 1000);
  Long.Steps_.front().Estimate_ = 8000;
  Sim.submit(OtherId, Long, "fast");
  Sim.run(1000);
  EXPECT_EQ(Sim.starts(), Tasks + 1);
}

// Guards against a task that waits on an idle cell, since it needs some of what
// each worker keeps for the highest priority.
TEST(CellPriority, ATaskThatNeedsNearlyAWholeWorkerStartsAtOnce) {
  CellSimulation Sim(1, 2);
  Sim.takeOver();
  Sim.run(300);
  JobSpec Large = simpleJob(1, 3800);
  Large.Steps_.front().Estimate_ = 8000;
  Sim.submit(JobId, Large, "slow");
  Sim.run(1000);
  EXPECT_EQ(Sim.starts(), 1U);
}

// Guards against sums over runs that outlive the priorities that they were
// counted with, where these change back and forth while runs last.
TEST(CellPriority, SumsOverRunsFollowEachChangeOfPriorities) {
  CellSimulation Sim(2);
  Sim.TaskBehaviour_ = [](const std::string &) {
    return std::pair(Millis{700}, false);
  };
  Sim.takeOver();
  Sim.run(300);
  constexpr int Rounds = 12;
  for (int Round = 0; Round < Rounds; ++Round) {
    JobSpec Spec = simpleJob(3, 400);
    Spec.Steps_.front().Checkpointed_ = Round % 2 == 0;
    Sim.submit("0000000000000c0" + std::to_string(Round % 10), Spec,
               Round % 3 == 0 ? "fast" : "slow");
    Sim.run(150);
    Sim.setPriority("fast", Round % 4);
    Sim.setPriority("slow", Round % 5);
    Sim.publishDesiredState();
    EXPECT_EQ(Sim.cell().countWrongSums(), 0U) << Round;
  }
  Sim.run(5000);
  EXPECT_EQ(Sim.cell().countWrongSums(), 0U);
}

} // namespace
} // namespace oleandergauge::cell::test
