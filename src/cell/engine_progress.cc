// Progress of jobs: what the store holds of it, in rows of a limited size.

#include <algorithm>

#include "cell/engine.h"

namespace oleandergauge::cell {
namespace {

/// Size in bytes of the rows of a job whose progress does not fit into one. It
/// is small, so that a transaction holds the changed ones among many.
constexpr std::size_t DividedRowBytes = 8192;

/// Returns the number of the first task of a step.
TaskNumber firstTaskOf(const Job &TargetJob, std::uint32_t Occurrence,
                       std::uint32_t Step) {
  return Occurrence * TargetJob.tasksPerOccurrence() +
         TargetJob.StepOffsets_[Step];
}

/// Returns the progress of the tasks of a step from \p From up to, but not
/// including, \p To.
StepProgress progressOf(const StepRun &Step, std::uint32_t From,
                        std::uint32_t To) {
  StepProgress Out;
  Out.Occurrence_ = Step.Occurrence_;
  Out.Step_ = Step.Step_;
  Out.FirstTask_ = From;
  for (std::uint32_t At = From; At < To; ++At) {
    const Task &Each = Step.Tasks_[At];
    Out.Done_.push_back(Each.Phase_ == Task::Phase::Done);
    for (const std::uint64_t Attempt : Each.FailedAttempts_)
      Out.Failures_.push_back({At, Attempt});
  }
  return Out;
}

bool isEmpty(const StepProgress &Progress) {
  return Progress.Failures_.empty() &&
         std::find(Progress.Done_.begin(), Progress.Done_.end(), true) ==
             Progress.Done_.end();
}

/// Removes the tasks at both ends that are not done.
void trim(StepProgress &Progress) {
  std::vector<bool> &Done = Progress.Done_;
  while (!Done.empty() && !Done.back())
    Done.pop_back();
  const auto First = std::find(Done.begin(), Done.end(), true);
  Progress.FirstTask_ += static_cast<std::uint32_t>(First - Done.begin());
  Done.erase(Done.begin(), First);
}

/// Returns a task at which the progress of a row can be divided, if there are
/// several tasks in it.
std::optional<TaskNumber> middleOf(const Job &TargetJob,
                                   const std::vector<StepProgress> &Steps) {
  const auto NumberOf = [&](const StepProgress &Step, TaskNumber Index) {
    return Step.Occurrence_ * TargetJob.tasksPerOccurrence() +
           TargetJob.StepOffsets_[Step.Step_] + Index;
  };
  if (Steps.size() > 1)
    return NumberOf(Steps[Steps.size() / 2], 0);
  if (Steps.empty())
    return std::nullopt;
  const StepProgress &Only = Steps.front();
  TaskNumber First = Only.FirstTask_;
  TaskNumber Last = Only.FirstTask_ + Only.Done_.size();
  if (!Only.Failures_.empty()) {
    if (Only.Done_.empty())
      First = Only.Failures_.front().Task_;
    First = std::min<TaskNumber>(First, Only.Failures_.front().Task_);
    Last = std::max<TaskNumber>(Last, Only.Failures_.back().Task_ + 1);
  }
  if (Last - First < 2)
    return std::nullopt;
  return NumberOf(Only, First + (Last - First) / 2);
}

/// Returns whether rows of one occurrence state all of its tasks as done. One
/// member of a gang stands for all of them.
bool isComplete(const JobSpec &Spec, const std::vector<StepProgress> &Rows) {
  for (std::uint32_t Step = 0; Step < Spec.Steps_.size(); ++Step) {
    std::vector<bool> Done(Spec.Steps_[Step].Count_);
    bool Any = false;
    for (const StepProgress &Each : Rows)
      for (std::size_t At = 0; Each.Step_ == Step && At < Each.Done_.size();
           ++At)
        if (Each.Done_[At] && Each.FirstTask_ + At < Done.size()) {
          Done[Each.FirstTask_ + At] = true;
          Any = true;
        }
    const bool All = std::find(Done.begin(), Done.end(), false) == Done.end();
    if (!(Spec.Steps_[Step].Gang_ ? Any : All))
      return false;
  }
  return true;
}

} // namespace

/// Schedules the progress of some tasks of a step to be stored.
void Cell::Engine::markDirty(StepRun &Step, std::uint32_t From,
                             std::uint32_t To) {
  Job &TargetJob = *Step.Job_;
  if (TargetJob.EndState_)
    return;
  markChanged(TargetJob);
  const TaskNumber First = firstTaskOf(TargetJob, Step.Occurrence_, Step.Step_);
  TargetJob.ProgressRows_.markChanged(First + From, First + To);
  if (TargetJob.ProgressDirty_)
    return;
  TargetJob.ProgressDirty_ = true;
  DirtyJobs_.push_back(&TargetJob);
}

/// Returns the first occurrence from \p From on that is open or has progress.
std::optional<std::uint32_t>
Cell::Engine::nextOccurrenceWithProgress(const Job &TargetJob,
                                         std::uint32_t From) const {
  std::optional<std::uint32_t> Out =
      TargetJob.FinishedOccurrences_.firstContained(From);
  const auto Open = TargetJob.firstStepFrom(From);
  if (Open != TargetJob.Steps_.end())
    Out = std::min(Out.value_or((*Open)->Occurrence_), (*Open)->Occurrence_);
  const auto Unopened = TargetJob.UnopenedProgress_.lower_bound(From);
  if (Unopened != TargetJob.UnopenedProgress_.end())
    Out = std::min(Out.value_or(Unopened->first), Unopened->first);
  return Out;
}

/// Returns the progress of the tasks of a step from \p From up to, but not
/// including, \p To, whether or not its occurrence is open.
StepProgress Cell::Engine::progressOfStep(const Job &TargetJob,
                                          std::uint32_t Occurrence,
                                          std::uint32_t Step,
                                          std::uint32_t From,
                                          std::uint32_t To) const {
  if (const StepRun *Open = findStep(TargetJob, Occurrence, Step))
    return progressOf(*Open, From, To);
  StepProgress Out;
  Out.Occurrence_ = Occurrence;
  Out.Step_ = Step;
  Out.FirstTask_ = From;
  Out.Done_.assign(To - From,
                   TargetJob.FinishedOccurrences_.contains(Occurrence));
  const auto Unopened = TargetJob.UnopenedProgress_.find(Occurrence);
  if (Unopened == TargetJob.UnopenedProgress_.end())
    return Out;
  std::set<std::pair<std::uint32_t, std::uint64_t>> Failures;
  for (const StepProgress &Each : Unopened->second) {
    if (Each.Step_ != Step)
      continue;
    for (std::size_t At = 0; At < Each.Done_.size(); ++At) {
      const std::size_t Index = Each.FirstTask_ + At;
      if (Each.Done_[At] && Index >= From && Index < To)
        Out.Done_[Index - From] = true;
    }
    for (const Failure &Failed : Each.Failures_)
      if (Failed.Task_ >= From && Failed.Task_ < To)
        Failures.emplace(Failed.Task_, Failed.Attempt_);
  }
  for (const auto &[Index, Attempt] : Failures)
    Out.Failures_.push_back({Index, Attempt});
  return Out;
}

/// Collects the progress that a row covers. The first row states \p Done
/// occurrences as done as a whole, the others rely on the first row as it is
/// stored.
JobProgress Cell::Engine::collectProgress(const Job &TargetJob,
                                          TaskNumber First,
                                          std::uint32_t Done) const {
  JobProgress Out;
  Out.DoneOccurrences_ = First == 0 ? Done : 0;
  const std::uint32_t Skipped = First == 0 ? Done : TargetJob.DoneOccurrences_;
  const TaskNumber End = TargetJob.ProgressRows_.endOf(First);
  const TaskNumber Begin =
      std::max(First, Skipped * TargetJob.tasksPerOccurrence());
  const auto StepCount =
      static_cast<std::uint32_t>(TargetJob.Spec_->Steps_.size());
  const auto FirstOccurrence =
      static_cast<std::uint32_t>(Begin / TargetJob.tasksPerOccurrence());
  for (auto At = nextOccurrenceWithProgress(TargetJob, FirstOccurrence);
       At && firstTaskOf(TargetJob, *At, 0) < End;
       At = nextOccurrenceWithProgress(TargetJob, *At + 1))
    for (std::uint32_t Step = 0; Step < StepCount; ++Step) {
      const TaskNumber FirstTask = firstTaskOf(TargetJob, *At, Step);
      const TaskNumber LastTask =
          FirstTask + TargetJob.Spec_->Steps_[Step].Count_;
      if (FirstTask >= End || LastTask <= Begin)
        continue;
      StepProgress Row = progressOfStep(
          TargetJob, *At, Step,
          static_cast<std::uint32_t>(std::max(Begin, FirstTask) - FirstTask),
          static_cast<std::uint32_t>(std::min(End, LastTask) - FirstTask));
      if (isEmpty(Row))
        continue;
      // An owner of an earlier version reads the first row.
      if (First != 0)
        trim(Row);
      Out.Steps_.push_back(std::move(Row));
    }
  return Out;
}

/// Makes a row smaller that exceeds its limit. Finished occurrences of a
/// schedule need no entry each; they get one until the row is full because an
/// owner of an earlier version understands nothing else. Returns false if the
/// row cannot be made smaller.
bool Cell::Engine::shrinkProgressRow(Job &TargetJob, TaskNumber First,
                                     const JobProgress &Progress) {
  if (!TargetJob.CompactsProgress_ && TargetJob.Spec_->Occurrences_ > 0) {
    TargetJob.CompactsProgress_ = true;
    return true;
  }
  const auto Middle = middleOf(TargetJob, Progress.Steps_);
  if (!Middle)
    return false;
  TargetJob.ProgressRows_.split(First, *Middle);
  Effects_.push_back(Decision{"progress_divided", TargetJob.Id_,
                              "at task " + std::to_string(*Middle), 0});
  return true;
}

/// Adds the changed rows of a job. Returns false if not all of them fit into
/// the transaction.
bool Cell::Engine::addProgressOf(Job &TargetJob, TransactionRows &Out) {
  ProgressRows &Rows = TargetJob.ProgressRows_;
  if (TargetJob.CompactsProgress_ &&
      countDoneOccurrences(TargetJob) > TargetJob.DoneOccurrences_)
    Rows.markChanged(0, 1);
  while (const auto First = Rows.lastChanged()) {
    const std::uint32_t Done =
        TargetJob.CompactsProgress_ ? countDoneOccurrences(TargetJob) : 0;
    const JobProgress Progress = collectProgress(TargetJob, *First, Done);
    std::string Value = encode(Progress);
    const std::size_t Limit = Rows.isDivided()
                                  ? std::min(DividedRowBytes, maxRowBytes())
                                  : maxRowBytes();
    if (Value.size() > Limit && shrinkProgressRow(TargetJob, *First, Progress))
      continue;
    if (Value.size() > maxRowBytes()) {
      failUnstorable(TargetJob, "its progress does not fit into a row");
      return true;
    }
    if (!Out.hasRoom(1, 0, Value.size()))
      return false;
    Rows.markSent(*First);
    Out.countItem();
    CommitProgress_.push_back({&TargetJob, *First, Progress.DoneOccurrences_});
    Out.add(ProgressTable, encode(ProgressKey{TargetJob.Id_, *First}),
            std::move(Value));
  }
  return true;
}

/// Ends an accepted job whose changes the store cannot take, so that others go
/// on.
void Cell::Engine::failUnstorable(Job &TargetJob, std::string_view Why) {
  Effects_.push_back(
      Decision{"job_not_storable", TargetJob.Id_, std::string(Why), 0});
  if (!TargetJob.EndState_)
    endJob(TargetJob, EndState::Failed);
}

void Cell::Engine::addProgress(TransactionRows &Out) {
  // Ended jobs are destroyed once their end is stored, so no pointer may
  // remain.
  std::erase_if(DirtyJobs_, [](const Job *Each) { return Each->EndState_; });
  std::size_t Taken = 0;
  for (; Taken < DirtyJobs_.size() && Out.hasRoom(1, 0, 0); ++Taken) {
    Job &Each = *DirtyJobs_[Taken];
    if (!addProgressOf(Each, Out))
      break;
    Each.ProgressDirty_ = false;
    if (!Each.EndState_)
      markSent(Each);
  }
  DirtyJobs_.erase(DirtyJobs_.begin(),
                   DirtyJobs_.begin() + static_cast<std::ptrdiff_t>(Taken));
}

/// Applies the rows of progress in the completed transaction.
void Cell::Engine::recordStoredProgress() {
  for (const SentProgress &Each : std::exchange(CommitProgress_, {})) {
    Job &TargetJob = *Each.Job_;
    if (Each.DoneOccurrences_ <= TargetJob.DoneOccurrences_)
      continue;
    TargetJob.DoneOccurrences_ = Each.DoneOccurrences_;
    const TaskNumber End =
        Each.DoneOccurrences_ * TargetJob.tasksPerOccurrence();
    for (const TaskNumber First : TargetJob.ProgressRows_.removeBefore(End))
      dropProgressRow(TargetJob.Id_, First);
  }
}

/// Schedules the deletion of a row.
void Cell::Engine::dropProgressRow(const std::string &Id, TaskNumber First) {
  ObsoleteRows_.push_back(
      {ProgressTable, encode(ProgressKey{Id, First}), std::nullopt});
}

/// Restores the progress of all jobs from the stored rows. The first row of a
/// job tells which occurrences have no entries.
void Cell::Engine::restoreProgress(const StoredCell &Stored) {
  std::set<std::string> StoredJobs;
  for (const auto &[Id, Bytes] : Stored.Jobs_)
    StoredJobs.insert(Id);
  std::vector<std::pair<Job *, JobProgress>> Restored;
  for (const auto &[Name, Bytes] : Stored.Progress_) {
    const auto Key = decodeProgressKey(Name);
    Job *TargetJob = Key ? findJob(Key->Job_) : nullptr;
    if (Key && Key->First_ != 0 && StoredJobs.count(Key->Job_) == 0) {
      // The job has ended; this row was left.
      dropProgressRow(Key->Job_, Key->First_);
      continue;
    }
    auto Progress = decodeProgress(Bytes);
    if (TargetJob != nullptr)
      TargetJob->ProgressRows_.addStored(Key->First_);
    if (!Progress || TargetJob == nullptr) {
      Effects_.push_back(Decision{"row_unreadable", Name, "progress", 0});
      continue;
    }
    restoreDoneOccurrences(*TargetJob, Progress->DoneOccurrences_);
    Restored.emplace_back(TargetJob, std::move(*Progress));
  }
  for (auto &[TargetJob, Progress] : Restored)
    for (StepProgress &Each : Progress.Steps_)
      restoreStepProgress(*TargetJob, std::move(Each));
}

/// Lets a restored job begin after the occurrences that are stored as done.
void Cell::Engine::restoreDoneOccurrences(Job &TargetJob, std::uint32_t Done) {
  if (Done == 0 || Done > TargetJob.Spec_->Occurrences_)
    return;
  TargetJob.CompactsProgress_ = true;
  TargetJob.DoneOccurrences_ = Done;
  TargetJob.FinishedOccurrences_.add(0, Done);
  TargetJob.Started_ = true;
  countJob(TargetJob);
}

/// Notes the stored progress of a step until its occurrence is opened. An
/// occurrence that is done isn't opened any more.
void Cell::Engine::restoreStepProgress(Job &TargetJob, StepProgress Row) {
  const std::uint32_t Occurrence = Row.Occurrence_;
  if (Occurrence >= TargetJob.occurrences() ||
      Row.Step_ >= TargetJob.Spec_->Steps_.size() ||
      TargetJob.FinishedOccurrences_.contains(Occurrence))
    return;
  if (std::find(Row.Done_.begin(), Row.Done_.end(), true) != Row.Done_.end()) {
    TargetJob.Started_ = true;
    countJob(TargetJob);
  }
  std::vector<StepProgress> &Rows = TargetJob.UnopenedProgress_[Occurrence];
  Rows.push_back(std::move(Row));
  if (!isComplete(*TargetJob.Spec_, Rows))
    return;
  TargetJob.FinishedOccurrences_.add(Occurrence);
  TargetJob.UnopenedProgress_.erase(Occurrence);
}

/// Applies the stored progress of a step that has just been opened.
void Cell::Engine::applyProgress(StepRun &Step, const StepProgress &Row) {
  for (std::size_t At = 0; At < Row.Done_.size(); ++At) {
    const std::size_t Index = Row.FirstTask_ + At;
    if (!Row.Done_[At] || Index >= Step.Tasks_.size() ||
        Step.Tasks_[Index].Phase_ == Task::Phase::Done)
      continue;
    // The members of a gang are done together, but their rows may not all have
    // been stored.
    if (Step.spec().Gang_) {
      finishGang(Step);
      break;
    }
    Step.Tasks_[Index].Phase_ = Task::Phase::Done;
    ++Step.DoneCount_;
  }
  for (const Failure &Each : Row.Failures_)
    if (Each.Task_ < Step.Tasks_.size())
      Step.Tasks_[Each.Task_].FailedAttempts_.insert(Each.Attempt_);
}

} // namespace oleandergauge::cell
