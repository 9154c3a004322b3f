#ifndef OLEANDERGAUGE_CORE_FREE_INDEX_H
#define OLEANDERGAUGE_CORE_FREE_INDEX_H

#include <cstdint>
#include <vector>

#include "oleandergauge/base.h"

namespace oleandergauge::detail {

using WorkerIndex = std::uint32_t;
inline constexpr WorkerIndex NoWorker = ~WorkerIndex(0);

/// The free capacity of one worker, or the maximum of each amount over several
/// workers.
struct FreeCapacity {
  Resources NonDirect_;          ///< Free for work other than direct calls.
  std::int32_t DirectSlots_ = 0; ///< Slots free for direct calls.

  friend bool operator==(const FreeCapacity &, const FreeCapacity &) = default;

  /// Returns the amounts that a direct call or, if \p Direct is false, other
  /// work may use.
  Resources usable(bool Direct) const {
    Resources Free = NonDirect_;
    if (Direct)
      Free.Slots_ = DirectSlots_;
    return Free;
  }
  bool admits(const Resources &Need, bool Direct) const {
    return Need.fitsIn(usable(Direct));
  }
};

/// A forest of search trees (treaps) of workers, ordered by the amount of free
/// capacity. Each node holds the maximum of each free amount in its subtree, so
/// a search skips subtrees in which no worker can fit. A worker is in at most
/// one of the trees.
class FreeIndex {
public:
  /// Adds the worker to tree \p Tree, or moves it there.
  void insertOrMove(std::size_t Tree, WorkerIndex Worker,
                    const FreeCapacity &Free);
  void erase(WorkerIndex Worker);

  /// Calls \p Visit for the workers of a tree on which \p Need fits, in order
  /// of increasing free capacity, until it returns true. Returns whether it
  /// did. Adds the number of examined nodes to \p Examined.
  template <typename Visitor>
  bool visit(std::size_t Tree, const Resources &Need, bool Direct,
             std::uint64_t &Examined, Visitor &&Visit) const {
    if (Tree >= Roots_.size())
      return false;
    return visitNode(Roots_[Tree], Need, Direct, Examined, Visit);
  }

private:
  struct Node {
    FreeCapacity Free_;
    FreeCapacity SubtreeMax_; ///< Maximum of each amount in the subtree.
    double Key_ = 0.0;        ///< Orders the nodes of a tree.
    std::uint32_t Priority_ = 0;
    WorkerIndex Left_ = NoWorker;
    WorkerIndex Right_ = NoWorker;
    std::size_t Tree_ = 0;
    bool Present_ = false;
  };

  template <typename Visitor>
  bool visitNode(WorkerIndex At, const Resources &Need, bool Direct,
                 std::uint64_t &Examined, Visitor &Visit) const {
    while (At != NoWorker) {
      const Node &N = Nodes_[At];
      ++Examined;
      if (!N.SubtreeMax_.admits(Need, Direct))
        return false;
      if (visitNode(N.Left_, Need, Direct, Examined, Visit))
        return true;
      if (N.Free_.admits(Need, Direct) && Visit(At))
        return true;
      At = N.Right_;
    }
    return false;
  }

  bool isBefore(WorkerIndex A, WorkerIndex B) const;
  /// Recomputes SubtreeMax_ of a node from its children.
  void updateSubtreeMax(WorkerIndex At);
  void insertAt(WorkerIndex &At, WorkerIndex Worker);
  void eraseAt(WorkerIndex &At, WorkerIndex Worker);
  /// Splits a tree into the nodes before \p Pivot and the others.
  void split(WorkerIndex At, WorkerIndex Pivot, WorkerIndex &Low,
             WorkerIndex &High);
  /// Joins two trees of which all nodes of \p Low precede those of \p High.
  WorkerIndex merge(WorkerIndex Low, WorkerIndex High);

  /// Indexed by worker.
  std::vector<Node> Nodes_;
  std::vector<WorkerIndex> Roots_;
};

} // namespace oleandergauge::detail

#endif // OLEANDERGAUGE_CORE_FREE_INDEX_H
