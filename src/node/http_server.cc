#include "node/http_server.h"

#include <algorithm>
#include <cstring>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "node/socket_address.h"

namespace oleandergauge::node {
namespace {

/// Connections that may wait to be accepted. A full queue drops the SYN packet,
/// which the client resends only after seconds.
constexpr int AcceptBacklog = 1024;
/// Known connections from which the closed ones are first searched for.
constexpr std::size_t MinStreamsAtRemoval = 256;

bool parseAddress(const std::string &Address, sockaddr_in &Out) {
  std::memset(&Out, 0, sizeof Out);
  const auto Parsed = parseSocketAddress(Address);
  if (!Parsed)
    return false;
  Out.sin_family = AF_INET;
  Out.sin_port = htons(Parsed->Port_);
  return inet_pton(AF_INET, Parsed->Ip_.c_str(), &Out.sin_addr) == 1;
}

const char *reasonPhrase(int Status) {
  switch (Status) {
  case 200:
    return "OK";
  case 401:
    return "Unauthorized";
  case 404:
    return "Not Found";
  case 410:
    return "Gone";
  case 503:
    return "Service Unavailable";
  default:
    return "Error";
  }
}

/// The kernel's unique number of an open socket; 0 if it is closed.
std::uint64_t socketCookie(int Socket) {
  std::uint64_t Out = 0;
  socklen_t Size = sizeof Out;
  if (getsockopt(Socket, SOL_SOCKET, SO_COOKIE, &Out, &Size) != 0)
    return 0;
  return Out;
}

std::string withoutQuery(const std::string &Uri) {
  return Uri.substr(0, Uri.find('?'));
}

} // namespace

IncomingRequest::IncomingRequest(HttpServer &Server, evhttp_request *Raw)
    : Server_(&Server), Raw_(Raw),
      Path_(withoutQuery(evhttp_request_get_uri(Raw))) {}

HttpMethod IncomingRequest::method() const {
  switch (evhttp_request_get_command(Raw_)) {
  case EVHTTP_REQ_POST:
    return HttpMethod::Post;
  case EVHTTP_REQ_PUT:
    return HttpMethod::Put;
  case EVHTTP_REQ_DELETE:
    return HttpMethod::Delete;
  default:
    return HttpMethod::Get;
  }
}

std::string IncomingRequest::header(const char *Name) const {
  const char *Value =
      evhttp_find_header(evhttp_request_get_input_headers(Raw_), Name);
  return Value == nullptr ? "" : Value;
}

std::string IncomingRequest::body() const {
  evbuffer *Input = evhttp_request_get_input_buffer(Raw_);
  std::string Out(evbuffer_get_length(Input), '\0');
  evbuffer_copyout(Input, Out.data(), Out.size());
  return Out;
}

void IncomingRequest::answer(
    int Status, const std::string &Body,
    const std::vector<std::pair<std::string, std::string>> &Headers) {
  if (Raw_ == nullptr || Status_ != 0)
    return;
  Status_ = Status;
  evkeyvalq *Out = evhttp_request_get_output_headers(Raw_);
  if (!Body.empty())
    evhttp_add_header(Out, "Content-Type", "application/json");
  for (const auto &[Name, Value] : Headers)
    evhttp_add_header(Out, Name.c_str(), Value.c_str());
  evbuffer *Output = evhttp_request_get_output_buffer(Raw_);
  evbuffer_add(Output, Body.data(), Body.size());
  evhttp_send_reply(Raw_, Status, reasonPhrase(Status), nullptr);
}

HttpServer::HttpServer(EventLoop &Loop, Handler OnRequest,
                       AnswerObserver Observer)
    : Loop_(Loop), Handler_(std::move(OnRequest)),
      Observer_(std::move(Observer)), Server_(evhttp_new(Loop.base())),
      StreamsAtNextRemoval_(MinStreamsAtRemoval) {
  evhttp_set_allowed_methods(Server_, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                          EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
  evhttp_set_gencb(Server_, onRequest, this);
  evhttp_set_bevcb(Server_, onAccept, this);
  setLimits({});
}

HttpServer::~HttpServer() {
  Observer_ = nullptr;
  evhttp_free(Server_); // Calls onClosed() for each open request.
}

bool HttpServer::listen(const std::string &Address) {
  sockaddr_in BindAddress;
  if (!parseAddress(Address, BindAddress))
    return false;
  evconnlistener *Listener = evconnlistener_new_bind(
      Loop_.base(), nullptr, nullptr, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE,
      AcceptBacklog, reinterpret_cast<sockaddr *>(&BindAddress),
      sizeof BindAddress);
  if (Listener == nullptr)
    return false;
  Listener_ = evhttp_bind_listener(Server_, Listener);
  return Listener_ != nullptr;
}

void HttpServer::stopListening() {
  if (Listener_ != nullptr)
    evhttp_del_accept_socket(Server_, Listener_);
  Listener_ = nullptr;
}

void HttpServer::setLimits(const ServerLimits &Limits) {
  evhttp_set_max_headers_size(Server_,
                              static_cast<ev_ssize_t>(Limits.HeaderBytes_));
  evhttp_set_max_body_size(Server_, static_cast<ev_ssize_t>(Limits.BodyBytes_));
  const timeval Span = {
      static_cast<time_t>(Limits.IdleTimeout_ / 1000),
      static_cast<suseconds_t>(Limits.IdleTimeout_ % 1000 * 1000)};
  evhttp_set_timeout_tv(Server_, &Span);
}

/// Creates the stream of a new connection, as libevent would.
bufferevent *HttpServer::onAccept(event_base *Base, void *Argument) {
  HttpServer &Self = *static_cast<HttpServer *>(Argument);
  if (Self.Streams_.size() >= Self.StreamsAtNextRemoval_) {
    Self.removeClosedStreams();
    Self.StreamsAtNextRemoval_ =
        std::max(MinStreamsAtRemoval, 2 * Self.Streams_.size());
  }
  bufferevent *Connection = bufferevent_socket_new(Base, -1, 0);
  evbuffer *Input = bufferevent_get_input(Connection);
  Self.Streams_[Input] = {Connection, -1, 0, false};
  evbuffer_add_cb(Input, onInput, Argument);
  return Connection;
}

/// Called when bytes of a request have arrived, before libevent parses them.
void HttpServer::onInput(evbuffer *Input, const evbuffer_cb_info *Change,
                         void *Argument) {
  if (Change->n_added == 0)
    return;
  Stream &From = static_cast<HttpServer *>(Argument)->Streams_[Input];
  if (From.Socket_ < 0) {
    From.Socket_ = bufferevent_getfd(From.Connection_);
    From.Cookie_ = socketCookie(From.Socket_);
  }
  From.PartlyRead_ = true;
}

void HttpServer::setPartlyRead(evhttp_request *Raw, bool PartlyRead) {
  bufferevent *Connection =
      evhttp_connection_get_bufferevent(evhttp_request_get_connection(Raw));
  const auto It = Streams_.find(bufferevent_get_input(Connection));
  if (It != Streams_.end())
    It->second.PartlyRead_ = PartlyRead;
}

void HttpServer::removeClosedStreams() {
  std::erase_if(Streams_, [](const auto &Each) {
    const Stream &Known = Each.second;
    return Known.Socket_ >= 0 && socketCookie(Known.Socket_) != Known.Cookie_;
  });
}

std::size_t HttpServer::countPartlyRead() {
  removeClosedStreams();
  return static_cast<std::size_t>(
      std::count_if(Streams_.begin(), Streams_.end(),
                    [](const auto &Each) { return Each.second.PartlyRead_; }));
}

void HttpServer::onRequest(evhttp_request *Raw, void *Argument) {
  HttpServer &Self = *static_cast<HttpServer *>(Argument);
  Self.setPartlyRead(Raw, false);
  const auto Request = std::make_shared<IncomingRequest>(Self, Raw);
  Self.Open_[Request.get()] = Request;
  evhttp_request_set_on_complete_cb(Raw, onWritten, Request.get());
  evhttp_connection_set_closecb(evhttp_request_get_connection(Raw), onClosed,
                                Request.get());
  Self.Handler_(Request);
}

/// Called when all bytes of an answer were written to the socket, before the
/// connection is closed or reads its next request.
void HttpServer::onWritten(evhttp_request *Raw, void *Argument) {
  auto &Request = *static_cast<IncomingRequest *>(Argument);
  evhttp_connection *Connection = evhttp_request_get_connection(Raw);
  evhttp_connection_set_closecb(Connection, nullptr, nullptr);
  // Bytes that follow the request belong to the next one.
  evbuffer *Input =
      bufferevent_get_input(evhttp_connection_get_bufferevent(Connection));
  Request.Server_->setPartlyRead(Raw, evbuffer_get_length(Input) > 0);
  Request.Server_->finish(Request, AnswerEnd::Written);
}

/// Called when a connection ends before the answer was written.
void HttpServer::onClosed(evhttp_connection *, void *Argument) {
  auto &Request = *static_cast<IncomingRequest *>(Argument);
  // libevent detaches a request that its user has not answered from a broken
  // connection and leaves it to the user. All others it frees itself.
  if (Request.Status_ == 0 &&
      evhttp_request_get_connection(Request.Raw_) == nullptr)
    evhttp_request_free(Request.Raw_);
  Request.Raw_ = nullptr;
  Request.Server_->finish(Request, AnswerEnd::ConnectionClosed);
}

void HttpServer::finish(IncomingRequest &Request, AnswerEnd End) {
  const auto It = Open_.find(&Request);
  if (It == Open_.end())
    return;
  const std::shared_ptr<IncomingRequest> Held = It->second;
  Open_.erase(It);
  Held->Raw_ = nullptr;
  Held->Server_ = nullptr;
  if (Observer_)
    Observer_({End, Held->Status_, Held->Path_});
}

std::size_t HttpServer::dropOpenRequests() {
  for (const auto &[Raw, Each] : Open_)
    if (Observer_)
      Observer_({AnswerEnd::ProcessEnded, Each->Status_, Each->Path_});
  return Open_.size();
}

} // namespace oleandergauge::node
