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

/// Writes log lines as JSON to standard output without blocking. Lines are
/// buffered until flush(). Lines above the limit per second, and lines that do
/// not fit into the buffer because the reader is slow, are dropped and counted.
class JsonLog {
public:
  explicit JsonLog(std::string Host);
  /// Logs a decision on a request or a task. Limited per second.
  void logDecision(std::string_view Message,
                   std::initializer_list<LogField> Fields);
  /// Logs a change of the process or of a dependency, such as start, stop,
  /// reload or a lost connection, and flushes. Not limited per second.
  void logEvent(std::string_view Message,
                std::initializer_list<LogField> Fields);
  /// Writes the buffered lines as far as the output accepts them.
  void flush();

private:
  void appendLine(std::string_view Message,
                  std::initializer_list<LogField> Fields);
  std::string Host_;
  std::string Buffer_;
  Millis CurrentSecond_ = 0;
  int LinesThisSecond_ = 0;
  std::int64_t DroppedLines_ = 0;
};

} // namespace oleandergauge::node

#endif // OLEANDERGAUGE_NODE_JSON_LOG_H
