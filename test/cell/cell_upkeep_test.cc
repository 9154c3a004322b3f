#include <gtest/gtest.h>

#include "cell_world.h"

namespace oleandergauge::cell::test {
namespace {

// Guards against more machines down than the operator allows, one taken down
// twice, and a wave that is told as complete too early or never.
TEST(CellUpkeep, TakesEachMachineOfAWaveDownOnce) {
  World Of(3, 6);
  Of.Faults_.LostAnswer_ = 0.3;
  Of.takeOver();
  Of.run(300);
  for (int At = 0; At < 6; ++At)
    Of.submit("00000000000000a" + std::to_string(At), simpleJob(2, 1000));
  Of.requestWave(4, 2, 20000);
  Of.run(20000);
  for (std::size_t At = 0; At < 4; ++At)
    EXPECT_EQ(Of.machine(At).Upkeeps_, 1) << At;
  EXPECT_EQ(Of.machine(4).Orders_, 0);
  EXPECT_TRUE(Of.WaveStates_[1]);
  EXPECT_TRUE(Of.violations().empty()) << Of.violations().front();
}

// Guards against a machine that a former owner took down being vacated and
// ordered again after a takeover.
TEST(CellUpkeep, ANextOwnerGoesOnWithAWave) {
  World Of(3, 4);
  Of.takeOver();
  Of.requestWave(3, 1, 30000);
  Of.run(5500);
  const int Before =
      Of.machine(0).Upkeeps_ + Of.machine(1).Upkeeps_ + Of.machine(2).Upkeeps_;
  EXPECT_GT(Before, 0);
  EXPECT_LT(Before, 3);
  Of.killOwner();
  Of.takeOver();
  Of.run(16000);
  EXPECT_TRUE(Of.WaveStates_[1]);
  int Orders = 0;
  for (std::size_t At = 0; At < 3; ++At) {
    EXPECT_EQ(Of.machine(At).Upkeeps_, 1) << At;
    Orders += Of.machine(At).Orders_;
  }
  EXPECT_LE(Orders, 4) << "the machine that is down is asked for again";
  EXPECT_TRUE(Of.violations().empty()) << Of.violations().front();
}

// Guards against an upkeep that takes away more tasks of a service than may be
// unavailable: they move to other workers one by one first.
TEST(CellUpkeep, MovesServicesOffBeforeUpkeep) {
  World Of(5, 3);
  Of.Behaviour_ = [](const std::string &) {
    return std::pair(Millis{1000000}, false);
  };
  Of.takeOver();
  Of.run(300);
  JobSpec Service = simpleJob(4, 600);
  Service.Steps_[0].Service_ = true;
  Service.Steps_[0].MaxUnavailable_ = 1;
  Of.submit("00000000000000aa", Service);
  Of.run(3000);
  Of.requestWave(3, 1, 40000);
  Of.run(40000);
  EXPECT_TRUE(Of.WaveStates_[1]);
  EXPECT_TRUE(Of.violations().empty()) << Of.violations().front();
}

} // namespace
} // namespace oleandergauge::cell::test
