#ifndef OLEANDERGAUGE_DAEMON_API_REPLY_H
#define OLEANDERGAUGE_DAEMON_API_REPLY_H

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "daemon/http_server.h"
#include "oleandergauge/base.h"

namespace oleandergauge::daemon {

/// The HTTP status that goes with a refusal.
unsigned statusOf(RefusalReason Reason);

ApiReply jsonResponse(unsigned Status, const nlohmann::json &Body);

/// `{verdict, reason, message, retry_after_ms}`; closes the connection of a
/// host that drains, so that the caller's next request goes elsewhere.
ApiReply refusalResponse(const Refusal &Why);

/// The lower-case hexadecimal SHA-256 of a key, as key records are named.
std::string hashKey(const std::string &Key);

/// The key of a header "Authorization: Bearer <key>".
std::optional<std::string> bearerKey(const std::string &Authorization);

/// Compares in a time that does not depend on the texts' content.
bool equalSecrets(const std::string &A, const std::string &B);

/// The identifier of the job that a team's request makes; every host makes the
/// same one, and it tells the team and the request.
JobId makeJobId(const TeamId &Team, const RequestId &Request);

/// What makeJobId joined.
struct JobIdParts {
  TeamId Team_;
  RequestId Request_;
  friend bool operator==(const JobIdParts &, const JobIdParts &) = default;
};
std::optional<JobIdParts> parseJobId(const JobId &Job);

/// Names of records and teams: 1 to 128 visible ASCII characters without '/'
/// and ':'.
bool isRecordName(const std::string &Text);
/// Identifiers of requests: 1 to 128 visible ASCII characters without '/'.
bool isRequestId(const std::string &Text);

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_API_REPLY_H
