// Gangs whose queue allows only a part of the workers, so that room and tickets
// for all members have to be there at the same time.

#include <gtest/gtest.h>

#include "cell_world.h"

namespace oleandergauge::cell::test {
namespace {

const std::string JobId = "00000000000000ac";

/// Cost of advice for long work: a call takes much longer than a start, and a
/// ticket does not last for two calls in a row.
constexpr AdviceCost SlowAdvice{400, 5.8, 1500};
/// Each fourth worker may run a step.
constexpr std::size_t AllowedEvery = 4;
/// Time for messages, transactions and placement passes besides the calls.
constexpr Millis MessageTime = 200;
/// Memory of a task of which only one fits on a worker.
constexpr std::int64_t WholeWorkerMib = 4100;

StepSpec gangStep(std::uint32_t Count) {
  StepSpec Out;
  Out.Count_ = Count;
  Out.Need_ = {100, WholeWorkerMib, 0, 0, 0};
  Out.Estimate_ = 400;
  Out.Gang_ = true;
  return Out;
}

JobSpec taskJob(std::uint32_t Count, std::int64_t MemoryMib) {
  JobSpec Out = simpleJob(Count, 100);
  Out.Steps_[0].Need_.MemoryMib_ = MemoryMib;
  Out.Steps_[0].Checkpointed_ = true;
  return Out;
}

Millis callTime(std::size_t Workers) {
  return static_cast<Millis>(
      SlowAdvice.Base_ + SlowAdvice.PerWorker_ * static_cast<double>(Workers));
}

/// Returns when the first task of the step ran, or nothing within \p Span.
std::optional<Millis> startOf(CellSimulation &Sim, const std::string &Task,
                              Millis Span) {
  for (const Millis End = Sim.now() + Span; Sim.now() < End; Sim.run(5))
    for (std::size_t At = 0; At < Sim.workerCount(); ++At)
      if (Sim.worker(At).Runs_.count(Task) != 0)
        return Sim.now();
  return std::nullopt;
}

/// A cell with many workers, slow advice and many entry hosts to ask.
class CellGangPlan : public ::testing::Test {
protected:
  void start(std::size_t Workers) {
    Sim_ = std::make_unique<CellSimulation>(1, Workers);
    Sim_->limitAdvice(SlowAdvice, AllowedEvery);
    Sim_->setAdviceHosts(40);
    Sim_->TaskBehaviour_ = [](const std::string &) {
      return std::pair(Millis{300}, false);
    };
    Sim_->takeOver();
    Sim_->run(300);
  }
  std::unique_ptr<CellSimulation> Sim_;
};

// Guards against gangs that never hold enough tickets at once, since calls for
// them run one after another while most workers are idle.
TEST_F(CellGangPlan, StartsAWideSecondStepAfterTwoRoundsOfCalls) {
  constexpr std::size_t Workers = 400;
  constexpr std::uint32_t Members = 60;
  start(Workers);
  JobSpec Spec = simpleJob(1, 100);
  Spec.Steps_.push_back(gangStep(Members));
  Spec.Steps_[1].After_ = {0};
  Sim_->submit(JobId, Spec, "advised");
  ASSERT_TRUE(startOf(*Sim_, JobId + ".0.0.0", 5000));
  const Millis Ready = Sim_->now() + 300;
  const auto Started = startOf(*Sim_, JobId + ".0.1.0", 10000);
  ASSERT_TRUE(Started);
  // One round of calls side by side finds the workers that may run the step.
  // One call renews the tickets that it needs.
  const Millis Rounds =
      static_cast<Millis>(2 * SlowAdvice.Base_) + callTime(Members);
  EXPECT_LE(*Started - Ready, Rounds + MessageTime);
  Sim_->run(1000);
  EXPECT_EQ(Sim_->stateOf(JobId), JobState::Complete);
}

// Guards against gangs that never find enough free room at one moment, because
// single tasks take it piece by piece.
TEST_F(CellGangPlan, CollectsRoomWhileSingleTasksComeAndGo) {
  constexpr std::uint32_t Members = 20;
  start(100); // 25 of them may run the gang.
  Sim_->submit(JobId, {"payload", {gangStep(Members)}, 0, 0, 0}, "advised");
  // Each task takes a whole worker for 300 ms.
  const Millis Submitted = Sim_->now();
  for (int At = 0; At < 2000 && Sim_->starts() < 4000; ++At) {
    char Id[17];
    std::snprintf(Id, sizeof Id, "%016x", At);
    Sim_->submit(Id, taskJob(2, WholeWorkerMib), "slow");
    Sim_->run(10);
    if (Sim_->stateOf(JobId) == JobState::Running)
      break;
  }
  const Millis Rounds =
      static_cast<Millis>(2 * SlowAdvice.Base_) + callTime(Members);
  EXPECT_LE(Sim_->now() - Submitted, Rounds + 300 + MessageTime);
}

// Guards against waiting gangs that use up what a placement pass may spend on
// choosing workers to ask about, so that single tasks never ask while the
// workers that may run them are idle.
TEST_F(CellGangPlan, LetsSingleTasksAskBesideManyWaitingGangs) {
  start(40);
  const std::uint32_t TooMany = 40 / AllowedEvery + 1;
  for (int At = 0; At < 30; ++At) {
    char Id[17];
    std::snprintf(Id, sizeof Id, "%016x", 100 + At);
    Sim_->submit(Id, {"payload", {gangStep(TooMany)}, 0, 0, 0}, "advised");
  }
  Sim_->run(5000);
  ASSERT_EQ(Sim_->starts(), 0U);
  const Millis Submitted = Sim_->now();
  Sim_->submit(JobId, taskJob(1, WholeWorkerMib), "advised");
  const auto Started = startOf(*Sim_, JobId + ".0.0.0", 10000);
  ASSERT_TRUE(Started);
  EXPECT_LE(*Started - Submitted, callTime(40) + MessageTime);
}

// Guards against preemption on workers that are chosen although others have
// free room for the gang.
TEST_F(CellGangPlan, PreemptsOnlyForTheMembersThatFindNoFreeRoom) {
  constexpr std::uint32_t Members = 20;
  start(96); // 24 of them may run the gang.
  Sim_->setPriority("slow", 2);
  Sim_->killOwner();
  Sim_->takeOver();
  Sim_->run(300);
  Sim_->TaskBehaviour_ = [](const std::string &) {
    return std::pair(Millis{20000}, false);
  };
  // Leaves a part of the workers free.
  Sim_->submit(JobId, taskJob(40, WholeWorkerMib), "slow");
  Sim_->run(500);
  std::uint32_t FreeAllowed = 0;
  for (std::size_t At = 0; At < Sim_->workerCount(); At += AllowedEvery)
    FreeAllowed += Sim_->worker(At).Runs_.empty() ? 1 : 0;
  ASSERT_LT(FreeAllowed, Members);
  const std::string GangId = "00000000000000ad";
  Sim_->submit(GangId, {"payload", {gangStep(Members)}, 0, 0, 0}, "advised");
  ASSERT_TRUE(startOf(*Sim_, GangId + ".0.0.0", 10000));
  EXPECT_EQ(Sim_->Stops_["preempted"], static_cast<int>(Members - FreeAllowed));
}

// Guards against a reservation for a gang that closes a whole worker to other
// work although it covers a part of its room, and against a gang that loses its
// room to that work.
TEST_F(CellGangPlan, LeavesTheOtherRoomOfItsWorkersToOtherWork) {
  start(8); // Two of them may run the gang; the others accept nothing.
  for (std::size_t At = 0; At < Sim_->workerCount(); ++At)
    Sim_->worker(At).Draining_ = At % AllowedEvery != 0;
  Sim_->run(300);
  Sim_->TaskBehaviour_ = [](const std::string &) {
    return std::pair(Millis{4000}, false);
  };
  Sim_->submit("00000000000000af", taskJob(2, WholeWorkerMib), "slow");
  Sim_->run(200);
  Sim_->submit(JobId, {"payload", {gangStep(2)}, 0, 0, 0}, "advised");
  while (Sim_->stateOf("00000000000000af") != JobState::Complete)
    Sim_->run(5);
  const Millis Free = Sim_->now();
  // The ticket of the gang has expired, so that it waits for another one.
  const std::string Other = "00000000000000ae";
  Sim_->submit(Other, taskJob(2, 3000), "slow");
  Sim_->run(100);
  EXPECT_EQ(Sim_->stateOf(Other), JobState::Running);
  EXPECT_EQ(Sim_->stateOf(JobId), JobState::Queued);
  const auto Started = startOf(*Sim_, JobId + ".0.0.0", 3000);
  ASSERT_TRUE(Started);
  EXPECT_LE(*Started - Free, callTime(2) + MessageTime);
  EXPECT_TRUE(Sim_->violations().empty()) << Sim_->violations().front();
}

} // namespace
} // namespace oleandergauge::cell::test
