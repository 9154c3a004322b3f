#include "daemon/http_server.h"

#include <cerrno>
#include <chrono>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace oleandergauge::daemon {
namespace {

constexpr std::size_t ConnectionCount = 200;

sockaddr_in loopback(int Port) {
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, "127.0.0.1", &Out.sin_addr);
  return Out;
}

/// Returns a port that was free at the time of the call.
int freePort() {
  const int Socket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Bound = loopback(0);
  socklen_t Size = sizeof Bound;
  EXPECT_EQ(bind(Socket, reinterpret_cast<const sockaddr *>(&Bound), Size), 0);
  getsockname(Socket, reinterpret_cast<sockaddr *>(&Bound), &Size);
  close(Socket);
  return ntohs(Bound.sin_port);
}

int beginConnect(int Port) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  const sockaddr_in To = loopback(Port);
  EXPECT_EQ(connect(Socket, reinterpret_cast<const sockaddr *>(&To), sizeof To),
            -1);
  EXPECT_EQ(errno, EINPROGRESS);
  return Socket;
}

/// Counts the sockets whose connection is established.
std::size_t countConnected(const std::vector<int> &Sockets) {
  std::size_t Out = 0;
  for (const int Each : Sockets) {
    pollfd Polled{Each, POLLOUT, 0};
    const bool Ready = poll(&Polled, 1, 0) == 1;
    Out += Ready && (Polled.revents & (POLLERR | POLLHUP)) == 0 ? 1 : 0;
  }
  return Out;
}

// Guards against a short accept backlog: a connection beyond it is established
// only after a second.
TEST(HttpServerTest, QueuesManyConnectionsAtOnce) {
  const int Port = freePort();
  const HttpServer Server("127.0.0.1:" + std::to_string(Port), 1024,
                          [](const ApiRequest &, const ApiResponder &) {});
  std::vector<int> Sockets;
  for (std::size_t At = 0; At < ConnectionCount; ++At)
    Sockets.push_back(beginConnect(Port));
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  EXPECT_EQ(countConnected(Sockets), ConnectionCount);
  for (const int Each : Sockets)
    close(Each);
}

} // namespace
} // namespace oleandergauge::daemon
