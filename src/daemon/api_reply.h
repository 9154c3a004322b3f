#ifndef OLEANDERGAUGE_DAEMON_API_REPLY_H
#define OLEANDERGAUGE_DAEMON_API_REPLY_H

#include <optional>
#include <string>

#include "daemon/http_server.h"
#include "oleandergauge/base.h"

namespace oleandergauge::daemon {

/// Makes a reply whose body \p Body is serialized JSON.
ApiReply jsonReply(unsigned Status, std::string Body);

/// Makes a reply with the JSON body `{verdict, reason, message,
/// retry_after_ms}`. A refusal of a draining host also closes the connection,
/// so that the caller's next request can reach another host.
ApiReply refusalReply(const Refusal &Cause);

/// Returns the lower-case hexadecimal SHA-256 digest of a key. Key records are
/// stored under this digest.
std::string hashKey(const std::string &Key);

/// Extracts the key from the value "Bearer <key>" of an Authorization header.
/// Returns nullopt for any other scheme.
std::optional<std::string> bearerKey(const std::string &Authorization);

/// Compares two secrets in a time that does not depend on their content.
bool equalSecrets(const std::string &A, const std::string &B);

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_API_REPLY_H
