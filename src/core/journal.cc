#include "oleandergauge/journal.h"

#include <cstdio>
#include <iterator>

namespace oleandergauge {

std::string journalKey(const PartitionId &Partition, std::uint64_t Sequence) {
  // The fixed width lets a scan return the batches in order.
  char Digits[21];
  std::snprintf(Digits, sizeof(Digits), "%020llu",
                static_cast<unsigned long long>(Sequence));
  return "journal/" + Partition.str() + "/" + Digits;
}

Journal::Journal(PartitionId Partition) : Partition_(std::move(Partition)) {}

void Journal::open(const Condition &Fence, Epoch HeldEpoch,
                   std::uint64_t NextSequence) {
  Fence_ = Fence;
  Epoch_ = HeldEpoch;
  NextSequence_ = NextSequence;
  Open_ = true;
  Queue_.clear();
  Batch_.clear();
  ReadBackDue_ = false;
  Pending_ = Pending::None;
  NextAttemptAt_ = TimePoint();
}

std::uint64_t Journal::append(Transition Change) {
  Queue_.push_back(std::move(Change));
  return NextTicket_++;
}

std::vector<Transition> Journal::takeUnsentTransitions() {
  std::vector<Transition> Unsent(std::make_move_iterator(Queue_.begin()),
                                 std::make_move_iterator(Queue_.end()));
  Queue_.clear();
  return Unsent;
}

void Journal::encodeNextBatch() {
  Batch_ = encodeBatch({Epoch_, NextSequence_, {}});
  // Concatenating encoded messages concatenates their repeated fields, so each
  // transition is encoded on its own and appended.
  while (!Queue_.empty() && Batch_.size() < BatchCloseBytes) {
    Batch_ += encodeBatch({0, 0, {std::move(Queue_.front())}});
    Queue_.pop_front();
  }
  LastSentTicket_ = NextTicket_ - 1 - Queue_.size();
}

std::optional<TableRequest> Journal::poll(TimePoint Now, TimePoint ValidUntil) {
  if (!Open_ || Pending_ != Pending::None || Now >= ValidUntil ||
      Now < NextAttemptAt_)
    return std::nullopt;
  if (ReadBackDue_) {
    Pending_ = Pending::ReadBack;
    return ReadKeys{{journalKey(Partition_, NextSequence_)}};
  }
  if (!Batch_.empty())
    return sendBatch(Now);
  if (Queue_.empty() ||
      (LastSentAt_ && Now < *LastSentAt_ + MinJournalWriteInterval))
    return std::nullopt;
  encodeNextBatch();
  return sendBatch(Now);
}

TableRequest Journal::sendBatch(TimePoint Now) {
  Pending_ = Pending::Write;
  LastSentAt_ = Now;
  const std::string Key = journalKey(Partition_, NextSequence_);
  return Transaction{{Fence_, {Key, 0}}, {{Key, Batch_}}};
}

JournalOutcome Journal::answered(TimePoint Now, const TableReply &Reply) {
  const Pending Request = Pending_;
  Pending_ = Pending::None;
  switch (Request) {
  case Pending::None:
    return {};
  case Pending::Write:
    return handleWriteReply(Now, Reply);
  case Pending::ReadBack:
    return handleReadBackReply(Now, Reply);
  }
  return {};
}

JournalOutcome Journal::handleWriteReply(TimePoint Now,
                                         const TableReply &Reply) {
  if (std::holds_alternative<Committed>(Reply))
    return commitBatch();
  if (const auto *Conflict = std::get_if<Conflicted>(&Reply))
    return handleConflict(*Conflict);
  if (std::holds_alternative<TableUnavailable>(Reply))
    NextAttemptAt_ = Now + JournalRetryDelay;
  else
    ReadBackDue_ = true;
  return JournalStalled{};
}

JournalOutcome Journal::handleConflict(const Conflicted &Conflict) {
  for (const Row &Present : Conflict.Rows_)
    if (Present.Key_ == Fence_.Key_ && Present.Version_ != Fence_.Version_)
      return stopFenced();
  // An earlier request with the same batch may have taken effect.
  ReadBackDue_ = true;
  return {};
}

JournalOutcome Journal::handleReadBackReply(TimePoint Now,
                                            const TableReply &Reply) {
  const auto *Read = std::get_if<Rows>(&Reply);
  if (!Read) {
    NextAttemptAt_ = Now + JournalRetryDelay;
    return JournalStalled{};
  }
  ReadBackDue_ = false;
  const std::string Key = journalKey(Partition_, NextSequence_);
  for (const Row &Present : Read->Rows_) {
    if (Present.Key_ != Key || Present.Version_ == 0)
      continue;
    const std::optional<JournalBatch> Found = decodeBatch(Present.Value_);
    if (Found && Found->Epoch_ == Epoch_ && Found->Sequence_ == NextSequence_)
      return commitBatch();
    return stopFenced();
  }
  return {};
}

JournalOutcome Journal::commitBatch() {
  CommittedTicket_ = LastSentTicket_;
  ++NextSequence_;
  Batch_.clear();
  return BatchCommitted{CommittedTicket_};
}

JournalOutcome Journal::stopFenced() {
  Open_ = false;
  return JournalFenced{};
}

} // namespace oleandergauge
