#include "oleandergauge/journal.h"

#include <memory>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fake_table.h"

namespace oleandergauge {
namespace {

using std::chrono::milliseconds;

const PartitionId Self("p0");
const std::string FenceKey = "owner/p0";

/// Returns a transition that is identified by its writer's epoch and its
/// ticket.
Transition makeTransition(Epoch Writer, std::uint64_t Ticket) {
  return JobForgotten{
      JobId(std::to_string(Writer) + "." + std::to_string(Ticket))};
}

std::string nameOf(const Transition &Change) {
  return std::get<JobForgotten>(Change).Job_.str();
}

/// Returns the names of all transitions in the table, in order. Fails if the
/// sequence of rows has a gap.
std::vector<std::string> replay(const FakeTable &Table) {
  std::vector<std::string> Names;
  std::uint64_t Sequence = 0;
  for (const auto &[Key, Present] : Table.rows()) {
    if (!Key.starts_with("journal/"))
      continue;
    RC_ASSERT(Key == journalKey(Self, ++Sequence));
    const auto Batch = decodeBatch(Present.Value_);
    RC_ASSERT(Batch.has_value());
    RC_ASSERT(Batch->Sequence_ == Sequence);
    for (const Transition &Change : Batch->Changes_)
      Names.push_back(nameOf(Change));
  }
  return Names;
}

/// A journal with its request in flight and the names of the transitions that
/// takeUnsentTransitions() removed from it.
struct Writer {
  Writer(FakeTable &Table, Epoch Held, std::uint64_t NextSequence)
      : Table_(Table), Epoch_(Held) {
    Journal_.open({FenceKey, Table.find(FenceKey).Version_}, Held,
                  NextSequence);
  }

  void append() {
    const std::uint64_t Ticket =
        Journal_.append(makeTransition(Epoch_, NextTicket_));
    RC_ASSERT(Ticket == NextTicket_++);
  }

  void tick(TimePoint Now) {
    if (Reply_ && *Reply_)
      noteOutcome(Journal_.answered(Now, **Reply_));
    if (Reply_ && !*Reply_)
      return;
    Reply_.reset();
    const auto Request = Journal_.poll(Now, ValidUntil_);
    if (!Request)
      return;
    RC_ASSERT(!Fenced_);
    RC_ASSERT(Now < ValidUntil_);
    Reply_ = std::make_shared<std::optional<TableReply>>();
    Table_.send(*Request,
                [Slot = Reply_](const TableReply &Reply) { *Slot = Reply; });
  }

  void noteOutcome(const JournalOutcome &Outcome) {
    Fenced_ = Fenced_ || std::holds_alternative<JournalFenced>(Outcome);
    if (const auto *Commit = std::get_if<BatchCommitted>(&Outcome)) {
      RC_ASSERT(Commit->Ticket_ <= Journal_.lastSentTicket());
      RC_ASSERT(Commit->Ticket_ == Journal_.committedTicket());
    }
  }

  void takeUnsentTransitions() {
    for (const Transition &Change : Journal_.takeUnsentTransitions())
      TakenBack_.insert(nameOf(Change));
  }

  /// Checks that the stored transitions of this writer are all committed ones,
  /// each once and in order, and at most those that were sent.
  void check(const std::vector<std::string> &Stored) const {
    std::vector<std::string> OwnStored;
    for (const std::string &Name : Stored)
      if (Name.starts_with(std::to_string(Epoch_) + "."))
        OwnStored.push_back(Name);
    std::vector<std::string> Expected;
    for (std::uint64_t Ticket = 1; Ticket < NextTicket_; ++Ticket) {
      const std::string Name = nameOf(makeTransition(Epoch_, Ticket));
      if (!TakenBack_.contains(Name))
        Expected.push_back(Name);
      if (Ticket == Journal_.committedTicket())
        RC_ASSERT(OwnStored.size() >= Expected.size());
    }
    RC_ASSERT(OwnStored.size() <= Expected.size());
    Expected.resize(OwnStored.size());
    RC_ASSERT(OwnStored == Expected);
  }

  FakeTable &Table_;
  Epoch Epoch_;
  Journal Journal_{Self};
  std::uint64_t NextTicket_ = 1;
  TimePoint ValidUntil_ = TimePoint::max();
  bool Fenced_ = false;
  std::shared_ptr<std::optional<TableReply>> Reply_;
  std::set<std::string> TakenBack_;
};

/// A simulation of successive owners. Deposed owners keep writing as if they
/// did not know of their successors.
struct JournalSimulation {
  explicit JournalSimulation(std::uint64_t Seed) : Table_(Time_, Seed) {
    takeOver();
  }

  void takeOver() {
    Table_.apply(Transaction{{}, {{FenceKey, "owner"}}});
    Writers_.push_back(std::make_unique<Writer>(Table_, Writers_.size() + 1,
                                                lastSequence() + 1));
  }

  std::uint64_t lastSequence() const {
    std::uint64_t Count = 0;
    for (const auto &[Key, Present] : Table_.rows())
      Count += Key.starts_with("journal/") ? 1 : 0;
    return Count;
  }

  void run(Duration Span) {
    for (const TimePoint End = Time_.now() + Span; Time_.now() < End;) {
      Time_.advance(milliseconds(2));
      for (const auto &Current : Writers_)
        Current->tick(Time_.now());
    }
  }

  void apply(const Step &Value) {
    Writer &Chosen = *Writers_[Value.Actor_ % Writers_.size()];
    switch (Value.Kind_) {
    case 0:
    case 1:
      return run(milliseconds(10) * Value.Amount_);
    case 2:
      for (unsigned Count = 0; Count < Value.Amount_ % 20; ++Count)
        Writers_.back()->append();
      return Chosen.append();
    case 3:
      return Table_.setFaultRate(Value.Amount_);
    case 4:
      return Chosen.takeUnsentTransitions();
    case 5:
      Chosen.ValidUntil_ = Value.Amount_ < 50
                               ? TimePoint::max()
                               : Time_.now() + milliseconds(Value.Amount_);
      return;
    case 6:
      return Table_.setOut(Value.Amount_ % 2 == 1);
    default:
      return takeOver();
    }
  }

  VirtualTime Time_;
  FakeTable Table_;
  std::vector<std::unique_ptr<Writer>> Writers_;
};

// Guards against transitions that are lost, duplicated or reordered because of
// lost replies, late writes and owners that do not know of their successor, and
// against a journal that never commits after the faults have ended.
RC_GTEST_PROP(JournalTest, KeepsEveryCommittedTransitionOnceInOrder, ()) {
  JournalSimulation Simulation(*rc::gen::arbitrary<std::uint64_t>());
  for (const Step &Value : *genSteps(8, 4)) {
    Simulation.apply(Value);
    const std::vector<std::string> Stored = replay(Simulation.Table_);
    for (const auto &Current : Simulation.Writers_)
      Current->check(Stored);
  }
  Simulation.Table_.setOut(false);
  Simulation.Table_.setFaultRate(0);
  Writer &Last = *Simulation.Writers_.back();
  Last.ValidUntil_ = TimePoint::max();
  Last.append();
  Simulation.run(milliseconds(8000));
  Last.check(replay(Simulation.Table_));
  RC_ASSERT(Last.Journal_.committedTicket() == Last.NextTicket_ - 1);
}

/// One journal whose table requests the test answers itself.
class JournalReplyTest : public ::testing::Test {
protected:
  JournalReplyTest() { Journal_.open({FenceKey, 7}, 3, 1); }
  TimePoint at(int Millis) { return TimePoint(milliseconds(10000 + Millis)); }
  std::optional<TableRequest> poll(int Millis) {
    return Journal_.poll(at(Millis), at(100000));
  }

  Journal Journal_{Self};
};

// Guards against a submission that waits for the minimum write interval
// although the journal is idle, and against more than 20 writes per second
// under load.
TEST_F(JournalReplyTest, WritesAtOnceWhenIdleAndSpacesWritesUnderLoad) {
  Journal_.append(makeTransition(3, 1));
  EXPECT_TRUE(poll(0).has_value());
  Journal_.append(makeTransition(3, 2));
  EXPECT_FALSE(poll(5).has_value());
  EXPECT_EQ(Journal_.answered(at(5), Committed{{1}}),
            JournalOutcome(BatchCommitted{1}));
  EXPECT_FALSE(poll(49).has_value());
  EXPECT_TRUE(poll(50).has_value());
}

// Guards against sending a different batch, or none, after a read has shown
// that the batch is absent, and against overwriting a row.
TEST_F(JournalReplyTest, ResendsTheSameBytesIfTheRowIsAbsent) {
  Journal_.append(makeTransition(3, 1));
  const auto First = poll(0);
  EXPECT_EQ(std::get<Transaction>(First.value()).Conditions_,
            (std::vector<Condition>{{FenceKey, 7}, {journalKey(Self, 1), 0}}));
  Journal_.append(makeTransition(3, 2));
  EXPECT_EQ(Journal_.answered(at(9), OutcomeUnknown()),
            JournalOutcome(JournalStalled()));
  EXPECT_EQ(poll(9), TableRequest(ReadKeys{{journalKey(Self, 1)}}));
  Journal_.answered(at(9), Rows{{{journalKey(Self, 1), "", 0}}});
  EXPECT_EQ(poll(9), First);
}

// Guards against further writes after another owner has written a batch.
TEST_F(JournalReplyTest, AnotherBatchAtTheSequenceFences) {
  Journal_.append(makeTransition(3, 1));
  poll(0);
  Journal_.answered(
      at(9), Conflicted{{{FenceKey, "", 7}, {journalKey(Self, 1), "", 9}}});
  EXPECT_TRUE(poll(9).has_value());
  const std::string Other = encodeBatch({4, 1, {makeTransition(4, 1)}});
  EXPECT_EQ(Journal_.answered(at(9), Rows{{{journalKey(Self, 1), Other, 9}}}),
            JournalOutcome(JournalFenced()));
  EXPECT_FALSE(poll(1000).has_value());
}

// Guards against rows of unlimited size when many transitions are queued.
TEST_F(JournalReplyTest, ClosesABatchAtItsSizeLimit) {
  TaskEnded Large{{JobId("j"), 0}, 1, Verdict::Ran, 0, ""};
  Large.Output_.resize(BatchCloseBytes / 2);
  for (int Count = 0; Count < 5; ++Count)
    Journal_.append(Large);
  poll(0);
  EXPECT_EQ(Journal_.lastSentTicket(), 2U);
  EXPECT_EQ(Journal_.queuedCount(), 3U);
}

// Guards against a field that is lost when a journal row is encoded and
// decoded, and against names that are not UTF-8, which a string field cannot
// hold.
TEST(JournalCodecTest, RestoresEveryKindOfTransition) {
  const TaskId Task{JobId("j"), 4};
  const Resources Need{1, 2, 3, 4, 5};
  const JobSpec Spec{JobId("j"),
                     RequestId("\xff"),
                     TeamId("t"),
                     QueueId("q"),
                     WorkClass::Gang,
                     true,
                     false,
                     9,
                     Need,
                     milliseconds(1),
                     milliseconds(2),
                     milliseconds(3),
                     std::string("\xff"),
                     "body"};
  const JournalBatch Batch{
      5,
      6,
      {JobAccepted{Spec}, TaskAssigned{Task, 2, WorkerId("w"), Need},
       TaskReturned{Task, 3},
       TaskEnded{Task, 4, Verdict::MayHaveRun, -1, "\xfe"},
       JobCancelled{JobId("j"), RefusalReason::WorkerFailed},
       JobForgotten{JobId("j")}}};
  EXPECT_EQ(decodeBatch(encodeBatch(Batch)), Batch);
}

// Guards against a crash on arbitrary, truncated or modified bytes.
RC_GTEST_PROP(JournalCodecTest, DecodesArbitraryBytesWithoutCrash,
              (const std::string &Bytes, unsigned Cut, char Flip)) {
  decodeBatch(Bytes);
  std::string Known = encodeBatch(
      {1,
       2,
       {makeTransition(1, 2), TaskEnded{}, TaskAssigned{}, JobAccepted{}}});
  Known[Cut % Known.size()] = Flip;
  if (const auto Decoded = decodeBatch(Known))
    RC_ASSERT(decodeBatch(encodeBatch(*Decoded)) == Decoded);
  decodeBatch(Known.substr(0, Cut % Known.size()));
}

} // namespace
} // namespace oleandergauge
