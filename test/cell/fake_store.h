#ifndef OLEANDERGAUGE_TEST_CELL_FAKE_STORE_H
#define OLEANDERGAUGE_TEST_CELL_FAKE_STORE_H

#include <string>

#include "cell/records.h"
#include "simulation_core.h"

namespace oleandergauge::cell::test {

/// A fake store. It completes transactions after SimulationCore::CommitTime_
/// and checks each against its limits.
class FakeStore {
public:
  explicit FakeStore(SimulationCore &Core) : Core_(Core) {}

  /// Lets the store stop answering, or answer again.
  void setDown(bool Down) { Down_ = Down; }
  bool isDown() const { return Down_; }

  /// Returns the rows that a next owner reads.
  StoredCell read() const {
    StoredCell Out;
    for (const auto &[Key, Value] : Core_.Rows_) {
      if (Key.first == JobTable)
        Out.Jobs_.emplace_back(Key.second, Value);
      else if (Key.first == ProgressTable)
        Out.Progress_.emplace_back(Key.second, Value);
      else if (Key.first == EndedTable)
        Out.Ended_.emplace_back(Key.second, Value);
      else if (Key.first == WorkersTable)
        addWorkers(Out, Value);
      else if (Key.first == WavesTable)
        Out.Waves_.emplace_back(Key.second, Value);
    }
    return Out;
  }

  /// Begins a transaction of the present owner.
  void begin(const Commit &Each) {
    checkLimits(Each);
    Core_.CommitSizes_.push_back(Each.Changes_.size());
    Core_.schedule(Core_.CommitTime_,
                   [this, Each, Generation = Core_.ownerGeneration()] {
                     complete(Each, Generation);
                   });
  }

private:
  /// Limits of a transaction, besides the owner's row and its condition.
  static constexpr std::size_t MaxEntries = 98;
  static constexpr std::size_t MaxTransactionBytes = 1000000;
  /// Time in milliseconds until a store that was down is tried again.
  static constexpr Millis RetryTime = 50;

  static void addWorkers(StoredCell &Out, const std::string &Value) {
    const auto Ids = decodeWorkers(Value).value();
    Out.Workers_.insert(Ids.begin(), Ids.end());
    ++Out.WorkerRows_;
  }

  void checkLimits(const Commit &Each) {
    std::size_t Bytes = 0;
    for (const RowChange &Row : Each.Changes_) {
      const std::size_t Size = Row.Value_ ? Row.Value_->size() : 0;
      Bytes += 2 * Size + Row.Table_.size() + Row.Key_.size();
      if (Size > Core_.Bounds_.RowBytes_)
        Core_.addViolation("row of " + std::to_string(Size) +
                           " bytes: " + Row.Key_);
    }
    if (Each.Changes_.size() > MaxEntries || Bytes > MaxTransactionBytes)
      Core_.addViolation("transaction is too large");
  }

  void complete(const Commit &Each, int Generation) {
    if (Generation != Core_.ownerGeneration())
      return; // The row of the next owner makes the condition fail.
    if (Down_) {
      Core_.schedule(RetryTime,
                     [this, Each, Generation] { complete(Each, Generation); });
      return;
    }
    if (Core_.Rejects_ && Core_.Rejects_(Each)) {
      Core_.scheduleForOwner(0, [this] {
        Core_.cell().commitRejected(Core_.now());
        Core_.processEffects();
      });
      return;
    }
    for (const RowChange &Row : Each.Changes_) {
      if (Row.Value_)
        Core_.Rows_[{Row.Table_, Row.Key_}] = *Row.Value_;
      else
        Core_.Rows_.erase({Row.Table_, Row.Key_});
    }
    Core_.scheduleForOwner(0, [this] {
      Core_.cell().committed(Core_.now(), Core_.wall());
      Core_.processEffects();
    });
  }

  SimulationCore &Core_;
  bool Down_ = false;
};

} // namespace oleandergauge::cell::test

#endif // OLEANDERGAUGE_TEST_CELL_FAKE_STORE_H
