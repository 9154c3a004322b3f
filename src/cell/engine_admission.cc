// Admission: the load of each queue, and which submissions are refused by it.

#include <algorithm>

#include "cell/engine.h"

namespace oleandergauge::cell {
namespace {

/// Interval at which the capacity for each queue is checked.
constexpr Millis LoadCheckInterval = 40;
/// A longer time between two checks leaves a gap in the observed starts.
constexpr Millis MaxLoadCheckGap = 400;
/// Length of a window in which starts are counted.
constexpr Millis LoadWindowLength = 200;
/// Share of free processors and memory up to which a service's workers count
/// as full. It covers the reserve for urgent work and pieces of room that are
/// too small for the waiting tasks.
constexpr double FullFreeShare = 0.25;
/// Number of the most urgent steps among which on-time work that waits without
/// capacity is looked for.
constexpr std::size_t MaxUrgentLookedAt = 16;
/// Upper limit of the work of one task, so that sums do not overflow.
constexpr Work MaxTaskWork = 10'000'000'000;

Work taskWork(const StepSpec &Spec) {
  const Work Cpu = std::max<Work>(1, Spec.Need_.CpuMilli_);
  const Work Time = std::max<Work>(1, Spec.Estimate_);
  return Cpu > MaxTaskWork / Time ? MaxTaskWork : Cpu * Time;
}

double freeShareOf(std::int64_t Used, std::int64_t Capacity) {
  return Capacity <= 0
             ? 1
             : 1 - static_cast<double>(Used) / static_cast<double>(Capacity);
}

/// Returns whether the job has a schedule or is a service.
bool isAlwaysAdmitted(const JobSpec &Spec) {
  return Spec.Occurrences_ > 0 ||
         std::any_of(Spec.Steps_.begin(), Spec.Steps_.end(),
                     [](const StepSpec &Each) { return Each.Service_; });
}

} // namespace

/// Brings the load of the step's queue up to date after the step's waiting
/// tasks, or its place among the waiting steps, have changed. Services and
/// steps without value are not counted.
void Cell::Engine::countWaitingWork(StepRun &Step) {
  const Urgency::Class Class = Step.Urgency_.Class_;
  const bool Counted =
      Class == Urgency::Class::OnTime || Class == Urgency::Class::Late;
  const Work Present = Step.InWaiting_ && Counted
                           ? taskWork(Step.spec()) * Work{Step.waiting()}
                           : 0;
  const Work Change = Present - Step.CountedWork_;
  if (Change == 0)
    return;
  Step.CountedWork_ = Present;
  QueueLoad &Load = QueueLoads_[Step.Job_->Queue_];
  if (Class == Urgency::Class::OnTime)
    Load.addOnTime(Step.Urgency_.LatestStart_, Change);
  else
    Load.addLate(Change);
}

void Cell::Engine::recordStartLoad(const StepRun &Step) {
  if (!Step.spec().Service_)
    QueueLoads_[Step.Job_->Queue_].recordStart(taskWork(Step.spec()));
}

/// Records how long a job that now starts has waited, and how far its forecast
/// was off.
void Cell::Engine::recordFirstStart(const Job &Started) {
  if (Started.Inherited_ || Started.Spec_->Occurrences_ > 0)
    return; // An inherited job may have started under a former owner.
  recordDuration("job_wait", Started);
  const Millis Wait = Wall_ - Started.AcceptedWall_;
  QueueLoads_[Started.Queue_].recordWait(Wait);
  if (Started.ForecastWait_)
    Effects_.push_back(DurationSample{"forecast_error",
                                      Started.Team_ + "/" + Started.Queue_,
                                      std::abs(Wait - *Started.ForecastWait_)});
}

/// Returns the free share of the usable workers by service: that of processors
/// or memory, whichever is lower on each worker.
std::map<std::string_view, double> Cell::Engine::freeShares() const {
  std::map<std::string_view, std::pair<double, double>> Sums;
  for (const Worker *Each : UsableWorkers_) {
    auto &[Free, All] = Sums[Each->Service_];
    const auto Cpu = static_cast<double>(Each->Capacity_.CpuMilli_);
    Free += Cpu * std::min(freeShareOf(Each->Used_.CpuMilli_,
                                       Each->Capacity_.CpuMilli_),
                           freeShareOf(Each->Used_.MemoryMib_,
                                       Each->Capacity_.MemoryMib_));
    All += Cpu;
  }
  std::map<std::string_view, double> Out;
  for (const auto &[Service, Sum] : Sums)
    Out[Service] = Sum.second <= 0 ? 1 : Sum.first / Sum.second;
  return Out;
}

void Cell::Engine::forgetLoadWindows() {
  for (auto &[Name, Load] : QueueLoads_)
    Load.forgetWindows();
  LoadWindowStart_ = Now_;
}

/// Records which queues have work without capacity: the workers of their
/// service are full, or no entry host is free for a call for advice. Nothing is
/// recorded while starts depend on something else, such as the store.
void Cell::Engine::observeLoads() {
  if (!AdmissionEnabled_ || Now_ - LastLoadCheck_ < LoadCheckInterval)
    return;
  const bool Gap = Now_ - LastLoadCheck_ > MaxLoadCheckGap;
  LastLoadCheck_ = Now_;
  if (Gap || isRecovering() || !StoreReachable_ || storeStalled()) {
    forgetLoadWindows();
    return;
  }
  const std::map<std::string_view, double> Free = freeShares();
  for (auto &[Name, Load] : QueueLoads_) {
    const std::shared_ptr<const Queue> JobQueue = findQueue(Name);
    bool HasCapacity = JobQueue == nullptr || Load.onTime() + Load.late() <= 0;
    if (!HasCapacity) {
      const auto Share = Free.find(JobQueue->Service_);
      const bool AdviceBusy =
          JobQueue->Advice_ &&
          chooseAdviceHost(JobQueue->Advice_->Base_, Name) == nullptr;
      HasCapacity = Share == Free.end() ||
                    (Share->second >= FullFreeShare && !AdviceBusy);
    }
    Load.observeCapacity(Now_, HasCapacity);
  }
  if (Now_ - LoadWindowStart_ < LoadWindowLength)
    return;
  for (auto &[Name, Load] : QueueLoads_)
    Load.closeWindow(Now_ - LoadWindowStart_);
  LoadWindowStart_ = Now_;
}

/// Adds the waiting work that goes before a job of \p JobQueue with this latest
/// start, and the rate at which such work has started. Tasks that start in
/// groups make a short time show too low a rate, so the higher one of a short
/// and a long time counts.
void Cell::Engine::addLoadAhead(AdmissionInput &Input, const Queue &JobQueue,
                                const QueueLoad &Own,
                                Millis LatestStart) const {
  const std::size_t Short = Own.windowsForRate();
  const std::size_t Long = Own.pressedWindows();
  Work StartedShort = 0;
  Work StartedLong = 0;
  for (const auto &[Name, Load] : QueueLoads_) {
    const std::shared_ptr<const Queue> Other = findQueue(Name);
    if (Other == nullptr || Other->Service_ != JobQueue.Service_ ||
        Other->Priority_ > JobQueue.Priority_)
      continue;
    Input.OnTimeWorkAhead_ += Other->Priority_ < JobQueue.Priority_
                                  ? Load.onTime()
                                  : Load.onTimeBefore(LatestStart);
    Input.LateWorkAhead_ += Load.late();
    StartedShort += Load.startedIn(Short);
    StartedLong += Load.startedIn(Long);
  }
  const auto RateOf = [&Own](Work Started, std::size_t Windows) {
    return static_cast<double>(Started) /
           static_cast<double>(std::max<Millis>(1, Own.lengthOf(Windows)));
  };
  Input.Rate_ = StartRate{
      std::max(RateOf(StartedShort, Short), RateOf(StartedLong, Long)),
      Own.meanWaitIn(Short)};
}

/// Returns how long the most urgent on-time work for the workers of \p JobQueue
/// has been waiting without capacity. Work that is not stored yet does not
/// count.
Millis Cell::Engine::onTimeWaitWithoutCapacity(const Queue &JobQueue) const {
  Millis Out = 0;
  std::size_t Seen = 0;
  for (const auto &[Place, Step] : WaitingSteps_) {
    if (Place.Class_ > Urgency::Class::OnTime || ++Seen > MaxUrgentLookedAt)
      break;
    const Queue *Other = queueOf(*Step->Job_);
    if (Place.Class_ != Urgency::Class::OnTime || !Step->Job_->Stored_ ||
        Other == nullptr || Other->Service_ != JobQueue.Service_)
      continue;
    const auto Load = QueueLoads_.find(Other->Name_);
    if (Load != QueueLoads_.end() && Load->second.withoutCapacitySince())
      Out =
          std::max(Out, Now_ - std::max(Step->ReadySince_,
                                        *Load->second.withoutCapacitySince()));
  }
  return Out;
}

/// Decides on the submission of a job that is not known.
AdmissionDecision Cell::Engine::decideSubmission(const Resolution &Request,
                                                 const JobSpec &Spec,
                                                 bool OverTeamShare) {
  const std::shared_ptr<const Queue> JobQueue = findQueue(Request.Queue_);
  if (!AdmissionEnabled_ || JobQueue == nullptr || isAlwaysAdmitted(Spec))
    return {};
  AdmissionInput Input;
  Input.OverTeamShare_ = OverTeamShare;
  Input.ObjectiveSpan_ = objectiveSpan(Spec, JobQueue.get());
  Input.Duration_ = longestChain(Spec, JobQueue.get(), false);
  const auto Load = QueueLoads_.find(Request.Queue_);
  if (Load != QueueLoads_.end() && Load->second.windowsForRate() > 0)
    addLoadAhead(Input, *JobQueue, Load->second,
                 Now_ + Input.ObjectiveSpan_ - Input.Duration_);
  if (OverTeamShare)
    Input.OnTimeWait_ = onTimeWaitWithoutCapacity(*JobQueue);
  return decideAdmission(Input, Request.JobId_);
}

/// Answers a submission that is refused by its decision. Returns whether it is.
bool Cell::Engine::refuseSubmission(Token Caller, const Resolution &Request,
                                    const AdmissionDecision &Decided) {
  if (!Decided.isRefused())
    return false;
  const bool OverShare = Decided.Reason_ == RefusalReason::OverShare;
  ++(OverShare ? RefusedOverShare_ : RefusedHopeless_);
  const Millis Wait = Decided.ExpectedWait_.value_or(0);
  const std::string Class = Request.Team_ + "/" + Request.Queue_;
  Effects_.push_back(
      Decision{"job_refused", Request.JobId_,
               std::string(describe(Decided.Reason_)) + ": " + Class +
                   " expected_wait_ms=" +
                   (Decided.ExpectedWait_ ? std::to_string(Wait) : "unknown") +
                   " retry_after_ms=" + std::to_string(Decided.RetryAfter_),
               0});
  Effects_.push_back(DurationSample{
      OverShare ? "refused_over_share" : "refused_hopeless", Class, Wait});
  Effects_.push_back(
      Reply{Caller, Answer::Busy, JobState::Queued, 0, Decided.RetryAfter_});
  return true;
}

} // namespace oleandergauge::cell
