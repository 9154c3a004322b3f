#include "node/json_log.h"

#include <algorithm>
#include <cstdio>
#include <ctime>

#include <fcntl.h>
#include <unistd.h>

namespace oleandergauge::node {
namespace {

constexpr int MaxDecisionsPerSecond = 2000;
/// Below PIPE_BUF (4096 bytes), so that a write to a pipe is atomic.
constexpr std::size_t MaxWriteBytes = 4000;
constexpr std::size_t MaxBufferedBytes = 1U << 18;

void appendJsonString(std::string &Out, std::string_view Text) {
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

void JsonLog::appendLine(std::string_view Message,
                         std::initializer_list<LogField> Fields) {
  if (Buffer_.size() > MaxBufferedBytes) {
    ++DroppedLines_;
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
  Buffer_ += "{\"ts\":\"";
  Buffer_ += Stamp;
  Buffer_ += "\",\"host\":";
  appendJsonString(Buffer_, Host_);
  Buffer_ += ",\"msg\":";
  appendJsonString(Buffer_, Message);
  for (const LogField &Field : Fields) {
    Buffer_ += ',';
    appendJsonString(Buffer_, Field.Name_);
    Buffer_ += ':';
    if (const auto *Text = std::get_if<std::string_view>(&Field.Value_))
      appendJsonString(Buffer_, *Text);
    else
      Buffer_ += std::to_string(std::get<std::int64_t>(Field.Value_));
  }
  Buffer_ += "}\n";
}

void JsonLog::logDecision(std::string_view Message,
                          std::initializer_list<LogField> Fields) {
  const Millis Second = bootTime() / 1000;
  if (Second != CurrentSecond_) {
    CurrentSecond_ = Second;
    LinesThisSecond_ = 0;
    if (DroppedLines_ > 0)
      appendLine("log lines dropped", {{"count", DroppedLines_}});
    DroppedLines_ = 0;
  }
  if (++LinesThisSecond_ > MaxDecisionsPerSecond) {
    ++DroppedLines_;
    return;
  }
  appendLine(Message, Fields);
}

void JsonLog::logEvent(std::string_view Message,
                       std::initializer_list<LogField> Fields) {
  appendLine(Message, Fields);
  flush();
}

void JsonLog::flush() {
  if (Buffer_.empty())
    return;
  std::size_t WrittenBytes = 0;
  while (WrittenBytes < Buffer_.size()) {
    // Each write ends with a complete line, so that the lines of several
    // writers to one pipe do not mix.
    std::size_t Size = std::min(MaxWriteBytes, Buffer_.size() - WrittenBytes);
    const std::size_t LineEnd = Buffer_.rfind('\n', WrittenBytes + Size - 1);
    if (LineEnd != std::string::npos && LineEnd >= WrittenBytes)
      Size = LineEnd + 1 - WrittenBytes;
    const ssize_t Written =
        write(STDOUT_FILENO, Buffer_.data() + WrittenBytes, Size);
    if (Written <= 0)
      break;
    WrittenBytes += static_cast<std::size_t>(Written);
  }
  Buffer_.erase(0, WrittenBytes);
}

} // namespace oleandergauge::node
