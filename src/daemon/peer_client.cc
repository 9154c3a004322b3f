#include <algorithm>
#include <list>
#include <map>
#include <utility>
#include <vector>

#include "daemon/http2_connection.h"
#include "daemon/peer_link.h"

namespace oleandergauge::daemon {
namespace {

// A peer that does not take the connection by then is not there. Requests with
// a shorter timeout end before.
constexpr guint ConnectTimeoutSeconds = 2;

using Completion = std::function<void(const PeerReply &)>;

/// One request from its start to its completion.
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

/// One connection to a peer, from the attempt to connect to its end.
class Link : public std::enable_shared_from_this<Link> {
public:
  explicit Link(std::string Address) : Address_(std::move(Address)) {}
  Link(const Link &) = delete;
  Link &operator=(const Link &) = delete;
  ~Link() { g_object_unref(Cancellable_); }

  void connect();
  /// False where this link takes no new requests.
  bool add(const RequestPtr &Added);
  void expire(const RequestPtr &Expired);
  bool ended() const { return Ended_; }
  /// Drops all requests without completion.
  void drop();

private:
  static void onConnected(GObject *Client, GAsyncResult *Result, gpointer Data);
  void noteConnected(GSocketConnection *Socket);
  bool submit(const RequestPtr &Added);
  void handle(const Http2Event &Event);
  void finishStream(std::int32_t Stream, const PeerReply &Reply);
  void noteBroken();

  std::string Address_;
  GCancellable *Cancellable_ = g_cancellable_new();
  std::shared_ptr<Http2Connection> Connection_;
  std::list<RequestPtr> Waiting_; ///< For the connection.
  std::map<std::int32_t, RequestPtr> Sent_;
  bool Ended_ = false;
};

void Link::connect() {
  GSocketClient *Client = g_socket_client_new();
  g_socket_client_set_enable_proxy(Client, FALSE);
  g_socket_client_set_timeout(Client, ConnectTimeoutSeconds);
  g_socket_client_connect_to_host_async(
      Client, Address_.c_str(), 0, Cancellable_, onConnected,
      new std::shared_ptr<Link>(shared_from_this()));
  g_object_unref(Client);
}

void Link::onConnected(GObject *Client, GAsyncResult *Result, gpointer Data) {
  const std::unique_ptr<std::shared_ptr<Link>> Self(
      static_cast<std::shared_ptr<Link> *>(Data));
  GSocketConnection *Socket = g_socket_client_connect_to_host_finish(
      G_SOCKET_CLIENT(Client), Result, nullptr);
  (*Self)->noteConnected(Socket);
  g_clear_object(&Socket);
}

void Link::noteConnected(GSocketConnection *Socket) {
  if (Ended_)
    return;
  if (!Socket)
    return noteBroken();
  Connection_ =
      Http2Connection::open(Socket, Http2Connection::Role::Client,
                            [Weak = weak_from_this()](const Http2Event &Event) {
                              if (const auto Self = Weak.lock())
                                Self->handle(Event);
                            });
  const std::list<RequestPtr> Ready = std::exchange(Waiting_, {});
  for (const RequestPtr &Added : Ready)
    if (!submit(Added))
      Added->finish({PeerOutcome::NotSent, {}});
  if (Connection_)
    Connection_->flush();
}

bool Link::add(const RequestPtr &Added) {
  if (Ended_)
    return false;
  if (!Connection_) {
    Waiting_.push_back(Added);
    return true;
  }
  if (!submit(Added))
    return false;
  Connection_->flush();
  return true;
}

bool Link::submit(const RequestPtr &Added) {
  if (!Connection_)
    return false;
  const auto Stream =
      Connection_->request(Address_, Added->Path_, Added->Body_);
  if (!Stream)
    return false;
  Added->Body_.clear();
  Sent_[*Stream] = Added;
  return true;
}

void Link::expire(const RequestPtr &Expired) {
  if (std::erase(Waiting_, Expired) > 0)
    return Expired->finish({PeerOutcome::NotSent, {}});
  const auto Found =
      std::find_if(Sent_.begin(), Sent_.end(), [&Expired](const auto &Entry) {
        return Entry.second == Expired;
      });
  if (Found == Sent_.end())
    return;
  const std::int32_t Stream = Found->first;
  const bool Written = Connection_->written(Stream);
  Sent_.erase(Found);
  const std::shared_ptr<Http2Connection> Connection = Connection_;
  Connection->cancel(Stream);
  Connection->probe();
  Expired->finish({Written ? PeerOutcome::Unknown : PeerOutcome::NotSent, {}});
}

void Link::handle(const Http2Event &Event) {
  if (const auto *Reply = std::get_if<Http2Received>(&Event)) {
    const bool Ok = Reply->Head_ == "200";
    finishStream(Reply->Stream_,
                 {Ok ? PeerOutcome::Answered : PeerOutcome::Unknown,
                  Ok ? Reply->Body_ : std::string()});
  } else if (const auto *Closed = std::get_if<Http2StreamClosed>(&Event)) {
    finishStream(
        Closed->Stream_,
        {Closed->Refused_ ? PeerOutcome::NotSent : PeerOutcome::Unknown, {}});
  } else {
    noteBroken();
  }
}

void Link::finishStream(std::int32_t Stream, const PeerReply &Reply) {
  const auto Found = Sent_.find(Stream);
  if (Found == Sent_.end())
    return;
  const RequestPtr Ended = Found->second;
  Sent_.erase(Found);
  Ended->finish(Reply);
}

void Link::noteBroken() {
  const auto Self = shared_from_this();
  Ended_ = true;
  const std::list<RequestPtr> Waiting = std::exchange(Waiting_, {});
  const std::map<std::int32_t, RequestPtr> Sent = std::exchange(Sent_, {});
  const std::shared_ptr<Http2Connection> Connection =
      std::exchange(Connection_, nullptr);
  for (const RequestPtr &Lost : Waiting)
    Lost->finish({PeerOutcome::NotSent, {}});
  for (const auto &[Stream, Lost] : Sent) {
    const bool Written = Connection->written(Stream);
    Lost->finish({Written ? PeerOutcome::Unknown : PeerOutcome::NotSent, {}});
  }
}

void Link::drop() {
  Ended_ = true;
  g_cancellable_cancel(Cancellable_);
  for (const RequestPtr &Dropped : Waiting_)
    Dropped->Done_ = nullptr;
  for (const auto &[Stream, Dropped] : Sent_)
    Dropped->Done_ = nullptr;
  if (Connection_)
    Connection_->close();
}

/// Where a timer finds its request; kept weak, as both may end before.
struct Expiry {
  std::weak_ptr<Link> Link_;
  std::weak_ptr<Request> Request_;
};

gboolean onExpiry(gpointer Data) {
  const auto *Ended = static_cast<Expiry *>(Data);
  const auto Carrier = Ended->Link_.lock();
  const auto Expired = Ended->Request_.lock();
  if (Carrier && Expired)
    Carrier->expire(Expired);
  return G_SOURCE_REMOVE;
}

void freeExpiry(gpointer Data) { delete static_cast<Expiry *>(Data); }

void startTimer(const std::shared_ptr<Link> &Carrier, const RequestPtr &Started,
                Duration Timeout) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const auto Millis = duration_cast<milliseconds>(Timeout).count();
  Started->Timer_ = g_timeout_source_new(static_cast<guint>(Millis));
  g_source_set_callback(Started->Timer_, onExpiry, new Expiry{Carrier, Started},
                        freeExpiry);
  g_source_attach(Started->Timer_, g_main_context_get_thread_default());
}

} // namespace

struct PeerClient::State {
  std::map<std::string, std::shared_ptr<Link>> Links_;
  /// Take no new requests but still wait for answers.
  std::vector<std::shared_ptr<Link>> Closing_;
};

PeerClient::PeerClient() : State_(std::make_unique<State>()) {}

PeerClient::~PeerClient() {
  for (const auto &[Address, Carrier] : State_->Links_)
    Carrier->drop();
  for (const auto &Carrier : State_->Closing_)
    Carrier->drop();
}

void PeerClient::request(const std::string &Address, const std::string &Path,
                         std::string Body, Duration Timeout,
                         std::function<void(const PeerReply &)> Done) {
  if (Body.size() > MaxPeerBody)
    return Done({PeerOutcome::NotSent, {}});
  auto Started = std::make_shared<Request>();
  Started->Path_ = Path;
  Started->Body_ = std::move(Body);
  Started->Done_ = std::move(Done);
  std::erase_if(State_->Closing_, [](const auto &Old) { return Old->ended(); });
  std::shared_ptr<Link> &Carrier = State_->Links_[Address];
  if (Carrier) {
    startTimer(Carrier, Started, Timeout);
    if (Carrier->add(Started))
      return;
    Started->stopTimer();
    State_->Closing_.push_back(Carrier);
  }
  Carrier = std::make_shared<Link>(Address);
  startTimer(Carrier, Started, Timeout);
  Carrier->add(Started);
  Carrier->connect();
}

} // namespace oleandergauge::daemon
