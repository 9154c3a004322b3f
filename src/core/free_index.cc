#include "free_index.h"

namespace oleandergauge::detail {
namespace {

/// Amounts that count as equal in the order of free capacity: the parts of a
/// worker with 64 cores, 256 GiB and 8 slots. One accelerator counts as much
/// as all cores, so work without one fills other workers first.
constexpr double CpuMilliUnit = 1000.0;
constexpr double MemoryMibUnit = 4096.0;
constexpr double SlotUnit = 1.0 / 8.0;
constexpr double AcceleratorUnit = 1.0 / 64.0;

double orderKey(const Resources &Free) {
  return static_cast<double>(Free.CpuMilli_) / CpuMilliUnit +
         static_cast<double>(Free.MemoryMib_) / MemoryMibUnit +
         Free.Slots_ / SlotUnit + Free.Accelerators_ / AcceleratorUnit;
}

/// Spreads indices over the 32-bit range, for the heap order of the treap.
std::uint32_t priorityOf(WorkerIndex Worker) {
  std::uint32_t X = Worker + 0x9e3779b9U;
  X = (X ^ (X >> 16U)) * 0x85ebca6bU;
  X = (X ^ (X >> 13U)) * 0xc2b2ae35U;
  return X ^ (X >> 16U);
}

template <typename T> void raiseTo(T &Value, T Other) {
  Value = Value < Other ? Other : Value;
}

void raise(FreeCapacity &To, const FreeCapacity &From) {
  raiseTo(To.Others_.CpuMilli_, From.Others_.CpuMilli_);
  raiseTo(To.Others_.MemoryMib_, From.Others_.MemoryMib_);
  raiseTo(To.Others_.Accelerators_, From.Others_.Accelerators_);
  raiseTo(To.Others_.Slots_, From.Others_.Slots_);
  raiseTo(To.Others_.Connections_, From.Others_.Connections_);
  raiseTo(To.DirectSlots_, From.DirectSlots_);
}

} // namespace

void FreeIndex::put(std::size_t Tree, WorkerIndex Worker,
                    const FreeCapacity &Free) {
  erase(Worker);
  if (Nodes_.size() <= Worker)
    Nodes_.resize(Worker + 1);
  if (Roots_.size() <= Tree)
    Roots_.resize(Tree + 1, NoWorker);
  Node &N = Nodes_[Worker];
  N = Node{};
  N.Own_ = Free;
  N.Largest_ = Free;
  N.Key_ = orderKey(Free.Others_);
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

bool FreeIndex::before(WorkerIndex A, WorkerIndex B) const {
  if (Nodes_[A].Key_ != Nodes_[B].Key_)
    return Nodes_[A].Key_ < Nodes_[B].Key_;
  return A < B;
}

void FreeIndex::pull(WorkerIndex At) {
  Node &N = Nodes_[At];
  N.Largest_ = N.Own_;
  if (N.Left_ != NoWorker)
    raise(N.Largest_, Nodes_[N.Left_].Largest_);
  if (N.Right_ != NoWorker)
    raise(N.Largest_, Nodes_[N.Right_].Largest_);
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
  } else if (before(Worker, At)) {
    insertAt(Nodes_[At].Left_, Worker);
  } else {
    insertAt(Nodes_[At].Right_, Worker);
  }
  pull(At);
}

void FreeIndex::eraseAt(WorkerIndex &At, WorkerIndex Worker) {
  if (At == Worker) {
    At = merge(Nodes_[At].Left_, Nodes_[At].Right_);
    return;
  }
  if (before(Worker, At))
    eraseAt(Nodes_[At].Left_, Worker);
  else
    eraseAt(Nodes_[At].Right_, Worker);
  pull(At);
}

void FreeIndex::split(WorkerIndex At, WorkerIndex Pivot, WorkerIndex &Low,
                      WorkerIndex &High) {
  if (At == NoWorker) {
    Low = High = NoWorker;
    return;
  }
  if (before(At, Pivot)) {
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
  pull(At);
}

WorkerIndex FreeIndex::merge(WorkerIndex Low, WorkerIndex High) {
  if (Low == NoWorker)
    return High;
  if (High == NoWorker)
    return Low;
  if (Nodes_[Low].Priority_ > Nodes_[High].Priority_) {
    Nodes_[Low].Right_ = merge(Nodes_[Low].Right_, High);
    pull(Low);
    return Low;
  }
  Nodes_[High].Left_ = merge(Low, Nodes_[High].Left_);
  pull(High);
  return High;
}

} // namespace oleandergauge::detail
