// Advice: requests through the entry hosts which workers may run a step.

#include <algorithm>
#include <cmath>

#include "cell/engine.h"

namespace oleandergauge::cell {
namespace {

/// Calls with a longer expected duration use only a part of the entry hosts, so
/// that short calls do not wait behind them.
constexpr double LongCallMs = 50; // ms
/// Share of the entry hosts that process long calls.
constexpr double LongHostShare = 0.6;
/// Expected duration of unanswered calls at one entry host above which it
/// receives no further short call.
constexpr double ShortCallBacklogMs = 15; // ms
/// Factor of workers asked over workers needed, for refusals and for room that
/// is taken in the meantime.
constexpr double AskedWorkersMargin = 1.5;
/// Minimum and maximum number of workers that one call names.
constexpr std::size_t MinWorkersAsked = 4;
/// Each call has a fixed base cost, so a call names at least as many workers as
/// cost this share of the base.
constexpr double MinWorkerCostPerBase = 1.0 / 3;
constexpr std::size_t MaxWorkersAsked = 100;
/// Weight of the newest answer in the moving average of allowed workers.
constexpr double AllowedRatioWeight = 0.05;
/// Ratio that is assumed before the first answer.
constexpr double InitialAllowedRatio = 0.5;
/// Margin of a call's timeout over its expected duration.
constexpr Millis AdviceTimeoutSlack = 700;
/// Time after the timeout of a call when its answer counts as lost.
constexpr Millis LostAdviceDelay = 500;
/// Delay before a step without an answer requests advice again.
constexpr Millis AdviceRetryDelay = 40;
/// First pause before a step without room on any worker is considered again.
constexpr Millis FirstNoRoomBackoff = 60;
/// Upper limit of the pause for steps that no worker can run or that are late.
/// The pause doubles up to this limit, so that such steps do not use up
/// MaxAdviceSelections.
constexpr Millis LongestNoRoomBackoff = 1000;
/// Number of steps for which one placement pass may select workers to ask
/// about.
constexpr std::size_t MaxAdviceSelections = 16;

} // namespace

void Cell::Engine::addAdviceHost(const std::string &Host, double Strength) {
  AdviceHosts_[Host].Host_ = Host;
  AdviceHosts_[Host].Strength_ = Strength;
  PlacementNeeded_ = true;
}

void Cell::Engine::removeAdviceHost(const std::string &Host) {
  AdviceHosts_.erase(Host);
  std::vector<Token> Open;
  for (const auto &[Id, Each] : PendingAdvice_)
    if (Each.EntryHost_ == Host)
      Open.push_back(Id);
  for (Token Id : Open)
    handle(AdviceOutcome{Id, false, {}, 0});
}

/// Returns the least loaded entry host for a call of this duration in
/// milliseconds, or null if all suitable ones are busy.
AdviceHost *Cell::Engine::chooseAdviceHost(double Cost) {
  const bool Long = Cost > LongCallMs;
  const auto LongHosts = static_cast<std::size_t>(
      std::ceil(LongHostShare * static_cast<double>(AdviceHosts_.size())));
  AdviceHost *Best = nullptr;
  double BestLoad = 0;
  std::size_t Position = 0;
  for (auto &[Host, Each] : AdviceHosts_) {
    const bool ForLong = Position++ < LongHosts;
    if (Long && (!ForLong || Each.Calls_ > 0))
      continue;
    if (!Long && Each.Backlog_ + Cost > ShortCallBacklogMs && Each.Calls_ > 0)
      continue;
    // Avoids the entry hosts for long calls while others are free.
    const double Load =
        Each.Backlog_ + (!Long && ForLong ? ShortCallBacklogMs : 0);
    if (Best == nullptr || Load < BestLoad) {
      Best = &Each;
      BestLoad = Load;
    }
  }
  return Best;
}

/// Returns whether advice is known for each usable worker.
bool Cell::Engine::hasAdviceOnAllWorkers(const StepRun &Step) const {
  return std::all_of(Workers_.begin(), Workers_.end(), [&](const auto &Each) {
    return Step.Advice_.count(Each.second->Number_) != 0 ||
           !isUsable(*Each.second, Step);
  });
}

/// Removes the advice on a worker that is being forgotten.
void Cell::Engine::dropAdviceOn(const Worker &Gone) {
  for (const auto &[Id, Each] : Jobs_)
    for (const auto &Step : Each->Steps_)
      Step->Advice_.erase(Gone.Number_);
}

/// Returns how many workers a call for the step should name at least.
std::size_t Cell::Engine::minWorkersAsked(const StepRun &Step) const {
  const Queue *JobQueue = queueOf(*Step.Job_);
  if (JobQueue == nullptr || !JobQueue->Advice_ ||
      JobQueue->Advice_->PerWorker_ <= 0)
    return MinWorkersAsked;
  const double WorkersPerBase = JobQueue->Advice_->Base_ *
                                MinWorkerCostPerBase /
                                JobQueue->Advice_->PerWorker_;
  return std::clamp(static_cast<std::size_t>(WorkersPerBase), MinWorkersAsked,
                    MaxWorkersAsked);
}

/// Selects the workers to ask about: allowed workers whose tickets have expired
/// first. If they do not provide enough room, adds workers for which no advice
/// is known. Workers with room go before those where runs would have to be
/// preempted.
Cell::Engine::WorkersToAsk
Cell::Engine::chooseWorkersToAsk(const StepRun &Step) {
  struct Option {
    Worker *Target_;
    std::uint32_t FreeCopies_;
    std::uint32_t Copies_; ///< With the room that preemption can free.
  };
  std::vector<Option> Known;
  std::vector<Option> Unknown;
  std::uint32_t Ticketed = 0; // Tasks that fit on workers with a valid ticket.
  ComparedInPart_ += UsableWorkers_.size();
  for (Worker *Each : UsableWorkers_) {
    if (!suits(*Each, Step))
      continue;
    const std::uint32_t Free = maxCopiesOn(*Each, Step, false);
    const std::uint32_t Copies = maxCopiesOn(*Each, Step, true);
    const auto Advice = Step.Advice_.find(Each->Number_);
    if (Advice == Step.Advice_.end())
      Unknown.push_back({Each, Free, Copies});
    else if (Advice->second.Allowed_ && Now_ < Advice->second.ValidUntil_)
      Ticketed += Copies;
    else if (Advice->second.Allowed_ && Copies > 0)
      Known.push_back({Each, Free, Copies});
  }
  auto MoreCopies = [](const Option &A, const Option &B) {
    return std::tie(A.FreeCopies_, A.Copies_, A.Target_->Number_) >
           std::tie(B.FreeCopies_, B.Copies_, B.Target_->Number_);
  };
  std::sort(Known.begin(), Known.end(), MoreCopies);
  std::sort(Unknown.begin(), Unknown.end(), MoreCopies);
  const bool Gang = Step.spec().Gang_;
  const std::uint32_t Wanted = Step.waiting();
  WorkersToAsk Out;
  const auto Add = [&Out](const Option &Each) {
    Out.Workers_.push_back(Each.Target_);
    Out.HaveRoom_ = Out.HaveRoom_ || Each.FreeCopies_ > 0;
  };
  std::uint32_t Have = Gang ? Ticketed : 0;
  for (const Option &Each : Known) {
    if (Have >= Wanted + Wanted / 4 && Have > 0)
      break;
    Have += Each.Copies_;
    Add(Each);
  }
  if (Have >= Wanted || (!Gang && Have > 0))
    return Out;
  const bool First = Step.Advice_.empty();
  if (!First && (Unknown.empty() || Unknown.front().Copies_ == 0))
    return Gang ? WorkersToAsk{} : Out;
  auto &Ratio =
      AllowedRatio_.try_emplace(Step.Job_->Queue_, InitialAllowedRatio)
          .first->second;
  const std::size_t Least = minWorkersAsked(Step);
  double Expected = Have;
  std::size_t Asked = 0;
  for (const Option &Each : Unknown) {
    if (Out.Workers_.size() >= MaxWorkersAsked ||
        (Asked >= Least && Expected >= Wanted * AskedWorkersMargin))
      break;
    Expected += std::max<std::uint32_t>(1, Each.Copies_) * Ratio;
    Add(Each);
    ++Asked;
  }
  return Out;
}

/// Requests advice on workers with room before runs are preempted for the step,
/// if an answer is expected sooner than the end of a stop. Returns whether
/// preemption has to wait for it.
bool Cell::Engine::askBeforePreemption(StepRun &Step) {
  const Queue *JobQueue = queueOf(*Step.Job_);
  if (JobQueue == nullptr || !JobQueue->Advice_)
    return false;
  const AdviceCost &Rates = *JobQueue->Advice_;
  const double Cost =
      Rates.Base_ +
      Rates.PerWorker_ * static_cast<double>(minWorkersAsked(Step));
  if (Cost > static_cast<double>(Limits_.StopTime_) / 2)
    return false;
  const bool Asking = Step.AdviceToken_ != 0 || (Now_ < Step.AdviceNotBefore_ &&
                                                 Step.NoRoomBackoff_ == 0);
  return Asking ? Step.AskedFreeWorkers_ : requestAdvice(Step);
}

/// Requests advice for a step if its queue needs it and no call is pending.
/// Returns whether a call was made that names workers with room.
bool Cell::Engine::requestAdvice(StepRun &Step) {
  const Queue *JobQueue = queueOf(*Step.Job_);
  if (JobQueue == nullptr || !JobQueue->Advice_ || Step.AdviceToken_ != 0 ||
      Now_ < Step.AdviceNotBefore_ || !Step.Ready_)
    return false;
  if (!Step.Job_->Stored_ && !Step.Advice_.empty())
    return false;
  const AdviceCost &Rates = *JobQueue->Advice_;
  if (AdviceSelections_ >= MaxAdviceSelections ||
      chooseAdviceHost(Rates.Base_) == nullptr)
    return false; // The answer to a pending call triggers another pass.
  ++AdviceSelections_;
  const WorkersToAsk Chosen = chooseWorkersToAsk(Step);
  const std::vector<Worker *> &Asked = Chosen.Workers_;
  if (Asked.empty()) {
    const bool OnTime = !Step.Advice_.empty() && Now_ <= Step.Objective_;
    const Millis Longest = OnTime ? FirstNoRoomBackoff : LongestNoRoomBackoff;
    Step.NoRoomBackoff_ =
        std::clamp(2 * Step.NoRoomBackoff_, FirstNoRoomBackoff, Longest);
    Step.AdviceNotBefore_ = Now_ + Step.NoRoomBackoff_;
    return false;
  }
  Step.NoRoomBackoff_ = 0;
  const double Cost =
      Rates.Base_ + Rates.PerWorker_ * static_cast<double>(Asked.size());
  AdviceHost *ChosenHost = chooseAdviceHost(Cost);
  if (ChosenHost == nullptr)
    return false;
  const Token Id = NextToken_++;
  PendingAdvice &Open = PendingAdvice_[Id];
  Open.Step_ = &Step;
  Open.EntryHost_ = ChosenHost->Host_;
  Open.Cost_ = Cost;
  AskAdvice Out{Id, ChosenHost->Host_, Step.Name_, {}, 0};
  for (const Worker *Each : Asked)
    Out.Workers_.push_back(Each->Id_);
  Open.Workers_ = Out.Workers_;
  Out.Timeout_ =
      static_cast<Millis>(ChosenHost->Backlog_ + 2 * Cost) + AdviceTimeoutSlack;
  Open.ExpiresAt_ = Now_ + Out.Timeout_ + LostAdviceDelay;
  ++ChosenHost->Calls_;
  ChosenHost->Backlog_ += Cost;
  Step.AdviceToken_ = Id;
  Step.AskedFreeWorkers_ = Chosen.HaveRoom_;
  Effects_.push_back(std::move(Out));
  return Chosen.HaveRoom_;
}

/// Gives up calls whose answer is overdue. An answer is lost if the connection
/// to the entry host, or the one to a former owner, breaks.
void Cell::Engine::expireAdvice() {
  std::vector<Token> Lost;
  for (const auto &[Id, Each] : PendingAdvice_)
    if (Now_ > Each.ExpiresAt_)
      Lost.push_back(Id);
  for (const Token Id : Lost) {
    Effects_.push_back(
        Decision{"advice_lost", PendingAdvice_[Id].EntryHost_, "no answer", 0});
    handle(AdviceOutcome{Id, false, {}, 0});
  }
}

void Cell::Engine::handle(const AdviceOutcome &Outcome) {
  const auto It = PendingAdvice_.find(Outcome.Token_);
  if (It == PendingAdvice_.end())
    return;
  const PendingAdvice Open = It->second;
  PendingAdvice_.erase(It);
  PlacementNeeded_ = true;
  const auto ChosenHost = AdviceHosts_.find(Open.EntryHost_);
  if (ChosenHost != AdviceHosts_.end()) {
    --ChosenHost->second.Calls_;
    ChosenHost->second.Backlog_ =
        ChosenHost->second.Calls_ == 0
            ? 0
            : std::max(0.0, ChosenHost->second.Backlog_ - Open.Cost_);
  }
  if (Open.Step_ == nullptr)
    return;
  StepRun &Step = *Open.Step_;
  Step.AdviceToken_ = 0;
  if (!Outcome.Answered_) {
    Step.AdviceNotBefore_ = Now_ + AdviceRetryDelay;
    return;
  }
  for (const std::string &Id : Open.Workers_)
    if (Worker *Target = findWorker(Id))
      Step.Advice_[Target->Number_] = {Target, false, {}, 0};
  for (const auto &[Id, Ticket] : Outcome.Tickets_)
    if (Worker *Target = findWorker(Id))
      Step.Advice_[Target->Number_] = {Target, true, Ticket,
                                       Now_ + Outcome.Valid_};
  // All tickets of a gang have to be valid at the same time. A gang therefore
  // asks without a pause until it has advice on all usable workers.
  if (!Step.spec().Gang_ || hasAdviceOnAllWorkers(Step))
    Step.AdviceNotBefore_ =
        Now_ +
        std::min<Millis>(Outcome.Valid_, static_cast<Millis>(Open.Cost_));
  auto &Ratio =
      AllowedRatio_.try_emplace(Step.Job_->Queue_, InitialAllowedRatio)
          .first->second;
  const double NewestRatio = static_cast<double>(Outcome.Tickets_.size()) /
                             static_cast<double>(Open.Workers_.size());
  Ratio = std::max(0.02, Ratio + AllowedRatioWeight * (NewestRatio - Ratio));
}

} // namespace oleandergauge::cell
