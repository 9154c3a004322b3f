#include "cell/run_history.h"

#include <algorithm>
#include <cmath>

namespace oleandergauge::cell::detail {
namespace {

/// Samples after which older ones are mostly forgotten, for a speed and for a
/// duration ratio.
constexpr std::uint32_t SpeedWindow = 16;
constexpr std::uint32_t RatioWindow = 64;
/// Limit on the deviation of one sample, as a logarithm, so that a task that
/// takes several times as long as the others has a bounded effect. This is a
/// factor of two.
constexpr double MaxDeviation = 0.69;
/// Largest standard error of a logarithm with which a value counts as known.
constexpr double MaxStandardError = 0.15;
/// Range of plausible run times in milliseconds. Shorter runs are dominated by
/// the delay until their ends are listed.
constexpr Millis MinRunTime = 100;
constexpr Millis MaxRunTime = Millis{6} * 3600 * 1000;
/// Ratio of run time to estimate, or its inverse, beyond which a clock has
/// jumped.
constexpr Millis MaxEstimateRatio = 100;

bool isPlausible(const FinishedRun &Run) {
  if (Run.RunTime_ < MinRunTime || Run.RunTime_ > MaxRunTime)
    return false;
  return Run.Estimate_ <= 0 ||
         (Run.RunTime_ <= Run.Estimate_ * MaxEstimateRatio &&
          Run.Estimate_ <= Run.RunTime_ * MaxEstimateRatio);
}

double logOf(Millis Time) { return std::log(static_cast<double>(Time)); }

double medianOf(std::vector<double> Values) {
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

} // namespace

void RunHistory::LogMean::add(double Observed, std::uint32_t Window,
                              Millis At) {
  const bool First = Samples_ == 0;
  Samples_ = std::min(Samples_ + 1, Window);
  NewestAt_ = At;
  const double Gain = 1.0 / Samples_;
  const double Deviation =
      std::clamp(Observed - Value_, -MaxDeviation, MaxDeviation);
  Value_ += Gain * Deviation;
  if (!First)
    Variance_ += Gain * (Deviation * Deviation - Variance_);
}

bool RunHistory::LogMean::isKnown(std::uint32_t Window) const {
  return Samples_ >= std::min(MinSamples, Window) &&
         Variance_ <= MaxStandardError * MaxStandardError * Samples_;
}

void RunHistory::recordEnd(const FinishedRun &Finished) {
  if (Finished.Kind_ != EndKind::Done || !isPlausible(Finished))
    return;
  recordRatio(Finished);
  if (Finished.StepTasks_ < 2)
    return;
  if (Batches_.size() >= MaxOpenSteps && Batches_.count(Finished.Step_) == 0)
    closeStep(std::string(Batches_.begin()->first));
  std::vector<Sample> &Batch = Batches_[Finished.Step_];
  Batch.push_back(
      {Finished.Worker_, logOf(Finished.RunTime_), Finished.EndedAt_});
  if (Batch.size() >= MaxBatch)
    closeStep(Finished.Step_);
}

void RunHistory::closeStep(const std::string &Step) {
  const auto It = Batches_.find(Step);
  if (It == Batches_.end())
    return;
  const std::vector<Sample> Batch = std::move(It->second);
  Batches_.erase(It);
  compare(Batch);
}

/// Learns how the run time relates to the estimate, apart from the worker's
/// speed.
void RunHistory::recordRatio(const FinishedRun &Finished) {
  if (Finished.Estimate_ <= 0)
    return;
  if (Ratios_.size() >= MaxQueues && Ratios_.count(Finished.Queue_) == 0)
    return;
  Ratios_[Finished.Queue_].add(logOf(Finished.RunTime_) -
                                   logOf(Finished.Estimate_) +
                                   std::log(speedOf(Finished.Worker_)),
                               RatioWindow, Finished.EndedAt_);
}

RunHistory::LogMean RunHistory::valueOf(const std::string &Worker) const {
  const auto It = Speeds_.find(Worker);
  return It == Speeds_.end() ? LogMean{} : It->second;
}

/// Returns the logarithm of the time that a task of the batch takes on a worker
/// of speed 1. Workers that are known better count more. A run that differs
/// much from the median counts as if it differed by the limit.
double RunHistory::commonLogTime(const std::vector<Sample> &Batch) const {
  std::vector<double> Times;
  Times.reserve(Batch.size());
  for (const Sample &Each : Batch)
    Times.push_back(Each.LogTime_ + valueOf(Each.Worker_).Value_);
  const double Median = medianOf(Times);
  double Sum = 0;
  double Weights = 0;
  for (std::size_t At = 0; At < Batch.size(); ++At) {
    const double Weight = 1.0 + valueOf(Batch[At].Worker_).Samples_;
    Sum += Weight *
           std::clamp(Times[At], Median - MaxDeviation, Median + MaxDeviation);
    Weights += Weight;
  }
  return Sum / Weights;
}

/// Learns the speeds of the workers of a batch. The common time contains each
/// worker's own runs: that moves all of the batch alike, so that the ratio
/// between any two workers is right however many of the runs each had.
void RunHistory::compare(const std::vector<Sample> &Batch) {
  const bool OneWorker =
      std::all_of(Batch.begin(), Batch.end(), [&](const Sample &Each) {
        return Each.Worker_ == Batch.front().Worker_;
      });
  if (OneWorker)
    return;
  const double Common = commonLogTime(Batch);
  for (const Sample &Each : Batch) {
    if (Speeds_.size() >= MaxWorkers && Speeds_.count(Each.Worker_) == 0)
      makeRoomForWorker();
    Speeds_[Each.Worker_].add(Common - Each.LogTime_, SpeedWindow,
                              Each.EndedAt_);
  }
}

void RunHistory::makeRoomForWorker() {
  const auto Oldest = std::min_element(
      Speeds_.begin(), Speeds_.end(), [](const auto &Left, const auto &Right) {
        return Left.second.NewestAt_ < Right.second.NewestAt_;
      });
  Speeds_.erase(Oldest);
}

void RunHistory::normalize() {
  std::vector<double> Known;
  for (const auto &[Worker, Each] : Speeds_)
    if (Each.isKnown(SpeedWindow))
      Known.push_back(Each.Value_);
  if (Known.empty())
    return;
  const double Median = medianOf(std::move(Known));
  for (auto &[Worker, Each] : Speeds_)
    Each.Value_ -= Median;
}

double RunHistory::speedOf(const std::string &Worker) const {
  const LogMean Found = valueOf(Worker);
  return Found.isKnown(SpeedWindow) ? std::exp(Found.Value_) : 1;
}

bool RunHistory::knowsDurationRatio(const std::string &Queue) const {
  const auto It = Ratios_.find(Queue);
  return It != Ratios_.end() && It->second.isKnown(RatioWindow);
}

double RunHistory::durationRatio(const std::string &Queue) const {
  return knowsDurationRatio(Queue) ? std::exp(Ratios_.at(Queue).Value_) : 1;
}

SpeedSummary RunHistory::summary() const {
  SpeedSummary Out;
  Out.Observed_ = Speeds_.size();
  for (const auto &[Worker, Each] : Speeds_) {
    Out.NewestAt_ = std::max(Out.NewestAt_, Each.NewestAt_);
    if (!Each.isKnown(SpeedWindow))
      continue;
    const double Speed = std::exp(Each.Value_);
    Out.Slowest_ = Out.Known_ == 0 ? Speed : std::min(Out.Slowest_, Speed);
    Out.Fastest_ = Out.Known_ == 0 ? Speed : std::max(Out.Fastest_, Speed);
    ++Out.Known_;
  }
  return Out;
}

} // namespace oleandergauge::cell::detail
