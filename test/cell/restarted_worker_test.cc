#include <gtest/gtest.h>

#include "cell_world.h"

namespace oleandergauge::cell::test {
namespace {

const std::string JobId = "00000000000000aa";
constexpr Millis LongWork = 9000;

/// A cell of two workers, with an owner that knows both.
class RestartedWorker : public testing::Test {
protected:
  RestartedWorker() {
    Sim_.TaskBehaviour_ = [this](const std::string &) {
      return std::pair(Work_, false);
    };
    Sim_.takeOver();
    Sim_.run(300);
  }

  void expectNoViolation() {
    EXPECT_TRUE(Sim_.violations().empty()) << Sim_.violations().front();
  }

  Millis Work_ = LongWork;
  CellSimulation Sim_{1, 2};
};

/// Offsets of the restart, so that each of the entry in the store, a list and
/// an answer to an order brings the news of it first.
constexpr Millis FirstOffset = 0;
constexpr Millis LastOffset = 400;
constexpr Millis OffsetStep = 20;

// Guards against two runs of a task: a worker that is back under its id carries
// out an order that was meant for its former incarnation, and the answer is
// taken for one of the former incarnation.
TEST(RestartedWorkerOrders, ANewIncarnationKeepsWhatItWasToldToStart) {
  for (Millis Offset = FirstOffset; Offset < LastOffset; Offset += OffsetStep) {
    CellSimulation Sim(1, 2);
    Sim.TaskBehaviour_ = [](const std::string &) {
      return std::pair(LongWork, false);
    };
    Sim.takeOver();
    Sim.run(300 + Offset);
    Sim.restartWorker(0);
    Sim.restartWorker(1);
    Sim.submit(JobId, simpleJob(4, 1000), "fast");
    Sim.run(20000);
    EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete) << Offset;
    EXPECT_TRUE(Sim.violations().empty())
        << Offset << ": " << Sim.violations().front();
  }
}

// Guards against the same where the worker restarts twice before its owner
// hears of the first time.
TEST(RestartedWorkerOrders, TwoRestartsInARow) {
  for (Millis Offset = FirstOffset; Offset < LastOffset; Offset += OffsetStep) {
    CellSimulation Sim(1, 2);
    Sim.TaskBehaviour_ = [](const std::string &) {
      return std::pair(LongWork, false);
    };
    Sim.takeOver();
    Sim.run(300 + Offset);
    Sim.restartWorker(0);
    Sim.submit(JobId, simpleJob(4, 1000), "fast");
    Sim.run(30);
    Sim.restartWorker(0);
    Sim.run(30000);
    EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete) << Offset;
    EXPECT_TRUE(Sim.violations().empty())
        << Offset << ": " << Sim.violations().front();
  }
}

/// Cuts off the workers that run something.
void cutBusyWorkers(CellSimulation &Sim) {
  for (std::size_t At = 0; At < Sim.workerCount(); ++At)
    Sim.worker(At).Disconnected_ = !Sim.worker(At).Runs_.empty();
}

// Guards against a second run that starts while the first one's lease goes on:
// a deadline on the clock of a former incarnation gives the new one the longest
// lease, and the worker is cut off soon after.
TEST(RestartedWorkerLeases, ACutWorkerMayHoldTheLongestLease) {
  for (Millis Offset = FirstOffset; Offset < LastOffset; Offset += OffsetStep) {
    CellSimulation Sim(1, 2);
    Sim.TaskBehaviour_ = [](const std::string &) {
      return std::pair(LongWork, false);
    };
    Sim.takeOver();
    Sim.run(300 + Offset);
    Sim.restartWorker(0);
    Sim.restartWorker(1);
    Sim.submit("00000000000000b0", simpleJob(1, 1000), "fast");
    Sim.run(250);
    Sim.submit(JobId, simpleJob(2, 1000), "fast");
    Sim.run(60);
    cutBusyWorkers(Sim);
    Sim.run(20000);
    EXPECT_TRUE(Sim.violations().empty())
        << Offset << ": " << Sim.violations().front();
  }
}

// Guards against a next owner that counts the same leases as short ones.
TEST(RestartedWorkerLeases, ANextOwnerAlsoWaitsForTheLongestLease) {
  for (Millis Offset = FirstOffset; Offset < LastOffset; Offset += OffsetStep) {
    CellSimulation Sim(1, 2);
    Sim.Bounds_.MaxLease_ = FakeOrders::MaxLease;
    Sim.TaskBehaviour_ = [](const std::string &) {
      return std::pair(LongWork, false);
    };
    Sim.takeOver();
    Sim.run(300 + Offset);
    Sim.restartWorker(0);
    Sim.restartWorker(1);
    Sim.submit(JobId, simpleJob(1, 1000), "fast");
    Sim.run(60);
    cutBusyWorkers(Sim);
    Sim.killOwner();
    Sim.run(20);
    Sim.takeOver();
    Sim.run(20000);
    EXPECT_TRUE(Sim.violations().empty())
        << Offset << ": " << Sim.violations().front();
  }
}

// Guards against a task that runs again although it is done: an acknowledgement
// of the former incarnation's ends makes the new one forget an end that nobody
// has read.
TEST(RestartedWorkerEnds, AreNotAcknowledgedUnread) {
  for (Millis Offset = FirstOffset; Offset < LastOffset; Offset += OffsetStep) {
    CellSimulation Sim(1, 2);
    Sim.TaskBehaviour_ = [](const std::string &) {
      return std::pair(Millis{100}, false);
    };
    Sim.takeOver();
    Sim.run(300);
    Sim.submit("00000000000000b0", simpleJob(8, 900), "fast");
    Sim.run(1500 + Offset);
    ASSERT_GT(Sim.worker(0).LastEndNumber_, 1U);
    // A renewal is the first sign of the new incarnations; their entries are
    // read some 2 s later.
    Sim.ListInterval_ = 5000;
    Sim.restartWorker(0);
    Sim.restartWorker(1);
    Sim.submit(JobId, simpleJob(2, 1000), "fast");
    Sim.run(12000);
    EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete) << Offset;
    EXPECT_TRUE(Sim.violations().empty())
        << Offset << ": " << Sim.violations().front();
  }
}

// Guards against tasks that start on a worker which is back as another kind:
// the new incarnation is known by its list of runs, its labels only by its
// entry.
TEST_F(RestartedWorker, AWorkerOfAnotherKindGetsNoTaskForItsFormerKind) {
  Sim_.worker(0).Labels_ = {"a"};
  Sim_.worker(1).Labels_ = {"b"};
  Sim_.run(300);
  JobSpec Spec = simpleJob(4, 1000);
  Spec.Steps_.front().RequiredLabel_ = "a";
  Sim_.submit(JobId, Spec, "fast");
  Sim_.run(500);
  ASSERT_EQ(Sim_.worker(0).Runs_.size(), 4U);
  Sim_.ListInterval_ = 5000;
  Sim_.worker(0).Labels_ = {"b"};
  Sim_.restartWorker(0);
  Sim_.run(12000);
  EXPECT_EQ(Sim_.worker(0).Runs_.size(), 0U);
  expectNoViolation();
  Sim_.worker(1).Labels_ = {"a"};
  Sim_.run(6000);
  EXPECT_EQ(Sim_.worker(1).Runs_.size(), 4U);
}

// Guards against seconds of waiting for work that surely never reached the new
// incarnation: it is started elsewhere at once.
TEST_F(RestartedWorker, WorkOfTheFormerIncarnationRunsElsewhereAtOnce) {
  Sim_.submit(JobId, simpleJob(4, 1000), "fast");
  Sim_.run(3000);
  const std::size_t Before = Sim_.starts();
  Sim_.restartWorker(0);
  Sim_.restartWorker(1);
  Sim_.worker(0).Disconnected_ = true;
  Sim_.run(700);
  EXPECT_EQ(Sim_.starts() - Before, 4U);
  expectNoViolation();
}

// Guards against jobs that are not counted among the waiting ones of their
// queue although no worker has started any of their tasks: their orders went to
// workers that are cut off.
TEST_F(RestartedWorker, AnOrderThatNobodyTookDoesNotStartAJob) {
  Sim_.worker(0).Disconnected_ = true;
  Sim_.worker(1).Disconnected_ = true;
  Sim_.submit(JobId, simpleJob(1, 1000), "fast");
  Sim_.run(300);
  EXPECT_EQ(Sim_.starts(), 0U);
  EXPECT_EQ(Sim_.stateOf(JobId), JobState::Queued);
}

// Guards against a worker that rejects every order of its owner: it has
// restarted once, is forgotten after a long absence, and comes back with the
// fence that it accepted before.
TEST_F(RestartedWorker, AForgottenWorkerComesBackWithItsFence) {
  constexpr Millis Absence = 40000;
  Work_ = 100;
  Sim_.restartWorker(0);
  Sim_.run(1000);
  Sim_.worker(0).Disconnected_ = true;
  Sim_.setListed("w0", false);
  Sim_.run(Absence);
  Sim_.worker(0).Disconnected_ = false;
  Sim_.worker(1).Disconnected_ = true;
  Sim_.setListed("w0", true);
  Sim_.run(1000);
  Sim_.submit(JobId, simpleJob(1, 1000), "fast");
  Sim_.run(8000);
  EXPECT_EQ(Sim_.stateOf(JobId), JobState::Complete);
  expectNoViolation();
}

} // namespace
} // namespace oleandergauge::cell::test
