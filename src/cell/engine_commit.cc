// Storage: writes changes in transactions and answers callers once these are
// stored.

#include <algorithm>

#include "cell/engine.h"

namespace oleandergauge::cell {
namespace {

/// Minimum time between transactions, so that each contains several changes.
constexpr Millis CommitInterval = 12;
/// Time without changes after which the owner writes its row anyway, so that
/// other hosts see that it is alive.
constexpr Millis HeartbeatInterval = 400;
/// Maximum number of rows in a transaction. The store accepts 100, including
/// the owner's row.
constexpr std::size_t MaxCommitRows = 90;
/// Size in bytes at which no further jobs are added to a transaction. The store
/// accepts 1 MB.
constexpr std::size_t MaxCommitBytes = 400000;

/// Returns whether the rows of another job and the row of ended jobs still fit.
bool hasRoom(const std::vector<RowChange> &Rows) {
  std::size_t Bytes = 0;
  for (const RowChange &Each : Rows)
    Bytes += Each.Value_ ? Each.Value_->size() : 0;
  return Rows.size() + 3 < MaxCommitRows && Bytes < MaxCommitBytes;
}

std::string encodeProgress(const Job &TargetJob) {
  std::vector<StepProgress> Out;
  for (const auto &Step : TargetJob.Steps_) {
    StepProgress Row;
    Row.Occurrence_ = Step->Occurrence_;
    Row.Step_ = Step->Step_;
    for (const Task &Each : Step->Tasks_) {
      Row.Done_.push_back(Each.Phase_ == Task::Phase::Done);
      for (std::uint64_t Attempt : Each.FailedAttempts_)
        Row.Failures_.push_back(
            {static_cast<std::uint32_t>(&Each - Step->Tasks_.data()), Attempt});
    }
    if (!Row.Failures_.empty() || Step->DoneCount_ > 0)
      Out.push_back(std::move(Row));
  }
  return encode(Out);
}

} // namespace

/// Adds accepted and ended jobs before progress: callers wait for the former,
/// while progress only lets workers forget acknowledged ends.
void Cell::Engine::addJobChanges(std::vector<RowChange> &Out) {
  addNewJobs(Out);
  addEndedJobs(Out);
  addProgress(Out);
}

void Cell::Engine::addNewJobs(std::vector<RowChange> &Out) {
  std::size_t Taken = 0;
  for (; Taken < NewJobs_.size() && hasRoom(Out); ++Taken) {
    Job &Each = *NewJobs_[Taken];
    CommitNewJobs_.push_back(&Each);
    Out.push_back({JobTable, Each.Id_,
                   encode(JobRecord{*Each.Spec_, Each.Queue_, Each.Team_,
                                    Each.AcceptedWall_})});
  }
  NewJobs_.erase(NewJobs_.begin(),
                 NewJobs_.begin() + static_cast<std::ptrdiff_t>(Taken));
}

void Cell::Engine::addEndedJobs(std::vector<RowChange> &Out) {
  // Jobs that this transaction accepts; it may write each row only once.
  std::vector<Job *> Later;
  EndedBatch Ended;
  std::size_t Taken = 0;
  for (; Taken < EndingJobs_.size() && hasRoom(Out); ++Taken) {
    Job &Each = *EndingJobs_[Taken];
    if (!Each.Stored_) {
      Later.push_back(&Each);
      continue;
    }
    CommitEndingJobs_.push_back(&Each);
    Out.push_back({JobTable, Each.Id_, std::nullopt});
    if (Each.ProgressStored_)
      Out.push_back({ProgressTable, Each.Id_, std::nullopt});
    Ended.emplace_back(Each.Id_,
                       EndedRecord{*Each.EndState_, Wall_, Each.Queue_});
  }
  if (!Ended.empty()) {
    CommitEndedKey_ = EndedBatchPrefix + std::to_string(Epoch_) + "." +
                      std::to_string(++EndedRows_);
    Out.push_back({EndedTable, CommitEndedKey_, encode(Ended)});
  }
  EndingJobs_.erase(EndingJobs_.begin(),
                    EndingJobs_.begin() + static_cast<std::ptrdiff_t>(Taken));
  EndingJobs_.insert(EndingJobs_.end(), Later.begin(), Later.end());
}

void Cell::Engine::addProgress(std::vector<RowChange> &Out) {
  // Ended jobs are destroyed once their end is stored, so no pointer may
  // remain.
  std::erase_if(DirtyJobs_, [](const Job *Each) { return Each->EndState_; });
  std::size_t Taken = 0;
  for (; Taken < DirtyJobs_.size() && hasRoom(Out); ++Taken) {
    Job &Each = *DirtyJobs_[Taken];
    Each.ProgressDirty_ = false;
    Each.ProgressStored_ = true;
    Out.push_back({ProgressTable, Each.Id_, encodeProgress(Each)});
  }
  DirtyJobs_.erase(DirtyJobs_.begin(),
                   DirtyJobs_.begin() + static_cast<std::ptrdiff_t>(Taken));
}

bool Cell::Engine::hasChanges() const {
  return !NewJobs_.empty() || !DirtyJobs_.empty() || !EndingJobs_.empty() ||
         WorkersDirty_;
}

/// Starts a transaction if none is in flight and a change or a heartbeat is
/// due.
void Cell::Engine::commitChanges() {
  if (CommitInFlight_ || Now_ < LastCommit_ + CommitInterval)
    return;
  std::set<std::string> Used;
  for (const auto &[Id, Each] : Workers_)
    if (Each->Listed_ || !Each->Runs_.empty())
      Used.insert(Id);
  if (isRecovering())
    Used.insert(UnconfirmedWorkers_.begin(), UnconfirmedWorkers_.end());
  WorkersDirty_ = Used != RecordedWorkers_;
  if (!hasChanges() && ExpiredRows_.size() < MaxCommitRows / 2 &&
      Now_ < LastCommit_ + HeartbeatInterval)
    return;
  Commit Out;
  CommitWorkers_ = RecordedWorkers_;
  if (WorkersDirty_) {
    CommitWorkers_ = Used;
    Out.Changes_.push_back({WorkersTable, SingleRowKey, encode(Used)});
  }
  addWaveChanges(Out.Changes_);
  addJobChanges(Out.Changes_);
  while (!ExpiredRows_.empty() && Out.Changes_.size() < MaxCommitRows) {
    Out.Changes_.push_back({EndedTable, ExpiredRows_.back(), std::nullopt});
    ExpiredRows_.pop_back();
  }
  // Ends are acknowledged to the workers only if the transaction contains all
  // changes that they caused.
  CommitIncludesAllEnds_ = DirtyJobs_.empty() && EndingJobs_.empty();
  if (CommitIncludesAllEnds_)
    for (const auto &[Id, Each] : Workers_)
      Each->LastCommitEnd_ = Each->LastSeenEnd_;
  CommitInFlight_ = true;
  LastCommit_ = Now_;
  Effects_.push_back(std::move(Out));
}

/// Applies the completion of the transaction in flight and answers callers.
void Cell::Engine::committed() {
  CommitInFlight_ = false;
  RecordedWorkers_ = CommitWorkers_;
  for (auto &[Id, Each] : Workers_) {
    const bool Recorded = RecordedWorkers_.count(Id) != 0;
    PlacementNeeded_ = PlacementNeeded_ || Recorded != Each->Recorded_;
    Each->Recorded_ = Recorded;
    if (!CommitIncludesAllEnds_ || Each->LastCommitEnd_ <= Each->LastStoredEnd_)
      continue;
    Each->LastStoredEnd_ = Each->LastCommitEnd_;
    if (Each->LastStoredEnd_ >= Each->LastSeenEnd_) {
      Each->NextRenewal_ = Now_;
      markDue(*Each);
    }
  }
  for (auto &[Number, Each] : Waves_)
    Each.StoredDoneCount_ =
        std::max(Each.StoredDoneCount_, Each.CommitDoneCount_);
  for (Job *Each : CommitNewJobs_) {
    Each->Stored_ = true;
    PlacementNeeded_ = true;
    for (Token Caller : Each->Callers_)
      Effects_.push_back(Reply{Caller, Answer::Accepted});
    Each->Callers_.clear();
    Effects_.push_back(Decision{"job_accepted", Each->Id_, Each->Queue_, 0});
  }
  CommitNewJobs_.clear();
  EndedRow Stored{CommitEndedKey_, {}};
  for (Job *Each : CommitEndingJobs_) {
    EndedRecords_[Each->Id_] = {*Each->EndState_, Wall_, Each->Queue_};
    Stored.Jobs_.push_back(Each->Id_);
    for (Token Caller : Each->Cancellers_)
      Effects_.push_back(Reply{Caller, Answer::Cancelled});
    constexpr const char *States[] = {"complete", "failed", "cancelled"};
    Effects_.push_back(Decision{"job_ended", Each->Id_,
                                States[static_cast<int>(*Each->EndState_)],
                                Wall_ - Each->AcceptedWall_});
    recordDuration("job_time", *Each);
    if (Each->LiveRuns_ == 0)
      forgetJob(*Each);
  }
  if (!Stored.Jobs_.empty())
    EndedByTime_.emplace(Wall_, std::move(Stored));
  CommitEndingJobs_.clear();
}

} // namespace oleandergauge::cell
