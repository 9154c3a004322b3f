// Storage: writes changes in transactions, answers callers once these are
// stored, and acknowledges stored ends to workers.

#include <algorithm>

#include "cell/engine.h"

namespace oleandergauge::cell {
namespace {

/// Minimum time between transactions, so that each contains several changes.
constexpr Millis CommitInterval = 12;
/// Time without changes after which the owner writes its row anyway, so that
/// other hosts see that it is alive.
constexpr Millis HeartbeatInterval = 400;
/// Maximum number of rows in a transaction. The store accepts 100 entries,
/// including the owner's row and the condition on it.
constexpr std::size_t MaxCommitRows = 96;
/// Rows of a transaction that stay free for accepted jobs and for progress
/// while ended jobs wait, so that none of them waits without a limit.
constexpr std::size_t ReservedJobRows = 32;
constexpr std::size_t ReservedProgressRows = 16;
/// Maximum size in bytes of the values in a transaction. The store accepts 1 MB
/// with names and encoding.
constexpr std::size_t MaxCommitBytes = 400000;
/// Maximum number of jobs in one row of ended jobs.
constexpr std::size_t MaxEndedJobsPerRow = 300;
/// Weight of the latest transaction in the mean duration.
constexpr Millis CommitTimeWeight = 4;
/// Size in bytes, besides the texts, of an ended job in a row, and of an id.
constexpr std::size_t EndedOverhead = 40;
constexpr std::size_t IdOverhead = 4;

/// Divides ids so that each part fits into a row. There is always a part.
std::vector<std::set<std::string>> divideIds(const std::set<std::string> &Ids,
                                             std::size_t RowBytes) {
  std::vector<std::set<std::string>> Out(1);
  std::size_t Bytes = 0;
  for (const std::string &Each : Ids) {
    Bytes += Each.size() + IdOverhead;
    if (Bytes > RowBytes && !Out.back().empty()) {
      Out.emplace_back();
      Bytes = Each.size() + IdOverhead;
    }
    Out.back().insert(Each);
  }
  return Out;
}

/// Returns the key of a row of the list of workers. Owners of an earlier
/// version read one row.
std::string workersKey(std::size_t Row) {
  std::string Out = SingleRowKey;
  if (Row > 0)
    Out.append(1, '.').append(std::to_string(Row));
  return Out;
}

} // namespace

void TransactionRows::add(std::string Table, std::string Key,
                          std::optional<std::string> Value) {
  Bytes_ += Value ? Value->size() : 0;
  Rows_.push_back({std::move(Table), std::move(Key), std::move(Value)});
}

bool TransactionRows::hasRoom(std::size_t Count, std::size_t Reserved,
                              std::size_t Bytes) const {
  return Items_ < MaxItems_ &&
         Rows_.size() + Count + Reserved <= MaxCommitRows &&
         Bytes_ + Bytes <= MaxCommitBytes;
}

/// Returns the size in bytes that no row may exceed.
std::size_t Cell::Engine::maxRowBytes() const {
  return std::min(Limits_.RowBytes_, MaxCommitBytes);
}

/// Notes that the transaction which is being composed contains the latest
/// change of a job.
void Cell::Engine::markSent(Job &TargetJob) {
  TargetJob.LatestChange_->InTransaction_ = true;
  CommitChanges_.push_back({&TargetJob, TargetJob.LatestChange_});
}

/// Notes a change of a job that has to be stored. A change that no transaction
/// contains yet covers later ones.
void Cell::Engine::markChanged(Job &TargetJob) {
  if (!TargetJob.LatestChange_ || TargetJob.LatestChange_->InTransaction_)
    TargetJob.LatestChange_ = std::make_shared<JobChange>();
}

/// Notes an end that was processed. It is acknowledged to the worker once the
/// latest change of its job is stored, since the end may have caused it or
/// relied on it. \p Cause is null if the job is not known.
void Cell::Engine::recordEnd(Worker &Sender, std::uint64_t Number,
                             const Job *Cause) {
  Sender.UnstoredEnds_.push_back(
      {Number, Cause == nullptr ? nullptr : Cause->LatestChange_});
  UnacknowledgedWorkers_.insert(Sender.Id_);
}

/// Adds a worker to the used ones or removes it. Called where its listing or
/// its runs change.
void Cell::Engine::updateUsedWorker(Worker &Target) {
  if (!Target.Listed_ && Target.Runs_.empty()) {
    if (UsedWorkers_.erase(Target.Id_) != 0)
      UsedWorkersChanged_ = true;
    return;
  }
  if (!UsedWorkers_.insert(Target.Id_).second)
    return;
  UsedWorkersChanged_ = true;
  // The transaction in flight may remove the worker from the stored list.
  Target.Recorded_ =
      RecordedWorkers_.count(Target.Id_) != 0 &&
      (!CommitWorkers_ || CommitWorkers_->count(Target.Id_) != 0);
}

/// Sets WorkersDirty_ if anything has changed on which it depends.
void Cell::Engine::compareUsedWorkers() {
  const std::pair Recovery(isRecovering(), UnconfirmedWorkers_.size());
  if (!UsedWorkersChanged_ && Recovery == ComparedRecovery_)
    return;
  UsedWorkersChanged_ = false;
  ComparedRecovery_ = Recovery;
  if (!isRecovering()) {
    WorkersDirty_ = UsedWorkers_ != RecordedWorkers_;
    return;
  }
  std::set<std::string> Used = UsedWorkers_;
  Used.insert(UnconfirmedWorkers_.begin(), UnconfirmedWorkers_.end());
  WorkersDirty_ = Used != RecordedWorkers_;
}

/// Adds the list of used workers if it has changed. While this owner recovers,
/// it includes the workers that may still run tasks of a former owner.
void Cell::Engine::addUsedWorkers(TransactionRows &Out) {
  CommitWorkers_.reset();
  if (!WorkersDirty_ || WorkersHeld_ || !Out.hasRoom(1, 0, 0))
    return;
  WorkersDirty_ = false;
  Out.countItem();
  CommitWorkers_ = UsedWorkers_;
  if (isRecovering())
    CommitWorkers_->insert(UnconfirmedWorkers_.begin(),
                           UnconfirmedWorkers_.end());
  const auto Parts = divideIds(*CommitWorkers_, maxRowBytes());
  for (std::size_t At = 0; At < Parts.size(); ++At)
    Out.add(WorkersTable, workersKey(At), encode(Parts[At]));
  for (std::size_t At = Parts.size(); At < WorkerRows_; ++At)
    Out.add(WorkersTable, workersKey(At), std::nullopt);
  CommitWorkerRows_ = Parts.size();
}

std::size_t Cell::Engine::reservedForNewJobs() const {
  return std::min(NewJobs_.size(), ReservedJobRows);
}

std::size_t Cell::Engine::reservedForProgress() const {
  return std::min(DirtyJobs_.size(), ReservedProgressRows);
}

/// Adds ended jobs. They come first, since they free what other work waits for
/// and their callers send each cancel again. A job that is cancelled before
/// any transaction contained it is stored as ended only.
void Cell::Engine::addEndedJobs(TransactionRows &Out) {
  const std::size_t Reserved = reservedForNewJobs() + reservedForProgress() + 1;
  EndedBatch Ended;
  std::size_t Taken = 0;
  std::size_t Bytes = 0;
  for (; Taken < EndingJobs_.size() && Ended.size() < MaxEndedJobsPerRow;
       ++Taken) {
    Job &Each = *EndingJobs_[Taken];
    const bool HasProgress = Each.ProgressRows_.isStored(0);
    const std::size_t Rows = (Each.Stored_ ? 1U : 0U) + (HasProgress ? 1U : 0U);
    Bytes += Each.Id_.size() + Each.Queue_.size() + EndedOverhead;
    const bool RowIsFull = !Ended.empty() && Bytes > maxRowBytes();
    if (RowIsFull || !Out.hasRoom(Rows, Reserved, Bytes))
      break;
    if (Each.Stored_)
      Out.add(JobTable, Each.Id_, std::nullopt);
    if (HasProgress)
      Out.add(ProgressTable, Each.Id_, std::nullopt);
    Each.Sent_ = true;
    Out.countItem();
    markSent(Each);
    CommitEndingJobs_.push_back(&Each);
    Ended.emplace_back(Each.Id_,
                       EndedRecord{*Each.EndState_, Wall_, Each.Queue_});
  }
  EndingJobs_.erase(EndingJobs_.begin(),
                    EndingJobs_.begin() + static_cast<std::ptrdiff_t>(Taken));
  if (Ended.empty())
    return;
  CommitEndedKey_ = EndedBatchPrefix + std::to_string(Epoch_) + "." +
                    std::to_string(++EndedRows_);
  Out.add(EndedTable, CommitEndedKey_, encode(Ended));
}

/// Adds accepted jobs in the order of their submission. Those that were
/// cancelled meanwhile wait for a transaction that stores their end.
void Cell::Engine::addNewJobs(TransactionRows &Out) {
  const std::size_t Reserved = reservedForProgress();
  for (Job *Each : NewJobs_) {
    if (!Out.hasRoom(1, Reserved, 0))
      break;
    if (Each->EndState_)
      continue;
    std::string Value = encode(recordOf(*Each));
    if (!Out.hasRoom(1, Reserved, Value.size()))
      break;
    Each->Sent_ = true;
    CommitNewJobs_.push_back(Each);
    Out.countItem();
    Out.add(JobTable, Each->Id_, std::move(Value));
  }
  std::erase_if(NewJobs_, [](const Job *Each) { return Each->Sent_; });
}

/// Finds, for each worker, the ends that the transaction allows to be
/// acknowledged: all up to the first one whose change it does not contain.
void Cell::Engine::collectStoredEnds() {
  CommitAcknowledged_.clear();
  std::erase_if(UnacknowledgedWorkers_, [this](const std::string &Id) {
    Worker *Target = findWorker(Id);
    if (Target == nullptr)
      return true;
    Target->LastCommitEnd_ = Target->LastStoredEnd_;
    for (const UnstoredEnd &Each : Target->UnstoredEnds_) {
      if (Each.Change_ != nullptr && !Each.Change_->isSent())
        break;
      Target->LastCommitEnd_ = Each.Number_;
    }
    if (Target->LastCommitEnd_ != Target->LastStoredEnd_)
      CommitAcknowledged_.push_back(Id);
    return Target->UnstoredEnds_.empty();
  });
}

bool Cell::Engine::hasChanges() const {
  return !NewJobs_.empty() || !DirtyJobs_.empty() || !EndingJobs_.empty() ||
         WorkersDirty_;
}

/// Starts a transaction if none is in flight and a change or a heartbeat is
/// due.
void Cell::Engine::commitChanges() {
  if (CommitInFlight_ || Now_ < LastCommit_ + CommitInterval ||
      Now_ < NextCommit_)
    return;
  resumeHeldChanges();
  compareUsedWorkers();
  if (!hasChanges() && ObsoleteRows_.size() < MaxCommitRows / 2 &&
      Now_ < LastCommit_ + HeartbeatInterval)
    return;
  TransactionRows Rows(Suspected_ ? 0 : MaxItems_);
  addUsedWorkers(Rows);
  addWaveChanges(Rows);
  addEndedJobs(Rows);
  addNewJobs(Rows);
  addProgress(Rows);
  while (!ObsoleteRows_.empty() && Rows.hasRoom(1, 0, 0)) {
    Rows.countItem();
    Rows.add(ObsoleteRows_.back().Table_, ObsoleteRows_.back().Key_,
             std::nullopt);
    CommitObsoleteRows_.push_back(std::move(ObsoleteRows_.back()));
    ObsoleteRows_.pop_back();
  }
  collectStoredEnds();
  CommitItems_ = Rows.items();
  CommitInFlight_ = true;
  LastCommit_ = Now_;
  Effects_.push_back(Commit{Rows.take()});
}

/// Applies the completion of the transaction in flight and answers callers.
void Cell::Engine::committed() {
  CommitInFlight_ = false;
  const Millis Took = std::max(Now_ - LastCommit_, CommitInterval);
  CommitTime_ += (Took - CommitTime_) / CommitTimeWeight;
  CommitChanges_.clear();
  CommitObsoleteRows_.clear();
  // The condition of every earlier transaction has become false.
  for (Job *Each : NewJobs_)
    Each->MayBeStoredLate_ = false;
  recordStoredWorkers();
  acknowledgeStoredEnds();
  for (auto &[Number, Each] : Waves_)
    Each.StoredDoneCount_ =
        std::max(Each.StoredDoneCount_, Each.CommitDoneCount_);
  recordStoredProgress();
  answerNewJobs();
  answerEndedJobs();
  resolveSuspicion();
}

/// Applies the list of workers that the completed transaction contained.
void Cell::Engine::recordStoredWorkers() {
  if (!CommitWorkers_)
    return;
  RecordedWorkers_ = *std::exchange(CommitWorkers_, std::nullopt);
  WorkerRows_ = CommitWorkerRows_;
  UsedWorkersChanged_ = true;
  PlacementNeeded_ = true;
  for (auto &[Id, Each] : Workers_)
    Each->Recorded_ = RecordedWorkers_.count(Id) != 0;
}

void Cell::Engine::acknowledgeStoredEnds() {
  for (const std::string &Id : std::exchange(CommitAcknowledged_, {})) {
    Worker *Target = findWorker(Id);
    if (Target == nullptr || Target->LastCommitEnd_ <= Target->LastStoredEnd_)
      continue;
    Target->LastStoredEnd_ = Target->LastCommitEnd_;
    std::deque<UnstoredEnd> &Ends = Target->UnstoredEnds_;
    while (!Ends.empty() && Ends.front().Number_ <= Target->LastStoredEnd_)
      Ends.pop_front();
    if (Target->LastStoredEnd_ >= Target->LastSeenEnd_) {
      Target->NextRenewal_ = Now_;
      markDue(*Target);
    }
  }
}

/// Answers the submissions of the jobs that are stored now.
void Cell::Engine::answerNewJobs() {
  for (Job *Each : std::exchange(CommitNewJobs_, {})) {
    Each->Stored_ = true;
    countJob(*Each);
    PlacementNeeded_ = true;
    for (Token Caller : std::exchange(Each->Callers_, {}))
      Effects_.push_back(Reply{Caller, Answer::Accepted});
    Effects_.push_back(Decision{"job_accepted", Each->Id_, Each->Queue_, 0});
  }
}

/// Answers the cancels of the jobs whose end is stored now. A job that was
/// cancelled early has open submissions too: it was accepted and is cancelled.
void Cell::Engine::answerEndedJobs() {
  if (CommitEndingJobs_.empty())
    return;
  EndedRow Stored{CommitEndedKey_, {}};
  for (Job *Each : std::exchange(CommitEndingJobs_, {})) {
    EndedRecords_[Each->Id_] = {*Each->EndState_, Wall_, Each->Queue_};
    Stored.Jobs_.push_back(Each->Id_);
    Each->Stored_ = true;
    for (const TaskNumber First : Each->ProgressRows_.stored())
      if (First != 0)
        dropProgressRow(Each->Id_, First);
    for (Token Caller : std::exchange(Each->Callers_, {}))
      Effects_.push_back(Reply{Caller, Answer::Accepted});
    for (Token Caller : std::exchange(Each->Cancellers_, {}))
      Effects_.push_back(Reply{Caller, Answer::Cancelled});
    constexpr const char *States[] = {"complete", "failed", "cancelled"};
    Effects_.push_back(Decision{"job_ended", Each->Id_,
                                States[static_cast<int>(*Each->EndState_)],
                                Wall_ - Each->AcceptedWall_});
    recordDuration("job_time", *Each);
    if (Each->LiveRuns_ == 0)
      forgetJob(*Each);
  }
  EndedByTime_.emplace(Wall_, std::move(Stored));
}

/// Returns how long a submission that arrives now waits until it is stored, at
/// the present duration of transactions.
Millis Cell::Engine::expectedStoreWait() const {
  const Millis Age = CommitInFlight_ ? Now_ - LastCommit_ : 0;
  const Millis Duration = std::max(CommitTime_, Age);
  const std::size_t OtherRows =
      std::min(2 * EndingJobs_.size() + reservedForProgress(),
               MaxCommitRows - ReservedJobRows);
  const std::size_t Transactions =
      1 + NewJobs_.size() / (MaxCommitRows - OtherRows);
  return (CommitInFlight_ ? Duration - Age : 0) +
         Duration * static_cast<Millis>(Transactions);
}

} // namespace oleandergauge::cell
