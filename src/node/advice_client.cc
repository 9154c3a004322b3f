#include "node/advice_client.h"

#include "worker_calls.h"

namespace oleandergauge::node {
namespace {

/// One call is served while the next one waits.
constexpr std::size_t Connections = 3;
/// Taken off a ticket's time for the way of the answer and of the start.
constexpr Millis TicketMargin = 80;

} // namespace

AdviceClient::AdviceClient(Loop &Events, const std::string &Address)
    : Events_(Events) {
  if (!Address.empty())
    Lane_ = std::make_unique<HttpLane>(Events, Address, Connections);
}

void AdviceClient::ask(const cell::AskAdvice &Question, const Handler &Then) {
  const cell::Token Id = Question.Token_;
  if (!Lane_) {
    Events_.after(0, [Id, Then] { Then({Id, false, {}, 0}); });
    return;
  }
  Lane_->send(platform::encodeAdvice(Question.Step_, Question.Workers_),
              Question.Timeout_, [Id, Then](const HttpReply &Reply) {
                cell::AdviceOutcome Out = platform::decodeAdvice(Reply);
                Out.Token_ = Id;
                Out.Valid_ -= TicketMargin;
                Then(Out);
              });
}

} // namespace oleandergauge::node
