#include "oleandergauge/config.h"

#include <algorithm>
#include <utility>

namespace oleandergauge {

void FreshnessGuard::noteKnownHead(std::uint64_t HeadVersion,
                                   std::optional<TimePoint> ReadAt) {
  if (HeadVersion < KnownHead_)
    return;
  if (HeadVersion > KnownHead_) {
    KnownHead_ = HeadVersion;
    KnownHeadAt_.reset();
  }
  // An empty optional compares as the earliest time.
  KnownHeadAt_ = std::max(KnownHeadAt_, ReadAt);
}

void FreshnessGuard::noteHeadRead(std::uint64_t HeadVersion,
                                  TimePoint BeganAt) {
  StoreReadAt_ = std::max(StoreReadAt_, std::optional(BeganAt));
  // The head version never decreases, so a lower one comes from a late reply.
  if (!HeadVersion_ || HeadVersion > *HeadVersion_) {
    HeadVersion_ = HeadVersion;
    HeadReadAt_ = BeganAt;
  } else if (HeadVersion == *HeadVersion_) {
    HeadReadAt_ = std::max(HeadReadAt_, std::optional(BeganAt));
  }
  noteKnownHead(HeadVersion, BeganAt);
}

void FreshnessGuard::noteStoreFailure(TimePoint BeganAt) {
  StoreFailedAt_ = std::max(StoreFailedAt_, std::optional(BeganAt));
}

void FreshnessGuard::noteVouch(const HostId &Peer, const PeerVouch &Vouch) {
  if (Peer == Self_)
    return;
  std::optional<TimePoint> ReadAt = Vouch.HeadReadAt_;
  if (ReadAt)
    ReadAt = std::min(*ReadAt, Vouch.SentAt_);
  noteKnownHead(Vouch.HeadVersion_, ReadAt);
  const auto Existing = Vouches_.find(Peer);
  if (Existing == Vouches_.end())
    Vouches_.emplace(Peer, Vouch);
  else if (Existing->second.SentAt_ < Vouch.SentAt_)
    Existing->second = Vouch;
}

void FreshnessGuard::setMembers(std::vector<HostId> Members) {
  Members_ = std::move(Members);
}

void FreshnessGuard::setAppliedVersion(std::uint64_t HeadVersion) {
  Applied_ = std::max(Applied_, HeadVersion);
  noteKnownHead(HeadVersion, std::nullopt);
}

bool FreshnessGuard::seesOutage() const {
  // A restarted host that has not read the store yet cannot know of a change
  // that it made before the restart.
  return HeadReadAt_ && StoreFailedAt_ > StoreReadAt_ && !ChangeInFlight_;
}

std::optional<TimePoint> FreshnessGuard::outageProvenAt(TimePoint Now) const {
  if (!seesOutage() || Applied_ != KnownHead_ ||
      std::ranges::find(Members_, Self_) == Members_.end())
    return std::nullopt;
  TimePoint Earliest = Now;
  for (const HostId &Member : Members_) {
    if (Member == Self_)
      continue;
    const auto Found = Vouches_.find(Member);
    if (Found == Vouches_.end() || !Found->second.StoreOut_ ||
        Found->second.HeadVersion_ != Applied_)
      return std::nullopt;
    Earliest = std::min(Earliest, Found->second.SentAt_);
  }
  return Earliest;
}

std::optional<TimePoint> FreshnessGuard::provenAt(TimePoint Now) const {
  if (Applied_ != KnownHead_)
    return std::nullopt;
  return std::max(KnownHeadAt_, outageProvenAt(Now));
}

bool FreshnessGuard::mayAct(TimePoint Now) const {
  const std::optional<TimePoint> Proven = provenAt(Now);
  return Proven && Now - *Proven <= MaxEvidenceAge;
}

bool FreshnessGuard::outageProven(TimePoint Now) const {
  const std::optional<TimePoint> Proven = outageProvenAt(Now);
  return Proven && Now - *Proven <= MaxEvidenceAge;
}

PeerVouch FreshnessGuard::vouch(TimePoint Now) {
  KnownToAllMembers_ = KnownToAllMembers_ || isKnownToAllMembers(Now);
  PeerVouch OwnVouch;
  OwnVouch.HeadVersion_ = KnownHead_;
  // A read that showed a lower head version proves nothing about this one.
  if (HeadVersion_ == KnownHead_)
    OwnVouch.HeadReadAt_ = HeadReadAt_;
  OwnVouch.StoreOut_ = seesOutage();
  OwnVouch.SentAt_ = Now;
  if (OwnVouch.StoreOut_)
    LastOutageVouch_ = Now;
  return OwnVouch;
}

bool FreshnessGuard::isKnownToAllMembers(TimePoint Now) const {
  if (!RegisteredAt_ || Now - *RegisteredAt_ < MaxEvidenceAge ||
      std::ranges::find(Members_, Self_) == Members_.end())
    return false;
  return std::ranges::all_of(Members_, [this](const HostId &Member) {
    const auto Found = Vouches_.find(Member);
    return Member == Self_ ||
           (Found != Vouches_.end() && Found->second.SentAt_ >= *RegisteredAt_);
  });
}

bool FreshnessGuard::mayCommitChange(TimePoint Now) const {
  if (LastOutageVouch_ && Now - *LastOutageVouch_ < MaxEvidenceAge)
    return false;
  return KnownToAllMembers_ || isKnownToAllMembers(Now);
}

void FreshnessGuard::noteRegistered(TimePoint Now) {
  RegisteredAt_ = Now;
  KnownToAllMembers_ = false;
}

} // namespace oleandergauge
