#include "oleandergauge/membership.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace oleandergauge {

namespace {

bool contains(const std::vector<HostId> &Hosts, const HostId &Wanted) {
  return std::ranges::find(Hosts, Wanted) != Hosts.end();
}

} // namespace

void Membership::setRegistered(TimePoint Now,
                               const std::vector<Member> &Members) {
  std::map<HostId, Peer> Next;
  SelfRegistered_ = false;
  for (const Member &Each : Members) {
    if (Each.Host_ == Self_.Host_) {
      SelfRegistered_ = true;
      continue;
    }
    Peer Entry;
    if (const auto Known = Peers_.find(Each.Host_); Known != Peers_.end())
      Entry = Known->second;
    Entry.Member_ = Each;
    Next.insert_or_assign(Each.Host_, std::move(Entry));
  }
  for (const auto &[Host, Entry] : Peers_)
    if (Now - Entry.ContactAt_ < MissingMemberTimeout)
      Next.try_emplace(Host, Entry);
  Peers_ = std::move(Next);
}

void Membership::setListed(TimePoint Now, const std::vector<HostId> &Hosts) {
  for (auto &[Host, Entry] : Peers_) {
    if (contains(Hosts, Host)) {
      Entry.MissingSince_.reset();
      Entry.MissingUntil_.reset();
      continue;
    }
    if (!Entry.MissingSince_)
      Entry.MissingSince_ = Now;
    Entry.MissingUntil_ = Now;
  }
}

void Membership::noteHeartbeat(TimePoint Now, const Heartbeat &Beat) {
  const HostId &Host = Beat.From_.Host_;
  if (Host == Self_.Host_)
    return;
  for (const OwnedPartition &Each : Beat.Owned_)
    noteClaim(Each.Partition_, Each.Epoch_, Host);
  const TimePoint SentAt = std::min(Beat.Vouch_.SentAt_, Now);
  const auto [Found, Inserted] = Peers_.try_emplace(Host);
  Peer &Entry = Found->second;
  Entry.ContactAt_ = std::max(Entry.ContactAt_, Now);
  if (Inserted)
    Entry.Member_ = Beat.From_;
  if (SentAt < Entry.SentAt_ || SentAt == UnknownTime)
    return;
  Entry.Member_ = Beat.From_;
  Entry.Draining_ = Beat.Draining_;
  Entry.SentAt_ = SentAt;
  dropClaims(Host, Beat.Owned_);
}

void Membership::noteClaim(const PartitionId &Partition, Epoch ClaimedEpoch,
                           const HostId &Host) {
  OwnerEntry &Entry = Owners_[Partition];
  if (ClaimedEpoch < Entry.Epoch_)
    return;
  if (ClaimedEpoch > Entry.Epoch_)
    Entry = {ClaimedEpoch, Host, false};
  else if (Entry.Host_.empty() && !Entry.Released_)
    Entry.Host_ = Host;
}

void Membership::dropClaims(const HostId &Host,
                            const std::vector<OwnedPartition> &Kept) {
  for (auto &[Partition, Entry] : Owners_) {
    const bool Claimed = std::ranges::any_of(
        Kept, [&Id = Partition](const OwnedPartition &Owned) {
          return Owned.Partition_ == Id;
        });
    if (Entry.Host_ == Host && !Claimed)
      Entry.Host_ = HostId();
  }
}

void Membership::noteOwnerRow(const PartitionId &Partition, Epoch RowEpoch,
                              const HostId &Owner) {
  OwnerEntry &Entry = Owners_[Partition];
  if (RowEpoch < Entry.Epoch_)
    return;
  // A row without an owner was written when its owner released the partition,
  // after the row with the owner in the same epoch.
  if (Owner.empty())
    Entry = {RowEpoch, HostId(), true};
  else
    noteClaim(Partition, RowEpoch, Owner);
}

bool Membership::isAbsentFor(const Peer &Candidate, Duration Span,
                             TimePoint Now) {
  const bool Missing =
      Candidate.MissingSince_ &&
      *Candidate.MissingUntil_ - *Candidate.MissingSince_ >= Span;
  const bool HeardRecently = Now - Candidate.ContactAt_ < Span;
  return Missing && !HeardRecently;
}

std::vector<HostId> Membership::expiredMembers(TimePoint Now) const {
  std::vector<HostId> Expired;
  for (const auto &[Host, Entry] : Peers_)
    if (isAbsentFor(Entry, MemberRowRetention, Now))
      Expired.push_back(Host);
  return Expired;
}

std::vector<HostId> Membership::countedMembers(TimePoint Now) const {
  std::vector<HostId> Counted;
  if (SelfRegistered_)
    Counted.push_back(Self_.Host_);
  for (const auto &[Host, Entry] : Peers_)
    if (!isAbsentFor(Entry, MissingMemberTimeout, Now))
      Counted.push_back(Host);
  std::ranges::sort(Counted);
  return Counted;
}

std::vector<HostId> Membership::livePeers(TimePoint Now) const {
  std::vector<HostId> Live;
  if (!Draining_)
    Live.push_back(Self_.Host_);
  for (const auto &[Host, Entry] : Peers_)
    if (!Entry.Draining_ && Now - Entry.SentAt_ <= PeerTimeout)
      Live.push_back(Host);
  std::ranges::sort(Live);
  return Live;
}

std::vector<Member> Membership::peers() const {
  std::vector<Member> All;
  for (const auto &[Host, Entry] : Peers_)
    All.push_back(Entry.Member_);
  return All;
}

std::optional<Member> Membership::ownerOf(const PartitionId &Partition) const {
  const auto Found = Owners_.find(Partition);
  if (Found == Owners_.end() || Found->second.Host_.empty())
    return std::nullopt;
  if (Found->second.Host_ == Self_.Host_)
    return Self_;
  const auto Known = Peers_.find(Found->second.Host_);
  if (Known == Peers_.end())
    return std::nullopt;
  return Known->second.Member_;
}

std::size_t Membership::countOwnedBy(const HostId &Host) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Owners_, [&](const auto &Each) { return Each.second.Host_ == Host; }));
}

bool Membership::hasLiveOwner(const PartitionId &Partition,
                              const std::vector<HostId> &Live) const {
  const auto Found = Owners_.find(Partition);
  return Found != Owners_.end() && contains(Live, Found->second.Host_);
}

std::uint32_t Membership::takeoverRank(const PartitionId &Partition,
                                       TimePoint Now) const {
  std::vector<HostId> Live = livePeers(Now);
  if (!contains(Live, Self_.Host_))
    Live.push_back(Self_.Host_);
  std::map<HostId, std::size_t> Load;
  for (const HostId &Each : Live)
    Load[Each] = countOwnedBy(Each);
  const auto SortByPreference = [&](const PartitionId &Wanted) {
    const auto Preference = [&](const HostId &Host) {
      return std::tuple(Load.at(Host),
                        stableHash(Host.str() + "/" + Wanted.str()), Host);
    };
    std::ranges::sort(Live, {}, Preference);
  };
  for (const PartitionId &Earlier : Partitions_) {
    if (Earlier == Partition)
      break;
    if (hasLiveOwner(Earlier, Live))
      continue;
    SortByPreference(Earlier);
    ++Load.at(Live.front());
  }
  SortByPreference(Partition);
  return static_cast<std::uint32_t>(std::ranges::find(Live, Self_.Host_) -
                                    Live.begin());
}

void Membership::setOwned(const std::vector<OwnedPartition> &Owned) {
  for (const OwnedPartition &Each : Owned)
    noteClaim(Each.Partition_, Each.Epoch_, Self_.Host_);
  dropClaims(Self_.Host_, Owned);
}

} // namespace oleandergauge
