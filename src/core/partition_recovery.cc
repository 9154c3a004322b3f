#include <algorithm>

#include "partition_engine.h"
#include "store.pb.h"

namespace oleandergauge {
namespace {

constexpr Duration RecoveryRetryDelay = std::chrono::milliseconds(200);
constexpr std::uint32_t ScanRows = 100;
/// Transitions in one snapshot row; at about 200 B each some 64 KB.
constexpr std::size_t SnapshotRowChanges = 300;
/// Rows deleted in one transaction.
constexpr std::size_t MaxDeletes = 100;

std::string pointerKey(const PartitionId &Id) {
  return "snapshot/" + Id.str() + "/current";
}

std::string chunkPrefix(const PartitionId &Id) {
  return "snapshot/" + Id.str() + "/chunk/";
}

/// Each try has a prefix of its own: a write of an earlier one that takes
/// effect late must not change the rows of a later one.
std::string triedPrefix(const PartitionId &Id, std::uint64_t Sequence,
                        Epoch Owner, std::uint64_t Try) {
  return chunkPrefix(Id) + std::to_string(Sequence) + "-" +
         std::to_string(Owner) + "-" + std::to_string(Try) + "/";
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
  SettledAt_ = Now_ + TakeoverSettle;
  noteEvidence(Evidence_);
  LimitedLost_ = false;
  RecoveryStep_ = RecoveryStep::Pointer;
  RecoveryRetry_ = Now_;
  SnapshotAt_ = 0;
  SnapshotTries_ = 0;
  ReplayedSequence_ = 0;
  ReplayedKey_.clear();
  Jobs_.clear();
}

void Partition::Engine::pumpRecovery() {
  if (pending(RequestKind::Recovery) || Now_ < RecoveryRetry_)
    return;
  switch (RecoveryStep_) {
  case RecoveryStep::Pointer:
    sendTable(RequestKind::Recovery, ReadKeys{{pointerKey(Id_)}});
    return;
  case RecoveryStep::Chunks: {
    ReadKeys Chunks;
    for (std::uint32_t Chunk = 0; Chunk < SnapshotChunks_; ++Chunk)
      Chunks.Keys_.push_back(SnapshotPrefix_ + std::to_string(Chunk));
    sendTable(RequestKind::Recovery, std::move(Chunks));
    return;
  }
  case RecoveryStep::Batches:
    sendTable(RequestKind::Recovery,
              Scan{journalPrefix(Id_), ReplayedKey_, ScanRows});
    return;
  }
}

void Partition::Engine::noteRecoveryRows(const TableReply &Reply) {
  if (Mode_ != Mode::Recovering)
    return;
  const auto *Read = std::get_if<Rows>(&Reply);
  if (!Read) {
    RecoveryRetry_ = Now_ + RecoveryRetryDelay;
    return;
  }
  if (RecoveryStep_ == RecoveryStep::Pointer) {
    notePointer(Read->Rows_.empty() ? Row() : Read->Rows_[0]);
    ReplayedSequence_ = SnapshotAt_;
    ReplayedKey_ = SnapshotAt_ ? journalKey(Id_, SnapshotAt_) : std::string();
    RecoveryStep_ =
        SnapshotChunks_ ? RecoveryStep::Chunks : RecoveryStep::Batches;
    return;
  }
  for (const Row &Found : Read->Rows_)
    if (Found.Version_ != 0)
      replay(Found.Value_);
  if (RecoveryStep_ == RecoveryStep::Chunks) {
    ReplayedSequence_ = SnapshotAt_;
    RecoveryStep_ = RecoveryStep::Batches;
    return;
  }
  if (!Read->Rows_.empty())
    ReplayedKey_ = Read->Rows_.back().Key_;
  if (Read->Rows_.size() < ScanRows)
    finishRecovery();
}

void Partition::Engine::notePointer(const Row &Pointer) {
  wire::SnapshotPointer Current;
  if (Pointer.Version_ != 0)
    Current.ParseFromString(Pointer.Value_);
  SnapshotAt_ = Current.sequence();
  SnapshotChunks_ = Current.chunks();
  SnapshotPrefix_ = Current.chunk_prefix();
  SnapshotVersion_ = Pointer.Version_;
}

void Partition::Engine::replay(const std::string &Bytes) {
  const auto Batch = decodeBatch(Bytes);
  if (!Batch)
    return;
  for (const Transition &Change : Batch->Changes_)
    detail::applyTransition(Jobs_, Change);
  ReplayedSequence_ = std::max(ReplayedSequence_, Batch->Sequence_);
}

void Partition::Engine::finishRecovery() {
  Journal_ = Journal(Id_);
  Journal_.open(Lease_.fence(), Epoch_, ReplayedSequence_ + 1);
  LastTicket_ = 0;
  Allotments_ = Allotments(Id_);
  Allotments_.open(Lease_.fence());
  if (View_)
    Allotments_.setLimits(View_->limits());
  Mode_ = Mode::Active;
  onWorkersListed(WorkersListed{Listed_});
  for (auto &[Id, Job] : Jobs_)
    adoptJob(Job);
  ScheduleNeeded_ = true;
  Out_.push_back(OwnershipChanged{true, Epoch_});
}

void Partition::Engine::adoptJob(detail::JobEntry &Job) {
  Job.SubmittedAt_ = Now_;
  Job.CancelCommitted_ = Job.CancelledFor_.has_value();
  for (std::uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
    detail::TaskEntry &Task = Job.Tasks_[Index];
    if (!Task.active())
      continue;
    Job.Started_ = true;
    const TaskId Id{Job.Spec_->Id_, Index};
    // The old owner's command may still be on its way.
    Task.CommandUntil_ = OwnedSince_ + TakeoverSettle - DeliveryBound;
    Task.AssignedAt_ = Now_;
    if (Task.Final_)
      Task.StopAskedAt_ = OwnedSince_;
    Scheduler_.adopt(itemOf(Job, Index), {Id, Task.Worker_, Task.Reserved_},
                     Now_);
    Allotments_.noteStarted(Job.Spec_->Team_);
    detail::WorkerEntry &Worker = Workers_[Task.Worker_];
    Worker.Info_.Id_ = Task.Worker_;
    Worker.Tasks_.insert(Id);
    Worker.RenewedUntil_ =
        std::max(Worker.RenewedUntil_, OwnedSince_ + EvidenceBound);
  }
  if (detail::allTasksEnded(Job)) {
    Job.Ended_ = true;
    Job.EndedAt_ = Now_;
    return;
  }
  const bool SomeActive =
      std::any_of(Job.Tasks_.begin(), Job.Tasks_.end(),
                  [](const detail::TaskEntry &Task) { return Task.active(); });
  const bool AllWaiting = std::all_of(
      Job.Tasks_.begin(), Job.Tasks_.end(), [](const detail::TaskEntry &Task) {
        return Task.State_ == TaskState::Waiting;
      });
  if (Job.gang() && SomeActive &&
      std::any_of(Job.Tasks_.begin(), Job.Tasks_.end(),
                  [](const detail::TaskEntry &Task) {
                    return Task.State_ == TaskState::Waiting;
                  })) {
    restartGang(Job);
    return;
  }
  if (Job.gang() && !SomeActive && !AllWaiting) {
    restartGang(Job);
    return;
  }
  if (!Job.CancelledFor_ && (!Job.gang() || AllWaiting))
    enqueueJob(Job);
}

// ------------------------------------------------------------- Snapshots

void Partition::Engine::pumpSnapshot() {
  if (!mayDecide() || pending(RequestKind::Snapshot))
    return;
  if (SnapshotStep_ != SnapshotStep::None) {
    sendSnapshotStep();
    return;
  }
  if (Journal_.lastSequence() >= SnapshotAt_ + BatchesPerSnapshot)
    beginSnapshot();
}

/// The state may hold transitions that are not committed yet. Its pointer is
/// written only after they are, and their replay on top changes nothing.
void Partition::Engine::beginSnapshot() {
  SnapshotSequence_ = Journal_.lastSequence();
  const std::vector<Transition> State = detail::describeState(Jobs_);
  SnapshotRows_.clear();
  for (std::size_t Begin = 0; Begin < State.size();
       Begin += SnapshotRowChanges) {
    const std::size_t End = std::min(State.size(), Begin + SnapshotRowChanges);
    JournalBatch Chunk{Epoch_, SnapshotSequence_, {}};
    Chunk.Changes_.assign(State.begin() + static_cast<std::ptrdiff_t>(Begin),
                          State.begin() + static_cast<std::ptrdiff_t>(End));
    SnapshotRows_.push_back(encodeBatch(Chunk));
  }
  NextPrefix_ = triedPrefix(Id_, SnapshotSequence_, Epoch_, ++SnapshotTries_);
  SnapshotNext_ = 0;
  SnapshotTicket_ = LastTicket_;
  SnapshotStep_ =
      SnapshotRows_.empty() ? SnapshotStep::Pointer : SnapshotStep::Chunks;
  sendSnapshotStep();
}

void Partition::Engine::sendSnapshotStep() {
  Transaction Change{{Lease_.fence()}, {}};
  switch (SnapshotStep_) {
  case SnapshotStep::None:
    return;
  case SnapshotStep::Chunks:
    Change.Writes_.push_back({NextPrefix_ + std::to_string(SnapshotNext_),
                              SnapshotRows_[SnapshotNext_]});
    break;
  case SnapshotStep::Pointer: {
    if (Journal_.committedTicket() < SnapshotTicket_)
      return;
    wire::SnapshotPointer Pointer;
    Pointer.set_sequence(SnapshotSequence_);
    Pointer.set_chunks(static_cast<std::uint32_t>(SnapshotRows_.size()));
    Pointer.set_chunk_prefix(NextPrefix_);
    // The version keeps an earlier write that takes effect late from naming
    // a snapshot whose rows were deleted.
    Change.Conditions_.push_back({pointerKey(Id_), SnapshotVersion_});
    Change.Writes_.push_back({pointerKey(Id_), Pointer.SerializeAsString()});
    break;
  }
  case SnapshotStep::ReadPointer:
    sendTable(RequestKind::Snapshot, ReadKeys{{pointerKey(Id_)}});
    return;
  case SnapshotStep::ListOld:
    sendTable(RequestKind::Snapshot, Scan{OldPrefix_, "", ScanRows});
    return;
  case SnapshotStep::DeleteOld:
    for (const std::string &Key : OldKeys_)
      Change.Writes_.push_back({Key, std::nullopt});
    break;
  }
  sendTable(RequestKind::Snapshot, std::move(Change));
}

void Partition::Engine::noteSnapshotReply(const TableReply &Reply) {
  if (const auto *Read = std::get_if<Rows>(&Reply)) {
    if (SnapshotStep_ == SnapshotStep::ListOld)
      noteOldRows(*Read);
    if (SnapshotStep_ == SnapshotStep::ReadPointer) {
      notePointer(Read->Rows_.empty() ? Row() : Read->Rows_[0]);
      SnapshotStep_ = SnapshotStep::None;
    }
    return;
  }
  if (const auto *Done = std::get_if<Committed>(&Reply)) {
    noteSnapshotCommitted(*Done);
    return;
  }
  // An earlier send may have taken effect. Other steps are sent again.
  if (SnapshotStep_ == SnapshotStep::Pointer ||
      std::holds_alternative<Conflicted>(Reply))
    SnapshotStep_ = SnapshotStep::ReadPointer;
}

/// Chooses journal rows up to the snapshot, then chunks of other snapshots.
void Partition::Engine::noteOldRows(const Rows &Listed) {
  OldKeys_.clear();
  const bool Batches = OldPrefix_ == journalPrefix(Id_);
  const std::string Bound = journalKey(Id_, SnapshotAt_ + 1);
  for (const Row &Old : Listed.Rows_) {
    const bool Needed =
        Batches ? Old.Key_ >= Bound : Old.Key_.starts_with(SnapshotPrefix_);
    if (!Needed && OldKeys_.size() < MaxDeletes)
      OldKeys_.push_back(Old.Key_);
  }
  if (!OldKeys_.empty()) {
    SnapshotStep_ = SnapshotStep::DeleteOld;
    return;
  }
  SnapshotStep_ = Batches ? SnapshotStep::ListOld : SnapshotStep::None;
  OldPrefix_ = chunkPrefix(Id_);
}

void Partition::Engine::noteSnapshotCommitted(const Committed &Reply) {
  switch (SnapshotStep_) {
  case SnapshotStep::Chunks:
    if (++SnapshotNext_ == SnapshotRows_.size())
      SnapshotStep_ = SnapshotStep::Pointer;
    return;
  case SnapshotStep::Pointer:
    SnapshotAt_ = SnapshotSequence_;
    SnapshotPrefix_ = NextPrefix_;
    SnapshotVersion_ = Reply.Versions_.empty() ? 0 : Reply.Versions_[0];
    OldPrefix_ = journalPrefix(Id_);
    SnapshotStep_ = SnapshotStep::ListOld;
    return;
  case SnapshotStep::DeleteOld:
    SnapshotStep_ = SnapshotStep::ListOld;
    return;
  case SnapshotStep::None:
  case SnapshotStep::ReadPointer:
  case SnapshotStep::ListOld:
    return;
  }
}

} // namespace oleandergauge
