// Placement of gangs: finds room and tickets for all members at once, and
// reports why a gang waits.

#include <algorithm>

#include "cell/engine.h"

namespace oleandergauge::cell {

namespace detail {

std::string GangWait::text() const {
  std::string Out = "members=" + std::to_string(Members_);
  const auto Add = [&Out](const char *Name, std::size_t Value) {
    Out += Name;
    Out += std::to_string(Value);
  };
  Add(" known=", KnownWorkers_);
  Add(" allowed=", AllowedWorkers_);
  Add(" tickets=", Tickets_);
  Add(" ticketed_room=", TicketedRoom_);
  Add(" room=", Room_);
  Add(" room_with_victims=", RoomWithVictims_);
  Add(" reserved=", Reserved_);
  Add(" calls=", PendingCalls_);
  return Out;
}

} // namespace detail

namespace {

/// Time between reports on one waiting gang, and between any two reports.
constexpr Millis GangReportInterval = 1000;
constexpr Millis AnyGangReportInterval = 50;

} // namespace

/// Distributes a gang over \p Workers, starting with those that can hold the
/// most members. With victims, only workers on which the gang may still start
/// after a stop count. Returns an empty list if they cannot hold the whole
/// gang.
std::vector<GangAssignment>
Cell::Engine::assignGang(const StepRun &Step,
                         const std::vector<Worker *> &Workers,
                         bool WithVictims) const {
  std::vector<GangAssignment> Out;
  std::size_t Room = 0;
  for (Worker *Each : Workers) {
    if (Now_ < Each->GangsNotBefore_ ||
        (WithVictims && !isAllowedAfterStop(*Each, Step)))
      continue;
    Out.push_back({Each, maxCopiesOn(*Each, Step, WithVictims)});
    Room += Out.back().Members_;
  }
  if (Room < Step.Tasks_.size())
    return {};
  // Workers on which room is already being freed for the gang stay chosen.
  const auto Place = [&](const GangAssignment &Each) {
    return std::pair(reservedCopies(*Each.Target_, Step), Each.Members_);
  };
  std::sort(Out.begin(), Out.end(),
            [&](const GangAssignment &A, const GangAssignment &B) {
              return Place(A) > Place(B);
            });
  auto Left = static_cast<std::uint32_t>(Step.Tasks_.size());
  for (GangAssignment &Each : Out) {
    Each.Members_ = std::min(Left, Each.Members_);
    Left -= Each.Members_;
  }
  std::erase_if(Out,
                [](const GangAssignment &Each) { return Each.Members_ == 0; });
  return Out;
}

/// Starts all members of a gang if there is room, possibly in one rack. Else
/// preempts runs for it, or requests advice on more workers.
void Cell::Engine::placeGang(StepRun &Step) {
  const auto Size = static_cast<std::uint32_t>(Step.Tasks_.size());
  if (Step.waiting() < Size)
    return; // Members of the previous attempt are still ending.
  reportWait(Step);
  if (!isUnderTeamLimit(Step, Size))
    return;
  for (const Task &Each : Step.Tasks_)
    if (Now_ < Each.NotBefore_)
      return;
  std::map<std::string, std::vector<Worker *>> Racks;
  std::uint32_t Reserved = 0;
  for (Worker *Each : eligibleWorkers(Step)) {
    Racks[Step.spec().SameRack_ ? Each->Rack_ : ""].push_back(Each);
    Reserved += reservedCopies(*Each, Step);
  }
  for (const bool WithVictims : {false, true}) {
    for (const auto &[Rack, Workers] : Racks) {
      const std::vector<GangAssignment> Assignments =
          assignGang(Step, Workers, WithVictims);
      if (Assignments.empty())
        continue;
      if (!WithVictims)
        startGang(Step, Assignments);
      else
        for (const GangAssignment &Each : Assignments)
          makeRoom(*Each.Target_, Step, Each.Members_);
      return;
    }
    if (Reserved >= Size)
      return; // The room for all members is already being freed.
  }
  requestAdvice(Step);
}

/// Returns what a waiting gang has and what it lacks.
GangWait Cell::Engine::describeWait(const StepRun &Step) const {
  GangWait Out;
  Out.Members_ = static_cast<std::uint32_t>(Step.Tasks_.size());
  Out.KnownWorkers_ = Step.Advice_.size();
  Out.PendingCalls_ = Step.AdviceToken_ != 0 ? 1 : 0;
  for (const auto &[Number, Each] : Step.Advice_) {
    if (!Each.Allowed_ || !isUsable(*Each.Target_, Step))
      continue;
    ++Out.AllowedWorkers_;
    Out.Reserved_ += reservedCopies(*Each.Target_, Step);
    const std::uint32_t Free = maxCopiesOn(*Each.Target_, Step, false);
    Out.Room_ += Free;
    Out.RoomWithVictims_ += maxCopiesOn(*Each.Target_, Step, true);
    if (Now_ >= Each.ValidUntil_)
      continue;
    ++Out.Tickets_;
    Out.TicketedRoom_ += Free;
  }
  return Out;
}

/// Logs why a gang waits. The number of reports is limited for each gang and
/// for all of them.
void Cell::Engine::reportWait(StepRun &Step) {
  if (Now_ < Step.NextWaitReport_ || Now_ < NextWaitReport_)
    return;
  Step.NextWaitReport_ = Now_ + GangReportInterval;
  NextWaitReport_ = Now_ + AnyGangReportInterval;
  Effects_.push_back(Decision{"gang_waits", Step.Name_,
                              describeWait(Step).text(),
                              Now_ - Step.ReadySince_});
}

} // namespace oleandergauge::cell
