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
  NotSent, ///< Certainly not handled by the peer.
  Unknown  ///< Sent without an answer.
};

struct PeerReply {
  PeerOutcome Outcome_ = PeerOutcome::Unknown;
  std::string Body_;
  friend bool operator==(const PeerReply &, const PeerReply &) = default;
};

/// Answers one request; may be called later, from the link's thread, once.
using PeerResponder = std::function<void(std::string Body)>;
using PeerHandler = std::function<void(
    const std::string &Path, const std::string &Body, PeerResponder Respond)>;

/// Accepts streams from other entry hosts: HTTP/2 over TCP by nghttp2, one
/// POST a message. Made and used on one task's thread. A body is at most
/// MaxPeerBody.
class PeerServer {
public:
  /// Throws std::runtime_error where the address ("ip:port") cannot be bound.
  PeerServer(const std::string &Address, PeerHandler Handler);
  ~PeerServer();

private:
  struct State;
  std::unique_ptr<State> State_;
};

/// Sends requests to other entry hosts, one connection a peer, opened when
/// needed, many streams at a time. Made and used on one task's thread.
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

/// Paths of the messages in schema/peer.proto.
inline constexpr const char *HeartbeatPath = "/peer/heartbeat";
inline constexpr const char *ForwardPath = "/peer/forward";

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_PEER_LINK_H
