#ifndef OLEANDERGAUGE_DAEMON_METRICS_H
#define OLEANDERGAUGE_DAEMON_METRICS_H

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "codec/json.h"
#include "oleandergauge/base.h"

namespace oleandergauge::daemon {

/// Label names and values of a metric, in the order of output.
using Labels = std::vector<std::pair<std::string, std::string>>;

/// The counters, gauges and histograms of this host. Thread-safe. Histograms
/// have logarithmic buckets from 100 us to 1000 s.
class Metrics {
public:
  Metrics();
  ~Metrics();

  /// Adds to the counter "oleandergauge_<Name>_total".
  void count(const std::string &Name, const Labels &SeriesLabels,
             std::uint64_t Amount = 1);
  /// Sets the gauge "oleandergauge_<Name>".
  void set(const std::string &Name, const Labels &SeriesLabels, double Value);
  /// Adds a sample to the histogram "oleandergauge_<Name>_seconds" of a team
  /// and work class.
  void observe(const std::string &Name, const TeamId &Team, WorkClass Class,
               Duration Sample);

  /// Returns all metrics in the Prometheus text exposition format.
  std::string exposition() const;
  /// Returns the histograms ordered by name, team and work class, each with its
  /// non-empty buckets. Times are in microseconds.
  std::vector<codec::HistogramPage> histograms() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_METRICS_H
