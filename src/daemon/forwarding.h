#ifndef OLEANDERGAUGE_DAEMON_FORWARDING_H
#define OLEANDERGAUGE_DAEMON_FORWARDING_H

#include "codec/peer.h"
#include "daemon/messages.h"

namespace oleandergauge::daemon {

/// The message that passes a caller's request on to the home's owner. Tokens
/// stay with their host.
codec::Forward makeForward(const PartitionId &Partition,
                           const HomeRequest &Request);

/// What the partition task is asked for a forwarded request, under the token
/// \p Id of the peer task.
HomeAsked takeForward(const codec::Forward &Passed, Token Id);

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_FORWARDING_H
