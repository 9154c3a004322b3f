#ifndef OLEANDERGAUGE_CELL_WORKER_CHOICE_H
#define OLEANDERGAUGE_CELL_WORKER_CHOICE_H

#include <optional>
#include <vector>

#include "cell/types.h"

namespace oleandergauge::cell::detail {

/// Speeds that differ by less than this ratio count as equal.
constexpr double MinSpeedRatio = 1.2;

/// A worker with room for a task.
struct WorkerCandidate {
  /// Away from the task's preferred rack, or unsuitable for another reason.
  bool Unpreferred_ = false;
  std::int64_t FreeCpu_ = 0; ///< In milli-cores.
  double Speed_ = 1;         ///< Relative to the median worker.
};

/// What a task needs to end in time. Times are in milliseconds.
struct TimeNeed {
  Millis Estimate_ = 0;
  /// Ratio of real to estimated durations on a worker of speed 1.
  double DurationRatio_ = 1;
  Millis Left_ = 0;       ///< Time until the objective of the job.
  Millis LaterSteps_ = 0; ///< Estimated time of the steps that follow.
};

/// Returns the speed of a worker on which the task is expected to end in time,
/// with a margin; infinite if no time is left.
double requiredSpeed(const TimeNeed &Need);

/// Returns the index of the candidate on which a task should start; there must
/// be one. Preferred candidates go before others, and among equals the one with
/// the least free processors is chosen, the first one of several.
///
/// If \p Required is set, the slowest candidates that are at least that fast go
/// first, so that tasks with much time leave the fast workers to others. If
/// none is, the fastest ones go first, unless these are much too slow as well.
std::size_t chooseWorker(const std::vector<WorkerCandidate> &Candidates,
                         std::optional<double> Required);

} // namespace oleandergauge::cell::detail

#endif // OLEANDERGAUGE_CELL_WORKER_CHOICE_H
