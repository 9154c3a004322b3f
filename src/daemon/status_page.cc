#include "daemon/status_page.h"

#include <algorithm>

namespace oleandergauge::daemon {
namespace {

nlohmann::json partitionJson(const PartitionId &Id, const PartitionRecord &Spec,
                             const Routing &Known,
                             const PartitionStats *Stats) {
  nlohmann::json Out = {
      {"name", Id.str()},       {"region", Spec.Region_.str()},
      {"stripe", Spec.Stripe_}, {"stripes", Spec.Stripes_},
      {"owner", nullptr},       {"owned_here", false}};
  auto Owner = Known.Owners_.find(Id);
  if (Owner != Known.Owners_.end())
    Out["owner"] = Owner->second.Host_.str();
  if (Stats == nullptr || !Stats->Owned_)
    return Out;
  Out["owned_here"] = true;
  Out["epoch"] = Stats->Epoch_;
  Out["workers"] = Stats->Workers_;
  Out["open_workers"] = Stats->OpenWorkers_;
  Out["jobs"] = Stats->Jobs_;
  Out["waiting"] = Stats->Waiting_;
  Out["running"] = Stats->Running_;
  Out["journal_sequence"] = Stats->JournalSequence_;
  return Out;
}

nlohmann::json hostsJson(const Routing &Known) {
  nlohmann::json Out = nlohmann::json::array();
  for (const HostId &Host : Known.Members_) {
    bool Live = std::find(Known.Live_.begin(), Known.Live_.end(), Host) !=
                Known.Live_.end();
    Out.push_back({{"host", Host.str()}, {"live", Live}});
  }
  return Out;
}

std::int64_t millisUntil(TimePoint Until, TimePoint Now) {
  if (Until <= Now)
    return 0;
  return std::chrono::duration_cast<std::chrono::milliseconds>(Until - Now)
      .count();
}

} // namespace

nlohmann::json
statusJson(const StatusFacts &Facts, const Routing &Known,
           const std::map<PartitionId, PartitionStats> &Partitions) {
  nlohmann::json Listed = nlohmann::json::array();
  std::uint64_t Version = 0;
  if (Known.View_) {
    Version = Known.View_->headVersion();
    for (const auto &[Id, Spec] : Known.View_->partitions()) {
      auto Stats = Partitions.find(Id);
      Listed.push_back(
          partitionJson(Id, Spec, Known,
                        Stats == Partitions.end() ? nullptr : &Stats->second));
    }
  }
  std::int64_t ProvenFor = millisUntil(Known.MayActUntil_, Facts.Now_);
  return {
      {"host", Facts.Self_.Host_.str()},
      {"region", Facts.Self_.Region_.str()},
      {"failure_domain", Facts.Self_.Domain_.str()},
      {"version", OLEANDERGAUGE_VERSION},
      {"draining", Facts.Draining_},
      {"in_flight", Facts.InFlight_},
      {"config_version", Version},
      {"config_proven", ProvenFor > 0},
      {"config_proven_for_ms", ProvenFor},
      {"store_outage_proven", millisUntil(Known.OutageUntil_, Facts.Now_) > 0},
      {"hosts", hostsJson(Known)},
      {"partitions", std::move(Listed)}};
}

} // namespace oleandergauge::daemon
