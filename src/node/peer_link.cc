#include "node/peer_link.h"

#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include "cell.pb.h"
#include "node/socket_address.h"

namespace oleandergauge::node {
namespace {

constexpr std::size_t MaxFrameBytes = 4U << 20;
constexpr std::size_t PrefixBytes = 4;
/// Frames are dropped while more bytes than this wait to be sent.
constexpr std::size_t MaxUnsentBytes = 8U << 20;
constexpr int AcceptBacklog = 128;

void disableNagle(int Socket) {
  const int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
}

sockaddr_in toSocketAddress(const std::string &Ip, int Port) {
  sockaddr_in Out;
  std::memset(&Out, 0, sizeof Out);
  Out.sin_family = AF_INET;
  Out.sin_port = htons(static_cast<unsigned short>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Out.sin_addr);
  return Out;
}

} // namespace

PeerLink::PeerLink(EventLoop &Loop, const std::string &Address)
    : Loop_(Loop), LastReceivedAt_(bootTime()) {
  createStream(-1);
  const auto Parsed = parseSocketAddress(Address);
  if (!Parsed)
    return; // The link stays silent.
  const sockaddr_in To = toSocketAddress(Parsed->Ip_, Parsed->Port_);
  bufferevent_socket_connect(Stream_, reinterpret_cast<const sockaddr *>(&To),
                             sizeof To);
  disableNagle(bufferevent_getfd(Stream_));
}

PeerLink::PeerLink(EventLoop &Loop, int Socket)
    : Loop_(Loop), Connected_(true), LastReceivedAt_(bootTime()) {
  createStream(Socket);
  disableNagle(Socket);
}

void PeerLink::createStream(int Socket) {
  Stream_ = bufferevent_socket_new(Loop_.base(), Socket, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(Stream_, onReadable, nullptr, onEvent, this);
  bufferevent_enable(Stream_, EV_READ | EV_WRITE);
}

PeerLink::~PeerLink() { bufferevent_free(Stream_); }

void PeerLink::send(const Frame &Message) {
  evbuffer *Out = bufferevent_get_output(Stream_);
  if (evbuffer_get_length(Out) > MaxUnsentBytes)
    return;
  const std::string Bytes = Message.SerializeAsString();
  const std::uint32_t Prefix = htonl(static_cast<std::uint32_t>(Bytes.size()));
  evbuffer_add(Out, &Prefix, PrefixBytes);
  evbuffer_add(Out, Bytes.data(), Bytes.size());
}

std::size_t PeerLink::unsentBytes() const {
  return evbuffer_get_length(bufferevent_get_output(Stream_));
}

/// Handles all complete frames in the input buffer. A frame that is too large
/// ends the link.
void PeerLink::readFrames() {
  LastReceivedAt_ = bootTime();
  evbuffer *In = bufferevent_get_input(Stream_);
  Frame Received;
  while (evbuffer_get_length(In) >= PrefixBytes) {
    std::uint32_t Prefix = 0;
    evbuffer_copyout(In, &Prefix, PrefixBytes);
    const std::size_t Size = ntohl(Prefix);
    if (Size > MaxFrameBytes) {
      if (EndHandler_)
        EndHandler_(End::Closed);
      return;
    }
    if (evbuffer_get_length(In) < PrefixBytes + Size)
      return;
    evbuffer_drain(In, PrefixBytes);
    std::string Bytes(Size, '\0');
    evbuffer_remove(In, Bytes.data(), Size);
    if (Received.ParseFromString(Bytes) && FrameHandler_)
      FrameHandler_(Received);
  }
}

void PeerLink::onReadable(bufferevent *, void *Self) {
  static_cast<PeerLink *>(Self)->readFrames();
}

void PeerLink::onEvent(bufferevent *, short What, void *Self) {
  auto &Link = *static_cast<PeerLink *>(Self);
  if ((What & BEV_EVENT_CONNECTED) != 0) {
    Link.Connected_ = true;
    Link.LastReceivedAt_ = bootTime();
    return;
  }
  const int Error = EVUTIL_SOCKET_ERROR();
  Link.Connected_ = false;
  if (!Link.EndHandler_)
    return;
  if ((What & BEV_EVENT_EOF) != 0 || Error == ECONNRESET)
    Link.EndHandler_(End::Closed);
  else
    Link.EndHandler_(Error == ECONNREFUSED ? End::Refused : End::Silent);
}

PeerListener::~PeerListener() {
  if (Listener_ != nullptr)
    evconnlistener_free(Listener_);
}

bool PeerListener::listen(const std::string &Ip, int Port) {
  const sockaddr_in BindAddress = toSocketAddress(Ip, Port);
  Listener_ = evconnlistener_new_bind(
      Loop_.base(), onAccept, this, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE,
      AcceptBacklog, reinterpret_cast<const sockaddr *>(&BindAddress),
      sizeof BindAddress);
  return Listener_ != nullptr;
}

void PeerListener::onAccept(evconnlistener *, int Socket, sockaddr *, int,
                            void *Self) {
  auto &Listener = *static_cast<PeerListener *>(Self);
  evutil_make_socket_nonblocking(Socket);
  Listener.AcceptHandler_(std::make_unique<PeerLink>(Listener.Loop_, Socket));
}

} // namespace oleandergauge::node
