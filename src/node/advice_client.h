#ifndef OLEANDERGAUGE_NODE_ADVICE_CLIENT_H
#define OLEANDERGAUGE_NODE_ADVICE_CLIENT_H

#include "cell/cell.h"
#include "node/http_client.h"

namespace oleandergauge::node {

/// Asks the advice service for this host; the service serves its calls one
/// after another.
class AdviceClient {
public:
  using Handler = std::function<void(const cell::AdviceOutcome &Outcome)>;
  AdviceClient(Loop &Events, const std::string &Address);
  void ask(const cell::AskAdvice &Question, const Handler &Then);

private:
  Loop &Events_;
  std::unique_ptr<HttpLane> Lane_; ///< Empty where there is no service.
};

} // namespace oleandergauge::node

#endif // OLEANDERGAUGE_NODE_ADVICE_CLIENT_H
