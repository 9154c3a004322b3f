#include "oleandergauge/allotment.h"

#include <algorithm>
#include <utility>

#include "oleandergauge/config.h"

namespace oleandergauge {
namespace {

std::uint64_t grantSumOf(const AllotmentRow &Row) {
  std::uint64_t Sum = 0;
  for (const auto &[Partition, Grant] : Row.Grants_)
    Sum += Grant;
  return Sum;
}

std::uint32_t grantStepOf(std::uint32_t Limit) {
  return std::max<std::uint32_t>(1, Limit / AllotmentStepDivisor);
}

} // namespace

std::string allotmentKey(const TeamId &Team) {
  return "allotment/" + Team.str();
}

Allotments::Allotments(PartitionId Self) : Self_(std::move(Self)) {}

void Allotments::open(const Condition &Fence) {
  Fence_ = Fence;
  Open_ = true;
  Fenced_ = false;
  Pending_ = Pending::None;
  for (auto &[Id, State] : Teams_) {
    const std::uint32_t Limit = State.Limit_;
    const std::uint32_t FormerLimit = State.FormerLimit_;
    State = TeamState();
    State.Limit_ = Limit;
    State.FormerLimit_ = FormerLimit;
  }
}

void Allotments::setLimits(const std::map<TeamId, std::uint32_t> &Limits) {
  std::map<TeamId, std::uint32_t> FormerLimits;
  for (auto &[Id, State] : Teams_)
    FormerLimits[Id] = std::exchange(State.Limit_, 0);
  for (const auto &[Id, Limit] : Limits)
    Teams_[Id].Limit_ = Limit;
  for (const auto &[Id, Limit] : FormerLimits) {
    TeamState &State = Teams_[Id];
    if (Limit <= State.Limit_)
      continue;
    State.FormerLimit_ = std::max(State.FormerLimit_, Limit);
    State.ReadsCompleteFrom_.reset();
  }
}

void Allotments::setDemand(const TeamId &Team, std::uint32_t Waiting) {
  Teams_[Team].WaitingTasks_ = Waiting;
}

void Allotments::noteStarted(const TeamId &Team) {
  ++Teams_[Team].RunningTasks_;
}

void Allotments::noteEnded(const TeamId &Team) {
  std::uint32_t &Running = Teams_[Team].RunningTasks_;
  Running -= Running > 0 ? 1 : 0;
}

// --------------------------------------------------- Grants and limits

std::uint32_t Allotments::ownGrantIn(const AllotmentRow &Row) const {
  const auto Found = Row.Grants_.find(Self_);
  return Found == Row.Grants_.end() ? 0 : Found->second;
}

std::uint32_t Allotments::usableGrantOf(const TeamState &State) const {
  if (!State.RowRead_)
    return 0;
  const std::uint32_t Grant = ownGrantIn(State.Row_);
  return State.UncertainWrite_ ? std::min(Grant, State.UncertainWrite_->Grant_)
                               : Grant;
}

std::uint32_t Allotments::proportionalPartOf(const TeamState &State) const {
  const std::uint64_t Sum = grantSumOf(State.Row_);
  const std::uint32_t Usable = usableGrantOf(State);
  if (Sum <= State.Limit_)
    return Usable;
  const std::uint64_t ProportionalPart =
      std::uint64_t(State.Limit_) * ownGrantIn(State.Row_) / Sum;
  return std::min(Usable, static_cast<std::uint32_t>(ProportionalPart));
}

/// Under a lowered limit, a partition may start tasks only in what the tasks
/// that other partitions may still run leave of the limit: an owner that cannot
/// reach the table can neither end its excess nor see what was granted.
std::uint32_t Allotments::startableTasksOf(const TeamState &State) const {
  const std::uint64_t Granted =
      std::max<std::uint64_t>(grantSumOf(State.Row_), State.FormerLimit_);
  const std::uint64_t Others = Granted - ownGrantIn(State.Row_);
  if (Others >= State.Limit_)
    return 0;
  return std::min(usableGrantOf(State),
                  static_cast<std::uint32_t>(State.Limit_ - Others));
}

std::uint32_t Allotments::headroomOf(const TeamId &Id) const {
  const auto Found = Teams_.find(Id);
  if (!Open_ || Found == Teams_.end())
    return 0;
  const std::uint32_t Startable = startableTasksOf(Found->second);
  return Startable - std::min(Startable, Found->second.RunningTasks_);
}

bool Allotments::mayRunStartedTasks(const TeamId &Id) const {
  const auto Found = Teams_.find(Id);
  return Open_ && Found != Teams_.end() &&
         Found->second.RunningTasks_ <= startableTasksOf(Found->second);
}

std::uint32_t Allotments::grantOf(const TeamId &Id) const {
  const auto Found = Teams_.find(Id);
  return Found == Teams_.end() ? 0 : usableGrantOf(Found->second);
}

std::uint32_t Allotments::runningOf(const TeamId &Id) const {
  const auto Found = Teams_.find(Id);
  return Found == Teams_.end() ? 0 : Found->second.RunningTasks_;
}

std::uint32_t Allotments::excessOf(const TeamId &Id) const {
  const auto Found = Teams_.find(Id);
  if (Found == Teams_.end())
    return 0;
  const TeamState &State = Found->second;
  // Before the first read, the partition's part of the limit is unknown unless
  // the limit is zero.
  if (!State.RowRead_ && State.Limit_ > 0)
    return 0;
  const std::uint32_t Part = proportionalPartOf(State);
  return State.RunningTasks_ - std::min(Part, State.RunningTasks_);
}

std::vector<Excess> Allotments::excess() const {
  std::vector<Excess> Result;
  for (const auto &[Id, State] : Teams_)
    if (const std::uint32_t Count = excessOf(Id))
      Result.push_back({Id, Count});
  return Result;
}

bool Allotments::othersWant(const AllotmentRow &Row) const {
  return Row.Wanting_.size() > Row.Wanting_.count(Self_);
}

std::uint32_t Allotments::targetGrantOf(const TeamState &State) const {
  const std::uint32_t Grant = ownGrantIn(State.Row_);
  const std::uint64_t Sum = grantSumOf(State.Row_);
  // The grant must cover the running tasks, so it is lowered only after tasks
  // have ended.
  if (Sum > State.Limit_)
    return std::min(Grant,
                    std::max(proportionalPartOf(State), State.RunningTasks_));
  const std::uint64_t Need =
      std::uint64_t(State.RunningTasks_) + State.WaitingTasks_;
  const bool Contended = othersWant(State.Row_);
  if (Need <= Grant)
    return Contended ? static_cast<std::uint32_t>(Need) : Grant;
  const std::uint64_t Step = Contended ? 1 : grantStepOf(State.Limit_);
  const std::uint64_t Missing = (Need - Grant + Step - 1) / Step * Step;
  const std::uint64_t Free = State.Limit_ - Sum;
  return Grant + static_cast<std::uint32_t>(std::min(Missing, Free));
}

std::optional<AllotmentRow>
Allotments::wantedRow(const TeamState &State) const {
  AllotmentRow Wanted = State.Row_;
  const std::uint32_t Target = targetGrantOf(State);
  const std::uint64_t Need =
      std::uint64_t(State.RunningTasks_) + State.WaitingTasks_;
  Wanted.Grants_[Self_] = Target;
  if (Target == 0)
    Wanted.Grants_.erase(Self_);
  if (Need > Target && State.Limit_ > 0)
    Wanted.Wanting_.insert(Self_);
  else
    Wanted.Wanting_.erase(Self_);
  // If the outcome of a write that lowered the grant is unknown and the grant
  // is needed again, another write makes the grant certain.
  const bool MustConfirm = State.UncertainWrite_ && Need > usableGrantOf(State);
  if (Wanted == State.Row_ && !MustConfirm)
    return std::nullopt;
  Wanted.Limit_ = State.Limit_;
  return Wanted;
}

// ------------------------------------------------------------- Requests

std::optional<TableRequest> Allotments::poll(TimePoint Now,
                                             TimePoint ValidUntil) {
  if (!Open_ || Pending_ != Pending::None || Now >= ValidUntil)
    return std::nullopt;
  if (std::optional<TableRequest> Request = pollWrite(Now))
    return Request;
  return pollRead(Now);
}

std::optional<TableRequest> Allotments::pollWrite(TimePoint Now) {
  const auto First = Teams_.upper_bound(PendingTeam_);
  const auto PrepareWrite = [&](auto &Entry) -> std::optional<TableRequest> {
    TeamState &State = Entry.second;
    if (!State.RowCurrent_ || Now < State.NextWrite_)
      return std::nullopt;
    const std::optional<AllotmentRow> Wanted = wantedRow(State);
    if (!Wanted)
      return std::nullopt;
    Pending_ = Pending::Write;
    PendingTeam_ = Entry.first;
    PendingRow_ = *Wanted;
    UncertainBeforePending_ = State.UncertainWrite_;
    // A returned grant is not used from here on, since the write may take
    // effect at any time.
    State.UncertainWrite_ = UncertainWrite{
        State.Version_, std::min(usableGrantOf(State), ownGrantIn(*Wanted))};
    const std::string Key = allotmentKey(Entry.first);
    return Transaction{{Fence_, {Key, State.Version_}},
                       {{Key, encodeAllotment(*Wanted)}}};
  };
  for (auto It = First; It != Teams_.end(); ++It)
    if (std::optional<TableRequest> Request = PrepareWrite(*It))
      return Request;
  for (auto It = Teams_.begin(); It != First; ++It)
    if (std::optional<TableRequest> Request = PrepareWrite(*It))
      return Request;
  return std::nullopt;
}

bool Allotments::isReadDue(TimePoint Now, const TeamState &State) const {
  if (Now < State.NextRead_)
    return false;
  const bool TeamActive = usableGrantOf(State) > 0 || State.WaitingTasks_ > 0 ||
                          State.RunningTasks_ > 0 || State.UncertainWrite_;
  return !State.RowCurrent_ || TeamActive;
}

std::optional<TableRequest> Allotments::pollRead(TimePoint Now) {
  PendingReads_.clear();
  ReadKeys Request;
  for (const auto &[Id, State] : Teams_) {
    if (!isReadDue(Now, State))
      continue;
    PendingReads_.push_back(Id);
    Request.Keys_.push_back(allotmentKey(Id));
  }
  if (PendingReads_.empty())
    return std::nullopt;
  Pending_ = Pending::Read;
  return Request;
}

// -------------------------------------------------------------- Replies

void Allotments::answered(TimePoint Now, const TableReply &Reply) {
  const Pending Request = Pending_;
  Pending_ = Pending::None;
  if (Request == Pending::Read)
    handleReadReply(Now, Reply);
  if (Request == Pending::Write)
    handleWriteReply(Now, Reply);
}

void Allotments::handleReadReply(TimePoint Now, const TableReply &Reply) {
  const auto *Read = std::get_if<Rows>(&Reply);
  for (const TeamId &Id : PendingReads_) {
    TeamState &State = Teams_[Id];
    if (!Read) {
      State.NextRead_ = Now + AllotmentRetryDelay;
      continue;
    }
    Row Found{allotmentKey(Id), "", 0};
    for (const Row &Present : Read->Rows_)
      if (Present.Key_ == Found.Key_)
        Found = Present;
    applyRow(Now, State, Found);
  }
}

void Allotments::applyRow(TimePoint Now, TeamState &State, const Row &Read) {
  const std::optional<AllotmentRow> Decoded = decodeAllotment(Read.Value_);
  State.NextRead_ = Now + AllotmentRefreshInterval;
  if (!Decoded)
    return;
  // The row has changed, so a write that was conditional on the old version
  // cannot take effect any more.
  if (State.UncertainWrite_ && State.UncertainWrite_->Version_ != Read.Version_)
    State.UncertainWrite_.reset();
  State.Row_ = *Decoded;
  State.Version_ = Read.Version_;
  State.RowRead_ = true;
  State.RowCurrent_ = true;
  if (!State.ReadsCompleteFrom_)
    State.ReadsCompleteFrom_ = Now + MaxEvidenceAge;
  else if (Now >= *State.ReadsCompleteFrom_)
    State.FormerLimit_ = 0;
  if (State.Row_.Wanting_.contains(Self_))
    State.NextRead_ = Now + AllotmentWantingRefreshInterval;
}

void Allotments::handleWriteReply(TimePoint Now, const TableReply &Reply) {
  TeamState &State = Teams_[PendingTeam_];
  const auto *Commit = std::get_if<Committed>(&Reply);
  if (Commit && Commit->Versions_.size() == 1) {
    State.Row_ = PendingRow_;
    State.Version_ = Commit->Versions_.front();
    State.UncertainWrite_.reset();
    State.NextWrite_ = Now + MinAllotmentWriteInterval;
    if (State.Row_.Wanting_.contains(Self_))
      State.NextRead_ = Now + AllotmentWantingRefreshInterval;
    return;
  }
  if (const auto *Conflict = std::get_if<Conflicted>(&Reply))
    return handleConflict(State, *Conflict);
  if (std::holds_alternative<TableUnavailable>(Reply)) {
    State.UncertainWrite_ = UncertainBeforePending_;
    State.NextWrite_ = Now + AllotmentRetryDelay;
    return;
  }
  State.RowCurrent_ = false;
  State.NextRead_ = Now;
}

void Allotments::handleConflict(TeamState &State, const Conflicted &Conflict) {
  for (const Row &Present : Conflict.Rows_)
    if (Present.Key_ == Fence_.Key_ && Present.Version_ != Fence_.Version_) {
      Open_ = false;
      Fenced_ = true;
    }
  State.RowCurrent_ = false;
  State.NextRead_ = TimePoint();
}

} // namespace oleandergauge
