#include "node/http_client.h"

#include <algorithm>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "node/socket_address.h"

namespace oleandergauge::node {
namespace {

/// Maximum number of bytes written to a connection in one turn of the event
/// loop. libevent's 16 KiB would spread a transaction over several turns, each
/// of which takes tens of milliseconds in a busy process.
constexpr std::size_t MaxBytesPerTurn = std::size_t{1} << 20;
/// Time after which a connection without a call is closed. It is longer than
/// the timeout of any call.
constexpr int IdleTimeoutSeconds = 30;
/// Turns of the event loop for which a call has at least time: to open the
/// connection, to write the request, to read the answer, and one to spare. In a
/// process that is slow, the timeout may pass before the loop has looked at the
/// connection once.
constexpr std::uint64_t MinTurnsPerCall = 4;
/// Further turns for a call of which bytes have arrived. libevent reads 4 KiB
/// per connection and turn, so that a long answer takes many.
constexpr std::uint64_t MinTurnsAfterInput = 2;

evhttp_cmd_type toCommand(HttpMethod Method) {
  switch (Method) {
  case HttpMethod::Get:
    return EVHTTP_REQ_GET;
  case HttpMethod::Post:
    return EVHTTP_REQ_POST;
  case HttpMethod::Put:
    return EVHTTP_REQ_PUT;
  case HttpMethod::Delete:
    return EVHTTP_REQ_DELETE;
  }
  return EVHTTP_REQ_GET;
}

std::string readBody(evhttp_request *Request) {
  evbuffer *Input = evhttp_request_get_input_buffer(Request);
  std::string Out(evbuffer_get_length(Input), '\0');
  evbuffer_copyout(Input, Out.data(), Out.size());
  return Out;
}

} // namespace

struct HttpConnectionPool::Connection {
  HttpConnectionPool *Pool_ = nullptr;
  evhttp_connection *Link_ = nullptr;
  bool Busy_ = false;
  ReplyHandler Handler_;
  event *Timer_ = nullptr;
  std::uint64_t FirstTimeoutTurn_ = 0; ///< The call does not time out before.

  ~Connection() {
    if (Timer_ != nullptr)
      event_free(Timer_);
    closeLink();
  }
  void closeLink() {
    if (Link_ == nullptr)
      return;
    if (Busy_ && Pool_->Abandoned_ == AbandonedCall::IsTakenBack)
      reset();
    evhttp_connection_free(std::exchange(Link_, nullptr));
  }
  /// Resets the connection, which discards what it has not delivered. libevent
  /// would first end it in order, and what was written before that counts.
  void reset() {
    const evutil_socket_t Socket =
        bufferevent_getfd(evhttp_connection_get_bufferevent(Link_));
    const linger Discard = {1, 0};
    setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Discard, sizeof Discard);
    sockaddr Nobody = {};
    Nobody.sa_family = AF_UNSPEC;
    static_cast<void>(connect(Socket, &Nobody, sizeof Nobody));
  }
  /// Gives the call at least \p Count turns from now on.
  void allowTurns(std::uint64_t Count) {
    FirstTimeoutTurn_ =
        std::max(FirstTimeoutTurn_, Pool_->Loop_.turns() + Count);
  }
  void startTimer(Millis Timeout) {
    const timeval Span = {static_cast<time_t>(Timeout / 1000),
                          static_cast<suseconds_t>(Timeout % 1000 * 1000)};
    event_add(Timer_, &Span);
  }
};

HttpConnectionPool::HttpConnectionPool(EventLoop &Loop,
                                       const std::string &Address,
                                       std::size_t MaxConnections,
                                       AbandonedCall Abandoned)
    : Loop_(Loop), Address_(Address), MaxConnections_(MaxConnections),
      Abandoned_(Abandoned) {
  const auto To = parseSocketAddress(Address).value_or(SocketAddress{});
  Ip_ = To.Ip_;
  Port_ = To.Port_;
}

HttpConnectionPool::~HttpConnectionPool() {
  *Alive_ = false;
  for (const auto &Each : Connections_)
    Each->Handler_ = nullptr;
  Connections_.clear();
}

void HttpConnectionPool::send(HttpCall Call, Millis Timeout, ReplyHandler Then,
                              std::function<bool()> MayStart, CallOrder Order) {
  if (Port_ == 0) {
    answerLater(std::move(Then), {});
    return;
  }
  QueuedCall Next{std::move(Call), Timeout, std::move(Then),
                  std::move(MayStart)};
  if (hasFreeConnection()) {
    startOrWithdraw(std::move(Next));
    return;
  }
  (Order == CallOrder::First ? FirstCalls_ : QueuedCalls_)
      .push_back(std::move(Next));
}

/// Returns a connection without a call. There must be one, or fewer than the
/// limit.
HttpConnectionPool::Connection &HttpConnectionPool::freeConnection() {
  for (const auto &Each : Connections_)
    if (!Each->Busy_)
      return *Each;
  auto NewConnection = std::make_unique<Connection>();
  NewConnection->Pool_ = this;
  NewConnection->Link_ =
      evhttp_connection_base_new(Loop_.base(), nullptr, Ip_.c_str(), Port_);
  evhttp_connection_set_retries(NewConnection->Link_, 0);
  evhttp_connection_set_timeout(NewConnection->Link_, IdleTimeoutSeconds);
  NewConnection->Timer_ =
      event_new(Loop_.base(), -1, 0, onTimeout, NewConnection.get());
  bufferevent *Stream = evhttp_connection_get_bufferevent(NewConnection->Link_);
  bufferevent_set_max_single_write(Stream, MaxBytesPerTurn);
  evbuffer_add_cb(bufferevent_get_input(Stream), onInput, NewConnection.get());
  Connections_.push_back(std::move(NewConnection));
  return *Connections_.back();
}

/// Sends a call on a free connection, or ends it if it may not start. Returns
/// whether it was sent.
bool HttpConnectionPool::startOrWithdraw(QueuedCall Next) {
  if (!Next.MayStart_ || Next.MayStart_()) {
    startCall(freeConnection(), std::move(Next));
    return true;
  }
  answerLater(std::move(Next.Handler_), {0, "", false});
  return false;
}

/// Passes a reply to a handler that must not run within the call that sends.
void HttpConnectionPool::answerLater(ReplyHandler Then, HttpReply Reply) {
  Loop_.runAfter(
      0, [Then = std::move(Then), Reply = std::move(Reply), Alive = Alive_] {
        if (*Alive)
          Then(Reply);
      });
}

std::size_t HttpConnectionPool::countBusy() const {
  return static_cast<std::size_t>(
      std::count_if(Connections_.begin(), Connections_.end(),
                    [](const auto &Each) { return Each->Busy_; }));
}

void HttpConnectionPool::startCall(Connection &Target, QueuedCall Next) {
  Target.Busy_ = true;
  Target.Handler_ = std::move(Next.Handler_);
  Target.allowTurns(MinTurnsPerCall);
  Target.startTimer(Next.Timeout_);
  evhttp_request *Request = evhttp_request_new(onReply, &Target);
  evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
  evhttp_add_header(Headers, "Host", Address_.c_str());
  for (const auto &[Name, Value] : Next.Call_.Headers_)
    evhttp_add_header(Headers, Name.c_str(), Value.c_str());
  if (!Next.Call_.Body_.empty()) {
    evhttp_add_header(Headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(Request),
                 Next.Call_.Body_.data(), Next.Call_.Body_.size());
  }
  if (evhttp_make_request(Target.Link_, Request, toCommand(Next.Call_.Method_),
                          Next.Call_.Path_.c_str()) != 0)
    Loop_.runAfter(0, [this, &Target, Alive = Alive_] {
      if (*Alive)
        finishCall(Target, {});
    });
}

void HttpConnectionPool::onInput(evbuffer *, const evbuffer_cb_info *Change,
                                 void *Argument) {
  if (Change->n_added > 0)
    static_cast<Connection *>(Argument)->allowTurns(MinTurnsAfterInput);
}

/// Ends a call at its timeout, which libevent's own timeouts cannot do: in a
/// turn in which both have come, they discard the answer.
void HttpConnectionPool::onTimeout(int, short, void *Argument) {
  Connection &Target = *static_cast<Connection *>(Argument);
  if (Target.Pool_->Loop_.turns() < Target.FirstTimeoutTurn_) {
    Target.startTimer(1);
    return;
  }
  Target.closeLink();
  Target.Pool_->finishCall(Target, {});
}

void HttpConnectionPool::onReply(evhttp_request *Request, void *Argument) {
  Connection &Target = *static_cast<Connection *>(Argument);
  HttpReply Reply;
  if (Request != nullptr) {
    Reply.Status_ = evhttp_request_get_response_code(Request);
    if (Reply.Status_ != 0)
      Reply.Body_ = readBody(Request);
  }
  Target.Pool_->finishCall(Target, std::move(Reply));
}

/// Passes the reply to the handler, frees or keeps the connection, and starts
/// the next queued call.
void HttpConnectionPool::finishCall(Connection &Target, HttpReply Reply) {
  if (!Target.Busy_)
    return;
  Target.Busy_ = false;
  event_del(Target.Timer_);
  const ReplyHandler Then = std::move(Target.Handler_);
  Target.Handler_ = nullptr;
  if (Reply.Status_ == 0) {
    // libevent may still be in the callback of this connection, so it is freed
    // from the event loop.
    const auto It =
        std::find_if(Connections_.begin(), Connections_.end(),
                     [&](const auto &Each) { return Each.get() == &Target; });
    std::shared_ptr<Connection> Broken(It->release());
    Connections_.erase(It);
    Loop_.runAfter(0, [Broken] {});
  }
  const std::shared_ptr<bool> Alive = Alive_;
  if (Then)
    Then(std::move(Reply));
  if (*Alive)
    startQueuedCall();
}

bool HttpConnectionPool::hasFreeConnection() const {
  return countBusy() < MaxConnections_;
}

/// Starts the first queued call that may still start, and ends those before it.
/// A handler that has just sent a call may have taken the connection; then all
/// queued calls keep waiting in their order.
void HttpConnectionPool::startQueuedCall() {
  while (hasFreeConnection()) {
    std::deque<QueuedCall> &Calls =
        FirstCalls_.empty() ? QueuedCalls_ : FirstCalls_;
    if (Calls.empty())
      return;
    QueuedCall Next = std::move(Calls.front());
    Calls.pop_front();
    if (startOrWithdraw(std::move(Next)))
      return;
  }
}

} // namespace oleandergauge::node
