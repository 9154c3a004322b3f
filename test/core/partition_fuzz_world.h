#ifndef OLEANDERGAUGE_TEST_CORE_PARTITION_FUZZ_WORLD_H
#define OLEANDERGAUGE_TEST_CORE_PARTITION_FUZZ_WORLD_H

#include <algorithm>
#include <iostream>
#include <memory>
#include <stdexcept>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fake_workers.h"
#include "oleandergauge/config.h"
#include "oleandergauge/partition.h"

namespace oleandergauge {

using std::chrono::milliseconds;

inline constexpr unsigned HostCount = 3;
inline constexpr unsigned WorkerCount = 6;
inline constexpr Duration TickLength = milliseconds(10);
inline const std::vector<PartitionId> Partitions = {PartitionId("p0"),
                                                    PartitionId("p1")};
inline const std::vector<TeamId> Teams = {TeamId("red"), TeamId("blue")};

class FuzzSimulation;

/// One process of an entry host. While it is paused, its events and the
/// commands that it decided to send are held back.
class HostProcess : public std::enable_shared_from_this<HostProcess> {
public:
  HostProcess(FuzzSimulation &Simulation, unsigned Index,
              unsigned ClockRatePermille);

  TimePoint clock() const;
  void tick();
  void post(const PartitionId &To, PartitionEvent Event) {
    Mailbox_.emplace_back(To, std::move(Event));
  }
  void postAll(const PartitionEvent &Event) {
    for (const PartitionId &Id : Partitions)
      post(Id, Event);
  }
  /// Starts the shutdown. A new process replaces this one after 10 s at the
  /// latest.
  void drain() {
    postAll(DrainRequested());
    EndsAt_ = clock() + std::chrono::seconds(10);
  }
  bool hasEnded() const {
    return clock() >= EndsAt_ || DrainedPartitions_ == 2;
  }
  bool owns(const PartitionId &Id) const {
    return Partitions_.at(Id).owned(clock());
  }
  void pause(Duration Span);
  void disconnectStore(Duration Span);
  bool isPaused() const;
  bool isStoreDisconnected() const;
  std::uint64_t appliedVersion() const { return AppliedVersion_; }
  /// Tells the partitions that all hosts vouch for an outage of the store.
  void applyOutageEvidence();

private:
  void handle(const PartitionId &Id, const PartitionEvent &Event);
  void perform(const PartitionId &Id, const SendTableRequest &Effect);
  void perform(const PartitionId &Id, const StartOnWorker &Effect);
  void perform(const PartitionId &Id, const ExchangeWithWorker &Effect);
  void perform(const PartitionId &Id, const StopOnWorker &Effect);
  void perform(const PartitionId &Id, const ReplyToCaller &Effect);
  template <typename Other> void perform(const PartitionId &, const Other &) {}
  /// Delivers an answer after a delay, sometimes twice, unless the process has
  /// ended by then.
  void answer(const PartitionId &Id, const PartitionEvent &Event);
  void readHead();

  FuzzSimulation &Simulation_;
  unsigned Index_;
  unsigned ClockRatePermille_;
  std::map<PartitionId, Partition> Partitions_;
  std::vector<std::pair<PartitionId, PartitionEvent>> Mailbox_;
  std::vector<std::function<void()>> Outbox_;
  EvidenceChanged Evidence_;
  std::uint64_t AppliedVersion_ = 0;
  TimePoint PausedUntil_;
  TimePoint StoreDisconnectedUntil_;
  TimePoint NextHeadReadAt_;
  TimePoint NextListReadAt_;
  TimePoint NoTakeoverUntil_;
  TimePoint EndsAt_ = TimePoint::max();
  unsigned DrainedPartitions_ = 0;
};

/// Simulates the hosts, workers, table and callers of a cell with faults.
class FuzzSimulation {
public:
  explicit FuzzSimulation(std::uint64_t Seed);

  void apply(const Step &Value);
  void run(Duration Span);
  /// Runs without faults until all accepted jobs have ended, and throws if some
  /// do not.
  void finish();
  void noteReply(const ReplyToCaller &Reply);

  Duration millis(int From, int To) {
    return milliseconds(std::uniform_int_distribution<int>(From, To)(Random_));
  }
  bool chance(unsigned Percent) { return Random_() % 100 < Percent; }

  VirtualTime Time_;
  std::mt19937_64 Random_;
  FakeTable Table_;
  Invariants Checks_;
  std::map<WorkerId, FakeWorker> Workers_;
  std::shared_ptr<const ConfigView> View_;
  bool TableOut_ = false; ///< An outage of the table service is in progress.
  /// Percentage of messages between hosts and workers that are affected by a
  /// fault.
  unsigned LinkFaultPercent_ = 0;

private:
  void addWorkers();
  void changeView();
  void replaceHost(unsigned Index);
  void vouchForOutage();
  void submit(const Step &Value);
  void send(const JobSpec &Spec, bool AnyHost);
  void cancel(const JobSpec &Spec);
  void changeRecords(const Step &Value);
  void stopFaults();
  HostProcess &chooseHost(const PartitionId &Home, bool AnyHost);
  PartitionId homePartitionOf(const JobSpec &Spec) const {
    return *View_->homePartitionOf(Spec.Team_, Spec.Request_);
  }

  std::vector<std::shared_ptr<HostProcess>> Hosts_;
  std::map<TeamId, std::uint32_t> Limits_{{Teams[0], 12}, {Teams[1], 5}};
  std::set<FailureDomain> DomainsOut_;
  std::uint64_t Version_ = 0;
  TimePoint LastVouchAt_;
  TimePoint NextVouchAt_;
  TimePoint OutageEndsAt_;
  Token NextToken_ = 1;
  std::vector<JobSpec> Jobs_;
  std::map<Token, JobSpec> Submissions_;
  /// Number of times that callers may still repeat refused requests.
  unsigned RetriesLeft_ = 200;
  std::set<JobId> Ended_;
};

// -------------------------------------------------------------- HostProcess

inline HostProcess::HostProcess(FuzzSimulation &Simulation, unsigned Index,
                                unsigned ClockRatePermille)
    : Simulation_(Simulation), Index_(Index),
      ClockRatePermille_(ClockRatePermille) {
  for (const PartitionId &Id : Partitions)
    Partitions_.emplace(
        Id, Partition(Id, HostId("h" + std::to_string(Index)), "a"));
  // A host that has just registered must not take over partitions.
  NoTakeoverUntil_ = clock() + MaxEvidenceAge;
}

inline TimePoint HostProcess::clock() const {
  return TimePoint(Simulation_.Time_.now().time_since_epoch() *
                   ClockRatePermille_ / 1000);
}

inline void HostProcess::pause(Duration Span) {
  PausedUntil_ = Simulation_.Time_.now() + Span;
}
inline void HostProcess::disconnectStore(Duration Span) {
  StoreDisconnectedUntil_ = Simulation_.Time_.now() + Span;
}
inline bool HostProcess::isPaused() const {
  return Simulation_.Time_.now() < PausedUntil_;
}
inline bool HostProcess::isStoreDisconnected() const {
  return Simulation_.Time_.now() < StoreDisconnectedUntil_;
}

inline void HostProcess::tick() {
  if (isPaused())
    return;
  const auto Sending = std::move(Outbox_);
  Outbox_.clear();
  for (const auto &Send : Sending)
    Send();
  const auto Events = std::move(Mailbox_);
  Mailbox_.clear();
  for (const auto &[Id, Event] : Events)
    handle(Id, Event);
  if (clock() >= NextHeadReadAt_)
    readHead();
  for (const PartitionId &Id : Partitions)
    handle(Id, Tick());
}

inline void HostProcess::readHead() {
  NextHeadReadAt_ = clock() + milliseconds(500);
  if (clock() >= NextListReadAt_) {
    NextListReadAt_ = clock() + milliseconds(1000);
    WorkersListed List;
    for (const auto &[Id, Worker] : Simulation_.Workers_)
      List.Workers_.push_back({Worker.info(), Worker.isLeaving()});
    postAll(List);
  }
  const bool ReachesStore = !Simulation_.TableOut_ && !isStoreDisconnected();
  // A peer that reads the head proves that a view is current, but does not send
  // the view itself.
  const bool PeerVouches = !Simulation_.TableOut_ &&
                           AppliedVersion_ == Simulation_.View_->headVersion();
  if (ReachesStore && AppliedVersion_ != Simulation_.View_->headVersion()) {
    AppliedVersion_ = Simulation_.View_->headVersion();
    postAll(ConfigApplied{Simulation_.View_});
  }
  if (ReachesStore || PeerVouches)
    Evidence_.MayActUntil_ = clock() + MaxEvidenceAge;
  Evidence_.MayTakeOver_ = clock() >= NoTakeoverUntil_;
  Evidence_.Rank_ = Index_;
  postAll(Evidence_);
}

inline void HostProcess::applyOutageEvidence() {
  NoTakeoverUntil_ = clock() + MaxEvidenceAge;
  Evidence_.OutageUntil_ = clock() + MaxEvidenceAge;
  Evidence_.MayActUntil_ = Evidence_.OutageUntil_;
  Evidence_.MayTakeOver_ = false;
  postAll(Evidence_);
}

inline void HostProcess::handle(const PartitionId &Id,
                                const PartitionEvent &Event) {
  for (const auto &Effect : Partitions_.at(Id).handle(clock(), Event))
    std::visit([&](const auto &Kind) { perform(Id, Kind); }, Effect);
}

inline void HostProcess::answer(const PartitionId &Id,
                                const PartitionEvent &Event) {
  for (int Copy = Simulation_.chance(Simulation_.LinkFaultPercent_) ? 2 : 1;
       Copy > 0; --Copy)
    Simulation_.Time_.after(Simulation_.millis(1, Copy == 2 ? 3000 : 6),
                            [Self = weak_from_this(), Id, Event] {
                              if (const auto Live = Self.lock())
                                Live->post(Id, Event);
                            });
}

inline void HostProcess::perform(const PartitionId &Id,
                                 const SendTableRequest &Effect) {
  const auto Done = [Self = weak_from_this(), Id,
                     Sent = Effect.Token_](const TableReply &Reply) {
    if (const auto Live = Self.lock())
      Live->answer(Id, TableAnswered{Sent, Reply});
  };
  if (isStoreDisconnected())
    Simulation_.Table_.send(Effect.Request_, Done,
                            Simulation_.chance(70) ? TableFault::Unavailable
                                                   : TableFault::LostAfter);
  else
    Simulation_.Table_.send(Effect.Request_, Done);
}

inline void HostProcess::perform(const PartitionId &Id,
                                 const StartOnWorker &Effect) {
  Outbox_.push_back([this, Id, Effect] {
    const bool Call = Effect.Spec_->Class_ == WorkClass::Direct;
    const auto SendAnswer = [Self = weak_from_this(), Id, Effect,
                             Call](CommandOutcome Outcome, std::int32_t Exit) {
      const auto Live = Self.lock();
      if (!Live)
        return;
      if (Call)
        Live->answer(
            Id, CallAnswered{Effect.Task_, Effect.Attempt_, Outcome, Exit, ""});
      else
        Live->answer(Id, StartAnswered{Effect.Task_, Effect.Attempt_, Outcome});
    };
    if (clock() >= Effect.ValidUntil_)
      return SendAnswer(CommandOutcome::NotSent, 0);
    FakeWorker &Worker = Simulation_.Workers_.at(Effect.Worker_);
    const bool Lost = Simulation_.chance(Simulation_.LinkFaultPercent_);
    const Duration Delay = Simulation_.millis(1, Lost ? 950 : 5);
    Simulation_.Time_.after(Delay, [&Worker, Effect, SendAnswer, Call, Lost] {
      // The outcome stays unknown to a sender that gets no answer.
      const bool NoAnswer = Lost || Worker.isSilent();
      const auto Done = [SendAnswer, NoAnswer](std::int32_t Exit) {
        if (!NoAnswer)
          SendAnswer(CommandOutcome::Started, Exit);
      };
      if (!Worker.receivesCommands())
        return;
      const CommandOutcome Outcome = Worker.start(Effect, Done);
      if (!NoAnswer && (!Call || Outcome == CommandOutcome::Refused))
        SendAnswer(Outcome, 0);
    });
    if (Lost || Worker.isSilent())
      Simulation_.Time_.after(milliseconds(1000), [SendAnswer] {
        SendAnswer(CommandOutcome::Unknown, 0);
      });
  });
}

inline void HostProcess::perform(const PartitionId &Id,
                                 const ExchangeWithWorker &Effect) {
  Outbox_.push_back([this, Id, Effect] {
    if (clock() >= Effect.ValidUntil_)
      return;
    const TimePoint SentAt = clock();
    FakeWorker &Worker = Simulation_.Workers_.at(Effect.Worker_);
    const bool Lost = Simulation_.chance(Simulation_.LinkFaultPercent_);
    Simulation_.Time_.after(
        Simulation_.millis(1, Lost ? 950 : 5),
        [Self = weak_from_this(), Id, Effect, &Worker, SentAt, Lost] {
          WorkerReported Report{Effect.Worker_, SentAt, {}, {}};
          if (Worker.receivesCommands())
            Worker.exchange(Effect, Report);
          const auto Live = Self.lock();
          if (!Live)
            return;
          if (Lost || Worker.isSilent())
            Live->answer(Id, WorkerUnresponsive{Effect.Worker_});
          else
            Live->answer(Id, Report);
        });
  });
}

inline void HostProcess::perform(const PartitionId &,
                                 const StopOnWorker &Effect) {
  FakeWorker &Worker = Simulation_.Workers_.at(Effect.Worker_);
  if (!Simulation_.chance(Simulation_.LinkFaultPercent_))
    Simulation_.Time_.after(Simulation_.millis(1, 6), [&Worker, Effect] {
      if (Worker.receivesCommands())
        Worker.stop(Effect);
    });
}

inline void HostProcess::perform(const PartitionId &,
                                 const ReplyToCaller &Effect) {
  Simulation_.noteReply(Effect);
}

// ---------------------------------------------------------------- Simulation

inline FuzzSimulation::FuzzSimulation(std::uint64_t Seed)
    : Random_(Seed), Table_(Time_, Seed) {
  for (const auto &[Team, Limit] : Limits_)
    Checks_.noteLimit(Time_.now(), Team, Limit);
  changeView();
  addWorkers();
  for (unsigned Index = 0; Index < HostCount; ++Index) {
    Hosts_.emplace_back();
    replaceHost(Index);
  }
}

/// Adds workers so that each partition has one in each of three failure
/// domains.
inline void FuzzSimulation::addWorkers() {
  const Resources Capacity{4000, 4096, 0, 4, 16};
  for (unsigned Rack = 0; Workers_.size() < WorkerCount; ++Rack) {
    const auto Home = View_->partitionOf(
        Region("r"), oleandergauge::Rack("k" + std::to_string(Rack)));
    const auto Present =
        std::count_if(Workers_.begin(), Workers_.end(), [&](const auto &Each) {
          return View_->partitionOf(Region("r"), Each.second.info().Rack_) ==
                 Home;
        });
    if (Present == WorkerCount / 2)
      continue;
    const WorkerId Id("w" + std::to_string(Workers_.size()));
    const WorkerInfo Info{Id,
                          "a",
                          Region("r"),
                          FailureDomain("d" + std::to_string(Present)),
                          oleandergauge::Rack("k" + std::to_string(Rack)),
                          Capacity};
    Workers_.emplace(Id,
                     FakeWorker(Time_, Checks_, Info, 960 + Random_() % 81));
  }
}

inline void FuzzSimulation::changeView() {
  std::vector<Record> Records;
  for (unsigned Stripe = 0; Stripe < Partitions.size(); ++Stripe)
    Records.push_back({Partitions[Stripe].str(), 2,
                       PartitionRecord{Region("r"), Stripe, 2}, "", 1});
  for (const auto &[Team, Limit] : Limits_)
    Records.push_back({Team.str(), 2, LimitRecord{Limit}, "", 1});
  for (const FailureDomain &Domain : DomainsOut_)
    Records.push_back({Domain.str(), 2, FailureDomainRecord{true}, "", 1});
  View_ = std::make_shared<const ConfigView>(++Version_, Records);
}

inline void FuzzSimulation::replaceHost(unsigned Index) {
  Hosts_[Index] =
      std::make_shared<HostProcess>(*this, Index, 960 + Random_() % 81);
}

inline void FuzzSimulation::noteReply(const ReplyToCaller &Reply) {
  Checks_.noteReply(Reply);
  if (Reply.Answer_ && Reply.Answer_->Ended_)
    Ended_.insert(Reply.Answer_->Job_);
  const auto Sent = Submissions_.find(Reply.Token_);
  if (Sent == Submissions_.end() || Reply.Answer_ ||
      Reply.Answer_.error().Verdict_ != Verdict::NotRun || RetriesLeft_ == 0)
    return;
  --RetriesLeft_;
  Time_.after(milliseconds(500),
              [this, Spec = Sent->second] { send(Spec, false); });
}

/// If the store is out and all hosts apply the newest view, makes all of them
/// vouch for the outage.
inline void FuzzSimulation::vouchForOutage() {
  const bool Unanimous =
      std::all_of(Hosts_.begin(), Hosts_.end(), [this](const auto &Each) {
        return !Each->isPaused() &&
               Each->appliedVersion() == View_->headVersion();
      });
  if (!TableOut_ || !Unanimous)
    return;
  LastVouchAt_ = Time_.now();
  for (const auto &Each : Hosts_)
    Each->applyOutageEvidence();
}

inline void FuzzSimulation::run(Duration Span) {
  for (const TimePoint End = Time_.now() + Span; Time_.now() < End;) {
    Time_.advance(TickLength);
    for (auto &[Id, Worker] : Workers_)
      Worker.tick();
    if (Time_.now() >= NextVouchAt_) {
      NextVouchAt_ = Time_.now() + milliseconds(500);
      vouchForOutage();
    }
    if (TableOut_ && Time_.now() >= OutageEndsAt_)
      Table_.setOut(TableOut_ = false);
    for (unsigned Index = 0; Index < HostCount; ++Index) {
      Hosts_[Index]->tick();
      if (Hosts_[Index]->hasEnded())
        replaceHost(Index);
    }
    for (const std::string &Violation : Checks_.violations())
      throw std::runtime_error(Violation);
  }
}

inline HostProcess &FuzzSimulation::chooseHost(const PartitionId &Home,
                                               bool AnyHost) {
  for (const auto &Each : Hosts_)
    if (!AnyHost && Each->owns(Home) && !Each->isPaused())
      return *Each;
  return *Hosts_[Random_() % HostCount];
}

inline void FuzzSimulation::submit(const Step &Value) {
  JobSpec Spec;
  Spec.Request_ = RequestId("j" + std::to_string(Jobs_.size()));
  Spec.Id_ = JobId(Spec.Request_.str());
  Spec.Team_ = Teams[Value.Actor_ % 2];
  Spec.Queue_ = QueueId("q");
  Spec.Class_ = static_cast<WorkClass>(Value.Amount_ % 4);
  Spec.Urgent_ = Value.Amount_ % 5 == 0;
  Spec.Idempotent_ = Value.Amount_ % 3 != 0;
  Spec.TaskCount_ =
      Spec.Class_ == WorkClass::Direct ? 1 : 1 + Value.Amount_ % 4;
  Spec.Need_ = {500 + 250 * (Value.Amount_ % 6), 256, 0, 1, 1};
  Spec.ExpiresIn_ = std::chrono::minutes(15);
  const bool Call = Spec.Class_ == WorkClass::Direct;
  const bool Service = Spec.Class_ == WorkClass::Service;
  Spec.Command_ =
      std::to_string(Service ? 100000000 : (Call ? 10 : 100) * Value.Amount_);
  Jobs_.push_back(Spec);
  send(Spec, Value.Actor_ == 0);
}

inline void FuzzSimulation::send(const JobSpec &Spec, bool AnyHost) {
  const Token Sent = NextToken_++;
  const PartitionId Home = homePartitionOf(Spec);
  Submissions_[Sent] = Spec;
  Checks_.noteSubmitted(Sent, Spec.Id_);
  chooseHost(Home, AnyHost).post(Home, Submitted{Sent, Spec});
}

inline void FuzzSimulation::cancel(const JobSpec &Spec) {
  const PartitionId Home = homePartitionOf(Spec);
  chooseHost(Home, false)
      .post(Home, CancelRequested{NextToken_++, Spec.Team_, Spec.Id_});
}

inline void FuzzSimulation::changeRecords(const Step &Value) {
  // An operator's change needs the store. It waits for MaxEvidenceAge, and 10%
  // for the difference of the clocks, after the last vouch for an outage.
  if (TableOut_ || Time_.now() < LastVouchAt_ + milliseconds(3300))
    return;
  if (Value.Kind_ == 12) {
    const TeamId &Team = Teams[Value.Actor_ % 2];
    Limits_[Team] = Value.Amount_ % 14;
    Checks_.noteLimit(Time_.now(), Team, Limits_[Team]);
  } else {
    const FailureDomain Domain("d" + std::to_string(Value.Actor_));
    const bool Out = Value.Amount_ < 30;
    if (Out)
      DomainsOut_.insert(Domain);
    else
      DomainsOut_.erase(Domain);
    Checks_.noteDomain(Time_.now(), Domain, Out);
  }
  changeView();
}

inline void FuzzSimulation::apply(const Step &Value) {
  HostProcess &Host = *Hosts_[Value.Actor_];
  FakeWorker &Worker =
      std::next(Workers_.begin(), Value.Amount_ % WorkerCount)->second;
  const Duration Short = milliseconds(50) * Value.Amount_;
  switch (Value.Kind_) {
  case 0: // Let time pass.
  case 1:
  case 2:
    return run(Short);
  case 3: // Submit a job.
  case 4:
  case 5:
    submit(Value);
    return run(milliseconds(50));
  case 6: // Repeat a submission.
    if (!Jobs_.empty())
      send(Jobs_[Random_() % Jobs_.size()], true);
    return;
  case 7: // Cancel jobs.
    for (unsigned Count = 0; Count < Value.Amount_ % 8; ++Count)
      if (!Jobs_.empty())
        cancel(Jobs_[Random_() % Jobs_.size()]);
    return;
  case 8: // Replace or pause a host.
    return Value.Amount_ < 50 ? replaceHost(Value.Actor_) : Host.pause(Short);
  case 9: // Disconnect a host from the store.
    return Host.disconnectStore(2 * Short);
  case 10: // Set the rate of table faults.
    return Table_.setFaultRate(std::max(50U, Value.Amount_) / 2 - 25);
  case 11: // Start an outage of the store.
    Table_.setOut(TableOut_ = true);
    OutageEndsAt_ = Time_.now() + 2 * Short;
    return;
  case 12: // Change a limit (12) or take out a failure domain (13).
  case 13:
    return changeRecords(Value);
  case 14: // Make a worker unresponsive.
    return Worker.silenceFor(4 * Short, Value.Actor_ == 0);
  case 15: // Crash or restart a worker.
    return Value.Actor_ == 0 ? Worker.crash() : Worker.restart();
  case 16: // Make the tasks of a worker fail.
    return Worker.setFailing(Value.Actor_ == 0);
  case 17: // Make a worker leave.
    Worker.setLeaving(Value.Actor_ == 0);
    return Checks_.noteLeaving(Time_.now(), Worker.info().Id_,
                               Worker.isLeaving());
  case 18: // Shut down a host.
    return Host.drain();
  default: // Set the rate of message faults between hosts and workers.
    LinkFaultPercent_ = std::max(50U, Value.Amount_) / 2 - 25;
  }
}

/// Stops all faults, resets limits and failure domains, and replaces all hosts.
inline void FuzzSimulation::stopFaults() {
  Table_.setFaultRate(0);
  Table_.setOut(TableOut_ = false);
  LinkFaultPercent_ = 0;
  for (auto &[Id, Worker] : Workers_) {
    Worker.silenceFor(Duration(0), true);
    Worker.restart();
    Worker.setFailing(false);
    Worker.setLeaving(false);
    Checks_.noteLeaving(Time_.now(), Id, false);
  }
  run(milliseconds(8000));
  for (const FailureDomain &Domain : DomainsOut_)
    Checks_.noteDomain(Time_.now(), Domain, false);
  DomainsOut_.clear();
  for (auto &[Team, Limit] : Limits_)
    Checks_.noteLimit(Time_.now(), Team, Limit = 6);
  changeView();
  for (unsigned Index = 0; Index < HostCount; ++Index)
    replaceHost(Index);
  run(milliseconds(8000));
}

inline void FuzzSimulation::finish() {
  stopFaults();
  for (int Round = 0; Round < 40; ++Round) {
    for (const JobSpec &Spec : Jobs_) {
      // A service whose submission was not answered may run and occupy
      // resources.
      if (Spec.Class_ == WorkClass::Service)
        cancel(Spec);
      if (!Checks_.accepted().contains(Spec.Id_) || Ended_.contains(Spec.Id_))
        continue;
      const PartitionId Home = homePartitionOf(Spec);
      HostProcess &Owner = chooseHost(Home, false);
      if (Spec.Class_ == WorkClass::Service)
        Owner.post(Home, CancelRequested{NextToken_++, Spec.Team_, Spec.Id_});
      const Token Sent = NextToken_++;
      Checks_.noteQueried(Sent, Spec.Id_);
      Owner.post(Home, JobQueried{Sent, Spec.Team_, Spec.Id_, false});
    }
    if (std::includes(Ended_.begin(), Ended_.end(), Checks_.accepted().begin(),
                      Checks_.accepted().end()))
      return;
    run(milliseconds(5000));
  }
  for (const JobId &Id : Checks_.accepted())
    if (!Ended_.contains(Id))
      throw std::runtime_error("accepted job has not ended: " + Id.str());
}

inline void play(FuzzSimulation &Simulation, const std::vector<Step> &Steps) {
  Simulation.run(milliseconds(4500));
  for (const Step &Value : Steps)
    Simulation.apply(Value);
  Simulation.finish();
}

} // namespace oleandergauge

#endif // OLEANDERGAUGE_TEST_CORE_PARTITION_FUZZ_WORLD_H
