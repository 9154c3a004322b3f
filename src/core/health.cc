#include "oleandergauge/health.h"

#include <algorithm>

namespace oleandergauge {
namespace {

constexpr std::uint32_t FailuresToQuarantine = 5;
/// Weight of the newest outcome in a worker's failure rate.
constexpr double RateSmoothing = 0.2;
/// A worker is the cause only where the others fail less than this part of
/// its own rate; otherwise the work itself is at fault.
constexpr double OthersFraction = 0.5;
constexpr Duration FirstProbeDelay = std::chrono::seconds(10);
constexpr Duration LongestProbeDelay = std::chrono::minutes(10);

} // namespace

void WorkerHealth::setRate(Entry &E, double Rate) {
  SumOfRates_ += Rate - E.FailureRate_;
  E.FailureRate_ = Rate;
}

void WorkerHealth::noteFailure(const WorkerId &Worker, TimePoint Now) {
  Entry &E = Entries_[Worker];
  ++E.FailuresInRow_;
  setRate(E, E.FailureRate_ + RateSmoothing * (1.0 - E.FailureRate_));
  if (E.Quarantined_) {
    if (!E.Probing_)
      return;
    E.Probing_ = false;
    E.Backoff_ = std::min(E.Backoff_ * 2, LongestProbeDelay);
    E.NextProbe_ = Now + E.Backoff_;
    return;
  }
  // Without another worker to compare with, the work may be at fault.
  if (E.FailuresInRow_ < FailuresToQuarantine || Entries_.size() < 2)
    return;
  if (rateOfOthers(Worker) >= OthersFraction * E.FailureRate_)
    return;
  E.Quarantined_ = true;
  E.Probing_ = false;
  E.Backoff_ = FirstProbeDelay;
  E.NextProbe_ = Now + E.Backoff_;
}

void WorkerHealth::noteSuccess(const WorkerId &Worker, TimePoint) {
  Entry &E = Entries_[Worker];
  E.FailuresInRow_ = 0;
  setRate(E, E.FailureRate_ * (1.0 - RateSmoothing));
  // A task that started before the quarantine proves nothing about it.
  if (!E.Quarantined_ || !E.Probing_)
    return;
  E.Quarantined_ = false;
  E.Probing_ = false;
  E.Backoff_ = Duration(0);
  setRate(E, 0.0);
}

void WorkerHealth::forget(const WorkerId &Worker) {
  const auto Found = Entries_.find(Worker);
  if (Found == Entries_.end())
    return;
  setRate(Found->second, 0.0);
  Entries_.erase(Found);
}

bool WorkerHealth::isQuarantined(const WorkerId &Worker) const {
  const auto Found = Entries_.find(Worker);
  return Found != Entries_.end() && Found->second.Quarantined_;
}

std::vector<WorkerId> WorkerHealth::dueProbes(TimePoint Now) {
  std::vector<WorkerId> Due;
  for (auto &[Worker, E] : Entries_) {
    if (!E.Quarantined_ || E.Probing_ || E.NextProbe_ > Now)
      continue;
    E.Probing_ = true;
    Due.push_back(Worker);
  }
  return Due;
}

double WorkerHealth::rateOfOthers(const WorkerId &Worker) const {
  const auto Found = Entries_.find(Worker);
  const double Own = Found == Entries_.end() ? 0.0 : Found->second.FailureRate_;
  const std::size_t Others =
      Entries_.size() - (Found == Entries_.end() ? 0 : 1);
  return Others == 0 ? 0.0 : (SumOfRates_ - Own) / static_cast<double>(Others);
}

} // namespace oleandergauge
