#include <gtest/gtest.h>

#include "cell_world.h"

namespace oleandergauge::cell::test {
namespace {

constexpr const char *OldId = "0000000000000010";
constexpr const char *NewId = "0000000000000011";
/// Two tasks of it are within the team's limit of 9 cores, three are not.
constexpr std::int64_t TaskCpu = 3200;
/// Shorter than the lease of a worker that is cut off.
constexpr Millis BeforeLeaseEnd = 3000;

/// A cell whose owner is replaced while one worker is cut off.
class CellQuotaTest : public testing::Test {
protected:
  CellQuotaTest() : Sim_(9, 4) {
    Sim_.TaskBehaviour_ = [](const std::string &) {
      return std::pair(Millis{60000}, false);
    };
    Sim_.takeOver();
    Sim_.run(500);
  }
  /// Cuts off the first worker that has a run, or one that has none.
  void cutWorker(bool WithRun) {
    for (std::size_t At = 0; At < Sim_.workerCount(); ++At)
      if (Sim_.worker(At).Runs_.empty() != WithRun) {
        Sim_.worker(At).Disconnected_ = true;
        return;
      }
  }
  void replaceOwner() {
    Sim_.killOwner();
    Sim_.takeOver();
    Sim_.run(200);
  }

  CellSimulation Sim_;
};

// Guards against a team above its limit after a takeover: runs on a worker that
// the next owner did not reach yet counted for no team.
TEST_F(CellQuotaTest, CountsRunsThatTheNextOwnerHasNotSeen) {
  Sim_.submit(OldId, simpleJob(2, TaskCpu));
  Sim_.run(500);
  ASSERT_EQ(Sim_.starts(), 2U);
  cutWorker(true);
  replaceOwner();
  Sim_.submit(NewId, simpleJob(1, TaskCpu));
  Sim_.run(BeforeLeaseEnd);
  EXPECT_EQ(Sim_.starts(), 2U);
}

// Guards against a limit that stays used up: once the lease of the worker has
// ended, its task or the new one starts.
TEST_F(CellQuotaTest, FreesTheLimitWhenTheLeaseOfTheWorkerHasEnded) {
  Sim_.submit(OldId, simpleJob(2, TaskCpu));
  Sim_.run(500);
  cutWorker(true);
  replaceOwner();
  Sim_.submit(NewId, simpleJob(1, TaskCpu));
  Sim_.run(3 * BeforeLeaseEnd);
  EXPECT_EQ(Sim_.starts(), 3U);
}

// Guards against new work that waits for more than the silent worker can hold:
// a long backlog of the team would block the whole limit.
TEST_F(CellQuotaTest, CountsNoMoreThanTheSilentWorkerHolds) {
  for (std::size_t At = 0; At < Sim_.workerCount(); ++At)
    Sim_.worker(At).Draining_ = true;
  Sim_.run(500);
  Sim_.submit(OldId, simpleJob(6, TaskCpu));
  Sim_.run(500);
  ASSERT_EQ(Sim_.starts(), 0U);
  cutWorker(false);
  for (std::size_t At = 0; At < Sim_.workerCount(); ++At)
    Sim_.worker(At).Draining_ = false;
  replaceOwner();
  Sim_.submit(NewId, simpleJob(1, TaskCpu));
  Sim_.run(1000);
  EXPECT_EQ(Sim_.starts(), 1U);
}

// Guards against a backlog that uses up the whole limit of its team because a
// worker has left the list, so that the next owner does not know its size.
TEST_F(CellQuotaTest, CountsNoMoreThanADepartedWorkerCanHold) {
  for (std::size_t At = 0; At < Sim_.workerCount(); ++At)
    Sim_.worker(At).Draining_ = true;
  Sim_.run(500);
  Sim_.submit(OldId, simpleJob(6, TaskCpu));
  Sim_.run(500);
  ASSERT_EQ(Sim_.starts(), 0U);
  Sim_.worker(0).Disconnected_ = true;
  Sim_.setListed("w0", false);
  for (std::size_t At = 1; At < Sim_.workerCount(); ++At)
    Sim_.worker(At).Draining_ = false;
  replaceOwner();
  Sim_.submit(NewId, simpleJob(1, TaskCpu));
  Sim_.run(BeforeLeaseEnd);
  EXPECT_EQ(Sim_.starts(), 1U);
}

} // namespace
} // namespace oleandergauge::cell::test
