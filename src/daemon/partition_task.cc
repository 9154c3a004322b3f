#include "daemon/partition_task.h"

#include <algorithm>
#include <deque>
#include <utility>

#include "daemon/log.h"
#include "daemon/platform_clients.h"

namespace oleandergauge::daemon {
namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(10);
/// A challenger's lease polls need no finer tick than this.
constexpr Duration ChallengerTickInterval = std::chrono::milliseconds(50);
constexpr Duration ReportInterval = std::chrono::milliseconds(250);

/// Wait before a refused caller asks again: a takeover takes 2.2 s or more.
constexpr Duration OwnerRetryHint = std::chrono::milliseconds(1000);

/// Whether a refusal by this task, which touched no partition, may say that
/// the request's work did not run: true for a submission alone, as the work
/// of a cancelled or queried job may well have run.
Verdict untouchedVerdict(const HomeRequest &Request) {
  return std::holds_alternative<Submitted>(Request) ? Verdict::NotRun
                                                    : Verdict::MayHaveRun;
}

bool endsWith(std::string_view Text, std::string_view End) {
  return Text.size() >= End.size() &&
         Text.substr(Text.size() - End.size()) == End;
}

} // namespace

class PartitionTask::Engine {
public:
  Engine(TaskThread &Thread, const Settings &Options, Metrics &Figures,
         PartitionTaskOutputs Outputs)
      : Thread_(Thread), Options_(Options), Figures_(Figures),
        Outputs_(std::move(Outputs)) {}
  ~Engine();
  Engine(const Engine &) = delete;
  Engine &operator=(const Engine &) = delete;

  void start();
  void receive(PartitionTaskMessage Message);

private:
  struct Unit {
    explicit Unit(Partition Machine) : Machine_(std::move(Machine)) {}
    Partition Machine_;
    bool Owned_ = false;
    bool Removing_ = false;
    Epoch Epoch_ = 0;
  };
  struct Waiter {
    Requester From_ = Requester::Http;
    Token Token_ = 0;
    PartitionId Partition_;
  };
  using WaiterKey = std::pair<Requester, Token>;

  void take(const HomeAsked &Asked);
  void take(const HomeAbandoned &Left);
  void take(const ConfigApplied &Applied);
  void take(const EvidenceShared &Shared);
  void take(const WorkersListed &Listed);
  void take(const DrainRequested &Wanted);

  void tick();
  void report();
  void reportOwnership();
  void feed(const PartitionId &Id, const PartitionEvent &Event);
  void feedOne(const PartitionId &Id, const PartitionEvent &Event);
  void removeGone();
  void feedAll(const PartitionEvent &Event);
  void syncPartitions();
  void addPartition(const PartitionId &Id);
  void finishDrain();
  void answer(const Waiter &To, Result<JobStatus> Answer);

  void execute(const PartitionId &Id, const SendTableRequest &Effect);
  void execute(const PartitionId &Id, const StartOnWorker &Effect);
  void execute(const PartitionId &Id, const ExchangeWithWorker &Effect);
  void execute(const PartitionId &Id, const StopOnWorker &Effect);
  void execute(const PartitionId &Id, const ReplyToCaller &Effect);
  void execute(const PartitionId &Id, const OwnershipChanged &Effect);
  void execute(const PartitionId &Id, const Drained &Effect);
  void execute(const PartitionId &Id, const MetricSample &Effect);

  TaskThread &Thread_;
  const Settings &Options_;
  Metrics &Figures_;
  PartitionTaskOutputs Outputs_;
  std::map<PartitionId, Unit> Units_;
  std::map<Token, Waiter> Waiters_;
  std::map<WaiterKey, Token> TokensByWaiter_;
  Token NextToken_ = 1;
  std::shared_ptr<const ConfigView> View_;
  WorkersListed Listed_;
  EvidenceShared Evidence_;
  bool Draining_ = false;
  bool DrainReported_ = false;
  std::deque<std::pair<PartitionId, PartitionEvent>> Events_;
  bool Feeding_ = false;
  std::unique_ptr<TableClient> Table_;
  std::unique_ptr<WorkerClient> Workers_;
};

PartitionTask::Engine::~Engine() {
  // Clients may answer what is pending while they are destroyed.
  Feeding_ = true;
}

void PartitionTask::Engine::start() {
  Table_ =
      std::make_unique<TableClient>(Options_.TableUrl_, Options_.TableTimeout_);
  Workers_ = std::make_unique<WorkerClient>(Options_.CommandTimeout_,
                                            Options_.CallTimeout_);
  tick();
  Thread_.every(ReportInterval, [this] { report(); });
}

void PartitionTask::Engine::receive(PartitionTaskMessage Message) {
  std::visit([this](const auto &Taken) { take(Taken); }, Message);
}

void PartitionTask::Engine::take(const HomeAsked &Asked) {
  Token Own = NextToken_++;
  HomeRequest Request = Asked.Request_;
  Token Theirs =
      std::visit([](const auto &Any) { return Any.Token_; }, Request);
  Waiter From{Asked.From_, Theirs, Asked.Partition_};
  if (Units_.find(Asked.Partition_) == Units_.end()) {
    answer(From, tl::unexpected(Refusal{
                     untouchedVerdict(Request), RefusalReason::OwnerUnavailable,
                     "this host does not know the partition", OwnerRetryHint}));
    return;
  }
  Waiters_[Own] = From;
  TokensByWaiter_[{From.From_, Theirs}] = Own;
  std::visit(
      [&](auto &Any) {
        Any.Token_ = Own;
        feed(Asked.Partition_, Any);
      },
      Request);
}

void PartitionTask::Engine::take(const HomeAbandoned &Left) {
  auto Found = TokensByWaiter_.find({Left.From_, Left.Token_});
  if (Found == TokensByWaiter_.end())
    return;
  Token Own = Found->second;
  PartitionId Id = Waiters_.at(Own).Partition_;
  TokensByWaiter_.erase(Found);
  Waiters_.erase(Own);
  feed(Id, CallerDisconnected{Own});
}

void PartitionTask::Engine::take(const ConfigApplied &Applied) {
  View_ = Applied.View_;
  syncPartitions();
  feedAll(Applied);
}

void PartitionTask::Engine::take(const EvidenceShared &Shared) {
  Evidence_ = Shared;
  std::vector<PartitionId> Ids;
  for (const auto &[Id, Unit] : Units_)
    Ids.push_back(Id);
  for (const PartitionId &Id : Ids) {
    auto Rank = Shared.Ranks_.find(Id);
    bool Elsewhere = Shared.OwnedElsewhere_.count(Id) != 0;
    feed(Id, EvidenceChanged{Shared.MayActUntil_,
                             Elsewhere ? UnknownTime : Shared.OutageUntil_,
                             Shared.MayTakeOver_ && !Draining_,
                             Rank == Shared.Ranks_.end() ? 0 : Rank->second});
  }
}

void PartitionTask::Engine::take(const WorkersListed &Listed) {
  Listed_ = Listed;
  feedAll(Listed);
}

void PartitionTask::Engine::take(const DrainRequested &Wanted) {
  Draining_ = true;
  feedAll(Wanted);
  finishDrain();
}

void PartitionTask::Engine::tick() {
  bool OwnsAny = std::any_of(Units_.begin(), Units_.end(),
                             [](const auto &E) { return E.second.Owned_; });
  feedAll(Tick{});
  removeGone();
  if (Draining_)
    finishDrain();
  Thread_.after(OwnsAny || Draining_ ? TickInterval : ChallengerTickInterval,
                [this] { tick(); });
}

void PartitionTask::Engine::report() {
  PartitionsReported Out;
  TimePoint Now = monotonicNow();
  for (const auto &[Id, Unit] : Units_) {
    PartitionStats Stats = Unit.Machine_.stats(Now);
    Labels With{{"partition", Id.str()}};
    Figures_.set("partition_owned", With, Stats.Owned_ ? 1 : 0);
    Figures_.set("partition_waiting", With,
                 static_cast<double>(Stats.Waiting_));
    Figures_.set("partition_running", With,
                 static_cast<double>(Stats.Running_));
    Figures_.set("partition_open_workers", With,
                 static_cast<double>(Stats.OpenWorkers_));
    Out.Partitions_[Id] = Stats;
  }
  Outputs_.Http_(std::move(Out));
  reportOwnership();
}

void PartitionTask::Engine::reportOwnership() {
  OwnershipReported Out;
  TimePoint Now = monotonicNow();
  for (const auto &[Id, Unit] : Units_)
    if (Unit.Owned_)
      Out.Owned_.push_back(
          {Id, Unit.Epoch_, Unit.Machine_.stats(Now).Waiting_});
  Outputs_.Config_(std::move(Out));
}

/// Clients may answer while an effect is executed; such events wait until the
/// effects of the present one are done.
void PartitionTask::Engine::feed(const PartitionId &Id,
                                 const PartitionEvent &Event) {
  Events_.emplace_back(Id, Event);
  if (Feeding_)
    return;
  Feeding_ = true;
  while (!Events_.empty()) {
    auto [To, Next] = std::move(Events_.front());
    Events_.pop_front();
    feedOne(To, Next);
  }
  Feeding_ = false;
}

void PartitionTask::Engine::feedOne(const PartitionId &Id,
                                    const PartitionEvent &Event) {
  auto Found = Units_.find(Id);
  if (Found == Units_.end())
    return;
  std::vector<PartitionEffect> Effects =
      Found->second.Machine_.handle(monotonicNow(), Event);
  for (const PartitionEffect &Effect : Effects)
    std::visit([&](const auto &Any) { execute(Id, Any); }, Effect);
}

void PartitionTask::Engine::feedAll(const PartitionEvent &Event) {
  std::vector<PartitionId> Ids;
  for (const auto &[Id, Unit] : Units_)
    Ids.push_back(Id);
  for (const PartitionId &Id : Ids)
    feed(Id, Event);
}

/// Follows the partition records. A partition that this host owns and whose
/// record is gone stays until it is drained.
void PartitionTask::Engine::syncPartitions() {
  for (const auto &[Id, Spec] : View_->partitions())
    if (Units_.find(Id) == Units_.end())
      addPartition(Id);
  std::vector<PartitionId> Gone;
  for (auto &[Id, Unit] : Units_)
    if (View_->partitions().count(Id) == 0 && !Unit.Removing_) {
      Unit.Removing_ = true;
      Gone.push_back(Id);
    }
  for (const PartitionId &Id : Gone)
    feed(Id, DrainRequested{});
  removeGone();
}

void PartitionTask::Engine::removeGone() {
  auto IsGone = [](const auto &E) {
    return E.second.Removing_ && !E.second.Owned_;
  };
  if (std::erase_if(Units_, IsGone) > 0)
    syncPartitions();
}

void PartitionTask::Engine::addPartition(const PartitionId &Id) {
  Units_.emplace(Id,
                 Unit(Partition(Id, Options_.Host_, Options_.PeerAdvertise_)));
  if (!Listed_.Workers_.empty())
    feed(Id, Listed_);
  take(Evidence_);
  if (Draining_)
    feed(Id, DrainRequested{});
}

void PartitionTask::Engine::finishDrain() {
  bool OwnsAny = std::any_of(Units_.begin(), Units_.end(),
                             [](const auto &E) { return E.second.Owned_; });
  if (OwnsAny || DrainReported_)
    return;
  DrainReported_ = true;
  Outputs_.Host_(PartitionsDrained{});
}

void PartitionTask::Engine::answer(const Waiter &To, Result<JobStatus> Answer) {
  HomeAnswered Message{To.Token_, std::move(Answer)};
  if (To.From_ == Requester::Http)
    Outputs_.Http_(std::move(Message));
  else
    Outputs_.Peer_(std::move(Message));
}

void PartitionTask::Engine::execute(const PartitionId &Id,
                                    const SendTableRequest &Effect) {
  TimePoint SentAt = monotonicNow();
  Token Sent = Effect.Token_;
  Table_->send(Effect.Request_, [this, Id, Sent, SentAt](const auto &Reply) {
    bool Answered = !std::holds_alternative<TableUnavailable>(Reply) &&
                    !std::holds_alternative<OutcomeUnknown>(Reply);
    Figures_.count("table_requests",
                   {{"outcome", Answered ? "answered" : "failed"}});
    Figures_.observe("table", TeamId(), WorkClass::Direct,
                     monotonicNow() - SentAt);
    feed(Id, TableAnswered{Sent, Reply});
  });
}

void PartitionTask::Engine::execute(const PartitionId &Id,
                                    const StartOnWorker &Effect) {
  if (Effect.Spec_->Class_ == WorkClass::Direct)
    Workers_->call(
        Effect, [this, Id](const CallAnswered &Answer) { feed(Id, Answer); });
  else
    Workers_->start(
        Effect, [this, Id](const StartAnswered &Answer) { feed(Id, Answer); });
}

void PartitionTask::Engine::execute(const PartitionId &Id,
                                    const ExchangeWithWorker &Effect) {
  Workers_->exchange(
      Effect, [this, Id](const PartitionEvent &Answer) { feed(Id, Answer); });
}

void PartitionTask::Engine::execute(const PartitionId &,
                                    const StopOnWorker &Effect) {
  Workers_->stop(Effect);
}

void PartitionTask::Engine::execute(const PartitionId &,
                                    const ReplyToCaller &Effect) {
  auto Found = Waiters_.find(Effect.Token_);
  if (Found == Waiters_.end())
    return;
  Waiter To = Found->second;
  Waiters_.erase(Found);
  TokensByWaiter_.erase({To.From_, To.Token_});
  answer(To, Effect.Answer_);
}

void PartitionTask::Engine::execute(const PartitionId &Id,
                                    const OwnershipChanged &Effect) {
  Unit &Changed = Units_.at(Id);
  Changed.Owned_ = Effect.Owned_;
  Changed.Epoch_ = Effect.Epoch_;
  logLine(LogLevel::Info,
          Effect.Owned_ ? "partition taken over" : "partition lost or released",
          {{"partition", Id.str()},
           {"epoch", static_cast<std::int64_t>(Effect.Epoch_)}});
  Figures_.count("ownership_changes", {{"partition", Id.str()}});
  reportOwnership();
}

void PartitionTask::Engine::execute(const PartitionId &Id, const Drained &) {
  logLine(LogLevel::Info, "partition drained", {{"partition", Id.str()}});
  Units_.at(Id).Owned_ = false;
  reportOwnership();
}

void PartitionTask::Engine::execute(const PartitionId &,
                                    const MetricSample &Effect) {
  constexpr std::string_view TimeSuffix = "_us";
  if (endsWith(Effect.Name_, TimeSuffix)) {
    std::string_view Short =
        Effect.Name_.substr(0, Effect.Name_.size() - TimeSuffix.size());
    Figures_.observe(std::string(Short), Effect.Team_, Effect.Class_,
                     Duration(Effect.Value_));
    return;
  }
  Figures_.count(std::string(Effect.Name_),
                 {{"team", Effect.Team_.str()},
                  {"class", std::string(toString(Effect.Class_))}},
                 static_cast<std::uint64_t>(Effect.Value_));
}

PartitionTask::PartitionTask(TaskThread &Thread, const Settings &Options,
                             Metrics &Figures, PartitionTaskOutputs Outputs)
    : Engine_(std::make_unique<Engine>(Thread, Options, Figures,
                                       std::move(Outputs))) {}

PartitionTask::~PartitionTask() = default;

void PartitionTask::start() { Engine_->start(); }

void PartitionTask::handle(PartitionTaskMessage Message) {
  Engine_->receive(std::move(Message));
}

} // namespace oleandergauge::daemon
