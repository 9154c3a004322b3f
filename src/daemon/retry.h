#ifndef OLEANDERGAUGE_DAEMON_RETRY_H
#define OLEANDERGAUGE_DAEMON_RETRY_H

#include <algorithm>
#include <cstdint>

#include "oleandergauge/base.h"

namespace oleandergauge::daemon {

/// Limits retries to a tenth of the requests, so that a failure in the cell
/// does not multiply its load.
class RetryBudget {
public:
  void addRequest() {
    Tenths_ = std::min<std::uint32_t>(Tenths_ + 1, MaxTenths);
  }
  /// Consumes the budget of one retry; returns false if too little is left.
  bool tryConsume() {
    if (Tenths_ < TenthsPerRetry)
      return false;
    Tenths_ -= TenthsPerRetry;
    return true;
  }

private:
  static constexpr std::uint32_t TenthsPerRetry = 10;
  /// Up to 100 retries can be accumulated, for use during a takeover.
  static constexpr std::uint32_t MaxTenths = 100 * TenthsPerRetry;
  /// The initial budget lets a host that has just started retry 5 requests.
  std::uint32_t Tenths_ = 5 * TenthsPerRetry;
};

/// Limits the attempts of one idempotent call.
inline constexpr std::uint32_t MaxCallAttempts = 3;
/// Delay before the first retry of a call. A takeover takes 2.2 to 2.7 s, which
/// the two delays of 1 s and 2 s, each multiplied by 0.5 to 1.5, mostly cover.
inline constexpr Duration CallRetryBaseDelay = std::chrono::milliseconds(1000);
/// First and longest delay between attempts for a request of unknown outcome.
inline constexpr Duration OutcomeRetryBaseDelay =
    std::chrono::milliseconds(200);
inline constexpr Duration OutcomeRetryMaxDelay =
    std::chrono::milliseconds(1000);

/// Returns the delay before attempt \p Attempt, which is 2 for the first retry.
/// The delay starts at \p BaseDelay, doubles with each attempt up to
/// \p MaxDelay and is then multiplied by 0.5 to 1.5. \p Random is in [0, 1).
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
