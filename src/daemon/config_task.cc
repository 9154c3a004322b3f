#include "daemon/config_task.h"

#include <algorithm>
#include <set>
#include <utility>

#include "codec/peer.h"
#include "codec/records.h"
#include "daemon/log.h"
#include "daemon/peer_link.h"
#include "daemon/platform_clients.h"
#include "daemon/record_changes.h"
#include "daemon/record_loader.h"

namespace oleandergauge::daemon {
namespace {

constexpr Duration HeadInterval = std::chrono::milliseconds(500);
constexpr Duration MembersInterval = std::chrono::milliseconds(1000);
constexpr Duration PublishInterval = std::chrono::milliseconds(100);
constexpr Duration ProofLogDelay = std::chrono::milliseconds(1000);
constexpr Duration RegisterRetry = std::chrono::milliseconds(500);
constexpr Duration HeartbeatTimeout = std::chrono::milliseconds(1000);
constexpr std::uint32_t MaxMembers = 1000;
constexpr int MaxDeregisterTries = 3;

/// Empty where the row is absent.
std::optional<Row> findRow(const Rows &Read, const std::string &Key) {
  auto Found = std::find_if(Read.Rows_.begin(), Read.Rows_.end(),
                            [&](const Row &R) { return R.Key_ == Key; });
  if (Found == Read.Rows_.end() || Found->Version_ == 0)
    return std::nullopt;
  return *Found;
}

/// The head version out of a read that names its row; empty where the table
/// did not answer.
std::optional<std::uint64_t> headOf(const Rows *Read) {
  if (Read == nullptr)
    return std::nullopt;
  Row Absent{codec::ConfigHeadKey, "", 0};
  Row Found = findRow(*Read, codec::ConfigHeadKey).value_or(Absent);
  Result<codec::ConfigHead> Head = codec::decodeHead(Found);
  return Head ? std::optional(Head->Version_) : std::nullopt;
}

TimePoint evidenceEnd(const std::optional<TimePoint> &ProvenAt) {
  return ProvenAt ? *ProvenAt + MaxEvidenceAge : UnknownTime;
}

} // namespace

class ConfigTask::Engine {
public:
  Engine(TaskThread &Thread, const Settings &Options, Metrics &Figures,
         ConfigTaskOutputs Outputs)
      : Thread_(Thread), Options_(Options), Figures_(Figures),
        Outputs_(std::move(Outputs)), Members_(Options.member()),
        Guard_(Options.Host_), View_(std::make_shared<ConfigView>()) {}

  void start();
  void receive(const ConfigTaskMessage &Message);

private:
  void take(const OwnershipReported &Reported);
  void take(const HeartbeatReceived &Received);
  void take(ChangeAsked Wanted) {
    Wanted.Operator_ += "@" + Options_.Host_.str();
    Changes_->change(std::move(Wanted));
  }
  void take(const RecordAsked &Asked) { Changes_->read(Asked); }
  void take(const LogAsked &Asked) { Changes_->readLog(Asked); }
  void take(const DrainAnnounced &Wanted);
  void take(const DeregisterRequested &Wanted);

  RecordChangesOutputs changesOutputs();
  void sendTable(const TableRequest &Request,
                 std::function<void(const TableReply &)> Done);
  void readHead();
  void headRead(TimePoint BeganAt, const TableReply &Reply);
  void readOwners(const Rows &Read);
  void apply(std::shared_ptr<const ConfigView> Loaded);
  void registerSelf();
  void readMembers();
  void membersRead(TimePoint BeganAt, const TableReply &Reply);
  void deleteExpired(const Rows &Read);
  void readLiveList();
  void sendHeartbeats();
  Heartbeat ownHeartbeat(const PeerVouch &Vouch) const;
  void heartbeatAnswered(TimePoint SentAt, const PeerReply &Reply);
  void logProof(TimePoint Now, bool MayAct);
  void publish();
  std::shared_ptr<const Routing> routing(TimePoint Now) const;

  TaskThread &Thread_;
  const Settings &Options_;
  Metrics &Figures_;
  ConfigTaskOutputs Outputs_;
  Membership Members_;
  FreshnessGuard Guard_;
  std::shared_ptr<const ConfigView> View_;
  std::vector<OwnedPartition> Owned_;
  std::optional<TimePoint> RegisteredAt_;
  bool Registering_ = false;
  bool ReadingHead_ = false;
  bool ReadingMembers_ = false;
  bool ReadingList_ = false;
  bool Draining_ = false;
  bool Leaving_ = false;
  int DeregisterTries_ = 0;
  TimePoint ProvenLast_ = UnknownTime;
  bool ProofTold_ = false;
  std::unique_ptr<RecordChanges> Changes_;
  std::unique_ptr<RecordLoader> Loader_;
  std::unique_ptr<TableClient> Table_;
  std::unique_ptr<LiveListClient> List_;
  std::unique_ptr<PeerClient> Peers_;
};

void ConfigTask::Engine::start() {
  Table_ =
      std::make_unique<TableClient>(Options_.TableUrl_, Options_.TableTimeout_);
  List_ = std::make_unique<LiveListClient>(Options_.LiveListUrl_,
                                           Options_.LiveListTimeout_);
  Peers_ = std::make_unique<PeerClient>();
  Changes_ = std::make_unique<RecordChanges>(changesOutputs());
  Loader_ = std::make_unique<RecordLoader>(
      [this](const auto &Request, auto Done) { sendTable(Request, Done); },
      [this](std::shared_ptr<const ConfigView> Loaded) {
        apply(std::move(Loaded));
      });
  Thread_.every(HeadInterval, [this] { readHead(); });
  Thread_.every(MembersInterval, [this] { readMembers(); });
  Thread_.every(Options_.LiveListInterval_, [this] { readLiveList(); });
  Thread_.every(HeartbeatInterval, [this] { sendHeartbeats(); });
  Thread_.every(PublishInterval, [this] { publish(); });
  readHead();
  readMembers();
  readLiveList();
  registerSelf();
}

void ConfigTask::Engine::receive(const ConfigTaskMessage &Message) {
  std::visit([this](const auto &Taken) { take(Taken); }, Message);
}

void ConfigTask::Engine::take(const OwnershipReported &Reported) {
  Owned_ = Reported.Owned_;
  Members_.setOwned(Reported.Owned_);
  publish();
}

/// The vouch of an outage binds this host, so the partitions learn of it
/// before the peer does.
void ConfigTask::Engine::take(const HeartbeatReceived &Received) {
  TimePoint Now = monotonicNow();
  if (Result<Heartbeat> Beat = codec::decodeHeartbeat(Received.Body_))
    Members_.noteHeartbeat(Now, *Beat);
  PeerVouch Vouch = RegisteredAt_ ? Guard_.vouch(Now) : PeerVouch{};
  publish();
  Outputs_.Peer_(HeartbeatAnswered{
      Received.Token_, codec::encodeHeartbeatReply(ownHeartbeat(Vouch))});
}

void ConfigTask::Engine::take(const DrainAnnounced &) {
  Draining_ = true;
  Members_.setDraining(true);
  sendHeartbeats();
  publish();
}

void ConfigTask::Engine::take(const DeregisterRequested &Wanted) {
  Leaving_ = true;
  Write Removal{codec::memberKey(Options_.Host_), std::nullopt};
  sendTable(Transaction{{}, {Removal}}, [this, Wanted](const auto &Reply) {
    bool Done = std::holds_alternative<Committed>(Reply);
    if (!Done && ++DeregisterTries_ < MaxDeregisterTries) {
      take(Wanted);
      return;
    }
    logLine(Done ? LogLevel::Info : LogLevel::Warning,
            Done ? "deregistered" : "the member row could not be deleted");
    Outputs_.Host_(Deregistered{});
  });
}

RecordChangesOutputs ConfigTask::Engine::changesOutputs() {
  RecordChangesOutputs Out;
  Out.Table_ = [this](const auto &Request, auto Done) {
    sendTable(Request, std::move(Done));
  };
  Out.After_ = [this](Duration Delay, auto Call) {
    Thread_.after(Delay, std::move(Call));
  };
  Out.Now_ = monotonicNow;
  Out.UnixMs_ = [] { return g_get_real_time() / 1000; };
  Out.MayCommit_ = [this] {
    return !Leaving_ && Guard_.mayCommitChange(monotonicNow());
  };
  Out.SetInFlight_ = [this](bool InFlight) {
    Guard_.setChangeInFlight(InFlight);
    if (!InFlight)
      readHead();
  };
  Out.Answers_ = Outputs_.Http_;
  return Out;
}

void ConfigTask::Engine::sendTable(
    const TableRequest &Request, std::function<void(const TableReply &)> Done) {
  Table_->send(Request, std::move(Done));
}

void ConfigTask::Engine::readHead() {
  if (std::exchange(ReadingHead_, true))
    return;
  ReadKeys Wants{{codec::ConfigHeadKey}};
  for (const auto &[Id, Spec] : View_->partitions())
    Wants.Keys_.push_back(ownerKey(Id));
  TimePoint BeganAt = monotonicNow();
  sendTable(Wants, [this, BeganAt](const TableReply &Reply) {
    ReadingHead_ = false;
    headRead(BeganAt, Reply);
  });
}

void ConfigTask::Engine::headRead(TimePoint BeganAt, const TableReply &Reply) {
  const auto *Read = std::get_if<Rows>(&Reply);
  std::optional<std::uint64_t> Head = headOf(Read);
  Figures_.count("head_reads", {{"outcome", Head ? "answered" : "failed"}});
  if (Read == nullptr)
    Guard_.noteStoreFailure(BeganAt);
  if (!Head) {
    publish();
    return;
  }
  std::uint64_t Version = *Head;
  Guard_.noteHeadRead(Version, BeganAt);
  readOwners(*Read);
  if (Version > View_->headVersion())
    Loader_->load(Version);
  publish();
}

void ConfigTask::Engine::readOwners(const Rows &Read) {
  for (const auto &[Id, Spec] : View_->partitions()) {
    std::optional<Row> Found = findRow(Read, ownerKey(Id));
    if (!Found)
      continue;
    if (auto Owner = decodeOwner(Found->Value_))
      Members_.noteOwnerRow(Id, Owner->Epoch_, Owner->Host_);
  }
}

void ConfigTask::Engine::apply(std::shared_ptr<const ConfigView> Loaded) {
  if (Loaded->headVersion() <= View_->headVersion())
    return;
  View_ = std::move(Loaded);
  Guard_.setAppliedVersion(View_->headVersion());
  auto Version = static_cast<std::int64_t>(View_->headVersion());
  auto Count = static_cast<std::int64_t>(View_->records().size());
  logLine(LogLevel::Info, "configuration applied",
          {{"version", Version}, {"count", Count}});
  Figures_.set("config_version", {}, static_cast<double>(Version));
  Outputs_.Partitions_(ConfigApplied{View_});
  publish();
}

void ConfigTask::Engine::registerSelf() {
  if (Leaving_ || std::exchange(Registering_, true))
    return;
  Write Entry{codec::memberKey(Options_.Host_),
              codec::encodeMember(Options_.member())};
  sendTable(Transaction{{}, {Entry}}, [this](const TableReply &Reply) {
    Registering_ = false;
    if (!std::holds_alternative<Committed>(Reply)) {
      Thread_.after(RegisterRetry, [this] { registerSelf(); });
      return;
    }
    RegisteredAt_ = monotonicNow();
    Guard_.noteRegistered(*RegisteredAt_);
    logLine(LogLevel::Info, "registered",
            {{"address", Options_.PeerAdvertise_}});
    readMembers();
  });
}

void ConfigTask::Engine::readMembers() {
  if (std::exchange(ReadingMembers_, true))
    return;
  TimePoint BeganAt = monotonicNow();
  sendTable(Scan{codec::MemberPrefix, "", MaxMembers},
            [this, BeganAt](const TableReply &Reply) {
              ReadingMembers_ = false;
              membersRead(BeganAt, Reply);
            });
}

void ConfigTask::Engine::membersRead(TimePoint BeganAt,
                                     const TableReply &Reply) {
  const auto *Read = std::get_if<Rows>(&Reply);
  if (Read == nullptr)
    return;
  std::vector<Member> Found;
  bool SelfFound = false;
  for (const Row &Each : Read->Rows_)
    if (Result<Member> Decoded = codec::decodeMember(Each)) {
      SelfFound = SelfFound || *Decoded == Options_.member();
      Found.push_back(*Decoded);
    }
  Members_.setRegistered(monotonicNow(), Found);
  deleteExpired(*Read);
  // Read after the registration and yet not there: the row was deleted.
  if (!SelfFound && RegisteredAt_ && *RegisteredAt_ < BeganAt)
    registerSelf();
  publish();
}

/// Conditional on the version that was read, so that a host which registers
/// meanwhile keeps its row.
void ConfigTask::Engine::deleteExpired(const Rows &Read) {
  for (const HostId &Host : Members_.expiredMembers(monotonicNow())) {
    const std::string Key = codec::memberKey(Host);
    const std::optional<Row> Present = findRow(Read, Key);
    if (!Present)
      continue;
    logLine(LogLevel::Info, "deleting the row of a member that is gone",
            {{"peer", Host.str()}});
    sendTable(Transaction{{{Key, Present->Version_}}, {{Key, std::nullopt}}},
              [](const TableReply &) {});
  }
}

void ConfigTask::Engine::readLiveList() {
  if (std::exchange(ReadingList_, true))
    return;
  List_->read([this](const std::optional<LiveList> &Read) {
    ReadingList_ = false;
    Figures_.count("live_list_reads",
                   {{"outcome", Read ? "answered" : "failed"}});
    if (!Read)
      return;
    Members_.setListed(monotonicNow(), Read->EntryHosts_);
    if (!Read->Unchanged_)
      Outputs_.Partitions_(WorkersListed{Read->Workers_});
  });
}

Heartbeat ConfigTask::Engine::ownHeartbeat(const PeerVouch &Vouch) const {
  return {Options_.member(), Draining_, Vouch, Owned_};
}

void ConfigTask::Engine::sendHeartbeats() {
  if (!RegisteredAt_ || Leaving_)
    return;
  TimePoint Now = monotonicNow();
  std::string Body = codec::encodeHeartbeat(ownHeartbeat(Guard_.vouch(Now)));
  for (const Member &Peer : Members_.peers())
    Peers_->request(
        Peer.Address_, HeartbeatPath, Body, HeartbeatTimeout,
        [this, Now](const PeerReply &Reply) { heartbeatAnswered(Now, Reply); });
}

void ConfigTask::Engine::heartbeatAnswered(TimePoint SentAt,
                                           const PeerReply &Reply) {
  bool Answered = Reply.Outcome_ == PeerOutcome::Answered;
  Figures_.count("heartbeats", {{"outcome", Answered ? "answered" : "failed"}});
  if (!Answered)
    return;
  Result<Heartbeat> Beat = codec::decodeHeartbeatReply(Reply.Body_, SentAt);
  if (!Beat)
    return;
  Members_.noteHeartbeat(monotonicNow(), *Beat);
  Guard_.noteVouch(Beat->From_.Host_, Beat->Vouch_);
  publish();
}

std::shared_ptr<const Routing>
ConfigTask::Engine::routing(TimePoint Now) const {
  Routing Out;
  Out.View_ = View_;
  Out.MayActUntil_ = evidenceEnd(Guard_.provenAt(Now));
  Out.OutageUntil_ = evidenceEnd(Guard_.outageProvenAt(Now));
  for (const auto &[Id, Spec] : View_->partitions())
    if (std::optional<Member> Owner = Members_.ownerOf(Id))
      Out.Owners_[Id] = *Owner;
  Out.Members_ = Members_.peers();
  Out.Members_.push_back(Options_.member());
  Out.Live_ = Members_.livePeers(Now);
  return std::make_shared<const Routing>(std::move(Out));
}

/// Each change of a record leaves the host without proof for a few
/// milliseconds, which is not worth a line.
void ConfigTask::Engine::logProof(TimePoint Now, bool MayAct) {
  if (MayAct)
    ProvenLast_ = Now;
  bool Told = MayAct || Now - ProvenLast_ < ProofLogDelay;
  if (Told == ProofTold_)
    return;
  ProofTold_ = Told;
  logLine(Told ? LogLevel::Info : LogLevel::Warning,
          Told ? "configuration is proven"
               : "configuration is not proven; new work is refused");
}

void ConfigTask::Engine::publish() {
  TimePoint Now = monotonicNow();
  Guard_.setMembers(Members_.countedMembers(Now));
  std::vector<PartitionId> Partitions;
  for (const auto &[Id, Spec] : View_->partitions())
    Partitions.push_back(Id);
  Members_.setPartitions(std::move(Partitions));
  std::shared_ptr<const Routing> Known = routing(Now);
  EvidenceShared Shared;
  Shared.MayActUntil_ = Known->MayActUntil_;
  Shared.OutageUntil_ = Known->OutageUntil_;
  Shared.MayTakeOver_ = !Draining_ && Guard_.mayCommitChange(Now);
  for (const auto &[Id, Spec] : View_->partitions()) {
    Shared.Ranks_[Id] = Members_.takeoverRank(Id, Now);
    auto Owner = Known->Owners_.find(Id);
    if (Owner != Known->Owners_.end() && Owner->second.Host_ != Options_.Host_)
      Shared.OwnedElsewhere_.insert(Id);
  }
  bool MayAct = Guard_.mayAct(Now);
  logProof(Now, MayAct);
  Figures_.set("config_proven", {}, MayAct ? 1 : 0);
  Figures_.set("store_outage_proven", {}, Guard_.outageProven(Now) ? 1 : 0);
  Outputs_.Partitions_(std::move(Shared));
  Outputs_.Http_(RoutingChanged{std::move(Known)});
}

ConfigTask::ConfigTask(TaskThread &Thread, const Settings &Options,
                       Metrics &Figures, ConfigTaskOutputs Outputs)
    : Engine_(std::make_unique<Engine>(Thread, Options, Figures,
                                       std::move(Outputs))) {}

ConfigTask::~ConfigTask() = default;

void ConfigTask::start() { Engine_->start(); }

void ConfigTask::handle(const ConfigTaskMessage &Message) {
  Engine_->receive(Message);
}

} // namespace oleandergauge::daemon
