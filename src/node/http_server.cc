#include "node/http_server.h"

#include <cstring>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include "node/socket_address.h"

namespace oleandergauge::node {
namespace {

/// Connections that may wait to be accepted. A full queue drops the SYN packet,
/// which the client resends only after seconds.
constexpr int AcceptBacklog = 1024;

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

} // namespace

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

std::string IncomingRequest::path() const {
  const std::string Uri = evhttp_request_get_uri(Raw_);
  return Uri.substr(0, Uri.find('?'));
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
  if (Raw_ == nullptr)
    return;
  evkeyvalq *Out = evhttp_request_get_output_headers(Raw_);
  if (!Body.empty())
    evhttp_add_header(Out, "Content-Type", "application/json");
  for (const auto &[Name, Value] : Headers)
    evhttp_add_header(Out, Name.c_str(), Value.c_str());
  evbuffer *Output = evhttp_request_get_output_buffer(Raw_);
  evbuffer_add(Output, Body.data(), Body.size());
  evhttp_request *Raw = Raw_;
  Raw_ = nullptr;
  evhttp_send_reply(Raw, Status, reasonPhrase(Status), nullptr);
}

HttpServer::HttpServer(EventLoop &Loop, Handler OnRequest)
    : Loop_(Loop), Handler_(std::move(OnRequest)),
      Server_(evhttp_new(Loop.base())) {
  evhttp_set_allowed_methods(Server_, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                          EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
  evhttp_set_gencb(Server_, onRequest, this);
  setLimits({});
}

HttpServer::~HttpServer() { evhttp_free(Server_); }

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
  return evhttp_bind_listener(Server_, Listener) != nullptr;
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

void HttpServer::onRequest(evhttp_request *Raw, void *Argument) {
  static_cast<HttpServer *>(Argument)->Handler_(
      std::make_shared<IncomingRequest>(Raw));
}

} // namespace oleandergauge::node
