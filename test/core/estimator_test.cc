#include "oleandergauge/estimator.h"

#include <cmath>
#include <random>

#include <gtest/gtest.h>

namespace oleandergauge {
namespace {

using std::chrono::seconds;

const TeamId Team("render");
const QueueId Queue("frames");

// Guards against replacing the declared values after only a few samples.
TEST(EstimatorTest, KeepsTheDeclaredValuesBeforeEnoughEnds) {
  Estimator E;
  for (int I = 0; I < 7; ++I)
    E.noteEnd(Team, Queue, seconds(500), {9000, 9000, 0, 1, 0});
  EXPECT_EQ(E.expectedRun(Team, Queue, seconds(10)), seconds(10));
  EXPECT_EQ(E.expectedNeed(Team, Queue, {100, 200, 0, 1, 0}),
            (Resources{100, 200, 0, 1, 0}));
}

// Guards against estimates far from the 90th percentile if run times have a
// heavy tail and the declaration is wrong by a factor of 10.
TEST(EstimatorTest, LearnsTheNinetiethPercentile) {
  Estimator E;
  std::mt19937_64 Random(1);
  std::lognormal_distribution<double> Run(std::log(60e6), 1.0);
  for (int I = 0; I < 3000; ++I)
    E.noteEnd(Team, Queue, Duration(std::llround(Run(Random))), {});
  const double True = 60e6 * std::exp(1.2816);
  const double Learned =
      static_cast<double>(E.expectedRun(Team, Queue, seconds(6)).count());
  EXPECT_GT(Learned, True / 2);
  EXPECT_LT(Learned, True * 2);
}

// Guards against reducing the need below the declared one, which the task may
// rely on, and against learning slots, which are counted exactly.
TEST(EstimatorTest, NeedIsTheLargerOfDeclaredAndLearned) {
  Estimator E;
  for (int I = 0; I < 200; ++I)
    E.noteEnd(Team, Queue, seconds(5), {4000, 100, 3, 7, 9});
  const Resources Need = E.expectedNeed(Team, Queue, {1000, 512, 1, 1, 2});
  EXPECT_GE(Need.CpuMilli_, 3900);
  EXPECT_EQ(Need.MemoryMib_, 512);
  EXPECT_EQ(Need.Accelerators_, 1);
  EXPECT_EQ(Need.Slots_, 1);
  EXPECT_EQ(Need.Connections_, 2);
}

// Guards against estimating accurately declared small tasks to be as large as
// the large tasks of their queue, and against scaling declarations that do not
// predict the usage.
TEST(EstimatorTest, ScalesTheDeclarationWhereItIsKnown) {
  Estimator E;
  for (int I = 0; I < 300; ++I) {
    const Resources Size{I % 2 == 0 ? 1000 : 8000, 512, 0, 1, 0};
    E.noteEnd(Team, Queue, seconds(5), Size, Size);
    E.noteEnd(TeamId("wrong"), Queue, seconds(5), Size,
              {I % 3 == 0 ? 1000 : 8000, 512, 0, 1, 0});
  }
  const Resources Small{1000, 512, 0, 1, 0};
  EXPECT_EQ(E.expectedNeed(Team, Queue, Small), Small);
  const Resources Need = E.expectedNeed(TeamId("wrong"), Queue, Small);
  EXPECT_GE(Need.CpuMilli_, 7900);
}

// Guards against one team's tasks affecting the estimates for another team.
TEST(EstimatorTest, KeepsTeamsAndQueuesApart) {
  Estimator E;
  for (int I = 0; I < 50; ++I)
    E.noteEnd(Team, Queue, seconds(500), {});
  EXPECT_EQ(E.expectedRun(TeamId("quotes"), Queue, seconds(1)), seconds(1));
  EXPECT_EQ(E.expectedRun(Team, QueueId("previews"), seconds(1)), seconds(1));
}

} // namespace
} // namespace oleandergauge
