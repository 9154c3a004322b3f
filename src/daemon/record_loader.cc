#include "daemon/record_loader.h"

#include <utility>

#include "codec/records.h"
#include "daemon/log.h"
#include "daemon/record_changes.h"

namespace oleandergauge::daemon {
namespace {

constexpr std::uint32_t PageRows = 1000;

/// Splits "config/<kind>/<name>".
std::optional<std::pair<RecordKind, std::string>>
parseKey(const std::string &Key) {
  std::size_t Begin = std::string_view(ConfigPrefix).size();
  std::size_t Slash = Key.find('/', Begin);
  if (Slash == std::string::npos)
    return std::nullopt;
  auto Kind = parseRecordKind(Key.substr(Begin, Slash - Begin));
  if (!Kind)
    return std::nullopt;
  return std::pair(*Kind, Key.substr(Slash + 1));
}

/// Empty for a row that this build cannot read, which is logged: a record of
/// a later version must not keep the others from being applied.
std::optional<Record> decodeRow(const Row &Each) {
  auto Key = parseKey(Each.Key_);
  if (!Key)
    return std::nullopt;
  auto Decoded = decodeRecord(Key->second, Each.Value_, Each.Version_);
  if (!Decoded || kindOf(Decoded->Body_) != Key->first) {
    logLine(LogLevel::Warning, "record cannot be decoded",
            {{"record", Each.Key_}});
    return std::nullopt;
  }
  return Decoded;
}

} // namespace

void RecordLoader::load(std::uint64_t HeadVersion) {
  if (std::exchange(Loading_, true))
    return;
  Head_ = HeadVersion;
  After_.clear();
  Records_.clear();
  readPage();
}

void RecordLoader::readPage() {
  Table_(Scan{ConfigPrefix, After_, PageRows},
         [this](const TableReply &Reply) { pageRead(Reply); });
}

void RecordLoader::pageRead(const TableReply &Reply) {
  const auto *Read = std::get_if<Rows>(&Reply);
  if (Read == nullptr) {
    Loading_ = false;
    return;
  }
  for (const Row &Each : Read->Rows_)
    if (std::optional<Record> Decoded = decodeRow(Each))
      Records_.push_back(std::move(*Decoded));
  if (Read->Rows_.size() < PageRows) {
    confirm();
    return;
  }
  After_ = Read->Rows_.back().Key_;
  readPage();
}

void RecordLoader::confirm() {
  Table_(ReadKeys{{HeadKey}},
         [this](const TableReply &Reply) { confirmed(Reply); });
}

void RecordLoader::confirmed(const TableReply &Reply) {
  Loading_ = false;
  const auto *Read = std::get_if<Rows>(&Reply);
  if (Read == nullptr || Read->Rows_.empty())
    return;
  const Row &Head = Read->Rows_.front();
  std::uint64_t Found =
      Head.Version_ == 0 ? 0 : decodeHead(Head.Value_).value_or(0);
  if (Found != Head_) {
    load(Found);
    return;
  }
  Done_(std::make_shared<const ConfigView>(Head_, Records_));
}

} // namespace oleandergauge::daemon
