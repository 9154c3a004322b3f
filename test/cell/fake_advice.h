#ifndef OLEANDERGAUGE_TEST_CELL_FAKE_ADVICE_H
#define OLEANDERGAUGE_TEST_CELL_FAKE_ADVICE_H

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "fake_desired_state.h"
#include "simulation_core.h"

namespace oleandergauge::cell::test {

/// Fake entry hosts that give advice: which workers may run a step, with a
/// ticket for each.
class FakeAdvice {
public:
  FakeAdvice(SimulationCore &Core, std::size_t WorkerCount)
      : Core_(Core), WorkerCount_(WorkerCount) {}

  /// Lets advice take the time given by \p Cost and allow only each \p
  /// AllowedEvery'th worker.
  void limit(const AdviceCost &Cost, std::size_t AllowedEvery) {
    Cost_ = Cost;
    AllowedEvery_ = AllowedEvery;
  }
  /// Sets the number of entry hosts that the next owner asks.
  void setHosts(std::size_t Count) { Hosts_ = Count; }
  void tellOwner() {
    for (std::size_t At = 0; At < Hosts_; ++At)
      Core_.cell().addAdviceHost("agent" + std::to_string(At), 1);
  }
  /// Returns the times at which calls were sent and answered.
  const std::vector<std::pair<Millis, Millis>> &calls() const { return Calls_; }

  void ask(const AskAdvice &Each) {
    if (Core_.drawChance(Core_.Faults_.LostAdvice_))
      return;
    AdviceOutcome Out{Each.Token_, true, {}, TicketValidity};
    for (const std::string &Id : Each.Workers_)
      if (isAllowed(Id, Each.Step_)) {
        Out.Tickets_.emplace_back(Id, Id + "/" + Each.Step_);
        TicketExpiry_[Id + "/" + Each.Step_] =
            Core_.now() + TicketValidity + 20;
      }
    const auto Took = static_cast<Millis>(
        10 + Cost_.Base_ +
        Cost_.PerWorker_ * static_cast<double>(Each.Workers_.size()));
    Calls_.emplace_back(Core_.now(), Core_.now() + Took);
    Core_.scheduleForOwner(
        Took, [this, Out] { Core_.cell().handle(Core_.now(), Out); });
  }

  /// Whether a ticket lets a worker run a step now.
  bool isValid(const std::string &Ticket, const std::string &Worker,
               const std::string &Step) const {
    const auto Expiry = TicketExpiry_.find(Ticket);
    return Ticket == Worker + "/" + Step && Expiry != TicketExpiry_.end() &&
           Expiry->second >= Core_.now();
  }

private:
  /// All workers but one may run a step, unless advice is limited.
  bool isAllowed(const std::string &Worker, const std::string &Step) const {
    if (AllowedEvery_ > 0)
      return std::stoul(Worker.substr(1)) % AllowedEvery_ == 0;
    const std::size_t Refused = std::hash<std::string>()(Step);
    return Worker != "w" + std::to_string(Refused % WorkerCount_);
  }

  SimulationCore &Core_;
  std::size_t WorkerCount_;
  AdviceCost Cost_; ///< Zero if advice is answered without delay.
  std::size_t AllowedEvery_ = 0;
  std::size_t Hosts_ = 1;
  std::map<std::string, Millis> TicketExpiry_;
  std::vector<std::pair<Millis, Millis>> Calls_;
};

} // namespace oleandergauge::cell::test

#endif // OLEANDERGAUGE_TEST_CELL_FAKE_ADVICE_H
