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

class FuzzWorld;

/// One process of an entry host. Events wait in a mailbox while it is paused,
/// and so do the commands that it had decided to send.
class Process : public std::enable_shared_from_this<Process> {
public:
  Process(FuzzWorld &World, unsigned Index, unsigned RatePermille);

  TimePoint clock() const;
  void tick();
  void post(const PartitionId &To, PartitionEvent Event) {
    Mailbox_.emplace_back(To, std::move(Event));
  }
  void postAll(const PartitionEvent &Event) {
    for (const PartitionId &Id : Partitions)
      post(Id, Event);
  }
  /// Shuts down; a new process takes its place at the latest 10 s later.
  void drain() {
    postAll(DrainRequested());
    EndsAt_ = clock() + std::chrono::seconds(10);
  }
  bool ended() const { return clock() >= EndsAt_ || Drained_ == 2; }
  bool owns(const PartitionId &Id) const {
    return Parts_.at(Id).owned(clock());
  }
  void pause(Duration Span);
  void cut(Duration Span);
  bool paused() const;
  bool isCut() const;
  std::uint64_t applied() const { return Applied_; }
  /// Takes a unanimous outage as evidence.
  void vouchOutage();

private:
  void handle(const PartitionId &Id, const PartitionEvent &Event);
  void perform(const PartitionId &Id, const SendTableRequest &Effect);
  void perform(const PartitionId &Id, const StartOnWorker &Effect);
  void perform(const PartitionId &Id, const ExchangeWithWorker &Effect);
  void perform(const PartitionId &Id, const StopOnWorker &Effect);
  void perform(const PartitionId &Id, const ReplyToCaller &Effect);
  template <typename Other> void perform(const PartitionId &, const Other &) {}
  /// Answers later, sometimes twice, unless the process has ended by then.
  void answer(const PartitionId &Id, const PartitionEvent &Event);
  void readHead();

  FuzzWorld &World_;
  unsigned Index_;
  unsigned RatePermille_;
  std::map<PartitionId, Partition> Parts_;
  std::vector<std::pair<PartitionId, PartitionEvent>> Mailbox_;
  std::vector<std::function<void()>> Outbox_;
  EvidenceChanged Evidence_;
  std::uint64_t Applied_ = 0;
  TimePoint PausedUntil_;
  TimePoint CutUntil_;
  TimePoint NextRead_;
  TimePoint NextList_;
  TimePoint BoundUntil_;
  TimePoint EndsAt_ = TimePoint::max();
  unsigned Drained_ = 0;
};

/// Hosts, workers, table and callers.
class FuzzWorld {
public:
  explicit FuzzWorld(std::uint64_t Seed);

  void apply(const Step &Value);
  void run(Duration Span);
  /// Runs without faults until all accepted jobs have ended; fails where some
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
  bool TableOut_ = false;
  unsigned LinkFaults_ = 0;

private:
  void addWorkers();
  void changeView();
  void replace(unsigned Index);
  void vouch();
  void submit(const Step &Value);
  void send(const JobSpec &Spec, bool Anywhere);
  void cancel(const JobSpec &Spec);
  void changeRecords(const Step &Value);
  void heal();
  Process &hostOf(const PartitionId &Home, bool Anywhere);
  PartitionId homePartitionOf(const JobSpec &Spec) const {
    return *View_->homePartitionOf(Spec.Team_, Spec.Request_);
  }

  std::vector<std::shared_ptr<Process>> Hosts_;
  std::map<TeamId, std::uint32_t> Limits_{{Teams[0], 12}, {Teams[1], 5}};
  std::set<FailureDomain> Out_;
  std::uint64_t Version_ = 0;
  TimePoint LastVouch_;
  TimePoint NextVouch_;
  TimePoint OutageEnds_;
  Token NextToken_ = 1;
  std::vector<JobSpec> Jobs_;
  std::map<Token, JobSpec> Submissions_;
  /// Callers repeat refused requests; bounded for the whole case.
  unsigned Retries_ = 200;
  std::set<JobId> Ended_;
};

// -------------------------------------------------------------- Process

inline Process::Process(FuzzWorld &World, unsigned Index, unsigned RatePermille)
    : World_(World), Index_(Index), RatePermille_(RatePermille) {
  for (const PartitionId &Id : Partitions)
    Parts_.emplace(Id, Partition(Id, HostId("h" + std::to_string(Index)), "a"));
  // A host that has just registered takes nothing over.
  BoundUntil_ = clock() + MaxEvidenceAge;
}

inline TimePoint Process::clock() const {
  return TimePoint(World_.Time_.now().time_since_epoch() * RatePermille_ /
                   1000);
}

inline void Process::pause(Duration Span) {
  PausedUntil_ = World_.Time_.now() + Span;
}
inline void Process::cut(Duration Span) {
  CutUntil_ = World_.Time_.now() + Span;
}
inline bool Process::paused() const {
  return World_.Time_.now() < PausedUntil_;
}
inline bool Process::isCut() const { return World_.Time_.now() < CutUntil_; }

inline void Process::tick() {
  if (paused())
    return;
  const auto Sending = std::move(Outbox_);
  Outbox_.clear();
  for (const auto &Send : Sending)
    Send();
  const auto Events = std::move(Mailbox_);
  Mailbox_.clear();
  for (const auto &[Id, Event] : Events)
    handle(Id, Event);
  if (clock() >= NextRead_)
    readHead();
  for (const PartitionId &Id : Partitions)
    handle(Id, Tick());
}

inline void Process::readHead() {
  NextRead_ = clock() + milliseconds(500);
  if (clock() >= NextList_) {
    NextList_ = clock() + milliseconds(1000);
    WorkersListed List;
    for (const auto &[Id, Worker] : World_.Workers_)
      List.Workers_.push_back({Worker.info(), Worker.leaving()});
    postAll(List);
  }
  const bool Reached = !World_.TableOut_ && !isCut();
  // A peer that reads the head vouches for it, but does not send the view.
  const bool Vouched =
      !World_.TableOut_ && Applied_ == World_.View_->headVersion();
  if (Reached && Applied_ != World_.View_->headVersion()) {
    Applied_ = World_.View_->headVersion();
    postAll(ConfigApplied{World_.View_});
  }
  if (Reached || Vouched)
    Evidence_.MayActUntil_ = clock() + MaxEvidenceAge;
  Evidence_.MayTakeOver_ = clock() >= BoundUntil_;
  Evidence_.Rank_ = Index_;
  postAll(Evidence_);
}

inline void Process::vouchOutage() {
  BoundUntil_ = clock() + MaxEvidenceAge;
  Evidence_.OutageUntil_ = clock() + MaxEvidenceAge;
  Evidence_.MayActUntil_ = Evidence_.OutageUntil_;
  Evidence_.MayTakeOver_ = false;
  postAll(Evidence_);
}

inline void Process::handle(const PartitionId &Id,
                            const PartitionEvent &Event) {
  for (const auto &Effect : Parts_.at(Id).handle(clock(), Event))
    std::visit([&](const auto &Is) { perform(Id, Is); }, Effect);
}

inline void Process::answer(const PartitionId &Id,
                            const PartitionEvent &Event) {
  for (int Copy = World_.chance(World_.LinkFaults_) ? 2 : 1; Copy > 0; --Copy)
    World_.Time_.after(World_.millis(1, Copy == 2 ? 3000 : 6),
                       [Self = weak_from_this(), Id, Event] {
                         if (const auto Alive = Self.lock())
                           Alive->post(Id, Event);
                       });
}

inline void Process::perform(const PartitionId &Id,
                             const SendTableRequest &Effect) {
  const auto Done = [Self = weak_from_this(), Id,
                     Sent = Effect.Token_](const TableReply &Reply) {
    if (const auto Alive = Self.lock())
      Alive->answer(Id, TableAnswered{Sent, Reply});
  };
  if (isCut())
    World_.Table_.send(Effect.Request_, Done,
                       World_.chance(70) ? TableFault::Unavailable
                                         : TableFault::LostAfter);
  else
    World_.Table_.send(Effect.Request_, Done);
}

inline void Process::perform(const PartitionId &Id,
                             const StartOnWorker &Effect) {
  Outbox_.push_back([this, Id, Effect] {
    const bool Call = Effect.Spec_->Class_ == WorkClass::Direct;
    const auto Tell = [Self = weak_from_this(), Id, Effect,
                       Call](CommandOutcome Outcome, std::int32_t Exit) {
      const auto Alive = Self.lock();
      if (!Alive)
        return;
      if (Call)
        Alive->answer(
            Id, CallAnswered{Effect.Task_, Effect.Attempt_, Outcome, Exit, ""});
      else
        Alive->answer(Id,
                      StartAnswered{Effect.Task_, Effect.Attempt_, Outcome});
    };
    if (clock() >= Effect.ValidUntil_)
      return Tell(CommandOutcome::NotSent, 0);
    FakeWorker &Worker = World_.Workers_.at(Effect.Worker_);
    const bool Lost = World_.chance(World_.LinkFaults_);
    const Duration Way = World_.millis(1, Lost ? 950 : 5);
    World_.Time_.after(Way, [&Worker, Effect, Tell, Call, Lost] {
      // Without an answer the sender knows nothing, whatever took place.
      const bool Silent = Lost || Worker.silent();
      const auto Done = [Tell, Silent](std::int32_t Exit) {
        if (!Silent)
          Tell(CommandOutcome::Started, Exit);
      };
      if (!Worker.hears())
        return;
      const CommandOutcome Outcome = Worker.start(Effect, Done);
      if (!Silent && (!Call || Outcome == CommandOutcome::Refused))
        Tell(Outcome, 0);
    });
    if (Lost || Worker.silent())
      World_.Time_.after(milliseconds(1000),
                         [Tell] { Tell(CommandOutcome::Unknown, 0); });
  });
}

inline void Process::perform(const PartitionId &Id,
                             const ExchangeWithWorker &Effect) {
  Outbox_.push_back([this, Id, Effect] {
    if (clock() >= Effect.ValidUntil_)
      return;
    const TimePoint SentAt = clock();
    FakeWorker &Worker = World_.Workers_.at(Effect.Worker_);
    const bool Lost = World_.chance(World_.LinkFaults_);
    World_.Time_.after(
        World_.millis(1, Lost ? 950 : 5),
        [Self = weak_from_this(), Id, Effect, &Worker, SentAt, Lost] {
          WorkerReported Report{Effect.Worker_, SentAt, {}, {}};
          if (Worker.hears())
            Worker.exchange(Effect, Report);
          const auto Alive = Self.lock();
          if (!Alive)
            return;
          if (Lost || Worker.silent())
            Alive->answer(Id, WorkerUnresponsive{Effect.Worker_});
          else
            Alive->answer(Id, Report);
        });
  });
}

inline void Process::perform(const PartitionId &, const StopOnWorker &Effect) {
  FakeWorker &Worker = World_.Workers_.at(Effect.Worker_);
  if (!World_.chance(World_.LinkFaults_))
    World_.Time_.after(World_.millis(1, 6), [&Worker, Effect] {
      if (Worker.hears())
        Worker.stop(Effect);
    });
}

inline void Process::perform(const PartitionId &, const ReplyToCaller &Effect) {
  World_.noteReply(Effect);
}

// ---------------------------------------------------------------- World

inline FuzzWorld::FuzzWorld(std::uint64_t Seed)
    : Random_(Seed), Table_(Time_, Seed) {
  for (const auto &[Team, Limit] : Limits_)
    Checks_.noteLimit(Time_.now(), Team, Limit);
  changeView();
  addWorkers();
  for (unsigned Index = 0; Index < HostCount; ++Index) {
    Hosts_.emplace_back();
    replace(Index);
  }
}

/// Every partition has a worker in each of three failure domains.
inline void FuzzWorld::addWorkers() {
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

inline void FuzzWorld::changeView() {
  std::vector<Record> Records;
  for (unsigned Stripe = 0; Stripe < Partitions.size(); ++Stripe)
    Records.push_back({Partitions[Stripe].str(), 2,
                       PartitionRecord{Region("r"), Stripe, 2}, "", 1});
  for (const auto &[Team, Limit] : Limits_)
    Records.push_back({Team.str(), 2, LimitRecord{Limit}, "", 1});
  for (const FailureDomain &Domain : Out_)
    Records.push_back({Domain.str(), 2, FailureDomainRecord{true}, "", 1});
  View_ = std::make_shared<const ConfigView>(++Version_, Records);
}

inline void FuzzWorld::replace(unsigned Index) {
  Hosts_[Index] = std::make_shared<Process>(*this, Index, 960 + Random_() % 81);
}

inline void FuzzWorld::noteReply(const ReplyToCaller &Reply) {
  Checks_.noteReply(Reply);
  if (Reply.Answer_ && Reply.Answer_->Ended_)
    Ended_.insert(Reply.Answer_->Job_);
  const auto Sent = Submissions_.find(Reply.Token_);
  if (Sent == Submissions_.end() || Reply.Answer_ ||
      Reply.Answer_.error().Verdict_ != Verdict::NotRun || Retries_ == 0)
    return;
  --Retries_;
  Time_.after(milliseconds(500),
              [this, Spec = Sent->second] { send(Spec, false); });
}

/// All hosts say that they cannot reach the store; none is missing.
inline void FuzzWorld::vouch() {
  const bool Unanimous =
      std::all_of(Hosts_.begin(), Hosts_.end(), [this](const auto &Each) {
        return !Each->paused() && Each->applied() == View_->headVersion();
      });
  if (!TableOut_ || !Unanimous)
    return;
  LastVouch_ = Time_.now();
  for (const auto &Each : Hosts_)
    Each->vouchOutage();
}

inline void FuzzWorld::run(Duration Span) {
  for (const TimePoint End = Time_.now() + Span; Time_.now() < End;) {
    Time_.advance(TickLength);
    for (auto &[Id, Worker] : Workers_)
      Worker.tick();
    if (Time_.now() >= NextVouch_) {
      NextVouch_ = Time_.now() + milliseconds(500);
      vouch();
    }
    if (TableOut_ && Time_.now() >= OutageEnds_)
      Table_.setOut(TableOut_ = false);
    for (unsigned Index = 0; Index < HostCount; ++Index) {
      Hosts_[Index]->tick();
      if (Hosts_[Index]->ended())
        replace(Index);
    }
    for (const std::string &Violation : Checks_.violations())
      throw std::runtime_error(Violation);
  }
}

inline Process &FuzzWorld::hostOf(const PartitionId &Home, bool Anywhere) {
  for (const auto &Each : Hosts_)
    if (!Anywhere && Each->owns(Home) && !Each->paused())
      return *Each;
  return *Hosts_[Random_() % HostCount];
}

inline void FuzzWorld::submit(const Step &Value) {
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

inline void FuzzWorld::send(const JobSpec &Spec, bool Anywhere) {
  const Token Sent = NextToken_++;
  const PartitionId Home = homePartitionOf(Spec);
  Submissions_[Sent] = Spec;
  Checks_.noteSubmitted(Sent, Spec.Id_);
  hostOf(Home, Anywhere).post(Home, Submitted{Sent, Spec});
}

inline void FuzzWorld::cancel(const JobSpec &Spec) {
  const PartitionId Home = homePartitionOf(Spec);
  hostOf(Home, false)
      .post(Home, CancelRequested{NextToken_++, Spec.Team_, Spec.Id_});
}

inline void FuzzWorld::changeRecords(const Step &Value) {
  // The operator's change needs the store, and waits for vouches to end.
  if (TableOut_ || Time_.now() < LastVouch_ + milliseconds(3300))
    return;
  if (Value.Kind_ == 12) {
    const TeamId &Team = Teams[Value.Actor_ % 2];
    Limits_[Team] = Value.Amount_ % 14;
    Checks_.noteLimit(Time_.now(), Team, Limits_[Team]);
  } else {
    const FailureDomain Domain("d" + std::to_string(Value.Actor_));
    const bool Out = Value.Amount_ < 30;
    if (Out)
      Out_.insert(Domain);
    else
      Out_.erase(Domain);
    Checks_.noteDomain(Time_.now(), Domain, Out);
  }
  changeView();
}

inline void FuzzWorld::apply(const Step &Value) {
  Process &Host = *Hosts_[Value.Actor_];
  FakeWorker &Worker =
      std::next(Workers_.begin(), Value.Amount_ % WorkerCount)->second;
  const Duration Short = milliseconds(50) * Value.Amount_;
  switch (Value.Kind_) {
  case 0:
  case 1:
  case 2:
    return run(Short);
  case 3:
  case 4:
  case 5:
    submit(Value);
    return run(milliseconds(50));
  case 6:
    if (!Jobs_.empty())
      send(Jobs_[Random_() % Jobs_.size()], true);
    return;
  case 7:
    for (unsigned Count = 0; Count < Value.Amount_ % 8; ++Count)
      if (!Jobs_.empty())
        cancel(Jobs_[Random_() % Jobs_.size()]);
    return;
  case 8:
    return Value.Amount_ < 50 ? replace(Value.Actor_) : Host.pause(Short);
  case 9:
    return Host.cut(2 * Short);
  case 10:
    return Table_.setFaultRate(std::max(50U, Value.Amount_) / 2 - 25);
  case 11:
    Table_.setOut(TableOut_ = true);
    OutageEnds_ = Time_.now() + 2 * Short;
    return;
  case 12:
  case 13:
    return changeRecords(Value);
  case 14:
    return Worker.beSilent(4 * Short, Value.Actor_ == 0);
  case 15:
    return Value.Actor_ == 0 ? Worker.die() : Worker.revive();
  case 16:
    return Worker.setFailing(Value.Actor_ == 0);
  case 17:
    Worker.setLeaving(Value.Actor_ == 0);
    return Checks_.noteLeaving(Time_.now(), Worker.info().Id_,
                               Worker.leaving());
  case 18:
    return Host.drain();
  default:
    LinkFaults_ = std::max(50U, Value.Amount_) / 2 - 25;
  }
}

/// All faults stop, all hosts are replaced one after the other.
inline void FuzzWorld::heal() {
  Table_.setFaultRate(0);
  Table_.setOut(TableOut_ = false);
  LinkFaults_ = 0;
  for (auto &[Id, Worker] : Workers_) {
    Worker.beSilent(Duration(0), true);
    Worker.revive();
    Worker.setFailing(false);
    Worker.setLeaving(false);
    Checks_.noteLeaving(Time_.now(), Id, false);
  }
  run(milliseconds(8000));
  for (const FailureDomain &Domain : Out_)
    Checks_.noteDomain(Time_.now(), Domain, false);
  Out_.clear();
  for (auto &[Team, Limit] : Limits_)
    Checks_.noteLimit(Time_.now(), Team, Limit = 6);
  changeView();
  for (unsigned Index = 0; Index < HostCount; ++Index)
    replace(Index);
  run(milliseconds(8000));
}

inline void FuzzWorld::finish() {
  heal();
  for (int Round = 0; Round < 40; ++Round) {
    for (const JobSpec &Spec : Jobs_) {
      // A service without an answer may run, and then takes room.
      if (Spec.Class_ == WorkClass::Service)
        cancel(Spec);
      if (!Checks_.accepted().contains(Spec.Id_) || Ended_.contains(Spec.Id_))
        continue;
      const PartitionId Home = homePartitionOf(Spec);
      Process &Owner = hostOf(Home, false);
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

inline void play(FuzzWorld &World, const std::vector<Step> &Steps) {
  World.run(milliseconds(4500));
  for (const Step &Value : Steps)
    World.apply(Value);
  World.finish();
}

} // namespace oleandergauge

#endif // OLEANDERGAUGE_TEST_CORE_PARTITION_FUZZ_WORLD_H
