#include <gtest/gtest.h>

#include "cell_world.h"

namespace oleandergauge::cell::test {
namespace {

const std::string ServiceId = "00000000000000aa";

// Guards against a service that has lost its worker and waits without a bound,
// while short tasks take what becomes free on the others in pieces.
TEST(CellServiceRoom, AServiceStartsAgainBesideManyShortTasks) {
  constexpr std::size_t Workers = 3;
  /// The run counts as lost once its lease has ended, up to 8 s later; from
  /// then on there are 6 s.
  constexpr Millis RestartTime = 14000;
  CellSimulation Sim(1, Workers);
  for (std::size_t At = 0; At < Workers; ++At)
    Sim.worker(At).Capacity_.CpuMilli_ = 2400;
  Sim.TaskBehaviour_ = [&Sim](const std::string &Task) {
    return std::pair(jobOf(Task) == ServiceId ? Millis{1000000}
                                              : Sim.drawBetween(200, 900),
                     false);
  };
  Sim.takeOver();
  Sim.run(300);
  JobSpec Service = simpleJob(1, 1600);
  Service.Steps_.front().Service_ = true;
  Sim.submit(ServiceId, Service, "slow");
  Sim.run(300);
  ASSERT_EQ(Sim.starts(), 1U);
  int Submitted = 0;
  Sim.BeforeTick_ = [&] {
    if (Sim.now() % 50 != 0)
      return;
    char Id[17];
    std::snprintf(Id, sizeof Id, "1%015x", static_cast<unsigned>(Submitted++));
    Sim.submit(Id, simpleJob(2, 300), "fast");
  };
  Sim.run(3000);
  std::size_t Home = Workers;
  for (std::size_t At = 0; At < Workers; ++At)
    if (Sim.worker(At).Runs_.count(ServiceId + ".0.0.0") != 0)
      Home = At;
  ASSERT_LT(Home, Workers);
  Sim.removeWorker(Home);
  Sim.run(RestartTime);
  std::size_t Running = 0;
  for (std::size_t At = 0; At < Workers; ++At)
    Running += Sim.worker(At).Runs_.count(ServiceId + ".0.0.0");
  EXPECT_EQ(Running, 1U);
}

} // namespace
} // namespace oleandergauge::cell::test
