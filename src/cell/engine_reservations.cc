// Reservations: room on workers that is kept for tasks which start as soon as
// runs have stopped or tickets have arrived.

#include <algorithm>

#include "cell/engine.h"

namespace oleandergauge::cell {

/// Reserves room for \p Copies tasks, in place of an earlier reservation for
/// the step on the same worker.
void Cell::Engine::reserve(Worker &Target, StepRun &Step, std::uint32_t Copies,
                           Millis Until) {
  std::erase_if(Target.Reservations_, [&](const Reservation &Each) {
    return Each.Step_ == &Step || Each.Until_ <= Now_;
  });
  Target.Reservations_.push_back({&Step, Copies, Until});
  auto &Workers = Step.ReservedOn_;
  if (std::find(Workers.begin(), Workers.end(), Target.Number_) ==
      Workers.end())
    Workers.push_back(Target.Number_);
}

/// Takes one task that starts now out of the reservation for its step.
void Cell::Engine::useReservation(Worker &Target, StepRun &Step) {
  for (Reservation &Each : Target.Reservations_)
    if (Each.Step_ == &Step && Each.Copies_ > 0)
      --Each.Copies_;
}

/// Removes all reservations for the step.
void Cell::Engine::releaseReservations(StepRun &Step) {
  for (const WorkerNumber Number : std::exchange(Step.ReservedOn_, {}))
    if (Worker *Target = workerAt(Number))
      std::erase_if(Target->Reservations_, [&](const Reservation &Each) {
        return Each.Step_ == &Step;
      });
  Step.GangPlanUntil_ = 0;
}

/// Removes the reservations on a worker that is being forgotten.
void Cell::Engine::dropReservationsOn(Worker &Gone) {
  for (const auto &[Id, Each] : Jobs_)
    for (const auto &Step : Each->Steps_)
      std::erase(Step->ReservedOn_, Gone.Number_);
}

/// Returns the number of tasks of the step for which room on the worker is
/// reserved.
std::uint32_t Cell::Engine::reservedCopies(const Worker &Target,
                                           const StepRun &Step) const {
  for (const Reservation &Each : Target.Reservations_)
    if (Each.Step_ == &Step && Now_ < Each.Until_)
      return Each.Copies_;
  return 0;
}

/// Returns the resources on the worker that are reserved for other steps. A
/// step of a higher priority may use room that is reserved for single tasks,
/// but not the room of a gang, which needs all of it at once, or of a service,
/// which goes before all other work.
Resources Cell::Engine::reservedForOthers(const Worker &Target,
                                          const StepRun &Step) const {
  Resources Out;
  for (const Reservation &Each : Target.Reservations_) {
    if (Each.Step_ == &Step || Now_ >= Each.Until_)
      continue;
    const StepSpec &Spec = Each.Step_->spec();
    if (!Spec.Gang_ && !Spec.Service_ &&
        priorityOf(Step) < priorityOf(*Each.Step_))
      continue;
    const Resources Need = workerNeed(Spec);
    for (std::uint32_t Copy = 0; Copy < Each.Copies_; ++Copy)
      Out = Out + Need;
  }
  return Out;
}

} // namespace oleandergauge::cell
