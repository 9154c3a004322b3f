#include <algorithm>

#include "partition_engine.h"
#include "store.pb.h"

namespace oleandergauge {
namespace {

/// Wait after a failed read during recovery before it is repeated.
constexpr Duration RecoveryRetryDelay = std::chrono::milliseconds(200);
constexpr std::uint32_t RowsPerScan = 100;
/// Transitions in one snapshot row. At about 200 bytes each, a row has some
/// 64 KB.
constexpr std::size_t TransitionsPerSnapshotRow = 300;
/// Maximum number of rows that one transaction deletes.
constexpr std::size_t MaxDeletesPerTransaction = 100;

std::string pointerKey(const PartitionId &Id) {
  return "snapshot/" + Id.str() + "/current";
}

std::string chunkPrefix(const PartitionId &Id) {
  return "snapshot/" + Id.str() + "/chunk/";
}

/// Returns the prefix of the row keys of one attempt to write a snapshot. Each
/// attempt has its own prefix, because a write of an earlier attempt may take
/// effect late and must not change the rows of a later one.
std::string attemptChunkPrefix(const PartitionId &Id, std::uint64_t Sequence,
                               Epoch OwnerEpoch, std::uint64_t Attempt) {
  return chunkPrefix(Id) + std::to_string(Sequence) + "-" +
         std::to_string(OwnerEpoch) + "-" + std::to_string(Attempt) + "/";
}

std::string journalPrefix(const PartitionId &Id) {
  return "journal/" + Id.str() + "/";
}

} // namespace

// -------------------------------------------------------------- Recovery

void Partition::Engine::beginRecovery() {
  Mode_ = Mode::Recovering;
  Epoch_ = Lease_.epoch();
  OwnedSince_ = Now_;
  TakeoverSettledAt_ = Now_ + TakeoverSettleDelay;
  updateEvidence(Evidence_);
  OutageServiceLost_ = false;
  RecoveryStep_ = RecoveryStep::Pointer;
  RecoveryRetryAt_ = Now_;
  PublishedSequence_ = 0;
  SnapshotAttempts_ = 0;
  LastReplayedSequence_ = 0;
  LastReplayedKey_.clear();
  Jobs_.clear();
}

void Partition::Engine::sendRecoveryRequest() {
  if (isRequestPending(RequestKind::Recovery) || Now_ < RecoveryRetryAt_)
    return;
  switch (RecoveryStep_) {
  case RecoveryStep::Pointer:
    sendTable(RequestKind::Recovery, ReadKeys{{pointerKey(Id_)}});
    return;
  case RecoveryStep::Chunks: {
    ReadKeys Chunks;
    for (std::uint32_t Chunk = 0; Chunk < PublishedChunks_; ++Chunk)
      Chunks.Keys_.push_back(PublishedPrefix_ + std::to_string(Chunk));
    sendTable(RequestKind::Recovery, std::move(Chunks));
    return;
  }
  case RecoveryStep::Batches:
    sendTable(RequestKind::Recovery,
              Scan{journalPrefix(Id_), LastReplayedKey_, RowsPerScan});
    return;
  }
}

void Partition::Engine::handleRecoveryReply(const TableReply &Reply) {
  if (Mode_ != Mode::Recovering)
    return;
  const auto *Read = std::get_if<Rows>(&Reply);
  if (!Read) {
    RecoveryRetryAt_ = Now_ + RecoveryRetryDelay;
    return;
  }
  if (RecoveryStep_ == RecoveryStep::Pointer) {
    readSnapshotPointer(Read->Rows_.empty() ? Row() : Read->Rows_[0]);
    LastReplayedSequence_ = PublishedSequence_;
    LastReplayedKey_ = PublishedSequence_ ? journalKey(Id_, PublishedSequence_)
                                          : std::string();
    RecoveryStep_ =
        PublishedChunks_ ? RecoveryStep::Chunks : RecoveryStep::Batches;
    return;
  }
  for (const Row &Found : Read->Rows_)
    if (Found.Version_ != 0)
      replay(Found.Value_);
  if (RecoveryStep_ == RecoveryStep::Chunks) {
    LastReplayedSequence_ = PublishedSequence_;
    RecoveryStep_ = RecoveryStep::Batches;
    return;
  }
  if (!Read->Rows_.empty())
    LastReplayedKey_ = Read->Rows_.back().Key_;
  if (Read->Rows_.size() < RowsPerScan)
    finishRecovery();
}

void Partition::Engine::readSnapshotPointer(const Row &Pointer) {
  wire::SnapshotPointer Current;
  if (Pointer.Version_ != 0)
    Current.ParseFromString(Pointer.Value_);
  PublishedSequence_ = Current.sequence();
  PublishedChunks_ = Current.chunks();
  PublishedPrefix_ = Current.chunk_prefix();
  PointerVersion_ = Pointer.Version_;
}

void Partition::Engine::replay(const std::string &Bytes) {
  const auto Batch = decodeBatch(Bytes);
  if (!Batch)
    return;
  for (const Transition &Change : Batch->Changes_)
    detail::applyTransition(Jobs_, Change);
  LastReplayedSequence_ = std::max(LastReplayedSequence_, Batch->Sequence_);
}

void Partition::Engine::finishRecovery() {
  Journal_ = Journal(Id_);
  Journal_.open(Lease_.fence(), Epoch_, LastReplayedSequence_ + 1);
  LastTicket_ = 0;
  Allotments_ = Allotments(Id_);
  Allotments_.open(Lease_.fence());
  if (View_)
    Allotments_.setLimits(View_->limits());
  Mode_ = Mode::Active;
  onWorkersListed(WorkersListed{LiveList_});
  for (auto &[Id, Job] : Jobs_)
    adoptJob(Job);
  ScheduleNeeded_ = true;
  Effects_.push_back(OwnershipChanged{true, Epoch_});
}

void Partition::Engine::adoptJob(detail::JobEntry &Job) {
  Job.SubmittedAt_ = Now_;
  Job.CancelCommitted_ = Job.CancelledFor_.has_value();
  for (std::uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
    detail::TaskEntry &Task = Job.Tasks_[Index];
    if (!Task.isActive())
      continue;
    Job.Started_ = true;
    const TaskId Id{Job.Spec_->Id_, Index};
    // The former owner's start command may still be in transit. Its last one
    // was sent by this time.
    Task.CommandValidUntil_ =
        OwnedSince_ + TakeoverSettleDelay - MaxDeliveryDelay;
    Task.AssignedAt_ = Now_;
    if (Task.NoFurtherAttempt_)
      Task.StopRequestedAt_ = OwnedSince_;
    Scheduler_.adopt(makeWorkItem(Job, Index),
                     {Id, Task.Worker_, Task.Reserved_}, Now_);
    Allotments_.noteStarted(Job.Spec_->Team_);
    detail::WorkerEntry &Worker = Workers_[Task.Worker_];
    Worker.Info_.Id_ = Task.Worker_;
    Worker.Tasks_.insert(Id);
    Worker.LastRenewalValidUntil_ =
        std::max(Worker.LastRenewalValidUntil_, OwnedSince_ + MaxEvidenceAge);
  }
  if (detail::allTasksEnded(Job)) {
    Job.Ended_ = true;
    Job.EndedAt_ = Now_;
    return;
  }
  const bool SomeActive = std::any_of(
      Job.Tasks_.begin(), Job.Tasks_.end(),
      [](const detail::TaskEntry &Task) { return Task.isActive(); });
  const bool AllWaiting = std::all_of(
      Job.Tasks_.begin(), Job.Tasks_.end(), [](const detail::TaskEntry &Task) {
        return Task.State_ == TaskState::Waiting;
      });
  if (Job.isGang() && SomeActive &&
      std::any_of(Job.Tasks_.begin(), Job.Tasks_.end(),
                  [](const detail::TaskEntry &Task) {
                    return Task.State_ == TaskState::Waiting;
                  })) {
    abortGangAttempt(Job);
    return;
  }
  if (Job.isGang() && !SomeActive && !AllWaiting) {
    abortGangAttempt(Job);
    return;
  }
  if (!Job.CancelledFor_ && (!Job.isGang() || AllWaiting))
    enqueueJob(Job);
}

// ------------------------------------------------------------- Snapshots

void Partition::Engine::advanceSnapshot() {
  if (!isOwner() || isRequestPending(RequestKind::Snapshot))
    return;
  if (SnapshotStep_ != SnapshotStep::None) {
    sendSnapshotStep();
    return;
  }
  if (Journal_.lastSequence() >= PublishedSequence_ + BatchesPerSnapshot)
    beginSnapshot();
}

/// Takes a snapshot of the state, which may include transitions that are not
/// committed yet. The pointer is written only once they are, and replaying them
/// on top of the snapshot changes nothing.
void Partition::Engine::beginSnapshot() {
  DraftSequence_ = Journal_.lastSequence();
  const std::vector<Transition> State = detail::stateAsTransitions(Jobs_);
  DraftRows_.clear();
  for (std::size_t Begin = 0; Begin < State.size();
       Begin += TransitionsPerSnapshotRow) {
    const std::size_t End =
        std::min(State.size(), Begin + TransitionsPerSnapshotRow);
    JournalBatch Chunk{Epoch_, DraftSequence_, {}};
    Chunk.Changes_.assign(State.begin() + static_cast<std::ptrdiff_t>(Begin),
                          State.begin() + static_cast<std::ptrdiff_t>(End));
    DraftRows_.push_back(encodeBatch(Chunk));
  }
  DraftPrefix_ =
      attemptChunkPrefix(Id_, DraftSequence_, Epoch_, ++SnapshotAttempts_);
  NextDraftRow_ = 0;
  DraftTicket_ = LastTicket_;
  SnapshotStep_ =
      DraftRows_.empty() ? SnapshotStep::Pointer : SnapshotStep::Chunks;
  sendSnapshotStep();
}

void Partition::Engine::sendSnapshotStep() {
  Transaction Change{{Lease_.fence()}, {}};
  switch (SnapshotStep_) {
  case SnapshotStep::None:
    return;
  case SnapshotStep::Chunks:
    Change.Writes_.push_back({DraftPrefix_ + std::to_string(NextDraftRow_),
                              DraftRows_[NextDraftRow_]});
    break;
  case SnapshotStep::Pointer: {
    if (Journal_.committedTicket() < DraftTicket_)
      return;
    wire::SnapshotPointer Pointer;
    Pointer.set_sequence(DraftSequence_);
    Pointer.set_chunks(static_cast<std::uint32_t>(DraftRows_.size()));
    Pointer.set_chunk_prefix(DraftPrefix_);
    // The condition on the version prevents an earlier pointer write that
    // takes effect late from naming a snapshot whose rows were deleted.
    Change.Conditions_.push_back({pointerKey(Id_), PointerVersion_});
    Change.Writes_.push_back({pointerKey(Id_), Pointer.SerializeAsString()});
    break;
  }
  case SnapshotStep::ReadPointer:
    sendTable(RequestKind::Snapshot, ReadKeys{{pointerKey(Id_)}});
    return;
  case SnapshotStep::ListObsolete:
    sendTable(RequestKind::Snapshot, Scan{CleanupPrefix_, "", RowsPerScan});
    return;
  case SnapshotStep::DeleteObsolete:
    for (const std::string &Key : ObsoleteKeys_)
      Change.Writes_.push_back({Key, std::nullopt});
    break;
  }
  sendTable(RequestKind::Snapshot, std::move(Change));
}

void Partition::Engine::handleSnapshotReply(const TableReply &Reply) {
  if (const auto *Read = std::get_if<Rows>(&Reply)) {
    if (SnapshotStep_ == SnapshotStep::ListObsolete)
      selectObsoleteRows(*Read);
    if (SnapshotStep_ == SnapshotStep::ReadPointer) {
      readSnapshotPointer(Read->Rows_.empty() ? Row() : Read->Rows_[0]);
      SnapshotStep_ = SnapshotStep::None;
    }
    return;
  }
  if (const auto *Done = std::get_if<Committed>(&Reply)) {
    handleSnapshotCommitted(*Done);
    return;
  }
  // The pointer write, or an earlier attempt at it, may have taken effect, so
  // the pointer is read back. The requests of other steps are repeated.
  if (SnapshotStep_ == SnapshotStep::Pointer ||
      std::holds_alternative<Conflicted>(Reply))
    SnapshotStep_ = SnapshotStep::ReadPointer;
}

/// Selects rows to delete from one page of a scan: journal rows up to the
/// published snapshot, and then the rows of other snapshots.
void Partition::Engine::selectObsoleteRows(const Rows &Listed) {
  ObsoleteKeys_.clear();
  const bool ScansJournal = CleanupPrefix_ == journalPrefix(Id_);
  const std::string FirstNeededKey = journalKey(Id_, PublishedSequence_ + 1);
  for (const Row &Candidate : Listed.Rows_) {
    const bool Needed = ScansJournal
                            ? Candidate.Key_ >= FirstNeededKey
                            : Candidate.Key_.starts_with(PublishedPrefix_);
    if (!Needed && ObsoleteKeys_.size() < MaxDeletesPerTransaction)
      ObsoleteKeys_.push_back(Candidate.Key_);
  }
  if (!ObsoleteKeys_.empty()) {
    SnapshotStep_ = SnapshotStep::DeleteObsolete;
    return;
  }
  SnapshotStep_ =
      ScansJournal ? SnapshotStep::ListObsolete : SnapshotStep::None;
  CleanupPrefix_ = chunkPrefix(Id_);
}

void Partition::Engine::handleSnapshotCommitted(const Committed &Reply) {
  switch (SnapshotStep_) {
  case SnapshotStep::Chunks:
    if (++NextDraftRow_ == DraftRows_.size())
      SnapshotStep_ = SnapshotStep::Pointer;
    return;
  case SnapshotStep::Pointer:
    PublishedSequence_ = DraftSequence_;
    PublishedPrefix_ = DraftPrefix_;
    PointerVersion_ = Reply.Versions_.empty() ? 0 : Reply.Versions_[0];
    CleanupPrefix_ = journalPrefix(Id_);
    SnapshotStep_ = SnapshotStep::ListObsolete;
    return;
  case SnapshotStep::DeleteObsolete:
    SnapshotStep_ = SnapshotStep::ListObsolete;
    return;
  case SnapshotStep::None:
  case SnapshotStep::ReadPointer:
  case SnapshotStep::ListObsolete:
    return;
  }
}

} // namespace oleandergauge
