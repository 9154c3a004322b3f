#include "node/advice_client.h"

#include "worker_calls.h"

namespace oleandergauge::node {
namespace {

/// The service serves one call at a time; the others wait there.
constexpr std::size_t MaxConnections = 3;
/// Subtracted from the validity of tickets, for the latency of the answer and
/// of the start order that carries the ticket.
constexpr Millis TicketValidityMargin = 80;

} // namespace

AdviceClient::AdviceClient(EventLoop &Loop, const std::string &Address)
    : Loop_(Loop) {
  if (!Address.empty())
    Pool_ = std::make_unique<HttpConnectionPool>(Loop, Address, MaxConnections);
}

void AdviceClient::requestAdvice(const cell::AskAdvice &Request,
                                 const Handler &Then) {
  const cell::Token Id = Request.Token_;
  if (!Pool_) {
    Loop_.runAfter(0, [Id, Then] { Then({Id, false, {}, 0}); });
    return;
  }
  Pool_->send(platform::encodeAdviceRequest(Request.Step_, Request.Workers_),
              Request.Timeout_, [Id, Then](const HttpReply &Reply) {
                cell::AdviceOutcome Out = platform::decodeAdviceAnswer(Reply);
                Out.Token_ = Id;
                Out.Valid_ -= TicketValidityMargin;
                Then(Out);
              });
}

} // namespace oleandergauge::node
