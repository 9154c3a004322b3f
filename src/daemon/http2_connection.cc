#include "daemon/http2_connection.h"

#include <algorithm>
#include <array>
#include <cstring>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nghttp2/nghttp2.h>

#include "daemon/peer_link.h"
#include "daemon/task.h"

namespace oleandergauge::daemon {
namespace {

constexpr std::size_t ReadBufferBytes = std::size_t{64} * 1024;
constexpr std::size_t WriteBufferBytes = std::size_t{256} * 1024;
// Large enough that heartbeats never wait for long-running requests to end.
constexpr std::uint32_t MaxConcurrentStreams = 65536;
// With the protocol's default window of 64 KiB, a large body would need a
// round trip for every 64 KiB.
constexpr std::int32_t StreamWindowBytes = 1024 * 1024;
constexpr std::int32_t ConnectionWindowBytes = 16 * 1024 * 1024;
constexpr Duration PingTimeout = std::chrono::milliseconds(1000);

nghttp2_nv header(const char *Name, const std::string &Value) {
  // nghttp2 copies the name and the value; only its type lacks the const.
  return {reinterpret_cast<std::uint8_t *>(const_cast<char *>(Name)),
          reinterpret_cast<std::uint8_t *>(const_cast<char *>(Value.data())),
          std::strlen(Name), Value.size(), NGHTTP2_NV_FLAG_NONE};
}

bool endsStream(const nghttp2_frame *Frame) {
  const bool MayEndStream =
      Frame->hd.type == NGHTTP2_DATA || Frame->hd.type == NGHTTP2_HEADERS;
  return MayEndStream && (Frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
}

/// Keeps the connection alive while an asynchronous operation is pending.
using ConnectionPtr = std::shared_ptr<Http2Connection>;

} // namespace

/// The callbacks of nghttp2 and GIO. They turn received frames into events.
struct Http2Connection::Callbacks {
  static Http2Connection &self(void *User) {
    return *static_cast<Http2Connection *>(User);
  }

  static int onBeginHeaders(nghttp2_session * /*Session*/,
                            const nghttp2_frame *Frame, void *User) {
    self(User).Streams_[Frame->hd.stream_id];
    return 0;
  }

  static int onHeader(nghttp2_session * /*Session*/, const nghttp2_frame *Frame,
                      const std::uint8_t *Name, std::size_t NameSize,
                      const std::uint8_t *Value, std::size_t ValueSize,
                      std::uint8_t /*Flags*/, void *User) {
    const std::string_view Key(reinterpret_cast<const char *>(Name), NameSize);
    if (Key == ":path" || Key == ":status")
      self(User).Streams_[Frame->hd.stream_id].PathOrStatus_.assign(
          reinterpret_cast<const char *>(Value), ValueSize);
    return 0;
  }

  static int onData(nghttp2_session *Session, std::uint8_t /*Flags*/,
                    std::int32_t Id, const std::uint8_t *Data, std::size_t Size,
                    void *User) {
    std::string &Body = self(User).Streams_[Id].ReceivedBody_;
    Body.append(reinterpret_cast<const char *>(Data), Size);
    if (Body.size() <= MaxPeerBody)
      return 0;
    Body.clear();
    const bool Server = self(User).Role_ == Role::Server;
    // The request handler has not seen the request, so a server may report it
    // as refused, which tells the client that nothing was done.
    return nghttp2_submit_rst_stream(Session, NGHTTP2_FLAG_NONE, Id,
                                     Server ? NGHTTP2_REFUSED_STREAM
                                            : NGHTTP2_CANCEL);
  }

  static int onFrame(nghttp2_session * /*Session*/, const nghttp2_frame *Frame,
                     void *User) {
    if (!endsStream(Frame))
      return 0;
    const auto Found = self(User).Streams_.find(Frame->hd.stream_id);
    if (Found == self(User).Streams_.end())
      return 0;
    self(User).Events_.emplace_back(Http2MessageReceived{
        Found->first, std::move(Found->second.PathOrStatus_),
        std::move(Found->second.ReceivedBody_)});
    return 0;
  }

  static int beforeSend(nghttp2_session * /*Session*/,
                        const nghttp2_frame *Frame, void *User) {
    if (Frame->hd.type == NGHTTP2_HEADERS)
      self(User).Streams_[Frame->hd.stream_id].HeadersSent_ = true;
    return 0;
  }

  static int onClose(nghttp2_session * /*Session*/, std::int32_t Id,
                     std::uint32_t ErrorCode, void *User) {
    self(User).Streams_.erase(Id);
    self(User).Events_.emplace_back(
        Http2StreamClosed{Id, ErrorCode == NGHTTP2_REFUSED_STREAM});
    return 0;
  }

  static ssize_t readBody(nghttp2_session * /*Session*/, std::int32_t Id,
                          std::uint8_t *Buffer, std::size_t Size,
                          std::uint32_t *Flags, nghttp2_data_source *Source,
                          void * /*User*/) {
    auto &Streams = static_cast<Http2Connection *>(Source->ptr)->Streams_;
    const auto Found = Streams.find(Id);
    if (Found == Streams.end())
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    Stream &Outgoing = Found->second;
    const std::size_t ChunkBytes = std::min(
        Size, Outgoing.OutgoingBody_.size() - Outgoing.OutgoingOffset_);
    std::copy_n(Outgoing.OutgoingBody_.data() + Outgoing.OutgoingOffset_,
                ChunkBytes, Buffer);
    Outgoing.OutgoingOffset_ += ChunkBytes;
    if (Outgoing.OutgoingOffset_ == Outgoing.OutgoingBody_.size())
      *Flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(ChunkBytes);
  }

  static void onRead(GObject *Input, GAsyncResult *Result, gpointer Data) {
    const std::unique_ptr<ConnectionPtr> Self(
        static_cast<ConnectionPtr *>(Data));
    (*Self)->handleRead(
        g_input_stream_read_finish(G_INPUT_STREAM(Input), Result, nullptr));
  }

  static void onWritten(GObject *Output, GAsyncResult *Result, gpointer Data) {
    const std::unique_ptr<ConnectionPtr> Self(
        static_cast<ConnectionPtr *>(Data));
    (*Self)->handleWritten(g_output_stream_write_all_finish(
        G_OUTPUT_STREAM(Output), Result, nullptr, nullptr));
  }
};

std::shared_ptr<Http2Connection>
Http2Connection::open(GSocketConnection *Socket, Role ConnectionRole,
                      Handler OnEvent) {
  std::shared_ptr<Http2Connection> Opened(
      new Http2Connection(Socket, ConnectionRole, std::move(OnEvent)));
  Opened->startSession();
  Opened->startRead();
  Opened->startWrite();
  return Opened;
}

Http2Connection::Http2Connection(GSocketConnection *Socket, Role ConnectionRole,
                                 Handler OnEvent)
    : Socket_(G_SOCKET_CONNECTION(g_object_ref(Socket))), Role_(ConnectionRole),
      OnEvent_(std::move(OnEvent)), Cancellable_(g_cancellable_new()),
      ReadBuffer_(ReadBufferBytes, '\0'), LastReadAt_(monotonicNow()) {
  GSocket *RawSocket = g_socket_connection_get_socket(Socket_);
  g_socket_set_option(RawSocket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  g_socket_set_timeout(RawSocket, 0);
}

Http2Connection::~Http2Connection() {
  nghttp2_session_del(Session_);
  g_io_stream_close(G_IO_STREAM(Socket_), nullptr, nullptr);
  g_object_unref(Socket_);
  g_object_unref(Cancellable_);
}

void Http2Connection::startSession() {
  nghttp2_session_callbacks *SessionCallbacks = nullptr;
  nghttp2_session_callbacks_new(&SessionCallbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(
      SessionCallbacks, Callbacks::onBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(SessionCallbacks,
                                                   Callbacks::onHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(SessionCallbacks,
                                                            Callbacks::onData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(SessionCallbacks,
                                                       Callbacks::onFrame);
  nghttp2_session_callbacks_set_before_frame_send_callback(
      SessionCallbacks, Callbacks::beforeSend);
  nghttp2_session_callbacks_set_on_stream_close_callback(SessionCallbacks,
                                                         Callbacks::onClose);
  if (Role_ == Role::Server)
    nghttp2_session_server_new(&Session_, SessionCallbacks, this);
  else
    nghttp2_session_client_new(&Session_, SessionCallbacks, this);
  nghttp2_session_callbacks_del(SessionCallbacks);
  const std::array<nghttp2_settings_entry, 2> Settings{
      {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaxConcurrentStreams},
       {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, StreamWindowBytes}}};
  nghttp2_submit_settings(Session_, NGHTTP2_FLAG_NONE, Settings.data(),
                          Settings.size());
  nghttp2_session_set_local_window_size(Session_, NGHTTP2_FLAG_NONE, 0,
                                        ConnectionWindowBytes);
}

void Http2Connection::startRead() {
  g_input_stream_read_async(g_io_stream_get_input_stream(G_IO_STREAM(Socket_)),
                            ReadBuffer_.data(), ReadBuffer_.size(),
                            G_PRIORITY_DEFAULT, Cancellable_, Callbacks::onRead,
                            new ConnectionPtr(shared_from_this()));
}

void Http2Connection::handleRead(gssize Size) {
  if (Closed_)
    return;
  if (Size <= 0)
    return disconnect();
  LastReadAt_ = monotonicNow();
  const auto *Data = reinterpret_cast<const std::uint8_t *>(ReadBuffer_.data());
  const ssize_t Used =
      nghttp2_session_mem_recv(Session_, Data, static_cast<std::size_t>(Size));
  if (Used < 0)
    return disconnect();
  startRead();
  flush();
}

void Http2Connection::startWrite() {
  if (Writing_ || Closed_)
    return;
  WriteBuffer_.clear();
  while (WriteBuffer_.size() < WriteBufferBytes) {
    const std::uint8_t *Data = nullptr;
    const ssize_t Size = nghttp2_session_mem_send(Session_, &Data);
    if (Size < 0)
      return disconnect();
    if (Size == 0)
      break;
    WriteBuffer_.append(reinterpret_cast<const char *>(Data),
                        static_cast<std::size_t>(Size));
  }
  if (WriteBuffer_.empty()) {
    if (nghttp2_session_want_read(Session_) == 0)
      disconnect();
    return;
  }
  Writing_ = true;
  g_output_stream_write_all_async(
      g_io_stream_get_output_stream(G_IO_STREAM(Socket_)), WriteBuffer_.data(),
      WriteBuffer_.size(), G_PRIORITY_DEFAULT, Cancellable_,
      Callbacks::onWritten, new ConnectionPtr(shared_from_this()));
}

void Http2Connection::handleWritten(bool Ok) {
  Writing_ = false;
  if (Closed_)
    return;
  if (!Ok)
    return disconnect();
  flush();
}

void Http2Connection::flush() {
  if (Flushing_)
    return;
  const ConnectionPtr Self = shared_from_this();
  Flushing_ = true;
  startWrite();
  while (!Events_.empty()) {
    const Http2Event Event = std::move(Events_.front());
    Events_.pop_front();
    // Calls a copy, since the handler may call close(), which clears OnEvent_.
    const Handler Deliver = OnEvent_;
    if (Deliver)
      Deliver(Event);
    startWrite();
  }
  Flushing_ = false;
  if (Closed_)
    OnEvent_ = nullptr;
}

void Http2Connection::disconnect() {
  if (Closed_)
    return;
  Closed_ = true;
  g_cancellable_cancel(Cancellable_);
  Events_.emplace_back(Http2ConnectionClosed{});
  flush();
}

std::optional<std::int32_t>
Http2Connection::request(const std::string &Authority, const std::string &Path,
                         std::string Body) {
  if (Closed_ || nghttp2_session_check_request_allowed(Session_) == 0)
    return std::nullopt;
  const std::string Method = "POST";
  const std::string Scheme = "http";
  const std::array<nghttp2_nv, 4> Headers{
      header(":method", Method), header(":scheme", Scheme),
      header(":authority", Authority), header(":path", Path)};
  nghttp2_data_provider Source{};
  Source.source.ptr = this;
  Source.read_callback = Callbacks::readBody;
  const std::int32_t Id = nghttp2_submit_request(
      Session_, nullptr, Headers.data(), Headers.size(), &Source, nullptr);
  if (Id < 0)
    return std::nullopt;
  Streams_[Id].OutgoingBody_ = std::move(Body);
  return Id;
}

void Http2Connection::reply(std::int32_t Id, std::string Body) {
  const auto Found = Streams_.find(Id);
  if (Closed_ || Found == Streams_.end() || Found->second.Replied_)
    return;
  Found->second.Replied_ = true;
  Found->second.OutgoingBody_ = std::move(Body);
  const std::string Status = "200";
  const std::array<nghttp2_nv, 1> Headers{header(":status", Status)};
  nghttp2_data_provider Source{};
  Source.source.ptr = this;
  Source.read_callback = Callbacks::readBody;
  nghttp2_submit_response(Session_, Id, Headers.data(), Headers.size(),
                          &Source);
  flush();
}

void Http2Connection::cancel(std::int32_t Id) {
  if (Closed_)
    return;
  nghttp2_submit_rst_stream(Session_, NGHTTP2_FLAG_NONE, Id, NGHTTP2_CANCEL);
  flush();
}

bool Http2Connection::mayHaveBeenSent(std::int32_t Id) const {
  const auto Found = Streams_.find(Id);
  return Found == Streams_.end() || Found->second.HeadersSent_;
}

void Http2Connection::checkLiveness() {
  if (Closed_)
    return;
  const TimePoint Now = monotonicNow();
  const bool PingPending = PingSentAt_ && LastReadAt_ < *PingSentAt_;
  if (PingPending && Now - *PingSentAt_ >= PingTimeout)
    return disconnect();
  if (PingPending)
    return;
  PingSentAt_ = Now;
  nghttp2_submit_ping(Session_, NGHTTP2_FLAG_NONE, nullptr);
  flush();
}

void Http2Connection::close() {
  Closed_ = true;
  OnEvent_ = nullptr;
  g_cancellable_cancel(Cancellable_);
}

} // namespace oleandergauge::daemon
