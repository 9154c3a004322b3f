#include "cell/peer_list.h"

namespace oleandergauge::cell {

bool PeerListSchedule::isDue(const SentPeerList &Last, Millis Now) const {
  return Last.Version_ != Version_ && Now >= Last.NextAt_;
}

SentPeerList PeerListSchedule::sentAt(Millis Now) const {
  return {Version_, Now + PeerListInterval};
}

} // namespace oleandergauge::cell
