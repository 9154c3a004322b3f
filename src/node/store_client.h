#ifndef OLEANDERGAUGE_NODE_STORE_CLIENT_H
#define OLEANDERGAUGE_NODE_STORE_CLIENT_H

#include "node/http_client.h"
#include "store_calls.h"

namespace oleandergauge::node {

/// Client of the platform's store. Each call ends with exactly one answer;
/// retries are up to the caller.
class StoreClient {
public:
  StoreClient(EventLoop &Loop, const std::string &Address);

  using TransactionHandler =
      std::function<void(const platform::TransactionAnswer &Answer)>;
  /// Writes \p Changes and the owner row, on condition that the row has
  /// \p Version. If the answer is late, the owner row is read: a changed
  /// version settles the transaction as a conflict, and an unchanged one
  /// settles it as unknown once the call must have been lost. While the store
  /// is slow or does not answer at all, the call stays open until its timeout.
  void transact(const cell::OwnerRow &Owner, std::uint64_t Version,
                const std::vector<cell::RowChange> &Changes,
                TransactionHandler Then);

  using TableHandler =
      std::function<void(std::optional<platform::RowPage> Rows)>;
  /// Reads a whole table page by page. \p Then receives no value if a page was
  /// not served.
  void readTable(platform::TableSpace Space, const std::string &Table,
                 TableHandler Then);

  /// Writes the state of a wave for operators, on condition that its row has
  /// \p Version. \p Then receives no value if the call was not served.
  void writeWaveState(
      const cell::ReportWave &State, std::uint64_t Version,
      std::function<void(std::optional<platform::WaveStateAnswer>)> Then);

  /// The changed rows, or no value if the call was not served. If HistoryGone_
  /// is set, the whole table has to be read again.
  struct OperatorFeedAnswer {
    std::optional<platform::RowPage> Rows_;
    bool HistoryGone_ = false;
  };
  /// Waits up to \p Wait for changes of the operator's rows after the version
  /// \p After.
  void watchOperatorRows(std::uint64_t After, Millis Wait,
                         std::function<void(OperatorFeedAnswer Answer)> Then);

  /// Time at which a call last had no answer or was refused.
  Millis lastFailureAt() const { return LastFailureAt_; }
  /// False if the store has refused calls on this system's rows, or left them
  /// without an answer, for some time. A slow store counts as reachable.
  bool isReachable() const;
  /// Time since the last served call on this system's rows was sent.
  Millis timeSinceContact() const;

private:
  void readPage(platform::TableSpace Space, const std::string &Table,
                const std::string &From,
                const std::shared_ptr<platform::RowPage> &PagesRead,
                TableHandler Then);
  struct OpenTransaction;
  void probeOwnerRow(const std::shared_ptr<OpenTransaction> &Open);
  void settleByOwnerRow(OpenTransaction &Open, const cell::StoredOwner &Seen,
                        Millis ProbeTime);
  void recordReply(const HttpReply &Reply);
  void recordOwnRowsReply(const HttpReply &Reply, Millis SentAt);

  EventLoop &Loop_;
  HttpConnectionPool TransactionPool_;
  HttpConnectionPool ProbePool_;
  HttpConnectionPool ReadPool_;
  HttpConnectionPool FeedPool_;
  Millis LastFailureAt_ = 0;
  Millis LastOwnRowsFailureAt_ = 0;
  Millis LastOwnRowsSuccessSentAt_ = 0;
};

} // namespace oleandergauge::node

#endif // OLEANDERGAUGE_NODE_STORE_CLIENT_H
