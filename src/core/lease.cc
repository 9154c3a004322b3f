#include "oleandergauge/lease.h"

#include <algorithm>

namespace oleandergauge {

std::string ownerKey(const PartitionId &Partition) {
  return "owner/" + Partition.str();
}

std::string leaseKey(const PartitionId &Partition) {
  return "lease/" + Partition.str();
}

PartitionLease::PartitionLease(PartitionId Partition, HostId Self,
                               std::string Address)
    : Partition_(std::move(Partition)), Self_(std::move(Self)),
      Address_(std::move(Address)) {}

bool PartitionLease::isHeld(TimePoint Now) const { return Now < heldUntil(); }

TimePoint PartitionLease::heldUntil() const {
  return Holding_ && !Releasing_ ? HeldUntil_ : TimePoint();
}

Condition PartitionLease::fence() const {
  return {ownerKey(Partition_), OwnerVersion_};
}

void PartitionLease::stopHolding() {
  Holding_ = false;
  HeldUntil_ = TimePoint();
}

void PartitionLease::noteFenced() {
  stopHolding();
  // The epoch is not resumed: the caller's state of it is not complete.
  OwnEpoch_ = 0;
  Unsettled_ = true;
  LeaseSeenAt_.reset();
}

// ------------------------------------------------------------- Requests

std::optional<TableRequest>
PartitionLease::poll(TimePoint Now, std::uint32_t Rank, bool MayTakeOver) {
  if (Pending_ != Pending::None)
    return std::nullopt;
  if (Releasing_ && !ReleaseSeenAt_)
    ReleaseSeenAt_ = Now;
  Released_ = Releasing_ && OwnEpoch_ == 0;
  if (Unsettled_ && Now >= NextPoll_)
    return sendRead(Now);
  if (Unsettled_)
    return std::nullopt;
  if (Holding_)
    return pollHolder(Now);
  if (Releasing_)
    OwnEpoch_ = 0;
  Released_ = Releasing_;
  return pollChallenger(Now, Rank, MayTakeOver && !Releasing_);
}

std::optional<TableRequest> PartitionLease::pollHolder(TimePoint Now) {
  if (Now < NextPoll_)
    return std::nullopt;
  if (!Releasing_)
    return sendRenewal(Now);
  if (Now < *ReleaseSeenAt_ + ReleaseQuietTime)
    return std::nullopt;
  return sendRelease(Now);
}

std::optional<TableRequest> PartitionLease::pollChallenger(TimePoint Now,
                                                           std::uint32_t Rank,
                                                           bool MayTakeOver) {
  const std::optional<TimePoint> Due = takeoverDue(Rank);
  if (MayTakeOver && Due && Now >= *Due)
    return sendTakeover(Now);
  if (Now >= NextPoll_)
    return sendRead(Now);
  return std::nullopt;
}

std::optional<TimePoint> PartitionLease::takeoverDue(std::uint32_t Rank) const {
  if (!LeaseSeenAt_ || !Observed_)
    return std::nullopt;
  const Duration Wait =
      Observed_->Host_.empty() ? Duration(0) : PartitionLeaseTakeover;
  const Duration RankDelay =
      Observed_->Epoch_ == 0 ? FirstTakeoverRankDelay : TakeoverRankDelay;
  return std::max(*LeaseSeenAt_ + Wait, NextTakeover_) + Rank * RankDelay;
}

TableRequest PartitionLease::sendRead(TimePoint Now) {
  Pending_ = Pending::Read;
  AskedAt_ = Now;
  return ReadKeys{{ownerKey(Partition_), leaseKey(Partition_)}};
}

TableRequest PartitionLease::sendTakeover(TimePoint Now) {
  Pending_ = Pending::TakeOver;
  AskedAt_ = Now;
  const Epoch Next = Observed_->Epoch_ + 1;
  if (OwnEpoch_ != Next) {
    OwnEpoch_ = Next;
    OwnAskedAt_ = Now;
    // The time distinguishes processes that use the same host id.
    FirstCounter_ = LastCounter_ =
        static_cast<std::uint64_t>(Now.time_since_epoch().count());
  }
  return Transaction{
      {{ownerKey(Partition_), OwnerVersion_},
       {leaseKey(Partition_), LeaseVersion_}},
      {{ownerKey(Partition_), encodeOwner({Next, Self_, Address_})},
       {leaseKey(Partition_), encodeLease({Next, FirstCounter_})}}};
}

TableRequest PartitionLease::sendRenewal(TimePoint Now) {
  Pending_ = Pending::Renew;
  AskedAt_ = Now;
  ++LastCounter_;
  return Transaction{
      {{ownerKey(Partition_), OwnerVersion_},
       {leaseKey(Partition_), LeaseVersion_}},
      {{leaseKey(Partition_), encodeLease({OwnEpoch_, LastCounter_})}}};
}

TableRequest PartitionLease::sendRelease(TimePoint Now) {
  Pending_ = Pending::Release;
  AskedAt_ = Now;
  return Transaction{
      {{ownerKey(Partition_), OwnerVersion_}},
      {{ownerKey(Partition_), encodeOwner({OwnEpoch_, HostId(), ""})}}};
}

// -------------------------------------------------------------- Answers

void PartitionLease::answered(TimePoint Now, const TableReply &Reply) {
  const Pending Request = Pending_;
  Pending_ = Pending::None;
  if (Request == Pending::None)
    return;
  const bool IsRead = Request == Pending::Read;
  if (const auto *Read = std::get_if<Rows>(&Reply); Read && IsRead)
    return noteRows(Now, *Read);
  if (const auto *Commit = std::get_if<Committed>(&Reply); Commit && !IsRead)
    return noteCommitted(Request, *Commit);
  if (std::holds_alternative<Conflicted>(Reply) && !IsRead)
    return noteConflict(Now);
  noteFailure(Now, !IsRead && !std::holds_alternative<TableUnavailable>(Reply));
}

void PartitionLease::noteRows(TimePoint Now, const Rows &Read) {
  Row Owner;
  Row Lease;
  for (const Row &Present : Read.Rows_) {
    if (Present.Key_ == ownerKey(Partition_))
      Owner = Present;
    if (Present.Key_ == leaseKey(Partition_))
      Lease = Present;
  }
  // The moment of the answer counts: the row may have been written after the
  // read was sent, but not after its answer.
  if (!LeaseSeenAt_ || Lease.Version_ != LeaseVersion_ ||
      Owner.Version_ != OwnerVersion_)
    LeaseSeenAt_ = Now;
  OwnerVersion_ = Owner.Version_;
  LeaseVersion_ = Lease.Version_;
  Unsettled_ = false;
  NextPoll_ = Now + PartitionLeaseRenewal;
  Observed_ =
      Owner.Version_ == 0 ? PartitionOwner() : decodeOwner(Owner.Value_);
  const std::optional<LeaseRow> LeaseValue = decodeLease(Lease.Value_);
  if (Observed_ && LeaseValue && isOwn(*Observed_, *LeaseValue))
    return noteOwn(*Observed_, *LeaseValue);
  stopHolding();
}

bool PartitionLease::isOwn(const PartitionOwner &Owner,
                           const LeaseRow &Lease) const {
  return OwnEpoch_ != 0 && Owner.Host_ == Self_ && Owner.Epoch_ == OwnEpoch_ &&
         Lease.Epoch_ == OwnEpoch_ && Lease.Counter_ >= FirstCounter_ &&
         Lease.Counter_ <= LastCounter_;
}

void PartitionLease::noteOwn(const PartitionOwner &Owner,
                             const LeaseRow &Lease) {
  // A takeover counts from its first attempt, since any of them may be the
  // one that took effect. A renewal that is found here extends nothing.
  if (Epoch_ != Owner.Epoch_ && Lease.Counter_ == FirstCounter_)
    HeldUntil_ = OwnAskedAt_ + PartitionLeaseLength - PartitionLeaseMargin;
  Epoch_ = Owner.Epoch_;
  Holding_ = true;
  NextPoll_ = TimePoint();
}

void PartitionLease::noteCommitted(Pending Request, const Committed &Reply) {
  if (Request == Pending::Release) {
    stopHolding();
    OwnEpoch_ = 0;
    Released_ = true;
    Unsettled_ = true;
    return;
  }
  const bool TakenOver = Request == Pending::TakeOver;
  if (Reply.Versions_.size() != (TakenOver ? 2U : 1U)) {
    Unsettled_ = true;
    return;
  }
  if (TakenOver) {
    OwnerVersion_ = Reply.Versions_.front();
    Observed_ = PartitionOwner{OwnEpoch_, Self_, Address_};
    Epoch_ = OwnEpoch_;
  }
  LeaseVersion_ = Reply.Versions_.back();
  Holding_ = true;
  HeldUntil_ = AskedAt_ + PartitionLeaseLength - PartitionLeaseMargin;
  NextPoll_ = AskedAt_ + PartitionLeaseRenewal;
}

void PartitionLease::noteConflict(TimePoint Now) {
  // The rows are read before anything else. They may show that an own late
  // renewal caused the conflict; then the lease is renewed.
  stopHolding();
  Unsettled_ = true;
  NextPoll_ = Now;
}

void PartitionLease::noteFailure(TimePoint Now, bool Unknown) {
  NextPoll_ = Unknown ? Now : Now + PartitionLeaseRetry;
  NextTakeover_ = Now + TakeoverOutageDelay;
  Unsettled_ = Unsettled_ || Unknown;
}

} // namespace oleandergauge
