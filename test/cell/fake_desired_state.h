#ifndef OLEANDERGAUGE_TEST_CELL_FAKE_DESIRED_STATE_H
#define OLEANDERGAUGE_TEST_CELL_FAKE_DESIRED_STATE_H

#include <memory>
#include <string>

#include "cell/cell.h"

namespace oleandergauge::cell::test {

/// Time in milliseconds for which a ticket of the advised queue is valid.
constexpr Millis TicketValidity = 1500;

/// The desired state of a simulated cell: a fast, a slow, an advised queue and
/// one with quick advice, and one team. Changes apply to the next owner.
class FakeDesiredState {
public:
  FakeDesiredState() {
    auto State = std::make_shared<DesiredState>();
    State->Version_ = 1;
    Queue Fast{"fast", "h", "/f/", "svc", 0, 2, 2, 500, std::nullopt, false};
    Queue Slow{"slow", "h", "/s/", "svc", 1, 2, 2, 500, std::nullopt, false};
    Queue Advised{"advised", "h", "/a/",
                  "svc",     1,   2,
                  2,         500, AdviceCost{2, 0.3, TicketValidity},
                  false};
    Queue Quick = Advised;
    Quick.Name_ = "quick";
    Quick.Prefix_ = "/u/";
    State->Queues_ = {Fast, Slow, Advised, Quick};
    State->Teams_ = {{"team", {"key"}, 100, {9000, 0, 0, 0, 0}}};
    State_ = State;
  }

  const std::shared_ptr<const DesiredState> &get() const { return State_; }
  /// Returns the number of failed runs that fail a job.
  std::uint32_t attempts() const { return State_->Queues_[0].Attempts_; }

  void setAttempts(std::uint32_t Attempts) {
    auto State = std::make_shared<DesiredState>(*State_);
    for (auto &Each : State->Queues_)
      Each.Attempts_ = Attempts;
    State_ = State;
  }
  void removeQueue(const std::string &Queue) {
    auto State = std::make_shared<DesiredState>(*State_);
    ++State->Version_;
    std::erase_if(State->Queues_,
                  [&](const auto &Each) { return Each.Name_ == Queue; });
    State_ = State;
  }
  void setPriority(const std::string &Queue, int Priority) {
    auto State = std::make_shared<DesiredState>(*State_);
    ++State->Version_;
    for (auto &Each : State->Queues_)
      if (Each.Name_ == Queue)
        Each.Priority_ = Priority;
    State_ = State;
  }
  /// Sets the cost of advice for the advised queue.
  void setAdviceCost(const AdviceCost &Cost) {
    auto State = std::make_shared<DesiredState>(*State_);
    for (auto &Each : State->Queues_)
      if (Each.Name_ == "advised")
        Each.Advice_ = Cost;
    State_ = State;
  }

private:
  std::shared_ptr<const DesiredState> State_;
};

} // namespace oleandergauge::cell::test

#endif // OLEANDERGAUGE_TEST_CELL_FAKE_DESIRED_STATE_H
