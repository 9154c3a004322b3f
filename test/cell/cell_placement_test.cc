#include <gtest/gtest.h>

#include "cell_world.h"

namespace oleandergauge::cell::test {
namespace {

const std::string JobId = "00000000000000aa";

std::string numberedId(int Number) {
  char Out[17];
  std::snprintf(Out, sizeof Out, "%016x", Number);
  return Out;
}

std::pair<Millis, bool> run10Seconds(const std::string &) {
  return {Millis{10000}, false};
}

JobSpec checkpointedJob(std::uint32_t Count, std::int64_t Cpu) {
  JobSpec Out = simpleJob(Count, Cpu);
  Out.Steps_[0].Checkpointed_ = true;
  return Out;
}

/// Submits \p Count jobs that no worker can run and that stay more urgent than
/// jobs with a longer estimate.
void submitHopelessJobs(CellSimulation &Sim, int Count,
                        const std::string &Queue) {
  JobSpec Hopeless = simpleJob(1, 500);
  Hopeless.Steps_[0].RequiredLabel_ = "nowhere";
  Hopeless.Steps_[0].Estimate_ = 100000;
  for (int At = 0; At < Count; ++At)
    Sim.submit(numberedId(1000 + At), Hopeless, Queue);
  Sim.run(3000);
}

/// Returns the most steps that are examined within a tick of the simulation.
std::uint64_t mostStepsExaminedPerTick(CellSimulation &Sim, int Ticks) {
  std::uint64_t Most = 0;
  for (int At = 0; At < Ticks; ++At) {
    const std::uint64_t Before = Sim.cell().stats(Sim.now()).StepsExamined_;
    Sim.run(5);
    Most = std::max(Most, Sim.cell().stats(Sim.now()).StepsExamined_ - Before);
  }
  return Most;
}

// Guards against passes whose work grows with the backlog, so that an owner
// with a backlog spends its time on steps that cannot start.
TEST(CellPlacement, ExaminesABoundedNumberOfStepsInAPass) {
  CellSimulation Sim(1);
  Sim.takeOver();
  Sim.run(300);
  submitHopelessJobs(Sim, 2000, "slow");
  EXPECT_GE(Sim.cell().stats(Sim.now()).WaitingSteps_, 2000U);
  EXPECT_LE(mostStepsExaminedPerTick(Sim, 100), 800U);
}

// Guards against a bound on the work of a pass that lets steps which fit wait
// behind steps which no worker can run.
TEST(CellPlacement, StartsAStepBehindManyThatDoNotFit) {
  for (const std::string Queue : {"slow", "advised"}) {
    CellSimulation Sim(1);
    Sim.takeOver();
    Sim.run(300);
    submitHopelessJobs(Sim, 2000, Queue);
    JobSpec Fitting = simpleJob(1, 500);
    Fitting.Steps_[0].Estimate_ = 200000;
    Sim.submit(JobId, Fitting, Queue);
    Sim.run(500);
    EXPECT_EQ(Sim.starts(), 1U) << Queue;
  }
}

// Guards against a finished backlog that stays in the set of waiting steps, and
// against a bound on passes that keeps a cell with much work from filling its
// workers in order of urgency.
TEST(CellPlacement, StartsTheMostUrgentStepsOfALongBacklogFirst) {
  CellSimulation Sim(1);
  Sim.TaskBehaviour_ = [](const std::string &) {
    return std::pair(Millis{100}, false);
  };
  Sim.takeOver();
  Sim.run(300);
  submitHopelessJobs(Sim, 100, "slow");
  for (int At = 0; At < 150; ++At) {
    JobSpec Each = simpleJob(1, 2000);
    // Later jobs are more urgent.
    Each.Steps_[0].Estimate_ = 300000 - 1000 * At;
    Sim.submit(numberedId(10000 + At), Each);
  }
  Sim.run(1500);
  std::size_t Urgent = 0;
  std::size_t Others = 0;
  for (int At = 0; At < 150; ++At)
    (At < 100 ? Others : Urgent) +=
        Sim.stateOf(numberedId(10000 + At)) == JobState::Complete ? 1 : 0;
  EXPECT_GE(Urgent, 20U);
  EXPECT_LE(Others, Urgent / 4);
  Sim.run(30000);
  EXPECT_EQ(Sim.cell().stats(Sim.now()).WaitingSteps_, 100U);
}

// Guards against passes that follow one another without a pause in an owner
// that is slow, because the pause counts from the start of the pass.
TEST(CellPlacement, PausesFromTheEndOfAPass) {
  Cell Subject("h1", 1, Bounds{});
  auto State = std::make_shared<DesiredState>();
  State->Version_ = 1;
  State->Queues_ = {
      {"q", "h", "/q/", "svc", 0, 2, 2, 500, std::nullopt, false}};
  Millis Now = 1000;
  Subject.setDesiredState(Now, State);
  StoredCell Stored;
  Stored.Jobs_.emplace_back(
      JobId, encode(JobRecord{simpleJob(1, 500), "q", "team", 1000000}));
  Subject.restore(Now, 1000000, Stored);
  constexpr Millis PassTime = 40;
  constexpr int Calls = 50;
  int Passes = 0;
  for (int At = 0; At < Calls; ++At) {
    const std::uint64_t Before = Subject.stats(Now).StepsExamined_;
    Subject.addAdviceHost("agent", 1); // Something to place may have changed.
    Subject.tick(Now, 1000000 + Now);
    const bool Pass = Subject.stats(Now).StepsExamined_ > Before;
    Passes += Pass ? 1 : 0;
    Now += Pass ? PassTime : 5;
  }
  // A pass takes as long as eight of the calls that follow.
  EXPECT_GE(Passes, 4);
  EXPECT_LE(Passes, Calls / 6);
}

// Guards against preemption on further workers while the room that was freed
// for the same tasks is about to become free.
TEST(CellPlacement, PreemptsOnlyAsManyRunsAsItsTasksNeed) {
  CellSimulation Sim(1, 2);
  Sim.TaskBehaviour_ = run10Seconds;
  Sim.takeOver();
  Sim.run(300);
  Sim.submit(numberedId(1), checkpointedJob(8, 900));
  Sim.run(500);
  ASSERT_EQ(Sim.starts(), 8U);
  Sim.submit(JobId, simpleJob(2, 900), "fast");
  Sim.run(2000);
  EXPECT_EQ(Sim.Stops_["preempted"], 2);
  EXPECT_EQ(Sim.starts(), 10U);
}

// Guards against stopping small runs whose room does not matter beside the
// room of a larger one.
TEST(CellPlacement, PreemptsNoRunWhoseRoomIsNotNeeded) {
  CellSimulation Sim(1, 1);
  Sim.TaskBehaviour_ = run10Seconds;
  Sim.takeOver();
  Sim.run(300);
  Sim.submit(numberedId(1), checkpointedJob(1, 2500));
  for (int At = 0; At < 4; ++At)
    Sim.submit(numberedId(10 + At), checkpointedJob(1, 250));
  Sim.run(500);
  ASSERT_EQ(Sim.starts(), 5U);
  Sim.submit(JobId, simpleJob(1, 2500), "fast");
  Sim.run(1000);
  EXPECT_EQ(Sim.Stops_["preempted"], 1);
  EXPECT_EQ(Sim.worker(0).Runs_.count(JobId + ".0.0.0"), 1U);
}

// Guards against asking about, and then preempting on, workers that are full of
// less urgent work while others are free.
TEST(CellPlacement, AsksAboutFreeWorkersBeforeItPreempts) {
  CellSimulation Sim(1, 40);
  for (std::size_t At = 0; At < 40; ++At)
    Sim.worker(At).Capacity_ = {400, 8000, 0, 0, 0};
  Sim.TaskBehaviour_ = run10Seconds;
  Sim.setPriority("advised", 0);
  Sim.takeOver();
  Sim.run(300);
  Sim.submit(numberedId(1), checkpointedJob(20, 350));
  Sim.run(500);
  ASSERT_EQ(Sim.starts(), 20U);
  for (int At = 0; At < 6; ++At) {
    Sim.submit(numberedId(100 + At), simpleJob(1, 300), "advised");
    Sim.run(100);
  }
  Sim.run(1000);
  EXPECT_EQ(Sim.Stops_["preempted"], 0);
  EXPECT_EQ(Sim.starts(), 26U);
}

// Guards against a gang that waits forever, or preempts again and again, where
// its room has to be freed on many workers.
TEST(CellPlacement, FreesTheRoomOfAGangOnce) {
  CellSimulation Sim(1, 8);
  for (std::size_t At = 0; At < 8; ++At)
    Sim.worker(At).Capacity_ = {1000, 8000, 0, 0, 0};
  Sim.TaskBehaviour_ = run10Seconds;
  Sim.takeOver();
  Sim.run(300);
  Sim.submit(numberedId(1), checkpointedJob(16, 400));
  Sim.run(500);
  ASSERT_EQ(Sim.starts(), 16U);
  JobSpec Gang = simpleJob(4, 600);
  Gang.Steps_[0].Gang_ = true;
  Sim.submit(JobId, Gang, "fast");
  Sim.run(1500);
  EXPECT_EQ(Sim.Stops_["preempted"], 4);
  EXPECT_EQ(Sim.starts(), 20U);
}

// Guards against work that can earn nothing any more and stops work that can:
// after an overload, late work would displace later work again and again.
TEST(CellPlacement, PreemptsNothingForWorkWithoutValue) {
  CellSimulation Sim(1, 1);
  const std::string Blocking = numberedId(1);
  const std::string TooLate = numberedId(2);
  const std::string Punctual = numberedId(3);
  Sim.TaskBehaviour_ = [&](const std::string &Task) {
    const bool Blocks = Task.substr(0, Blocking.size()) == Blocking;
    return std::pair(Millis{Blocks ? 8000 : 2000}, false);
  };
  Sim.takeOver();
  Sim.run(300);
  Sim.submit(Blocking, simpleJob(1, 4000), "fast");
  Sim.run(100);
  Sim.submit(TooLate, simpleJob(1, 3500), "fast");
  Sim.run(7800);
  Sim.submit(Punctual, checkpointedJob(1, 3500), "slow");
  Sim.run(1500);
  EXPECT_EQ(Sim.stateOf(Punctual), JobState::Running);
  EXPECT_EQ(Sim.stateOf(TooLate), JobState::Queued);
  EXPECT_EQ(Sim.Stops_["preempted"], 0);
  Sim.run(5000);
  EXPECT_EQ(Sim.stateOf(TooLate), JobState::Complete);
}

} // namespace
} // namespace oleandergauge::cell::test
