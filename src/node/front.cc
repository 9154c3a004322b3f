#include "node/front.h"

#include <algorithm>
#include <random>

#include "caller_calls.h"
#include "cell.pb.h"
#include "cell/records.h"

namespace oleandergauge::node {
namespace {

/// Time for which a request waits for a reachable owner before it is refused. A
/// new owner usually takes over before the caller would retry.
constexpr Millis MaxOwnerWait = 500;
/// Used if the request has no timeout header that can be read.
constexpr Millis DefaultCallerTimeout = 3000;
/// Share of the caller's timeout after which a request that an owner may have
/// carried out is answered with "outcome unknown".
constexpr double UnknownOutcomeShare = 0.85;

const char *methodName(HttpMethod Method) {
  switch (Method) {
  case HttpMethod::Post:
    return "POST";
  case HttpMethod::Delete:
    return "DELETE";
  default:
    return "GET";
  }
}

/// Returns a random number, so that the requests of two processes differ.
std::uint64_t drawFirstRequest() {
  std::random_device Source;
  return std::uniform_int_distribution<std::uint64_t>(1)(Source);
}

std::string withoutPort(const std::string &Host) {
  return Host.substr(0, Host.find(':'));
}

} // namespace

struct FrontEnd::PendingRequest {
  std::shared_ptr<IncomingRequest> Request_;
  cell::pb::Forward Forward_;
  Millis ReceivedAt_ = 0;
  Millis CallerTimeout_ = DefaultCallerTimeout;
  cell::RequestCopies Copies_;
  bool changesState() const { return Forward_.method() != "GET"; }
  /// Numbers the next copy, and sets the time for which the caller still waits.
  void prepareCopy() {
    Forward_.set_copy(Copies_.count() + 1);
    Forward_.set_timeout_ms(
        std::max<Millis>(1, CallerTimeout_ - (bootTime() - ReceivedAt_)));
  }
};

FrontEnd::FrontEnd(HostContext &Context, RequestSender SendToOwner)
    : Context_(Context), SendToOwner_(std::move(SendToOwner)),
      NextRequest_(drawFirstRequest()) {}

void FrontEnd::sendAnswer(const std::shared_ptr<IncomingRequest> &To,
                          int Status, const std::string &Body, bool RetryLater,
                          Millis RetryAfter) {
  std::vector<std::pair<std::string, std::string>> Headers;
  if (RetryLater)
    Headers.emplace_back("Retry-After", std::to_string(std::max<Millis>(
                                            1, (RetryAfter + 999) / 1000)));
  if (Draining_)
    Headers.emplace_back("Connection", "close");
  Context_.Metrics_.incrementCounter("answers", std::to_string(Status));
  To->answer(Status, Body, Headers);
}

void FrontEnd::refuseAll() {
  Refusing_ = true;
  const auto Open = Pending_;
  for (const auto &[Token, Each] : Open)
    answerUnfinished(Token, *Each);
}

void FrontEnd::handleRequest(const std::shared_ptr<IncomingRequest> &Request) {
  if (Refusing_) {
    const platform::CallerAnswer Answer =
        platform::encodeRefusal(cell::Access::NoState);
    sendAnswer(Request, Answer.Status_, Answer.Body_, Answer.RetryLater_);
    return;
  }
  auto NewRequest = std::make_shared<PendingRequest>();
  NewRequest->Request_ = Request;
  NewRequest->ReceivedAt_ = bootTime();
  if (const auto Timeout = platform::decodeCallerTimeout(
          Request->header(platform::CallerTimeoutHeader)))
    NewRequest->CallerTimeout_ =
        std::clamp<Millis>(*Timeout, 100, 10 * DefaultCallerTimeout);
  cell::pb::Forward &Out = NewRequest->Forward_;
  const HttpMethod Method = Request->method();
  const cell::CallerRequest CallerRequest{
      withoutPort(Request->header("Host")), Request->path(),
      Request->header(platform::ApiKeyHeader)};
  const cell::Resolution Resolved =
      cell::resolve(DesiredState_.get(), CallerRequest);
  Out.set_request(NextRequest_++);
  Out.set_method(methodName(Method));
  Out.set_host(CallerRequest.Host_);
  Out.set_path(CallerRequest.Path_);
  Out.set_key(CallerRequest.Key_);
  Out.set_config_version(Resolved.Version_);
  Out.set_access(static_cast<std::uint32_t>(Resolved.Access_));
  Out.set_queue(Resolved.Queue_);
  Out.set_team(Resolved.Team_);
  Out.set_job_id(Resolved.JobId_);
  if (Method == HttpMethod::Post) {
    // The job is sent even if this host would refuse it, because the owner may
    // have a newer desired state.
    const auto Job = platform::decodeJob(Request->body());
    if (Job) {
      cell::toMessage(cell::JobRecord{*Job, "", "", 0}, *Out.mutable_job());
    } else if (Resolved.Access_ == cell::Access::Allowed) {
      sendAnswer(Request, 400, "{\"error\":\"" + Job.error() + "\"}", false);
      return;
    }
  }
  sendCopy(NewRequest);
}

/// Sends a copy of a request to the owner, if one is reachable. Each copy has a
/// token of its own, so that a late reply to an earlier one is not taken for
/// the reply to this one.
void FrontEnd::sendCopy(const std::shared_ptr<PendingRequest> &Waiting) {
  Pending_.erase(Waiting->Forward_.token());
  Waiting->Forward_.set_token(NextToken_++);
  Pending_[Waiting->Forward_.token()] = Waiting;
  Waiting->prepareCopy();
  if (const auto OwnerEpoch = SendToOwner_(Waiting->Forward_))
    Waiting->Copies_.recordSent(*OwnerEpoch);
}

/// Answers a pending request, records its duration and logs it. Successful
/// queries are not logged.
void FrontEnd::finishRequest(std::uint64_t Token, int Status,
                             const std::string &Body, bool RetryLater,
                             Millis RetryAfter) {
  const auto It = Pending_.find(Token);
  if (It == Pending_.end())
    return;
  const std::shared_ptr<PendingRequest> Done = It->second;
  Pending_.erase(It);
  const Millis Duration = bootTime() - Done->ReceivedAt_;
  const std::string &Queue = Done->Forward_.queue();
  Context_.Metrics_.recordDuration(
      "request", Done->Forward_.team() + "/" + Queue, Duration);
  if (Done->Forward_.method() != "GET" || Status != 200)
    Context_.Log_.logDecision(
        "request answered",
        {{"id", Done->Forward_.job_id()},
         {"method", Done->Forward_.method()},
         {"status", Status},
         {"queue", Queue},
         {"config", static_cast<std::int64_t>(Done->Forward_.config_version())},
         {"sent", Done->Copies_.mayHaveRun() ? 1 : 0},
         {"copies", Done->Copies_.count()},
         {"unanswered_copies", Done->Copies_.hasUnansweredCopies() ? 1 : 0},
         {"duration_ms", Duration}});
  sendAnswer(Done->Request_, Status, Body, RetryLater, RetryAfter);
}

void FrontEnd::handleReply(const cell::pb::ForwardReply &Reply) {
  const auto It = Pending_.find(Reply.token());
  if (It == Pending_.end())
    return;
  if (Reply.not_owner()) {
    // It was not carried out and waits for the next owner.
    It->second->Copies_.recordReturned();
    return;
  }
  const cell::RequestCopies &Copies = It->second->Copies_;
  const bool Refuses = platform::promisesNotRun(Reply.status());
  if (Refuses && It->second->changesState() &&
      !Copies.provesNotRun(Reply.unknown_to_epoch())) {
    Context_.Metrics_.incrementCounter("refusals_with_unanswered_copies",
                                       It->second->Forward_.method());
    answerUnknownOutcome(Reply.token(), Reply.retry_later(),
                         Reply.retry_after_ms());
    return;
  }
  finishRequest(Reply.token(), Reply.status(), Reply.body(),
                Reply.retry_later(), Reply.retry_after_ms());
}

void FrontEnd::sendPending() {
  std::vector<std::shared_ptr<PendingRequest>> Waiting;
  for (const auto &[Token, Each] : Pending_)
    if (!Each->Copies_.isInFlight())
      Waiting.push_back(Each);
  for (const std::shared_ptr<PendingRequest> &Each : Waiting)
    sendCopy(Each);
}

void FrontEnd::markOwnerLost() {
  for (const auto &[Token, Each] : Pending_)
    Each->Copies_.recordUnanswered();
}

/// Answers a request of which a copy may have been, or may yet be, carried out.
/// The caller retries with the same id.
void FrontEnd::answerUnknownOutcome(std::uint64_t Token, bool RetryLater,
                                    Millis RetryAfter) {
  finishRequest(Token, 504, "{\"error\":\"outcome unknown, ask again\"}",
                RetryLater, RetryAfter);
}

/// Answers a request whose outcome did not arrive in time.
void FrontEnd::answerUnfinished(std::uint64_t Token,
                                const PendingRequest &Late) {
  if (Late.Copies_.mayHaveRun()) {
    answerUnknownOutcome(Token, false, 0);
    return;
  }
  // The desired state of this host may be older than the owner's. A queue or
  // key that is missing here is therefore no reason to refuse for good.
  const platform::CallerAnswer Answer =
      platform::encodeRefusal(cell::Access::NoState);
  finishRequest(Token, Answer.Status_, Answer.Body_, Answer.RetryLater_);
}

void FrontEnd::answerOverdue() {
  const Millis Now = bootTime();
  std::vector<std::pair<std::uint64_t, std::shared_ptr<PendingRequest>>> Late;
  for (const auto &[Token, Each] : Pending_) {
    const Millis Waited = Now - Each->ReceivedAt_;
    const auto Limit = static_cast<Millis>(
        UnknownOutcomeShare * static_cast<double>(Each->CallerTimeout_));
    const Millis MaxWait =
        Each->Copies_.mayHaveRun() ? Limit : std::min(MaxOwnerWait, Limit);
    if (Waited > MaxWait)
      Late.emplace_back(Token, Each);
  }
  for (const auto &[Token, Each] : Late)
    answerUnfinished(Token, *Each);
}

} // namespace oleandergauge::node
