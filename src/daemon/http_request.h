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
  /// The request is not written at or after this time.
  std::optional<TimePoint> ValidUntil_;
  /// True for requests that may reach the server twice. They may use a pooled
  /// connection, on which libsoup sends the request again if the server closed
  /// the connection in the meantime.
  bool Retryable_ = false;
  /// Value of the If-None-Match header: the server sends the resource only if
  /// its entity tag differs. Empty to send no such header.
  std::string IfNoneMatch_;
};

/// How a request ended.
enum class HttpOutcome {
  Answered, ///< A complete reply was received, with any status.
  NotSent,  ///< Nothing of the request was written.
  Unknown   ///< The request may have been written; no complete reply came.
};

struct HttpReply {
  HttpOutcome HttpOutcome_ = HttpOutcome::Unknown;
  unsigned Status_ = 0;
  std::string Body_;
  std::string EntityTag_; ///< Empty if the server sent none.
  /// The time directly before the request was written, or the time of the
  /// failure if it was not written.
  TimePoint WrittenAt_;

  /// Returns whether the request certainly had no effect: it was not written,
  /// or the platform replied 503 with {"applied": false}.
  bool hadNoEffect() const;
};

/// Sends HTTP requests on the calling thread's main context. Each completion
/// callback runs exactly once on that thread. Callbacks that are pending when
/// the sender is destroyed are not run.
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
