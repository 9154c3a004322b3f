// The choice between waiting for a preferred place and starting elsewhere, and
// the estimate of the wait that it rests on.

#include <gtest/gtest.h>

#include "cell/place_wait.h"

namespace oleandergauge::cell {
namespace {

constexpr Millis FarAhead = 1000000;

PlaceWait work(Millis Waited, std::optional<Millis> Expected, Millis Duration,
               double Factor) {
  return {Waited, Expected, Duration, Factor, FarAhead, FarAhead};
}

TEST(PlaceWait, WaitsWhileTheExpectedWaitIsShorterThanTheLoss) {
  EXPECT_EQ(choosePlace(work(0, 499, 1000, 1.5)), PlaceChoice::Wait);
  EXPECT_EQ(choosePlace(work(0, 500, 1000, 1.5)), PlaceChoice::GoElsewhere);
  EXPECT_EQ(choosePlace(work(0, 1500, 1000, 3)), PlaceChoice::Wait);
}

TEST(PlaceWait, WaitsAtMostAsLongAsTheLoss) {
  EXPECT_EQ(choosePlace(work(499, {}, 1000, 1.5)), PlaceChoice::Wait);
  EXPECT_EQ(choosePlace(work(500, {}, 1000, 1.5)), PlaceChoice::GoElsewhere);
  // An estimate that has proved wrong does not prolong the wait.
  EXPECT_EQ(choosePlace(work(500, 1, 1000, 1.5)), PlaceChoice::GoElsewhere);
}

TEST(PlaceWait, NeverWaitsWhereNothingIsLost) {
  EXPECT_EQ(choosePlace(work(0, 0, 1000, 1)), PlaceChoice::GoElsewhere);
  EXPECT_EQ(choosePlace(work(0, {}, 0, 3)), PlaceChoice::GoElsewhere);
}

// Guards against a wait that alone makes a job late: at every moment until the
// work starts elsewhere, it still ends in time there.
TEST(PlaceWait, StartsElsewhereBeforeThatIsTooLate) {
  for (const bool Objective : {true, false})
    for (Millis Left = 1500; Left < 2500; ++Left) {
      PlaceWait Work = work(0, {}, 1000, 1.5);
      Millis &Deadline =
          Objective ? Work.LeftToObjective_ : Work.LeftToWorthless_;
      Deadline = Left;
      while (choosePlace(Work) == PlaceChoice::Wait) {
        Work.Waited_ += 20;
        Deadline -= 20;
      }
      EXPECT_GE(Deadline, 1500) << Left;
    }
}

// The end elsewhere is late in any case, so that only the place helps.
TEST(PlaceWait, WaitsForThePlaceIfTheWorkIsLateElsewhere) {
  PlaceWait Work = work(0, 100, 1000, 1.5);
  Work.LeftToObjective_ = 1200;
  EXPECT_EQ(choosePlace(Work), PlaceChoice::Wait);
}

/// When the preferred place has room, counted from the first decision; empty if
/// it never has.
using RoomAt = std::optional<Millis>;

/// Returns when the work ends, with the decision taken anew every few ms.
template <typename Decide>
Millis endOf(RoomAt Room, Millis Duration, double Factor, Decide Choose) {
  constexpr Millis Step = 5;
  for (Millis Now = 0;; Now += Step) {
    if (Room && Now >= *Room)
      return Now + Duration;
    if (Choose(Now) == PlaceChoice::GoElsewhere)
      return Now + static_cast<Millis>(Factor * static_cast<double>(Duration));
  }
}

struct Totals {
  Millis Best_ = 0;
  Millis BreakEven_ = 0;
  Millis Estimated_ = 0;
  std::map<Millis, Millis> Fixed_; ///< By delay.
};

/// Returns the sum of the ends over several loads.
Totals compareOverLoads() {
  Totals Out;
  for (const RoomAt Room : {RoomAt(20), RoomAt(400), RoomAt(4000), RoomAt()})
    for (const Millis Duration : {100, 600, 4000})
      for (const double Factor : {1.5, 3.0}) {
        const auto Away =
            static_cast<Millis>(Factor * static_cast<double>(Duration));
        const Millis Best = Room ? std::min(*Room + Duration, Away) : Away;
        const auto Rule = [&](bool Estimate) {
          return endOf(Room, Duration, Factor, [&](Millis Now) {
            PlaceWait Work = work(Now, {}, Duration, Factor);
            if (Estimate)
              Work.ExpectedWait_ = Room ? *Room - Now : FarAhead;
            return choosePlace(Work);
          });
        };
        const Millis BreakEven = Rule(false);
        const Millis Estimated = Rule(true);
        EXPECT_LE(BreakEven, 2 * Best + 10);
        EXPECT_LE(Estimated, Best + 10);
        Out.Best_ += Best;
        Out.BreakEven_ += BreakEven;
        Out.Estimated_ += Estimated;
        for (const Millis Delay : {0, 50, 500, 3000})
          Out.Fixed_[Delay] += endOf(Room, Duration, Factor, [&](Millis Now) {
            return Now < Delay ? PlaceChoice::Wait : PlaceChoice::GoElsewhere;
          });
      }
  return Out;
}

// Guards against a rule that does no better than a fixed delay, which is too
// long for short tasks or too short for long ones.
TEST(PlaceWait, EndsSoonerThanWithAnyFixedDelayOverSeveralLoads) {
  const Totals Sums = compareOverLoads();
  for (const auto &[Delay, Sum] : Sums.Fixed_) {
    EXPECT_LT(Sums.Estimated_, Sum) << Delay;
    RecordProperty("fixed_" + std::to_string(Delay), std::to_string(Sum));
  }
  RecordProperty("best", std::to_string(Sums.Best_));
  RecordProperty("break_even", std::to_string(Sums.BreakEven_));
  RecordProperty("estimated", std::to_string(Sums.Estimated_));
  EXPECT_LT(Sums.Estimated_, Sums.BreakEven_);
}

const Resources Need{1000, 100, 0, 0, 0};
const Resources Full{0, 0, 0, 0, 0};
const Resources Two{2000, 200, 0, 0, 0};

TEST(FreedRoomHistory, DerivesTheWaitFromTheRateOfFreedRoom) {
  FreedRoomHistory History;
  for (Millis Now = 0; Now <= 1000; Now += 100)
    History.recordFreed("r1", Now, Full, Two);
  EXPECT_EQ(History.expectedWait("r1", 1000, Need, 1), 50);
  EXPECT_EQ(History.expectedWait("r1", 1000, Need, 10), 500);
  // No further room since then: the expected wait grows.
  EXPECT_EQ(History.expectedWait("r1", 4000, Need, 1), 200);
}

// Guards against small ends that count as room for a large task.
TEST(FreedRoomHistory, CountsOnlyRoomOfTheSizeNeeded) {
  FreedRoomHistory History;
  for (Millis Now = 0; Now <= 1000; Now += 100)
    History.recordFreed("r1", Now, Full, {999, 100, 0, 0, 0});
  EXPECT_GT(History.expectedWait("r1", 1000, Need, 1), 1000000);
  History.recordFreed("r1", 1000, {999, 100, 0, 0, 0}, Need);
  EXPECT_EQ(History.expectedWait("r1", 1000, Need, 1), 1000);
}

TEST(FreedRoomHistory, KnowsNothingFromFewOrOldSamplesOrAClockThatWentBack) {
  FreedRoomHistory History;
  EXPECT_FALSE(History.expectedWait("r1", 0, Need, 1));
  for (std::size_t At = 1; At < FreedRoomHistory::MinSamples; ++At)
    History.recordFreed("r1", 1000 + static_cast<Millis>(At), Full, Two);
  EXPECT_FALSE(History.expectedWait("r1", 2000, Need, 1));
  History.recordFreed("r1", 2000, Full, Two);
  EXPECT_TRUE(History.expectedWait("r1", 2000, Need, 1));
  EXPECT_FALSE(History.expectedWait("r1", 500, Need, 1));
  EXPECT_FALSE(History.expectedWait("r2", 2000, Need, 1));
  EXPECT_FALSE(
      History.expectedWait("r1", 2001 + FreedRoomHistory::MaxAge, Need, 1));
}

// Guards against memory that grows with the places a cell has ever had.
TEST(FreedRoomHistory, KeepsTheLatestPlacesOnly) {
  FreedRoomHistory History;
  for (std::size_t At = 0; At < 2 * FreedRoomHistory::MaxPlaces; ++At)
    for (Millis Time = 0; Time < 8; ++Time)
      History.recordFreed("r" + std::to_string(At),
                          static_cast<Millis>(10 * At) + Time, Full, Two);
  EXPECT_EQ(History.placeCount(), FreedRoomHistory::MaxPlaces);
  EXPECT_FALSE(History.expectedWait("r0", 100, Need, 1));
}

} // namespace
} // namespace oleandergauge::cell
