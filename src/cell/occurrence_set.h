#ifndef OLEANDERGAUGE_CELL_OCCURRENCE_SET_H
#define OLEANDERGAUGE_CELL_OCCURRENCE_SET_H

#include <cstdint>
#include <map>
#include <optional>

namespace oleandergauge::cell::detail {

/// A set of occurrences of a schedule. It keeps ranges, so that its size
/// depends on the gaps and not on the number of occurrences.
class OccurrenceSet {
public:
  /// Adds the occurrences from \p First up to, but not including, \p End.
  void add(std::uint32_t First, std::uint32_t End);
  void add(std::uint32_t Occurrence) { add(Occurrence, Occurrence + 1); }
  bool contains(std::uint32_t Occurrence) const;
  /// Returns the first occurrence from \p From on that the set lacks.
  std::uint32_t firstMissing(std::uint32_t From) const;
  /// Returns the first occurrence from \p From on that the set contains.
  std::optional<std::uint32_t> firstContained(std::uint32_t From) const;
  /// Returns the number of occurrences in the set.
  std::uint32_t size() const { return Size_; }
  /// Returns the number of ranges that the set keeps.
  std::size_t ranges() const { return Ends_.size(); }

private:
  using Ranges = std::map<std::uint32_t, std::uint32_t>;
  /// Returns the last range that begins at \p At or before, or the end.
  Ranges::const_iterator rangeBefore(std::uint32_t At) const;

  Ranges Ends_; ///< End of each range by its first occurrence.
  std::uint32_t Size_ = 0;
};

} // namespace oleandergauge::cell::detail

#endif // OLEANDERGAUGE_CELL_OCCURRENCE_SET_H
