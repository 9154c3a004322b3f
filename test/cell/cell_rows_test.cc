#include <gtest/gtest.h>

#include "cell_world.h"

namespace oleandergauge::cell::test {
namespace {

const std::string JobId = "00000000000000aa";
const std::string OtherId = "00000000000000bb";
constexpr std::uint32_t Occurrences = 200;
constexpr std::uint32_t StepsPerOccurrence = 3;
constexpr Millis Interval = 100;
constexpr std::size_t SmallRow = 1024;

/// A cell whose store accepts small rows only, and whose tasks are short. Each
/// transaction is checked against the limits of the store.
CellSimulation cellWithSmallRows(std::size_t WorkerCount = 4) {
  CellSimulation Sim(1, WorkerCount);
  Sim.Bounds_.RowBytes_ = SmallRow;
  Sim.TaskBehaviour_ = [](const std::string &) {
    return std::pair(Millis{40}, false);
  };
  Sim.takeOver();
  Sim.run(300);
  return Sim;
}

/// The same with slow transactions and workers for one task each. These report
/// ends at different times, so that each transaction has some.
CellSimulation cellWithOneTaskPerWorker() {
  constexpr std::size_t Workers = 20;
  CellSimulation Sim = cellWithSmallRows(Workers);
  Sim.CommitTime_ = 60;
  for (std::size_t At = 0; At < Workers; ++At)
    Sim.worker(At).Capacity_.CpuMilli_ = 100;
  Sim.run(300);
  return Sim;
}

/// A schedule that is due now, of steps without an order among them.
JobSpec schedule(const CellSimulation &Sim) {
  JobSpec Out = simpleJob(1, 100);
  Out.Steps_.resize(StepsPerOccurrence, Out.Steps_.front());
  Out.Occurrences_ = Occurrences;
  Out.FirstDue_ = Sim.wall();
  Out.Interval_ = Interval;
  return Out;
}

std::size_t rowsOf(const CellSimulation &Sim, const char *Table) {
  return static_cast<std::size_t>(
      std::count_if(Sim.Rows_.begin(), Sim.Rows_.end(), [&](const auto &Each) {
        return Each.first.first == Table;
      }));
}

std::string firstTaskOf(const std::string &Job) { return Job + ".0.0.0"; }

bool isRunning(CellSimulation &Sim, const std::string &Task) {
  for (std::size_t At = 0; At < Sim.workerCount(); ++At)
    if (Sim.worker(At).Runs_.count(Task) != 0)
      return true;
  return false;
}

/// Whether a transaction contains rows of a job's progress, but not its first
/// one.
bool holdsFurtherRowsOnly(const Commit &Each, const std::string &Job) {
  bool Out = false;
  for (const RowChange &Row : Each.Changes_) {
    if (Row.Table_ != ProgressTable)
      continue;
    if (Row.Key_ == Job)
      return false;
    Out = Out || (Row.Value_ && Row.Key_.rfind(Job + ".", 0) == 0);
  }
  return Out;
}

/// Submits jobs that no worker has room for. They fill a transaction up to the
/// row that stays free for one job's progress.
void submitWaitingJobs(CellSimulation &Sim) {
  constexpr int Jobs = 20;
  for (int At = 0; At < Jobs; ++At)
    Sim.submit("waiting" + std::to_string(Sim.nextCaller()),
               simpleJob(1, 100000));
}

/// Runs until the given number of transactions after the end of \p Long had
/// further rows of its job only. Returns that number, or less after 500 ms.
int storeFurtherRowsOnly(CellSimulation &Sim, const std::string &Long,
                         int Transactions) {
  constexpr int Ticks = 100;
  int Out = 0;
  Sim.BeforeTick_ = [&] { submitWaitingJobs(Sim); };
  Sim.Rejects_ = [&](const Commit &Each) {
    if (!isRunning(Sim, Long) && holdsFurtherRowsOnly(Each, JobId))
      ++Out;
    return false;
  };
  for (int Tick = 0; Tick < Ticks && Out < Transactions; ++Tick)
    Sim.run(5);
  Sim.BeforeTick_ = nullptr;
  Sim.Rejects_ = nullptr;
  return Out;
}

void expectNoViolation(const CellSimulation &Sim) {
  EXPECT_TRUE(Sim.violations().empty()) << Sim.violations().front();
}

// Guards against a store that takes no write of anybody any more, because the
// progress of one schedule has outgrown a row.
TEST(CellRows, ALongScheduleRunsToItsEndBesideOtherJobs) {
  CellSimulation Sim = cellWithSmallRows();
  Sim.submit(JobId, schedule(Sim), "fast");
  Sim.run(Occurrences * Interval * 3 / 4);
  Sim.submit(OtherId, simpleJob(2, 100), "fast");
  Sim.run(1000);
  EXPECT_EQ(Sim.stateOf(OtherId), JobState::Complete);
  Sim.run(Occurrences * Interval / 2);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete);
  EXPECT_EQ(Sim.starts(), Occurrences * StepsPerOccurrence + 2);
  expectNoViolation(Sim);
}

// Guards against finished occurrences that a next owner runs again, since they
// have no entries of their own.
TEST(CellRows, ANextOwnerContinuesALongSchedule) {
  CellSimulation Sim = cellWithSmallRows();
  Sim.submit(JobId, schedule(Sim), "fast");
  for (int Owner = 0; Owner < 3; ++Owner) {
    Sim.run(Occurrences * Interval / 4);
    Sim.killOwner();
    Sim.run(300);
    Sim.takeOver();
  }
  Sim.run(Occurrences * Interval);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete);
  EXPECT_EQ(Sim.starts(), Occurrences * StepsPerOccurrence);
  expectNoViolation(Sim);
}

// Guards against a row that grows behind an occurrence that does not end, and
// against rows that are left when the job has ended.
TEST(CellRows, ProgressBehindALongOccurrenceIsDividedIntoRows) {
  CellSimulation Sim = cellWithSmallRows();
  Sim.TaskBehaviour_ = [](const std::string &Task) {
    const bool Long = Task == firstTaskOf(JobId);
    return std::pair(Millis{Long ? 15000 : 40}, false);
  };
  Sim.submit(JobId, schedule(Sim), "fast");
  Sim.run(Occurrences * Interval / 2);
  EXPECT_GT(rowsOf(Sim, ProgressTable), 2U);
  Sim.killOwner();
  Sim.takeOver();
  Sim.run(Occurrences * Interval);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete);
  EXPECT_EQ(Sim.starts(), Occurrences * StepsPerOccurrence);
  Sim.run(2000);
  EXPECT_EQ(rowsOf(Sim, ProgressTable), 0U);
  expectNoViolation(Sim);
}

// Guards against finished occurrences that run again, since they count as
// stored while the store has other rows of the job, but not the one that states
// their number: later rows then leave them out.
TEST(CellRows, OccurrencesAreNotStoredAsDoneBeforeTheRowThatStatesThem) {
  constexpr Millis ShortInterval = 20;
  constexpr Millis LongTask = 2400;
  constexpr int Transactions = 3;
  CellSimulation Sim = cellWithOneTaskPerWorker();
  const std::string Long = firstTaskOf(JobId);
  Sim.TaskBehaviour_ = [&](const std::string &Task) {
    return std::pair(Millis{Task == Long ? LongTask : 40}, false);
  };
  JobSpec Spec = schedule(Sim);
  Spec.Interval_ = ShortInterval;
  Sim.submit(JobId, Spec, "fast");
  Sim.run(LongTask - 200);
  ASSERT_TRUE(isRunning(Sim, Long));
  ASSERT_GT(rowsOf(Sim, ProgressTable), 2U);
  EXPECT_EQ(storeFurtherRowsOnly(Sim, Long, Transactions), Transactions);
  Sim.killOwner();
  const auto First = decodeProgress(Sim.Rows_.at({ProgressTable, JobId}));
  ASSERT_TRUE(First);
  ASSERT_EQ(First->DoneOccurrences_, 0U);
  Sim.takeOver();
  Sim.run(Occurrences * ShortInterval + 5000);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete);
  EXPECT_EQ(Sim.starts(), Occurrences * StepsPerOccurrence);
  expectNoViolation(Sim);
}

// Guards against rows that grow with the failed attempts of many tasks, and
// against attempts that a next owner does not count.
TEST(CellRows, FailuresOfManyTasksAreDividedIntoRows) {
  CellSimulation Sim = cellWithSmallRows();
  std::map<std::string, int> Runs;
  Sim.TaskBehaviour_ = [&Runs](const std::string &Task) {
    return std::pair(Millis{100}, ++Runs[Task] == 1);
  };
  constexpr std::uint32_t Tasks = 400;
  Sim.submit(JobId, simpleJob(Tasks, 100), "fast");
  Sim.run(700);
  EXPECT_GT(rowsOf(Sim, ProgressTable), 1U);
  Sim.killOwner();
  Sim.takeOver();
  Sim.run(20000);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete);
  EXPECT_EQ(Sim.starts(), 2 * Tasks);
  expectNoViolation(Sim);
}

// Guards against a job that is ended because the failures of one task need more
// than the usual size of a divided row, though not more than a row may have.
TEST(CellRows, TheFailuresOfOneTaskMayFillARow) {
  CellSimulation Sim(1);
  Sim.Bounds_.RowBytes_ = 12000;
  Sim.setAttempts(100000);
  std::map<std::string, int> Runs;
  Sim.TaskBehaviour_ = [&Runs](const std::string &Task) {
    return std::pair(Millis{20}, ++Runs[Task] <= 1400);
  };
  Sim.takeOver();
  Sim.run(300);
  Sim.submit(JobId, simpleJob(2, 100), "fast");
  constexpr std::size_t Starts = 2802;
  for (int Second = 0; Second < 400 && Sim.starts() < Starts; ++Second)
    Sim.run(1000);
  Sim.run(1000);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete);
  EXPECT_EQ(Sim.starts(), Starts);
  expectNoViolation(Sim);
}

// Guards against the same without an end: a task whose failures exceed a row
// ends its job, and others go on.
TEST(CellRows, AJobEndsWhenTheFailuresOfOneTaskExceedARow) {
  CellSimulation Sim = cellWithSmallRows();
  Sim.killOwner();
  Sim.setAttempts(100000);
  Sim.TaskBehaviour_ = [](const std::string &Task) {
    return std::pair(Millis{20}, Task.rfind(JobId, 0) == 0);
  };
  Sim.takeOver();
  Sim.submit(JobId, simpleJob(2, 100), "fast");
  Sim.run(60000);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Failed);
  Sim.submit(OtherId, simpleJob(2, 100), "fast");
  Sim.run(1000);
  EXPECT_EQ(Sim.stateOf(OtherId), JobState::Complete);
  expectNoViolation(Sim);
}

// Guards against a gang that runs again in part, since only a part of its rows
// was stored before the owner was gone: one end represents all members.
TEST(CellRows, AGangIsDoneIfOneOfItsRowsSaysSo) {
  CellSimulation Sim = cellWithSmallRows();
  Sim.TaskBehaviour_ = [](const std::string &) {
    return std::pair(Millis{60000}, false);
  };
  JobSpec Gang = simpleJob(8, 100);
  Gang.Steps_.front().Gang_ = true;
  Sim.submit(JobId, Gang, "fast");
  Sim.run(500);
  Sim.killOwner();
  Sim.Rows_[{ProgressTable, JobId + ".4"}] =
      encode(JobProgress{{{0, 0, {true, true, true, true}, {}, 4}}, 0});
  Sim.takeOver();
  Sim.run(1000);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete);
  expectNoViolation(Sim);
}

// Guards against rows of ended jobs that stay, and against their use for a
// later job of the same id, if the owner is gone before it has removed them.
TEST(CellRows, ANextOwnerRemovesRowsOfEndedJobs) {
  CellSimulation Sim = cellWithSmallRows();
  Sim.killOwner();
  Sim.Rows_[{ProgressTable, JobId + ".40"}] =
      encode(JobProgress{{{0, 0, {true}, {}, 40}}, 0});
  Sim.takeOver();
  Sim.run(2000);
  EXPECT_EQ(rowsOf(Sim, ProgressTable), 0U);
}

// Guards against a row of ended jobs that is too large, since many jobs with
// long names end at once.
TEST(CellRows, JobsThatEndTogetherAreDividedIntoRows) {
  CellSimulation Sim = cellWithSmallRows();
  Sim.TaskBehaviour_ = [](const std::string &) {
    return std::pair(Millis{60000}, false);
  };
  constexpr int Jobs = 300;
  for (int At = 0; At < Jobs; ++At)
    Sim.submit(std::string(60, 'j') + std::to_string(At), simpleJob(1, 4000));
  Sim.run(2000);
  for (int At = 0; At < Jobs; ++At)
    Sim.cancel(std::string(60, 'j') + std::to_string(At));
  Sim.run(3000);
  EXPECT_EQ(Sim.CancelledAt_.size(), static_cast<std::size_t>(Jobs));
  EXPECT_GT(rowsOf(Sim, EndedTable), 1U);
  expectNoViolation(Sim);
}

// Guards against a job that is accepted although its row is too large for the
// store, which then takes no write of anybody any more.
TEST(CellRows, AJobThatIsLargerThanARowIsRefusedAtOnce) {
  CellSimulation Sim = cellWithSmallRows();
  JobSpec Large = simpleJob(1, 100);
  Large.Steps_.resize(100, Large.Steps_.front());
  Sim.submit(JobId, Large, "fast");
  EXPECT_EQ(Sim.TooLarge_.count(JobId), 1U);
  Sim.submit(OtherId, simpleJob(2, 100), "fast");
  Sim.run(1000);
  EXPECT_EQ(Sim.stateOf(OtherId), JobState::Complete);
  EXPECT_EQ(Sim.stateOf(JobId), std::nullopt);
  EXPECT_EQ(Sim.starts(), 2U);
  expectNoViolation(Sim);
}

// Guards against a refusal of jobs that fit: the size is first estimated.
TEST(CellRows, AJobThatJustFitsIntoARowIsAccepted) {
  CellSimulation Sim = cellWithSmallRows();
  JobSpec Large = simpleJob(1, 100);
  Large.Steps_.resize(60, Large.Steps_.front());
  const JobRecord Record{Large, "fast", "team", Sim.wall()};
  ASSERT_GT(encode(Record).size(), SmallRow / 2);
  ASSERT_LT(encode(Record).size(), SmallRow);
  Sim.submit(JobId, Large, "fast");
  Sim.run(3000);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete);
  expectNoViolation(Sim);
}

// Guards against a list of workers that is too large for a row, and against
// rows of it that stay when the list becomes shorter.
TEST(CellRows, ManyWorkersAreDividedIntoRows) {
  CellSimulation Sim(1, 300);
  Sim.Bounds_.RowBytes_ = SmallRow;
  Sim.takeOver();
  Sim.run(1000);
  EXPECT_GT(rowsOf(Sim, WorkersTable), 1U);
  Sim.killOwner();
  Sim.takeOver();
  Sim.run(1000);
  for (std::size_t At = 10; At < Sim.workerCount(); ++At)
    Sim.setListed("w" + std::to_string(At), false);
  Sim.run(2000);
  EXPECT_EQ(rowsOf(Sim, WorkersTable), 1U);
  expectNoViolation(Sim);
}

} // namespace
} // namespace oleandergauge::cell::test
