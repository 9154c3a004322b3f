// Transactions that the store will never take: finds the change at fault and
// gives it up, so that all other changes are stored.

#include <algorithm>

#include "cell/engine.h"

namespace oleandergauge::cell {
namespace {

/// Delay before the next transaction while the store rejects even one without
/// changes.
constexpr Millis RejectedRetryDelay = 100;
/// Time after which a change that must not be lost is sent again.
constexpr Millis HoldTime = 5000;
/// Rejections of a change alone after which it is given up. A store that takes
/// transactions again between two attempts must not cost a job.
constexpr int RejectionLimit = 3;

} // namespace

/// Takes back the transaction in flight. The next one contains fewer changes,
/// and none at all once a single change was rejected: only if the store takes
/// that one, the change may be at fault and not the store.
void Cell::Engine::commitRejected() {
  if (CommitItems_ == 0) {
    NextCommit_ = Now_ + RejectedRetryDelay;
    Suspected_.reset();
    Rejections_ = 0;
  } else if (CommitItems_ == 1) {
    suspect(sentChange());
  }
  MaxItems_ = std::max<std::size_t>(1, CommitItems_ / 2);
  takeBackCommit();
}

void Cell::Engine::suspect(const SuspectedChange &Change) {
  Rejections_ = Change == LastSuspected_ ? Rejections_ + 1 : 1;
  LastSuspected_ = Change;
  Suspected_ = Change;
}

/// Returns the only change in the transaction in flight.
SuspectedChange Cell::Engine::sentChange() const {
  if (CommitWorkers_)
    return {ChangeKind::Workers, ""};
  if (!CommitEndingJobs_.empty())
    return {ChangeKind::End, CommitEndingJobs_.front()->Id_};
  if (!CommitNewJobs_.empty())
    return {ChangeKind::NewJob, CommitNewJobs_.front()->Id_};
  if (!CommitProgress_.empty())
    return {ChangeKind::Progress, CommitProgress_.front().Job_->Id_};
  return {CommitObsoleteRows_.empty() ? ChangeKind::Wave : ChangeKind::Deletion,
          ""};
}

/// Undoes what the composition of the transaction in flight has noted.
void Cell::Engine::takeBackCommit() {
  CommitInFlight_ = false;
  if (std::exchange(CommitWorkers_, std::nullopt))
    UsedWorkersChanged_ = true;
  for (auto &[Number, Each] : Waves_)
    Each.CommitDoneCount_ = Each.StoredDoneCount_;
  for (const std::string &Id : std::exchange(CommitAcknowledged_, {}))
    if (Worker *Target = findWorker(Id))
      Target->LastCommitEnd_ = Target->LastStoredEnd_;
  takeBackJobs();
  for (RowChange &Each : std::exchange(CommitObsoleteRows_, {}))
    ObsoleteRows_.push_back(std::move(Each));
}

void Cell::Engine::takeBackJobs() {
  for (const SentChange &Each : std::exchange(CommitChanges_, {})) {
    Each.Change_->InTransaction_ = false;
    if (Each.Change_ != Each.Job_->LatestChange_)
      Each.Change_->CoveredBy_ = Each.Job_->LatestChange_;
  }
  EndingJobs_.insert(EndingJobs_.begin(), CommitEndingJobs_.begin(),
                     CommitEndingJobs_.end());
  CommitEndingJobs_.clear();
  for (Job *Each : CommitNewJobs_) {
    Each->Sent_ = false;
    Each->MayBeStoredLate_ = true;
  }
  NewJobs_.insert(NewJobs_.begin(), CommitNewJobs_.begin(),
                  CommitNewJobs_.end());
  CommitNewJobs_.clear();
  for (const SentProgress &Each : std::exchange(CommitProgress_, {})) {
    Each.Job_->ProgressRows_.takeBack(Each.First_);
    if (Each.Job_->ProgressDirty_)
      continue;
    Each.Job_->ProgressDirty_ = true;
    DirtyJobs_.insert(DirtyJobs_.begin(), Each.Job_);
  }
}

/// After a transaction was stored: gives up a change that was rejected alone
/// several times, each time just before a transaction without changes was
/// stored, or lets the next transaction contain more changes.
void Cell::Engine::resolveSuspicion() {
  if (const auto Change = std::exchange(Suspected_, std::nullopt)) {
    if (Rejections_ >= RejectionLimit)
      giveUp(*Change);
    return;
  }
  if (CommitItems_ == 0)
    return;
  Rejections_ = 0;
  MaxItems_ = std::min(2 * MaxItems_, NoItemLimit);
}

void Cell::Engine::giveUp(const SuspectedChange &Change) {
  constexpr const char *Names[] = {"workers", "wave",     "end",
                                   "new job", "progress", "deletion"};
  Effects_.push_back(Decision{"change_not_storable", Change.Job_,
                              Names[static_cast<int>(Change.Kind_)], 0});
  Job *TargetJob = findJob(Change.Job_);
  switch (Change.Kind_) {
  case ChangeKind::NewJob:
    if (TargetJob != nullptr && !TargetJob->Sent_)
      refuseUnstorable(*TargetJob);
    return;
  case ChangeKind::Progress:
    if (TargetJob != nullptr && !TargetJob->EndState_)
      failUnstorable(*TargetJob, "the store rejects its progress");
    return;
  case ChangeKind::Deletion:
    if (!ObsoleteRows_.empty())
      ObsoleteRows_.pop_back(); // Composition takes the last one first.
    return;
  case ChangeKind::End:
    holdEnd(Change.Job_);
    break;
  case ChangeKind::Workers:
    WorkersHeld_ = true;
    break;
  case ChangeKind::Wave:
    WavesHeld_ = true;
    break;
  }
  HeldUntil_ = Now_ + HoldTime;
}

/// Lets an ended job wait, whose end must not be lost.
void Cell::Engine::holdEnd(const std::string &Id) {
  const auto Held =
      std::find_if(EndingJobs_.begin(), EndingJobs_.end(),
                   [&](const Job *Each) { return Each->Id_ == Id; });
  if (Held == EndingJobs_.end())
    return;
  HeldEnds_.push_back(*Held);
  EndingJobs_.erase(Held);
}

/// Refuses a job that is not stored.
void Cell::Engine::refuseUnstorable(Job &Refused) {
  std::erase(NewJobs_, &Refused);
  std::erase(EndingJobs_, &Refused);
  Effects_.push_back(
      Decision{"job_refused", Refused.Id_, "the store rejects it", 0});
  refuseJob(Refused, {0, Answer::NotStorable});
}

/// Sends the changes again that were held.
void Cell::Engine::resumeHeldChanges() {
  if (HeldUntil_ == 0 || Now_ < HeldUntil_)
    return;
  HeldUntil_ = 0;
  WorkersHeld_ = false;
  WavesHeld_ = false;
  EndingJobs_.insert(EndingJobs_.end(), HeldEnds_.begin(), HeldEnds_.end());
  HeldEnds_.clear();
}

} // namespace oleandergauge::cell
