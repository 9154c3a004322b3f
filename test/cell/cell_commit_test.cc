#include <gtest/gtest.h>

#include "cell_world.h"

namespace oleandergauge::cell::test {
namespace {

const std::string JobId = "00000000000000aa";
/// Time of five transactions, including the pauses between them.
constexpr Millis FewTransactions = 120;
/// More submissions than the transactions of one step of time can hold.
constexpr int FloodPerStep = 100;
constexpr Millis StepTime = 5;

std::string idOf(const char *Prefix, int At) {
  char Out[17];
  std::snprintf(Out, sizeof Out, "%s%012d", Prefix, At);
  return Out;
}

std::pair<Millis, bool> runForAMinute(const std::string &) {
  return {60000, false};
}

/// Returns a job of steps with one task each that run one after another.
JobSpec chainOf(std::uint32_t Length, std::int64_t Cpu) {
  JobSpec Out = simpleJob(1, Cpu);
  while (Out.Steps_.size() < Length) {
    StepSpec Next = Out.Steps_.front();
    Next.After_ = {static_cast<std::uint32_t>(Out.Steps_.size() - 1)};
    Out.Steps_.push_back(Next);
  }
  return Out;
}

/// Submits more jobs than transactions can store, for \p Span. No worker is
/// large enough for them.
void flood(CellSimulation &Sim, Millis Span) {
  static int Next = 0;
  for (Millis Left = Span; Left > 0; Left -= StepTime) {
    for (int At = 0; At < FloodPerStep; ++At)
      Sim.submit(idOf("f100", Next++), simpleJob(1, 5000));
    Sim.run(StepTime);
  }
}

// Guards against cancels that wait until their callers give up, because each
// transaction is filled with submissions first.
TEST(CellCommit, StoresACancelWhileSubmissionsExceedTransactions) {
  CellSimulation Sim(1);
  Sim.TaskBehaviour_ = runForAMinute;
  Sim.takeOver();
  Sim.run(300);
  Sim.submit(JobId, simpleJob(2, 1000), "fast");
  Sim.run(300);
  flood(Sim, 300);
  Sim.cancel(JobId);
  flood(Sim, FewTransactions);
  EXPECT_EQ(Sim.CancelledAt_.count(JobId), 1U);
}

// Guards against ended jobs that are shown as running, because each
// transaction is filled with submissions first.
TEST(CellCommit, StoresAnEndWhileSubmissionsExceedTransactions) {
  CellSimulation Sim(1);
  Sim.TaskBehaviour_ = [](const std::string &) {
    return std::pair(Millis{600}, false);
  };
  Sim.takeOver();
  Sim.run(300);
  Sim.submit(JobId, simpleJob(2, 1000), "fast");
  Sim.run(300);
  flood(Sim, 300 + 2 * FewTransactions);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete);
}

// Guards against workers' lists of ends that grow without limit, because ends
// are acknowledged only once nothing at all waits to be stored.
TEST(CellCommit, AcknowledgesEndsWhileSubmissionsNeverStop) {
  CellSimulation Sim(1);
  // One task runs on, so that the ends of the others are progress.
  Sim.TaskBehaviour_ = [](const std::string &Task) {
    return std::pair(Millis{Task == JobId + ".0.0.0" ? 60000 : 400}, false);
  };
  Sim.takeOver();
  Sim.run(300);
  Sim.submit(JobId, simpleJob(9, 1000), "fast");
  Sim.run(300);
  flood(Sim, 600);
  EXPECT_EQ(Sim.starts(), 9U);
  for (std::size_t At = 0; At < Sim.workerCount(); ++At)
    EXPECT_TRUE(Sim.worker(At).Ends_.empty()) << At;
}

// Guards against workers' lists of ends that grow without limit, because the
// ends of all workers together exceed one transaction.
TEST(CellCommit, AcknowledgesEndsWhileProgressExceedsTransactions) {
  CellSimulation Sim(1, 40);
  Sim.CommitTime_ = 200;
  Sim.TaskBehaviour_ = [](const std::string &) {
    return std::pair(Millis{100}, false);
  };
  for (std::size_t At = 0; At < Sim.workerCount(); ++At)
    Sim.worker(At).Capacity_ = {200, 8000, 0, 0, 0};
  Sim.takeOver();
  Sim.run(1000);
  for (int At = 0; At < 240; ++At)
    Sim.submit(idOf("f200", At), chainOf(30, 50), "fast");
  Sim.run(3500);
  std::size_t Acknowledging = 0;
  for (std::size_t At = 0; At < Sim.workerCount(); ++At)
    if (!Sim.worker(At).Ends_.empty() &&
        Sim.worker(At).Ends_.front().Number_ > 1)
      ++Acknowledging;
  EXPECT_EQ(Acknowledging, Sim.workerCount());
}

// Guards against submissions that wait for as long as cancels keep coming.
TEST(CellCommit, StoresASubmissionWhileCancelsExceedTransactions) {
  CellSimulation Sim(1);
  Sim.TaskBehaviour_ = runForAMinute;
  Sim.takeOver();
  Sim.run(300);
  constexpr int Jobs = 6000;
  for (int At = 0; At < Jobs; ++At) {
    Sim.submit(idOf("f300", At), simpleJob(1, 4000));
    if (At % 20 == 0)
      Sim.run(StepTime);
  }
  Sim.run(1000);
  ASSERT_EQ(Sim.Accepted_.size(), static_cast<std::size_t>(Jobs));
  for (int At = 0; At < Jobs; ++At)
    Sim.cancel(idOf("f300", At));
  Sim.submit(JobId, simpleJob(1, 1000), "fast");
  Sim.run(FewTransactions);
  EXPECT_EQ(Sim.Accepted_.count(JobId), 1U);
  EXPECT_LT(Sim.CancelledAt_.size(), static_cast<std::size_t>(Jobs));
}

// Guards against transactions of their own for a job that is cancelled before
// its acceptance is stored: both are answered together, without a job row.
TEST(CellCommit, StoresNothingTwiceForAJobCancelledBeforeItIsStored) {
  CellSimulation Sim(1);
  Sim.takeOver();
  Sim.run(300);
  Sim.submit("00000000000000a1", simpleJob(1, 1000)); // Is being stored.
  Sim.submit(JobId, simpleJob(1, 1000));
  Sim.cancel(JobId);
  while (Sim.Accepted_.count(JobId) == 0)
    Sim.run(StepTime);
  EXPECT_EQ(Sim.CancelledAt_.count(JobId), 1U);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Cancelled);
}

// Guards against callers that wait until their timeout for an answer that the
// rate of transactions rules out: such submissions are refused and never run.
TEST(CellCommit, RefusesSubmissionsThatCannotBeStoredInTime) {
  CellSimulation Sim(1);
  Sim.takeOver();
  Sim.run(300);
  Sim.CommitTime_ = 500;
  int Next = 0;
  for (int Step = 0; Step < 400; ++Step) {
    for (int At = 0; At < 8; ++At)
      Sim.submit(idOf("f400", Next++), simpleJob(1, 4000));
    Sim.run(4 * StepTime);
  }
  Sim.run(5000);
  EXPECT_GT(Sim.Refused_.size(), 0U);
  EXPECT_GT(Sim.Accepted_.size(), 400U);
  EXPECT_EQ(Sim.Accepted_.size() + Sim.Refused_.size(),
            static_cast<std::size_t>(Next));
  EXPECT_LT(Sim.longestSubmissionWait(), 2500);
  for (const std::string &Id : Sim.Refused_)
    EXPECT_EQ(Sim.stateOf(Id), std::nullopt);
  for (const Millis Each : Sim.RetryTimes_) {
    EXPECT_GT(Each, 0);
    EXPECT_LE(Each, 3 * Sim.CommitTime_);
  }
}

// Guards against a time to retry that grows with the outage of the store: it
// may answer again at any moment.
TEST(CellCommit, NamesNoRetryTimeWhileTheStoreDoesNotAnswer) {
  CellSimulation Sim(1);
  Sim.takeOver();
  Sim.run(300);
  Sim.setStoreDown(true);
  Sim.submit("00000000000000a1", simpleJob(1, 1000));
  Sim.run(4000);
  Sim.submit(JobId, simpleJob(1, 1000));
  ASSERT_EQ(Sim.Refused_.count(JobId), 1U);
  EXPECT_EQ(Sim.RetryTimes_, std::vector<Millis>{0});
}

} // namespace
} // namespace oleandergauge::cell::test
