#ifndef OLEANDERGAUGE_TEST_CELL_CELL_WORLD_H
#define OLEANDERGAUGE_TEST_CELL_CELL_WORLD_H

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cell/cell.h"
#include "fake_advice.h"
#include "fake_desired_state.h"
#include "fake_fleet.h"
#include "fake_machines.h"
#include "fake_orders.h"
#include "fake_renewals.h"
#include "fake_runs.h"
#include "fake_store.h"
#include "simulation_core.h"
#include "task_checks.h"

namespace oleandergauge::cell::test {

/// Simulates a cell with its store, workers and callers in virtual time, and
/// checks each start against the invariants of the scheduler. It must stay
/// where it was created, since its parts refer to each other.
class CellSimulation : public SimulationCore {
public:
  explicit CellSimulation(std::uint64_t Seed, std::size_t WorkerCount = 4)
      : SimulationCore(Seed), Store_(*this), Fleet_(*this, WorkerCount),
        Advice_(*this, WorkerCount), Checks_(*this, Fleet_, Desired_),
        Runs_(*this, Fleet_, Checks_), Orders_(*this, Fleet_, Advice_, Checks_),
        Renewals_(*this, Fleet_, Checks_), Machines_(*this, Fleet_, Checks_) {
    setEffectHandler([this](const Effect &Each) {
      std::visit([this](const auto &Kind) { applyEffect(Kind); }, Each);
    });
  }

  /// Starts a new owner from the stored rows.
  void takeOver() {
    createOwner();
    cell().setDesiredState(now(), Desired_.get());
    cell().restore(now(), wall(), Store_.read());
    cell().setWaves(now(), Machines_.waves());
    Advice_.tellOwner();
    Fleet_.tellOwner();
    processEffects();
  }

  /// Ends the owner's process. Its orders in flight may still arrive.
  void killOwner() {
    destroyOwner();
    Renewals_.dropAll();
  }

  /// Submits a job and returns the token of its reply, see ReplyObserver_.
  Token submit(const std::string &Id, const JobSpec &Spec,
               const std::string &Queue = "slow",
               Millis Timeout = DefaultCallerTimeout) {
    Checks_.addJob(Id, Spec, Queue);
    const Token Caller = NextCaller_++;
    if (!hasOwner())
      return Caller;
    SubmittedAt_[Caller] = now();
    Callers_[Caller] = Id;
    cell().submit(now(), wall(), Caller,
                  {Access::Allowed, 1, Queue, "team", Id}, Spec, Timeout);
    processEffects();
    return Caller;
  }
  /// The token that the next submission gets.
  Token nextCaller() const { return NextCaller_; }

  void cancel(const std::string &Id) {
    if (!hasOwner())
      return;
    cell().cancel(now(), NextCaller_, {Access::Allowed, 1, "", "team", Id});
    Callers_[NextCaller_++] = Id;
    processEffects();
  }

  std::optional<JobState> stateOf(const std::string &Id) {
    QueriedState_.reset();
    cell().query(now(), QueryToken, {Access::Allowed, 1, "", "team", Id});
    processEffects();
    return QueriedState_;
  }

  /// Lets advice take the time given by \p Cost and allow only each \p
  /// AllowedEvery'th worker.
  void limitAdvice(const AdviceCost &Cost, std::size_t AllowedEvery) {
    Desired_.setAdviceCost(Cost);
    Advice_.limit(Cost, AllowedEvery);
  }
  /// Sets the number of entry hosts that the next owner asks for advice.
  void setAdviceHosts(std::size_t Count) { Advice_.setHosts(Count); }
  /// Sets the priority of a queue for the next owner.
  void setPriority(const std::string &Queue, int Priority) {
    Desired_.setPriority(Queue, Priority);
  }
  /// Tells the present owner the desired state with the changes so far.
  void publishDesiredState() {
    cell().setDesiredState(now(), Desired_.get());
    processEffects();
  }
  /// Removes a queue for the next owner.
  void removeQueue(const std::string &Queue) { Desired_.removeQueue(Queue); }
  /// Sets the number of failed runs that fail a job for the next owner.
  void setAttempts(std::uint32_t Attempts) { Desired_.setAttempts(Attempts); }
  /// Returns the times at which calls for advice were sent and answered.
  const std::vector<std::pair<Millis, Millis>> &adviceCalls() const {
    return Advice_.calls();
  }

  /// Requests a wave for the first \p Count machines, as an operator does.
  void requestWave(std::size_t Count, std::uint32_t MaxDown, Millis Duration) {
    Machines_.requestWave(Count, MaxDown, Duration);
  }
  const FakeMachine &machine(std::size_t At) const {
    return Machines_.machine(At);
  }

  /// Lets lists of machines lack those for which \p Omit returns true, by the
  /// number of the list and of the machine.
  void omitMachines(std::function<bool(std::size_t, std::size_t)> Omit) {
    Machines_.OmitFromList_ = std::move(Omit);
  }

  /// Ends a worker with its runs and removes its entry.
  void removeWorker(std::size_t At) { Machines_.shutDown(At); }
  /// Starts a removed worker again under its id.
  void returnWorker(std::size_t At) { Machines_.startUp(At); }

  /// Advances the virtual time by \p Span.
  void run(Millis Span) {
    for (const Millis End = now() + Span; now() < End;) {
      advanceTime();
      if (BeforeTick_)
        BeforeTick_();
      Fleet_.recordDisconnections();
      Runs_.advance();
      runDueEvents();
      Renewals_.answerDue();
      if (hasOwner() && !OwnerPaused_)
        runOwner();
    }
  }

  FakeWorker &worker(std::size_t At) { return Fleet_.workers()[At]; }
  /// Lets a worker end without a word and start anew under its id.
  void restartWorker(std::size_t At) {
    for (const auto &[Name, Run] : worker(At).Runs_)
      Checks_.recordLostRun(Name);
    worker(At).restart(now());
  }
  std::size_t workerCount() const { return Fleet_.workers().size(); }
  std::size_t starts() const { return Checks_.starts(); }
  /// Returns the number of gang members that ended because others were missing.
  std::size_t aloneEnds() const { return Checks_.aloneEnds(); }
  /// Returns the longest time between a submission and its answer.
  Millis longestSubmissionWait() const { return LongestSubmissionWait_; }
  /// Lets the store stop answering, or answer again.
  void setStoreDown(bool Down) { Store_.setDown(Down); }
  /// Adds a worker to the list in the store or removes it.
  void setListed(const std::string &Id, bool Listed) {
    Fleet_.setListed(Id, Listed);
  }

private:
  static constexpr Token QueryToken = ~Token{0};

  void runOwner() {
    if (now() % ListInterval_ == 0)
      Fleet_.tellOwner();
    cell().setStoreReachable(!Store_.isDown());
    cell().tick(now(), wall());
    processEffects();
  }

  void applyEffect(const Reply &Each) {
    if (Each.Token_ == QueryToken) {
      if (Each.Answer_ == Answer::State)
        QueriedState_ = Each.State_;
      return;
    }
    if (ReplyObserver_)
      ReplyObserver_(Each);
    recordWait(Each.Token_);
    recordAnswer(Each);
  }
  void recordWait(Token Caller) {
    const auto Submitted = SubmittedAt_.find(Caller);
    if (Submitted == SubmittedAt_.end())
      return;
    LongestSubmissionWait_ =
        std::max(LongestSubmissionWait_, now() - Submitted->second);
    SubmittedAt_.erase(Submitted);
  }
  void recordAnswer(const Reply &Each) {
    if (Each.Answer_ == Answer::Accepted)
      Accepted_.insert(Callers_[Each.Token_]);
    if (Each.Answer_ == Answer::Busy) {
      Refused_.insert(Callers_[Each.Token_]);
      RetryTimes_.push_back(Each.RetryAfter_);
    }
    if (Each.Answer_ == Answer::TooLarge)
      TooLarge_.insert(Callers_[Each.Token_]);
    if (Each.Answer_ == Answer::NotStorable)
      NotStorable_.insert(Callers_[Each.Token_]);
    if (Each.Answer_ == Answer::Cancelled)
      CancelledAt_.emplace(Callers_[Each.Token_], now());
  }
  void applyEffect(const SendStart &Each) { Orders_.send(Each); }
  void applyEffect(const SendStop &Each) { Orders_.send(Each); }
  void applyEffect(const SendPace &Each) { Orders_.sendPace(Each); }
  void applyEffect(const SendRenewal &Each) { Renewals_.send(Each); }
  void applyEffect(const AskAdvice &Each) {
    AskedAt_.emplace(Each.Step_, now());
    Advice_.ask(Each);
  }
  void applyEffect(const Commit &Each) { Store_.begin(Each); }
  void applyEffect(const ListMachines &) { Machines_.list(); }
  void applyEffect(const OrderUpkeep &Each) { Machines_.order(Each); }
  void applyEffect(const ReportWave &Each) { Machines_.report(Each); }
  void applyEffect(const DurationSample &) {}
  void applyEffect(const Decision &Each) {
    if (Each.Event_ == "task_stopping")
      ++Stops_[Each.Reason_];
    if (Each.Event_ == "worker_speeds")
      SpeedReport_ = Each.Subject_ + " " + Each.Reason_;
  }

  FakeStore Store_;
  FakeFleet Fleet_;
  FakeDesiredState Desired_;
  FakeAdvice Advice_;
  TaskChecks Checks_;
  FakeRuns Runs_;
  FakeOrders Orders_;
  FakeRenewals Renewals_;
  FakeMachines Machines_;
  std::map<Token, std::string> Callers_;
  std::map<Token, Millis> SubmittedAt_; ///< Submissions without an answer.
  Millis LongestSubmissionWait_ = 0;
  Token NextCaller_ = 1;
  std::optional<JobState> QueriedState_;
};

/// Returns a job with one step.
inline JobSpec simpleJob(std::uint32_t Count, std::int64_t Cpu) {
  StepSpec Step;
  Step.Count_ = Count;
  Step.Need_ = {Cpu, 100, 0, 0, 0};
  Step.Estimate_ = 400;
  return {"payload", {Step}, 0, 0, 0};
}

} // namespace oleandergauge::cell::test

#endif // OLEANDERGAUGE_TEST_CELL_CELL_WORLD_H
