// Pace: slows down filler tasks on workers where a service nears its tail
// latency goal.

#include <algorithm>

#include "cell/engine.h"

namespace oleandergauge::cell {
namespace {

/// Ratios of tail latency to goal at which fillers are slowed down and sped up
/// again.
constexpr double SlowDownTailRatio = 0.85;
constexpr double SpeedUpTailRatio = 0.6;
/// Time with a ratio below SpeedUpTailRatio before fillers are sped up.
constexpr Millis SpeedUpDelay = 1500;
/// Each slowdown divides the pace by this factor.
constexpr int SlowDownDivisor = 3;
/// A pace below this percentage is rounded down to zero.
constexpr int MinPacePercent = 10;
/// Each speed-up adds this many percent.
constexpr int SpeedUpStepPercent = 20;

} // namespace

/// Computes the paces of the fillers on a worker from its latest list.
void Cell::Engine::adjustFillerPaces(Worker &Target) {
  double HighestRatio = 0; // Highest ratio of tail latency to goal.
  bool Fillers = false;
  for (const auto &[Name, Each] : Target.Runs_) {
    if (Each.Step_ == nullptr || Each.Phase_ != Run::Phase::Running)
      continue;
    const StepSpec &Spec = Each.Step_->spec();
    if (Spec.TailGoal_ > 0)
      HighestRatio = std::max(
          HighestRatio, Each.Usage_ / static_cast<double>(Spec.TailGoal_));
    Fillers = Fillers || Spec.Fill_;
  }
  if (!Fillers)
    return;
  if (HighestRatio >= SpeedUpTailRatio)
    Target.BelowGoalSince_ = 0;
  else if (Target.BelowGoalSince_ == 0)
    Target.BelowGoalSince_ = Now_;
  const bool SpeedUpDue = Target.BelowGoalSince_ != 0 &&
                          Now_ - Target.BelowGoalSince_ >= SpeedUpDelay;
  for (auto &[Name, Each] : Target.Runs_) {
    if (Each.Step_ == nullptr || !Each.Step_->spec().Fill_)
      continue;
    const int Slower = Each.Pace_ / SlowDownDivisor;
    if (HighestRatio >= 1)
      Each.Pace_ = 0;
    else if (HighestRatio >= SlowDownTailRatio)
      Each.Pace_ = Slower < MinPacePercent ? 0 : Slower;
    else if (SpeedUpDue)
      Each.Pace_ = std::min(100, Each.Pace_ + SpeedUpStepPercent);
  }
  if (SpeedUpDue)
    Target.BelowGoalSince_ = Now_;
  sendPaces(Target);
}

/// Sends the paces that are not confirmed. If a delayed order overwrites a
/// newer pace, the next list leads to a correction.
void Cell::Engine::sendPaces(Worker &Target) {
  for (auto &[Name, Each] : Target.Runs_) {
    if (Each.Phase_ != Run::Phase::Running || Each.PaceOrder_ != 0 ||
        Each.Pace_ == Each.ConfirmedPace_)
      continue;
    const Token Id = NextToken_++;
    PendingOrder &Order = PendingOrders_[Id];
    Order = {Target.Id_,      Name,  Each.Attempt_, Target.Fence_,
             Target.ClockMs_, false, Each.Pace_};
    Each.PaceOrder_ = Id;
    Effects_.push_back(Decision{"task_paced", Name,
                                std::to_string(Each.Pace_) + " percent",
                                Now_ - Target.ClockAt_});
    Effects_.push_back(SendPace{Id,
                                {Target.Id_, Target.Address_, Target.Fence_},
                                Name,
                                Each.Attempt_,
                                Each.Pace_});
  }
}

} // namespace oleandergauge::cell
