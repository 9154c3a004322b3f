#ifndef OLEANDERGAUGE_HEALTH_H
#define OLEANDERGAUGE_HEALTH_H

#include <cstdint>
#include <map>
#include <vector>

#include "oleandergauge/base.h"

namespace oleandergauge {

/// Quarantines workers on which tasks fail that succeed on other workers. A
/// quarantined worker gets single tasks as probes, with a backoff, and leaves
/// the quarantine when one succeeds.
class WorkerHealth {
public:
  /// Records that the worker refused a start, or that a task failed soon after
  /// its start.
  void noteFailure(const WorkerId &Worker, TimePoint Now);
  /// Records that a task on the worker succeeded.
  void noteSuccess(const WorkerId &Worker, TimePoint Now);
  /// Removes all data of a worker that has left.
  void forget(const WorkerId &Worker);

  bool isQuarantined(const WorkerId &Worker) const;
  /// Returns the quarantined workers that are due for a probe. Each one is
  /// returned once until the outcome of its probe is recorded.
  std::vector<WorkerId> dueProbes(TimePoint Now);

private:
  struct Entry {
    std::uint32_t ConsecutiveFailures_ = 0;
    double FailureRate_ = 0.0;
    bool Quarantined_ = false;
    bool Probing_ = false;
    TimePoint NextProbeAt_;
    Duration ProbeBackoff_{0};
  };
  /// Returns the mean failure rate of all workers but \p Worker.
  double meanRateOfOthers(const WorkerId &Worker) const;
  void setFailureRate(Entry &Health, double Rate);

  std::map<WorkerId, Entry> Entries_;
  double FailureRateSum_ = 0.0; ///< Sum of the failure rates of all workers.
};

} // namespace oleandergauge

#endif // OLEANDERGAUGE_HEALTH_H
