#include <algorithm>
#include <array>
#include <utility>

#include <glib.h>
#include <nlohmann/json.hpp>

#include "codec/json.h"

namespace oleandergauge::codec {

using nlohmann::json;

namespace {

std::int64_t inMs(Duration Span) {
  return std::chrono::ceil<std::chrono::milliseconds>(Span).count();
}

std::string dumped(const json &Value) {
  // Text that is not UTF-8 comes with marks for what cannot be shown; output
  // of tasks is encoded before, so that nothing of it is lost.
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// "output", or "output_base64" where the bytes are no text.
void addOutput(json &Object, const std::string &Output) {
  const auto Size = static_cast<gssize>(Output.size());
  if (g_utf8_validate(Output.data(), Size, nullptr)) {
    Object["output"] = Output;
    return;
  }
  char *Encoded = g_base64_encode(
      reinterpret_cast<const guchar *>(Output.data()), Output.size());
  Object["output_base64"] = Encoded;
  g_free(Encoded);
}

json asJson(const TaskStatus &Status) {
  json Object = {{"index", Status.Task_.Index_},
                 {"state", toString(Status.State_)},
                 {"attempt", Status.Attempt_}};
  if (!Status.Worker_.empty())
    Object["worker"] = Status.Worker_.str();
  if (!Status.Explanation_.empty())
    Object["explanation"] = Status.Explanation_;
  // Before the end a verdict would be no promise.
  if (Status.State_ != TaskState::Ended)
    return Object;
  Object["verdict"] = toString(Status.Verdict_);
  if (Status.Verdict_ == Verdict::Ran) {
    Object["exit_code"] = Status.ExitCode_;
    addOutput(Object, Status.Output_);
  }
  return Object;
}

json asJson(const Refusal &Refused) {
  return {{"verdict", toString(Refused.Verdict_)},
          {"reason", toString(Refused.Reason_)},
          {"message", Refused.Message_},
          {"retry_after_ms", inMs(Refused.RetryAfter_)}};
}

json namesOf(const std::vector<TeamId> &Teams) {
  json Names = json::array();
  for (const TeamId &Team : Teams)
    Names.push_back(Team.str());
  return Names;
}

json asJson(const TeamRecord &Body) {
  return {{"display_name", Body.DisplayName_}};
}
json asJson(const KeyRecord &Body) {
  return {{"team", Body.Team_.str()}, {"withdrawn", Body.Withdrawn_}};
}
json asJson(const ShareRecord &Body) { return {{"weight", Body.Weight_}}; }
json asJson(const LimitRecord &Body) {
  return {{"max_running", Body.MaxRunning_}};
}
json asJson(const QueueRecord &Body) {
  return {{"class", toString(Body.Class_)},
          {"access", Body.OpenToAll_ ? "all" : "teams"},
          {"teams", namesOf(Body.Teams_)}};
}
json asJson(const FailureDomainRecord &Body) { return {{"out", Body.Out_}}; }
json asJson(const WorkerRecord &Body) { return {{"draining", Body.Draining_}}; }
json asJson(const PartitionRecord &Body) {
  return {{"region", Body.Region_.str()},
          {"stripe", Body.Stripe_},
          {"stripes", Body.Stripes_}};
}

json asJson(const Record &Shown) {
  return {{"kind", toString(kindOf(Shown.Body_))},
          {"name", Shown.Name_},
          {"version", Shown.Version_},
          {"schema_version", Shown.SchemaVersion_},
          {"body", std::visit([](const auto &Body) { return asJson(Body); },
                              Shown.Body_)}};
}

json asJson(const ConfigLogEntry &Entry) {
  return {{"version", Entry.Version_}, {"operator", Entry.Operator_},
          {"unix_ms", Entry.UnixMs_},  {"kind", toString(Entry.Kind_)},
          {"name", Entry.Name_},       {"summary", Entry.Summary_}};
}

json asJson(const Member &Host) {
  return {{"host", Host.Host_.str()},
          {"address", Host.Address_},
          {"region", Host.Region_.str()},
          {"failure_domain", Host.Domain_.str()}};
}

json asJson(const PartitionPage &Page) {
  const PartitionStats &Stats = Page.Stats_;
  return {{"partition", Page.Partition_.str()},
          {"owner", Page.Owner_ ? json(Page.Owner_->str()) : json()},
          {"owned", Stats.Owned_},
          {"epoch", Stats.Epoch_},
          {"workers", Stats.Workers_},
          {"open_workers", Stats.OpenWorkers_},
          {"jobs", Stats.Jobs_},
          {"waiting", Stats.Waiting_},
          {"running", Stats.Running_},
          {"journal_sequence", Stats.JournalSequence_}};
}

json asJson(const HistogramPage &Page) {
  json Buckets = json::array();
  for (const HistogramBucket &Each : Page.Buckets_)
    Buckets.push_back(
        {{"up_to_us", Each.UpToUs_ < 0 ? json() : json(Each.UpToUs_)},
         {"count", Each.Count_}});
  return {{"name", Page.Name_},
          {"team", Page.Team_.str()},
          {"class", toString(Page.Class_)},
          {"count", Page.Count_},
          {"sum_us", Page.SumUs_},
          {"buckets", std::move(Buckets)}};
}

template <typename T> json asList(const std::vector<T> &Entries) {
  json List = json::array();
  for (const T &Each : Entries)
    List.push_back(asJson(Each));
  return List;
}

} // namespace

int httpStatusOf(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::InvalidRequest:
    return 400;
  case RefusalReason::UnknownKey:
    return 401;
  case RefusalReason::WrongTeam:
    return 403;
  case RefusalReason::UnknownQueue:
  case RefusalReason::NotFound:
    return 404;
  case RefusalReason::Conflict:
  case RefusalReason::Cancelled:
    return 409;
  case RefusalReason::FitsNoWorker:
  case RefusalReason::GangExceedsPartition:
    return 422;
  case RefusalReason::LimitReached:
  case RefusalReason::QueueFull:
    return 429;
  case RefusalReason::WorkerFailed:
    return 502;
  case RefusalReason::StaleConfiguration:
  case RefusalReason::StoreUnavailable:
  case RefusalReason::OwnerUnavailable:
  case RefusalReason::Draining:
    return 503;
  case RefusalReason::DeadlineExceeded:
    return 504;
  }
  return 500;
}

std::string toJson(const Refusal &Refused) { return dumped(asJson(Refused)); }

std::string toJson(const JobStatus &Status) {
  const json Reason =
      Status.CancelledFor_ ? json(toString(*Status.CancelledFor_)) : json();
  return dumped({{"job", Status.Job_.str()},
                 {"team", Status.Team_.str()},
                 {"queue", Status.Queue_.str()},
                 {"class", toString(Status.Class_)},
                 {"ended", Status.Ended_},
                 {"cancelled_for", Reason},
                 {"tasks", asList(Status.Tasks_)}});
}

std::string explanationToJson(const JobStatus &Status) {
  json Tasks = json::array();
  for (const TaskStatus &Each : Status.Tasks_)
    Tasks.push_back({{"index", Each.Task_.Index_},
                     {"state", toString(Each.State_)},
                     {"explanation", Each.Explanation_}});
  return dumped({{"job", Status.Job_.str()}, {"tasks", std::move(Tasks)}});
}

std::string toJson(const Record &Shown) { return dumped(asJson(Shown)); }

std::string recordsToJson(std::uint64_t HeadVersion,
                          const std::vector<Record> &Records) {
  return dumped({{"head_version", HeadVersion}, {"records", asList(Records)}});
}

std::string logToJson(const std::vector<ConfigLogEntry> &Entries) {
  return dumped({{"entries", asList(Entries)}});
}

std::string conflictToJson(const Refusal &Refused,
                           const std::optional<Record> &Present,
                           const std::optional<ConfigLogEntry> &LastChange) {
  json Object = asJson(Refused);
  Object["present"] = Present ? asJson(*Present) : json();
  Object["last_change"] = LastChange ? asJson(*LastChange) : json();
  return dumped(Object);
}

std::string toJson(const StatusPage &Page) {
  json Members = json::array();
  for (const Member &Each : Page.Members_) {
    json Shown = asJson(Each);
    Shown["live"] =
        std::ranges::find(Page.Live_, Each.Host_) != Page.Live_.end();
    Members.push_back(std::move(Shown));
  }
  json Object = asJson(Page.Self_);
  Object["draining"] = Page.Draining_;
  Object["config"] = {{"version", Page.ConfigVersion_},
                      {"may_act", Page.MayAct_},
                      {"store_out", Page.OutageProven_},
                      {"evidence_age_ms", Page.EvidenceAge_
                                              ? json(inMs(*Page.EvidenceAge_))
                                              : json()}};
  Object["members"] = std::move(Members);
  Object["partitions"] = asList(Page.Partitions_);
  return dumped(Object);
}

std::string histogramsToJson(const std::vector<HistogramPage> &Pages) {
  return dumped({{"histograms", asList(Pages)}});
}

} // namespace oleandergauge::codec
