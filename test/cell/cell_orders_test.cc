#include <gtest/gtest.h>

#include "cell_world.h"

namespace oleandergauge::cell::test {
namespace {

const std::string JobId = "00000000000000aa";
const std::string NextId = "00000000000000bb";
constexpr std::uint32_t Tasks = 1000;

/// A worker some of whose answers to orders are lost, and a job of many tasks
/// that has been cancelled while most start orders wait for a connection.
CellSimulation cellWithCancelledStarts() {
  CellSimulation Sim(1, 1);
  Sim.OrderConnections_ = 2;
  Sim.Faults_.LostAnswer_ = 0.06;
  Sim.worker(0).Capacity_ = {4000, 64000, 0, 0, 0};
  Sim.TaskBehaviour_ = [](const std::string &) {
    return std::pair(Millis{20000}, false);
  };
  Sim.takeOver();
  Sim.run(300);
  JobSpec Spec = simpleJob(Tasks, 3);
  Spec.Steps_.front().Need_.MemoryMib_ = 1;
  Sim.submit(JobId, Spec, "fast");
  Sim.run(300);
  EXPECT_GT(Sim.starts(), 0U);
  Sim.cancel(JobId);
  Sim.run(100);
  EXPECT_EQ(Sim.CancelledAt_.count(JobId), 1U);
  return Sim;
}

// Guards against tasks of a cancelled job that start seconds later, since
// orders are sent that were decided before.
TEST(CellOrders, AQueuedStartOfACancelledJobIsNotSent) {
  CellSimulation Sim = cellWithCancelledStarts();
  const std::size_t Before = Sim.starts();
  EXPECT_LT(Before, Tasks / 2);
  Sim.run(6000);
  EXPECT_EQ(Sim.starts(), Before);
  EXPECT_EQ(Sim.cell().stats(Sim.now()).Running_, 0U);
  EXPECT_TRUE(Sim.violations().empty()) << Sim.violations().front();
}

// Guards against room that stays taken by runs whose start was never sent.
TEST(CellOrders, AStartThatIsNotSentTakesNoRoom) {
  CellSimulation Sim = cellWithCancelledStarts();
  Sim.Faults_.LostAnswer_ = 0;
  Sim.run(1000);
  Sim.submit(NextId, simpleJob(1, 3900), "fast");
  Sim.run(500);
  EXPECT_EQ(Sim.Started_.count(NextId), 1U);
  EXPECT_TRUE(Sim.violations().empty()) << Sim.violations().front();
}

} // namespace
} // namespace oleandergauge::cell::test
