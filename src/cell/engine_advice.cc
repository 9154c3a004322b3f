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
constexpr double LongHostShare = 0.8;
/// Expected duration of unanswered calls at one entry host above which it
/// receives no further short call.
constexpr double ShortCallBacklogMs = 15; // ms
/// Factor of workers asked over workers needed, for refusals and for room that
/// is taken in the meantime.
constexpr double AskedWorkersMargin = 1.5;
/// The same factor for a gang while few entry hosts are in use. Only free room
/// counts then, so that the gang is likely to start without preemption.
constexpr double AskedWorkersIdleMargin = 2.5;
/// Share of the entry hosts for long calls up to which few are in use.
constexpr double FewHostsShare = 0.5;
/// Largest share of the entry hosts for long calls that the calls of one queue
/// may use, so that the work of no queue waits for those of another.
constexpr double MaxQueueShare = 0.6;
/// A gang asks about no further workers while entry hosts are scarce, if the
/// workers that may run it could hold it this many times when empty. It waits
/// for room on these instead.
constexpr std::uint32_t EnoughCapacityFactor = 4;
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
/// Time that messages add to a call.
constexpr Millis AdviceLatency = 50;
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

/// Returns the number of hosts in a share of \p Count, at least one.
std::size_t shareOf(double Share, std::size_t Count) {
  return static_cast<std::size_t>(
      std::ceil(Share * static_cast<double>(Count)));
}

/// Returns the number of entry hosts that may process long calls: all but one
/// at most, unless there is only one.
std::size_t longHostsOf(std::size_t Count) {
  const std::size_t Share = shareOf(LongHostShare, Count);
  return Count > 1 ? std::min(Share, Count - 1) : Share;
}

/// Returns the number of workers that a call may name. The calls for a gang
/// run side by side, so that each takes at most twice its base cost.
std::size_t maxWorkersInCall(const AdviceCost &Rates) {
  if (Rates.PerWorker_ <= 0)
    return MaxWorkersAsked;
  return std::clamp(static_cast<std::size_t>(Rates.Base_ / Rates.PerWorker_),
                    MinWorkersAsked, MaxWorkersAsked);
}

/// Orders workers by room, those with most room first.
bool hasMoreRoom(const GangOption &A, const GangOption &B) {
  return std::tie(A.Free_, A.Total_, A.Target_->Number_) >
         std::tie(B.Free_, B.Total_, B.Target_->Number_);
}

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
AdviceHost *Cell::Engine::chooseAdviceHost(double Cost,
                                           const std::string &Queue) {
  const bool Long = Cost > LongCallMs;
  const std::size_t LongHosts = longHostsOf(AdviceHosts_.size());
  if (Long && LongCalls_[Queue] >= shareOf(MaxQueueShare, LongHosts))
    return nullptr;
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

/// Removes the advice on a worker that is being forgotten.
void Cell::Engine::dropAdviceOn(const Worker &Gone) {
  for (const auto &[Id, Each] : Jobs_)
    for (const auto &Step : Each->Steps_) {
      Step->Allowed_.erase(Gone.Number_);
      Step->Refused_.erase(Gone.Number_);
    }
}

/// Ends the validity of the tickets of a worker that has restarted. The steps
/// that it may run stay the same.
void Cell::Engine::dropTicketsOn(const Worker &Restarted) {
  for (const auto &[Id, Each] : Jobs_)
    for (const auto &Step : Each->Steps_) {
      const auto Found = Step->Allowed_.find(Restarted.Number_);
      if (Found != Step->Allowed_.end())
        Found->second.ValidUntil_ = 0;
    }
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

/// Selects the workers to ask about for single tasks. Allowed workers with room
/// whose tickets have expired go first, then workers with room of which nothing
/// is known. If these do not suffice, adds allowed workers without room, so
/// that the step holds tickets for room that becomes free. Otherwise all
/// waiting steps would ask about the same few workers with room.
Cell::Engine::WorkersToAsk
Cell::Engine::chooseWorkersToAsk(const StepRun &Step) {
  std::vector<GangOption> Known;
  std::vector<GangOption> Unknown;
  ++AdviceSelections_;
  ComparedInPart_ += UsableWorkers_.size();
  for (Worker *Each : UsableWorkers_) {
    if (!suits(*Each, Step))
      continue;
    const GangOption Option{Each, 0, maxCopiesOn(*Each, Step, false),
                            maxCopiesOn(*Each, Step, true), false};
    const auto Permitted = Step.Allowed_.find(Each->Number_);
    if (!Step.hasAdviceOn(Each->Number_))
      Unknown.push_back(Option);
    else if (Permitted != Step.Allowed_.end() &&
             Now_ >= Permitted->second.ValidUntil_)
      Known.push_back(Option);
  }
  std::sort(Known.begin(), Known.end(), hasMoreRoom);
  std::sort(Unknown.begin(), Unknown.end(), hasMoreRoom);
  const std::size_t Most = maxWorkersInCall(*queueOf(*Step.Job_)->Advice_);
  const std::size_t Least = minWorkersAsked(Step);
  const double Wanted = Step.waiting() * AskedWorkersMargin;
  const double Ratio = allowedRatioOf(Step);
  const bool First = !Step.hasAdvice();
  WorkersToAsk Out;
  double Expected = 0;
  const auto Add = [&](const GangOption &Each, double Share) {
    Out.Workers_.push_back(Each.Target_);
    Out.HaveRoom_ = Out.HaveRoom_ || Each.Free_ > 0;
    Expected += std::max(1U, Each.Total_) * Share;
  };
  auto NextKnown = Known.begin();
  for (; NextKnown != Known.end() && NextKnown->Total_ > 0 &&
         Expected < Wanted && Out.Workers_.size() < Most;
       ++NextKnown)
    Add(*NextKnown, 1);
  for (const GangOption &Each : Unknown) {
    const bool Enough = Out.Workers_.size() >= Least && Expected >= Wanted;
    if (Enough || Out.Workers_.size() >= Most || (!First && Each.Total_ == 0))
      break;
    Add(Each, Ratio);
  }
  for (; NextKnown != Known.end() && Expected < Wanted &&
         Out.Workers_.size() < Most;
       ++NextKnown)
    Add(*NextKnown, 0);
  return Out;
}

/// Returns the expected share of workers that may run a step of its queue.
double &Cell::Engine::allowedRatioOf(const StepRun &Step) {
  return AllowedRatio_.try_emplace(Step.Job_->Queue_, InitialAllowedRatio)
      .first->second;
}

/// Returns whether an answer about further workers is expected sooner than the
/// end of a stop.
bool Cell::Engine::isAdviceQuick(const StepRun &Step) const {
  const Queue *JobQueue = queueOf(*Step.Job_);
  if (JobQueue == nullptr || !JobQueue->Advice_)
    return false;
  const AdviceCost &Rates = *JobQueue->Advice_;
  const double Cost =
      Rates.Base_ +
      Rates.PerWorker_ * static_cast<double>(minWorkersAsked(Step));
  return Cost <= static_cast<double>(Limits_.StopTime_) / 2;
}

/// Requests advice on workers with room before runs are preempted for the step,
/// if the answer is expected sooner than the room. Returns whether preemption
/// has to wait for it.
bool Cell::Engine::askBeforePreemption(StepRun &Step) {
  if (!isAdviceQuick(Step))
    return false;
  const bool Asking =
      !Step.AdviceCalls_.empty() ||
      (Now_ < Step.AdviceNotBefore_ && Step.NoRoomBackoff_ == 0);
  return Asking ? Step.AskedFreeWorkers_ : requestAdvice(Step);
}

/// Returns whether the step may select workers to ask about in this part of the
/// pass.
bool Cell::Engine::mayRequestAdvice(const StepRun &Step) {
  const Queue *JobQueue = queueOf(*Step.Job_);
  if (JobQueue == nullptr || !JobQueue->Advice_ ||
      Now_ < Step.AdviceNotBefore_ || !Step.Ready_)
    return false;
  if (!Step.Job_->Stored_ && (Step.hasAdvice() || !Step.AdviceCalls_.empty()))
    return false;
  const bool Worthless = Step.Urgency_.Class_ == Urgency::Class::Worthless;
  if (Worthless && CallsLackHosts_)
    return false;
  // The answer to a pending call triggers another pass.
  const bool Possible =
      AdviceSelections_ < MaxAdviceSelections &&
      chooseAdviceHost(JobQueue->Advice_->Base_, JobQueue->Name_) != nullptr;
  CallsLackHosts_ = CallsLackHosts_ || (!Worthless && !Possible);
  return Possible;
}

/// Requests advice for single tasks if their queue needs it and no call is
/// pending. Returns whether a call was made that names workers with room.
bool Cell::Engine::requestAdvice(StepRun &Step) {
  if (!Step.AdviceCalls_.empty() || !mayRequestAdvice(Step))
    return false;
  const WorkersToAsk Chosen = chooseWorkersToAsk(Step);
  if (Chosen.Workers_.empty()) {
    backOffWithoutRoom(Step);
    return false;
  }
  Step.NoRoomBackoff_ = 0;
  if (!sendAdviceCall(Step, Chosen.Workers_))
    return false;
  Step.AskedFreeWorkers_ = Chosen.HaveRoom_;
  return Chosen.HaveRoom_;
}

/// Lets a step wait for which no worker is worth asking about.
void Cell::Engine::backOffWithoutRoom(StepRun &Step) {
  const bool OnTime = Step.hasAdvice() && Now_ <= Step.Objective_;
  const Millis Longest = OnTime ? FirstNoRoomBackoff : LongestNoRoomBackoff;
  Step.NoRoomBackoff_ =
      std::clamp(2 * Step.NoRoomBackoff_, FirstNoRoomBackoff, Longest);
  Step.AdviceNotBefore_ = Now_ + Step.NoRoomBackoff_;
}

/// Makes one call for the step. Returns whether an entry host was free for it.
bool Cell::Engine::sendAdviceCall(StepRun &Step,
                                  const std::vector<Worker *> &Asked) {
  const AdviceCost &Rates = *queueOf(*Step.Job_)->Advice_;
  const double Cost =
      Rates.Base_ + Rates.PerWorker_ * static_cast<double>(Asked.size());
  AdviceHost *ChosenHost = chooseAdviceHost(Cost, Step.Job_->Queue_);
  if (ChosenHost == nullptr)
    return false;
  const Token Id = NextToken_++;
  PendingAdvice &Open = PendingAdvice_[Id];
  Open.Step_ = &Step;
  Open.EntryHost_ = ChosenHost->Host_;
  Open.Cost_ = Cost;
  Open.Queue_ = Step.Job_->Queue_;
  if (Cost > LongCallMs)
    ++LongCalls_[Open.Queue_];
  AskAdvice Out{Id, ChosenHost->Host_, Step.Name_, {}, 0};
  for (const Worker *Each : Asked) {
    Out.Workers_.push_back(Each->Id_);
    Step.AskedWorkers_.insert(Each->Id_);
  }
  Open.Workers_ = Out.Workers_;
  Out.Timeout_ =
      static_cast<Millis>(ChosenHost->Backlog_ + 2 * Cost) + AdviceTimeoutSlack;
  Open.ExpiresAt_ = Now_ + Out.Timeout_ + LostAdviceDelay;
  ++ChosenHost->Calls_;
  ChosenHost->Backlog_ += Cost;
  Step.AdviceCalls_.push_back(Id);
  Effects_.push_back(std::move(Out));
  return true;
}

/// Asks about the workers in calls of equal size through several entry hosts,
/// so that the answers arrive together and their tickets are valid at the same
/// time. Returns whether all calls were made.
bool Cell::Engine::sendAdviceCalls(StepRun &Step,
                                   const std::vector<Worker *> &Asked) {
  if (Asked.empty())
    return true;
  const std::size_t Most = maxWorkersInCall(*queueOf(*Step.Job_)->Advice_);
  const std::size_t Calls = (Asked.size() + Most - 1) / Most;
  auto First = Asked.begin();
  for (std::size_t Call = 0; Call < Calls; ++Call) {
    const std::size_t Left = static_cast<std::size_t>(Asked.end() - First);
    const std::size_t Size = (Left + Calls - Call - 1) / (Calls - Call);
    const auto Last = First + static_cast<std::ptrdiff_t>(Size);
    if (!sendAdviceCall(Step, {First, Last}))
      return false;
    First = Last;
  }
  return true;
}

/// Returns the expected time until calls that name \p Count workers are
/// answered.
Millis Cell::Engine::adviceCallTime(const StepRun &Step,
                                    std::size_t Count) const {
  const AdviceCost &Rates = *queueOf(*Step.Job_)->Advice_;
  const std::size_t Size = std::min(Count, maxWorkersInCall(Rates));
  return static_cast<Millis>(Rates.Base_ +
                             Rates.PerWorker_ * static_cast<double>(Size)) +
         AdviceLatency;
}

/// Returns whether few entry hosts have calls without an answer.
bool Cell::Engine::areFewHostsAsked() const {
  const auto Busy =
      std::count_if(AdviceHosts_.begin(), AdviceHosts_.end(),
                    [](const auto &Each) { return Each.second.Calls_ > 0; });
  return static_cast<double>(Busy) <
         FewHostsShare * LongHostShare *
             static_cast<double>(AdviceHosts_.size());
}

/// Returns the workers that no call for the gang has named so far, those with
/// most room first.
std::vector<Worker *> Cell::Engine::unknownWorkersForGang(const StepRun &Step) {
  std::vector<GangOption> Options;
  ++AdviceSelections_;
  ComparedInPart_ += UsableWorkers_.size();
  const bool First = !Step.hasAdvice();
  for (Worker *Each : UsableWorkers_) {
    if (Step.hasAdviceOn(Each->Number_) ||
        Step.AskedWorkers_.count(Each->Id_) != 0 || !suits(*Each, Step))
      continue;
    const std::uint32_t Total = maxCopiesOn(*Each, Step, true);
    if (Total > 0 || First)
      Options.push_back(
          {Each, 0, maxCopiesOn(*Each, Step, false), Total, false});
  }
  std::sort(Options.begin(), Options.end(), hasMoreRoom);
  std::vector<Worker *> Out;
  Out.reserve(Options.size());
  for (const GangOption &Each : Options)
    Out.push_back(Each.Target_);
  return Out;
}

/// Returns the members of a gang that fit on workers which may run it, as far
/// as advice is known or expected from pending calls.
double Cell::Engine::expectedGangRoom(const StepRun &Step,
                                      bool WithVictims) const {
  double Out = 0;
  // The room of all workers says little about that in a single rack.
  if (!needsOneRack(Step))
    for (const auto &[Number, Each] : Step.Allowed_) {
      const Worker *Target = workerAt(Number);
      if (Target != nullptr && isUsable(*Target, Step))
        Out += maxCopiesOn(*Target, Step, WithVictims);
    }
  for (const Token Id : Step.AdviceCalls_)
    Out += PendingAdvice_.at(Id).ExpectedRoom_;
  return Out;
}

/// Returns whether the workers that may run the gang could hold it several
/// times when empty.
bool Cell::Engine::hasEnoughCapacity(const StepRun &Step) const {
  if (needsOneRack(Step))
    return false;
  std::size_t Capacity = 0;
  for (const auto &[Number, Each] : Step.Allowed_) {
    const Worker *Target = workerAt(Number);
    if (Target != nullptr && isUsable(*Target, Step))
      Capacity += copiesIn(Target->Capacity_, Step);
  }
  return Capacity >= EnoughCapacityFactor * Step.Tasks_.size();
}

/// Asks for a gang about workers of which nothing is known, as many as are
/// expected to provide the room that it lacks. Returns whether an answer is
/// pending.
bool Cell::Engine::requestGangAdvice(StepRun &Step) {
  if (!mayRequestAdvice(Step))
    return !Step.AdviceCalls_.empty();
  const bool Idle = areFewHostsAsked();
  const double Wanted = static_cast<double>(Step.Tasks_.size()) *
                        (Idle ? AskedWorkersIdleMargin : AskedWorkersMargin);
  const double Lacking = Wanted - expectedGangRoom(Step, !Idle);
  if (Lacking <= 0 && !Step.AdviceCalls_.empty())
    return true;
  if (!Idle && hasEnoughCapacity(Step))
    return !Step.AdviceCalls_.empty();
  const std::size_t Least = minWorkersAsked(Step);
  const double Ratio = allowedRatioOf(Step);
  std::vector<Worker *> Asked;
  double Room = 0;
  for (Worker *Each : unknownWorkersForGang(Step)) {
    if (Asked.size() >= Least && Room >= Lacking)
      break;
    const std::uint32_t Copies = maxCopiesOn(*Each, Step, !Idle);
    Room += (Idle ? Copies : std::max(1U, Copies)) * Ratio;
    Asked.push_back(Each);
  }
  if (Asked.empty())
    backOffWithoutRoom(Step);
  else
    askForGang(Step, Asked, Room);
  return !Step.AdviceCalls_.empty();
}

/// Asks about workers that are expected to provide the given room.
void Cell::Engine::askForGang(StepRun &Step, const std::vector<Worker *> &Asked,
                              double Room) {
  Step.NoRoomBackoff_ = 0;
  const std::size_t Before = Step.AdviceCalls_.size();
  sendAdviceCalls(Step, Asked);
  for (std::size_t At = Before; At < Step.AdviceCalls_.size(); ++At) {
    PendingAdvice &Open = PendingAdvice_.at(Step.AdviceCalls_[At]);
    Open.ExpectedRoom_ = Room * static_cast<double>(Open.Workers_.size()) /
                         static_cast<double>(Asked.size());
  }
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
  if (Open.Cost_ > LongCallMs)
    --LongCalls_[Open.Queue_];
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
  std::erase(Step.AdviceCalls_, Outcome.Token_);
  for (const std::string &Id : Open.Workers_)
    Step.AskedWorkers_.erase(Id);
  if (!Outcome.Answered_) {
    Step.AdviceNotBefore_ = Now_ + AdviceRetryDelay;
    return;
  }
  Step.RackSizesUntil_ = 0; // Fewer workers may remain in some rack.
  for (const std::string &Id : Open.Workers_)
    if (Worker *Target = findWorker(Id)) {
      Step.Allowed_.erase(Target->Number_);
      Step.Refused_.insert(Target->Number_);
    }
  for (const auto &[Id, Ticket] : Outcome.Tickets_)
    if (Worker *Target = findWorker(Id)) {
      Step.Refused_.erase(Target->Number_);
      Step.Allowed_[Target->Number_] = {Ticket, Now_ + Outcome.Valid_};
    }
  // The tickets of a gang expire while it pauses, so that it asks on at once.
  if (!Step.spec().Gang_)
    Step.AdviceNotBefore_ =
        Now_ +
        std::min<Millis>(Outcome.Valid_, static_cast<Millis>(Open.Cost_));
  double &Ratio = allowedRatioOf(Step);
  const double NewestRatio = static_cast<double>(Outcome.Tickets_.size()) /
                             static_cast<double>(Open.Workers_.size());
  Ratio = std::max(0.02, Ratio + AllowedRatioWeight * (NewestRatio - Ratio));
}

} // namespace oleandergauge::cell
