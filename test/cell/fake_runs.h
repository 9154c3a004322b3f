#ifndef OLEANDERGAUGE_TEST_CELL_FAKE_RUNS_H
#define OLEANDERGAUGE_TEST_CELL_FAKE_RUNS_H

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fake_fleet.h"
#include "task_checks.h"

namespace oleandergauge::cell::test {

/// Advances the runs on the fake workers. The members of a gang find each other
/// and end together, whatever the owner does.
class FakeRuns {
public:
  FakeRuns(SimulationCore &Core, FakeFleet &Fleet, TaskChecks &Checks)
      : Core_(Core), Fleet_(Fleet), Checks_(Checks) {}

  /// Advances all runs by a tick.
  void advance() {
    updateGangs();
    for (FakeWorker &Each : Fleet_.workers())
      for (const auto &[Task, Kind] :
           Each.advance(Core_.now(), SimulationCore::TickLength))
        endRun(Each, Task, Kind);
  }

private:
  using Member = std::pair<FakeWorker *, std::string>;

  /// Ends a run, and with it the other members of its gang.
  void endRun(FakeWorker &Receiver, const std::string &Task, EndKind Kind) {
    const auto It = Receiver.Runs_.find(Task);
    if (It == Receiver.Runs_.end())
      return;
    const FakeWorker::ActiveRun EndedRun = It->second;
    Receiver.end(Task, Kind);
    Checks_.recordEnd(Task, EndedRun, Kind);
    if (!EndedRun.Gang_)
      return;
    const EndKind Others = Kind == EndKind::Done ? Kind : EndKind::Broken;
    for (const auto &[Worker, Other] :
         membersOf(stepOf(Task), EndedRun.Attempt_))
      endRun(*Worker, Other, Others);
  }

  std::vector<Member> membersOf(const std::string &Step,
                                std::uint64_t Attempt) {
    std::vector<Member> Out;
    for (FakeWorker &Worker : Fleet_.workers())
      for (const auto &[Task, Each] : Worker.Runs_)
        if (Each.Gang_ && Each.Attempt_ == Attempt && stepOf(Task) == Step)
          Out.emplace_back(&Worker, Task);
    return Out;
  }

  /// Lets gangs work once all members of an attempt are present. If a member
  /// has disappeared without an end, the others end too.
  void updateGangs() {
    std::set<std::pair<std::string, std::uint64_t>> Gangs;
    for (const FakeWorker &Worker : Fleet_.workers())
      for (const auto &[Task, Each] : Worker.Runs_)
        if (Each.Gang_)
          Gangs.emplace(stepOf(Task), Each.Attempt_);
    for (const auto &[Step, Attempt] : Gangs)
      updateGang(membersOf(Step, Attempt));
  }

  /// Whether a gang for one rack runs on several.
  bool isAway(const std::vector<Member> &Members) const {
    return Checks_.specOf(Members.front().second).SameRack_ &&
           std::any_of(Members.begin(), Members.end(), [&](const Member &Each) {
             return Each.first->Rack_ != Members.front().first->Rack_;
           });
  }

  void updateGang(const std::vector<Member> &Members) {
    const auto &[First, FirstTask] = Members.front();
    if (Members.size() == Checks_.specOf(FirstTask).Count_) {
      const bool Away = isAway(Members);
      for (const auto &[Worker, Task] : Members) {
        FakeWorker::ActiveRun &Each = Worker->Runs_[Task];
        if (Away && !Each.Assembled_)
          Each.RemainingWork_ = Core_.workAway(Each.RemainingWork_);
        Each.Assembled_ = true;
      }
      return;
    }
    if (First->Runs_[FirstTask].Assembled_)
      endRun(*First, FirstTask, EndKind::Broken);
  }

  SimulationCore &Core_;
  FakeFleet &Fleet_;
  TaskChecks &Checks_;
};

} // namespace oleandergauge::cell::test

#endif // OLEANDERGAUGE_TEST_CELL_FAKE_RUNS_H
