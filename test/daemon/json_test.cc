#include "codec/json.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include "daemon/codec_generators.h"

namespace oleandergauge::codec {
namespace {

using nlohmann::json;
using std::chrono::minutes;

constexpr std::int64_t NowMs = 1'700'000'000'000;

SubmitContext context(SubmitEndpoint Endpoint = SubmitEndpoint::Jobs) {
  return {Endpoint, NowMs, RequestId("fresh")};
}

json fullJob() {
  return {{"request_id", "r-1"},
          {"queue", "q"},
          {"team", "red"},
          {"class", "gang"},
          {"urgent", true},
          {"idempotent", false},
          {"task_count", 4096},
          {"resources",
           {{"cpu_milli", 500},
            {"memory_mib", 64},
            {"accelerators", 1},
            {"slots", 2},
            {"connections", 3}}},
          {"declared_run_ms", 1000},
          {"start_within_ms", 2000},
          {"expires_unix_ms", NowMs + 900'000},
          {"command", "run"}};
}

std::string parseError(const json &Body,
                       SubmitEndpoint Endpoint = SubmitEndpoint::Jobs) {
  const auto Submitted = parseSubmission(Body.dump(), context(Endpoint));
  return Submitted ? "" : Submitted.error().Message_;
}

ConfigView view() {
  return ConfigView(1,
                    {{"q", 2, QueueRecord{WorkClass::Gang, false, {}}, "", 1},
                     {"d", 2, QueueRecord{WorkClass::Direct, true, {}}, "", 1},
                     {"hash", 2, KeyRecord{TeamId("red"), false}, "", 1}});
}

// Guards against a submission field that is dropped or read in a wrong unit.
TEST(JsonTest, SubmissionIsReadWithAllItsFields) {
  const auto Submitted = parseSubmission(fullJob().dump(), context());
  ASSERT_TRUE(Submitted) << Submitted.error().Message_;
  const auto Spec = admitSubmission(*Submitted, view(), "hash");
  ASSERT_TRUE(Spec) << Spec.error().Message_;
  const JobSpec Expected{JobId("red:r-1"),
                         RequestId("r-1"),
                         TeamId("red"),
                         QueueId("q"),
                         WorkClass::Gang,
                         true,
                         false,
                         4096,
                         {500, 64, 1, 2, 3},
                         std::chrono::seconds(1),
                         std::chrono::seconds(2),
                         minutes(15),
                         "run",
                         ""};
  EXPECT_EQ(*Spec, Expected);
}

TEST(JsonTest, AbsentFieldsHaveTheirDefaults) {
  const auto Submitted = parseSubmission(R"({"queue":"d","team":"blue"})",
                                         context(SubmitEndpoint::Calls));
  ASSERT_TRUE(Submitted) << Submitted.error().Message_;
  EXPECT_EQ(Submitted->Spec_.Request_, RequestId("fresh"));
  EXPECT_EQ(Submitted->Spec_.ExpiresIn_, minutes(5));
  EXPECT_EQ(Submitted->Spec_.Need_, (Resources{0, 0, 0, 1, 1}));
  EXPECT_TRUE(Submitted->Spec_.Idempotent_);
  const auto Spec = admitSubmission(*Submitted, view(), std::nullopt);
  ASSERT_TRUE(Spec);
  EXPECT_EQ(Spec->Id_, JobId("blue:fresh"));
  EXPECT_EQ(Spec->Class_, WorkClass::Direct);
}

// Guards against running a malformed submission, and against error messages
// without the field, its value and the allowed values.
TEST(JsonTest, ProblemsNameFieldValueAndWhatIsAllowed) {
  const auto With = [](const char *Field, json Value) {
    json Body = fullJob();
    Body[Field] = std::move(Value);
    return parseError(Body);
  };
  EXPECT_EQ(With("task_count", 4097),
            "task_count is 4097; allowed are integers of 1 to 4096");
  EXPECT_EQ(With("task_count", 1.5),
            "task_count is 1.5; allowed are integers of 1 to 4096");
  EXPECT_EQ(With("declared_run_ms", 18446744073709551615ULL),
            "declared_run_ms is 18446744073709551615; allowed are integers of "
            "0 to 2592000000");
  EXPECT_EQ(With("urgent", "yes"),
            "urgent is \"yes\"; allowed are true and false");
  EXPECT_EQ(With("queue", "a b"), "queue is \"a b\"; allowed are 1 to 128 "
                                  "characters of [A-Za-z0-9._-]");
  EXPECT_EQ(With("request_id", ""), "request_id is \"\"; allowed are 1 to 128 "
                                    "characters of [A-Za-z0-9._-]");
  EXPECT_EQ(With("class", "bach"),
            "class is \"bach\"; allowed are \"direct\", \"batch\", \"gang\", "
            "\"service\"");
  EXPECT_EQ(With("tsak_count", 2), "field \"tsak_count\" is not known here");
  EXPECT_EQ(With("resources", {{"slots", 0}}),
            "resources.slots is 0; allowed are integers of 1 to 100000");
  EXPECT_EQ(With("command", std::string(MaxCommandBytes + 1, 'x')),
            "command is \"" + std::string(64, 'x') +
                "...\"; allowed are strings of at most 16384 bytes");
  EXPECT_NE(With("body", "x"), "");
  EXPECT_EQ(parseError({{"command", "run"}}), "queue is missing");
  EXPECT_EQ(parseError(json::array()),
            "the message is an array; expected is a JSON object");
  EXPECT_EQ(
      parseError({{"queue", "d"}, {"task_count", 2}}, SubmitEndpoint::Calls),
      "task_count is 2; a call has 1 task");
}

// Guards against the verdict "not_run" for a retry of a job whose result was
// already dropped (P7).
TEST(JsonTest, ExpiredRetryMayHaveRun) {
  json Body = fullJob();
  Body["expires_unix_ms"] = NowMs;
  EXPECT_EQ(parseSubmission(Body.dump(), context()).error().Verdict_,
            Verdict::MayHaveRun);
  Body.erase("request_id");
  EXPECT_EQ(parseSubmission(Body.dump(), context()).error().Verdict_,
            Verdict::NotRun);
  Body["expires_unix_ms"] = NowMs + 900'001;
  EXPECT_EQ(parseSubmission(Body.dump(), context()).error().Reason_,
            RefusalReason::InvalidRequest);
}

// Guards against long-running work that is submitted through the endpoint for
// calls.
TEST(JsonTest, ClassComesFromTheQueue) {
  const json Body = {{"queue", "q"}, {"command", "x"}, {"class", "batch"}};
  const auto Submitted = parseSubmission(Body.dump(), context());
  EXPECT_EQ(admitSubmission(*Submitted, view(), "hash").error().Message_,
            "class is \"batch\"; queue \"q\" has class \"gang\"");
  const auto Call =
      parseSubmission(R"({"queue":"q"})", context(SubmitEndpoint::Calls));
  EXPECT_EQ(admitSubmission(*Call, view(), "hash").error().Message_,
            "queue \"q\" has class \"gang\"; send its work to /v1/jobs");
}

// Guards against output that is truncated, or changed if it is not text (P6),
// and against a verdict before the task has ended (P7).
TEST(JsonTest, AnswersHoldTheWholeOutput) {
  JobStatus Status;
  Status.Job_ = JobId("red:r-1");
  TaskStatus RunningStatus;
  RunningStatus.Task_ = {Status.Job_, 1};
  RunningStatus.State_ = TaskState::Running;
  TaskStatus Ended;
  Ended.State_ = TaskState::Ended;
  Ended.Verdict_ = Verdict::Ran;
  Ended.ExitCode_ = 3;
  Ended.Output_ = "a\xff";
  Status.Tasks_ = {Ended, RunningStatus};
  const json Json = json::parse(toJson(Status));
  EXPECT_EQ(Json["tasks"][0]["output_base64"], "Yf8=");
  EXPECT_EQ(Json["tasks"][0]["verdict"], "ran");
  EXPECT_EQ(Json["tasks"][0]["exit_code"], 3);
  EXPECT_FALSE(Json["tasks"][1].contains("verdict"));
  EXPECT_TRUE(Json["cancelled_for"].is_null());
  EXPECT_EQ(toJson(Refusal{Verdict::NotRun, RefusalReason::QueueFull, "m",
                           std::chrono::microseconds(1500)}),
            R"({"message":"m","reason":"queue_full","retry_after_ms":2,)"
            R"("verdict":"not_run"})");
}

// Guards against two requests with the same job identifier, of which one would
// be answered with the job of the other.
RC_GTEST_PROP(JsonTest, JobIdsNameOneRequest, ()) {
  const TeamId Team(*testing::names());
  const RequestId Request(*testing::names());
  RC_ASSERT(parseJobId(makeJobId(Team, Request).str()) ==
            std::pair(Team, Request));
}

// Guards against a record that cannot be stored in the form in which it was
// returned.
RC_GTEST_PROP(JsonTest, RecordsRoundTrip, ()) {
  const RecordKind Kind = testing::anyKind();
  const std::string Name =
      Kind == RecordKind::Key ? std::string(64, 'a') : *testing::names();
  const Record Stored{Name, 2, testing::anyBody(Kind, 2), "", 7};
  const json Json = json::parse(toJson(Stored));
  const json Put = {{"expected_version", Json["version"]},
                    {"schema_version", Json["schema_version"]},
                    {"body", Json["body"]}};
  const auto Change = parseRecordPut(Kind, Name, Put.dump());
  RC_ASSERT(Change.has_value());
  RC_ASSERT(*Change == (RecordChange{Kind, Name, Stored.Body_, 2u, 7}));
}

TEST(JsonTest, RecordPutsAreChecked) {
  const auto Problem = [](RecordKind Kind, const char *Body) {
    return parseRecordPut(Kind, "n", Body).error().Message_;
  };
  EXPECT_EQ(Problem(RecordKind::Limit, R"({"body":{"max_running":1}})"),
            "expected_version is missing");
  EXPECT_EQ(Problem(RecordKind::Limit, R"({"expected_version":0,"body":{}})"),
            "body.max_running is missing");
  EXPECT_NE(Problem(RecordKind::Key,
                    R"({"expected_version":0,"body":{"team":"red"}})"),
            "");
  EXPECT_FALSE(parseRecordDelete(RecordKind::Limit, "n", "0"));
  EXPECT_EQ(parseRecordDelete(RecordKind::Limit, "n", "12")->ExpectedVersion_,
            12u);
}

// Guards against malformed input of a caller that crashes an entry host.
RC_GTEST_PROP(JsonTest, DamagedBodiesAreRefusedOrRead, ()) {
  const std::string Body = testing::mutated(fullJob().dump());
  if (const auto Submitted = parseSubmission(Body, context()); !Submitted)
    RC_ASSERT(!Submitted.error().Message_.empty());
  const RecordKind Kind = testing::anyKind();
  const Record Stored{"n", 2, testing::anyBody(Kind, 2), "", 7};
  (void)parseRecordPut(Kind, "n", testing::mutated(toJson(Stored)));
  (void)parseJobId(Body);
}

// Guards against deeply nested JSON that exhausts the stack.
TEST(JsonTest, DeepNestingIsRefused) {
  const std::string Deep(1'000'000, '[');
  EXPECT_FALSE(parseSubmission(Deep, context()));
  const std::string Closed =
      R"({"resources":{"slots":)" + Deep + std::string(Deep.size(), ']') + "}}";
  EXPECT_FALSE(parseSubmission(Closed, context()));
}

} // namespace
} // namespace oleandergauge::codec
