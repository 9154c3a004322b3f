#ifndef OLEANDERGAUGE_TEST_CELL_FAKE_WORKER_H
#define OLEANDERGAUGE_TEST_CELL_FAKE_WORKER_H

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cell/types.h"

namespace oleandergauge::cell::test {

/// A backend server that follows the rules for orders: the highest fence
/// wins, run numbers rise, a lease ends everything.
class FakeWorker {
public:
  struct Activity {
    std::uint64_t Attempt_ = 0;
    Resources Need_;
    Millis Left_ = 0;
    bool Fails_ = false;
    std::optional<Millis> StopLeft_; ///< Once it is being stopped.
    bool Gang_ = false;
    bool Together_ = false; ///< All members of the gang's run are present.
    Millis Waited_ = 0;     ///< For the other members.
  };

  std::string Id_;
  std::string Address_;
  std::string Domain_ = "d1";
  Resources Capacity_{4000, 8000, 0, 0, 0};
  Millis Incarnation_ = 1000;
  Millis BootedAt_ = 0;
  bool Cut_ = false;
  bool Draining_ = false;
  bool Rejects_ = false; ///< Refuses starts, as an unhealthy worker does.
  std::uint64_t Fence_ = 0;
  Millis Deadline_ = 0; ///< On its own clock.
  std::map<std::string, Activity> Runs_;
  std::deque<EndEntry> Ends_;
  std::uint64_t LastEnd_ = 0;
  std::map<std::string, std::uint64_t> Spent_; ///< Highest run over, by task.

  Millis clock(Millis Now) const { return Now - BootedAt_ + 1; }

  void restart(Millis Now) {
    Fence_ = 0;
    Deadline_ = 0;
    Runs_.clear();
    Ends_.clear();
    LastEnd_ = 0;
    Spent_.clear();
    BootedAt_ = Now;
    Incarnation_ += Now + 1;
  }

  Resources used() const {
    Resources Out;
    for (const auto &[Name, Each] : Runs_)
      Out = Out + Each.Need_;
    return Out;
  }

  void end(const std::string &Task, EndKind Kind) {
    const Activity Over = Runs_[Task];
    Runs_.erase(Task);
    Spent_[Task] = std::max(Spent_[Task], Over.Attempt_);
    Ends_.push_back({++LastEnd_, Task, Over.Attempt_, Kind, ""});
  }

  /// Lets the runs work for \p Step; returns those that are over.
  std::vector<std::pair<std::string, EndKind>> advance(Millis Now,
                                                       Millis Step) {
    std::vector<std::pair<std::string, EndKind>> Over;
    const bool Lapsed = Deadline_ != 0 && clock(Now) > Deadline_;
    for (auto &[Name, Each] : Runs_) {
      const bool Waits = Each.Gang_ && !Each.Together_;
      (Waits ? Each.Waited_ : Each.Left_) += Waits ? Step : -Step;
      if (Each.StopLeft_)
        *Each.StopLeft_ -= Step;
      if (Each.StopLeft_ && *Each.StopLeft_ <= 0)
        Over.emplace_back(Name, EndKind::Stopped);
      else if (Lapsed)
        Over.emplace_back(Name, EndKind::Lapsed);
      else if (Each.Waited_ >= Bounds{}.GangTimeout_)
        Over.emplace_back(Name, EndKind::Alone);
      else if (Each.Left_ <= 0)
        Over.emplace_back(Name, Each.Fails_ ? EndKind::Failed : EndKind::Done);
    }
    return Over;
  }
};

} // namespace oleandergauge::cell::test

#endif // OLEANDERGAUGE_TEST_CELL_FAKE_WORKER_H
