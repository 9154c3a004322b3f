/// Cost of placement decisions at several numbers of workers, in a steady
/// state: every worker is full, the queue is full, and each decision follows
/// the end of a task. Exits with 1 if run with --check and a bound is broken.

#include <chrono>
#include <cmath>
#include <cstring>
#include <random>

#include "figures.h"
#include "oleandergauge/scheduler.h"

namespace oleandergauge::bench {
namespace {

constexpr int Teams = 69;
/// Waiting items for each worker: the queue stays much longer than what one
/// round can place.
constexpr int WaitingPerWorker = 8;
constexpr std::size_t TimedDecisions = 20000;
constexpr std::size_t RoundSize = 64;
constexpr std::size_t TimedRounds = 400;
constexpr double StartsPerWorkerAndSecond = 1.0;

const char *const TargetSource =
    "requirement: thousands of placements a second, "
    "each decided in milliseconds";
const char *const IndexSource = "requirement: a decision's cost grows more "
                                "slowly than the number of workers";

/// The kinds of task that fill a worker: 7 batch tasks in the slots that are
/// not for direct calls, 1.86 services (a fifth of all) without a slot, and
/// 0.44 direct calls, 9.3 tasks together.
enum class Kind { Batch, Gang, Accelerated, Service, Direct };

class Cell {
public:
  explicit Cell(int Workers) : Workers_(Workers) {
    for (int I = 0; I < Workers; ++I)
      S_.upsertWorker(describe(I));
    for (int T = 0; T < Teams; ++T)
      S_.setTeam(team(T), 1.0 + T % 3, 1000000);
    for (int I = 0; I < Workers * WaitingPerWorker; ++I)
      submit(waitingKind());
    fill();
  }

  /// Ends a task and submits another of its kind.
  void turnOver() {
    const std::size_t At = Random_() % Running_.size();
    const auto [Id, Ended] = Running_[At];
    Running_[At] = Running_.back();
    Running_.pop_back();
    S_.release(Id);
    submit(Ended);
    Now_ += Duration(std::llround(1e6 / StartsPerWorkerAndSecond / Workers_));
  }

  std::size_t decide(std::size_t Max) {
    Last_ = S_.decide(Now_, Max);
    return Last_.size();
  }

  /// Notes what the last decision started, outside of the timed part.
  void settle() {
    for (const PlacedTask &P : Last_)
      Running_.emplace_back(P.Task_, kindOf(P.Task_));
    Last_.clear();
  }

  const SchedulerCounters &counters() const { return S_.counters(); }
  double runningPerWorker() const {
    return static_cast<double>(Running_.size()) / Workers_;
  }

private:
  static WorkerInfo describe(int I) {
    const Resources Capacity{64000, I % 2 == 0 ? 131072 : 262144,
                             I % 7 == 0 ? 8 : 0, 8, 64};
    return {WorkerId("worker-" + std::to_string(I)),
            "",
            Region("r0"),
            FailureDomain("d" + std::to_string(I % 11)),
            Rack("k" + std::to_string(I / 8)),
            Capacity};
  }

  static TeamId team(int T) { return TeamId("team-" + std::to_string(T)); }

  static Kind kindOf(const TaskId &Id) {
    return static_cast<Kind>(Id.Job_.str().front() - 'a');
  }

  Kind waitingKind() {
    const std::uint64_t Draw = Random_() % 100;
    if (Draw < 80)
      return Kind::Batch;
    return Draw < 85 ? Kind::Gang : Kind::Accelerated;
  }

  void submit(Kind K) {
    WorkItem Item;
    const char Letter = static_cast<char>('a' + static_cast<int>(K));
    Item.First_.Job_ = JobId(Letter + std::to_string(NextJob_++));
    Item.Team_ = team(static_cast<int>(Random_() % Teams));
    Item.SubmittedAt_ = Now_;
    const std::int64_t Size = 1 + static_cast<std::int64_t>(Random_() % 4);
    Item.ExpectedRun_ = std::chrono::seconds(1 + Random_() % 30);
    switch (K) {
    case Kind::Batch:
      Item.Need_ = {Size * 2000, Size * 4096, 0, 1, 0};
      break;
    case Kind::Gang:
      Item.Class_ = WorkClass::Gang;
      Item.Count_ = 4;
      Item.Need_ = {4000, 4096, 0, 1, 1};
      break;
    case Kind::Accelerated:
      Item.Need_ = {2000, 8192, static_cast<std::int32_t>(Size), 1, 0};
      break;
    case Kind::Service:
      Item.Class_ = WorkClass::Service;
      Item.Need_ = {1000, 1024, 0, 0, 8};
      break;
    case Kind::Direct:
      Item.Class_ = WorkClass::Direct;
      Item.ExpectedRun_ = std::chrono::milliseconds(50);
      Item.Need_ = {100, 64, 0, 1, 1};
      break;
    }
    S_.enqueue(Item);
  }

  void fill() {
    for (int I = 0; I < Workers_ * 186 / 100; ++I)
      submit(Kind::Service);
    for (int I = 0; I < Workers_ * 44 / 100; ++I)
      submit(Kind::Direct);
    while (decide(RoundSize) > 0)
      settle();
  }

  int Workers_;
  Scheduler S_;
  std::mt19937_64 Random_{20261204};
  TimePoint Now_{std::chrono::hours(1)};
  std::uint64_t NextJob_ = 0;
  std::vector<std::pair<TaskId, Kind>> Running_;
  std::vector<PlacedTask> Last_;
};

double microsSince(std::chrono::steady_clock::time_point Start) {
  return std::chrono::duration<double, std::micro>(
             std::chrono::steady_clock::now() - Start)
      .count();
}

struct Measured {
  double Median_ = 0.0;
  double P99_ = 0.0;
  double P999_ = 0.0;
  double PerSecond_ = 0.0;
  double LookedPerDecision_ = 0.0;
  double RunningPerWorker_ = 0.0;
};

/// One end, one decision.
void timeDecisions(Cell &C, Measured &M) {
  std::vector<double> Micros;
  const SchedulerCounters Before = C.counters();
  for (std::size_t I = 0; I < TimedDecisions; ++I) {
    C.turnOver();
    const auto Start = std::chrono::steady_clock::now();
    C.decide(1);
    Micros.push_back(microsSince(Start));
    C.settle();
  }
  const SchedulerCounters After = C.counters();
  M.Median_ = quantile(Micros, 0.5);
  M.P99_ = quantile(Micros, 0.99);
  M.P999_ = quantile(Micros, 0.999);
  M.LookedPerDecision_ =
      static_cast<double>(After.WorkersExamined_ - Before.WorkersExamined_) /
      static_cast<double>(After.Decisions_ - Before.Decisions_);
}

/// Rounds of RoundSize ends and submissions and one decide() call, all of it
/// counted.
void timeRounds(Cell &C, Measured &M) {
  std::size_t Placed = 0;
  double Micros = 0.0;
  for (std::size_t I = 0; I < TimedRounds; ++I) {
    const auto Start = std::chrono::steady_clock::now();
    for (std::size_t J = 0; J < RoundSize; ++J)
      C.turnOver();
    Placed += C.decide(RoundSize);
    Micros += microsSince(Start);
    C.settle();
  }
  M.PerSecond_ = static_cast<double>(Placed) / Micros * 1e6;
}

Measured measure(int Workers) {
  Cell C(Workers);
  Measured M;
  M.RunningPerWorker_ = C.runningPerWorker();
  timeDecisions(C, M);
  timeRounds(C, M);
  return M;
}

void report(int Workers, const Measured &M, Figures &Out) {
  const std::string At = "_at_" + std::to_string(Workers);
  std::optional<Bound> Rate;
  std::optional<Bound> Time;
  if (Workers == 1400) {
    Rate = Bound{Bound::Kind::AtLeast, 2000, TargetSource};
    Time = Bound{Bound::Kind::AtMost, 5000, TargetSource};
  }
  Out.add("running_per_worker" + At, M.RunningPerWorker_, "tasks");
  Out.add("placements_per_second" + At, M.PerSecond_, "1/s", Rate);
  Out.add("decision_median" + At, M.Median_, "us");
  Out.add("decision_p99" + At, M.P99_, "us", Time);
  Out.add("decision_p999" + At, M.P999_, "us");
  Out.add("looked_per_decision" + At, M.LookedPerDecision_, "workers");
}

int run(bool Check) {
  Figures Out;
  std::vector<std::pair<int, Measured>> All;
  for (const int Workers : {50, 200, 800, 1400, 5000}) {
    All.emplace_back(Workers, measure(Workers));
    report(Workers, All.back().second, Out);
  }
  const auto &[FewWorkers, Few] = All.front();
  const auto &[ManyWorkers, Many] = All.back();
  Out.add("decision_median_slope",
          std::log(Many.Median_ / Few.Median_) /
              std::log(static_cast<double>(ManyWorkers) / FewWorkers),
          "exponent of the number of workers");
  Out.add("looked_growth_50_to_5000",
          Many.LookedPerDecision_ / Few.LookedPerDecision_, "ratio",
          Bound{Bound::Kind::AtMost, 10, IndexSource});
  return Check ? Out.verdict() : 0;
}

} // namespace
} // namespace oleandergauge::bench

int main(int Count, char **Arguments) {
  const bool Check = Count > 1 && std::strcmp(Arguments[1], "--check") == 0;
  return oleandergauge::bench::run(Check);
}
