/// Embeds the scheduler of the library: two workers, one gang and one call.

#include <cstdio>

#include <oleandergauge/oleandergauge.h>

namespace {

using namespace oleandergauge;

WorkerInfo makeWorker(const char *Name, const char *Domain) {
  WorkerInfo Worker;
  Worker.Id_ = WorkerId(Name);
  Worker.Domain_ = FailureDomain(Domain);
  Worker.Rack_ = Rack("rack-1");
  Worker.Capacity_ = {64000, 131072, 0, 8, 64};
  return Worker;
}

WorkItem makeItem(const char *Job, WorkClass Class, std::uint32_t Count) {
  WorkItem Item;
  Item.First_ = {JobId(Job), 0};
  Item.Count_ = Count;
  Item.Team_ = TeamId("brands");
  Item.Class_ = Class;
  Item.Need_ = {4000, 8192, 0, 1, 1};
  return Item;
}

} // namespace

int main() {
  Scheduler Decisions;
  Decisions.upsertWorker(makeWorker("worker-1", "east"));
  Decisions.upsertWorker(makeWorker("worker-2", "west"));
  Decisions.setTeam(TeamId("brands"), 1.0, 16);

  const WorkItem Gang = makeItem("proofs", WorkClass::Gang, 4);
  if (const auto Feasible = Decisions.checkFeasible(Gang); !Feasible) {
    std::printf("refused: %s\n", Feasible.error().Message_.c_str());
    return 1;
  }
  Decisions.enqueue(Gang);
  Decisions.enqueue(makeItem("quote", WorkClass::Direct, 1));

  const auto Placed = Decisions.decide(TimePoint(), 16);
  for (const PlacedTask &Task : Placed)
    std::printf("%s/%u on %s\n", Task.Task_.Job_.str().c_str(),
                Task.Task_.Index_, Task.Worker_.str().c_str());
  return Placed.size() == 5 ? 0 : 1;
}
