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

/// A caller's request that is to be sent to its home partition.
struct Dispatch {
  PartitionId Home_;
  HomeRequest Request_;
  /// True for an idempotent direct call. It may run more than once, and any
  /// partition can run it if the home partition has no owner.
  bool Retryable_ = false;
  TimePoint Deadline_;
  friend bool operator==(const Dispatch &, const Dispatch &) = default;
};

/// The outcome of a request that was forwarded to a peer. Answer_ is empty if
/// the peer gave no answer that could be decoded.
struct ForwardOutcome {
  PeerOutcome Outcome_ = PeerOutcome::Unknown;
  std::optional<Result<JobStatus>> Answer_;
  friend bool operator==(const ForwardOutcome &,
                         const ForwardOutcome &) = default;
};

/// Sends a request to a partition of another host. The daemon uses PeerClient
/// here.
using PeerSender =
    std::function<void(const Member &Owner, const PartitionId &Partition,
                       const HomeRequest &Request, Duration Timeout,
                       std::function<void(const ForwardOutcome &)> Done)>;
using DispatchCallback = std::function<void(const Result<JobStatus> &)>;

/// The dispatcher's connections to the rest of the daemon.
struct DispatcherOutputs {
  Mailbox<PartitionTaskMessage> Local_;
  PeerSender Peer_;
  std::function<TimePoint()> Now_;
};

/// Sends each request to the owner of its home partition and answers it exactly
/// once, with the verdict of decision D5 in docs/design.md. A request whose
/// outcome is unknown is sent to its home partition again until the deadline;
/// the partition recognizes it by its identifier.
class Dispatcher {
public:
  Dispatcher(HostId Self, Metrics &HostMetrics, DispatcherOutputs Outputs);

  void dispatch(Dispatch Outgoing, DispatchCallback Done);
  /// Updates the owners. The outcome of a request that awaits an answer of a
  /// deposed owner counts as unknown.
  void setRouting(std::shared_ptr<const Routing> NewRouting);
  void handle(const HomeRequestAnswered &Answer);
  /// Sends the requests whose retry is due and answers those that reached their
  /// deadline. Must be called every 10 ms while requests are pending; a timer
  /// for each request would slow down the main loop.
  void tick();
  std::size_t pending() const { return Pending_.size(); }

private:
  struct Pending {
    Dispatch Dispatch_;
    DispatchCallback Done_;
    std::uint32_t Attempts_ = 0;
    /// True once an attempt ended without an answer. The verdict can then no
    /// longer be NotRun.
    bool OutcomeUnknown_ = false;
    /// Until when the request is sent again to a home partition that cannot
    /// prove its configuration. Set at the first such refusal.
    std::optional<TimePoint> ProofDeadline_;
    bool AwaitingAnswer_ = false; ///< For an answer; else for the next try.
    HostId Target_;
    PartitionId TargetPartition_;
  };
  struct Target {
    Member Owner_;
    PartitionId Partition_;
  };

  void attempt(Token Id);
  void sendTo(Token Id, const Target &To);
  std::optional<Target> findTarget(const Dispatch &Outgoing) const;
  void handleAnswer(Token Id, std::uint32_t Attempt,
                    const Result<JobStatus> &Answer);
  void handlePeerAnswer(Token Id, std::uint32_t Attempt,
                        const ForwardOutcome &Reply);
  void handleUnknownOutcome(Token Id);
  void handleRefusal(Token Id, const Refusal &Cause);
  bool scheduleRetry(Token Id, Pending &Entry);
  bool scheduleProofRetry(Token Id, Pending &Entry);
  void retryAfter(Token Id, Pending &Entry, Duration Delay);
  void expire(Token Id);
  void finish(Token Id, const Result<JobStatus> &Answer);
  double random() { return std::uniform_real_distribution<>()(Random_); }

  HostId Self_;
  Metrics &HostMetrics_;
  DispatcherOutputs Outputs_;
  std::shared_ptr<const Routing> Routing_;
  using TokensByTime = std::set<std::pair<TimePoint, Token>>;

  std::map<Token, Pending> Pending_;
  TokensByTime Deadlines_;
  TokensByTime Retries_;
  Token NextToken_ = 1;
  RetryBudget Budget_;
  std::mt19937_64 Random_{std::random_device{}()};
};

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_DISPATCHER_H
