#ifndef OLEANDERGAUGE_NODE_BUSY_TIME_H
#define OLEANDERGAUGE_NODE_BUSY_TIME_H

#include <array>
#include <chrono>
#include <cstdint>

namespace oleandergauge::node {

/// The parts of the owner's work that are measured separately.
enum class OwnerPart {
  Idle, ///< Outside the owner's callbacks.
  Requests,
  OrderOutcomes,
  Renewals,
  AdviceReplies,
  Commits,
  WorkerList,
  Ticks,
  Effects ///< Performing the effects that the cell returned.
};
constexpr std::size_t OwnerPartCount =
    static_cast<std::size_t>(OwnerPart::Effects) + 1;

constexpr const char *nameOf(OwnerPart Part) {
  constexpr std::array<const char *, OwnerPartCount> Names = {
      "idle",    "requests",    "order_outcomes", "renewals", "advice",
      "commits", "worker_list", "ticks",          "effects"};
  return Names[static_cast<std::size_t>(Part)];
}

/// Adds up the time that the process spends in each part of the owner's work.
class BusyTime {
public:
  using Clock = std::chrono::steady_clock;

  /// Counts the time from its construction to its destruction for a part, and
  /// none of it for the part that was running before.
  class Scope {
  public:
    Scope(BusyTime &Times, OwnerPart Part)
        : Times_(Times), Former_(Times.switchTo(Part)) {}
    ~Scope() { Times_.switchTo(Former_); }
    Scope(const Scope &) = delete;
    Scope &operator=(const Scope &) = delete;

  private:
    BusyTime &Times_;
    OwnerPart Former_;
  };

  /// Returns the time spent in a part so far, in microseconds.
  std::uint64_t micros(OwnerPart Part) const {
    return Micros_[static_cast<std::size_t>(Part)];
  }

private:
  /// Returns the part that was running.
  OwnerPart switchTo(OwnerPart Next) {
    const Clock::time_point Now = Clock::now();
    Micros_[static_cast<std::size_t>(Running_)] += static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(Now - Since_)
            .count());
    Since_ = Now;
    const OwnerPart Former = Running_;
    Running_ = Next;
    return Former;
  }

  std::array<std::uint64_t, OwnerPartCount> Micros_{};
  OwnerPart Running_ = OwnerPart::Idle;
  Clock::time_point Since_ = Clock::now();
};

} // namespace oleandergauge::node

#endif // OLEANDERGAUGE_NODE_BUSY_TIME_H
