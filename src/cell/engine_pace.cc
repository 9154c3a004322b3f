// Pace: work that fills yields to services whose tail nears its goal.

#include <algorithm>

#include "cell/engine.h"

namespace oleandergauge::cell {
namespace {

/// Parts of a goal at which fillers are slowed down, and let go faster.
constexpr double SlowDownAt = 0.85;
constexpr double SpeedUpAt = 0.6;
/// Time below SpeedUpAt before fillers are let go faster.
constexpr Millis CalmTime = 1500;
constexpr int SlowDownDivisor = 3;
/// Below this speed fillers stand still.
constexpr int LeastPace = 10;
constexpr int SpeedUpStep = 20;

} // namespace

void Cell::Engine::paceFillers(Worker &On) {
  double Worst = 0; // Tail in parts of the goal.
  bool Fillers = false;
  for (const auto &[Name, Each] : On.Runs_) {
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
  if (Worst >= SpeedUpAt)
    On.CalmSince_ = 0;
  else if (On.CalmSince_ == 0)
    On.CalmSince_ = Now_;
  const bool Calm = On.CalmSince_ != 0 && Now_ - On.CalmSince_ >= CalmTime;
  for (auto &[Name, Each] : On.Runs_) {
    if (Each.Step_ == nullptr || !Each.Step_->spec().Fill_)
      continue;
    const int Slower = Each.Pace_ / SlowDownDivisor;
    if (Worst >= 1)
      Each.Pace_ = 0;
    else if (Worst >= SlowDownAt)
      Each.Pace_ = Slower < LeastPace ? 0 : Slower;
    else if (Calm)
      Each.Pace_ = std::min(100, Each.Pace_ + SpeedUpStep);
  }
  if (Calm)
    On.CalmSince_ = Now_;
  sendPaces(On);
}

/// Orders what is not confirmed; a late order is corrected by the next look.
void Cell::Engine::sendPaces(Worker &On) {
  for (auto &[Name, Each] : On.Runs_) {
    if (Each.Phase_ != Run::Phase::Running || Each.PaceOrder_ != 0 ||
        Each.Pace_ == Each.ConfirmedPace_)
      continue;
    const Token Id = NextToken_++;
    OpenOrder &Order = Orders_[Id];
    Order = {On.Id_, Name, Each.Attempt_, On.Fence_, false, Each.Pace_};
    Each.PaceOrder_ = Id;
    Effects_.push_back(Decision{"task_paced", Name,
                                std::to_string(Each.Pace_) + " percent",
                                Now_ - On.ClockAt_});
    Effects_.push_back(SendPace{
        Id, {On.Id_, On.Address_, On.Fence_}, Name, Each.Attempt_, Each.Pace_});
  }
}

} // namespace oleandergauge::cell
