#include <gtest/gtest.h>

#include "cell/directory.h"
#include "cell/ownership.h"

namespace oleandergauge::cell {
namespace {

const OwnerRow Self{3, 7, "h1", "10.0.0.1:7000", false};

TEST(OwnerTransactions, GoesOnFromTheVersionThatTheStoreGave) {
  OwnerTransactions Log(Self, 40);
  EXPECT_EQ(Log.settle(TransactionResult::Done, 45, {}),
            OwnerTransactions::Verdict::Committed);
  EXPECT_EQ(Log.version(), 45U);
  EXPECT_EQ(Log.row().Sequence_, 8U);
}

// The first copy was done and its answer lost: the repetition must not be
// taken for another owner's doing.
TEST(OwnerTransactions, TakesItsOwnRowForACommitWhoseAnswerWasLost) {
  OwnerTransactions Log(Self, 40);
  EXPECT_EQ(Log.settle(TransactionResult::Unknown, 0, {}),
            OwnerTransactions::Verdict::Retry);
  EXPECT_EQ(Log.settle(TransactionResult::Conflict, 0, {46, Self}),
            OwnerTransactions::Verdict::Committed);
  EXPECT_EQ(Log.version(), 46U);
}

TEST(OwnerTransactions, RepeatsWhereItsOwnEarlierRowIsThere) {
  OwnerTransactions Log(Self, 40);
  OwnerRow Earlier = Self;
  Earlier.Sequence_ = 6;
  EXPECT_EQ(Log.settle(TransactionResult::Conflict, 0, {44, Earlier}),
            OwnerTransactions::Verdict::Retry);
  EXPECT_EQ(Log.version(), 44U);
}

TEST(OwnerTransactions, IsDeposedByAnotherOwnersRow) {
  OwnerTransactions Log(Self, 40);
  EXPECT_EQ(Log.settle(TransactionResult::Conflict, 0,
                       {50, {4, 0, "h2", "10.0.0.2:7000", false}}),
            OwnerTransactions::Verdict::Deposed);
  EXPECT_EQ(Log.settle(TransactionResult::Conflict, 0, {}),
            OwnerTransactions::Verdict::Deposed);
}

class SuccessionTest : public ::testing::Test {
protected:
  TakeoverPolicy Next_{"h2", 100};
  void observeUntil(Millis End, std::uint64_t Version) {
    for (Millis At = 0; At <= End; At += 300)
      Next_.observe(At, {Version, Self});
  }
};

TEST_F(SuccessionTest, TakesOverFromASilentOwner) {
  observeUntil(600, 5);
  EXPECT_FALSE(Next_.mayTakeOver(600));
  observeUntil(900, 5);
  EXPECT_TRUE(Next_.mayTakeOver(900));
}

// A slow store keeps the row unchanged for seconds: the owner that answers
// its peers and reaches the store stays.
TEST_F(SuccessionTest, LeavesAHealthyOwnerAlone) {
  Next_.setOwnerHealthy(true);
  observeUntil(3900, 5);
  EXPECT_FALSE(Next_.mayTakeOver(3900));
  Next_.setOwnerHealthy(false);
  EXPECT_TRUE(Next_.mayTakeOver(3900));
}

TEST_F(SuccessionTest, ActsSoonerWhereTheOwnersProcessIsGone) {
  observeUntil(600, 5);
  Next_.ownerLinkLost();
  EXPECT_TRUE(Next_.mayTakeOver(600));
}

// Guards against seconds without an owner after its process was killed, and
// against a takeover on a row that was read before.
TEST_F(SuccessionTest, NeedsOneReadAfterTheOwnerIsGone) {
  Next_.setOwnerHealthy(true);
  Next_.setPreferred(true);
  observeUntil(300, 5);
  Next_.ownerGone(310, Self.Epoch_);
  EXPECT_FALSE(Next_.mayTakeOver(310));
  Next_.observe(314, {6, Self});
  EXPECT_TRUE(Next_.mayTakeOver(314));
}

// Guards against a takeover from an owner that followed the one that is gone.
TEST_F(SuccessionTest, LeavesTheNextOwnerAlone) {
  Next_.setPreferred(true);
  observeUntil(300, 5);
  Next_.ownerGone(310, Self.Epoch_);
  OwnerRow Follower = Self;
  ++Follower.Epoch_;
  Follower.Host_ = "h3";
  Next_.observe(320, {7, Follower});
  EXPECT_FALSE(Next_.mayTakeOver(320));
}

// After an outage of the store an old reading says nothing.
TEST_F(SuccessionTest, AGapInTheReadingsShowsNothing) {
  Next_.observe(0, {5, Self});
  Next_.observe(9000, {5, Self});
  EXPECT_FALSE(Next_.mayTakeOver(9000));
  EXPECT_FALSE(Next_.mayTakeOver(20000));
}

// After a power loss of all hosts the one that owned the cell is back first.
TEST_F(SuccessionTest, AHostFollowsItsOwnFormerLifeAtOnce) {
  TakeoverPolicy Same("h1", 300);
  Same.observe(0, {5, Self});
  EXPECT_TRUE(Same.mayTakeOver(0));
}

// Guards against a cell that is owned by a host too weak for it while strong
// ones would take over.
TEST_F(SuccessionTest, AWeakHostLeavesTheCellToStrongerOnes) {
  Next_.setOutranked(true);
  observeUntil(900, 5);
  EXPECT_FALSE(Next_.mayTakeOver(900));
  observeUntil(1500, 5);
  EXPECT_TRUE(Next_.mayTakeOver(1500));
}

// Guards against an owner that gives the cell away, finds its own name in the
// row and takes it back before the host that it named.
TEST_F(SuccessionTest, AHostThatGaveTheCellUpWaitsLikeOthers) {
  TakeoverPolicy Same("h1", 100);
  Same.releasedOwnership(Self.Epoch_);
  for (Millis At = 0; At <= 600; At += 300)
    Same.observe(At, {5, Self});
  EXPECT_FALSE(Same.mayTakeOver(600));
  Same.observe(900, {5, Self});
  EXPECT_TRUE(Same.mayTakeOver(900));
}

TEST_F(SuccessionTest, FollowsAReleasedOwnerAtOnce) {
  OwnerRow Released = Self;
  Released.Released_ = true;
  Next_.observe(0, {6, Released});
  Next_.setPreferred(true);
  EXPECT_TRUE(Next_.mayTakeOver(0));
}

TEST(Directory, FindsQueueAndTeam) {
  DesiredState State;
  State.Version_ = 4;
  Queue Short;
  Short.Name_ = "short";
  Short.Host_ = "h";
  Short.Prefix_ = "/a/";
  Queue Long = Short;
  Long.Name_ = "long";
  Long.Prefix_ = "/a/b/";
  State.Queues_ = {Short, Long};
  State.Teams_ = {{"t", {"k1"}, 1, {}}};
  const std::string Id = "0123456789abcdef";
  EXPECT_EQ(resolve(&State, {"h", "/a/b/" + Id, "k1"}),
            (Resolution{Access::Allowed, 4, "long", "t", Id}));
  EXPECT_EQ(resolve(&State, {"h", "/a/", "k1"}).JobId_, "");
  EXPECT_EQ(resolve(&State, {"h", "/a/" + Id, "k2"}).Access_,
            Access::UnknownKey);
  EXPECT_EQ(resolve(&State, {"h", "/a/" + Id, ""}).Access_, Access::UnknownKey);
  EXPECT_EQ(resolve(&State, {"x", "/a/" + Id, "k1"}).Access_, Access::NoQueue);
  EXPECT_EQ(resolve(&State, {"h", "/a/xyz", "k1"}).Access_, Access::BadJobId);
  EXPECT_EQ(resolve(nullptr, {"h", "/a/", "k1"}).Access_, Access::NoState);
}

} // namespace
} // namespace oleandergauge::cell
