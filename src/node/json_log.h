#ifndef OLEANDERGAUGE_NODE_JSON_LOG_H
#define OLEANDERGAUGE_NODE_JSON_LOG_H

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "node/loop.h"

namespace oleandergauge::node {

struct LogField {
  std::string_view Name_;
  std::variant<std::string_view, std::int64_t> Value_;
};

/// Writes JSON lines to standard output. Lines are collected and written by
/// flush(); a line is dropped, and counted, where more than the bound arrive
/// in a second or the reader does not keep up. Never waits.
class JsonLog {
public:
  explicit JsonLog(std::string Host);
  /// A decision on a request or a task. Bounded.
  void decision(std::string_view Message,
                std::initializer_list<LogField> Fields);
  /// Start, stop, reload, a lost or regained dependency. Not bounded.
  void event(std::string_view Message, std::initializer_list<LogField> Fields);
  void flush();

private:
  void line(std::string_view Message, std::initializer_list<LogField> Fields);
  std::string Host_;
  std::string Unwritten_;
  Millis Second_ = 0;
  int InSecond_ = 0;
  std::int64_t Dropped_ = 0;
};

} // namespace oleandergauge::node

#endif // OLEANDERGAUGE_NODE_JSON_LOG_H
