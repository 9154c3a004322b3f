#include "cell/worker_choice.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace oleandergauge::cell::detail {
namespace {

/// Factor by which the expected duration has to be shorter than the time left,
/// since the tasks of a step differ in work.
constexpr double TimeMargin = 1.25;
/// Factor between the required and the highest speed from which no candidate is
/// worth preferring, because the task will be late on all of them.
constexpr double MaxSpeedShortfall = 1.5;

/// Returns the speed that the chosen worker should have: the lowest that is
/// sufficient, or else the highest. Returns nothing if that is much too low.
std::optional<double>
referenceSpeed(const std::vector<WorkerCandidate> &Candidates, bool Unpreferred,
               double Required) {
  double Sufficient = std::numeric_limits<double>::infinity();
  double Highest = 0;
  for (const WorkerCandidate &Each : Candidates) {
    if (Each.Unpreferred_ != Unpreferred)
      continue;
    Highest = std::max(Highest, Each.Speed_);
    if (Each.Speed_ >= Required)
      Sufficient = std::min(Sufficient, Each.Speed_);
  }
  if (Highest >= Required)
    return Sufficient;
  if (Highest * MaxSpeedShortfall < Required)
    return std::nullopt;
  return Highest;
}

bool areSimilar(double Left, double Right) {
  return Left < Right * MinSpeedRatio && Right < Left * MinSpeedRatio;
}

} // namespace

double requiredSpeed(const TimeNeed &Need) {
  const double Left =
      static_cast<double>(Need.Left_) -
      Need.DurationRatio_ * static_cast<double>(Need.LaterSteps_);
  if (Left <= 0)
    return std::numeric_limits<double>::infinity();
  return TimeMargin * Need.DurationRatio_ *
         static_cast<double>(Need.Estimate_) / Left;
}

std::size_t chooseWorker(const std::vector<WorkerCandidate> &Candidates,
                         std::optional<double> Required) {
  std::optional<double> Wanted;
  if (Required) {
    const bool Unpreferred = std::all_of(
        Candidates.begin(), Candidates.end(),
        [](const WorkerCandidate &Each) { return Each.Unpreferred_; });
    Wanted = referenceSpeed(Candidates, Unpreferred, *Required);
  }
  std::size_t Best = 0;
  std::pair<int, std::int64_t> BestRank;
  for (std::size_t At = 0; At < Candidates.size(); ++At) {
    const WorkerCandidate &Each = Candidates[At];
    const bool OtherSpeed = Wanted && !areSimilar(Each.Speed_, *Wanted);
    const std::pair Rank{2 * int{Each.Unpreferred_} + int{OtherSpeed},
                         Each.FreeCpu_};
    if (At == 0 || Rank < BestRank) {
      Best = At;
      BestRank = Rank;
    }
  }
  return Best;
}

} // namespace oleandergauge::cell::detail
