#include "daemon/record_changes.h"

#include <memory>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fake_table.h"

namespace oleandergauge::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A test harness with two hosts that change records of one fake table. It
/// collects their answers.
class ChangeHarness {
public:
  explicit ChangeHarness(std::uint64_t Seed) : Table_(Time_, Seed) {
    for (std::size_t Host = 0; Host < 2; ++Host)
      Hosts_.push_back(std::make_unique<RecordChanges>(outputs(Host)));
  }

  /// Requests a change of the limit of team "t". Each change has an operator
  /// name of its own, by which its log entry is found.
  void change(std::size_t Host, std::uint64_t Expected) {
    Token Id = NextToken_++;
    RecordChangeRequested NewChange;
    NewChange.Token_ = Id;
    NewChange.Change_.Kind_ = RecordKind::Limit;
    NewChange.Change_.Name_ = "t";
    NewChange.Change_.Body_ = LimitRecord{static_cast<std::uint32_t>(Id)};
    NewChange.Change_.ExpectedVersion_ = Expected;
    NewChange.Operator_ = operatorOf(Id);
    Hosts_.at(Host)->change(std::move(NewChange));
  }

  static std::string operatorOf(Token Id) { return "op" + std::to_string(Id); }

  /// Returns the head versions of the log entries that the change wrote.
  std::vector<std::uint64_t> loggedBy(Token Id) const {
    std::vector<std::uint64_t> Out;
    for (const auto &[Key, Present] : Table_.rows())
      if (Key.starts_with(codec::ConfigLogPrefix)) {
        auto Entry = codec::decodeLogEntry(Present);
        if (Entry && Entry->Operator_ == operatorOf(Id))
          Out.push_back(Entry->Version_);
      }
    return Out;
  }

  std::uint32_t storedLimit() const {
    auto Stored = codec::decodeRecord(
        Table_.find(codec::recordKey(RecordKind::Limit, "t")));
    return Stored ? std::get<LimitRecord>(Stored->Body_).MaxRunning_ : 0;
  }

  VirtualTime Time_;
  FakeTable Table_;
  std::vector<std::unique_ptr<RecordChanges>> Hosts_;
  std::map<Token, std::vector<ChangeOutcome>> Answers_;
  std::vector<bool> InFlight_{false, false};
  bool MayCommit_ = true;
  Token NextToken_ = 1;

private:
  RecordChangesOutputs outputs(std::size_t Host) {
    RecordChangesOutputs Out;
    Out.Table_ = [this](const TableRequest &Request, auto Done) {
      Table_.send(Request, Done);
    };
    Out.RunAfter_ = [this](Duration Delay, auto Call) {
      Time_.after(Delay, std::move(Call));
    };
    Out.Now_ = [this] { return Time_.now(); };
    Out.UnixMs_ = [] { return std::int64_t(1); };
    Out.MayCommit_ = [this] { return MayCommit_; };
    Out.SetInFlight_ = [this, Host](bool InFlight) {
      InFlight_[Host] = InFlight;
    };
    Out.Answers_ = [this](const HttpTaskMessage &Message) {
      if (const auto *Answer = std::get_if<RecordChangeAnswered>(&Message))
        Answers_[Answer->Token_].push_back(Answer->Outcome_);
    };
    return Out;
  }
};

Verdict verdictOf(const ChangeOutcome &Outcome) {
  return std::visit(
      detail::Overloaded{[](const ChangeAccepted &) { return Verdict::Ran; },
                         [](const ChangeConflict &) { return Verdict::NotRun; },
                         [](const Refusal &Cause) { return Cause.Verdict_; }},
      Outcome);
}

TEST(RecordChangesTest, AcceptedChangeTellsItsVersions) {
  ChangeHarness Harness(1);
  Harness.change(0, 0);
  Harness.Time_.advance(seconds(1));
  ASSERT_EQ(Harness.Answers_[1].size(), 1U);
  const auto &Done = std::get<ChangeAccepted>(Harness.Answers_[1][0]);
  EXPECT_EQ(Done.HeadVersion_, 1U);
  ASSERT_TRUE(Done.Stored_);
  EXPECT_EQ(
      Done.Stored_->Version_,
      Harness.Table_.find(codec::recordKey(RecordKind::Limit, "t")).Version_);
}

// Guards against a lost update when two operators change the same version.
TEST(RecordChangesTest, LoserOfARaceLearnsTheWinner) {
  ChangeHarness Harness(1);
  Harness.change(0, 0);
  Harness.change(1, 0);
  Harness.Time_.advance(seconds(5));
  Token Loser =
      std::holds_alternative<ChangeConflict>(Harness.Answers_[1].at(0))
          ? Token(1)
          : Token(2);
  const auto &Conflict =
      std::get<ChangeConflict>(Harness.Answers_[Loser].at(0));
  ASSERT_TRUE(Conflict.Current_ && Conflict.Last_);
  EXPECT_EQ(Conflict.Last_->Operator_, ChangeHarness::operatorOf(3 - Loser));
}

// Guards against a change by a host that must not commit because it has vouched
// for a store outage.
TEST(RecordChangesTest, NothingIsCommittedWhileTheHostMayNot) {
  ChangeHarness Harness(1);
  Harness.MayCommit_ = false;
  Harness.change(0, 0);
  Harness.Time_.advance(seconds(5));
  EXPECT_EQ(verdictOf(Harness.Answers_[1].at(0)), Verdict::NotRun);
  EXPECT_TRUE(Harness.Table_.rows().empty());
}

// Guards against wrong answers after lost replies, delayed writes and races.
// Each accepted change must be in the log exactly once, a refused one never.
RC_GTEST_PROP(RecordChangesTest, AnswersAreTrueUnderFaults, ()) {
  const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
  const auto Steps = *genSteps(3, 2);
  ChangeHarness Harness(Seed);
  Harness.Table_.setFaultRate(40);
  for (const Step &Action : Steps) {
    if (Action.Kind_ < 2)
      Harness.change(
          Action.Actor_,
          Harness.Table_.find(codec::recordKey(RecordKind::Limit, "t"))
              .Version_);
    Harness.Time_.advance(milliseconds(Action.Amount_ * 10));
  }
  Harness.Table_.setFaultRate(0);
  Harness.Time_.advance(std::chrono::minutes(30));
  std::uint64_t Newest = 0;
  std::uint32_t NewestLimit = 0;
  for (Token Id = 1; Id < Harness.NextToken_; ++Id) {
    RC_ASSERT(Harness.Answers_[Id].size() == 1U);
    const ChangeOutcome &Answer = Harness.Answers_[Id][0];
    const std::vector<std::uint64_t> Logged = Harness.loggedBy(Id);
    RC_ASSERT(Logged.size() <= 1U);
    if (verdictOf(Answer) == Verdict::NotRun)
      RC_ASSERT(Logged.empty());
    if (const auto *Done = std::get_if<ChangeAccepted>(&Answer))
      RC_ASSERT(Logged == std::vector<std::uint64_t>{Done->HeadVersion_});
    if (!Logged.empty() && Logged[0] > Newest) {
      Newest = Logged[0];
      NewestLimit = static_cast<std::uint32_t>(Id);
    }
  }
  RC_ASSERT(Harness.storedLimit() == NewestLimit);
  RC_ASSERT(!Harness.InFlight_[0] && !Harness.InFlight_[1]);
}

} // namespace
} // namespace oleandergauge::daemon
