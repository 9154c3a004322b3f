#include "oleandergauge/partition.h"

#include <algorithm>

#include "partition_engine.h"

namespace oleandergauge {
namespace {

/// A request without an answer for this long counts as lost.
constexpr Duration RequestTimeout = std::chrono::milliseconds(3000);
/// Limits of jobs, services and retention are checked this often.
constexpr Duration HousekeepingInterval = std::chrono::milliseconds(100);

} // namespace

std::string_view toString(TaskState Value) {
  switch (Value) {
  case TaskState::Waiting:
    return "waiting";
  case TaskState::Starting:
    return "starting";
  case TaskState::Running:
    return "running";
  case TaskState::Unknown:
    return "unknown";
  case TaskState::Ended:
    return "ended";
  }
  return "unknown";
}

Partition::Engine::Engine(const PartitionId &Id, const HostId &Self,
                          std::string Address, SchedulerOptions Options)
    : Id_(Id), Self_(Self), Options_(Options),
      Lease_(Id, Self, std::move(Address)), Journal_(Id), Allotments_(Id),
      Scheduler_(Options) {}

std::vector<PartitionEffect>
Partition::Engine::handle(TimePoint Now, const PartitionEvent &Event) {
  Now_ = Now;
  Out_.clear();
  // Judged before the event, so that evidence which comes after a gap does
  // not hide the gap.
  if (Mode_ == Mode::Active && !mayServe())
    LimitedLost_ = true;
  dispatch(Event);
  checkOwnership();
  advance();
  return std::move(Out_);
}

void Partition::Engine::dispatch(const PartitionEvent &Event) {
  std::visit(
      detail::Overloaded{
          [this](const Submitted &Received) { onSubmitted(Received); },
          [this](const CancelRequested &Received) { onCancel(Received); },
          [this](const JobQueried &Received) { onQuery(Received); },
          [this](const CallerGone &Received) { onCallerGone(Received); },
          [this](const TableAnswered &Received) {
            auto Found = Requests_.find(Received.Token_);
            if (Found == Requests_.end())
              return;
            const RequestKind Kind = Found->second.Kind_;
            Requests_.erase(Found);
            noteTableAnswer(Kind, Received.Reply_);
          },
          [this](const StartAnswered &Received) { onStartAnswered(Received); },
          [this](const CallAnswered &Received) { onCallAnswered(Received); },
          [this](const WorkerReported &Received) {
            onWorkerReported(Received);
          },
          [this](const WorkerSilent &Received) { onWorkerSilent(Received); },
          [this](const WorkersListed &Received) { onWorkersListed(Received); },
          [this](const ConfigApplied &Received) { applyView(Received.View_); },
          [this](const EvidenceChanged &Received) { noteEvidence(Received); },
          [](const Tick &) {},
          [this](const DrainRequested &) { Draining_ = true; },
      },
      Event);
}

void Partition::Engine::advance() {
  expireRequests();
  pumpLease();
  if (Mode_ == Mode::Recovering)
    pumpRecovery();
  if (Mode_ == Mode::Active) {
    if (Now_ >= NextHousekeeping_) {
      NextHousekeeping_ = Now_ + HousekeepingInterval;
      giveUpUncommitted();
      expireJobs();
      pumpStops();
      pumpProbes();
      moveServices();
      pumpExcess();
      pumpSnapshot();
    }
    pumpRequeue();
    pumpExchanges();
    schedule();
    pumpAllotments();
    pumpJournal();
  }
  pumpDrain();
}

// ------------------------------------------------------------- Ownership

bool Partition::Engine::mayDecide() const {
  return Mode_ == Mode::Active && Lease_.isHeld(Now_);
}

TimePoint Partition::Engine::serveUntil() const {
  if (Lease_.isHeld(Now_))
    return Lease_.heldUntil();
  // Another host may take over from this moment on, and counts on the last
  // command being as old as that of an owner whose lease ended.
  return LimitedLost_
             ? TimePoint()
             : Evidence_.OutageUntil_ - (DeliveryBound - TakeoverSettle);
}

bool Partition::Engine::mayServe() const {
  return Mode_ == Mode::Active && Now_ < serveUntil();
}

TimePoint Partition::Engine::startUntil() const {
  return std::min({serveUntil(), Evidence_.MayActUntil_, Now_ + DeliveryBound});
}

bool Partition::Engine::lostForGood() const {
  if (Lease_.isReleased() || Lease_.epoch() != Epoch_)
    return true;
  const auto &Owner = Lease_.observedOwner();
  return Owner && Owner->Epoch_ > Epoch_;
}

void Partition::Engine::checkOwnership() {
  if (Mode_ != Mode::Idle && lostForGood())
    demote();
  if (Mode_ == Mode::Idle && !Lease_.isReleased() && Lease_.isHeld(Now_))
    beginRecovery();
  if (Mode_ == Mode::Active && Lease_.isHeld(Now_))
    LimitedLost_ = false;
}

void Partition::Engine::demote() {
  std::set<JobId> Unsent;
  for (const Transition &Change : Journal_.takeUnsentTransitions())
    if (const auto *Accepted = std::get_if<JobAccepted>(&Change))
      Unsent.insert(Accepted->Spec_.Id_);
  for (auto &[Id, Job] : Jobs_) {
    const bool CallInFlight = Job.direct() && Job.Tasks_[0].active() &&
                              Job.Tasks_[0].CommandUntil_.has_value();
    if (CallInFlight) {
      Detached_[{Id, 0}] = {Job.Tasks_[0].Attempt_, std::move(Job)};
      continue;
    }
    const bool NeverSent =
        Unsent.contains(Id) || (!Job.Journaled_ && !Job.Started_);
    refuseAll(Job, {NeverSent ? Verdict::NotRun : Verdict::MayHaveRun,
                    RefusalReason::OwnerUnavailable,
                    "the partition changed its owner",
                    std::chrono::milliseconds(500)});
  }
  Jobs_.clear();
  Workers_.clear();
  Requeue_.clear();
  WaitingByTeam_.clear();
  AfterCommit_.clear();
  SnapshotStep_ = SnapshotStep::None;
  std::erase_if(Requests_, [](const auto &Entry) {
    return Entry.second.Kind_ != RequestKind::Lease;
  });
  Scheduler_ = Scheduler(Options_);
  Journal_ = Journal(Id_);
  Allotments_ = Allotments(Id_);
  Health_ = WorkerHealth();
  Mode_ = Mode::Idle;
  Out_.push_back(OwnershipChanged{false, Epoch_});
}

/// A host that vouches for an outage while its takeover is on the way lets
/// the former owner serve calls for as long as the vouch counts. The new owner
/// then waits longer before it uses the workers.
void Partition::Engine::noteEvidence(const EvidenceChanged &Evidence) {
  Evidence_ = Evidence;
  const bool Contested = Mode_ != Mode::Idle && !Evidence.MayTakeOver_ &&
                         !Draining_ && Now_ < SettledAt_;
  if (Contested)
    SettledAt_ = std::max(SettledAt_, Now_ + EvidenceBound + DeliveryBound);
  updateAllOpen();
}

void Partition::Engine::applyView(
    const std::shared_ptr<const ConfigView> &View) {
  if (!View || (View_ && View->headVersion() < View_->headVersion()))
    return;
  View_ = View;
  Allotments_.setLimits(View_->limits());
  onWorkersListed(WorkersListed{Listed_});
  ScheduleNeeded_ = true;
}

// -------------------------------------------------------- Table requests

void Partition::Engine::sendTable(RequestKind Kind, TableRequest Request) {
  const Token Sent = NextToken_++;
  Requests_[Sent] = {Kind, Now_};
  Out_.push_back(SendTable{Sent, std::move(Request)});
}

bool Partition::Engine::pending(RequestKind Kind) const {
  return std::any_of(
      Requests_.begin(), Requests_.end(),
      [Kind](const auto &Entry) { return Entry.second.Kind_ == Kind; });
}

void Partition::Engine::expireRequests() {
  std::vector<RequestKind> Expired;
  std::erase_if(Requests_, [&](const auto &Entry) {
    if (Now_ - Entry.second.SentAt_ < RequestTimeout)
      return false;
    Expired.push_back(Entry.second.Kind_);
    return true;
  });
  for (RequestKind Kind : Expired)
    noteTableAnswer(Kind, OutcomeUnknown{});
  if (!Expired.empty())
    checkOwnership();
}

void Partition::Engine::noteTableAnswer(RequestKind Kind,
                                        const TableReply &Reply) {
  switch (Kind) {
  case RequestKind::Lease:
    Lease_.answered(Now_, Reply);
    return;
  case RequestKind::Journal:
    noteJournalOutcome(Journal_.answered(Now_, Reply));
    return;
  case RequestKind::Allotment:
    Allotments_.answered(Now_, Reply);
    ScheduleNeeded_ = true;
    return;
  case RequestKind::Recovery:
    noteRecoveryRows(Reply);
    return;
  case RequestKind::Snapshot:
    noteSnapshotReply(Reply);
    return;
  }
}

void Partition::Engine::pumpLease() {
  if (pending(RequestKind::Lease))
    return;
  const bool MayTakeOver = Evidence_.MayTakeOver_ && View_ && !Draining_;
  if (auto Request = Lease_.poll(Now_, Evidence_.Rank_, MayTakeOver))
    sendTable(RequestKind::Lease, std::move(*Request));
}

void Partition::Engine::pumpJournal() {
  if (pending(RequestKind::Journal) || !mayDecide())
    return;
  if (auto Request = Journal_.poll(Now_, Lease_.heldUntil()))
    sendTable(RequestKind::Journal, std::move(*Request));
}

void Partition::Engine::pumpAllotments() {
  if (pending(RequestKind::Allotment) || !mayDecide())
    return;
  if (auto Request = Allotments_.poll(Now_, Lease_.heldUntil()))
    sendTable(RequestKind::Allotment, std::move(*Request));
}

std::uint64_t Partition::Engine::record(Transition Change) {
  LastTicket_ = Journal_.append(std::move(Change));
  return LastTicket_;
}

void Partition::Engine::whenCommitted(std::uint64_t Ticket,
                                      std::function<void()> Work) {
  AfterCommit_.push_back({Ticket, std::move(Work)});
}

void Partition::Engine::noteJournalOutcome(const JournalOutcome &Outcome) {
  std::visit(detail::Overloaded{
                 [](std::monostate) {},
                 [](const JournalStalled &) {},
                 [this](const BatchCommitted &Received) {
                   runCommitted(Received.Ticket_);
                 },
                 [this](const JournalFenced &) {
                   Lease_.noteFenced();
                   demote();
                 },
             },
             Outcome);
}

void Partition::Engine::runCommitted(std::uint64_t Ticket) {
  while (!AfterCommit_.empty() && AfterCommit_.front().Ticket_ <= Ticket) {
    const std::function<void()> Work = std::move(AfterCommit_.front().Work_);
    AfterCommit_.pop_front();
    Work();
  }
}

// ----------------------------------------------------------------- Drain

void Partition::Engine::pumpDrain() {
  if (!Draining_ || DrainReported_)
    return;
  const bool CallsInFlight =
      !Detached_.empty() ||
      std::any_of(Jobs_.begin(), Jobs_.end(), [](const auto &Entry) {
        return Entry.second.direct() && !Entry.second.Ended_;
      });
  const bool StartsInFlight =
      std::any_of(Jobs_.begin(), Jobs_.end(), [](const auto &Entry) {
        const auto &Tasks = Entry.second.Tasks_;
        return std::any_of(
            Tasks.begin(), Tasks.end(), [](const detail::TaskEntry &Task) {
              return Task.State_ == TaskState::Starting && Task.CommandUntil_ &&
                     !Task.CommandAnswered_;
            });
      });
  const bool Idle = Mode_ == Mode::Idle && !CallsInFlight;
  if (Mode_ == Mode::Active && !CallsInFlight && !StartsInFlight &&
      AfterCommit_.empty() && Journal_.queuedCount() == 0 &&
      !pending(RequestKind::Journal))
    Lease_.release();
  if (Mode_ == Mode::Recovering)
    Lease_.release();
  if (!Idle)
    return;
  DrainReported_ = true;
  Out_.push_back(Drained{});
}

// ----------------------------------------------------------------- Stats

bool Partition::Engine::owned(TimePoint Now) const {
  return Mode_ == Mode::Active && Lease_.isHeld(Now);
}

PartitionStats Partition::Engine::stats(TimePoint Now) const {
  PartitionStats Stats;
  Stats.Owned_ = owned(Now);
  Stats.Epoch_ = Epoch_;
  Stats.Workers_ = Workers_.size();
  for (const auto &[Id, Worker] : Workers_)
    Stats.OpenWorkers_ += mayStartOn(Worker) ? 1 : 0;
  Stats.Jobs_ = Jobs_.size();
  for (const auto &[Id, Job] : Jobs_)
    for (const detail::TaskEntry &Task : Job.Tasks_) {
      Stats.Waiting_ += Task.State_ == TaskState::Waiting ? 1 : 0;
      Stats.Running_ += Task.active() ? 1 : 0;
    }
  if (Mode_ == Mode::Active)
    Stats.JournalSequence_ = Journal_.lastSequence();
  return Stats;
}

// ------------------------------------------------------ Public interface

Partition::Partition(const PartitionId &Id, const HostId &Self,
                     std::string Address, SchedulerOptions Options)
    : Engine_(std::make_unique<Engine>(Id, Self, std::move(Address), Options)) {
}

Partition::~Partition() = default;
Partition::Partition(Partition &&) noexcept = default;
Partition &Partition::operator=(Partition &&) noexcept = default;

std::vector<PartitionEffect> Partition::handle(TimePoint Now,
                                               const PartitionEvent &Event) {
  return Engine_->handle(Now, Event);
}

bool Partition::owned(TimePoint Now) const { return Engine_->owned(Now); }

PartitionStats Partition::stats(TimePoint Now) const {
  return Engine_->stats(Now);
}

} // namespace oleandergauge
