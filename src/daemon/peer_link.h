#ifndef OLEANDERGAUGE_DAEMON_PEER_LINK_H
#define OLEANDERGAUGE_DAEMON_PEER_LINK_H

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "oleandergauge/base.h"

namespace oleandergauge::daemon {

/// How a request to a peer ended.
enum class PeerOutcome {
  Answered,
  NotSent, ///< The peer certainly did not handle the request.
  Unknown  ///< The request may have been handled; no reply was received.
};

struct PeerReply {
  PeerOutcome Outcome_ = PeerOutcome::Unknown;
  std::string Body_;
  friend bool operator==(const PeerReply &, const PeerReply &) = default;
};

/// Replies to one request. It may be called later, once, and only on the
/// server's thread.
using PeerResponder = std::function<void(std::string Body)>;
using PeerHandler = std::function<void(
    const std::string &Path, const std::string &Body, PeerResponder Respond)>;

/// Serves requests of other entry hosts over HTTP/2 on cleartext TCP, one POST
/// for each message with a body of at most MaxPeerBody bytes. It must be
/// created and used on one task's thread.
class PeerServer {
public:
  /// Listens on \p Address ("ip:port"); throws std::runtime_error if it cannot
  /// be bound.
  PeerServer(const std::string &Address, PeerHandler Handler);
  ~PeerServer();

private:
  struct State;
  std::unique_ptr<State> State_;
};

/// Sends requests to other entry hosts. It opens one connection per peer when
/// needed and multiplexes the requests on it. It must be created and used on
/// one task's thread.
class PeerClient {
public:
  PeerClient();
  ~PeerClient();
  void request(const std::string &Address, const std::string &Path,
               std::string Body, Duration Timeout,
               std::function<void(const PeerReply &)> Done);

private:
  struct State;
  std::unique_ptr<State> State_;
};

inline constexpr std::size_t MaxPeerBody = 8 * 1024 * 1024;

/// Request paths of the messages in schema/peer.proto.
inline constexpr const char *HeartbeatPath = "/peer/heartbeat";
inline constexpr const char *ForwardPath = "/peer/forward";

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_PEER_LINK_H
