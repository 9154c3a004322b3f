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
    Of.Behaviour_ = worksFor600;
    Of.takeOver();
    Of.run(300);
  }
  World Of{1, 3};
};

// Guards against members that wait alone where the worker of another member
// rejects its start.
TEST_F(CellGang, IsCalledOffWhereAMemberIsRejected) {
  Of.worker(2).Rejects_ = true;
  Of.submit(JobId, gangJob(3));
  Of.run(5000);
  EXPECT_EQ(Of.aloneEnds(), 0U);
  Of.worker(2).Rejects_ = false;
  Of.run(5000);
  EXPECT_EQ(Of.stateOf(JobId), JobState::Complete);
  EXPECT_EQ(Of.aloneEnds(), 0U);
}

// Guards against members that wait alone where the start of another member
// stays without an answer.
TEST_F(CellGang, IsCalledOffWhereAMemberGivesNoAnswer) {
  Of.worker(2).Cut_ = true;
  Of.submit(JobId, gangJob(3));
  Of.run(5000);
  EXPECT_EQ(Of.aloneEnds(), 0U);
  Of.worker(2).Cut_ = false;
  Of.run(15000);
  EXPECT_EQ(Of.stateOf(JobId), JobState::Complete);
  EXPECT_TRUE(Of.violations().empty()) << Of.violations().front();
}

// Guards against members that wait alone under a next owner, which finds a
// part of an attempt running and does not know the starts that were lost.
TEST_F(CellGang, ANextOwnerCallsOffAnAttemptThatIsNotWhole) {
  Of.worker(2).Cut_ = true;
  Of.submit(JobId, gangJob(3));
  Of.run(200);
  EXPECT_EQ(Of.starts(), 2U);
  Of.killOwner();
  Of.worker(2).Cut_ = false;
  Of.takeOver();
  Of.run(8000);
  EXPECT_EQ(Of.aloneEnds(), 0U);
  EXPECT_EQ(Of.stateOf(JobId), JobState::Complete);
  EXPECT_TRUE(Of.violations().empty()) << Of.violations().front();
}

// Guards against members that wait alone where one worker starts anew while
// the start of another member is still open.
TEST_F(CellGang, IsCalledOffWhereAMembersWorkerStartsAnew) {
  Of.worker(2).Cut_ = true;
  Of.submit(JobId, gangJob(3));
  Of.run(100);
  Of.worker(1).restart(Of.now());
  Of.run(4500);
  EXPECT_EQ(Of.aloneEnds(), 0U);
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

// Guards against a whole attempt that a next owner calls off.
TEST_F(CellGang, ANextOwnerKeepsAWholeAttempt) {
  Of.Behaviour_ = [](const std::string &) {
    return std::pair(Millis{4000}, false);
  };
  Of.submit(JobId, gangJob(3));
  Of.run(200);
  EXPECT_EQ(Of.starts(), 3U);
  Of.killOwner();
  Of.takeOver();
  Of.run(8000);
  EXPECT_EQ(Of.stateOf(JobId), JobState::Complete);
  EXPECT_EQ(Of.starts(), 3U);
  EXPECT_TRUE(Of.violations().empty()) << Of.violations().front();
}

} // namespace
} // namespace oleandergauge::cell::test
