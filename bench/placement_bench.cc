/// Processor time of a tick of the cell with a placement pass, by the number of
/// waiting steps that no worker has room for, on 350 workers.

#include <benchmark/benchmark.h>

#include "cell/cell.h"

namespace oleandergauge::bench {
namespace {

using namespace oleandergauge::cell;

constexpr int WorkerCount = 350;
constexpr Millis Wall = 1000000;
/// Longer than the longest pause between passes.
constexpr Millis TickTime = 200;

/// A cell whose workers answer each renewal at once, and whose transactions are
/// stored at once.
class FullCell {
public:
  explicit FullCell(const std::optional<AdviceCost> &Advice) {
    auto State = std::make_shared<DesiredState>();
    State->Version_ = 1;
    State->Queues_ = {{"q", "h", "/q/", "svc", 0, 2, 2, 500, Advice, false}};
    Subject_.setDesiredState(Now_, State);
    Subject_.restore(Now_, Wall, {});
    std::vector<WorkerEntry> Entries;
    Entries.reserve(WorkerCount);
    for (int At = 0; At < WorkerCount; ++At)
      Entries.push_back({"w" + std::to_string(At),
                         "svc",
                         "10.0.0.1:" + std::to_string(At),
                         "d1",
                         {},
                         "r1",
                         {64000, 256000, 0, 0, 0},
                         false,
                         1000});
    Subject_.setWorkers(Now_, Entries, true);
    for (int At = 0; At < 10; ++At)
      tick();
  }

  void submit(int Count) {
    StepSpec Step;
    Step.Count_ = 4;
    Step.Need_ = {65000, 1000, 0, 0, 0};
    Step.Estimate_ = 1000000;
    for (int At = 0; At < Count; ++At)
      Subject_.submit(
          Now_, Wall + Now_, 1000000 + At,
          {Access::Allowed, 1, "q", "team", "j" + std::to_string(At)},
          {"payload", {Step}, 0, 0, 0});
    for (int At = 0; At < Count / 20 + 10; ++At)
      tick();
  }

  /// Advances the cell by a tick in which a placement pass is due.
  void tick() {
    Now_ += TickTime;
    Subject_.addAdviceHost("host", 1);
    Subject_.tick(Now_, Wall + Now_);
    for (std::vector<Effect> Effects = Subject_.takeEffects(); !Effects.empty();
         Effects = Subject_.takeEffects())
      for (const Effect &Each : Effects)
        std::visit([this](const auto &Kind) { apply(Kind); }, Each);
  }

private:
  void apply(const SendRenewal &Each) {
    RenewalOutcome Out{Each.Token_, Each.Worker_, OrderResult::Done, {}};
    Out.List_.ClockMs_ = Now_;
    Out.List_.Incarnation_ = 1000;
    if (Each.Deadline_ == 0)
      Subject_.handle(Now_, Out);
  }
  void apply(const Commit &) { Subject_.committed(Now_, Wall + Now_); }
  template <typename Other> void apply(const Other &) {}

  Cell Subject_{"h1", 1, Bounds{}};
  Millis Now_ = 1000;
};

void placeWithoutRoom(benchmark::State &State,
                      const std::optional<AdviceCost> &Advice) {
  FullCell Subject(Advice);
  Subject.submit(static_cast<int>(State.range(0)));
  for ([[maybe_unused]] auto _ : State)
    Subject.tick();
}

BENCHMARK_CAPTURE(placeWithoutRoom, WithoutAdvice, std::nullopt)
    ->Arg(10)
    ->Arg(100)
    ->Arg(500)
    ->Arg(2000)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(placeWithoutRoom, WithAdvice, AdviceCost{9, 0.13, 2500})
    ->Arg(10)
    ->Arg(100)
    ->Arg(500)
    ->Arg(2000)
    ->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace oleandergauge::bench

BENCHMARK_MAIN();
