// Upkeep of machines, in waves: vacating, ordering, waiting for the return.

#include <algorithm>
#include <cmath>
#include <cstdlib>

#include "cell/engine.h"

namespace oleandergauge::cell {
namespace {

/// Pause between two lists of machines while a wave is open.
constexpr Millis ListPause = 500;
/// A list without an answer counts as lost after this time.
constexpr Millis ListTimeout = 2500;
constexpr Millis OrderPause = 250;
/// Pause before a machine that was busy is ordered again.
constexpr Millis BusyPause = 800;
/// Time that a machine needs besides vacating and upkeep: orders, lists, the
/// start of the new worker.
constexpr Millis MachineOverhead = 2000;
/// Part of a wave's time that is planned for.
constexpr double PlannedShare = 0.8;
/// Beyond the time within which two owners may not order one machine.
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
    StoredWaves_[std::strtoull(Key.c_str(), nullptr, 10)] = *Done;
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
    Effects_.push_back(
        Decision{"wave_found", std::to_string(Each.Number_),
                 std::to_string(Each.Machines_.size()) + " machines", 0});
    const auto Known = StoredWaves_.find(Each.Number_);
    if (Known != StoredWaves_.end()) {
      It->second.Done_ = Known->second;
      It->second.StoredDone_ = Known->second.size();
    }
  }
  for (auto It = Waves_.begin(); It != Waves_.end();) {
    if (Present.count(It->first) != 0) {
      ++It;
      continue;
    }
    GoneWaves_.push_back(It->first);
    It = Waves_.erase(It);
  }
  markVacating();
}

void Cell::Engine::setMachines(
    const std::optional<std::vector<MachineEntry>> &Machines) {
  ListInFlight_ = false;
  if (!Machines)
    return;
  ListedAt_ = ListSentAt_;
  MachinesKnown_ = true;
  Machines_.clear();
  for (const MachineEntry &Each : *Machines)
    Machines_[Each.Id_] = Each;
}

void Cell::Engine::handle(const UpkeepOutcome &Outcome) {
  const auto Of = Waves_.find(Outcome.Wave_);
  if (Of == Waves_.end())
    return;
  const auto It = Of->second.Open_.find(Outcome.Machine_);
  if (It == Of->second.Open_.end())
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
    Of->second.Done_.insert(Outcome.Machine_);
    Of->second.Open_.erase(It);
    Effects_.push_back(
        Decision{"upkeep_not_due", Outcome.Machine_, "not of the wave", 0});
    return;
  case UpkeepResult::Busy:
    Upkeep.NextOrder_ = Now_ + BusyPause;
    return;
  case UpkeepResult::Refused:
  case UpkeepResult::NoAnswer: // A repetition finds what was done.
    Upkeep.NextOrder_ = Now_ + OrderPause;
    return;
  }
}

/// A service's task serves while its worker lists it at full progress.
bool Cell::Engine::atWork(const StepRun &Step, std::uint32_t Index) const {
  const Task &Of = Step.Tasks_[Index];
  if (Of.Phase_ != Task::Phase::Active || Of.Where_ == nullptr)
    return false;
  const auto It = Of.Where_->Runs_.find(taskName(Step, Index));
  return It != Of.Where_->Runs_.end() && It->second.Percent_ >= 100 &&
         It->second.Phase_ == Run::Phase::Running;
}

/// Whether one more task of a service may be taken away by this system.
bool Cell::Engine::mayTakeAway(const StepRun &Step) const {
  const std::uint32_t Most = Step.spec().MaxUnavailable_;
  if (Most == 0)
    return true;
  std::uint32_t Away = 0;
  for (std::uint32_t Index = 0; Index < Step.Tasks_.size(); ++Index)
    Away += atWork(Step, Index) ? 0 : 1;
  return Away < Most;
}

/// Time that the work on a machine may take to end by itself.
Millis Cell::Engine::patienceOf(const WaveRun &Of) const {
  const auto Machines =
      static_cast<double>(std::max<std::size_t>(1, Of.Spec_.Machines_.size()));
  const double Slots =
      std::max(1.0, std::ceil(Machines / static_cast<double>(
                                             std::max(1U, Of.Spec_.MaxDown_))));
  const double Slot =
      PlannedShare * static_cast<double>(Of.Spec_.Duration_) / Slots;
  return std::max<Millis>(0, static_cast<Millis>(Slot) - Limits_.UpkeepTime_ -
                                 MachineOverhead);
}

/// Moves services off one by one, and after a while stops the rest.
void Cell::Engine::vacate(WaveRun &Of, const MachineUpkeep &Upkeep,
                          Worker &On) {
  const bool Late = Now_ - Upkeep.Since_ > patienceOf(Of);
  std::vector<std::string> Leaving;
  for (auto &[Name, Each] : On.Runs_) {
    if (Each.Phase_ != Run::Phase::Running)
      continue;
    const bool Service = Each.Step_ != nullptr && Each.Step_->spec().Service_;
    if (!Service && !Late)
      continue;
    if (Service && atWork(*Each.Step_, Each.Index_) &&
        !mayTakeAway(*Each.Step_))
      continue;
    stopRun(On, Name, Each, "machine goes down for upkeep");
  }
}

void Cell::Engine::advanceMachine(WaveRun &Of, const std::string &Machine,
                                  MachineUpkeep &Upkeep) {
  const MachineEntry &Entry = Machines_[Machine];
  Worker *On = findWorker(Entry.Worker_);
  if (Upkeep.Phase_ == MachineUpkeep::Phase::Vacating) {
    if (On != nullptr && !On->Runs_.empty()) {
      vacate(Of, Upkeep, *On);
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
  Effects_.push_back(Decision{"upkeep_ordered", Machine,
                              "wave " + std::to_string(Of.Spec_.Number_),
                              Now_ - ListedAt_});
  Effects_.push_back(OrderUpkeep{Machine, Of.Spec_.Number_});
}

/// Begins with further machines: those with the least work first.
void Cell::Engine::openMachines(WaveRun &Of) {
  std::vector<std::pair<std::int64_t, std::string>> Options;
  for (const std::string &Machine : Of.Spec_.Machines_) {
    if (Of.Done_.count(Machine) != 0 || Of.Open_.count(Machine) != 0)
      continue;
    const auto Entry = Machines_.find(Machine);
    if (Entry == Machines_.end()) {
      Of.Done_.insert(Machine); // It has left for good.
      continue;
    }
    if (Entry->second.State_ == MachineState::Upkeep)
      Of.Open_[Machine] = {MachineUpkeep::Phase::Ordered, Now_, Now_};
    if (Entry->second.State_ != MachineState::Up)
      continue;
    const Worker *On = findWorker(Entry->second.Worker_);
    Options.emplace_back(On == nullptr ? 0 : On->Used_.CpuMilli_, Machine);
  }
  std::sort(Options.begin(), Options.end());
  for (const auto &[Used, Machine] : Options) {
    if (Of.Open_.size() >= std::max(1U, Of.Spec_.MaxDown_))
      return;
    Of.Open_[Machine] = {MachineUpkeep::Phase::Vacating, Now_, 0};
    Effects_.push_back(Decision{"upkeep_prepared", Machine,
                                std::to_string(Used) + " mcores in use",
                                Now_ - ListedAt_});
  }
}

void Cell::Engine::advanceWave(WaveRun &Of) {
  std::vector<std::string> Back;
  for (auto &[Machine, Upkeep] : Of.Open_) {
    const auto Entry = Machines_.find(Machine);
    const bool Returned =
        Upkeep.Phase_ == MachineUpkeep::Phase::Down &&
        ListedAt_ > Upkeep.Since_ &&
        (Entry == Machines_.end() || Entry->second.State_ == MachineState::Up);
    if (Returned || Entry == Machines_.end())
      Back.push_back(Machine);
    else if (Upkeep.Phase_ != MachineUpkeep::Phase::Down)
      advanceMachine(Of, Machine, Upkeep);
  }
  for (const std::string &Machine : Back) {
    Of.Open_.erase(Machine);
    Of.Done_.insert(Machine);
    Effects_.push_back(Decision{"upkeep_done", Machine, "up again", 0});
  }
  openMachines(Of);
  if (!Of.Told_) {
    Of.Told_ = true;
    Effects_.push_back(ReportWave{Of.Spec_.Number_, false});
  }
  const bool All = std::all_of(
      Of.Spec_.Machines_.begin(), Of.Spec_.Machines_.end(),
      [&](const std::string &Each) { return Of.Done_.count(Each) != 0; });
  if (All && Of.StoredDone_ == Of.Done_.size()) {
    Of.ToldComplete_ = true;
    Effects_.push_back(Decision{
        "wave_complete", std::to_string(Of.Spec_.Number_), "all done", 0});
    Effects_.push_back(ReportWave{Of.Spec_.Number_, true});
  }
}

void Cell::Engine::markVacating() {
  std::set<std::string> Leaving;
  for (const auto &[Number, Each] : Waves_)
    for (const auto &[Machine, Upkeep] : Each.Open_)
      Leaving.insert(Machines_[Machine].Worker_);
  for (auto &[Id, Each] : Workers_)
    Each->Vacating_ = Leaving.count(Id) != 0;
}

void Cell::Engine::pumpUpkeep() {
  const bool Wanted =
      std::any_of(Waves_.begin(), Waves_.end(),
                  [](const auto &Each) { return !Each.second.ToldComplete_; });
  // Orders for one machine by two owners must lie apart.
  const bool Early = Now_ < OwnerSince_ + Limits_.OrderLease_ + OrderLeaseSlack;
  if (!Wanted || !Authorized_ || Early)
    return;
  if (ListInFlight_ && Now_ - ListSentAt_ > ListTimeout)
    ListInFlight_ = false;
  if (!ListInFlight_ && Now_ >= ListSentAt_ + ListPause) {
    ListInFlight_ = true;
    ListSentAt_ = Now_;
    Effects_.push_back(ListMachines{});
  }
  if (!MachinesKnown_)
    return;
  for (auto &[Number, Each] : Waves_)
    if (!Each.ToldComplete_)
      advanceWave(Each);
  markVacating();
}

void Cell::Engine::addWaveChanges(std::vector<RowChange> &Out) {
  for (auto &[Number, Each] : Waves_) {
    if (Each.Done_.size() == Each.StoredDone_)
      continue;
    Out.push_back(
        {WavesTable, std::to_string(Number), encodeWaveProgress(Each.Done_)});
    Each.CommitDone_ = Each.Done_.size();
  }
  for (const std::uint64_t Number : GoneWaves_)
    Out.push_back({WavesTable, std::to_string(Number), std::nullopt});
  GoneWaves_.clear();
}

} // namespace oleandergauge::cell
