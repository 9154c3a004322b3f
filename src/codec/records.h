#ifndef OLEANDERGAUGE_CODEC_RECORDS_H
#define OLEANDERGAUGE_CODEC_RECORDS_H

#include <cstdint>
#include <optional>
#include <string>

#include "oleandergauge/base.h"
#include "oleandergauge/config.h"
#include "oleandergauge/membership.h"
#include "oleandergauge/table.h"

namespace oleandergauge::codec {

/// Converts records, member rows and the log of changes to and from the rows
/// of the table (schema/store.proto). Every decoder refuses bytes that it
/// cannot use with InvalidRequest and never throws.

inline constexpr const char *ConfigHeadKey = "config-head";
inline constexpr const char *RecordPrefix = "config/";
inline constexpr const char *ConfigLogPrefix = "config-log/";
inline constexpr const char *MemberPrefix = "member/";

/// "config/<kind>/<name>".
std::string recordKey(RecordKind Kind, const std::string &Name);
/// "config-log/<version, 20 digits>", so that a scan goes by version.
std::string configLogKey(std::uint64_t Version);
/// "member/<host>".
std::string memberKey(const HostId &Host);

/// The row's value. Fields that this build does not know, also those inside
/// of the body, come out of UnknownFields_ byte for byte. Expects a record that
/// checkRecord admits.
std::string encodeRecord(const Record &Stored);

/// Takes kind and name from the row's key. A schema version newer than
/// NewestSchemaVersion is read where the fields known here suffice, and kept.
Result<Record> decodeRecord(const Row &Stored);

std::string encodeMember(const Member &Registered);
Result<Member> decodeMember(const Row &Stored);

/// One entry of the log of changes.
struct ConfigLogEntry {
  std::uint64_t Version_ = 0; ///< Of the head that the change made.
  std::string Operator_;
  std::int64_t UnixMs_ = 0; ///< Wall clock of the host that made the change.
  RecordKind Kind_ = RecordKind::Team;
  std::string Name_;
  std::string Summary_;
  friend bool operator==(const ConfigLogEntry &,
                         const ConfigLogEntry &) = default;
};

std::string encodeLogEntry(const ConfigLogEntry &Entry);
Result<ConfigLogEntry> decodeLogEntry(const Row &Stored);

/// The row "config-head": its value is the head version in decimal digits.
struct ConfigHead {
  std::uint64_t Version_ = 0;
  std::uint64_t RowVersion_ = 0; ///< Of the table row; 0 where absent.
  friend bool operator==(const ConfigHead &, const ConfigHead &) = default;
};

/// An absent row is head version 0.
Result<ConfigHead> decodeHead(const Row &Stored);

/// What an operator wants of one record; without a body it is deleted.
struct RecordChange {
  RecordKind Kind_ = RecordKind::Team;
  std::string Name_;
  std::optional<RecordBody> Body_;
  /// The schema version to store; without one, that of the stored record,
  /// and the newest for a new record.
  std::optional<std::uint32_t> SchemaVersion_;
  std::uint64_t ExpectedVersion_ = 0; ///< Of the table row; 0: is absent.
  friend bool operator==(const RecordChange &, const RecordChange &) = default;
};

/// The record that results from a change, with the unknown fields of the
/// stored one. Refuses with Conflict where the stored version is not the
/// expected one, and with InvalidRequest where the schema version would fall
/// or cannot express the change. Expects a change with a body.
Result<Record> applyChange(const std::optional<Record> &Stored,
                           const RecordChange &Change);

struct ChangeAuthor {
  std::string Operator_;
  std::int64_t UnixMs_ = 0;
  friend bool operator==(const ChangeAuthor &, const ChangeAuthor &) = default;
};

/// The log entry of the change that follows \p Head.
ConfigLogEntry logEntryFor(const ConfigHead &Head, const RecordChange &Change,
                           const ChangeAuthor &Author);

/// Writes the record (or deletes it where \p Next is empty), the head and the
/// log entry, in this order; holds only if neither the head nor the record
/// changed. Where the answer was lost, a read of configLogKey tells the
/// outcome: committed if the entry equals logEntryFor, else not.
Transaction changeTransaction(const ConfigHead &Head,
                              const RecordChange &Change,
                              const std::optional<Record> &Next,
                              const ChangeAuthor &Author);

} // namespace oleandergauge::codec

#endif // OLEANDERGAUGE_CODEC_RECORDS_H
