#ifndef OLEANDERGAUGE_DAEMON_HTTP_SERVER_H
#define OLEANDERGAUGE_DAEMON_HTTP_SERVER_H

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "oleandergauge/base.h"

namespace oleandergauge::daemon {

/// A request with its complete body.
struct ApiRequest {
  std::string Method_;
  std::string Path_; ///< Percent-decoded.
  std::map<std::string, std::string> Query_;
  std::string Authorization_;
  std::string Operator_; ///< Header "X-Oleandergauge-Operator".
  std::string Body_;
  friend bool operator==(const ApiRequest &, const ApiRequest &) = default;
};

struct ApiReply {
  unsigned Status_ = 200;
  std::string ContentType_ = "application/json";
  std::string Body_;
  bool CloseConnection_ = false;
  friend bool operator==(const ApiReply &, const ApiReply &) = default;
};

/// Replies to one request. It may be called later, once, and only on the
/// server's thread.
using ApiResponder = std::function<void(ApiReply)>;
using ApiHandler = std::function<void(ApiRequest, ApiResponder)>;

/// An HTTP/1.1 server based on libsoup. It must be created and used on one
/// task's thread.
class HttpServer {
public:
  /// Listens on \p Address ("ip:port"); throws std::runtime_error if it cannot
  /// be bound. A request with a body larger than \p MaxBodyBytes is refused
  /// with status 413, one with a chunked body with status 411.
  HttpServer(const std::string &Address, std::size_t MaxBodyBytes,
             ApiHandler Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Returns the number of requests that were passed to the handler and whose
  /// reply is not completely written yet.
  std::size_t inFlight() const;
  /// Returns the number of requests of which the headers were read and whose
  /// reply is not completely written yet.
  std::size_t openRequests() const;
  /// Replies to all requests in flight that have no reply yet.
  void replyToAll(const ApiReply &Answer);

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_HTTP_SERVER_H
