#ifndef OLEANDERGAUGE_BENCH_WORKLOAD_H
#define OLEANDERGAUGE_BENCH_WORKLOAD_H

#include <cmath>
#include <random>
#include <string>
#include <vector>

#include "oleandergauge/scheduler.h"

namespace oleandergauge::bench {

inline constexpr int WorkerCount = 50;
inline constexpr int BadWorkers = 3; ///< 5% of 50, rounded up.

inline TimePoint at(double Seconds) {
  return TimePoint(Duration(std::llround(Seconds * 1e6)));
}
inline double secondsOf(Duration Time) {
  return static_cast<double>(Time.count()) / 1e6;
}

/// An item with what the policies do not know.
struct Arrival {
  double At_ = 0.0;
  WorkItem Item_;     ///< With declared need and run time.
  double Run_ = 1.0;  ///< Seconds of work of each task.
  Resources Usage_;   ///< Real use of each task.
  bool Wave_ = false; ///< Cancelled by the wave if it still waits.
};

/// A run of virtual time, the same for all policies.
struct Scenario {
  std::string Name_;
  double Length_ = 1800.0;
  double WarmUp_ = 300.0; ///< Not measured.
  std::vector<Arrival> Arrivals_;
  std::vector<std::pair<std::string, double>> Teams_; ///< With weights.
  bool BadWorkers_ = false;
  double WaveAt_ = -1.0;
  double LeaveAt_ = -1.0; ///< Failure domain d0 leaves.
  double ReturnAt_ = -1.0;
  bool UntilEmpty_ = false; ///< Runs until all work is done.
};

inline WorkerInfo workerInfo(int I) {
  const Resources Capacity{64000, I % 2 == 0 ? 131072 : 262144, 0, 8, 64};
  return {WorkerId("w" + std::to_string(I)),
          "",
          Region("r"),
          FailureDomain("d" + std::to_string(I / 8 % 3)),
          Rack("k" + std::to_string(I / 8)),
          Capacity};
}

/// Makes arrivals with fixed seeds.
class Workload {
public:
  explicit Workload(std::uint64_t Seed) : Random_(Seed) {}

  struct Kind {
    std::string Team_;
    WorkClass Class_ = WorkClass::Batch;
    bool Urgent_ = false;
    Resources Usage_; ///< Typical; each item's differs by up to 2 times.
    double MedianRun_ = 1.0;
    double Sigma_ = 0.5;   ///< Of the logarithm of the run time.
    double WrongBy_ = 1.0; ///< Largest factor between declared and real.
    std::uint32_t Count_ = 1;
  };

  void add(const Kind &K, double At) {
    Arrival A;
    A.At_ = At;
    A.Usage_ = K.Usage_;
    const double Size = std::exp2(uniform() * 2 - 1);
    A.Usage_.CpuMilli_ = scaled(K.Usage_.CpuMilli_, Size);
    A.Usage_.MemoryMib_ = scaled(K.Usage_.MemoryMib_, Size);
    A.Run_ = K.MedianRun_ * std::exp(K.Sigma_ * normal());
    A.Item_.First_ = {JobId("j" + std::to_string(Next_++)), 0};
    A.Item_.Count_ = K.Count_;
    A.Item_.Team_ = TeamId(K.Team_);
    A.Item_.Class_ = K.Class_;
    A.Item_.Urgent_ = K.Urgent_;
    A.Item_.Need_ = declared(A.Usage_, K.WrongBy_);
    A.Item_.ExpectedRun_ =
        Duration(std::llround(A.Run_ * wrong(K.WrongBy_) * 1e6));
    A.Item_.SubmittedAt_ = at(At);
    Arrivals_.push_back(A);
  }
  /// Poisson arrivals.
  void addStream(const Kind &K, double PerSecond, double From, double To) {
    for (double T = From - std::log(1 - uniform()) / PerSecond; T < To;
         T -= std::log(1 - uniform()) / PerSecond)
      add(K, T);
  }
  void addBacklog(const Kind &K, int Count, double At = 0.0) {
    for (int I = 0; I < Count; ++I)
      add(K, At);
  }
  /// Marks part of the work of a team that comes before a time.
  void markWave(const std::string &Team, double Before) {
    for (Arrival &A : Arrivals_)
      A.Wave_ =
          A.Item_.Team_.str() == Team && A.At_ < Before && uniform() < 0.5;
  }
  std::vector<Arrival> take() {
    std::stable_sort(
        Arrivals_.begin(), Arrivals_.end(),
        [](const Arrival &A, const Arrival &B) { return A.At_ < B.At_; });
    return std::move(Arrivals_);
  }

private:
  static constexpr std::int64_t LargestCpuMilli = 64000;
  static constexpr std::int64_t LargestMemoryMib = 131072;

  double uniform() { return static_cast<double>(Random_() >> 11U) * 0x1.0p-53; }
  double normal() {
    constexpr double Pi = 3.14159265358979323846;
    return std::sqrt(-2 * std::log(1 - uniform())) *
           std::cos(2 * Pi * uniform());
  }
  /// A factor between 1 / Most and Most, even in its logarithm.
  double wrong(double Most) {
    return std::exp((uniform() * 2 - 1) * std::log(Most));
  }
  static std::int64_t scaled(std::int64_t Amount, double Factor) {
    return std::max<std::int64_t>(
        std::llround(static_cast<double>(Amount) * Factor), 1);
  }
  Resources declared(Resources Real, double WrongBy) {
    const double Factor = wrong(WrongBy);
    Real.CpuMilli_ = std::min(scaled(Real.CpuMilli_, Factor), LargestCpuMilli);
    Real.MemoryMib_ =
        std::min(scaled(Real.MemoryMib_, Factor), LargestMemoryMib);
    return Real;
  }

  std::mt19937_64 Random_;
  std::uint64_t Next_ = 0;
  std::vector<Arrival> Arrivals_;
};

/// All classes at once beside a flood of long renders, with wrong sizes, bad
/// workers and a cancellation wave.
inline Scenario mixedScenario() {
  Scenario S;
  S.Name_ = "mixed";
  S.Teams_ = {{"quotes", 1}, {"render", 1}, {"science", 1},
              {"web", 1},    {"etl", 1},    {"risk", 1}};
  S.BadWorkers_ = true;
  S.WaveAt_ = 1000.0;
  Workload W(11);
  const Resources Call{200, 128, 0, 1, 1};
  W.addStream({"quotes", WorkClass::Direct, false, Call, 0.05, 0.8, 1}, 50, 0,
              S.Length_);
  const Workload::Kind Render{
      "render", WorkClass::Batch, false, {6000, 12000, 0, 1, 0}, 120, 1.2, 10};
  W.addBacklog(Render, 1500);
  W.addStream(Render, 2, 0, S.Length_);
  W.addStream({"science",
               WorkClass::Gang,
               false,
               {8000, 16000, 0, 1, 2},
               60,
               0.5,
               2,
               8},
              0.05, 0, S.Length_);
  W.addBacklog(
      {"web", WorkClass::Service, false, {2000, 4000, 0, 1, 4}, 600, 0.3, 2},
      40);
  W.addStream(
      {"web", WorkClass::Service, false, {2000, 4000, 0, 1, 4}, 600, 0.3, 2},
      0.07, 60, S.Length_);
  W.addStream(
      {"etl", WorkClass::Batch, false, {3000, 4000, 0, 1, 0}, 10, 0.8, 10}, 3,
      0, S.Length_);
  W.addStream(
      {"risk", WorkClass::Batch, true, {4000, 8000, 0, 1, 0}, 20, 0.5, 2}, 0.3,
      0, S.Length_);
  W.addStream(
      {"risk", WorkClass::Batch, false, {30000, 60000, 0, 2, 0}, 60, 0.5, 2},
      0.05, 0, S.Length_);
  W.markWave("render", S.WaveAt_);
  S.Arrivals_ = W.take();
  return S;
}

/// A fixed amount of work of many shapes, to be done as soon as possible.
inline Scenario packingScenario() {
  Scenario S;
  S.Name_ = "packing";
  S.Teams_ = {{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}, {"e", 1}, {"f", 1}};
  S.UntilEmpty_ = true;
  S.WarmUp_ = 0.0;
  Workload W(12);
  const auto Batch = [&W](const char *Team, Resources Usage, int Count) {
    W.addBacklog({Team, WorkClass::Batch, false, Usage, 60, 0.7, 1}, Count);
  };
  Batch("a", {20000, 10000, 0, 1, 0}, 500);
  Batch("b", {4000, 60000, 0, 1, 0}, 500);
  Batch("c", {2000, 2000, 0, 1, 0}, 1500);
  Batch("d", {8000, 16000, 0, 1, 0}, 1000);
  Batch("e", {30000, 60000, 0, 2, 0}, 200);
  W.addBacklog(
      {"f", WorkClass::Gang, false, {8000, 16000, 0, 1, 2}, 60, 0.5, 1, 16},
      40);
  S.Arrivals_ = W.take();
  return S;
}

/// Six teams that always have work waiting, one of them flooding.
inline Scenario sharesScenario(const std::string &Name, double WrongBy) {
  Scenario S;
  S.Name_ = Name;
  S.Teams_ = {{"a", 1}, {"b", 1}, {"c", 2}, {"d", 2}, {"e", 3}, {"f", 1}};
  Workload W(13);
  const auto Batch = [&](const char *Team, Resources Usage, double Run,
                         int Count) {
    W.addBacklog({Team, WorkClass::Batch, false, Usage, Run, 1.0, WrongBy},
                 Count);
  };
  Batch("f", {6000, 12000, 0, 1, 0}, 60, 6000);
  Batch("a", {12000, 6000, 0, 1, 0}, 40, 1500);
  Batch("b", {3000, 30000, 0, 1, 0}, 40, 1500);
  Batch("c", {4000, 8000, 0, 1, 0}, 30, 4000);
  Batch("d", {8000, 12000, 0, 1, 0}, 60, 2500);
  Batch("e", {3000, 6000, 0, 1, 0}, 20, 9000);
  S.Arrivals_ = W.take();
  return S;
}

/// The same while a failure domain is out for ten minutes, with bad workers.
inline Scenario outageScenario() {
  Scenario S = sharesScenario("outage", 1);
  S.BadWorkers_ = true;
  S.LeaveAt_ = 600.0;
  S.ReturnAt_ = 1200.0;
  return S;
}

} // namespace oleandergauge::bench

#endif // OLEANDERGAUGE_BENCH_WORKLOAD_H
