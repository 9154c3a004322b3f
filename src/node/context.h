#ifndef OLEANDERGAUGE_NODE_CONTEXT_H
#define OLEANDERGAUGE_NODE_CONTEXT_H

#include "host_settings.h"
#include "node/advice_client.h"
#include "node/counters.h"
#include "node/json_log.h"
#include "node/store_client.h"

namespace oleandergauge::node {

/// What the parts of one entry host share.
struct Context {
  Loop &Events_;
  platform::HostSettings &Settings_;
  StoreClient &Store_;
  AdviceClient &Advice_;
  JsonLog &Log_;
  Counters &Counters_;
};

} // namespace oleandergauge::node

#endif // OLEANDERGAUGE_NODE_CONTEXT_H
