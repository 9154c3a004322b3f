// Occurrences of jobs: when they are due, and the steps that each consists of.

#include "cell/engine.h"

namespace oleandergauge::cell {
namespace {

/// Overhead of each step for commits, orders and messages.
constexpr Millis StepOverhead = 60;
/// Occurrences of a job that are open and not done, at most. A schedule that
/// began long ago may have millions that are due, and each takes memory from
/// when it is opened until it is done.
constexpr std::size_t MaxUnfinishedOccurrences = 256;

} // namespace

/// Returns the number of occurrences that were opened, with those that are
/// done and forgotten.
std::uint32_t Cell::Engine::openedOccurrences(const Job &TargetJob) const {
  return TargetJob.FirstOccurrence_ +
         static_cast<std::uint32_t>(TargetJob.Steps_.size() /
                                    TargetJob.Spec_->Steps_.size());
}

/// Opens the occurrence of a task that a worker reports. A former owner, whose
/// wall clock may be ahead, may have opened it before it is due here.
void Cell::Engine::openNamedOccurrence(const TaskName &Name) {
  Job *TargetJob = findJob(Name.Job_);
  if (TargetJob == nullptr ||
      Name.Occurrence_ >= TargetJob->Spec_->Occurrences_)
    return;
  const std::uint32_t Open = openedOccurrences(*TargetJob);
  for (std::uint32_t At = Open; At <= Name.Occurrence_; ++At)
    openOccurrence(*TargetJob, At);
  if (Open <= Name.Occurrence_)
    refreshReadySteps(*TargetJob);
}

/// Returns the number of occurrences that are open and not done.
std::size_t
Cell::Engine::countUnfinishedOccurrences(const Job &TargetJob) const {
  std::size_t Out = 0;
  std::optional<std::uint32_t> Latest;
  for (const auto &Each : TargetJob.Steps_) {
    if (Each->isDone() || Each->Occurrence_ == Latest)
      continue;
    Latest = Each->Occurrence_;
    ++Out;
  }
  return Out;
}

/// Opens the occurrences of a scheduled job that are due, as long as no more
/// than MaxUnfinishedOccurrences of them are not done.
void Cell::Engine::openDueOccurrences(Job &TargetJob) {
  if (TargetJob.Spec_->Occurrences_ == 0 || TargetJob.EndState_)
    return;
  const std::size_t Unfinished = countUnfinishedOccurrences(TargetJob);
  if (Unfinished >= MaxUnfinishedOccurrences)
    return;
  std::size_t Open = openedOccurrences(TargetJob);
  const std::size_t Last = Open + MaxUnfinishedOccurrences - Unfinished;
  bool Opened = false;
  while (Open < TargetJob.Spec_->Occurrences_ && Open < Last &&
         Wall_ >= TargetJob.Spec_->FirstDue_ +
                      static_cast<Millis>(Open) * TargetJob.Spec_->Interval_) {
    openOccurrence(TargetJob, static_cast<std::uint32_t>(Open++));
    Opened = true;
  }
  if (Opened)
    refreshReadySteps(TargetJob);
}

/// Schedules the opening of the job's next occurrence, if it has one.
void Cell::Engine::scheduleOccurrence(const Job &TargetJob) {
  const JobSpec &Spec = *TargetJob.Spec_;
  if (Spec.Occurrences_ == 0 || Spec.Steps_.empty())
    return;
  const std::size_t Open = openedOccurrences(TargetJob);
  if (Open < Spec.Occurrences_)
    DueOccurrences_.emplace(Spec.FirstDue_ +
                                static_cast<Millis>(Open) * Spec.Interval_,
                            TargetJob.Id_);
}

/// Creates the steps of one occurrence.
void Cell::Engine::openOccurrence(Job &TargetJob, std::uint32_t Occurrence) {
  Millis Objective = TargetJob.Objective_;
  if (TargetJob.Spec_->Occurrences_ > 0)
    Objective = Now_ -
                (Wall_ - TargetJob.Spec_->FirstDue_ -
                 Millis{Occurrence} * TargetJob.Spec_->Interval_) +
                TargetJob.ObjectiveSpan_;
  for (std::uint32_t Step = 0; Step < TargetJob.Spec_->Steps_.size(); ++Step) {
    auto NewStep = std::make_unique<StepRun>();
    NewStep->Job_ = &TargetJob;
    NewStep->Spec_ = &TargetJob.Spec_->Steps_[Step];
    NewStep->Occurrence_ = Occurrence;
    NewStep->Step_ = Step;
    NewStep->Name_ = TargetJob.Id_ + "." + std::to_string(Occurrence) + "." +
                     std::to_string(Step);
    NewStep->Tasks_.resize(TargetJob.Spec_->Steps_[Step].Count_);
    NewStep->Objective_ = Objective;
    NewStep->LatestStart_ =
        Objective - StepOverhead -
        longestChain(*TargetJob.Spec_, queueOf(TargetJob), Step, false);
    TargetJob.Steps_.push_back(std::move(NewStep));
  }
}

/// Opens the occurrences that are due. A job of which many are overdue opens
/// the others at later checks, when earlier ones are done.
void Cell::Engine::advanceOccurrences() {
  const auto End = DueOccurrences_.upper_bound(Wall_);
  std::vector<std::string> Ids;
  for (auto It = DueOccurrences_.begin(); It != End; ++It)
    Ids.push_back(It->second);
  DueOccurrences_.erase(DueOccurrences_.begin(), End);
  for (const std::string &Id : Ids) {
    Job *Due = findJob(Id);
    if (Due == nullptr || Due->EndState_)
      continue;
    openDueOccurrences(*Due);
    scheduleOccurrence(*Due);
  }
}

} // namespace oleandergauge::cell
