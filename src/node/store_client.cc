#include "node/store_client.h"

#include <algorithm>
#include <utility>

namespace oleandergauge::node {
namespace {

/// Longest wait for the answer to a transaction.
constexpr Millis WriteTimeout = 2500;
/// Age from which a transaction without an answer is looked for, and the pause
/// between two such looks.
constexpr Millis FirstProbe = 60;
constexpr Millis ProbePause = 100;
constexpr Millis ProbeTimeout = 900;
constexpr std::size_t MaxProbes = 6;
/// A transaction takes twice as long as a look and may wait behind another
/// one; beyond that it is taken for lost.
constexpr Millis ProbeTimes = 4;
constexpr Millis ResendSlack = 150;
/// Connections for transactions, of which all but one were given up.
constexpr std::size_t WriteConnections = 8;
/// Time without a served call after which the store counts as away: where
/// calls fail, and where they stay without an answer.
constexpr Millis FailingLimit = 600;
constexpr Millis SilenceLimit = 1100;
constexpr Millis ReadTimeout = 1200;
constexpr Millis FeedSlack = 500;
constexpr std::size_t ReadConnections = 4;

bool failed(const HttpReply &Reply) {
  return Reply.Status_ == 0 || Reply.Status_ == 503 || Reply.Status_ == 429;
}

} // namespace

/// A transaction without an outcome yet.
struct StoreClient::OpenWrite {
  std::uint64_t Condition_ = 0; ///< Version that the owner's row must have.
  Millis SentAt_ = 0;
  TransactionHandler Then_; ///< Empty once the outcome is told.

  void settle(const platform::TransactionAnswer &Answer) {
    if (const TransactionHandler Tell = std::exchange(Then_, nullptr))
      Tell(Answer);
  }
};

StoreClient::StoreClient(Loop &Events, const std::string &Address)
    : Events_(Events), Writes_(Events, Address, WriteConnections),
      Probes_(Events, Address, MaxProbes),
      Reads_(Events, Address, ReadConnections), Feed_(Events, Address, 1) {}

void StoreClient::note(const HttpReply &Reply) {
  if (failed(Reply))
    LastFailure_ = bootTime();
}

void StoreClient::noteOwn(const HttpReply &Reply, Millis SentAt) {
  note(Reply);
  if (failed(Reply))
    OwnFailure_ = bootTime();
  else
    OwnSuccess_ = std::max(OwnSuccess_, SentAt);
}

bool StoreClient::reachable() const {
  return silence() < (OwnFailure_ > OwnSuccess_ ? FailingLimit : SilenceLimit);
}

Millis StoreClient::silence() const { return bootTime() - OwnSuccess_; }

void StoreClient::transact(const cell::OwnerRow &Owner, std::uint64_t Version,
                           const std::vector<cell::RowChange> &Changes,
                           TransactionHandler Then) {
  const auto Open = std::make_shared<OpenWrite>(
      OpenWrite{Version, bootTime(), std::move(Then)});
  Writes_.send(platform::encodeTransaction(Owner, Version, Changes),
               WriteTimeout, [this, Open](const HttpReply &Reply) {
                 if (!Open->Then_)
                   return;
                 noteOwn(Reply, Open->SentAt_);
                 Open->settle(platform::decodeTransaction(Reply));
               });
  Events_.after(FirstProbe, [this, Open] { probe(Open); });
}

void StoreClient::probe(const std::shared_ptr<OpenWrite> &Open) {
  if (!Open->Then_)
    return;
  Events_.after(ProbePause, [this, Open] { probe(Open); });
  if (Probes_.busy() >= MaxProbes)
    return;
  const Millis SentAt = bootTime();
  Probes_.send(platform::encodeRead(platform::Space::Own, cell::OwnerTable, ""),
               ProbeTimeout, [this, Open, SentAt](const HttpReply &Reply) {
                 noteOwn(Reply, SentAt);
                 if (const auto Page = platform::decodeRead(Reply))
                   judge(*Open, platform::ownerOf(*Page), bootTime() - SentAt);
               });
}

void StoreClient::judge(OpenWrite &Open, const cell::StoredOwner &Seen,
                        Millis Took) {
  platform::TransactionAnswer Answer;
  if (Seen.Version_ != Open.Condition_) {
    Answer.Result_ = cell::TransactionResult::Conflict;
    Answer.Present_ = Seen;
    Open.settle(Answer);
  } else if (bootTime() - Open.SentAt_ > ProbeTimes * Took + ResendSlack) {
    Open.settle(Answer);
  }
}

void StoreClient::readTable(platform::Space Where, const std::string &Table,
                            TableHandler Then) {
  readPage(Where, Table, "", std::make_shared<platform::RowPage>(),
           std::move(Then));
}

void StoreClient::readPage(platform::Space Where, const std::string &Table,
                           const std::string &From,
                           const std::shared_ptr<platform::RowPage> &Sofar,
                           TableHandler Then) {
  const Millis SentAt = bootTime();
  Reads_.send(platform::encodeRead(Where, Table, From), ReadTimeout,
              [this, SentAt, Where, Table, Sofar,
               Then = std::move(Then)](const HttpReply &Reply) {
                if (Where == platform::Space::Own)
                  noteOwn(Reply, SentAt);
                else
                  note(Reply);
                auto Page = platform::decodeRead(Reply);
                if (!Page) {
                  Then(std::nullopt);
                  return;
                }
                if (Sofar->Version_ == 0)
                  Sofar->Version_ = Page->Version_;
                for (platform::Row &Each : Page->Rows_)
                  Sofar->Rows_.push_back(std::move(Each));
                if (Page->More_ && !Sofar->Rows_.empty())
                  readPage(Where, Table,
                           platform::keyAfter(Sofar->Rows_.back().Key_), Sofar,
                           Then);
                else
                  Then(std::move(*Sofar));
              });
}

void StoreClient::tellWave(
    const cell::ReportWave &News, std::uint64_t Version,
    std::function<void(std::optional<platform::WaveStateAnswer>)> Then) {
  Reads_.send(platform::encodeWaveState(News, Version), ReadTimeout,
              [this, Then = std::move(Then)](const HttpReply &Reply) {
                note(Reply);
                Then(platform::decodeWaveState(Reply));
              });
}

void StoreClient::waitForOperator(std::uint64_t After, Millis Wait,
                                  std::function<void(FeedAnswer Answer)> Then) {
  Feed_.send(
      platform::encodeOperatorFeed(After, Wait), Wait + FeedSlack,
      [this, Then = std::move(Then)](const HttpReply &Reply) {
        note(Reply);
        Then({platform::decodeRead(Reply), platform::historyGone(Reply)});
      });
}

} // namespace oleandergauge::node
