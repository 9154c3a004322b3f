#ifndef OLEANDERGAUGE_DAEMON_API_REPLY_H
#define OLEANDERGAUGE_DAEMON_API_REPLY_H

#include <optional>
#include <string>

#include "daemon/http_server.h"
#include "oleandergauge/base.h"

namespace oleandergauge::daemon {

/// A body that is JSON already.
ApiReply jsonReply(unsigned Status, std::string Body);

/// `{verdict, reason, message, retry_after_ms}`; closes the connection of a
/// host that drains, so that the caller's next request goes elsewhere.
ApiReply refusalReply(const Refusal &Why);

/// The lower-case hexadecimal SHA-256 of a key, as key records are named.
std::string hashKey(const std::string &Key);

/// The key of a header "Authorization: Bearer <key>".
std::optional<std::string> bearerKey(const std::string &Authorization);

/// Compares in a time that does not depend on the texts' content.
bool equalSecrets(const std::string &A, const std::string &B);

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_API_REPLY_H
