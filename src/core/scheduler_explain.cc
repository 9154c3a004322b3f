#include "scheduler_state.h"

namespace oleandergauge {

using namespace detail;

namespace {

/// Returns the name of the first resource of which less is free than needed, or
/// nullptr if there is none.
const char *firstMissingResource(const Resources &Need, const Resources &Free) {
  if (Need.Slots_ > Free.Slots_)
    return "slots";
  if (Need.CpuMilli_ > Free.CpuMilli_)
    return "processor";
  if (Need.MemoryMib_ > Free.MemoryMib_)
    return "memory";
  if (Need.Accelerators_ > Free.Accelerators_)
    return "accelerators";
  if (Need.Connections_ > Free.Connections_)
    return "connections";
  return nullptr;
}

} // namespace

std::string Scheduler::State::explainWaiting(const TaskId &First) const {
  const WaitingItem *Waiting = Waiting_.find(First);
  if (Waiting == nullptr)
    return Running_.contains(First) ? "The task is placed."
                                    : "The task does not wait here.";
  const WorkItem &Item = Waiting->Work_;
  const Team &Submitter = Teams_[Waiting->Team_];
  if (Submitter.Headroom_ < Item.Count_)
    return "The team may start " + std::to_string(Submitter.Headroom_) +
           " more tasks now and the work needs " + std::to_string(Item.Count_) +
           ".";
  if (PendingPreemptions_.contains(First))
    return "Room is being made by stopping other tasks.";
  std::string Text = explainMissingCapacity(Item);
  for (const auto &Reserved : Reservations_)
    if (Reserved && Reserved->Holder_ == First)
      Text += " Room is reserved for it on " +
              std::to_string(Reserved->Workers_.size()) + " workers.";
  return Text;
}

std::string
Scheduler::State::explainMissingCapacity(const WorkItem &Item) const {
  std::map<std::string, std::size_t> Lacking;
  std::size_t Fitting = 0;
  for (const WorkerIndex W : OpenWorkers_) {
    const char *Amount = firstMissingResource(
        Item.Need_, Workers_[W].Free_.usable(Item.Class_ == WorkClass::Direct));
    if (Amount == nullptr)
      ++Fitting;
    else
      ++Lacking[Amount];
  }
  std::string Text = "Of " + std::to_string(OpenWorkers_.size()) +
                     " open workers, " + std::to_string(Fitting) +
                     " have room for a task of it";
  for (const auto &[Amount, Count] : Lacking)
    Text += ", " + std::to_string(Count) + " lack free " + Amount;
  Text += ".";
  if (Fitting > 0)
    Text += Item.Count_ > 1 ? " All of its tasks must fit at once."
                            : " It waits for its turn.";
  return Text;
}

} // namespace oleandergauge
