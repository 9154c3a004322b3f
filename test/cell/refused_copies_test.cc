#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "caller_world.h"

namespace oleandergauge::cell::test {
namespace {

constexpr Millis FaultTime = 12000;
constexpr Millis RecoveryTime = 15000;
constexpr std::size_t FrontEnds = 3;
constexpr int MaxAttempts = 4;

struct World {
  explicit World(std::uint64_t Seed) : Sim_(Seed), Callers_(Sim_, Seed) {
    Sim_.TaskBehaviour_ = [](const std::string &) {
      return std::pair(Millis{100}, false);
    };
    Sim_.takeOver();
    Sim_.run(1000);
  }
  CellSimulation Sim_;
  CallerSimulation Callers_;
};

std::string idOf(std::size_t At) {
  char Id[17];
  std::snprintf(Id, sizeof Id, "%016zx", At);
  return Id;
}

void expectPromisesKept(const World &Played) {
  for (const std::string &What : Played.Callers_.violations())
    ADD_FAILURE() << What;
}

// Guards against a refusal that is passed on to the caller while an earlier
// copy of its request, on a link that has ended, is still accepted.
TEST(RefusedCopies, TellsNoRefusalWhileAnEarlierCopyIsOpen) {
  World Played(1);
  Played.Callers_.cutLink(0, 900, 1000);
  const std::size_t At = Played.Callers_.submit(idOf(1), simpleJob(1, 100), 0);
  Played.Sim_.run(890);
  // The second copy is sent once the link is up again.
  Played.Callers_.setAccessRefused(true);
  Played.Sim_.run(100);
  Played.Callers_.setAccessRefused(false);
  EXPECT_EQ(Played.Callers_.attempt(At).Copies_.count(), 2U);
  Played.Sim_.run(3000);
  EXPECT_NE(Played.Callers_.attempt(At).Told_, Told::Nothing);
  expectPromisesKept(Played);
}

constexpr Epoch SentTo = 5;
constexpr Millis OwnerSentAt = 100000;

// Guards against a copy that a process accepts in a later ownership than the
// one it was sent to, after another owner has refused the request.
TEST(RefusedCopies, VoidsACopyThatWasSentToAnotherOwnership) {
  const CopyStamp Stamp{9, 1, SentTo, OwnerSentAt, 3000};
  EXPECT_EQ(remainingTime(Stamp, SentTo, OwnerSentAt), 3000);
  EXPECT_EQ(remainingTime(Stamp, SentTo + 1, OwnerSentAt), std::nullopt);
  EXPECT_EQ(remainingTime(Stamp, SentTo - 1, OwnerSentAt), std::nullopt);
}

// Guards against a copy that is carried out after its caller has stopped
// waiting: the time counts from when it was sent, not from when it is read.
TEST(RefusedCopies, VoidsACopyWhoseCallerNoLongerWaits) {
  const CopyStamp Stamp{9, 1, SentTo, OwnerSentAt, 3000};
  EXPECT_EQ(remainingTime(Stamp, SentTo, OwnerSentAt + 2000), 1000);
  EXPECT_EQ(remainingTime(Stamp, SentTo, OwnerSentAt + 3000), std::nullopt);
}

// Guards against hosts of the version before being refused during an upgrade.
TEST(RefusedCopies, TakesACopyThatDoesNotStateWhenItWasSent) {
  EXPECT_EQ(remainingTime(CopyStamp{0, 0, 0, 0, 3000}, SentTo, OwnerSentAt),
            3000);
}

// Guards against an age that is too low: a copy must not look younger than it
// is because the heartbeat with the owner's clock was under way for long.
TEST(RefusedCopies, NeverTakesACopyForYoungerThanItIs) {
  OwnerClock Clock;
  EXPECT_EQ(Clock.at(50), 0);
  // Sent at 1000 on the owner's clock, which is 40 ahead; received 300 later.
  Clock.observe(1000, 1260);
  const CopyStamp Stamp{9, 1, SentTo, Clock.at(1360), 3000};
  const Millis TrueAge = 50;
  EXPECT_EQ(ageOf(Stamp, 1400 + TrueAge), TrueAge + 300);
}

// Guards against an earlier copy that is carried out after a later one of the
// same request was refused, and against a copy that is taken for an earlier
// one.
TEST(RefusedCopies, VoidsACopyOnceALaterOneWasRead) {
  LatestCopies Latest;
  const CopyStamp First{9, 1, SentTo, OwnerSentAt, 3000};
  const CopyStamp Second{9, 2, SentTo, OwnerSentAt + 700, 2300};
  const CopyStamp OfAnother{8, 1, SentTo, OwnerSentAt, 3000};
  EXPECT_TRUE(Latest.recordUnlessSuperseded(First, OwnerSentAt));
  EXPECT_TRUE(Latest.recordUnlessSuperseded(Second, OwnerSentAt + 700));
  EXPECT_FALSE(Latest.recordUnlessSuperseded(First, OwnerSentAt + 710));
  EXPECT_TRUE(Latest.recordUnlessSuperseded(Second, OwnerSentAt + 710));
  EXPECT_TRUE(Latest.recordUnlessSuperseded(OfAnother, OwnerSentAt + 710));
  EXPECT_FALSE(Latest.recordUnlessSuperseded(First, OwnerSentAt + 2999));
}

// Guards against memory that grows with the requests that were sent again.
TEST(RefusedCopies, ForgetsCopiesWhoseCallersNoLongerWait) {
  LatestCopies Latest;
  for (std::uint64_t Request = 1; Request <= 1000; ++Request) {
    const Millis Now = OwnerSentAt + static_cast<Millis>(Request) * 100;
    Latest.recordUnlessSuperseded({Request, 2, SentTo, Now, 3000}, Now);
  }
  EXPECT_LE(Latest.size(), 31U);
}

// Guards against a copy that is forgotten because a later copy went to an owner
// of an earlier epoch: a host whose takeover was confirmed late, after another
// host had taken over.
TEST(RefusedCopies, KeepsTheLatestEpochOfAnUnansweredCopy) {
  RequestCopies Copies;
  Copies.recordSent(SentTo + 1);
  Copies.recordUnanswered();
  Copies.recordSent(SentTo);
  Copies.recordUnanswered();
  Copies.recordSent(SentTo);
  EXPECT_FALSE(Copies.provesNotRun(SentTo));
  EXPECT_TRUE(Copies.provesNotRun(SentTo + 1));
}

// Guards against a copy that gets more time than its caller waits, since the
// owner's clock was set back by a suspension of its machine.
TEST(RefusedCopies, TakesACopyFromAheadOfItsClockAsJustSent) {
  const CopyStamp Stamp{9, 1, SentTo, OwnerSentAt, 3000};
  EXPECT_EQ(ageOf(Stamp, OwnerSentAt - 500), 0);
  EXPECT_EQ(remainingTime(Stamp, SentTo, OwnerSentAt - 500), 3000);
}

// Guards against a refusal that is withheld although the owner that all copies
// were sent to, or a later one, has looked the id up; and against one that is
// passed on where that is not so.
TEST(RefusedCopies, AnOwnerThatDoesNotKnowTheIdProvesARefusal) {
  RequestCopies Copies;
  Copies.recordSent(SentTo);
  EXPECT_TRUE(Copies.provesNotRun(0));
  Copies.recordUnanswered();
  Copies.recordSent(SentTo);
  EXPECT_FALSE(Copies.provesNotRun(0));
  EXPECT_FALSE(Copies.provesNotRun(SentTo - 1));
  EXPECT_TRUE(Copies.provesNotRun(SentTo));
  Copies.recordReturned();
  EXPECT_TRUE(Copies.mayHaveRun());
  Copies.recordSent(SentTo + 1);
  EXPECT_TRUE(Copies.provesNotRun(SentTo + 1));
  EXPECT_FALSE(Copies.provesNotRun(0)); // Refused before the id is looked up.
}

struct Submission {
  std::size_t Attempt_ = 0;
  int Attempts_ = 0;
  Millis NextAt_ = 0;
};

/// Submits again what was refused or has an unknown outcome.
void retry(World &Played, std::vector<Submission> &Open,
           std::mt19937_64 &Random) {
  auto Draw = [&](int Low, int High) {
    return std::uniform_int_distribution<int>(Low, High)(Random);
  };
  for (Submission &Each : Open) {
    const Attempt Last = Played.Callers_.attempt(Each.Attempt_);
    if (Last.Told_ == Told::Nothing || Last.Told_ == Told::Accepted ||
        Each.Attempts_ >= MaxAttempts)
      continue;
    if (Each.NextAt_ == 0) {
      Each.NextAt_ = Played.Sim_.now() + Draw(50, 1000);
      continue;
    }
    if (Played.Sim_.now() < Each.NextAt_)
      continue;
    Each.Attempt_ = Played.Callers_.submit(
        Last.Id_, simpleJob(1, 100),
        static_cast<std::size_t>(Draw(0, FrontEnds - 1)));
    Each.NextAt_ = 0;
    ++Each.Attempts_;
  }
}

void injectFault(World &Played, std::mt19937_64 &Random) {
  auto Draw = [&](int Low, int High) {
    return std::uniform_int_distribution<int>(Low, High)(Random);
  };
  CallerSimulation &Callers = Played.Callers_;
  CellSimulation &Sim = Played.Sim_;
  switch (Draw(0, 13)) {
  case 0:
  case 1:
  case 2:
    Callers.cutLink(static_cast<std::size_t>(Draw(0, FrontEnds - 1)),
                    Draw(100, 2500), Draw(0, 3000));
    break;
  case 3:
    if (Sim.hasOwner())
      Callers.pauseOwner(Draw(100, 2500));
    break;
  case 4:
    if (Sim.hasOwner() && !Sim.OwnerPaused_)
      Callers.killOwner();
    break;
  case 5:
    Sim.setStoreDown(true);
    break;
  case 6:
    Sim.setStoreDown(false);
    break;
  case 7:
    Sim.CommitTime_ = Draw(0, 1) == 0 ? 8 : Draw(200, 1500);
    break;
  case 8:
    Callers.setAccessRefused(true);
    break;
  default:
    Callers.setAccessRefused(false);
    break;
  }
  if (!Sim.hasOwner() && Draw(0, 3) == 0)
    Callers.takeOver(Draw(0, 2) == 0);
}

/// Plays submissions, with retries, among faults of links, owner and store.
void playFaults(std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  World Played(Seed);
  std::vector<Submission> Open;
  const Millis End = Played.Sim_.now() + FaultTime;
  while (Played.Sim_.now() < End) {
    if (Random() % 2 == 0)
      Open.push_back(
          {Played.Callers_.submit(idOf(Open.size()), simpleJob(1, 100),
                                  Random() % FrontEnds),
           1, 0});
    Played.Sim_.run(50);
    retry(Played, Open, Random);
    injectFault(Played, Random);
  }
  Played.Sim_.OwnerPaused_ = false;
  Played.Sim_.setStoreDown(false);
  Played.Sim_.CommitTime_ = 8;
  if (!Played.Sim_.hasOwner())
    Played.Callers_.takeOver(false);
  Played.Sim_.run(RecoveryTime);
  for (const std::string &What : Played.Callers_.violations())
    RC_FAIL(What);
  for (const std::string &What : Played.Sim_.violations())
    RC_FAIL(What);
}

// Guards against a job that runs although its callers were told that it does
// not: an id of which every answer was a refusal never starts.
TEST(RefusedCopies, StartsNothingOfWhichEveryAnswerWasARefusal) {
  EXPECT_TRUE(
      rc::check([] { playFaults(*rc::gen::arbitrary<std::uint32_t>()); }));
}

} // namespace
} // namespace oleandergauge::cell::test
