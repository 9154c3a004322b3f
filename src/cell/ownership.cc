#include "cell/ownership.h"

namespace oleandergauge::cell {
namespace {

/// Silence of an owner after which others take over: two of its pauses between
/// writes.
constexpr Millis TakeoverSilence = 800;
/// The same where the owner's process is known to be gone.
constexpr Millis TakeoverSilenceLinkLost = 500;
constexpr Millis MaxReadGap = 1000;
/// Time that a weak host leaves to stronger ones: longer than their spread and
/// a takeover's transaction.
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
  // The row is of a former life of this host, which is certainly over.
  if (LastObserved_.Version_ != 0 && LastObserved_.Row_.Host_ == Self_ &&
      LastObserved_.Row_.Epoch_ != ReleasedEpoch_)
    return true;
  const Millis Rank = Outranked_ ? OutrankedDelay : 0;
  const Millis Delay = Preferred_ ? 0 : Spread_ + Rank;
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
    return Verdict::Committed;
  case TransactionResult::Refused:
  case TransactionResult::Unknown:
    return Verdict::Retry;
  case TransactionResult::Conflict:
    break;
  }
  const OwnerRow &There = Present.Row_;
  if (Present.Version_ == 0 || There.Epoch_ != Row_.Epoch_ ||
      There.Host_ != Row_.Host_)
    return Verdict::Deposed;
  Version_ = Present.Version_;
  if (There.Sequence_ == Row_.Sequence_) {
    // An earlier copy of this transaction was done without an answer.
    ++Row_.Sequence_;
    return Verdict::Committed;
  }
  return Verdict::Retry;
}

} // namespace oleandergauge::cell
