#include "daemon/record_loader.h"

#include <utility>

#include "codec/records.h"
#include "daemon/log.h"

namespace oleandergauge::daemon {
namespace {

constexpr std::uint32_t PageRows = 1000;

/// Decodes a record. Logs a row that this build cannot decode and returns
/// nullopt, so that the other records are still applied.
std::optional<Record> decodeRow(const Row &StoredRow) {
  Result<Record> Decoded = codec::decodeRecord(StoredRow);
  if (Decoded)
    return *Decoded;
  logLine(LogLevel::Warning, "record cannot be decoded",
          {{"record", StoredRow.Key_}, {"reason", Decoded.error().Message_}});
  return std::nullopt;
}

} // namespace

void RecordLoader::load(std::uint64_t HeadVersion) {
  if (std::exchange(Loading_, true))
    return;
  HeadVersion_ = HeadVersion;
  LastKey_.clear();
  Records_.clear();
  readPage();
}

void RecordLoader::readPage() {
  Table_(Scan{codec::RecordPrefix, LastKey_, PageRows},
         [this](const TableReply &Reply) { handlePage(Reply); });
}

void RecordLoader::handlePage(const TableReply &Reply) {
  const auto *Read = std::get_if<Rows>(&Reply);
  if (Read == nullptr) {
    Loading_ = false;
    return;
  }
  for (const Row &StoredRow : Read->Rows_)
    if (std::optional<Record> Decoded = decodeRow(StoredRow))
      Records_.push_back(std::move(*Decoded));
  if (Read->Rows_.size() < PageRows) {
    confirmHead();
    return;
  }
  LastKey_ = Read->Rows_.back().Key_;
  readPage();
}

void RecordLoader::confirmHead() {
  Table_(ReadKeys{{codec::ConfigHeadKey}},
         [this](const TableReply &Reply) { handleConfirmation(Reply); });
}

void RecordLoader::handleConfirmation(const TableReply &Reply) {
  Loading_ = false;
  const auto *Read = std::get_if<Rows>(&Reply);
  if (Read == nullptr || Read->Rows_.empty())
    return;
  Result<codec::ConfigHead> Found = codec::decodeHead(Read->Rows_.front());
  if (!Found)
    return;
  if (Found->Version_ != HeadVersion_) {
    load(Found->Version_);
    return;
  }
  Done_(std::make_shared<const ConfigView>(HeadVersion_, Records_));
}

} // namespace oleandergauge::daemon
