#include "daemon/record_changes.h"

#include <algorithm>
#include <utility>

#include "codec/records.h"
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

const Row *findRow(const Rows &Read, const std::string &Key) {
  auto Found = std::find_if(Read.Rows_.begin(), Read.Rows_.end(),
                            [&](const Row &R) { return R.Key_ == Key; });
  return Found == Read.Rows_.end() || Found->Version_ == 0 ? nullptr : &*Found;
}

std::optional<Record> readRecord(const Rows &Read, RecordKind Kind,
                                 const std::string &Name) {
  const Row *Found = findRow(Read, recordKey(Kind, Name));
  if (Found == nullptr)
    return std::nullopt;
  return decodeRecord(Name, Found->Value_, Found->Version_);
}

} // namespace

std::string recordKey(RecordKind Kind, const std::string &Name) {
  return ConfigPrefix + std::string(toString(Kind)) + "/" + Name;
}

std::string logKey(std::uint64_t Version) {
  std::string Digits = std::to_string(Version);
  return LogPrefix + std::string(20 - Digits.size(), '0') + Digits;
}

void RecordChanges::change(RecordChange Wanted) {
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
  const RecordChange &Wanted = Work_->Wanted_;
  ReadKeys Wants{{recordKey(Wanted.Kind_, Wanted.Name_), HeadKey}};
  Outputs_.Table_(Wants, [this](const TableReply &Reply) { baseRead(Reply); });
}

void RecordChanges::baseRead(const TableReply &Reply) {
  const auto *Read = std::get_if<Rows>(&Reply);
  if (Read == nullptr) {
    refuse(storeRefusal(Verdict::NotRun, "the table service did not answer"));
    return;
  }
  const RecordChange &Wanted = Work_->Wanted_;
  const Row *Present = findRow(*Read, recordKey(Wanted.Kind_, Wanted.Name_));
  const Row *Head = findRow(*Read, HeadKey);
  Work_->RowVersion_ = Present == nullptr ? 0 : Present->Version_;
  Work_->Present_ = readRecord(*Read, Wanted.Kind_, Wanted.Name_);
  Work_->Head_ = Head == nullptr ? 0 : decodeHead(Head->Value_).value_or(0);
  Work_->HeadRowVersion_ = Head == nullptr ? 0 : Head->Version_;
  if (Wanted.Expected_ && *Wanted.Expected_ != Work_->RowVersion_)
    conflict();
  else if (!Wanted.Body_ && Present == nullptr)
    refuse({Verdict::NotRun, RefusalReason::NotFound, "there is no such record",
            Duration(0)});
  else
    commit();
}

Transaction RecordChanges::transaction() const {
  const RecordChange &Wanted = Work_->Wanted_;
  std::string Key = recordKey(Wanted.Kind_, Wanted.Name_);
  std::uint64_t Next = Work_->Head_ + 1;
  std::optional<std::string> Value;
  if (Wanted.Body_) {
    Record Changed = Work_->Present_.value_or(Record{});
    Changed.Name_ = Wanted.Name_;
    Changed.SchemaVersion_ =
        std::max(Changed.SchemaVersion_, NewestSchemaVersion);
    Changed.Body_ = *Wanted.Body_;
    Value = encodeRecord(Changed);
  }
  return {{{Key, Work_->RowVersion_}, {HeadKey, Work_->HeadRowVersion_}},
          {{Key, Value},
           {HeadKey, encodeHead(Next)},
           {logKey(Next), Work_->EntryBytes_}}};
}

void RecordChanges::commit() {
  const RecordChange &Wanted = Work_->Wanted_;
  std::string Summary = Wanted.Body_ ? "put" : "delete";
  Work_->EntryBytes_ = encodeLogEntry(
      {Work_->Head_ + 1, Wanted.Operator_, Outputs_.UnixMs_(),
       std::string(toString(Wanted.Kind_)), Wanted.Name_, Summary});
  Outputs_.SetInFlight_(true);
  ++Work_->Tries_;
  Outputs_.Table_(transaction(),
                  [this](const TableReply &Reply) { commitAnswered(Reply); });
}

void RecordChanges::commitAnswered(const TableReply &Reply) {
  if (const auto *Done = std::get_if<Committed>(&Reply)) {
    std::uint64_t Version = Done->Versions_.empty() ? 0 : Done->Versions_[0];
    finish(ChangeAccepted{Version, Work_->Head_ + 1});
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
  const RecordChange &Wanted = Work_->Wanted_;
  ReadKeys Wants{
      {logKey(Work_->Head_ + 1), recordKey(Wanted.Kind_, Wanted.Name_)}};
  Outputs_.Table_(Wants, [this](const TableReply &Reply) { backRead(Reply); });
}

void RecordChanges::backRead(const TableReply &Reply) {
  const auto *Read = std::get_if<Rows>(&Reply);
  if (Read == nullptr) {
    settleLater(&RecordChanges::readBack);
    return;
  }
  const RecordChange &Wanted = Work_->Wanted_;
  const Row *Entry = findRow(*Read, logKey(Work_->Head_ + 1));
  if (Entry == nullptr) {
    // Lost, or still on its way; sent again it can take effect once only.
    Outputs_.Table_(transaction(),
                    [this](const TableReply &Again) { commitAnswered(Again); });
    return;
  }
  if (Entry->Value_ != Work_->EntryBytes_) {
    Work_->Unsettled_ = false;
    startOver();
    return;
  }
  const Row *Present = findRow(*Read, recordKey(Wanted.Kind_, Wanted.Name_));
  finish(ChangeAccepted{Present == nullptr ? 0 : Present->Version_,
                        Work_->Head_ + 1});
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
  std::uint64_t Head = Work_->Head_;
  std::uint64_t First = Head > ConflictSearch ? Head - ConflictSearch : 0;
  Scan Wants{LogPrefix, logKey(First), ConflictSearch};
  Outputs_.Table_(Wants, [this](const TableReply &Reply) {
    ChangeConflict Out{Work_->Present_, std::nullopt};
    const auto *Read = std::get_if<Rows>(&Reply);
    for (const Row &Each : Read == nullptr ? std::vector<Row>() : Read->Rows_) {
      std::optional<ConfigLogEntry> Entry = decodeLogEntry(Each.Value_);
      if (Entry && Entry->Kind_ == toString(Work_->Wanted_.Kind_) &&
          Entry->Name_ == Work_->Wanted_.Name_)
        Out.Last_ = std::move(Entry);
    }
    finish(std::move(Out));
  });
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
  ReadKeys Wants{{recordKey(Asked.Kind_, Asked.Name_)}};
  Outputs_.Table_(Wants, [this, Asked](const TableReply &Reply) {
    const auto *Read = std::get_if<Rows>(&Reply);
    RecordAnswered Out{Asked.Token_, tl::unexpected(storeRefusal(
                                         Verdict::NotRun,
                                         "the table service did not answer"))};
    if (Read != nullptr)
      Out.Record_ = readRecord(*Read, Asked.Kind_, Asked.Name_);
    Outputs_.Answers_(std::move(Out));
  });
}

void RecordChanges::readLog(const LogAsked &Asked) {
  Scan Wants{LogPrefix, logKey(Asked.After_), Asked.Limit_};
  Outputs_.Table_(Wants, [this, Asked](const TableReply &Reply) {
    const auto *Read = std::get_if<Rows>(&Reply);
    LogAnswered Out{Asked.Token_,
                    tl::unexpected(storeRefusal(
                        Verdict::NotRun, "the table service did not answer"))};
    if (Read != nullptr) {
      std::vector<ConfigLogEntry> Changes;
      for (const Row &Each : Read->Rows_)
        if (auto Entry = decodeLogEntry(Each.Value_))
          Changes.push_back(*Entry);
      Out.Changes_ = std::move(Changes);
    }
    Outputs_.Answers_(std::move(Out));
  });
}

} // namespace oleandergauge::daemon
