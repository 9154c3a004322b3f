#include "daemon/record_changes.h"

#include <algorithm>
#include <utility>

#include "daemon/log.h"

namespace oleandergauge::daemon {
namespace {

/// Limits the attempts to commit a change. A transaction conflicts on the head
/// when another host changes any record; at 5,600 changes a day far fewer
/// attempts suffice.
constexpr std::uint32_t MaxAttempts = 20;
/// The operator is told after this time that the change may have run.
constexpr Duration AnswerTimeout = std::chrono::milliseconds(5000);
/// Pause before the log entry is read again to find out an unknown outcome.
constexpr Duration OutcomeRetryDelay = std::chrono::milliseconds(250);
/// Number of latest log entries that are searched for the conflicting change.
constexpr std::uint64_t ConflictSearchEntries = 100;
/// Tells an operator when to try again after a failure of the table service or
/// too many conflicts.
constexpr Duration StoreRetryHint = std::chrono::milliseconds(1000);

Refusal storeRefusal(Verdict Value, const char *Message) {
  return {Value, RefusalReason::StoreUnavailable, Message, StoreRetryHint};
}

Refusal tableUnavailable() {
  return storeRefusal(Verdict::NotRun, "the table service did not answer");
}

/// Returns the row with this key; an absent row has version 0.
Row findRow(const Rows &Read, const std::string &Key) {
  auto Found =
      std::find_if(Read.Rows_.begin(), Read.Rows_.end(),
                   [&](const Row &Candidate) { return Candidate.Key_ == Key; });
  return Found == Read.Rows_.end() ? Row{Key, "", 0} : *Found;
}

/// Returns the log entries that can be decoded, none if the table did not
/// answer.
std::vector<codec::ConfigLogEntry> decodeEntries(const TableReply &Reply) {
  std::vector<codec::ConfigLogEntry> Out;
  if (const auto *Read = std::get_if<Rows>(&Reply))
    for (const Row &StoredRow : Read->Rows_)
      if (Result<codec::ConfigLogEntry> Entry =
              codec::decodeLogEntry(StoredRow))
        Out.push_back(std::move(*Entry));
  return Out;
}

/// Returns nullopt if the row is absent or cannot be decoded.
std::optional<Record> decodeStoredRecord(const Rows &Read,
                                         const std::string &Key) {
  Row Found = findRow(Read, Key);
  if (Found.Version_ == 0)
    return std::nullopt;
  Result<Record> Decoded = codec::decodeRecord(Found);
  return Decoded ? std::optional<Record>(*Decoded) : std::nullopt;
}

std::string keyOf(const codec::RecordChange &Change) {
  return codec::recordKey(Change.Kind_, Change.Name_);
}

} // namespace

void RecordChanges::change(RecordChangeRequested NewChange) {
  Queue_.push_back(std::move(NewChange));
  if (!Active_)
    startNext();
}

void RecordChanges::startNext() {
  Active_.reset();
  if (Queue_.empty())
    return;
  Active_ = ActiveChange();
  Active_->Request_ = std::move(Queue_.front());
  Active_->StartedAt_ = Outputs_.Now_();
  Queue_.pop_front();
  readCurrent();
}

/// Reads the record and the head, on whose versions the change depends.
void RecordChanges::readCurrent() {
  if (!Outputs_.MayCommit_()) {
    answerRefused(storeRefusal(Verdict::NotRun,
                               "this host may not commit changes at present"));
    return;
  }
  ReadKeys ReadRequest{
      {keyOf(Active_->Request_.Change_), codec::ConfigHeadKey}};
  Outputs_.Table_(ReadRequest,
                  [this](const TableReply &Reply) { handleCurrent(Reply); });
}

void RecordChanges::handleCurrent(const TableReply &Reply) {
  const auto *Read = std::get_if<Rows>(&Reply);
  if (Read == nullptr)
    answerRefused(tableUnavailable());
  else if (prepareRecord(*Read))
    commit();
}

/// Computes the changed record. Returns false if the change was answered
/// instead, because of a conflict or an error.
bool RecordChanges::prepareRecord(const Rows &Read) {
  const codec::RecordChange &Change = Active_->Request_.Change_;
  Result<codec::ConfigHead> Head =
      codec::decodeHead(findRow(Read, codec::ConfigHeadKey));
  if (!Head) {
    answerRefused(Head.error());
    return false;
  }
  Active_->Head_ = *Head;
  std::uint64_t Version = findRow(Read, keyOf(Change)).Version_;
  Active_->Current_ = decodeStoredRecord(Read, keyOf(Change));
  if (Change.ExpectedVersion_ != Version) {
    answerConflict();
    return false;
  }
  if (!Change.Body_ && Version == 0) {
    answerRefused({Verdict::NotRun, RefusalReason::NotFound,
                   "there is no such record", Duration(0)});
    return false;
  }
  Active_->NewRecord_.reset();
  if (!Change.Body_)
    return true;
  Result<Record> Changed = codec::applyChange(Active_->Current_, Change);
  if (!Changed) {
    answerRefused(Changed.error());
    return false;
  }
  Active_->NewRecord_ = *Changed;
  return true;
}

void RecordChanges::commit() {
  // Strictly increasing times keep the log entries of this host distinct.
  LastUnixMs_ = std::max(Outputs_.UnixMs_(), LastUnixMs_ + 1);
  Active_->Author_ = {Active_->Request_.Operator_, LastUnixMs_};
  Outputs_.SetInFlight_(true);
  ++Active_->Attempts_;
  sendTransaction();
}

void RecordChanges::sendTransaction() {
  Transaction ChangeTransaction =
      codec::changeTransaction(Active_->Head_, Active_->Request_.Change_,
                               Active_->NewRecord_, Active_->Author_);
  Outputs_.Table_(ChangeTransaction, [this](const TableReply &Reply) {
    handleCommitReply(Reply);
  });
}

std::string RecordChanges::nextLogKey() const {
  return codec::configLogKey(Active_->Head_.Version_ + 1);
}

void RecordChanges::handleCommitReply(const TableReply &Reply) {
  if (const auto *Done = std::get_if<Committed>(&Reply)) {
    std::uint64_t Version = Done->Versions_.empty() ? 0 : Done->Versions_[0];
    answerAccepted(Version);
    return;
  }
  if (std::holds_alternative<OutcomeUnknown>(Reply))
    Active_->OutcomeUnknown_ = true;
  if (Active_->OutcomeUnknown_)
    retryLater(&RecordChanges::readOutcome);
  else if (std::holds_alternative<Conflicted>(Reply))
    restart();
  else
    answerRefused(storeRefusal(Verdict::NotRun, "the table service refused"));
}

/// Reads the log entry to find out whether the transaction took effect. Its key
/// is the next head version, which only one change can have.
void RecordChanges::readOutcome() {
  ReadKeys ReadRequest{{nextLogKey(), keyOf(Active_->Request_.Change_)}};
  Outputs_.Table_(ReadRequest,
                  [this](const TableReply &Reply) { handleOutcome(Reply); });
}

void RecordChanges::handleOutcome(const TableReply &Reply) {
  const auto *Read = std::get_if<Rows>(&Reply);
  if (Read == nullptr) {
    retryLater(&RecordChanges::readOutcome);
    return;
  }
  Row Entry = findRow(*Read, nextLogKey());
  if (Entry.Version_ == 0) {
    // The transaction was lost or is still in transit. It is safe to send it
    // again, since its conditions let it take effect only once.
    sendTransaction();
    return;
  }
  std::string OwnEntry = codec::encodeLogEntry(codec::logEntryFor(
      Active_->Head_, Active_->Request_.Change_, Active_->Author_));
  if (Entry.Value_ != OwnEntry) {
    Active_->OutcomeUnknown_ = false;
    restart();
    return;
  }
  Row CurrentRow = findRow(*Read, keyOf(Active_->Request_.Change_));
  answerAccepted(CurrentRow.Version_);
}

/// Calls \p Step after OutcomeRetryDelay. After AnswerTimeout the operator is
/// told that the change may have run; the outcome is still awaited.
void RecordChanges::retryLater(void (RecordChanges::*Step)()) {
  if (Outputs_.Now_() - Active_->StartedAt_ >= AnswerTimeout)
    answer(storeRefusal(Verdict::MayHaveRun,
                        "the table service did not tell the outcome in time"));
  Outputs_.RunAfter_(OutcomeRetryDelay, [this, Step] { (this->*Step)(); });
}

/// Tries again after the transaction certainly had no effect because another
/// change was committed first.
void RecordChanges::restart() {
  Outputs_.SetInFlight_(false);
  if (Active_->Answered_)
    startNext();
  else if (Active_->Attempts_ >= MaxAttempts)
    answerRefused({Verdict::NotRun, RefusalReason::Conflict,
                   "too many changes at the same time", StoreRetryHint});
  else
    readCurrent();
}

/// Searches the log for the latest change of the record and answers with it.
void RecordChanges::answerConflict() {
  std::uint64_t Head = Active_->Head_.Version_;
  std::uint64_t First =
      Head > ConflictSearchEntries ? Head - ConflictSearchEntries : 0;
  Scan ReadRequest{codec::ConfigLogPrefix, codec::configLogKey(First),
                   ConflictSearchEntries};
  Outputs_.Table_(ReadRequest, [this](const TableReply &Reply) {
    const codec::RecordChange &Change = Active_->Request_.Change_;
    ChangeConflict Out{Active_->Current_, std::nullopt};
    for (codec::ConfigLogEntry &Entry : decodeEntries(Reply))
      if (Entry.Kind_ == Change.Kind_ && Entry.Name_ == Change.Name_)
        Out.Last_ = std::move(Entry);
    finish(std::move(Out));
  });
}

void RecordChanges::answerAccepted(std::uint64_t RowVersion) {
  ChangeAccepted Out{Active_->Head_.Version_ + 1, Active_->NewRecord_};
  if (Out.Stored_)
    Out.Stored_->Version_ = RowVersion;
  finish(std::move(Out));
}

void RecordChanges::answerRefused(const Refusal &Cause) { finish(Cause); }

void RecordChanges::finish(ChangeOutcome Outcome) {
  Outputs_.SetInFlight_(false);
  answer(std::move(Outcome));
  startNext();
}

void RecordChanges::answer(ChangeOutcome Outcome) {
  if (std::exchange(Active_->Answered_, true))
    return;
  Outputs_.Answers_(
      RecordChangeAnswered{Active_->Request_.Token_, std::move(Outcome)});
}

void RecordChanges::read(const RecordRequested &Request) {
  std::string Key = codec::recordKey(Request.Kind_, Request.Name_);
  Outputs_.Table_(ReadKeys{{Key}}, [this, Key, Request](const auto &Reply) {
    const auto *Read = std::get_if<Rows>(&Reply);
    RecordAnswered Out{Request.Token_, tl::unexpected(tableUnavailable())};
    if (Read != nullptr)
      Out.Record_ = decodeStoredRecord(*Read, Key);
    Outputs_.Answers_(std::move(Out));
  });
}

void RecordChanges::readLog(const ConfigLogRequested &Request) {
  Scan ReadRequest{codec::ConfigLogPrefix, codec::configLogKey(Request.After_),
                   Request.Limit_};
  Outputs_.Table_(ReadRequest, [this, Request](const TableReply &Reply) {
    ConfigLogAnswered Out{Request.Token_, tl::unexpected(tableUnavailable())};
    if (std::holds_alternative<Rows>(Reply))
      Out.Changes_ = decodeEntries(Reply);
    Outputs_.Answers_(std::move(Out));
  });
}

} // namespace oleandergauge::daemon
