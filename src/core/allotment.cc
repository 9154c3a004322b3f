#include "oleandergauge/allotment.h"

#include <algorithm>
#include <utility>

#include "oleandergauge/config.h"

namespace oleandergauge {
namespace {

std::uint64_t sumOf(const AllotmentRow &Row) {
  std::uint64_t Sum = 0;
  for (const auto &[Partition, Grant] : Row.Grants_)
    Sum += Grant;
  return Sum;
}

std::uint32_t stepOf(std::uint32_t Limit) {
  return std::max<std::uint32_t>(1, Limit / AllotmentStepFraction);
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
    const std::uint32_t Ceiling = State.Ceiling_;
    State = Team();
    State.Limit_ = Limit;
    State.Ceiling_ = Ceiling;
  }
}

void Allotments::setLimits(const std::map<TeamId, std::uint32_t> &Limits) {
  std::map<TeamId, std::uint32_t> Former;
  for (auto &[Id, State] : Teams_)
    Former[Id] = std::exchange(State.Limit_, 0);
  for (const auto &[Id, Limit] : Limits)
    Teams_[Id].Limit_ = Limit;
  for (const auto &[Id, Limit] : Former) {
    Team &State = Teams_[Id];
    if (Limit <= State.Limit_)
      continue;
    State.Ceiling_ = std::max(State.Ceiling_, Limit);
    State.TrustedFrom_.reset();
  }
}

void Allotments::setDemand(const TeamId &Team, std::uint32_t Waiting) {
  Teams_[Team].Demand_ = Waiting;
}

void Allotments::noteStarted(const TeamId &Team) { ++Teams_[Team].Running_; }

void Allotments::noteEnded(const TeamId &Team) {
  std::uint32_t &Running = Teams_[Team].Running_;
  Running -= Running > 0 ? 1 : 0;
}

// -------------------------------------------------------------- Amounts

std::uint32_t Allotments::rowGrantOf(const AllotmentRow &Row) const {
  const auto Found = Row.Grants_.find(Self_);
  return Found == Row.Grants_.end() ? 0 : Found->second;
}

std::uint32_t Allotments::usableOf(const Team &State) const {
  if (!State.Known_)
    return 0;
  const std::uint32_t Grant = rowGrantOf(State.Row_);
  return State.Unsettled_ ? std::min(Grant, State.Unsettled_->Grant_) : Grant;
}

std::uint32_t Allotments::partOf(const Team &State) const {
  const std::uint64_t Sum = sumOf(State.Row_);
  const std::uint32_t Usable = usableOf(State);
  if (Sum <= State.Limit_)
    return Usable;
  const std::uint64_t Part =
      std::uint64_t(State.Limit_) * rowGrantOf(State.Row_) / Sum;
  return std::min(Usable, static_cast<std::uint32_t>(Part));
}

/// A lowered limit leaves room only beside all that others may still run: an
/// owner without the table can neither end its excess nor see what was granted.
std::uint32_t Allotments::startableOf(const Team &State) const {
  const std::uint64_t Granted =
      std::max<std::uint64_t>(sumOf(State.Row_), State.Ceiling_);
  const std::uint64_t Others = Granted - rowGrantOf(State.Row_);
  if (Others >= State.Limit_)
    return 0;
  return std::min(usableOf(State),
                  static_cast<std::uint32_t>(State.Limit_ - Others));
}

std::uint32_t Allotments::headroomOf(const TeamId &Id) const {
  const auto Found = Teams_.find(Id);
  if (!Open_ || Found == Teams_.end())
    return 0;
  const std::uint32_t Most = startableOf(Found->second);
  return Most - std::min(Most, Found->second.Running_);
}

bool Allotments::mayRunStartedTasks(const TeamId &Id) const {
  const auto Found = Teams_.find(Id);
  return Open_ && Found != Teams_.end() &&
         Found->second.Running_ <= startableOf(Found->second);
}

std::uint32_t Allotments::grantOf(const TeamId &Id) const {
  const auto Found = Teams_.find(Id);
  return Found == Teams_.end() ? 0 : usableOf(Found->second);
}

std::uint32_t Allotments::runningOf(const TeamId &Id) const {
  const auto Found = Teams_.find(Id);
  return Found == Teams_.end() ? 0 : Found->second.Running_;
}

std::uint32_t Allotments::excessOf(const TeamId &Id) const {
  const auto Found = Teams_.find(Id);
  if (Found == Teams_.end())
    return 0;
  const Team &State = Found->second;
  // Before the first read nothing is known but that a limit of 0 is 0.
  if (!State.Known_ && State.Limit_ > 0)
    return 0;
  const std::uint32_t Part = partOf(State);
  return State.Running_ - std::min(Part, State.Running_);
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

std::uint32_t Allotments::targetOf(const Team &State) const {
  const std::uint32_t Grant = rowGrantOf(State.Row_);
  const std::uint64_t Sum = sumOf(State.Row_);
  // What runs stays covered: a grant falls only after the tasks have ended.
  if (Sum > State.Limit_)
    return std::min(Grant, std::max(partOf(State), State.Running_));
  const std::uint64_t Need = std::uint64_t(State.Running_) + State.Demand_;
  const bool Contended = othersWant(State.Row_);
  if (Need <= Grant)
    return Contended ? static_cast<std::uint32_t>(Need) : Grant;
  const std::uint64_t Step = Contended ? 1 : stepOf(State.Limit_);
  const std::uint64_t Missing = (Need - Grant + Step - 1) / Step * Step;
  const std::uint64_t Free = State.Limit_ - Sum;
  return Grant + static_cast<std::uint32_t>(std::min(Missing, Free));
}

std::optional<AllotmentRow> Allotments::wantedRow(const Team &State) const {
  AllotmentRow Wanted = State.Row_;
  const std::uint32_t Target = targetOf(State);
  const std::uint64_t Need = std::uint64_t(State.Running_) + State.Demand_;
  Wanted.Grants_[Self_] = Target;
  if (Target == 0)
    Wanted.Grants_.erase(Self_);
  if (Need > Target && State.Limit_ > 0)
    Wanted.Wanting_.insert(Self_);
  else
    Wanted.Wanting_.erase(Self_);
  // A write that lowered the grant without a known outcome is made certain
  // by a further one where the grant is needed again.
  const bool Settles = State.Unsettled_ && Need > usableOf(State);
  if (Wanted == State.Row_ && !Settles)
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
  const auto Send = [&](auto &Entry) -> std::optional<TableRequest> {
    Team &State = Entry.second;
    if (!State.Fresh_ || Now < State.NextWrite_)
      return std::nullopt;
    const std::optional<AllotmentRow> Wanted = wantedRow(State);
    if (!Wanted)
      return std::nullopt;
    Pending_ = Pending::Write;
    PendingTeam_ = Entry.first;
    PendingRow_ = *Wanted;
    BeforePending_ = State.Unsettled_;
    // A grant that is given back is not used from here on.
    State.Unsettled_ = Unsettled{
        State.Version_, std::min(usableOf(State), rowGrantOf(*Wanted))};
    const std::string Key = allotmentKey(Entry.first);
    return Transaction{{Fence_, {Key, State.Version_}},
                       {{Key, encodeAllotment(*Wanted)}}};
  };
  for (auto It = First; It != Teams_.end(); ++It)
    if (std::optional<TableRequest> Request = Send(*It))
      return Request;
  for (auto It = Teams_.begin(); It != First; ++It)
    if (std::optional<TableRequest> Request = Send(*It))
      return Request;
  return std::nullopt;
}

bool Allotments::readDue(TimePoint Now, const Team &State) const {
  if (Now < State.NextRead_)
    return false;
  const bool Concerned = usableOf(State) > 0 || State.Demand_ > 0 ||
                         State.Running_ > 0 || State.Unsettled_;
  return !State.Fresh_ || Concerned;
}

std::optional<TableRequest> Allotments::pollRead(TimePoint Now) {
  PendingReads_.clear();
  ReadKeys Request;
  for (const auto &[Id, State] : Teams_) {
    if (!readDue(Now, State))
      continue;
    PendingReads_.push_back(Id);
    Request.Keys_.push_back(allotmentKey(Id));
  }
  if (PendingReads_.empty())
    return std::nullopt;
  Pending_ = Pending::Read;
  return Request;
}

// -------------------------------------------------------------- Answers

void Allotments::answered(TimePoint Now, const TableReply &Reply) {
  const Pending Request = Pending_;
  Pending_ = Pending::None;
  if (Request == Pending::Read)
    settleRead(Now, Reply);
  if (Request == Pending::Write)
    settleWrite(Now, Reply);
}

void Allotments::settleRead(TimePoint Now, const TableReply &Reply) {
  const auto *Read = std::get_if<Rows>(&Reply);
  for (const TeamId &Id : PendingReads_) {
    Team &State = Teams_[Id];
    if (!Read) {
      State.NextRead_ = Now + AllotmentRetry;
      continue;
    }
    Row Found{allotmentKey(Id), "", 0};
    for (const Row &Present : Read->Rows_)
      if (Present.Key_ == Found.Key_)
        Found = Present;
    noteRow(Now, State, Found);
  }
}

void Allotments::noteRow(TimePoint Now, Team &State, const Row &Read) {
  const std::optional<AllotmentRow> Decoded = decodeAllotment(Read.Value_);
  State.NextRead_ = Now + AllotmentRefresh;
  if (!Decoded)
    return;
  // The row has changed, so a write that was conditional on the old version
  // can take effect no more.
  if (State.Unsettled_ && State.Unsettled_->Version_ != Read.Version_)
    State.Unsettled_.reset();
  State.Row_ = *Decoded;
  State.Version_ = Read.Version_;
  State.Known_ = true;
  State.Fresh_ = true;
  if (!State.TrustedFrom_)
    State.TrustedFrom_ = Now + EvidenceBound;
  else if (Now >= *State.TrustedFrom_)
    State.Ceiling_ = 0;
  if (State.Row_.Wanting_.contains(Self_))
    State.NextRead_ = Now + AllotmentWantRefresh;
}

void Allotments::settleWrite(TimePoint Now, const TableReply &Reply) {
  Team &State = Teams_[PendingTeam_];
  const auto *Commit = std::get_if<Committed>(&Reply);
  if (Commit && Commit->Versions_.size() == 1) {
    State.Row_ = PendingRow_;
    State.Version_ = Commit->Versions_.front();
    State.Unsettled_.reset();
    State.NextWrite_ = Now + AllotmentSpacing;
    if (State.Row_.Wanting_.contains(Self_))
      State.NextRead_ = Now + AllotmentWantRefresh;
    return;
  }
  if (const auto *Conflict = std::get_if<Conflicted>(&Reply))
    return noteConflict(State, *Conflict);
  if (std::holds_alternative<TableUnavailable>(Reply)) {
    State.Unsettled_ = BeforePending_;
    State.NextWrite_ = Now + AllotmentRetry;
    return;
  }
  State.Fresh_ = false;
  State.NextRead_ = Now;
}

void Allotments::noteConflict(Team &State, const Conflicted &Conflict) {
  for (const Row &Present : Conflict.Rows_)
    if (Present.Key_ == Fence_.Key_ && Present.Version_ != Fence_.Version_) {
      Open_ = false;
      Fenced_ = true;
    }
  State.Fresh_ = false;
  State.NextRead_ = TimePoint();
}

} // namespace oleandergauge
