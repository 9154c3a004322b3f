/// Measures what one partition owner costs: processor time, memory, table
/// writes and reads, messages to workers, and the time of a recovery. The
/// slopes in docs/CAPACITY.md come from this program.

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <ctime>
#include <malloc.h>
#include <string>

#include "cell_driver.h"

namespace {

using namespace oleandergauge;
using bench::CellDriver;

constexpr double MeasuredSeconds = 20;

bool Broken = false;

/// Prints one JSON line. A bound of 0 is no bound.
void figure(const std::string &Name, double Value, const char *Unit,
            double Bound = 0, const char *Source = "") {
  std::printf("{\"name\":\"%s\",\"value\":%.6g,\"unit\":\"%s\"", Name.c_str(),
              Value, Unit);
  if (Bound > 0)
    std::printf(",\"bound\":%g,\"bound_source\":\"%s\"", Bound, Source);
  std::printf("}\n");
  Broken = Broken || (Bound > 0 && Value > Bound);
}

double processorSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double millis(std::int64_t Micros) { return static_cast<double>(Micros) / 1e3; }

double rate(std::uint64_t Count) {
  return static_cast<double>(Count) / MeasuredSeconds;
}

/// Heap in use; the resident size would not show memory that is used again.
double heapMib() {
  return static_cast<double>(mallinfo2().uordblks) / (1 << 20);
}

JobSpec makeJob(std::uint64_t Number, WorkClass Class, Duration Run) {
  JobSpec Spec;
  Spec.Id_ = JobId("t:" + std::to_string(Number));
  Spec.Request_ = RequestId(std::to_string(Number));
  Spec.Team_ = TeamId("t" + std::to_string(Number % 9));
  Spec.Queue_ = QueueId("q");
  Spec.Class_ = Class;
  Spec.Idempotent_ = Class != WorkClass::Direct;
  Spec.Need_ = {1000, 1024, 0, 1, 1};
  Spec.DeclaredRun_ = Run;
  Spec.Command_ = "render --pattern 12345 --size 42";
  return Spec;
}

struct Load {
  std::size_t Workers_ = 0;
  std::size_t Running_ = 0;
  double StartsPerSecond_ = 0;
};

constexpr Duration LongRun = std::chrono::hours(24);
constexpr Duration ShortRun = std::chrono::seconds(2);

/// Runs a partition at a steady load and prints its cost for each second.
void measure(const Load &Steady) {
  const std::string Name = "workers_" + std::to_string(Steady.Workers_) +
                           "_running_" + std::to_string(Steady.Running_) +
                           "_starts_" +
                           std::to_string(int(Steady.StartsPerSecond_));
  const double Before = heapMib();
  CellDriver Cell(Steady.Workers_, 9);
  std::uint64_t Number = 0;
  Cell.advance(std::chrono::seconds(8));
  for (std::size_t I = 0; I < Steady.Running_; ++I) {
    Cell.submit(makeJob(++Number, WorkClass::Batch, LongRun));
    if (I % 100 == 99)
      Cell.advance(std::chrono::milliseconds(100));
  }
  Cell.advance(std::chrono::seconds(5));
  Cell.resetCounts();
  const double Heap = heapMib() - Before;
  const double Begin = processorSeconds();
  double Due = 0;
  for (int Tick = 0; Tick < int(MeasuredSeconds * 100); ++Tick) {
    for (Due += Steady.StartsPerSecond_ / 100; Due >= 1; Due -= 1)
      Cell.submit(makeJob(++Number, WorkClass::Batch, ShortRun));
    Cell.advance(CellDriver::Step);
  }
  const double Spent = processorSeconds() - Begin;
  const auto &Counts = Cell.counts();
  figure(Name + "/cpu", 100 * Spent / MeasuredSeconds, "% of a core");
  figure(Name + "/heap", Heap, "MiB");
  figure(Name + "/table_writes", rate(Counts.TableWrites_), "1/s");
  figure(Name + "/table_reads", rate(Counts.TableReads_), "1/s");
  figure(Name + "/table_bytes", rate(Counts.TableBytes_), "B/s");
  figure(Name + "/exchanges", rate(Counts.Exchanges_), "1/s");
  figure(Name + "/starts", rate(Counts.Starts_), "1/s");
  figure(Name + "/refusals", double(Counts.Refusals_), "1");
  if (Counts.WaitsMicros_.empty())
    return;
  auto Waits = Counts.WaitsMicros_;
  std::sort(Waits.begin(), Waits.end());
  figure(Name + "/wait_median", millis(Waits[Waits.size() / 2]), "ms");
  // Virtual time: the same on every run.
  figure(Name + "/wait_99th", millis(Waits[Waits.size() * 99 / 100]), "ms",
         3700, "urgent work starts within 3.7 s");
}

/// The time from an owner's death until the next one has recovered, in
/// virtual time, and what it reads.
void measureRecovery(std::size_t Running) {
  CellDriver Cell(175, 9);
  std::uint64_t Number = 0;
  Cell.advance(std::chrono::seconds(8));
  for (std::size_t I = 0; I < Running; ++I) {
    Cell.submit(makeJob(++Number, WorkClass::Batch, LongRun));
    if (I % 10 == 9)
      Cell.advance(std::chrono::milliseconds(50));
  }
  Cell.advance(std::chrono::seconds(5));
  Cell.replaceOwner();
  Cell.resetCounts();
  const TimePoint Died = Cell.now();
  const double Begin = processorSeconds();
  while (!Cell.partition().owned(Cell.now()) &&
         Cell.now() - Died < std::chrono::seconds(30))
    Cell.advance(CellDriver::Step);
  const std::string Name = "recovery_running_" + std::to_string(Running);
  figure(Name + "/time", millis((Cell.now() - Died).count()), "ms", 3700,
         "urgent work starts within 3.7 s");
  figure(Name + "/reads", double(Cell.counts().TableReads_), "rows");
  figure(Name + "/cpu", 1e3 * (processorSeconds() - Begin), "ms");
  figure(Name + "/tasks", double(Cell.partition().stats(Cell.now()).Running_),
         "1");
}

} // namespace

int main(int Argc, char **Argv) {
  const bool Check = Argc > 1 && std::strcmp(Argv[1], "--check") == 0;
  measure({50, 400, 0});
  measure({50, 400, 50});
  measure({175, 400, 0});
  measure({175, 1625, 0});
  measure({175, 1625, 50});
  measure({175, 1625, 175});
  measure({350, 3250, 350});
  measureRecovery(200);
  measureRecovery(1625);
  return Check && Broken ? 1 : 0;
}
