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

constexpr Duration HeadReadInterval = std::chrono::milliseconds(500);
constexpr Duration MembersReadInterval = std::chrono::milliseconds(1000);
constexpr Duration PublishInterval = std::chrono::milliseconds(100);
/// How long the configuration must stay unproven before this is logged.
constexpr Duration UnprovenLogDelay = std::chrono::milliseconds(1000);
constexpr Duration RegisterRetryDelay = std::chrono::milliseconds(500);
constexpr Duration HeartbeatTimeout = std::chrono::milliseconds(1000);
constexpr std::uint32_t MaxMemberRows = 1000;
constexpr int MaxDeregisterAttempts = 3;

/// Returns the row with this key, or nullopt if the table has none.
std::optional<Row> findRow(const Rows &Read, const std::string &Key) {
  auto Found =
      std::find_if(Read.Rows_.begin(), Read.Rows_.end(),
                   [&](const Row &Candidate) { return Candidate.Key_ == Key; });
  if (Found == Read.Rows_.end() || Found->Version_ == 0)
    return std::nullopt;
  return *Found;
}

/// Decodes the head version from a read that included the head row; an absent
/// row is version 0. Returns nullopt if \p Read is null (the table did not
/// answer) or the row cannot be decoded.
std::optional<std::uint64_t> decodeHeadVersion(const Rows *Read) {
  if (Read == nullptr)
    return std::nullopt;
  Row Absent{codec::ConfigHeadKey, "", 0};
  Row Found = findRow(*Read, codec::ConfigHeadKey).value_or(Absent);
  Result<codec::ConfigHead> Head = codec::decodeHead(Found);
  return Head ? std::optional(Head->Version_) : std::nullopt;
}

/// Returns when evidence of this time expires, UnknownTime if there is none.
TimePoint evidenceExpiry(const std::optional<TimePoint> &ProvenAt) {
  return ProvenAt ? *ProvenAt + MaxEvidenceAge : UnknownTime;
}

} // namespace

class ConfigTask::Engine {
public:
  Engine(TaskThread &Thread, const Settings &Options, Metrics &HostMetrics,
         ConfigTaskOutputs Outputs)
      : Thread_(Thread), Options_(Options), HostMetrics_(HostMetrics),
        Outputs_(std::move(Outputs)), Members_(Options.member()),
        Guard_(Options.Host_), View_(std::make_shared<ConfigView>()) {}

  void start();
  void receive(const ConfigTaskMessage &Message);

private:
  void process(const OwnershipReported &Reported);
  void process(const HeartbeatReceived &Received);
  void process(RecordChangeRequested Requested) {
    Requested.Operator_ += "@" + Options_.Host_.str();
    Changes_->change(std::move(Requested));
  }
  void process(const RecordRequested &Query) { Changes_->read(Query); }
  void process(const ConfigLogRequested &Query) { Changes_->readLog(Query); }
  void process(const DrainStarted &Requested);
  void process(const DeregisterRequested &Requested);

  RecordChangesOutputs makeChangesOutputs();
  void sendTable(const TableRequest &Request,
                 std::function<void(const TableReply &)> Done);
  void readHead();
  void handleHead(TimePoint StartedAt, const TableReply &Reply);
  void applyOwnerRows(const Rows &Read);
  void applyConfig(std::shared_ptr<const ConfigView> NewView);
  void registerSelf();
  void readMembers();
  void handleMembers(TimePoint StartedAt, const TableReply &Reply);
  void deleteExpiredMembers(const Rows &Read);
  void readLiveList();
  void sendHeartbeats();
  Heartbeat makeHeartbeat(const PeerVouch &Vouch) const;
  void handleHeartbeatReply(TimePoint SentAt, const PeerReply &Reply);
  void logProofChange(TimePoint Now, bool MayAct);
  void publishRouting();
  std::shared_ptr<const Routing> buildRouting(TimePoint Now) const;

  TaskThread &Thread_;
  const Settings &Options_;
  Metrics &HostMetrics_;
  ConfigTaskOutputs Outputs_;
  Membership Members_;
  FreshnessGuard Guard_;
  std::shared_ptr<const ConfigView> View_;
  std::vector<OwnedPartition> Owned_;
  std::optional<TimePoint> RegisteredAt_;
  bool Registering_ = false;
  bool ReadingHead_ = false;
  bool ReadingMembers_ = false;
  bool ReadingLiveList_ = false;
  bool Draining_ = false;
  bool Deregistering_ = false;
  int DeregisterAttempts_ = 0;
  TimePoint LastProvenAt_ = UnknownTime;
  bool LoggedAsProven_ = false;
  std::unique_ptr<RecordChanges> Changes_;
  std::unique_ptr<RecordLoader> Loader_;
  std::unique_ptr<TableClient> Table_;
  std::unique_ptr<LiveListClient> LiveList_;
  std::unique_ptr<PeerClient> Peers_;
};

void ConfigTask::Engine::start() {
  Table_ =
      std::make_unique<TableClient>(Options_.TableUrl_, Options_.TableTimeout_);
  LiveList_ = std::make_unique<LiveListClient>(Options_.LiveListUrl_,
                                               Options_.LiveListTimeout_);
  Peers_ = std::make_unique<PeerClient>();
  Changes_ = std::make_unique<RecordChanges>(makeChangesOutputs());
  Loader_ = std::make_unique<RecordLoader>(
      [this](const auto &Request, auto Done) { sendTable(Request, Done); },
      [this](std::shared_ptr<const ConfigView> NewView) {
        applyConfig(std::move(NewView));
      });
  Thread_.runEvery(HeadReadInterval, [this] { readHead(); });
  Thread_.runEvery(MembersReadInterval, [this] { readMembers(); });
  Thread_.runEvery(Options_.LiveListInterval_, [this] { readLiveList(); });
  Thread_.runEvery(HeartbeatInterval, [this] { sendHeartbeats(); });
  Thread_.runEvery(PublishInterval, [this] { publishRouting(); });
  readHead();
  readMembers();
  readLiveList();
  registerSelf();
}

void ConfigTask::Engine::receive(const ConfigTaskMessage &Message) {
  std::visit([this](const auto &Content) { process(Content); }, Message);
}

void ConfigTask::Engine::process(const OwnershipReported &Reported) {
  Owned_ = Reported.Owned_;
  Members_.setOwned(Reported.Owned_);
  publishRouting();
}

/// Replies to a peer's heartbeat. Vouching for a store outage restricts what
/// this host may do, so its own partitions are told before the peer is.
void ConfigTask::Engine::process(const HeartbeatReceived &Received) {
  TimePoint Now = monotonicNow();
  if (Result<Heartbeat> PeerHeartbeat = codec::decodeHeartbeat(Received.Body_))
    Members_.noteHeartbeat(Now, *PeerHeartbeat);
  PeerVouch Vouch = RegisteredAt_ ? Guard_.vouch(Now) : PeerVouch{};
  publishRouting();
  Outputs_.Peer_(HeartbeatAnswered{
      Received.Token_, codec::encodeHeartbeatReply(makeHeartbeat(Vouch))});
}

void ConfigTask::Engine::process(const DrainStarted &) {
  Draining_ = true;
  Members_.setDraining(true);
  sendHeartbeats();
  publishRouting();
}

void ConfigTask::Engine::process(const DeregisterRequested &Requested) {
  Deregistering_ = true;
  Write MemberDeletion{codec::memberKey(Options_.Host_), std::nullopt};
  sendTable(
      Transaction{{}, {MemberDeletion}}, [this, Requested](const auto &Reply) {
        bool Done = std::holds_alternative<Committed>(Reply);
        if (!Done && ++DeregisterAttempts_ < MaxDeregisterAttempts) {
          process(Requested);
          return;
        }
        logLine(Done ? LogLevel::Info : LogLevel::Warning,
                Done ? "deregistered" : "the member row could not be deleted");
        Outputs_.Host_(Deregistered{});
      });
}

RecordChangesOutputs ConfigTask::Engine::makeChangesOutputs() {
  RecordChangesOutputs Out;
  Out.Table_ = [this](const auto &Request, auto Done) {
    sendTable(Request, std::move(Done));
  };
  Out.RunAfter_ = [this](Duration Delay, auto Call) {
    Thread_.runAfter(Delay, std::move(Call));
  };
  Out.Now_ = monotonicNow;
  Out.UnixMs_ = [] { return g_get_real_time() / 1000; };
  Out.MayCommit_ = [this] {
    return !Deregistering_ && Guard_.mayCommitChange(monotonicNow());
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

/// Reads the head and the owner rows, unless a read is in progress.
void ConfigTask::Engine::readHead() {
  if (std::exchange(ReadingHead_, true))
    return;
  ReadKeys KeysToRead{{codec::ConfigHeadKey}};
  for (const auto &[Id, Spec] : View_->partitions())
    KeysToRead.Keys_.push_back(ownerKey(Id));
  TimePoint StartedAt = monotonicNow();
  sendTable(KeysToRead, [this, StartedAt](const TableReply &Reply) {
    ReadingHead_ = false;
    handleHead(StartedAt, Reply);
  });
}

void ConfigTask::Engine::handleHead(TimePoint StartedAt,
                                    const TableReply &Reply) {
  const auto *Read = std::get_if<Rows>(&Reply);
  std::optional<std::uint64_t> Head = decodeHeadVersion(Read);
  HostMetrics_.count("head_reads", {{"outcome", Head ? "answered" : "failed"}});
  if (Read == nullptr)
    Guard_.noteStoreFailure(StartedAt);
  if (!Head) {
    publishRouting();
    return;
  }
  std::uint64_t Version = *Head;
  Guard_.noteHeadRead(Version, StartedAt);
  applyOwnerRows(*Read);
  if (Version > View_->headVersion())
    Loader_->load(Version);
  publishRouting();
}

void ConfigTask::Engine::applyOwnerRows(const Rows &Read) {
  for (const auto &[Id, Spec] : View_->partitions()) {
    std::optional<Row> Found = findRow(Read, ownerKey(Id));
    if (!Found)
      continue;
    if (auto Owner = decodeOwner(Found->Value_))
      Members_.noteOwnerRow(Id, Owner->Epoch_, Owner->Host_);
  }
}

void ConfigTask::Engine::applyConfig(
    std::shared_ptr<const ConfigView> NewView) {
  if (NewView->headVersion() <= View_->headVersion())
    return;
  View_ = std::move(NewView);
  Guard_.setAppliedVersion(View_->headVersion());
  auto Version = static_cast<std::int64_t>(View_->headVersion());
  auto Count = static_cast<std::int64_t>(View_->records().size());
  logLine(LogLevel::Info, "configuration applied",
          {{"version", Version}, {"count", Count}});
  HostMetrics_.set("config_version", {}, static_cast<double>(Version));
  Outputs_.Partitions_(ConfigApplied{View_});
  publishRouting();
}

/// Writes this host's member row, and tries again after RegisterRetryDelay if
/// the write fails.
void ConfigTask::Engine::registerSelf() {
  if (Deregistering_ || std::exchange(Registering_, true))
    return;
  Write MemberWrite{codec::memberKey(Options_.Host_),
                    codec::encodeMember(Options_.member())};
  sendTable(Transaction{{}, {MemberWrite}}, [this](const TableReply &Reply) {
    Registering_ = false;
    if (!std::holds_alternative<Committed>(Reply)) {
      Thread_.runAfter(RegisterRetryDelay, [this] { registerSelf(); });
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
  TimePoint StartedAt = monotonicNow();
  sendTable(Scan{codec::MemberPrefix, "", MaxMemberRows},
            [this, StartedAt](const TableReply &Reply) {
              ReadingMembers_ = false;
              handleMembers(StartedAt, Reply);
            });
}

void ConfigTask::Engine::handleMembers(TimePoint StartedAt,
                                       const TableReply &Reply) {
  const auto *Read = std::get_if<Rows>(&Reply);
  if (Read == nullptr)
    return;
  std::vector<Member> Found;
  bool SelfFound = false;
  for (const Row &MemberRow : Read->Rows_)
    if (Result<Member> Decoded = codec::decodeMember(MemberRow)) {
      SelfFound = SelfFound || *Decoded == Options_.member();
      Found.push_back(*Decoded);
    }
  Members_.setRegistered(monotonicNow(), Found);
  deleteExpiredMembers(*Read);
  // The read started after the registration and did not find this host's row,
  // so the row was deleted in between.
  if (!SelfFound && RegisteredAt_ && *RegisteredAt_ < StartedAt)
    registerSelf();
  publishRouting();
}

/// Deletes the rows of expired members. Each deletion is conditional on the
/// version that was read, so that a host which registers again in the meantime
/// keeps its row.
void ConfigTask::Engine::deleteExpiredMembers(const Rows &Read) {
  for (const HostId &Host : Members_.expiredMembers(monotonicNow())) {
    const std::string Key = codec::memberKey(Host);
    const std::optional<Row> CurrentRow = findRow(Read, Key);
    if (!CurrentRow)
      continue;
    logLine(LogLevel::Info, "deleting the row of an expired member",
            {{"peer", Host.str()}});
    sendTable(Transaction{{{Key, CurrentRow->Version_}}, {{Key, std::nullopt}}},
              [](const TableReply &) {});
  }
}

void ConfigTask::Engine::readLiveList() {
  if (std::exchange(ReadingLiveList_, true))
    return;
  LiveList_->read([this](const std::optional<LiveList> &Read) {
    ReadingLiveList_ = false;
    HostMetrics_.count("live_list_reads",
                       {{"outcome", Read ? "answered" : "failed"}});
    if (!Read)
      return;
    Members_.setListed(monotonicNow(), Read->EntryHosts_);
    if (!Read->Unchanged_)
      Outputs_.Partitions_(WorkersListed{Read->Workers_});
  });
}

Heartbeat ConfigTask::Engine::makeHeartbeat(const PeerVouch &Vouch) const {
  return {Options_.member(), Draining_, Vouch, Owned_};
}

void ConfigTask::Engine::sendHeartbeats() {
  if (!RegisteredAt_ || Deregistering_)
    return;
  TimePoint Now = monotonicNow();
  std::string Body = codec::encodeHeartbeat(makeHeartbeat(Guard_.vouch(Now)));
  for (const Member &Peer : Members_.peers())
    Peers_->request(Peer.Address_, HeartbeatPath, Body, HeartbeatTimeout,
                    [this, Now](const PeerReply &Reply) {
                      handleHeartbeatReply(Now, Reply);
                    });
}

void ConfigTask::Engine::handleHeartbeatReply(TimePoint SentAt,
                                              const PeerReply &Reply) {
  bool Answered = Reply.Outcome_ == PeerOutcome::Answered;
  HostMetrics_.count("heartbeats",
                     {{"outcome", Answered ? "answered" : "failed"}});
  if (!Answered)
    return;
  Result<Heartbeat> PeerHeartbeat =
      codec::decodeHeartbeatReply(Reply.Body_, SentAt);
  if (!PeerHeartbeat)
    return;
  Members_.noteHeartbeat(monotonicNow(), *PeerHeartbeat);
  Guard_.noteVouch(PeerHeartbeat->From_.Host_, PeerHeartbeat->Vouch_);
  publishRouting();
}

std::shared_ptr<const Routing>
ConfigTask::Engine::buildRouting(TimePoint Now) const {
  Routing Out;
  Out.View_ = View_;
  Out.MayActUntil_ = evidenceExpiry(Guard_.provenAt(Now));
  Out.OutageUntil_ = evidenceExpiry(Guard_.outageProvenAt(Now));
  for (const auto &[Id, Spec] : View_->partitions())
    if (std::optional<Member> Owner = Members_.ownerOf(Id))
      Out.Owners_[Id] = *Owner;
  Out.Members_ = Members_.peers();
  Out.Members_.push_back(Options_.member());
  Out.Live_ = Members_.livePeers(Now);
  return std::make_shared<const Routing>(std::move(Out));
}

/// Logs when the configuration becomes proven or has been unproven for
/// UnprovenLogDelay. Each record change leaves the host without proof for a few
/// milliseconds, which is not logged.
void ConfigTask::Engine::logProofChange(TimePoint Now, bool MayAct) {
  if (MayAct)
    LastProvenAt_ = Now;
  bool LogAsProven = MayAct || Now - LastProvenAt_ < UnprovenLogDelay;
  if (LogAsProven == LoggedAsProven_)
    return;
  LoggedAsProven_ = LogAsProven;
  logLine(LogAsProven ? LogLevel::Info : LogLevel::Warning,
          LogAsProven ? "configuration is proven"
                      : "configuration is not proven; new work is refused");
}

/// Sends the current routing to the HTTP task and the current evidence to the
/// partition task. Called after each change and every PublishInterval.
void ConfigTask::Engine::publishRouting() {
  TimePoint Now = monotonicNow();
  Guard_.setMembers(Members_.countedMembers(Now));
  std::vector<PartitionId> Partitions;
  for (const auto &[Id, Spec] : View_->partitions())
    Partitions.push_back(Id);
  Members_.setPartitions(std::move(Partitions));
  std::shared_ptr<const Routing> NewRouting = buildRouting(Now);
  EvidenceUpdated Evidence;
  Evidence.MayActUntil_ = NewRouting->MayActUntil_;
  Evidence.OutageUntil_ = NewRouting->OutageUntil_;
  Evidence.MayTakeOver_ = !Draining_ && Guard_.mayCommitChange(Now);
  for (const auto &[Id, Spec] : View_->partitions()) {
    Evidence.Ranks_[Id] = Members_.takeoverRank(Id, Now);
    auto Owner = NewRouting->Owners_.find(Id);
    if (Owner != NewRouting->Owners_.end() &&
        Owner->second.Host_ != Options_.Host_)
      Evidence.OwnedElsewhere_.insert(Id);
  }
  bool MayAct = Guard_.mayAct(Now);
  logProofChange(Now, MayAct);
  HostMetrics_.set("config_proven", {}, MayAct ? 1 : 0);
  HostMetrics_.set("store_outage_proven", {}, Guard_.outageProven(Now) ? 1 : 0);
  Outputs_.Partitions_(std::move(Evidence));
  Outputs_.Http_(RoutingChanged{std::move(NewRouting)});
}

ConfigTask::ConfigTask(TaskThread &Thread, const Settings &Options,
                       Metrics &HostMetrics, ConfigTaskOutputs Outputs)
    : Engine_(std::make_unique<Engine>(Thread, Options, HostMetrics,
                                       std::move(Outputs))) {}

ConfigTask::~ConfigTask() = default;

void ConfigTask::start() { Engine_->start(); }

void ConfigTask::handle(const ConfigTaskMessage &Message) {
  Engine_->receive(Message);
}

} // namespace oleandergauge::daemon
