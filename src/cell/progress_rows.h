#ifndef OLEANDERGAUGE_CELL_PROGRESS_ROWS_H
#define OLEANDERGAUGE_CELL_PROGRESS_ROWS_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleandergauge::cell::detail {

/// The number of a task among all tasks of its job, over occurrences and steps.
using TaskNumber = std::uint64_t;

/// Divides the progress of one job into rows of the store, since a row has a
/// limited size. Each row covers the tasks from its first one up to the first
/// task of the next row; the last row has no end. A job begins with one row.
///
/// Progress only grows, so that a reader may combine rows of different ages, as
/// long as a task is never in fewer rows than before. Rows are therefore sent
/// from the last to the first: the upper part of a row that was split is stored
/// with or before the lower one, which then covers fewer tasks.
class ProgressRows {
public:
  /// Notes that the progress of the tasks from \p From up to, but not
  /// including, \p To has changed.
  void markChanged(TaskNumber From, TaskNumber To);
  /// Notes a row that the store has.
  void addStored(TaskNumber First);
  /// Returns the first task of the last row with changes that were not sent.
  std::optional<TaskNumber> lastChanged() const;
  /// Returns the first task after a row.
  TaskNumber endOf(TaskNumber First) const;
  /// Divides a row before the task \p At, which it covers. Both parts count as
  /// changed.
  void split(TaskNumber First, TaskNumber At);
  /// Notes that the present progress of a row is part of a transaction.
  void markSent(TaskNumber First);
  /// Notes that the transaction with a row was not stored.
  void takeBack(TaskNumber First) { Rows_.at(First).Changed_ = true; }
  /// Removes the rows, other than the first one, that cover only tasks before
  /// \p End. Returns the first tasks of those that the store may have.
  std::vector<TaskNumber> removeBefore(TaskNumber End);
  /// Returns the first tasks of the rows that the store may have.
  std::vector<TaskNumber> stored() const;
  bool isStored(TaskNumber First) const { return Rows_.at(First).Stored_; }
  bool isDivided() const { return Rows_.size() > 1; }

private:
  struct Row {
    bool Changed_ = false;
    bool Stored_ = false; ///< Part of a transaction now or earlier.
  };
  std::map<TaskNumber, Row> Rows_ = {{0, Row{}}}; ///< By first task.
};

/// The job and the first task of a row of progress.
struct ProgressKey {
  std::string Job_;
  TaskNumber First_ = 0;
  friend bool operator==(const ProgressKey &, const ProgressKey &) = default;
};

/// Returns the key of a row: the job's id, with the first task if it is not 0.
std::string encode(const ProgressKey &Key);
/// Returns nothing if the text is not a key of a row of progress.
std::optional<ProgressKey> decodeProgressKey(const std::string &Text);

} // namespace oleandergauge::cell::detail

#endif // OLEANDERGAUGE_CELL_PROGRESS_ROWS_H
