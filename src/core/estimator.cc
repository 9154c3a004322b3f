#include "oleandergauge/estimator.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace oleandergauge {
namespace {

/// Ends needed before the learned values replace the declared ones.
constexpr std::uint32_t MinEnds = 8;
constexpr double Percentile = 0.9;
constexpr double RatioUnit = 1000.0;
constexpr double LargestExactRatio = 1.05;
/// Above this ratio of usage to declaration, declarations say too little
/// about the usage to scale them.
constexpr double LargestReliableRatio = 2.0;
/// Weight of a new sample's distance in the step size.
constexpr double StepSmoothing = 0.1;
/// A sample moves the step as if it were at most this many steps away, so
/// that one extreme run time does not throw the estimate off.
constexpr double MaxStepsAway = 8.0;

/// Rounds up to a number with three significant binary digits. Items with
/// the same need form one group in the queue, so learned needs that drift a
/// little must not make a new group for every item.
std::int64_t roundedUp(double Value) {
  const auto Exact = static_cast<std::uint64_t>(std::ceil(Value));
  const int Extra = std::max(static_cast<int>(std::bit_width(Exact)) - 3, 0);
  const std::uint64_t Step = std::uint64_t(1) << static_cast<unsigned>(Extra);
  return static_cast<std::int64_t>((Exact + Step - 1) / Step * Step);
}

} // namespace

void Estimator::Quantile::note(double Sample) {
  if (Value_ == 0.0 && Step_ == 0.0) {
    Value_ = Sample;
    Step_ = std::max(Sample / 4, 1.0);
    return;
  }
  const double Distance =
      std::min(std::abs(Sample - Value_), MaxStepsAway * Step_);
  Step_ += StepSmoothing * (Distance - Step_);
  Step_ = std::max(Step_, 1.0);
  const double Up = Sample > Value_ ? Percentile : Percentile - 1.0;
  Value_ = std::max(Value_ + Up * Step_, 0.0);
}

void Estimator::Amount::note(std::int64_t Usage, std::int64_t Declared) {
  Usage_.note(static_cast<double>(Usage));
  if (Declared <= 0)
    return;
  ++Ratios_;
  Ratio_.note(static_cast<double>(Usage) * RatioUnit /
              static_cast<double>(Declared));
}

std::int64_t Estimator::Amount::expected(std::int64_t Declared) const {
  double Learned = Usage_.Value_;
  if (Declared > 0 && Ratios_ >= MinEnds &&
      Ratio_.Value_ <= LargestReliableRatio * RatioUnit)
    Learned = std::min(Learned, static_cast<double>(Declared) * Ratio_.Value_ /
                                    RatioUnit);
  // Where usage is as declared, the ratio differs from one by the steps of
  // the estimate only.
  if (Learned <= static_cast<double>(Declared) * LargestExactRatio)
    return Declared;
  return roundedUp(Learned);
}

void Estimator::noteEnd(const TeamId &Team, const QueueId &Queue, Duration Run,
                        const Resources &PeakUsage, const Resources &Declared) {
  Entry &E = Entries_[{Team, Queue}];
  ++E.Ends_;
  E.Run_.note(static_cast<double>(Run.count()));
  E.Cpu_.note(PeakUsage.CpuMilli_, Declared.CpuMilli_);
  E.Memory_.note(PeakUsage.MemoryMib_, Declared.MemoryMib_);
}

Duration Estimator::expectedRun(const TeamId &Team, const QueueId &Queue,
                                Duration Declared) const {
  const auto Found = Entries_.find({Team, Queue});
  if (Found == Entries_.end() || Found->second.Ends_ < MinEnds)
    return Declared;
  return Duration(std::llround(Found->second.Run_.Value_));
}

Resources Estimator::expectedNeed(const TeamId &Team, const QueueId &Queue,
                                  const Resources &Declared) const {
  const auto Found = Entries_.find({Team, Queue});
  if (Found == Entries_.end() || Found->second.Ends_ < MinEnds)
    return Declared;
  Resources Need = Declared;
  Need.CpuMilli_ = Found->second.Cpu_.expected(Declared.CpuMilli_);
  Need.MemoryMib_ = Found->second.Memory_.expected(Declared.MemoryMib_);
  return Need;
}

} // namespace oleandergauge
