#ifndef OLEANDERGAUGE_ALLOTMENT_H
#define OLEANDERGAUGE_ALLOTMENT_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "oleandergauge/base.h"
#include "oleandergauge/table.h"

namespace oleandergauge {

/// The number of running tasks by which a team exceeds its part of the limit.
struct Excess {
  TeamId Team_;
  std::uint32_t Count_ = 0;
  friend bool operator==(const Excess &, const Excess &) = default;
};

/// The row "allotment/<team>": the number of tasks of the team that each
/// partition may run. No write raises the sum of the grants above the limit.
struct AllotmentRow {
  std::uint32_t Limit_ = 0;
  std::map<PartitionId, std::uint32_t> Grants_;
  /// Partitions that need more than is left of the limit.
  std::set<PartitionId> Wanting_;
  friend bool operator==(const AllotmentRow &, const AllotmentRow &) = default;
};

/// Row key "allotment/<team>".
std::string allotmentKey(const TeamId &Team);
std::string encodeAllotment(const AllotmentRow &Row);
/// Returns an empty value if the bytes are not a valid allotment row.
std::optional<AllotmentRow> decodeAllotment(const std::string &Bytes);

/// Time between two reads of a row. They show which other partitions need
/// more.
inline constexpr Duration AllotmentRefreshInterval =
    std::chrono::milliseconds(1000);
/// Time between two reads while this partition needs more than is left of the
/// limit.
inline constexpr Duration AllotmentWantingRefreshInterval =
    std::chrono::milliseconds(250);
/// Minimum time between two writes of a row by one partition.
inline constexpr Duration MinAllotmentWriteInterval =
    std::chrono::milliseconds(50);
/// Time from a failed request to its retry.
inline constexpr Duration AllotmentRetryDelay = std::chrono::milliseconds(250);
/// A partition raises its grant in steps of the limit divided by this number.
inline constexpr std::uint32_t AllotmentStepDivisor = 8;

/// Obtains, uses and returns the grants of one partition for all teams. It has
/// at most one table request in flight. See decision D7 in docs/design.md.
class Allotments {
public:
  explicit Allotments(PartitionId Self);

  /// Resets the state after a takeover, except for the limits. Grants are read
  /// from the table again, and the counts of running and waiting tasks are zero
  /// until the caller reports the tasks again.
  void open(const Condition &Fence);
  void setLimits(const std::map<TeamId, std::uint32_t> &Limits);
  /// Sets the number of the team's tasks that wait for a grant.
  void setDemand(const TeamId &Team, std::uint32_t Waiting);
  void noteStarted(const TeamId &Team);
  void noteEnded(const TeamId &Team);

  /// Returns true once the conflict of a transaction has shown that another
  /// host owns the partition.
  bool isFenced() const { return Fenced_; }

  /// Returns how many more tasks the team may start: its usable grant less its
  /// running tasks. Returns zero if the grant has not been read yet, or if the
  /// tasks that other partitions may run leave no room under a lowered limit.
  std::uint32_t headroomOf(const TeamId &Team) const;
  /// Returns whether all tasks reported by noteStarted() may run at present.
  bool mayRunStartedTasks(const TeamId &Team) const;
  std::uint32_t grantOf(const TeamId &Team) const;
  std::uint32_t runningOf(const TeamId &Team) const;
  /// Returns by how many running tasks the team exceeds its part of the limit.
  std::uint32_t excessOf(const TeamId &Team) const;
  /// Returns the teams that run more than their part of a lowered limit.
  std::vector<Excess> excess() const;

  /// Returns the next table request if one is due. Nothing is sent at or after
  /// \p ValidUntil.
  std::optional<TableRequest> poll(TimePoint Now, TimePoint ValidUntil);
  /// Handles the reply to the last request of poll(). Every request needs one:
  /// the caller passes OutcomeUnknown if no reply arrived in time, and drops
  /// replies to older requests.
  void answered(TimePoint Now, const TableReply &Reply);

private:
  /// A write that may still take effect while the row has this version.
  struct UncertainWrite {
    std::uint64_t Version_ = 0;
    /// The smaller of the grants with and without the write.
    std::uint32_t Grant_ = 0;
  };
  struct TeamState {
    std::uint32_t Limit_ = 0;
    /// The former, higher limit up to which other partitions may hold grants
    /// that no read has shown yet. Zero once a read shows all of their grants.
    std::uint32_t FormerLimit_ = 0;
    /// Reads from this time on show all grants made under FormerLimit_. Set by
    /// the first read under the lowered limit.
    std::optional<TimePoint> ReadsCompleteFrom_;
    std::uint32_t RunningTasks_ = 0;
    std::uint32_t WaitingTasks_ = 0;
    bool RowRead_ = false;    ///< The row has been read in this epoch.
    bool RowCurrent_ = false; ///< The row can be written without another read.
    AllotmentRow Row_;
    std::uint64_t Version_ = 0;
    std::optional<UncertainWrite> UncertainWrite_;
    TimePoint NextWrite_;
    TimePoint NextRead_;
  };

  /// Returns this partition's grant in the row.
  std::uint32_t ownGrantIn(const AllotmentRow &Row) const;
  /// Returns the grant that holds whatever the outcome of an uncertain write.
  std::uint32_t usableGrantOf(const TeamState &State) const;
  /// Returns the partition's part of the limit: its usable grant, reduced in
  /// proportion if the sum of the grants exceeds the limit.
  std::uint32_t proportionalPartOf(const TeamState &State) const;
  /// Returns the number of running tasks up to which the team may start tasks.
  std::uint32_t startableTasksOf(const TeamState &State) const;
  /// Returns the grant that the next write should set.
  std::uint32_t targetGrantOf(const TeamState &State) const;
  /// Returns whether another partition needs more than is left of the limit.
  bool othersWant(const AllotmentRow &Row) const;
  /// Returns the row to write, or an empty value if no write is needed.
  std::optional<AllotmentRow> wantedRow(const TeamState &State) const;
  bool isReadDue(TimePoint Now, const TeamState &State) const;
  std::optional<TableRequest> pollRead(TimePoint Now);
  std::optional<TableRequest> pollWrite(TimePoint Now);
  void applyRow(TimePoint Now, TeamState &State, const Row &Read);
  void handleReadReply(TimePoint Now, const TableReply &Reply);
  void handleWriteReply(TimePoint Now, const TableReply &Reply);
  void handleConflict(TeamState &State, const Conflicted &Conflict);

  PartitionId Self_;
  Condition Fence_;
  bool Open_ = false;
  bool Fenced_ = false;
  std::map<TeamId, TeamState> Teams_;
  enum class Pending { None, Read, Write };
  Pending Pending_ = Pending::None;
  /// The team of the last write. The teams write in turn.
  TeamId PendingTeam_;
  std::vector<TeamId> PendingReads_;
  AllotmentRow PendingRow_;
  /// UncertainWrite_ of the team before the pending write.
  std::optional<UncertainWrite> UncertainBeforePending_;
};

} // namespace oleandergauge

#endif // OLEANDERGAUGE_ALLOTMENT_H
