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
  /// reported usage. With \p Declared, the need that the submitter declared,
  /// also the ratio of the two is learned, so that small work of a queue is
  /// not taken to be as large as the queue's large work.
  void noteEnd(const TeamId &Team, const QueueId &Queue, Duration Run,
               const Resources &PeakUsage, const Resources &Declared = {});
  /// The learned run time (90th percentile), or \p Declared before enough
  /// ends were seen.
  Duration expectedRun(const TeamId &Team, const QueueId &Queue,
                       Duration Declared) const;
  /// The larger of the declared and the learned need in processor and memory;
  /// accelerators, slots and connections stay as declared. The learned need
  /// is the 90th percentile of the usage or, where declarations prove about
  /// right and it is less, the declared need times the 90th percentile of the
  /// ratio of usage to declaration.
  Resources expectedNeed(const TeamId &Team, const QueueId &Queue,
                         const Resources &Declared) const;

private:
  /// Tracks the 90th percentile by steps that shrink with the spread.
  struct Quantile {
    double Value_ = 0.0;
    double Step_ = 0.0;
    void note(double Sample);
  };
  /// What is learned of one amount.
  struct Amount {
    Quantile Usage_;
    Quantile Ratio_; ///< Usage to declaration, in thousandths.
    std::uint32_t Ratios_ = 0;
    void note(std::int64_t Usage, std::int64_t Declared);
    std::int64_t expected(std::int64_t Declared) const;
  };
  struct Entry {
    std::uint32_t Ends_ = 0;
    Quantile Run_;
    Amount Cpu_;
    Amount Memory_;
  };
  std::map<std::pair<TeamId, QueueId>, Entry> Entries_;
};

} // namespace oleandergauge

#endif // OLEANDERGAUGE_ESTIMATOR_H
