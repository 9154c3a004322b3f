#include <gtest/gtest.h>

#include "cell_world.h"

namespace oleandergauge::cell::test {
namespace {

// Guards against taking down more machines than the operator allows or one
// machine twice, and against reporting a wave as complete too early or never.
TEST(CellUpkeep, TakesEachMachineOfAWaveDownOnce) {
  CellSimulation Sim(3, 6);
  Sim.Faults_.LostAnswer_ = 0.3;
  Sim.takeOver();
  Sim.run(300);
  for (int At = 0; At < 6; ++At)
    Sim.submit("00000000000000a" + std::to_string(At), simpleJob(2, 1000));
  Sim.requestWave(4, 2, 20000);
  Sim.run(20000);
  for (std::size_t At = 0; At < 4; ++At)
    EXPECT_EQ(Sim.machine(At).Upkeeps_, 1) << At;
  EXPECT_EQ(Sim.machine(4).Orders_, 0);
  EXPECT_TRUE(Sim.WaveStates_[1]);
  EXPECT_TRUE(Sim.violations().empty()) << Sim.violations().front();
}

// Guards against a next owner that drains a machine and orders its upkeep again
// after a former owner has taken it down.
TEST(CellUpkeep, NextOwnerContinuesAWave) {
  CellSimulation Sim(3, 4);
  Sim.takeOver();
  Sim.requestWave(3, 1, 30000);
  Sim.run(5500);
  const int Before = Sim.machine(0).Upkeeps_ + Sim.machine(1).Upkeeps_ +
                     Sim.machine(2).Upkeeps_;
  EXPECT_GT(Before, 0);
  EXPECT_LT(Before, 3);
  Sim.killOwner();
  Sim.takeOver();
  Sim.run(16000);
  EXPECT_TRUE(Sim.WaveStates_[1]);
  int Orders = 0;
  for (std::size_t At = 0; At < 3; ++At) {
    EXPECT_EQ(Sim.machine(At).Upkeeps_, 1) << At;
    Orders += Sim.machine(At).Orders_;
  }
  EXPECT_LE(Orders, 4) << "the machine that is down is asked for again";
  EXPECT_TRUE(Sim.violations().empty()) << Sim.violations().front();
}

// Guards against upkeep that makes more tasks of a service unavailable than its
// limit: they move to other workers one by one first.
TEST(CellUpkeep, MovesServicesOffBeforeUpkeep) {
  CellSimulation Sim(5, 3);
  Sim.TaskBehaviour_ = [](const std::string &) {
    return std::pair(Millis{1000000}, false);
  };
  Sim.takeOver();
  Sim.run(300);
  JobSpec Service = simpleJob(4, 600);
  Service.Steps_[0].Service_ = true;
  Service.Steps_[0].MaxUnavailable_ = 1;
  Sim.submit("00000000000000aa", Service);
  Sim.run(3000);
  Sim.requestWave(3, 1, 40000);
  Sim.run(40000);
  EXPECT_TRUE(Sim.WaveStates_[1]);
  EXPECT_TRUE(Sim.violations().empty()) << Sim.violations().front();
}

// Guards against a wave that is reported as complete without the upkeep of
// machines which a single list lacks: its pages are read at different times, so
// that it may lack machines that exist.
TEST(CellUpkeep, DoesNotTakeAMachineForRemovedThatOneListLacks) {
  CellSimulation Sim(7, 6);
  Sim.omitMachines([](std::size_t List, std::size_t Machine) {
    return (List + Machine) % 2 == 0;
  });
  Sim.takeOver();
  Sim.requestWave(4, 2, 40000);
  Sim.run(40000);
  EXPECT_TRUE(Sim.WaveStates_[1]);
  for (std::size_t At = 0; At < 4; ++At)
    EXPECT_EQ(Sim.machine(At).Upkeeps_, 1) << At;
  EXPECT_TRUE(Sim.violations().empty()) << Sim.violations().front();
}

// Guards against a wave that never ends because of a machine that was removed.
TEST(CellUpkeep, CompletesAWaveWithARemovedMachine) {
  CellSimulation Sim(7, 4);
  Sim.omitMachines([](std::size_t List, std::size_t Machine) {
    return List > 2 && Machine == 2;
  });
  Sim.takeOver();
  Sim.requestWave(3, 1, 40000);
  Sim.run(40000);
  EXPECT_TRUE(Sim.WaveStates_[1]);
}

} // namespace
} // namespace oleandergauge::cell::test
