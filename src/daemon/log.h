#ifndef OLEANDERGAUGE_DAEMON_LOG_H
#define OLEANDERGAUGE_DAEMON_LOG_H

#include <string>
#include <variant>
#include <vector>

#include "daemon/settings.h"

namespace oleandergauge::daemon {

/// A value of a log line, written as a JSON string or number.
using LogValue = std::variant<std::string, std::int64_t>;

/// One named value of a log line. Names in use: partition, epoch, team, job,
/// worker, peer, reason, verdict, version, count, duration_ms, address.
/// Neither keys nor bodies of requests are ever passed.
struct LogField {
  std::string Name_;
  LogValue Value_;
  friend bool operator==(const LogField &, const LogField &) = default;
};

/// Writes JSON lines to standard error from now on, each with the fields ts
/// (UTC, milliseconds), level, msg and host. Called once at start.
void startLog(const HostId &Host, LogLevel Least);

/// Safe from every thread.
void logLine(LogLevel Level, const std::string &Message,
             const std::vector<LogField> &Fields = {});

/// The line for one record, without the newline.
std::string formatLogLine(const std::string &Timestamp, const HostId &Host,
                          LogLevel Level, const std::string &Message,
                          const std::vector<LogField> &Fields);

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_LOG_H
