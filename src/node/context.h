#ifndef OLEANDERGAUGE_NODE_CONTEXT_H
#define OLEANDERGAUGE_NODE_CONTEXT_H

#include "host_settings.h"
#include "node/advice_client.h"
#include "node/counters.h"
#include "node/json_log.h"
#include "node/store_client.h"

namespace oleandergauge::node {

/// The services of one entry host that its parts share.
struct HostContext {
  EventLoop &Loop_;
  platform::HostSettings &Settings_;
  StoreClient &Store_;
  AdviceClient &Advice_;
  JsonLog &Log_;
  MetricsRegistry &Metrics_;
};

} // namespace oleandergauge::node

#endif // OLEANDERGAUGE_NODE_CONTEXT_H
