#ifndef OLEANDERGAUGE_CORE_FREE_INDEX_H
#define OLEANDERGAUGE_CORE_FREE_INDEX_H

#include <cstdint>
#include <vector>

#include "oleandergauge/base.h"

namespace oleandergauge::detail {

using WorkerIndex = std::uint32_t;
inline constexpr WorkerIndex NoWorker = ~WorkerIndex(0);

/// What is free on one worker, or the largest of each amount over several.
struct FreeCapacity {
  Resources Others_;             ///< For all work but direct calls.
  std::int32_t DirectSlots_ = 0; ///< Slots free for direct calls.

  friend bool operator==(const FreeCapacity &, const FreeCapacity &) = default;

  /// The free amounts that a direct call, or other work, may take.
  Resources usable(bool Direct) const {
    Resources Free = Others_;
    if (Direct)
      Free.Slots_ = DirectSlots_;
    return Free;
  }
  bool admits(const Resources &Need, bool Direct) const {
    return Need.fitsIn(usable(Direct));
  }
};

/// A search tree (treap) of workers ordered by the amount of free capacity.
/// Each node knows the largest free amounts of its subtree, so a search skips
/// subtrees in which nothing can fit. The same worker is in one tree of the
/// forest at most.
class FreeIndex {
public:
  /// Adds the worker to tree \p Tree, or moves it there.
  void put(std::size_t Tree, WorkerIndex Worker, const FreeCapacity &Free);
  void erase(WorkerIndex Worker);

  /// Calls \p Visit for the workers of a tree on which \p Need fits, from the
  /// least to the most free, until it returns true. Returns whether it did.
  /// \p Looked is increased by the number of nodes looked at.
  template <typename Visitor>
  bool visit(std::size_t Tree, const Resources &Need, bool Direct,
             std::uint64_t &Looked, Visitor &&Visit) const {
    if (Tree >= Roots_.size())
      return false;
    return visitNode(Roots_[Tree], Need, Direct, Looked, Visit);
  }

private:
  struct Node {
    FreeCapacity Own_;
    FreeCapacity Largest_; ///< Of the subtree.
    double Key_ = 0.0;
    std::uint32_t Priority_ = 0;
    WorkerIndex Left_ = NoWorker;
    WorkerIndex Right_ = NoWorker;
    std::size_t Tree_ = 0;
    bool Present_ = false;
  };

  template <typename Visitor>
  bool visitNode(WorkerIndex At, const Resources &Need, bool Direct,
                 std::uint64_t &Looked, Visitor &Visit) const {
    while (At != NoWorker) {
      const Node &N = Nodes_[At];
      ++Looked;
      if (!N.Largest_.admits(Need, Direct))
        return false;
      if (visitNode(N.Left_, Need, Direct, Looked, Visit))
        return true;
      if (N.Own_.admits(Need, Direct) && Visit(At))
        return true;
      At = N.Right_;
    }
    return false;
  }

  bool before(WorkerIndex A, WorkerIndex B) const;
  void pull(WorkerIndex At);
  void insertAt(WorkerIndex &At, WorkerIndex Worker);
  void eraseAt(WorkerIndex &At, WorkerIndex Worker);
  void split(WorkerIndex At, WorkerIndex Pivot, WorkerIndex &Low,
             WorkerIndex &High);
  WorkerIndex merge(WorkerIndex Low, WorkerIndex High);

  std::vector<Node> Nodes_;
  std::vector<WorkerIndex> Roots_;
};

} // namespace oleandergauge::detail

#endif // OLEANDERGAUGE_CORE_FREE_INDEX_H
