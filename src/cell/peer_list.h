#ifndef OLEANDERGAUGE_CELL_PEER_LIST_H
#define OLEANDERGAUGE_CELL_PEER_LIST_H

#include "cell/types.h"

namespace oleandergauge::cell {

/// Minimum time between two lists of all addresses that a follower is sent.
constexpr Millis PeerListInterval = 2000;

/// The list of all addresses that a follower was sent last.
struct SentPeerList {
  std::uint64_t Version_ = 0; ///< 0 if the follower was sent none.
  Millis NextAt_ = 0;         ///< When the follower may be sent the next one.
  friend bool operator==(const SentPeerList &, const SentPeerList &) = default;
};

/// Decides when the owner sends a follower the list of the addresses of all
/// followers. If every heartbeat contained the list, all heartbeats together
/// would grow with the square of the number of followers. A follower is
/// therefore sent the list only if it has changed, and not more often than
/// PeerListInterval.
class PeerListSchedule {
public:
  /// Records that a follower has connected or left.
  void recordChange() { ++Version_; }
  /// Returns whether a follower that was last sent \p Last is sent the list at
  /// \p Now.
  bool isDue(const SentPeerList &Last, Millis Now) const;
  /// Returns the record of the present list for a follower that is sent it at
  /// \p Now.
  SentPeerList sentAt(Millis Now) const;

private:
  std::uint64_t Version_ = 1;
};

} // namespace oleandergauge::cell

#endif // OLEANDERGAUGE_CELL_PEER_LIST_H
