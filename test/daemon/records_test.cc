#include "codec/records.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "codec/checks.h"
#include "daemon/codec_generators.h"

namespace oleandergauge::codec {
namespace {

using namespace std::string_literals;

const std::string QueueKey = "config/queue/q";
/// {work_class: batch, open: true} in schema version 1.
const std::string QueueV1 = "\x08\x01\x32\x04\x08\x01\x10\x01"s;
/// {work_class: batch, access: teams, teams: ["red"]} in schema version 2.
const std::string QueueV2 = "\x08\x02\x32\x09\x08\x01\x18\x01\x22\x03red"s;

Record decoded(const Row &Stored) {
  const Result<Record> Answer = decodeRecord(Stored);
  EXPECT_TRUE(Answer) << Answer.error().Message_;
  return Answer.value_or(Record{});
}

RecordChange queueChange(bool Open, std::vector<TeamId> Teams,
                         std::optional<std::uint32_t> Schema) {
  return {RecordKind::Queue, "q",
          QueueRecord{WorkClass::Batch, Open, std::move(Teams)}, Schema, 4};
}

// Guards against hosts of different software versions that read one queue
// record differently.
TEST(RecordsTest, BothSchemaVersionsOfAQueueAreRead) {
  EXPECT_EQ(decoded({QueueKey, QueueV1, 4}),
            (Record{"q", 1, QueueRecord{WorkClass::Batch, true, {}}, "", 4}));
  EXPECT_EQ(
      decoded({QueueKey, QueueV2, 5}),
      (Record{"q", 2, QueueRecord{WorkClass::Batch, false, {TeamId("red")}}, "",
              5}));
}

// Guards against a change by this build that hosts of an older version cannot
// decode or interpret differently.
TEST(RecordsTest, ChangedRecordKeepsItsSchemaVersionUntilRaised) {
  const Record Old = decoded({QueueKey, QueueV1, 4});
  const auto Closed = applyChange(Old, queueChange(false, {}, std::nullopt));
  ASSERT_TRUE(Closed);
  EXPECT_EQ(encodeRecord(*Closed), "\x08\x01\x32\x02\x08\x01"s);
  const auto Narrow =
      applyChange(Old, queueChange(false, {TeamId("red")}, std::nullopt));
  ASSERT_FALSE(Narrow);
  EXPECT_EQ(Narrow.error().Reason_, RefusalReason::InvalidRequest);
  const auto Raised = applyChange(Old, queueChange(false, {TeamId("red")}, 2));
  ASSERT_TRUE(Raised);
  EXPECT_EQ(encodeRecord(*Raised), QueueV2);
}

// Guards against writing a record of a newer schema version back with an older
// one.
TEST(RecordsTest, SchemaVersionNeverFalls) {
  const Record Newer =
      decoded({QueueKey, "\x08\x03"s + QueueV2.substr(2) + "\xa0\x06\x07"s, 4});
  EXPECT_EQ(Newer.SchemaVersion_, 3u);
  EXPECT_FALSE(applyChange(Newer, queueChange(true, {}, 2)));
  const auto Kept = applyChange(Newer, queueChange(true, {}, std::nullopt));
  ASSERT_TRUE(Kept);
  EXPECT_TRUE(encodeRecord(*Kept).ends_with("\xa0\x06\x07"s));
  EXPECT_EQ(Kept->SchemaVersion_, 3u);
  EXPECT_FALSE(
      applyChange(decoded({QueueKey, QueueV2, 4}), queueChange(true, {}, 3)));
}

// Guards against guessing a record's content from incomplete or invalid fields.
TEST(RecordsTest, RowsThatCannotBeUnderstoodAreRefused) {
  EXPECT_FALSE(decodeRecord({QueueKey, "\x08\x03\x32\x02\x18\x05"s, 1}));
  EXPECT_FALSE(decodeRecord({QueueKey, "\x08\x03\x7a\x01\x01"s, 1}));
  EXPECT_FALSE(decodeRecord({"config/team/q", QueueV2, 1}));
  EXPECT_FALSE(decodeRecord({"config/queue/a b", QueueV2, 1}));
  EXPECT_FALSE(decodeRecord({QueueKey, "", 1}));
  EXPECT_FALSE(decodeHead({ConfigHeadKey, "1x", 1}));
  EXPECT_FALSE(decodeMember({"member/a", encodeMember(Member{}), 1}));
}

// Guards against two concurrent changes that both take effect, and against a
// change without a log entry (P11).
TEST(RecordsTest, ChangeIsConditionalOnHeadAndRecord) {
  const ConfigHead Head = *decodeHead({ConfigHeadKey, "41", 77});
  const RecordChange Change = queueChange(true, {}, std::nullopt);
  const auto Next = applyChange(decoded({QueueKey, QueueV1, 4}), Change);
  const ChangeAuthor Author{"ops", 1700000000000};
  const Transaction Made = changeTransaction(Head, Change, *Next, Author);
  const std::string LogKey = "config-log/00000000000000000042";
  EXPECT_EQ(Made.Conditions_,
            (std::vector<Condition>{
                {ConfigHeadKey, 77}, {QueueKey, 4}, {LogKey, 0}}));
  ASSERT_EQ(Made.Writes_.size(), 3u);
  EXPECT_EQ(Made.Writes_[0], (Write{QueueKey, QueueV1}));
  EXPECT_EQ(Made.Writes_[1], (Write{ConfigHeadKey, "42"}));
  EXPECT_EQ(*decodeLogEntry({LogKey, *Made.Writes_[2].Value_, 1}),
            (ConfigLogEntry{42, "ops", 1700000000000, RecordKind::Queue, "q",
                            "changed"}));
  const auto Stale = applyChange(std::nullopt, Change);
  ASSERT_FALSE(Stale);
  EXPECT_EQ(Stale.error().Reason_, RefusalReason::Conflict);
  EXPECT_EQ(*decodeHead({ConfigHeadKey, "", 0}), ConfigHead{});
}

/// Encodes a length-delimited field with number 100, which no schema version
/// has.
std::string unknownField(const std::string &Payload) {
  return "\xa2\x06"s + static_cast<char>(Payload.size()) + Payload;
}

// Guards against losing fields of a newer schema version when an older host
// changes the record.
RC_GTEST_PROP(RecordsTest, ChangesKeepUnknownFieldsInEachSchemaVersion, ()) {
  const auto Schema = *rc::gen::inRange<std::uint32_t>(1, 4);
  const RecordKind Kind = testing::anyKind();
  const Record Original{*testing::names(), Schema,
                        testing::anyBody(Kind, Schema), "", 3};
  const std::string Outer = unknownField(std::string(
      *rc::gen::inRange<std::size_t>(0, 20), *rc::gen::arbitrary<char>()));
  const std::string Inner = unknownField("inner");
  // Protobuf merges a repeated occurrence of a message field with the first
  // one.
  const std::string Bytes = encodeRecord(Original) + Outer +
                            static_cast<char>(18 + static_cast<int>(Kind) * 8) +
                            static_cast<char>(Inner.size()) + Inner;
  const std::string Key = recordKey(Kind, Original.Name_);
  const Record Read = decoded({Key, Bytes, 3});
  RC_ASSERT(Read.Body_ == Original.Body_);
  const RecordChange Change{Kind, Original.Name_,
                            testing::anyBody(Kind, Schema), std::nullopt, 3};
  const auto Next = applyChange(Read, Change);
  RC_ASSERT(Next.has_value());
  const std::string Written = encodeRecord(*Next);
  RC_ASSERT(Written.find(Outer) != std::string::npos);
  RC_ASSERT(Written.find(Inner) != std::string::npos);
  RC_ASSERT(decoded({Key, Written, 3}) == *Next);
}

// Guards against a damaged row that crashes a host.
RC_GTEST_PROP(RecordsTest, DamagedRowsAreRefusedOrRoundTrip, ()) {
  const RecordKind Kind = testing::anyKind();
  const Record Original{"n", 2, testing::anyBody(Kind, 2), "", 3};
  const Row Damaged{recordKey(Kind, "n"),
                    testing::mutated(encodeRecord(Original)), 3};
  if (const auto Read = decodeRecord(Damaged))
    RC_ASSERT(decoded({Damaged.Key_, encodeRecord(*Read), 3}) == *Read);
  else
    RC_ASSERT(!Read.error().Message_.empty());
  const Member Host{HostId("h"), "x:1", Region("r"), FailureDomain("d")};
  RC_ASSERT(*decodeMember({"member/h", encodeMember(Host), 1}) == Host);
  (void)decodeMember({"member/h", testing::mutated(encodeMember(Host)), 1});
  (void)decodeLogEntry({"config-log/1", Damaged.Value_, 1});
}

} // namespace
} // namespace oleandergauge::codec
