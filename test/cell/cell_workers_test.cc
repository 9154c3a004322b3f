#include <gtest/gtest.h>

#include "cell_world.h"

namespace oleandergauge::cell::test {
namespace {

constexpr std::size_t WorkerCount = 100;

/// Examinations of idle workers that a second of a simulation needs: some for
/// the lease renewals and for deadlines that pass without an event.
constexpr std::uint64_t MaxExaminationsPerIdleWorker = 12;
/// Further examinations for each task: the outcome of its start and the list
/// with its end.
constexpr std::uint64_t MaxExaminationsPerTask = 12;

// Guards against an owner whose cost of each event grows with the cell: each
// outcome of an order and each list examined all workers and all their runs,
// until the owner was slower than the events came in.
TEST(CellWorkers, AnEventExaminesOnlyTheWorkersItConcerns) {
  CellSimulation Sim(7, WorkerCount);
  Sim.TaskBehaviour_ = [](const std::string &) {
    return std::pair(Millis{200}, false);
  };
  Sim.takeOver();
  Sim.run(1000);
  const std::uint64_t Before = Sim.cell().stats(Sim.now()).WorkersExamined_;
  constexpr std::uint64_t JobCount = 50;
  for (std::uint64_t At = 0; At < JobCount; ++At) {
    Sim.submit("00000000000000" + std::to_string(10 + At), simpleJob(1, 100));
    Sim.run(20);
  }
  const std::uint64_t Examined =
      Sim.cell().stats(Sim.now()).WorkersExamined_ - Before;
  EXPECT_LE(Examined, MaxExaminationsPerIdleWorker * WorkerCount +
                          MaxExaminationsPerTask * JobCount);
  Sim.run(500);
  EXPECT_EQ(Sim.starts(), JobCount);
}

// Guards against a worker that is not examined when something is due for it: an
// order without an answer has to be sent again, and the work of a worker out of
// reach has to start elsewhere after its lease.
TEST(CellWorkers, WorkOfAnUnreachableWorkerStartsElsewhereAfterItsLease) {
  CellSimulation Sim(3, 2);
  Sim.TaskBehaviour_ = [](const std::string &) {
    return std::pair(Millis{60000}, false);
  };
  Sim.takeOver();
  Sim.run(500);
  Sim.submit("0000000000000010", simpleJob(1, 1000));
  Sim.run(500);
  ASSERT_EQ(Sim.starts(), 1U);
  const std::size_t At = Sim.worker(0).Runs_.empty() ? 1 : 0;
  Sim.worker(At).Disconnected_ = true;
  Sim.run(9000);
  EXPECT_EQ(Sim.starts(), 2U);
  EXPECT_TRUE(Sim.violations().empty()) << Sim.violations().front();
}

} // namespace
} // namespace oleandergauge::cell::test
