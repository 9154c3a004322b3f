#include "cell/occurrence_set.h"

#include <algorithm>

namespace oleandergauge::cell::detail {

OccurrenceSet::Ranges::const_iterator
OccurrenceSet::rangeBefore(std::uint32_t At) const {
  const auto Next = Ends_.upper_bound(At);
  return Next == Ends_.begin() ? Ends_.end() : std::prev(Next);
}

void OccurrenceSet::add(std::uint32_t First, std::uint32_t End) {
  if (First >= End)
    return;
  const auto Before = rangeBefore(First);
  if (Before != Ends_.end() && Before->second >= First) {
    First = Before->first;
    End = std::max(End, Before->second);
  }
  // Merges all ranges that the new one overlaps or touches.
  auto It = Ends_.lower_bound(First);
  while (It != Ends_.end() && It->first <= End) {
    End = std::max(End, It->second);
    Size_ -= It->second - It->first;
    It = Ends_.erase(It);
  }
  Ends_[First] = End;
  Size_ += End - First;
}

bool OccurrenceSet::contains(std::uint32_t Occurrence) const {
  return firstMissing(Occurrence) != Occurrence;
}

std::uint32_t OccurrenceSet::firstMissing(std::uint32_t From) const {
  const auto Range = rangeBefore(From);
  return Range == Ends_.end() ? From : std::max(From, Range->second);
}

std::optional<std::uint32_t>
OccurrenceSet::firstContained(std::uint32_t From) const {
  if (contains(From))
    return From;
  const auto Next = Ends_.lower_bound(From);
  return Next == Ends_.end() ? std::nullopt : std::optional(Next->first);
}

} // namespace oleandergauge::cell::detail
