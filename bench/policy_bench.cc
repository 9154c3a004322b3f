/// Sets the Scheduler beside simple policies on the same work, in virtual
/// time with fixed seeds. Prints JSON lines, or with --table a table. With
/// --check it exits with 1 if a bound is broken; with --library-only it runs
/// the Scheduler alone.

#include <cstdio>
#include <cstring>

#include "simulation.h"

namespace oleandergauge::bench {
namespace {

struct Entrant {
  std::string Name_;
  Policy (*Make_)();
};

const Entrant Entrants[] = {
    {"library", [] { return Policy(LibraryPolicy()); }},
    {"first_fit", [] { return Policy(SimplePolicy(FirstFit{}, false)); }},
    {"two_random", [] { return Policy(SimplePolicy(TwoRandom{}, false)); }},
    {"strict_priority", [] { return Policy(SimplePolicy(FirstFit{}, true)); }},
};

/// A row of the table: a figure of each policy.
struct Row {
  std::string Name_;
  std::string Unit_;
  std::vector<double> Values_;
};

class Report {
public:
  void add(const std::string &Name, const std::string &Unit, double Value) {
    for (Row &R : Rows_)
      if (R.Name_ == Name) {
        R.Values_.push_back(Value);
        return;
      }
    Rows_.push_back({Name, Unit, {Value}});
  }

  void printTable() const {
    std::printf("%-34s %-8s", "figure", "unit");
    for (const Entrant &E : Entrants)
      std::printf(" %15s", E.Name_.c_str());
    std::printf("\n");
    for (const Row &R : Rows_) {
      std::printf("%-34s %-8s", R.Name_.c_str(), R.Unit_.c_str());
      for (const double Value : R.Values_)
        std::printf(" %15.4f", Value);
      std::printf("\n");
    }
  }

  void printLines(Figures &Out) const {
    for (const Row &R : Rows_)
      for (std::size_t I = 0; I < R.Values_.size(); ++I)
        Out.add(R.Name_ + "." + Entrants[I].Name_, R.Values_[I], R.Unit_,
                I == 0 ? boundOf(R.Name_) : std::nullopt);
  }

private:
  static std::optional<Bound> boundOf(const std::string &Name) {
    if (Name == "mixed.wait_p99.direct")
      return Bound{Bound::Kind::AtMost, 0.1,
                   "requirement: short calls never wait behind long work"};
    if (Name == "mixed.wait_p99.urgent")
      return Bound{Bound::Kind::AtMost, 3.7,
                   "design page: urgent work starts within 3.7 s"};
    return std::nullopt;
  }

  std::vector<Row> Rows_;
};

void addWaits(const std::string &Scenario, const Outcome &O, Report &To) {
  for (const auto &[Class, Waits] : O.Waits_) {
    std::string Name = Scenario;
    Name += ".wait_median.";
    Name += Class;
    To.add(Name, "s", quantile(Waits, 0.5));
    Name = Scenario;
    Name += ".wait_p99.";
    Name += Class;
    To.add(Name, "s", quantile(Waits, 0.99));
  }
}

void runMixed(const Entrant &E, Report &To) {
  const Scenario S = mixedScenario();
  const Outcome O = Simulation(S, E.Make_()).run();
  addWaits("mixed", O, To);
  To.add("mixed.work", "part", O.Work_);
  To.add("mixed.use_while_waiting", "part", O.UseWhileWaiting_);
  To.add("mixed.overload", "part", O.Overload_);
  To.add("mixed.failed_starts", "starts", O.FailedStarts_);
  To.add("mixed.preemptions", "tasks", O.Preemptions_);
}

void runPacking(const Entrant &E, Report &To) {
  const Scenario S = packingScenario();
  const Outcome O = Simulation(S, E.Make_()).run();
  To.add("packing.end_over_bound", "ratio", O.End_ / O.LowerBound_);
  To.add("packing.use_while_waiting", "part", O.UseWhileWaiting_);
  To.add("packing.work", "part", O.Work_);
  To.add("packing.wait_p99.gang", "s", quantile(O.Waits_.at("gang"), 0.99));
}

void runShares(const Entrant &E, const Scenario &S, Report &To) {
  const Outcome O = Simulation(S, E.Make_()).run();
  To.add(S.Name_ + ".distance_largest", "part", O.LargestDistance_);
  To.add(S.Name_ + ".distance_mean", "part", O.MeanDistance_);
  To.add(S.Name_ + ".work", "part", O.Work_);
  To.add(S.Name_ + ".overload", "part", O.Overload_);
  if (S.LeaveAt_ < 0)
    return;
  To.add(S.Name_ + ".work_while_out", "part", O.OutageWork_);
  To.add(S.Name_ + ".failed_starts", "starts", O.FailedStarts_);
}

int run(bool Table, bool Check, std::size_t Count) {
  Report All;
  for (std::size_t I = 0; I < Count; ++I) {
    const Entrant &E = Entrants[I];
    runMixed(E, All);
    runPacking(E, All);
    runShares(E, sharesScenario("shares", 1), All);
    runShares(E, sharesScenario("shares_wrong_sizes", 10), All);
    runShares(E, outageScenario(), All);
  }
  if (Table)
    All.printTable();
  Figures Out(Table);
  All.printLines(Out);
  return Check ? Out.verdict() : 0;
}

} // namespace
} // namespace oleandergauge::bench

int main(int Count, char **Arguments) {
  bool Table = false;
  bool Check = false;
  std::size_t Entrants = std::size(oleandergauge::bench::Entrants);
  for (int I = 1; I < Count; ++I) {
    Table = Table || std::strcmp(Arguments[I], "--table") == 0;
    Check = Check || std::strcmp(Arguments[I], "--check") == 0;
    if (std::strcmp(Arguments[I], "--library-only") == 0)
      Entrants = 1;
  }
  return oleandergauge::bench::run(Table, Check, Entrants);
}
