#ifndef OLEANDERGAUGE_CELL_ADMISSION_H
#define OLEANDERGAUGE_CELL_ADMISSION_H

#include <deque>
#include <map>
#include <optional>
#include <string_view>

#include "cell/types.h"

namespace oleandergauge::cell {

/// An amount of work: milli-cores times the estimated milliseconds.
using Work = std::int64_t;

/// When a job is expected to end: within its objective, within the time in
/// which it still has some value, or later.
enum class Forecast { OnTime, Late, Hopeless };

/// Why a submission is refused.
enum class RefusalReason {
  None,
  Hopeless, ///< The job would not end before it is worth nothing.
  /// The team is over its share, and on-time work waits for capacity.
  OverShare
};

/// Returns the reason as text for the log.
std::string_view describe(RefusalReason Reason);

/// The starts that were observed while the work of a queue lacked capacity.
struct StartRate {
  double WorkPerMs_ = 0; ///< Of the queue and of all that go before it.
  Millis MeanWait_ = 0;  ///< Of the queue's jobs that started.
  friend bool operator==(const StartRate &, const StartRate &) = default;
};

/// What the decision on a submission depends on.
struct AdmissionInput {
  Millis ObjectiveSpan_ = 0; ///< From the submission to the objective.
  Millis Duration_ = 0;      ///< Of the job's longest chain, as estimated.
  Work OnTimeWorkAhead_ = 0; ///< Waiting work that can meet its objective.
  Work LateWorkAhead_ = 0;   ///< Waiting work that is late but has some value.
  /// Empty if it is not known, or if the queue's work has had capacity lately.
  std::optional<StartRate> Rate_;
  bool OverTeamShare_ = false;
  /// Time for which on-time work has been waiting without capacity.
  Millis OnTimeWait_ = 0;
  friend bool operator==(const AdmissionInput &,
                         const AdmissionInput &) = default;
};

/// The decision on a submission.
struct AdmissionDecision {
  Forecast Forecast_ = Forecast::OnTime;
  RefusalReason Reason_ = RefusalReason::None;
  /// Time until the job is expected to start; empty if it is not known.
  std::optional<Millis> ExpectedWait_;
  /// Time after which a refused submission should be repeated.
  Millis RetryAfter_ = 0;
  bool isRefused() const { return Reason_ != RefusalReason::None; }
  friend bool operator==(const AdmissionDecision &,
                         const AdmissionDecision &) = default;
};

/// Decides on the submission of the job \p JobId, whose id spreads the times
/// at which refused callers retry.
AdmissionDecision decideAdmission(const AdmissionInput &Input,
                                  std::string_view JobId);

/// The waiting work of one queue and its recent starts. The starts are counted
/// in windows of time. A window is pressed if work of the queue waited without
/// capacity during all of it; only then does the start rate show the capacity
/// and not the rate of submissions.
class QueueLoad {
public:
  /// Adds waiting work, or removes it if \p Amount is negative.
  void addOnTime(Millis LatestStart, Work Amount);
  void addLate(Work Amount) { Late_ += Amount; }
  Work onTime() const { return OnTime_; }
  Work late() const { return Late_; }
  /// Returns the on-time work with an earlier latest start. The result may be
  /// too low if the latest starts are spread widely.
  Work onTimeBefore(Millis LatestStart) const;

  void recordStart(Work Amount);
  /// Records how long a job waited for its first start.
  void recordWait(Millis Wait);

  /// Records whether the queue's work has capacity at present.
  void observeCapacity(Millis Now, bool HasCapacity);
  /// Returns since when work has waited without capacity, if it does.
  std::optional<Millis> withoutCapacitySince() const {
    return WithoutCapacitySince_;
  }
  /// Ends the present window, which took \p Length.
  void closeWindow(Millis Length);
  /// Forgets all windows, for instance after a time without a store.
  void forgetWindows();

  /// Returns the number of latest windows that show the rate of starts, or zero
  /// if too few are pressed or contain too few starts.
  std::size_t windowsForRate() const;
  /// Returns the number of latest windows that are pressed without a gap.
  std::size_t pressedWindows() const;
  /// Returns the work started in the latest \p Count windows.
  Work startedIn(std::size_t Count) const;
  Millis lengthOf(std::size_t Count) const;
  /// Returns the mean wait of the jobs started in the latest \p Count windows.
  Millis meanWaitIn(std::size_t Count) const;

private:
  struct Window {
    Millis Length_ = 0;
    Work Started_ = 0;
    std::uint32_t Starts_ = 0;
    Millis WaitSum_ = 0;
    std::uint32_t Waits_ = 0;
    bool Pressed_ = true;
  };
  Work OnTime_ = 0;
  Work Late_ = 0;
  /// On-time work by latest start, in units of BucketLength.
  std::map<Millis, Work> OnTimeByStart_;
  std::optional<Millis> WithoutCapacitySince_;
  Window Present_;
  std::deque<Window> Windows_; ///< The latest one is at the back.
};

} // namespace oleandergauge::cell

#endif // OLEANDERGAUGE_CELL_ADMISSION_H
