#ifndef OLEANDERGAUGE_DAEMON_DISPATCHER_H
#define OLEANDERGAUGE_DAEMON_DISPATCHER_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <utility>

#include "daemon/messages.h"
#include "daemon/metrics.h"
#include "daemon/peer_link.h"
#include "daemon/retry.h"

namespace oleandergauge::daemon {

/// A caller's request on its way to the home partition.
struct Dispatch {
  PartitionId Home_;
  HomeRequest Request_;
  /// An idempotent direct call: may run twice, and any partition will do
  /// where the home has no owner.
  bool Repeatable_ = false;
  TimePoint Deadline_;
  friend bool operator==(const Dispatch &, const Dispatch &) = default;
};

/// How a forwarded request ended. Answer_ is empty where the peer gave none
/// that can be read.
struct ForwardOutcome {
  PeerOutcome Outcome_ = PeerOutcome::Unknown;
  std::optional<Result<JobStatus>> Answer_;
  friend bool operator==(const ForwardOutcome &,
                         const ForwardOutcome &) = default;
};

/// How requests reach a peer's partition; the peer link in the daemon.
using PeerSender =
    std::function<void(const Member &Owner, const PartitionId &Partition,
                       const HomeRequest &Request, Duration Timeout,
                       std::function<void(const ForwardOutcome &)> Done)>;
using DispatchDone = std::function<void(const Result<JobStatus> &)>;

/// What the dispatcher reaches the rest of the daemon by.
struct DispatcherOutputs {
  Mailbox<PartitionTaskMessage> Local_;
  PeerSender Peer_;
  std::function<TimePoint()> Now_;
};

/// Sends each request to the owner of its home partition and answers it once,
/// with the verdict of decision D5 in docs/design.md. A request whose fate is
/// unknown is asked for again at its home, which knows it by its identifier,
/// until the deadline.
class Dispatcher {
public:
  Dispatcher(HostId Self, Metrics &Figures, DispatcherOutputs Outputs);

  void dispatch(Dispatch Wanted, DispatchDone Done);
  /// Requests that wait for an owner which lost its partition are taken as of
  /// unknown fate.
  void setRouting(std::shared_ptr<const Routing> Known);
  void handle(const HomeAnswered &Answer);
  /// Sends what is due again and answers what reached its deadline. To be
  /// called every 10 ms; one timer a request would make the main loop slow.
  void tick();
  std::size_t pending() const { return Pending_.size(); }

private:
  struct Pending {
    Dispatch Wanted_;
    DispatchDone Done_;
    std::uint32_t Tries_ = 0;
    /// True once an attempt ended without an answer; the verdict can no
    /// longer be NotRun.
    bool Unsettled_ = false;
    /// Until when a home without proof of its configuration is asked again.
    std::optional<TimePoint> ProofUntil_;
    bool Waiting_ = false; ///< For an answer; else for the next try.
    HostId Target_;
    PartitionId TargetPartition_;
  };
  struct Target {
    Member Owner_;
    PartitionId Partition_;
  };

  void attempt(Token Id);
  void sendTo(Token Id, const Target &To);
  std::optional<Target> targetOf(const Dispatch &Wanted) const;
  void answered(Token Id, std::uint32_t Try, const Result<JobStatus> &Answer);
  void peerAnswered(Token Id, std::uint32_t Try, const ForwardOutcome &Reply);
  void unknown(Token Id);
  void refused(Token Id, const Refusal &Why);
  bool tryAgain(Token Id, Pending &Own);
  bool waitForProof(Token Id, Pending &Own);
  void repeatAfter(Token Id, Pending &Own, Duration Delay);
  void expire(Token Id);
  void finish(Token Id, const Result<JobStatus> &Answer);
  double random() { return std::uniform_real_distribution<>()(Random_); }

  HostId Self_;
  Metrics &Figures_;
  DispatcherOutputs Outputs_;
  std::shared_ptr<const Routing> Routing_;
  using Due = std::set<std::pair<TimePoint, Token>>;

  std::map<Token, Pending> Pending_;
  Due Deadlines_;
  Due Repeats_;
  Token NextToken_ = 1;
  RetryBudget Budget_;
  std::mt19937_64 Random_{std::random_device{}()};
};

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_DISPATCHER_H
