#include "daemon/api_reply.h"

#include <algorithm>
#include <cctype>
#include <chrono>

#include <glib.h>

namespace oleandergauge::daemon {
namespace {

constexpr std::size_t MaxNameLength = 128;
constexpr char JobIdSeparator = ':';

bool isVisible(const std::string &Text, std::string_view Forbidden) {
  auto Allowed = [&](unsigned char C) {
    return std::isgraph(C) != 0 && C < 0x80 &&
           Forbidden.find(static_cast<char>(C)) == std::string_view::npos;
  };
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::all_of(Text.begin(), Text.end(), Allowed);
}

std::int64_t toMillis(Duration Span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

} // namespace

unsigned statusOf(RefusalReason Reason) {
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
  case RefusalReason::Cancelled:
  case RefusalReason::Conflict:
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

ApiReply jsonResponse(unsigned Status, const nlohmann::json &Body) {
  ApiReply Out;
  Out.Status_ = Status;
  Out.Body_ =
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return Out;
}

ApiReply refusalResponse(const Refusal &Why) {
  ApiReply Out = jsonResponse(statusOf(Why.Reason_),
                              {{"verdict", toString(Why.Verdict_)},
                               {"reason", toString(Why.Reason_)},
                               {"message", Why.Message_},
                               {"retry_after_ms", toMillis(Why.RetryAfter_)}});
  Out.CloseConnection_ = Why.Reason_ == RefusalReason::Draining;
  return Out;
}

std::string hashKey(const std::string &Key) {
  char *Hash = g_compute_checksum_for_data(
      G_CHECKSUM_SHA256, reinterpret_cast<const guchar *>(Key.data()),
      Key.size());
  std::string Out = Hash;
  g_free(Hash);
  return Out;
}

std::optional<std::string> bearerKey(const std::string &Authorization) {
  constexpr std::string_view Scheme = "bearer ";
  if (Authorization.size() <= Scheme.size())
    return std::nullopt;
  for (std::size_t I = 0; I < Scheme.size(); ++I)
    if (std::tolower(static_cast<unsigned char>(Authorization[I])) != Scheme[I])
      return std::nullopt;
  return Authorization.substr(Scheme.size());
}

bool equalSecrets(const std::string &A, const std::string &B) {
  // Hashes have one length and do not tell where the texts differ.
  std::string HashA = hashKey(A);
  std::string HashB = hashKey(B);
  unsigned Difference = 0;
  for (std::size_t I = 0; I < HashA.size(); ++I)
    Difference |= static_cast<unsigned char>(HashA[I] ^ HashB[I]);
  return Difference == 0;
}

JobId makeJobId(const TeamId &Team, const RequestId &Request) {
  return JobId(Team.str() + JobIdSeparator + Request.str());
}

std::optional<JobIdParts> parseJobId(const JobId &Job) {
  std::size_t At = Job.str().find(JobIdSeparator);
  if (At == std::string::npos)
    return std::nullopt;
  std::string Team = Job.str().substr(0, At);
  std::string Request = Job.str().substr(At + 1);
  if (!isRecordName(Team) || !isRequestId(Request))
    return std::nullopt;
  return JobIdParts{TeamId(Team), RequestId(Request)};
}

bool isRecordName(const std::string &Text) { return isVisible(Text, "/:"); }

bool isRequestId(const std::string &Text) { return isVisible(Text, "/"); }

} // namespace oleandergauge::daemon
