#include <gtest/gtest.h>

#include "cell_world.h"

namespace oleandergauge::cell::test {
namespace {

const std::string JobId = "00000000000000ab";

/// Returns a job with a gang that occupies \p Count workers, one for each
/// member.
JobSpec gangJob(std::uint32_t Count) {
  JobSpec Out = simpleJob(Count, 2100);
  Out.Steps_[0].Gang_ = true;
  return Out;
}

std::pair<Millis, bool> run600Milliseconds(const std::string &) {
  return {Millis{600}, false};
}

/// A cell with an owner and three workers.
class CellGang : public ::testing::Test {
protected:
  CellGang() {
    Sim_.TaskBehaviour_ = run600Milliseconds;
    Sim_.takeOver();
    Sim_.run(300);
  }
  CellSimulation Sim_{1, 3};
};

// Guards against members that wait until their timeout because the worker of
// another member rejects its start.
TEST_F(CellGang, AbortsWhereAMemberIsRejected) {
  Sim_.worker(2).RejectsStarts_ = true;
  Sim_.submit(JobId, gangJob(3));
  Sim_.run(5000);
  EXPECT_EQ(Sim_.aloneEnds(), 0U);
  Sim_.worker(2).RejectsStarts_ = false;
  Sim_.run(5000);
  EXPECT_EQ(Sim_.stateOf(JobId), JobState::Complete);
  EXPECT_EQ(Sim_.aloneEnds(), 0U);
}

// Guards against members that wait until their timeout because the start of
// another member is not answered.
TEST_F(CellGang, AbortsWhereAStartIsUnanswered) {
  Sim_.worker(2).Disconnected_ = true;
  Sim_.submit(JobId, gangJob(3));
  Sim_.run(5000);
  EXPECT_EQ(Sim_.aloneEnds(), 0U);
  Sim_.worker(2).Disconnected_ = false;
  Sim_.run(15000);
  EXPECT_EQ(Sim_.stateOf(JobId), JobState::Complete);
  EXPECT_TRUE(Sim_.violations().empty()) << Sim_.violations().front();
}

// Guards against members that wait until their timeout after a takeover: the
// next owner finds a part of an attempt running and does not know of the starts
// that were lost.
TEST_F(CellGang, NextOwnerAbortsAnIncompleteAttempt) {
  Sim_.worker(2).Disconnected_ = true;
  Sim_.submit(JobId, gangJob(3));
  Sim_.run(200);
  EXPECT_EQ(Sim_.starts(), 2U);
  Sim_.killOwner();
  Sim_.worker(2).Disconnected_ = false;
  Sim_.takeOver();
  Sim_.run(8000);
  EXPECT_EQ(Sim_.aloneEnds(), 0U);
  EXPECT_EQ(Sim_.stateOf(JobId), JobState::Complete);
  EXPECT_TRUE(Sim_.violations().empty()) << Sim_.violations().front();
}

// Guards against members that wait until their timeout because one worker
// restarts while the start of another member is still unanswered.
TEST_F(CellGang, AbortsWhereAWorkerRestarts) {
  Sim_.worker(2).Disconnected_ = true;
  Sim_.submit(JobId, gangJob(3));
  Sim_.run(100);
  Sim_.worker(1).restart(Sim_.now());
  Sim_.run(4500);
  EXPECT_EQ(Sim_.aloneEnds(), 0U);
}

// Guards against members that wait until their timeout because a next owner,
// which reaches their worker late, measures their wait from the moment it finds
// them.
TEST_F(CellGang, NextOwnerAbortsMembersFoundLate) {
  for (Millis Away = 1900; Away <= 2300; Away += 50) {
    CellSimulation Four(1, 4);
    Four.TaskBehaviour_ = run600Milliseconds;
    Four.takeOver();
    Four.run(300);
    // The last worker stays disconnected, so that the next owner waits for its
    // answer.
    for (std::size_t At = 1; At < 4; ++At)
      Four.worker(At).Disconnected_ = true;
    Four.submit(JobId, gangJob(4));
    Four.run(100);
    EXPECT_EQ(Four.starts(), 1U);
    Four.killOwner();
    Four.worker(0).Disconnected_ = true;
    Four.worker(1).Disconnected_ = false;
    Four.worker(2).Disconnected_ = false;
    Four.takeOver();
    Four.run(Away);
    Four.worker(0).Disconnected_ = false;
    Four.run(5000);
    EXPECT_EQ(Four.aloneEnds(), 0U) << Away;
  }
}

// Guards against gangs that never hold enough tickets at once: if few workers
// may run a step, a pause between calls lets earlier tickets expire. The only
// entry host answers one call after another, and a call names at most 40
// workers, so that the four workers that may run the gang take two calls.
TEST(CellGangAdvice, AsksOnWhileItKnowsNothingOfSomeWorkers) {
  CellSimulation Sim(1, 80);
  Sim.limitAdvice({200, 5, 1500}, 20);
  Sim.takeOver();
  Sim.run(300);
  Sim.submit(JobId, gangJob(4), "advised");
  Sim.run(2000);
  const auto &Calls = Sim.adviceCalls();
  ASSERT_GE(Calls.size(), 2U);
  EXPECT_LT(Calls[1].first - Calls[0].second, 50);
  EXPECT_EQ(Sim.starts(), 4U);
}

// Guards against a next owner that aborts a complete attempt.
TEST_F(CellGang, NextOwnerKeepsACompleteAttempt) {
  Sim_.TaskBehaviour_ = [](const std::string &) {
    return std::pair(Millis{4000}, false);
  };
  Sim_.submit(JobId, gangJob(3));
  Sim_.run(200);
  EXPECT_EQ(Sim_.starts(), 3U);
  Sim_.killOwner();
  Sim_.takeOver();
  Sim_.run(8000);
  EXPECT_EQ(Sim_.stateOf(JobId), JobState::Complete);
  EXPECT_EQ(Sim_.starts(), 3U);
  EXPECT_TRUE(Sim_.violations().empty()) << Sim_.violations().front();
}

} // namespace
} // namespace oleandergauge::cell::test
