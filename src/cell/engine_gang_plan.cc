// Placement of gangs: finds room and tickets for all members at once.

#include <algorithm>

#include "cell/engine.h"

namespace oleandergauge::cell {

namespace {

/// Extra time for which the room of a gang stays reserved beyond the expected
/// arrival of tickets and ends.
constexpr Millis GangPlanSlack = 400;
/// Share of the cell's processors that may be kept idle for gangs that collect
/// their room.
constexpr double MaxCollectedShare = 0.05;
/// Time for which collected room stays reserved unless a pass extends it.
constexpr Millis CollectTime = 150;

/// Returns the members that fit on a worker.
std::uint32_t roomOn(const GangOption &Option, GangRoom Room) {
  if (Room == GangRoom::Ready && !Option.HasTicket_)
    return 0;
  return Room == GangRoom::Total ? Option.Total_ : Option.Free_;
}

/// Distributes a gang over workers. Free room is used up first, so that few
/// runs are preempted, and room that is reserved for the gang before other
/// room. Returns an empty list if the gang does not fit.
std::vector<GangAssignment> assignGang(std::vector<GangOption> Options,
                                       std::uint32_t Size, GangRoom Room) {
  std::size_t Sum = 0;
  for (const GangOption &Each : Options)
    Sum += roomOn(Each, Room);
  if (Sum < Size)
    return {};
  const auto Rank = [](const GangOption &Each) {
    return std::tuple(Each.Reserved_, Each.HasTicket_, Each.Free_, Each.Total_);
  };
  std::sort(Options.begin(), Options.end(),
            [&](const GangOption &A, const GangOption &B) {
              return Rank(A) > Rank(B);
            });
  std::vector<GangAssignment> Out;
  std::uint32_t Left = Size;
  for (const GangOption &Each : Options) {
    const std::uint32_t Free = std::min(Each.Free_, roomOn(Each, Room));
    Out.push_back({Each.Target_, std::min(Left, Free)});
    Left -= Out.back().Members_;
  }
  for (std::size_t At = 0; At < Options.size() && Left > 0; ++At) {
    const std::uint32_t Further =
        std::min(Left, roomOn(Options[At], Room) - Out[At].Members_);
    Out[At].Members_ += Further;
    Left -= Further;
  }
  std::erase_if(Out,
                [](const GangAssignment &Each) { return Each.Members_ == 0; });
  return Out;
}

/// Joins the fewest racks that together have room for a gang into one group, or
/// all of them if that is not enough.
std::map<std::string, std::vector<GangOption>>
joinRacks(const std::map<std::string, std::vector<GangOption>> &Racks,
          std::uint32_t Size, GangRoom Room) {
  std::vector<std::pair<std::size_t, const std::vector<GangOption> *>> ByRoom;
  for (const auto &[Rack, Options] : Racks) {
    std::size_t Sum = 0;
    for (const GangOption &Each : Options)
      Sum += roomOn(Each, Room);
    ByRoom.emplace_back(Sum, &Options);
  }
  std::stable_sort(
      ByRoom.begin(), ByRoom.end(),
      [](const auto &A, const auto &B) { return A.first > B.first; });
  std::vector<GangOption> Joined;
  std::size_t Found = 0;
  for (const auto &[Sum, Options] : ByRoom) {
    if (Found >= Size)
      break;
    Found += Sum;
    Joined.insert(Joined.end(), Options->begin(), Options->end());
  }
  return {{"", std::move(Joined)}};
}

} // namespace

/// Returns the workers that may run the gang, by rack if all members need to
/// run in one.
Cell::Engine::GangOptions Cell::Engine::gangOptions(const StepRun &Step) {
  GangOptions Out;
  const auto Add = [&](Worker &Target, bool HasTicket) {
    if (Now_ < Target.GangsNotBefore_ || !isUsable(Target, Step))
      return;
    Out[Step.spec().SameRack_ ? Target.Rack_ : ""].push_back(
        {&Target, reservedCopies(Target, Step),
         maxCopiesOn(Target, Step, false), maxCopiesOn(Target, Step, true),
         HasTicket});
  };
  const Queue *JobQueue = queueOf(*Step.Job_);
  if (JobQueue == nullptr)
    return Out;
  if (JobQueue->Advice_) {
    ComparedInPart_ += Step.Allowed_.size();
    for (const auto &[Number, Each] : Step.Allowed_)
      if (Worker *Target = workerAt(Number))
        Add(*Target, Now_ < Each.ValidUntil_);
    return Out;
  }
  ComparedInPart_ += UsableWorkers_.size();
  for (Worker *Each : UsableWorkers_)
    Add(*Each, true);
  return Out;
}

/// Starts a gang if there is room and a ticket for all members. Else reserves
/// room on workers that may run it, preempts runs there if that is necessary,
/// and requests the tickets that are missing. If these workers do not have
/// enough room, asks about further ones.
void Cell::Engine::placeGang(StepRun &Step) {
  const auto Size = static_cast<std::uint32_t>(Step.Tasks_.size());
  if (Step.waiting() < Size)
    return; // Members of the previous attempt are still ending.
  reportWait(Step);
  if (!isUnderTeamLimit(Step, Size) || !mayStartFurtherRun())
    return;
  for (const Task &Each : Step.Tasks_)
    if (Now_ < Each.NotBefore_)
      return;
  GangOptions Racks = gangOptions(Step);
  if (startReadyGang(Step, Racks))
    return;
  const bool Spans = maySpanRacks(Step, Racks);
  if (Spans && startReadyGang(Step, joinRacks(Racks, Size, GangRoom::Ready)))
    return;
  if (keepsGangPlan(Step, Racks))
    return;
  if (Spans)
    Racks = joinRacks(Racks, Size, GangRoom::Free);
  if (planGang(Step, Racks, GangRoom::Free))
    return;
  // Where advice is quick, free room on further workers is found sooner than
  // runs stop.
  const bool Quick = isAdviceQuick(Step);
  if (Quick && requestGangAdvice(Step))
    return;
  if (planGang(Step, Racks, GangRoom::Total))
    return;
  if (Quick || !requestGangAdvice(Step))
    collectGangRoom(Step, Racks);
}

/// Starts the gang if one of the groups of workers has room and tickets for
/// all members. Returns whether it did.
bool Cell::Engine::startReadyGang(StepRun &Step, const GangOptions &Racks) {
  const auto Size = static_cast<std::uint32_t>(Step.Tasks_.size());
  for (const auto &[Rack, Options] : Racks) {
    const auto Assignments = assignGang(Options, Size, GangRoom::Ready);
    if (Assignments.empty())
      continue;
    startGang(Step, Assignments);
    return true;
  }
  return false;
}

/// Returns whether room for all members is still reserved. Requests tickets
/// again that a call did not bring.
bool Cell::Engine::keepsGangPlan(StepRun &Step, const GangOptions &Racks) {
  if (Now_ >= Step.GangPlanUntil_)
    return false;
  std::vector<Worker *> Reserved;
  std::size_t Members = 0;
  for (const auto &[Rack, Options] : Racks)
    for (const GangOption &Each : Options)
      if (Each.Reserved_ > 0) {
        Reserved.push_back(Each.Target_);
        Members += Each.Reserved_;
      }
  if (Members < Step.Tasks_.size())
    return false;
  sendAdviceCalls(Step, workersWithoutTicket(Step, Reserved, Now_));
  return true;
}

/// Reserves room for all members. Returns false if there is not enough room, or
/// if no entry host is free to request the missing tickets.
bool Cell::Engine::planGang(StepRun &Step, const GangOptions &Racks,
                            GangRoom Room) {
  const auto Size = static_cast<std::uint32_t>(Step.Tasks_.size());
  for (const auto &[Rack, Options] : Racks) {
    const auto Assignments = assignGang(Options, Size, Room);
    if (!Assignments.empty())
      return reserveGang(Step, Assignments, Room);
  }
  return false;
}

/// Reserves the room, preempts runs in it and requests the tickets that would
/// have expired before it is free. Returns false if no entry host is free to
/// request them.
bool Cell::Engine::reserveGang(StepRun &Step,
                               const std::vector<GangAssignment> &Assignments,
                               GangRoom Room) {
  std::vector<Worker *> Workers;
  Workers.reserve(Assignments.size());
  for (const GangAssignment &Each : Assignments)
    Workers.push_back(Each.Target_);
  Millis Wait =
      Room == GangRoom::Total ? Limits_.StopTime_ + PreemptionOverhead : 0;
  if (!workersWithoutTicket(Step, Workers, Now_ + Wait).empty())
    Wait = std::max(Wait, adviceCallTime(Step, Workers.size()));
  if (!sendAdviceCalls(Step, workersWithoutTicket(Step, Workers, Now_ + Wait)))
    return false;
  releaseReservations(Step);
  Step.GangPlanUntil_ = Now_ + Wait + GangPlanSlack;
  Effects_.push_back(Decision{
      "gang_planned", Step.Name_,
      std::to_string(Assignments.size()) + " workers, " +
          std::to_string(Step.AdviceCalls_.size()) + " calls, " +
          (Room == GangRoom::Total ? "with" : "without") + " preemption",
      Now_ - Step.ReadySince_});
  for (const GangAssignment &Each : Assignments)
    makeRoom(*Each.Target_, Step, Each.Members_, Step.GangPlanUntil_);
  return true;
}

/// Keeps the room that becomes free on the workers which may run the gang,
/// where all of them together do not have enough at any one moment. Otherwise
/// shorter or narrower work that arrives later takes it piece by piece. The
/// most urgent gangs go first; a limit on the room that is kept idle leaves the
/// rest to other work.
void Cell::Engine::collectGangRoom(StepRun &Step, const GangOptions &Racks) {
  const auto Size = static_cast<std::uint32_t>(Step.Tasks_.size());
  const std::int64_t Cpu = Step.spec().Need_.CpuMilli_ * Size;
  const std::int64_t Limit = static_cast<std::int64_t>(
      MaxCollectedShare * static_cast<double>(UsableCpu_));
  if (CollectedCpu_ > 0 && CollectedCpu_ + Cpu > Limit)
    return;
  const std::vector<GangOption> *Best = nullptr;
  std::uint32_t BestRoom = 0;
  for (const auto &[Rack, Options] : Racks) {
    std::uint32_t Room = 0;
    std::uint32_t Capacity = 0;
    for (const GangOption &Each : Options) {
      Room += Each.Free_;
      Capacity += copiesIn(Each.Target_->Capacity_, Step);
    }
    if (Capacity >= Size && Room > BestRoom) {
      Best = &Options;
      BestRoom = Room;
    }
  }
  if (Best == nullptr)
    return;
  CollectedCpu_ += Cpu;
  releaseReservations(Step);
  for (const GangAssignment &Each :
       assignGang(*Best, std::min(Size, BestRoom), GangRoom::Free))
    reserve(*Each.Target_, Step, Each.Members_, Now_ + CollectTime);
}

/// Returns the workers whose ticket expires before \p Until and that no pending
/// call names.
std::vector<Worker *>
Cell::Engine::workersWithoutTicket(const StepRun &Step,
                                   const std::vector<Worker *> &Workers,
                                   Millis Until) const {
  std::vector<Worker *> Out;
  for (Worker *Each : Workers) {
    const auto Permitted = Step.Allowed_.find(Each->Number_);
    if (Permitted != Step.Allowed_.end() &&
        Permitted->second.ValidUntil_ <= Until &&
        Step.AskedWorkers_.count(Each->Id_) == 0)
      Out.push_back(Each);
  }
  return Out;
}

} // namespace oleandergauge::cell
