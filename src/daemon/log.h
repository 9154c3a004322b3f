#ifndef OLEANDERGAUGE_DAEMON_LOG_H
#define OLEANDERGAUGE_DAEMON_LOG_H

#include <string>
#include <variant>
#include <vector>

#include "daemon/settings.h"

namespace oleandergauge::daemon {

/// A value in a log line, written as a JSON string or number.
using LogValue = std::variant<std::string, std::int64_t>;

/// A named value in a log line. Names in use: partition, epoch, team, job,
/// worker, peer, reason, verdict, version, count, duration_ms, address. Keys
/// and request bodies must never be logged.
struct LogField {
  std::string Name_;
  LogValue Value_;
  friend bool operator==(const LogField &, const LogField &) = default;
};

/// Starts logging to standard error, one JSON object per line with the fields
/// ts (UTC, milliseconds), level, msg and host. Lines below \p MinLevel are
/// dropped. Must be called once at startup.
void startLog(const HostId &Host, LogLevel MinLevel);

/// Writes a log line. Thread-safe.
void logLine(LogLevel Level, const std::string &Message,
             const std::vector<LogField> &Fields = {});

/// Formats a log line, without the newline.
std::string formatLogLine(const std::string &Timestamp, const HostId &Host,
                          LogLevel Level, const std::string &Message,
                          const std::vector<LogField> &Fields);

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_LOG_H
