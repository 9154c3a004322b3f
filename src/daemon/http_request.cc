#include "daemon/http_request.h"

#include <libsoup/soup.h>
#include <nlohmann/json.hpp>

#include "daemon/task.h"

namespace oleandergauge::daemon {

/// Shared with the pending requests, so that a completion can tell that the
/// sender was destroyed.
struct HttpSender::State {
  SoupSession *Session_ = nullptr;
  bool SenderAlive_ = true;
};

namespace {

// libsoup's defaults of 10 connections in total and 2 per server would queue
// commands behind running calls. A worker serves 64 connections.
constexpr int MaxConnections = 16384;
constexpr int MaxConnectionsPerServer = 256;
// Shorter than the idle timeout of most servers, so that a read rarely uses a
// connection that the server is closing.
constexpr int IdleTimeoutSeconds = 4;

/// A request between send() and its completion. Owned by its callbacks.
struct PendingRequest {
  std::function<bool()> IsSenderAlive_;
  std::function<void(const HttpReply &)> Done_;
  std::optional<TimePoint> ValidUntil_;
  SoupMessage *Message_ = nullptr;
  GCancellable *Cancellable_ = g_cancellable_new();
  GSource *Timer_ = nullptr;
  bool Sent_ = false;
  TimePoint WrittenAt_;

  PendingRequest() = default;
  PendingRequest(const PendingRequest &) = delete;
  PendingRequest &operator=(const PendingRequest &) = delete;
  ~PendingRequest() {
    if (Timer_) {
      g_source_destroy(Timer_);
      g_source_unref(Timer_);
    }
    g_clear_object(&Message_);
    g_object_unref(Cancellable_);
  }
};

gboolean onTimeout(gpointer Data) {
  g_cancellable_cancel(static_cast<PendingRequest *>(Data)->Cancellable_);
  return G_SOURCE_REMOVE;
}

/// Called on an open connection directly before libsoup writes the request.
/// Cancels the request if its validity has ended.
void onStarting(SoupMessage * /*Message*/, gpointer Data) {
  auto *Request = static_cast<PendingRequest *>(Data);
  const TimePoint Now = monotonicNow();
  const bool Expired = Request->ValidUntil_ && Now >= *Request->ValidUntil_;
  if (Expired)
    g_cancellable_cancel(Request->Cancellable_);
  if (g_cancellable_is_cancelled(Request->Cancellable_))
    return;
  Request->Sent_ = true;
  Request->WrittenAt_ = Now;
}

std::string toString(GBytes *Bytes) {
  gsize Size = 0;
  const auto *Data = static_cast<const char *>(g_bytes_get_data(Bytes, &Size));
  return Size == 0 ? std::string() : std::string(Data, Size);
}

/// Returns whether the body was received completely. libsoup reports a body
/// that was truncated by the end of the connection as complete, even a chunked
/// one, so only a body of the announced length is accepted.
bool isBodyComplete(SoupMessage *Message, GBytes *Body) {
  SoupMessageHeaders *Headers = soup_message_get_response_headers(Message);
  const SoupEncoding Encoding = soup_message_headers_get_encoding(Headers);
  if (Encoding == SOUP_ENCODING_NONE ||
      soup_message_get_status(Message) == SOUP_STATUS_NOT_MODIFIED)
    return g_bytes_get_size(Body) == 0;
  return Encoding == SOUP_ENCODING_CONTENT_LENGTH &&
         soup_message_headers_get_content_length(Headers) ==
             static_cast<goffset>(g_bytes_get_size(Body));
}

HttpReply toReply(const PendingRequest &Request, GBytes *Body) {
  HttpReply Reply;
  Reply.WrittenAt_ = Request.Sent_ ? Request.WrittenAt_ : monotonicNow();
  if (!Request.Sent_) {
    Reply.HttpOutcome_ = HttpOutcome::NotSent;
    return Reply;
  }
  if (!Body || !isBodyComplete(Request.Message_, Body))
    return Reply;
  Reply.HttpOutcome_ = HttpOutcome::Answered;
  Reply.Status_ = soup_message_get_status(Request.Message_);
  Reply.Body_ = toString(Body);
  const char *Tag = soup_message_headers_get_one(
      soup_message_get_response_headers(Request.Message_), "ETag");
  Reply.EntityTag_ = Tag ? Tag : "";
  return Reply;
}

void onDone(GObject *Session, GAsyncResult *Result, gpointer Data) {
  const std::unique_ptr<PendingRequest> Request(
      static_cast<PendingRequest *>(Data));
  GBytes *Body =
      soup_session_send_and_read_finish(SOUP_SESSION(Session), Result, nullptr);
  const HttpReply Reply = toReply(*Request, Body);
  if (Body)
    g_bytes_unref(Body);
  g_signal_handlers_disconnect_by_data(Request->Message_, Request.get());
  if (Request->IsSenderAlive_())
    Request->Done_(Reply);
}

void startTimer(PendingRequest &Request, Duration Timeout) {
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
  // libsoup may send a request again on a reused connection, but never one on
  // a new connection.
  Flags |= Request.Retryable_ ? SOUP_MESSAGE_IDEMPOTENT
                              : SOUP_MESSAGE_NEW_CONNECTION;
  soup_message_set_flags(Message, static_cast<SoupMessageFlags>(Flags));
  if (!Request.Retryable_)
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
  // A decoded body would differ from the announced length.
  soup_session_remove_feature_by_type(Session, SOUP_TYPE_CONTENT_DECODER);
  return Session;
}

} // namespace

bool HttpReply::hadNoEffect() const {
  if (HttpOutcome_ == HttpOutcome::NotSent)
    return true;
  if (HttpOutcome_ != HttpOutcome::Answered ||
      Status_ != SOUP_STATUS_SERVICE_UNAVAILABLE)
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
  State_->SenderAlive_ = false;
  soup_session_abort(State_->Session_);
  g_object_unref(State_->Session_);
  State_->Session_ = nullptr;
}

void HttpSender::send(HttpRequest Request,
                      std::function<void(const HttpReply &)> Done) {
  auto *NewRequest = new PendingRequest;
  NewRequest->Done_ = std::move(Done);
  NewRequest->IsSenderAlive_ = [Shared = State_] {
    return Shared->SenderAlive_;
  };
  NewRequest->ValidUntil_ = Request.ValidUntil_;
  NewRequest->Message_ = makeMessage(Request);
  if (!NewRequest->Message_) {
    // An address that forms no valid URL, such as one from a faulty live list,
    // fails asynchronously like an unreachable server: port 0 refuses
    // connections.
    Request.Url_ = "http://127.0.0.1:0/";
    NewRequest->Message_ = makeMessage(Request);
  }
  startTimer(*NewRequest, Request.Timeout_);
  g_signal_connect(NewRequest->Message_, "starting", G_CALLBACK(onStarting),
                   NewRequest);
  soup_session_send_and_read_async(State_->Session_, NewRequest->Message_,
                                   G_PRIORITY_DEFAULT, NewRequest->Cancellable_,
                                   onDone, NewRequest);
}

} // namespace oleandergauge::daemon
