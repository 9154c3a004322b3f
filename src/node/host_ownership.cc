// Ownership of the cell: following the owner, takeover, announcement and
// handover.

#include "cell.pb.h"
#include "node/entry_host.h"
#include "node/socket_address.h"

namespace oleandergauge::node {
namespace {

/// Time that the connections of an announcement have to open and send it.
constexpr Millis AnnouncementLinkLifetime = 1000;
/// Delay before reconnecting to an owner that closed the link.
constexpr Millis OwnerLinkRetryDelay = 30;
/// Delay before reconnecting to an address that refused the connection.
constexpr Millis RefusedAddressRetryDelay = 200;
/// An owner that had no contact with the store for longer than
/// StoreCutOffLimit hands over to a host whose last contact is at most
/// HealthyStoreContactAge old.
constexpr Millis StoreCutOffLimit = 600;
constexpr Millis HealthyStoreContactAge = 350;
/// Time after a takeover during which an owner with a small CPU share waits for
/// larger hosts to connect before it hands over. It covers several of their
/// reads of the owner row.
constexpr Millis LargerHostLinkWait = 1000;
/// A host takes over only if it has just read the owner row.
constexpr Millis MaxObservationAge = 10;
/// Delay before retrying to mark the owner row as released.
constexpr Millis ReleaseRetryDelay = 100;
/// Delay before retrying to read the operator's rows.
constexpr Millis OperatorReadRetryDelay = 150;

} // namespace

/// Reads the owner row, follows the owner that it names and takes over if due.
/// Called periodically, and when the link to the owner has ended.
void EntryHost::readOwnerRow() {
  if (Owner_ || ReadingOwnerRow_ || TakeoverInFlight_)
    return;
  ReadingOwnerRow_ = true;
  Store_.readTable(
      platform::TableSpace::Own, cell::OwnerTable,
      [this](const std::optional<platform::RowPage> &Page) {
        ReadingOwnerRow_ = false;
        if (!Page || Owner_)
          return;
        const cell::StoredOwner Seen = platform::findOwnerRow(*Page);
        Succession_.observe(bootTime(), Seen);
        if (UnconfirmedTakeover_ && Seen.Row_ == *UnconfirmedTakeover_ &&
            DrainingSince_ == 0) {
          // The takeover succeeded but its answer was lost.
          becomeOwner(Seen.Row_, Seen.Version_, TakeoverSentAt_);
          return;
        }
        followOwnerRow();
        takeOverIfDue();
      });
}

/// Connects to the owner that was last read from the owner row.
void EntryHost::followOwnerRow() {
  const cell::OwnerRow &Row = Succession_.lastObserved().Row_;
  if (Row.Host_ != Settings_.Name_ && !Row.Released_)
    connectToOwner(Row.Epoch_, Row.Address_);
}

/// Opens the link to the owner of \p OwnerEpoch, unless a later epoch is known
/// or \p Address cannot be used or has just refused a connection.
void EntryHost::connectToOwner(Epoch OwnerEpoch, const std::string &Address) {
  if (OwnerEpoch < OwnerEpoch_ || !parseSocketAddress(Address))
    return;
  const bool JustRefused = Address == RefusedAddress_ &&
                           bootTime() - RefusedAt_ < RefusedAddressRetryDelay;
  if (JustRefused)
    return;
  if (OwnerLink_ && OwnerAddress_ == Address) {
    setOwnerEpoch(OwnerEpoch); // The same process has become owner again.
    return;
  }
  FrontEnd_.markOwnerLost();
  OwnerAddress_ = Address;
  OwnerEpoch_ = OwnerEpoch;
  OwnerReportsReady_ = false;
  OwnerClock_ = {};
  Succession_.setOwnerHealthy(false);
  OwnerLink_ = std::make_unique<PeerLink>(Loop_, Address);
  OwnerLink_->onFrame(
      [this](const Frame &Received) { handleOwnerFrame(Received); });
  OwnerLink_->onEnd([this](PeerLink::End How) {
    Loop_.runAfter(0, [this, How, Link = OwnerLink_.get()] {
      if (OwnerLink_.get() == Link)
        handleOwnerLinkEnd(How);
    });
  });
  Frame Hello;
  Hello.mutable_hello()->set_host(Settings_.Name_);
  Hello.mutable_hello()->set_strength(Settings_.CpuShare_);
  Hello.mutable_hello()->set_address(ownAddress());
  OwnerLink_->send(Hello);
}

/// Decides by the kind of end whether the owner is gone: a silent link proves
/// nothing, so the host waits for the owner row.
void EntryHost::handleOwnerLinkEnd(PeerLink::End How) {
  constexpr const char *Names[] = {"silent", "closed", "refused"};
  Log_.logEvent(
      "link to the owner lost",
      {{"address", OwnerAddress_}, {"how", Names[static_cast<int>(How)]}});
  OwnerLink_.reset();
  OwnerReportsReady_ = false;
  Succession_.setOwnerHealthy(false);
  FrontEnd_.markOwnerLost();
  if (How == PeerLink::End::Silent)
    return;
  Succession_.ownerLinkLost();
  if (How == PeerLink::End::Refused) {
    RefusedAddress_ = OwnerAddress_;
    RefusedAt_ = bootTime();
  }
  // A running owner accepts a new link. A refused connection means that its
  // process has ended.
  if (How == PeerLink::End::Refused)
    Succession_.ownerGone(bootTime(), OwnerEpoch_);
  else
    Loop_.runAfter(OwnerLinkRetryDelay, [this] {
      if (!OwnerLink_ && !Owner_)
        connectToOwner(OwnerEpoch_, OwnerAddress_);
    });
  readOwnerRow();
}

/// Starts a takeover if cell::TakeoverPolicy permits it and the operator's
/// desired state is known. A draining host does not take over.
void EntryHost::takeOverIfDue() {
  if (Owner_ || TakeoverInFlight_ || DrainingSince_ != 0 ||
      !OperatorRows_.DesiredState_ || !Succession_.mayTakeOver(bootTime()))
    return;
  // Another host may have taken over since the latest read. Of many hosts, most
  // notice that by a read, and only few compete for the owner row.
  if (bootTime() - Succession_.lastReadAt() > MaxObservationAge)
    readOwnerRow();
  else
    writeTakeover(Succession_.lastObserved());
}

/// Tries to write this host into the owner row, on condition that the row still
/// has the version in \p Seen.
void EntryHost::writeTakeover(const cell::StoredOwner &Seen) {
  TakeoverInFlight_ = true;
  UnconfirmedTakeover_.reset();
  TakeoverSentAt_ = bootTime();
  cell::OwnerRow Row;
  Row.Epoch_ = Seen.Row_.Epoch_ + 1;
  Row.Host_ = Settings_.Name_;
  Row.Address_ = ownAddress();
  Log_.logEvent("taking over",
                {{"epoch", static_cast<std::int64_t>(Row.Epoch_)},
                 {"from", Seen.Row_.Host_}});
  Store_.transact(Row, Seen.Version_, {},
                  [this, Row](const platform::TransactionAnswer &Answer) {
                    TakeoverInFlight_ = false;
                    Succession_.restart(bootTime());
                    const bool Found =
                        Answer.Result_ == cell::TransactionResult::Conflict &&
                        Answer.Present_.Row_ == Row;
                    if (Answer.Result_ == cell::TransactionResult::Done)
                      becomeOwner(Row, Answer.Version_, TakeoverSentAt_);
                    else if (Found)
                      becomeOwner(Row, Answer.Present_.Version_,
                                  TakeoverSentAt_);
                    else if (Answer.Result_ == cell::TransactionResult::Unknown)
                      UnconfirmedTakeover_ = Row;
                  });
}

/// Starts to act as owner after a takeover. A host that began to drain in the
/// meantime hands over instead. A takeover that was answered only after another
/// host had taken over is void.
void EntryHost::becomeOwner(const cell::OwnerRow &Row, std::uint64_t Version,
                            Millis SentAt) {
  if (Row.Epoch_ < OwnerEpoch_) {
    Log_.logEvent("takeover void",
                  {{"epoch", static_cast<std::int64_t>(Row.Epoch_)},
                   {"later_epoch", static_cast<std::int64_t>(OwnerEpoch_)}});
    return;
  }
  if (DrainingSince_ != 0) {
    handOverOwnership({Version, Row});
    return;
  }
  UnconfirmedTakeover_.reset();
  OwnerLink_.reset();
  FrontEnd_.markOwnerLost();
  PeerAddresses_.insert(OwnerAddress_);
  OwnerEpoch_ = Row.Epoch_;
  Owner_ = std::make_unique<Owner>(
      Context_, Row, Version, SentAt,
      [this](const std::string &Why) { loseOwnership(Why); });
  OwnedSince_ = bootTime();
  OwnerHasOperatorRows_ = false;
  Owner_->readStoredRows();
  for (const HostLink &Each : IncomingLinks_)
    addFollowerToOwner(Each); // Hosts that connected before the takeover.
  announceTakeover();
  readOperatorRowsAsOwner(Row.Epoch_);
}

/// Reads the operator's rows after the takeover and retries until it succeeds.
/// The owner does not become ready before, because rows that were read
/// earlier may be older than those on which a former owner based its answers.
void EntryHost::readOperatorRowsAsOwner(Epoch TakeoverEpoch) {
  Store_.readTable(
      platform::TableSpace::Operator, "",
      [this, TakeoverEpoch](const std::optional<platform::RowPage> &Page) {
        if (!Owner_ || Owner_->epoch() != TakeoverEpoch)
          return;
        if (!Page) {
          Loop_.runAfter(OperatorReadRetryDelay, [this, TakeoverEpoch] {
            readOperatorRowsAsOwner(TakeoverEpoch);
          });
          return;
        }
        for (const platform::Row &Each : Page->Rows_)
          applyOperatorRow(Each, OperatorRows_);
        OwnerHasOperatorRows_ = true;
        publishOperatorRows();
      });
}

/// Ends this ownership at once, without waiting for the transaction in flight.
void EntryHost::loseOwnership(const std::string &Why) {
  Log_.logEvent("no longer owner", {{"why", Why}});
  Succession_.releasedOwnership(Owner_->epoch());
  Owner_.reset();
  Succession_.restart(bootTime());
  FrontEnd_.markOwnerLost();
}

/// Announces the takeover to all known hosts. They learn of it before their
/// next read of the owner row, and also if they cannot reach the store.
void EntryHost::announceTakeover() {
  Frame Out;
  cell::pb::Announcement &Announcement = *Out.mutable_announcement();
  Announcement.set_epoch(OwnerEpoch_);
  Announcement.set_host(Settings_.Name_);
  Announcement.set_address(ownAddress());
  AnnouncementLinks_.clear();
  for (const std::string &Address : PeerAddresses_) {
    if (!parseSocketAddress(Address) || Address == ownAddress())
      continue;
    AnnouncementLinks_.push_back(std::make_shared<PeerLink>(Loop_, Address));
    AnnouncementLinks_.back()->send(Out);
  }
  Loop_.runAfter(AnnouncementLinkLifetime,
                 [this] { AnnouncementLinks_.clear(); });
}

/// Follows a new owner that announced its takeover.
void EntryHost::handleAnnouncement(const cell::pb::Announcement &Announcement) {
  if (Announcement.epoch() <= OwnerEpoch_)
    return;
  if (Owner_)
    loseOwnership("another host has taken over");
  connectToOwner(Announcement.epoch(), Announcement.address());
}

/// Sends the owner row in a release frame to the successor, which takes over.
/// Without a successor the row is marked as released in the store.
void EntryHost::handOverOwnership(const cell::StoredOwner &Last) {
  const HostLink *Successor = selectSuccessor();
  Log_.logEvent("ownership handed over",
                {{"epoch", static_cast<std::int64_t>(Last.Row_.Epoch_)},
                 {"to", Successor == nullptr ? "" : Successor->Host_}});
  if (Successor != nullptr) {
    Frame Out;
    Out.mutable_release()->set_epoch(Last.Row_.Epoch_);
    Out.mutable_release()->set_version(Last.Version_);
    Out.mutable_release()->set_row(cell::encode(Last.Row_));
    Successor->Link_->send(Out);
  } else {
    writeReleasedRow(Last);
  }
  FrontEnd_.markOwnerLost();
}

/// Marks the owner row as released in the store, so that other hosts need not
/// wait until it has stayed unchanged for long enough. A draining host retries.
void EntryHost::writeReleasedRow(const cell::StoredOwner &Last) {
  ReleaseInFlight_ = true;
  cell::OwnerRow Released = Last.Row_;
  Released.Released_ = true;
  Store_.transact(Released, Last.Version_, {},
                  [this, Last](const platform::TransactionAnswer &Answer) {
                    const bool Undecided =
                        Answer.Result_ == cell::TransactionResult::Refused ||
                        Answer.Result_ == cell::TransactionResult::Unknown;
                    if (Undecided && DrainingSince_ != 0)
                      Loop_.runAfter(ReleaseRetryDelay,
                                     [this, Last] { writeReleasedRow(Last); });
                    else
                      ReleaseInFlight_ = false;
                  });
}

/// Hands over at once if this owner cannot reach the store but its successor
/// can. The transactions of this owner would fail anyway.
void EntryHost::handOverIfCutOffFromStore() {
  const HostLink *Successor = selectSuccessor();
  if (!Owner_ || !Owner_->isReady() ||
      !Owner_->isCutOffFromStore(StoreCutOffLimit) || Successor == nullptr ||
      Successor->StoreContactAge_ > HealthyStoreContactAge)
    return;
  // Version 0 stands for unknown, since a transaction may still be in flight.
  const cell::StoredOwner Last{0, Owner_->row()};
  handOverOwnership(Last);
  loseOwnership("the store cannot be reached from here");
}

/// Hands over to a host with a much larger CPU share. This host may be too
/// small for the cell and have taken over while larger ones were away.
void EntryHost::handOverToLargerHost() {
  const HostLink *Successor = selectSuccessor();
  if (!Owner_ || !Owner_->isReady() || Owner_->isReleasing() ||
      Successor == nullptr || !hasMuchMoreCpu(Successor->CpuShare_) ||
      Successor->StoreContactAge_ > HealthyStoreContactAge ||
      bootTime() - OwnedSince_ < LargerHostLinkWait)
    return;
  releaseOwnership();
}

/// Hands over ownership once the transaction in flight is settled.
void EntryHost::releaseOwnership() {
  Owner_->release([this](const cell::StoredOwner &Last) {
    Loop_.runAfter(0, [this, Last] {
      if (!Owner_)
        return;
      Succession_.releasedOwnership(Owner_->epoch());
      Owner_.reset();
      handOverOwnership(Last);
    });
  });
}

/// Takes over from an owner that released its ownership to this host. Version 0
/// means that the owner row has to be read first. A draining host returns the
/// release: its owner may have chosen it before it knew that it drains.
void EntryHost::handleRelease(const cell::pb::Release &Release) {
  const auto Row = cell::decodeOwner(Release.row());
  if (!Row || Row->Epoch_ != OwnerEpoch_ || Owner_)
    return;
  if (DrainingSince_ != 0) {
    Frame Out;
    *Out.mutable_release() = Release;
    OwnerLink_->send(Out);
    return;
  }
  Succession_.ownerGone(bootTime(), Row->Epoch_);
  if (Release.version() == 0) {
    readOwnerRow();
    return;
  }
  Succession_.observe(bootTime(), {Release.version(), *Row});
  takeOverIfDue();
}

/// Chooses another successor instead of a draining host that has returned the
/// release.
void EntryHost::handleReturnedRelease(const std::shared_ptr<PeerLink> &Link,
                                      const cell::pb::Release &Release) {
  for (HostLink &Each : IncomingLinks_)
    if (Each.Link_ == Link)
      Each.Draining_ = true;
  const auto Row = cell::decodeOwner(Release.row());
  if (!Row || Row->Host_ != Settings_.Name_ || Row->Epoch_ != OwnerEpoch_ ||
      Owner_ || Release.version() == 0)
    return;
  handOverOwnership({Release.version(), *Row});
}

} // namespace oleandergauge::node
