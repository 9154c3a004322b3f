#include "daemon/http_server.h"

#include <set>
#include <stdexcept>
#include <utility>

#include <libsoup/soup.h>

namespace oleandergauge::daemon {
namespace {

constexpr const char *OperatorHeader = "X-Oleandergauge-Operator";

/// Makes the body of a refusal by the server itself. The handler has not seen
/// the request, so the verdict is "not run".
std::string refusalBody(const char *Message) {
  return std::string(R"({"verdict":"not_run","reason":"invalid_request",)") +
         R"("message":")" + Message + R"(","retry_after_ms":0})";
}

void setResponse(SoupServerMessage *Message, const ApiReply &Answer) {
  soup_server_message_set_status(Message, Answer.Status_, nullptr);
  soup_server_message_set_response(Message, Answer.ContentType_.c_str(),
                                   SOUP_MEMORY_COPY, Answer.Body_.data(),
                                   Answer.Body_.size());
  if (Answer.CloseConnection_)
    soup_message_headers_replace(
        soup_server_message_get_response_headers(Message), "Connection",
        "close");
}

std::string header(SoupServerMessage *Message, const char *Name) {
  const char *Value = soup_message_headers_get_one(
      soup_server_message_get_request_headers(Message), Name);
  return Value == nullptr ? "" : Value;
}

std::map<std::string, std::string> readQuery(GHashTable *Query) {
  std::map<std::string, std::string> Out;
  if (Query == nullptr)
    return Out;
  GHashTableIter Iter;
  gpointer Key = nullptr;
  gpointer Value = nullptr;
  g_hash_table_iter_init(&Iter, Query);
  while (g_hash_table_iter_next(&Iter, &Key, &Value) != FALSE)
    Out[static_cast<const char *>(Key)] = static_cast<const char *>(Value);
  return Out;
}

std::string readBody(SoupServerMessage *Message) {
  GBytes *Bytes =
      soup_message_body_flatten(soup_server_message_get_request_body(Message));
  gsize Size = 0;
  auto Data = static_cast<const char *>(g_bytes_get_data(Bytes, &Size));
  std::string Out(Data == nullptr ? "" : Data, Size);
  g_bytes_unref(Bytes);
  return Out;
}

GSocketAddress *parseAddress(const std::string &Address) {
  std::size_t Colon = Address.rfind(':');
  auto Port = static_cast<guint>(std::stoul(Address.substr(Colon + 1)));
  return g_inet_socket_address_new_from_string(Address.substr(0, Colon).c_str(),
                                               Port);
}

/// A request that is being served. It holds the message until that has
/// finished; the responder may outlive the message.
struct Exchange {
  Exchange(SoupServerMessage *Message, std::set<Exchange *> &InFlight)
      : Message_(Message), InFlight_(InFlight) {
    g_object_ref(Message_);
    InFlight_.insert(this);
  }
  ~Exchange() { end(); }
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  void respond(const ApiReply &Answer) {
    if (Message_ == nullptr || std::exchange(Answered_, true))
      return;
    setResponse(Message_, Answer);
    soup_server_message_unpause(Message_);
  }

  void end() {
    if (Message_ == nullptr)
      return;
    InFlight_.erase(this);
    g_object_unref(std::exchange(Message_, nullptr));
  }

  SoupServerMessage *Message_;
  std::set<Exchange *> &InFlight_;
  bool Answered_ = false;
};

using SharedExchange = std::shared_ptr<Exchange>;

void onFinished(SoupServerMessage *, gpointer Data) {
  (*static_cast<SharedExchange *>(Data))->end();
}

/// Called when a request whose headers were read has its whole reply or its
/// connection has ended.
void onOpenRequestFinished(SoupServerMessage *, gpointer Data) {
  --*static_cast<std::size_t *>(Data);
}

void freeExchange(gpointer Data, GClosure *) {
  delete static_cast<SharedExchange *>(Data);
}

/// Number of connections that may wait to be accepted. The kernel drops the SYN
/// of a connection beyond this number, and the client sends it again only
/// after a second.
constexpr int AcceptBacklog = 1024;

/// Listens with AcceptBacklog instead of the server's default of 10.
bool listenOn(SoupServer *Server, const std::string &Address, GError **Error) {
  GSocketAddress *ListenAddress = parseAddress(Address);
  GSocket *Socket =
      g_socket_new(g_socket_address_get_family(ListenAddress),
                   G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, Error);
  bool Bound = Socket != nullptr;
  if (Bound) {
    g_socket_set_listen_backlog(Socket, AcceptBacklog);
    Bound = g_socket_bind(Socket, ListenAddress, TRUE, Error) != FALSE &&
            g_socket_listen(Socket, Error) != FALSE &&
            soup_server_listen_socket(Server, Socket,
                                      static_cast<SoupServerListenOptions>(0),
                                      Error) != FALSE;
    g_object_unref(Socket);
  }
  g_object_unref(ListenAddress);
  return Bound;
}

} // namespace

struct HttpServer::State {
  static void onHeadersRead(SoupServer *, SoupServerMessage *Message,
                            const char *, GHashTable *, gpointer Data);
  static void onRequest(SoupServer *, SoupServerMessage *Message,
                        const char *Path, GHashTable *Query, gpointer Data);

  SoupServer *Server_ = nullptr;
  goffset MaxBodyBytes_ = 0;
  ApiHandler Handler_;
  std::set<Exchange *> InFlight_;
  std::size_t OpenRequests_ = 0;
};

/// Checks the headers and refuses a request before its body is read.
void HttpServer::State::onHeadersRead(SoupServer *, SoupServerMessage *Message,
                                      const char *, GHashTable *,
                                      gpointer Data) {
  auto &Self = *static_cast<State *>(Data);
  ++Self.OpenRequests_;
  g_signal_connect(Message, "finished", G_CALLBACK(onOpenRequestFinished),
                   &Self.OpenRequests_);
  SoupMessageHeaders *Headers =
      soup_server_message_get_request_headers(Message);
  ApiReply Refused;
  Refused.CloseConnection_ = true;
  if (soup_message_headers_get_encoding(Headers) == SOUP_ENCODING_CHUNKED) {
    Refused.Status_ = SOUP_STATUS_LENGTH_REQUIRED;
    Refused.Body_ = refusalBody("the length of the body must be given");
    setResponse(Message, Refused);
  } else if (soup_message_headers_get_content_length(Headers) >
             Self.MaxBodyBytes_) {
    Refused.Status_ = SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE;
    Refused.Body_ = refusalBody("the body is too large");
    setResponse(Message, Refused);
  }
}

void HttpServer::State::onRequest(SoupServer *, SoupServerMessage *Message,
                                  const char *Path, GHashTable *Query,
                                  gpointer Data) {
  auto &Self = *static_cast<State *>(Data);
  ApiRequest Request;
  Request.Method_ = soup_server_message_get_method(Message);
  Request.Path_ = Path;
  Request.Query_ = readQuery(Query);
  Request.Authorization_ = header(Message, "Authorization");
  Request.Operator_ = header(Message, OperatorHeader);
  Request.Body_ = readBody(Message);
  auto HeldExchange = std::make_shared<Exchange>(Message, Self.InFlight_);
  g_signal_connect_data(Message, "finished", G_CALLBACK(onFinished),
                        new SharedExchange(HeldExchange), freeExchange,
                        static_cast<GConnectFlags>(0));
  soup_server_message_pause(Message);
  Self.Handler_(std::move(Request), [HeldExchange](const ApiReply &Answer) {
    HeldExchange->respond(Answer);
  });
}

HttpServer::HttpServer(const std::string &Address, std::size_t MaxBodyBytes,
                       ApiHandler Handler)
    : State_(std::make_unique<State>()) {
  State_->MaxBodyBytes_ = static_cast<goffset>(MaxBodyBytes);
  State_->Handler_ = std::move(Handler);
  State_->Server_ = soup_server_new("server-header", "oleandergauge", nullptr);
  soup_server_add_early_handler(State_->Server_, nullptr, State::onHeadersRead,
                                State_.get(), nullptr);
  soup_server_add_handler(State_->Server_, nullptr, State::onRequest,
                          State_.get(), nullptr);
  GError *Error = nullptr;
  if (listenOn(State_->Server_, Address, &Error))
    return;
  std::string Message = "cannot listen on " + Address + ": " + Error->message;
  g_error_free(Error);
  g_object_unref(State_->Server_);
  throw std::runtime_error(Message);
}

HttpServer::~HttpServer() {
  soup_server_disconnect(State_->Server_);
  g_object_unref(State_->Server_);
}

std::size_t HttpServer::inFlight() const { return State_->InFlight_.size(); }

std::size_t HttpServer::openRequests() const { return State_->OpenRequests_; }

void HttpServer::replyToAll(const ApiReply &Answer) {
  // A reply may end its exchange, so the set is copied.
  const std::set<Exchange *> Open = State_->InFlight_;
  for (Exchange *Each : Open)
    if (State_->InFlight_.count(Each) != 0)
      Each->respond(Answer);
}

} // namespace oleandergauge::daemon
