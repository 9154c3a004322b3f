// Occurrences of jobs: which are due, and the steps that each consists of.
//
// An occurrence that is due is open if its steps are kept in memory. Only a
// limited number is open at a time; a number suffices for those that wait. Done
// ones are released at once, also behind one that isn't done.

#include <algorithm>

#include "cell/engine.h"

namespace oleandergauge::cell {
namespace {

/// Overhead of each step for commits, orders and messages.
constexpr Millis StepOverhead = 60;
/// Occurrences are of value until this many times their objective.
constexpr Millis ValuedSpans = 3;
/// Jobs with overdue occurrences that are examined at a time.
constexpr std::size_t MaxOverdueExamined = 32;

} // namespace

/// Returns the number of occurrences that are due.
std::uint32_t Cell::Engine::dueOccurrences(const Job &TargetJob) const {
  const JobSpec &Spec = *TargetJob.Spec_;
  if (Spec.Occurrences_ == 0)
    return 1;
  if (Wall_ < Spec.FirstDue_)
    return 0;
  if (Spec.Interval_ <= 0)
    return Spec.Occurrences_;
  const Millis Due = (Wall_ - Spec.FirstDue_) / Spec.Interval_ + 1;
  return static_cast<std::uint32_t>(std::min<Millis>(Due, Spec.Occurrences_));
}

/// Returns the first of the due occurrences that can still be of value.
std::uint32_t Cell::Engine::firstRecentOccurrence(const Job &TargetJob,
                                                  std::uint32_t Due) const {
  const JobSpec &Spec = *TargetJob.Spec_;
  const Millis Since = Wall_ - ValuedSpans * TargetJob.ObjectiveSpan_;
  if (Since <= Spec.FirstDue_ || Spec.Interval_ <= 0)
    return Since <= Spec.FirstDue_ ? 0 : Due;
  const Millis First =
      (Since - Spec.FirstDue_ + Spec.Interval_ - 1) / Spec.Interval_;
  return static_cast<std::uint32_t>(std::min<Millis>(First, Due));
}

bool Cell::Engine::isOpen(const Job &TargetJob,
                          std::uint32_t Occurrence) const {
  return !TargetJob.stepsOf(Occurrence).empty();
}

/// Returns whether all steps of an occurrence are done.
bool Cell::Engine::isDone(const Job &TargetJob,
                          std::uint32_t Occurrence) const {
  if (TargetJob.FinishedOccurrences_.contains(Occurrence))
    return true;
  const auto Steps = TargetJob.stepsOf(Occurrence);
  return !Steps.empty() &&
         std::all_of(Steps.begin(), Steps.end(),
                     [](const auto &Each) { return Each->isDone(); });
}

/// Returns the number of occurrences, from the first one on, that are done.
std::uint32_t Cell::Engine::countDoneOccurrences(const Job &TargetJob) const {
  const OccurrenceSet &Finished = TargetJob.FinishedOccurrences_;
  std::uint32_t Out = Finished.firstMissing(0);
  while (Out < TargetJob.occurrences() && isDone(TargetJob, Out))
    Out = Finished.firstMissing(Out + 1);
  return Out;
}

/// Returns the number of occurrences that are due, neither open nor finished.
std::uint32_t
Cell::Engine::countUnopenedOccurrences(const Job &TargetJob) const {
  const std::uint32_t Opened =
      TargetJob.FinishedOccurrences_.size() + TargetJob.openOccurrences();
  const std::uint32_t Due = dueOccurrences(TargetJob);
  return Due - std::min(Due, Opened);
}

/// Returns the first occurrence from \p From on that is neither open nor
/// finished.
std::uint32_t Cell::Engine::skipOpened(const Job &TargetJob,
                                       std::uint32_t From) const {
  std::uint32_t Out = TargetJob.FinishedOccurrences_.firstMissing(From);
  while (isOpen(TargetJob, Out))
    Out = TargetJob.FinishedOccurrences_.firstMissing(Out + 1);
  return Out;
}

/// Opens the occurrence of a task that a worker reports, and no other one. A
/// former owner may have opened it before it is due here, or in another order.
void Cell::Engine::openNamedOccurrence(const TaskName &Name) {
  Job *TargetJob = findJob(Name.Job_);
  if (TargetJob == nullptr || Name.Occurrence_ >= TargetJob->occurrences() ||
      TargetJob->FinishedOccurrences_.contains(Name.Occurrence_) ||
      isOpen(*TargetJob, Name.Occurrence_))
    return;
  openOccurrence(*TargetJob, Name.Occurrence_);
}

/// Opens due occurrences from \p Next on while there is memory, and advances
/// \p Next past them.
void Cell::Engine::openFrom(Job &TargetJob, std::uint32_t &Next,
                            std::uint32_t Due) {
  for (Next = skipOpened(TargetJob, Next);
       Next < Due && mayOpenOccurrence(TargetJob);
       Next = skipOpened(TargetJob, Next))
    openOccurrence(TargetJob, Next);
}

/// Opens the occurrences that are due, as far as there is memory: first those
/// that can still be of value, then the others from the oldest one on.
void Cell::Engine::openDueOccurrences(Job &TargetJob) {
  if (TargetJob.EndState_ || TargetJob.Spec_->Steps_.empty())
    return;
  const std::uint32_t Due = dueOccurrences(TargetJob);
  std::uint32_t &Recent = TargetJob.NextRecentOccurrence_;
  Recent = std::max(Recent, firstRecentOccurrence(TargetJob, Due));
  openFrom(TargetJob, Recent, Due);
  openFrom(TargetJob, TargetJob.NextOccurrence_, Due);
  if (TargetJob.NextOccurrence_ >= Due || TargetJob.Overdue_)
    return;
  TargetJob.Overdue_ = true;
  OverdueJobs_.push_back(TargetJob.Id_);
  Effects_.push_back(
      Decision{"occurrences_overdue", TargetJob.Id_,
               std::to_string(countUnopenedOccurrences(TargetJob)) +
                   " due and not open, " +
                   std::to_string(TargetJob.openOccurrences()) + " open",
               0});
}

/// Schedules the opening of the job's first occurrence that is not due yet, if
/// it has one.
void Cell::Engine::scheduleOccurrence(const Job &TargetJob) {
  const JobSpec &Spec = *TargetJob.Spec_;
  const std::uint32_t Due = dueOccurrences(TargetJob);
  if (Due < Spec.Occurrences_)
    DueOccurrences_.emplace(Spec.FirstDue_ + Millis{Due} * Spec.Interval_,
                            TargetJob.Id_);
}

/// Creates the steps of one occurrence, with the progress that a former owner
/// stored.
void Cell::Engine::openOccurrence(Job &TargetJob, std::uint32_t Occurrence) {
  Millis Objective = TargetJob.Objective_;
  if (TargetJob.Spec_->Occurrences_ > 0)
    Objective = Now_ -
                (Wall_ - TargetJob.Spec_->FirstDue_ -
                 Millis{Occurrence} * TargetJob.Spec_->Interval_) +
                TargetJob.ObjectiveSpan_;
  const std::vector<Millis> Chains =
      chainsFrom(*TargetJob.Spec_, queueOf(TargetJob), false);
  std::vector<std::unique_ptr<StepRun>> Steps;
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
    NewStep->LatestStart_ = Objective - StepOverhead - Chains[Step];
    Steps.push_back(std::move(NewStep));
  }
  const std::uint32_t Before = TargetJob.openOccurrences();
  TargetJob.Steps_.insert(TargetJob.firstStepFrom(Occurrence),
                          std::make_move_iterator(Steps.begin()),
                          std::make_move_iterator(Steps.end()));
  countOpenOccurrences(TargetJob, Before);
  const auto Stored = TargetJob.UnopenedProgress_.find(Occurrence);
  if (Stored != TargetJob.UnopenedProgress_.end()) {
    for (const StepProgress &Each : Stored->second)
      applyProgress(*findStep(TargetJob, Occurrence, Each.Step_), Each);
    TargetJob.UnopenedProgress_.erase(Stored);
  }
  refreshReadySteps(TargetJob, Occurrence);
}

/// Opens the occurrences that have become due.
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

/// Opens occurrences that were due before there was memory for them, of a
/// limited number of jobs in turn.
void Cell::Engine::openOverdueOccurrences() {
  const std::size_t Count = std::min(OverdueJobs_.size(), MaxOverdueExamined);
  for (std::size_t At = 0; At < Count; ++At) {
    const std::string Id = std::move(OverdueJobs_.front());
    OverdueJobs_.pop_front();
    Job *Due = findJob(Id);
    if (Due == nullptr || !Due->Overdue_)
      continue;
    Due->Overdue_ = false;
    if (Due->EndState_)
      continue;
    openDueOccurrences(*Due);
  }
}

/// Releases the occurrences that are done, and opens others in their place.
void Cell::Engine::releaseDoneOccurrences() {
  for (const std::string &Id : std::exchange(JobsToRelease_, {})) {
    Job *TargetJob = findJob(Id);
    if (TargetJob == nullptr || TargetJob->EndState_)
      continue;
    if (!releaseDoneOccurrences(*TargetJob))
      JobsToRelease_.insert(Id);
    openDueOccurrences(*TargetJob);
  }
}

/// Destroys the steps of the job's occurrences that are done. Returns false if
/// one of them still has runs.
bool Cell::Engine::releaseDoneOccurrences(Job &TargetJob) {
  const auto StepCount =
      static_cast<std::ptrdiff_t>(TargetJob.Spec_->Steps_.size());
  const std::uint32_t Before = TargetJob.openOccurrences();
  bool Out = true;
  for (auto It = TargetJob.Steps_.begin(); It != TargetJob.Steps_.end();) {
    const auto End = It + StepCount;
    const std::uint32_t Occurrence = (*It)->Occurrence_;
    const bool Done =
        std::all_of(It, End, [](const auto &Step) { return Step->isDone(); });
    const bool HasRuns = std::any_of(
        It, End, [](const auto &Step) { return Step->LiveRuns_ > 0; });
    if (!Done || HasRuns) {
      Out = Out && !Done;
      It = End;
      continue;
    }
    for (auto Step = It; Step != End; ++Step)
      detachStep(**Step);
    TargetJob.FinishedOccurrences_.add(Occurrence);
    It = TargetJob.Steps_.erase(It, End);
  }
  countOpenOccurrences(TargetJob, Before);
  return Out;
}

} // namespace oleandergauge::cell
