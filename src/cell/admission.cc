#include "cell/admission.h"

#include <algorithm>
#include <functional>

namespace oleandergauge::cell {
namespace {

/// A job has some value until this multiple of its objective span has passed.
constexpr Millis ValuedSpans = 3;
/// Factor by which the expected start must exceed the last useful one. A wrong
/// refusal costs the caller more than a late answer.
constexpr double CertaintyFactor = 1.25;
/// Recent jobs of the queue must have waited for at least this share of the
/// objective span. Shorter waits show that jobs pass the work that stands
/// before them, for instance a gang that does not fit.
constexpr double MinWaitShare = 0.25;
/// Time for which on-time work must have waited for capacity before submissions
/// over the share of a team are refused.
constexpr Millis OverShareWait = 500;
/// Limits of the retry time before it is spread. The front end sends whole
/// seconds, at least one.
constexpr Millis MinRetryTime = 1000;
constexpr Millis MaxRetryTime = 20000;
/// Largest part of the retry time that is added to spread the callers.
constexpr double RetrySpread = 0.5;
constexpr std::size_t SpreadSteps = 1024;

/// Resolution of latest starts, and the number of buckets that are summed.
constexpr Millis BucketLength = 256;
constexpr std::size_t MaxBucketsSummed = 256;
/// Number of windows that are kept.
constexpr std::size_t MaxWindows = 20;
/// Number of pressed windows in a row, and of starts in them, from which a rate
/// is derived. Starts of long tasks come in groups with long pauses.
constexpr std::size_t MinPressedWindows = 3;
constexpr std::uint32_t MinStarts = 8;

/// Returns the bucket of a latest start, also of one before time zero.
Millis bucketOf(Millis LatestStart) {
  const Millis Down = LatestStart < 0 ? BucketLength - 1 : 0;
  return (LatestStart - Down) / BucketLength;
}

Millis timeFor(Work Amount, const StartRate &Rate) {
  return static_cast<Millis>(static_cast<double>(Amount) / Rate.WorkPerMs_);
}

Forecast forecastOf(const AdmissionInput &Input) {
  const StartRate &Rate = *Input.Rate_;
  if (timeFor(Input.OnTimeWorkAhead_, Rate) + Input.Duration_ <=
      Input.ObjectiveSpan_)
    return Forecast::OnTime;
  const Millis Wait =
      timeFor(Input.OnTimeWorkAhead_ + Input.LateWorkAhead_, Rate);
  const Millis LastStart =
      std::max<Millis>(0, ValuedSpans * Input.ObjectiveSpan_ - Input.Duration_);
  const bool JobsWait =
      static_cast<double>(Rate.MeanWait_) >=
      MinWaitShare * static_cast<double>(Input.ObjectiveSpan_);
  const bool TooLate = static_cast<double>(Wait) >
                       CertaintyFactor * static_cast<double>(LastStart);
  return JobsWait && TooLate ? Forecast::Hopeless : Forecast::Late;
}

/// Returns the retry time for an expected wait, spread by the id of the job.
Millis retryTimeFor(Millis Wait, std::string_view JobId) {
  const Millis Base = std::clamp(Wait, MinRetryTime, MaxRetryTime);
  const std::size_t Step = std::hash<std::string_view>()(JobId) % SpreadSteps;
  const double Share =
      static_cast<double>(Step) / static_cast<double>(SpreadSteps);
  return Base +
         static_cast<Millis>(RetrySpread * Share * static_cast<double>(Base));
}

} // namespace

std::string_view describe(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::Hopeless:
    return "cannot end while it is of value";
  case RefusalReason::OverShare:
    return "team is over its share";
  case RefusalReason::None:
    break;
  }
  return "";
}

AdmissionDecision decideAdmission(const AdmissionInput &Input,
                                  std::string_view JobId) {
  AdmissionDecision Out;
  const bool RateKnown = Input.Rate_ && Input.Rate_->WorkPerMs_ > 0;
  if (RateKnown) {
    Out.ExpectedWait_ =
        timeFor(Input.OnTimeWorkAhead_ + Input.LateWorkAhead_, *Input.Rate_);
    if (Input.ObjectiveSpan_ > 0)
      Out.Forecast_ = forecastOf(Input);
    if (Out.Forecast_ == Forecast::OnTime)
      Out.ExpectedWait_ = timeFor(Input.OnTimeWorkAhead_, *Input.Rate_);
  }
  if (Input.OverTeamShare_ && Input.OnTimeWait_ >= OverShareWait)
    Out.Reason_ = RefusalReason::OverShare;
  else if (!Input.OverTeamShare_ && Out.Forecast_ == Forecast::Hopeless)
    Out.Reason_ = RefusalReason::Hopeless;
  if (Out.isRefused())
    Out.RetryAfter_ = retryTimeFor(Out.ExpectedWait_.value_or(0), JobId);
  return Out;
}

void QueueLoad::addOnTime(Millis LatestStart, Work Amount) {
  OnTime_ += Amount;
  const auto It = OnTimeByStart_.try_emplace(bucketOf(LatestStart), 0).first;
  It->second += Amount;
  if (It->second == 0)
    OnTimeByStart_.erase(It);
}

Work QueueLoad::onTimeBefore(Millis LatestStart) const {
  Work Out = 0;
  std::size_t Summed = 0;
  const Millis End = bucketOf(LatestStart);
  for (const auto &[Bucket, Amount] : OnTimeByStart_) {
    if (Bucket >= End || ++Summed > MaxBucketsSummed)
      break;
    Out += Amount;
  }
  return Out;
}

void QueueLoad::recordStart(Work Amount) {
  Present_.Started_ += Amount;
  ++Present_.Starts_;
}

void QueueLoad::recordWait(Millis Wait) {
  Present_.WaitSum_ += Wait;
  ++Present_.Waits_;
}

void QueueLoad::observeCapacity(Millis Now, bool HasCapacity) {
  if (HasCapacity || OnTime_ + Late_ <= 0) {
    WithoutCapacitySince_.reset();
    Present_.Pressed_ = false;
  } else if (!WithoutCapacitySince_) {
    WithoutCapacitySince_ = Now;
  }
}

void QueueLoad::closeWindow(Millis Length) {
  Present_.Length_ = Length;
  // Observed at least once, and lacked capacity each time.
  Present_.Pressed_ = Present_.Pressed_ && WithoutCapacitySince_.has_value();
  Windows_.push_back(Present_);
  Present_ = {};
  if (Windows_.size() > MaxWindows)
    Windows_.pop_front();
}

void QueueLoad::forgetWindows() {
  Windows_.clear();
  Present_ = {};
  Present_.Pressed_ = false;
  WithoutCapacitySince_.reset();
}

std::size_t QueueLoad::windowsForRate() const {
  std::size_t Count = 0;
  std::uint32_t Starts = 0;
  for (auto It = Windows_.rbegin(); It != Windows_.rend() && It->Pressed_;
       ++It) {
    Starts += It->Starts_;
    if (++Count >= MinPressedWindows && Starts >= MinStarts)
      return Count;
  }
  return 0;
}

std::size_t QueueLoad::pressedWindows() const {
  const auto First =
      std::find_if(Windows_.rbegin(), Windows_.rend(),
                   [](const Window &Each) { return !Each.Pressed_; });
  return static_cast<std::size_t>(First - Windows_.rbegin());
}

Work QueueLoad::startedIn(std::size_t Count) const {
  Work Out = 0;
  for (auto It = Windows_.rbegin(); It != Windows_.rend() && Count > 0;
       ++It, --Count)
    Out += It->Started_;
  return Out;
}

Millis QueueLoad::lengthOf(std::size_t Count) const {
  Millis Out = 0;
  for (auto It = Windows_.rbegin(); It != Windows_.rend() && Count > 0;
       ++It, --Count)
    Out += It->Length_;
  return Out;
}

Millis QueueLoad::meanWaitIn(std::size_t Count) const {
  Millis Sum = 0;
  Millis Waits = 0;
  for (auto It = Windows_.rbegin(); It != Windows_.rend() && Count > 0;
       ++It, --Count) {
    Sum += It->WaitSum_;
    Waits += It->Waits_;
  }
  return Waits == 0 ? 0 : Sum / Waits;
}

} // namespace oleandergauge::cell
