#include "oleandergauge/lease.h"

#include <memory>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fake_table.h"

namespace oleandergauge {
namespace {

using std::chrono::milliseconds;

const PartitionId Self("p0");
constexpr Duration TickLength = milliseconds(5);

/// A simulated host process. Its clock runs at a rate of its own, and its lease
/// is polled unless the process is paused.
class LeaseHost {
public:
  LeaseHost(VirtualTime &Time, FakeTable &Table, unsigned Rank,
            unsigned RatePermille)
      : Time_(Time), Table_(Table), Rank_(Rank), RatePermille_(RatePermille) {
    restart();
  }

  TimePoint clock() const {
    return TimePoint(Time_.now().time_since_epoch() * RatePermille_ / 1000);
  }
  bool isHeld() const { return Lease_->isHeld(clock()); }
  PartitionLease &lease() { return *Lease_; }
  bool leaving() const { return Leaving_; }
  void release() {
    Leaving_ = true;
    Lease_->release();
  }

  /// Replaces the process by a new one with the same host id.
  void restart() {
    Leaving_ = false;
    Lease_ = std::make_shared<PartitionLease>(
        Self, HostId("h" + std::to_string(Rank_)), "a");
    Replies_ = std::make_shared<std::vector<TableReply>>();
  }
  void pause(Duration Span) { PausedUntil_ = Time_.now() + Span; }

  void tick() {
    if (Time_.now() < PausedUntil_)
      return;
    for (const TableReply &Reply : *Replies_)
      Lease_->answered(clock(), Reply);
    Replies_->clear();
    if (const auto Request = Lease_->poll(clock(), Rank_, true))
      Table_.send(*Request, [Replies = Replies_](const TableReply &Reply) {
        Replies->push_back(Reply);
      });
  }

private:
  VirtualTime &Time_;
  FakeTable &Table_;
  unsigned Rank_;
  unsigned RatePermille_;
  bool Leaving_ = false;
  TimePoint PausedUntil_;
  std::shared_ptr<PartitionLease> Lease_;
  /// Shared with requests in flight, so that replies to an ended process are
  /// lost.
  std::shared_ptr<std::vector<TableReply>> Replies_;
};

/// A simulation of three hosts and one table.
struct LeaseSimulation {
  LeaseSimulation(std::uint64_t Seed, const std::vector<unsigned> &Rates)
      : Table_(Time_, Seed) {
    for (unsigned Index = 0; Index < 3; ++Index)
      Hosts_.emplace_back(Time_, Table_, Index, Rates[Index]);
  }

  std::vector<Epoch> holders() {
    std::vector<Epoch> Result;
    for (LeaseHost &Host : Hosts_)
      if (Host.isHeld())
        Result.push_back(Host.lease().epoch());
    return Result;
  }

  /// Fails if two hosts hold the lease at once or if an epoch has two holders.
  void run(Duration Span) {
    for (const TimePoint End = Time_.now() + Span; Time_.now() < End;) {
      Time_.advance(TickLength);
      for (LeaseHost &Host : Hosts_)
        Host.tick();
      RC_ASSERT(holders().size() <= 1U);
      for (const LeaseHost &Host : Hosts_)
        if (Host.isHeld())
          noteHolder(&Host - Hosts_.data());
    }
  }

  void noteHolder(std::ptrdiff_t Index) {
    const Epoch Held = Hosts_[Index].lease().epoch();
    RC_ASSERT(HolderOf_.try_emplace(Held, Index).first->second == Index);
    RC_ASSERT(Held == HolderOf_.rbegin()->first);
  }

  void apply(const Step &Value) {
    LeaseHost &Host = Hosts_[Value.Actor_];
    switch (Value.Kind_) {
    case 0:
      return run(milliseconds(50) * Value.Amount_);
    case 1:
      return Table_.setFaultRate(Value.Amount_);
    case 2:
      return Host.pause(milliseconds(50) * Value.Amount_);
    case 3:
      return Host.restart();
    case 4:
      return Host.release();
    case 5:
      return Host.lease().noteFenced();
    default:
      return Table_.setOut(Value.Amount_ % 2 == 1);
    }
  }

  VirtualTime Time_;
  FakeTable Table_;
  std::vector<LeaseHost> Hosts_;
  std::map<Epoch, std::ptrdiff_t> HolderOf_;
};

// Guards against two owners of a partition at once, whichever messages are lost
// or late, and against a partition that stays without owner after the faults
// have ended.
RC_GTEST_PROP(LeaseTest, NeverHasTwoHoldersAndRecoversOne, ()) {
  const auto Rates = *rc::gen::container<std::vector<unsigned>>(
      3, rc::gen::inRange<unsigned>(900, 1101));
  LeaseSimulation Simulation(*rc::gen::arbitrary<std::uint64_t>(), Rates);
  for (const Step &Value : *genSteps(7, 3))
    Simulation.apply(Value);
  Simulation.Table_.setOut(false);
  Simulation.Table_.setFaultRate(0);
  for (LeaseHost &Host : Simulation.Hosts_)
    if (Host.leaving())
      Host.restart();
  Simulation.run(milliseconds(12000));
  RC_ASSERT(Simulation.holders().size() == 1U);
}

/// One lease whose table requests the test answers itself.
class LeaseReplyTest : public ::testing::Test {
protected:
  TimePoint at(int Millis) { return TimePoint(milliseconds(10000 + Millis)); }
  TableReply apply(const std::optional<TableRequest> &Request) {
    return Table_.apply(Request.value());
  }
  void takeOver(PartitionLease &Lease, int Millis) {
    Lease.answered(at(Millis), apply(Lease.poll(at(Millis), 0, true)));
    Lease.answered(at(Millis), apply(Lease.poll(at(Millis), 0, true)));
    ASSERT_TRUE(Lease.isHeld(at(Millis)));
  }

  VirtualTime Time_;
  FakeTable Table_{Time_, 1};
  PartitionLease Lease_{Self, HostId("h0"), "a"};
};

// Guards against counting the lease from the reply, which may be late.
TEST_F(LeaseReplyTest, LeaseCountsFromTheRequest) {
  takeOver(Lease_, 0);
  const auto Renewal = Lease_.poll(at(500), 0, true);
  Lease_.answered(at(1500), apply(Renewal));
  EXPECT_EQ(Lease_.heldUntil(), at(500 + 1800));
  EXPECT_FALSE(Lease_.isHeld(at(2300)));
}

// Guards against extending the lease by a renewal that got no reply.
TEST_F(LeaseReplyTest, LostRenewalExtendsNothingAndIsReadBack) {
  takeOver(Lease_, 0);
  apply(Lease_.poll(at(500), 0, true));
  Lease_.answered(at(600), OutcomeUnknown());
  Lease_.answered(at(610), apply(Lease_.poll(at(600), 0, true)));
  EXPECT_EQ(Lease_.heldUntil(), at(1800));
  Lease_.answered(at(630), apply(Lease_.poll(at(620), 0, true)));
  EXPECT_EQ(Lease_.heldUntil(), at(620 + 1800));
}

// Guards against losing a takeover, and thereby 2.2 s, because its reply is
// lost, and against counting the lease from a later attempt.
TEST_F(LeaseReplyTest, LostTakeoverIsResolvedByReading) {
  Lease_.answered(at(0), apply(Lease_.poll(at(0), 0, true)));
  apply(Lease_.poll(at(0), 0, true));
  Lease_.answered(at(300), OutcomeUnknown());
  Lease_.answered(at(310), apply(Lease_.poll(at(300), 0, true)));
  EXPECT_TRUE(Lease_.isHeld(at(310)));
  EXPECT_EQ(Lease_.epoch(), 1U);
  EXPECT_EQ(Lease_.heldUntil(), at(1800));
}

// Guards against a new process that mistakes the rows of an earlier process
// with the same host id for its own.
TEST_F(LeaseReplyTest, EarlierProcessOfTheSameHostIsAnotherOwner) {
  takeOver(Lease_, 0);
  PartitionLease Later(Self, HostId("h0"), "a");
  Later.answered(at(100), apply(Later.poll(at(100), 0, true)));
  EXPECT_FALSE(Later.poll(at(110), 0, true).has_value());
  EXPECT_FALSE(Later.isHeld(at(110)));
  Later.answered(at(2300), apply(Later.poll(at(2300), 0, true)));
  EXPECT_EQ(Later.epoch(), 2U);
}

// Guards against one host taking over all partitions of a new cell because it
// reads their records some 500 ms before the others.
TEST_F(LeaseReplyTest, NewPartitionGoesToTheFirstRank) {
  Lease_.answered(at(0), apply(Lease_.poll(at(0), 1, true)));
  const auto Early = Lease_.poll(at(600), 1, true);
  ASSERT_TRUE(Early && std::holds_alternative<ReadKeys>(*Early));
  Lease_.answered(at(600), apply(Early));
  PartitionLease First(Self, HostId("h1"), "b");
  First.answered(at(600), apply(First.poll(at(600), 0, true)));
  First.answered(at(610), apply(First.poll(at(610), 0, true)));
  EXPECT_TRUE(First.isHeld(at(610)));
}

// Guards against acting as owner after a conflict has shown another owner's
// write.
TEST_F(LeaseReplyTest, ConflictStopsAtOnce) {
  takeOver(Lease_, 0);
  PartitionLease Other(Self, HostId("h1"), "b");
  Other.answered(at(0), apply(Other.poll(at(0), 0, true)));
  Other.answered(at(2300), apply(Other.poll(at(2300), 0, true)));
  ASSERT_TRUE(Other.isHeld(at(2300)));
  const auto Late = Lease_.poll(at(500), 0, true);
  Lease_.answered(at(600), apply(Late));
  EXPECT_FALSE(Lease_.isHeld(at(600)));
}

// Guards against discarding valid state: a holder whose lease expired without a
// successor continues with the same epoch.
TEST_F(LeaseReplyTest, ExpiredHolderRenewsTheSameEpoch) {
  takeOver(Lease_, 0);
  EXPECT_FALSE(Lease_.isHeld(at(5000)));
  Lease_.answered(at(5010), apply(Lease_.poll(at(5000), 0, true)));
  EXPECT_TRUE(Lease_.isHeld(at(5010)));
  EXPECT_EQ(Lease_.epoch(), 1U);
}

// Guards against a drain that leaves the partition without owner for the
// takeover delay, and against a successor that takes over before the last
// command of the former owner has taken effect.
TEST_F(LeaseReplyTest, ReleaseWaitsForCommandsAndAvoidsTheTakeoverDelay) {
  takeOver(Lease_, 0);
  Lease_.release();
  EXPECT_FALSE(Lease_.isHeld(at(490)));
  EXPECT_FALSE(Lease_.poll(at(490), 0, true).has_value());
  EXPECT_FALSE(Lease_.poll(at(889), 0, true).has_value());
  Lease_.answered(at(900), apply(Lease_.poll(at(890), 0, true)));
  EXPECT_TRUE(Lease_.isReleased());
  PartitionLease Next(Self, HostId("h1"), "b");
  takeOver(Next, 910);
  EXPECT_EQ(Next.epoch(), 2U);
}

// Guards against a takeover while a vouch for an outage binds the host (D4).
TEST_F(LeaseReplyTest, DoesNotTakeOverWhileBoundByAVouch) {
  Lease_.answered(at(0), apply(Lease_.poll(at(0), 0, false)));
  EXPECT_FALSE(Lease_.poll(at(400), 0, false).has_value());
  EXPECT_TRUE(Lease_.poll(at(400), 0, true).has_value());
}

} // namespace
} // namespace oleandergauge
