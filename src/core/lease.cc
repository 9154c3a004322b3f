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
  // The epoch is not resumed, since the caller's state of it is incomplete.
  OwnEpoch_ = 0;
  ReadRequired_ = true;
  LastChangeSeenAt_.reset();
}

// ------------------------------------------------------------- Requests

std::optional<TableRequest>
PartitionLease::poll(TimePoint Now, std::uint32_t Rank, bool MayTakeOver) {
  if (Pending_ != Pending::None)
    return std::nullopt;
  if (Releasing_ && !ReleaseRequestedAt_)
    ReleaseRequestedAt_ = Now;
  Released_ = Releasing_ && OwnEpoch_ == 0;
  if (ReadRequired_ && Now >= NextPoll_)
    return sendRead(Now);
  if (ReadRequired_)
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
  if (Now < *ReleaseRequestedAt_ + OwnerReleaseDelay)
    return std::nullopt;
  return sendRelease(Now);
}

std::optional<TableRequest> PartitionLease::pollChallenger(TimePoint Now,
                                                           std::uint32_t Rank,
                                                           bool MayTakeOver) {
  const std::optional<TimePoint> Due = takeoverDueAt(Rank);
  if (MayTakeOver && Due && Now >= *Due)
    return sendTakeover(Now);
  if (Now >= NextPoll_)
    return sendRead(Now);
  return std::nullopt;
}

std::optional<TimePoint>
PartitionLease::takeoverDueAt(std::uint32_t Rank) const {
  if (!LastChangeSeenAt_ || !ObservedOwner_)
    return std::nullopt;
  const Duration Wait =
      ObservedOwner_->Host_.empty() ? Duration(0) : PartitionTakeoverDelay;
  const Duration RankDelay = ObservedOwner_->Epoch_ == 0
                                 ? InitialTakeoverRankDelay
                                 : TakeoverRankDelay;
  return std::max(*LastChangeSeenAt_ + Wait, NextTakeover_) + Rank * RankDelay;
}

TableRequest PartitionLease::sendRead(TimePoint Now) {
  Pending_ = Pending::Read;
  RequestSentAt_ = Now;
  return ReadKeys{{ownerKey(Partition_), leaseKey(Partition_)}};
}

TableRequest PartitionLease::sendTakeover(TimePoint Now) {
  Pending_ = Pending::TakeOver;
  RequestSentAt_ = Now;
  const Epoch Next = ObservedOwner_->Epoch_ + 1;
  if (OwnEpoch_ != Next) {
    OwnEpoch_ = Next;
    TakeoverFirstSentAt_ = Now;
    // Starting from the current time distinguishes this process from earlier
    // ones with the same host id.
    FirstOwnCounter_ = LastOwnCounter_ =
        static_cast<std::uint64_t>(Now.time_since_epoch().count());
  }
  return Transaction{
      {{ownerKey(Partition_), OwnerVersion_},
       {leaseKey(Partition_), LeaseVersion_}},
      {{ownerKey(Partition_), encodeOwner({Next, Self_, Address_})},
       {leaseKey(Partition_), encodeLease({Next, FirstOwnCounter_})}}};
}

TableRequest PartitionLease::sendRenewal(TimePoint Now) {
  Pending_ = Pending::Renew;
  RequestSentAt_ = Now;
  ++LastOwnCounter_;
  return Transaction{
      {{ownerKey(Partition_), OwnerVersion_},
       {leaseKey(Partition_), LeaseVersion_}},
      {{leaseKey(Partition_), encodeLease({OwnEpoch_, LastOwnCounter_})}}};
}

TableRequest PartitionLease::sendRelease(TimePoint Now) {
  Pending_ = Pending::Release;
  RequestSentAt_ = Now;
  return Transaction{
      {{ownerKey(Partition_), OwnerVersion_}},
      {{ownerKey(Partition_), encodeOwner({OwnEpoch_, HostId(), ""})}}};
}

// -------------------------------------------------------------- Replies

void PartitionLease::answered(TimePoint Now, const TableReply &Reply) {
  const Pending Request = Pending_;
  Pending_ = Pending::None;
  if (Request == Pending::None)
    return;
  const bool IsRead = Request == Pending::Read;
  if (const auto *Read = std::get_if<Rows>(&Reply); Read && IsRead)
    return applyRows(Now, *Read);
  if (const auto *Commit = std::get_if<Committed>(&Reply); Commit && !IsRead)
    return handleCommitted(Request, *Commit);
  if (std::holds_alternative<Conflicted>(Reply) && !IsRead)
    return handleConflict(Now);
  handleFailure(Now,
                !IsRead && !std::holds_alternative<TableUnavailable>(Reply));
}

void PartitionLease::applyRows(TimePoint Now, const Rows &Read) {
  Row Owner;
  Row Lease;
  for (const Row &Present : Read.Rows_) {
    if (Present.Key_ == ownerKey(Partition_))
      Owner = Present;
    if (Present.Key_ == leaseKey(Partition_))
      Lease = Present;
  }
  // The time of the reply counts, since the row may have been written after the
  // read was sent but not after the reply arrived.
  if (!LastChangeSeenAt_ || Lease.Version_ != LeaseVersion_ ||
      Owner.Version_ != OwnerVersion_)
    LastChangeSeenAt_ = Now;
  OwnerVersion_ = Owner.Version_;
  LeaseVersion_ = Lease.Version_;
  ReadRequired_ = false;
  NextPoll_ = Now + PartitionLeaseRenewalInterval;
  ObservedOwner_ =
      Owner.Version_ == 0 ? PartitionOwner() : decodeOwner(Owner.Value_);
  const std::optional<LeaseRow> LeaseValue = decodeLease(Lease.Value_);
  if (ObservedOwner_ && LeaseValue && isOwnWrite(*ObservedOwner_, *LeaseValue))
    return resumeOwnLease(*ObservedOwner_, *LeaseValue);
  stopHolding();
}

bool PartitionLease::isOwnWrite(const PartitionOwner &Owner,
                                const LeaseRow &Lease) const {
  return OwnEpoch_ != 0 && Owner.Host_ == Self_ && Owner.Epoch_ == OwnEpoch_ &&
         Lease.Epoch_ == OwnEpoch_ && Lease.Counter_ >= FirstOwnCounter_ &&
         Lease.Counter_ <= LastOwnCounter_;
}

void PartitionLease::resumeOwnLease(const PartitionOwner &Owner,
                                    const LeaseRow &Lease) {
  // After a takeover the lease counts from the first attempt, since any of the
  // attempts may be the one that took effect. A renewal found by a read does
  // not extend the lease.
  if (Epoch_ != Owner.Epoch_ && Lease.Counter_ == FirstOwnCounter_)
    HeldUntil_ = TakeoverFirstSentAt_ + PartitionLeaseDuration -
                 PartitionLeaseSafetyMargin;
  Epoch_ = Owner.Epoch_;
  Holding_ = true;
  NextPoll_ = TimePoint();
}

void PartitionLease::handleCommitted(Pending Request, const Committed &Reply) {
  if (Request == Pending::Release) {
    stopHolding();
    OwnEpoch_ = 0;
    Released_ = true;
    ReadRequired_ = true;
    return;
  }
  const bool TakenOver = Request == Pending::TakeOver;
  if (Reply.Versions_.size() != (TakenOver ? 2U : 1U)) {
    ReadRequired_ = true;
    return;
  }
  if (TakenOver) {
    OwnerVersion_ = Reply.Versions_.front();
    ObservedOwner_ = PartitionOwner{OwnEpoch_, Self_, Address_};
    Epoch_ = OwnEpoch_;
  }
  LeaseVersion_ = Reply.Versions_.back();
  Holding_ = true;
  HeldUntil_ =
      RequestSentAt_ + PartitionLeaseDuration - PartitionLeaseSafetyMargin;
  NextPoll_ = RequestSentAt_ + PartitionLeaseRenewalInterval;
}

void PartitionLease::handleConflict(TimePoint Now) {
  // The rows are read before anything else. If they show that a late renewal of
  // this host caused the conflict, the lease is renewed.
  stopHolding();
  ReadRequired_ = true;
  NextPoll_ = Now;
}

void PartitionLease::handleFailure(TimePoint Now, bool MayHaveCommitted) {
  NextPoll_ = MayHaveCommitted ? Now : Now + PartitionLeaseRetryDelay;
  NextTakeover_ = Now + TakeoverDelayAfterFailure;
  ReadRequired_ = ReadRequired_ || MayHaveCommitted;
}

} // namespace oleandergauge
