#include "daemon/platform_json.h"

#include <charconv>

namespace oleandergauge::daemon {

using nlohmann::json;

json toJson(const Resources &Value) {
  return {{"cpu_milli", Value.CpuMilli_},
          {"memory_mib", Value.MemoryMib_},
          {"accelerators", Value.Accelerators_},
          {"slots", Value.Slots_},
          {"connections", Value.Connections_}};
}

Resources parseResources(const json &Value) {
  Resources Parsed;
  Parsed.CpuMilli_ = Value.value("cpu_milli", std::int64_t{0});
  Parsed.MemoryMib_ = Value.value("memory_mib", std::int64_t{0});
  Parsed.Accelerators_ = Value.value("accelerators", 0);
  Parsed.Slots_ = Value.value("slots", 0);
  Parsed.Connections_ = Value.value("connections", 0);
  return Parsed;
}

std::string formatTaskId(const TaskId &Task) {
  return Task.Job_.str() + ":" + std::to_string(Task.Index_);
}

std::optional<TaskId> parseTaskId(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  TaskId Parsed{JobId(Text.substr(0, Colon)), 0};
  const char *First = Text.data() + Colon + 1;
  const char *Last = Text.data() + Text.size();
  const auto [End, Error] = std::from_chars(First, Last, Parsed.Index_);
  if (Error != std::errc() || End != Last)
    return std::nullopt;
  return Parsed;
}

std::optional<json> parseReplyObject(const HttpReply &Reply, unsigned Status) {
  if (Reply.HttpOutcome_ != HttpOutcome::Answered || Reply.Status_ != Status)
    return std::nullopt;
  json Parsed = json::parse(Reply.Body_, nullptr, false);
  if (!Parsed.is_object())
    return std::nullopt;
  return Parsed;
}

std::optional<std::string> dumpIfUtf8(const json &Value) {
  return tryParse([&Value] { return Value.dump(); });
}

std::string trimTrailingSlashes(std::string BaseUrl) {
  while (!BaseUrl.empty() && BaseUrl.back() == '/')
    BaseUrl.pop_back();
  return BaseUrl;
}

} // namespace oleandergauge::daemon
