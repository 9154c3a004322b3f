#ifndef OLEANDERGAUGE_CELL_RUN_HISTORY_H
#define OLEANDERGAUGE_CELL_RUN_HISTORY_H

#include <string>
#include <unordered_map>
#include <vector>

#include "cell/types.h"

namespace oleandergauge::cell::detail {

/// A run whose end a worker has listed.
struct FinishedRun {
  std::string Worker_; ///< The id, which a worker keeps over restarts.
  std::string Step_;   ///< Distinguishes the steps of all jobs.
  std::uint32_t StepTasks_ = 1;
  std::string Queue_;
  EndKind Kind_ = EndKind::Done;
  Millis RunTime_ = 0;
  Millis Estimate_ = 0;
  Millis EndedAt_ = 0;
  friend bool operator==(const FinishedRun &, const FinishedRun &) = default;
};

/// What is known of the speeds of workers, for reports.
struct SpeedSummary {
  std::size_t Observed_ = 0; ///< Workers with at least one sample.
  std::size_t Known_ = 0;    ///< Workers whose speed is known with confidence.
  double Slowest_ = 1;       ///< Among the known ones.
  double Fastest_ = 1;
  Millis NewestAt_ = 0; ///< Time of the latest sample; zero without one.
  friend bool operator==(const SpeedSummary &, const SpeedSummary &) = default;
};

/// Learns the relative speeds of workers and the ratio of real to estimated
/// durations from the ends of runs. It has no clock and performs no I/O.
///
/// A worker is compared only with other workers that ran tasks of the same
/// step, because the error of the caller's estimate is common to these tasks.
/// The runs of a step are compared in batches rather than one by one as they
/// end: the tasks that end first are the shortest ones, so that a comparison
/// with them would make the others look slow.
class RunHistory {
public:
  /// Limits on the memory. A full table drops the worker without news for the
  /// longest time, or any of the steps.
  static constexpr std::size_t MaxWorkers = 8192;
  static constexpr std::size_t MaxOpenSteps = 4096;
  static constexpr std::size_t MaxQueues = 1024;
  /// Runs of one step that are compared at once.
  static constexpr std::size_t MaxBatch = 16;
  /// Samples below which a speed or a duration ratio counts as unknown.
  static constexpr std::uint32_t MinSamples = 6;

  /// Learns from a run, unless it did not succeed or its duration is not
  /// plausible, as after a jump of a clock.
  void recordEnd(const FinishedRun &Finished);
  /// Compares the remaining runs of a step that has no further ones.
  void closeStep(const std::string &Step);
  /// Scales the speeds so that the median worker has speed 1.
  void normalize();

  /// Returns the speed of a worker relative to the median one, or 1 if it is
  /// not known with confidence.
  double speedOf(const std::string &Worker) const;
  /// Returns how much longer than estimated tasks of the queue typically take
  /// on a worker of speed 1, or 1 if that is not known.
  double durationRatio(const std::string &Queue) const;
  bool knowsDurationRatio(const std::string &Queue) const;
  SpeedSummary summary() const;

  std::size_t openSteps() const { return Batches_.size(); }
  std::size_t queues() const { return Ratios_.size(); }

private:
  /// A mean of logarithms that forgets with the number of samples.
  struct LogMean {
    double Value_ = 0;
    double Variance_ = 0;
    std::uint32_t Samples_ = 0;
    Millis NewestAt_ = 0;

    void add(double Observed, std::uint32_t Window, Millis At);
    bool isKnown(std::uint32_t Window) const;
  };
  struct Sample {
    std::string Worker_;
    double LogTime_ = 0;
    Millis EndedAt_ = 0;
  };

  void recordRatio(const FinishedRun &Finished);
  void compare(const std::vector<Sample> &Batch);
  double commonLogTime(const std::vector<Sample> &Batch) const;
  LogMean valueOf(const std::string &Worker) const;
  void makeRoomForWorker();

  std::unordered_map<std::string, LogMean> Speeds_; ///< By worker.
  std::unordered_map<std::string, LogMean> Ratios_; ///< By queue.
  /// Runs of open steps that are not compared yet.
  std::unordered_map<std::string, std::vector<Sample>> Batches_;
};

} // namespace oleandergauge::cell::detail

#endif // OLEANDERGAUGE_CELL_RUN_HISTORY_H
