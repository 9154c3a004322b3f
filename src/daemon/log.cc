#include "daemon/log.h"

#include <iostream>

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <glib.h>
#include <nlohmann/json.hpp>

namespace oleandergauge::daemon {
namespace {

namespace logging = boost::log;
using SeverityLogger = logging::sources::severity_logger_mt<LogLevel>;

SeverityLogger &logger() {
  static SeverityLogger Logger;
  return Logger;
}

HostId &logHost() {
  static HostId Host;
  return Host;
}

std::string timestamp() {
  GDateTime *Now = g_date_time_new_now_utc();
  char *Seconds = g_date_time_format(Now, "%Y-%m-%dT%H:%M:%S");
  char *Formatted = g_strdup_printf("%s.%03dZ", Seconds,
                                    g_date_time_get_microsecond(Now) / 1000);
  std::string Result = Formatted;
  g_free(Formatted);
  g_free(Seconds);
  g_date_time_unref(Now);
  return Result;
}

} // namespace

std::string formatLogLine(const std::string &Timestamp, const HostId &Host,
                          LogLevel Level, const std::string &Message,
                          const std::vector<LogField> &Fields) {
  nlohmann::ordered_json Line;
  Line["ts"] = Timestamp;
  Line["level"] = toString(Level);
  Line["msg"] = Message;
  Line["host"] = Host.str();
  for (const LogField &Field : Fields)
    std::visit([&](const auto &Value) { Line[Field.Name_] = Value; },
               Field.Value_);
  // Identifiers come from callers and may be invalid UTF-8.
  return Line.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

void startLog(const HostId &Host, LogLevel MinLevel) {
  namespace sinks = logging::sinks;
  using Backend = sinks::text_ostream_backend;
  logHost() = Host;
  auto Stream = boost::make_shared<Backend>();
  Stream->add_stream(
      boost::shared_ptr<std::ostream>(&std::cerr, boost::null_deleter()));
  Stream->auto_flush(true);
  auto Sink = boost::make_shared<sinks::synchronous_sink<Backend>>(Stream);
  Sink->set_filter(logging::expressions::attr<LogLevel>("Severity") >=
                   MinLevel);
  Sink->set_formatter(logging::expressions::stream
                      << logging::expressions::smessage);
  logging::core::get()->add_sink(Sink);
}

void logLine(LogLevel Level, const std::string &Message,
             const std::vector<LogField> &Fields) {
  BOOST_LOG_SEV(logger(), Level)
      << formatLogLine(timestamp(), logHost(), Level, Message, Fields);
}

} // namespace oleandergauge::daemon
