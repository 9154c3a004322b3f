#include <gtest/gtest.h>

#include "cell_world.h"

namespace oleandergauge::cell::test {
namespace {

const std::string JobId = "00000000000000aa";

TEST(Cell, RunsAJobToItsEnd) {
  World Of(1);
  Of.takeOver();
  Of.run(300);
  Of.submit(JobId, simpleJob(3, 1000));
  Of.run(3000);
  EXPECT_EQ(Of.Accepted_.count(JobId), 1U);
  EXPECT_EQ(Of.stateOf(JobId), JobState::Complete);
  EXPECT_EQ(Of.starts(), 3U);
}

// Guards against a start before the acceptance of the job is stored.
TEST(Cell, StartsNothingThatIsNotStored) {
  World Of(1);
  Of.takeOver();
  Of.run(300);
  Of.setStoreDown(true);
  Of.submit(JobId, simpleJob(1, 1000));
  Of.run(2000);
  EXPECT_EQ(Of.starts(), 0U);
  EXPECT_EQ(Of.Accepted_.count(JobId), 0U);
  Of.setStoreDown(false);
  Of.run(2000);
  EXPECT_EQ(Of.stateOf(JobId), JobState::Complete);
}

// Guards against a step that waits for ever where the answer to a call for
// advice was lost with a link between hosts.
TEST(Cell, AsksAgainWhereAdviceIsLost) {
  World Of(1);
  Of.takeOver();
  Of.run(300);
  Of.Faults_.LostAdvice_ = 1;
  Of.submit(JobId, simpleJob(2, 1000), "advised");
  Of.run(500);
  Of.Faults_.LostAdvice_ = 0;
  Of.run(4000);
  EXPECT_EQ(Of.stateOf(JobId), JobState::Complete);
}

// Guards against a worker above its capacity after a quick takeover: runs of a
// cancelled job are still being stopped, and the new owner does not know them.
TEST(Cell, KeepsOffAWorkerWithRunsItDoesNotKnow) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    World Of(Seed, 1);
    Of.Behaviour_ = [](const std::string &) {
      return std::pair(Millis{5000}, false);
    };
    Of.takeOver();
    Of.run(300);
    Of.submit("00000000000000a1", simpleJob(1, 3000), "fast");
    Of.run(300);
    Of.cancel("00000000000000a1");
    while (Of.CancelledAt_.empty())
      Of.run(5);
    Of.killOwner();
    Of.takeOver();
    Of.submit("00000000000000a2", simpleJob(1, 3000), "fast");
    Of.run(1000);
    EXPECT_EQ(Of.starts(), 2U);
    EXPECT_TRUE(Of.violations().empty()) << Of.violations().front();
  }
}

// Guards against a task that waits for ever on a worker that left for good as
// the start was under way: the stops sent there must not prolong the wait.
TEST(Cell, StartsElsewhereWhatAVanishedWorkerNeverAnswered) {
  World Of(1, 1);
  Of.takeOver();
  Of.run(300);
  Of.worker(0).Cut_ = true;
  Of.submit(JobId, simpleJob(1, 3000));
  Of.run(100);
  Of.setListed("w0", false);
  Of.run(20000);
  EXPECT_EQ(Of.cell().stats(Of.now()).Running_, 0U);
}

// Guards against a task that waits for ever where the answer to an order is the
// first sign of a worker's new life.
TEST(Cell, StartsAgainWhereAnOrderFindsANewLife) {
  // Whether an order or a look comes first depends on the moment.
  for (Millis Away = 3000; Away < 3400; Away += 10) {
    World Of(1, 1);
    Of.takeOver();
    Of.run(300);
    Of.worker(0).Cut_ = true;
    Of.submit(JobId, simpleJob(1, 3000));
    Of.run(Away);
    Of.worker(0).Cut_ = false;
    Of.worker(0).restart(Of.now());
    Of.run(10000);
    EXPECT_EQ(Of.stateOf(JobId), JobState::Complete) << Away;
    EXPECT_TRUE(Of.violations().empty()) << Of.violations().front();
  }
}

// Guards against two runs of a task where its start is carried out by a new
// life of the worker, and the answer is the first sign of that life.
TEST(Cell, ARunInANewLifeIsNotStartedElsewhere) {
  for (std::size_t Restarted = 0; Restarted < 2; ++Restarted) {
    World Of(1, 2);
    Of.Behaviour_ = [](const std::string &) {
      return std::pair(Millis{900}, false);
    };
    Of.takeOver();
    Of.run(300);
    Of.worker(Restarted).restart(Of.now());
    Of.submit(JobId, simpleJob(3, 1000), "fast");
    Of.run(8000);
    EXPECT_EQ(Of.stateOf(JobId), JobState::Complete);
    EXPECT_TRUE(Of.violations().empty()) << Of.violations().front();
  }
}

// Guards against callers held to their time limit while the store is away:
// what no transaction carries is refused, and never runs.
TEST(Cell, RefusesAtOnceWhatAStalledStoreWouldHold) {
  World Of(1);
  Of.takeOver();
  Of.run(300);
  Of.setStoreDown(true);
  Of.submit("00000000000000a1", simpleJob(1, 1000));
  Of.run(1200);
  Of.submit("00000000000000a2", simpleJob(1, 1000));
  EXPECT_EQ(Of.Refused_.count("00000000000000a2"), 1U);
  Of.run(500);
  EXPECT_EQ(Of.Refused_.count("00000000000000a1"), 0U); // May be stored.
  Of.setStoreDown(false);
  Of.run(3000);
  EXPECT_EQ(Of.stateOf("00000000000000a1"), JobState::Complete);
  EXPECT_EQ(Of.stateOf("00000000000000a2"), std::nullopt);
}

// Guards against counting failures by the highest run only: after a takeover
// workers list the ends of earlier runs in any order.
TEST(Cell, CountsFailedRunsListedInAnyOrderAfterATakeover) {
  World Of(7, 2);
  Of.Behaviour_ = [](const std::string &) {
    return std::pair(Millis{100}, true);
  };
  Of.takeOver();
  Of.run(300);
  Of.submit(JobId, simpleJob(1, 1000));
  Of.run(40); // Stored and started.
  Of.setStoreDown(true);
  Of.run(3000); // Both runs fail; no end can be stored.
  const std::size_t Before = Of.starts();
  EXPECT_EQ(Before, 2U);
  Of.killOwner();
  Of.setStoreDown(false);
  Of.takeOver();
  Of.run(3000);
  EXPECT_EQ(Of.starts(), Before);
  EXPECT_EQ(Of.stateOf(JobId), JobState::Failed);
}

// Guards against looks at a silent worker that renew the lease whose end is
// waited for: its task would never run again.
TEST(Cell, StartsTheTasksOfALostWorkerElsewhere) {
  World Of(3, 2);
  Of.Behaviour_ = [](const std::string &) {
    return std::pair(Millis{1500}, false);
  };
  Of.takeOver();
  Of.run(300);
  Of.submit(JobId, simpleJob(2, 3000));
  Of.run(300);
  ASSERT_EQ(Of.starts(), 2U);
  Of.worker(0).Cut_ = true;
  Of.setListed("w0", false);
  Of.run(12000);
  EXPECT_EQ(Of.stateOf(JobId), JobState::Complete);
  EXPECT_TRUE(Of.violations().empty());
}

// A start without an answer is repeated with the same run number.
TEST(Cell, RepeatsAnUnansweredStart) {
  World Of(5);
  Of.Faults_.LostAnswer_ = 0.5;
  Of.takeOver();
  Of.run(300);
  Of.submit(JobId, simpleJob(4, 1000));
  Of.run(6000);
  EXPECT_EQ(Of.stateOf(JobId), JobState::Complete);
  EXPECT_TRUE(Of.violations().empty());
}

// Guards against a former owner that cannot know of the next one, and keeps
// the leases alive that the next one waits for (TWICE, a zone cut off).
TEST(Cell, WithoutAuthorityRenewsNoLeaseAndStartsNothing) {
  World Of(13, 2);
  Of.Behaviour_ = [](const std::string &) {
    return std::pair(Millis{60000}, false);
  };
  Of.takeOver();
  Of.run(300);
  Of.submit(JobId, simpleJob(1, 1000));
  Of.run(300);
  ASSERT_EQ(Of.starts(), 1U);
  const Millis Longest =
      std::max(Of.worker(0).Deadline_, Of.worker(1).Deadline_);
  Of.cell().setAuthorized(false);
  Of.submit("00000000000000ab", simpleJob(1, 1000));
  Of.run(3000);
  EXPECT_EQ(Of.starts(), 1U);
  EXPECT_EQ(std::max(Of.worker(0).Deadline_, Of.worker(1).Deadline_), Longest);
  Of.cell().setAuthorized(true);
  Of.run(500);
  EXPECT_EQ(Of.starts(), 2U);
  EXPECT_GT(std::max(Of.worker(0).Deadline_, Of.worker(1).Deadline_), Longest);
}

// An order under way when the owner dies is carried out seconds later.
TEST(Cell, LateOrdersOfAFormerOwnerAreVoid) {
  World Of(11);
  Of.Faults_.LateOrder_ = 0.7;
  Of.takeOver();
  Of.run(300);
  for (int At = 0; At < 8; ++At)
    Of.submit("00000000000000b" + std::to_string(At), simpleJob(2, 1000));
  Of.run(200);
  Of.killOwner();
  Of.run(1500);
  Of.Faults_ = {};
  Of.takeOver();
  Of.run(20000);
  EXPECT_TRUE(Of.violations().empty());
  for (const std::string &Id : Of.Accepted_)
    EXPECT_EQ(Of.stateOf(Id), JobState::Complete);
}

TEST(Cell, ACancelledJobStopsAndStaysCancelled) {
  World Of(2);
  Of.Behaviour_ = [](const std::string &) {
    return std::pair(Millis{60000}, false);
  };
  Of.takeOver();
  Of.run(300);
  Of.submit(JobId, simpleJob(2, 1000));
  Of.run(500);
  Of.cancel(JobId);
  Of.run(1000);
  EXPECT_EQ(Of.CancelledAt_.count(JobId), 1U);
  EXPECT_EQ(Of.stateOf(JobId), JobState::Cancelled);
  for (std::size_t At = 0; At < Of.workerCount(); ++At)
    EXPECT_TRUE(Of.worker(At).Runs_.empty());
}

// The same id reaches the owner again, as after an answer that was lost.
TEST(Cell, ARepeatedSubmissionStaysOneJob) {
  World Of(2);
  Of.takeOver();
  Of.run(300);
  Of.submit(JobId, simpleJob(2, 1000));
  Of.submit(JobId, simpleJob(2, 1000));
  Of.run(3000);
  Of.submit(JobId, simpleJob(2, 1000));
  Of.run(3000);
  EXPECT_EQ(Of.starts(), 2U);
}

// A worker starts anew under its id: its runs are gone and run again.
TEST(Cell, StartsAgainWhatARestartedWorkerLost) {
  World Of(4, 1);
  Of.Behaviour_ = [](const std::string &) {
    return std::pair(Millis{800}, false);
  };
  Of.takeOver();
  Of.run(300);
  Of.submit(JobId, simpleJob(1, 1000));
  Of.run(300);
  ASSERT_EQ(Of.starts(), 1U);
  Of.worker(0).restart(Of.now());
  Of.run(6000);
  EXPECT_EQ(Of.starts(), 2U);
  EXPECT_EQ(Of.stateOf(JobId), JobState::Complete);
}

TEST(Cell, AGangStartsWholeOrNotAtAll) {
  World Of(6, 2);
  Of.takeOver();
  Of.run(300);
  JobSpec Gang = simpleJob(4, 2000);
  Gang.Steps_[0].Gang_ = true;
  Of.Behaviour_ = [](const std::string &) {
    return std::pair(Millis{700}, false);
  };
  Of.submit("00000000000000c0", simpleJob(1, 1000));
  Of.run(100);
  Of.submit(JobId, Gang);
  Of.run(300);
  EXPECT_EQ(Of.starts(), 1U);
  Of.run(6000);
  EXPECT_EQ(Of.stateOf(JobId), JobState::Complete);
}

// A service's tasks run until cancelled and start again however they end.
TEST(Cell, StartsAServicesTaskAgain) {
  World Of(8, 2);
  Of.Behaviour_ = [](const std::string &) {
    return std::pair(Millis{500}, true);
  };
  Of.takeOver();
  Of.run(300);
  JobSpec Service = simpleJob(1, 1000);
  Service.Steps_[0].Service_ = true;
  Of.submit(JobId, Service);
  Of.run(4000);
  EXPECT_GE(Of.starts(), 4U);
  EXPECT_EQ(Of.stateOf(JobId), JobState::Running);
}

// Guards against a service that waits while saved batch work fills the cell.
TEST(Cell, AServiceDisplacesSavedWork) {
  World Of(9, 1);
  Of.Behaviour_ = [](const std::string &) {
    return std::pair(Millis{60000}, false);
  };
  Of.takeOver();
  Of.run(300);
  JobSpec Batch = simpleJob(1, 3500);
  Batch.Steps_[0].Checkpointed_ = true;
  Of.submit("00000000000000c1", Batch, "fast");
  Of.run(300);
  JobSpec Service = simpleJob(1, 2000);
  Service.Steps_[0].Service_ = true;
  Of.submit(JobId, Service);
  Of.run(2000);
  EXPECT_EQ(Of.worker(0).Runs_.count(JobId + ".0.0.0"), 1U);
}

// Work that fills stands still while a service misses its goal, and goes on.
TEST(Cell, PacesFillersByTheServicesTail) {
  World Of(10, 1);
  Of.Behaviour_ = [](const std::string &) {
    return std::pair(Millis{60000}, false);
  };
  double Tail = 20;
  Of.Tail_ = [&](const std::string &Task) {
    return Task[0] == '0' ? Tail : 0.0;
  };
  Of.takeOver();
  Of.run(300);
  JobSpec Service = simpleJob(1, 1000);
  Service.Steps_[0].Service_ = true;
  Service.Steps_[0].TailGoal_ = 100;
  Of.submit(JobId, Service);
  JobSpec Fill = simpleJob(1, 4000);
  Fill.Steps_[0].Fill_ = true;
  const std::string FillId = "f0000000000000aa";
  Of.submit(FillId, Fill);
  Of.run(1500);
  Tail = 150;
  Of.run(1000);
  EXPECT_EQ(Of.Paces_[FillId + ".0.0.0"], 0);
  Tail = 20;
  Of.run(12000);
  EXPECT_EQ(Of.Paces_[FillId + ".0.0.0"], 100);
}

// A scheduled job's occurrences start when they are due, not before.
TEST(Cell, StartsOccurrencesWhenTheyAreDue) {
  World Of(12);
  Of.takeOver();
  Of.run(300);
  JobSpec Timed = simpleJob(1, 1000);
  Timed.Occurrences_ = 2;
  Timed.FirstDue_ = 1000000 + Of.now() + 1000;
  Timed.Interval_ = 2000;
  Of.submit(JobId, Timed);
  Of.run(900);
  EXPECT_EQ(Of.starts(), 0U);
  Of.run(600);
  EXPECT_EQ(Of.starts(), 1U);
  Of.run(4000);
  EXPECT_EQ(Of.starts(), 2U);
  EXPECT_EQ(Of.stateOf(JobId), JobState::Complete);
}

// Guards against urgent work that waits behind older work of a lower priority
// in a cell with too much to do.
TEST(Cell, UrgentWorkGoesBeforeOlderWork) {
  World Of(1, 1);
  Of.Behaviour_ = [](const std::string &) {
    return std::pair(Millis{800}, false);
  };
  Of.takeOver();
  Of.run(300);
  for (int At = 0; At < 6; ++At)
    Of.submit("00000000000000b" + std::to_string(At), simpleJob(1, 3500));
  Of.run(200);
  JobSpec Urgent = simpleJob(1, 3500);
  Urgent.Steps_[0].Estimate_ = 800; // Its latest start is the last.
  Of.submit(JobId, Urgent, "fast");
  Of.run(1900);
  EXPECT_EQ(Of.stateOf(JobId), JobState::Complete);
}

// Guards against a second run of an occurrence that ran at a takeover, before
// any of its progress was stored.
TEST(Cell, ANextOwnerKnowsTheOccurrencesThatRun) {
  World Of(4, 4);
  Of.Behaviour_ = [](const std::string &) {
    return std::pair(Millis{3000}, false);
  };
  Of.takeOver();
  Of.run(300);
  JobSpec Scheduled = simpleJob(6, 700);
  Scheduled.Occurrences_ = 3;
  Scheduled.FirstDue_ = 1000000 + Of.now() + 200;
  Scheduled.Interval_ = 1000;
  Of.submit(JobId, Scheduled, "fast");
  Of.run(2500);
  const std::size_t Before = Of.starts();
  EXPECT_GE(Before, 12U);
  Of.killOwner();
  Of.takeOver();
  Of.run(300);
  EXPECT_LE(Of.starts(), 18U);
  Of.run(9000);
  EXPECT_EQ(Of.starts(), 18U);
  EXPECT_EQ(Of.stateOf(JobId), JobState::Complete);
  EXPECT_TRUE(Of.violations().empty()) << Of.violations().front();
}

// Guards against a late occurrence that waits for ever behind work that no
// worker can do: looks for workers to ask about are few in each pass.
TEST(Cell, HopelessWorkLeavesLooksToOtherWork) {
  World Of(4, 4);
  Of.takeOver();
  Of.run(300);
  JobSpec Hopeless = simpleJob(1, 500);
  Hopeless.Steps_[0].RequiredLabel_ = "nowhere";
  for (int At = 100; At < 700; ++At)
    Of.submit("0000000000000" + std::to_string(At), Hopeless, "advised");
  Of.run(10000);
  JobSpec Scheduled = simpleJob(1, 500);
  Scheduled.Occurrences_ = 4;
  Scheduled.FirstDue_ = 1000000 + Of.now();
  Scheduled.Interval_ = 2500;
  Of.submit(JobId, Scheduled, "advised");
  Of.run(10000);
  EXPECT_EQ(Of.stateOf(JobId), JobState::Complete);
}

} // namespace
} // namespace oleandergauge::cell::test
