#ifndef OLEANDERGAUGE_NODE_COUNTERS_H
#define OLEANDERGAUGE_NODE_COUNTERS_H

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "cell/types.h"

namespace oleandergauge::node {

/// Counters, gauges and latency histograms of one process. Counters and
/// histograms have one label.
class MetricsRegistry {
public:
  void incrementCounter(const char *Name, const std::string &Label,
                        std::uint64_t Amount = 1);
  void setGauge(const char *Name, double Value);
  /// Adds a duration in milliseconds to the histogram of \p Label, such as a
  /// team and queue.
  void recordDuration(const std::string &Name, const std::string &Label,
                      cell::Millis Duration);
  /// Returns all metrics in the Prometheus text format.
  std::string renderPrometheusText() const;

private:
  /// The upper bounds are powers of two from 1 ms to 65536 ms, and infinity.
  static constexpr std::size_t BucketCount = 18;
  struct Histogram {
    std::array<std::uint64_t, BucketCount> BucketCounts_{};
    std::uint64_t SumMs_ = 0;
    std::uint64_t SampleCount_ = 0;
  };
  using Key = std::pair<std::string, std::string>;
  std::map<Key, std::uint64_t> CounterValues_;
  std::map<std::string, double> Gauges_;
  std::map<Key, Histogram> Histograms_;
};

} // namespace oleandergauge::node

#endif // OLEANDERGAUGE_NODE_COUNTERS_H
