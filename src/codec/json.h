#ifndef OLEANDERGAUGE_CODEC_JSON_H
#define OLEANDERGAUGE_CODEC_JSON_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "codec/records.h"
#include "oleandergauge/base.h"
#include "oleandergauge/config.h"
#include "oleandergauge/journal.h"
#include "oleandergauge/membership.h"
#include "oleandergauge/partition.h"

namespace oleandergauge::codec {

/// Converts the bodies of the HTTP API, which docs/api.md describes, to and
/// from value types. Parsers refuse with InvalidRequest and a message that
/// names the field, its value and what is allowed; none of them throws.

inline constexpr std::uint32_t MaxTaskCount = 4096;
inline constexpr std::size_t MaxCommandBytes = 16 * std::size_t{1024};
inline constexpr std::size_t MaxCallBodyBytes = std::size_t{1024} * 1024;
/// Longest HTTP body: a call's body whose characters are all escaped takes 6
/// times its size.
inline constexpr std::size_t MaxHttpBodyBytes = std::size_t{8} * 1024 * 1024;
inline constexpr Duration DefaultExpiry = std::chrono::minutes(5);
inline constexpr Duration MaxExpiry = std::chrono::minutes(15);

// ------------------------------------------------------------ Submissions

/// The identifier of the job of a request: "<team>:<request_id>". Neither
/// part contains a colon, so it names one request only, and it needs no
/// escapes in a URL.
JobId makeJobId(const TeamId &Team, const RequestId &Request);
/// Empty where the text is no identifier of makeJobId.
std::optional<std::pair<TeamId, RequestId>> parseJobId(std::string_view Text);

/// POST /v1/calls or POST /v1/jobs.
enum class SubmitEndpoint { Calls, Jobs };

struct SubmitContext {
  SubmitEndpoint Endpoint_ = SubmitEndpoint::Jobs;
  std::int64_t NowUnixMs_ = 0;
  /// Taken where the request has no request_id.
  RequestId FreshRequest_;
};

/// A submission as sent; the team may be empty.
struct Submission {
  SubmitEndpoint Endpoint_ = SubmitEndpoint::Jobs;
  JobSpec Spec_;
  std::optional<WorkClass> Class_; ///< As sent; must be that of the queue.
  friend bool operator==(const Submission &, const Submission &) = default;
};

/// Refuses a request that has expired with DeadlineExceeded: MayHaveRun where
/// the caller gave a request_id, since it may be a retry.
Result<Submission> parseSubmission(std::string_view Body,
                                   const SubmitContext &Context);

/// Checks key, team, queue and class against the view and fills in team,
/// class and job identifier.
Result<JobSpec> admitSubmission(const Submission &Sent, const ConfigView &View,
                                const std::optional<std::string> &KeyHash);

// ---------------------------------------------------------------- Answers

int httpStatusOf(RefusalReason Reason);
std::string toJson(const Refusal &Refused);
std::string toJson(const JobStatus &Status);
/// Only what GET /v1/jobs/<id>/explain tells: why each task waits.
std::string explanationToJson(const JobStatus &Status);

// ---------------------------------------------------------------- Records

std::string toJson(const Record &Shown);
/// The records of one kind, or of the head version \p HeadVersion.
std::string recordsToJson(std::uint64_t HeadVersion,
                          const std::vector<Record> &Records);
std::string logToJson(const std::vector<ConfigLogEntry> &Entries);
/// The answer to a change that lost a race: the refusal with the present
/// record, and who made it and when, where these are known.
std::string conflictToJson(const Refusal &Refused,
                           const std::optional<Record> &Present,
                           const std::optional<ConfigLogEntry> &LastChange);

/// The body of PUT /v1/records/<kind>/<name>.
Result<RecordChange> parseRecordPut(RecordKind Kind, const std::string &Name,
                                    std::string_view Body);
/// DELETE /v1/records/<kind>/<name>?expected_version=<version>.
Result<RecordChange> parseRecordDelete(RecordKind Kind, const std::string &Name,
                                       std::string_view ExpectedVersion);

// ----------------------------------------------------------- Status pages

struct PartitionPage {
  PartitionId Partition_;
  std::optional<HostId> Owner_;
  PartitionStats Stats_;
  friend bool operator==(const PartitionPage &,
                         const PartitionPage &) = default;
};

/// What GET /v1/status shows of one entry host.
struct StatusPage {
  Member Self_;
  bool Draining_ = false;
  std::uint64_t ConfigVersion_ = 0;
  bool MayAct_ = false;
  bool OutageProven_ = false;
  std::optional<Duration> EvidenceAge_;
  std::vector<Member> Members_;
  std::vector<HostId> Live_;
  std::vector<PartitionPage> Partitions_;
};

std::string toJson(const StatusPage &Page);

struct HistogramBucket {
  std::int64_t UpToUs_ = 0; ///< Inclusive upper bound; -1: no bound.
  std::uint64_t Count_ = 0;
  friend bool operator==(const HistogramBucket &,
                         const HistogramBucket &) = default;
};

/// One histogram of GET /v1/histograms.
struct HistogramPage {
  std::string Name_;
  TeamId Team_;
  WorkClass Class_ = WorkClass::Batch;
  std::uint64_t Count_ = 0;
  std::int64_t SumUs_ = 0;
  std::vector<HistogramBucket> Buckets_;
};

std::string histogramsToJson(const std::vector<HistogramPage> &Pages);

} // namespace oleandergauge::codec

#endif // OLEANDERGAUGE_CODEC_JSON_H
