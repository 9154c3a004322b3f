// Values that other writers may leave in what this system reads: numbers out of
// range, deep nesting, addresses that cannot be used, bytes that are no text.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <limits>

#include "caller_calls.h"
#include "host_settings.h"
#include "json.h"
#include "machine_calls.h"
#include "node/socket_address.h"
#include "operator_rows.h"
#include "store_calls.h"
#include "worker_calls.h"

namespace oleandergauge::platform {
namespace {

/// Replaces each '#' of a template by a value.
std::string fill(const std::string &Template, const std::string &Value) {
  std::string Out;
  for (const char Each : Template) {
    if (Each == '#')
      Out += Value;
    else
      Out += Each;
  }
  return Out;
}

constexpr std::size_t DeepNesting = 100000;

std::string repeat(const std::string &Text, std::size_t Times) {
  std::string Out;
  for (std::size_t At = 0; At < Times; ++At)
    Out += Text;
  return Out;
}

std::string nestedArrays() {
  return repeat("[", DeepNesting) + repeat("]", DeepNesting);
}

std::string nestedObjects() {
  return repeat("{\"a\":", DeepNesting) + "1" + repeat("}", DeepNesting);
}

std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  return Text.replace(Text.find(From), From.size(), To);
}

/// Numbers at and beyond the ends of the types that they are read into.
const std::vector<std::string> ExtremeNumbers = {"-1",
                                                 "0",
                                                 "65536",
                                                 "2147483648",
                                                 "4294967296",
                                                 "4294967297",
                                                 "9007199254740993",
                                                 "9223372036854775807",
                                                 "-9223372036854775808",
                                                 "9223372036854775808",
                                                 "18446744073709551615",
                                                 "18446744073709551616",
                                                 "1e308",
                                                 "-1e308",
                                                 "1e-320",
                                                 std::string(400, '9'),
                                                 "-" + std::string(400, '9')};

std::vector<std::string> oddValues() {
  std::vector<std::string> Out = ExtremeNumbers;
  Out.insert(Out.end(), {"null", "true", "\"\"", "\"7\"", "[]", "[0]", "{}",
                         "[[[]]]", "\"\\u0000\"", "\"\\ud800\"", "\"\xff\xfe\"",
                         nestedArrays(), nestedObjects()});
  return Out;
}

const std::string GoodWorker =
    R"({"service":"s","addr":"10.0.0.9:80","zone":"z","version":"v1",)"
    R"("slots":8,"state":"ready","cold_left_ms":0,)"
    R"("capacity":{"cpu":1000,"mem_mb":2000,"gpu":1},"labels":["k","r1"],)"
    R"("born":77,"seq":4})";

Row workerRow(const std::string &Value) {
  return {"servers", "i-1", Value, 1, false};
}

Row operatorRow(const std::string &Key, const std::string &Value) {
  return {"op", Key, Value, 1, false};
}

bool isUsableWith(const std::string &From, const std::string &To) {
  return bool(decodeWorker(workerRow(replaced(GoodWorker, From, To))));
}

// An address with which no connection can be made has ended the owner's
// process when it made one.
TEST(OddWorkerEntries, UnusableAddressesMakeTheEntryUnusable) {
  EXPECT_TRUE(isUsableWith("10.0.0.9:80", "10.0.0.9:65535"));
  for (const std::string Address : {"10.0.0.9:0",
                                    "10.0.0.9:65536",
                                    "10.0.0.9:99999999999",
                                    "10.0.0.9:-1",
                                    "10.0.0.9:+80",
                                    "10.0.0.9: 80",
                                    "10.0.0.9:80x",
                                    "10.0.0.9:x",
                                    "10.0.0.9:",
                                    "10.0.0.9",
                                    ":80",
                                    ":",
                                    "worker.example:80",
                                    "::1:80",
                                    "[::1]:80",
                                    "10.0.0.999:80",
                                    "10.0.0.9.1:80",
                                    "10.0.9:80",
                                    "10.0.0.9:80:81",
                                    "10.0.0.9:80\\u0000",
                                    "10.0.0.9\\u0000x:80"})
    EXPECT_FALSE(isUsableWith("10.0.0.9:80", Address)) << Address;
}

// Guards against sums of capacities and comparisons of starts that overflow.
TEST(OddWorkerEntries, NumbersOutOfRangeMakeTheEntryUnusable) {
  const std::vector<std::string> Fields = {"\"cpu\":1000", "\"mem_mb\":2000",
                                           "\"gpu\":1", "\"born\":77",
                                           "\"seq\":4"};
  for (const std::string &Field : Fields) {
    const std::string Name = Field.substr(0, Field.find(':') + 1);
    for (const std::string Number :
         {"-1", "9223372036854775807", "9223372036854775808",
          "18446744073709551615", "1e308", "-1e308", "\"7\"", "[]"})
      EXPECT_FALSE(isUsableWith(Field, Name + Number)) << Name << Number;
    EXPECT_FALSE(isUsableWith(Field, Name + std::string(400, '9'))) << Name;
  }
  EXPECT_FALSE(isUsableWith("\"gpu\":1", "\"gpu\":4294967296"));
}

TEST(OddWorkerEntries, DeeplyNestedValuesMakeTheEntryUnusable) {
  EXPECT_FALSE(decodeWorker(workerRow(nestedArrays())));
  EXPECT_FALSE(decodeWorker(workerRow(nestedObjects())));
  EXPECT_FALSE(isUsableWith("\"seq\":4", "\"x\":" + nestedArrays()));
  EXPECT_FALSE(isUsableWith("\"seq\":4", "\"x\":" + nestedObjects()));
}

// A name with control bytes cannot be sent in the header that names the worker.
TEST(OddWorkerEntries, NamesWithControlBytesMakeTheEntryUnusable) {
  Row Odd = workerRow(GoodWorker);
  Odd.Key_ = std::string("i\r\nX: 1");
  EXPECT_FALSE(decodeWorker(Odd));
  Odd.Key_ = std::string("i\0x", 3);
  EXPECT_FALSE(decodeWorker(Odd));
  Odd.Key_ = "";
  EXPECT_FALSE(decodeWorker(Odd));
}

// Guards against a desired state with a number too large that no later version
// replaces.
TEST(OddOperatorRows, VersionsOutOfRangeAreRejected) {
  for (const std::string Number : {"-1", "9223372036854775808",
                                   "18446744073709551615", "1e308", "\"7\""}) {
    OperatorRows Rows;
    EXPECT_FALSE(applyOperatorRow(
        operatorRow("config", "{\"routes\":[],\"version\":" + Number + "}"),
        Rows))
        << Number;
    EXPECT_EQ(Rows.DesiredState_, nullptr) << Number;
  }
}

std::string desiredState(const std::string &Route, const std::string &Limits) {
  return R"({"version":3,"routes":[)" + Route +
         R"(,{"name":"q","host":"h","prefix":"/q/","service":"s"}],)"
         R"("tenants":[],"limits":)" +
         Limits + "}";
}

// Conversions of numbers out of range are undefined, and differ between
// processors.
TEST(OddOperatorRows, NumbersOutOfRangeStayInTheRangeOfTheField) {
  for (const std::string &Number : ExtremeNumbers) {
    if (Number.size() >= 400)
      continue; // No JSON parser reads it; the row as a whole is unreadable.
    const std::string Route = fill(
        R"({"name":"o","host":"h","prefix":"/o/","service":"s","priority":#,)"
        R"("attempts":#,"slack_factor":#,"slo_ms":#,"hint":{"decide_ms":#,)"
        R"("period_ms":#,"valid_ms":#}})",
        Number);
    const std::string Limits =
        fill(R"({"max_header_bytes":#,"max_body_bytes":#,)"
             R"("header_timeout_ms":#,"idle_timeout_ms":#})",
             Number);
    OperatorRows Rows;
    ASSERT_TRUE(applyOperatorRow(
        operatorRow("config", desiredState(Route, Limits)), Rows))
        << Number;
    const cell::DesiredState &State = *Rows.DesiredState_;
    ASSERT_EQ(State.Queues_.size(), 2U);
    const cell::Queue &Odd = State.Queues_[0];
    EXPECT_GE(Odd.Attempts_, 1U) << Number;
    EXPECT_LE(std::abs(std::int64_t{Odd.Priority_}), 1000000) << Number;
    EXPECT_GE(Odd.SlackFactor_, 0) << Number;
    EXPECT_LE(Odd.SlackFactor_, 1e6) << Number;
    EXPECT_GE(Odd.Objective_, 0) << Number;
    EXPECT_LE(Odd.Objective_, 1000000000000) << Number;
    ASSERT_TRUE(Odd.Advice_);
    EXPECT_GE(Odd.Advice_->Base_, 0) << Number;
    EXPECT_LE(Odd.Advice_->Base_, 1e9) << Number;
    EXPECT_GE(Odd.Advice_->Validity_, 0) << Number;
    EXPECT_LE(Odd.Advice_->Validity_, 1000000000000) << Number;
    EXPECT_GE(State.Limits_.HeaderBytes_, 1U) << Number;
    EXPECT_LE(State.Limits_.HeaderBytes_, std::size_t{1} << 31) << Number;
    EXPECT_GE(State.Limits_.BodyBytes_, 1U) << Number;
    EXPECT_LE(State.Limits_.BodyBytes_, std::size_t{1} << 31) << Number;
    EXPECT_GT(State.Limits_.IdleTimeout_, 0) << Number;
    EXPECT_LE(State.Limits_.IdleTimeout_, 1000000000000) << Number;
  }
}

TEST(OddOperatorRows, ADeeplyNestedStateLeavesTheEarlierOne) {
  OperatorRows Rows;
  ASSERT_TRUE(
      applyOperatorRow(operatorRow("config", desiredState("7", "{}")), Rows));
  for (const std::string &Odd : {nestedArrays(), nestedObjects()}) {
    EXPECT_FALSE(applyOperatorRow(operatorRow("config", Odd), Rows));
    EXPECT_FALSE(
        applyOperatorRow(operatorRow("config", desiredState(Odd, "{}")), Rows));
    EXPECT_FALSE(
        applyOperatorRow(operatorRow("config", desiredState("7", Odd)), Rows));
  }
  ASSERT_NE(Rows.DesiredState_, nullptr);
  EXPECT_EQ(Rows.DesiredState_->Version_, 3U);
}

// A wave that was being worked on ended when its row became unreadable.
TEST(OddOperatorRows, AnUnreadableWaveLeavesTheEarlierOne) {
  const std::string Good =
      R"({"wave":7,"machines":["m-1"],"duration_s":20,"max_count":2})";
  OperatorRows Rows;
  ASSERT_TRUE(applyOperatorRow(operatorRow("wave/7", Good), Rows));
  for (const std::string &Odd :
       {std::string("[1]"), std::string("\xff\xfe"), nestedArrays(),
        replaced(Good, ":7", ":-1"), replaced(Good, ":7", ":1e308"),
        replaced(Good, ":7", ":18446744073709551615")}) {
    EXPECT_FALSE(applyOperatorRow(operatorRow("wave/7", Odd), Rows));
    ASSERT_EQ(Rows.Waves_.count("wave/7"), 1U);
    EXPECT_EQ(Rows.Waves_.at("wave/7"), (cell::Wave{7, {"m-1"}, 20000, 2}));
  }
}

TEST(OddOperatorRows, NumbersOfAWaveStayInRange) {
  for (const std::string &Number : ExtremeNumbers) {
    if (Number.size() >= 400)
      continue;
    OperatorRows Rows;
    ASSERT_TRUE(applyOperatorRow(
        operatorRow("wave/7",
                    fill(R"({"wave":7,"machines":["m"],"duration_s":#,)"
                         R"("max_count":#})",
                         Number)),
        Rows));
    const cell::Wave &Wave = Rows.Waves_.at("wave/7");
    EXPECT_GE(Wave.Duration_, 0) << Number;
    EXPECT_LE(Wave.Duration_, 1000000000000) << Number;
    EXPECT_GE(Wave.MaxDown_, 1U) << Number;
  }
}

// The rest of a page holds, whatever one of its rows contains.
TEST(OddPages, OneOddRowDoesNotHideTheOthers) {
  const std::string Good = R"({"key":"k","value":"YQ==","ver":3})";
  for (const std::string &Odd :
       {std::string("7"), std::string("null"), nestedArrays(), nestedObjects(),
        std::string(R"({"key":7,"value":7,"ver":"x"})"),
        R"({"key":"o","value":)" + nestedArrays() + "}",
        R"({"key":"o","value":{"a":)" + nestedObjects() + "}}",
        std::string(R"({"key":"o","value":"!!!!","ver":1e308})"),
        std::string(R"({"key":"o\ud800","value":"","ver":-1})"),
        std::string("{\"key\":\"o\xff\xfe\x80\",\"value\":\"YQ==\"}"),
        "{\"key\":\"" + repeat("\xc3", 200) + "\",\"value\":\"YQ==\"}",
        std::string(R"({"key":"o\u0000p","value":"YQ=="})")}) {
    const auto Page =
        decodeRead({200, fill(R"({"rows":[#,)" + Good + R"(],"ver":9})", Odd)});
    ASSERT_TRUE(Page) << Odd.substr(0, 60);
    ASSERT_FALSE(Page->Rows_.empty());
    EXPECT_EQ(Page->Rows_.back(), (Row{"", "k", "a", 3, false}))
        << Odd.substr(0, 60);
  }
}

// A name that contains a zero byte was cut there, so that the read of the next
// page began again at the same row, without an end.
TEST(OddPages, TheNextPageBeginsAfterANameWithAZeroByte) {
  const std::string Key("a\0b", 3);
  EXPECT_EQ(encodeRead(TableSpace::Workers, "", keyAfter(Key)).Path_,
            "/rows-get?table=servers&part=&from=a%00b%01");
}

// Numbers of runs and ends are compared with those of this system, and clocks
// are added to.
TEST(OddReports, RowsWithNumbersOutOfRangeAreSkipped) {
  for (const std::string Number : {"-1", "9223372036854775807",
                                   "18446744073709551615", "1e308", "-1e308"}) {
    const auto Outcome = decodeRenewalAnswer(
        {}, {200, fill(R"({"clock_ms":50,"running":[["a",#,"c",41],)"
                       R"(["b",2,"c",41]],"finished":[[#,"a",1,"done",""],)"
                       R"([5,"a",#,"done",""],[6,"a",1,"done",""]]})",
                       Number)});
    ASSERT_EQ(Outcome.List_.Running_.size(), 1U) << Number;
    EXPECT_EQ(Outcome.List_.Running_[0].Task_, "b");
    ASSERT_EQ(Outcome.List_.Ended_.size(), 1U) << Number;
    const auto Late = decodeRenewalAnswer(
        {}, {200, fill(R"({"running":[],"clock_ms":#})", Number)});
    EXPECT_EQ(Late.Result_, cell::OrderResult::NoAnswer) << Number;
    const auto Order =
        decodeOrderAnswer(1, {200, fill(R"({"clock_ms":#,"born":#})", Number)});
    EXPECT_EQ(Order.ClockMs_, 0) << Number;
  }
}

TEST(OddReports, PercentAndUsageStayInRange) {
  for (const std::string &Number : ExtremeNumbers) {
    if (Number.size() >= 400)
      continue;
    const auto Outcome = decodeRenewalAnswer(
        {},
        {200, fill(R"({"clock_ms":50,"running":[["b",2,"c",#,#]]})", Number)});
    ASSERT_EQ(Outcome.List_.Running_.size(), 1U);
    EXPECT_GE(Outcome.List_.Running_[0].Percent_, 0) << Number;
    EXPECT_LE(Outcome.List_.Running_[0].Percent_, 100) << Number;
    EXPECT_GE(Outcome.List_.Running_[0].Usage_, 0) << Number;
    EXPECT_LE(Outcome.List_.Running_[0].Usage_, 1e12) << Number;
  }
}

TEST(OddReports, TheValidityOfAdviceStaysInRange) {
  for (const std::string &Number : ExtremeNumbers) {
    if (Number.size() >= 400)
      continue;
    const auto Outcome = decodeAdviceAnswer(
        {200, R"({"allowed":[["w","t"]],"valid_ms":)" + Number + "}"});
    EXPECT_GE(Outcome.Valid_, 0) << Number;
    EXPECT_LE(Outcome.Valid_, 1000000000000) << Number;
  }
}

// One odd entry does not hide the others of its list.
TEST(OddReports, DeeplyNestedEntriesAreSkipped) {
  for (const std::string &Odd : {nestedArrays(), nestedObjects()}) {
    const auto Machines = decodeMachineList(
        {200, R"({"machines":[)" + Odd +
                  R"(,{"machine":"m","state":"up","id":"i"}]})"});
    ASSERT_TRUE(Machines);
    EXPECT_EQ(Machines->Machines_.size(), 1U);
    const auto Advice =
        decodeAdviceAnswer({200, R"({"allowed":[)" + Odd + R"(,["w","t"]]})"});
    EXPECT_EQ(Advice.Tickets_.size(), 1U);
    const auto Report = decodeRenewalAnswer(
        {}, {200, R"({"clock_ms":1,"running":[)" + Odd + R"(,["b",2,"c"]]})"});
    EXPECT_EQ(Report.List_.Running_.size(), 1U);
  }
}

std::string jobWith(const std::string &StepFields, const std::string &Fields) {
  return R"({"spec":"x","phases":[{"count":1,"cpu":1},{"count":1)" +
         StepFields + "}]" + Fields + "}";
}

// A job with more tasks than memory can hold ended the owner when it was
// accepted, and each next owner when the caller repeated the request.
TEST(OddJobs, MoreTasksThanMemoryHoldsAreRejected) {
  const std::string Step = R"({"count":100000})";
  std::string Steps = Step;
  for (int At = 0; At < 2000; ++At)
    Steps += "," + Step;
  EXPECT_FALSE(decodeJob(R"({"phases":[)" + Steps + "]}"));
  EXPECT_FALSE(
      decodeJob(R"({"phases":[{"count":100000}],"times":4000000000})"));
  EXPECT_FALSE(decodeJob(R"({"phases":[{"count":100}],"times":1000000})"));
  EXPECT_TRUE(decodeJob(R"({"phases":[{"count":10}],"times":1000000})"));
}

// 4294967296 occurrences were read as none, and the job ran once.
TEST(OddJobs, NumbersOutOfRangeAreRejected) {
  EXPECT_TRUE(decodeJob(jobWith(R"(,"cpu":500,"after":[0])", R"(,"times":3)")));
  EXPECT_TRUE(decodeJob(jobWith(R"(,"cpu":null)", R"(,"times":null)")));
  for (const std::string Number :
       {"-1", "9223372036854775807", "9223372036854775808",
        "18446744073709551615", "1e308", "-1e308"}) {
    for (const std::string Name : {"count", "cpu", "mem_mb", "gpu"})
      EXPECT_FALSE(decodeJob(jobWith(fill(",\"#\":", Name) + Number, "")))
          << Name << Number;
    EXPECT_FALSE(decodeJob(jobWith(fill(R"(,"after":[#])", Number), "")))
        << Number;
    EXPECT_FALSE(decodeJob(jobWith("", R"(,"times":)" + Number))) << Number;
  }
  EXPECT_FALSE(decodeJob(jobWith("", R"(,"times":4294967296)")));
  EXPECT_FALSE(decodeJob(jobWith(R"(,"gpu":4294967296)", "")));
  EXPECT_FALSE(decodeJob(jobWith(R"(,"after":0)", "")));
  EXPECT_FALSE(decodeJob(jobWith(",\"x\":" + nestedArrays(), "")));
  EXPECT_FALSE(decodeJob(jobWith("", ",\"x\":" + nestedObjects())));
}

// Due times and objectives are sums of these.
TEST(OddJobs, TimesStayInRange) {
  for (const std::string &Number : ExtremeNumbers) {
    if (Number.size() >= 400)
      continue;
    const auto Job = decodeJob(
        jobWith(fill(R"(,"est_ms":#,"goal_ms":#,"max_per_server":#,)"
                     R"("max_unavailable":#)",
                     Number),
                fill(R"(,"times":2,"start_ms":#,"interval_ms":#)", Number)));
    ASSERT_TRUE(Job) << Number;
    EXPECT_GE(Job->Steps_[1].Estimate_, 0) << Number;
    EXPECT_LE(Job->Steps_[1].Estimate_, 1000000000000) << Number;
    EXPECT_GE(Job->Steps_[1].TailGoal_, 0) << Number;
    EXPECT_LE(Job->Steps_[1].TailGoal_, 1000000000000) << Number;
    EXPECT_GE(Job->FirstDue_, 0) << Number;
    EXPECT_LE(Job->FirstDue_, 1000000000000000) << Number;
    EXPECT_GE(Job->Interval_, 0) << Number;
    EXPECT_LE(Job->Interval_, 1000000000000) << Number;
  }
  // A limit of 2^32 was read as no limit.
  const auto Job = decodeJob(jobWith(R"(,"max_per_server":4294967296)", ""));
  ASSERT_TRUE(Job);
  EXPECT_EQ(Job->Steps_[1].MaxPerWorker_,
            std::numeric_limits<std::uint32_t>::max());
}

// A header that is not a number was read as a timeout of 0.
TEST(OddJobs, TimeoutsOfCallersStayInRange) {
  EXPECT_EQ(decodeCallerTimeout("3000"), 3000);
  EXPECT_EQ(decodeCallerTimeout("0"), 0);
  for (const char *Large : {"9223372036854775808", "99999999999999999999999"})
    EXPECT_EQ(decodeCallerTimeout(Large), 10000000000) << Large;
  for (const std::string Odd : {"", "soon", "-1", "1e3", " 5", "5 ", "3.5"})
    EXPECT_EQ(decodeCallerTimeout(Odd), std::nullopt) << Odd;
}

// One parser serves settings, entries, owner rows, links and pools.
TEST(OddAddresses, ParseOnlyIpAddressesWithAPort) {
  EXPECT_EQ(node::parseSocketAddress("10.0.0.1:80"),
            (node::SocketAddress{"10.0.0.1", 80}));
  EXPECT_EQ(node::parseSocketAddress("0.0.0.0:65535"),
            (node::SocketAddress{"0.0.0.0", 65535}));
  for (const std::string Odd :
       {"", ":", "80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536",
        "10.0.0.1:99999999999", "10.0.0.1:-1", "10.0.0.1:+1", "10.0.0.1: 1",
        "10.0.0.1:1 ", "10.0.0.1:0x1", "host:80", "::1:80", "[::1]:80",
        " 10.0.0.1:80", "\xff:80"})
    EXPECT_EQ(node::parseSocketAddress(Odd), std::nullopt) << Odd;
  EXPECT_FALSE(node::parseSocketAddress(std::string("10.0.0.1\0:80", 12)));
  EXPECT_FALSE(node::parseSocketAddress(std::string(100000, '9')));
}

const std::string Settings = R"(node_name=edge-a-1
ip=10.1.0.17
zone=a
listen.frontend=10.1.0.17:8183
listen.ready=10.1.0.17:8184
port_range=7420,7435
platform.addr=10.200.1.7:8182
)";

TEST(OddSettings, AddressesThatCannotBeUsedAreNamed) {
  ASSERT_TRUE(decodeSettings(Settings));
  for (const std::string Address :
       {"10.200.1.7", "10.200.1.7:", "10.200.1.7:0", "10.200.1.7:65536",
        "10.200.1.7:99999999999", "10.200.1.7:-1", "store.example:8182",
        "::1:8182", "[::1]:8182", "10.200.1:8182"}) {
    const auto Read =
        decodeSettings(replaced(Settings, "10.200.1.7:8182", Address));
    ASSERT_FALSE(Read) << Address;
    EXPECT_NE(Read.error().find("platform.addr"), std::string::npos);
  }
  for (const std::string Ip :
       {"10.1.0", "host.example", "::1", "10.1.0.17:1"}) {
    const auto Read =
        decodeSettings(replaced(Settings, "ip=10.1.0.17", "ip=" + Ip));
    ASSERT_FALSE(Read) << Ip;
    EXPECT_NE(Read.error().find("ip"), std::string::npos);
  }
}

TEST(OddSettings, NumbersOutOfRangeAreNamed) {
  for (const std::string Name :
       {"bounds.grace_s", "bounds.hold_max_ms", "bounds.stop_ms",
        "bounds.gang_timeout_ms", "bounds.lease_ms", "bounds.maint_s",
        "bounds.status_s", "limits.cpu_share"})
    for (const std::string &Number :
         {std::string("1e308"), std::string("1e19"), std::string("-1"),
          std::string("nan"), std::string("inf"), std::string(400, '9')}) {
      const auto Read =
          decodeSettings(Settings + fill(fill("#=", Name) + "#\n", Number));
      ASSERT_FALSE(Read) << Name << Number;
      EXPECT_NE(Read.error().find(Name), std::string::npos);
    }
}

/// A message and the decoder that reads it.
struct Message {
  std::string Text_;
  void (*Decode_)(const std::string &Text);
};

const std::vector<Message> Messages = {
    {GoodWorker,
     [](const std::string &Text) { decodeWorker(workerRow(Text)); }},
    {R"({"version":3,"routes":[{"name":"r","host":"h","prefix":"/p/",)"
     R"("service":"s","priority":1,"attempts":2,"slack_factor":2.5,)"
     R"("slo_ms":500,"public":false,"hint":{"decide_ms":5,"period_ms":0.1,)"
     R"("valid_ms":1500}}],"services":[{"name":"s","standby":true}],)"
     R"("limits":{"max_header_bytes":16384,"max_body_bytes":65536,)"
     R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{)"
     R"("name":"t","api_keys":["k"],"weight":100,"max_count":{"cpu":1,)"
     R"("mem_mb":2,"gpu":3}}]})",
     [](const std::string &Text) {
       OperatorRows Rows;
       applyOperatorRow(operatorRow("config", Text), Rows);
     }},
    {R"({"wave":7,"machines":["m-1","m-2"],"duration_s":20,"max_count":2})",
     [](const std::string &Text) {
       OperatorRows Rows;
       applyOperatorRow(operatorRow("wave/7", Text), Rows);
     }},
    {R"({"rows":[{"table":"t","part":"p","key":"k","value":"YQ==","ver":3,)"
     R"("tombstone":false}],"has_more":true,"ver":9,"now_ms":5})",
     [](const std::string &Text) {
       if (const auto Page = decodeRead({200, Text}))
         findOwnerRow(*Page);
       decodeTransactionAnswer({412, Text});
       decodeTransactionAnswer({200, Text});
       decodeWaveStateAnswer({412, Text});
       decodeWaveStateAnswer({200, Text});
     }},
    {R"({"clock_ms":50,"born":9,"reason":"fence","running":[["a.0.0.1",2,)"
     R"("ck",41,7]],"finished":[[58,"a.0.0.9",1,"done",""]]})",
     [](const std::string &Text) {
       decodeRenewalAnswer({}, {200, Text});
       decodeOrderAnswer(1, {409, Text});
     }},
    {R"({"allowed":[["w","t"]],"valid_ms":1500})",
     [](const std::string &Text) {
       decodeAdviceAnswer({200, Text});
     }},
    {R"({"machines":[{"machine":"m","pool":"p","state":"up","zone":"z",)"
     R"("labels":["a"],"capacity":{"cpu":1},"id":"i"}],"next_token":"t"})",
     [](const std::string &Text) {
       decodeMachineList({200, Text});
       decodeUpkeepAnswer({409, Text});
     }},
    {R"({"spec":"x","phases":[{"count":4,"cpu":500,"mem_mb":256,"gpu":0,)"
     R"("est_ms":900},{"count":2,"after":[0],"gang":true,"requires":"l",)"
     R"("affinity":"r","max_per_server":1,"image":"i","goal_ms":5,)"
     R"("max_unavailable":1}],"times":3,"start_ms":5,"interval_ms":6})",
     [](const std::string &Text) { decodeJob(Text); }}};

/// Returns the places of a text at which a JSON value begins and ends.
std::vector<std::pair<std::size_t, std::size_t>>
findScalars(const std::string &Text) {
  std::vector<std::pair<std::size_t, std::size_t>> Out;
  for (std::size_t At = 0; At < Text.size();) {
    const std::size_t Begin = At;
    if (Text[At] == '"') {
      At = Text.find('"', At + 1) + 1;
    } else if (std::string_view("[]{}:,").find(Text[At]) !=
               std::string_view::npos) {
      ++At;
      continue;
    } else {
      At = std::min(Text.find_first_of("]},", At), Text.size());
    }
    Out.emplace_back(Begin, At);
  }
  return Out;
}

/// Draws an index below \p Count evenly, whatever the size of the test case.
rc::Gen<std::size_t> anyBelow(std::size_t Count) {
  return rc::gen::resize(rc::kNominalSize,
                         rc::gen::inRange<std::size_t>(0, Count));
}

// An exception that leaves a decoder ends the process.
RC_GTEST_PROP(OddMessages, DecodersAcceptMutatedMessages, ()) {
  static const std::vector<std::string> Odd = oddValues();
  const Message &Target = Messages[*anyBelow(Messages.size())];
  std::string Text = Target.Text_;
  const int Mutations = *rc::gen::inRange(1, 5);
  for (int Each = 0; Each < Mutations; ++Each) {
    const auto Places = findScalars(Text);
    if (Places.empty() || Text.size() > DeepNesting)
      break;
    const auto [Begin, End] = Places[*anyBelow(Places.size())];
    Text.replace(Begin, End - Begin, Odd[*anyBelow(Odd.size())]);
  }
  Target.Decode_(Text);
}

} // namespace
} // namespace oleandergauge::platform
