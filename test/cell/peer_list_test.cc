#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "cell/peer_list.h"

namespace oleandergauge::cell {
namespace {

constexpr std::size_t Followers = 300;
constexpr Millis ConnectSpan = 300;
constexpr Millis HeartbeatInterval = 200;
constexpr Millis LeaveInterval = 1000;
constexpr Millis LastLeave = 10000;
constexpr Millis End = 20000;

struct Follower {
  std::size_t Address_ = 0;
  SentPeerList Sent_;
  std::vector<std::size_t> Known_;
};

/// An owner whose followers connect within ConnectSpan and of which one leaves
/// in every LeaveInterval until LastLeave.
struct OwnerSimulation {
  void runUntil(Millis Until) {
    for (; Now_ <= Until; ++Now_)
      step();
  }
  void step() {
    if (Now_ < ConnectSpan)
      connect();
    if (Now_ > 0 && Now_ <= LastLeave && Now_ % LeaveInterval == 0)
      disconnectOne();
    if (Now_ % HeartbeatInterval == 0)
      for (Follower &Each : Connected_)
        sendHeartbeat(Each);
  }
  void connect() {
    Connected_.push_back({Connected_.size(), {}, {}});
    Schedule_.recordChange();
    sendHeartbeat(Connected_.back());
  }
  void disconnectOne() {
    Connected_.erase(Connected_.begin());
    Schedule_.recordChange();
  }
  void sendHeartbeat(Follower &To) {
    if (!Schedule_.isDue(To.Sent_, Now_))
      return;
    To.Known_ = addresses();
    To.Sent_ = Schedule_.sentAt(Now_);
    AddressesSent_[static_cast<std::size_t>(Now_)] += To.Known_.size();
  }
  std::vector<std::size_t> addresses() const {
    std::vector<std::size_t> Out;
    for (const Follower &Each : Connected_)
      Out.push_back(Each.Address_);
    return Out;
  }
  /// Returns the number of addresses sent in [From, From + Span).
  std::size_t sentIn(Millis From, Millis Span) const {
    std::size_t Out = 0;
    for (Millis At = From; At < std::min(From + Span, End + 1); ++At)
      Out += AddressesSent_[static_cast<std::size_t>(At)];
    return Out;
  }

  Millis Now_ = 0;
  PeerListSchedule Schedule_;
  std::vector<Follower> Connected_;
  std::vector<std::size_t> AddressesSent_ = std::vector<std::size_t>(End + 1);
};

static_assert(ConnectSpan == Followers, "one follower connects per ms");

// Guards against an owner whose links are filled by lists when many followers
// connect: a list to each of them at each connection grows with the cube.
TEST(PeerList, SendsEachFollowerAtMostOneListPerInterval) {
  OwnerSimulation Played;
  Played.runUntil(End);
  for (Millis From = 0; From <= End; ++From)
    ASSERT_LE(Played.sentIn(From, PeerListInterval), Followers * Followers)
        << "from " << From << " ms";
}

// Guards against lists that are repeated although no follower came or left.
TEST(PeerList, SendsNoListWithoutAChange) {
  OwnerSimulation Played;
  Played.runUntil(End);
  const Millis Settled = LastLeave + PeerListInterval + HeartbeatInterval;
  EXPECT_EQ(Played.sentIn(Settled + 1, End - Settled), 0U);
}

// Guards against a follower that misses a change that came within the interval
// after its last list, and so announces a takeover to the wrong hosts.
TEST(PeerList, ReachesEachFollowerWithinIntervalAndHeartbeat) {
  for (Millis Final = LastLeave + 1; Final <= LastLeave + PeerListInterval;
       Final += HeartbeatInterval / 8) {
    OwnerSimulation Played;
    Played.runUntil(Final - 1);
    Played.disconnectOne();
    Played.runUntil(Final + PeerListInterval + HeartbeatInterval);
    ASSERT_EQ(Played.Connected_.size(), Followers - 11);
    for (const Follower &Each : Played.Connected_)
      ASSERT_EQ(Each.Known_, Played.addresses()) << "change at " << Final;
  }
}

} // namespace
} // namespace oleandergauge::cell
