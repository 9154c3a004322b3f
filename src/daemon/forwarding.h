#ifndef OLEANDERGAUGE_DAEMON_FORWARDING_H
#define OLEANDERGAUGE_DAEMON_FORWARDING_H

#include "codec/peer.h"
#include "daemon/messages.h"

namespace oleandergauge::daemon {

/// Makes the message that forwards a caller's request to the owner of its home
/// partition. Tokens are local to a host and are not forwarded.
codec::Forward makeForward(const PartitionId &Partition,
                           const HomeRequest &Request);

/// Converts a forwarded request into the message to the partition task, with
/// the peer task's token \p Id.
HomeRequested unpackForward(const codec::Forward &Forwarded, Token Id);

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_FORWARDING_H
