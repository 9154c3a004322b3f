#ifndef OLEANDERGAUGE_NODE_ADVICE_CLIENT_H
#define OLEANDERGAUGE_NODE_ADVICE_CLIENT_H

#include "cell/cell.h"
#include "node/http_client.h"

namespace oleandergauge::node {

/// Client of this host's advice service, which serves one call at a time.
class AdviceClient {
public:
  using Handler = std::function<void(const cell::AdviceOutcome &Outcome)>;
  AdviceClient(EventLoop &Loop, const std::string &Address);
  /// \p Then receives the service's answer. Without a service or an answer,
  /// Answered_ is false in it.
  void requestAdvice(const cell::AskAdvice &Request, const Handler &Then);

private:
  EventLoop &Loop_;
  std::unique_ptr<HttpConnectionPool> Pool_; ///< Null if no service is set.
};

} // namespace oleandergauge::node

#endif // OLEANDERGAUGE_NODE_ADVICE_CLIENT_H
