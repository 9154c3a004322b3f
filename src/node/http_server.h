#ifndef OLEANDERGAUGE_NODE_HTTP_SERVER_H
#define OLEANDERGAUGE_NODE_HTTP_SERVER_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "node/http_types.h"
#include "node/loop.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct event_base;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace oleandergauge::node {

class HttpServer;

/// A request from a caller. Only the first answer is sent; an answer to a
/// caller that has disconnected is dropped.
class IncomingRequest {
public:
  IncomingRequest(HttpServer &Server, evhttp_request *Raw);
  HttpMethod method() const;
  const std::string &path() const { return Path_; } ///< Without the query.
  std::string header(const char *Name) const;
  std::string body() const;
  void answer(int Status, const std::string &Body,
              const std::vector<std::pair<std::string, std::string>> &Headers);

private:
  friend class HttpServer;
  HttpServer *Server_;  ///< Null once finished.
  evhttp_request *Raw_; ///< Null once finished.
  std::string Path_;
  int Status_ = 0; ///< Zero until answered.
};

/// What became of an answer: it was written to the socket, or the connection or
/// the process ended before.
enum class AnswerEnd { Written, ConnectionClosed, ProcessEnded };

/// The end of one request that was read whole. The status is 0 if the request
/// had no answer yet.
struct AnswerReport {
  AnswerEnd End_ = AnswerEnd::Written;
  int Status_ = 0;
  std::string Path_;
  friend bool operator==(const AnswerReport &, const AnswerReport &) = default;
};

/// Limits of a request and of the time that a connection may be idle.
struct ServerLimits {
  std::size_t HeaderBytes_ = 16384;
  std::size_t BodyBytes_ = 262144;
  Millis IdleTimeout_ = 15000;
};

class HttpServer {
public:
  using Handler = std::function<void(std::shared_ptr<IncomingRequest> Request)>;
  using AnswerObserver = std::function<void(const AnswerReport &Report)>;
  /// \p Observer receives the end of every request that \p OnRequest has
  /// received.
  HttpServer(EventLoop &Loop, Handler OnRequest, AnswerObserver Observer = {});
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Returns false if the address ("ip:port") cannot be bound.
  bool listen(const std::string &Address);
  void setLimits(const ServerLimits &Limits);
  /// Accepts no further connections.
  void stopListening();
  /// Number of requests that were read whole and whose answer is not written to
  /// the socket yet.
  std::size_t countOpenRequests() const { return Open_.size(); }
  /// Number of connections on which a request was read in part.
  std::size_t countPartlyRead();
  /// Reports all requests without a written answer as dropped by the end of the
  /// process. Returns their number.
  std::size_t dropOpenRequests();

private:
  /// A connection on which bytes of a request have arrived.
  struct Stream {
    bufferevent *Connection_ = nullptr; ///< Dangling once it is closed.
    int Socket_ = -1;                   ///< Unknown before the first bytes.
    std::uint64_t Cookie_ = 0; ///< The kernel's unique number of the socket.
    bool PartlyRead_ = false;
  };
  static bufferevent *onAccept(event_base *Base, void *Argument);
  static void onInput(evbuffer *Input, const evbuffer_cb_info *Change,
                      void *Argument);
  static void onRequest(evhttp_request *Raw, void *Argument);
  static void onWritten(evhttp_request *Raw, void *Argument);
  static void onClosed(evhttp_connection *Connection, void *Argument);
  void finish(IncomingRequest &Request, AnswerEnd End);
  void setPartlyRead(evhttp_request *Raw, bool PartlyRead);
  void removeClosedStreams();
  EventLoop &Loop_;
  Handler Handler_;
  AnswerObserver Observer_;
  evhttp *Server_;
  evhttp_bound_socket *Listener_ = nullptr;
  /// The connections by their input buffer. libevent does not tell when one is
  /// closed, so the closed ones are removed now and then.
  std::map<evbuffer *, Stream> Streams_;
  std::size_t StreamsAtNextRemoval_;
  /// The requests whose answer is not written yet.
  std::map<const IncomingRequest *, std::shared_ptr<IncomingRequest>> Open_;
};

} // namespace oleandergauge::node

#endif // OLEANDERGAUGE_NODE_HTTP_SERVER_H
