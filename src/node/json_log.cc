#include "node/json_log.h"

#include <algorithm>
#include <cstdio>
#include <ctime>

#include <fcntl.h>
#include <unistd.h>

namespace oleandergauge::node {
namespace {

/// Lines on decisions that one process writes in a second.
constexpr int MaxLinesPerSecond = 2000;
/// A pipe takes as many bytes at once, or none.
constexpr std::size_t WriteBytes = 4000;
constexpr std::size_t MaxUnwritten = 1U << 18;

void appendText(std::string &Out, std::string_view Text) {
  Out += '"';
  for (const char C : Text) {
    const auto Byte = static_cast<unsigned char>(C);
    if (C == '"' || C == '\\') {
      Out += '\\';
      Out += C;
    } else if (Byte < 0x20 || Byte >= 0x7f) {
      char Escaped[8];
      std::snprintf(Escaped, sizeof Escaped, "\\u%04x", Byte);
      Out += Escaped;
    } else {
      Out += C;
    }
  }
  Out += '"';
}

} // namespace

JsonLog::JsonLog(std::string Host) : Host_(std::move(Host)) {
  const int Flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (Flags >= 0)
    fcntl(STDOUT_FILENO, F_SETFL, Flags | O_NONBLOCK);
}

void JsonLog::line(std::string_view Message,
                   std::initializer_list<LogField> Fields) {
  if (Unwritten_.size() > MaxUnwritten) {
    ++Dropped_;
    return;
  }
  const Millis Now = wallTime();
  const std::time_t Seconds = Now / 1000;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  char Stamp[40];
  std::snprintf(Stamp, sizeof Stamp, "%04d-%02d-%02dT%02d:%02d:%02d.%03dZ",
                Parts.tm_year + 1900, Parts.tm_mon + 1, Parts.tm_mday,
                Parts.tm_hour, Parts.tm_min, Parts.tm_sec,
                static_cast<int>(Now % 1000));
  Unwritten_ += "{\"ts\":\"";
  Unwritten_ += Stamp;
  Unwritten_ += "\",\"host\":";
  appendText(Unwritten_, Host_);
  Unwritten_ += ",\"msg\":";
  appendText(Unwritten_, Message);
  for (const LogField &Field : Fields) {
    Unwritten_ += ',';
    appendText(Unwritten_, Field.Name_);
    Unwritten_ += ':';
    if (const auto *Text = std::get_if<std::string_view>(&Field.Value_))
      appendText(Unwritten_, *Text);
    else
      Unwritten_ += std::to_string(std::get<std::int64_t>(Field.Value_));
  }
  Unwritten_ += "}\n";
}

void JsonLog::decision(std::string_view Message,
                       std::initializer_list<LogField> Fields) {
  const Millis Second = bootTime() / 1000;
  if (Second != Second_) {
    Second_ = Second;
    InSecond_ = 0;
    if (Dropped_ > 0)
      line("log lines dropped", {{"count", Dropped_}});
    Dropped_ = 0;
  }
  if (++InSecond_ > MaxLinesPerSecond) {
    ++Dropped_;
    return;
  }
  line(Message, Fields);
}

void JsonLog::event(std::string_view Message,
                    std::initializer_list<LogField> Fields) {
  line(Message, Fields);
  flush();
}

void JsonLog::flush() {
  if (Unwritten_.empty())
    return;
  std::size_t Done = 0;
  while (Done < Unwritten_.size()) {
    // Whole lines, so that writers to one pipe do not mix within a line.
    std::size_t Size = std::min(WriteBytes, Unwritten_.size() - Done);
    const std::size_t LineEnd = Unwritten_.rfind('\n', Done + Size - 1);
    if (LineEnd != std::string::npos && LineEnd >= Done)
      Size = LineEnd + 1 - Done;
    const ssize_t Written =
        write(STDOUT_FILENO, Unwritten_.data() + Done, Size);
    if (Written <= 0)
      break;
    Done += static_cast<std::size_t>(Written);
  }
  Unwritten_.erase(0, Done);
}

} // namespace oleandergauge::node
