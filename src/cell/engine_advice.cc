// Advice: which workers may run a step, asked through all entry hosts.

#include <algorithm>
#include <cmath>

#include "cell/engine.h"

namespace oleandergauge::cell {
namespace {

/// Calls that take longer go to some of the hosts only, so that short ones
/// need not wait behind them.
constexpr double LongCallMs = 50; // ms
constexpr double LongHostShare = 0.6;
/// Advice that may wait at one host before further short calls wait here.
constexpr double ShortCallBacklogMs = 15; // ms
/// Workers asked beyond those that are needed, for refusals and lost room.
constexpr double AskedWorkersMargin = 1.5;
constexpr std::size_t MinWorkersAsked = 4;
/// A further call costs its base again, so that a call names at least the
/// workers that cost this part of it.
constexpr double MinWorkerCostPerBase = 1.0 / 3;
constexpr std::size_t MaxWorkersAsked = 100;
/// Weight of the newest answer in the learned share of allowed workers.
constexpr double AllowedRatioWeight = 0.05;
constexpr double InitialAllowedRatio = 0.5;
constexpr Millis AdviceTimeoutSlack = 700;
/// Time beyond a call's own time-out after which its answer counts as lost.
constexpr Millis LostAdviceDelay = 500;
constexpr Millis AdviceRetryDelay = 40;
/// Pause before a step without room anywhere is looked at again.
constexpr Millis FirstNoRoomBackoff = 60;
/// Longest pause of work that no worker can do, or that is late. The pause
/// doubles, so that such work leaves the looks to other work.
constexpr Millis LongestNoRoomBackoff = 1000;
/// Steps for which one pass chooses workers to ask about.
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
    // Short calls keep off the hosts for long ones while others are free.
    const double Load =
        Each.Backlog_ + (!Long && ForLong ? ShortCallBacklogMs : 0);
    if (Best == nullptr || Load < BestLoad) {
      Best = &Each;
      BestLoad = Load;
    }
  }
  return Best;
}

bool Cell::Engine::hasAdviceOnAllWorkers(const StepRun &Step) const {
  return std::all_of(Workers_.begin(), Workers_.end(), [&](const auto &Each) {
    return Step.Advice_.count(Each.first) != 0 || !isUsable(*Each.second, Step);
  });
}

std::size_t Cell::Engine::minWorkersAsked(const StepRun &Step) const {
  const Queue *JobQueue = queueOf(*Step.Job_);
  if (JobQueue == nullptr || !JobQueue->Advice_ ||
      JobQueue->Advice_->PerWorker_ <= 0)
    return MinWorkersAsked;
  const double Cheap = JobQueue->Advice_->Base_ * MinWorkerCostPerBase /
                       JobQueue->Advice_->PerWorker_;
  return std::clamp(static_cast<std::size_t>(Cheap), MinWorkersAsked,
                    MaxWorkersAsked);
}

/// Workers to ask about: those known to be allowed whose tickets ran out, and
/// where they do not do, more that are not known yet.
std::vector<Worker *> Cell::Engine::chooseWorkersToAsk(const StepRun &Step) {
  struct Option {
    Worker *Target_;
    std::uint32_t Copies_;
  };
  std::vector<Option> Known;
  std::vector<Option> Unknown;
  std::uint32_t Held = 0; // Copies with a valid ticket.
  for (const auto &[Id, Each] : Workers_) {
    if (!isUsable(*Each, Step))
      continue;
    const std::uint32_t Copies = maxCopiesOn(*Each, Step, true);
    const auto Advice = Step.Advice_.find(Id);
    if (Advice == Step.Advice_.end())
      Unknown.push_back({Each.get(), Copies});
    else if (Advice->second.Allowed_ && Now_ < Advice->second.ValidUntil_)
      Held += Copies;
    else if (Advice->second.Allowed_ && Copies > 0)
      Known.push_back({Each.get(), Copies});
  }
  auto MoreCopies = [](const Option &A, const Option &B) {
    return std::tie(A.Copies_, A.Target_->Id_) >
           std::tie(B.Copies_, B.Target_->Id_);
  };
  std::sort(Known.begin(), Known.end(), MoreCopies);
  std::sort(Unknown.begin(), Unknown.end(), MoreCopies);
  const bool Gang = Step.spec().Gang_;
  const std::uint32_t Wanted = Step.waiting();
  std::vector<Worker *> Out;
  std::uint32_t Have = Gang ? Held : 0;
  for (const Option &Each : Known) {
    if (Have >= Wanted + Wanted / 4 && Have > 0)
      break;
    Have += Each.Copies_;
    Out.push_back(Each.Target_);
  }
  if (Have >= Wanted || (!Gang && Have > 0))
    return Out;
  const bool First = Step.Advice_.empty();
  if (!First && (Unknown.empty() || Unknown.front().Copies_ == 0))
    return Gang ? std::vector<Worker *>{} : Out;
  auto &Share =
      AllowedRatio_.try_emplace(Step.Job_->Queue_, InitialAllowedRatio)
          .first->second;
  const std::size_t Least = minWorkersAsked(Step);
  double Expected = Have;
  std::size_t Asked = 0;
  for (const Option &Each : Unknown) {
    if (Out.size() >= MaxWorkersAsked ||
        (Asked >= Least && Expected >= Wanted * AskedWorkersMargin))
      break;
    Expected += std::max<std::uint32_t>(1, Each.Copies_) * Share;
    Out.push_back(Each.Target_);
    ++Asked;
  }
  return Out;
}

void Cell::Engine::requestAdvice(StepRun &Step) {
  const Queue *JobQueue = queueOf(*Step.Job_);
  if (JobQueue == nullptr || !JobQueue->Advice_ || Step.AdviceToken_ != 0 ||
      Now_ < Step.AdviceNotBefore_ || !Step.Ready_)
    return;
  if (!Step.Job_->Stored_ && !Step.Advice_.empty())
    return;
  const AdviceCost &Rates = *JobQueue->Advice_;
  if (AdviceSelections_ >= MaxAdviceSelections ||
      chooseAdviceHost(Rates.Base_) == nullptr)
    return; // The next answer starts another pass.
  ++AdviceSelections_;
  const std::vector<Worker *> Asked = chooseWorkersToAsk(Step);
  if (Asked.empty()) {
    const bool Pressing = !Step.Advice_.empty() && Now_ <= Step.Objective_;
    const Millis Longest = Pressing ? FirstNoRoomBackoff : LongestNoRoomBackoff;
    Step.NoRoomBackoff_ =
        std::clamp(2 * Step.NoRoomBackoff_, FirstNoRoomBackoff, Longest);
    Step.AdviceNotBefore_ = Now_ + Step.NoRoomBackoff_;
    return;
  }
  Step.NoRoomBackoff_ = 0;
  const double Cost =
      Rates.Base_ + Rates.PerWorker_ * static_cast<double>(Asked.size());
  AdviceHost *Through = chooseAdviceHost(Cost);
  if (Through == nullptr)
    return;
  const Token Id = NextToken_++;
  PendingAdvice &Open = PendingAdvice_[Id];
  Open.Step_ = &Step;
  Open.EntryHost_ = Through->Host_;
  Open.Cost_ = Cost;
  AskAdvice Out{Id, Through->Host_, Step.Name_, {}, 0};
  for (const Worker *Each : Asked)
    Out.Workers_.push_back(Each->Id_);
  Open.Workers_ = Out.Workers_;
  Out.Timeout_ =
      static_cast<Millis>(Through->Backlog_ + 2 * Cost) + AdviceTimeoutSlack;
  Open.ExpiresAt_ = Now_ + Out.Timeout_ + LostAdviceDelay;
  ++Through->Calls_;
  Through->Backlog_ += Cost;
  Step.AdviceToken_ = Id;
  Effects_.push_back(std::move(Out));
}

/// An agent's answer may be lost with its link, or with a former owner's.
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
  const auto Through = AdviceHosts_.find(Open.EntryHost_);
  if (Through != AdviceHosts_.end()) {
    --Through->second.Calls_;
    Through->second.Backlog_ =
        Through->second.Calls_ == 0
            ? 0
            : std::max(0.0, Through->second.Backlog_ - Open.Cost_);
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
    Step.Advice_[Id].Allowed_ = false;
  for (const auto &[Id, Ticket] : Outcome.Tickets_)
    Step.Advice_[Id] = {true, Ticket, Now_ + Outcome.Valid_};
  // The tickets of a gang have to be valid at the same time, so that it asks on
  // without a pause while there are workers that it knows nothing of.
  if (!Step.spec().Gang_ || hasAdviceOnAllWorkers(Step))
    Step.AdviceNotBefore_ =
        Now_ +
        std::min<Millis>(Outcome.Valid_, static_cast<Millis>(Open.Cost_));
  auto &Share =
      AllowedRatio_.try_emplace(Step.Job_->Queue_, InitialAllowedRatio)
          .first->second;
  const double Seen = static_cast<double>(Outcome.Tickets_.size()) /
                      static_cast<double>(Open.Workers_.size());
  Share = std::max(0.02, Share + AllowedRatioWeight * (Seen - Share));
}

} // namespace oleandergauge::cell
