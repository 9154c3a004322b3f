#include "daemon/metrics.h"

#include <cmath>
#include <map>
#include <mutex>
#include <tuple>

#include <boost/histogram.hpp>

namespace oleandergauge::daemon {
namespace {

namespace bh = boost::histogram;

/// Five buckets per decade over seven decades, so that an estimate from a
/// bucket is at most 58% off.
constexpr int BucketCount = 35;
constexpr double MinUs = 1e2;
constexpr double MaxUs = 1e9;
/// Stands for the missing upper bound of the bucket above the axis, as defined
/// by codec::HistogramBucket.
constexpr std::int64_t UnboundedUs = -1;
constexpr double MicrosPerSecond = 1e6;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Samples = decltype(bh::make_histogram(LogAxis(BucketCount, 1.0, 2.0)));

struct Series {
  Samples Samples_ = bh::make_histogram(LogAxis(BucketCount, MinUs, MaxUs));
  std::uint64_t Count_ = 0;
  double SumUs_ = 0.0;

  /// Returns the number of samples in bucket \p Index. Index -1 is the bucket
  /// below the axis, BucketCount the one above it.
  std::uint64_t at(int Index) const {
    return static_cast<std::uint64_t>(Samples_.at(Index));
  }
  double upperUs(int Index) const {
    return Index < 0 ? MinUs : Samples_.axis(0).bin(Index).upper();
  }
};

using SeriesKey = std::tuple<std::string, TeamId, WorkClass>;
using ScalarKey = std::pair<std::string, std::string>;

std::string escape(const std::string &Text) {
  std::string Out;
  for (char C : Text) {
    if (C == '\\' || C == '"')
      Out += '\\';
    Out += C == '\n' ? std::string("\\n") : std::string(1, C);
  }
  return Out;
}

/// Formats labels as {a="b",c="d"}; an empty set gives an empty string.
std::string writeLabels(const Labels &SeriesLabels) {
  std::string Out;
  for (const auto &[Name, Value] : SeriesLabels)
    Out += (Out.empty() ? "" : ",") + Name + "=\"" + escape(Value) + "\"";
  return Out.empty() ? Out : "{" + Out + "}";
}

std::string writeNumber(double Value) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.9g", Value);
  return Text;
}

void writeScalars(std::string &Out, const std::map<ScalarKey, double> &Values,
                  const char *Kind) {
  std::string Previous;
  for (const auto &[Key, Value] : Values) {
    const auto &[Name, SeriesLabels] = Key;
    if (Name != Previous)
      Out.append("# TYPE ").append(Name).append(" ").append(Kind).append("\n");
    Previous = Name;
    Out.append(Name)
        .append(SeriesLabels)
        .append(" ")
        .append(writeNumber(Value));
    Out += '\n';
  }
}

void writeSeries(std::string &Out, const std::string &Name,
                 const Labels &SeriesLabels, const Series &Values) {
  std::uint64_t CumulativeCount = 0;
  Labels Bucket = SeriesLabels;
  Bucket.emplace_back("le", "");
  auto WriteBucket = [&](const std::string &Upper) {
    Bucket.back().second = Upper;
    Out += Name + "_bucket" + writeLabels(Bucket) + " " +
           std::to_string(CumulativeCount) + "\n";
  };
  for (int Index = -1; Index < BucketCount; ++Index) {
    CumulativeCount += Values.at(Index);
    WriteBucket(writeNumber(Values.upperUs(Index) / MicrosPerSecond));
  }
  CumulativeCount = Values.Count_;
  WriteBucket("+Inf");
  std::string Suffix = writeLabels(SeriesLabels) + " ";
  Out += Name + "_sum" + Suffix + writeNumber(Values.SumUs_ / MicrosPerSecond) +
         "\n" + Name + "_count" + Suffix + std::to_string(Values.Count_) + "\n";
}

std::vector<codec::HistogramBucket> nonEmptyBuckets(const Series &Values) {
  std::vector<codec::HistogramBucket> Out;
  for (int Index = -1; Index <= BucketCount; ++Index) {
    if (Values.at(Index) == 0)
      continue;
    std::int64_t Upper =
        Index < BucketCount ? std::llround(Values.upperUs(Index)) : UnboundedUs;
    Out.push_back({Upper, Values.at(Index)});
  }
  return Out;
}

} // namespace

struct Metrics::State {
  mutable std::mutex Lock_;
  std::map<ScalarKey, double> Counters_;
  std::map<ScalarKey, double> Gauges_;
  std::map<SeriesKey, Series> Series_;
};

Metrics::Metrics() : State_(std::make_unique<State>()) {}
Metrics::~Metrics() = default;

void Metrics::count(const std::string &Name, const Labels &SeriesLabels,
                    std::uint64_t Amount) {
  std::lock_guard<std::mutex> Guard(State_->Lock_);
  ScalarKey Key{"oleandergauge_" + Name + "_total", writeLabels(SeriesLabels)};
  State_->Counters_[Key] += static_cast<double>(Amount);
}

void Metrics::set(const std::string &Name, const Labels &SeriesLabels,
                  double Value) {
  std::lock_guard<std::mutex> Guard(State_->Lock_);
  State_->Gauges_[{"oleandergauge_" + Name, writeLabels(SeriesLabels)}] = Value;
}

void Metrics::observe(const std::string &Name, const TeamId &Team,
                      WorkClass Class, Duration Sample) {
  std::lock_guard<std::mutex> Guard(State_->Lock_);
  Series &Values = State_->Series_[{Name, Team, Class}];
  auto Micros = static_cast<double>(Sample.count());
  Values.Samples_(Micros);
  ++Values.Count_;
  Values.SumUs_ += Micros;
}

std::string Metrics::exposition() const {
  std::lock_guard<std::mutex> Guard(State_->Lock_);
  std::string Out;
  writeScalars(Out, State_->Counters_, "counter");
  writeScalars(Out, State_->Gauges_, "gauge");
  std::string Previous;
  for (const auto &[Key, Values] : State_->Series_) {
    const auto &[ShortName, Team, Class] = Key;
    std::string Name = "oleandergauge_" + ShortName + "_seconds";
    if (Name != Previous)
      Out += "# TYPE " + Name + " histogram\n";
    Previous = Name;
    Labels SeriesLabels{{"team", Team.str()},
                        {"class", std::string(toString(Class))}};
    writeSeries(Out, Name, SeriesLabels, Values);
  }
  return Out;
}

std::vector<codec::HistogramPage> Metrics::histograms() const {
  std::lock_guard<std::mutex> Guard(State_->Lock_);
  std::vector<codec::HistogramPage> Out;
  for (const auto &[Key, Values] : State_->Series_) {
    const auto &[Name, Team, Class] = Key;
    Out.push_back({Name, Team, Class, Values.Count_,
                   std::llround(Values.SumUs_), nonEmptyBuckets(Values)});
  }
  return Out;
}

} // namespace oleandergauge::daemon
