#ifndef OLEANDERGAUGE_DAEMON_STATUS_PAGE_H
#define OLEANDERGAUGE_DAEMON_STATUS_PAGE_H

#include <nlohmann/json.hpp>

#include "daemon/messages.h"

namespace oleandergauge::daemon {

/// What the HTTP task itself knows.
struct StatusFacts {
  Member Self_;
  TimePoint Now_;
  bool Draining_ = false;
  std::size_t InFlight_ = 0;
  friend bool operator==(const StatusFacts &, const StatusFacts &) = default;
};

/// The body of GET /v1/status: the host, the configuration and its proof, the
/// entry hosts and the partitions.
nlohmann::json
statusJson(const StatusFacts &Facts, const Routing &Known,
           const std::map<PartitionId, PartitionStats> &Partitions);

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_STATUS_PAGE_H
