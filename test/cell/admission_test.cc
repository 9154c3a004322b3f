#include "cell/admission.h"

#include <set>

#include <gtest/gtest.h>

namespace oleandergauge::cell {
namespace {

constexpr Work JobWork = 1000;
constexpr Millis Span = 600;
constexpr Millis Duration = 100;
constexpr Millis WindowLength = 200;

/// One queue of equal jobs in front of workers that start a number of them per
/// second, with admission control. On-time jobs go first, then late ones, each
/// in the order of submission.
class QueueModel {
public:
  /// Lets time pass with this many submissions and starts per second.
  void run(Millis Time, int Submissions, int Starts) {
    Refused_ = Accepted_ = StartedOnTime_ = 0;
    for (const Millis End = Now_ + Time; Now_ < End; ++Now_) {
      for (Submitted_ += Submissions; Submitted_ >= 1000; Submitted_ -= 1000)
        submit();
      expire();
      for (Credit_ += Starts; Credit_ >= 1000; Credit_ -= 1000)
        start();
      if (Now_ % 40 == 0)
        Load_.observeCapacity(Now_, OnTime_.empty() && Late_.empty());
      if (Now_ % WindowLength == 0)
        Load_.closeWindow(WindowLength);
    }
  }
  int refused() const { return Refused_; }
  int accepted() const { return Accepted_; }
  int startedOnTime() const { return StartedOnTime_; }
  std::size_t waiting() const { return OnTime_.size() + Late_.size(); }
  void forgetWindows() { Load_.forgetWindows(); }

private:
  void submit() {
    AdmissionInput Input;
    Input.ObjectiveSpan_ = Span;
    Input.Duration_ = Duration;
    Input.OnTimeWorkAhead_ = Load_.onTimeBefore(Now_ + Span - Duration);
    Input.LateWorkAhead_ = Load_.late();
    if (const std::size_t Count = Load_.windowsForRate())
      Input.Rate_ = StartRate{static_cast<double>(Load_.startedIn(Count)) /
                                  static_cast<double>(Load_.lengthOf(Count)),
                              Load_.meanWaitIn(Count)};
    const AdmissionDecision Decided =
        decideAdmission(Input, std::to_string(Refused_ + Accepted_));
    if (Decided.isRefused()) {
      ++Refused_;
      return;
    }
    ++Accepted_;
    OnTime_.push_back(Now_);
    Load_.addOnTime(Now_ + Span - Duration, JobWork);
  }
  void expire() {
    for (; !OnTime_.empty() && Now_ > OnTime_.front() + Span;
         OnTime_.pop_front()) {
      Load_.addOnTime(OnTime_.front() + Span - Duration, -JobWork);
      Load_.addLate(JobWork);
      Late_.push_back(OnTime_.front());
    }
    for (; !Late_.empty() && Now_ > Late_.front() + 3 * Span; Late_.pop_front())
      Load_.addLate(-JobWork);
  }
  void start() {
    std::deque<Millis> &From = OnTime_.empty() ? Late_ : OnTime_;
    if (From.empty())
      return;
    const Millis At = From.front();
    From.pop_front();
    if (&From == &Late_)
      Load_.addLate(-JobWork);
    else
      Load_.addOnTime(At + Span - Duration, -JobWork);
    StartedOnTime_ += Now_ + Duration <= At + Span ? 1 : 0;
    Load_.recordStart(JobWork);
    Load_.recordWait(Now_ - At);
  }

  Millis Now_ = 0;
  int Submitted_ = 0;
  int Credit_ = 0;
  int Refused_ = 0;
  int Accepted_ = 0;
  int StartedOnTime_ = 0;
  QueueLoad Load_;
  std::deque<Millis> OnTime_;
  std::deque<Millis> Late_;
};

/// An input that is refused: 10 s of work ahead of a job of 100 ms
/// whose objective is 600 ms away.
AdmissionInput hopelessInput() {
  return {Span, Duration, 5000, 5000, StartRate{1, 500}, false, 0};
}

// Guards against refusals of work that the workers keep up with.
TEST(Admission, RefusesNothingAtTheUsualRate) {
  QueueModel Model;
  Model.run(20000, 95, 100);
  EXPECT_EQ(Model.refused(), 0);
}

// Guards against a backlog that grows for as long as short urgent work arrives
// at four times its rate for 4 s, and against late answers after it.
TEST(Admission, BoundsTheBacklogOfABurstOfUrgentWork) {
  QueueModel Model;
  Model.run(5000, 90, 100);
  Model.run(4000, 360, 100);
  EXPECT_GT(Model.refused(), 500);
  // What can still be of value within three times the objective.
  EXPECT_LT(Model.waiting(), 300U);
  EXPECT_GT(Model.accepted(), 380);
  Model.run(1000, 90, 100);
  Model.run(3000, 90, 100);
  EXPECT_EQ(Model.refused(), 0);
  EXPECT_GT(Model.startedOnTime(), 250);
}

// Guards against a forecast by the rate of all hosts after a third of the hosts
// has gone during the burst.
TEST(Admission, FollowsTheRateAfterAThirdOfTheHostsHasGone) {
  QueueModel Model;
  Model.run(5000, 90, 100);
  Model.run(4000, 360, 67);
  EXPECT_GT(Model.refused(), 700);
  EXPECT_LT(Model.waiting(), 220U);
}

// Guards against refusals by the rate during an outage of the store, in the
// first seconds after which all stored work waits.
TEST(Admission, RefusesNothingOnTheFiguresOfAStoreOutage) {
  QueueModel Model;
  Model.run(5000, 90, 100);
  Model.run(2000, 90, 10);
  EXPECT_GT(Model.waiting(), 50U);
  Model.forgetWindows();
  Model.run(800, 90, 300);
  EXPECT_EQ(Model.refused(), 0);
}

// Guards against a rate that few starts or few windows make up by chance.
TEST(Admission, KnowsNoRateWithoutEnoughStartsUnderPressure) {
  QueueLoad Load;
  Load.addOnTime(1000, JobWork);
  for (int At = 0; At < 10; ++At) {
    Load.recordStart(JobWork);
    EXPECT_EQ(Load.windowsForRate(), At == 9 ? 8U : 0U) << At;
    Load.observeCapacity(At, false);
    Load.closeWindow(WindowLength);
    if (Load.windowsForRate() != 0)
      break;
  }
  EXPECT_EQ(Load.windowsForRate(), 8U);
  Load.observeCapacity(100, true);
  Load.closeWindow(WindowLength);
  EXPECT_EQ(Load.windowsForRate(), 0U);
}

// Guards against refusals on a guess where a figure is missing, as in a new
// owner, or where jobs pass the work that stands before them.
TEST(Admission, RefusesNothingWithoutFigures) {
  ASSERT_EQ(decideAdmission(hopelessInput(), "a").Reason_,
            RefusalReason::Hopeless);
  std::vector<AdmissionInput> Inputs(4, hopelessInput());
  Inputs[0].Rate_.reset();
  Inputs[1].Rate_ = StartRate{0, 500};
  Inputs[2].ObjectiveSpan_ = 0;
  Inputs[3].Rate_ = StartRate{1, 20};
  for (const AdmissionInput &Each : Inputs)
    EXPECT_FALSE(decideAdmission(Each, "a").isRefused());
  EXPECT_EQ(decideAdmission(Inputs[0], "a").Forecast_, Forecast::OnTime);
}

// Guards against a refusal of late work that still has some value.
TEST(Admission, RefusesOnlyWhatIsClearlyTooLate) {
  AdmissionInput Input = hopelessInput();
  Input.OnTimeWorkAhead_ = 400;
  EXPECT_EQ(decideAdmission(Input, "a").Forecast_, Forecast::OnTime);
  Input.OnTimeWorkAhead_ = 600;
  Input.LateWorkAhead_ = 1400;
  EXPECT_EQ(decideAdmission(Input, "a").Forecast_, Forecast::Late);
  EXPECT_FALSE(decideAdmission(Input, "a").isRefused());
  Input.LateWorkAhead_ = 1600;
  EXPECT_TRUE(decideAdmission(Input, "a").isRefused());
}

// Guards against a team at five times its rate that fills the backlog, and
// against refusals of its work while the workers keep up.
TEST(Admission, RefusesWorkOverTheShareWhileOnTimeWorkWaits) {
  AdmissionInput Input;
  Input.ObjectiveSpan_ = Span;
  Input.OverTeamShare_ = true;
  Input.OnTimeWait_ = 499;
  EXPECT_FALSE(decideAdmission(Input, "a").isRefused());
  Input.OnTimeWait_ = 500;
  EXPECT_EQ(decideAdmission(Input, "a").Reason_, RefusalReason::OverShare);
  EXPECT_GE(decideAdmission(Input, "a").RetryAfter_, 1000);
  Input.OverTeamShare_ = false;
  EXPECT_FALSE(decideAdmission(Input, "a").isRefused());
}

// Guards against refused callers that all retry at the same time.
TEST(Admission, SpreadsTheRetryTimes) {
  std::set<Millis> Times;
  for (int At = 0; At < 200; ++At)
    Times.insert(decideAdmission(hopelessInput(), "job" + std::to_string(At))
                     .RetryAfter_);
  EXPECT_GT(Times.size(), 150U);
  EXPECT_GE(*Times.begin(), 10000);
  EXPECT_LE(*Times.rbegin(), 15000);
}

// Guards against counts of work that goes behind the job.
TEST(Admission, CountsTheOnTimeWorkWithAnEarlierStart) {
  QueueLoad Load;
  Load.addOnTime(-5000, 1);
  Load.addOnTime(1000, 10);
  Load.addOnTime(9000, 100);
  EXPECT_EQ(Load.onTimeBefore(5000), 11);
  Load.addOnTime(1000, -10);
  EXPECT_EQ(Load.onTimeBefore(5000), 1);
  EXPECT_EQ(Load.onTime(), 101);
}

} // namespace
} // namespace oleandergauge::cell
