#include "oleandergauge/config.h"

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace oleandergauge {
namespace {

Record record(const std::string &Name, RecordBody Body) {
  return {Name, 2, std::move(Body), "", 1};
}

Record stripe(const std::string &Name, const std::string &Of,
              std::uint32_t Stripe, std::uint32_t Stripes) {
  return record(Name, PartitionRecord{Region(Of), Stripe, Stripes});
}

ConfigView cell() {
  return ConfigView(
      9, {record("hash-1", KeyRecord{TeamId("red"), false}),
          record("hash-2", KeyRecord{TeamId("red"), true}),
          record("hash-3", KeyRecord{TeamId("blue"), false}),
          record("any", QueueRecord{WorkClass::Direct, true, {}}),
          record("keyed", QueueRecord{WorkClass::Batch, false, {}}),
          record("reds", QueueRecord{WorkClass::Batch, false, {TeamId("red")}}),
          record("red", LimitRecord{5}), record("red", ShareRecord{2.5}),
          record("z1", FailureDomainRecord{true}),
          record("w1", WorkerRecord{true}), stripe("p0", "north", 0, 2),
          stripe("p1", "north", 1, 2), stripe("p2", "south", 0, 1)});
}

RefusalReason reasonOf(const Result<TeamId> &Answer) {
  EXPECT_FALSE(Answer);
  EXPECT_EQ(Answer.error().Verdict_, Verdict::NotRun);
  return Answer.error().Reason_;
}

// Guards against running work for a team without that team's key (P3).
TEST(ConfigViewTest, AuthorizesOnlyTheTeamOfTheKey) {
  const ConfigView View = cell();
  const QueueId Keyed("keyed");
  EXPECT_EQ(View.authorize("hash-1", TeamId(), Keyed), TeamId("red"));
  EXPECT_EQ(View.authorize("hash-1", TeamId("red"), Keyed), TeamId("red"));
  EXPECT_EQ(reasonOf(View.authorize("hash-1", TeamId("blue"), Keyed)),
            RefusalReason::WrongTeam);
  EXPECT_EQ(reasonOf(View.authorize("none", TeamId("red"), Keyed)),
            RefusalReason::UnknownKey);
  EXPECT_EQ(reasonOf(View.authorize("hash-2", TeamId("red"), Keyed)),
            RefusalReason::UnknownKey);
  EXPECT_EQ(reasonOf(View.authorize(std::nullopt, TeamId("red"), Keyed)),
            RefusalReason::UnknownKey);
  EXPECT_EQ(reasonOf(View.authorize("hash-3", TeamId(), QueueId("reds"))),
            RefusalReason::WrongTeam);
  EXPECT_EQ(reasonOf(View.authorize("hash-1", TeamId(), QueueId("no"))),
            RefusalReason::UnknownQueue);
}

// Guards against accepting a withdrawn key, or a request without a team, on a
// queue that is open to all.
TEST(ConfigViewTest, OpenQueueNeedsNoKeyButNoWithdrawnOne) {
  const ConfigView View = cell();
  const QueueId Open("any");
  EXPECT_EQ(View.authorize(std::nullopt, TeamId("red"), Open), TeamId("red"));
  EXPECT_EQ(reasonOf(View.authorize(std::nullopt, TeamId(), Open)),
            RefusalReason::WrongTeam);
  EXPECT_EQ(reasonOf(View.authorize("hash-2", TeamId("red"), Open)),
            RefusalReason::UnknownKey);
}

// Guards against running work of a team that has no limit record (P4).
TEST(ConfigViewTest, AbsentRecordsHaveTheirDefaults) {
  const ConfigView View = cell();
  EXPECT_EQ(View.limitOf(TeamId("red")), 5u);
  EXPECT_EQ(View.limitOf(TeamId("blue")), 0u);
  EXPECT_EQ(View.weightOf(TeamId("red")), 2.5);
  EXPECT_EQ(View.weightOf(TeamId("blue")), 1.0);
  EXPECT_TRUE(View.isOut(FailureDomain("z1")));
  EXPECT_FALSE(View.isOut(FailureDomain("z2")));
  EXPECT_TRUE(View.isDraining(WorkerId("w1")));
  EXPECT_FALSE(View.isDraining(WorkerId("w2")));
  EXPECT_EQ(ConfigView().homePartitionOf(TeamId("red"), RequestId("1")),
            std::nullopt);
}

// Guards against a record kind that is written and read under different names.
TEST(ConfigViewTest, KindsHaveOneNameEach) {
  for (int I = 0; I <= static_cast<int>(RecordKind::Partition); ++I) {
    const auto Kind = static_cast<RecordKind>(I);
    EXPECT_EQ(parseRecordKind(toString(Kind)), Kind);
  }
  EXPECT_EQ(kindOf(PartitionRecord{}), RecordKind::Partition);
  EXPECT_EQ(kindOf(FailureDomainRecord{}), RecordKind::FailureDomain);
  EXPECT_EQ(parseRecordKind("teams"), std::nullopt);
}

// Guards against a worker that belongs to two partitions, whose owners would
// both assign work to it (P1).
RC_GTEST_PROP(ConfigViewTest, EveryRackHasOnePartition,
              (const std::string &Name)) {
  const ConfigView View = cell();
  const auto North = View.partitionOf(Region("north"), Rack(Name));
  RC_ASSERT(North == PartitionId("p0") || North == PartitionId("p1"));
  RC_ASSERT(View.partitionOf(Region("south"), Rack(Name)) == PartitionId("p2"));
  RC_ASSERT(!View.partitionOf(Region("west"), Rack(Name)));
  const ConfigView Split(
      1, {stripe("p0", "north", 0, 1), stripe("p1", "north", 0, 1)});
  RC_ASSERT(!Split.partitionOf(Region("north"), Rack(Name)));
}

// Guards against a retry at another host reaching another home, where it
// would run again (P8).
RC_GTEST_PROP(ConfigViewTest, HomeDependsOnTheSetOfPartitionsOnly,
              (const std::string &Request)) {
  const ConfigView View = cell();
  std::vector<Record> Turned = View.records();
  std::ranges::reverse(Turned);
  const ConfigView Other(12, Turned);
  const auto Home = View.homePartitionOf(TeamId("red"), RequestId(Request));
  RC_ASSERT(Home && View.partitions().contains(*Home));
  RC_ASSERT(Home == Other.homePartitionOf(TeamId("red"), RequestId(Request)));
}

} // namespace
} // namespace oleandergauge
