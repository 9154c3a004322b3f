#include "codec/records.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

#include "codec/checks.h"
#include "store.pb.h"

namespace oleandergauge::codec {

namespace {

// ------------------------------------------------ Value types to messages

void write(wire::RecordRow &Row, std::uint32_t /*Schema*/,
           const TeamRecord &Body) {
  Row.mutable_team()->set_display_name(Body.DisplayName_);
}

void write(wire::RecordRow &Row, std::uint32_t /*Schema*/,
           const KeyRecord &Body) {
  Row.mutable_key()->set_team(Body.Team_.str());
  Row.mutable_key()->set_withdrawn(Body.Withdrawn_);
}

void write(wire::RecordRow &Row, std::uint32_t /*Schema*/,
           const ShareRecord &Body) {
  Row.mutable_share()->set_weight(Body.Weight_);
}

void write(wire::RecordRow &Row, std::uint32_t /*Schema*/,
           const LimitRecord &Body) {
  Row.mutable_limit()->set_max_running(Body.MaxRunning_);
}

void write(wire::RecordRow &Row, std::uint32_t Schema,
           const QueueRecord &Body) {
  wire::QueueBody &Queue = *Row.mutable_queue();
  Queue.set_work_class(static_cast<std::uint32_t>(Body.Class_));
  if (Schema == 1) {
    Queue.set_open(Body.OpenToAll_);
    return;
  }
  Queue.set_access(Body.OpenToAll_ ? wire::QueueBody::ACCESS_ALL
                                   : wire::QueueBody::ACCESS_TEAMS);
  Queue.clear_teams();
  for (const TeamId &Team : Body.Teams_)
    Queue.add_teams(Team.str());
}

void write(wire::RecordRow &Row, std::uint32_t /*Schema*/,
           const FailureDomainRecord &Body) {
  Row.mutable_failure_domain()->set_out(Body.Out_);
}

void write(wire::RecordRow &Row, std::uint32_t /*Schema*/,
           const WorkerRecord &Body) {
  Row.mutable_worker()->set_draining(Body.Draining_);
}

void write(wire::RecordRow &Row, std::uint32_t /*Schema*/,
           const PartitionRecord &Body) {
  wire::PartitionBody &Partition = *Row.mutable_partition();
  Partition.set_region(Body.Region_.str());
  Partition.set_stripe(Body.Stripe_);
  Partition.set_stripes(Body.Stripes_);
}

// ------------------------------------------------ Messages to value types
//
// Each function takes the fields that it knows out of the message, so that
// what is left is unknown to this build or has no meaning in the row's
// schema version.

Result<RecordBody> take(wire::TeamBody &From, std::uint32_t /*Schema*/) {
  TeamRecord Body{From.display_name()};
  From.clear_display_name();
  return Body;
}

Result<RecordBody> take(wire::KeyBody &From, std::uint32_t /*Schema*/) {
  KeyRecord Body{TeamId(From.team()), From.withdrawn()};
  From.clear_team();
  From.clear_withdrawn();
  return Body;
}

Result<RecordBody> take(wire::ShareBody &From, std::uint32_t /*Schema*/) {
  ShareRecord Body{From.weight()};
  From.clear_weight();
  return Body;
}

Result<RecordBody> take(wire::LimitBody &From, std::uint32_t /*Schema*/) {
  LimitRecord Body{From.max_running()};
  From.clear_max_running();
  return Body;
}

Result<RecordBody> take(wire::QueueBody &From, std::uint32_t Schema) {
  QueueRecord Body;
  if (From.work_class() > static_cast<std::uint32_t>(WorkClass::Service))
    return refuse("work_class is " + std::to_string(From.work_class()) +
                  "; this build knows 0 to 3");
  Body.Class_ = static_cast<WorkClass>(From.work_class());
  From.clear_work_class();
  if (Schema == 1) {
    Body.OpenToAll_ = From.open();
    From.clear_open();
    return Body;
  }
  if (From.access() != wire::QueueBody::ACCESS_ALL &&
      From.access() != wire::QueueBody::ACCESS_TEAMS)
    return refuse("access is " + std::to_string(From.access()) +
                  "; this build knows 1 (teams) and 2 (all)");
  Body.OpenToAll_ = From.access() == wire::QueueBody::ACCESS_ALL;
  for (const std::string &Team : From.teams())
    Body.Teams_.emplace_back(Team);
  From.clear_access();
  From.clear_teams();
  return Body;
}

Result<RecordBody> take(wire::FailureDomainBody &From,
                        std::uint32_t /*Schema*/) {
  FailureDomainRecord Body{From.out()};
  From.clear_out();
  return Body;
}

Result<RecordBody> take(wire::WorkerBody &From, std::uint32_t /*Schema*/) {
  WorkerRecord Body{From.draining()};
  From.clear_draining();
  return Body;
}

Result<RecordBody> take(wire::PartitionBody &From, std::uint32_t /*Schema*/) {
  PartitionRecord Body{Region(From.region()), From.stripe(), From.stripes()};
  From.clear_region();
  From.clear_stripe();
  From.clear_stripes();
  return Body;
}

/// Takes the body out and drops its message where nothing is left in it.
template <typename Message>
Result<RecordBody> takeBody(wire::RecordRow &Row, Message &From) {
  Result<RecordBody> Body = take(From, Row.schema_version());
  if (From.ByteSizeLong() == 0)
    Row.clear_body();
  return Body;
}

Result<RecordBody> takeBody(wire::RecordRow &Row) {
  switch (Row.body_case()) {
  case wire::RecordRow::kTeam:
    return takeBody(Row, *Row.mutable_team());
  case wire::RecordRow::kKey:
    return takeBody(Row, *Row.mutable_key());
  case wire::RecordRow::kShare:
    return takeBody(Row, *Row.mutable_share());
  case wire::RecordRow::kLimit:
    return takeBody(Row, *Row.mutable_limit());
  case wire::RecordRow::kQueue:
    return takeBody(Row, *Row.mutable_queue());
  case wire::RecordRow::kFailureDomain:
    return takeBody(Row, *Row.mutable_failure_domain());
  case wire::RecordRow::kWorker:
    return takeBody(Row, *Row.mutable_worker());
  case wire::RecordRow::kPartition:
    return takeBody(Row, *Row.mutable_partition());
  case wire::RecordRow::BODY_NOT_SET:
    break;
  }
  return refuse("the row has no body that this build knows");
}

std::optional<std::pair<RecordKind, std::string>>
parseRecordKey(const std::string &Key) {
  const std::string Prefix = RecordPrefix;
  const std::size_t Slash = Key.find('/', Prefix.size());
  if (!Key.starts_with(Prefix) || Slash == std::string::npos)
    return std::nullopt;
  const auto Kind =
      parseRecordKind(Key.substr(Prefix.size(), Slash - Prefix.size()));
  const std::string Name = Key.substr(Slash + 1);
  if (!Kind || !isName(Name))
    return std::nullopt;
  return std::pair(*Kind, Name);
}

tl::unexpected<Refusal> refuseRow(const Row &Stored,
                                  const std::string &Problem) {
  return refuse("row " + quoteForMessage(Stored.Key_) + ": " + Problem);
}

/// Serialises the same on every host and run.
template <typename Message> std::string serialize(const Message &From) {
  return From.SerializeAsString();
}

} // namespace

std::string recordKey(RecordKind Kind, const std::string &Name) {
  return RecordPrefix + std::string(toString(Kind)) + "/" + Name;
}

std::string configLogKey(std::uint64_t Version) {
  std::array<char, 21> Digits{};
  std::snprintf(Digits.data(), Digits.size(), "%020llu",
                static_cast<unsigned long long>(Version));
  return ConfigLogPrefix + std::string(Digits.data());
}

std::string memberKey(const HostId &Host) { return MemberPrefix + Host.str(); }

std::string encodeRecord(const Record &Stored) {
  wire::RecordRow Row;
  // UnknownFields_ is a row message with unknown fields only. One that does not
  // parse was not made by decodeRecord; nothing of it is then kept.
  if (!Row.ParseFromString(Stored.UnknownFields_))
    Row.Clear();
  Row.set_schema_version(Stored.SchemaVersion_);
  std::visit([&](const auto &Body) { write(Row, Stored.SchemaVersion_, Body); },
             Stored.Body_);
  return serialize(Row);
}

Result<Record> decodeRecord(const Row &Stored) {
  const auto Key = parseRecordKey(Stored.Key_);
  if (!Key)
    return refuseRow(Stored, "the key is not \"config/<kind>/<name>\"");
  wire::RecordRow Row;
  if (!Row.ParseFromString(Stored.Value_))
    return refuseRow(Stored, "the value is no RecordRow message");
  Record Decoded;
  Decoded.Name_ = Key->second;
  Decoded.SchemaVersion_ = Row.schema_version();
  Decoded.Version_ = Stored.Version_;
  Result<RecordBody> Body = takeBody(Row);
  if (!Body)
    return refuseRow(Stored, Body.error().Message_);
  if (kindOf(*Body) != Key->first)
    return refuseRow(Stored, "the body is of another kind than the key");
  Decoded.Body_ = *std::move(Body);
  Row.clear_schema_version();
  Decoded.UnknownFields_ = serialize(Row);
  if (const Result<void> Checked = checkRecord(Decoded); !Checked)
    return refuseRow(Stored, Checked.error().Message_);
  return Decoded;
}

std::string encodeMember(const Member &Registered) {
  wire::MemberRow Row;
  Row.set_host(Registered.Host_.str());
  Row.set_address(Registered.Address_);
  Row.set_region(Registered.Region_.str());
  Row.set_failure_domain(Registered.Domain_.str());
  return serialize(Row);
}

Result<Member> decodeMember(const Row &Stored) {
  wire::MemberRow Row;
  if (!Row.ParseFromString(Stored.Value_))
    return refuseRow(Stored, "the value is no MemberRow message");
  if (Stored.Key_ != memberKey(HostId(Row.host())) || !isName(Row.host()))
    return refuseRow(Stored, "the key is not \"member/<host>\" of its host " +
                                 quoteForMessage(Row.host()));
  return Member{HostId(Row.host()), Row.address(), Region(Row.region()),
                FailureDomain(Row.failure_domain())};
}

std::string encodeLogEntry(const ConfigLogEntry &Entry) {
  wire::ConfigLogEntry Row;
  Row.set_version(Entry.Version_);
  Row.set_operator_name(Entry.Operator_);
  Row.set_unix_ms(Entry.UnixMs_);
  Row.set_kind(std::string(toString(Entry.Kind_)));
  Row.set_name(Entry.Name_);
  Row.set_summary(Entry.Summary_);
  return serialize(Row);
}

Result<ConfigLogEntry> decodeLogEntry(const Row &Stored) {
  wire::ConfigLogEntry Row;
  if (!Row.ParseFromString(Stored.Value_))
    return refuseRow(Stored, "the value is no ConfigLogEntry message");
  const auto Kind = parseRecordKind(Row.kind());
  if (!Kind)
    return refuseRow(Stored, "kind is " + quoteForMessage(Row.kind()) +
                                 ", which this build does not know");
  if (Stored.Key_ != configLogKey(Row.version()))
    return refuseRow(Stored, "the key is not that of version " +
                                 std::to_string(Row.version()));
  return ConfigLogEntry{Row.version(), Row.operator_name(), Row.unix_ms(),
                        *Kind,         Row.name(),          Row.summary()};
}

Result<ConfigHead> decodeHead(const Row &Stored) {
  if (Stored.Version_ == 0)
    return ConfigHead{};
  ConfigHead Head{0, Stored.Version_};
  const std::string &Text = Stored.Value_;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Error] = std::from_chars(Text.data(), End, Head.Version_);
  if (Error != std::errc() || Rest != End)
    return refuseRow(Stored, "the value is " + quoteForMessage(Text) +
                                 "; expected are decimal digits");
  return Head;
}

Result<Record> applyChange(const std::optional<Record> &Stored,
                           const RecordChange &Change) {
  const std::uint64_t Present = Stored ? Stored->Version_ : 0;
  if (Present != Change.ExpectedVersion_)
    return refuse("expected_version is " +
                      std::to_string(Change.ExpectedVersion_) +
                      ", but the record has version " + std::to_string(Present),
                  RefusalReason::Conflict);
  const std::uint32_t Kept =
      Stored ? Stored->SchemaVersion_ : NewestSchemaVersion;
  const std::uint32_t Schema = Change.SchemaVersion_.value_or(Kept);
  if (Stored && Schema < Kept)
    return refuse("schema_version is " + std::to_string(Schema) +
                  "; the record has " + std::to_string(Kept) +
                  ", which never falls");
  if (Schema > NewestSchemaVersion && !(Stored && Schema == Kept))
    return refuse("schema_version is " + std::to_string(Schema) +
                  "; the newest allowed is " +
                  std::to_string(NewestSchemaVersion));
  Record Next{Change.Name_, Schema, Change.Body_.value_or(RecordBody{}),
              Stored ? Stored->UnknownFields_ : "", Present};
  if (const Result<void> Checked = checkRecord(Next); !Checked)
    return tl::unexpected(Checked.error());
  return Next;
}

ConfigLogEntry logEntryFor(const ConfigHead &Head, const RecordChange &Change,
                           const ChangeAuthor &Author) {
  std::string Summary = "changed";
  if (!Change.Body_)
    Summary = "deleted";
  else if (Change.ExpectedVersion_ == 0)
    Summary = "created";
  return {Head.Version_ + 1, Author.Operator_, Author.UnixMs_,
          Change.Kind_,      Change.Name_,     std::move(Summary)};
}

Transaction changeTransaction(const ConfigHead &Head,
                              const RecordChange &Change,
                              const std::optional<Record> &Next,
                              const ChangeAuthor &Author) {
  const std::string Key = recordKey(Change.Kind_, Change.Name_);
  const ConfigLogEntry Entry = logEntryFor(Head, Change, Author);
  const std::string LogKey = configLogKey(Entry.Version_);
  std::optional<std::string> Value;
  if (Next)
    Value = encodeRecord(*Next);
  return {{{ConfigHeadKey, Head.RowVersion_},
           {Key, Change.ExpectedVersion_},
           {LogKey, 0}},
          {{Key, std::move(Value)},
           {ConfigHeadKey, std::to_string(Entry.Version_)},
           {LogKey, encodeLogEntry(Entry)}}};
}

} // namespace oleandergauge::codec
