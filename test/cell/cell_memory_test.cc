#include <gtest/gtest.h>

#include "cell/occurrence_set.h"
#include "cell/work_memory.h"
#include "cell_world.h"

namespace oleandergauge::cell::test {
namespace {

using detail::MemoryVerdict;
using detail::OccurrenceSet;
using detail::WorkMemory;

const std::string JobId = "00000000000000aa";
const std::string OtherId = "00000000000000bb";
constexpr Millis Minute = 60000;
constexpr std::uint32_t MinutesOfAYear = 365 * 24 * 60;
constexpr std::size_t StepsPerOccurrence = 3;
constexpr std::size_t MaxOpenSteps = 256 * StepsPerOccurrence;

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

std::string jobName(int Number) {
  char Out[17];
  std::snprintf(Out, sizeof Out, "1%015x", static_cast<unsigned>(Number));
  return Out;
}

// Guards against an owner that exceeds its memory, since it keeps the steps of
// every occurrence that is due, and against fresh work that waits behind them.
TEST(CellMemory, AScheduleThatBeganAYearAgoOpensFewOccurrences) {
  CellSimulation Sim(1);
  std::set<std::string> Tasks;
  Sim.TaskBehaviour_ = [&Tasks](const std::string &Task) {
    Tasks.insert(Task);
    return std::pair(Millis{100}, false);
  };
  Sim.takeOver();
  Sim.run(300);
  Sim.submit(JobId, overdueSchedule(Sim, MinutesOfAYear), "fast");
  Sim.run(2000);
  EXPECT_LE(statsOf(Sim).OpenSteps_, MaxOpenSteps);
  Sim.submit(OtherId, simpleJob(4, 1000), "fast");
  Sim.run(1000);
  EXPECT_EQ(Sim.stateOf(OtherId), JobState::Complete);
  EXPECT_EQ(Tasks.count(JobId + ".525600.2.0"), 1U);
  EXPECT_EQ(Tasks.count(JobId + ".0.2.0"), 1U);
  expectNoViolation(Sim);
}

// Guards against a stall of the owner by the opening of very many occurrences,
// and against some that are left out.
TEST(CellMemory, AnOverdueScheduleRunsToItsEndInParts) {
  constexpr std::uint32_t Overdue = 3500;
  CellSimulation Sim(1);
  Sim.TaskBehaviour_ = [](const std::string &) {
    return std::pair(Millis{20}, false);
  };
  Sim.takeOver();
  Sim.run(300);
  JobSpec Spec = simpleJob(1, 100);
  Spec.Occurrences_ = Overdue;
  Spec.FirstDue_ = Sim.wall() - Overdue * Minute;
  Spec.Interval_ = Minute;
  Sim.submit(JobId, Spec, "fast");
  std::size_t Most = 0;
  for (int Tick = 0; Tick < 8000; ++Tick) {
    Sim.run(5);
    Most = std::max(Most, statsOf(Sim).OpenSteps_);
  }
  EXPECT_LE(Most, 256U);
  EXPECT_EQ(Sim.starts(), Overdue);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete);
  expectNoViolation(Sim);
}

// Guards against the same through many schedules, each of which is within its
// own limit.
TEST(CellMemory, ManyOverdueSchedulesShareTheMemory) {
  constexpr int Schedules = 100;
  CellSimulation Sim(1);
  Sim.TaskBehaviour_ = [](const std::string &) {
    return std::pair(Millis{20}, false);
  };
  Sim.Bounds_.MemoryBytes_ = 32 * BytesPerMib;
  Sim.takeOver();
  Sim.run(300);
  for (int At = 0; At < Schedules; ++At)
    Sim.submit(jobName(At), overdueSchedule(Sim, MinutesOfAYear), "fast");
  Sim.run(2000);
  const CellStats Stats = statsOf(Sim);
  EXPECT_EQ(Sim.Accepted_.size(), static_cast<std::size_t>(Schedules));
  EXPECT_LE(Stats.WorkMemoryHeld_, Stats.WorkMemoryLimit_);
  EXPECT_LT(Stats.OpenSteps_, Schedules * MaxOpenSteps / 2);
  Sim.submit(OtherId, simpleJob(4, 1000), "fast");
  Sim.run(1000);
  EXPECT_EQ(Sim.stateOf(OtherId), JobState::Complete);
  expectNoViolation(Sim);
}

// Guards against an occurrence that does not end and holds up the others, and
// against done ones that stay in memory behind it.
TEST(CellMemory, AnOccurrenceThatDoesNotEndHoldsUpNoOthers) {
  constexpr std::uint32_t Occurrences = 2000;
  CellSimulation Sim(1);
  std::set<std::string> Tasks;
  Sim.TaskBehaviour_ = [&Tasks](const std::string &Task) {
    Tasks.insert(Task);
    return std::pair(Millis{Task == JobId + ".0.0.0" ? 100000 : 20}, false);
  };
  Sim.takeOver();
  Sim.run(300);
  JobSpec Spec = simpleJob(1, 100);
  Spec.Occurrences_ = Occurrences;
  Spec.FirstDue_ = Sim.wall();
  Spec.Interval_ = 20;
  Sim.submit(JobId, Spec, "fast");
  Sim.run(Occurrences * 20 + 5000);
  EXPECT_EQ(Tasks.size(), Occurrences);
  EXPECT_LE(statsOf(Sim).OpenSteps_, 2U);
  Sim.run(60000);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete);
  EXPECT_EQ(Sim.starts(), Occurrences);
  expectNoViolation(Sim);
}

// Guards against a next owner that opens all occurrences before one that a
// stored row or a worker names far ahead, and against a finished step that runs
// again in it.
TEST(CellMemory, ANextOwnerOpensAnOccurrenceFarAheadAlone) {
  constexpr std::uint32_t FarAhead = 400000;
  CellSimulation Sim(1);
  std::set<std::string> Tasks;
  Sim.TaskBehaviour_ = [&Tasks](const std::string &Task) {
    Tasks.insert(Task);
    return std::pair(Millis{3000}, false);
  };
  Sim.takeOver();
  Sim.run(300);
  Sim.submit(JobId, overdueSchedule(Sim, MinutesOfAYear), "fast");
  Sim.run(1000);
  Sim.killOwner();
  Tasks.clear();
  Sim.Rows_[{ProgressTable, JobId}] =
      encode(JobProgress{{{FarAhead, 0, {true}, {}, 0}}, FarAhead});
  FakeWorker::ActiveRun Named;
  Named.Attempt_ = 1;
  Named.Need_ = simpleJob(1, 100).Steps_.front().Need_;
  Named.RemainingWork_ = 2000;
  Sim.worker(0).Runs_[JobId + ".500000.0.0"] = Named;
  Sim.takeOver();
  Sim.run(12000);
  EXPECT_LE(statsOf(Sim).OpenSteps_, MaxOpenSteps + StepsPerOccurrence);
  EXPECT_EQ(Tasks.count(JobId + ".400000.0.0"), 0U);
  EXPECT_EQ(Tasks.count(JobId + ".400000.1.0"), 1U);
  EXPECT_EQ(Tasks.count(JobId + ".500000.0.0"), 0U);
}

// Guards against done occurrences that run again under a next owner, since they
// lie behind others that are not done.
TEST(CellMemory, ANextOwnerKnowsDoneOccurrencesBehindAnOpenOne) {
  constexpr std::uint32_t Occurrences = 400;
  CellSimulation Sim(1);
  Sim.TaskBehaviour_ = [](const std::string &Task) {
    return std::pair(Millis{Task == JobId + ".3.0.0" ? 30000 : 20}, false);
  };
  Sim.Bounds_.RowBytes_ = 1024;
  Sim.takeOver();
  Sim.run(300);
  JobSpec Spec = simpleJob(2, 100);
  Spec.Occurrences_ = Occurrences;
  Spec.FirstDue_ = Sim.wall() - Occurrences * Minute / 2;
  Spec.Interval_ = Minute / 2;
  Sim.submit(JobId, Spec, "fast");
  for (int Owner = 0; Owner < 4; ++Owner) {
    Sim.run(2500); // Longer than a renewal waits, so that leases are extended.
    Sim.killOwner();
    Sim.run(200);
    Sim.takeOver();
  }
  Sim.run(60000);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete);
  EXPECT_EQ(Sim.starts(), 2 * Occurrences);
  expectNoViolation(Sim);
}

// Guards against accepted jobs that together exceed the owner's memory. The
// refusal is true, and there is room again once the others have ended.
TEST(CellMemory, JobsBeyondTheMemoryAreRefusedAndNeverRun) {
  CellSimulation Sim(1);
  Sim.Admission_ = false;
  Sim.Bounds_.MemoryBytes_ = 4 * BytesPerMib;
  Sim.takeOver();
  Sim.run(300);
  for (int At = 0; At < 200; ++At)
    Sim.submit(jobName(At), simpleJob(100, 100000), "slow");
  Sim.run(1000);
  EXPECT_FALSE(Sim.Accepted_.empty());
  ASSERT_FALSE(Sim.Refused_.empty());
  EXPECT_GT(Sim.RetryTimes_.front(), 0);
  const CellStats Stats = statsOf(Sim);
  EXPECT_LE(Stats.WorkMemoryHeld_, Stats.WorkMemoryLimit_);
  EXPECT_EQ(Stats.RefusedForMemory_, Sim.Refused_.size());
  for (const std::string &Id : Sim.Refused_)
    EXPECT_EQ(Sim.stateOf(Id), std::nullopt);
  for (const std::string &Id : std::set<std::string>(Sim.Accepted_))
    Sim.cancel(Id);
  Sim.run(1000);
  EXPECT_EQ(statsOf(Sim).WorkMemoryHeld_, 0U);
  Sim.submit(OtherId, simpleJob(4, 100), "slow");
  Sim.run(2000);
  EXPECT_EQ(Sim.stateOf(OtherId), JobState::Complete);
  expectNoViolation(Sim);
}

// Guards against a job that is told to come back although it can never be
// accepted.
TEST(CellMemory, AJobLargerThanTheMemoryIsRefusedForGood) {
  CellSimulation Sim(1);
  Sim.Bounds_.MemoryBytes_ = 4 * BytesPerMib;
  Sim.takeOver();
  Sim.run(300);
  std::optional<Answer> Seen;
  Sim.ReplyObserver_ = [&Seen](const Reply &Each) { Seen = Each.Answer_; };
  Sim.submit(JobId, simpleJob(100000, 100), "fast");
  EXPECT_EQ(Seen, Answer::TooManyTasks);
  EXPECT_EQ(Sim.stateOf(JobId), std::nullopt);
}

// Guards against a next owner with less memory that opens all that its
// predecessor had accepted, and against jobs that it never opens.
TEST(CellMemory, ANextOwnerWithLessMemoryOpensJobsInTurn) {
  constexpr int Jobs = 60;
  CellSimulation Sim(1);
  Sim.Admission_ = false;
  Sim.TaskBehaviour_ = [](const std::string &) {
    return std::pair(Millis{50}, false);
  };
  Sim.takeOver();
  Sim.run(300);
  for (int At = 0; At < Jobs; ++At)
    Sim.submit(jobName(At), simpleJob(40, 1000), "slow");
  Sim.run(100);
  ASSERT_EQ(Sim.Accepted_.size(), static_cast<std::size_t>(Jobs));
  Sim.killOwner();
  Sim.Bounds_.MemoryBytes_ = BytesPerMib / 2;
  Sim.takeOver();
  Sim.run(1000);
  EXPECT_LT(statsOf(Sim).OpenTasks_, Jobs * 40U / 2);
  Sim.run(60000);
  for (int At = 0; At < Jobs; ++At)
    EXPECT_EQ(Sim.stateOf(jobName(At)), JobState::Complete) << At;
  expectNoViolation(Sim);
}

// Guards against one team that keeps the others from submitting.
TEST(WorkMemory, LeavesRoomForOtherTeams) {
  WorkMemory Memory(1000);
  EXPECT_EQ(Memory.judge("a", 501), MemoryVerdict::TooLarge);
  Memory.change("a", 0, 500);
  EXPECT_EQ(Memory.judge("a", 1), MemoryVerdict::Full);
  EXPECT_EQ(Memory.judge("b", 500), MemoryVerdict::Fits);
  EXPECT_FALSE(Memory.mayOpenFurther("a", 1));
  EXPECT_TRUE(Memory.mayOpenFurther("b", 200));
  Memory.change("b", 0, 400);
  EXPECT_EQ(Memory.judge("b", 101), MemoryVerdict::Full);
  EXPECT_FALSE(Memory.mayOpenFurther("b", 1));
}

// Guards against ranges that are not merged and against gaps that get lost.
TEST(OccurrenceSetTest, KeepsRanges) {
  OccurrenceSet Set;
  Set.add(5);
  Set.add(7, 10);
  EXPECT_EQ(Set.firstMissing(5), 6U);
  EXPECT_EQ(Set.firstContained(6), 7U);
  EXPECT_EQ(Set.firstContained(10), std::nullopt);
  EXPECT_FALSE(Set.contains(6));
  Set.add(6);
  EXPECT_EQ(Set.ranges(), 1U);
  EXPECT_EQ(Set.size(), 5U);
  Set.add(0, 20);
  EXPECT_EQ(Set.ranges(), 1U);
  EXPECT_EQ(Set.size(), 20U);
  Set.add(3, 8);
  EXPECT_EQ(Set.size(), 20U);
  EXPECT_EQ(Set.firstMissing(0), 20U);
}

} // namespace
} // namespace oleandergauge::cell::test
