#include <gtest/gtest.h>

#include "cell_world.h"

namespace oleandergauge::cell::test {
namespace {

std::string numberedId(int Number) {
  char Out[17];
  std::snprintf(Out, sizeof Out, "%016x", Number);
  return Out;
}

void addAdviceHosts(CellSimulation &Sim, int Count) {
  for (int At = 0; At < Count; ++At)
    Sim.cell().addAdviceHost("agent" + std::to_string(At), 1);
}

// Guards against calls for advice on work that is worth nothing while on-time
// steps wait for calls, of which one part of a pass makes only some.
TEST(CellAdvice, AsksForWorthlessStepsLast) {
  CellSimulation Sim(1);
  Sim.Admission_ = false;
  Sim.setAdviceHosts(0);
  Sim.takeOver();
  Sim.run(6000);
  // The team's share admits 200 submissions at once.
  constexpr int WithinShare = 200;
  for (int At = 0; At < WithinShare + 60; ++At)
    Sim.submit(numberedId(At), simpleJob(1, 10), "quick");
  Sim.run(100);
  addAdviceHosts(Sim, 8);
  Sim.run(2000);
  Millis LastOnTime = 0;
  Millis FirstWorthless = 1000000;
  for (int At = 0; At < WithinShare + 60; ++At) {
    const auto Asked = Sim.AskedAt_.find(numberedId(At) + ".0.0");
    ASSERT_NE(Asked, Sim.AskedAt_.end()) << At;
    if (At < WithinShare)
      LastOnTime = std::max(LastOnTime, Asked->second);
    else
      FirstWorthless = std::min(FirstWorthless, Asked->second);
  }
  EXPECT_GE(FirstWorthless, LastOnTime);
}

// Guards against short calls that wait behind long ones where few entry hosts
// are left, all of which may hold a long call.
TEST(CellAdvice, MakesShortCallsBesideLongOnes) {
  for (const int Hosts : {2, 3, 4, 6, 9}) {
    CellSimulation Sim(1, 40);
    Sim.setAdviceHosts(0);
    Sim.limitAdvice({559, 8.06, TicketValidity}, 4);
    Sim.takeOver();
    Sim.run(6000);
    addAdviceHosts(Sim, Hosts);
    for (int At = 0; At < 30; ++At)
      Sim.submit(numberedId(At), simpleJob(1, 10), "advised");
    Sim.run(300);
    EXPECT_GE(Sim.adviceCalls().size(), 1U);
    for (int At = 100; At < 103; ++At) {
      const Millis Submitted = Sim.now();
      Sim.submit(numberedId(At), simpleJob(1, 10), "quick");
      Sim.run(1000);
      const auto Asked = Sim.AskedAt_.find(numberedId(At) + ".0.0");
      ASSERT_NE(Asked, Sim.AskedAt_.end()) << Hosts << " hosts";
      EXPECT_LE(Asked->second - Submitted, 50) << Hosts << " hosts";
    }
  }
}

} // namespace
} // namespace oleandergauge::cell::test
