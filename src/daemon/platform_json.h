#ifndef OLEANDERGAUGE_DAEMON_PLATFORM_JSON_H
#define OLEANDERGAUGE_DAEMON_PLATFORM_JSON_H

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "daemon/http_request.h"
#include "oleandergauge/base.h"

namespace oleandergauge::daemon {

/// JSON conversions that several platform clients use.

nlohmann::json toJson(const Resources &Value);
/// Missing components are zero. Throws nlohmann::json::exception if a component
/// is not a number.
Resources parseResources(const nlohmann::json &Value);

/// Formats a task as "<job>:<index>".
std::string formatTaskId(const TaskId &Task);
/// Parses "<job>:<index>"; returns nullopt if the text has no valid index.
std::optional<TaskId> parseTaskId(const std::string &Text);

/// Parses the body of a reply with this status as a JSON object. Returns
/// nullopt if no reply came, its status differs or its body is not a JSON
/// object.
std::optional<nlohmann::json> parseReplyObject(const HttpReply &Reply,
                                               unsigned Status);

/// Runs a function that reads JSON values. Returns nullopt if it throws because
/// a value is missing or has another type.
template <typename Function> auto tryParse(Function Parse) {
  using Parsed = std::optional<decltype(Parse())>;
  try {
    return Parsed(Parse());
  } catch (const nlohmann::json::exception &) {
    return Parsed();
  }
}

/// Serializes a JSON value; returns nullopt if a string in it is not UTF-8.
std::optional<std::string> dumpIfUtf8(const nlohmann::json &Value);

/// Removes all slashes from the end of a base URL.
std::string trimTrailingSlashes(std::string BaseUrl);

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_PLATFORM_JSON_H
