#ifndef OLEANDERGAUGE_NODE_FRONT_H
#define OLEANDERGAUGE_NODE_FRONT_H

#include "cell/directory.h"
#include "cell/request_copies.h"
#include "node/context.h"
#include "node/http_server.h"

namespace oleandergauge::cell::pb {
class Forward;
class ForwardReply;
} // namespace oleandergauge::cell::pb

namespace oleandergauge::node {

/// The front end: accepts callers' requests, forwards them to the owner and
/// answers. A request that no owner has received in time is refused as not run.
/// A request that an owner may have carried out is sent again to the next
/// owner; this is safe because requests are idempotent by job id. A refusal is
/// passed on only if it holds for all copies that were sent.
class FrontEnd {
public:
  /// Sends a request to the owner and returns the owner's epoch, or none if no
  /// owner is reachable.
  using RequestSender =
      std::function<std::optional<Epoch>(const cell::pb::Forward &Request)>;
  FrontEnd(HostContext &Context, RequestSender SendToOwner);

  void setDesiredState(std::shared_ptr<const cell::DesiredState> State) {
    DesiredState_ = std::move(State);
  }
  void handleRequest(const std::shared_ptr<IncomingRequest> &Request);
  void handleReply(const cell::pb::ForwardReply &Reply);
  /// Sends all waiting requests; called while an owner is reachable.
  void sendPending();
  /// Marks the requests sent to the owner as possibly carried out and to be
  /// sent again.
  void markOwnerLost();
  /// Answers the requests that have waited too long.
  void answerOverdue();
  /// Answers all open requests, and refuses new ones from now on.
  void refuseAll();
  /// From now on answers close the connection, so that callers reconnect to
  /// another host.
  void setDraining() { Draining_ = true; }
  std::size_t pendingCount() const { return Pending_.size(); }

private:
  struct PendingRequest;
  void sendCopy(const std::shared_ptr<PendingRequest> &Waiting);
  void sendAnswer(const std::shared_ptr<IncomingRequest> &To, int Status,
                  const std::string &Body, bool RetryLater,
                  Millis RetryAfter = 0);
  void finishRequest(std::uint64_t Token, int Status, const std::string &Body,
                     bool RetryLater, Millis RetryAfter = 0);
  void answerUnknownOutcome(std::uint64_t Token, bool RetryLater,
                            Millis RetryAfter);
  void answerUnfinished(std::uint64_t Token, const PendingRequest &Late);

  HostContext &Context_;
  RequestSender SendToOwner_;
  std::shared_ptr<const cell::DesiredState> DesiredState_;
  /// By the token of the last copy.
  std::map<std::uint64_t, std::shared_ptr<PendingRequest>> Pending_;
  std::uint64_t NextToken_ = 1; ///< Of a copy.
  std::uint64_t NextRequest_;   ///< The same in all copies of a request.
  bool Draining_ = false;
  bool Refusing_ = false;
};

} // namespace oleandergauge::node

#endif // OLEANDERGAUGE_NODE_FRONT_H
