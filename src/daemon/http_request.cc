#include "daemon/http_request.h"

#include <libsoup/soup.h>
#include <nlohmann/json.hpp>

#include "daemon/task.h"

namespace oleandergauge::daemon {

/// Shared with the pending requests, so that a completion after the sender's
/// end finds Open_ false.
struct HttpSender::State {
  SoupSession *Session_ = nullptr;
  bool Open_ = true;
};

namespace {

// libsoup's own defaults, 10 in all and 2 a server, would queue commands
// behind running calls. A worker serves 64 connections.
constexpr int MaxConnections = 16384;
constexpr int MaxConnectionsPerServer = 256;
// Shorter than the idle timeout of most servers, so that a read seldom meets
// a connection that is just being closed.
constexpr int IdleTimeoutSeconds = 4;

/// One request between send() and its completion. Owned by its callbacks.
struct Pending {
  std::function<bool()> SenderOpen_;
  std::function<void(const HttpReply &)> Done_;
  std::optional<TimePoint> ValidUntil_;
  SoupMessage *Message_ = nullptr;
  GCancellable *Cancellable_ = g_cancellable_new();
  GSource *Timer_ = nullptr;
  bool Written_ = false;
  TimePoint WrittenAt_;

  Pending() = default;
  Pending(const Pending &) = delete;
  Pending &operator=(const Pending &) = delete;
  ~Pending() {
    if (Timer_) {
      g_source_destroy(Timer_);
      g_source_unref(Timer_);
    }
    g_clear_object(&Message_);
    g_object_unref(Cancellable_);
  }
};

gboolean onTimeout(gpointer Data) {
  g_cancellable_cancel(static_cast<Pending *>(Data)->Cancellable_);
  return G_SOURCE_REMOVE;
}

/// Runs directly before libsoup writes the request, on an open connection.
void onStarting(SoupMessage * /*Message*/, gpointer Data) {
  auto *Request = static_cast<Pending *>(Data);
  const TimePoint Now = monotonicNow();
  const bool Late = Request->ValidUntil_ && Now >= *Request->ValidUntil_;
  if (Late)
    g_cancellable_cancel(Request->Cancellable_);
  if (g_cancellable_is_cancelled(Request->Cancellable_))
    return;
  Request->Written_ = true;
  Request->WrittenAt_ = Now;
}

std::string toString(GBytes *Bytes) {
  gsize Size = 0;
  const auto *Data = static_cast<const char *>(g_bytes_get_data(Bytes, &Size));
  return Size == 0 ? std::string() : std::string(Data, Size);
}

/// libsoup hands over a body that was cut by the end of the connection like a
/// whole one, also a chunked one, so only an announced length proves a body.
bool isWhole(SoupMessage *Message, GBytes *Body) {
  SoupMessageHeaders *Headers = soup_message_get_response_headers(Message);
  const SoupEncoding Encoding = soup_message_headers_get_encoding(Headers);
  if (Encoding == SOUP_ENCODING_NONE ||
      soup_message_get_status(Message) == SOUP_STATUS_NOT_MODIFIED)
    return g_bytes_get_size(Body) == 0;
  return Encoding == SOUP_ENCODING_CONTENT_LENGTH &&
         soup_message_headers_get_content_length(Headers) ==
             static_cast<goffset>(g_bytes_get_size(Body));
}

HttpReply toReply(const Pending &Request, GBytes *Body) {
  HttpReply Reply;
  Reply.WrittenAt_ = Request.Written_ ? Request.WrittenAt_ : monotonicNow();
  if (!Request.Written_) {
    Reply.Fate_ = HttpFate::NotSent;
    return Reply;
  }
  if (!Body || !isWhole(Request.Message_, Body))
    return Reply;
  Reply.Fate_ = HttpFate::Answered;
  Reply.Status_ = soup_message_get_status(Request.Message_);
  Reply.Body_ = toString(Body);
  const char *Tag = soup_message_headers_get_one(
      soup_message_get_response_headers(Request.Message_), "ETag");
  Reply.EntityTag_ = Tag ? Tag : "";
  return Reply;
}

void onDone(GObject *Session, GAsyncResult *Result, gpointer Data) {
  const std::unique_ptr<Pending> Request(static_cast<Pending *>(Data));
  GBytes *Body =
      soup_session_send_and_read_finish(SOUP_SESSION(Session), Result, nullptr);
  const HttpReply Reply = toReply(*Request, Body);
  if (Body)
    g_bytes_unref(Body);
  g_signal_handlers_disconnect_by_data(Request->Message_, Request.get());
  if (Request->SenderOpen_())
    Request->Done_(Reply);
}

void startTimer(Pending &Request, Duration Timeout) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const auto Millis = duration_cast<milliseconds>(Timeout).count();
  Request.Timer_ = g_timeout_source_new(static_cast<guint>(Millis));
  g_source_set_callback(Request.Timer_, onTimeout, &Request, nullptr);
  g_source_attach(Request.Timer_, g_main_context_get_thread_default());
}

SoupMessage *makeMessage(const HttpRequest &Request) {
  SoupMessage *Message =
      soup_message_new(Request.Method_.c_str(), Request.Url_.c_str());
  if (!Message)
    return nullptr;
  int Flags = SOUP_MESSAGE_NO_REDIRECT;
  // A request that goes out on a fresh connection is never sent again by
  // libsoup; one on a reused connection may be.
  Flags |= Request.Repeatable_ ? SOUP_MESSAGE_IDEMPOTENT
                               : SOUP_MESSAGE_NEW_CONNECTION;
  soup_message_set_flags(Message, static_cast<SoupMessageFlags>(Flags));
  if (!Request.Repeatable_)
    soup_message_headers_replace(soup_message_get_request_headers(Message),
                                 "Connection", "close");
  if (!Request.IfNoneMatch_.empty())
    soup_message_headers_replace(soup_message_get_request_headers(Message),
                                 "If-None-Match", Request.IfNoneMatch_.c_str());
  if (Request.Method_ != "GET" && Request.Method_ != "DELETE") {
    GBytes *Body = g_bytes_new(Request.Body_.data(), Request.Body_.size());
    soup_message_set_request_body_from_bytes(
        Message, Request.ContentType_.c_str(), Body);
    g_bytes_unref(Body);
  }
  return Message;
}

SoupSession *makeSession() {
  SoupSession *Session = soup_session_new_with_options(
      "max-conns", MaxConnections, "max-conns-per-host",
      MaxConnectionsPerServer, "idle-timeout", IdleTimeoutSeconds, "timeout", 0,
      "proxy-resolver", nullptr, nullptr);
  // Decoded bodies have another length than the announced one.
  soup_session_remove_feature_by_type(Session, SOUP_TYPE_CONTENT_DECODER);
  return Session;
}

} // namespace

bool HttpReply::hadNoEffect() const {
  if (Fate_ == HttpFate::NotSent)
    return true;
  if (Fate_ != HttpFate::Answered || Status_ != SOUP_STATUS_SERVICE_UNAVAILABLE)
    return false;
  const auto Parsed = nlohmann::json::parse(Body_, nullptr, false);
  if (!Parsed.is_object())
    return false;
  const auto Applied = Parsed.find("applied");
  return Applied != Parsed.end() && Applied->is_boolean() &&
         !Applied->get<bool>();
}

HttpSender::HttpSender() : State_(std::make_shared<State>()) {
  State_->Session_ = makeSession();
}

HttpSender::~HttpSender() {
  State_->Open_ = false;
  soup_session_abort(State_->Session_);
  g_object_unref(State_->Session_);
  State_->Session_ = nullptr;
}

void HttpSender::send(HttpRequest Request,
                      std::function<void(const HttpReply &)> Done) {
  auto *Started = new Pending;
  Started->Done_ = std::move(Done);
  Started->SenderOpen_ = [Shared = State_] { return Shared->Open_; };
  Started->ValidUntil_ = Request.ValidUntil_;
  Started->Message_ = makeMessage(Request);
  if (!Started->Message_) {
    // An address that makes no URL, as from a broken live list, fails in the
    // same asynchronous way as a dead server: port 0 refuses connections.
    Request.Url_ = "http://127.0.0.1:0/";
    Started->Message_ = makeMessage(Request);
  }
  startTimer(*Started, Request.Timeout_);
  g_signal_connect(Started->Message_, "starting", G_CALLBACK(onStarting),
                   Started);
  soup_session_send_and_read_async(State_->Session_, Started->Message_,
                                   G_PRIORITY_DEFAULT, Started->Cancellable_,
                                   onDone, Started);
}

} // namespace oleandergauge::daemon
