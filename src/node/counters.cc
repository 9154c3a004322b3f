#include "node/counters.h"

#include <bit>

namespace oleandergauge::node {
namespace {

std::string nameOf(const std::string &Name) { return "oleandergauge_" + Name; }

std::string labelOf(const std::string &Label, const std::string &More = "") {
  std::string Out = "{label=\"" + Label + "\"";
  if (!More.empty())
    Out += ",le=\"" + More + "\"";
  return Out + "}";
}

} // namespace

void Counters::count(const char *Name, const std::string &Label,
                     std::uint64_t Amount) {
  Counts_[{Name, Label}] += Amount;
}

void Counters::set(const char *Name, double Value) { Gauges_[Name] = Value; }

void Counters::observe(const std::string &Name, const std::string &Label,
                       cell::Millis Sample) {
  Histogram &To = Histograms_[{Name, Label}];
  const auto Value = static_cast<std::uint64_t>(Sample < 0 ? 0 : Sample);
  const std::size_t Bucket =
      Value <= 1 ? 0 : static_cast<std::size_t>(std::bit_width(Value - 1));
  ++To.Counts_[std::min(Bucket, Buckets - 1)];
  To.Sum_ += Value;
  ++To.Total_;
}

std::string Counters::exposition() const {
  std::string Out;
  for (const auto &[Key, Value] : Counts_)
    Out += nameOf(Key.first) + "_total" + labelOf(Key.second) + " " +
           std::to_string(Value) + "\n";
  for (const auto &[Name, Value] : Gauges_)
    Out += nameOf(Name) + " " + std::to_string(Value) + "\n";
  for (const auto &[Key, Each] : Histograms_) {
    const std::string Name = nameOf(Key.first) + "_ms";
    std::uint64_t Below = 0;
    for (std::size_t At = 0; At < Buckets; ++At) {
      Below += Each.Counts_[At];
      const std::string Bound =
          At + 1 < Buckets ? std::to_string(1ULL << At) : "+Inf";
      Out += Name + "_bucket" + labelOf(Key.second, Bound) + " " +
             std::to_string(Below) + "\n";
    }
    Out += Name + "_sum" + labelOf(Key.second) + " " +
           std::to_string(Each.Sum_) + "\n";
    Out += Name + "_count" + labelOf(Key.second) + " " +
           std::to_string(Each.Total_) + "\n";
  }
  return Out;
}

} // namespace oleandergauge::node
