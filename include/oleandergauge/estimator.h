#ifndef OLEANDERGAUGE_ESTIMATOR_H
#define OLEANDERGAUGE_ESTIMATOR_H

#include <cstdint>
#include <map>
#include <utility>

#include "oleandergauge/base.h"

namespace oleandergauge {

/// Learns sizes and run times of each team's work in a queue, as declared
/// ones are far off.
class Estimator {
public:
  /// Called at the end of a task with its real run time and its highest
  /// reported usage.
  void noteEnd(const TeamId &Team, const QueueId &Queue, Duration Run,
               const Resources &PeakUsage);
  /// The learned run time (90th percentile), or \p Declared before enough
  /// ends were seen.
  Duration expectedRun(const TeamId &Team, const QueueId &Queue,
                       Duration Declared) const;
  /// The larger of the declared and the learned need in processor and memory;
  /// accelerators, slots and connections stay as declared.
  Resources expectedNeed(const TeamId &Team, const QueueId &Queue,
                         const Resources &Declared) const;

private:
  /// Tracks the 90th percentile by steps that shrink with the spread.
  struct Quantile {
    double Value_ = 0.0;
    double Step_ = 0.0;
    void note(double Sample);
  };
  struct Entry {
    std::uint32_t Ends_ = 0;
    Quantile Run_;
    Quantile Cpu_;
    Quantile Memory_;
  };
  std::map<std::pair<TeamId, QueueId>, Entry> Entries_;
};

} // namespace oleandergauge

#endif // OLEANDERGAUGE_ESTIMATOR_H
