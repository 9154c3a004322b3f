#ifndef OLEANDERGAUGE_TEST_CELL_FAKE_MACHINES_H
#define OLEANDERGAUGE_TEST_CELL_FAKE_MACHINES_H

#include <functional>
#include <string>
#include <vector>

#include "fake_fleet.h"
#include "task_checks.h"

namespace oleandergauge::cell::test {

/// A machine of the platform. The worker at the same index runs on it.
struct FakeMachine {
  MachineState State_ = MachineState::Up;
  int Upkeeps_ = 0;
  int Orders_ = 0;
};

/// The fake machines of the platform, their upkeep and the waves that operators
/// request. Checks that no wave takes too many machines down.
class FakeMachines {
public:
  FakeMachines(SimulationCore &Core, FakeFleet &Fleet, TaskChecks &Checks)
      : Core_(Core), Fleet_(Fleet), Checks_(Checks),
        Machines_(Fleet.workers().size()) {}

  const FakeMachine &machine(std::size_t At) const { return Machines_[At]; }
  const std::vector<Wave> &waves() const { return Waves_; }

  /// Requests a wave for the first \p Count machines, as an operator does.
  void requestWave(std::size_t Count, std::uint32_t MaxDown, Millis Duration) {
    Wave Created{Waves_.size() + 1, {}, Duration, MaxDown};
    for (std::size_t At = 0; At < Count; ++At)
      Created.Machines_.push_back("m" + std::to_string(At));
    Waves_.push_back(Created);
    if (Core_.hasOwner())
      Core_.cell().setWaves(Core_.now(), Waves_);
  }

  /// Sends the owner the list of machines.
  void list() {
    std::vector<MachineEntry> Out;
    ++Lists_;
    for (std::size_t At = 0; At < Machines_.size(); ++At)
      if (!OmitFromList_ || !OmitFromList_(Lists_, At))
        Out.push_back({"m" + std::to_string(At), Fleet_.workers()[At].Id_,
                       Machines_[At].State_});
    Core_.scheduleForOwner(
        3, [this, Out] { Core_.cell().setMachines(Core_.now(), Out); });
  }

  /// Returns whether the list of that number, from one on, lacks a machine.
  std::function<bool(std::size_t, std::size_t)> OmitFromList_;

  void order(const OrderUpkeep &Each) {
    const bool Lost = Core_.drawChance(Core_.Faults_.LostAnswer_);
    Core_.schedule(3, [this, Each, Lost, Generation = Core_.ownerGeneration()] {
      const UpkeepResult Result = beginUpkeep(Each);
      if (Generation != Core_.ownerGeneration())
        return;
      Core_.scheduleForOwner(0, [this, Each, Lost, Result] {
        Core_.cell().handle(
            Core_.now(), UpkeepOutcome{Each.Machine_, Each.Wave_,
                                       Lost ? UpkeepResult::NoAnswer : Result});
      });
    });
  }

  void report(const ReportWave &Each) {
    for (const std::string &Machine : Waves_[Each.Wave_ - 1].Machines_)
      if (Each.Complete_ && Machines_[indexOf(Machine)].Upkeeps_ == 0)
        Core_.addViolation("wave reported as complete before " + Machine);
    Core_.WaveStates_[Each.Wave_] = Each.Complete_;
  }

  /// Ends the worker of a machine with its runs and removes its entry.
  void shutDown(std::size_t At) {
    FakeWorker &Target = Fleet_.workers()[At];
    for (const auto &[Name, Run] : Target.Runs_)
      Checks_.recordLostRun(Name);
    Target.Runs_.clear();
    Target.Disconnected_ = true;
    Fleet_.setListed(Target.Id_, false);
  }
  /// Starts the worker of a machine again under its id.
  void startUp(std::size_t At) {
    FakeWorker &Back = Fleet_.workers()[At];
    Fleet_.setListed(Back.Id_, true);
    Back.restart(Core_.now());
    Back.Disconnected_ = false;
  }

private:
  /// Duration in milliseconds of a machine's upkeep.
  static constexpr Millis UpkeepTime = 2000;

  static std::size_t indexOf(const std::string &Machine) {
    return std::stoul(Machine.substr(1));
  }

  UpkeepResult beginUpkeep(const OrderUpkeep &Each) {
    const std::size_t At = indexOf(Each.Machine_);
    FakeMachine &Target = Machines_[At];
    ++Target.Orders_;
    if (Target.Upkeeps_ > 0)
      return UpkeepResult::Done;
    std::uint32_t Down = 0;
    for (const FakeMachine &Other : Machines_)
      Down += Other.State_ == MachineState::Upkeep ? 1 : 0;
    if (Down >= Waves_[Each.Wave_ - 1].MaxDown_)
      Core_.addViolation("too many machines down for upkeep");
    Target.State_ = MachineState::Upkeep;
    ++Target.Upkeeps_;
    shutDown(At);
    Core_.schedule(UpkeepTime, [this, At] { endUpkeep(At); });
    return UpkeepResult::Done;
  }

  void endUpkeep(std::size_t At) {
    startUp(At);
    Machines_[At].State_ = MachineState::Up;
  }

  SimulationCore &Core_;
  FakeFleet &Fleet_;
  TaskChecks &Checks_;
  std::vector<FakeMachine> Machines_;
  std::vector<Wave> Waves_;
  std::size_t Lists_ = 0;
};

} // namespace oleandergauge::cell::test

#endif // OLEANDERGAUGE_TEST_CELL_FAKE_MACHINES_H
