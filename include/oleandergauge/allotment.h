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

std::string encodeAllotment(const AllotmentRow &Row);
std::optional<AllotmentRow> decodeAllotment(const std::string &Bytes);

/// The grants of one partition. Has at most one table request in flight.
/// See decision D7 in docs/design.md.
class Allotments {
public:
  explicit Allotments(PartitionId Self);

  /// Starts anew after a takeover; grants are read from the table.
  void open(const Condition &Fence);
  void setLimits(const std::map<TeamId, std::uint32_t> &Limits);
  /// The team has this much work that waits for a grant.
  void setDemand(const TeamId &Team, std::uint32_t Waiting);
  void noteStarted(const TeamId &Team);
  void noteEnded(const TeamId &Team);

  /// How many more tasks the team may start: grant less running, and zero
  /// where the grant was not read yet or the limit fell below.
  std::uint32_t headroomOf(const TeamId &Team) const;
  std::uint32_t grantOf(const TeamId &Team) const;
  std::uint32_t runningOf(const TeamId &Team) const;
  /// Teams that run more than their part of a lowered limit.
  std::vector<Excess> excess() const;

  std::optional<TableRequest> poll(TimePoint Now, TimePoint ValidUntil);
  void answered(TimePoint Now, const TableReply &Reply);

private:
  struct Team {
    std::uint32_t Limit_ = 0;
    std::uint32_t Running_ = 0;
    std::uint32_t Demand_ = 0;
    bool Read_ = false;
    AllotmentRow Row_;
    std::uint64_t Version_ = 0;
    TimePoint NextTry_;
  };
  std::optional<AllotmentRow> wantedRow(const Team &State) const;
  std::uint32_t targetOf(const Team &State) const;

  PartitionId Self_;
  Condition Fence_;
  bool Open_ = false;
  std::map<TeamId, Team> Teams_;
  enum class Pending { None, Read, Write };
  Pending Pending_ = Pending::None;
  TeamId PendingTeam_;
  std::vector<TeamId> PendingReads_;
  AllotmentRow PendingRow_;
};

} // namespace oleandergauge

#endif // OLEANDERGAUGE_ALLOTMENT_H
