// Tasks that prefer a rack and gangs for one rack: whether they wait for it or
// start elsewhere, and when they end.

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

JobSpec rackGang(std::uint32_t Count, Millis Estimate) {
  JobSpec Out = wholeWorkerJob(Count, Estimate);
  Out.Steps_[0].Gang_ = true;
  Out.Steps_[0].SameRack_ = true;
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

  void submit(const std::string &Id, const JobSpec &Spec,
              const std::string &Queue = "slow") {
    Durations_[Id] = Spec.Steps_[0].Estimate_;
    Sim_->submit(Id, Spec, Queue);
  }

  /// Keeps one worker in each of the given racks busy for \p Span.
  void block(const std::vector<std::string> &Racks, Millis Span) {
    for (const std::string &Rack : Racks) {
      JobSpec Spec = wholeWorkerJob(1, Span);
      Spec.Steps_[0].PreferredRack_ = Rack;
      submit(BlockerId + std::to_string(Blockers_++), Spec);
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
  int Blockers_ = 0;
  std::unique_ptr<CellSimulation> Sim_;
};

// Guards against a gang that waits for ever because no rack can hold it.
TEST_F(CellPlaceWait, GangLargerThanAnyRackStartsAtOnce) {
  start(AwayFactor);
  EXPECT_LE(serve(rackGang(5, 1000)), 1500 + MessageTime);
  EXPECT_EQ(Sim_->aloneEnds(), 0U);
  EXPECT_EQ(stats().PlaceWaitsGivenUp_, 1U);
  EXPECT_EQ(stats().PlaceLossMs_, 500U);
  EXPECT_LE(stats().PlaceWaitMs_, 10U);
}

TEST_F(CellPlaceWait, GangLargerThanAnyRackWaitsWithoutARemoteFactor) {
  start(0);
  submit(JobId, rackGang(5, 1000));
  Sim_->run(5000);
  EXPECT_EQ(Sim_->stateOf(JobId), JobState::Queued);
  EXPECT_EQ(stats().PlaceWaitsGivenUp_, 0U);
}

// Guards against a gang that spans racks although one has room soon. With a
// factor of 1 nothing is lost by that, so that it does not wait.
TEST_F(CellPlaceWait, GangWaitsForARackThatHasRoomSoon) {
  start(1);
  block({"r1", "r2"}, 250);
  const Millis Spanning = serve(rackGang(3, 1000));
  start(AwayFactor);
  block({"r1", "r2"}, 250);
  const Millis Waiting = serve(rackGang(3, 1000));
  EXPECT_GE(Spanning, 1500);
  EXPECT_LT(Waiting, Spanning - 200);
  EXPECT_EQ(stats().PlaceWaitsMet_, 1U);
  EXPECT_EQ(stats().PlaceWaitsGivenUp_, 0U);
  EXPECT_GT(stats().PlaceWaitMs_, 0U);
}

// Guards against a gang that is spread over more racks than it needs.
TEST_F(CellPlaceWait, GangPrefersFewRacks) {
  start(AwayFactor);
  Sim_->worker(4).Rack_ = "r3";
  Sim_->worker(5).Rack_ = "r4";
  Sim_->run(300); // r1: 3 workers, r2 to r4: one each.
  submit(JobId, rackGang(4, 1000));
  Sim_->run(MessageTime);
  ASSERT_EQ(Sim_->starts(), 4U);
  for (std::size_t At = 0; At < 3; ++At)
    EXPECT_EQ(Sim_->worker(At).Runs_.size(), 1U) << At;
}

// Guards against a gang that spans racks although preemption in one frees room
// sooner.
TEST_F(CellPlaceWait, GangPreemptsInOneRackIfThatIsSooner) {
  start(3);
  for (const std::string Rack : {"r1", "r2"}) {
    JobSpec Spec = wholeWorkerJob(1, 9000);
    Spec.Steps_[0].PreferredRack_ = Rack;
    Spec.Steps_[0].Checkpointed_ = true;
    submit(BlockerId + Rack, Spec);
  }
  Sim_->run(100);
  submit(JobId, rackGang(3, 1000), "fast");
  EXPECT_LE(timeToEnd(JobId), 1350 + MessageTime);
  EXPECT_EQ(Sim_->Stops_["preempted"], 1);
  EXPECT_EQ(stats().PlaceWaitsGivenUp_, 0U);
  EXPECT_EQ(stats().PlaceWaitsMet_, 2U); // The preempted task waits too.
}

// Guards against a gang that waits for a single rack although its queue's
// advice allows too few workers in any. Every second worker is allowed.
TEST_F(CellPlaceWait, GangSpansRacksIfAdviceAllowsTooFewWorkersInEach) {
  start(AwayFactor);
  Sim_->limitAdvice({2, 0.3, TicketValidity}, 2);
  Sim_->killOwner();
  Sim_->takeOver();
  Sim_->run(300);
  submit(JobId, rackGang(3, 1000), "advised");
  EXPECT_LE(timeToEnd(JobId), 1500 + 2 * MessageTime);
  EXPECT_EQ(stats().PlaceWaitsGivenUp_, 1U);
  EXPECT_LE(stats().PlaceWaitMs_, 10U);
}

// Guards against a gang that waits without limit while half of each rack is
// idle.
TEST_F(CellPlaceWait, GangSpansRacksWhereBothAreBusyForLong) {
  start(0);
  block({"r1", "r2"}, 6000);
  const Millis Waiting = serve(rackGang(3, 1000));
  start(AwayFactor);
  block({"r1", "r2"}, 6000);
  const Millis Spanning = serve(rackGang(3, 1000));
  // Half a second of waiting and a run of 1500 ms.
  EXPECT_LE(Spanning, 2000 + MessageTime);
  EXPECT_LT(Spanning + 3000, Waiting);
  EXPECT_EQ(stats().PlaceWaitsGivenUp_, 1U);
}

// Guards against a task with data that goes elsewhere a few ms before its rack
// has room, as it does at once without a remote factor.
TEST_F(CellPlaceWait, TaskWaitsSomeMsForItsRack) {
  start(0);
  block({"r1", "r1", "r1"}, 350);
  const Millis Elsewhere = serve(rackTask(1000));
  EXPECT_GE(Elsewhere, 1500);
  EXPECT_LE(Elsewhere, 1500 + MessageTime);
  EXPECT_EQ(stats().PlaceWaitsGivenUp_ + stats().PlaceWaitMs_, 0U);
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

// Guards against a wide step that leaves workers idle elsewhere while more of
// its tasks wait than its rack can hold.
TEST_F(CellPlaceWait, NoMoreTasksWaitThanTheRackCanHold) {
  start(AwayFactor);
  block({"r1", "r1", "r1"}, 9000);
  JobSpec Spec = rackTask(2000);
  Spec.Steps_[0].Count_ = 5;
  submit(JobId, Spec);
  Sim_->run(MessageTime);
  EXPECT_EQ(Sim_->starts(), 3U + 2U);
}

// Guards against waiting where the room that became free so far shows that it
// does not pay: the tasks in the rack end 600 ms apart on average.
TEST_F(CellPlaceWait, TaskStartsElsewhereAtOnceIfTheRackIsKnownToBeSlow) {
  start(AwayFactor);
  for (int Round = 0; Round < 2; ++Round) {
    block({"r1", "r1", "r1"}, 1500);
    Sim_->run(1800);
  }
  block({"r1", "r1", "r1"}, 9000);
  const CellStats Before = stats();
  EXPECT_LE(serve(rackTask(1000)), 1500 + MessageTime);
  EXPECT_EQ(stats().PlaceWaitMs_, Before.PlaceWaitMs_);
  EXPECT_EQ(stats().PlaceWaitsGivenUp_, Before.PlaceWaitsGivenUp_ + 1);
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

} // namespace
} // namespace oleandergauge::cell::test
