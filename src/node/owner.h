#ifndef OLEANDERGAUGE_NODE_OWNER_H
#define OLEANDERGAUGE_NODE_OWNER_H

#include "cell/cell.h"
#include "cell/ownership.h"
#include "node/context.h"
#include "node/peer_link.h"
#include "operator_rows.h"

namespace oleandergauge::cell::pb {
class AdviceReply;
class Forward;
class ForwardReply;
} // namespace oleandergauge::cell::pb

namespace oleandergauge::node {

/// Nothing was done: the caller's host asks the owner of now.
cell::pb::ForwardReply notOwner();

/// The host's part as owner of the cell: carries out what the Cell decides.
/// Lives from a successful takeover until it is deposed or released.
class Owner {
public:
  using ReplyHandler = std::function<void(const cell::pb::ForwardReply &Reply)>;
  using FrameSender = std::function<void(const Frame &Message)>;

  /// \p Version is that of the owner's row after the takeover, which was sent
  /// at \p SentAt.
  Owner(Context &Shared, const cell::OwnerRow &Row, std::uint64_t Version,
        Millis SentAt, std::function<void(const std::string &Why)> Deposed);
  ~Owner();
  Owner(const Owner &) = delete;
  Owner &operator=(const Owner &) = delete;

  /// Reads the former owner's rows; ready() holds once all are in.
  void start();
  bool ready() const { return Ready_; }
  oleandergauge::Epoch epoch() const { return Log_.row().Epoch_; }
  const cell::OwnerRow &row() const { return Log_.row(); }
  void setOperatorRows(const platform::OperatorRows &Rows);
  void addHost(const std::string &Host, double Strength, FrameSender Send);
  void removeHost(const std::string &Host);
  void handle(const cell::pb::Forward &Request, ReplyHandler Then);
  void handle(const cell::pb::AdviceReply &Reply);
  void tick();
  /// The hosts from which a beat has come recently; all follow this owner.
  void setFollowers(std::set<std::string> Hosts) {
    Followers_ = std::move(Hosts);
  }
  /// Decides nothing more. \p Done gets the row and its version once the last
  /// transaction is settled; all that is not stored is given back to callers'
  /// hosts as not done.
  using ReleaseHandler = std::function<void(const cell::StoredOwner &Last)>;
  void release(ReleaseHandler Done);
  bool releasing() const { return Released_ != nullptr; }
  /// Whether a transaction has been under way without contact to the store,
  /// for \p Limit.
  bool cutOff(Millis Limit) const {
    return CommitWanted_ && bootTime() - CommitWantedAt_ > Limit &&
           Shared_.Store_.silence() > Limit;
  }

private:
  struct Lanes {
    std::unique_ptr<HttpLane> Orders_;
    std::unique_ptr<HttpLane> Looks_;
  };

  void readStored(const std::string &Table,
                  std::function<void(const platform::RowPage &Rows)> Then);
  void becomeReady();
  void setWaves();
  void readWorkers();
  void measureDelay();
  void drain();
  bool authorized() const;
  void sendCommit();
  void finishRelease();
  void settleCommit(const platform::TransactionAnswer &Answer);
  void step(const std::string &Why);
  Lanes &lanesOf(const cell::WorkerAddress &To);
  void sendOrder(const cell::WorkerAddress &To, cell::Token Order,
                 HttpCall Call);
  void perform(const cell::Reply &Each);
  void perform(const cell::SendStart &Each);
  void perform(const cell::SendStop &Each);
  void perform(const cell::SendPace &Each);
  void perform(const cell::SendRenewal &Each);
  void perform(const cell::AskAdvice &Each);
  void perform(const cell::Commit &Each);
  void perform(const cell::ListMachines &Each);
  void perform(const cell::OrderUpkeep &Each);
  void perform(const cell::ReportWave &Each);
  void perform(const cell::DurationSample &Each);
  void perform(const cell::Decision &Each);
  void listMachines(const std::string &Page);
  void tellWave(std::uint64_t Wave);

  Context &Shared_;
  cell::OwnerTransactions Log_;
  std::function<void(const std::string &Why)> Deposed_;
  std::unique_ptr<cell::Cell> Cell_;
  cell::StoredCell Stored_;
  int MissingTables_ = 0;
  bool Ready_ = false;
  bool Over_ = false;
  bool ReadingWorkers_ = false;
  Millis NextWorkers_ = 0;
  Millis LastTick_ = 0;
  Millis NextSlowLine_ = 0;
  Millis PausedUntil_ = 0; ///< End of the last time without a turn.
  std::shared_ptr<const cell::DesiredState> State_;
  std::optional<platform::OperatorRows> Operator_;
  std::map<std::string, std::pair<double, FrameSender>> Hosts_;
  std::map<std::string, Lanes> Lanes_;
  std::unordered_map<cell::Token, ReplyHandler> Replies_;
  cell::Token NextCaller_ = 1;
  bool CommitWanted_ = false;
  Millis CommitWantedAt_ = 0; ///< When it was first sent.
  std::vector<cell::RowChange> Changes_;
  ReleaseHandler Released_;
  std::set<std::string> BadEntries_;
  std::unique_ptr<HttpLane> Machines_; ///< Empty without such a service.
  std::vector<cell::MachineEntry> ListedMachines_;
  /// What operators are to be told of each wave, and the row's version.
  struct WaveNews {
    cell::ReportWave News_;
    std::uint64_t Version_ = 0;
    bool InFlight_ = false;
    bool Told_ = false;
  };
  std::map<std::uint64_t, WaveNews> WaveNews_;
  int FencedWorkers_ = 0;
  Millis CommitSentAt_ = 0;
  /// Sending time of the last transaction that was done: until then no other
  /// host was owner.
  Millis ProvenAt_ = 0;
  std::set<std::string> Followers_;
  std::set<std::string> Witnesses_; ///< Followers at ProvenAt_.
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

} // namespace oleandergauge::node

#endif // OLEANDERGAUGE_NODE_OWNER_H
