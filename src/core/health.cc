#include "oleandergauge/health.h"

#include <algorithm>

namespace oleandergauge {
namespace {

/// Number of consecutive failures after which a worker may be quarantined.
constexpr std::uint32_t FailuresToQuarantine = 5;
/// Weight of the latest outcome in a worker's failure rate.
constexpr double FailureRateSmoothing = 0.2;
/// A worker counts as the cause of its failures only if the mean failure rate
/// of the other workers is below this fraction of its own. Otherwise the cause
/// is the work.
constexpr double MaxOthersFraction = 0.5;
constexpr Duration InitialProbeBackoff = std::chrono::seconds(10);
constexpr Duration MaxProbeBackoff = std::chrono::minutes(10);

} // namespace

void WorkerHealth::setFailureRate(Entry &Health, double Rate) {
  FailureRateSum_ += Rate - Health.FailureRate_;
  Health.FailureRate_ = Rate;
}

void WorkerHealth::noteFailure(const WorkerId &Worker, TimePoint Now) {
  Entry &Health = Entries_[Worker];
  ++Health.ConsecutiveFailures_;
  setFailureRate(Health, Health.FailureRate_ + FailureRateSmoothing *
                                                   (1.0 - Health.FailureRate_));
  if (Health.Quarantined_) {
    if (!Health.Probing_)
      return;
    Health.Probing_ = false;
    Health.ProbeBackoff_ = std::min(Health.ProbeBackoff_ * 2, MaxProbeBackoff);
    Health.NextProbeAt_ = Now + Health.ProbeBackoff_;
    return;
  }
  // Without another worker to compare with, the cause may be the work.
  if (Health.ConsecutiveFailures_ < FailuresToQuarantine || Entries_.size() < 2)
    return;
  if (meanRateOfOthers(Worker) >= MaxOthersFraction * Health.FailureRate_)
    return;
  Health.Quarantined_ = true;
  Health.Probing_ = false;
  Health.ProbeBackoff_ = InitialProbeBackoff;
  Health.NextProbeAt_ = Now + Health.ProbeBackoff_;
}

void WorkerHealth::noteSuccess(const WorkerId &Worker, TimePoint) {
  Entry &Health = Entries_[Worker];
  Health.ConsecutiveFailures_ = 0;
  setFailureRate(Health, Health.FailureRate_ * (1.0 - FailureRateSmoothing));
  // Only a probe ends the quarantine. A task that started before it says
  // nothing about the worker's present state.
  if (!Health.Quarantined_ || !Health.Probing_)
    return;
  Health.Quarantined_ = false;
  Health.Probing_ = false;
  Health.ProbeBackoff_ = Duration(0);
  setFailureRate(Health, 0.0);
}

void WorkerHealth::forget(const WorkerId &Worker) {
  const auto Found = Entries_.find(Worker);
  if (Found == Entries_.end())
    return;
  setFailureRate(Found->second, 0.0);
  Entries_.erase(Found);
}

bool WorkerHealth::isQuarantined(const WorkerId &Worker) const {
  const auto Found = Entries_.find(Worker);
  return Found != Entries_.end() && Found->second.Quarantined_;
}

std::vector<WorkerId> WorkerHealth::dueProbes(TimePoint Now) {
  std::vector<WorkerId> Due;
  for (auto &[Worker, Health] : Entries_) {
    if (!Health.Quarantined_ || Health.Probing_ || Health.NextProbeAt_ > Now)
      continue;
    Health.Probing_ = true;
    Due.push_back(Worker);
  }
  return Due;
}

double WorkerHealth::meanRateOfOthers(const WorkerId &Worker) const {
  const auto Found = Entries_.find(Worker);
  const double Own = Found == Entries_.end() ? 0.0 : Found->second.FailureRate_;
  const std::size_t OtherWorkers =
      Entries_.size() - (Found == Entries_.end() ? 0 : 1);
  return OtherWorkers == 0
             ? 0.0
             : (FailureRateSum_ - Own) / static_cast<double>(OtherWorkers);
}

} // namespace oleandergauge
