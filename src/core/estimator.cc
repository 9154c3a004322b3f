#include "oleandergauge/estimator.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace oleandergauge {
namespace {

/// Number of samples from which on learned values replace declared ones.
constexpr std::uint32_t MinSamples = 8;
constexpr double Percentile = 0.9;
/// Ratios are tracked in thousandths, because Quantile never uses a step
/// below 1.
constexpr double RatioScale = 1000.0;
/// Up to this ratio of usage to declaration, a declaration counts as accurate.
constexpr double MaxAccurateRatio = 1.05;
/// Above this ratio of usage to declaration, declarations predict the usage too
/// poorly to be scaled.
constexpr double MaxReliableRatio = 2.0;
/// Weight of a new sample's distance from the estimate in the step size.
constexpr double StepSmoothing = 0.1;
/// The distance of a sample counts for at most this many steps, so that one
/// extreme run time does not distort the estimate.
constexpr double MaxDistanceInSteps = 8.0;

/// Rounds up to a number with three significant binary digits. Items with the
/// same need form one group in the queue, so that small changes of a learned
/// need must not put every item into a group of its own.
std::int64_t roundUpCoarsely(double Value) {
  const auto Exact = static_cast<std::uint64_t>(std::ceil(Value));
  const int DroppedBits =
      std::max(static_cast<int>(std::bit_width(Exact)) - 3, 0);
  const std::uint64_t Step = std::uint64_t(1)
                             << static_cast<unsigned>(DroppedBits);
  return static_cast<std::int64_t>((Exact + Step - 1) / Step * Step);
}

} // namespace

void Estimator::Quantile::addSample(double Sample) {
  if (Value_ == 0.0 && Step_ == 0.0) {
    Value_ = Sample;
    Step_ = std::max(Sample / 4, 1.0);
    return;
  }
  const double Distance =
      std::min(std::abs(Sample - Value_), MaxDistanceInSteps * Step_);
  Step_ += StepSmoothing * (Distance - Step_);
  Step_ = std::max(Step_, 1.0);
  const double Direction = Sample > Value_ ? Percentile : Percentile - 1.0;
  Value_ = std::max(Value_ + Direction * Step_, 0.0);
}

void Estimator::ResourceUsage::addSample(std::int64_t Usage,
                                         std::int64_t Declared) {
  Usage_.addSample(static_cast<double>(Usage));
  if (Declared <= 0)
    return;
  ++RatioCount_;
  Ratio_.addSample(static_cast<double>(Usage) * RatioScale /
                   static_cast<double>(Declared));
}

std::int64_t
Estimator::ResourceUsage::expectedUsage(std::int64_t Declared) const {
  double Learned = Usage_.Value_;
  if (Declared > 0 && RatioCount_ >= MinSamples &&
      Ratio_.Value_ <= MaxReliableRatio * RatioScale)
    Learned = std::min(Learned, static_cast<double>(Declared) * Ratio_.Value_ /
                                    RatioScale);
  // If the usage matches the declaration, the ratio differs from 1 only by the
  // steps of the estimate.
  if (Learned <= static_cast<double>(Declared) * MaxAccurateRatio)
    return Declared;
  return roundUpCoarsely(Learned);
}

void Estimator::noteEnd(const TeamId &Team, const QueueId &Queue, Duration Run,
                        const Resources &PeakUsage, const Resources &Declared) {
  Entry &History = Entries_[{Team, Queue}];
  ++History.EndedTasks_;
  History.Run_.addSample(static_cast<double>(Run.count()));
  History.Cpu_.addSample(PeakUsage.CpuMilli_, Declared.CpuMilli_);
  History.Memory_.addSample(PeakUsage.MemoryMib_, Declared.MemoryMib_);
}

Duration Estimator::expectedRun(const TeamId &Team, const QueueId &Queue,
                                Duration Declared) const {
  const auto Found = Entries_.find({Team, Queue});
  if (Found == Entries_.end() || Found->second.EndedTasks_ < MinSamples)
    return Declared;
  return Duration(std::llround(Found->second.Run_.Value_));
}

Resources Estimator::expectedNeed(const TeamId &Team, const QueueId &Queue,
                                  const Resources &Declared) const {
  const auto Found = Entries_.find({Team, Queue});
  if (Found == Entries_.end() || Found->second.EndedTasks_ < MinSamples)
    return Declared;
  Resources Need = Declared;
  Need.CpuMilli_ = Found->second.Cpu_.expectedUsage(Declared.CpuMilli_);
  Need.MemoryMib_ = Found->second.Memory_.expectedUsage(Declared.MemoryMib_);
  return Need;
}

} // namespace oleandergauge
