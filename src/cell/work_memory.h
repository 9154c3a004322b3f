#ifndef OLEANDERGAUGE_CELL_WORK_MEMORY_H
#define OLEANDERGAUGE_CELL_WORK_MEMORY_H

#include <cstdint>
#include <map>
#include <string>

#include "cell/types.h"

namespace oleandergauge::cell::detail {

/// Most occurrences of one job that are open at a time, whatever room there is.
/// Further ones would only wait behind these.
constexpr std::uint32_t MaxOpenOccurrences = 256;
/// Occurrences of a schedule for which memory is reserved at its acceptance.
/// Occurrences may overlap, so that one that does not end must not hold up the
/// next.
constexpr std::uint32_t ReservedOccurrences = 2;

/// The memory in bytes that a job takes in the owner.
struct JobMemory {
  std::uint64_t Record_ = 0;     ///< The job and its specification.
  std::uint64_t Occurrence_ = 0; ///< The steps and tasks of one occurrence.
  /// Occurrences for which memory is reserved as long as the job lasts.
  std::uint32_t Reserved_ = 0;

  /// Returns the bytes that the job holds while \p Open occurrences are open.
  std::uint64_t held(std::uint32_t Open) const;
  friend bool operator==(const JobMemory &, const JobMemory &) = default;
};

/// Whether memory for a new job is left.
enum class MemoryVerdict {
  Fits,
  Full,    ///< Not at present; there will be when other jobs have ended.
  TooLarge ///< The job exceeds what a team may hold.
};

/// Accounts for the memory of all accepted jobs, and bounds it for the cell and
/// for each team: a job that is accepted is kept until it ends, whether or not
/// anything of it can run.
class WorkMemory {
public:
  /// \p Bytes limits what all jobs may hold.
  explicit WorkMemory(std::uint64_t Bytes) : Limit_(Bytes) {}

  std::uint64_t limit() const { return Limit_; }
  std::uint64_t held() const { return Held_; }
  /// Returns whether a new job of the team that holds \p Bytes may be accepted.
  MemoryVerdict judge(const std::string &Team, std::uint64_t Bytes) const;
  /// Returns whether a team may open an occurrence for which no memory is
  /// reserved. A share of the memory stays free for new jobs.
  bool mayOpenFurther(const std::string &Team, std::uint64_t Bytes) const;
  /// Replaces what a job of the team holds.
  void change(const std::string &Team, std::uint64_t Before,
              std::uint64_t After);

private:
  std::uint64_t heldBy(const std::string &Team) const;
  std::uint64_t teamLimit() const;

  std::uint64_t Limit_;
  std::uint64_t Held_ = 0;
  std::map<std::string, std::uint64_t> Teams_; ///< Bytes by team.
};

} // namespace oleandergauge::cell::detail

#endif // OLEANDERGAUGE_CELL_WORK_MEMORY_H
