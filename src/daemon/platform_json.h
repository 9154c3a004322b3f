#ifndef OLEANDERGAUGE_DAEMON_PLATFORM_JSON_H
#define OLEANDERGAUGE_DAEMON_PLATFORM_JSON_H

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "daemon/http_request.h"
#include "oleandergauge/base.h"

namespace oleandergauge::daemon {

/// JSON forms that several platform clients share.

nlohmann::json toJson(const Resources &Value);
/// Missing components are zero. Throws nlohmann::json::exception where a
/// component is no number.
Resources parseResources(const nlohmann::json &Value);

/// "<job>:<index>".
std::string formatTaskId(const TaskId &Task);
/// Empty where the text has no index.
std::optional<TaskId> parseTaskId(const std::string &Text);

/// The body of an answer with this status as an object; empty where the
/// answer is another one.
std::optional<nlohmann::json> parseReplyObject(const HttpReply &Reply,
                                               unsigned Status);

/// Runs a function that reads JSON; empty where the JSON has another form.
template <typename Function> auto tryParse(Function Parse) {
  using Parsed = std::optional<decltype(Parse())>;
  try {
    return Parsed(Parse());
  } catch (const nlohmann::json::exception &) {
    return Parsed();
  }
}

/// Empty where a string in it is not UTF-8.
std::optional<std::string> dumpIfUtf8(const nlohmann::json &Value);

/// A base URL without the slash at its end.
std::string trimTrailingSlashes(std::string BaseUrl);

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_PLATFORM_JSON_H
