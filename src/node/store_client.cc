#include "node/store_client.h"

#include <algorithm>
#include <utility>

namespace oleandergauge::node {
namespace {

constexpr Millis TransactionTimeout = 2500;
/// Age of an unanswered transaction at which the owner row is first read to
/// find its outcome, and the interval of further reads.
constexpr Millis FirstProbeDelay = 60;
constexpr Millis ProbeInterval = 100;
constexpr Millis ProbeTimeout = 900;
/// Limits the probes in flight.
constexpr std::size_t MaxProbes = 6;
/// A transaction counts as lost if it is older than this multiple of the time
/// of a probe, plus LostSlack. A transaction takes twice as long as a read and
/// may queue behind another one.
constexpr Millis LostAfterProbeTimes = 4;
constexpr Millis LostSlack = 150;
/// One transaction is in flight at a time. The further connections may still
/// wait for answers to transactions that were settled by a probe.
constexpr std::size_t TransactionConnections = 8;
/// Time since the last served call after which the store counts as unreachable:
/// the first limit if a call has failed since, the second if answers are only
/// missing.
constexpr Millis FailingStoreLimit = 600;
constexpr Millis SilentStoreLimit = 1100;
constexpr Millis ReadTimeout = 1200;
/// Added to the time that a feed call waits at the store.
constexpr Millis FeedTimeoutSlack = 500;
constexpr std::size_t ReadConnections = 4;

/// Whether the call had no answer or was refused under load.
bool isNotServed(const HttpReply &Reply) {
  return Reply.Status_ == 0 || Reply.Status_ == 503 || Reply.Status_ == 429;
}

} // namespace

/// A transaction whose outcome is not known yet.
struct StoreClient::OpenTransaction {
  std::uint64_t ExpectedVersion_ = 0; ///< Condition on the owner row.
  Millis SentAt_ = 0;
  TransactionHandler Handler_; ///< Null once it was called.

  void settle(const platform::TransactionAnswer &Answer) {
    if (const TransactionHandler Handler = std::exchange(Handler_, nullptr))
      Handler(Answer);
  }
};

StoreClient::StoreClient(EventLoop &Loop, const std::string &Address)
    : Loop_(Loop), TransactionPool_(Loop, Address, TransactionConnections),
      ProbePool_(Loop, Address, MaxProbes),
      ReadPool_(Loop, Address, ReadConnections), FeedPool_(Loop, Address, 1) {}

/// Records a call that was not served.
void StoreClient::recordReply(const HttpReply &Reply) {
  if (isNotServed(Reply))
    LastFailureAt_ = bootTime();
}

/// Records a reply to a call on this system's rows, from which isReachable()
/// and timeSinceContact() follow.
void StoreClient::recordOwnRowsReply(const HttpReply &Reply, Millis SentAt) {
  recordReply(Reply);
  if (isNotServed(Reply))
    LastOwnRowsFailureAt_ = bootTime();
  else
    LastOwnRowsSuccessSentAt_ = std::max(LastOwnRowsSuccessSentAt_, SentAt);
}

bool StoreClient::isReachable() const {
  return timeSinceContact() < (LastOwnRowsFailureAt_ > LastOwnRowsSuccessSentAt_
                                   ? FailingStoreLimit
                                   : SilentStoreLimit);
}

Millis StoreClient::timeSinceContact() const {
  return bootTime() - LastOwnRowsSuccessSentAt_;
}

void StoreClient::transact(const cell::OwnerRow &Owner, std::uint64_t Version,
                           const std::vector<cell::RowChange> &Changes,
                           TransactionHandler Then) {
  const auto Open = std::make_shared<OpenTransaction>(
      OpenTransaction{Version, bootTime(), std::move(Then)});
  TransactionPool_.send(
      platform::encodeTransaction(Owner, Version, Changes), TransactionTimeout,
      [this, Open](const HttpReply &Reply) {
        if (!Open->Handler_)
          return;
        recordOwnRowsReply(Reply, Open->SentAt_);
        Open->settle(platform::decodeTransactionAnswer(Reply));
      });
  Loop_.runAfter(FirstProbeDelay, [this, Open] { probeOwnerRow(Open); });
}

/// Reads the owner row, now and periodically, until the transaction is settled.
void StoreClient::probeOwnerRow(const std::shared_ptr<OpenTransaction> &Open) {
  if (!Open->Handler_)
    return;
  Loop_.runAfter(ProbeInterval, [this, Open] { probeOwnerRow(Open); });
  if (ProbePool_.countBusy() >= MaxProbes)
    return;
  const Millis SentAt = bootTime();
  ProbePool_.send(
      platform::encodeRead(platform::TableSpace::Own, cell::OwnerTable, ""),
      ProbeTimeout, [this, Open, SentAt](const HttpReply &Reply) {
        recordOwnRowsReply(Reply, SentAt);
        if (const auto Page = platform::decodeRead(Reply))
          settleByOwnerRow(*Open, platform::findOwnerRow(*Page),
                           bootTime() - SentAt);
      });
}

/// Settles a transaction by the owner row that a probe has read. A changed
/// version is a conflict; the same version is an unknown outcome once the
/// transaction counts as lost.
void StoreClient::settleByOwnerRow(OpenTransaction &Open,
                                   const cell::StoredOwner &Seen,
                                   Millis ProbeTime) {
  platform::TransactionAnswer Answer;
  if (Seen.Version_ != Open.ExpectedVersion_) {
    Answer.Result_ = cell::TransactionResult::Conflict;
    Answer.Present_ = Seen;
    Open.settle(Answer);
  } else if (bootTime() - Open.SentAt_ >
             LostAfterProbeTimes * ProbeTime + LostSlack) {
    Open.settle(Answer);
  }
}

void StoreClient::readTable(platform::TableSpace Space,
                            const std::string &Table, TableHandler Then) {
  readPage(Space, Table, "", std::make_shared<platform::RowPage>(),
           std::move(Then));
}

void StoreClient::readPage(platform::TableSpace Space, const std::string &Table,
                           const std::string &From,
                           const std::shared_ptr<platform::RowPage> &PagesRead,
                           TableHandler Then) {
  const Millis SentAt = bootTime();
  ReadPool_.send(platform::encodeRead(Space, Table, From), ReadTimeout,
                 [this, SentAt, Space, Table, From, PagesRead,
                  Then = std::move(Then)](const HttpReply &Reply) {
                   if (Space == platform::TableSpace::Own)
                     recordOwnRowsReply(Reply, SentAt);
                   else
                     recordReply(Reply);
                   auto Page = platform::decodeRead(Reply);
                   // Reading on from a key before From would never end.
                   if (!Page || (Page->More_ && !Page->advancesFrom(From))) {
                     Then(std::nullopt);
                     return;
                   }
                   if (PagesRead->Version_ == 0)
                     PagesRead->Version_ = Page->Version_;
                   for (platform::Row &Each : Page->Rows_)
                     PagesRead->Rows_.push_back(std::move(Each));
                   if (Page->More_ && !PagesRead->Rows_.empty())
                     readPage(Space, Table,
                              platform::keyAfter(PagesRead->Rows_.back().Key_),
                              PagesRead, Then);
                   else
                     Then(std::move(*PagesRead));
                 });
}

void StoreClient::writeWaveState(
    const cell::ReportWave &State, std::uint64_t Version,
    std::function<void(std::optional<platform::WaveStateAnswer>)> Then) {
  ReadPool_.send(platform::encodeWaveState(State, Version), ReadTimeout,
                 [this, Then = std::move(Then)](const HttpReply &Reply) {
                   recordReply(Reply);
                   Then(platform::decodeWaveStateAnswer(Reply));
                 });
}

void StoreClient::watchOperatorRows(
    std::uint64_t After, Millis Wait,
    std::function<void(OperatorFeedAnswer Answer)> Then) {
  FeedPool_.send(
      platform::encodeOperatorFeed(After, Wait), Wait + FeedTimeoutSlack,
      [this, Then = std::move(Then)](const HttpReply &Reply) {
        recordReply(Reply);
        Then({platform::decodeRead(Reply), platform::isHistoryGone(Reply)});
      });
}

} // namespace oleandergauge::node
