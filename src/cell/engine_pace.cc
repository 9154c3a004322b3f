// Pace: work that fills yields to services whose tail nears its goal.

#include <algorithm>

#include "cell/engine.h"

namespace oleandergauge::cell {
namespace {

/// Parts of a goal at which fillers are slowed down, and let go faster.
constexpr double SlowDownTailRatio = 0.85;
constexpr double SpeedUpTailRatio = 0.6;
/// Time below SpeedUpAt before fillers are let go faster.
constexpr Millis SpeedUpDelay = 1500;
constexpr int SlowDownDivisor = 3;
/// Below this speed fillers stand still.
constexpr int MinPacePercent = 10;
constexpr int SpeedUpStepPercent = 20;

} // namespace

void Cell::Engine::adjustFillerPaces(Worker &Target) {
  double Worst = 0; // Tail in parts of the goal.
  bool Fillers = false;
  for (const auto &[Name, Each] : Target.Runs_) {
    if (Each.Step_ == nullptr || Each.Phase_ != Run::Phase::Running)
      continue;
    const StepSpec &Spec = Each.Step_->spec();
    if (Spec.TailGoal_ > 0)
      Worst =
          std::max(Worst, Each.Usage_ / static_cast<double>(Spec.TailGoal_));
    Fillers = Fillers || Spec.Fill_;
  }
  if (!Fillers)
    return;
  if (Worst >= SpeedUpTailRatio)
    Target.BelowGoalSince_ = 0;
  else if (Target.BelowGoalSince_ == 0)
    Target.BelowGoalSince_ = Now_;
  const bool Calm = Target.BelowGoalSince_ != 0 &&
                    Now_ - Target.BelowGoalSince_ >= SpeedUpDelay;
  for (auto &[Name, Each] : Target.Runs_) {
    if (Each.Step_ == nullptr || !Each.Step_->spec().Fill_)
      continue;
    const int Slower = Each.Pace_ / SlowDownDivisor;
    if (Worst >= 1)
      Each.Pace_ = 0;
    else if (Worst >= SlowDownTailRatio)
      Each.Pace_ = Slower < MinPacePercent ? 0 : Slower;
    else if (Calm)
      Each.Pace_ = std::min(100, Each.Pace_ + SpeedUpStepPercent);
  }
  if (Calm)
    Target.BelowGoalSince_ = Now_;
  sendPaces(Target);
}

/// Orders what is not confirmed; a late order is corrected by the next look.
void Cell::Engine::sendPaces(Worker &Target) {
  for (auto &[Name, Each] : Target.Runs_) {
    if (Each.Phase_ != Run::Phase::Running || Each.PaceOrder_ != 0 ||
        Each.Pace_ == Each.ConfirmedPace_)
      continue;
    const Token Id = NextToken_++;
    PendingOrder &Order = PendingOrders_[Id];
    Order = {Target.Id_, Name, Each.Attempt_, Target.Fence_, false, Each.Pace_};
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
