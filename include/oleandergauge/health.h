#ifndef OLEANDERGAUGE_HEALTH_H
#define OLEANDERGAUGE_HEALTH_H

#include <cstdint>
#include <map>
#include <vector>

#include "oleandergauge/base.h"

namespace oleandergauge {

/// Finds workers that fail what the others do not, quarantines them and lets
/// single tasks probe them back in.
class WorkerHealth {
public:
  /// A start was refused or the task ended in failure soon after its start.
  void noteFailure(const WorkerId &Worker, TimePoint Now);
  void noteSuccess(const WorkerId &Worker, TimePoint Now);
  void forget(const WorkerId &Worker);

  bool isQuarantined(const WorkerId &Worker) const;
  /// Quarantined workers whose time for one probe has come; each is named
  /// once until the probe's outcome is noted.
  std::vector<WorkerId> dueProbes(TimePoint Now);

private:
  struct Entry {
    std::uint32_t FailuresInRow_ = 0;
    double FailureRate_ = 0.0;
    bool Quarantined_ = false;
    bool Probing_ = false;
    TimePoint NextProbe_;
    Duration Backoff_{0};
  };
  double rateOfOthers(const WorkerId &Worker) const;
  void setRate(Entry &E, double Rate);

  std::map<WorkerId, Entry> Entries_;
  double SumOfRates_ = 0.0; ///< Of all entries, for the mean of the others.
};

} // namespace oleandergauge

#endif // OLEANDERGAUGE_HEALTH_H
