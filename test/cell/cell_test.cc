#include <gtest/gtest.h>

#include "cell_world.h"

namespace oleandergauge::cell::test {
namespace {

const std::string JobId = "00000000000000aa";

TEST(Cell, RunsAJobToItsEnd) {
  CellSimulation Sim(1);
  Sim.takeOver();
  Sim.run(300);
  Sim.submit(JobId, simpleJob(3, 1000));
  Sim.run(3000);
  EXPECT_EQ(Sim.Accepted_.count(JobId), 1U);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete);
  EXPECT_EQ(Sim.starts(), 3U);
}

// Guards against a start before the acceptance of the job is stored.
TEST(Cell, StartsNoJobBeforeItIsStored) {
  CellSimulation Sim(1);
  Sim.takeOver();
  Sim.run(300);
  Sim.setStoreDown(true);
  Sim.submit(JobId, simpleJob(1, 1000));
  Sim.run(2000);
  EXPECT_EQ(Sim.starts(), 0U);
  EXPECT_EQ(Sim.Accepted_.count(JobId), 0U);
  Sim.setStoreDown(false);
  Sim.run(2000);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete);
}

// Guards against a step that waits forever after the answer to a call for
// advice was lost with a connection between hosts.
TEST(Cell, AsksAgainWhereAdviceIsLost) {
  CellSimulation Sim(1);
  Sim.takeOver();
  Sim.run(300);
  Sim.Faults_.LostAdvice_ = 1;
  Sim.submit(JobId, simpleJob(2, 1000), "advised");
  Sim.run(500);
  Sim.Faults_.LostAdvice_ = 0;
  Sim.run(4000);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete);
}

// Guards against exceeding a worker's capacity after a quick takeover: runs of
// a cancelled job are still being stopped, and the new owner does not know of
// them.
TEST(Cell, KeepsOffAWorkerWithRunsItDoesNotKnow) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    CellSimulation Sim(Seed, 1);
    Sim.TaskBehaviour_ = [](const std::string &) {
      return std::pair(Millis{5000}, false);
    };
    Sim.takeOver();
    Sim.run(300);
    Sim.submit("00000000000000a1", simpleJob(1, 3000), "fast");
    Sim.run(300);
    Sim.cancel("00000000000000a1");
    while (Sim.CancelledAt_.empty())
      Sim.run(5);
    Sim.killOwner();
    Sim.takeOver();
    Sim.submit("00000000000000a2", simpleJob(1, 3000), "fast");
    Sim.run(1000);
    EXPECT_EQ(Sim.starts(), 2U);
    EXPECT_TRUE(Sim.violations().empty()) << Sim.violations().front();
  }
}

// Guards against a task that waits forever on a worker that disappeared while
// the start was in flight: the stops sent there must not prolong the wait.
TEST(Cell, StartsElsewhereWhatAVanishedWorkerNeverAnswered) {
  CellSimulation Sim(1, 1);
  Sim.takeOver();
  Sim.run(300);
  Sim.worker(0).Disconnected_ = true;
  Sim.submit(JobId, simpleJob(1, 3000));
  Sim.run(100);
  Sim.setListed("w0", false);
  Sim.run(20000);
  EXPECT_EQ(Sim.cell().stats(Sim.now()).Running_, 0U);
}

// Guards against exceeding a worker's capacity by a late copy of a start whose
// second copy was rejected: only a stop prevents that the first one is carried
// out.
TEST(Cell, StopsAStartThatWasUnansweredAndThenRejected) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    CellSimulation Sim(Seed, 1);
    Sim.TaskBehaviour_ = [](const std::string &) {
      return std::pair(Millis{60000}, false);
    };
    Sim.takeOver();
    Sim.run(300);
    Sim.Faults_.LateOrder_ = 1;
    Sim.submit("00000000000000a1", simpleJob(1, 3000), "fast");
    Sim.run(50);
    Sim.Faults_.LateOrder_ = 0;
    Sim.worker(0).RejectsStarts_ = true;
    Sim.run(500);
    Sim.cancel("00000000000000a1");
    Sim.run(500);
    Sim.worker(0).RejectsStarts_ = false;
    Sim.submit("00000000000000a2", simpleJob(1, 3000), "fast");
    Sim.run(9000);
    EXPECT_EQ(Sim.starts(), 1U) << Seed;
    EXPECT_TRUE(Sim.violations().empty()) << Sim.violations().front();
  }
}

// Guards against a task that waits forever if the answer to an order is the
// first sign of a worker's new incarnation.
TEST(Cell, StartsAgainWhereAnOrderFindsANewLife) {
  // Whether an order or a lease renewal arrives first depends on the time of
  // the restart.
  for (Millis Away = 3000; Away < 3400; Away += 10) {
    CellSimulation Sim(1, 1);
    Sim.takeOver();
    Sim.run(300);
    Sim.worker(0).Disconnected_ = true;
    Sim.submit(JobId, simpleJob(1, 3000));
    Sim.run(Away);
    Sim.worker(0).Disconnected_ = false;
    Sim.worker(0).restart(Sim.now());
    Sim.run(10000);
    EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete) << Away;
    EXPECT_TRUE(Sim.violations().empty()) << Sim.violations().front();
  }
}

// Guards against two runs of a task if a new incarnation of the worker carries
// out its start, and the answer is the first sign of that incarnation.
TEST(Cell, ARunInANewLifeIsNotStartedElsewhere) {
  for (std::size_t Restarted = 0; Restarted < 2; ++Restarted) {
    CellSimulation Sim(1, 2);
    Sim.TaskBehaviour_ = [](const std::string &) {
      return std::pair(Millis{900}, false);
    };
    Sim.takeOver();
    Sim.run(300);
    Sim.worker(Restarted).restart(Sim.now());
    Sim.submit(JobId, simpleJob(3, 1000), "fast");
    Sim.run(8000);
    EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete);
    EXPECT_TRUE(Sim.violations().empty()) << Sim.violations().front();
  }
}

// Guards against callers that wait until their timeout while the store is
// unavailable: jobs that no transaction contains are refused and never run.
TEST(Cell, RefusesAtOnceWhatAStalledStoreWouldHold) {
  CellSimulation Sim(1);
  Sim.takeOver();
  Sim.run(300);
  Sim.setStoreDown(true);
  Sim.submit("00000000000000a1", simpleJob(1, 1000));
  Sim.run(1200);
  Sim.submit("00000000000000a2", simpleJob(1, 1000));
  EXPECT_EQ(Sim.Refused_.count("00000000000000a2"), 1U);
  Sim.run(500);
  // The job may be stored.
  EXPECT_EQ(Sim.Refused_.count("00000000000000a1"), 0U);
  Sim.setStoreDown(false);
  Sim.run(3000);
  EXPECT_EQ(Sim.stateOf("00000000000000a1"), JobState::Complete);
  EXPECT_EQ(Sim.stateOf("00000000000000a2"), std::nullopt);
}

// Guards against counting only failures with a run number above the highest one
// counted: after a takeover, workers list the ends of earlier runs in any
// order.
TEST(Cell, CountsFailedRunsListedInAnyOrderAfterATakeover) {
  CellSimulation Sim(7, 2);
  Sim.TaskBehaviour_ = [](const std::string &) {
    return std::pair(Millis{100}, true);
  };
  Sim.takeOver();
  Sim.run(300);
  Sim.submit(JobId, simpleJob(1, 1000));
  Sim.run(40); // The job is stored and started.
  Sim.setStoreDown(true);
  Sim.run(3000); // Both runs fail, but no end can be stored.
  const std::size_t Before = Sim.starts();
  EXPECT_EQ(Before, 2U);
  Sim.killOwner();
  Sim.setStoreDown(false);
  Sim.takeOver();
  Sim.run(3000);
  EXPECT_EQ(Sim.starts(), Before);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Failed);
}

// Guards against renewals that extend the lease of an unreachable worker while
// the owner waits for its end: the task would never run again.
TEST(Cell, StartsTheTasksOfALostWorkerElsewhere) {
  CellSimulation Sim(3, 2);
  Sim.TaskBehaviour_ = [](const std::string &) {
    return std::pair(Millis{1500}, false);
  };
  Sim.takeOver();
  Sim.run(300);
  Sim.submit(JobId, simpleJob(2, 3000));
  Sim.run(300);
  ASSERT_EQ(Sim.starts(), 2U);
  Sim.worker(0).Disconnected_ = true;
  Sim.setListed("w0", false);
  Sim.run(12000);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete);
  EXPECT_TRUE(Sim.violations().empty());
}

// An unanswered start is retried with the same run number.
TEST(Cell, RetriesAnUnansweredStart) {
  CellSimulation Sim(5);
  Sim.Faults_.LostAnswer_ = 0.5;
  Sim.takeOver();
  Sim.run(300);
  Sim.submit(JobId, simpleJob(4, 1000));
  Sim.run(6000);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete);
  EXPECT_TRUE(Sim.violations().empty());
}

// Guards against a former owner in a failure domain that is cut off: it does
// not know of the next owner and extends the leases whose end the next owner
// waits for (scenario TWICE).
TEST(Cell, WithoutAuthorityRenewsNoLeaseAndStartsNothing) {
  CellSimulation Sim(13, 2);
  Sim.TaskBehaviour_ = [](const std::string &) {
    return std::pair(Millis{60000}, false);
  };
  Sim.takeOver();
  Sim.run(300);
  Sim.submit(JobId, simpleJob(1, 1000));
  Sim.run(300);
  ASSERT_EQ(Sim.starts(), 1U);
  const Millis Longest =
      std::max(Sim.worker(0).Deadline_, Sim.worker(1).Deadline_);
  Sim.cell().setAuthorized(false);
  Sim.submit("00000000000000ab", simpleJob(1, 1000));
  Sim.run(3000);
  EXPECT_EQ(Sim.starts(), 1U);
  EXPECT_EQ(std::max(Sim.worker(0).Deadline_, Sim.worker(1).Deadline_),
            Longest);
  Sim.cell().setAuthorized(true);
  Sim.run(500);
  EXPECT_EQ(Sim.starts(), 2U);
  EXPECT_GT(std::max(Sim.worker(0).Deadline_, Sim.worker(1).Deadline_),
            Longest);
}

// An order in flight when the owner dies is carried out seconds later.
TEST(Cell, IgnoresLateOrdersOfAFormerOwner) {
  CellSimulation Sim(11);
  Sim.Faults_.LateOrder_ = 0.7;
  Sim.takeOver();
  Sim.run(300);
  for (int At = 0; At < 8; ++At)
    Sim.submit("00000000000000b" + std::to_string(At), simpleJob(2, 1000));
  Sim.run(200);
  Sim.killOwner();
  Sim.run(1500);
  Sim.Faults_ = {};
  Sim.takeOver();
  Sim.run(20000);
  EXPECT_TRUE(Sim.violations().empty());
  for (const std::string &Id : Sim.Accepted_)
    EXPECT_EQ(Sim.stateOf(Id), JobState::Complete);
}

TEST(Cell, ACancelledJobStopsAndStaysCancelled) {
  CellSimulation Sim(2);
  Sim.TaskBehaviour_ = [](const std::string &) {
    return std::pair(Millis{60000}, false);
  };
  Sim.takeOver();
  Sim.run(300);
  Sim.submit(JobId, simpleJob(2, 1000));
  Sim.run(500);
  Sim.cancel(JobId);
  Sim.run(1000);
  EXPECT_EQ(Sim.CancelledAt_.count(JobId), 1U);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Cancelled);
  for (std::size_t At = 0; At < Sim.workerCount(); ++At)
    EXPECT_TRUE(Sim.worker(At).Runs_.empty());
}

// The same job id is submitted again, as after a lost answer.
TEST(Cell, ARepeatedSubmissionStaysOneJob) {
  CellSimulation Sim(2);
  Sim.takeOver();
  Sim.run(300);
  Sim.submit(JobId, simpleJob(2, 1000));
  Sim.submit(JobId, simpleJob(2, 1000));
  Sim.run(3000);
  Sim.submit(JobId, simpleJob(2, 1000));
  Sim.run(3000);
  EXPECT_EQ(Sim.starts(), 2U);
}

// A worker restarts under its id: its runs are lost and run again.
TEST(Cell, RestartsTasksThatARestartedWorkerLost) {
  CellSimulation Sim(4, 1);
  Sim.TaskBehaviour_ = [](const std::string &) {
    return std::pair(Millis{800}, false);
  };
  Sim.takeOver();
  Sim.run(300);
  Sim.submit(JobId, simpleJob(1, 1000));
  Sim.run(300);
  ASSERT_EQ(Sim.starts(), 1U);
  Sim.worker(0).restart(Sim.now());
  Sim.run(6000);
  EXPECT_EQ(Sim.starts(), 2U);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete);
}

TEST(Cell, AGangStartsWholeOrNotAtAll) {
  CellSimulation Sim(6, 2);
  Sim.takeOver();
  Sim.run(300);
  JobSpec Gang = simpleJob(4, 2000);
  Gang.Steps_[0].Gang_ = true;
  Sim.TaskBehaviour_ = [](const std::string &) {
    return std::pair(Millis{700}, false);
  };
  Sim.submit("00000000000000c0", simpleJob(1, 1000));
  Sim.run(100);
  Sim.submit(JobId, Gang);
  Sim.run(300);
  EXPECT_EQ(Sim.starts(), 1U);
  Sim.run(6000);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete);
}

// The tasks of a service run until it is cancelled and restart however they
// end.
TEST(Cell, StartsAServicesTaskAgain) {
  CellSimulation Sim(8, 2);
  Sim.TaskBehaviour_ = [](const std::string &) {
    return std::pair(Millis{500}, true);
  };
  Sim.takeOver();
  Sim.run(300);
  JobSpec Service = simpleJob(1, 1000);
  Service.Steps_[0].Service_ = true;
  Sim.submit(JobId, Service);
  Sim.run(4000);
  EXPECT_GE(Sim.starts(), 4U);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Running);
}

// Guards against a service that waits while checkpointed batch work fills the
// cell.
TEST(Cell, AServicePreemptsCheckpointedWork) {
  CellSimulation Sim(9, 1);
  Sim.TaskBehaviour_ = [](const std::string &) {
    return std::pair(Millis{60000}, false);
  };
  Sim.takeOver();
  Sim.run(300);
  JobSpec Batch = simpleJob(1, 3500);
  Batch.Steps_[0].Checkpointed_ = true;
  Sim.submit("00000000000000c1", Batch, "fast");
  Sim.run(300);
  JobSpec Service = simpleJob(1, 2000);
  Service.Steps_[0].Service_ = true;
  Sim.submit(JobId, Service);
  Sim.run(2000);
  EXPECT_EQ(Sim.worker(0).Runs_.count(JobId + ".0.0.0"), 1U);
}

// A filler is paused while a service misses its tail latency goal, and then
// sped up again.
TEST(Cell, PacesFillersByTheServicesTail) {
  CellSimulation Sim(10, 1);
  Sim.TaskBehaviour_ = [](const std::string &) {
    return std::pair(Millis{60000}, false);
  };
  double Tail = 20;
  Sim.ReportedTail_ = [&](const std::string &Task) {
    return Task[0] == '0' ? Tail : 0.0;
  };
  Sim.takeOver();
  Sim.run(300);
  JobSpec Service = simpleJob(1, 1000);
  Service.Steps_[0].Service_ = true;
  Service.Steps_[0].TailGoal_ = 100;
  Sim.submit(JobId, Service);
  JobSpec Fill = simpleJob(1, 4000);
  Fill.Steps_[0].Fill_ = true;
  const std::string FillId = "f0000000000000aa";
  Sim.submit(FillId, Fill);
  Sim.run(1500);
  Tail = 150;
  Sim.run(1000);
  EXPECT_EQ(Sim.Paces_[FillId + ".0.0.0"], 0);
  Tail = 20;
  Sim.run(12000);
  EXPECT_EQ(Sim.Paces_[FillId + ".0.0.0"], 100);
}

// The occurrences of a scheduled job start when they are due, not before.
TEST(Cell, StartsOccurrencesWhenTheyAreDue) {
  CellSimulation Sim(12);
  Sim.takeOver();
  Sim.run(300);
  JobSpec Timed = simpleJob(1, 1000);
  Timed.Occurrences_ = 2;
  Timed.FirstDue_ = 1000000 + Sim.now() + 1000;
  Timed.Interval_ = 2000;
  Sim.submit(JobId, Timed);
  Sim.run(900);
  EXPECT_EQ(Sim.starts(), 0U);
  Sim.run(600);
  EXPECT_EQ(Sim.starts(), 1U);
  Sim.run(4000);
  EXPECT_EQ(Sim.starts(), 2U);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete);
}

// Guards against urgent work that waits behind older work of a lower priority
// in an overloaded cell.
TEST(Cell, UrgentWorkGoesBeforeOlderWork) {
  CellSimulation Sim(1, 1);
  Sim.TaskBehaviour_ = [](const std::string &) {
    return std::pair(Millis{800}, false);
  };
  Sim.takeOver();
  Sim.run(300);
  for (int At = 0; At < 6; ++At)
    Sim.submit("00000000000000b" + std::to_string(At), simpleJob(1, 3500));
  Sim.run(200);
  JobSpec Urgent = simpleJob(1, 3500);
  // This gives the job the latest of all latest starts.
  Urgent.Steps_[0].Estimate_ = 800;
  Sim.submit(JobId, Urgent, "fast");
  Sim.run(1900);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete);
}

// Guards against a second run of an occurrence that was running at a takeover
// before any of its progress was stored.
TEST(Cell, ANextOwnerKnowsTheOccurrencesThatRun) {
  CellSimulation Sim(4, 4);
  Sim.TaskBehaviour_ = [](const std::string &) {
    return std::pair(Millis{3000}, false);
  };
  Sim.takeOver();
  Sim.run(300);
  JobSpec Scheduled = simpleJob(6, 700);
  Scheduled.Occurrences_ = 3;
  Scheduled.FirstDue_ = 1000000 + Sim.now() + 200;
  Scheduled.Interval_ = 1000;
  Sim.submit(JobId, Scheduled, "fast");
  Sim.run(2500);
  const std::size_t Before = Sim.starts();
  EXPECT_GE(Before, 12U);
  Sim.killOwner();
  Sim.takeOver();
  Sim.run(300);
  EXPECT_LE(Sim.starts(), 18U);
  Sim.run(9000);
  EXPECT_EQ(Sim.starts(), 18U);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete);
  EXPECT_TRUE(Sim.violations().empty()) << Sim.violations().front();
}

// Guards against repeating the unanswered start of a task that is done: a
// worker that was cut off for longer than its lease lists the end of an earlier
// run.
TEST(Cell, RepeatsNoStartOfADoneTask) {
  for (const bool Gang : {false, true}) {
    CellSimulation Sim(1, 2);
    Sim.TaskBehaviour_ = [](const std::string &) {
      return std::pair(Millis{500}, false);
    };
    Sim.takeOver();
    Sim.run(300);
    JobSpec Spec = simpleJob(1, 1000);
    Spec.Steps_[0].Gang_ = Gang;
    Sim.submit(JobId, Spec, "fast");
    Sim.run(200);
    ASSERT_EQ(Sim.starts(), 1U);
    const std::size_t First = Sim.worker(0).Runs_.empty() ? 1 : 0;
    Sim.worker(First).Disconnected_ = true;
    Sim.killOwner();
    Sim.takeOver();
    Sim.Faults_.LateOrder_ = 1;
    Sim.run(6800);
    Sim.worker(First).Disconnected_ = false;
    Sim.run(300);
    Sim.Faults_.LateOrder_ = 0;
    Sim.run(12000);
    EXPECT_EQ(Sim.starts(), 1U);
    EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete);
    EXPECT_TRUE(Sim.violations().empty()) << Sim.violations().front();
  }
}

// Guards against a late occurrence that waits forever behind work that no
// worker can run, because each pass selects workers to ask for a few steps
// only.
TEST(Cell, HopelessWorkLeavesLooksToOtherWork) {
  CellSimulation Sim(4, 4);
  Sim.takeOver();
  Sim.run(300);
  JobSpec Hopeless = simpleJob(1, 500);
  Hopeless.Steps_[0].RequiredLabel_ = "nowhere";
  for (int At = 100; At < 700; ++At)
    Sim.submit("0000000000000" + std::to_string(At), Hopeless, "advised");
  Sim.run(10000);
  JobSpec Scheduled = simpleJob(1, 500);
  Scheduled.Occurrences_ = 4;
  Scheduled.FirstDue_ = 1000000 + Sim.now();
  Scheduled.Interval_ = 2500;
  Sim.submit(JobId, Scheduled, "advised");
  Sim.run(10000);
  EXPECT_EQ(Sim.stateOf(JobId), JobState::Complete);
}

} // namespace
} // namespace oleandergauge::cell::test
