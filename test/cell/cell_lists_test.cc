#include <gtest/gtest.h>

#include "cell_world.h"

namespace oleandergauge::cell::test {
namespace {

const std::string JobId = "00000000000000aa";
constexpr std::uint32_t Tasks = 240;
constexpr Millis Work = 300;
constexpr Millis Outage = 4500;
constexpr Millis LongWork = 20000;
/// Longer than the lease of a worker and the time until its owner gives its
/// runs up.
constexpr Millis LongOutage = 8000;

/// Two large workers whose answers hold few ends, and one job of short tasks.
CellSimulation crowdedCell() {
  CellSimulation Sim(1, 2);
  Sim.EndsPerList_ = 20;
  Sim.TaskBehaviour_ = [](const std::string &) {
    return std::pair(Work, false);
  };
  for (std::size_t At = 0; At < Sim.workerCount(); ++At)
    Sim.worker(At).Capacity_ = {4000, 64000, 0, 0, 0};
  return Sim;
}

std::size_t waitingEnds(CellSimulation &Sim) {
  std::size_t Out = 0;
  for (std::size_t At = 0; At < Sim.workerCount(); ++At)
    Out = std::max(Out, Sim.worker(At).Ends_.size());
  return Out;
}

/// Starts a job, and ends more tasks during an outage of the store than an
/// answer of a worker can list. The store is still away afterwards.
CellSimulation cellWithHiddenEnds(std::uint32_t Count = Tasks,
                                  Millis Span = Outage) {
  CellSimulation Sim = crowdedCell();
  Sim.takeOver();
  Sim.run(300);
  Sim.submit(JobId, simpleJob(Count, 100), "fast");
  Sim.run(100);
  Sim.setStoreDown(true);
  Sim.run(Span);
  EXPECT_GT(waitingEnds(Sim), Sim.EndsPerList_);
  return Sim;
}

void expectEachTaskRanOnce(CellSimulation &Sim) {
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete);
  EXPECT_EQ(Sim.starts(), Tasks);
  EXPECT_TRUE(Sim.violations().empty()) << Sim.violations().front();
}

// Guards against tasks that run twice: during an outage of the store more ends
// wait than an answer of a worker holds, and a run that is neither running nor
// on the list is taken for one that never ran.
TEST(CellLists, KeepsRunsWhoseEndsDoNotFitIntoAnAnswer) {
  CellSimulation Sim = cellWithHiddenEnds();
  Sim.setStoreDown(false);
  Sim.run(5000);
  expectEachTaskRanOnce(Sim);
}

// Guards against a next owner that takes the first answer of a worker for its
// whole state, and starts tasks again whose ends did not fit into it.
TEST(CellLists, NextOwnerWaitsForEndsThatDoNotFitIntoAnAnswer) {
  CellSimulation Sim = cellWithHiddenEnds();
  Sim.killOwner();
  Sim.setStoreDown(false);
  Sim.takeOver();
  Sim.run(6000);
  expectEachTaskRanOnce(Sim);
}

// Guards against the same start where the leases of the former owner have
// ended before the last ends are listed, since the store is slow.
TEST(CellLists, WaitsForHiddenEndsBeyondTheLeasesOfAFormerOwner) {
  CellSimulation Sim = cellWithHiddenEnds();
  Sim.killOwner();
  Sim.setStoreDown(false);
  Sim.takeOver();
  Sim.setStoreDown(true);
  Sim.run(9000);
  Sim.setStoreDown(false);
  Sim.run(8000);
  expectEachTaskRanOnce(Sim);
}

// Guards against an owner and workers that hold more and more ends while the
// store is away: hidden ends keep their room, which bounds both.
TEST(CellLists, BoundsTheEndsThatWaitForTheStore) {
  CellSimulation Sim = cellWithHiddenEnds(4 * Tasks, 5 * Outage);
  constexpr std::size_t RunsPerWorker = 40;
  EXPECT_LE(waitingEnds(Sim), Sim.EndsPerList_ + 2 * RunsPerWorker);
}

/// A cell whose only worker with room ran the given number of tasks until its
/// lease ended, and whose owner has started all of them there again. The worker
/// has more ends than an answer names.
CellSimulation cellWithHiddenEndsOfEarlierRuns(std::uint32_t Count) {
  CellSimulation Sim = crowdedCell();
  Sim.TaskBehaviour_ = [](const std::string &) {
    return std::pair(LongWork, false);
  };
  Sim.worker(1).Capacity_.CpuMilli_ = 0;
  Sim.takeOver();
  Sim.run(300);
  Sim.submit(JobId, simpleJob(Count, 100), "fast");
  Sim.run(300);
  EXPECT_EQ(Sim.worker(0).Runs_.size(), Count);
  Sim.worker(0).Disconnected_ = true;
  Sim.run(LongOutage);
  EXPECT_GT(Sim.worker(0).Ends_.size(), Sim.EndsPerList_);
  Sim.worker(0).Disconnected_ = false;
  return Sim;
}

// Guards against tasks that run twice: a worker was cut off until its lease
// ended, and lists some ends of the earlier runs only after later ones have
// started on it.
TEST(CellLists, AnEndOfAnEarlierRunLeavesTheLaterRunAlone) {
  constexpr std::uint32_t Count = 40;
  CellSimulation Sim = cellWithHiddenEndsOfEarlierRuns(Count);
  Sim.run(1000);
  Sim.worker(1).Capacity_.CpuMilli_ = 4000;
  Sim.run(25000);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete);
  EXPECT_EQ(Sim.starts(), 2 * Count);
  EXPECT_TRUE(Sim.violations().empty()) << Sim.violations().front();
}

// Guards against progress that is lost: a checkpoint in the end of an earlier
// run, which is listed late, replaced the one that a later run had saved.
TEST(CellLists, AnEndOfAnEarlierRunLeavesTheLaterCheckpoint) {
  constexpr std::uint32_t Count = 40;
  CellSimulation Sim = cellWithHiddenEndsOfEarlierRuns(Count);
  for (EndEntry &Each : Sim.worker(0).Ends_)
    Each.Checkpoint_ = "earlier";
  Sim.BeforeTick_ = [&Sim] {
    for (auto &[Task, Each] : Sim.worker(0).Runs_)
      Each.Checkpoint_ = "later";
  };
  Sim.run(1500);
  ASSERT_EQ(Sim.starts(), 2 * Count);
  Sim.restartWorker(0);
  Sim.worker(0).Capacity_.CpuMilli_ = 0;
  Sim.worker(1).Capacity_.CpuMilli_ = 4000;
  Sim.run(12000);
  ASSERT_EQ(Sim.worker(1).Runs_.size(), Count);
  for (const auto &[Task, Each] : Sim.worker(1).Runs_)
    EXPECT_EQ(Each.Checkpoint_, "later") << Task;
}

} // namespace
} // namespace oleandergauge::cell::test
