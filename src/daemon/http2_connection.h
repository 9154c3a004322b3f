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

/// A whole request (Head_ is the path) or reply (Head_ is the status) came.
struct Http2Received {
  std::int32_t Stream_ = 0;
  std::string Head_;
  std::string Body_;
};

/// A stream ended. Refused_ says that the peer certainly did not handle it.
struct Http2StreamClosed {
  std::int32_t Stream_ = 0;
  bool Refused_ = false;
};

/// The connection ended; no event follows.
struct Http2Broken {};

using Http2Event = std::variant<Http2Received, Http2StreamClosed, Http2Broken>;

/// One HTTP/2 connection over TCP with prior knowledge, on the calling
/// thread's main context. Events come from the main loop or from within a
/// call of the connection, one at a time.
class Http2Connection : public std::enable_shared_from_this<Http2Connection> {
public:
  enum class Role { Client, Server };
  using Handler = std::function<void(const Http2Event &)>;

  /// Takes a reference on \p Socket. Events begin after return.
  static std::shared_ptr<Http2Connection> open(GSocketConnection *Socket,
                                               Role Side, Handler OnEvent);
  ~Http2Connection();
  Http2Connection(const Http2Connection &) = delete;
  Http2Connection &operator=(const Http2Connection &) = delete;

  /// Queues a POST until flush() and returns its stream; empty where the
  /// connection takes no new streams.
  std::optional<std::int32_t> request(const std::string &Authority,
                                      const std::string &Path,
                                      std::string Body);
  /// Writes what is queued and delivers events, until nothing is left to do.
  void flush();
  /// Answers with status 200. Does nothing where the stream has ended.
  void reply(std::int32_t Stream, std::string Body);
  void cancel(std::int32_t Stream);
  /// True where the stream's request may have reached the socket.
  bool written(std::int32_t Stream) const;
  /// To be called after a timeout: pings the peer, and breaks the connection
  /// where an earlier ping had no answer for PingPatience.
  void probe();
  /// Ends the connection without further events.
  void close();

private:
  struct Callbacks;
  struct Stream {
    std::string Head_;
    std::string In_;
    std::string Out_;
    std::size_t OutDone_ = 0;
    bool Written_ = false;
    bool Replied_ = false;
  };

  Http2Connection(GSocketConnection *Socket, Role Side, Handler OnEvent);
  void startSession();
  void startRead();
  void noteRead(gssize Size);
  void startWrite();
  void noteWritten(bool Ok);
  void breakOff();

  GSocketConnection *Socket_;
  Role Side_;
  Handler OnEvent_;
  nghttp2_session *Session_ = nullptr;
  GCancellable *Cancellable_;
  std::map<std::int32_t, Stream> Streams_;
  std::deque<Http2Event> Events_;
  std::string ReadBuffer_;
  std::string WriteBuffer_;
  bool Writing_ = false;
  bool Flushing_ = false;
  bool Broken_ = false;
  TimePoint ReadAt_;
  std::optional<TimePoint> PingAt_;
};

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_HTTP2_CONNECTION_H
