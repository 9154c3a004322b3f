// Learned speeds of workers: which ends count, and the speeds for placement.

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <limits>

#include "cell/engine.h"

namespace oleandergauge::cell {
namespace {

/// Time between updates of the speeds that placement uses.
constexpr Millis SpeedRefreshInterval = 1000;
/// Time between lines on the learned speeds.
constexpr Millis SpeedReportInterval = 10000;
/// Largest error of a measured run time, as a share of it, with which the run
/// counts.
constexpr double MaxTimeErrorShare = 0.15;
/// Exceeds the largest error of every run, and sums of it do not overflow.
constexpr Millis UnknownDelay = std::numeric_limits<Millis>::max() / 4;

std::string decimalOf(double Value) {
  char Out[32];
  std::snprintf(Out, sizeof Out, "%.2f", Value);
  return Out;
}

} // namespace

/// Returns the longest time for which a run in this list can have been over.
/// A renewal that waits at the worker is answered at once when a run ends, so
/// that an end is late only while no renewal was there, or if the answer was
/// delayed. Called before the sender's clock is updated.
Millis Cell::Engine::maxEndDelay(const Worker &Sender,
                                 const WorkerList &List) const {
  if (!Sender.Reachable_ || Sender.ClockAt_ == 0 || Sender.EndsHidden_)
    return UnknownDelay;
  const Millis WithoutRenewal =
      std::max<Millis>(0, Sender.RenewalSentAt_ - Sender.ClockAt_);
  const Millis ClockDifference =
      (Now_ - Sender.ClockAt_) - (List.ClockMs_ - Sender.ClockMs_);
  return WithoutRenewal + std::abs(ClockDifference);
}

/// Learns from the end of a run whose duration depends on the worker alone and
/// is known well enough. Members of a gang end together, fillers use the time
/// that others leave, and remote runs are slowed by their place.
void Cell::Engine::learnFromEnd(const Worker &Sender, const Run &Ended,
                                EndKind Kind, Millis EndDelay) {
  if (Ended.Step_ == nullptr)
    return;
  const StepRun &Step = *Ended.Step_;
  const StepSpec &Spec = Step.spec();
  const bool Remote =
      !Spec.PreferredRack_.empty() && Sender.Rack_ != Spec.PreferredRack_;
  if (Spec.Gang_ || Spec.Service_ || Spec.Fill_ || Remote)
    return;
  if (Step.Job_->EndState_ ||
      Step.Tasks_[Ended.Index_].Phase_ == Task::Phase::Done)
    return; // The step may have been closed.
  if (Ended.Phase_ != Run::Phase::Running || Ended.Resumed_ ||
      Ended.OpenStarts_ > 0 || Ended.StartConfirmedAt_ == 0)
    return;
  const Millis RunTime = Now_ - Ended.StartConfirmedAt_;
  const Millis Error = Ended.StartConfirmedAt_ - Ended.OrderedAt_ + EndDelay;
  if (static_cast<double>(Error) >
      MaxTimeErrorShare * static_cast<double>(RunTime))
    return;
  History_.recordEnd({Sender.Id_, Step.Name_, Spec.Count_, Step.Job_->Queue_,
                      Kind, RunTime, Spec.Estimate_, Now_});
}

/// Returns the speed of a worker on which a task of the step is expected to end
/// in time. Returns nothing where speeds do not matter: they are equal or
/// unknown, the step is late already, or it runs until it is stopped or at the
/// pace that others leave. The same holds while the queue's durations are not
/// known, since estimates that are too short would send urgent work to slow
/// workers.
std::optional<double> Cell::Engine::requiredSpeedOf(const StepRun &Step) const {
  const StepSpec &Spec = Step.spec();
  if (!SpeedsDiffer_ || Spec.Fill_ ||
      Step.Urgency_.Class_ != Urgency::Class::OnTime ||
      !History_.knowsDurationRatio(Step.Job_->Queue_))
    return std::nullopt;
  const Millis Chain = Step.Objective_ - Step.LatestStart_;
  return requiredSpeed({Spec.Estimate_,
                        History_.durationRatio(Step.Job_->Queue_),
                        Step.Objective_ - Now_, Chain - Spec.Estimate_});
}

/// Sets the speeds that placement uses.
void Cell::Engine::refreshSpeeds() {
  if (Now_ < NextSpeedRefresh_)
    return;
  NextSpeedRefresh_ = Now_ + SpeedRefreshInterval;
  History_.normalize();
  double Slowest = 1;
  double Fastest = 1;
  for (const auto &[Id, Each] : Workers_) {
    Each->Speed_ = History_.speedOf(Id);
    Slowest = std::min(Slowest, Each->Speed_);
    Fastest = std::max(Fastest, Each->Speed_);
  }
  SpeedsDiffer_ = Fastest >= Slowest * MinSpeedRatio;
  reportSpeeds();
}

/// Logs how many speeds are known and how far apart they are.
void Cell::Engine::reportSpeeds() {
  if (Now_ < NextSpeedReport_)
    return;
  const SpeedSummary Known = History_.summary();
  if (Known.Known_ == 0)
    return;
  NextSpeedReport_ = Now_ + SpeedReportInterval;
  Effects_.push_back(Decision{
      "worker_speeds", std::to_string(Known.Known_) + " workers",
      "observed=" + std::to_string(Known.Observed_) + " slowest=" +
          decimalOf(Known.Slowest_) + " fastest=" + decimalOf(Known.Fastest_),
      Now_ - Known.NewestAt_});
}

} // namespace oleandergauge::cell
