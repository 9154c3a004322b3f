#include <map>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "cell_world.h"

namespace oleandergauge::cell::test {
namespace {

/// Longer than an owner keeps a worker that has left.
constexpr Millis ForgetTime = 22000;
constexpr Millis FuzzTime = 50000;
/// Longer than a lease and the delay of the latest order.
constexpr Millis SettleTime = 20000;
constexpr std::size_t FuzzWorkers = 6;
/// Shortest absence of a worker, so that it may be back before its owner has
/// heard of its departure.
constexpr Millis MinAbsence = 100;
constexpr const char *JobId = "0000000000000010";

/// A job whose second step outlives the workers of the first one.
JobSpec longJob(bool Gang) {
  JobSpec Out = simpleJob(2, 3000);
  Out.Steps_[0].Gang_ = Gang;
  Out.Steps_.push_back(simpleJob(1, 3000).Steps_[0]);
  Out.Steps_[1].After_ = {0};
  return Out;
}

/// Runs the first step on workers that leave, and cancels the job after the
/// owner has forgotten them.
void cancelAfterDeparture(bool Gang) {
  CellSimulation Sim(11, 2);
  Sim.TaskBehaviour_ = [](const std::string &Task) {
    const bool First = Task.find(".0.0.") != std::string::npos;
    return std::pair(First ? Millis{300} : Millis{600000}, false);
  };
  Sim.takeOver();
  Sim.run(500);
  Sim.submit(JobId, longJob(Gang));
  Sim.run(3000);
  ASSERT_EQ(Sim.starts(), 3U);
  for (std::size_t At = 0; At < Sim.workerCount(); ++At)
    Sim.removeWorker(At);
  Sim.run(2 * ForgetTime);
  ASSERT_EQ(Sim.cell().stats(Sim.now()).Workers_, 0U);
  Sim.cancel(JobId);
  Sim.run(1000);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Cancelled);
  EXPECT_TRUE(Sim.violations().empty()) << Sim.violations().front();
}

// Guards against a task that is done and refers to the memory of a worker which
// the owner has forgotten: the cancel of its job ended the owner's process.
TEST(CellDeparture, CancelsAJobWhoseFormerWorkersAreForgotten) {
  cancelAfterDeparture(false);
}

// The same for the members of a gang, which are done all at once.
TEST(CellDeparture, CancelsAGangWhoseFormerWorkersAreForgotten) {
  cancelAfterDeparture(true);
}

class DepartureFuzz {
public:
  explicit DepartureFuzz(std::uint64_t Seed)
      : Random_(Seed), Sim_(Seed, FuzzWorkers) {}

  /// Lets workers leave and come back while jobs are submitted and cancelled,
  /// then lets all jobs end.
  void play() {
    Sim_.limitAdvice({5, 0.1}, 2);
    Sim_.takeOver();
    Sim_.run(300);
    while (Sim_.now() < FuzzTime) {
      submitJob();
      moveWorker();
      if (draw(0, 2) == 0)
        Sim_.cancel(idOf(draw(0, Jobs_ - 1)));
      // Every fourth pause is long enough for a worker to be forgotten.
      Sim_.run(draw(0, 3) == 0 ? ForgetTime : draw(20, 400) * Millis{5});
    }
    Sim_.run(MinAbsence);
    for (std::size_t At = 0; At < FuzzWorkers; ++At)
      if (Sim_.worker(At).Disconnected_)
        Sim_.returnWorker(At);
    for (int At = 0; At < Jobs_; ++At)
      Sim_.cancel(idOf(At));
    Sim_.run(SettleTime);
    check();
  }

private:
  int draw(int Low, int High) {
    return std::uniform_int_distribution<int>(Low, High)(Random_);
  }
  static std::string idOf(int Number) {
    char Id[17];
    std::snprintf(Id, sizeof Id, "%016x", Number);
    return Id;
  }
  void submitJob() {
    JobSpec Spec;
    for (int At = 0, Steps = draw(1, 3); At < Steps; ++At) {
      StepSpec Step =
          simpleJob(draw(1, 4), draw(2, 15) * std::int64_t{100}).Steps_[0];
      Step.Gang_ = draw(0, 2) == 0;
      if (At > 0)
        Step.After_ = {static_cast<std::uint32_t>(At - 1)};
      Spec.Steps_.push_back(Step);
    }
    constexpr const char *Queues[] = {"fast", "slow", "advised"};
    Sim_.submit(idOf(Jobs_++), Spec, Queues[draw(0, 2)]);
  }
  void moveWorker() {
    const auto At = static_cast<std::size_t>(draw(0, FuzzWorkers - 1));
    if (!Sim_.worker(At).Disconnected_) {
      Sim_.removeWorker(At);
      LeftAt_[At] = Sim_.now();
    } else if (Sim_.now() > LeftAt_[At] + MinAbsence) {
      Sim_.returnWorker(At);
    }
  }
  void check() {
    for (const std::string &What : Sim_.violations())
      RC_FAIL(What);
    for (const std::string &Id : Sim_.Accepted_) {
      const auto State = Sim_.stateOf(Id);
      RC_ASSERT(State == JobState::Complete || State == JobState::Failed ||
                State == JobState::Cancelled);
    }
  }

  std::mt19937_64 Random_;
  CellSimulation Sim_;
  std::map<std::size_t, Millis> LeftAt_;
  int Jobs_ = 0;
};

// Guards against any reference to a worker that outlives it: reservations,
// permissions, tasks and gangs. Meant to run under AddressSanitizer as well.
TEST(CellDeparture, RefersToNoForgottenWorkerUnderFaults) {
  EXPECT_TRUE(rc::check(
      [] { DepartureFuzz(*rc::gen::arbitrary<std::uint32_t>()).play(); }));
}

} // namespace
} // namespace oleandergauge::cell::test
