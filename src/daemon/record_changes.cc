#include "daemon/record_changes.h"

#include <algorithm>
#include <utility>

#include "daemon/log.h"

namespace oleandergauge::daemon {
namespace {

/// Changes of other records by other hosts make a transaction conflict on the
/// head; at 5,600 changes a day a handful of tries is plenty.
constexpr std::uint32_t MaxTries = 20;
/// The operator is told after this long that the change may have run.
constexpr Duration AnswerLimit = std::chrono::milliseconds(5000);
constexpr Duration SettleDelay = std::chrono::milliseconds(250);
/// Log entries that are searched for the change that won a race.
constexpr std::uint64_t ConflictSearch = 100;
constexpr Duration StoreRetryHint = std::chrono::milliseconds(1000);

Refusal storeRefusal(Verdict Value, const char *Message) {
  return {Value, RefusalReason::StoreUnavailable, Message, StoreRetryHint};
}

Refusal notAnswered() {
  return storeRefusal(Verdict::NotRun, "the table service did not answer");
}

/// The row with this key, which may be an absent one.
Row findRow(const Rows &Read, const std::string &Key) {
  auto Found = std::find_if(Read.Rows_.begin(), Read.Rows_.end(),
                            [&](const Row &R) { return R.Key_ == Key; });
  return Found == Read.Rows_.end() ? Row{Key, "", 0} : *Found;
}

/// The entries that can be decoded; none where the table did not answer.
std::vector<codec::ConfigLogEntry> readEntries(const TableReply &Reply) {
  std::vector<codec::ConfigLogEntry> Out;
  if (const auto *Read = std::get_if<Rows>(&Reply))
    for (const Row &Each : Read->Rows_)
      if (Result<codec::ConfigLogEntry> Entry = codec::decodeLogEntry(Each))
        Out.push_back(std::move(*Entry));
  return Out;
}

/// Empty where the row is absent or cannot be decoded.
std::optional<Record> readRecord(const Rows &Read, const std::string &Key) {
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

void RecordChanges::change(ChangeAsked Wanted) {
  Queue_.push_back(std::move(Wanted));
  if (!Work_)
    next();
}

void RecordChanges::next() {
  Work_.reset();
  if (Queue_.empty())
    return;
  Work_.emplace();
  Work_->Wanted_ = std::move(Queue_.front());
  Work_->BeganAt_ = Outputs_.Now_();
  Queue_.pop_front();
  readBase();
}

void RecordChanges::readBase() {
  if (!Outputs_.MayCommit_()) {
    refuse(storeRefusal(Verdict::NotRun,
                        "this host may not commit changes at present"));
    return;
  }
  ReadKeys Wants{{keyOf(Work_->Wanted_.Change_), codec::ConfigHeadKey}};
  Outputs_.Table_(Wants, [this](const TableReply &Reply) { baseRead(Reply); });
}

void RecordChanges::baseRead(const TableReply &Reply) {
  const auto *Read = std::get_if<Rows>(&Reply);
  if (Read == nullptr)
    refuse(notAnswered());
  else if (prepare(*Read))
    commit();
}

/// Works out the changed record; false where the change was answered.
bool RecordChanges::prepare(const Rows &Read) {
  const codec::RecordChange &Change = Work_->Wanted_.Change_;
  Result<codec::ConfigHead> Head =
      codec::decodeHead(findRow(Read, codec::ConfigHeadKey));
  if (!Head) {
    refuse(Head.error());
    return false;
  }
  Work_->Head_ = *Head;
  std::uint64_t Version = findRow(Read, keyOf(Change)).Version_;
  Work_->Present_ = readRecord(Read, keyOf(Change));
  if (Change.ExpectedVersion_ != Version) {
    conflict();
    return false;
  }
  if (!Change.Body_ && Version == 0) {
    refuse({Verdict::NotRun, RefusalReason::NotFound, "there is no such record",
            Duration(0)});
    return false;
  }
  Work_->Next_.reset();
  if (!Change.Body_)
    return true;
  Result<Record> Next = codec::applyChange(Work_->Present_, Change);
  if (!Next) {
    refuse(Next.error());
    return false;
  }
  Work_->Next_ = *Next;
  return true;
}

void RecordChanges::commit() {
  // Two changes of one host never have equal log entries.
  LastUnixMs_ = std::max(Outputs_.UnixMs_(), LastUnixMs_ + 1);
  Work_->Author_ = {Work_->Wanted_.Operator_, LastUnixMs_};
  Outputs_.SetInFlight_(true);
  ++Work_->Tries_;
  send();
}

void RecordChanges::send() {
  Transaction Wanted = codec::changeTransaction(
      Work_->Head_, Work_->Wanted_.Change_, Work_->Next_, Work_->Author_);
  Outputs_.Table_(Wanted,
                  [this](const TableReply &Reply) { commitAnswered(Reply); });
}

std::string RecordChanges::nextLogKey() const {
  return codec::configLogKey(Work_->Head_.Version_ + 1);
}

void RecordChanges::commitAnswered(const TableReply &Reply) {
  if (const auto *Done = std::get_if<Committed>(&Reply)) {
    std::uint64_t Version = Done->Versions_.empty() ? 0 : Done->Versions_[0];
    accept(Version);
    return;
  }
  if (std::holds_alternative<OutcomeUnknown>(Reply))
    Work_->Unsettled_ = true;
  if (Work_->Unsettled_)
    settleLater(&RecordChanges::readBack);
  else if (std::holds_alternative<Conflicted>(Reply))
    startOver();
  else
    refuse(storeRefusal(Verdict::NotRun, "the table service refused"));
}

/// The log entry tells whether the transaction took effect: its key is the
/// next head version, which one change alone can have.
void RecordChanges::readBack() {
  ReadKeys Wants{{nextLogKey(), keyOf(Work_->Wanted_.Change_)}};
  Outputs_.Table_(Wants, [this](const TableReply &Reply) { backRead(Reply); });
}

void RecordChanges::backRead(const TableReply &Reply) {
  const auto *Read = std::get_if<Rows>(&Reply);
  if (Read == nullptr) {
    settleLater(&RecordChanges::readBack);
    return;
  }
  Row Entry = findRow(*Read, nextLogKey());
  if (Entry.Version_ == 0) {
    // Lost, or still on its way; sent again it can take effect once only.
    send();
    return;
  }
  std::string Own = codec::encodeLogEntry(
      codec::logEntryFor(Work_->Head_, Work_->Wanted_.Change_, Work_->Author_));
  if (Entry.Value_ != Own) {
    Work_->Unsettled_ = false;
    startOver();
    return;
  }
  Row Present = findRow(*Read, keyOf(Work_->Wanted_.Change_));
  accept(Present.Version_);
}

void RecordChanges::settleLater(void (RecordChanges::*Step)()) {
  if (Outputs_.Now_() - Work_->BeganAt_ >= AnswerLimit)
    answer(storeRefusal(Verdict::MayHaveRun,
                        "the table service did not tell the outcome in time"));
  Outputs_.After_(SettleDelay, [this, Step] { (this->*Step)(); });
}

/// The transaction certainly had no effect, as another change came first.
void RecordChanges::startOver() {
  Outputs_.SetInFlight_(false);
  if (Work_->Answered_)
    next();
  else if (Work_->Tries_ >= MaxTries)
    refuse({Verdict::NotRun, RefusalReason::Conflict,
            "too many changes at the same time", StoreRetryHint});
  else
    readBase();
}

void RecordChanges::conflict() {
  std::uint64_t Head = Work_->Head_.Version_;
  std::uint64_t First = Head > ConflictSearch ? Head - ConflictSearch : 0;
  Scan Wants{codec::ConfigLogPrefix, codec::configLogKey(First),
             ConflictSearch};
  Outputs_.Table_(Wants, [this](const TableReply &Reply) {
    const codec::RecordChange &Change = Work_->Wanted_.Change_;
    ChangeConflict Out{Work_->Present_, std::nullopt};
    for (codec::ConfigLogEntry &Entry : readEntries(Reply))
      if (Entry.Kind_ == Change.Kind_ && Entry.Name_ == Change.Name_)
        Out.Last_ = std::move(Entry);
    finish(std::move(Out));
  });
}

void RecordChanges::accept(std::uint64_t RowVersion) {
  ChangeAccepted Out{Work_->Head_.Version_ + 1, Work_->Next_};
  if (Out.Stored_)
    Out.Stored_->Version_ = RowVersion;
  finish(std::move(Out));
}

void RecordChanges::refuse(const Refusal &Why) { finish(Why); }

void RecordChanges::finish(ChangeOutcome Outcome) {
  Outputs_.SetInFlight_(false);
  answer(std::move(Outcome));
  next();
}

void RecordChanges::answer(ChangeOutcome Outcome) {
  if (std::exchange(Work_->Answered_, true))
    return;
  Outputs_.Answers_(ChangeAnswered{Work_->Wanted_.Token_, std::move(Outcome)});
}

void RecordChanges::read(const RecordAsked &Asked) {
  std::string Key = codec::recordKey(Asked.Kind_, Asked.Name_);
  Outputs_.Table_(ReadKeys{{Key}}, [this, Key, Asked](const auto &Reply) {
    const auto *Read = std::get_if<Rows>(&Reply);
    RecordAnswered Out{Asked.Token_, tl::unexpected(notAnswered())};
    if (Read != nullptr)
      Out.Record_ = readRecord(*Read, Key);
    Outputs_.Answers_(std::move(Out));
  });
}

void RecordChanges::readLog(const LogAsked &Asked) {
  Scan Wants{codec::ConfigLogPrefix, codec::configLogKey(Asked.After_),
             Asked.Limit_};
  Outputs_.Table_(Wants, [this, Asked](const TableReply &Reply) {
    LogAnswered Out{Asked.Token_, tl::unexpected(notAnswered())};
    if (std::holds_alternative<Rows>(Reply))
      Out.Changes_ = readEntries(Reply);
    Outputs_.Answers_(std::move(Out));
  });
}

} // namespace oleandergauge::daemon
