// Gangs: tasks that work only together, under one run number.

#include <algorithm>

#include "cell/engine.h"

namespace oleandergauge::cell {

/// Divides a gang among \p Workers, those that hold most of it first. Empty
/// where they cannot hold all of it.
std::vector<GangShare>
Cell::Engine::divideGang(const StepRun &Step,
                         const std::vector<Worker *> &Workers,
                         bool WithVictims) const {
  std::vector<GangShare> Out;
  std::size_t Room = 0;
  for (Worker *Each : Workers) {
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
  Step.Gang_ = {Attempt, Now_, 0};
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
  if (Of.Step_ == nullptr || !Of.Step_->spec().Gang_)
    return;
  GangAttempt &Gang = Of.Step_->Gang_;
  if (Gang.Attempt_ != Of.Attempt_)
    return;
  ++Gang.Present_;
  if (Gang.Present_ == Of.Step_->Tasks_.size())
    Effects_.push_back(Decision{"gang_together", Of.Step_->Name_,
                                "all members confirmed", Now_ - Gang.StartedAt_,
                                Gang.Attempt_});
}

} // namespace oleandergauge::cell
