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

/// How many running tasks a team has above the grant.
struct Excess {
  TeamId Team_;
  std::uint32_t Count_ = 0;
  friend bool operator==(const Excess &, const Excess &) = default;
};

/// The row "allotment/<team>": what each partition may run. The sum of the
/// grants is never raised above the limit.
struct AllotmentRow {
  std::uint32_t Limit_ = 0;
  std::map<PartitionId, std::uint32_t> Grants_;
  /// Partitions that want more than is free.
  std::set<PartitionId> Wanting_;
  friend bool operator==(const AllotmentRow &, const AllotmentRow &) = default;
};

/// Row key "allotment/<team>".
std::string allotmentKey(const TeamId &Team);
std::string encodeAllotment(const AllotmentRow &Row);
/// Empty where the bytes are no allotment row.
std::optional<AllotmentRow> decodeAllotment(const std::string &Bytes);

/// Time between two reads of a row, which show what others want.
inline constexpr Duration AllotmentRefresh = std::chrono::milliseconds(1000);
/// The same while the partition itself wants more than is free.
inline constexpr Duration AllotmentWantRefresh = std::chrono::milliseconds(250);
/// Smallest time between two writes of a row by one partition.
inline constexpr Duration AllotmentSpacing = std::chrono::milliseconds(50);
/// A failed request is tried again after this time.
inline constexpr Duration AllotmentRetry = std::chrono::milliseconds(250);
/// A partition asks for this part of the limit at a time.
inline constexpr std::uint32_t AllotmentStepFraction = 8;

/// The grants of one partition. Has at most one table request in flight.
/// See decision D7 in docs/design.md.
class Allotments {
public:
  explicit Allotments(PartitionId Self);

  /// Starts anew after a takeover: grants are read from the table, running
  /// and waiting work counts as none until it is noted again. Limits stay.
  void open(const Condition &Fence);
  void setLimits(const std::map<TeamId, std::uint32_t> &Limits);
  /// The team has this much work that waits for a grant.
  void setDemand(const TeamId &Team, std::uint32_t Waiting);
  void noteStarted(const TeamId &Team);
  void noteEnded(const TeamId &Team);

  /// True once a transaction showed that another host owns the partition.
  bool fenced() const { return Fenced_; }

  /// How many more tasks the team may start: grant less running, and zero
  /// where the grant was not read yet or what others may run leaves no room
  /// under a lowered limit.
  std::uint32_t headroomOf(const TeamId &Team) const;
  /// Whether all tasks that were noted as started may run at present.
  bool mayRunStartedTasks(const TeamId &Team) const;
  std::uint32_t grantOf(const TeamId &Team) const;
  std::uint32_t runningOf(const TeamId &Team) const;
  /// How many running tasks the team has above its part of the limit.
  std::uint32_t excessOf(const TeamId &Team) const;
  /// Teams that run more than their part of a lowered limit.
  std::vector<Excess> excess() const;

  std::optional<TableRequest> poll(TimePoint Now, TimePoint ValidUntil);
  /// The answer to the last request of poll. Every request needs one; the
  /// caller passes OutcomeUnknown where no answer came in time, and drops
  /// answers to older requests.
  void answered(TimePoint Now, const TableReply &Reply);

private:
  /// A write that may still take effect while the row has this version.
  struct Unsettled {
    std::uint64_t Version_ = 0;
    std::uint32_t Grant_ = 0; ///< The least that it may leave.
  };
  struct Team {
    std::uint32_t Limit_ = 0;
    /// A former limit up to which others may have been granted unseen, or
    /// zero once a read shows what they have.
    std::uint32_t Ceiling_ = 0;
    /// Reads from then on see all that hosts granted under Ceiling_; set by
    /// the first read under the lowered limit.
    std::optional<TimePoint> TrustedFrom_;
    std::uint32_t Running_ = 0;
    std::uint32_t Demand_ = 0;
    bool Known_ = false; ///< The row was read in this epoch.
    bool Fresh_ = false; ///< The row may be written without a new read.
    AllotmentRow Row_;
    std::uint64_t Version_ = 0;
    std::optional<Unsettled> Unsettled_;
    TimePoint NextWrite_;
    TimePoint NextRead_;
  };

  std::uint32_t rowGrantOf(const AllotmentRow &Row) const;
  std::uint32_t usableOf(const Team &State) const;
  std::uint32_t partOf(const Team &State) const;
  std::uint32_t startableOf(const Team &State) const;
  std::uint32_t targetOf(const Team &State) const;
  bool othersWant(const AllotmentRow &Row) const;
  std::optional<AllotmentRow> wantedRow(const Team &State) const;
  bool readDue(TimePoint Now, const Team &State) const;
  std::optional<TableRequest> pollRead(TimePoint Now);
  std::optional<TableRequest> pollWrite(TimePoint Now);
  void noteRow(TimePoint Now, Team &State, const Row &Read);
  void settleRead(TimePoint Now, const TableReply &Reply);
  void settleWrite(TimePoint Now, const TableReply &Reply);
  void noteConflict(Team &State, const Conflicted &Conflict);

  PartitionId Self_;
  Condition Fence_;
  bool Open_ = false;
  bool Fenced_ = false;
  std::map<TeamId, Team> Teams_;
  enum class Pending { None, Read, Write };
  Pending Pending_ = Pending::None;
  /// The team of the last write; writes take turns.
  TeamId PendingTeam_;
  std::vector<TeamId> PendingReads_;
  AllotmentRow PendingRow_;
  std::optional<Unsettled> BeforePending_;
};

} // namespace oleandergauge

#endif // OLEANDERGAUGE_ALLOTMENT_H
