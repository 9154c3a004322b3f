// Reports: why gangs wait, how full the cell is, and the counts for metrics.

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
/// Time between lines on the use of the cell.
constexpr Millis UsageReportInterval = 1000;

std::string percentOf(std::int64_t Part, std::int64_t All) {
  return std::to_string(All == 0 ? 0 : 100 * Part / All) + "%";
}

/// Returns the sums without the entries of priorities whose runs have ended.
NeedSums withoutZeros(NeedSums Sums) {
  std::erase_if(Sums.Preemptible_,
                [](const auto &Each) { return Each.second == Resources{}; });
  return Sums;
}

} // namespace

/// Returns what a waiting gang has and what it lacks.
GangWait Cell::Engine::describeWait(const StepRun &Step) const {
  GangWait Out;
  Out.Members_ = static_cast<std::uint32_t>(Step.Tasks_.size());
  Out.KnownWorkers_ = Step.Allowed_.size() + Step.Refused_.size();
  Out.PendingCalls_ = Step.AdviceCalls_.size();
  for (const auto &[Number, Each] : Step.Allowed_) {
    const Worker *Target = workerAt(Number);
    if (Target == nullptr || !isUsable(*Target, Step))
      continue;
    ++Out.AllowedWorkers_;
    Out.Reserved_ += reservedCopies(*Target, Step);
    const std::uint32_t Free = maxCopiesOn(*Target, Step, false);
    Out.Room_ += Free;
    Out.RoomWithVictims_ += maxCopiesOn(*Target, Step, true);
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

/// Logs how much of the cell is in use or reserved, and how much work waits.
void Cell::Engine::reportUsage() {
  if (Now_ < NextUsageReport_)
    return;
  NextUsageReport_ = Now_ + UsageReportInterval;
  std::int64_t All = 0;
  std::int64_t Used = 0;
  std::int64_t Stopping = 0;
  std::int64_t Reserved = 0;
  for (const Worker *Each : UsableWorkers_) {
    All += Each->Capacity_.CpuMilli_;
    Used += Each->Used_.CpuMilli_;
    Stopping += Each->Needs_.Stopping_.CpuMilli_;
    for (const Reservation &Kept : Each->Reservations_)
      if (Now_ < Kept.Until_)
        Reserved += Kept.Step_->spec().Need_.CpuMilli_ * Kept.Copies_;
  }
  std::map<Urgency::Class, std::size_t> Waiting;
  for (const auto &[Place, Step] : WaitingSteps_)
    ++Waiting[Place.Class_];
  const auto Busy =
      std::count_if(AdviceHosts_.begin(), AdviceHosts_.end(),
                    [](const auto &Each) { return Each.second.Calls_ > 0; });
  Effects_.push_back(Decision{
      "cell_usage", std::to_string(UsableWorkers_.size()) + " workers",
      "used=" + percentOf(Used, All) + " stopping=" + percentOf(Stopping, All) +
          " reserved=" + percentOf(Reserved, All) +
          " services=" + std::to_string(Waiting[Urgency::Class::Service]) +
          " on_time=" + std::to_string(Waiting[Urgency::Class::OnTime]) +
          " late=" + std::to_string(Waiting[Urgency::Class::Late]) +
          " worthless=" + std::to_string(Waiting[Urgency::Class::Worthless]) +
          " advice_hosts=" + std::to_string(Busy) + "/" +
          std::to_string(AdviceHosts_.size()) +
          " calls=" + std::to_string(PendingAdvice_.size()),
      0});
  reportOpenWork();
}

/// Logs how much the accepted jobs hold in memory.
void Cell::Engine::reportOpenWork() {
  const CellStats Stats = stats();
  Effects_.push_back(
      Decision{"cell_memory", std::to_string(Stats.Jobs_) + " jobs",
               "open_steps=" + std::to_string(Stats.OpenSteps_) +
                   " open_tasks=" + std::to_string(Stats.OpenTasks_) +
                   " runs=" + std::to_string(Stats.Running_) +
                   " orders=" + std::to_string(Stats.OpenOrders_) +
                   " overdue_jobs=" + std::to_string(Stats.OverdueJobs_) +
                   " held=" + std::to_string(Stats.WorkMemoryHeld_) +
                   " limit=" + std::to_string(Stats.WorkMemoryLimit_),
               0});
}

/// Counts the sums over runs anew and returns the number of those that differ
/// from what is kept. A wrong sum keeps room that nobody uses, or gives it away
/// twice.
std::size_t Cell::Engine::countWrongSums() const {
  std::size_t Out = 0;
  std::map<std::string, Resources> Teams;
  std::unordered_map<const StepRun *, std::size_t> Live;
  for (const auto &[Id, Target] : Workers_) {
    Resources Used;
    for (const auto &[Name, Each] : Target->Runs_) {
      Used = Used + Each.Need_;
      if (Each.Step_ == nullptr)
        continue;
      Resources &Team = Teams[Each.Step_->Job_->Team_];
      Team = Team + Each.TeamNeed_;
      ++Live[Each.Step_];
    }
    Out += Used == Target->Used_ ? 0 : 1;
    Out += withoutZeros(countNeeds(*Target)) == withoutZeros(Target->Needs_)
               ? 0
               : 1;
  }
  for (const auto &[Team, Usage] : TeamUsage_)
    Out += Teams[Team] == Usage ? 0 : 1;
  for (const auto &[Step, Count] : Live)
    Out += Step->LiveRuns_ == Count ? 0 : 1;
  return Out;
}

CellStats Cell::Engine::stats() const {
  CellStats Out;
  Out.Jobs_ = Jobs_.size();
  Out.EndedJobs_ = EndedRecords_.size();
  Out.WaitingSteps_ = WaitingSteps_.size();
  for (const auto &[Id, Each] : Jobs_) {
    Out.OpenSteps_ += Each->Steps_.size();
    Out.OpenTasks_ += Each->openOccurrences() * Each->tasksPerOccurrence();
  }
  Out.OverdueJobs_ = OverdueJobs_.size();
  Out.WorkMemoryLimit_ = Memory_.limit();
  Out.WorkMemoryHeld_ = Memory_.held();
  std::int64_t Used = 0;
  std::int64_t All = 0;
  for (const auto &[Id, Each] : Workers_) {
    Out.Running_ += Each->Runs_.size();
    Out.Workers_ += Each->Listed_ ? 1 : 0;
    Out.ReachableWorkers_ += Each->Reachable_ ? 1 : 0;
    Used += Each->Used_.CpuMilli_;
    All += Each->Listed_ ? Each->Capacity_.CpuMilli_ : 0;
  }
  Out.OpenOrders_ = PendingOrders_.size();
  Out.RepeatedStarts_ = RepeatedStarts_;
  for (const Job *Each : EndingJobs_)
    Out.OldestUnstoredEnd_ =
        std::max(Out.OldestUnstoredEnd_, Now_ - Each->EndedAt_);
  Out.StepsExamined_ = StepsExamined_;
  Out.WorkersExamined_ = WorkersExamined_;
  Out.WorkersCompared_ = WorkersCompared_;
  Out.PlaceWaitsMet_ = PlaceWaits_.Met_;
  Out.PlaceWaitsGivenUp_ = PlaceWaits_.GivenUp_;
  Out.PlaceWaitMs_ = PlaceWaits_.WaitedMs_;
  Out.PlaceLossMs_ = PlaceWaits_.LostMs_;
  Out.RefusedHopeless_ = RefusedHopeless_;
  Out.RefusedOverShare_ = RefusedOverShare_;
  Out.RefusedForMemory_ = RefusedForMemory_;
  Out.UsedShare_ =
      All == 0 ? 0 : static_cast<double>(Used) / static_cast<double>(All);
  return Out;
}

} // namespace oleandergauge::cell
