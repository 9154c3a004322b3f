#ifndef OLEANDERGAUGE_NODE_ENTRY_HOST_H
#define OLEANDERGAUGE_NODE_ENTRY_HOST_H

#include <map>
#include <optional>
#include <set>

#include "cell/ownership.h"
#include "cell/peer_list.h"
#include "cell/request_copies.h"
#include "node/context.h"
#include "node/front.h"
#include "node/http_server.h"
#include "node/owner.h"
#include "node/peer_link.h"

namespace oleandergauge::cell::pb {
class AdviceRequest;
class Announcement;
class Beat;
class Release;
} // namespace oleandergauge::cell::pb

namespace oleandergauge::node {

/// The process on an entry host. It serves callers, follows the owner of the
/// cell, and takes over ownership when there is no owner.
class EntryHost {
public:
  EntryHost(std::string SettingsPath, const platform::HostSettings &Settings);
  /// Runs until it is stopped by a signal. Returns the exit code of the
  /// process, which is 1 if an address cannot be bound.
  int run();

private:
  /// A link that another host has opened to this one.
  struct HostLink {
    std::shared_ptr<PeerLink> Link_;
    std::string Host_; ///< Empty until the hello frame arrives.
    double CpuShare_ = 0;
    std::string Address_;
    bool Draining_ = false;
    /// Time since the host last reached the store, from its last heartbeat.
    Millis StoreContactAge_ = 0;
    cell::SentPeerList SentPeerList_;
  };

  // Operator's rows.
  void readOperatorRows();
  void applyOperatorRow(const platform::Row &Changed,
                        platform::OperatorRows &To);
  void watchOperatorRows();
  void publishOperatorRows();
  // Ownership.
  void readOwnerRow();
  void takeOverIfDue();
  void becomeOwner(const cell::OwnerRow &Row, std::uint64_t Version,
                   Millis SentAt);
  void loseOwnership(const std::string &Why);
  void readOperatorRowsAsOwner(Epoch TakeoverEpoch);
  void writeTakeover(const cell::StoredOwner &Seen);
  void followOwnerRow();
  void connectToOwner(Epoch OwnerEpoch, const std::string &Address);
  void announceTakeover();
  void handOverOwnership(const cell::StoredOwner &Last);
  void writeReleasedRow(const cell::StoredOwner &Last);
  void handOverIfCutOffFromStore();
  void handOverToLargerHost();
  void releaseOwnership();
  void handleOwnerLinkEnd(PeerLink::End How);
  // Links between hosts.
  void acceptLink(std::unique_ptr<PeerLink> Link);
  void addFollowerToOwner(const HostLink &From);
  void handleHostFrame(const std::shared_ptr<PeerLink> &Link,
                       const Frame &Received);
  void handleOwnerFrame(const Frame &Received);
  void handleHeartbeat(const cell::pb::Beat &Beat);
  void setOwnerEpoch(Epoch Current);
  void handleAnnouncement(const cell::pb::Announcement &Announcement);
  void handleRelease(const cell::pb::Release &Release);
  void handleReturnedRelease(const std::shared_ptr<PeerLink> &Link,
                             const cell::pb::Release &Release);
  void reportReadiness();
  void answerAdviceRequest(const cell::pb::AdviceRequest &Request);
  Frame makeHeartbeat() const;
  Frame makeHeartbeatToFollower() const;
  void sendHeartbeatTo(HostLink &Follower, Frame Heartbeat);
  void sendHeartbeats();
  void removeLink(std::size_t At);
  void removeSilentLinks();
  std::optional<Epoch> forwardToOwner(const cell::pb::Forward &Request);
  bool isOwnerReachable() const;
  const HostLink *selectSuccessor() const;
  bool hasMuchMoreCpu(double CpuShare) const;
  std::set<std::string> recentFollowers() const;
  // Process.
  std::string ownAddress() const;
  bool isReady() const;
  void tick();
  void startDrain();
  void continueDrain(Millis Now);
  bool isDrained(Millis Draining);
  std::size_t countOpenRequests() const;
  std::size_t countPartlyRead();
  HttpServer::AnswerObserver observeAnswers(const char *Server);
  std::size_t unsentFrameBytes() const;
  void logStop();
  void reloadSettings();
  void reportIgnoredSetting(const std::string &Why);

  std::string SettingsPath_;
  platform::HostSettings Settings_;
  EventLoop Loop_;
  JsonLog Log_;
  MetricsRegistry Metrics_;
  StoreClient Store_;
  AdviceClient Advice_;
  HostContext Context_;
  FrontEnd FrontEnd_;
  HttpServer CallerServer_;
  HttpServer ReadinessServer_;
  HttpServer MetricsServer_;
  PeerListener PeerListener_;
  cell::TakeoverPolicy Succession_;
  platform::OperatorRows OperatorRows_;
  std::uint64_t OperatorRowsVersion_ = 0;
  bool OperatorFeedDown_ = false;
  /// Version of each row that was logged as unusable, by key.
  std::map<std::string, std::uint64_t> UnusableOperatorRows_;
  std::unique_ptr<Owner> Owner_;
  Millis OwnedSince_ = 0;      ///< Start of Owner_.
  bool OwnerWasReady_ = false; ///< As told to the followers.
  /// Whether the operator's rows were read after the takeover.
  bool OwnerHasOperatorRows_ = false;
  std::unique_ptr<PeerLink> OwnerLink_;
  std::string OwnerAddress_;
  std::string RefusedAddress_; ///< Refused a connection at RefusedAt_.
  Millis RefusedAt_ = 0;
  Epoch OwnerEpoch_ = 0;
  bool OwnerReportsReady_ = false;
  cell::OwnerClock OwnerClock_; ///< Of the owner at the end of OwnerLink_.
  Millis OwnerSeenAt_ = 0; ///< Last frame from the owner, or own ready tick.
  std::vector<HostLink> IncomingLinks_;
  /// Of the addresses of the hosts in IncomingLinks_.
  cell::PeerListSchedule PeerListSchedule_;
  /// Addresses of all hosts, as listed in the owner's heartbeats.
  std::set<std::string> PeerAddresses_;
  std::vector<std::shared_ptr<PeerLink>> AnnouncementLinks_;
  bool ReadingOwnerRow_ = false;
  bool TakeoverInFlight_ = false;
  /// The row written by a takeover whose result is unknown.
  std::optional<cell::OwnerRow> UnconfirmedTakeover_;
  Millis TakeoverSentAt_ = 0;
  /// The row is being marked as released in the store.
  bool ReleaseInFlight_ = false;
  Millis DrainingSince_ = 0; ///< Zero unless draining.
  bool StopSoon_ = false;    ///< A second signal has arrived.
  bool Listening_ = true;
  /// The last turn of the loop, which writes what was answered last, has begun.
  bool LastTurnGiven_ = false;
};

} // namespace oleandergauge::node

#endif // OLEANDERGAUGE_NODE_ENTRY_HOST_H
