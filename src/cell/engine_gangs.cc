// Gangs: tasks that work only together, under one run number.

#include <algorithm>

#include "cell/engine.h"

namespace oleandergauge::cell {
namespace {

/// Part of the gang time-out within which all starts have to be confirmed; the
/// rest is for the stops to reach the members that wait.
constexpr int GatherDivisor = 3;
/// The same for an inherited attempt, from the takeover on: its members have
/// waited since before.
constexpr int InheritedDivisor = 4;
/// Time within which the workers of a zone that is back list their runs.
constexpr Millis ListSpread = 200;
constexpr Millis FirstGangPause = 100;
constexpr Millis LongestGangPause = 1600;

} // namespace

/// Divides a gang among \p Workers, those that hold most of it first. Empty
/// where they cannot hold all of it.
std::vector<GangShare>
Cell::Engine::divideGang(const StepRun &Step,
                         const std::vector<Worker *> &Workers,
                         bool WithVictims) const {
  std::vector<GangShare> Out;
  std::size_t Room = 0;
  for (Worker *Each : Workers) {
    if (Now_ < Each->GangsNotBefore_)
      continue;
    Out.push_back({Each, copiesOn(*Each, Step, WithVictims)});
    Room += Out.back().Members_;
  }
  if (Room < Step.Tasks_.size())
    return {};
  std::sort(Out.begin(), Out.end(), [](const GangShare &A, const GangShare &B) {
    return A.Members_ > B.Members_;
  });
  auto Left = static_cast<std::uint32_t>(Step.Tasks_.size());
  for (GangShare &Each : Out) {
    Each.Members_ = std::min(Left, Each.Members_);
    Left -= Each.Members_;
  }
  std::erase_if(Out, [](const GangShare &Each) { return Each.Members_ == 0; });
  return Out;
}

void Cell::Engine::placeGang(StepRun &Step) {
  const auto Size = static_cast<std::uint32_t>(Step.Tasks_.size());
  if (Step.waiting() < Size || !underLimit(Step, Size))
    return; // Members of the last attempt are still ending.
  for (const Task &Each : Step.Tasks_)
    if (Now_ < Each.NotBefore_)
      return;
  std::map<std::string, std::vector<Worker *>> Racks;
  for (Worker *Each : openWorkers(Step))
    Racks[Step.spec().SameRack_ ? Each->Rack_ : ""].push_back(Each);
  for (const bool WithVictims : {false, true}) {
    for (const auto &[Rack, Workers] : Racks) {
      const std::vector<GangShare> Shares =
          divideGang(Step, Workers, WithVictims);
      if (Shares.empty())
        continue;
      if (!WithVictims)
        startGang(Step, Shares);
      else
        for (const GangShare &Each : Shares)
          makeRoom(*Each.On_, Step, Each.Members_);
      return;
    }
  }
  wantAdvice(Step);
}

void Cell::Engine::startGang(StepRun &Step,
                             const std::vector<GangShare> &Shares) {
  const std::uint64_t Attempt = nextAttempt(Step.Tasks_[0], Step.GangStarts_);
  Step.Gang_ = {.Phase_ = GangAttempt::Phase::Gathering,
                .Attempt_ = Attempt,
                .StartedAt_ = Now_};
  Gathering_.push_back(&Step);
  Effects_.push_back(Decision{"gang_started", Step.Name_,
                              std::to_string(Step.Tasks_.size()) +
                                  " members on " +
                                  std::to_string(Shares.size()) + " workers",
                              0, Attempt});
  std::uint32_t Index = 0;
  for (const GangShare &Each : Shares) {
    for (std::uint32_t Member = 0; Member < Each.Members_; ++Member)
      startTask(Step, Index++, *Each.On_, Attempt);
    if (Each.On_->KeptFor_ == &Step)
      Each.On_->KeptFor_ = nullptr;
  }
}

/// A worker says that it runs what it was ordered to start.
void Cell::Engine::confirmStart(Run &Of) {
  if (Of.Phase_ != Run::Phase::Ordered)
    return;
  Of.Phase_ = Run::Phase::Running;
  if (Of.Step_ != nullptr && Of.Step_->spec().Gang_ &&
      Of.Step_->Gang_.holds(Of.Attempt_))
    memberPresent(*Of.Step_);
}

void Cell::Engine::memberPresent(StepRun &Step) {
  ++Step.Gang_.Present_;
  if (Step.Gang_.Present_ == Step.Tasks_.size())
    gangTogether(Step, "all members confirmed");
}

void Cell::Engine::gangTogether(StepRun &Step, std::string_view Why) {
  if (Step.Gang_.Phase_ != GangAttempt::Phase::Gathering)
    return;
  Step.Gang_.Phase_ = GangAttempt::Phase::Together;
  Step.GangPause_ = 0;
  Effects_.push_back(Decision{"gang_together", Step.Name_, std::string(Why),
                              Now_ - Step.Gang_.StartedAt_,
                              Step.Gang_.Attempt_});
}

/// Members make progress only while all are present. One that resumed from a
/// saved state shows that state's progress from the start.
void Cell::Engine::noteProgress(const Run &Of, const RunningEntry &Entry) {
  if (Of.Step_ == nullptr || !Of.Step_->spec().Gang_ ||
      !Of.Step_->Gang_.holds(Entry.Attempt_))
    return;
  const bool Resumed = !Of.Checkpoint_.empty() || !Entry.Checkpoint_.empty();
  const bool Working = Of.Percent_ < 0 ? !Resumed && Entry.Percent_ > 0
                                       : Entry.Percent_ > Of.Percent_;
  if (!Working)
    return;
  Of.Step_->Gang_.Working_ = true;
  gangTogether(*Of.Step_, "a member makes progress");
}

/// Whether a run that a worker lists belongs to an attempt that goes on.
bool Cell::Engine::mayJoin(const StepRun &Step, std::uint64_t Attempt) const {
  if (!Step.spec().Gang_ || Step.Gang_.holds(Attempt))
    return true;
  const GangAttempt::Phase Phase = Step.Gang_.Phase_;
  const bool Open =
      Phase == GangAttempt::Phase::None || Phase == GangAttempt::Phase::Over;
  return Open && !isOwnAttempt(Attempt) && Attempt > Step.Gang_.Attempt_;
}

/// Takes over a member that a former owner started.
void Cell::Engine::joinGang(StepRun &Step, std::uint64_t Attempt) {
  if (!Step.spec().Gang_)
    return;
  if (!Step.Gang_.holds(Attempt)) {
    Step.Gang_ = {.Phase_ = GangAttempt::Phase::Gathering,
                  .Attempt_ = Attempt,
                  .StartedAt_ = Now_,
                  .Inherited_ = true};
    Gathering_.push_back(&Step);
  }
  memberPresent(Step);
}

/// A run has ended, is lost or is to be stopped: its gang cannot go on.
void Cell::Engine::memberGone(const Run &Of, std::string_view Why) {
  if (Of.Step_ != nullptr && Of.Step_->spec().Gang_ &&
      Of.Step_->Gang_.holds(Of.Attempt_))
    callOff(*Of.Step_, Why);
}

void Cell::Engine::callOff(StepRun &Step, std::string_view Why) {
  GangAttempt &Gang = Step.Gang_;
  if (Gang.Phase_ == GangAttempt::Phase::Gathering) {
    Step.GangPause_ =
        std::clamp(2 * Step.GangPause_, FirstGangPause, LongestGangPause);
    Step.Tasks_[0].NotBefore_ = Now_ + Step.GangPause_;
  }
  Gang.Phase_ = GangAttempt::Phase::Over;
  Effects_.push_back(Decision{"gang_called_off", Step.Name_, std::string(Why),
                              Now_ - Gang.StartedAt_, Gang.Attempt_});
  for (std::uint32_t Index = 0; Index < Step.Tasks_.size(); ++Index) {
    Worker *On = Step.Tasks_[Index].Where_;
    if (On == nullptr)
      continue;
    const std::string Name = taskName(Step, Index);
    const auto It = On->Runs_.find(Name);
    if (It != On->Runs_.end() && It->second.Attempt_ == Gang.Attempt_)
      stopRun(*On, Name, It->second, "gang called off");
  }
}

/// A worker does not answer. A gang that works goes on until the worker's lease
/// has ended; of any other the member there may never have come.
void Cell::Engine::callOffUnproven(const Worker &Silent) {
  std::set<StepRun *> Unproven;
  for (const auto &[Name, Each] : Silent.Runs_)
    if (Each.Step_ != nullptr && Each.Step_->spec().Gang_ &&
        Each.Step_->Gang_.holds(Each.Attempt_) && !Each.Step_->Gang_.Working_)
      Unproven.insert(Each.Step_);
  for (StepRun *Step : Unproven)
    callOff(*Step, "a member's worker does not answer");
}

/// Whether no further member of an attempt is to be expected in time. A former
/// owner's attempt gathers none once all workers have answered this owner.
bool Cell::Engine::isOverdue(const GangAttempt &Gang) const {
  const Millis Known = Now_ - Gang.StartedAt_;
  if (!Gang.Inherited_)
    return Known > Limits_.GangTimeout_ / GatherDivisor;
  const bool Waited =
      Now_ - OwnerSince_ > Limits_.GangTimeout_ / InheritedDivisor;
  return !recovering() || (Waited && Known > ListSpread);
}

/// Calls off the attempts that have not gathered in time.
void Cell::Engine::watchGangs() {
  const std::vector<StepRun *> Watched = Gathering_;
  for (StepRun *Step : Watched)
    if (Step->Gang_.Phase_ == GangAttempt::Phase::Gathering &&
        isOverdue(Step->Gang_))
      callOff(*Step, Step->Gang_.Inherited_
                         ? "a former owner's attempt is not whole"
                         : "not all members answered in time");
  std::erase_if(Gathering_, [](const StepRun *Step) {
    return Step->Gang_.Phase_ != GangAttempt::Phase::Gathering;
  });
}

} // namespace oleandergauge::cell
