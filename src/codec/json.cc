#include "codec/json.h"

#include <algorithm>
#include <utility>

#include "codec/checks.h"
#include "codec/json_fields.h"

namespace oleandergauge::codec {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::int64_t MaxRunMs = std::int64_t{30} * 24 * 3600 * 1000;
constexpr std::int64_t MaxCpuMilli = 10'000'000;
constexpr std::int64_t MaxMemoryMib = 100'000'000;
constexpr std::int64_t MaxCount = 100'000;
/// A wall clock beyond the year 5000 is a unit mistaken by the caller.
constexpr std::int64_t MaxUnixMs = 100'000'000'000'000;

const std::vector<std::string_view> ClassNames = {"direct", "batch", "gang",
                                                  "service"};

Result<Resources> readResources(const json &Object, SubmitEndpoint Endpoint) {
  JsonFields Fields(Object, "resources.");
  const bool Call = Endpoint == SubmitEndpoint::Calls;
  Resources Need;
  Need.CpuMilli_ = Fields.integer("cpu_milli", 0, MaxCpuMilli, 0);
  Need.MemoryMib_ = Fields.integer("memory_mib", 0, MaxMemoryMib, 0);
  Need.Accelerators_ =
      static_cast<std::int32_t>(Fields.integer("accelerators", 0, MaxCount, 0));
  // A task without a slot would not count against a worker's slots at all.
  Need.Slots_ =
      static_cast<std::int32_t>(Fields.integer("slots", 1, MaxCount, 1));
  Need.Connections_ = static_cast<std::int32_t>(
      Fields.integer("connections", 0, MaxCount, Call ? 1 : 0));
  if (const Result<void> Read = Fields.finish(); !Read)
    return tl::unexpected(Read.error());
  return Need;
}

/// Refuses what only one of the two endpoints takes.
Result<void> checkEndpoint(const Submission &Sent) {
  const JobSpec &Spec = Sent.Spec_;
  if (Sent.Endpoint_ == SubmitEndpoint::Calls) {
    if (Spec.TaskCount_ != 1)
      return refuse("task_count is " + std::to_string(Spec.TaskCount_) +
                    "; a call has 1 task");
    return {};
  }
  if (!Spec.Body_.empty())
    return refuse("body is set; a job takes none, only a call does");
  if (Spec.Command_.empty())
    return refuse("command is empty; a job needs one");
  return {};
}

Result<Duration> readExpiry(std::int64_t ExpiresUnixMs, bool RequestGiven,
                            const SubmitContext &Context) {
  const Duration Left = milliseconds(ExpiresUnixMs - Context.NowUnixMs_);
  if (Left <= Duration(0))
    return tl::unexpected(
        Refusal{RequestGiven ? Verdict::MayHaveRun : Verdict::NotRun,
                RefusalReason::DeadlineExceeded,
                "expires_unix_ms is " + std::to_string(ExpiresUnixMs) +
                    ", which has passed; the answer to an earlier attempt is "
                    "no longer kept",
                Duration(0)});
  if (Left > MaxExpiry)
    return refuse("expires_unix_ms is " + std::to_string(ExpiresUnixMs) +
                  "; allowed is at most 15 minutes ahead of " +
                  std::to_string(Context.NowUnixMs_));
  return Left;
}

} // namespace

JobId makeJobId(const TeamId &Team, const RequestId &Request) {
  return JobId(Team.str() + ":" + Request.str());
}

std::optional<std::pair<TeamId, RequestId>> parseJobId(std::string_view Text) {
  const std::size_t Colon = Text.find(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  const std::string_view Team = Text.substr(0, Colon);
  const std::string_view Request = Text.substr(Colon + 1);
  if (!isName(Team) || !isName(Request))
    return std::nullopt;
  return std::pair(TeamId(std::string(Team)), RequestId(std::string(Request)));
}

Result<Submission> parseSubmission(std::string_view Body,
                                   const SubmitContext &Context) {
  const Result<json> Object = parseObject(Body, MaxHttpBodyBytes);
  if (!Object)
    return tl::unexpected(Object.error());
  JsonFields Fields(*Object);
  Submission Sent;
  Sent.Endpoint_ = Context.Endpoint_;
  JobSpec &Spec = Sent.Spec_;
  const std::string Request = Fields.name("request_id", false);
  Spec.Request_ = Request.empty() ? Context.FreshRequest_ : RequestId(Request);
  Spec.Queue_ = QueueId(Fields.name("queue", true));
  Spec.Team_ = TeamId(Fields.name("team", false));
  if (Fields.has("class"))
    Sent.Class_ = static_cast<WorkClass>(Fields.choice("class", ClassNames));
  Spec.Urgent_ = Fields.flag("urgent", false);
  Spec.Idempotent_ = Fields.flag("idempotent", true);
  Spec.TaskCount_ = static_cast<std::uint32_t>(
      Fields.integer("task_count", 1, MaxTaskCount, 1));
  const Result<Resources> Need =
      readResources(Fields.object("resources", false), Context.Endpoint_);
  if (Need)
    Spec.Need_ = *Need;
  else
    Fields.adopt(tl::unexpected(Need.error()));
  Spec.DeclaredRun_ =
      milliseconds(Fields.integer("declared_run_ms", 0, MaxRunMs, 0));
  Spec.StartWithin_ =
      milliseconds(Fields.integer("start_within_ms", 0, MaxRunMs, 0));
  Spec.Command_ = Fields.text("command", MaxCommandBytes, "");
  Spec.Body_ = Fields.text("body", MaxCallBodyBytes, "");
  const std::int64_t Expires =
      Fields.integer("expires_unix_ms", 0, MaxUnixMs,
                     Context.NowUnixMs_ + DefaultExpiry / milliseconds(1));
  if (const Result<void> Read = Fields.finish(); !Read)
    return tl::unexpected(Read.error());
  const Result<Duration> Left = readExpiry(Expires, !Request.empty(), Context);
  if (!Left)
    return tl::unexpected(Left.error());
  Spec.ExpiresIn_ = *Left;
  if (const Result<void> Checked = checkEndpoint(Sent); !Checked)
    return tl::unexpected(Checked.error());
  return Sent;
}

Result<JobSpec> admitSubmission(const Submission &Sent, const ConfigView &View,
                                const std::optional<std::string> &KeyHash) {
  JobSpec Spec = Sent.Spec_;
  const Result<TeamId> Team = View.authorize(KeyHash, Spec.Team_, Spec.Queue_);
  if (!Team)
    return tl::unexpected(Team.error());
  const WorkClass Class = View.findQueue(Spec.Queue_)->Class_;
  const std::string Described = "queue " + quoteForMessage(Spec.Queue_.str()) +
                                " has class \"" + std::string(toString(Class)) +
                                "\"";
  if (Sent.Class_ && *Sent.Class_ != Class)
    return refuse("class is \"" + std::string(toString(*Sent.Class_)) + "\"; " +
                  Described);
  const bool Direct = Class == WorkClass::Direct;
  if (Direct != (Sent.Endpoint_ == SubmitEndpoint::Calls))
    return refuse(Described + (Direct ? "; send its work to /v1/calls"
                                      : "; send its work to /v1/jobs"));
  Spec.Team_ = *Team;
  Spec.Class_ = Class;
  Spec.Id_ = makeJobId(Spec.Team_, Spec.Request_);
  return Spec;
}

// ---------------------------------------------------------------- Records

namespace {

constexpr std::size_t MaxTeams = 1024;
constexpr std::uint32_t MaxUint32 = std::numeric_limits<std::uint32_t>::max();
/// Table versions above this cannot be told apart by readers that keep
/// numbers as 64-bit floating point.
constexpr std::int64_t MaxVersion = std::int64_t{1} << 53;
constexpr std::size_t KeyHashLength = 64;
constexpr std::size_t MaxDisplayNameBytes = 1024;

std::uint32_t readUint32(JsonFields &Fields, const char *Field) {
  return static_cast<std::uint32_t>(
      Fields.integer(Field, 0, MaxUint32, std::nullopt));
}

QueueRecord readQueue(JsonFields &Fields) {
  QueueRecord Body;
  Body.Class_ = static_cast<WorkClass>(Fields.choice("class", ClassNames));
  Body.OpenToAll_ = Fields.choice("access", {"teams", "all"}) == 1;
  for (const std::string &Team : Fields.names("teams", MaxTeams))
    Body.Teams_.emplace_back(Team);
  return Body;
}

RecordBody readBody(RecordKind Kind, JsonFields &Fields) {
  switch (Kind) {
  case RecordKind::Team:
    return TeamRecord{Fields.text("display_name", MaxDisplayNameBytes, "")};
  case RecordKind::Key:
    return KeyRecord{TeamId(Fields.name("team", true)),
                     Fields.flag("withdrawn", false)};
  case RecordKind::Share:
    return ShareRecord{Fields.number("weight")};
  case RecordKind::Limit:
    return LimitRecord{readUint32(Fields, "max_running")};
  case RecordKind::Queue:
    return readQueue(Fields);
  case RecordKind::FailureDomain:
    return FailureDomainRecord{Fields.requiredFlag("out")};
  case RecordKind::Worker:
    return WorkerRecord{Fields.requiredFlag("draining")};
  case RecordKind::Partition:
    break;
  }
  PartitionRecord Body;
  Body.Region_ = Region(Fields.name("region", true));
  Body.Stripe_ = readUint32(Fields, "stripe");
  Body.Stripes_ = readUint32(Fields, "stripes");
  return Body;
}

/// The store never holds a key itself, only its hash.
Result<void> checkRecordName(RecordKind Kind, const std::string &Name) {
  const bool Hash =
      Name.size() == KeyHashLength && std::ranges::all_of(Name, [](char C) {
        return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f');
      });
  if (Kind == RecordKind::Key && !Hash)
    return refuse("the name of a key record must be the SHA-256 of the key "
                  "in 64 lower-case hexadecimal digits");
  return checkName("name", Name);
}

} // namespace

Result<RecordChange> parseRecordPut(RecordKind Kind, const std::string &Name,
                                    std::string_view Body) {
  if (const Result<void> Checked = checkRecordName(Kind, Name); !Checked)
    return tl::unexpected(Checked.error());
  const Result<json> Object = parseObject(Body, MaxHttpBodyBytes);
  if (!Object)
    return tl::unexpected(Object.error());
  JsonFields Fields(*Object);
  RecordChange Change{Kind, Name, std::nullopt, std::nullopt, 0};
  Change.ExpectedVersion_ = static_cast<std::uint64_t>(
      Fields.integer("expected_version", 0, MaxVersion, std::nullopt));
  if (Fields.has("schema_version"))
    Change.SchemaVersion_ = static_cast<std::uint32_t>(Fields.integer(
        "schema_version", OldestSchemaVersion, MaxUint32, std::nullopt));
  const json &BodyObject = Fields.object("body", true);
  JsonFields BodyFields(BodyObject, "body.");
  Change.Body_ = readBody(Kind, BodyFields);
  if (const Result<void> Read = Fields.finish(); !Read)
    return tl::unexpected(Read.error());
  if (const Result<void> Read = BodyFields.finish(); !Read)
    return tl::unexpected(Read.error());
  // What holds in every schema version is checked here, the rest when the
  // stored record is known.
  if (const Result<void> Checked =
          checkRecord({Name, NewestSchemaVersion, *Change.Body_, "", 0});
      !Checked)
    return tl::unexpected(Checked.error());
  return Change;
}

Result<RecordChange> parseRecordDelete(RecordKind Kind, const std::string &Name,
                                       std::string_view ExpectedVersion) {
  const bool Digits =
      !ExpectedVersion.empty() && ExpectedVersion.size() <= 15 &&
      std::ranges::all_of(ExpectedVersion,
                          [](char C) { return C >= '0' && C <= '9'; });
  if (!Digits || ExpectedVersion == "0")
    return refuse("expected_version is " + quoteForMessage(ExpectedVersion) +
                  "; allowed is the record's version in decimal digits");
  return RecordChange{Kind, Name, std::nullopt, std::nullopt,
                      std::stoull(std::string(ExpectedVersion))};
}

} // namespace oleandergauge::codec
