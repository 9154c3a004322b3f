#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "caller_calls.h"
#include "host_settings.h"
#include "json.h"
#include "machine_calls.h"
#include "operator_rows.h"
#include "store_calls.h"
#include "worker_calls.h"

namespace oleandergauge::platform {
namespace {

const std::string SettingsText = R"(node_name=edge-a-1
ip=10.1.0.17
zone=a
listen.frontend=10.1.0.17:8183
listen.ready=10.1.0.17:8184
port_range=7420,7435
limits.cpu_share=0.25
platform.addr=10.200.1.7:8182
hint=10.200.1.9:8182
bounds.grace_s=6
bounds.hold_max_ms=6000
some.new.field=x
)";

TEST(HostSettings, IgnoresUnknownFields) {
  const auto Read = decodeSettings(SettingsText);
  ASSERT_TRUE(Read) << Read.error();
  EXPECT_EQ(Read->Name_, "edge-a-1");
  EXPECT_EQ(Read->PeerPort_, 7420);
  EXPECT_DOUBLE_EQ(Read->CpuShare_, 0.25);
  EXPECT_EQ(Read->TerminationGrace_, 6000);
  EXPECT_EQ(Read->AdviceAddress_, "10.200.1.9:8182");
}

TEST(HostSettings, ErrorNamesTheWrongField) {
  auto Without = [](const std::string &Line) {
    std::string Text = SettingsText;
    const std::size_t At = Text.find(Line);
    return Text.erase(At, Text.find('\n', At) - At + 1);
  };
  EXPECT_NE(decodeSettings(Without("ip=")).error().find("ip"),
            std::string::npos);
  EXPECT_NE(
      decodeSettings(Without("platform.addr")).error().find("platform.addr"),
      std::string::npos);
  EXPECT_NE(decodeSettings(Without("port_range")).error().find("port_range"),
            std::string::npos);
  EXPECT_NE(decodeSettings(SettingsText + "bounds.grace_s=soon\n")
                .error()
                .find("bounds.grace_s"),
            std::string::npos);
}

TEST(HostSettings, ReadsTheRemoteFactorAsAFraction) {
  EXPECT_EQ(decodeSettings(SettingsText)->Bounds_.RemoteFactor_, 0);
  const auto Read = decodeSettings(SettingsText + "bounds.remote_factor=1.5\n");
  ASSERT_TRUE(Read) << Read.error();
  EXPECT_DOUBLE_EQ(Read->Bounds_.RemoteFactor_, 1.5);
  EXPECT_EQ(Read->Warning_, "");
}

// Guards against a host that does not start because of a setting without which
// it would work.
TEST(HostSettings, IgnoresARemoteFactorThatCannotBeUsed) {
  for (const std::string Value : {"fast", "1,5", "-2", "nan", "1e300"}) {
    std::string Text = SettingsText;
    Text.append("bounds.remote_factor=").append(Value).append("\n");
    const auto Read = decodeSettings(Text);
    ASSERT_TRUE(Read) << Read.error();
    EXPECT_EQ(Read->Bounds_.RemoteFactor_, 0) << Value;
    EXPECT_NE(Read->Warning_.find("bounds.remote_factor"), std::string::npos);
  }
}

TEST(StoreCalls, TransactionsAreConditionalOnTheOwnerRow) {
  const cell::OwnerRow Owner{3, 9, "h", "10.0.0.1:7000", false};
  const node::HttpCall Call = encodeTransaction(
      Owner, 41, {{"jobs", "a", "bytes"}, {"jobs", "b", std::nullopt}});
  const Json Body = parseJson(Call.Body_);
  EXPECT_EQ(Body["expect_rev"][0]["ver"], 41);
  EXPECT_EQ(Body["expect_rev"][0]["table"], cell::OwnerTable);
  EXPECT_EQ(Body["writes"].size(), 2U);
  EXPECT_EQ(Body["writes"][1]["value"], "Ynl0ZXM=");
  EXPECT_EQ(Body["remove"][0]["key"], "b");
}

TEST(StoreCalls, DistinguishesRefusedFromUnknownResults) {
  using Result = cell::TransactionResult;
  EXPECT_EQ(decodeTransactionAnswer({200, R"({"ver":5})"}).Version_, 5U);
  EXPECT_EQ(decodeTransactionAnswer({503, ""}).Result_, Result::Refused);
  EXPECT_EQ(decodeTransactionAnswer({429, ""}).Result_, Result::Refused);
  EXPECT_EQ(decodeTransactionAnswer({0, ""}).Result_, Result::Unknown);
  EXPECT_EQ(decodeTransactionAnswer({500, ""}).Result_, Result::Unknown);
  EXPECT_EQ(decodeTransactionAnswer({412, R"({"rows":[]})"}).Present_,
            cell::StoredOwner{});
}

// Guards against a transaction that is repeated without end although the store
// will never take it, and against one that is given up while it would.
TEST(StoreCalls, DistinguishesRejectedTransactions) {
  using Result = cell::TransactionResult;
  for (const int Status : {400, 403, 404, 413, 422}) {
    const auto Answer = decodeTransactionAnswer({Status, ""});
    EXPECT_EQ(Answer.Result_, Result::Rejected) << Status;
    EXPECT_EQ(Answer.Status_, Status);
  }
  for (const int Status : {0, 408, 425, 500, 502, 504, 507})
    EXPECT_EQ(decodeTransactionAnswer({Status, ""}).Result_, Result::Unknown)
        << Status;
}

TEST(StoreCalls, RejectsUnreadablePages) {
  EXPECT_FALSE(decodeRead({503, ""}));
  EXPECT_FALSE(decodeRead({200, "not json"}));
  EXPECT_FALSE(decodeRead({200, "{}"}));
  const auto Page = decodeRead(
      {200, R"({"rows":[{"key":"k","value":"YQ==","ver":3}],"ver":9})"});
  ASSERT_TRUE(Page);
  EXPECT_EQ(Page->Rows_[0].Value_, "a");
  EXPECT_EQ(Page->Version_, 9U);
}

Row workerRow(const std::string &Value) {
  return {"servers", "i-1", Value, 1, false};
}

// Entries with other formats, types or states name no worker that the owner may
// use. They must be skipped without an error.
TEST(OperatorRows, SkipsUnusableWorkerEntries) {
  const std::string Good =
      R"({"service":"s","addr":"10.0.0.9:80","zone":"z","state":"ready",)"
      R"("capacity":{"cpu":1000,"mem_mb":2000,"gpu":1},"labels":["k","r1"],)"
      R"("born":77})";
  const auto Worker = decodeWorker(workerRow(Good));
  ASSERT_TRUE(Worker);
  EXPECT_EQ(Worker->Rack_, "r1");
  EXPECT_EQ(Worker->Incarnation_, 77);
  EXPECT_EQ(Worker->Capacity_.Accelerators_, 1);
  auto With = [&](const std::string &From, const std::string &To) {
    std::string Text = Good;
    return Text.replace(Text.find(From), From.size(), To);
  };
  EXPECT_FALSE(decodeWorker(workerRow("\xff\xfe")));
  EXPECT_FALSE(decodeWorker(workerRow("[]")));
  EXPECT_FALSE(decodeWorker(workerRow(With("\"ready\"", "\"odd\""))));
  EXPECT_FALSE(decodeWorker(workerRow(With("\"s\"", "7"))));
  EXPECT_FALSE(decodeWorker(workerRow(With("1000", "\"many\""))));
  EXPECT_TRUE(
      decodeWorker(workerRow(With("\"ready\"", "\"draining\"")))->Draining_);
}

TEST(OperatorRows, IgnoresOlderDesiredStates) {
  OperatorRows Rows;
  auto Config = [](int Version) {
    return Row{"op", "config",
               "{\"version\":" + std::to_string(Version) +
                   R"(,"routes":[],"services":[],"tenants":[]})",
               1, false};
  };
  EXPECT_TRUE(applyOperatorRow(Config(7), Rows));
  EXPECT_TRUE(applyOperatorRow(Config(5), Rows));
  EXPECT_EQ(Rows.DesiredState_->Version_, 7U);
  EXPECT_FALSE(applyOperatorRow({"op", "config", "oops", 1, false}, Rows));
  EXPECT_EQ(Rows.DesiredState_->Version_, 7U);
  EXPECT_TRUE(applyOperatorRow({"op", "evacuate/z1", "{}", 1, false}, Rows));
  EXPECT_EQ(Rows.WithdrawnDomains_.count("z1"), 1U);
  EXPECT_TRUE(applyOperatorRow({"op", "evacuate/z1", "", 2, true}, Rows));
  EXPECT_TRUE(Rows.WithdrawnDomains_.empty());
}

TEST(WorkerCalls, SkipsInvalidRowsOfRenewals) {
  const cell::SendRenewal Renewal{8, {"w", "10.0.0.1:1", 5}, 100, 3, 0};
  const auto Outcome = decodeRenewalAnswer(
      Renewal,
      {200, R"({"clock_ms":50,"born":9,"running":[["a.0.0.1",2,"ck",41],)"
            R"(["b"],7],"finished":[[58,"a.0.0.9",1,"done",""],)"
            R"([59,"x",1,"odd",""]]})"});
  EXPECT_EQ(Outcome.Result_, cell::OrderResult::Done);
  EXPECT_EQ(Outcome.Token_, 8U);
  EXPECT_EQ(Outcome.Worker_, Renewal.Worker_);
  ASSERT_EQ(Outcome.List_.Running_.size(), 1U);
  EXPECT_EQ(Outcome.List_.Running_[0].Checkpoint_, "ck");
  ASSERT_EQ(Outcome.List_.Ended_.size(), 1U);
  EXPECT_EQ(Outcome.List_.Ended_[0].Kind_, cell::EndKind::Done);
}

std::string endRows(int Count) {
  std::string Out;
  for (int At = 1; At <= Count; ++At)
    Out += (At == 1 ? "[" : ",[") + std::to_string(At) +
           R"(,"a.0.0.1",1,"done",""])";
  return Out;
}

// Guards against conclusions from what a list does not name: a worker returns
// 500 ends at a time, and a row that cannot be read may be any run.
TEST(WorkerCalls, RenewalsTellWhetherTheirListsAreComplete) {
  const auto Decode = [](const std::string &Running, const std::string &Ended) {
    return decodeRenewalAnswer({},
                               {200, R"({"clock_ms":50,"running":[)" + Running +
                                         R"(],"finished":[)" + Ended + "]}"})
        .List_;
  };
  EXPECT_TRUE(Decode(R"(["b",2,"c",41])", endRows(499)).isComplete());
  EXPECT_FALSE(Decode(R"(["b",2,"c",41])", endRows(500)).AllEnds_);
  // Ends that cannot be read take the place of others.
  EXPECT_FALSE(Decode("", "7," + endRows(499)).AllEnds_);
  EXPECT_FALSE(Decode(R"(["b"])", "").AllRuns_);
  EXPECT_TRUE(Decode("", "").isComplete());
}

TEST(WorkerCalls, MapsStatusesToOrderResults) {
  using Result = cell::OrderResult;
  EXPECT_EQ(decodeOrderAnswer(1, {200, "{}"}).Result_, Result::Done);
  EXPECT_EQ(decodeOrderAnswer(1, {409, R"({"reason":"fence"})"}).Result_,
            Result::Fenced);
  EXPECT_EQ(decodeOrderAnswer(1, {409, R"({"reason":"ticket"})"}).Result_,
            Result::BadTicket);
  EXPECT_EQ(decodeOrderAnswer(1, {409, R"({"reason":"room"})"}).Result_,
            Result::Rejected);
  EXPECT_EQ(decodeOrderAnswer(1, {421, ""}).Result_, Result::OtherIncarnation);
  EXPECT_EQ(decodeOrderAnswer(1, {0, ""}).Result_, Result::NoAnswer);
  EXPECT_EQ(decodeOrderAnswer(1, {502, ""}).Result_, Result::NoAnswer);
}

TEST(CallerCalls, ReadsAJob) {
  const auto Job =
      decodeJob(R"({"spec":"x","phases":[{"count":4,"cpu":500,"mem_mb":256,)"
                R"("est_ms":900},{"count":2,"cpu":1,"after":[0],"gang":true,)"
                R"("checkpointed":true,"unknown":1}],"times":3})");
  ASSERT_TRUE(Job) << Job.error();
  EXPECT_EQ(Job->Steps_.size(), 2U);
  EXPECT_TRUE(Job->Steps_[1].Gang_);
  EXPECT_EQ(Job->Steps_[1].After_, std::vector<std::uint32_t>{0});
  EXPECT_EQ(Job->Occurrences_, 3U);
}

TEST(CallerCalls, RejectsInvalidJobs) {
  EXPECT_FALSE(decodeJob(""));
  EXPECT_FALSE(decodeJob("[]"));
  EXPECT_FALSE(decodeJob(R"({"phases":[]})"));
  EXPECT_FALSE(decodeJob(R"({"phases":[{"count":0}]})"));
  EXPECT_FALSE(decodeJob(R"({"phases":[{"count":1,"cpu":-1}]})"));
  EXPECT_FALSE(decodeJob(R"({"phases":[{"count":1,"after":[0]}]})"));
  EXPECT_FALSE(decodeJob("{\"spec\":\"" + std::string(4001, 'x') +
                         "\",\"phases\":[{\"count\":1}]}"));
}

// Guards against a status that promises more, or less, than callers rely on.
TEST(CallerCalls, TellsWhichStatusPromisesThatARequestIsNotRun) {
  for (const int Status : {400, 401, 403, 404, 429, 503})
    EXPECT_TRUE(promisesNotRun(Status)) << Status;
  for (const int Status : {200, 410, 502, 504})
    EXPECT_FALSE(promisesNotRun(Status)) << Status;
}

TEST(CallerCalls, SetsRetryLaterOnlyForRequestsNotRun) {
  EXPECT_TRUE(encodeAnswer({1, cell::Answer::Busy}).RetryLater_);
  const CallerAnswer TooLarge = encodeAnswer({1, cell::Answer::TooLarge});
  EXPECT_EQ(TooLarge.Status_, 400);
  EXPECT_FALSE(TooLarge.RetryLater_);
  EXPECT_EQ(encodeAnswer({1, cell::Answer::Busy}).Status_, 503);
  EXPECT_EQ(encodeAnswer({1, cell::Answer::NoJob}).Status_, 410);
  EXPECT_EQ(encodeRefusal(cell::Access::UnknownKey).Status_, 401);
  EXPECT_EQ(encodeRefusal(cell::Access::NoQueue).Status_, 404);
  EXPECT_EQ(encodeRefusal(cell::Access::NoState).Status_, 503);
}

RC_GTEST_PROP(Wire, DecodersAcceptAnyBytes, (const std::string &Bytes)) {
  decodeTransactionAnswer({412, Bytes});
  decodeRead({200, Bytes});
  decodeWorker(workerRow(Bytes));
  OperatorRows Rows;
  applyOperatorRow({"op", "config", Bytes, 1, false}, Rows);
  decodeOrderAnswer(1, {409, Bytes});
  decodeRenewalAnswer({}, {200, Bytes});
  decodeAdviceAnswer({200, Bytes});
  decodeJob(Bytes);
  decodeSettings(Bytes);
}

RC_GTEST_PROP(Records, RoundTripThroughEncoding,
              (const std::string &Payload, std::uint32_t Count,
               const std::vector<bool> &Done)) {
  cell::JobRecord Record;
  Record.Spec_.Payload_ = "p" + std::to_string(Payload.size());
  cell::StepSpec Step;
  Step.Count_ = Count;
  Step.Gang_ = true;
  Step.PreferredRack_ = "r1";
  Record.Spec_.Steps_ = {Step, Step};
  Record.Queue_ = "q";
  RC_ASSERT(cell::decodeJob(cell::encode(Record)) == Record);
  const cell::JobProgress Progress = {{{1, 2, Done, {{3, 9}}, 4}}, 5};
  const auto Back = cell::decodeProgress(cell::encode(Progress));
  RC_ASSERT(Back.has_value());
  const cell::StepProgress &Read = Back->Steps_.at(0);
  for (std::size_t At = 0; At < Done.size(); ++At)
    RC_ASSERT(Read.Done_[At] == Done[At]);
  RC_ASSERT(Read.Failures_ == Progress.Steps_[0].Failures_);
  RC_ASSERT(Read.FirstTask_ == 4U);
  RC_ASSERT(Back->DoneOccurrences_ == 5U);
}

// Guards against rows that hosts of the version before cannot read while hosts
// are upgraded in turn: progress that fits into one row has its form.
TEST(Records, ProgressOfOneRowHasTheFormOfTheVersionBefore) {
  const std::string Before("\x0a\x0d\x08\x01\x10\x02\x1a\x01\x05\x22\x04"
                           "\x08\x03\x10\x09",
                           15);
  const cell::JobProgress Progress = {
      {{1, 2, {true, false, true}, {{3, 9}}, 0}}, 0};
  EXPECT_EQ(cell::encode(Progress), Before);
  EXPECT_EQ(cell::decodeProgress(Before)->Steps_.at(0).Failures_,
            Progress.Steps_[0].Failures_);
}

// Guards against the same where the row was removed before all rows were read,
// so that no version of it is known.
TEST(OperatorRows, IgnoresARowThatALaterReadOfAllRowsLacked) {
  OperatorRows Rows;
  Rows.ReadAsOf_ = 12;
  const Row Withdrawn{"op", "evacuate/z1", "{}", 10, false};
  EXPECT_TRUE(applyOperatorRow(Withdrawn, Rows));
  EXPECT_TRUE(Rows.WithdrawnDomains_.empty());
  EXPECT_TRUE(applyOperatorRow(Withdrawn, Rows));
  EXPECT_TRUE(Rows.WithdrawnDomains_.empty());
  EXPECT_TRUE(applyOperatorRow({"op", "evacuate/z1", "{}", 13, false}, Rows));
  EXPECT_EQ(Rows.WithdrawnDomains_.size(), 1U);
}

// Guards against a row that was removed or replaced and is in use again because
// the answer to an earlier read arrives late.
TEST(OperatorRows, IgnoresOlderVersionsOfARow) {
  OperatorRows Rows;
  const Row Withdrawn{"op", "evacuate/z1", "{}", 3, false};
  const Row Wave{"op", "wave/7", R"({"wave":7,"machines":["m1"]})", 4, false};
  EXPECT_TRUE(applyOperatorRow(Withdrawn, Rows));
  EXPECT_TRUE(applyOperatorRow(Wave, Rows));
  EXPECT_EQ(Rows.Waves_.size(), 1U);
  EXPECT_TRUE(applyOperatorRow({"op", "evacuate/z1", "", 5, true}, Rows));
  EXPECT_TRUE(applyOperatorRow({"op", "wave/7", "", 6, true}, Rows));
  EXPECT_TRUE(applyOperatorRow(Withdrawn, Rows));
  EXPECT_TRUE(applyOperatorRow(Wave, Rows));
  EXPECT_TRUE(Rows.WithdrawnDomains_.empty());
  EXPECT_TRUE(Rows.Waves_.empty());
}

TEST(OperatorRows, ReadsAndRemovesWaves) {
  OperatorRows Rows;
  EXPECT_TRUE(applyOperatorRow(
      {"op", "wave/7",
       R"({"wave":7,"machines":["m-1",5,"m-2"],"duration_s":20,"max_count":2})",
       3, false},
      Rows));
  EXPECT_EQ(Rows.Waves_.at("wave/7"),
            (cell::Wave{7, {"m-1", "m-2"}, 20000, 2}));
  EXPECT_FALSE(applyOperatorRow({"op", "wave/8", "[1]", 4, false}, Rows));
  EXPECT_TRUE(applyOperatorRow({"op", "wave/7", "", 5, true}, Rows));
  EXPECT_TRUE(Rows.Waves_.empty());
}

// Guards against a list that is taken for whole although pages or machines are
// left out: a machine that it lacks counts as removed from the platform.
TEST(MachineCalls, LeavesOutOnlyEntriesWithoutAMachine) {
  const auto Page = decodeMachineList(
      {200, R"({"machines":[{"machine":"m-1","state":"up","id":"i-1"},
               {"machine":"m-2","state":"odd","id":"i-2"},{"state":"up"},7,
               {"machine":"m-3","state":"upkeep"}],"next_token":"t"})"});
  ASSERT_TRUE(Page);
  EXPECT_EQ(Page->NextPage_, "t");
  const std::vector<cell::MachineEntry> Wanted = {
      {"m-1", "i-1", cell::MachineState::Up},
      {"m-2", "i-2", cell::MachineState::Down},
      {"m-3", "", cell::MachineState::Upkeep}};
  EXPECT_EQ(Page->Machines_, Wanted);
  EXPECT_FALSE(decodeMachineList({503, "{}"}));
  EXPECT_FALSE(decodeMachineList({200, R"({"machines":[],"next_token":4})"}));
  EXPECT_FALSE(decodeMachineList({200, "[]"}));
}

TEST(MachineCalls, UpkeepOrdersCarryHostAndFence) {
  const node::HttpCall Call =
      encodeUpkeepOrder({"m-1", 7}, {3, 9, "h", "10.0.0.1:7000", false});
  EXPECT_EQ(parseJson(Call.Body_), parseJson(R"({"machine":"m-1","wave":7})"));
  const std::vector<std::pair<std::string, std::string>> Wanted = {
      {"X-Duty-Holder", "h"}, {"X-Fence-Token", "3"}};
  EXPECT_EQ(Call.Headers_, Wanted);
}

TEST(MachineCalls, MapsStatusesToUpkeepResults) {
  using cell::UpkeepResult;
  EXPECT_EQ(decodeUpkeepAnswer({200, "{}"}), UpkeepResult::Done);
  EXPECT_EQ(decodeUpkeepAnswer({409, R"({"reason":"busy"})"}),
            UpkeepResult::Busy);
  EXPECT_EQ(decodeUpkeepAnswer({409, R"({"reason":"wave"})"}),
            UpkeepResult::Unknown);
  EXPECT_EQ(decodeUpkeepAnswer({400, ""}), UpkeepResult::Unknown);
  EXPECT_EQ(decodeUpkeepAnswer({429, ""}), UpkeepResult::Refused);
  EXPECT_EQ(decodeUpkeepAnswer({0, ""}), UpkeepResult::NoAnswer);
}

// Guards against a late write of "running" that overwrites "complete".
TEST(StoreCalls, WaveStateWritesAreConditionalOnTheirRow) {
  const Json Body = parseJson(encodeWaveState({7, true}, 12).Body_);
  EXPECT_EQ(Body["expect_rev"][0]["ver"], 12);
  EXPECT_EQ(Body["writes"][0]["key"], "wave/7");
  EXPECT_EQ(decodeWaveStateAnswer({200, R"({"ver":15})"}),
            (WaveStateAnswer{true, 15}));
  EXPECT_EQ(decodeWaveStateAnswer({412, R"({"rows":[{"table":"status","part":"",
                                  "key":"wave/7","value":"e30=","ver":14}]})"}),
            (WaveStateAnswer{false, 14}));
  EXPECT_FALSE(decodeWaveStateAnswer({503, ""}));
}

} // namespace
} // namespace oleandergauge::platform
