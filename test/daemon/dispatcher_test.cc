#include "daemon/dispatcher.h"

#include <gtest/gtest.h>

namespace oleandergauge::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const HostId Self("self");
const PartitionId Home("north-0");

Member makeMember(const std::string &Name) {
  return {HostId(Name), Name + ":1", Region("north"), FailureDomain("a")};
}

std::shared_ptr<const Routing> routingOwnedBy(const std::string &Host) {
  auto Out = std::make_shared<Routing>();
  if (!Host.empty())
    Out->Owners_[Home] = makeMember(Host);
  return Out;
}

/// A fixture whose dispatcher uses fake peers, a fake partition task and a fake
/// clock.
class DispatcherTest : public testing::Test {
protected:
  DispatcherTest()
      : Dispatcher_(Self, HostMetrics_,
                    {[this](PartitionTaskMessage Message) {
                       Local_.push_back(std::move(Message));
                     },
                     [this](const Member &Owner, const PartitionId &,
                            const HomeRequest &, Duration, auto Done) {
                       Peers_.emplace_back(Owner.Host_, std::move(Done));
                     },
                     [this] { return Now_; }}) {}

  void submit(bool Repeatable, Duration Patience = seconds(8)) {
    Dispatcher_.dispatch({Home, Submitted{}, Repeatable, Now_ + Patience},
                         [this](const Result<JobStatus> &Answer) {
                           Answers_.push_back(Answer);
                         });
  }
  void query() {
    Dispatcher_.dispatch({Home, JobQueried{}, false, Now_ + seconds(5)},
                         [this](const Result<JobStatus> &Answer) {
                           Answers_.push_back(Answer);
                         });
  }
  void pass(Duration Span) {
    for (TimePoint End = Now_ + Span; Now_ < End; Now_ += milliseconds(10))
      Dispatcher_.tick();
  }
  void answerPeer(std::size_t Index, PeerOutcome Outcome) {
    Peers_.at(Index).second({Outcome, std::nullopt});
  }
  void answerPeer(std::size_t Index, const Result<JobStatus> &Answer) {
    Peers_.at(Index).second({PeerOutcome::Answered, Answer});
  }
  Verdict verdict() const { return Answers_.at(0).error().Verdict_; }

  Metrics HostMetrics_;
  TimePoint Now_{seconds(100)};
  std::vector<PartitionTaskMessage> Local_;
  std::vector<std::pair<HostId, std::function<void(const ForwardOutcome &)>>>
      Peers_;
  std::vector<Result<JobStatus>> Answers_;
  Dispatcher Dispatcher_;
};

Result<JobStatus> refusal(Verdict Value, RefusalReason Reason) {
  return tl::unexpected(Refusal{Value, Reason, "", Duration(0)});
}

TEST_F(DispatcherTest, LocalOwnerIsReachedByItsMailbox) {
  Dispatcher_.setRouting(routingOwnedBy("self"));
  submit(false);
  ASSERT_EQ(Local_.size(), 1U);
  const auto &LocalRequest = std::get<HomeRequested>(Local_[0]);
  Token Id = std::get<Submitted>(LocalRequest.Request_).Token_;
  Dispatcher_.handle({Id, JobStatus{}});
  Dispatcher_.handle({Id, JobStatus{}});
  EXPECT_EQ(Answers_.size(), 1U);
}

TEST_F(DispatcherTest, WithoutOwnerASubmissionIsNotRun) {
  submit(false);
  ASSERT_EQ(Answers_.size(), 1U);
  EXPECT_EQ(verdict(), Verdict::NotRun);
  EXPECT_GT(Answers_[0].error().RetryAfter_, Duration(0));
}

TEST_F(DispatcherTest, UnsentSubmissionIsNotRun) {
  Dispatcher_.setRouting(routingOwnedBy("peer"));
  submit(false);
  answerPeer(0, PeerOutcome::NotSent);
  ASSERT_EQ(Answers_.size(), 1U);
  EXPECT_EQ(verdict(), Verdict::NotRun);
}

// Guards against the verdict "not run" for work that an earlier, unanswered
// attempt may have started.
TEST_F(DispatcherTest, SubmissionOfUnknownFateNeverEndsAsNotRun) {
  Dispatcher_.setRouting(routingOwnedBy("peer"));
  submit(false);
  answerPeer(0, PeerOutcome::Unknown);
  pass(seconds(1));
  ASSERT_EQ(Peers_.size(), 2U);
  answerPeer(1, refusal(Verdict::NotRun, RefusalReason::QueueFull));
  ASSERT_EQ(Answers_.size(), 1U);
  EXPECT_EQ(verdict(), Verdict::MayHaveRun);
}

// Guards against a caller that gets no answer although the home partition has
// one, when the owner changes after an attempt of unknown outcome.
TEST_F(DispatcherTest, HomeIsAskedAgainUntilItAnswers) {
  Dispatcher_.setRouting(routingOwnedBy("peer"));
  submit(false);
  answerPeer(0, PeerOutcome::Unknown);
  Dispatcher_.setRouting(routingOwnedBy(""));
  pass(seconds(3));
  EXPECT_TRUE(Answers_.empty());
  Dispatcher_.setRouting(routingOwnedBy("other"));
  pass(seconds(2));
  ASSERT_EQ(Peers_.size(), 2U);
  EXPECT_EQ(Peers_[1].first, HostId("other"));
  answerPeer(1, JobStatus{});
  ASSERT_EQ(Answers_.size(), 1U);
  EXPECT_TRUE(Answers_[0]);
}

TEST_F(DispatcherTest, UnknownFateAtTheDeadlineMayHaveRun) {
  Dispatcher_.setRouting(routingOwnedBy("peer"));
  submit(false);
  pass(seconds(9));
  ASSERT_EQ(Answers_.size(), 1U);
  EXPECT_EQ(verdict(), Verdict::MayHaveRun);
  answerPeer(0, JobStatus{});
  EXPECT_EQ(Answers_.size(), 1U);
}

// Guards against waiting for a former owner that hangs without closing its
// connections.
TEST_F(DispatcherTest, NewOwnerIsAskedWithoutAnAnswerOfTheOldOne) {
  Dispatcher_.setRouting(routingOwnedBy("peer"));
  submit(false);
  Dispatcher_.setRouting(routingOwnedBy("other"));
  pass(seconds(1));
  ASSERT_EQ(Peers_.size(), 2U);
  // A late refusal of the former owner is ignored; its late job status is the
  // answer.
  answerPeer(0, refusal(Verdict::NotRun, RefusalReason::QueueFull));
  EXPECT_TRUE(Answers_.empty());
  answerPeer(0, JobStatus{});
  ASSERT_EQ(Answers_.size(), 1U);
  EXPECT_TRUE(Answers_[0]);
}

TEST_F(DispatcherTest, IdempotentCallIsTriedThreeTimesAtMost) {
  Dispatcher_.setRouting(routingOwnedBy("peer"));
  submit(true, seconds(60));
  for (std::size_t Attempt = 0; Attempt < 3; ++Attempt) {
    ASSERT_EQ(Peers_.size(), Attempt + 1);
    answerPeer(Attempt, PeerOutcome::Unknown);
    pass(seconds(7));
  }
  EXPECT_EQ(Peers_.size(), 3U);
  ASSERT_EQ(Answers_.size(), 1U);
  EXPECT_EQ(verdict(), Verdict::MayHaveRun);
}

// Guards against retries that multiply the cell's load when an owner fails.
TEST_F(DispatcherTest, RepeatsStayWithinATenthOfTheRequests) {
  Dispatcher_.setRouting(routingOwnedBy("peer"));
  constexpr std::size_t Requests = 1000;
  for (std::size_t I = 0; I < Requests; ++I) {
    submit(true, seconds(60));
    answerPeer(Peers_.size() - 1, PeerOutcome::NotSent);
  }
  pass(seconds(10));
  EXPECT_LE(Peers_.size(), Requests + Requests / 10 + 5);
  EXPECT_GT(Peers_.size(), Requests);
}

// Guards against the verdict "not run" for a job whose state could not be
// queried.
TEST_F(DispatcherTest, QuestionsAreNeverAnsweredWithNotRun) {
  query();
  pass(seconds(6));
  ASSERT_EQ(Answers_.size(), 1U);
  EXPECT_EQ(verdict(), Verdict::MayHaveRun);
}

// Guards against requests that are refused because each record change leaves
// the home partition without proof of its configuration for a moment.
TEST_F(DispatcherTest, HomeWithoutProofIsAskedAgainForAMoment) {
  Dispatcher_.setRouting(routingOwnedBy("peer"));
  submit(false);
  answerPeer(0, refusal(Verdict::NotRun, RefusalReason::StaleConfiguration));
  pass(milliseconds(50));
  ASSERT_EQ(Peers_.size(), 2U);
  answerPeer(1, JobStatus{});
  EXPECT_TRUE(Answers_.at(0));

  submit(false);
  TimePoint StartedAt = Now_;
  while (Answers_.size() == 1) {
    answerPeer(Peers_.size() - 1,
               refusal(Verdict::NotRun, RefusalReason::StaleConfiguration));
    pass(milliseconds(50));
  }
  EXPECT_LE(Now_ - StartedAt, milliseconds(400));
  EXPECT_EQ(Answers_[1].error().Verdict_, Verdict::NotRun);
}

// Guards against waiters that are never removed from the partition task.
TEST_F(DispatcherTest, LocalRequestIsAbandonedAtTheDeadline) {
  Dispatcher_.setRouting(routingOwnedBy("self"));
  submit(false);
  pass(seconds(9));
  ASSERT_EQ(Local_.size(), 2U);
  EXPECT_TRUE(std::holds_alternative<HomeRequestAbandoned>(Local_[1]));
  EXPECT_EQ(Dispatcher_.pending(), 0U);
}

} // namespace
} // namespace oleandergauge::daemon
