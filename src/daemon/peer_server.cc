#include <set>
#include <stdexcept>

#include "daemon/http2_connection.h"
#include "daemon/peer_link.h"

namespace oleandergauge::daemon {

struct PeerServer::State {
  PeerHandler Handler_;
  GSocketService *Service_ = g_socket_service_new();
  std::set<std::shared_ptr<Http2Connection>> Connections_;

  State() = default;
  State(const State &) = delete;
  State &operator=(const State &) = delete;
  ~State() {
    g_signal_handlers_disconnect_by_data(Service_, this);
    g_socket_service_stop(Service_);
    g_socket_listener_close(G_SOCKET_LISTENER(Service_));
    g_object_unref(Service_);
    for (const auto &Connection : Connections_)
      Connection->close();
  }

  void accept(GSocketConnection *Socket);
  void handle(const std::shared_ptr<Http2Connection> &From,
              const Http2Event &Event);

  static gboolean onIncoming(GSocketService * /*Service*/,
                             GSocketConnection *Socket, GObject * /*Source*/,
                             gpointer Data) {
    static_cast<State *>(Data)->accept(Socket);
    return TRUE;
  }
};

void PeerServer::State::accept(GSocketConnection *Socket) {
  // The event handler needs the connection, which exists only after open() has
  // returned; until then the weak pointer is empty.
  auto Self = std::make_shared<std::weak_ptr<Http2Connection>>();
  auto Connection =
      Http2Connection::open(Socket, Http2Connection::Role::Server,
                            [this, Self](const Http2Event &Event) {
                              if (const auto From = Self->lock())
                                handle(From, Event);
                            });
  *Self = Connection;
  Connections_.insert(std::move(Connection));
}

void PeerServer::State::handle(const std::shared_ptr<Http2Connection> &From,
                               const Http2Event &Event) {
  if (std::holds_alternative<Http2ConnectionClosed>(Event)) {
    Connections_.erase(From);
    return;
  }
  const auto *Request = std::get_if<Http2MessageReceived>(&Event);
  if (!Request)
    return;
  const std::weak_ptr<Http2Connection> Weak = From;
  Handler_(Request->PathOrStatus_, Request->Body_,
           [Weak, Stream = Request->Stream_](std::string Body) {
             if (const auto To = Weak.lock())
               To->reply(Stream, std::move(Body));
           });
}

PeerServer::PeerServer(const std::string &Address, PeerHandler Handler)
    : State_(std::make_unique<State>()) {
  State_->Handler_ = std::move(Handler);
  GError *Error = nullptr;
  GSocketConnectable *Parsed =
      g_network_address_parse(Address.c_str(), 0, &Error);
  const std::string Message =
      "peer address " + Address + ": must be a free \"ip:port\"";
  if (!Parsed) {
    g_clear_error(&Error);
    throw std::runtime_error(Message);
  }
  auto *Network = G_NETWORK_ADDRESS(Parsed);
  GSocketAddress *Bound = g_inet_socket_address_new_from_string(
      g_network_address_get_hostname(Network),
      g_network_address_get_port(Network));
  g_object_unref(Parsed);
  if (!Bound)
    throw std::runtime_error(Message);
  const gboolean Ok = g_socket_listener_add_address(
      G_SOCKET_LISTENER(State_->Service_), Bound, G_SOCKET_TYPE_STREAM,
      G_SOCKET_PROTOCOL_TCP, nullptr, nullptr, &Error);
  g_object_unref(Bound);
  if (!Ok) {
    const std::string Reason = Error->message;
    g_clear_error(&Error);
    throw std::runtime_error(Message + " (" + Reason + ")");
  }
  g_signal_connect(State_->Service_, "incoming", G_CALLBACK(State::onIncoming),
                   State_.get());
  g_socket_service_start(State_->Service_);
}

PeerServer::~PeerServer() = default;

} // namespace oleandergauge::daemon
