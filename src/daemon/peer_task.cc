#include "daemon/peer_task.h"

#include <utility>

#include "daemon/forwarding.h"

namespace oleandergauge::daemon {
namespace {

constexpr Duration WaiterCheckInterval = std::chrono::seconds(10);
/// How long a reply is awaited. Longer than any request can take, which the
/// setting call-timeout-ms limits to 15 minutes.
constexpr Duration WaiterTimeout = std::chrono::minutes(20);

Refusal unknownPath() {
  return {Verdict::NotRun, RefusalReason::InvalidRequest,
          "this host knows no such message", Duration(0)};
}

} // namespace

PeerTask::PeerTask(TaskThread &Thread, const Settings &Options,
                   PeerTaskOutputs Outputs)
    : Thread_(Thread), Options_(Options), Outputs_(std::move(Outputs)) {}

void PeerTask::start() {
  Server_ = std::make_unique<PeerServer>(
      Options_.PeerListen_,
      [this](const std::string &Path, const std::string &Body,
             PeerResponder Respond) {
        handleRequest(Path, Body, std::move(Respond));
      });
  Thread_.runEvery(WaiterCheckInterval, [this] { dropExpiredWaiters(); });
}

void PeerTask::handle(const PeerTaskMessage &Message) {
  std::visit([this](const auto &Content) { process(Content); }, Message);
}

void PeerTask::handleRequest(const std::string &Path, const std::string &Body,
                             PeerResponder Respond) {
  if (Path == HeartbeatPath) {
    Token Id = NextToken_++;
    Waiters_[Id] = {std::move(Respond), monotonicNow()};
    Outputs_.Config_(HeartbeatReceived{Id, Body});
    return;
  }
  Result<codec::Forward> Forwarded = tl::unexpected(unknownPath());
  if (Path == ForwardPath)
    Forwarded = codec::decodeForward(Body);
  if (!Forwarded) {
    Respond(codec::encodeForwardReply(tl::unexpected(Forwarded.error())));
    return;
  }
  Token Id = NextToken_++;
  Waiters_[Id] = {std::move(Respond), monotonicNow()};
  Outputs_.Partitions_(unpackForward(*Forwarded, Id));
}

void PeerTask::process(const HomeRequestAnswered &Answer) {
  respond(Answer.Token_, codec::encodeForwardReply(Answer.Answer_));
}

void PeerTask::process(const HeartbeatAnswered &Answer) {
  respond(Answer.Token_, Answer.Body_);
}

void PeerTask::respond(Token Id, const std::string &Body) {
  auto Found = Waiters_.find(Id);
  if (Found == Waiters_.end())
    return;
  PeerResponder Respond = std::move(Found->second.Respond_);
  Waiters_.erase(Found);
  Respond(Body);
}

/// Drops requests whose sender has certainly stopped waiting for the reply.
void PeerTask::dropExpiredWaiters() {
  TimePoint Now = monotonicNow();
  for (auto It = Waiters_.begin(); It != Waiters_.end();) {
    if (Now - It->second.ReceivedAt_ < WaiterTimeout) {
      ++It;
      continue;
    }
    Outputs_.Partitions_(HomeRequestAbandoned{Requester::Peer, It->first});
    It = Waiters_.erase(It);
  }
}

} // namespace oleandergauge::daemon
