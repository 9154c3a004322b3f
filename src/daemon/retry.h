#ifndef OLEANDERGAUGE_DAEMON_RETRY_H
#define OLEANDERGAUGE_DAEMON_RETRY_H

#include <algorithm>
#include <cstdint>

#include "oleandergauge/base.h"

namespace oleandergauge::daemon {

/// Allows as many repeated requests as a tenth of the first ones, so that a
/// failure of the cell does not multiply its load.
class RetryBudget {
public:
  void addRequest() {
    Tenths_ = std::min<std::uint32_t>(Tenths_ + 1, MaxTenths);
  }
  /// Takes one repeat out of the budget, if there is one.
  bool tryConsume() {
    if (Tenths_ < TenthsPerRetry)
      return false;
    Tenths_ -= TenthsPerRetry;
    return true;
  }

private:
  static constexpr std::uint32_t TenthsPerRetry = 10;
  /// Repeats that can be saved up for a takeover.
  static constexpr std::uint32_t MaxTenths = 100 * TenthsPerRetry;
  /// A host that has just started may repeat a few.
  std::uint32_t Tenths_ = 5 * TenthsPerRetry;
};

/// Sends of one idempotent call at most.
inline constexpr std::uint32_t MaxCallAttempts = 3;
/// A takeover takes 2.2 to 2.7 s; two delays of 1 s and 2 s, half to one and a
/// half of each, mostly cover it.
inline constexpr Duration CallRetryBaseDelay = std::chrono::milliseconds(1000);
/// A request of unknown fate is asked for again at this pace at first.
inline constexpr Duration QueryRetryBaseDelay = std::chrono::milliseconds(200);
inline constexpr Duration QueryRetryMaxDelay = std::chrono::milliseconds(1000);

/// The delay before try \p Next (2 for the first repeat): doubles with each
/// try up to \p Most, then is multiplied by 0.5 to 1.5. \p Random lies in
/// [0, 1).
inline Duration jitteredBackoff(Duration BaseDelay, Duration MaxDelay,
                                std::uint32_t Attempt, double Random) {
  std::uint32_t Doublings = std::min<std::uint32_t>(Attempt - 2, 16);
  Duration Unjittered =
      std::min(Duration(BaseDelay * (1LL << Doublings)), MaxDelay);
  double Micros = static_cast<double>(Unjittered.count()) * (0.5 + Random);
  return Duration(static_cast<std::int64_t>(Micros));
}

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_RETRY_H
