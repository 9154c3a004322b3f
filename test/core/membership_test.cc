#include "oleandergauge/membership.h"

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace oleandergauge {
namespace {

using std::chrono::milliseconds;

TimePoint at(std::int64_t Ms) { return TimePoint(milliseconds(Ms)); }

Member member(const std::string &Host) {
  return {HostId(Host), Host + ":1", Region("r"), FailureDomain("d")};
}

Heartbeat beat(const std::string &Host, std::int64_t SentMs,
               std::vector<OwnedPartition> Owned = {}) {
  Heartbeat Beat;
  Beat.From_ = member(Host);
  Beat.Vouch_.SentAt_ = at(SentMs);
  Beat.Owned_ = std::move(Owned);
  return Beat;
}

Membership threeHosts() {
  Membership Members(member("a"));
  Members.setRegistered(at(0), {member("a"), member("b"), member("c")});
  return Members;
}

const PartitionId TestedPartition("p");

// Guards against one host taking over all partitions that become free at once,
// as after the failure of their owner or in a new cell.
TEST(MembershipTest, FreePartitionsAreSpread) {
  const std::vector<PartitionId> Free = {PartitionId("p0"), PartitionId("p1"),
                                         PartitionId("p2")};
  for (const std::string Self : {"a", "b", "c"}) {
    Membership Members(member(Self));
    Members.setRegistered(at(0), {member("a"), member("b"), member("c")});
    for (const std::string Peer : {"a", "b", "c"})
      Members.noteHeartbeat(at(100), beat(Peer, 90));
    Members.setPartitions(Free);
    std::size_t First = 0;
    for (const PartitionId &Each : Free)
      First += Members.takeoverRank(Each, at(100)) == 0 ? 1 : 0;
    EXPECT_EQ(First, 1u) << Self;
  }
}

// Guards against rows of replaced hosts that accumulate, and against deleting
// the row of a host that is only absent from the live list.
TEST(MembershipTest, RowsExpireOnceTheHostIsGoneAndUnheard) {
  Membership Members = threeHosts();
  const std::int64_t Retention = MemberRowRetention / milliseconds(1);
  Members.setListed(at(0), {HostId("a"), HostId("c")});
  Members.setListed(at(Retention), {HostId("a"), HostId("c")});
  EXPECT_EQ(Members.expiredMembers(at(Retention)),
            std::vector<HostId>{HostId("b")});
  Members.noteHeartbeat(at(Retention), beat("b", Retention - 10));
  EXPECT_TRUE(Members.expiredMembers(at(Retention)).empty());
}

// Guards against a late heartbeat that takes a partition from its owner or
// restores an outdated state.
TEST(MembershipTest, LateHeartbeatChangesNothing) {
  Membership Members = threeHosts();
  Heartbeat Leaving = beat("b", 90);
  Leaving.Draining_ = true;
  Members.noteHeartbeat(at(200), beat("b", 190, {{TestedPartition, 4, 0}}));
  Members.noteHeartbeat(at(300), Leaving);
  ASSERT_TRUE(Members.ownerOf(TestedPartition));
  EXPECT_EQ(Members.ownerOf(TestedPartition)->Host_, HostId("b"));
  EXPECT_EQ(Members.livePeers(at(300)).size(), 2u);
}

// Guards against waiting for a lease that was already released, and against a
// late heartbeat that reverts the release.
TEST(MembershipTest, ReleasedPartitionHasNoOwner) {
  Membership Members = threeHosts();
  Members.noteHeartbeat(at(100), beat("b", 90, {{TestedPartition, 4, 0}}));
  Members.noteOwnerRow(TestedPartition, 4, HostId());
  Members.noteHeartbeat(at(200), beat("b", 190, {{TestedPartition, 4, 0}}));
  EXPECT_FALSE(Members.ownerOf(TestedPartition));
  Members.noteOwnerRow(TestedPartition, 5, HostId("c"));
  EXPECT_EQ(Members.ownerOf(TestedPartition)->Address_, "c:1");
}

// Guards against routing requests to an owner that lost its lease.
TEST(MembershipTest, NewerHeartbeatWithoutThePartitionDropsTheClaim) {
  Membership Members = threeHosts();
  Members.noteHeartbeat(at(100), beat("b", 90, {{TestedPartition, 4, 0}}));
  Members.noteHeartbeat(at(200), beat("b", 190));
  EXPECT_FALSE(Members.ownerOf(TestedPartition));
  Members.setOwned({{TestedPartition, 6, 0}});
  EXPECT_EQ(Members.ownerOf(TestedPartition)->Host_, HostId("a"));
  Members.setOwned({});
  EXPECT_FALSE(Members.ownerOf(TestedPartition));
}

// Guards against excluding a member from the unanimity that outage evidence
// needs because it was absent from the live list for a short time.
TEST(MembershipTest, MemberCountsUntilTheListShowedItGoneForTheLag) {
  Membership Members = threeHosts();
  const std::vector<HostId> Without{HostId("a"), HostId("b")};
  const std::vector<HostId> All{HostId("a"), HostId("b"), HostId("c")};
  Members.setListed(at(1000), Without);
  // No list was read since, so nothing shows that the host stayed absent.
  EXPECT_EQ(Members.countedMembers(at(30000)), All);
  Members.setListed(at(10999), Without);
  EXPECT_EQ(Members.countedMembers(at(30000)), All);
  Members.setListed(at(11000), Without);
  EXPECT_EQ(Members.countedMembers(at(30000)), Without);
  Members.setListed(at(11500), All);
  EXPECT_EQ(Members.countedMembers(at(30000)), All);
}

// Guards against excluding a host that answers because the live list is wrong.
TEST(MembershipTest, HeardMemberCountsWhateverTheListShows) {
  Membership Members = threeHosts();
  Members.setListed(at(0), {HostId("a")});
  Members.setListed(at(20000), {HostId("a")});
  Members.noteHeartbeat(at(20000), beat("c", 19990));
  const std::vector<HostId> Expected{HostId("a"), HostId("c")};
  EXPECT_EQ(Members.countedMembers(at(20100)), Expected);
}

// Guards against outage evidence without a host that registered after the
// member rows were read.
TEST(MembershipTest, SenderOfAHeartbeatIsAMemberBeforeItsRowIsRead) {
  Membership Members = threeHosts();
  Heartbeat Request = beat("d", 0);
  Request.Vouch_.SentAt_ = UnknownTime;
  Members.noteHeartbeat(at(500), Request);
  Members.setRegistered(at(600), {member("a"), member("b"), member("c")});
  EXPECT_EQ(Members.countedMembers(at(600)).size(), 4u);
  EXPECT_EQ(Members.livePeers(at(600)), std::vector{HostId("a")});
  Members.setRegistered(at(20000), {member("a"), member("b"), member("c")});
  EXPECT_EQ(Members.countedMembers(at(20000)).size(), 3u);
}

// Guards against unregistered hosts counting themselves as members, since no
// other host would wait for their vouch.
TEST(MembershipTest, HostCountsItselfOnlyOnceRegistered) {
  Membership Members(member("a"));
  EXPECT_TRUE(Members.countedMembers(at(0)).empty());
  Members.setRegistered(at(0), {member("b")});
  EXPECT_EQ(Members.countedMembers(at(0)), std::vector{HostId("b")});
  EXPECT_EQ(Members.livePeers(at(0)), std::vector{HostId("a")});
}

TEST(MembershipTest, SilentAndDrainingHostsAreNotLive) {
  Membership Members = threeHosts();
  Members.noteHeartbeat(at(1000), beat("b", 1000));
  Heartbeat Leaving = beat("c", 1000);
  Leaving.Draining_ = true;
  Members.noteHeartbeat(at(1000), Leaving);
  const std::vector<HostId> Live{HostId("a"), HostId("b")};
  EXPECT_EQ(Members.livePeers(at(2500)), Live);
  EXPECT_EQ(Members.livePeers(at(2501)), std::vector{HostId("a")});
  Members.setDraining(true);
  EXPECT_TRUE(Members.livePeers(at(2501)).empty());
}

// Guards against two hosts that both rank first for a takeover, and against one
// host that accumulates all partitions.
RC_GTEST_PROP(MembershipTest, RanksOfLiveHostsDifferAndFewerOwnedComesFirst,
              ()) {
  const auto Counts =
      *rc::gen::container<std::vector<int>>(3, rc::gen::inRange(0, 3));
  const std::vector<std::string> Names{"a", "b", "c"};
  std::vector<std::uint32_t> Ranks;
  for (std::size_t Self = 0; Self < 3; ++Self) {
    Membership Members(member(Names[Self]));
    for (std::size_t Host = 0; Host < 3; ++Host) {
      std::vector<OwnedPartition> Owned(static_cast<std::size_t>(Counts[Host]));
      for (std::size_t I = 0; I < Owned.size(); ++I)
        Owned[I] = {PartitionId(Names[Host] + std::to_string(I)), 1, 0};
      if (Host == Self)
        Members.setOwned(Owned);
      else
        Members.noteHeartbeat(at(0), beat(Names[Host], 0, Owned));
    }
    Ranks.push_back(Members.takeoverRank(TestedPartition, at(0)));
  }
  for (std::size_t I = 0; I < 3; ++I)
    for (std::size_t J = 0; J < 3; ++J)
      if (Counts[I] < Counts[J])
        RC_ASSERT(Ranks[I] < Ranks[J]);
  std::ranges::sort(Ranks);
  RC_ASSERT((Ranks == std::vector<std::uint32_t>{0, 1, 2}));
}

// Guards against routing to a fenced owner after heartbeats and rows that
// arrive late, twice or in any order.
RC_GTEST_PROP(MembershipTest, OwnerEpochNeverFalls, ()) {
  Membership Members = threeHosts();
  Epoch Highest = 0;
  const auto Steps =
      *rc::gen::container<std::vector<int>>(20, rc::gen::inRange(0, 1000));
  for (const int Step : Steps) {
    // Each epoch has one owner: "b" in odd epochs, "c" in even ones.
    const Epoch Seen = 1 + static_cast<Epoch>(Step % 7);
    const std::string Owner = Seen % 2 == 1 ? "b" : "c";
    const int Kind = Step / 7 % 4;
    if (Kind == 0)
      Members.noteHeartbeat(at(2000),
                            beat(Owner, Step, {{TestedPartition, Seen, 0}}));
    else if (Kind == 1)
      Members.noteHeartbeat(at(2000), beat(Owner, Step));
    else
      Members.noteOwnerRow(TestedPartition, Seen,
                           HostId(Kind == 2 ? Owner : ""));
    if (Kind != 1)
      Highest = std::max(Highest, Seen);
    if (const auto Found = Members.ownerOf(TestedPartition))
      RC_ASSERT(Found->Host_ == HostId(Highest % 2 == 1 ? "b" : "c"));
  }
}

} // namespace
} // namespace oleandergauge
