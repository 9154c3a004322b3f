#ifndef OLEANDERGAUGE_TEST_CELL_FAKE_FLEET_H
#define OLEANDERGAUGE_TEST_CELL_FAKE_FLEET_H

#include <set>
#include <string>
#include <vector>

#include "fake_worker.h"
#include "simulation_core.h"

namespace oleandergauge::cell::test {

/// The fake workers of a simulated cell, and which of them the store lists.
class FakeFleet {
public:
  FakeFleet(SimulationCore &Core, std::size_t WorkerCount) : Core_(Core) {
    for (std::size_t At = 0; At < WorkerCount; ++At) {
      FakeWorker Created;
      Created.Id_ = "w" + std::to_string(At);
      Created.Address_ = "10.0.0." + std::to_string(At) + ":1";
      Created.Domain_ = At % 2 == 0 ? "d1" : "d2";
      Workers_.push_back(Created);
    }
  }

  std::vector<FakeWorker> &workers() { return Workers_; }
  const std::vector<FakeWorker> &workers() const { return Workers_; }

  FakeWorker *find(const std::string &Id) {
    for (FakeWorker &Each : Workers_)
      if (Each.Id_ == Id)
        return &Each;
    return nullptr;
  }

  /// Adds a worker to the list in the store or removes it.
  void setListed(const std::string &Id, bool Listed) {
    if (Listed)
      Unlisted_.erase(Id);
    else
      Unlisted_.insert(Id);
  }

  /// Tells the owner the list of workers.
  void tellOwner() {
    std::vector<WorkerEntry> Entries;
    for (const FakeWorker &Each : Workers_)
      if (Unlisted_.count(Each.Id_) == 0)
        Entries.push_back({Each.Id_, "svc", Each.Address_, Each.Domain_,
                           Each.Labels_, Each.Rack_, Each.Capacity_,
                           Each.Draining_, Each.Incarnation_});
    Core_.cell().setWorkers(Core_.now(), Entries, true);
  }

  void recordDisconnections() {
    for (const FakeWorker &Each : Workers_)
      if (Each.Disconnected_)
        LastDisconnectedAt_ = Core_.now();
  }
  /// Returns when a worker was last disconnected.
  Millis lastDisconnectedAt() const { return LastDisconnectedAt_; }

private:
  SimulationCore &Core_;
  std::vector<FakeWorker> Workers_;
  std::set<std::string> Unlisted_;
  Millis LastDisconnectedAt_ = -1000000;
};

} // namespace oleandergauge::cell::test

#endif // OLEANDERGAUGE_TEST_CELL_FAKE_FLEET_H
