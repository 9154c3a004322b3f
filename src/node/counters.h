#ifndef OLEANDERGAUGE_NODE_COUNTERS_H
#define OLEANDERGAUGE_NODE_COUNTERS_H

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "cell/types.h"

namespace oleandergauge::node {

/// Counters, gauges and latency histograms of one process, by a label.
class Counters {
public:
  void count(const char *Name, const std::string &Label,
             std::uint64_t Amount = 1);
  void set(const char *Name, double Value);
  /// \p Sample in milliseconds, by team or class.
  void observe(const std::string &Name, const std::string &Label,
               cell::Millis Sample);
  /// In the Prometheus text format.
  std::string exposition() const;

private:
  /// Upper bounds are powers of two, from 1 ms to 65 s, and no bound.
  static constexpr std::size_t Buckets = 18;
  struct Histogram {
    std::array<std::uint64_t, Buckets> Counts_{};
    std::uint64_t Sum_ = 0;
    std::uint64_t Total_ = 0;
  };
  using Key = std::pair<std::string, std::string>;
  std::map<Key, std::uint64_t> Counts_;
  std::map<std::string, double> Gauges_;
  std::map<Key, Histogram> Histograms_;
};

} // namespace oleandergauge::node

#endif // OLEANDERGAUGE_NODE_COUNTERS_H
