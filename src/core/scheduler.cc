#include "oleandergauge/scheduler.h"

#include <algorithm>

#include "scheduler_state.h"

namespace oleandergauge {

using namespace detail;

namespace {

/// Minimum weight of a team. With a weight of zero or less a team would never
/// be served.
constexpr double MinTeamWeight = 1e-6;

Refusal makeInfeasibleRefusal(RefusalReason Reason, std::string Message) {
  return {Verdict::NotRun, Reason, std::move(Message), Duration(0)};
}

/// Returns how many times \p Need fits in \p Capacity, at most \p Max.
std::uint64_t countFitsInCapacity(const Resources &Need,
                                  const Resources &Capacity,
                                  std::uint64_t Max) {
  if (!Need.fitsIn(Capacity))
    return 0;
  std::uint64_t Count = Max;
  const auto Limit = [&Count](std::int64_t Amount, std::int64_t Available) {
    if (Amount > 0)
      Count = std::min<std::uint64_t>(Count, Available / Amount);
  };
  Limit(Need.CpuMilli_, Capacity.CpuMilli_);
  Limit(Need.MemoryMib_, Capacity.MemoryMib_);
  Limit(Need.Accelerators_, Capacity.Accelerators_);
  Limit(Need.Slots_, Capacity.Slots_);
  Limit(Need.Connections_, Capacity.Connections_);
  return Count;
}

} // namespace

Scheduler::Scheduler(SchedulerOptions Options)
    : State_(std::make_unique<State>(Options)) {}
Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler &&) noexcept = default;
Scheduler &Scheduler::operator=(Scheduler &&) noexcept = default;

void Scheduler::upsertWorker(const WorkerInfo &Worker) {
  State_->upsertWorker(Worker);
}

void Scheduler::removeWorker(const WorkerId &Worker) {
  const WorkerIndex W = State_->findWorker(Worker);
  if (W != NoWorker)
    State_->removeWorker(W);
}

void Scheduler::setOpen(const WorkerId &Worker, bool Open) {
  const WorkerIndex W = State_->findWorker(Worker);
  if (W != NoWorker)
    State_->setOpen(W, Open);
}

void Scheduler::openForProbe(const WorkerId &Worker) {
  const WorkerIndex W = State_->findWorker(Worker);
  if (W == NoWorker)
    return;
  State_->setOpen(W, true);
  State_->Workers_[W].Probe_ = State_->Workers_[W].Open_;
}

void Scheduler::setTeam(const TeamId &Team, double Weight,
                        std::uint32_t Headroom) {
  detail::Team &Target = State_->Teams_[State_->internTeam(Team)];
  Target.Weight_ = std::max(Weight, MinTeamWeight);
  Target.Headroom_ = Headroom;
}

Result<void> Scheduler::checkFeasible(const WorkItem &Item) const {
  std::uint64_t Fits = 0;
  for (const auto &[Unused, Class] : State_->CapacityClasses_) {
    const Resources Capacity =
        State_->capacityFor(Class.Capacity_, Item.Class_ == WorkClass::Direct);
    Fits += countFitsInCapacity(Item.Need_, Capacity, Item.Count_) *
            Class.Workers_.size();
    if (Fits >= Item.Count_)
      return {};
  }
  if (Fits == 0)
    return tl::make_unexpected(makeInfeasibleRefusal(
        RefusalReason::FitsNoWorker, "no worker can hold a task of this size"));
  return tl::make_unexpected(makeInfeasibleRefusal(
      RefusalReason::GangExceedsPartition,
      "the partition can hold " + std::to_string(Fits) + " of the " +
          std::to_string(Item.Count_) + " tasks at once"));
}

void Scheduler::enqueue(const WorkItem &Item) {
  TaskId Id = Item.First_;
  for (std::uint32_t I = 0; I < Item.Count_; ++I, ++Id.Index_)
    if (State_->Running_.contains(Id))
      return;
  if (Item.Count_ > 0)
    State_->Waiting_.add(Item, State_->internTeam(Item.Team_));
}

bool Scheduler::dequeue(const TaskId &First) {
  if (!State_->Waiting_.remove(First))
    return false;
  State_->dropPendingPreemption(First);
  State_->dropReservationOf(First);
  return true;
}

std::vector<PlacedTask> Scheduler::decide(TimePoint Now,
                                          std::size_t MaxPlacements) {
  SchedulingRound R{Now, MaxPlacements, {}};
  const std::size_t Bands = State_->DirectOnly_ ? DirectBandCount : BandCount;
  for (std::size_t Band = 0; Band < Bands; ++Band)
    if (R.Placed_.size() < R.MaxPlacements_)
      State_->placeBand(Band, R);
  return std::move(R.Placed_);
}

void Scheduler::setDirectOnly(bool DirectOnly) {
  State_->DirectOnly_ = DirectOnly;
}

std::vector<Preemption> Scheduler::choosePreemptions(TimePoint Now) {
  return State_->choosePreemptions(Now);
}

void Scheduler::adopt(const WorkItem &Item, const PlacedTask &Placed,
                      TimePoint StartedAt) {
  dequeue(Item.First_);
  const WorkerIndex W = State_->internWorker(Placed.Worker_);
  State_->startTask(Item, Placed.Task_, W, Placed.Reserved_, StartedAt);
}

void Scheduler::release(const TaskId &Task) { State_->releaseTask(Task); }

void Scheduler::noteUsage(const TaskId &Task, const Resources &Usage) {
  const auto Found = State_->Running_.find(Task);
  if (Found == State_->Running_.end())
    return;
  State_->setCharged(Found->second,
                     componentMax(Found->second.Reserved_, Usage));
}

void Scheduler::setForeignUsage(const WorkerId &Worker,
                                const Resources &Usage) {
  const WorkerIndex W = State_->findWorker(Worker);
  if (W == NoWorker)
    return;
  State_->Workers_[W].ForeignUsage_ = Usage;
  State_->updateFreeCapacity(W);
}

Resources Scheduler::freeOf(const WorkerId &Worker) const {
  const WorkerIndex Index = State_->findWorker(Worker);
  if (Index == NoWorker)
    return {};
  const detail::Worker &W = State_->Workers_[Index];
  return W.Info_.Capacity_ - W.Used_ - W.ForeignUsage_;
}

double Scheduler::dominantShareOf(const TeamId &Team) const {
  const auto Found = State_->TeamIndices_.find(Team);
  return Found == State_->TeamIndices_.end()
             ? 0.0
             : State_->Teams_[Found->second].Share_;
}

ClassCounts Scheduler::countsOf(WorkClass Class) const {
  return {State_->Waiting_.waitingTasksOf(Class),
          State_->RunningOfClass_[static_cast<std::size_t>(Class)]};
}

std::string Scheduler::explain(const TaskId &First) const {
  return State_->explainWaiting(First);
}

const SchedulerCounters &Scheduler::counters() const {
  return State_->Counters_;
}

} // namespace oleandergauge
