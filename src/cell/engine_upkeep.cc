// Upkeep of machines, in waves: drains a machine, orders its upkeep and waits
// for its return.

#include <algorithm>
#include <cmath>
#include <cstdlib>

#include "cell/engine.h"

namespace oleandergauge::cell {
namespace {

/// Minimum time between requests for the list of machines while a wave is
/// active.
constexpr Millis MachineListInterval = 500;
/// Time after which an unanswered request for the list counts as lost.
constexpr Millis MachineListTimeout = 10000;
/// Lists in a row that lack a machine before it counts as removed. The pages of
/// one list are read at different times, so that a machine may fall between
/// them when others come or go.
constexpr std::size_t ListsWithoutRemoved = 2;
/// Delay before an order without an answer is retried.
constexpr Millis UpkeepRetryDelay = 250;
/// Delay before the order for a busy machine is retried.
constexpr Millis BusyRetryDelay = 800;
/// Time per machine besides draining and upkeep: orders, lists and the start of
/// the new worker.
constexpr Millis MachineOverhead = 2000;
/// Share of a wave's duration that is planned for, which leaves a margin.
constexpr double PlannedShare = 0.8;
/// Margin on the time within which two owners must not order upkeep of one
/// machine.
constexpr Millis OrderLeaseSlack = 500;

} // namespace

void Cell::Engine::restoreWaves(const StoredCell &Stored) {
  OwnerSince_ = Now_;
  for (const auto &[Key, Bytes] : Stored.Waves_) {
    const auto Done = decodeWaveProgress(Bytes);
    if (!Done) {
      Effects_.push_back(Decision{"row_unreadable", Key, "waves", 0});
      continue;
    }
    RestoredWaves_[std::strtoull(Key.c_str(), nullptr, 10)] = *Done;
  }
}

void Cell::Engine::setWaves(const std::vector<Wave> &Waves) {
  std::set<std::uint64_t> Present;
  for (const Wave &Each : Waves) {
    Present.insert(Each.Number_);
    const auto [It, New] = Waves_.try_emplace(Each.Number_);
    It->second.Spec_ = Each;
    if (!New)
      continue;
    std::erase(
        ObsoleteRows_,
        RowChange{WavesTable, std::to_string(Each.Number_), std::nullopt});
    Effects_.push_back(
        Decision{"wave_found", std::to_string(Each.Number_),
                 std::to_string(Each.Machines_.size()) + " machines", 0});
    const auto Known = RestoredWaves_.find(Each.Number_);
    if (Known != RestoredWaves_.end()) {
      It->second.Done_ = Known->second;
      It->second.StoredDoneCount_ = Known->second.size();
    }
  }
  for (auto It = Waves_.begin(); It != Waves_.end();) {
    if (Present.count(It->first) != 0) {
      ++It;
      continue;
    }
    ObsoleteRows_.push_back(
        {WavesTable, std::to_string(It->first), std::nullopt});
    It = Waves_.erase(It);
  }
  markUpkeepDrains();
}

void Cell::Engine::setMachines(
    const std::optional<std::vector<MachineEntry>> &Machines) {
  MachineListInFlight_ = false;
  if (!Machines)
    return;
  MachinesAsOf_ = MachineListSentAt_;
  ++MachineLists_;
  const auto Former = std::exchange(Machines_, {});
  const auto FormerMissing = std::exchange(MissingMachines_, {});
  for (const MachineEntry &Each : *Machines)
    Machines_[Each.Id_] = Each;
  for (const auto &[Id, Entry] : Former) {
    if (Machines_.count(Id) != 0 || FormerMissing.count(Id) != 0)
      continue;
    Machines_[Id] = {Id, Entry.Worker_, MachineState::Down};
    MissingMachines_.insert(Id);
  }
}

/// Returns whether the platform no longer has the machine.
bool Cell::Engine::isRemoved(const std::string &Machine) const {
  return MachineLists_ >= ListsWithoutRemoved && Machines_.count(Machine) == 0;
}

void Cell::Engine::handle(const UpkeepOutcome &Outcome) {
  const auto FoundWave = Waves_.find(Outcome.Wave_);
  if (FoundWave == Waves_.end())
    return;
  const auto It = FoundWave->second.ActiveMachines_.find(Outcome.Machine_);
  if (It == FoundWave->second.ActiveMachines_.end())
    return;
  MachineUpkeep &Upkeep = It->second;
  Upkeep.OrderInFlight_ = false;
  switch (Outcome.Result_) {
  case UpkeepResult::Done:
    Upkeep.Phase_ = MachineUpkeep::Phase::Down;
    Upkeep.Since_ = Now_;
    Effects_.push_back(
        Decision{"upkeep_begun", Outcome.Machine_, "answered", 0});
    return;
  case UpkeepResult::Unknown:
    FoundWave->second.Done_.insert(Outcome.Machine_);
    FoundWave->second.ActiveMachines_.erase(It);
    Effects_.push_back(Decision{"upkeep_not_due", Outcome.Machine_,
                                "not part of the wave", 0});
    return;
  case UpkeepResult::Busy:
    Upkeep.NextOrder_ = Now_ + BusyRetryDelay;
    return;
  case UpkeepResult::Refused:
  case UpkeepResult::NoAnswer: // The retry finds what the first order did.
    Upkeep.NextOrder_ = Now_ + UpkeepRetryDelay;
    return;
  }
}

/// Returns whether a task of a service is serving, that is, whether its worker
/// lists it at 100 percent.
bool Cell::Engine::isServing(const StepRun &Step, std::uint32_t Index) const {
  const Task &TargetTask = Step.Tasks_[Index];
  const Worker *Target = workerAt(TargetTask.AssignedWorker_);
  if (TargetTask.Phase_ != Task::Phase::Active || Target == nullptr)
    return false;
  const auto It = Target->Runs_.find(taskName(Step, Index));
  return It != Target->Runs_.end() && It->second.Percent_ >= 100 &&
         It->second.Phase_ == Run::Phase::Running;
}

/// Returns whether the scheduler may stop one more task of a service within its
/// limit of unavailable tasks.
bool Cell::Engine::mayStopServiceTask(const StepRun &Step) const {
  const std::uint32_t Most = Step.spec().MaxUnavailable_;
  if (Most == 0)
    return true;
  std::uint32_t Unavailable = 0;
  for (std::uint32_t Index = 0; Index < Step.Tasks_.size(); ++Index)
    Unavailable += isServing(Step, Index) ? 0 : 1;
  return Unavailable < Most;
}

/// Returns how long the runs on a machine may take to end on their own before
/// they are stopped.
Millis Cell::Engine::drainTimeLimit(const WaveRun &TargetWave) const {
  const auto Machines = static_cast<double>(
      std::max<std::size_t>(1, TargetWave.Spec_.Machines_.size()));
  const double Slots =
      std::max(1.0, std::ceil(Machines / static_cast<double>(std::max(
                                             1U, TargetWave.Spec_.MaxDown_))));
  const double Slot =
      PlannedShare * static_cast<double>(TargetWave.Spec_.Duration_) / Slots;
  return std::max<Millis>(0, static_cast<Millis>(Slot) - Limits_.UpkeepTime_ -
                                 MachineOverhead);
}

/// Moves services off the machine within their limits and stops all other runs
/// after the drain time limit.
void Cell::Engine::drainMachine(WaveRun &TargetWave,
                                const MachineUpkeep &Upkeep, Worker &Target) {
  const bool LimitReached = Now_ - Upkeep.Since_ > drainTimeLimit(TargetWave);
  std::vector<std::string> Leaving;
  for (auto &[Name, Each] : Target.Runs_) {
    if (Each.Phase_ != Run::Phase::Running)
      continue;
    const bool Service = Each.Step_ != nullptr && Each.Step_->spec().Service_;
    if (!Service && !LimitReached)
      continue;
    if (Service && isServing(*Each.Step_, Each.Index_) &&
        !mayStopServiceTask(*Each.Step_))
      continue;
    stopRun(Target, Name, Each, "machine goes down for upkeep");
  }
}

/// Drains a machine, or orders its upkeep once it is empty.
void Cell::Engine::advanceMachine(WaveRun &TargetWave,
                                  const std::string &Machine,
                                  MachineUpkeep &Upkeep) {
  const MachineEntry &Entry = Machines_[Machine];
  Worker *Target = findWorker(Entry.Worker_);
  if (Upkeep.Phase_ == MachineUpkeep::Phase::Draining) {
    if (Target != nullptr && !Target->Runs_.empty()) {
      drainMachine(TargetWave, Upkeep, *Target);
      return;
    }
    if (Entry.State_ != MachineState::Up)
      return;
    Upkeep.Phase_ = MachineUpkeep::Phase::Ordered;
    Upkeep.Since_ = Now_;
    Upkeep.NextOrder_ = Now_;
  }
  if (Upkeep.OrderInFlight_ || Now_ < Upkeep.NextOrder_)
    return;
  Upkeep.OrderInFlight_ = true;
  Effects_.push_back(
      Decision{"upkeep_ordered", Machine,
               "wave " + std::to_string(TargetWave.Spec_.Number_),
               Now_ - MachinesAsOf_});
  Effects_.push_back(OrderUpkeep{Machine, TargetWave.Spec_.Number_});
}

/// Starts upkeep of further machines, beginning with those that have the least
/// work.
void Cell::Engine::startMachines(WaveRun &TargetWave) {
  std::vector<std::pair<std::int64_t, std::string>> Options;
  for (const std::string &Machine : TargetWave.Spec_.Machines_) {
    if (TargetWave.Done_.count(Machine) != 0 ||
        TargetWave.ActiveMachines_.count(Machine) != 0)
      continue;
    const auto Entry = Machines_.find(Machine);
    if (Entry == Machines_.end()) {
      if (isRemoved(Machine)) {
        TargetWave.Done_.insert(Machine);
        Effects_.push_back(Decision{"upkeep_not_due", Machine,
                                    "removed from the platform",
                                    Now_ - MachinesAsOf_});
      }
      continue;
    }
    if (Entry->second.State_ == MachineState::Upkeep)
      TargetWave.ActiveMachines_[Machine] = {MachineUpkeep::Phase::Ordered,
                                             Now_, Now_};
    if (Entry->second.State_ != MachineState::Up)
      continue;
    const Worker *Target = findWorker(Entry->second.Worker_);
    Options.emplace_back(Target == nullptr ? 0 : Target->Used_.CpuMilli_,
                         Machine);
  }
  std::sort(Options.begin(), Options.end());
  for (const auto &[Used, Machine] : Options) {
    if (TargetWave.ActiveMachines_.size() >=
        std::max(1U, TargetWave.Spec_.MaxDown_))
      return;
    TargetWave.ActiveMachines_[Machine] = {MachineUpkeep::Phase::Draining, Now_,
                                           0};
    Effects_.push_back(Decision{"upkeep_prepared", Machine,
                                std::to_string(Used) + " milli-cores in use",
                                Now_ - MachinesAsOf_});
  }
}

/// Advances all machines of a wave and reports its progress.
void Cell::Engine::advanceWave(WaveRun &TargetWave) {
  std::vector<std::string> Back;
  for (auto &[Machine, Upkeep] : TargetWave.ActiveMachines_) {
    const auto Entry = Machines_.find(Machine);
    const bool Returned = Upkeep.Phase_ == MachineUpkeep::Phase::Down &&
                          MachinesAsOf_ > Upkeep.Since_ &&
                          Entry != Machines_.end() &&
                          Entry->second.State_ == MachineState::Up;
    if (Returned || isRemoved(Machine))
      Back.push_back(Machine);
    else if (Upkeep.Phase_ != MachineUpkeep::Phase::Down &&
             Entry != Machines_.end())
      advanceMachine(TargetWave, Machine, Upkeep);
  }
  for (const std::string &Machine : Back) {
    TargetWave.ActiveMachines_.erase(Machine);
    TargetWave.Done_.insert(Machine);
    Effects_.push_back(Decision{
        "upkeep_done", Machine,
        isRemoved(Machine) ? "removed from the platform" : "up again", 0});
  }
  startMachines(TargetWave);
  if (!TargetWave.StartReported_) {
    TargetWave.StartReported_ = true;
    Effects_.push_back(ReportWave{TargetWave.Spec_.Number_, false});
  }
  const bool All = std::all_of(TargetWave.Spec_.Machines_.begin(),
                               TargetWave.Spec_.Machines_.end(),
                               [&](const std::string &Each) {
                                 return TargetWave.Done_.count(Each) != 0;
                               });
  if (All && TargetWave.StoredDoneCount_ == TargetWave.Done_.size()) {
    TargetWave.CompleteReported_ = true;
    Effects_.push_back(Decision{"wave_complete",
                                std::to_string(TargetWave.Spec_.Number_),
                                "all machines done", 0});
    Effects_.push_back(ReportWave{TargetWave.Spec_.Number_, true});
  }
}

/// Marks the workers whose machines are to go down.
void Cell::Engine::markUpkeepDrains() {
  std::set<std::string> Leaving;
  for (const auto &[Number, Each] : Waves_)
    for (const auto &[Machine, Upkeep] : Each.ActiveMachines_)
      if (const auto Entry = Machines_.find(Machine); Entry != Machines_.end())
        Leaving.insert(Entry->second.Worker_);
  for (auto &[Id, Each] : Workers_)
    Each->DrainingForUpkeep_ = Leaving.count(Id) != 0;
}

/// Requests the list of machines and advances the waves that are not complete.
void Cell::Engine::advanceWaves() {
  const bool Wanted =
      std::any_of(Waves_.begin(), Waves_.end(), [](const auto &Each) {
        return !Each.second.CompleteReported_;
      });
  // Orders of two owners for one machine must be separated in time.
  const bool TooEarly =
      Now_ < OwnerSince_ + Limits_.OrderLease_ + OrderLeaseSlack;
  if (!Wanted) {
    // A later wave must not be compared with lists from before it.
    MachineLists_ = 0;
    Machines_.clear();
    MissingMachines_.clear();
  }
  if (!Wanted || !Authorized_ || TooEarly)
    return;
  if (MachineListInFlight_ && Now_ - MachineListSentAt_ > MachineListTimeout)
    MachineListInFlight_ = false;
  if (!MachineListInFlight_ &&
      Now_ >= MachineListSentAt_ + MachineListInterval) {
    MachineListInFlight_ = true;
    MachineListSentAt_ = Now_;
    Effects_.push_back(ListMachines{});
  }
  if (MachineLists_ == 0)
    return;
  for (auto &[Number, Each] : Waves_)
    if (!Each.CompleteReported_)
      advanceWave(Each);
  markUpkeepDrains();
}

/// Adds the machines of waves that have had their upkeep. Machines that the
/// operators removed from a wave are left out, which bounds the row.
void Cell::Engine::addWaveChanges(TransactionRows &Out) {
  if (WavesHeld_)
    return;
  for (auto &[Number, Each] : Waves_) {
    if (Each.Done_.size() == Each.StoredDoneCount_)
      continue;
    std::set<std::string> Done;
    for (const std::string &Machine : Each.Spec_.Machines_)
      if (Each.Done_.count(Machine) != 0)
        Done.insert(Machine);
    std::string Value = encodeWaveProgress(Done);
    if (!Out.hasRoom(1, 0, Value.size()))
      return;
    Out.countItem();
    Out.add(WavesTable, std::to_string(Number), std::move(Value));
    Each.CommitDoneCount_ = Each.Done_.size();
  }
}

} // namespace oleandergauge::cell
