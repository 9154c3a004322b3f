#include "node/counters.h"

#include <bit>

namespace oleandergauge::node {
namespace {

std::string metricName(const std::string &Name) {
  return "oleandergauge_" + Name;
}

std::string renderLabels(const std::string &Label,
                         const std::string &UpperBound = "") {
  std::string Out = "{label=\"" + Label + "\"";
  if (!UpperBound.empty())
    Out += ",le=\"" + UpperBound + "\"";
  return Out + "}";
}

} // namespace

void MetricsRegistry::incrementCounter(const char *Name,
                                       const std::string &Label,
                                       std::uint64_t Amount) {
  CounterValues_[{Name, Label}] += Amount;
}

void MetricsRegistry::setGauge(const char *Name, double Value) {
  Gauges_[Name] = Value;
}

void MetricsRegistry::recordDuration(const std::string &Name,
                                     const std::string &Label,
                                     cell::Millis Duration) {
  Histogram &To = Histograms_[{Name, Label}];
  const auto Value = static_cast<std::uint64_t>(Duration < 0 ? 0 : Duration);
  const std::size_t Bucket =
      Value <= 1 ? 0 : static_cast<std::size_t>(std::bit_width(Value - 1));
  ++To.BucketCounts_[std::min(Bucket, BucketCount - 1)];
  To.SumMs_ += Value;
  ++To.SampleCount_;
}

std::string MetricsRegistry::renderPrometheusText() const {
  std::string Out;
  for (const auto &[Key, Value] : CounterValues_)
    Out += metricName(Key.first) + "_total" + renderLabels(Key.second) + " " +
           std::to_string(Value) + "\n";
  for (const auto &[Name, Value] : Gauges_)
    Out += metricName(Name) + " " + std::to_string(Value) + "\n";
  for (const auto &[Key, Each] : Histograms_) {
    const std::string Name = metricName(Key.first) + "_ms";
    std::uint64_t Below = 0;
    for (std::size_t At = 0; At < BucketCount; ++At) {
      Below += Each.BucketCounts_[At];
      const std::string Bound =
          At + 1 < BucketCount ? std::to_string(1ULL << At) : "+Inf";
      Out += Name + "_bucket" + renderLabels(Key.second, Bound) + " " +
             std::to_string(Below) + "\n";
    }
    Out += Name + "_sum" + renderLabels(Key.second) + " " +
           std::to_string(Each.SumMs_) + "\n";
    Out += Name + "_count" + renderLabels(Key.second) + " " +
           std::to_string(Each.SampleCount_) + "\n";
  }
  return Out;
}

} // namespace oleandergauge::node
