#include "free_index.h"

namespace oleandergauge::detail {
namespace {

/// Units that weigh the same in the order of workers by free capacity. They
/// follow the proportions of a worker with 64 cores, 256 GiB and 8 slots. One
/// accelerator weighs as much as 64 cores, so that work without need of one
/// fills workers without accelerators first.
constexpr double CpuMilliUnit = 1000.0;
constexpr double MemoryMibUnit = 4096.0;
constexpr double SlotUnit = 1.0 / 8.0;
constexpr double AcceleratorUnit = 1.0 / 64.0;

double orderKey(const Resources &Free) {
  return static_cast<double>(Free.CpuMilli_) / CpuMilliUnit +
         static_cast<double>(Free.MemoryMib_) / MemoryMibUnit +
         Free.Slots_ / SlotUnit + Free.Accelerators_ / AcceleratorUnit;
}

/// Hashes the index to a pseudorandom heap priority, which keeps the treap
/// balanced.
std::uint32_t priorityOf(WorkerIndex Worker) {
  std::uint32_t X = Worker + 0x9e3779b9U;
  X = (X ^ (X >> 16U)) * 0x85ebca6bU;
  X = (X ^ (X >> 13U)) * 0xc2b2ae35U;
  return X ^ (X >> 16U);
}

template <typename T> void raiseToMax(T &Value, T Other) {
  Value = Value < Other ? Other : Value;
}

/// Raises each amount of \p To to that of \p From if it is lower.
void raise(FreeCapacity &To, const FreeCapacity &From) {
  raiseToMax(To.NonDirect_.CpuMilli_, From.NonDirect_.CpuMilli_);
  raiseToMax(To.NonDirect_.MemoryMib_, From.NonDirect_.MemoryMib_);
  raiseToMax(To.NonDirect_.Accelerators_, From.NonDirect_.Accelerators_);
  raiseToMax(To.NonDirect_.Slots_, From.NonDirect_.Slots_);
  raiseToMax(To.NonDirect_.Connections_, From.NonDirect_.Connections_);
  raiseToMax(To.DirectSlots_, From.DirectSlots_);
}

} // namespace

void FreeIndex::insertOrMove(std::size_t Tree, WorkerIndex Worker,
                             const FreeCapacity &Free) {
  erase(Worker);
  if (Nodes_.size() <= Worker)
    Nodes_.resize(Worker + 1);
  if (Roots_.size() <= Tree)
    Roots_.resize(Tree + 1, NoWorker);
  Node &N = Nodes_[Worker];
  N = Node{};
  N.Free_ = Free;
  N.SubtreeMax_ = Free;
  N.Key_ = orderKey(Free.NonDirect_);
  N.Priority_ = priorityOf(Worker);
  N.Tree_ = Tree;
  N.Present_ = true;
  insertAt(Roots_[Tree], Worker);
}

void FreeIndex::erase(WorkerIndex Worker) {
  if (Worker >= Nodes_.size() || !Nodes_[Worker].Present_)
    return;
  eraseAt(Roots_[Nodes_[Worker].Tree_], Worker);
  Nodes_[Worker].Present_ = false;
}

bool FreeIndex::isBefore(WorkerIndex A, WorkerIndex B) const {
  if (Nodes_[A].Key_ != Nodes_[B].Key_)
    return Nodes_[A].Key_ < Nodes_[B].Key_;
  return A < B;
}

void FreeIndex::updateSubtreeMax(WorkerIndex At) {
  Node &N = Nodes_[At];
  N.SubtreeMax_ = N.Free_;
  if (N.Left_ != NoWorker)
    raise(N.SubtreeMax_, Nodes_[N.Left_].SubtreeMax_);
  if (N.Right_ != NoWorker)
    raise(N.SubtreeMax_, Nodes_[N.Right_].SubtreeMax_);
}

void FreeIndex::insertAt(WorkerIndex &At, WorkerIndex Worker) {
  if (At == NoWorker) {
    At = Worker;
    return;
  }
  if (Nodes_[Worker].Priority_ > Nodes_[At].Priority_) {
    WorkerIndex Low = NoWorker;
    WorkerIndex High = NoWorker;
    split(At, Worker, Low, High);
    Nodes_[Worker].Left_ = Low;
    Nodes_[Worker].Right_ = High;
    At = Worker;
  } else if (isBefore(Worker, At)) {
    insertAt(Nodes_[At].Left_, Worker);
  } else {
    insertAt(Nodes_[At].Right_, Worker);
  }
  updateSubtreeMax(At);
}

void FreeIndex::eraseAt(WorkerIndex &At, WorkerIndex Worker) {
  if (At == Worker) {
    At = merge(Nodes_[At].Left_, Nodes_[At].Right_);
    return;
  }
  if (isBefore(Worker, At))
    eraseAt(Nodes_[At].Left_, Worker);
  else
    eraseAt(Nodes_[At].Right_, Worker);
  updateSubtreeMax(At);
}

void FreeIndex::split(WorkerIndex At, WorkerIndex Pivot, WorkerIndex &Low,
                      WorkerIndex &High) {
  if (At == NoWorker) {
    Low = High = NoWorker;
    return;
  }
  if (isBefore(At, Pivot)) {
    Low = At;
    WorkerIndex Rest = NoWorker;
    split(Nodes_[At].Right_, Pivot, Rest, High);
    Nodes_[At].Right_ = Rest;
  } else {
    High = At;
    WorkerIndex Rest = NoWorker;
    split(Nodes_[At].Left_, Pivot, Low, Rest);
    Nodes_[At].Left_ = Rest;
  }
  updateSubtreeMax(At);
}

WorkerIndex FreeIndex::merge(WorkerIndex Low, WorkerIndex High) {
  if (Low == NoWorker)
    return High;
  if (High == NoWorker)
    return Low;
  if (Nodes_[Low].Priority_ > Nodes_[High].Priority_) {
    Nodes_[Low].Right_ = merge(Nodes_[Low].Right_, High);
    updateSubtreeMax(Low);
    return Low;
  }
  Nodes_[High].Left_ = merge(Low, Nodes_[High].Left_);
  updateSubtreeMax(High);
  return High;
}

} // namespace oleandergauge::detail
