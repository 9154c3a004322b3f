#include "daemon/partition_task.h"

#include <algorithm>
#include <deque>
#include <utility>

#include "daemon/log.h"
#include "daemon/platform_clients.h"

namespace oleandergauge::daemon {
namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(10);
/// The tick interval of a host that owns no partition. The lease polls of a
/// challenger need no shorter one.
constexpr Duration ChallengerTickInterval = std::chrono::milliseconds(50);
constexpr Duration StatsReportInterval = std::chrono::milliseconds(250);

/// Tells a refused caller when to try again. A takeover takes 2.2 s or more.
constexpr Duration OwnerRetryHint = std::chrono::milliseconds(1000);

/// Returns the verdict of a refusal that no partition has handled. Only the
/// work of a refused submission certainly did not run; the job of a query or
/// cancellation may have run before.
Verdict verdictWithoutPartition(const HomeRequest &Request) {
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
  Engine(TaskThread &Thread, const Settings &Options, Metrics &HostMetrics,
         PartitionTaskOutputs Outputs)
      : Thread_(Thread), Options_(Options), HostMetrics_(HostMetrics),
        Outputs_(std::move(Outputs)) {}
  ~Engine();
  Engine(const Engine &) = delete;
  Engine &operator=(const Engine &) = delete;

  void start();
  void receive(PartitionTaskMessage Message);

private:
  /// A partition of the cell and its state on this host.
  struct LocalPartition {
    explicit LocalPartition(Partition StateMachine)
        : StateMachine_(std::move(StateMachine)) {}
    Partition StateMachine_;
    bool Owned_ = false;
    bool Removing_ = false;
    Epoch Epoch_ = 0;
  };
  /// The requester that waits for an answer, with the token that it chose.
  struct Waiter {
    Requester From_ = Requester::Http;
    Token Token_ = 0;
    PartitionId Partition_;
  };
  using RequesterKey = std::pair<Requester, Token>;

  void process(const HomeRequested &Requested);
  void process(const HomeRequestAbandoned &Abandoned);
  void process(const ConfigApplied &Applied);
  void process(const EvidenceUpdated &Updated);
  void process(const WorkersListed &Listed);
  void process(const DrainRequested &DrainRequest);

  void tick();
  void report();
  void reportOwnership();
  void deliver(const PartitionId &Id, const PartitionEvent &Event);
  void deliverNow(const PartitionId &Id, const PartitionEvent &Event);
  void eraseRemovedPartitions();
  void deliverToAll(const PartitionEvent &Event);
  void syncWithRecords();
  void addPartition(const PartitionId &Id);
  void reportIfDrained();
  void answerRequester(const Waiter &To, Result<JobStatus> Answer);

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
  Metrics &HostMetrics_;
  PartitionTaskOutputs Outputs_;
  std::map<PartitionId, LocalPartition> LocalPartitions_;
  std::map<Token, Waiter> Waiters_;
  std::map<RequesterKey, Token> TokensByRequester_;
  Token NextToken_ = 1;
  std::shared_ptr<const ConfigView> View_;
  WorkersListed Listed_;
  EvidenceUpdated Evidence_;
  bool Draining_ = false;
  bool DrainReported_ = false;
  std::deque<std::pair<PartitionId, PartitionEvent>> Events_;
  bool Delivering_ = false;
  std::unique_ptr<TableClient> Table_;
  std::unique_ptr<WorkerClient> Workers_;
};

PartitionTask::Engine::~Engine() {
  // The clients may complete pending requests while they are destroyed. With
  // this flag set, deliver() only queues the resulting events.
  Delivering_ = true;
}

void PartitionTask::Engine::start() {
  Table_ =
      std::make_unique<TableClient>(Options_.TableUrl_, Options_.TableTimeout_);
  Workers_ = std::make_unique<WorkerClient>(Options_.CommandTimeout_,
                                            Options_.CallTimeout_);
  tick();
  Thread_.runEvery(StatsReportInterval, [this] { report(); });
}

void PartitionTask::Engine::receive(PartitionTaskMessage Message) {
  std::visit([this](const auto &Content) { process(Content); }, Message);
}

void PartitionTask::Engine::process(const HomeRequested &Requested) {
  Token LocalToken = NextToken_++;
  HomeRequest Request = Requested.Request_;
  Token RequesterToken =
      std::visit([](const auto &Any) { return Any.Token_; }, Request);
  Waiter NewWaiter{Requested.From_, RequesterToken, Requested.Partition_};
  if (LocalPartitions_.find(Requested.Partition_) == LocalPartitions_.end()) {
    answerRequester(
        NewWaiter,
        tl::unexpected(Refusal{
            verdictWithoutPartition(Request), RefusalReason::OwnerUnavailable,
            "this host does not know the partition", OwnerRetryHint}));
    return;
  }
  Waiters_[LocalToken] = NewWaiter;
  TokensByRequester_[{NewWaiter.From_, RequesterToken}] = LocalToken;
  std::visit(
      [&](auto &Any) {
        Any.Token_ = LocalToken;
        deliver(Requested.Partition_, Any);
      },
      Request);
}

void PartitionTask::Engine::process(const HomeRequestAbandoned &Abandoned) {
  auto Found = TokensByRequester_.find({Abandoned.From_, Abandoned.Token_});
  if (Found == TokensByRequester_.end())
    return;
  Token LocalToken = Found->second;
  PartitionId Id = Waiters_.at(LocalToken).Partition_;
  TokensByRequester_.erase(Found);
  Waiters_.erase(LocalToken);
  deliver(Id, CallerDisconnected{LocalToken});
}

void PartitionTask::Engine::process(const ConfigApplied &Applied) {
  View_ = Applied.View_;
  syncWithRecords();
  deliverToAll(Applied);
}

/// Passes the evidence on to all partitions. Evidence of a store outage is
/// withheld from partitions that another host is known to own.
void PartitionTask::Engine::process(const EvidenceUpdated &Updated) {
  Evidence_ = Updated;
  std::vector<PartitionId> Ids;
  for (const auto &[Id, LocalPartition] : LocalPartitions_)
    Ids.push_back(Id);
  for (const PartitionId &Id : Ids) {
    auto Rank = Updated.Ranks_.find(Id);
    bool OwnedElsewhere = Updated.OwnedElsewhere_.count(Id) != 0;
    deliver(Id,
            EvidenceChanged{Updated.MayActUntil_,
                            OwnedElsewhere ? UnknownTime : Updated.OutageUntil_,
                            Updated.MayTakeOver_ && !Draining_,
                            Rank == Updated.Ranks_.end() ? 0 : Rank->second});
  }
}

void PartitionTask::Engine::process(const WorkersListed &Listed) {
  Listed_ = Listed;
  deliverToAll(Listed);
}

void PartitionTask::Engine::process(const DrainRequested &DrainRequest) {
  Draining_ = true;
  deliverToAll(DrainRequest);
  reportIfDrained();
}

void PartitionTask::Engine::tick() {
  bool OwnsAny =
      std::any_of(LocalPartitions_.begin(), LocalPartitions_.end(),
                  [](const auto &Entry) { return Entry.second.Owned_; });
  deliverToAll(Tick{});
  eraseRemovedPartitions();
  if (Draining_)
    reportIfDrained();
  Thread_.runAfter(OwnsAny || Draining_ ? TickInterval : ChallengerTickInterval,
                   [this] { tick(); });
}

void PartitionTask::Engine::report() {
  PartitionsReported Out;
  TimePoint Now = monotonicNow();
  for (const auto &[Id, LocalPartition] : LocalPartitions_) {
    PartitionStats Stats = LocalPartition.StateMachine_.stats(Now);
    Labels SeriesLabels{{"partition", Id.str()}};
    HostMetrics_.set("partition_owned", SeriesLabels, Stats.Owned_ ? 1 : 0);
    HostMetrics_.set("partition_waiting", SeriesLabels,
                     static_cast<double>(Stats.Waiting_));
    HostMetrics_.set("partition_running", SeriesLabels,
                     static_cast<double>(Stats.Running_));
    HostMetrics_.set("partition_open_workers", SeriesLabels,
                     static_cast<double>(Stats.OpenWorkers_));
    Out.Partitions_[Id] = Stats;
  }
  Outputs_.Http_(std::move(Out));
  reportOwnership();
}

void PartitionTask::Engine::reportOwnership() {
  OwnershipReported Out;
  TimePoint Now = monotonicNow();
  for (const auto &[Id, LocalPartition] : LocalPartitions_)
    if (LocalPartition.Owned_)
      Out.Owned_.push_back({Id, LocalPartition.Epoch_,
                            LocalPartition.StateMachine_.stats(Now).Waiting_});
  Outputs_.Config_(std::move(Out));
}

/// Delivers an event to a partition. Clients may complete requests while an
/// effect is being executed; the resulting events are queued until all effects
/// of the current event are done.
void PartitionTask::Engine::deliver(const PartitionId &Id,
                                    const PartitionEvent &Event) {
  Events_.emplace_back(Id, Event);
  if (Delivering_)
    return;
  Delivering_ = true;
  while (!Events_.empty()) {
    auto [To, NextEvent] = std::move(Events_.front());
    Events_.pop_front();
    deliverNow(To, NextEvent);
  }
  Delivering_ = false;
}

void PartitionTask::Engine::deliverNow(const PartitionId &Id,
                                       const PartitionEvent &Event) {
  auto Found = LocalPartitions_.find(Id);
  if (Found == LocalPartitions_.end())
    return;
  std::vector<PartitionEffect> Effects =
      Found->second.StateMachine_.handle(monotonicNow(), Event);
  for (const PartitionEffect &Effect : Effects)
    std::visit([&](const auto &Any) { execute(Id, Any); }, Effect);
}

void PartitionTask::Engine::deliverToAll(const PartitionEvent &Event) {
  std::vector<PartitionId> Ids;
  for (const auto &[Id, LocalPartition] : LocalPartitions_)
    Ids.push_back(Id);
  for (const PartitionId &Id : Ids)
    deliver(Id, Event);
}

/// Adds and removes partitions according to the partition records. A partition
/// that this host owns stays until it is drained after its record is deleted.
void PartitionTask::Engine::syncWithRecords() {
  for (const auto &[Id, Spec] : View_->partitions())
    if (LocalPartitions_.find(Id) == LocalPartitions_.end())
      addPartition(Id);
  std::vector<PartitionId> RemovedIds;
  for (auto &[Id, LocalPartition] : LocalPartitions_)
    if (View_->partitions().count(Id) == 0 && !LocalPartition.Removing_) {
      LocalPartition.Removing_ = true;
      RemovedIds.push_back(Id);
    }
  for (const PartitionId &Id : RemovedIds)
    deliver(Id, DrainRequested{});
  eraseRemovedPartitions();
}

/// Erases the partitions without a record that this host no longer owns. A
/// record that was added again in the meantime then creates its partition anew.
void PartitionTask::Engine::eraseRemovedPartitions() {
  auto CanErase = [](const auto &Entry) {
    return Entry.second.Removing_ && !Entry.second.Owned_;
  };
  if (std::erase_if(LocalPartitions_, CanErase) > 0)
    syncWithRecords();
}

void PartitionTask::Engine::addPartition(const PartitionId &Id) {
  LocalPartitions_.emplace(
      Id,
      LocalPartition(Partition(Id, Options_.Host_, Options_.PeerAdvertise_)));
  if (!Listed_.Workers_.empty())
    deliver(Id, Listed_);
  process(Evidence_);
  if (Draining_)
    deliver(Id, DrainRequested{});
}

void PartitionTask::Engine::reportIfDrained() {
  bool OwnsAny =
      std::any_of(LocalPartitions_.begin(), LocalPartitions_.end(),
                  [](const auto &Entry) { return Entry.second.Owned_; });
  if (OwnsAny || DrainReported_)
    return;
  DrainReported_ = true;
  Outputs_.Host_(PartitionsDrained{});
}

void PartitionTask::Engine::answerRequester(const Waiter &To,
                                            Result<JobStatus> Answer) {
  HomeRequestAnswered Message{To.Token_, std::move(Answer)};
  if (To.From_ == Requester::Http)
    Outputs_.Http_(std::move(Message));
  else
    Outputs_.Peer_(std::move(Message));
}

void PartitionTask::Engine::execute(const PartitionId &Id,
                                    const SendTableRequest &Effect) {
  TimePoint SentAt = monotonicNow();
  Token RequestToken = Effect.Token_;
  Table_->send(
      Effect.Request_, [this, Id, RequestToken, SentAt](const auto &Reply) {
        bool Answered = !std::holds_alternative<TableUnavailable>(Reply) &&
                        !std::holds_alternative<OutcomeUnknown>(Reply);
        HostMetrics_.count("table_requests",
                           {{"outcome", Answered ? "answered" : "failed"}});
        HostMetrics_.observe("table", TeamId(), WorkClass::Direct,
                             monotonicNow() - SentAt);
        deliver(Id, TableAnswered{RequestToken, Reply});
      });
}

void PartitionTask::Engine::execute(const PartitionId &Id,
                                    const StartOnWorker &Effect) {
  if (Effect.Spec_->Class_ == WorkClass::Direct)
    Workers_->call(Effect, [this, Id](const CallAnswered &Answer) {
      deliver(Id, Answer);
    });
  else
    Workers_->start(Effect, [this, Id](const StartAnswered &Answer) {
      deliver(Id, Answer);
    });
}

void PartitionTask::Engine::execute(const PartitionId &Id,
                                    const ExchangeWithWorker &Effect) {
  Workers_->exchange(Effect, [this, Id](const PartitionEvent &Answer) {
    deliver(Id, Answer);
  });
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
  TokensByRequester_.erase({To.From_, To.Token_});
  answerRequester(To, Effect.Answer_);
}

void PartitionTask::Engine::execute(const PartitionId &Id,
                                    const OwnershipChanged &Effect) {
  LocalPartition &Affected = LocalPartitions_.at(Id);
  Affected.Owned_ = Effect.Owned_;
  Affected.Epoch_ = Effect.Epoch_;
  logLine(LogLevel::Info,
          Effect.Owned_ ? "partition taken over" : "partition lost or released",
          {{"partition", Id.str()},
           {"epoch", static_cast<std::int64_t>(Effect.Epoch_)}});
  HostMetrics_.count("ownership_changes", {{"partition", Id.str()}});
  reportOwnership();
}

void PartitionTask::Engine::execute(const PartitionId &Id, const Drained &) {
  logLine(LogLevel::Info, "partition drained", {{"partition", Id.str()}});
  LocalPartitions_.at(Id).Owned_ = false;
  reportOwnership();
}

void PartitionTask::Engine::execute(const PartitionId &,
                                    const MetricSample &Effect) {
  constexpr std::string_view TimeSuffix = "_us";
  if (endsWith(Effect.Name_, TimeSuffix)) {
    std::string_view ShortName =
        Effect.Name_.substr(0, Effect.Name_.size() - TimeSuffix.size());
    HostMetrics_.observe(std::string(ShortName), Effect.Team_, Effect.Class_,
                         Duration(Effect.Value_));
    return;
  }
  HostMetrics_.count(std::string(Effect.Name_),
                     {{"team", Effect.Team_.str()},
                      {"class", std::string(toString(Effect.Class_))}},
                     static_cast<std::uint64_t>(Effect.Value_));
}

PartitionTask::PartitionTask(TaskThread &Thread, const Settings &Options,
                             Metrics &HostMetrics, PartitionTaskOutputs Outputs)
    : Engine_(std::make_unique<Engine>(Thread, Options, HostMetrics,
                                       std::move(Outputs))) {}

PartitionTask::~PartitionTask() = default;

void PartitionTask::start() { Engine_->start(); }

void PartitionTask::handle(PartitionTaskMessage Message) {
  Engine_->receive(std::move(Message));
}

} // namespace oleandergauge::daemon
