#include <thread>

#include <arpa/inet.h>
#include <set>

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node/http_client.h"

namespace oleandergauge::node {
namespace {

/// Time after which the server answers. A loop that is kept busy is busy again
/// by then.
constexpr std::chrono::milliseconds AnswerDelay{20};

/// Serves one connection on loopback and answers each request.
class FakeHttpServer {
public:
  explicit FakeHttpServer(std::size_t BodyBytes = 0)
      : Body_(BodyBytes, 'x'), Listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto *Raw = reinterpret_cast<sockaddr *>(&Address);
    socklen_t Size = sizeof Address;
    Listening_ = bind(Listener_, Raw, Size) == 0 && listen(Listener_, 8) == 0 &&
                 getsockname(Listener_, Raw, &Size) == 0;
    Port_ = ntohs(Address.sin_port);
    Thread_ = std::thread([this] { serve(); });
  }
  ~FakeHttpServer() {
    shutdown(Listener_, SHUT_RDWR);
    Thread_.join();
    close(Listener_);
  }
  FakeHttpServer(const FakeHttpServer &) = delete;
  FakeHttpServer &operator=(const FakeHttpServer &) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(Port_); }
  bool isListening() const { return Listening_; }
  /// Number of requests received so far.
  int countRequests() const { return Requests_; }
  /// Whether the connection has ended, and by a reset.
  bool hasEnded() const { return Ended_; }
  bool wasReset() const { return WasReset_; }
  /// Accepts requests, but leaves them without an answer.
  void setSilent() { Silent_ = true; }

private:
  void serve() {
    const int Connection = accept(Listener_, nullptr, nullptr);
    char Buffer[4096];
    ssize_t Received = 0;
    while ((Received = recv(Connection, Buffer, sizeof Buffer, 0)) > 0) {
      ++Requests_;
      if (!Silent_)
        answer(Connection);
    }
    WasReset_ = Received < 0 && errno == ECONNRESET;
    Ended_ = true;
    close(Connection);
  }
  void answer(int Connection) {
    std::this_thread::sleep_for(AnswerDelay);
    const std::string Text =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body_.size()) +
        "\r\n\r\n" + Body_;
    send(Connection, Text.data(), Text.size(), MSG_NOSIGNAL);
  }

  std::string Body_;
  int Listener_;
  bool Listening_ = false;
  int Port_ = 0;
  std::atomic<bool> Silent_ = false;
  std::atomic<bool> Ended_ = false;
  std::atomic<bool> WasReset_ = false;
  std::atomic<int> Requests_ = 0;
  std::thread Thread_;
};

constexpr Millis CallTimeout = 50;
/// Longer than CallTimeout, so that it has passed when the loop next looks at
/// the connection.
constexpr Millis LongTurn = 150;
constexpr Millis ShortTurn = 5;
/// Ends a test whose call has no outcome.
constexpr Millis TestTimeout = 10000;

/// Returns the statuses of two calls in sequence while callbacks of length
/// \p Turn keep the loop busy. The first call opens the connection.
std::vector<int> makeTwoCalls(const std::string &Address, Millis Turn) {
  EventLoop Loop;
  HttpConnectionPool Pool(Loop, Address, 1);
  std::vector<int> Statuses;
  std::function<void()> KeepBusy = [&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(Turn));
    Loop.runAfter(1, KeepBusy);
  };
  std::function<void()> MakeCall = [&] {
    Pool.send({HttpMethod::Get, "/", {}, ""}, CallTimeout,
              [&](const HttpReply &Reply) {
                Statuses.push_back(Reply.Status_);
                if (Statuses.size() == 2)
                  Loop.stop();
                else
                  MakeCall();
              });
  };
  MakeCall();
  Loop.runAfter(1, KeepBusy);
  Loop.runAfter(TestTimeout, [&] { Loop.stop(); });
  Loop.run();
  return Statuses;
}

// Guards against an owner that takes its own delay for a lost answer: where a
// turn of the loop took longer than the call's timeout, an answer that had
// arrived in the meantime was discarded and the order sent again.
TEST(HttpConnectionPoolTest, AnswerThatArrivedDuringALongTurnIsNotLost) {
  FakeHttpServer Server;
  ASSERT_TRUE(Server.isListening());
  EXPECT_EQ(makeTwoCalls(Server.address(), LongTurn),
            (std::vector<int>{200, 200}));
}

// The same for an answer that the loop reads in several turns, such as a list
// of many ended runs.
TEST(HttpConnectionPoolTest, LongAnswerIsReadOverSeveralLongTurns) {
  FakeHttpServer Server(32000);
  ASSERT_TRUE(Server.isListening());
  EXPECT_EQ(makeTwoCalls(Server.address(), LongTurn),
            (std::vector<int>{200, 200}));
}

// A call without an answer still ends at its timeout.
TEST(HttpConnectionPoolTest, MissingAnswerEndsTheCallAtItsTimeout) {
  FakeHttpServer Server;
  Server.setSilent();
  EventLoop Loop;
  HttpConnectionPool Pool(Loop, Server.address(), 1);
  const Millis SentAt = bootTime();
  Millis EndedAt = 0;
  int Status = -1;
  Pool.send({HttpMethod::Get, "/", {}, ""}, CallTimeout,
            [&](const HttpReply &Reply) {
              Status = Reply.Status_;
              EndedAt = bootTime();
              Loop.stop();
            });
  Loop.runAfter(TestTimeout, [&] { Loop.stop(); });
  Loop.run();
  EXPECT_EQ(Status, 0);
  // Timers may fire some milliseconds early, since their clock is coarse.
  EXPECT_GE(EndedAt - SentAt, CallTimeout - 10);
  EXPECT_LT(EndedAt - SentAt, TestTimeout / 2);
}

// Guards against the same where the handler of the call before sends another
// call and takes the connection: the queued call lost its condition then.
TEST(HttpConnectionPoolTest, QueuedCallKeepsItsConditionAndItsPlace) {
  FakeHttpServer Server;
  EventLoop Loop;
  HttpConnectionPool Pool(Loop, Server.address(), 1);
  bool Permitted = true;
  std::vector<std::pair<int, int>> Ends; ///< Number of the call and status.
  auto Record = [&](int Number) {
    return [&, Number](const HttpReply &Reply) {
      Ends.emplace_back(Number, Reply.Status_);
      if (Ends.size() == 4)
        Loop.stop();
    };
  };
  const HttpCall Call{HttpMethod::Get, "/", {}, ""};
  Pool.send(Call, CallTimeout, [&](const HttpReply &Reply) {
    Pool.send(Call, CallTimeout, [&](const HttpReply &Second) {
      Permitted = false;
      Record(4)(Second);
    });
    Record(1)(Reply);
  });
  Pool.send(Call, CallTimeout, Record(2), [&] { return Permitted; });
  Pool.send(Call, CallTimeout, Record(3));
  Loop.runAfter(TestTimeout, [&] { Loop.stop(); });
  Loop.run();
  const std::vector<std::pair<int, int>> Expected = {
      {1, 200}, {4, 200}, {2, 0}, {3, 200}};
  EXPECT_EQ(std::set(Ends.begin(), Ends.end()),
            std::set(Expected.begin(), Expected.end()));
}

// Guards against an order that waits in the queue and is sent although the
// permission for it has run out meanwhile.
TEST(HttpConnectionPoolTest, QueuedCallThatMayNoLongerStartIsNotSent) {
  FakeHttpServer Server;
  EventLoop Loop;
  HttpConnectionPool Pool(Loop, Server.address(), 1);
  bool Permitted = true;
  std::vector<int> Statuses;
  auto Record = [&](const HttpReply &Reply) {
    Statuses.push_back(Reply.Status_);
    if (Statuses.size() == 3)
      Loop.stop();
  };
  auto Revoke = [&](const HttpReply &Reply) {
    Permitted = false;
    Record(Reply);
  };
  const HttpCall Call{HttpMethod::Get, "/", {}, ""};
  Pool.send(Call, CallTimeout, Revoke, [&] { return Permitted; });
  Pool.send(Call, CallTimeout, Record, [&] { return Permitted; });
  Pool.send(Call, CallTimeout, Record);
  Loop.runAfter(TestTimeout, [&] { Loop.stop(); });
  Loop.run();
  EXPECT_EQ(Statuses, (std::vector<int>{200, 0, 200}));
  EXPECT_EQ(Server.countRequests(), 2);
}

// Guards against an order that is sent on a free connection although the
// permission for it has run out since it was decided.
TEST(HttpConnectionPoolTest, CallThatMayNotStartIsNotSentOnAFreeConnection) {
  FakeHttpServer Server;
  EventLoop Loop;
  HttpConnectionPool Pool(Loop, Server.address(), 1);
  HttpReply Seen;
  Pool.send(
      {HttpMethod::Get, "/", {}, ""}, CallTimeout,
      [&](const HttpReply &Reply) {
        Seen = Reply;
        Loop.stop();
      },
      [] { return false; });
  Loop.runAfter(TestTimeout, [&] { Loop.stop(); });
  Loop.run();
  EXPECT_FALSE(Seen.Sent_);
  EXPECT_EQ(Server.countRequests(), 0);
  EXPECT_EQ(Pool.countBusy(), 0U);
  // The server's thread waits for a connection.
  Pool.send({HttpMethod::Get, "/", {}, ""}, CallTimeout,
            [&](const HttpReply &) { Loop.stop(); });
  Loop.run();
}

// Guards against stops that wait behind many starts.
TEST(HttpConnectionPoolTest, FirstCallsLeaveBeforeThoseInTurn) {
  FakeHttpServer Server;
  EventLoop Loop;
  HttpConnectionPool Pool(Loop, Server.address(), 1);
  std::vector<int> Ends;
  auto Record = [&](int Number) {
    return [&, Number](const HttpReply &) {
      Ends.push_back(Number);
      if (Ends.size() == 4)
        Loop.stop();
    };
  };
  const HttpCall Call{HttpMethod::Get, "/", {}, ""};
  Pool.send(Call, CallTimeout, Record(1));
  Pool.send(Call, CallTimeout, Record(2));
  Pool.send(Call, CallTimeout, Record(3), nullptr, CallOrder::First);
  Pool.send(Call, CallTimeout, Record(4), nullptr, CallOrder::First);
  Loop.runAfter(TestTimeout, [&] { Loop.stop(); });
  Loop.run();
  EXPECT_EQ(Ends, (std::vector<int>{1, 3, 4, 2}));
}

/// Returns whether the server's connection was reset, after a call without an
/// answer has timed out.
bool resetsAfterTimeout(AbandonedCall Abandoned) {
  FakeHttpServer Server;
  Server.setSilent();
  EventLoop Loop;
  HttpConnectionPool Pool(Loop, Server.address(), 1, Abandoned);
  Pool.send({HttpMethod::Get, "/", {}, ""}, CallTimeout,
            [&](const HttpReply &) { Loop.stop(); });
  Loop.runAfter(TestTimeout, [&] { Loop.stop(); });
  Loop.run();
  for (Millis Waited = 0; !Server.hasEnded() && Waited < TestTimeout;
       Waited += ShortTurn)
    std::this_thread::sleep_for(std::chrono::milliseconds(ShortTurn));
  return Server.wasReset();
}

// Guards against an upkeep order of a former owner that a partition has held up
// and that is delivered after the order of the next one.
TEST(HttpConnectionPoolTest, AnAbandonedCallIsTakenBackByAReset) {
  EXPECT_TRUE(resetsAfterTimeout(AbandonedCall::IsTakenBack));
  EXPECT_FALSE(resetsAfterTimeout(AbandonedCall::MayArrive));
}

// A connection is kept for the next call.
TEST(HttpConnectionPoolTest, CallsShareAConnection) {
  FakeHttpServer Server;
  EXPECT_EQ(makeTwoCalls(Server.address(), ShortTurn),
            (std::vector<int>{200, 200}));
}

} // namespace
} // namespace oleandergauge::node
