#include <gtest/gtest.h>

#include "cell_world.h"

namespace oleandergauge::cell::test {
namespace {

constexpr const char *JobId = "0000000000000010";
constexpr const char *OtherId = "0000000000000011";

/// A job of two tasks, one after the other.
JobSpec twoSteps() {
  JobSpec Out = simpleJob(1, 1000);
  Out.Steps_.push_back(Out.Steps_[0]);
  Out.Steps_[1].After_ = {0};
  return Out;
}

/// A cell with a job whose queue is removed before the next owner takes over.
class CellTermsTest : public testing::Test {
protected:
  explicit CellTermsTest(std::size_t Workers = 2) : Sim_(5, Workers) {
    Sim_.TaskBehaviour_ = [this](const std::string &) {
      return std::pair(Millis{1000}, Fails_);
    };
    Sim_.takeOver();
    Sim_.run(500);
  }
  /// Lets the next owner take over without the queue.
  void takeOverWithout(const std::string &Queue) {
    Sim_.removeQueue(Queue);
    Sim_.killOwner();
    Sim_.takeOver();
  }

  CellSimulation Sim_;
  bool Fails_ = false;
};

// Guards against accepted jobs that stand still: the service that runs a job's
// tasks was known only from its queue, which the next owner did not know.
TEST_F(CellTermsTest, FinishesJobsOfARemovedQueueAfterATakeover) {
  Sim_.submit(JobId, twoSteps());
  Sim_.run(300);
  takeOverWithout("slow");
  Sim_.run(12000);
  EXPECT_EQ(Sim_.stateOf(JobId), JobState::Complete);
  EXPECT_TRUE(Sim_.violations().empty()) << Sim_.violations().front();
}

// The same for a queue that requires advice: the next owner has to ask for it,
// at the cost that the queue had.
TEST_F(CellTermsTest, AsksForAdviceForARemovedQueue) {
  Sim_.submit(JobId, twoSteps(), "advised");
  Sim_.run(300);
  takeOverWithout("advised");
  const std::size_t Calls = Sim_.adviceCalls().size();
  Sim_.run(12000);
  EXPECT_GT(Sim_.adviceCalls().size(), Calls);
  EXPECT_EQ(Sim_.stateOf(JobId), JobState::Complete);
}

// Guards against tasks of a removed queue that are run again without a limit,
// because the next owner does not know how many attempts they have.
TEST_F(CellTermsTest, LimitsTheAttemptsOfJobsOfARemovedQueue) {
  Fails_ = true;
  Sim_.submit(JobId, twoSteps());
  Sim_.run(300);
  takeOverWithout("slow");
  Sim_.run(20000);
  EXPECT_EQ(Sim_.stateOf(JobId), JobState::Failed);
  EXPECT_EQ(Sim_.starts(), 2U);
}

// Guards against work of a removed queue of low priority that goes before that
// of a queue of high priority.
TEST_F(CellTermsTest, KeepsThePriorityOfARemovedQueue) {
  for (std::size_t At = 0; At < Sim_.workerCount(); ++At)
    Sim_.worker(At).Draining_ = true;
  Sim_.run(1000);
  Sim_.submit(JobId, simpleJob(2, 4000), "slow");
  Sim_.run(300);
  Sim_.submit(OtherId, simpleJob(2, 4000), "fast");
  Sim_.run(300);
  ASSERT_EQ(Sim_.starts(), 0U);
  takeOverWithout("slow");
  for (std::size_t At = 0; At < Sim_.workerCount(); ++At)
    Sim_.worker(At).Draining_ = false;
  std::vector<std::string> Order;
  Sim_.TaskBehaviour_ = [&](const std::string &Task) {
    Order.push_back(jobOf(Task));
    return std::pair(Millis{500}, false);
  };
  Sim_.run(20000);
  ASSERT_EQ(Order.size(), 4U);
  EXPECT_EQ(Order.front(), OtherId);
  EXPECT_EQ(Sim_.stateOf(JobId), JobState::Complete);
}

// Guards against a row that a host of an earlier version, or the next owner,
// reads differently.
TEST(JobTerms, AreStoredWithTheJob) {
  JobRecord Record{simpleJob(1, 100), "q", "t", 77};
  EXPECT_EQ(decodeJob(encode(Record)), Record) << "row of an earlier version";
  Record.Terms_ = QueueTerms{"svc", 3, 4, 1.5, 250, std::nullopt};
  EXPECT_EQ(decodeJob(encode(Record)), Record);
  Record.Terms_->Advice_ = AdviceCost{9.5, 0.25, 1500};
  EXPECT_EQ(decodeJob(encode(Record)), Record);
  EXPECT_EQ(termsOf(queueFrom("q", *Record.Terms_)), *Record.Terms_);
}

} // namespace
} // namespace oleandergauge::cell::test
