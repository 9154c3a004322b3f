#include <gtest/gtest.h>

#include "cell_world.h"

namespace oleandergauge::cell::test {
namespace {

const std::string JobId = "00000000000000aa";
const std::string OtherId = "00000000000000bb";
constexpr Millis Minute = 60000;
constexpr std::uint32_t MinutesOfAYear = 365 * 24 * 60;
constexpr std::size_t StepsPerOccurrence = 3;
constexpr std::size_t MaxOpenOccurrences = 256;

/// A schedule of three steps a minute, one after another, that began \p Ago
/// minutes ago.
JobSpec overdueSchedule(const CellSimulation &Sim, std::uint32_t Ago) {
  JobSpec Out = simpleJob(1, 100);
  Out.Steps_.resize(StepsPerOccurrence, Out.Steps_.front());
  Out.Steps_[1].After_ = {0};
  Out.Steps_[2].After_ = {1};
  Out.Occurrences_ = 1000000;
  Out.FirstDue_ = Sim.wall() - Millis{Ago} * Minute;
  Out.Interval_ = Minute;
  return Out;
}

CellStats statsOf(CellSimulation &Sim) { return Sim.cell().stats(Sim.now()); }

void expectNoViolation(const CellSimulation &Sim) {
  EXPECT_TRUE(Sim.violations().empty()) << Sim.violations().front();
}

/// Starts an owner whose tasks take the given time.
void takeOverWithTasksOf(CellSimulation &Sim, Millis Work) {
  Sim.TaskBehaviour_ = [Work](const std::string &) {
    return std::pair(Work, false);
  };
  Sim.takeOver();
  Sim.run(300);
}

// Guards against an owner that exceeds its memory, since it keeps the steps of
// each occurrence that is due, and against other work that waits behind them.
TEST(CellSchedule, AScheduleThatBeganAYearAgoOpensFewOccurrences) {
  CellSimulation Sim(1);
  // Done occurrences are kept until the row of the job's progress is full.
  Sim.Bounds_.RowBytes_ = 4096;
  takeOverWithTasksOf(Sim, 100);
  Sim.submit(JobId, overdueSchedule(Sim, MinutesOfAYear), "fast");
  Sim.run(2000);
  EXPECT_LE(statsOf(Sim).OpenSteps_,
            2 * MaxOpenOccurrences * StepsPerOccurrence);
  Sim.submit(OtherId, simpleJob(4, 1000), "fast");
  Sim.run(1000);
  EXPECT_EQ(Sim.stateOf(OtherId), JobState::Complete);
  expectNoViolation(Sim);
}

// Guards against a stall of the owner, and of each next one, by the opening of
// very many occurrences, and against some that are left out.
TEST(CellSchedule, AnOverdueScheduleRunsToItsEndInParts) {
  constexpr std::uint32_t Overdue = 3500;
  CellSimulation Sim(1);
  takeOverWithTasksOf(Sim, 20);
  JobSpec Spec = simpleJob(1, 100);
  Spec.Occurrences_ = Overdue;
  Spec.FirstDue_ = Sim.wall() - Overdue * Minute;
  Spec.Interval_ = Minute;
  Sim.submit(JobId, Spec, "fast");
  std::size_t Most = 0;
  for (int Tick = 0; Tick < 8000; ++Tick) {
    Sim.run(5);
    Most = std::max(Most, statsOf(Sim).WaitingSteps_);
  }
  EXPECT_LE(Most, MaxOpenOccurrences);
  EXPECT_EQ(Sim.starts(), Overdue);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete);
  expectNoViolation(Sim);
}

} // namespace
} // namespace oleandergauge::cell::test
