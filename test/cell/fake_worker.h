#ifndef OLEANDERGAUGE_TEST_CELL_FAKE_WORKER_H
#define OLEANDERGAUGE_TEST_CELL_FAKE_WORKER_H

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cell/types.h"

namespace oleandergauge::cell::test {

/// A fake backend server that follows the rules for orders: the highest fence
/// wins, run numbers increase, and the end of a lease ends all runs.
class FakeWorker {
public:
  /// A run on this worker.
  struct ActiveRun {
    std::uint64_t Attempt_ = 0;
    Resources Need_;
    Millis RemainingWork_ = 0;
    bool Fails_ = false;
    std::optional<Millis>
        RemainingStopTime_; ///< Set once the run is being stopped.
    bool Gang_ = false;
    bool Assembled_ = false; ///< All members of the gang's attempt are present.
    Millis WaitedForMembers_ = 0; ///< Time spent waiting for the other members.
    std::string Checkpoint_; ///< As the start order named it, or a test set it.
  };

  /// Milliseconds since 1970 at the time zero of a simulation.
  static constexpr Millis WallAtZero = 1000000;

  std::string Id_;
  std::string Address_;
  std::string Domain_ = "d1";
  std::string Rack_ = "r1";
  std::vector<std::string> Labels_;
  Resources Capacity_{4000, 8000, 0, 0, 0};
  double Speed_ = 1; ///< Work done per unit of time.
  Millis Incarnation_ = 1000;
  Millis StartedAt_ = 0;
  Millis ClockAtStart_ = 50000; ///< What its clock shows when it starts.
  bool Disconnected_ = false;   ///< Answers no calls.
  bool Draining_ = false;
  bool RejectsStarts_ =
      false; ///< Rejects all starts, as an unhealthy worker does.
  std::uint64_t Fence_ = 0;
  Millis Deadline_ = 0; ///< On the worker's own clock.
  std::map<std::string, ActiveRun> Runs_;
  std::deque<EndEntry> Ends_;
  std::uint64_t LastEndNumber_ = 0;
  Millis LapsedAt_ = -1; ///< Latest time at which its lease had ended.
  /// Highest run number that has ended, by task.
  std::map<std::string, std::uint64_t> HighestEndedAttempt_;

  Millis clock(Millis Now) const { return Now - StartedAt_ + ClockAtStart_; }

  /// Starts anew under its id. It has forgotten everything, and its clock shows
  /// another time, which may be earlier or later.
  void restart(Millis Now) {
    Fence_ = 0;
    Deadline_ = 0;
    Runs_.clear();
    Ends_.clear();
    LastEndNumber_ = 0;
    HighestEndedAttempt_.clear();
    StartedAt_ = Now;
    ClockAtStart_ = 1 + Now * 7919 % 100000;
    Incarnation_ = WallAtZero + Now;
  }

  Resources used() const {
    Resources Out;
    for (const auto &[Name, Each] : Runs_)
      Out = Out + Each.Need_;
    return Out;
  }

  void end(const std::string &Task, EndKind Kind) {
    const ActiveRun Over = Runs_[Task];
    Runs_.erase(Task);
    HighestEndedAttempt_[Task] =
        std::max(HighestEndedAttempt_[Task], Over.Attempt_);
    Ends_.push_back(
        {++LastEndNumber_, Task, Over.Attempt_, Kind, Over.Checkpoint_});
  }

  /// Advances the runs by \p Elapsed and returns those that end.
  std::vector<std::pair<std::string, EndKind>> advance(Millis Now,
                                                       Millis Elapsed) {
    std::vector<std::pair<std::string, EndKind>> Over;
    const bool Lapsed = Deadline_ != 0 && clock(Now) > Deadline_;
    if (Lapsed)
      LapsedAt_ = Now;
    for (auto &[Name, Each] : Runs_) {
      const bool Waits = Each.Gang_ && !Each.Assembled_;
      if (Waits)
        Each.WaitedForMembers_ += Elapsed;
      else
        Each.RemainingWork_ -=
            std::llround(static_cast<double>(Elapsed) * Speed_);
      if (Each.RemainingStopTime_)
        *Each.RemainingStopTime_ -= Elapsed;
      if (Each.RemainingStopTime_ && *Each.RemainingStopTime_ <= 0)
        Over.emplace_back(Name, EndKind::Stopped);
      else if (Lapsed)
        Over.emplace_back(Name, EndKind::Lapsed);
      else if (Each.WaitedForMembers_ >= Bounds{}.GangTimeout_)
        Over.emplace_back(Name, EndKind::Alone);
      else if (Each.RemainingWork_ <= 0)
        Over.emplace_back(Name, Each.Fails_ ? EndKind::Failed : EndKind::Done);
    }
    return Over;
  }
};

} // namespace oleandergauge::cell::test

#endif // OLEANDERGAUGE_TEST_CELL_FAKE_WORKER_H
