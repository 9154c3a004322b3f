#ifndef OLEANDERGAUGE_TEST_FAKE_SERVER_H
#define OLEANDERGAUGE_TEST_FAKE_SERVER_H

#include <algorithm>
#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace oleandergauge::testing {

/// An HTTP/1.1 server on a free loopback port that replies to each request with
/// raw bytes. Uses one thread per connection. The connection is closed if the
/// callback returns nullopt.
class FakeServer {
public:
  using Answer = std::function<std::optional<std::string>(const std::string &)>;

  explicit FakeServer(Answer Reply) : Reply_(std::move(Reply)) {
    Listener_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof(Address);
    auto *Generic = reinterpret_cast<sockaddr *>(&Address);
    if (bind(Listener_, Generic, Size) != 0 || listen(Listener_, 64) != 0 ||
        getsockname(Listener_, Generic, &Size) != 0)
      throw std::runtime_error("cannot listen on a loopback port");
    Port_ = ntohs(Address.sin_port);
    Acceptor_ = std::thread([this] { acceptAll(); });
  }

  ~FakeServer() {
    Stopping_ = true;
    shutdown(Listener_, SHUT_RDWR);
    Acceptor_.join();
    {
      const std::lock_guard<std::mutex> Lock(Mutex_);
      for (const int Socket : Sockets_)
        shutdown(Socket, SHUT_RDWR);
    }
    for (std::thread &Connection : Connections_)
      Connection.join();
    for (const int Socket : Sockets_)
      close(Socket);
    close(Listener_);
  }

  FakeServer(const FakeServer &) = delete;
  FakeServer &operator=(const FakeServer &) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(Port_); }
  std::string url() const { return "http://" + address(); }

  /// Returns the complete requests in the order of their arrival.
  std::vector<std::string> requests() const {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    return Requests_;
  }

  std::size_t countOf(const std::string &Start) const {
    const auto Received = requests();
    return static_cast<std::size_t>(std::count_if(
        Received.begin(), Received.end(),
        [&Start](const auto &Text) { return Text.starts_with(Start); }));
  }

  std::size_t bytesReceived() const { return Bytes_; }
  bool stopping() const { return Stopping_; }

  static std::string reply(int Status, const std::string &Body) {
    return "HTTP/1.1 " + std::to_string(Status) +
           " Text\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }

private:
  void acceptAll() {
    while (!Stopping_) {
      const int Socket = accept(Listener_, nullptr, nullptr);
      if (Socket < 0)
        return;
      const std::lock_guard<std::mutex> Lock(Mutex_);
      Sockets_.push_back(Socket);
      Connections_.emplace_back([this, Socket] { serve(Socket); });
    }
  }

  void serve(int Socket) {
    std::string Buffer;
    while (const auto Request = readRequest(Socket, Buffer)) {
      {
        const std::lock_guard<std::mutex> Lock(Mutex_);
        Requests_.push_back(*Request);
      }
      const auto Reply = Reply_(*Request);
      if (!Reply || !writeAll(Socket, *Reply) ||
          Reply->find("Connection: close") != std::string::npos)
        break;
    }
    shutdown(Socket, SHUT_RDWR);
  }

  std::optional<std::string> readRequest(int Socket, std::string &Buffer) {
    for (;;) {
      const std::size_t Total = lengthOf(Buffer);
      if (Total > 0 && Buffer.size() >= Total) {
        std::string Request = Buffer.substr(0, Total);
        Buffer.erase(0, Total);
        return Request;
      }
      char Chunk[4096];
      const ssize_t Got = recv(Socket, Chunk, sizeof(Chunk), 0);
      if (Got <= 0)
        return std::nullopt;
      Bytes_ += static_cast<std::size_t>(Got);
      Buffer.append(Chunk, static_cast<std::size_t>(Got));
    }
  }

  /// Returns the length of the first request with its body, or 0 if its headers
  /// are incomplete.
  static std::size_t lengthOf(const std::string &Buffer) {
    const std::size_t End = Buffer.find("\r\n\r\n");
    if (End == std::string::npos)
      return 0;
    const std::string Name = "Content-Length: ";
    const std::size_t Field = Buffer.find(Name);
    std::size_t Body = 0;
    if (Field != std::string::npos && Field < End)
      Body = std::stoul(Buffer.substr(Field + Name.size()));
    return End + 4 + Body;
  }

  static bool writeAll(int Socket, const std::string &Text) {
    std::size_t Done = 0;
    while (Done < Text.size()) {
      const ssize_t Sent =
          send(Socket, Text.data() + Done, Text.size() - Done, MSG_NOSIGNAL);
      if (Sent <= 0)
        return false;
      Done += static_cast<std::size_t>(Sent);
    }
    return true;
  }

  Answer Reply_;
  int Listener_ = -1;
  std::uint16_t Port_ = 0;
  std::atomic<bool> Stopping_ = false;
  std::atomic<std::size_t> Bytes_ = 0;
  mutable std::mutex Mutex_;
  std::vector<std::string> Requests_;
  std::vector<int> Sockets_;
  std::list<std::thread> Connections_;
  std::thread Acceptor_;
};

/// Returns a loopback address on which nothing listens.
inline std::string freeAddress() {
  return FakeServer([](const std::string &) { return std::nullopt; }).address();
}

/// Calls \p Start and runs the default main context until its completion
/// callback was called; returns the reply.
template <typename Reply>
Reply await(
    const std::function<void(std::function<void(const Reply &)>)> &Start) {
  std::optional<Reply> Got;
  Start([&Got](const Reply &Value) { Got = Value; });
  while (!Got)
    g_main_context_iteration(nullptr, TRUE);
  return *Got;
}

} // namespace oleandergauge::testing

#endif // OLEANDERGAUGE_TEST_FAKE_SERVER_H
