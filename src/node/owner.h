#ifndef OLEANDERGAUGE_NODE_OWNER_H
#define OLEANDERGAUGE_NODE_OWNER_H

#include "cell/cell.h"
#include "cell/ownership.h"
#include "cell/request_copies.h"
#include "node/busy_time.h"
#include "node/context.h"
#include "node/machine_lister.h"
#include "node/peer_link.h"
#include "operator_rows.h"

namespace oleandergauge::cell::pb {
class AdviceReply;
class Forward;
class ForwardReply;
} // namespace oleandergauge::cell::pb

namespace oleandergauge::node {

/// Builds the reply to a request that was not carried out because this host is
/// not the owner. The caller's host keeps the request for the next owner.
cell::pb::ForwardReply makeNotOwnerReply();

/// Runs the cell while this host is its owner: feeds events to cell::Cell and
/// performs the effects that it returns. An Owner exists from a successful
/// takeover until it is deposed or has released its ownership.
class Owner {
public:
  using ReplyHandler = std::function<void(const cell::pb::ForwardReply &Reply)>;
  using FrameSender = std::function<void(const Frame &Message)>;

  /// \p Version is the version of the owner row after the takeover, whose
  /// transaction was sent at \p SentAt. \p OnDeposed is called from the event
  /// loop when this host has to give up ownership; it may destroy the object.
  Owner(HostContext &Context, const cell::OwnerRow &Row, std::uint64_t Version,
        Millis SentAt, std::function<void(const std::string &Why)> OnDeposed);
  ~Owner();
  Owner(const Owner &) = delete;
  Owner &operator=(const Owner &) = delete;

  /// Starts to read the former owner's rows, with retries. isReady() becomes
  /// true once all tables and the operator's rows have arrived.
  void readStoredRows();
  bool isReady() const { return Ready_; }
  oleandergauge::Epoch epoch() const { return OwnerLog_.row().Epoch_; }
  const cell::OwnerRow &row() const { return OwnerLog_.row(); }
  void setOperatorRows(const platform::OperatorRows &Rows);
  /// Adds or updates a host that follows this owner. Advice can be asked
  /// through it.
  void addHost(const std::string &Host, double CpuShare, FrameSender Send);
  void removeHost(const std::string &Host);
  /// Handles a caller's request. \p Then receives the reply, possibly within
  /// the call.
  void handleRequest(const cell::pb::Forward &Request, ReplyHandler Then);
  void handleAdviceReply(const cell::pb::AdviceReply &Reply);
  /// Called every few milliseconds: advances the cell and performs its effects.
  void tick();
  /// Sets the hosts that follow this owner and have sent a heartbeat recently.
  void setFollowers(std::set<std::string> Hosts) {
    Followers_ = std::move(Hosts);
  }
  using ReleaseHandler = std::function<void(const cell::StoredOwner &Last)>;
  /// Starts no further transaction. Once the one in flight is settled, requests
  /// without an answer are returned to the callers' hosts as not carried out,
  /// and \p Done receives the owner row with its version.
  void release(ReleaseHandler Done);
  bool isReleasing() const { return ReleaseHandler_ != nullptr; }
  /// Whether a transaction has been in flight, and the store out of contact,
  /// for longer than \p Limit.
  bool isCutOffFromStore(Millis Limit) const {
    return CommitPending_ && bootTime() - CommitPendingSince_ > Limit &&
           Context_.Store_.timeSinceContact() > Limit;
  }

private:
  /// The connections to one worker. Renewals have a connection of their own,
  /// since they wait at the worker and would delay orders.
  struct WorkerConnections {
    std::unique_ptr<HttpConnectionPool> OrderPool_;
    std::unique_ptr<HttpConnectionPool> RenewalPool_;
  };

  void recordCopy(const cell::pb::Forward &Request);
  void readStoredTable(const std::string &Table,
                       std::function<void(const platform::RowPage &Rows)> Then);
  void becomeReadyIfComplete();
  void updateCellWaves();
  void readWorkerEntries();
  void recordTickGap();
  void reportSlowTick(Millis Gap);
  void publishBusyTimes();
  void performEffects();
  bool isAuthorized() const;
  bool mayAct() const;
  void sendCommit();
  void finishRelease();
  void handleCommitAnswer(const platform::TransactionAnswer &Answer);
  void abandonCommit(int Status);
  void stepDown(const std::string &Why);
  WorkerConnections &connectionsTo(const cell::WorkerAddress &To);
  void sendOrder(const cell::WorkerAddress &To, cell::Token Order,
                 HttpCall Call, std::function<bool()> MaySend, CallOrder Place);
  void perform(const cell::Reply &Effect);
  void perform(const cell::SendStart &Effect);
  void perform(const cell::SendStop &Effect);
  void perform(const cell::SendPace &Effect);
  void perform(const cell::SendRenewal &Effect);
  void perform(const cell::AskAdvice &Effect);
  void perform(const cell::Commit &Effect);
  void perform(const cell::ListMachines &Effect);
  void perform(const cell::OrderUpkeep &Effect);
  void perform(const cell::ReportWave &Effect);
  void perform(const cell::DurationSample &Effect);
  void perform(const cell::Decision &Effect);
  void writeWaveState(std::uint64_t Wave);

  HostContext &Context_;
  cell::OwnerTransactions OwnerLog_;
  std::function<void(const std::string &Why)> DeposedHandler_;
  std::unique_ptr<cell::Cell> Cell_;
  cell::StoredCell StoredRows_;
  int UnreadTables_ = 0;
  bool Ready_ = false;
  bool Stopped_ = false; ///< Deposed or released; late callbacks do nothing.
  bool ReadingWorkerEntries_ = false;
  Millis NextWorkerReadAt_ = 0;
  Millis LastTickAt_ = 0;
  Millis NextSlowTickLogAt_ = 0;
  BusyTime Busy_;
  BusyTime PublishedBusy_; ///< As of the last publication in the metrics.
  BusyTime ReportedBusy_;  ///< As of the last report of a slow tick.
  Millis NextBusyTimesAt_ = 0;
  Millis StallEndedAt_ = 0; ///< End of the last gap above StallLimit.
  std::shared_ptr<const cell::DesiredState> DesiredState_;
  std::optional<platform::OperatorRows> OperatorRows_;
  /// CPU share and frame sender by host name. Advice is asked through them.
  std::map<std::string, std::pair<double, FrameSender>> LinkedHosts_;
  std::map<std::string, WorkerConnections>
      WorkerConnections_; ///< By worker address.
  std::unordered_map<cell::Token, ReplyHandler> ReplyHandlers_;
  cell::Token NextCallerToken_ = 1;
  cell::LatestCopies LatestCopies_;
  bool CommitPending_ = false;
  Millis CommitPendingSince_ = 0; ///< Time of the first attempt.
  std::vector<cell::RowChange> CommitChanges_;
  ReleaseHandler ReleaseHandler_;
  /// The cause by worker id of each unusable entry, as logged.
  std::map<std::string, std::string> UnusableWorkerEntries_;
  std::unique_ptr<HttpConnectionPool>
      MachineService_; ///< Null if no machine service is set.
  /// A pool of its own for lists, so that orders do not wait behind them.
  std::unique_ptr<HttpConnectionPool> MachineLists_;
  std::unique_ptr<MachineLister>
      MachineLister_; ///< Null if no machine service is set.
  /// The state of a wave to be written for operators.
  struct WaveReport {
    cell::ReportWave State_;
    std::uint64_t Version_ = 0; ///< Version of the stored row.
    bool InFlight_ = false;
    bool Written_ = false;
  };
  std::map<std::uint64_t, WaveReport> WaveReports_;
  int FencedRenewals_ = 0; ///< Renewals rejected for a higher fence.
  Millis CommitSentAt_ = 0;
  /// Sending time of the last committed transaction. It proves that no other
  /// host was owner at that time.
  Millis LastProofAt_ = 0;
  std::set<std::string> Followers_;        ///< Hosts with a recent heartbeat.
  std::set<std::string> FollowersAtProof_; ///< Followers_ at LastProofAt_.
  /// Set to false by the destructor, so that late callbacks do nothing.
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

} // namespace oleandergauge::node

#endif // OLEANDERGAUGE_NODE_OWNER_H
