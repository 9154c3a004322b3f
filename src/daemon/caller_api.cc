#include "daemon/caller_api.h"

#include <algorithm>
#include <utility>

#include "codec/json.h"
#include "daemon/api_reply.h"

namespace oleandergauge::daemon {
namespace {

/// Covers the wait for the journal and a takeover of the home partition.
constexpr Duration CommitWait =
    CommitPatience + std::chrono::milliseconds(3000);
/// A question about a job waits for a takeover of its home partition.
constexpr Duration QueryWait = std::chrono::milliseconds(5000);
constexpr Duration EvidenceRetryHint = std::chrono::milliseconds(1000);

std::int64_t toMillis(Duration Span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

Refusal invalid(std::string Message) {
  return {Verdict::NotRun, RefusalReason::InvalidRequest, std::move(Message),
          Duration(0)};
}

/// A question that is refused tells nothing about the job's work.
Refusal aboutJob(Refusal Why) {
  if (Why.Verdict_ == Verdict::NotRun)
    Why.Verdict_ = Verdict::MayHaveRun;
  return Why;
}

Refusal notFound() {
  return {Verdict::MayHaveRun, RefusalReason::NotFound,
          "no such job, or it ended too long ago", Duration(0)};
}

/// The answer to a call tells the one task's end; work that may have run is
/// a refusal.
ApiReply writeCall(const JobStatus &Status) {
  if (Status.Tasks_.empty())
    return refusalResponse({Verdict::MayHaveRun, RefusalReason::WorkerFailed,
                            "the call's outcome is not known", Duration(0)});
  const TaskStatus &Only = Status.Tasks_.front();
  if (Only.Verdict_ != Verdict::Ran) {
    RefusalReason Reason =
        Status.CancelledFor_.value_or(RefusalReason::WorkerFailed);
    return refusalResponse({Only.Verdict_, Reason,
                            "the call ended without an answer of a worker",
                            Duration(0)});
  }
  nlohmann::json Body = toJson(Status);
  Body["verdict"] = toString(Only.Verdict_);
  Body["exit_code"] = Only.ExitCode_;
  Body["output"] = Only.Output_;
  return jsonResponse(200, Body);
}

ApiReply writeJob(const JobStatus &Status) {
  return jsonResponse(200, toJson(Status));
}

ApiReply writeExplanation(const JobStatus &Status) {
  nlohmann::json Tasks = nlohmann::json::array();
  for (const TaskStatus &Task : Status.Tasks_)
    Tasks.push_back({{"task", Task.Task_.Index_},
                     {"state", toString(Task.State_)},
                     {"worker", Task.Worker_.str()},
                     {"explanation", Task.Explanation_}});
  return jsonResponse(200, {{"job", Status.Job_.str()},
                            {"ended", Status.Ended_},
                            {"tasks", std::move(Tasks)}});
}

} // namespace

Result<void> CallerApi::checkEvidence() const {
  if (Routing_->View_ && Clocks_.Now_() < Routing_->MayActUntil_)
    return {};
  return tl::unexpected(
      Refusal{Verdict::NotRun, RefusalReason::StaleConfiguration,
              "this host cannot prove that its configuration is the newest",
              EvidenceRetryHint});
}

/// A queue's record gives the class of all its work.
Result<void> CallerApi::checkClass(JobSpec &Spec, bool IsCall) const {
  const QueueRecord *Queue = Routing_->View_->findQueue(Spec.Queue_);
  if (Queue == nullptr)
    return tl::unexpected(Refusal{Verdict::NotRun, RefusalReason::UnknownQueue,
                                  "there is no such queue", Duration(0)});
  Spec.Class_ = Queue->Class_;
  if (IsCall != (Spec.Class_ == WorkClass::Direct))
    return tl::unexpected(
        invalid(IsCall ? "the queue takes jobs: use /v1/jobs"
                       : "the queue takes direct calls: use /v1/calls"));
  return {};
}

/// The answer to a request that expired is no longer kept, so a retry cannot
/// be told from a new request.
Result<void> CallerApi::checkExpiry(JobSpec &Spec,
                                    std::int64_t ExpiresUnixMs) const {
  std::int64_t Most = toMillis(RequestRetention);
  std::int64_t Left =
      ExpiresUnixMs == 0 ? Most : ExpiresUnixMs - Clocks_.UnixMs_();
  if (Left <= 0)
    return tl::unexpected(Refusal{
        Verdict::MayHaveRun, RefusalReason::DeadlineExceeded,
        "the request expired; its answer is no longer kept", Duration(0)});
  if (Left > Most)
    return tl::unexpected(
        invalid("expires_unix_ms is more than 15 minutes ahead"));
  Spec.ExpiresIn_ = std::chrono::milliseconds(Left);
  return {};
}

Result<JobSpec> CallerApi::readSpec(const ApiRequest &Request,
                                    bool IsCall) const {
  if (Result<void> Proven = checkEvidence(); !Proven)
    return tl::unexpected(Proven.error());
  auto Parsed = parseSubmission(Request.Body_);
  if (!Parsed)
    return tl::unexpected(invalid(Parsed.error()));
  JobSpec Spec = Parsed->Spec_;
  if (!isRequestId(Spec.Request_.str()))
    return tl::unexpected(invalid("request_id must be 1 to 128 visible ASCII "
                                  "characters without '/'"));
  std::optional<std::string> KeyHash;
  if (auto Key = bearerKey(Request.Authorization_))
    KeyHash = hashKey(*Key);
  Result<TeamId> Team =
      Routing_->View_->authorize(KeyHash, Spec.Team_, Spec.Queue_);
  if (!Team)
    return tl::unexpected(Team.error());
  Spec.Team_ = *Team;
  if (!isRecordName(Spec.Team_.str()))
    return tl::unexpected(invalid("the team's name is not valid"));
  Spec.Id_ = makeJobId(Spec.Team_, Spec.Request_);
  if (Result<void> Class = checkClass(Spec, IsCall); !Class)
    return tl::unexpected(Class.error());
  if (Result<void> Expiry = checkExpiry(Spec, Parsed->ExpiresUnixMs_); !Expiry)
    return tl::unexpected(Expiry.error());
  return Spec;
}

void CallerApi::call(const ApiRequest &Request, ApiResponder Respond) {
  Result<JobSpec> Spec = readSpec(Request, true);
  if (!Spec)
    Respond(refusalResponse(Spec.error()));
  else
    sendSpec(*Spec, Options_.CallTimeout_, writeCall, std::move(Respond));
}

void CallerApi::submit(const ApiRequest &Request, ApiResponder Respond) {
  Result<JobSpec> Spec = readSpec(Request, false);
  if (!Spec)
    Respond(refusalResponse(Spec.error()));
  else
    sendSpec(*Spec, CommitWait, writeJob, std::move(Respond));
}

void CallerApi::sendSpec(const JobSpec &Spec, Duration Patience,
                         StatusWriter Write, ApiResponder Respond) {
  auto Home = Routing_->View_->homeOf(Spec.Team_, Spec.Request_);
  if (!Home) {
    Respond(refusalResponse({Verdict::NotRun, RefusalReason::OwnerUnavailable,
                             "no partition is configured", EvidenceRetryHint}));
    return;
  }
  TimePoint BeganAt = Clocks_.Now_();
  Dispatch Wanted{*Home, Submitted{0, Spec},
                  Spec.Class_ == WorkClass::Direct && Spec.Idempotent_,
                  BeganAt + Patience};
  Home_.dispatch(
      std::move(Wanted), [this, BeganAt, Team = Spec.Team_, Class = Spec.Class_,
                          Write = std::move(Write),
                          Respond = std::move(Respond)](const auto &Answer) {
        Figures_.observe("request", Team, Class, Clocks_.Now_() - BeganAt);
        Respond(Answer ? Write(*Answer) : refusalResponse(Answer.error()));
      });
}

Result<std::optional<TeamId>>
CallerApi::keyTeam(const ApiRequest &Request) const {
  std::optional<std::string> Key = bearerKey(Request.Authorization_);
  if (!Key)
    return std::optional<TeamId>();
  const KeyRecord *Found = Routing_->View_->findKey(hashKey(*Key));
  if (Found == nullptr || Found->Withdrawn_)
    return tl::unexpected(Refusal{Verdict::MayHaveRun,
                                  RefusalReason::UnknownKey,
                                  "the key is not valid", Duration(0)});
  return std::optional<TeamId>(Found->Team_);
}

Result<Dispatch> CallerApi::findJob(const ApiRequest &Request, const JobId &Job,
                                    Duration Patience) const {
  if (Result<void> Proven = checkEvidence(); !Proven)
    return tl::unexpected(aboutJob(Proven.error()));
  std::optional<JobIdParts> Parts = parseJobId(Job);
  if (!Parts)
    return tl::unexpected(notFound());
  Result<std::optional<TeamId>> Team = keyTeam(Request);
  if (!Team)
    return tl::unexpected(Team.error());
  // Jobs of other teams look like absent ones.
  if (*Team && **Team != Parts->Team_)
    return tl::unexpected(notFound());
  auto Home = Routing_->View_->homeOf(Parts->Team_, Parts->Request_);
  if (!Home)
    return tl::unexpected(notFound());
  return Dispatch{*Home, JobQueried{0, Parts->Team_, Job, false}, false,
                  Clocks_.Now_() + Patience};
}

/// Without a key, only jobs of queues that are open to all are shown.
bool CallerApi::mayShow(bool HasKey, const JobStatus &Status) const {
  if (HasKey)
    return true;
  const QueueRecord *Queue = Routing_->View_->findQueue(Status.Queue_);
  return Queue != nullptr && Queue->OpenToAll_;
}

void CallerApi::askJob(const ApiRequest &Request, const JobId &Job,
                       StatusWriter Write, ApiResponder Respond) {
  auto Wait = Request.Query_.find("wait");
  bool Waits = Wait != Request.Query_.end() && Wait->second == "1";
  Result<Dispatch> Wanted =
      findJob(Request, Job, Waits ? Options_.CallTimeout_ : QueryWait);
  if (!Wanted) {
    Respond(refusalResponse(Wanted.error()));
    return;
  }
  std::get<JobQueried>(Wanted->Request_).WaitForEnd_ = Waits;
  bool HasKey = bearerKey(Request.Authorization_).has_value();
  Home_.dispatch(std::move(*Wanted),
                 [this, HasKey, Write = std::move(Write),
                  Respond = std::move(Respond)](const auto &Answer) {
                   if (!Answer)
                     Respond(refusalResponse(aboutJob(Answer.error())));
                   else if (!mayShow(HasKey, *Answer))
                     Respond(refusalResponse(notFound()));
                   else
                     Respond(Write(*Answer));
                 });
}

void CallerApi::query(const ApiRequest &Request, const JobId &Job,
                      ApiResponder Respond) {
  askJob(Request, Job, writeJob, std::move(Respond));
}

void CallerApi::explain(const ApiRequest &Request, const JobId &Job,
                        ApiResponder Respond) {
  askJob(Request, Job, writeExplanation, std::move(Respond));
}

void CallerApi::cancel(const ApiRequest &Request, const JobId &Job,
                       ApiResponder Respond) {
  Result<Dispatch> Wanted = findJob(Request, Job, CommitWait);
  if (!Wanted) {
    Respond(refusalResponse(Wanted.error()));
    return;
  }
  if (!bearerKey(Request.Authorization_)) {
    Respond(refusalResponse({Verdict::MayHaveRun, RefusalReason::UnknownKey,
                             "a job is cancelled with its team's key",
                             Duration(0)}));
    return;
  }
  TeamId Team = std::get<JobQueried>(Wanted->Request_).Team_;
  Wanted->Request_ = CancelRequested{0, Team, Job};
  Home_.dispatch(std::move(*Wanted),
                 [Respond = std::move(Respond)](const auto &Answer) {
                   Respond(Answer ? writeJob(*Answer)
                                  : refusalResponse(aboutJob(Answer.error())));
                 });
}

} // namespace oleandergauge::daemon
