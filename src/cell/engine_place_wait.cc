// Waits for preferred places: whether tasks wait for their rack or start
// elsewhere, and how the waits end.

#include <algorithm>

#include "cell/engine.h"

namespace oleandergauge::cell {

/// Records that room on the worker became free, for the expected wait.
void Cell::Engine::recordFreed(const Worker &Target,
                               const Resources &UsedBefore) {
  if (isPlaceWaitOn() && Target.Listed_ && Target.Reachable_ &&
      !Target.Rack_.empty())
    FreedRoom_.recordFreed(Target.place(), Now_, Target.Capacity_ - UsedBefore,
                           Target.Capacity_ - Target.Used_);
}

/// Returns what the choice for the step depends on. The latest start leaves
/// time for the steps that follow.
PlaceWait
Cell::Engine::describePlaceWait(const StepRun &Step,
                                std::optional<Millis> Expected) const {
  const Millis Duration = Step.spec().Estimate_;
  const Millis Left = Step.LatestStart_ + Duration - Now_;
  return {Now_ - Step.PlaceWaitSince_.value_or(Now_),
          Expected,
          Duration,
          Limits_.RemoteFactor_,
          Left,
          Left + 2 * Step.Job_->ObjectiveSpan_};
}

/// Returns how many of the \p Left waiting tasks wait for the preferred rack,
/// which has no room now while other workers have. Its room goes to one task
/// after the other, those of more urgent steps first, so that the last ones
/// wait longest. If nothing is known of the wait, no more tasks wait than the
/// rack can hold when empty.
std::uint32_t Cell::Engine::tasksHeldForRack(StepRun &Step,
                                             const std::vector<Worker *> &Open,
                                             std::uint32_t Left) {
  const StepSpec &Spec = Step.spec();
  if (!isPlaceWaitOn() || Spec.PreferredRack_.empty() || Spec.Service_)
    return 0;
  std::string Place;
  std::uint32_t Capacity = 0;
  for (const Worker *Each : Open)
    if (Each->Rack_ == Spec.PreferredRack_) {
      Place = Each->place();
      Capacity += copiesIn(Each->Capacity_, Step);
    }
  std::uint32_t &Ahead = HeldForPlace_[Place];
  if (Capacity <= Ahead)
    return 0;
  if (!Step.PlaceWaitSince_)
    Step.PlaceWaitSince_ = Now_;
  const std::optional<Millis> Expected =
      FreedRoom_.expectedWait(Place, Now_, workerNeed(Spec), Ahead + 1);
  const PlaceWait First = describePlaceWait(Step, Expected);
  if (choosePlace(First) == PlaceChoice::GoElsewhere)
    return 0;
  std::int64_t Held = Capacity - Ahead;
  if (Expected)
    Held = (lossElsewhere(First) - 1) /
               std::max<Millis>(1, *Expected / (Ahead + 1)) -
           Ahead;
  const auto Out =
      static_cast<std::uint32_t>(std::clamp<std::int64_t>(Held, 1, Left));
  Ahead += Out;
  return Out;
}

/// Records how a wait for a place ended: in the place, or elsewhere.
void Cell::Engine::recordPlaceStart(const StepRun &Step,
                                    const std::string &Name, bool Elsewhere,
                                    std::string_view Why) {
  const PlaceWait Wait = describePlaceWait(Step, std::nullopt);
  PlaceWaits_.WaitedMs_ += static_cast<std::uint64_t>(Wait.Waited_);
  if (!Elsewhere) {
    ++PlaceWaits_.Met_;
    return;
  }
  const Millis Loss = lossElsewhere(Wait);
  ++PlaceWaits_.GivenUp_;
  PlaceWaits_.LostMs_ += static_cast<std::uint64_t>(Loss);
  Effects_.push_back(
      Decision{"place_given_up", Name,
               std::string(Why) + ", loss " + std::to_string(Loss) + " ms",
               Wait.Waited_});
}

/// Records the start of a task on a worker in its preferred rack or elsewhere.
void Cell::Engine::recordTaskPlace(const StepRun &Step, std::uint32_t Index,
                                   const Worker &Target) {
  if (Step.PlaceWaitSince_)
    recordPlaceStart(Step, taskName(Step, Index),
                     Target.Rack_ != Step.spec().PreferredRack_,
                     "rack " + Step.spec().PreferredRack_ + " has no room");
}

} // namespace oleandergauge::cell
