#ifndef OLEANDERGAUGE_NODE_FRONT_H
#define OLEANDERGAUGE_NODE_FRONT_H

#include "cell/directory.h"
#include "node/context.h"
#include "node/http_server.h"

namespace oleandergauge::cell::pb {
class Forward;
class ForwardReply;
} // namespace oleandergauge::cell::pb

namespace oleandergauge::node {

/// Takes callers' requests, passes them to the owner and answers. A request
/// that has not reached an owner is refused as not run; one that may have is
/// sent again to the next owner, since a job's id makes that safe.
class Front {
public:
  /// Gives the request to the owner; false where none can be reached now.
  using Sender = std::function<bool(const cell::pb::Forward &Request)>;
  Front(Context &Shared, Sender ToOwner);

  void setDesiredState(std::shared_ptr<const cell::DesiredState> State) {
    State_ = std::move(State);
  }
  void serve(const std::shared_ptr<IncomingRequest> &Request);
  void handle(const cell::pb::ForwardReply &Reply);
  /// An owner can be reached: sends what waits.
  void ownerReady();
  /// What was sent to the owner may be lost.
  void ownerLost();
  /// Answers what has waited too long.
  void tick();
  /// Answers all that is open, and from now on refuses at once.
  void refuseAll();
  /// Further answers ask callers to connect elsewhere.
  void setDraining() { Draining_ = true; }
  std::size_t pending() const { return Pending_.size(); }

private:
  struct Pending;
  void answer(const std::shared_ptr<IncomingRequest> &To, int Status,
              const std::string &Body, bool RetryLater);
  void finish(std::uint64_t Token, int Status, const std::string &Body,
              bool RetryLater);
  void giveUp(std::uint64_t Token, const Pending &Late);

  Context &Shared_;
  Sender ToOwner_;
  std::shared_ptr<const cell::DesiredState> State_;
  std::map<std::uint64_t, std::shared_ptr<Pending>> Pending_;
  std::uint64_t NextToken_ = 1;
  bool Draining_ = false;
  bool Refusing_ = false;
};

} // namespace oleandergauge::node

#endif // OLEANDERGAUGE_NODE_FRONT_H
