#include "oleandergauge/allotment.h"

#include <memory>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fake_table.h"

namespace oleandergauge {
namespace {

using std::chrono::milliseconds;

const TeamId Red("red");
const TeamId Blue("blue");

std::uint64_t sumOf(const AllotmentRow &Row) {
  std::uint64_t Sum = 0;
  for (const auto &[Partition, Grant] : Row.Grants_)
    Sum += Grant;
  return Sum;
}

/// A partition and the tasks that it runs.
class SimulatedPartition {
public:
  SimulatedPartition(VirtualTime &Time, FakeTable &Table, unsigned Index)
      : Time_(Time), Table_(Table), Self_("p" + std::to_string(Index)) {
    takeOver();
  }

  const PartitionId &id() const { return Self_; }
  std::string fenceKey() const { return "owner/" + Self_.str(); }
  Allotments &allotments() { return *Allotments_; }
  std::uint32_t &running(const TeamId &Team) { return Running_[Team]; }

  /// Another host takes over the partition and its running tasks. The requests
  /// of the deposed owner stay in flight, and it keeps polling.
  void takeOver() {
    Table_.apply(Transaction{{}, {{fenceKey(), "owner"}}});
    Former_ = std::move(Allotments_);
    FormerReply_ = std::move(Reply_);
    Allotments_ = std::make_unique<Allotments>(Self_);
    Allotments_->open({fenceKey(), Table_.find(fenceKey()).Version_});
    Allotments_->setLimits(Limits_);
    for (const auto &[Team, Count] : Running_)
      for (std::uint32_t Task = 0; Task < Count; ++Task)
        Allotments_->noteStarted(Team);
  }

  void setLimits(const std::map<TeamId, std::uint32_t> &Limits) {
    Limits_ = Limits;
    Allotments_->setLimits(Limits);
  }

  /// Starts up to \p Wanted tasks within the headroom. The others wait.
  void start(const TeamId &Team, std::uint32_t Wanted) {
    for (; Wanted > 0 && Allotments_->headroomOf(Team) > 0; --Wanted) {
      Allotments_->noteStarted(Team);
      ++Running_[Team];
    }
    Allotments_->setDemand(Team, Wanted);
  }

  void end(const TeamId &Team, std::uint32_t Count) {
    for (; Count > 0 && Running_[Team] > 0; --Count) {
      Allotments_->noteEnded(Team);
      --Running_[Team];
    }
  }

  void stopExcess() {
    for (const Excess &Entry : Allotments_->excess())
      end(Entry.Team_, Entry.Count_);
  }

  void tick() {
    tick(*Allotments_, Reply_);
    if (Former_)
      tick(*Former_, FormerReply_);
  }

private:
  using ReplySlot = std::shared_ptr<std::optional<TableReply>>;

  void tick(Allotments &Target, ReplySlot &Reply) {
    if (Reply && !*Reply)
      return;
    if (Reply)
      Target.answered(Time_.now(), **Reply);
    Reply.reset();
    const auto Request = Target.poll(Time_.now(), TimePoint::max());
    if (!Request)
      return;
    Reply = std::make_shared<std::optional<TableReply>>();
    Table_.send(*Request, [Reply](const TableReply &Value) { *Reply = Value; });
  }

  VirtualTime &Time_;
  FakeTable &Table_;
  PartitionId Self_;
  std::map<TeamId, std::uint32_t> Limits_;
  std::map<TeamId, std::uint32_t> Running_;
  std::unique_ptr<Allotments> Allotments_;
  std::unique_ptr<Allotments> Former_;
  ReplySlot Reply_;
  ReplySlot FormerReply_;
};

/// A simulation of three partitions, two teams and one table.
struct AllotmentSimulation {
  explicit AllotmentSimulation(std::uint64_t Seed) : Table_(Time_, Seed) {
    Table_.watch([this](const Row &Before, const Row &After) {
      checkWrite(Before, After);
    });
    for (unsigned Index = 0; Index < 3; ++Index)
      Partitions_.emplace_back(Time_, Table_, Index);
    setLimits({{Red, 10}, {Blue, 3}});
  }

  AllotmentRow rowOf(const TeamId &Team) const {
    return decodeAllotment(Table_.find(allotmentKey(Team)).Value_).value();
  }

  /// Returns the highest limit under which a write that takes effect now may
  /// have been sent. The fake table delays a write by up to 4 s and the delay
  /// of a message.
  std::uint32_t limitAtSending(const TeamId &Team) const {
    constexpr milliseconds MaxWriteDelay(4100);
    std::uint32_t Highest = 0;
    for (auto It = PastLimits_.rbegin(); It != PastLimits_.rend(); ++It) {
      const auto Found = It->second.find(Team);
      if (Found != It->second.end())
        Highest = std::max(Highest, Found->second);
      if (Time_.now() - It->first > MaxWriteDelay)
        break; // Earlier limits ended before such a write was sent.
    }
    return Highest;
  }

  /// Checks that no write raises the sum of the grants above the limit.
  void checkWrite(const Row &Before, const Row &After) {
    if (!After.Key_.starts_with("allotment/"))
      return;
    const TeamId Team(After.Key_.substr(std::string("allotment/").size()));
    const std::uint64_t Sum = sumOf(decodeAllotment(After.Value_).value());
    const std::uint64_t Old = sumOf(decodeAllotment(Before.Value_).value());
    RC_ASSERT(Sum <= std::max<std::uint64_t>(Old, limitAtSending(Team)));
  }

  /// Checks that the running tasks of each partition and those that it may
  /// start are covered by its grant in the table.
  void checkGrants() {
    for (const TeamId &Team : {Red, Blue})
      for (SimulatedPartition &Partition : Partitions_) {
        AllotmentRow Row = rowOf(Team);
        const std::uint32_t Usable =
            Partition.running(Team) + Partition.allotments().headroomOf(Team);
        RC_ASSERT(Usable <= Row.Grants_[Partition.id()]);
        RC_ASSERT(Partition.running(Team) ==
                  Partition.allotments().runningOf(Team));
      }
  }

  void setLimits(const std::map<TeamId, std::uint32_t> &Limits) {
    Limits_ = Limits;
    PastLimits_.emplace_back(Time_.now(), Limits);
    for (SimulatedPartition &Partition : Partitions_)
      Partition.setLimits(Limits);
  }

  void run(Duration Span) {
    for (const TimePoint End = Time_.now() + Span; Time_.now() < End;) {
      Time_.advance(milliseconds(5));
      for (SimulatedPartition &Partition : Partitions_)
        Partition.tick();
      checkGrants();
    }
  }

  void apply(const Step &Value) {
    SimulatedPartition &Chosen = Partitions_[Value.Actor_];
    const TeamId &Team = Value.Amount_ % 3 == 0 ? Blue : Red;
    switch (Value.Kind_) {
    case 0:
    case 1:
      return run(milliseconds(20) * Value.Amount_);
    case 2:
    case 3:
      return Chosen.start(Team, Value.Amount_ % 15);
    case 4:
      return Chosen.end(Team, Value.Amount_ % 15);
    case 5:
      return Table_.setFaultRate(Value.Amount_);
    case 6:
      return Chosen.takeOver();
    case 7:
      return Chosen.stopExcess();
    default:
      return setLimits({{Team, Value.Amount_ % 12}, {Red, 7}, {Blue, 2}});
    }
  }

  VirtualTime Time_;
  FakeTable Table_;
  std::vector<SimulatedPartition> Partitions_;
  std::map<TeamId, std::uint32_t> Limits_;
  std::vector<std::pair<TimePoint, std::map<TeamId, std::uint32_t>>>
      PastLimits_;
};

// Guards against a team exceeding its limit because a grant is counted twice,
// used after it was returned, lost in a takeover or raised by a late write, and
// against a part of the limit that no partition can obtain after the faults.
RC_GTEST_PROP(AllotmentTest, GrantsStayWithinTheLimitAndReachTheDemand, ()) {
  AllotmentSimulation Simulation(*rc::gen::arbitrary<std::uint64_t>());
  Simulation.run(milliseconds(100));
  for (const Step &Value : *genSteps(9, 3))
    Simulation.apply(Value);
  Simulation.Table_.setFaultRate(0);
  for (int Round = 0; Round < 20; ++Round) {
    Simulation.run(milliseconds(500));
    for (SimulatedPartition &Partition : Simulation.Partitions_)
      Partition.stopExcess();
  }
  for (const TeamId &Team : {Red, Blue})
    RC_ASSERT(sumOf(Simulation.rowOf(Team)) <= Simulation.Limits_[Team]);
  for (SimulatedPartition &Partition : Simulation.Partitions_) {
    Partition.end(Red, 100);
    Partition.start(Red, 0);
  }
  SimulatedPartition &Busy = Simulation.Partitions_.front();
  Busy.start(Red, 100);
  Simulation.run(milliseconds(5000));
  Busy.start(Red, 100);
  RC_ASSERT(Busy.running(Red) == Simulation.Limits_[Red]);
}

/// One partition whose table requests the test answers itself.
class AllotmentReplyTest : public ::testing::Test {
protected:
  AllotmentReplyTest() {
    Allotments_.open({"owner/p0", 7});
    Allotments_.setLimits({{Red, 16}});
    Allotments_.setDemand(Red, 3);
  }
  TimePoint at(int Millis) { return TimePoint(milliseconds(10000 + Millis)); }
  std::optional<TableRequest> poll(int Millis) {
    return Allotments_.poll(at(Millis), at(100000));
  }
  void answerRead(int Millis, const AllotmentRow &Row, std::uint64_t Version) {
    const auto Request = poll(Millis);
    ASSERT_TRUE(Request && std::holds_alternative<ReadKeys>(*Request));
    Allotments_.answered(
        at(Millis), Rows{{{allotmentKey(Red), encodeAllotment(Row), Version}}});
  }
  AllotmentRow written(const std::optional<TableRequest> &Request) {
    const auto &Sent = std::get<Transaction>(Request.value());
    EXPECT_EQ(Sent.Conditions_.front(), (Condition{"owner/p0", 7}));
    return decodeAllotment(*Sent.Writes_.front().Value_).value();
  }

  const PartitionId First_{"p0"};
  const PartitionId Second_{"p1"};
  Allotments Allotments_{First_};
};

// Guards against one write for each started task: a grant is raised in steps of
// an eighth of the limit, and counts only once the write is confirmed.
TEST_F(AllotmentReplyTest, RaisesGrantsInStepsAndCountsThemAfterTheReply) {
  answerRead(0, {}, 0);
  EXPECT_EQ(written(poll(0)).Grants_.at(First_), 4U);
  EXPECT_EQ(Allotments_.headroomOf(Red), 0U);
  Allotments_.answered(at(1), OutcomeUnknown());
  EXPECT_EQ(Allotments_.headroomOf(Red), 0U);
  answerRead(1, {16, {{First_, 4}}, {}}, 1);
  EXPECT_EQ(Allotments_.headroomOf(Red), 4U);
}

// Guards against using a grant again after a write that returned it got no
// reply: the write may still take effect while the row is unchanged.
TEST_F(AllotmentReplyTest, ReturnedGrantIsUnusedUntilTheRowChanges) {
  const AllotmentRow Row{16, {{First_, 10}, {Second_, 6}}, {Second_}};
  answerRead(0, Row, 5);
  EXPECT_EQ(written(poll(0)).Grants_.at(First_), 3U);
  EXPECT_EQ(Allotments_.headroomOf(Red), 3U);
  Allotments_.answered(at(1), OutcomeUnknown());
  Allotments_.setDemand(Red, 9);
  answerRead(1, Row, 5);
  EXPECT_EQ(Allotments_.headroomOf(Red), 3U);
  EXPECT_EQ(written(poll(1)).Grants_.at(First_), 9U);
  Allotments_.answered(at(2), Committed{{6}});
  EXPECT_EQ(Allotments_.headroomOf(Red), 9U);
}

// Guards against a partition that starves because another one keeps unused
// grants.
TEST_F(AllotmentReplyTest, EntersTheWantingListWhenTheLimitIsUsedUp) {
  answerRead(0, {16, {{Second_, 16}}, {}}, 5);
  EXPECT_TRUE(written(poll(0)).Wanting_.contains(First_));
}

// Guards against starting or keeping more tasks than the partition's part of a
// lowered limit. The grant itself stays until the tasks have ended.
TEST_F(AllotmentReplyTest, LoweredLimitLeavesAProportionalPart) {
  for (int Task = 0; Task < 10; ++Task)
    Allotments_.noteStarted(Red);
  answerRead(0, {16, {{First_, 12}, {Second_, 4}}, {}}, 5);
  Allotments_.setLimits({{Red, 8}});
  EXPECT_EQ(Allotments_.headroomOf(Red), 0U);
  EXPECT_EQ(Allotments_.excess(), (std::vector<Excess>{{Red, 4}}));
  EXPECT_EQ(written(poll(0)).Grants_.at(First_), 10U);
}

// Guards against starting tasks under a lowered limit in the part that other
// partitions may still use, whether their grants are seen in the row or were
// made unseen before the limit was lowered.
TEST_F(AllotmentReplyTest, LoweredLimitCountsGrantsOfOthersThatAreNotSeen) {
  Allotments_.setDemand(Red, 0);
  answerRead(0, {16, {{First_, 4}}, {}}, 5);
  EXPECT_EQ(Allotments_.headroomOf(Red), 4U);
  Allotments_.setLimits({{Red, 14}});
  EXPECT_EQ(Allotments_.headroomOf(Red), 2U) << "others may have 12 of 16";
  Allotments_.setLimits({{Red, 3}});
  EXPECT_EQ(Allotments_.headroomOf(Red), 0U);
  Allotments_.noteStarted(Red);
  EXPECT_FALSE(Allotments_.mayRunStartedTasks(Red));
  Allotments_.noteEnded(Red);
  EXPECT_EQ(written(poll(500)).Grants_.at(First_), 3U);
  Allotments_.answered(at(501), Committed{{6}});
  answerRead(1000, {3, {{First_, 3}}, {}}, 6);
  EXPECT_EQ(Allotments_.headroomOf(Red), 0U);
  answerRead(4000, {3, {{First_, 3}}, {}}, 6);
  EXPECT_EQ(Allotments_.headroomOf(Red), 3U);
}

// Guards against further writes after another host has taken over the
// partition.
TEST_F(AllotmentReplyTest, ConflictOnTheOwnerRowFences) {
  answerRead(0, {}, 0);
  poll(0);
  Allotments_.answered(at(1), Conflicted{{{"owner/p0", "", 8}}});
  EXPECT_TRUE(Allotments_.isFenced());
  EXPECT_FALSE(poll(1000).has_value());
}

// Guards against a crash on arbitrary, truncated or modified bytes.
RC_GTEST_PROP(AllotmentCodecTest, DecodesArbitraryBytesWithoutCrash,
              (const std::string &Bytes, unsigned Cut, char Flip)) {
  decodeAllotment(Bytes);
  const AllotmentRow Row{
      5, {{PartitionId("p0"), 2}, {PartitionId("p1"), 3}}, {PartitionId("p2")}};
  std::string Known = encodeAllotment(Row);
  RC_ASSERT(decodeAllotment(Known) == Row);
  decodeAllotment(Known.substr(0, Cut % Known.size()));
  Known[Cut % Known.size()] = Flip;
  if (const auto Decoded = decodeAllotment(Known))
    RC_ASSERT(decodeAllotment(encodeAllotment(*Decoded)) == Decoded);
}

} // namespace
} // namespace oleandergauge
