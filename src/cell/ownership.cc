#include "cell/ownership.h"

namespace oleandergauge::cell {
namespace {

/// Time without a change of the owner's row after which others take over: two
/// heartbeat intervals of the owner.
constexpr Millis TakeoverSilence = 800;
/// The same time if the connection to the owner's process was lost.
constexpr Millis TakeoverSilenceLinkLost = 500;
/// Longest time between reads that still count as continuous observation.
constexpr Millis MaxReadGap = 1000;
/// Extra delay of a weak host, which lets stronger hosts go first. It is longer
/// than their spread and the transaction of a takeover.
constexpr Millis OutrankedDelay = 600;

} // namespace

TakeoverPolicy::TakeoverPolicy(std::string Self, Millis Spread)
    : Self_(std::move(Self)), Spread_(Spread) {}

void TakeoverPolicy::observe(Millis Now, const StoredOwner &Seen) {
  const bool Gap = LastReadAt_ < 0 || Now - LastReadAt_ > MaxReadGap;
  if (Gap || Seen.Version_ != LastObserved_.Version_) {
    UnchangedSince_ = Now;
    LinkLost_ = false;
  }
  if (Seen.Row_.Epoch_ != GoneEpoch_)
    GoneSince_.reset();
  LastObserved_ = Seen;
  LastReadAt_ = Now;
  ReadSinceGone_ = true;
}

void TakeoverPolicy::ownerGone(Millis Now, Epoch Gone) {
  if (!GoneSince_)
    GoneSince_ = Now;
  GoneEpoch_ = Gone;
  ReadSinceGone_ = false;
}

bool TakeoverPolicy::mayTakeOver(Millis Now) const {
  if (LastReadAt_ < 0 || Now - LastReadAt_ > MaxReadGap)
    return false;
  // The row names an earlier process of this host, which has certainly ended.
  if (LastObserved_.Version_ != 0 && LastObserved_.Row_.Host_ == Self_ &&
      LastObserved_.Row_.Epoch_ != ReleasedEpoch_)
    return true;
  const Millis OutrankedWait = Outranked_ ? OutrankedDelay : 0;
  const Millis Delay = Preferred_ ? 0 : Spread_ + OutrankedWait;
  if (LastObserved_.Version_ == 0 || LastObserved_.Row_.Released_)
    return Now - UnchangedSince_ >= Delay;
  if (GoneSince_)
    return ReadSinceGone_ && Now - *GoneSince_ >= Delay;
  if (OwnerHealthy_)
    return false;
  const Millis Limit = LinkLost_ ? TakeoverSilenceLinkLost : TakeoverSilence;
  return Now - UnchangedSince_ >= Limit + Delay;
}

void TakeoverPolicy::restart(Millis Now) {
  UnchangedSince_ = Now;
  GoneSince_.reset();
}

OwnerTransactions::Verdict
OwnerTransactions::settle(TransactionResult Result, std::uint64_t NewVersion,
                          const StoredOwner &Present) {
  switch (Result) {
  case TransactionResult::Done:
    Version_ = NewVersion;
    ++Row_.Sequence_;
    FirstAbandoned_.reset();
    return Verdict::Committed;
  case TransactionResult::Refused:
  case TransactionResult::Unknown:
    return Verdict::Retry;
  case TransactionResult::Rejected:
    // The next transaction differs, so that a late copy of this one must not
    // be taken for it.
    if (!FirstAbandoned_)
      FirstAbandoned_ = Row_.Sequence_;
    ++Row_.Sequence_;
    return Verdict::Abandoned;
  case TransactionResult::Conflict:
    break;
  }
  const OwnerRow &PresentRow = Present.Row_;
  if (Present.Version_ == 0 || PresentRow.Epoch_ != Row_.Epoch_ ||
      PresentRow.Host_ != Row_.Host_)
    return Verdict::Deposed;
  Version_ = Present.Version_;
  if (PresentRow.Sequence_ == Row_.Sequence_) {
    // An earlier copy of this transaction was stored, but its answer was lost.
    ++Row_.Sequence_;
    FirstAbandoned_.reset();
    return Verdict::Committed;
  }
  if (FirstAbandoned_ && PresentRow.Sequence_ >= *FirstAbandoned_)
    return Verdict::Diverged;
  return Verdict::Retry;
}

} // namespace oleandergauge::cell
