#include <iostream>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "partition_fuzz_world.h"

namespace oleandergauge {
namespace {

/// Totals that are printed when the program ends, in addition to the seed that
/// RapidCheck prints.
struct Counts {
  std::size_t Steps_ = 0;
  std::size_t Starts_ = 0;
  ~Counts() {
    std::cout << "steps: " << Steps_ << ", tasks started: " << Starts_ << '\n';
  }
} Totals;

// Guards against violations of the promises that need more than one fault, and
// against accepted jobs that are lost or never end after the faults stop.
RC_GTEST_PROP(PartitionFuzzTest, KeepsThePromisesUnderFaults, ()) {
  FuzzSimulation Simulation(*rc::gen::arbitrary<std::uint64_t>());
  const auto Steps = *rc::gen::scale(4.0, genSteps(20, HostCount));
  Totals.Steps_ += Steps.size();
  play(Simulation, Steps);
  Totals.Starts_ += Simulation.Checks_.starts();
}

// Reduced cases of failures that the property test found.

// Guards against a second run of a non-idempotent service, for example when its
// failure domain is taken out. It must be neither moved nor restarted.
TEST(PartitionReplayTest, NonIdempotentServiceIsNotRepeated) {
  FuzzSimulation Simulation(1);
  play(Simulation, {{3, 1, 27}, {13, 0, 3}});
}

// Guards against starting a task above a limit that was lowered while an outage
// stalled the commit of the assignment.
TEST(PartitionReplayTest, LimitThatFellDuringAStalledCommitStopsTheStart) {
  FuzzSimulation Simulation(115);
  play(Simulation,
       {{3, 1, 0}, {12, 1, 0}, {11, 0, 99}, {0, 0, 99}, {0, 0, 99}});
}

// Guards against a team that exceeds its limit after an outage of the table
// service, because one partition could not see the grants of another.
TEST(PartitionReplayTest, TheLimitHoldsAcrossAnOutage) {
  FuzzSimulation Simulation(867489964);
  play(Simulation, {{3, 0, 0},
                    {3, 0, 0},
                    {12, 0, 87},
                    {3, 0, 0},
                    {3, 0, 11},
                    {3, 0, 59},
                    {11, 0, 79},
                    {0, 0, 64},
                    {0, 0, 93}});
}

// Guards against reporting "not run" for a job that ran. The cancellation was
// reported before it was committed, and the next owner ran the job.
TEST(PartitionReplayTest, CancelIsToldOnlyOnceItIsStored) {
  FuzzSimulation Simulation(14178541113);
  play(Simulation, {{3, 0, 1},
                    {8, 0, 0},
                    {3, 0, 0},
                    {0, 0, 51},
                    {6, 0, 0},
                    {7, 0, 2},
                    {3, 0, 0},
                    {8, 1, 55}});
}

// Guards against a query that waits for the cancellation of a call and then
// gets a state from before the end of the call.
TEST(PartitionReplayTest, QueryAfterACancelSeesTheEnd) {
  FuzzSimulation Simulation(1069331055687);
  play(Simulation, {{8, 2, 0},
                    {0, 0, 80},
                    {3, 0, 0},
                    {3, 0, 2},
                    {8, 0, 50},
                    {0, 0, 99},
                    {7, 0, 37},
                    {6, 0, 0}});
}

} // namespace
} // namespace oleandergauge
