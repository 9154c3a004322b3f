#ifndef OLEANDERGAUGE_ESTIMATOR_H
#define OLEANDERGAUGE_ESTIMATOR_H

#include <cstdint>
#include <map>
#include <utility>

#include "oleandergauge/base.h"

namespace oleandergauge {

/// Estimates the resource needs and run times of each team's tasks in a queue
/// from past tasks, because the declared ones are often far off.
class Estimator {
public:
  /// Records the end of a task with its actual run time and its peak usage.
  /// With \p Declared, the need that the submitter declared, the ratio of usage
  /// to declaration is learned as well, so that the small tasks of a queue are
  /// not estimated to be as large as its large ones.
  void noteEnd(const TeamId &Team, const QueueId &Queue, Duration Run,
               const Resources &PeakUsage, const Resources &Declared = {});
  /// Returns the 90th percentile of past run times, or \p Declared until enough
  /// tasks have ended.
  Duration expectedRun(const TeamId &Team, const QueueId &Queue,
                       Duration Declared) const;
  /// Returns the larger of the declared and the learned need for CPU and for
  /// memory. Accelerators, slots and connections stay as declared. The learned
  /// need is the 90th percentile of the usage. If declarations turn out to be
  /// about right, it is at most the declared need times the 90th percentile of
  /// the ratio of usage to declaration.
  Resources expectedNeed(const TeamId &Team, const QueueId &Queue,
                         const Resources &Declared) const;

private:
  /// Tracks the 90th percentile of a stream of samples. Each sample moves the
  /// estimate by a step whose size follows the spread of the samples.
  struct Quantile {
    double Value_ = 0.0;
    double Step_ = 0.0;
    void addSample(double Sample);
  };
  /// The learned usage of one resource.
  struct ResourceUsage {
    Quantile Usage_;
    Quantile Ratio_; ///< Usage divided by declaration, in thousandths.
    std::uint32_t RatioCount_ = 0;
    void addSample(std::int64_t Usage, std::int64_t Declared);
    std::int64_t expectedUsage(std::int64_t Declared) const;
  };
  struct Entry {
    std::uint32_t EndedTasks_ = 0;
    Quantile Run_;
    ResourceUsage Cpu_;
    ResourceUsage Memory_;
  };
  std::map<std::pair<TeamId, QueueId>, Entry> Entries_;
};

} // namespace oleandergauge

#endif // OLEANDERGAUGE_ESTIMATOR_H
