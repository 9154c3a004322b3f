#ifndef OLEANDERGAUGE_NODE_HTTP_SERVER_H
#define OLEANDERGAUGE_NODE_HTTP_SERVER_H

#include <functional>
#include <memory>
#include <string>

#include "node/http_types.h"
#include "node/loop.h"

struct evhttp;
struct evhttp_request;

namespace oleandergauge::node {

/// A request from a caller. Only the first answer is sent; an answer to a
/// caller that has disconnected is dropped.
class IncomingRequest {
public:
  explicit IncomingRequest(evhttp_request *Raw) : Raw_(Raw) {}
  HttpMethod method() const;
  std::string path() const; ///< Without the query.
  std::string header(const char *Name) const;
  std::string body() const;
  void answer(int Status, const std::string &Body,
              const std::vector<std::pair<std::string, std::string>> &Headers);

private:
  evhttp_request *Raw_;
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
  HttpServer(EventLoop &Loop, Handler OnRequest);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Returns false if the address ("ip:port") cannot be bound.
  bool listen(const std::string &Address);
  void setLimits(const ServerLimits &Limits);

private:
  static void onRequest(evhttp_request *Raw, void *Argument);
  EventLoop &Loop_;
  Handler Handler_;
  evhttp *Server_;
};

} // namespace oleandergauge::node

#endif // OLEANDERGAUGE_NODE_HTTP_SERVER_H
