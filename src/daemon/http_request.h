#ifndef OLEANDERGAUGE_DAEMON_HTTP_REQUEST_H
#define OLEANDERGAUGE_DAEMON_HTTP_REQUEST_H

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "oleandergauge/base.h"

namespace oleandergauge::daemon {

/// One HTTP request of a platform client.
struct HttpRequest {
  std::string Method_ = "POST";
  std::string Url_;
  std::string Body_;
  std::string ContentType_ = "application/json";
  Duration Timeout_{0};
  /// The request is not written at or after this moment.
  std::optional<TimePoint> ValidUntil_;
  /// True for reads only: the connection may be a reused one, on which libsoup
  /// sends the request again if the server closed it meanwhile.
  bool Repeatable_ = false;
  /// Asks for an answer only if the entity tag of the resource is another;
  /// empty: always.
  std::string IfNoneMatch_;
};

/// How a request ended.
enum class HttpFate {
  Answered, ///< A whole answer came, with whatever status.
  NotSent,  ///< Nothing of the request was written.
  Unknown   ///< At least a part was written and no whole answer came.
};

struct HttpReply {
  HttpFate Fate_ = HttpFate::Unknown;
  unsigned Status_ = 0;
  std::string Body_;
  std::string EntityTag_; ///< Empty where the server gave none.
  /// Clock directly before the request was written; the moment of the failure
  /// where it never was.
  TimePoint WrittenAt_;

  /// True where the request certainly had no effect: it was not written, or
  /// the platform answered 503 with {"applied": false}.
  bool hadNoEffect() const;
};

/// Sends HTTP requests on the calling thread's main context. Each completion
/// runs exactly once on that thread; those still pending when the sender is
/// destroyed are dropped.
class HttpSender {
public:
  HttpSender();
  ~HttpSender();
  void send(HttpRequest Request, std::function<void(const HttpReply &)> Done);

private:
  struct State;
  std::shared_ptr<State> State_;
};

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_HTTP_REQUEST_H
