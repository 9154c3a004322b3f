// Waits of gangs for a single rack: whether they wait for it or start on
// several.

#include <algorithm>

#include "cell/engine.h"

namespace oleandergauge::cell {
namespace {

/// Time for which the sizes of racks found for a gang stay valid.
constexpr Millis RackSizeValidity = 500;

bool isOnSeveralRacks(const std::vector<GangAssignment> &Assignments) {
  return std::any_of(
      Assignments.begin(), Assignments.end(), [&](const GangAssignment &Each) {
        return Each.Target_->Rack_ != Assignments.front().Target_->Rack_;
      });
}

} // namespace

/// Records the start of a gang in one rack or on several, and lets a further
/// attempt wait anew.
void Cell::Engine::recordGangPlace(
    StepRun &Step, const std::vector<GangAssignment> &Assignments) {
  if (!isPlaceWaitOn() || !Step.spec().SameRack_)
    return;
  const bool Elsewhere = isOnSeveralRacks(Assignments);
  if (Elsewhere || Step.PlaceWaitSince_)
    recordPlaceStart(Step, Step.Name_, Elsewhere,
                     Step.FitsInRack_ ? "no rack has room for all members"
                                      : "no rack is large enough");
  Step.PlaceWaitSince_.reset();
  Step.MaySpanRacks_ = false;
}

/// Returns whether all members of a gang have to run in one rack.
bool Cell::Engine::needsOneRack(const StepRun &Step) const {
  return Step.spec().SameRack_ && !Step.MaySpanRacks_;
}

/// Returns whether some rack could hold the gang when empty, or all racks
/// together could not either.
bool Cell::Engine::fitsInRack(StepRun &Step) {
  if (Now_ < Step.RackSizesUntil_)
    return Step.FitsInRack_;
  Step.RackSizesUntil_ = Now_ + RackSizeValidity;
  ComparedInPart_ += Workers_.size();
  const std::size_t Size = Step.Tasks_.size();
  std::unordered_map<std::string_view, std::size_t> Sizes;
  std::size_t Largest = 0;
  std::size_t All = 0;
  for (const auto &[Id, Each] : Workers_) {
    if (!Each->Listed_ || !suits(*Each, Step) ||
        Step.Refused_.count(Each->Number_) != 0)
      continue;
    std::uint32_t Copies = copiesIn(Each->Capacity_, Step);
    if (Step.spec().MaxPerWorker_ > 0)
      Copies = std::min(Copies, Step.spec().MaxPerWorker_);
    All += Copies;
    Largest = std::max(Largest, Sizes[Each->Rack_] += Copies);
  }
  Step.FitsInRack_ = Largest >= Size || All < Size;
  return Step.FitsInRack_;
}

/// Returns the expected time until some rack has room and tickets for all
/// members, or nothing if it is not known for any.
std::optional<Millis>
Cell::Engine::expectedRackWait(const StepRun &Step,
                               const GangOptions &Racks) const {
  const auto Size = static_cast<std::uint32_t>(Step.Tasks_.size());
  const Queue *JobQueue = queueOf(*Step.Job_);
  std::optional<Millis> Out;
  const auto Add = [&Out](Millis Wait) {
    Out = std::min(Wait, Out.value_or(Wait));
  };
  for (const auto &[Rack, Options] : Racks) {
    std::uint32_t Free = 0;
    std::uint32_t Total = 0;
    std::uint32_t Capacity = 0;
    for (const GangOption &Each : Options) {
      Free += Each.Free_;
      Total += Each.Total_;
      Capacity += copiesIn(Each.Target_->Capacity_, Step);
    }
    if (Capacity < Size)
      continue;
    if (Free >= Size) {
      Add(JobQueue != nullptr && JobQueue->Advice_
              ? adviceCallTime(Step, Options.size())
              : 0);
    } else if (Total >= Size) {
      Add(Limits_.StopTime_ + PreemptionOverhead);
    } else {
      const auto Wait =
          FreedRoom_.expectedWait(Options.front().Target_->place(), Now_,
                                  workerNeed(Step.spec()), Size - Free);
      if (Wait)
        Add(*Wait);
    }
  }
  return Out;
}

/// Returns whether a gang for one rack may start on several. It may if no rack
/// is large enough, or if there is room on several and waiting for a single one
/// does not pay.
bool Cell::Engine::maySpanRacks(StepRun &Step, const GangOptions &Racks) {
  if (!isPlaceWaitOn() || !Step.spec().SameRack_)
    return false;
  if (Step.MaySpanRacks_ || !fitsInRack(Step)) {
    Step.MaySpanRacks_ = true;
    return true;
  }
  std::size_t Free = 0;
  for (const auto &[Rack, Options] : Racks)
    for (const GangOption &Each : Options)
      Free += Each.Free_;
  if (Free < Step.Tasks_.size())
    return false;
  if (!Step.PlaceWaitSince_)
    Step.PlaceWaitSince_ = Now_;
  Step.MaySpanRacks_ =
      choosePlace(describePlaceWait(Step, expectedRackWait(Step, Racks))) ==
      PlaceChoice::GoElsewhere;
  return Step.MaySpanRacks_;
}

} // namespace oleandergauge::cell
