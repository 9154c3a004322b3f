#include "oleandergauge/config.h"

#include <algorithm>
#include <array>
#include <utility>

namespace oleandergauge {

namespace {

constexpr std::array<std::string_view, std::variant_size_v<RecordBody>>
    KindNames = {"team",           "key",    "share",    "limit", "queue",
                 "failure_domain", "worker", "partition"};

template <typename Map, typename Key>
const typename Map::mapped_type *findIn(const Map &Entries, const Key &Wanted) {
  const auto Found = Entries.find(Wanted);
  return Found == Entries.end() ? nullptr : &Found->second;
}

tl::unexpected<Refusal> refuse(RefusalReason Reason, std::string Message) {
  return tl::unexpected(
      Refusal{Verdict::NotRun, Reason, std::move(Message), Duration(0)});
}

/// Returns true if requests with a key of \p Team may use the queue.
bool admits(const QueueRecord &Queue, const TeamId &Team) {
  return Queue.OpenToAll_ || Queue.Teams_.empty() ||
         std::ranges::find(Queue.Teams_, Team) != Queue.Teams_.end();
}

} // namespace

std::string_view toString(RecordKind Kind) {
  return KindNames.at(static_cast<std::size_t>(Kind));
}

std::optional<RecordKind> parseRecordKind(std::string_view Text) {
  const auto *Found = std::ranges::find(KindNames, Text);
  if (Found == KindNames.end())
    return std::nullopt;
  return static_cast<RecordKind>(Found - KindNames.begin());
}

RecordKind kindOf(const RecordBody &Body) {
  // The alternatives of RecordBody have the order of the enumerators.
  return static_cast<RecordKind>(Body.index());
}

ConfigView::ConfigView(std::uint64_t HeadVersion,
                       const std::vector<Record> &Records)
    : HeadVersion_(HeadVersion), Records_(Records) {
  for (const Record &Each : Records_) {
    const std::string &Name = Each.Name_;
    std::visit(
        detail::Overloaded{
            [&](const TeamRecord &Body) { Teams_[TeamId(Name)] = Body; },
            [&](const KeyRecord &Body) { Keys_[Name] = Body; },
            [&](const ShareRecord &Body) {
              Weights_[TeamId(Name)] = Body.Weight_;
            },
            [&](const LimitRecord &Body) {
              Limits_[TeamId(Name)] = Body.MaxRunning_;
            },
            [&](const QueueRecord &Body) { Queues_[QueueId(Name)] = Body; },
            [&](const FailureDomainRecord &Body) {
              DomainsOut_[FailureDomain(Name)] = Body.Out_;
            },
            [&](const WorkerRecord &Body) {
              WorkersDraining_[WorkerId(Name)] = Body.Draining_;
            },
            [&](const PartitionRecord &Body) {
              Partitions_[PartitionId(Name)] = Body;
            }},
        Each.Body_);
  }
}

const KeyRecord *ConfigView::findKey(const std::string &KeyHash) const {
  return findIn(Keys_, KeyHash);
}

const TeamRecord *ConfigView::findTeam(const TeamId &Team) const {
  return findIn(Teams_, Team);
}

const QueueRecord *ConfigView::findQueue(const QueueId &Queue) const {
  return findIn(Queues_, Queue);
}

double ConfigView::weightOf(const TeamId &Team) const {
  const double *Weight = findIn(Weights_, Team);
  return Weight ? *Weight : 1.0;
}

std::uint32_t ConfigView::limitOf(const TeamId &Team) const {
  const std::uint32_t *Limit = findIn(Limits_, Team);
  return Limit ? *Limit : 0;
}

bool ConfigView::isOut(const FailureDomain &Domain) const {
  const bool *Out = findIn(DomainsOut_, Domain);
  return Out && *Out;
}

bool ConfigView::isDraining(const WorkerId &Worker) const {
  const bool *Draining = findIn(WorkersDraining_, Worker);
  return Draining && *Draining;
}

Result<TeamId> ConfigView::authorize(const std::optional<std::string> &KeyHash,
                                     const TeamId &ClaimedTeam,
                                     const QueueId &Queue) const {
  const QueueRecord *Target = findQueue(Queue);
  if (!Target)
    return refuse(RefusalReason::UnknownQueue,
                  "there is no queue \"" + Queue.str() + "\"");
  if (!KeyHash) {
    if (!Target->OpenToAll_)
      return refuse(RefusalReason::UnknownKey,
                    "queue \"" + Queue.str() + "\" needs a team's key");
    if (ClaimedTeam.empty())
      return refuse(RefusalReason::WrongTeam,
                    "a request without a key must name its team");
    return ClaimedTeam;
  }
  // An invalid key is refused on queues open to all as well, so that a
  // withdrawn key stops working everywhere.
  const KeyRecord *Key = findKey(*KeyHash);
  if (!Key || Key->Withdrawn_)
    return refuse(RefusalReason::UnknownKey,
                  Key ? "the key was withdrawn" : "the key is not known");
  if (!ClaimedTeam.empty() && ClaimedTeam != Key->Team_)
    return refuse(RefusalReason::WrongTeam,
                  "the key is not one of team \"" + ClaimedTeam.str() + "\"");
  if (!admits(*Target, Key->Team_))
    return refuse(RefusalReason::WrongTeam, "queue \"" + Queue.str() +
                                                "\" does not admit team \"" +
                                                Key->Team_.str() + "\"");
  return Key->Team_;
}

std::optional<PartitionId>
ConfigView::homePartitionOf(const TeamId &Team,
                            const RequestId &Request) const {
  if (Partitions_.empty())
    return std::nullopt;
  const std::uint64_t Hash = stableHash(Team.str() + ":" + Request.str());
  const auto Index =
      static_cast<std::ptrdiff_t>(Hash % std::uint64_t{Partitions_.size()});
  return std::next(Partitions_.begin(), Index)->first;
}

std::optional<PartitionId>
ConfigView::partitionOf(const Region &WorkerRegion,
                        const Rack &WorkerRack) const {
  const std::uint64_t Hash = stableHash(WorkerRack.str());
  std::optional<PartitionId> Found;
  for (const auto &[Id, Partition] : Partitions_) {
    if (Partition.Region_ != WorkerRegion || Partition.Stripes_ == 0 ||
        Hash % Partition.Stripes_ != Partition.Stripe_)
      continue;
    // Inconsistent stripe records could assign a worker to two owners. Such a
    // worker belongs to no partition.
    if (Found)
      return std::nullopt;
    Found = Id;
  }
  return Found;
}

} // namespace oleandergauge
