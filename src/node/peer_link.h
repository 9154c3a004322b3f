#ifndef OLEANDERGAUGE_NODE_PEER_LINK_H
#define OLEANDERGAUGE_NODE_PEER_LINK_H

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "node/loop.h"

struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace oleandergauge::cell::pb {
class Frame;
} // namespace oleandergauge::cell::pb

namespace oleandergauge::node {

using Frame = cell::pb::Frame;

/// A TCP connection between two entry hosts that carries length-prefixed frames
/// in both directions. Both ends send heartbeats; the user closes a link on
/// which nothing has arrived for some time, see lastReceivedAt().
class PeerLink {
public:
  using FrameHandler = std::function<void(const Frame &Received)>;
  /// How a link ended. Silent: no bytes arrive or the network failed. Closed:
  /// the peer closed or reset it, or sent an invalid frame. Refused: no process
  /// listens at the address.
  enum class End { Silent, Closed, Refused };
  using EndHandler = std::function<void(End How)>;

  /// Starts to connect to \p Address ("ip:port"). With any other address the
  /// link never connects.
  PeerLink(EventLoop &Loop, const std::string &Address);
  /// Takes over an accepted connection.
  PeerLink(EventLoop &Loop, int Socket);
  ~PeerLink();
  PeerLink(const PeerLink &) = delete;
  PeerLink &operator=(const PeerLink &) = delete;

  void onFrame(FrameHandler Handler) { FrameHandler_ = std::move(Handler); }
  void onEnd(EndHandler Handler) { EndHandler_ = std::move(Handler); }
  /// Queues a frame. Drops it if the peer is too far behind in reading.
  void send(const Frame &Message);
  bool isConnected() const { return Connected_; }
  /// Bytes of queued frames that were not written to the socket yet.
  std::size_t unsentBytes() const;
  /// Time at which bytes last arrived or the connection was made.
  Millis lastReceivedAt() const { return LastReceivedAt_; }

private:
  void createStream(int Socket);
  void readFrames();
  static void onReadable(bufferevent *, void *Self);
  static void onEvent(bufferevent *, short What, void *Self);

  EventLoop &Loop_;
  bufferevent *Stream_ = nullptr;
  bool Connected_ = false;
  Millis LastReceivedAt_ = 0;
  FrameHandler FrameHandler_;
  EndHandler EndHandler_;
};

/// Accepts connections from other hosts.
class PeerListener {
public:
  using AcceptHandler = std::function<void(std::unique_ptr<PeerLink> Link)>;
  PeerListener(EventLoop &Loop, AcceptHandler Accept)
      : Loop_(Loop), AcceptHandler_(std::move(Accept)) {}
  ~PeerListener();
  PeerListener(const PeerListener &) = delete;
  PeerListener &operator=(const PeerListener &) = delete;
  /// Returns false if the address cannot be bound.
  bool listen(const std::string &Ip, int Port);

private:
  static void onAccept(evconnlistener *, int Socket, sockaddr *, int,
                       void *Self);
  EventLoop &Loop_;
  AcceptHandler AcceptHandler_;
  evconnlistener *Listener_ = nullptr;
};

} // namespace oleandergauge::node

#endif // OLEANDERGAUGE_NODE_PEER_LINK_H
