#include <gtest/gtest.h>

#include "cell/directory.h"
#include "cell/ownership.h"

namespace oleandergauge::cell {
namespace {

const OwnerRow Self{3, 7, "h1", "10.0.0.1:7000", false};

TEST(OwnerTransactions, ContinuesFromTheStoredVersion) {
  OwnerTransactions Log(Self, 40);
  EXPECT_EQ(Log.settle(TransactionResult::Done, 45, {}),
            OwnerTransactions::Verdict::Committed);
  EXPECT_EQ(Log.version(), 45U);
  EXPECT_EQ(Log.row().Sequence_, 8U);
}

// The first copy was stored, but its answer was lost. The conflict of the retry
// must not be mistaken for another owner.
TEST(OwnerTransactions, RecognizesACommitWhoseAnswerWasLost) {
  OwnerTransactions Log(Self, 40);
  EXPECT_EQ(Log.settle(TransactionResult::Unknown, 0, {}),
            OwnerTransactions::Verdict::Retry);
  EXPECT_EQ(Log.settle(TransactionResult::Conflict, 0, {46, Self}),
            OwnerTransactions::Verdict::Committed);
  EXPECT_EQ(Log.version(), 46U);
}

// Guards against a late copy of a rejected transaction that is taken for the
// one that replaces it, and against an owner that goes on although the store
// holds changes which it has taken back.
TEST(OwnerTransactions, DistinguishesATransactionFromARejectedOne) {
  const OwnerRow Self{3, 7, "h1", "10.0.0.1:1", false};
  OwnerTransactions Log(Self, 44);
  EXPECT_EQ(Log.settle(TransactionResult::Rejected, 0, {}),
            OwnerTransactions::Verdict::Abandoned);
  EXPECT_EQ(Log.version(), 44U);
  EXPECT_TRUE(Log.mayBeStoredLate());
  EXPECT_EQ(Log.settle(TransactionResult::Conflict, 0, {46, Self}),
            OwnerTransactions::Verdict::Diverged);
}

// Guards against an owner that gives up its ownership for a transaction that
// was rejected long ago and can no longer be stored.
TEST(OwnerTransactions, ForgetsARejectedTransactionOnceAnotherIsStored) {
  const OwnerRow Self{3, 7, "h1", "10.0.0.1:1", false};
  OwnerTransactions Log(Self, 44);
  EXPECT_EQ(Log.settle(TransactionResult::Rejected, 0, {}),
            OwnerTransactions::Verdict::Abandoned);
  EXPECT_EQ(Log.settle(TransactionResult::Done, 47, {}),
            OwnerTransactions::Verdict::Committed);
  EXPECT_FALSE(Log.mayBeStoredLate());
  EXPECT_EQ(Log.settle(TransactionResult::Conflict, 0, {50, Log.row()}),
            OwnerTransactions::Verdict::Committed);
}

// Guards against the same where the later transaction's answer was lost.
TEST(OwnerTransactions, ForgetsARejectedTransactionOnceAnotherIsFoundStored) {
  OwnerTransactions Log(Self, 44);
  EXPECT_EQ(Log.settle(TransactionResult::Rejected, 0, {}),
            OwnerTransactions::Verdict::Abandoned);
  EXPECT_EQ(Log.settle(TransactionResult::Conflict, 0, {47, Log.row()}),
            OwnerTransactions::Verdict::Committed);
  EXPECT_FALSE(Log.mayBeStoredLate());
}

TEST(OwnerTransactions, RetriesAfterItsOwnEarlierRow) {
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

class TakeoverPolicyTest : public ::testing::Test {
protected:
  TakeoverPolicy Policy_{"h2", 100};
  void observeUntil(Millis End, std::uint64_t Version) {
    for (Millis At = 0; At <= End; At += 300)
      Policy_.observe(At, {Version, Self});
  }
};

TEST_F(TakeoverPolicyTest, TakesOverFromASilentOwner) {
  observeUntil(600, 5);
  EXPECT_FALSE(Policy_.mayTakeOver(600));
  observeUntil(900, 5);
  EXPECT_TRUE(Policy_.mayTakeOver(900));
}

// A slow store keeps the row unchanged for seconds. An owner that answers its
// peers and reaches the store is not replaced.
TEST_F(TakeoverPolicyTest, LeavesAHealthyOwnerAlone) {
  Policy_.setOwnerHealthy(true);
  observeUntil(3900, 5);
  EXPECT_FALSE(Policy_.mayTakeOver(3900));
  Policy_.setOwnerHealthy(false);
  EXPECT_TRUE(Policy_.mayTakeOver(3900));
}

TEST_F(TakeoverPolicyTest, TakesOverSoonerAfterALostConnection) {
  observeUntil(600, 5);
  Policy_.ownerLinkLost();
  EXPECT_TRUE(Policy_.mayTakeOver(600));
}

// Guards against seconds without an owner after its process was killed, and
// against a takeover based on a row that was read earlier.
TEST_F(TakeoverPolicyTest, NeedsOneReadAfterTheOwnerIsGone) {
  Policy_.setOwnerHealthy(true);
  Policy_.setPreferred(true);
  observeUntil(300, 5);
  Policy_.ownerGone(310, Self.Epoch_);
  EXPECT_FALSE(Policy_.mayTakeOver(310));
  Policy_.observe(314, {6, Self});
  EXPECT_TRUE(Policy_.mayTakeOver(314));
}

// Guards against a takeover from the successor of the owner that is gone.
TEST_F(TakeoverPolicyTest, DoesNotReplaceTheNextOwner) {
  Policy_.setPreferred(true);
  observeUntil(300, 5);
  Policy_.ownerGone(310, Self.Epoch_);
  OwnerRow Follower = Self;
  ++Follower.Epoch_;
  Follower.Host_ = "h3";
  Policy_.observe(320, {7, Follower});
  EXPECT_FALSE(Policy_.mayTakeOver(320));
}

// After an outage of the store, an old read proves nothing.
TEST_F(TakeoverPolicyTest, IgnoresSilenceAcrossAReadGap) {
  Policy_.observe(0, {5, Self});
  Policy_.observe(9000, {5, Self});
  EXPECT_FALSE(Policy_.mayTakeOver(9000));
  EXPECT_FALSE(Policy_.mayTakeOver(20000));
}

// After a power loss of all hosts, the host that owned the cell is back first.
TEST_F(TakeoverPolicyTest, AHostSucceedsItsEarlierProcessAtOnce) {
  TakeoverPolicy Same("h1", 300);
  Same.observe(0, {5, Self});
  EXPECT_TRUE(Same.mayTakeOver(0));
}

// Guards against a weak host that becomes the owner although stronger ones
// would take over.
TEST_F(TakeoverPolicyTest, AWeakHostWaitsForStrongerOnes) {
  Policy_.setOutranked(true);
  observeUntil(900, 5);
  EXPECT_FALSE(Policy_.mayTakeOver(900));
  observeUntil(1500, 5);
  EXPECT_TRUE(Policy_.mayTakeOver(1500));
}

// Guards against an owner that releases the cell, finds its own name in the row
// and takes the cell back before its named successor.
TEST_F(TakeoverPolicyTest, AHostThatReleasedOwnershipWaitsLikeOthers) {
  TakeoverPolicy Same("h1", 100);
  Same.releasedOwnership(Self.Epoch_);
  for (Millis At = 0; At <= 600; At += 300)
    Same.observe(At, {5, Self});
  EXPECT_FALSE(Same.mayTakeOver(600));
  Same.observe(900, {5, Self});
  EXPECT_TRUE(Same.mayTakeOver(900));
}

TEST_F(TakeoverPolicyTest, SucceedsAReleasedOwnerAtOnce) {
  OwnerRow Released = Self;
  Released.Released_ = true;
  Policy_.observe(0, {6, Released});
  Policy_.setPreferred(true);
  EXPECT_TRUE(Policy_.mayTakeOver(0));
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
