#ifndef OLEANDERGAUGE_NODE_ENTRY_HOST_H
#define OLEANDERGAUGE_NODE_ENTRY_HOST_H

#include <map>
#include <optional>
#include <set>

#include "cell/ownership.h"
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

/// The process on an entry host: serves callers, follows the owner of the
/// cell, and becomes owner itself where there is none.
class EntryHost {
public:
  EntryHost(std::string SettingsPath, const platform::HostSettings &Settings);
  int run();

private:
  struct HostLink {
    std::shared_ptr<PeerLink> Link_;
    std::string Host_; ///< Empty before its hello.
    double Strength_ = 0;
    std::string Address_;
    bool Leaving_ = false;
    /// Time since the store served the host, as it said last.
    Millis StoreAge_ = 0;
  };

  // The operator's rows.
  void readOperator();
  void followOperator();
  void operatorChanged();
  // Ownership.
  void pollOwner();
  void tryTakeover();
  void becomeOwner(const cell::OwnerRow &Row, std::uint64_t Version,
                   Millis SentAt);
  void loseOwnership(const std::string &Why);
  void readOperatorAsOwner(Epoch Own);
  void takeOverBy(const cell::StoredOwner &Seen);
  void followRow();
  void follow(Epoch OfOwner, const std::string &Address);
  void announce();
  void handOver(const cell::StoredOwner &Last);
  void handOverWhereCutOff();
  void handOverToStronger();
  void releaseOwnership();
  void ownerLinkEnded(PeerLink::End How);
  // Links between hosts.
  void acceptLink(std::unique_ptr<PeerLink> Link);
  void addToOwner(const HostLink &From);
  void handleFromHost(const std::shared_ptr<PeerLink> &Link,
                      const Frame &Received);
  void handleFromOwner(const Frame &Received);
  void noteBeat(const cell::pb::Beat &Beat);
  void noteAnnouncement(const cell::pb::Announcement &News);
  void noteRelease(const cell::pb::Release &Release);
  void answerAdvice(const cell::pb::AdviceRequest &Request);
  void sendBeats();
  void dropLink(std::size_t At);
  void dropSilentLinks();
  bool sendToOwner(const cell::pb::Forward &Request);
  bool ownerReachable() const;
  const HostLink *successor() const;
  bool isMuchStronger(double Strength) const;
  std::set<std::string> followers() const;
  // Process.
  std::string ownAddress() const;
  bool ready() const;
  void tick();
  void drain();
  void reload();

  std::string SettingsPath_;
  platform::HostSettings Settings_;
  Loop Events_;
  JsonLog Log_;
  Counters Counters_;
  StoreClient Store_;
  AdviceClient Advice_;
  Context Shared_;
  Front Front_;
  HttpServer Callers_;
  HttpServer Ready_;
  HttpServer Metrics_;
  PeerListener Listener_;
  cell::TakeoverPolicy Succession_;
  platform::OperatorRows Operator_;
  std::uint64_t OperatorVersion_ = 0;
  bool OperatorDown_ = false;
  std::unique_ptr<Owner> Owner_;
  Millis OwnerSince_ = 0; ///< Of Owner_.
  /// The operator's rows were read since then.
  bool OwnerKnowsOperator_ = false;
  std::unique_ptr<PeerLink> OwnerLink_;
  std::string OwnerAddress_;
  std::string RefusedAddress_; ///< Where nothing listened at RefusedAt_.
  Millis RefusedAt_ = 0;
  Epoch OwnerEpoch_ = 0;
  bool OwnerSaysReady_ = false;
  Millis OwnerSeen_ = 0;
  std::vector<HostLink> Links_;
  /// Addresses of all hosts that the owner names.
  std::set<std::string> Peers_;
  std::vector<std::shared_ptr<PeerLink>> Announcing_;
  bool Polling_ = false;
  bool TakingOver_ = false;
  /// Written by a takeover whose answer is missing.
  std::optional<cell::OwnerRow> Attempted_;
  Millis AttemptedAt_ = 0;
  Millis DrainingSince_ = 0;
};

} // namespace oleandergauge::node

#endif // OLEANDERGAUGE_NODE_ENTRY_HOST_H
