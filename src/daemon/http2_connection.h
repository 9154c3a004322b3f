#ifndef OLEANDERGAUGE_DAEMON_HTTP2_CONNECTION_H
#define OLEANDERGAUGE_DAEMON_HTTP2_CONNECTION_H

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include <gio/gio.h>

#include "oleandergauge/base.h"

struct nghttp2_session;

namespace oleandergauge::daemon {

/// A complete request or reply was received. PathOrStatus_ is the path of a
/// request or the status of a reply.
struct Http2MessageReceived {
  std::int32_t Stream_ = 0;
  std::string PathOrStatus_;
  std::string Body_;
};

/// A stream was closed. Refused_ is true if the peer certainly did not handle
/// its request.
struct Http2StreamClosed {
  std::int32_t Stream_ = 0;
  bool Refused_ = false;
};

/// The connection ended. This is its last event.
struct Http2ConnectionClosed {};

using Http2Event = std::variant<Http2MessageReceived, Http2StreamClosed,
                                Http2ConnectionClosed>;

/// An HTTP/2 connection over cleartext TCP with prior knowledge, run by the
/// calling thread's main context. Events are delivered one at a time, from the
/// main loop or from within a member function.
class Http2Connection : public std::enable_shared_from_this<Http2Connection> {
public:
  enum class Role { Client, Server };
  using Handler = std::function<void(const Http2Event &)>;

  /// Starts a connection on \p Socket and keeps a reference to the socket. No
  /// event is delivered before open() returns.
  static std::shared_ptr<Http2Connection>
  open(GSocketConnection *Socket, Role ConnectionRole, Handler OnEvent);
  ~Http2Connection();
  Http2Connection(const Http2Connection &) = delete;
  Http2Connection &operator=(const Http2Connection &) = delete;

  /// Queues a POST request, which flush() sends, and returns its stream.
  /// Returns nullopt if the connection accepts no new streams.
  std::optional<std::int32_t> request(const std::string &Authority,
                                      const std::string &Path,
                                      std::string Body);
  /// Starts to write queued frames and delivers all pending events.
  void flush();
  /// Replies with status 200. Does nothing if the stream has ended or was
  /// replied to before.
  void reply(std::int32_t Stream, std::string Body);
  void cancel(std::int32_t Stream);
  /// Returns whether the stream's request may have been written to the socket.
  bool mayHaveBeenSent(std::int32_t Stream) const;
  /// Checks the peer after a request timed out. Sends a ping, or ends the
  /// connection if nothing was received since an earlier ping that was sent at
  /// least PingTimeout ago.
  void checkLiveness();
  /// Ends the connection without further events.
  void close();

private:
  struct Callbacks;
  struct Stream {
    std::string PathOrStatus_;
    std::string ReceivedBody_;
    std::string OutgoingBody_;
    std::size_t OutgoingOffset_ = 0;
    bool HeadersSent_ = false;
    bool Replied_ = false;
  };

  Http2Connection(GSocketConnection *Socket, Role ConnectionRole,
                  Handler OnEvent);
  void startSession();
  void startRead();
  void handleRead(gssize Size);
  void startWrite();
  void handleWritten(bool Ok);
  /// Marks the connection as closed and delivers Http2ConnectionClosed.
  void disconnect();

  GSocketConnection *Socket_;
  Role Role_;
  Handler OnEvent_;
  nghttp2_session *Session_ = nullptr;
  GCancellable *Cancellable_;
  std::map<std::int32_t, Stream> Streams_;
  std::deque<Http2Event> Events_;
  std::string ReadBuffer_;
  std::string WriteBuffer_;
  bool Writing_ = false;
  bool Flushing_ = false;
  bool Closed_ = false;
  TimePoint LastReadAt_;
  std::optional<TimePoint> PingSentAt_;
};

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_HTTP2_CONNECTION_H
