#include <gtest/gtest.h>

#include "cell_world.h"

namespace oleandergauge::cell::test {
namespace {

const std::string JobId = "00000000000000ab";

/// A gang that needs \p Count workers of a World, one for each member.
JobSpec gangJob(std::uint32_t Count) {
  JobSpec Out = simpleJob(Count, 2100);
  Out.Steps_[0].Gang_ = true;
  return Out;
}

std::pair<Millis, bool> worksFor600(const std::string &) {
  return {Millis{600}, false};
}

/// A cell with an owner and three workers.
class CellGang : public ::testing::Test {
protected:
  CellGang() {
    Of_.Behaviour_ = worksFor600;
    Of_.takeOver();
    Of_.run(300);
  }
  World Of_{1, 3};
};

// Guards against members that wait alone where the worker of another member
// rejects its start.
TEST_F(CellGang, IsCalledOffWhereAMemberIsRejected) {
  Of_.worker(2).Rejects_ = true;
  Of_.submit(JobId, gangJob(3));
  Of_.run(5000);
  EXPECT_EQ(Of_.aloneEnds(), 0U);
  Of_.worker(2).Rejects_ = false;
  Of_.run(5000);
  EXPECT_EQ(Of_.stateOf(JobId), JobState::Complete);
  EXPECT_EQ(Of_.aloneEnds(), 0U);
}

// Guards against members that wait alone where the start of another member
// stays without an answer.
TEST_F(CellGang, IsCalledOffWhereAMemberGivesNoAnswer) {
  Of_.worker(2).Cut_ = true;
  Of_.submit(JobId, gangJob(3));
  Of_.run(5000);
  EXPECT_EQ(Of_.aloneEnds(), 0U);
  Of_.worker(2).Cut_ = false;
  Of_.run(15000);
  EXPECT_EQ(Of_.stateOf(JobId), JobState::Complete);
  EXPECT_TRUE(Of_.violations().empty()) << Of_.violations().front();
}

// Guards against members that wait alone under a next owner, which finds a
// part of an attempt running and does not know the starts that were lost.
TEST_F(CellGang, ANextOwnerCallsOffAnAttemptThatIsNotWhole) {
  Of_.worker(2).Cut_ = true;
  Of_.submit(JobId, gangJob(3));
  Of_.run(200);
  EXPECT_EQ(Of_.starts(), 2U);
  Of_.killOwner();
  Of_.worker(2).Cut_ = false;
  Of_.takeOver();
  Of_.run(8000);
  EXPECT_EQ(Of_.aloneEnds(), 0U);
  EXPECT_EQ(Of_.stateOf(JobId), JobState::Complete);
  EXPECT_TRUE(Of_.violations().empty()) << Of_.violations().front();
}

// Guards against members that wait alone where one worker starts anew while
// the start of another member is still open.
TEST_F(CellGang, IsCalledOffWhereAMembersWorkerStartsAnew) {
  Of_.worker(2).Cut_ = true;
  Of_.submit(JobId, gangJob(3));
  Of_.run(100);
  Of_.worker(1).restart(Of_.now());
  Of_.run(4500);
  EXPECT_EQ(Of_.aloneEnds(), 0U);
}

// Guards against members that wait alone because a next owner, which reaches
// their worker only later, counts their wait from the moment it finds them.
TEST_F(CellGang, ANextOwnerCallsOffMembersThatItFindsLate) {
  for (Millis Away = 1900; Away <= 2300; Away += 50) {
    World Four(1, 4);
    Four.Behaviour_ = worksFor600;
    Four.takeOver();
    Four.run(300);
    // The last one stays away, so that the next owner waits for its answer.
    for (std::size_t At = 1; At < 4; ++At)
      Four.worker(At).Cut_ = true;
    Four.submit(JobId, gangJob(4));
    Four.run(100);
    EXPECT_EQ(Four.starts(), 1U);
    Four.killOwner();
    Four.worker(0).Cut_ = true;
    Four.worker(1).Cut_ = false;
    Four.worker(2).Cut_ = false;
    Four.takeOver();
    Four.run(Away);
    Four.worker(0).Cut_ = false;
    Four.run(5000);
    EXPECT_EQ(Four.aloneEnds(), 0U) << Away;
  }
}

// Guards against gangs that never hold enough tickets at once: where few
// workers may run a step, a pause between calls lets earlier tickets run out.
TEST(CellGangAdvice, AsksOnWhileItKnowsNothingOfSomeWorkers) {
  World Of(1, 40);
  Of.makeAdviceScarce({200, 5, 1500}, 5);
  Of.takeOver();
  Of.run(300);
  Of.submit(JobId, gangJob(4), "advised");
  Of.run(2000);
  const auto &Calls = Of.adviceCalls();
  ASSERT_GE(Calls.size(), 2U);
  EXPECT_LT(Calls[1].first - Calls[0].second, 50);
}

// Guards against a whole attempt that a next owner calls off.
TEST_F(CellGang, ANextOwnerKeepsAWholeAttempt) {
  Of_.Behaviour_ = [](const std::string &) {
    return std::pair(Millis{4000}, false);
  };
  Of_.submit(JobId, gangJob(3));
  Of_.run(200);
  EXPECT_EQ(Of_.starts(), 3U);
  Of_.killOwner();
  Of_.takeOver();
  Of_.run(8000);
  EXPECT_EQ(Of_.stateOf(JobId), JobState::Complete);
  EXPECT_EQ(Of_.starts(), 3U);
  EXPECT_TRUE(Of_.violations().empty()) << Of_.violations().front();
}

} // namespace
} // namespace oleandergauge::cell::test
