#include "daemon/record_loader.h"

#include <utility>

#include "codec/records.h"
#include "daemon/log.h"

namespace oleandergauge::daemon {
namespace {

constexpr std::uint32_t PageRows = 1000;

/// Empty for a row that this build cannot read, which is logged: one such
/// record must not keep the others from being applied.
std::optional<Record> decodeRow(const Row &Each) {
  Result<Record> Decoded = codec::decodeRecord(Each);
  if (Decoded)
    return *Decoded;
  logLine(LogLevel::Warning, "record cannot be decoded",
          {{"record", Each.Key_}, {"reason", Decoded.error().Message_}});
  return std::nullopt;
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
  Table_(Scan{codec::RecordPrefix, After_, PageRows},
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
  Table_(ReadKeys{{codec::ConfigHeadKey}},
         [this](const TableReply &Reply) { confirmed(Reply); });
}

void RecordLoader::confirmed(const TableReply &Reply) {
  Loading_ = false;
  const auto *Read = std::get_if<Rows>(&Reply);
  if (Read == nullptr || Read->Rows_.empty())
    return;
  Result<codec::ConfigHead> Found = codec::decodeHead(Read->Rows_.front());
  if (!Found)
    return;
  if (Found->Version_ != Head_) {
    load(Found->Version_);
    return;
  }
  Done_(std::make_shared<const ConfigView>(Head_, Records_));
}

} // namespace oleandergauge::daemon
