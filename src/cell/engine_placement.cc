// Placement: the order of waiting steps and the choice of workers.

#include <algorithm>
#include <tuple>

#include "cell/engine.h"

namespace oleandergauge::cell {
namespace {

/// Pause between two passes over the waiting steps.
constexpr Millis PlacePause = 4;
/// Part of each worker's processors that only work of the first priority may
/// use, so that short work need not wait for the end of long work.
constexpr double UrgentShare = 0.10;
/// Waiting steps that a pass looks at in about a millisecond, for longer
/// pauses between longer passes.
constexpr std::size_t StepsPerMilli = 40;
/// Time for which room that is being freed is kept for the step it is for.
constexpr Millis KeepTime = 700;
/// Attempts of one epoch; a next owner numbers above them.
constexpr std::uint64_t AttemptsPerEpoch = 1U << 16;

} // namespace

bool Cell::Engine::usable(const Worker &On, const StepRun &For) const {
  if (!On.Listed_ || On.Draining_ || On.Vacating_ || !On.Reachable_ ||
      !On.Settled_ || !On.Recorded_ || Now_ < On.QuarantineUntil_ ||
      Withdrawn_.count(On.Domain_) != 0)
    return false;
  const Queue *Of = queueOf(*For.Job_);
  if (Of == nullptr || Of->Service_ != On.Service_)
    return false;
  const std::string &Label = For.spec().RequiredLabel_;
  return Label.empty() || On.hasLabel(Label);
}

Resources Cell::Engine::freeFor(const Worker &On, const StepRun &For) const {
  Resources Free = On.Capacity_ - On.Used_;
  const int Priority = priorityOf(For);
  // A gang needs all its room at once, so that nothing may slip in.
  if (On.KeptFor_ != nullptr && On.KeptFor_ != &For && Now_ < On.KeptUntil_ &&
      (Priority >= priorityOf(*On.KeptFor_) || On.KeptFor_->spec().Gang_))
    return {};
  // A step that is late takes the reserve too, so that none waits for ever.
  if (Priority > FirstPriority_ && !For.spec().Service_ &&
      Now_ < For.LatestStart_) {
    const auto Kept = static_cast<std::int64_t>(
        UrgentShare * static_cast<double>(On.Capacity_.CpuMilli_));
    Free.CpuMilli_ -= std::max<std::int64_t>(0, Kept - On.UrgentCpu_);
  }
  return Free;
}

/// Its state is saved when it is stopped, so that little work is lost.
bool Cell::Engine::yields(const Run &Victim) const {
  if (Victim.Phase_ != Run::Phase::Running || Victim.Step_ == nullptr)
    return false;
  const StepSpec &Spec = Victim.Step_->spec();
  return Spec.Checkpointed_ && !Spec.Gang_ && !Spec.Service_;
}

/// The least priority number that yields; to a service all saved work does.
int Cell::Engine::firstYielding(const StepRun &For) const {
  return For.spec().Service_ ? FirstPriority_ : priorityOf(For) + 1;
}

bool Cell::Engine::preempts(const StepRun &For, const Run &Victim) const {
  return Victim.Priority_ >= firstYielding(For) && yields(Victim);
}

void Cell::Engine::sumRuns() {
  for (auto &[Id, Each] : Workers_) {
    Each->Ending_ = {};
    Each->Yielding_.clear();
    for (const auto &[Name, Run] : Each->Runs_) {
      if (Run.Phase_ == Run::Phase::Stopping)
        Each->Ending_ = Each->Ending_ + Run.Need_;
      else if (yields(Run))
        Each->Yielding_[Run.Priority_] =
            Each->Yielding_[Run.Priority_] + Run.Need_;
    }
  }
}

/// What runs on the worker that \p For may displace, and what is ending.
Resources Cell::Engine::victimRoom(const Worker &On, const StepRun &For) const {
  Resources Out = On.Ending_;
  const auto First = On.Yielding_.lower_bound(firstYielding(For));
  for (auto It = First; It != On.Yielding_.end(); ++It)
    Out = Out + It->second;
  return Out;
}

/// Workers on which the step may start now, if there is room.
std::vector<Worker *> Cell::Engine::openWorkers(const StepRun &For) {
  std::vector<Worker *> Out;
  const Queue *Of = queueOf(*For.Job_);
  if (Of == nullptr)
    return Out;
  if (!Of->Advice_) {
    for (const auto &[Id, Each] : Workers_)
      if (usable(*Each, For))
        Out.push_back(Each.get());
    return Out;
  }
  for (const auto &[Id, Each] : For.Advice_) {
    if (!Each.Allowed_ || Now_ >= Each.ValidUntil_)
      continue;
    Worker *On = findWorker(Id);
    if (On != nullptr && usable(*On, For))
      Out.push_back(On);
  }
  return Out;
}

std::uint32_t Cell::Engine::copiesOn(const Worker &On, const StepRun &For,
                                     bool WithVictims) const {
  Resources Free = freeFor(On, For);
  if (WithVictims && !(Free == Resources{}))
    Free = Free + victimRoom(On, For);
  const StepSpec &Spec = For.spec();
  std::int64_t Copies = static_cast<std::int64_t>(For.Tasks_.size());
  if (!Spec.Fill_ && Spec.Need_.CpuMilli_ > 0)
    Copies = std::min(Copies, Free.CpuMilli_ / Spec.Need_.CpuMilli_);
  if (Spec.Need_.MemoryMib_ > 0)
    Copies = std::min(Copies, Free.MemoryMib_ / Spec.Need_.MemoryMib_);
  if (Spec.Need_.Accelerators_ > 0)
    Copies = std::min<std::int64_t>(Copies, Free.Accelerators_ /
                                                Spec.Need_.Accelerators_);
  if (Spec.MaxPerWorker_ > 0) {
    std::int64_t Here = 0;
    for (const auto &[Name, Each] : On.Runs_)
      Here += Each.Step_ == &For ? 1 : 0;
    Copies = std::min(Copies, std::int64_t{Spec.MaxPerWorker_} - Here);
  }
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, Copies));
}

bool Cell::Engine::underLimit(const StepRun &For, std::uint32_t Copies) const {
  const Team *Of = State_ ? findTeam(*State_, For.Job_->Team_) : nullptr;
  if (Of == nullptr)
    return true;
  const auto Use = TeamUse_.find(Of->Name_);
  const Resources Now = Use == TeamUse_.end() ? Resources{} : Use->second;
  const Resources &Need = For.spec().Need_;
  const Resources &Most = Of->Limit_;
  auto Within = [&](std::int64_t Used, std::int64_t Each, std::int64_t Limit) {
    return Limit == 0 || Used + Each * Copies <= Limit;
  };
  return Within(Now.CpuMilli_, Need.CpuMilli_, Most.CpuMilli_) &&
         Within(Now.MemoryMib_, Need.MemoryMib_, Most.MemoryMib_) &&
         Within(Now.Accelerators_, Need.Accelerators_, Most.Accelerators_);
}

std::uint64_t Cell::Engine::nextAttempt(Task &Of,
                                        std::uint32_t &Counter) const {
  ++Counter;
  Of.Starts_ = std::max(Of.Starts_, Counter);
  return (Epoch_ - 1) * AttemptsPerEpoch + Counter;
}

/// Whether this owner began a run, not a former one.
bool Cell::Engine::isOwnAttempt(std::uint64_t Attempt) const {
  return Attempt > (Epoch_ - 1) * AttemptsPerEpoch;
}

void Cell::Engine::startTask(StepRun &Step, std::uint32_t Index, Worker &On,
                             std::uint64_t Attempt) {
  Task &Of = Step.Tasks_[Index];
  Of.Phase_ = Task::Phase::Active;
  Of.Where_ = &On;
  ++Step.ActiveCount_;
  if (!Step.Job_->Started_)
    measure("job_wait", *Step.Job_);
  Step.Job_->Started_ = true;
  Run Made;
  Made.Step_ = &Step;
  Made.Index_ = Index;
  Made.Attempt_ = Attempt;
  Made.Need_ = Step.spec().Need_;
  Made.TeamNeed_ = Made.Need_;
  if (Step.spec().Fill_)
    Made.Need_.CpuMilli_ = 0;
  Made.OrderedAt_ = Now_;
  Made.Checkpoint_ = Of.Checkpoint_;
  const auto Known = Step.Advice_.find(On.Id_);
  if (Known != Step.Advice_.end())
    Made.Ticket_ = Known->second.Ticket_;
  const std::string Name = taskName(Step, Index);
  addRun(On, Name, std::move(Made));
  Effects_.push_back(
      Decision{"task_start", Name, On.Id_, Now_ - On.ClockAt_, Attempt});
  sendStart(On, Name, On.Runs_[Name]);
}

/// Stops victims on \p On until \p Copies tasks of \p For will fit, and keeps
/// the room. Returns how many will fit.
std::uint32_t Cell::Engine::makeRoom(Worker &On, StepRun &For,
                                     std::uint32_t Copies) {
  const Resources &Need = For.spec().Need_;
  Resources Free = freeFor(On, For);
  std::vector<std::string> Victims;
  for (auto &[Name, Each] : On.Runs_)
    if (Each.Phase_ == Run::Phase::Stopping)
      Free = Free + Each.Need_;
  auto Fitting = [&] {
    std::uint32_t Out = 0;
    Resources Left = Free;
    while (Out < Copies && fits(Need, Left)) {
      Left = Left - Need;
      ++Out;
    }
    return Out;
  };
  for (auto &[Name, Each] : On.Runs_) {
    if (Fitting() >= Copies)
      break;
    if (!preempts(For, Each))
      continue;
    Free = Free + Each.Need_;
    Victims.push_back(Name);
  }
  const std::uint32_t Out = Fitting();
  if (Out == 0)
    return 0;
  for (const std::string &Name : Victims)
    stopRun(On, Name, On.Runs_[Name], "preempted");
  On.KeptFor_ = &For;
  On.KeptUntil_ = Now_ + KeepTime;
  return Out;
}

/// True where a task with a goal for its tail runs.
bool Cell::Engine::serves(const Worker &On) const {
  return std::any_of(On.Runs_.begin(), On.Runs_.end(), [](const auto &Each) {
    return Each.second.Step_ != nullptr &&
           Each.second.Step_->spec().TailGoal_ > 0;
  });
}

void Cell::Engine::placeTasks(StepRun &Step) {
  const std::vector<Worker *> Open = openWorkers(Step);
  const StepSpec &Spec = Step.spec();
  std::uint32_t Left = Step.waiting();
  for (std::uint32_t Index = 0; Index < Step.Tasks_.size() && Left > 0;
       ++Index) {
    Task &Of = Step.Tasks_[Index];
    if (Of.Phase_ != Task::Phase::Waiting || Now_ < Of.NotBefore_)
      continue;
    if (!underLimit(Step, 1))
      return;
    Worker *Best = nullptr;
    std::pair<bool, std::int64_t> BestScore;
    for (Worker *Each : Open) {
      if (copiesOn(*Each, Step, false) == 0)
        continue;
      const bool Far = (!Spec.PreferredRack_.empty() &&
                        Each->Rack_ != Spec.PreferredRack_) ||
                       (Spec.Fill_ && serves(*Each));
      const std::pair Score{Far,
                            Each->Capacity_.CpuMilli_ - Each->Used_.CpuMilli_};
      if (Best == nullptr || Score < BestScore) {
        Best = Each;
        BestScore = Score;
      }
    }
    if (Best == nullptr)
      break;
    startTask(Step, Index, *Best, nextAttempt(Of, Of.Starts_));
    --Left;
  }
  if (Left == 0)
    return;
  for (Worker *Each : Open) {
    if (Left == 0)
      return;
    if (Each->KeptFor_ == &Step && Now_ < Each->KeptUntil_) {
      --Left; // Its room is being freed.
      continue;
    }
    const std::uint32_t Copies = copiesOn(*Each, Step, true);
    if (Copies > 0)
      Left -= std::min(Left, makeRoom(*Each, Step, std::min(Left, Copies)));
  }
  if (Left > 0)
    wantAdvice(Step);
}

void Cell::Engine::placeStep(StepRun &Step) {
  if (!Step.Job_->Stored_ || (Step.Job_->Inherited_ && recovering())) {
    if (!Step.Job_->Stored_)
      wantAdvice(Step);
    return;
  }
  if (Step.spec().Gang_)
    placeGang(Step);
  else
    placeTasks(Step);
}

void Cell::Engine::collectReady() {
  Ready_.erase(std::remove_if(Ready_.begin(), Ready_.end(),
                              [](const StepRun *Each) {
                                return Each->DoneCount_ == Each->Tasks_.size();
                              }),
               Ready_.end());
  // Work that can still meet its objective goes first, then what is late, then
  // what earns nothing any more; within each by priority, so that a cell with
  // too much work serves the urgent, and then the most pressing first.
  auto Key = [this](const StepRun *Each) {
    const Job &Of = *Each->Job_;
    int Class = 0;
    if (Each->spec().Service_)
      Class = -1; // Its users wait, however full the workers are.
    else if (Of.OverShare_ || Now_ > Each->Objective_ + 2 * Of.Span_)
      Class = 2;
    else if (Now_ > Each->Objective_)
      Class = 1;
    return std::tuple(Class, priorityOf(*Each), Each->LatestStart_,
                      std::string_view(Each->Name_));
  };
  std::sort(
      Ready_.begin(), Ready_.end(),
      [&](const StepRun *A, const StepRun *B) { return Key(A) < Key(B); });
}

void Cell::Engine::place() {
  if (!PlaceWanted_ || !Authorized_ || Now_ < NextPlace_)
    return;
  PlaceWanted_ = false;
  AskChoices_ = 0;
  sumRuns();
  collectReady();
  NextPlace_ =
      Now_ + PlacePause + static_cast<Millis>(Ready_.size() / StepsPerMilli);
  const std::vector<StepRun *> Order = Ready_;
  for (StepRun *Step : Order)
    if (Step->waiting() > 0)
      placeStep(*Step);
}

} // namespace oleandergauge::cell
