#include "node/store_client.h"

#include <algorithm>

namespace oleandergauge::node {
namespace {

/// A lost answer stalls the owner until the time-out, so it follows the time
/// that the store takes at present.
constexpr Millis LeastWriteTimeout = 250;
constexpr Millis MostWriteTimeout = 2500;
constexpr double WriteTimeoutFactor = 8;
constexpr double SmoothingWeight = 0.2;
/// A read tells of a slow store before the first write does.
constexpr double ReadWeight = 0.5;
/// Time without a served call after which the store counts as away: where
/// calls fail, and where they stay without an answer.
constexpr Millis FailingLimit = 600;
constexpr Millis SilenceLimit = 1100;
constexpr Millis ReadTimeout = 1200;
constexpr Millis FeedSlack = 500;
constexpr std::size_t ReadConnections = 4;

} // namespace

StoreClient::StoreClient(Loop &Events, const std::string &Address)
    : Writes_(Events, Address, 1), Reads_(Events, Address, ReadConnections),
      Feed_(Events, Address, 1), WriteTimeout_(LeastWriteTimeout) {}

void StoreClient::note(const HttpReply &Reply) {
  const bool Failed =
      Reply.Status_ == 0 || Reply.Status_ == 503 || Reply.Status_ == 429;
  (Failed ? LastFailure_ : LastSuccess_) = bootTime();
}

bool StoreClient::reachable() const {
  const Millis Since = bootTime() - LastSuccess_;
  return Since < (LastFailure_ > LastSuccess_ ? FailingLimit : SilenceLimit);
}

void StoreClient::transact(const cell::OwnerRow &Owner, std::uint64_t Version,
                           const std::vector<cell::RowChange> &Changes,
                           TransactionHandler Then) {
  const Millis SentAt = bootTime();
  const auto Expected = static_cast<Millis>(WriteTimeoutFactor * ReadTime_);
  Writes_.send(platform::encodeTransaction(Owner, Version, Changes),
               std::clamp(Expected, WriteTimeout_, MostWriteTimeout),
               [this, SentAt, Then = std::move(Then)](const HttpReply &Reply) {
                 note(Reply);
                 if (Reply.Status_ == 0) {
                   WriteTimeout_ =
                       std::min(MostWriteTimeout, WriteTimeout_ * 2);
                 } else {
                   const auto Took = static_cast<double>(bootTime() - SentAt);
                   WriteTime_ += SmoothingWeight * (Took - WriteTime_);
                   WriteTimeout_ = std::clamp(
                       static_cast<Millis>(WriteTimeoutFactor * WriteTime_),
                       LeastWriteTimeout, MostWriteTimeout);
                 }
                 Then(platform::decodeTransaction(Reply));
               });
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
  Reads_.send(
      platform::encodeRead(Where, Table, From), ReadTimeout,
      [this, SentAt, Where, Table, Sofar,
       Then = std::move(Then)](const HttpReply &Reply) {
        note(Reply);
        auto Page = platform::decodeRead(Reply);
        ReadTime_ +=
            ReadWeight * (static_cast<double>(bootTime() - SentAt) - ReadTime_);
        if (!Page) {
          Then(std::nullopt);
          return;
        }
        if (Sofar->Version_ == 0)
          Sofar->Version_ = Page->Version_;
        for (platform::Row &Each : Page->Rows_)
          Sofar->Rows_.push_back(std::move(Each));
        if (Page->More_ && !Sofar->Rows_.empty())
          readPage(Where, Table, platform::keyAfter(Sofar->Rows_.back().Key_),
                   Sofar, Then);
        else
          Then(std::move(*Sofar));
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
