// Tasks that prefer a rack: whether they wait for it or start elsewhere, and
// when they end.

#include <gtest/gtest.h>

#include "cell_world.h"

namespace oleandergauge::cell::test {
namespace {

const std::string JobId = "00000000000000ad";
const std::string BlockerId = "00000000000000b0";
/// Memory of a task of which only one fits on a worker.
constexpr std::int64_t WholeWorkerMib = 4100;
constexpr double AwayFactor = 1.5;
/// Time for messages, transactions and placement passes.
constexpr Millis MessageTime = 200;

JobSpec wholeWorkerJob(std::uint32_t Count, Millis Estimate) {
  JobSpec Out = simpleJob(Count, 100);
  Out.Steps_[0].Need_.MemoryMib_ = WholeWorkerMib;
  Out.Steps_[0].Estimate_ = Estimate;
  return Out;
}

JobSpec rackTask(Millis Estimate) {
  JobSpec Out = wholeWorkerJob(1, Estimate);
  Out.Steps_[0].PreferredRack_ = "r1";
  return Out;
}

/// A cell with two racks of three workers each. Every task takes its estimate,
/// and work away from its place AwayFactor times as long.
class CellPlaceWait : public ::testing::Test {
protected:
  void start(double RemoteFactor) {
    Sim_ = std::make_unique<CellSimulation>(1, 6);
    Sim_->Bounds_.RemoteFactor_ = RemoteFactor;
    Sim_->AwayFactor_ = AwayFactor;
    for (std::size_t At = 3; At < 6; ++At)
      Sim_->worker(At).Rack_ = "r2";
    Sim_->TaskBehaviour_ = [this](const std::string &Task) {
      return std::pair(Durations_.at(jobOf(Task)), false);
    };
    Sim_->takeOver();
    Sim_->run(300);
  }

  void submit(const std::string &Id, const JobSpec &Spec) {
    Durations_[Id] = Spec.Steps_[0].Estimate_;
    Sim_->submit(Id, Spec);
  }

  /// Keeps the first worker of each of the given racks busy for \p Span.
  void block(const std::vector<std::string> &Racks, Millis Span) {
    for (std::size_t At = 0; At < Racks.size(); ++At) {
      JobSpec Spec = wholeWorkerJob(1, Span);
      Spec.Steps_[0].PreferredRack_ = Racks[At];
      submit(BlockerId + std::to_string(At), Spec);
      Sim_->run(50);
    }
  }

  /// Returns the time from now until the job is complete.
  Millis timeToEnd(const std::string &Id, Millis Limit = 20000) {
    const Millis From = Sim_->now();
    while (Sim_->stateOf(Id) != JobState::Complete &&
           Sim_->now() < From + Limit)
      Sim_->run(5);
    return Sim_->now() - From;
  }

  CellStats stats() { return Sim_->cell().stats(Sim_->now()); }

  /// Submits the job and returns the time until it is complete.
  Millis serve(const JobSpec &Spec) {
    submit(JobId, Spec);
    return timeToEnd(JobId);
  }

  void TearDown() override {
    EXPECT_TRUE(Sim_->violations().empty()) << Sim_->violations().front();
  }

  std::map<std::string, Millis> Durations_;
  std::unique_ptr<CellSimulation> Sim_;
};

// Guards against a task with data that goes elsewhere a few ms before its rack
// has room.
TEST_F(CellPlaceWait, TaskWaitsSomeMsForItsRack) {
  start(0);
  block({"r1", "r1", "r1"}, 350);
  const Millis Elsewhere = serve(rackTask(1000));
  EXPECT_GE(Elsewhere, 1500);
  start(AwayFactor);
  block({"r1", "r1", "r1"}, 350);
  const Millis Waiting = serve(rackTask(1000));
  EXPECT_LT(Waiting, 1500);
  EXPECT_LT(Waiting, Elsewhere);
  EXPECT_EQ(stats().PlaceWaitsMet_, 1U);
}

// Guards against a task that waits for a rack which stays full.
TEST_F(CellPlaceWait, TaskGivesUpARackThatStaysFull) {
  start(AwayFactor);
  block({"r1", "r1", "r1"}, 9000);
  EXPECT_LE(serve(rackTask(1000)), 2000 + MessageTime);
  EXPECT_EQ(stats().PlaceWaitsGivenUp_, 1U);
  EXPECT_EQ(stats().PlaceLossMs_, 500U);
}

// Guards against a waiting step that keeps others from room elsewhere.
TEST_F(CellPlaceWait, OtherStepsStartWhileOneWaitsForItsRack) {
  start(3);
  block({"r1", "r1", "r1"}, 2000);
  submit(JobId, rackTask(3000));
  Sim_->run(50);
  submit("00000000000000ae", wholeWorkerJob(3, 400));
  EXPECT_LE(timeToEnd("00000000000000ae"), 400 + MessageTime);
  EXPECT_EQ(Sim_->stateOf(JobId), JobState::Queued);
}

// Without a remote factor a task with a full rack starts elsewhere at once.
TEST_F(CellPlaceWait, TaskStartsElsewhereAtOnceWithoutARemoteFactor) {
  start(0);
  block({"r1", "r1", "r1"}, 9000);
  EXPECT_LE(serve(rackTask(1000)), 1500 + MessageTime);
  EXPECT_EQ(stats().PlaceWaitsGivenUp_, 0U);
  EXPECT_EQ(stats().PlaceWaitMs_, 0U);
}

} // namespace
} // namespace oleandergauge::cell::test
