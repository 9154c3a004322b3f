#include <algorithm>
#include <list>
#include <map>
#include <utility>
#include <vector>

#include "daemon/http2_connection.h"
#include "daemon/peer_link.h"

namespace oleandergauge::daemon {
namespace {

// A peer that has not accepted the connection after this time is considered
// unreachable. Requests with a shorter timeout end earlier.
constexpr guint ConnectTimeoutSeconds = 2;

using Completion = std::function<void(const PeerReply &)>;

/// A request from its start to its completion.
struct Request {
  std::string Path_;
  std::string Body_;
  Completion Done_;
  GSource *Timer_ = nullptr;

  Request() = default;
  Request(const Request &) = delete;
  Request &operator=(const Request &) = delete;
  ~Request() { stopTimer(); }

  void stopTimer() {
    if (!Timer_)
      return;
    g_source_destroy(Timer_);
    g_source_unref(Timer_);
    Timer_ = nullptr;
  }

  void finish(const PeerReply &Reply) {
    stopTimer();
    const Completion Done = std::exchange(Done_, nullptr);
    if (Done)
      Done(Reply);
  }
};

using RequestPtr = std::shared_ptr<Request>;

/// A connection to a peer, from the attempt to connect to its end.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
public:
  explicit PeerConnection(std::string Address) : Address_(std::move(Address)) {}
  PeerConnection(const PeerConnection &) = delete;
  PeerConnection &operator=(const PeerConnection &) = delete;
  ~PeerConnection() { g_object_unref(Cancellable_); }

  void connect();
  /// Sends the request or queues it until the connection is established.
  /// Returns false if the connection accepts no new requests.
  bool add(const RequestPtr &NewRequest);
  void expire(const RequestPtr &Expired);
  bool isClosed() const { return Closed_; }
  /// Ends the connection without running the completions of its requests.
  void dropAll();

private:
  static void onConnected(GObject *Client, GAsyncResult *Result, gpointer Data);
  void handleConnected(GSocketConnection *Socket);
  bool sendOnConnection(const RequestPtr &NewRequest);
  void handle(const Http2Event &Event);
  void finishStream(std::int32_t Stream, const PeerReply &Reply);
  void handleDisconnect();

  std::string Address_;
  GCancellable *Cancellable_ = g_cancellable_new();
  std::shared_ptr<Http2Connection> Connection_;
  std::list<RequestPtr> Queued_; ///< Requests that wait for the connection.
  std::map<std::int32_t, RequestPtr> InFlight_;
  bool Closed_ = false;
};

void PeerConnection::connect() {
  GSocketClient *Client = g_socket_client_new();
  g_socket_client_set_enable_proxy(Client, FALSE);
  g_socket_client_set_timeout(Client, ConnectTimeoutSeconds);
  g_socket_client_connect_to_host_async(
      Client, Address_.c_str(), 0, Cancellable_, onConnected,
      new std::shared_ptr<PeerConnection>(shared_from_this()));
  g_object_unref(Client);
}

void PeerConnection::onConnected(GObject *Client, GAsyncResult *Result,
                                 gpointer Data) {
  const std::unique_ptr<std::shared_ptr<PeerConnection>> Self(
      static_cast<std::shared_ptr<PeerConnection> *>(Data));
  GSocketConnection *Socket = g_socket_client_connect_to_host_finish(
      G_SOCKET_CLIENT(Client), Result, nullptr);
  (*Self)->handleConnected(Socket);
  g_clear_object(&Socket);
}

void PeerConnection::handleConnected(GSocketConnection *Socket) {
  if (Closed_)
    return;
  if (!Socket)
    return handleDisconnect();
  Connection_ =
      Http2Connection::open(Socket, Http2Connection::Role::Client,
                            [Weak = weak_from_this()](const Http2Event &Event) {
                              if (const auto Self = Weak.lock())
                                Self->handle(Event);
                            });
  const std::list<RequestPtr> Ready = std::exchange(Queued_, {});
  for (const RequestPtr &NewRequest : Ready)
    if (!sendOnConnection(NewRequest))
      NewRequest->finish({PeerOutcome::NotSent, {}});
  if (Connection_)
    Connection_->flush();
}

bool PeerConnection::add(const RequestPtr &NewRequest) {
  if (Closed_)
    return false;
  if (!Connection_) {
    Queued_.push_back(NewRequest);
    return true;
  }
  if (!sendOnConnection(NewRequest))
    return false;
  Connection_->flush();
  return true;
}

bool PeerConnection::sendOnConnection(const RequestPtr &NewRequest) {
  if (!Connection_)
    return false;
  const auto Stream =
      Connection_->request(Address_, NewRequest->Path_, NewRequest->Body_);
  if (!Stream)
    return false;
  NewRequest->Body_.clear();
  InFlight_[*Stream] = NewRequest;
  return true;
}

void PeerConnection::expire(const RequestPtr &Expired) {
  if (std::erase(Queued_, Expired) > 0)
    return Expired->finish({PeerOutcome::NotSent, {}});
  const auto Found = std::find_if(
      InFlight_.begin(), InFlight_.end(),
      [&Expired](const auto &Entry) { return Entry.second == Expired; });
  if (Found == InFlight_.end())
    return;
  const std::int32_t Stream = Found->first;
  const bool MayBeSent = Connection_->mayHaveBeenSent(Stream);
  InFlight_.erase(Found);
  const std::shared_ptr<Http2Connection> Connection = Connection_;
  Connection->cancel(Stream);
  Connection->checkLiveness();
  Expired->finish(
      {MayBeSent ? PeerOutcome::Unknown : PeerOutcome::NotSent, {}});
}

void PeerConnection::handle(const Http2Event &Event) {
  if (const auto *Reply = std::get_if<Http2MessageReceived>(&Event)) {
    const bool IsSuccess = Reply->PathOrStatus_ == "200";
    finishStream(Reply->Stream_,
                 {IsSuccess ? PeerOutcome::Answered : PeerOutcome::Unknown,
                  IsSuccess ? Reply->Body_ : std::string()});
  } else if (const auto *Closed = std::get_if<Http2StreamClosed>(&Event)) {
    finishStream(
        Closed->Stream_,
        {Closed->Refused_ ? PeerOutcome::NotSent : PeerOutcome::Unknown, {}});
  } else {
    handleDisconnect();
  }
}

void PeerConnection::finishStream(std::int32_t Stream, const PeerReply &Reply) {
  const auto Found = InFlight_.find(Stream);
  if (Found == InFlight_.end())
    return;
  const RequestPtr Fired = Found->second;
  InFlight_.erase(Found);
  Fired->finish(Reply);
}

void PeerConnection::handleDisconnect() {
  const auto Self = shared_from_this();
  Closed_ = true;
  const std::list<RequestPtr> Queued = std::exchange(Queued_, {});
  const std::map<std::int32_t, RequestPtr> Sent = std::exchange(InFlight_, {});
  const std::shared_ptr<Http2Connection> Connection =
      std::exchange(Connection_, nullptr);
  for (const RequestPtr &Lost : Queued)
    Lost->finish({PeerOutcome::NotSent, {}});
  for (const auto &[Stream, Lost] : Sent) {
    const bool MayBeSent = Connection->mayHaveBeenSent(Stream);
    Lost->finish({MayBeSent ? PeerOutcome::Unknown : PeerOutcome::NotSent, {}});
  }
}

void PeerConnection::dropAll() {
  Closed_ = true;
  g_cancellable_cancel(Cancellable_);
  for (const RequestPtr &Dropped : Queued_)
    Dropped->Done_ = nullptr;
  for (const auto &[Stream, Dropped] : InFlight_)
    Dropped->Done_ = nullptr;
  if (Connection_)
    Connection_->close();
}

/// The request of a timer and its connection. The references are weak, since
/// both may end before the timer fires.
struct TimerTarget {
  std::weak_ptr<PeerConnection> PeerConnection_;
  std::weak_ptr<Request> Request_;
};

gboolean onTimeout(gpointer Data) {
  const auto *Fired = static_cast<TimerTarget *>(Data);
  const auto Peer = Fired->PeerConnection_.lock();
  const auto Expired = Fired->Request_.lock();
  if (Peer && Expired)
    Peer->expire(Expired);
  return G_SOURCE_REMOVE;
}

void freeTimerTarget(gpointer Data) { delete static_cast<TimerTarget *>(Data); }

void startTimer(const std::shared_ptr<PeerConnection> &Peer,
                const RequestPtr &Outgoing, Duration Timeout) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const auto Millis = duration_cast<milliseconds>(Timeout).count();
  Outgoing->Timer_ = g_timeout_source_new(static_cast<guint>(Millis));
  g_source_set_callback(Outgoing->Timer_, onTimeout,
                        new TimerTarget{Peer, Outgoing}, freeTimerTarget);
  g_source_attach(Outgoing->Timer_, g_main_context_get_thread_default());
}

} // namespace

struct PeerClient::State {
  std::map<std::string, std::shared_ptr<PeerConnection>> PeerConnections_;
  /// Connections that accept no new requests but still wait for replies.
  std::vector<std::shared_ptr<PeerConnection>> Closing_;
};

PeerClient::PeerClient() : State_(std::make_unique<State>()) {}

PeerClient::~PeerClient() {
  for (const auto &[Address, Peer] : State_->PeerConnections_)
    Peer->dropAll();
  for (const auto &Peer : State_->Closing_)
    Peer->dropAll();
}

void PeerClient::request(const std::string &Address, const std::string &Path,
                         std::string Body, Duration Timeout,
                         std::function<void(const PeerReply &)> Done) {
  if (Body.size() > MaxPeerBody)
    return Done({PeerOutcome::NotSent, {}});
  auto Outgoing = std::make_shared<Request>();
  Outgoing->Path_ = Path;
  Outgoing->Body_ = std::move(Body);
  Outgoing->Done_ = std::move(Done);
  std::erase_if(State_->Closing_,
                [](const auto &Closing) { return Closing->isClosed(); });
  std::shared_ptr<PeerConnection> &Peer = State_->PeerConnections_[Address];
  if (Peer) {
    startTimer(Peer, Outgoing, Timeout);
    if (Peer->add(Outgoing))
      return;
    Outgoing->stopTimer();
    State_->Closing_.push_back(Peer);
  }
  Peer = std::make_shared<PeerConnection>(Address);
  startTimer(Peer, Outgoing, Timeout);
  Peer->add(Outgoing);
  Peer->connect();
}

} // namespace oleandergauge::daemon
