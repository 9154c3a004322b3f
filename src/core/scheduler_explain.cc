#include "scheduler_state.h"

namespace oleandergauge {

using namespace detail;

namespace {

/// The first amount of which less is free than needed, or nullptr.
const char *lackingAmount(const Resources &Need, const Resources &Free) {
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

std::string Scheduler::State::explain(const TaskId &First) const {
  const WaitingItem *Waiting = Waiting_.find(First);
  if (Waiting == nullptr)
    return Running_.contains(First) ? "The task is placed."
                                    : "The task does not wait here.";
  const WorkItem &Item = Waiting->Work_;
  const Team &Of = Teams_[Waiting->Team_];
  if (Of.Headroom_ < Item.Count_)
    return "The team may start " + std::to_string(Of.Headroom_) +
           " more tasks now and the work needs " + std::to_string(Item.Count_) +
           ".";
  if (Pledges_.contains(First))
    return "Room is being made by stopping other tasks.";
  std::string Text = explainMisfit(Item);
  for (const auto &Held : Reservations_)
    if (Held && Held->Holder_ == First)
      Text += " Room is reserved for it on " +
              std::to_string(Held->Workers_.size()) + " workers.";
  return Text;
}

std::string Scheduler::State::explainMisfit(const WorkItem &Item) const {
  std::map<std::string, std::size_t> Lacking;
  std::size_t Fitting = 0;
  for (const WorkerIndex W : OpenWorkers_) {
    const char *Amount = lackingAmount(
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
