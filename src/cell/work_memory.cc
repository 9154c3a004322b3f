#include "cell/work_memory.h"

#include <algorithm>

namespace oleandergauge::cell::detail {
namespace {

/// Part of the limit that one team may hold, so that it cannot keep others from
/// submitting.
constexpr std::uint64_t TeamLimitDivisor = 2;
/// Part of the limits, in quarters, up to which occurrences are opened for
/// which no memory is reserved.
constexpr std::uint64_t FurtherQuarters = 3;

} // namespace

std::uint64_t JobMemory::held(std::uint32_t Open) const {
  return Record_ + Occurrence_ * std::max(Open, Reserved_);
}

std::uint64_t WorkMemory::teamLimit() const {
  return Limit_ / TeamLimitDivisor;
}

std::uint64_t WorkMemory::heldBy(const std::string &Team) const {
  const auto It = Teams_.find(Team);
  return It == Teams_.end() ? 0 : It->second;
}

MemoryVerdict WorkMemory::judge(const std::string &Team,
                                std::uint64_t Bytes) const {
  if (Bytes > teamLimit())
    return MemoryVerdict::TooLarge;
  const bool Fits =
      Held_ + Bytes <= Limit_ && heldBy(Team) + Bytes <= teamLimit();
  return Fits ? MemoryVerdict::Fits : MemoryVerdict::Full;
}

bool WorkMemory::mayOpenFurther(const std::string &Team,
                                std::uint64_t Bytes) const {
  return Held_ + Bytes <= Limit_ * FurtherQuarters / 4 &&
         heldBy(Team) + Bytes <= teamLimit() * FurtherQuarters / 4;
}

void WorkMemory::change(const std::string &Team, std::uint64_t Before,
                        std::uint64_t After) {
  Held_ = Held_ - Before + After;
  std::uint64_t &Bytes = Teams_[Team];
  Bytes = Bytes - Before + After;
  if (Bytes == 0)
    Teams_.erase(Team);
}

} // namespace oleandergauge::cell::detail
