#include "node/http_server.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace oleandergauge::node {
namespace {

constexpr const char *Address = "127.0.8.1:18190";
/// More than the kernel buffers on both ends of a loopback connection.
constexpr std::size_t LargeBody = std::size_t{16} << 20;
constexpr int SmallReceiveBuffer = 65536;

/// A blocking client connection with a small receive buffer.
class Client {
public:
  Client() : Socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    setsockopt(Socket_, SOL_SOCKET, SO_RCVBUF, &SmallReceiveBuffer,
               sizeof SmallReceiveBuffer);
    sockaddr_in To{};
    To.sin_family = AF_INET;
    To.sin_port = htons(18190);
    inet_pton(AF_INET, "127.0.8.1", &To.sin_addr);
    Connected_ =
        connect(Socket_, reinterpret_cast<sockaddr *>(&To), sizeof To) == 0;
  }
  ~Client() { close(); }
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;

  bool isConnected() const { return Connected_; }
  void send(const std::string &Text) {
    ASSERT_EQ(::send(Socket_, Text.data(), Text.size(), 0),
              static_cast<ssize_t>(Text.size()));
  }
  /// Reads what has arrived. Returns the number of bytes.
  std::size_t readAvailable() {
    std::string Bytes(std::size_t{1} << 20, '\0');
    const ssize_t Read =
        recv(Socket_, Bytes.data(), Bytes.size(), MSG_DONTWAIT);
    return Read > 0 ? static_cast<std::size_t>(Read) : 0;
  }
  /// Closes the connection with a reset.
  void reset() {
    const linger Reset{1, 0};
    setsockopt(Socket_, SOL_SOCKET, SO_LINGER, &Reset, sizeof Reset);
    close();
  }
  void close() {
    if (Socket_ >= 0)
      ::close(Socket_);
    Socket_ = -1;
  }

private:
  int Socket_;
  bool Connected_ = false;
};

class HttpServerTest : public testing::Test {
protected:
  void SetUp() override { ASSERT_TRUE(Server_.listen(Address)); }
  /// Runs the event loop for a time in milliseconds.
  void run(Millis Span = 30) {
    Loop_.runAfter(Span, [this] { Loop_.stop(); });
    Loop_.run();
  }

  EventLoop Loop_;
  std::vector<std::shared_ptr<IncomingRequest>> Requests_;
  std::vector<AnswerReport> Reports_;
  HttpServer Server_{
      Loop_,
      [this](const std::shared_ptr<IncomingRequest> &Request) {
        Requests_.push_back(Request);
      },
      [this](const AnswerReport &Report) { Reports_.push_back(Report); }};
};

const std::string Query = "GET /jobs/1 HTTP/1.1\r\nHost: x\r\n\r\n";

// An answer that was only buffered counted as given.
TEST_F(HttpServerTest, AnswerIsOpenUntilTheLastByteIsWritten) {
  Client Caller;
  Caller.send(Query);
  run();
  ASSERT_EQ(Requests_.size(), 1U);
  EXPECT_EQ(Server_.countOpenRequests(), 1U);
  Requests_[0]->answer(200, std::string(LargeBody, 'x'), {});
  run();
  EXPECT_EQ(Server_.countOpenRequests(), 1U);
  EXPECT_TRUE(Reports_.empty());
  std::size_t Read = 0;
  for (int Turn = 0; Turn < 20000 && Reports_.empty(); ++Turn) {
    Read += Caller.readAvailable();
    run(1);
  }
  EXPECT_GT(Read, std::size_t{1} << 20);
  EXPECT_EQ(Reports_,
            (std::vector<AnswerReport>{{AnswerEnd::Written, 200, "/jobs/1"}}));
  EXPECT_EQ(Server_.countOpenRequests(), 0U);
}

// An answer on a broken connection looked like one that was sent.
TEST_F(HttpServerTest, AnswerOnAClosedConnectionIsReportedAsDropped) {
  Client Caller;
  Caller.send(Query);
  run();
  ASSERT_EQ(Requests_.size(), 1U);
  Requests_[0]->answer(200, std::string(LargeBody, 'x'), {});
  run();
  Caller.reset();
  run();
  EXPECT_EQ(Reports_, (std::vector<AnswerReport>{
                          {AnswerEnd::ConnectionClosed, 200, "/jobs/1"}}));
  EXPECT_EQ(Server_.countOpenRequests(), 0U);
}

// libevent frees the request of a closed connection; a late answer to it must
// not touch it.
TEST_F(HttpServerTest, AnswerAfterTheCallerIsGoneIsHarmless) {
  for (const bool Resets : {true, false}) {
    Client Caller;
    Caller.send(Query);
    run();
    Resets ? Caller.reset() : Caller.close();
    run();
    Requests_.back()->answer(200, "{}", {});
    run();
    Requests_.back()->answer(503, "{}", {});
    run();
  }
  EXPECT_EQ(Server_.countOpenRequests(), 0U);
  EXPECT_EQ(Reports_.size(), 2U);
}

// A request that outlives its server must not point to it.
TEST(HttpServer, AnswerAfterTheServerIsGoneIsHarmless) {
  EventLoop Loop;
  std::shared_ptr<IncomingRequest> Kept;
  Client Caller;
  {
    HttpServer Server(Loop,
                      [&](const std::shared_ptr<IncomingRequest> &Request) {
                        Kept = Request;
                      });
    ASSERT_TRUE(Server.listen(Address));
    Client Connected;
    Connected.send(Query);
    Loop.runAfter(30, [&] { Loop.stop(); });
    Loop.run();
    ASSERT_NE(Kept, nullptr);
    EXPECT_EQ(Server.dropOpenRequests(), 1U);
  }
  Kept->answer(200, "{}", {});
}

// A process ended while requests were read in part.
TEST_F(HttpServerTest, CountsConnectionsWithAPartOfARequest) {
  Client Idle;
  Client Gone;
  Client Caller;
  Gone.send("POST /jobs/2 HT");
  Caller.send("POST /jobs/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{");
  run();
  EXPECT_EQ(Server_.countPartlyRead(), 2U);
  Gone.close();
  run();
  EXPECT_EQ(Server_.countPartlyRead(), 1U);
  Caller.send("}");
  run();
  EXPECT_EQ(Server_.countPartlyRead(), 0U);
  ASSERT_EQ(Requests_.size(), 1U);
  Requests_[0]->answer(200, "{}", {});
  run();
  EXPECT_EQ(Server_.countPartlyRead(), 0U);
  Caller.send(Query.substr(0, 20));
  run();
  EXPECT_EQ(Server_.countPartlyRead(), 1U);
}

// Requests that were sent before the answer to the previous one got lost with
// the connection.
TEST_F(HttpServerTest, CountsARequestThatFollowsAnAnsweredOne) {
  Client Caller;
  Caller.send(Query + Query.substr(0, 20));
  run();
  ASSERT_EQ(Requests_.size(), 1U);
  Requests_[0]->answer(200, "{}", {});
  run();
  EXPECT_EQ(Server_.countPartlyRead(), 1U);
  Caller.send(Query.substr(20));
  run();
  EXPECT_EQ(Requests_.size(), 2U);
}

// A connection that is accepted at the end of the process has no answer.
TEST_F(HttpServerTest, RefusesConnectionsOnceItStopsListening) {
  Client Before;
  run();
  Server_.stopListening();
  EXPECT_FALSE(Client().isConnected());
  Before.send(Query);
  run();
  EXPECT_EQ(Requests_.size(), 1U);
}

} // namespace
} // namespace oleandergauge::node
