#include "daemon/caller_api.h"

#include <utility>

#include <glib.h>

#include "codec/json.h"
#include "daemon/api_reply.h"

namespace oleandergauge::daemon {
namespace {

/// Covers the wait for the journal and a takeover of the home partition.
constexpr Duration CommitWait = CommitTimeout + std::chrono::milliseconds(3000);
/// A question about a job waits for a takeover of its home partition.
constexpr Duration QueryWait = std::chrono::milliseconds(5000);
constexpr Duration EvidenceRetryHint = std::chrono::milliseconds(1000);

std::string freshRequestId() {
  char *Id = g_uuid_string_random();
  std::string Out = Id;
  g_free(Id);
  return Out;
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
    return refusalReply({Verdict::MayHaveRun, RefusalReason::WorkerFailed,
                         "the call's outcome is not known", Duration(0)});
  const TaskStatus &Only = Status.Tasks_.front();
  if (Only.Verdict_ != Verdict::Ran) {
    RefusalReason Reason =
        Status.CancelledFor_.value_or(RefusalReason::WorkerFailed);
    return refusalReply({Only.Verdict_, Reason,
                         "the call ended without an answer of a worker",
                         Duration(0)});
  }
  return jsonReply(200, codec::toJson(Status));
}

ApiReply writeJob(const JobStatus &Status) {
  return jsonReply(200, codec::toJson(Status));
}

/// The job is committed and goes on after the answer.
ApiReply writeAccepted(const JobStatus &Status) {
  return jsonReply(202, codec::toJson(Status));
}

ApiReply writeExplanation(const JobStatus &Status) {
  return jsonReply(200, codec::explanationToJson(Status));
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

Result<JobSpec> CallerApi::readSpec(const ApiRequest &Request,
                                    codec::SubmitEndpoint Endpoint) const {
  if (Result<void> Proven = checkEvidence(); !Proven)
    return tl::unexpected(Proven.error());
  Result<codec::Submission> Sent =
      codec::parseSubmission(Request.Body_, {Endpoint, Clocks_.UnixMs_(),
                                             RequestId(freshRequestId())});
  if (!Sent)
    return tl::unexpected(Sent.error());
  std::optional<std::string> KeyHash;
  if (auto Key = bearerKey(Request.Authorization_))
    KeyHash = hashKey(*Key);
  return codec::admitSubmission(*Sent, *Routing_->View_, KeyHash);
}

void CallerApi::call(const ApiRequest &Request, ApiResponder Respond) {
  Result<JobSpec> Spec = readSpec(Request, codec::SubmitEndpoint::Calls);
  if (!Spec)
    Respond(refusalReply(Spec.error()));
  else
    sendSpec(*Spec, Options_.CallTimeout_, writeCall, std::move(Respond));
}

void CallerApi::submit(const ApiRequest &Request, ApiResponder Respond) {
  Result<JobSpec> Spec = readSpec(Request, codec::SubmitEndpoint::Jobs);
  if (!Spec)
    Respond(refusalReply(Spec.error()));
  else
    sendSpec(*Spec, CommitWait, writeAccepted, std::move(Respond));
}

void CallerApi::sendSpec(const JobSpec &Spec, Duration Patience,
                         StatusWriter Write, ApiResponder Respond) {
  auto Home = Routing_->View_->homePartitionOf(Spec.Team_, Spec.Request_);
  if (!Home) {
    Respond(refusalReply({Verdict::NotRun, RefusalReason::OwnerUnavailable,
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
        Respond(Answer ? Write(*Answer) : refusalReply(Answer.error()));
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
  auto Parts = codec::parseJobId(Job.str());
  if (!Parts)
    return tl::unexpected(notFound());
  Result<std::optional<TeamId>> Team = keyTeam(Request);
  if (!Team)
    return tl::unexpected(Team.error());
  // Jobs of other teams look like absent ones.
  if (*Team && **Team != Parts->first)
    return tl::unexpected(notFound());
  auto Home = Routing_->View_->homePartitionOf(Parts->first, Parts->second);
  if (!Home)
    return tl::unexpected(notFound());
  return Dispatch{*Home, JobQueried{0, Parts->first, Job, false}, false,
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
    Respond(refusalReply(Wanted.error()));
    return;
  }
  std::get<JobQueried>(Wanted->Request_).WaitForEnd_ = Waits;
  bool HasKey = bearerKey(Request.Authorization_).has_value();
  Home_.dispatch(std::move(*Wanted),
                 [this, HasKey, Write = std::move(Write),
                  Respond = std::move(Respond)](const auto &Answer) {
                   if (!Answer)
                     Respond(refusalReply(aboutJob(Answer.error())));
                   else if (!mayShow(HasKey, *Answer))
                     Respond(refusalReply(notFound()));
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
    Respond(refusalReply(Wanted.error()));
    return;
  }
  if (!bearerKey(Request.Authorization_)) {
    Respond(
        refusalReply({Verdict::MayHaveRun, RefusalReason::UnknownKey,
                      "a job is cancelled with its team's key", Duration(0)}));
    return;
  }
  TeamId Team = std::get<JobQueried>(Wanted->Request_).Team_;
  Wanted->Request_ = CancelRequested{0, Team, Job};
  Home_.dispatch(std::move(*Wanted),
                 [Respond = std::move(Respond)](const auto &Answer) {
                   Respond(Answer ? writeJob(*Answer)
                                  : refusalReply(aboutJob(Answer.error())));
                 });
}

} // namespace oleandergauge::daemon
