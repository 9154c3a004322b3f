#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "cell_world.h"

namespace oleandergauge::cell::test {
namespace {

constexpr Millis FaultTime = 16000;
/// Longer than a lease, a recovery and the latest order.
constexpr Millis CalmTime = 40000;

JobSpec drawJob(std::mt19937_64 &Random) {
  auto Draw = [&](int Low, int High) {
    return std::uniform_int_distribution<int>(Low, High)(Random);
  };
  JobSpec Out;
  const int Steps = Draw(1, 3);
  for (int At = 0; At < Steps; ++At) {
    StepSpec Step;
    Step.Count_ = static_cast<std::uint32_t>(Draw(1, 4));
    Step.Need_ = {std::int64_t{100} * Draw(2, 15),
                  std::int64_t{50} * Draw(1, 20), 0, 0, 0};
    Step.Estimate_ = 400;
    Step.Checkpointed_ = Draw(0, 1) == 1;
    Step.Gang_ = Draw(0, 2) == 0;
    if (At > 0)
      Step.After_ = {static_cast<std::uint32_t>(At - 1)};
    Out.Steps_.push_back(Step);
  }
  return Out;
}

void disturb(World &Of, std::mt19937_64 &Random) {
  const auto Pick = std::uniform_int_distribution<int>(0, 11)(Random);
  FakeWorker &Chosen = Of.worker(std::uniform_int_distribution<std::size_t>(
      0, Of.workerCount() - 1)(Random));
  switch (Pick) {
  case 0:
    if (Of.hasOwner())
      Of.killOwner();
    break;
  case 1:
    Chosen.Cut_ = !Chosen.Cut_;
    break;
  case 2:
    Of.setStoreDown(true);
    break;
  case 3:
    Of.setStoreDown(false);
    break;
  case 4:
    Chosen.Draining_ = !Chosen.Draining_;
    break;
  default:
    break;
  }
  if (!Of.hasOwner() && Pick > 7) {
    Of.setStoreDown(false);
    Of.takeOver();
  }
}

void recover(World &Of) {
  for (std::size_t At = 0; At < Of.workerCount(); ++At) {
    Of.worker(At).Cut_ = false;
    Of.worker(At).Draining_ = false;
  }
  Of.setStoreDown(false);
  Of.Faults_ = {};
  if (!Of.hasOwner())
    Of.takeOver();
}

/// Plays one cell with faults, then in calm until all is done.
void playCell(std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  World Of(Seed);
  Of.Faults_ = {0.05, 0.05, 0.1, 0.02};
  Of.takeOver();
  Of.run(300);
  std::vector<std::string> Ids;
  const Millis End = Of.now() + FaultTime;
  while (Of.now() < End) {
    char Id[17];
    std::snprintf(Id, sizeof Id, "%016zx", Ids.size());
    if (Of.hasOwner()) {
      const JobSpec Spec = drawJob(Random);
      constexpr const char *Queues[] = {"fast", "slow", "advised"};
      Of.submit(Id, Spec, Queues[Ids.size() % 3]);
      Ids.emplace_back(Id);
      if (Ids.size() % 9 == 0)
        Of.cancel(Ids[Ids.size() / 2]);
    }
    Of.run(std::uniform_int_distribution<Millis>(20, 60)(Random) * 5);
    disturb(Of, Random);
  }
  recover(Of);
  Of.run(CalmTime);
  for (const std::string &What : Of.violations())
    RC_FAIL(What);
  for (const std::string &Id : Of.Accepted_) {
    const auto State = Of.stateOf(Id);
    RC_ASSERT(State.has_value());
    RC_ASSERT(*State == JobState::Complete || *State == JobState::Failed ||
              *State == JobState::Cancelled);
  }
}

TEST(CellFuzz, KeepsEveryPromiseUnderFaults) {
  EXPECT_TRUE(
      rc::check([] { playCell(*rc::gen::arbitrary<std::uint32_t>()); }));
}

} // namespace
} // namespace oleandergauge::cell::test
