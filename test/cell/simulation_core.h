#ifndef OLEANDERGAUGE_TEST_CELL_SIMULATION_CORE_H
#define OLEANDERGAUGE_TEST_CELL_SIMULATION_CORE_H

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cell/cell.h"

namespace oleandergauge::cell::test {

/// Fault rates of a simulation, as shares of calls.
struct Faults {
  double LostAnswer_ = 0; ///< The order is carried out, but its answer is lost.
  /// The order is unanswered and carried out 2 to 8 s later.
  double LateOrder_ = 0;
  double FailedRun_ = 0;  ///< The run ends as failed.
  double LostAdvice_ = 0; ///< The call for advice has no outcome at all.
};

/// What a test may set in a simulation. Times are in milliseconds.
struct SimulationSettings {
  Faults Faults_;
  Bounds Bounds_;                 ///< As the next owner is told.
  bool Admission_ = true;         ///< Admission control of the next owner.
  Millis CommitTime_ = 8;         ///< Duration of a transaction.
  Millis ListInterval_ = 200;     ///< Time between two reads of the workers.
  std::size_t EndsPerList_ = 500; ///< Ends in one answer of a worker.
  /// Connections for orders to each worker; further orders wait for one. Zero
  /// sets no limit.
  std::size_t OrderConnections_ = 0;
  /// The owner's process is suspended: time passes, but it handles nothing.
  bool OwnerPaused_ = false;
  /// Called at the start of each tick, before the owner's.
  std::function<void()> BeforeTick_;
  std::function<void(const Reply &)> ReplyObserver_;
  /// Whether the store rejects a transaction for good; none if not set.
  std::function<bool(const Commit &)> Rejects_;
  /// Run time and failure of a task; drawn at random if not set.
  std::function<std::pair<Millis, bool>(const std::string &Task)>
      TaskBehaviour_;
  /// Factor by which a task takes longer away from its preferred rack, and a
  /// gang for one rack on several.
  double AwayFactor_ = 1;
  /// Tail latency that a task of a service reports.
  std::function<double(const std::string &Task)> ReportedTail_;
};

/// What a simulation records for tests.
struct SimulationRecords {
  std::set<std::string> Started_; ///< Jobs of which a task was started.
  std::set<std::string> Accepted_;
  std::set<std::string> Refused_;
  std::set<std::string> TooLarge_;
  std::set<std::string> NotStorable_;
  std::vector<Millis> RetryTimes_; ///< As told with refusals.
  std::map<std::string, Millis> CancelledAt_;
  std::map<std::string, Millis> AskedAt_; ///< First call for advice, by step.
  std::vector<std::size_t> CommitSizes_;  ///< Rows written by transactions.
  /// The latest report by wave; true if complete.
  std::map<std::uint64_t, bool> WaveStates_;
  std::map<std::string, int> Paces_; ///< The latest pace order by task.
  std::map<std::string, int> Stops_; ///< Number of stopped runs by reason.
  std::string SpeedReport_; ///< The latest line on learned worker speeds.
  /// Rows in the store, by table and key.
  std::map<std::pair<std::string, std::string>, std::string> Rows_;
};

/// What all parts of a simulated cell share: the virtual time with its events,
/// random draws, the process of the present owner, and the violations found.
class SimulationCore : public SimulationSettings, public SimulationRecords {
public:
  static constexpr Millis TickLength = 5;

  explicit SimulationCore(std::uint64_t Seed) : Random_(Seed) {}

  Millis now() const { return Now_; }
  Millis wall() const { return 1000000 + Now_; }
  void advanceTime() { Now_ += TickLength; }

  bool drawChance(double Share) {
    return std::uniform_real_distribution<>(0, 1)(Random_) < Share;
  }
  Millis drawBetween(Millis Low, Millis High) {
    return std::uniform_int_distribution<Millis>(Low, High)(Random_);
  }

  /// Returns how long work takes away from its place.
  Millis workAway(Millis Work) const {
    return static_cast<Millis>(AwayFactor_ * static_cast<double>(Work));
  }

  void addViolation(const std::string &What) {
    Violations_.push_back(std::to_string(Now_) + " ms: " + What);
  }
  const std::vector<std::string> &violations() const { return Violations_; }

  bool hasOwner() const { return Cell_ != nullptr; }
  Cell &cell() { return *Cell_; }
  Millis ownerSince() const { return OwnerSince_; }
  /// Returns a number that differs for owners that did not end the same way.
  int ownerGeneration() const { return OwnerGeneration_; }
  /// Creates the next owner, which knows nothing yet.
  void createOwner() {
    ++Epoch_;
    OwnerSince_ = Now_;
    Cell_ =
        std::make_unique<Cell>("h" + std::to_string(Epoch_), Epoch_, Bounds_);
    Cell_->setAdmission(Admission_);
  }
  void destroyOwner() {
    Cell_.reset();
    ++OwnerGeneration_;
  }

  /// Sets what carries out the owner's effects.
  void setEffectHandler(std::function<void(const Effect &)> Handler) {
    EffectHandler_ = std::move(Handler);
  }
  void processEffects() {
    for (const Effect &Each : Cell_->takeEffects())
      EffectHandler_(Each);
  }

  void schedule(Millis Delay, std::function<void()> Work) {
    Events_.emplace(Now_ + Delay, std::move(Work));
  }
  /// Schedules what the process of the present owner handles. It waits while
  /// that process is suspended, and is dropped once it has ended.
  void scheduleForOwner(Millis Delay, const std::function<void()> &Work) {
    schedule(Delay, [this, Work, Generation = OwnerGeneration_] {
      if (!Cell_ || Generation != OwnerGeneration_)
        return;
      if (OwnerPaused_)
        scheduleForOwner(TickLength, Work);
      else
        Work();
    });
  }
  void runDueEvents() {
    while (!Events_.empty() && Events_.begin()->first <= Now_) {
      const std::function<void()> Work = std::move(Events_.begin()->second);
      Events_.erase(Events_.begin());
      Work();
    }
  }

private:
  std::mt19937_64 Random_;
  Millis Now_ = 1000;
  Epoch Epoch_ = 0;
  int OwnerGeneration_ = 0;
  Millis OwnerSince_ = 0;
  std::unique_ptr<Cell> Cell_;
  std::function<void(const Effect &)> EffectHandler_;
  std::multimap<Millis, std::function<void()>> Events_;
  std::vector<std::string> Violations_;
};

} // namespace oleandergauge::cell::test

#endif // OLEANDERGAUGE_TEST_CELL_SIMULATION_CORE_H
