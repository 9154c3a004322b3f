#include "node/http_client.h"

#include <algorithm>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace oleandergauge::node {
namespace {

/// Time for which a connection without a call is kept.
constexpr Millis IdleTime = 30000;

void setTimeout(evhttp_connection *Link, Millis Timeout) {
  const timeval Span = {static_cast<time_t>(Timeout / 1000),
                        static_cast<suseconds_t>(Timeout % 1000 * 1000)};
  evhttp_connection_set_timeout_tv(Link, &Span);
}

evhttp_cmd_type commandOf(HttpMethod Method) {
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

std::string bodyOf(evhttp_request *Request) {
  evbuffer *Input = evhttp_request_get_input_buffer(Request);
  std::string Out(evbuffer_get_length(Input), '\0');
  evbuffer_copyout(Input, Out.data(), Out.size());
  return Out;
}

} // namespace

struct HttpLane::Connection {
  HttpLane *Lane_ = nullptr;
  evhttp_connection *Link_ = nullptr;
  bool Busy_ = false;
  ReplyHandler Then_;
  ~Connection() {
    if (Link_ != nullptr)
      evhttp_connection_free(Link_);
  }
};

HttpLane::HttpLane(Loop &Events, const std::string &Address,
                   std::size_t MaxConnections)
    : Events_(Events), Address_(Address), MaxConnections_(MaxConnections) {
  const std::size_t Colon = Address.rfind(':');
  Ip_ = Address.substr(0, Colon);
  Port_ = static_cast<unsigned short>(std::stoi(Address.substr(Colon + 1)));
}

HttpLane::~HttpLane() {
  *Alive_ = false;
  for (const auto &Each : Connections_)
    Each->Then_ = nullptr;
  Connections_.clear();
}

void HttpLane::send(HttpCall Call, Millis Timeout, ReplyHandler Then) {
  Pending Next{std::move(Call), Timeout, std::move(Then)};
  for (const auto &Each : Connections_)
    if (!Each->Busy_) {
      start(*Each, std::move(Next));
      return;
    }
  if (Connections_.size() >= MaxConnections_) {
    Waiting_.push_back(std::move(Next));
    return;
  }
  auto Made = std::make_unique<Connection>();
  Made->Lane_ = this;
  Made->Link_ =
      evhttp_connection_base_new(Events_.base(), nullptr, Ip_.c_str(), Port_);
  evhttp_connection_set_retries(Made->Link_, 0);
  Connections_.push_back(std::move(Made));
  start(*Connections_.back(), std::move(Next));
}

std::size_t HttpLane::busy() const {
  return static_cast<std::size_t>(
      std::count_if(Connections_.begin(), Connections_.end(),
                    [](const auto &Each) { return Each->Busy_; }));
}

void HttpLane::start(Connection &On, Pending Next) {
  On.Busy_ = true;
  On.Then_ = std::move(Next.Then_);
  setTimeout(On.Link_, Next.Timeout_);
  evhttp_request *Request = evhttp_request_new(onDone, &On);
  evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
  evhttp_add_header(Headers, "Host", Address_.c_str());
  for (const auto &[Name, Value] : Next.Call_.Headers_)
    evhttp_add_header(Headers, Name.c_str(), Value.c_str());
  if (!Next.Call_.Body_.empty()) {
    evhttp_add_header(Headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(Request),
                 Next.Call_.Body_.data(), Next.Call_.Body_.size());
  }
  if (evhttp_make_request(On.Link_, Request, commandOf(Next.Call_.Method_),
                          Next.Call_.Path_.c_str()) != 0)
    Events_.after(0, [this, &On, Alive = Alive_] {
      if (*Alive)
        finished(On, {});
    });
}

void HttpLane::onDone(evhttp_request *Request, void *Given) {
  Connection &On = *static_cast<Connection *>(Given);
  HttpReply Reply;
  if (Request != nullptr) {
    Reply.Status_ = evhttp_request_get_response_code(Request);
    if (Reply.Status_ != 0)
      Reply.Body_ = bodyOf(Request);
  }
  On.Lane_->finished(On, std::move(Reply));
}

void HttpLane::finished(Connection &On, HttpReply Reply) {
  if (!On.Busy_)
    return;
  On.Busy_ = false;
  const ReplyHandler Then = std::move(On.Then_);
  On.Then_ = nullptr;
  if (Reply.Status_ != 0) {
    // The call's time limit would otherwise end the connection while it idles.
    setTimeout(On.Link_, IdleTime);
  } else {
    // Freed once the library has left the connection's callback.
    const auto It =
        std::find_if(Connections_.begin(), Connections_.end(),
                     [&](const auto &Each) { return Each.get() == &On; });
    std::shared_ptr<Connection> Broken(It->release());
    Connections_.erase(It);
    Events_.after(0, [Broken] {});
  }
  const std::shared_ptr<bool> Alive = Alive_;
  if (Then)
    Then(std::move(Reply));
  if (!*Alive || Waiting_.empty())
    return;
  Pending Next = std::move(Waiting_.front());
  Waiting_.pop_front();
  send(std::move(Next.Call_), Next.Timeout_, std::move(Next.Then_));
}

} // namespace oleandergauge::node
