#ifndef OLEANDERGAUGE_DAEMON_HTTP_SERVER_H
#define OLEANDERGAUGE_DAEMON_HTTP_SERVER_H

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "oleandergauge/base.h"

namespace oleandergauge::daemon {

/// A request whose body was read whole.
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

/// Answers one request; may be called later, on the server's thread, once.
using ApiResponder = std::function<void(ApiReply)>;
using ApiHandler = std::function<void(ApiRequest, ApiResponder)>;

/// An HTTP/1.1 server by libsoup. Made and used on one task's thread.
class HttpServer {
public:
  /// Throws std::runtime_error where \p Address ("ip:port") cannot be bound.
  /// A body above \p MaxBodyBytes is refused with status 413, one of unknown
  /// length with 411.
  HttpServer(const std::string &Address, std::size_t MaxBodyBytes,
             ApiHandler Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Requests that were handed to the handler and whose answer is not yet
  /// written to the caller.
  std::size_t inFlight() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_HTTP_SERVER_H
