// Who owns the cell: following, takeover, announcement, handing over.

#include "cell.pb.h"
#include "node/entry_host.h"

namespace oleandergauge::node {
namespace {

/// Time for which an announcement may wait for a connection.
constexpr Millis AnnounceTime = 1000;
/// Pause before a link that the owner closed is made again.
constexpr Millis LinkRetry = 30;
/// Pause before an address at which nothing listens is tried again.
constexpr Millis RefusedPause = 200;
/// An owner without contact to the store for longer gives way to a host
/// that says it had one within StoreHealthy.
constexpr Millis CutOffTime = 600;
constexpr Millis StoreHealthy = 350;
/// Time for which a weak owner lets hosts link before it hands over: several
/// of their pauses between reads of the owner's row.
constexpr Millis StrongerWait = 1000;
/// Pause before the operator's rows are asked for again.
constexpr Millis OperatorRetry = 150;

} // namespace

void EntryHost::pollOwner() {
  if (Owner_ || Polling_ || TakingOver_)
    return;
  Polling_ = true;
  Store_.readTable(platform::Space::Own, cell::OwnerTable,
                   [this](const std::optional<platform::RowPage> &Page) {
                     Polling_ = false;
                     if (!Page || Owner_)
                       return;
                     const cell::StoredOwner Seen = platform::ownerOf(*Page);
                     Succession_.observe(bootTime(), Seen);
                     if (Attempted_ && Seen.Row_ == *Attempted_ &&
                         DrainingSince_ == 0) {
                       // The takeover was done and its answer lost.
                       becomeOwner(Seen.Row_, Seen.Version_, AttemptedAt_);
                       return;
                     }
                     followRow();
                     tryTakeover();
                   });
}

void EntryHost::followRow() {
  const cell::OwnerRow &Row = Succession_.lastObserved().Row_;
  if (Row.Host_ != Settings_.Name_ && !Row.Released_)
    follow(Row.Epoch_, Row.Address_);
}

void EntryHost::follow(Epoch OfOwner, const std::string &Address) {
  if (OfOwner < OwnerEpoch_ || Address.empty())
    return;
  const bool JustRefused =
      Address == RefusedAddress_ && bootTime() - RefusedAt_ < RefusedPause;
  if (JustRefused)
    return;
  if (OwnerLink_ && OwnerAddress_ == Address) {
    OwnerEpoch_ = OfOwner; // A later ownership of the same process.
    return;
  }
  Front_.ownerLost();
  OwnerAddress_ = Address;
  OwnerEpoch_ = OfOwner;
  OwnerSaysReady_ = false;
  Succession_.setOwnerHealthy(false);
  OwnerLink_ = std::make_unique<PeerLink>(Events_, Address);
  OwnerLink_->onFrame(
      [this](const Frame &Received) { handleFromOwner(Received); });
  OwnerLink_->onEnd([this](PeerLink::End How) {
    Events_.after(0, [this, How, Link = OwnerLink_.get()] {
      if (OwnerLink_.get() == Link)
        ownerLinkEnded(How);
    });
  });
  Frame Hello;
  Hello.mutable_hello()->set_host(Settings_.Name_);
  Hello.mutable_hello()->set_strength(Settings_.Strength_);
  Hello.mutable_hello()->set_address(ownAddress());
  OwnerLink_->send(Hello);
}

void EntryHost::ownerLinkEnded(PeerLink::End How) {
  constexpr const char *Names[] = {"silent", "closed", "refused"};
  Log_.event("link to the owner lost", {{"address", OwnerAddress_},
                                        {"how", Names[static_cast<int>(How)]}});
  OwnerLink_.reset();
  OwnerSaysReady_ = false;
  Succession_.setOwnerHealthy(false);
  Front_.ownerLost();
  if (How == PeerLink::End::Silent)
    return;
  Succession_.ownerLinkLost();
  if (How == PeerLink::End::Refused) {
    RefusedAddress_ = OwnerAddress_;
    RefusedAt_ = bootTime();
  }
  // A live owner takes a new link; where nothing listens, it has ended.
  if (How == PeerLink::End::Refused)
    Succession_.ownerGone(bootTime(), OwnerEpoch_);
  else
    Events_.after(LinkRetry, [this] {
      if (!OwnerLink_ && !Owner_)
        follow(OwnerEpoch_, OwnerAddress_);
    });
  pollOwner();
}

void EntryHost::tryTakeover() {
  if (!Owner_ && !TakingOver_ && DrainingSince_ == 0 && Operator_.State_ &&
      Succession_.mayTakeOver(bootTime()))
    takeOverBy(Succession_.lastObserved());
}

/// Writes this host into the owner's row, if that is still as \p Seen.
void EntryHost::takeOverBy(const cell::StoredOwner &Seen) {
  TakingOver_ = true;
  Attempted_.reset();
  AttemptedAt_ = bootTime();
  cell::OwnerRow Row;
  Row.Epoch_ = Seen.Row_.Epoch_ + 1;
  Row.Host_ = Settings_.Name_;
  Row.Address_ = ownAddress();
  Log_.event("taking over", {{"epoch", static_cast<std::int64_t>(Row.Epoch_)},
                             {"from", Seen.Row_.Host_}});
  Store_.transact(Row, Seen.Version_, {},
                  [this, Row](const platform::TransactionAnswer &Answer) {
                    TakingOver_ = false;
                    Succession_.restart(bootTime());
                    const bool Found =
                        Answer.Result_ == cell::TransactionResult::Conflict &&
                        Answer.Present_.Row_ == Row;
                    if (Answer.Result_ == cell::TransactionResult::Done)
                      becomeOwner(Row, Answer.Version_, AttemptedAt_);
                    else if (Found)
                      becomeOwner(Row, Answer.Present_.Version_, AttemptedAt_);
                    else if (Answer.Result_ == cell::TransactionResult::Unknown)
                      Attempted_ = Row;
                  });
}

void EntryHost::becomeOwner(const cell::OwnerRow &Row, std::uint64_t Version,
                            Millis SentAt) {
  if (DrainingSince_ != 0) {
    handOver({Version, Row});
    return;
  }
  Attempted_.reset();
  OwnerLink_.reset();
  Peers_.insert(OwnerAddress_);
  OwnerEpoch_ = Row.Epoch_;
  Owner_ = std::make_unique<Owner>(
      Shared_, Row, Version, SentAt,
      [this](const std::string &Why) { loseOwnership(Why); });
  OwnerSince_ = bootTime();
  OwnerKnowsOperator_ = false;
  Owner_->start();
  for (const HostLink &Each : Links_)
    addToOwner(Each); // Linked before the takeover.
  announce();
  readOperatorAsOwner(Row.Epoch_);
}

/// Rows that were read after the takeover are as new as any answer that a
/// former owner gave; the owner waits for them, however long that takes.
void EntryHost::readOperatorAsOwner(Epoch Own) {
  Store_.readTable(platform::Space::Operator, "",
                   [this, Own](const std::optional<platform::RowPage> &Page) {
                     if (!Owner_ || Owner_->epoch() != Own)
                       return;
                     if (!Page) {
                       Events_.after(OperatorRetry,
                                     [this, Own] { readOperatorAsOwner(Own); });
                       return;
                     }
                     for (const platform::Row &Each : Page->Rows_)
                       platform::applyOperatorRow(Each, Operator_);
                     OwnerKnowsOperator_ = true;
                     operatorChanged();
                   });
}

void EntryHost::loseOwnership(const std::string &Why) {
  Log_.event("no longer owner", {{"why", Why}});
  Succession_.releasedOwnership(Owner_->epoch());
  Owner_.reset();
  Succession_.restart(bootTime());
  Front_.ownerLost();
}

/// Tells all hosts of the takeover: sooner than they read the row, and also
/// those that cannot reach the store.
void EntryHost::announce() {
  Frame Out;
  cell::pb::Announcement &News = *Out.mutable_announcement();
  News.set_epoch(OwnerEpoch_);
  News.set_host(Settings_.Name_);
  News.set_address(ownAddress());
  Announcing_.clear();
  for (const std::string &Address : Peers_) {
    if (Address.empty() || Address == ownAddress())
      continue;
    Announcing_.push_back(std::make_shared<PeerLink>(Events_, Address));
    Announcing_.back()->send(Out);
  }
  Events_.after(AnnounceTime, [this] { Announcing_.clear(); });
}

void EntryHost::noteAnnouncement(const cell::pb::Announcement &News) {
  if (News.epoch() <= OwnerEpoch_)
    return;
  if (Owner_)
    loseOwnership("another host has taken over");
  follow(News.epoch(), News.address());
}

/// Ends this host's ownership; the successor writes itself into the row.
void EntryHost::handOver(const cell::StoredOwner &Last) {
  const HostLink *Next = successor();
  Log_.event("ownership handed over",
             {{"epoch", static_cast<std::int64_t>(Last.Row_.Epoch_)},
              {"to", Next == nullptr ? "" : Next->Host_}});
  if (Next != nullptr) {
    Frame Out;
    Out.mutable_release()->set_epoch(Last.Row_.Epoch_);
    Out.mutable_release()->set_version(Last.Version_);
    Out.mutable_release()->set_row(cell::encode(Last.Row_));
    Next->Link_->send(Out);
  } else {
    cell::OwnerRow Released = Last.Row_;
    Released.Released_ = true;
    Store_.transact(Released, Last.Version_, {},
                    [](const platform::TransactionAnswer &) {
                      // Without it others wait for the row to stay unchanged.
                    });
  }
  Front_.ownerLost();
}

/// An owner that cannot reach the store while another host can stops at once:
/// its own transactions fail anyhow.
void EntryHost::handOverWhereCutOff() {
  const HostLink *Next = successor();
  if (!Owner_ || !Owner_->ready() || !Owner_->cutOff(CutOffTime) ||
      Next == nullptr || Next->StoreAge_ > StoreHealthy)
    return;
  // The version is left open: a transaction may still be under way.
  const cell::StoredOwner Last{0, Owner_->row()};
  handOver(Last);
  loseOwnership("the store cannot be reached from here");
}

/// A host that is too weak for the cell may have taken over while stronger ones
/// were away.
void EntryHost::handOverToStronger() {
  const HostLink *Next = successor();
  if (!Owner_ || !Owner_->ready() || Owner_->releasing() || Next == nullptr ||
      !isMuchStronger(Next->Strength_) || Next->StoreAge_ > StoreHealthy ||
      bootTime() - OwnerSince_ < StrongerWait)
    return;
  releaseOwnership();
}

/// Ends this host's ownership once its last transaction is settled.
void EntryHost::releaseOwnership() {
  Owner_->release([this](const cell::StoredOwner &Last) {
    Events_.after(0, [this, Last] {
      if (!Owner_)
        return;
      Succession_.releasedOwnership(Owner_->epoch());
      Owner_.reset();
      handOver(Last);
    });
  });
}

void EntryHost::noteRelease(const cell::pb::Release &Release) {
  const auto Row = cell::decodeOwner(Release.row());
  if (!Row || Row->Epoch_ != OwnerEpoch_ || Owner_)
    return;
  Succession_.ownerGone(bootTime(), Row->Epoch_);
  if (Release.version() == 0) {
    pollOwner();
    return;
  }
  Succession_.observe(bootTime(), {Release.version(), *Row});
  tryTakeover();
}

} // namespace oleandergauge::node
