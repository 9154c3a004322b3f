#include "daemon/dispatcher.h"

#include <gtest/gtest.h>

namespace oleandergauge::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const HostId Self("self");
const PartitionId Home("north-0");

Member memberOf(const std::string &Name) {
  return {HostId(Name), Name + ":1", Region("north"), FailureDomain("a")};
}

std::shared_ptr<const Routing> ownedBy(const std::string &Host) {
  auto Out = std::make_shared<Routing>();
  if (!Host.empty())
    Out->Owners_[Home] = memberOf(Host);
  return Out;
}

/// A dispatcher whose peers, partition task and clock the test plays.
class DispatcherTest : public testing::Test {
protected:
  DispatcherTest()
      : Own_(Self, Figures_,
             {[this](PartitionTaskMessage Sent) {
                Local_.push_back(std::move(Sent));
              },
              [this](const Member &Owner, const PartitionId &,
                     const HomeRequest &, Duration, auto Done) {
                Peers_.emplace_back(Owner.Host_, std::move(Done));
              },
              [this] { return Now_; }}) {}

  void submit(bool Repeatable, Duration Patience = seconds(8)) {
    Own_.dispatch({Home, Submitted{}, Repeatable, Now_ + Patience},
                  [this](const Result<JobStatus> &Answer) {
                    Answers_.push_back(Answer);
                  });
  }
  void ask() {
    Own_.dispatch({Home, JobQueried{}, false, Now_ + seconds(5)},
                  [this](const Result<JobStatus> &Answer) {
                    Answers_.push_back(Answer);
                  });
  }
  void pass(Duration Span) {
    for (TimePoint End = Now_ + Span; Now_ < End; Now_ += milliseconds(10))
      Own_.tick();
  }
  void answerPeer(std::size_t Index, PeerOutcome Outcome) {
    Peers_.at(Index).second({Outcome, std::nullopt});
  }
  void answerPeer(std::size_t Index, const Result<JobStatus> &Answer) {
    Peers_.at(Index).second({PeerOutcome::Answered, Answer});
  }
  Verdict verdict() const { return Answers_.at(0).error().Verdict_; }

  Metrics Figures_;
  TimePoint Now_{seconds(100)};
  std::vector<PartitionTaskMessage> Local_;
  std::vector<std::pair<HostId, std::function<void(const ForwardOutcome &)>>>
      Peers_;
  std::vector<Result<JobStatus>> Answers_;
  Dispatcher Own_;
};

Result<JobStatus> refusal(Verdict Value, RefusalReason Reason) {
  return tl::unexpected(Refusal{Value, Reason, "", Duration(0)});
}

TEST_F(DispatcherTest, LocalOwnerIsReachedByItsMailbox) {
  Own_.setRouting(ownedBy("self"));
  submit(false);
  ASSERT_EQ(Local_.size(), 1U);
  const auto &Asked = std::get<HomeAsked>(Local_[0]);
  Token Id = std::get<Submitted>(Asked.Request_).Token_;
  Own_.handle({Id, JobStatus{}});
  Own_.handle({Id, JobStatus{}});
  EXPECT_EQ(Answers_.size(), 1U);
}

TEST_F(DispatcherTest, WithoutOwnerASubmissionIsNotRun) {
  submit(false);
  ASSERT_EQ(Answers_.size(), 1U);
  EXPECT_EQ(verdict(), Verdict::NotRun);
  EXPECT_GT(Answers_[0].error().RetryAfter_, Duration(0));
}

TEST_F(DispatcherTest, UnsentSubmissionIsNotRun) {
  Own_.setRouting(ownedBy("peer"));
  submit(false);
  answerPeer(0, PeerOutcome::NotSent);
  ASSERT_EQ(Answers_.size(), 1U);
  EXPECT_EQ(verdict(), Verdict::NotRun);
}

// Guards against "not run" for work that a first, unanswered try started.
TEST_F(DispatcherTest, SubmissionOfUnknownFateNeverEndsAsNotRun) {
  Own_.setRouting(ownedBy("peer"));
  submit(false);
  answerPeer(0, PeerOutcome::Unknown);
  pass(seconds(1));
  ASSERT_EQ(Peers_.size(), 2U);
  answerPeer(1, refusal(Verdict::NotRun, RefusalReason::QueueFull));
  ASSERT_EQ(Answers_.size(), 1U);
  EXPECT_EQ(verdict(), Verdict::MayHaveRun);
}

// Guards against a caller who gets no answer though the home knows it.
TEST_F(DispatcherTest, HomeIsAskedAgainUntilItAnswers) {
  Own_.setRouting(ownedBy("peer"));
  submit(false);
  answerPeer(0, PeerOutcome::Unknown);
  Own_.setRouting(ownedBy(""));
  pass(seconds(3));
  EXPECT_TRUE(Answers_.empty());
  Own_.setRouting(ownedBy("other"));
  pass(seconds(2));
  ASSERT_EQ(Peers_.size(), 2U);
  EXPECT_EQ(Peers_[1].first, HostId("other"));
  answerPeer(1, JobStatus{});
  ASSERT_EQ(Answers_.size(), 1U);
  EXPECT_TRUE(Answers_[0]);
}

TEST_F(DispatcherTest, UnknownFateAtTheDeadlineMayHaveRun) {
  Own_.setRouting(ownedBy("peer"));
  submit(false);
  pass(seconds(9));
  ASSERT_EQ(Answers_.size(), 1U);
  EXPECT_EQ(verdict(), Verdict::MayHaveRun);
  answerPeer(0, JobStatus{});
  EXPECT_EQ(Answers_.size(), 1U);
}

// Guards against an owner that hangs without closing its connections.
TEST_F(DispatcherTest, NewOwnerIsAskedWithoutAnAnswerOfTheOldOne) {
  Own_.setRouting(ownedBy("peer"));
  submit(false);
  Own_.setRouting(ownedBy("other"));
  pass(seconds(1));
  ASSERT_EQ(Peers_.size(), 2U);
  // The old owner's late refusal is not the answer; its late state is.
  answerPeer(0, refusal(Verdict::NotRun, RefusalReason::QueueFull));
  EXPECT_TRUE(Answers_.empty());
  answerPeer(0, JobStatus{});
  ASSERT_EQ(Answers_.size(), 1U);
  EXPECT_TRUE(Answers_[0]);
}

TEST_F(DispatcherTest, IdempotentCallIsTriedThreeTimesAtMost) {
  Own_.setRouting(ownedBy("peer"));
  submit(true, seconds(60));
  for (std::size_t Try = 0; Try < 3; ++Try) {
    ASSERT_EQ(Peers_.size(), Try + 1);
    answerPeer(Try, PeerOutcome::Unknown);
    pass(seconds(7));
  }
  EXPECT_EQ(Peers_.size(), 3U);
  ASSERT_EQ(Answers_.size(), 1U);
  EXPECT_EQ(verdict(), Verdict::MayHaveRun);
}

// Guards against a dead owner multiplying the cell's load.
TEST_F(DispatcherTest, RepeatsStayWithinATenthOfTheRequests) {
  Own_.setRouting(ownedBy("peer"));
  constexpr std::size_t Requests = 1000;
  for (std::size_t I = 0; I < Requests; ++I) {
    submit(true, seconds(60));
    answerPeer(Peers_.size() - 1, PeerOutcome::NotSent);
  }
  pass(seconds(10));
  EXPECT_LE(Peers_.size(), Requests + Requests / 10 + 5);
  EXPECT_GT(Peers_.size(), Requests);
}

// Guards against "not run" about a job whose state could not be asked for.
TEST_F(DispatcherTest, QuestionsAreNeverAnsweredWithNotRun) {
  ask();
  pass(seconds(6));
  ASSERT_EQ(Answers_.size(), 1U);
  EXPECT_EQ(verdict(), Verdict::MayHaveRun);
}

// Guards against refusals at each change of a record.
TEST_F(DispatcherTest, HomeWithoutProofIsAskedAgainForAMoment) {
  Own_.setRouting(ownedBy("peer"));
  submit(false);
  answerPeer(0, refusal(Verdict::NotRun, RefusalReason::StaleConfiguration));
  pass(milliseconds(50));
  ASSERT_EQ(Peers_.size(), 2U);
  answerPeer(1, JobStatus{});
  EXPECT_TRUE(Answers_.at(0));

  submit(false);
  TimePoint Began = Now_;
  while (Answers_.size() == 1) {
    answerPeer(Peers_.size() - 1,
               refusal(Verdict::NotRun, RefusalReason::StaleConfiguration));
    pass(milliseconds(50));
  }
  EXPECT_LE(Now_ - Began, milliseconds(400));
  EXPECT_EQ(Answers_[1].error().Verdict_, Verdict::NotRun);
}

// Guards against waiters that stay in the partition task for ever.
TEST_F(DispatcherTest, LocalRequestIsAbandonedAtTheDeadline) {
  Own_.setRouting(ownedBy("self"));
  submit(false);
  pass(seconds(9));
  ASSERT_EQ(Local_.size(), 2U);
  EXPECT_TRUE(std::holds_alternative<HomeAbandoned>(Local_[1]));
  EXPECT_EQ(Own_.pending(), 0U);
}

} // namespace
} // namespace oleandergauge::daemon
