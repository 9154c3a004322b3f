#include "daemon/platform_clients.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "daemon/http_request.h"
#include "daemon/task.h"
#include "fake_server.h"

namespace oleandergauge::daemon {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using testing::FakeServer;

constexpr Duration Timeout = milliseconds(300);

FakeServer::Answer alwaysReply(int Status, const std::string &Body) {
  return [=](const std::string &) { return FakeServer::reply(Status, Body); };
}

json bodyOf(const std::string &Request) {
  return json::parse(Request.substr(Request.find("\r\n\r\n") + 4));
}

TableReply send(const std::string &Url, const TableRequest &Request) {
  TableClient Client(Url, Timeout);
  return testing::await<TableReply>(
      [&](auto Done) { Client.send(Request, Done); });
}

const Transaction OneWrite{{{"a", 3}}, {{"a", std::string("\0x\xff", 3)}}};

StartOnWorker makeStart(const std::string &Address, Duration Validity) {
  auto Spec = std::make_shared<JobSpec>();
  Spec->Team_ = TeamId("team");
  Spec->Command_ = "render";
  Spec->Body_ = "body";
  StartOnWorker Command;
  Command.Worker_ = WorkerId("w1");
  Command.Address_ = Address;
  Command.Task_ = {JobId("job:a/b"), 2};
  Command.Attempt_ = 4;
  Command.Spec_ = Spec;
  Command.ValidUntil_ = monotonicNow() + Validity;
  return Command;
}

CommandOutcome start(const StartOnWorker &Command) {
  WorkerClient Client(Timeout, Timeout);
  return testing::await<StartAnswered>(
             [&](auto Done) { Client.start(Command, Done); })
      .Outcome_;
}

// Guards against values that are changed by their encoding.
TEST(TableClientTest, SendsConditionsAndBinaryValues) {
  FakeServer Server(
      alwaysReply(200, R"({"committed": true, "versions": [7]})"));
  EXPECT_EQ(send(Server.url(), OneWrite), TableReply(Committed{{7}}));
  const json Body = bodyOf(Server.requests().at(0));
  EXPECT_EQ(Body["conditions"], json::parse(R"([{"key":"a","version":3}])"));
  EXPECT_EQ(Body["writes"], json::parse(R"([{"key":"a","value":"AHj/"}])"));
}

// Guards against a conflict that is reported as a failure of the service.
TEST(TableClientTest, ReadsConflictsAndRows) {
  FakeServer Conflict(
      alwaysReply(409, R"({"conflicts":[{"key":"a","version":5}]})"));
  EXPECT_EQ(send(Conflict.url(), OneWrite),
            TableReply(Conflicted{{{"a", "", 5}}}));
  FakeServer Read(alwaysReply(200, R"({"rows":[{"key":"k","value":"AHj/",
      "version":2},{"key":"m","value":null,"version":0}]})"));
  EXPECT_EQ(
      send(Read.url(), ReadKeys{{"k", "m"}}),
      TableReply(Rows{{{"k", std::string("\0x\xff", 3), 2}, {"m", "", 0}}}));
}

// Guards against reporting a write as not done although it was done, and
// against an unknown outcome for a write that certainly was not done.
TEST(TableClientTest, ClassifiesAnswersThatAreNotUsable) {
  const auto OutcomeOf = [](FakeServer::Answer Answer) {
    FakeServer Server(std::move(Answer));
    return send(Server.url(), OneWrite);
  };
  const TableReply Unknown = OutcomeUnknown{};
  const TableReply Unavailable = TableUnavailable{};
  EXPECT_EQ(OutcomeOf(alwaysReply(503, R"({"applied": false})")), Unavailable);
  EXPECT_EQ(OutcomeOf(alwaysReply(503, R"({"applied": true})")), Unknown);
  EXPECT_EQ(OutcomeOf(alwaysReply(503, "try again")), Unknown);
  EXPECT_EQ(OutcomeOf(alwaysReply(500, R"({"applied": false})")), Unknown);
  EXPECT_EQ(OutcomeOf(alwaysReply(200, "no json")), Unknown);
  EXPECT_EQ(OutcomeOf(alwaysReply(200, R"({"versions": []})")), Unknown);
  EXPECT_EQ(OutcomeOf(alwaysReply(409, "no json")), Unknown);
  EXPECT_EQ(OutcomeOf([](const std::string &) { return std::nullopt; }),
            Unknown);
  // A body that is shorter than the announced length.
  EXPECT_EQ(OutcomeOf([](const std::string &) {
              return "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n"
                     "Connection: close\r\n\r\n{\"versions\": [7]}";
            }),
            Unknown);
  // A chunked body without its last chunk, and a body that ends with the
  // connection.
  EXPECT_EQ(OutcomeOf([](const std::string &) {
              return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                     "Connection: close\r\n\r\n"
                     "11\r\n{\"versions\": [7]}\r\n";
            }),
            Unknown);
  EXPECT_EQ(OutcomeOf([](const std::string &) {
              return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
                     "{\"versions\": [7]}";
            }),
            Unknown);
  EXPECT_EQ(send("http://" + testing::freeAddress(), OneWrite), Unavailable);
  EXPECT_EQ(send("no url", OneWrite), Unavailable);
}

// Guards against a client that waits forever for a stalled service.
TEST(TableClientTest, TimesOutWithUnknownOutcome) {
  // Replies later than the client's timeout.
  FakeServer Server([](const std::string &) {
    g_usleep(3 * static_cast<gulong>(Timeout.count()));
    return std::optional<std::string>();
  });
  const TimePoint Before = monotonicNow();
  EXPECT_EQ(send(Server.url(), OneWrite), TableReply(OutcomeUnknown{}));
  EXPECT_GE(monotonicNow() - Before, Timeout);
}

// Guards against libsoup sending a transaction twice. It does so when the
// server closes a reused idle connection just as the next request arrives.
TEST(TableClientTest, NeverRepeatsATransactionOnAClosedConnection) {
  FakeServer Server([](const std::string &Request) {
    if (Request.starts_with("POST /table/read"))
      return std::optional(FakeServer::reply(200, R"({"rows": []})"));
    return std::optional<std::string>();
  });
  TableClient Client(Server.url(), Timeout);
  const auto SendAgain = [&Client](const TableRequest &Request) {
    return testing::await<TableReply>(
        [&](auto Done) { Client.send(Request, Done); });
  };
  for (int Round = 1; Round <= 5; ++Round) {
    EXPECT_EQ(SendAgain(ReadKeys{}), TableReply(Rows{}));
    EXPECT_EQ(SendAgain(OneWrite), TableReply(OutcomeUnknown{}));
    EXPECT_EQ(Server.countOf("POST /table/transact"),
              static_cast<std::size_t>(Round));
  }
}

// Guards against libsoup sending a start or call twice, since the task could
// then run twice.
TEST(WorkerClientTest, NeverRepeatsACommand) {
  FakeServer Server([](const std::string &Request) {
    if (Request.starts_with("POST /report"))
      return std::optional(
          FakeServer::reply(200, R"({"running": [], "finished": []})"));
    return std::optional<std::string>();
  });
  WorkerClient Client(Timeout, Timeout);
  for (std::size_t Round = 1; Round <= 5; ++Round) {
    ExchangeWithWorker Exchange;
    Exchange.Address_ = Server.address();
    Exchange.ValidUntil_ = monotonicNow() + Timeout;
    testing::await<PartitionEvent>(
        [&](auto Done) { Client.exchange(Exchange, Done); });
    const StartOnWorker Command = makeStart(Server.address(), Timeout);
    const auto Started = testing::await<StartAnswered>(
        [&](auto Done) { Client.start(Command, Done); });
    EXPECT_EQ(Started.Outcome_, CommandOutcome::Unknown);
    const auto Called = testing::await<CallAnswered>(
        [&](auto Done) { Client.call(Command, Done); });
    EXPECT_EQ(Called.Outcome_, CommandOutcome::Unknown);
    EXPECT_EQ(Server.countOf("POST /tasks"), Round);
    EXPECT_EQ(Server.countOf("POST /calls"), Round);
  }
}

// Guards against a command that a deposed owner sends after its lease has
// ended.
TEST(WorkerClientTest, WritesNothingAtOrAfterTheEndOfValidity) {
  FakeServer Server(alwaysReply(200, R"({"started": true})"));
  EXPECT_EQ(start(makeStart(Server.address(), milliseconds(0))),
            CommandOutcome::NotSent);
  EXPECT_EQ(Server.bytesReceived(), 0U);
  EXPECT_EQ(start(makeStart(Server.address(), Timeout)),
            CommandOutcome::Started);
}

// Guards against counting a refused start as running, and against starting a
// task again elsewhere after a start of unknown outcome.
TEST(WorkerClientTest, ClassifiesStarts) {
  const auto OutcomeOf = [](FakeServer::Answer Answer) {
    FakeServer Server(std::move(Answer));
    return start(makeStart(Server.address(), Timeout));
  };
  EXPECT_EQ(OutcomeOf(alwaysReply(200, R"({"started": true})")),
            CommandOutcome::Started);
  EXPECT_EQ(
      OutcomeOf(alwaysReply(409, R"({"refused": true, "reason": "full"})")),
      CommandOutcome::Refused);
  EXPECT_EQ(OutcomeOf(alwaysReply(503, R"({"applied": false})")),
            CommandOutcome::NotSent);
  EXPECT_EQ(OutcomeOf(alwaysReply(500, "")), CommandOutcome::Unknown);
  EXPECT_EQ(OutcomeOf(alwaysReply(200, "no json")), CommandOutcome::Unknown);
  EXPECT_EQ(start(makeStart(testing::freeAddress(), Timeout)),
            CommandOutcome::NotSent);
}

// Guards against a call whose fields are encoded wrongly.
TEST(WorkerClientTest, SendsTheWholeCall) {
  FakeServer Server(alwaysReply(200, R"({"exit": 3, "output": "out"})"));
  WorkerClient Client(Timeout, Timeout);
  const StartOnWorker Command = makeStart(Server.address(), Timeout);
  const auto Answer = testing::await<CallAnswered>(
      [&](auto Done) { Client.call(Command, Done); });
  EXPECT_EQ(Answer, (CallAnswered{Command.Task_, 4, CommandOutcome::Started, 3,
                                  "out"}));
  const json Body = bodyOf(Server.requests().at(0));
  EXPECT_EQ(Body["task"], "job:a/b:2");
  EXPECT_EQ(Body["command"], "render");
  EXPECT_EQ(Body["body"], "body");
}

// Guards against passing an incomplete answer to the caller (P6).
TEST(WorkerClientTest, RefusesAnAnswerWithoutOutput) {
  FakeServer Server(alwaysReply(200, R"({"exit": 0})"));
  WorkerClient Client(Timeout, Timeout);
  const StartOnWorker Command = makeStart(Server.address(), Timeout);
  const auto Answer = testing::await<CallAnswered>(
      [&](auto Done) { Client.call(Command, Done); });
  EXPECT_EQ(Answer.Outcome_, CommandOutcome::Unknown);
}

// Guards against a report with a time later than that of its request. A new
// owner uses this time to decide whether it trusts the report.
TEST(WorkerClientTest, StampsReportsBeforeTheyAreAskedFor) {
  TimePoint Received;
  FakeServer Server([&Received](const std::string &) {
    Received = monotonicNow();
    return FakeServer::reply(200, R"({"running": [{"task": "j:1",
        "attempt": 2, "call": true, "usage": {"cpu_milli": 5}}],
        "finished": [{"task": "j:0", "attempt": 1, "exit": 0,
        "checkpointed": true, "output": "o"}]})");
  });
  WorkerClient Client(Timeout, Timeout);
  ExchangeWithWorker Exchange;
  Exchange.Worker_ = WorkerId("w1");
  Exchange.Address_ = Server.address();
  Exchange.ValidUntil_ = monotonicNow() + Timeout;
  const TimePoint Before = monotonicNow();
  const auto Event = testing::await<PartitionEvent>(
      [&](auto Done) { Client.exchange(Exchange, Done); });
  const auto &Report = std::get<WorkerReported>(Event);
  EXPECT_GE(Report.SentAt_, Before);
  EXPECT_LE(Report.SentAt_, Received);
  const Resources Usage{5, 0, 0, 0, 0};
  EXPECT_EQ(Report.Running_,
            (std::vector<RunningTask>{{{JobId("j"), 1}, 2, true, Usage}}));
  EXPECT_EQ(Report.Finished_,
            (std::vector<FinishedTask>{{{JobId("j"), 0}, 1, 0, true, "o"}}));
}

// Guards against an incomplete report that hides running tasks.
TEST(WorkerClientTest, TakesAnUnusableReportForSilence) {
  FakeServer Server(alwaysReply(200, R"({"running": [{}], "finished": []})"));
  WorkerClient Client(Timeout, Timeout);
  ExchangeWithWorker Exchange;
  Exchange.Worker_ = WorkerId("w1");
  Exchange.Address_ = Server.address();
  Exchange.ValidUntil_ = monotonicNow() + Timeout;
  EXPECT_EQ(testing::await<PartitionEvent>(
                [&](auto Done) { Client.exchange(Exchange, Done); }),
            PartitionEvent(WorkerUnresponsive{WorkerId("w1")}));
}

HttpReply request(HttpSender &Sender, const std::string &Url,
                  const std::string &Method) {
  HttpRequest NewRequest;
  NewRequest.Method_ = Method;
  NewRequest.Url_ = Url;
  NewRequest.Timeout_ = Timeout;
  NewRequest.Retryable_ = Method == "GET";
  return testing::await<HttpReply>(
      [&](auto Done) { Sender.send(NewRequest, Done); });
}

// Guards against a truncated body that is accepted as complete.
TEST(HttpSenderTest, TellsWholeFromCut) {
  const auto Get = [](FakeServer::Answer Answer) {
    FakeServer Server(std::move(Answer));
    HttpSender Sender;
    return request(Sender, Server.url(), "GET");
  };
  const HttpReply Whole = Get(alwaysReply(200, "bytes"));
  EXPECT_EQ(Whole.HttpOutcome_, HttpOutcome::Answered);
  EXPECT_EQ(Whole.Body_, "bytes");
  EXPECT_EQ(Get(alwaysReply(404, "")).Status_, 404U);
  EXPECT_EQ(Get([](const std::string &) {
              return "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n"
                     "Connection: close\r\n\r\nbytes";
            }).HttpOutcome_,
            HttpOutcome::Unknown);
}

// Guards against libsoup sending a PUT or DELETE again after the server closed
// the connection. libsoup treats both methods as idempotent, but a delayed
// second request could undo a later change.
TEST(HttpSenderTest, NeverRepeatsAWrite) {
  FakeServer Server([](const std::string &Request) {
    if (Request.starts_with("GET"))
      return std::optional(FakeServer::reply(200, "bytes"));
    return std::optional<std::string>();
  });
  HttpSender Sender;
  for (std::size_t Round = 1; Round <= 5; ++Round) {
    EXPECT_EQ(request(Sender, Server.url(), "GET").HttpOutcome_,
              HttpOutcome::Answered);
    EXPECT_EQ(request(Sender, Server.url(), "PUT").HttpOutcome_,
              HttpOutcome::Unknown);
    EXPECT_EQ(request(Sender, Server.url(), "DELETE").HttpOutcome_,
              HttpOutcome::Unknown);
    EXPECT_EQ(Server.countOf("PUT"), Round);
    EXPECT_EQ(Server.countOf("DELETE"), Round);
  }
}

// Guards against a leaving worker that is read as a live one.
TEST(LiveListClientTest, ReadsWorkersAndEntryHosts) {
  FakeServer Server(alwaysReply(200, R"({"hosts": [
    {"id": "w1", "address": "127.0.0.1:1", "kind": "worker", "region": "r",
     "failure_domain": "d", "rack": "k", "state": "leaving",
     "capacity": {"cpu_milli": 1, "memory_mib": 2, "accelerators": 3,
                  "slots": 4, "connections": 5}},
    {"id": "h1", "address": "127.0.0.1:2", "kind": "entry",
     "state": "live"}]})"));
  LiveListClient Client(Server.url(), Timeout);
  const auto List = testing::await<std::optional<LiveList>>(
      [&](auto Done) { Client.read(Done); });
  const WorkerInfo Info{WorkerId("w1"),     "127.0.0.1:1", Region("r"),
                        FailureDomain("d"), Rack("k"),     {1, 2, 3, 4, 5}};
  EXPECT_EQ(List, (LiveList{{{Info, true}}, {HostId("h1")}, false}));
}

// Guards against an unchanged list that is read as an empty one.
TEST(LiveListClientTest, KeepsTheListThatThePlatformSaysIsUnchanged) {
  int Reads = 0;
  FakeServer Server(
      [&Reads](const std::string &Request) -> std::optional<std::string> {
        if (++Reads == 1)
          return "HTTP/1.1 200 OK\r\nETag: \"a\"\r\nContent-Length: 42\r\n\r\n"
                 R"({"hosts": [{"id": "h1", "kind": "entry"}]})";
        if (Request.find("If-None-Match: \"a\"") == std::string::npos)
          return std::nullopt;
        return "HTTP/1.1 304 Not Modified\r\nETag: \"a\"\r\n\r\n";
      });
  LiveListClient Client(Server.url(), Timeout);
  const auto Read = [&Client] {
    return testing::await<std::optional<LiveList>>(
        [&](auto Done) { Client.read(Done); });
  };
  EXPECT_EQ(Read(), (LiveList{{}, {HostId("h1")}, false}));
  EXPECT_EQ(Read(), (LiveList{{}, {HostId("h1")}, true}));
}

} // namespace
} // namespace oleandergauge::daemon
