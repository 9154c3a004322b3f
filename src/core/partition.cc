#include "oleandergauge/partition.h"

#include <algorithm>

#include "partition_engine.h"

namespace oleandergauge {
namespace {

/// A table request without a reply for this long counts as lost; its outcome is
/// unknown.
constexpr Duration TableRequestTimeout = std::chrono::milliseconds(3000);
/// Time between two runs of the periodic checks in advance().
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
  Effects_.clear();
  // This is checked before the event is processed. Evidence that arrives after
  // a gap in which the host could not serve must not hide the gap.
  if (Mode_ == Mode::Active && !mayServe())
    OutageServiceLost_ = true;
  dispatch(Event);
  updateOwnership();
  advance();
  return std::move(Effects_);
}

void Partition::Engine::dispatch(const PartitionEvent &Event) {
  std::visit(
      detail::Overloaded{
          [this](const Submitted &Received) { onSubmitted(Received); },
          [this](const CancelRequested &Received) { onCancel(Received); },
          [this](const JobQueried &Received) { onQuery(Received); },
          [this](const CallerDisconnected &Received) {
            onCallerDisconnected(Received);
          },
          [this](const TableAnswered &Received) {
            auto Found = PendingRequests_.find(Received.Token_);
            if (Found == PendingRequests_.end())
              return;
            const RequestKind Kind = Found->second.Kind_;
            PendingRequests_.erase(Found);
            handleTableReply(Kind, Received.Reply_);
          },
          [this](const StartAnswered &Received) { onStartAnswered(Received); },
          [this](const CallAnswered &Received) { onCallAnswered(Received); },
          [this](const WorkerReported &Received) {
            onWorkerReported(Received);
          },
          [this](const WorkerUnresponsive &Received) {
            onWorkerUnresponsive(Received);
          },
          [this](const WorkersListed &Received) { onWorkersListed(Received); },
          [this](const ConfigApplied &Received) { applyView(Received.View_); },
          [this](const EvidenceChanged &Received) { updateEvidence(Received); },
          [](const Tick &) {},
          [this](const DrainRequested &) { Draining_ = true; },
      },
      Event);
}

void Partition::Engine::advance() {
  expireRequests();
  sendLeaseRequest();
  if (Mode_ == Mode::Recovering)
    sendRecoveryRequest();
  if (Mode_ == Mode::Active) {
    if (Now_ >= NextHousekeepingAt_) {
      NextHousekeepingAt_ = Now_ + HousekeepingInterval;
      refuseStalledSubmissions();
      expireJobs();
      repeatStops();
      startDueProbes();
      moveServices();
      stopExcessTasks();
      advanceSnapshot();
    }
    requeueDueTasks();
    sendDueExchanges();
    schedule();
    sendAllotmentRequest();
    sendJournalRequest();
  }
  advanceDrain();
}

// ------------------------------------------------------------- Ownership

bool Partition::Engine::isOwner() const {
  return Mode_ == Mode::Active && Lease_.isHeld(Now_);
}

TimePoint Partition::Engine::serveUntil() const {
  if (Lease_.isHeld(Now_))
    return Lease_.heldUntil();
  // Another host may take over once the outage is no longer proven. It relies
  // on the last command being as old by then as the last command of an owner
  // whose lease expired, so that service ends earlier by the difference.
  return OutageServiceLost_ ? TimePoint()
                            : Evidence_.OutageUntil_ -
                                  (MaxDeliveryDelay - TakeoverSettleDelay);
}

bool Partition::Engine::mayServe() const {
  return Mode_ == Mode::Active && Now_ < serveUntil();
}

TimePoint Partition::Engine::startUntil() const {
  return std::min(
      {serveUntil(), Evidence_.MayActUntil_, Now_ + MaxDeliveryDelay});
}

bool Partition::Engine::isDeposed() const {
  if (Lease_.isReleased() || Lease_.epoch() != Epoch_)
    return true;
  const auto &Owner = Lease_.observedOwner();
  return Owner && Owner->Epoch_ > Epoch_;
}

void Partition::Engine::updateOwnership() {
  if (Mode_ != Mode::Idle && isDeposed())
    demote();
  if (Mode_ == Mode::Idle && !Lease_.isReleased() && Lease_.isHeld(Now_))
    beginRecovery();
  if (Mode_ == Mode::Active && Lease_.isHeld(Now_))
    OutageServiceLost_ = false;
}

void Partition::Engine::demote() {
  std::set<JobId> Unsent;
  for (const Transition &Change : Journal_.takeUnsentTransitions())
    if (const auto *Accepted = std::get_if<JobAccepted>(&Change))
      Unsent.insert(Accepted->Spec_.Id_);
  for (auto &[Id, Job] : Jobs_) {
    const bool CallInFlight = Job.isDirect() && Job.Tasks_[0].isActive() &&
                              Job.Tasks_[0].CommandValidUntil_.has_value();
    if (CallInFlight) {
      DetachedCalls_[{Id, 0}] = {Job.Tasks_[0].Attempt_, std::move(Job)};
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
  DelayedRequeues_.clear();
  WaitingTasksByTeam_.clear();
  CommitActions_.clear();
  SnapshotStep_ = SnapshotStep::None;
  std::erase_if(PendingRequests_, [](const auto &Entry) {
    return Entry.second.Kind_ != RequestKind::Lease;
  });
  Scheduler_ = Scheduler(Options_);
  Journal_ = Journal(Id_);
  Allotments_ = Allotments(Id_);
  Health_ = WorkerHealth();
  Mode_ = Mode::Idle;
  Effects_.push_back(OwnershipChanged{false, Epoch_});
}

/// If this host vouches for an outage while its own takeover is in progress,
/// the former owner may serve calls for as long as the vouch is valid. The new
/// owner then waits that much longer before it uses the workers.
void Partition::Engine::updateEvidence(const EvidenceChanged &Evidence) {
  Evidence_ = Evidence;
  const bool Contested = Mode_ != Mode::Idle && !Evidence.MayTakeOver_ &&
                         !Draining_ && Now_ < TakeoverSettledAt_;
  if (Contested)
    TakeoverSettledAt_ =
        std::max(TakeoverSettledAt_, Now_ + MaxEvidenceAge + MaxDeliveryDelay);
  updateAllWorkersOpen();
}

void Partition::Engine::applyView(
    const std::shared_ptr<const ConfigView> &View) {
  if (!View || (View_ && View->headVersion() < View_->headVersion()))
    return;
  View_ = View;
  Allotments_.setLimits(View_->limits());
  onWorkersListed(WorkersListed{LiveList_});
  ScheduleNeeded_ = true;
}

// -------------------------------------------------------- Table requests

void Partition::Engine::sendTable(RequestKind Kind, TableRequest Request) {
  const Token Sent = NextToken_++;
  PendingRequests_[Sent] = {Kind, Now_};
  Effects_.push_back(SendTableRequest{Sent, std::move(Request)});
}

bool Partition::Engine::isRequestPending(RequestKind Kind) const {
  return std::any_of(
      PendingRequests_.begin(), PendingRequests_.end(),
      [Kind](const auto &Entry) { return Entry.second.Kind_ == Kind; });
}

void Partition::Engine::expireRequests() {
  std::vector<RequestKind> Expired;
  std::erase_if(PendingRequests_, [&](const auto &Entry) {
    if (Now_ - Entry.second.SentAt_ < TableRequestTimeout)
      return false;
    Expired.push_back(Entry.second.Kind_);
    return true;
  });
  for (RequestKind Kind : Expired)
    handleTableReply(Kind, OutcomeUnknown{});
  if (!Expired.empty())
    updateOwnership();
}

void Partition::Engine::handleTableReply(RequestKind Kind,
                                         const TableReply &Reply) {
  switch (Kind) {
  case RequestKind::Lease:
    Lease_.answered(Now_, Reply);
    return;
  case RequestKind::Journal:
    handleJournalOutcome(Journal_.answered(Now_, Reply));
    return;
  case RequestKind::Allotment:
    Allotments_.answered(Now_, Reply);
    ScheduleNeeded_ = true;
    return;
  case RequestKind::Recovery:
    handleRecoveryReply(Reply);
    return;
  case RequestKind::Snapshot:
    handleSnapshotReply(Reply);
    return;
  }
}

void Partition::Engine::sendLeaseRequest() {
  if (isRequestPending(RequestKind::Lease))
    return;
  const bool MayTakeOver = Evidence_.MayTakeOver_ && View_ && !Draining_;
  if (auto Request = Lease_.poll(Now_, Evidence_.Rank_, MayTakeOver))
    sendTable(RequestKind::Lease, std::move(*Request));
}

void Partition::Engine::sendJournalRequest() {
  if (isRequestPending(RequestKind::Journal) || !isOwner())
    return;
  if (auto Request = Journal_.poll(Now_, Lease_.heldUntil()))
    sendTable(RequestKind::Journal, std::move(*Request));
}

void Partition::Engine::sendAllotmentRequest() {
  if (isRequestPending(RequestKind::Allotment) || !isOwner())
    return;
  if (auto Request = Allotments_.poll(Now_, Lease_.heldUntil()))
    sendTable(RequestKind::Allotment, std::move(*Request));
}

std::uint64_t Partition::Engine::appendToJournal(Transition Change) {
  LastTicket_ = Journal_.append(std::move(Change));
  return LastTicket_;
}

void Partition::Engine::runAfterCommit(std::uint64_t Ticket,
                                       std::function<void()> Action) {
  CommitActions_.push_back({Ticket, std::move(Action)});
}

void Partition::Engine::handleJournalOutcome(const JournalOutcome &Outcome) {
  std::visit(detail::Overloaded{
                 [](std::monostate) {},
                 [](const JournalStalled &) {},
                 [this](const BatchCommitted &Received) {
                   runCommitActions(Received.Ticket_);
                 },
                 [this](const JournalFenced &) {
                   Lease_.noteFenced();
                   demote();
                 },
             },
             Outcome);
}

void Partition::Engine::runCommitActions(std::uint64_t Ticket) {
  while (!CommitActions_.empty() && CommitActions_.front().Ticket_ <= Ticket) {
    const std::function<void()> Action =
        std::move(CommitActions_.front().Action_);
    CommitActions_.pop_front();
    Action();
  }
}

// ----------------------------------------------------------------- Drain

void Partition::Engine::advanceDrain() {
  if (!Draining_ || DrainReported_)
    return;
  const bool CallsInFlight =
      !DetachedCalls_.empty() ||
      std::any_of(Jobs_.begin(), Jobs_.end(), [](const auto &Entry) {
        return Entry.second.isDirect() && !Entry.second.Ended_;
      });
  const bool StartsInFlight =
      std::any_of(Jobs_.begin(), Jobs_.end(), [](const auto &Entry) {
        const auto &Tasks = Entry.second.Tasks_;
        return std::any_of(
            Tasks.begin(), Tasks.end(), [](const detail::TaskEntry &Task) {
              return Task.State_ == TaskState::Starting &&
                     Task.CommandValidUntil_ && !Task.CommandAnswered_;
            });
      });
  const bool Idle = Mode_ == Mode::Idle && !CallsInFlight;
  if (Mode_ == Mode::Active && !CallsInFlight && !StartsInFlight &&
      CommitActions_.empty() && Journal_.queuedCount() == 0 &&
      !isRequestPending(RequestKind::Journal))
    Lease_.release();
  if (Mode_ == Mode::Recovering)
    Lease_.release();
  if (!Idle)
    return;
  DrainReported_ = true;
  Effects_.push_back(Drained{});
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
      Stats.Running_ += Task.isActive() ? 1 : 0;
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
