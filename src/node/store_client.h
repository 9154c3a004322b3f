#ifndef OLEANDERGAUGE_NODE_STORE_CLIENT_H
#define OLEANDERGAUGE_NODE_STORE_CLIENT_H

#include "node/http_client.h"
#include "store_calls.h"

namespace oleandergauge::node {

/// Calls to the platform's store. Each call ends with one answer; repeating
/// is up to the caller.
class StoreClient {
public:
  StoreClient(Loop &Events, const std::string &Address);

  using TransactionHandler =
      std::function<void(const platform::TransactionAnswer &Answer)>;
  /// A transaction whose answer is late is looked for in the owner's row: a
  /// lost answer is found there, and a store that is slow or away is told
  /// apart from one that lost the call.
  void transact(const cell::OwnerRow &Owner, std::uint64_t Version,
                const std::vector<cell::RowChange> &Changes,
                TransactionHandler Then);

  /// Reads a whole table, page by page; nothing where a page was not served.
  using TableHandler =
      std::function<void(std::optional<platform::RowPage> Rows)>;
  void readTable(platform::Space Where, const std::string &Table,
                 TableHandler Then);

  /// Writes a wave's state for operators, where the row has \p Version.
  void
  tellWave(const cell::ReportWave &News, std::uint64_t Version,
           std::function<void(std::optional<platform::WaveStateAnswer>)> Then);

  /// Waits for changes of the operator's rows. HistoryGone_ asks for a read.
  struct FeedAnswer {
    std::optional<platform::RowPage> Rows_;
    bool HistoryGone_ = false;
  };
  void waitForOperator(std::uint64_t After, Millis Wait,
                       std::function<void(FeedAnswer Answer)> Then);

  /// Moment of the last answer that was missing or refused.
  Millis lastFailure() const { return LastFailure_; }
  /// False where the store refuses calls on this system's rows or leaves
  /// them without an answer; a slow store is reachable.
  bool reachable() const;
  /// Time since the sending of the last call on this system's rows that was
  /// served.
  Millis silence() const;

private:
  void readPage(platform::Space Where, const std::string &Table,
                const std::string &From,
                const std::shared_ptr<platform::RowPage> &Sofar,
                TableHandler Then);
  struct OpenWrite;
  void probe(const std::shared_ptr<OpenWrite> &Open);
  void judge(OpenWrite &Open, const cell::StoredOwner &Seen, Millis Took);
  void note(const HttpReply &Reply);
  void noteOwn(const HttpReply &Reply, Millis SentAt);

  Loop &Events_;
  HttpLane Writes_;
  HttpLane Probes_;
  HttpLane Reads_;
  HttpLane Feed_;
  Millis LastFailure_ = 0;
  Millis OwnFailure_ = 0;
  Millis OwnSuccess_ = 0; ///< Sending time of the last served call.
};

} // namespace oleandergauge::node

#endif // OLEANDERGAUGE_NODE_STORE_CLIENT_H
