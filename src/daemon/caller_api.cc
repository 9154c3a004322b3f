#include "daemon/caller_api.h"

#include <utility>

#include <glib.h>

#include "codec/json.h"
#include "daemon/api_reply.h"

namespace oleandergauge::daemon {
namespace {

/// How long a submission or cancellation waits for its commit. Covers the wait
/// for the journal and a takeover of the home partition.
constexpr Duration CommitAnswerTimeout =
    CommitTimeout + std::chrono::milliseconds(3000);
/// How long a job query waits for its answer. Covers a takeover of the home
/// partition.
constexpr Duration QueryTimeout = std::chrono::milliseconds(5000);
/// Tells a caller when to try again after a refusal for lack of a proven
/// configuration or of partitions.
constexpr Duration EvidenceRetryHint = std::chrono::milliseconds(1000);

std::string makeRequestId() {
  char *Id = g_uuid_string_random();
  std::string Out = Id;
  g_free(Id);
  return Out;
}

/// Adapts the refusal of a query or cancellation. It says nothing about
/// whether the job's work ran, so the verdict must not be "not run".
Refusal asQueryRefusal(Refusal Cause) {
  if (Cause.Verdict_ == Verdict::NotRun)
    Cause.Verdict_ = Verdict::MayHaveRun;
  return Cause;
}

Refusal notFound() {
  return {Verdict::MayHaveRun, RefusalReason::NotFound,
          "no such job, or it ended too long ago", Duration(0)};
}

/// Reports the end of a call's only task. A call without an answer of a worker
/// becomes a refusal with the task's verdict.
ApiReply callReply(const JobStatus &Status) {
  if (Status.Tasks_.empty())
    return refusalReply({Verdict::MayHaveRun, RefusalReason::WorkerFailed,
                         "the call's outcome is not known", Duration(0)});
  const TaskStatus &CallTask = Status.Tasks_.front();
  if (CallTask.Verdict_ != Verdict::Ran) {
    RefusalReason Reason =
        Status.CancelledFor_.value_or(RefusalReason::WorkerFailed);
    return refusalReply({CallTask.Verdict_, Reason,
                         "the call ended without an answer of a worker",
                         Duration(0)});
  }
  return jsonReply(200, codec::toJson(Status));
}

ApiReply jobReply(const JobStatus &Status) {
  return jsonReply(200, codec::toJson(Status));
}

/// Reports with status 202 that the job is committed; its tasks run later.
ApiReply acceptedReply(const JobStatus &Status) {
  return jsonReply(202, codec::toJson(Status));
}

ApiReply explanationReply(const JobStatus &Status) {
  return jsonReply(200, codec::explanationToJson(Status));
}

} // namespace

Result<void> CallerApi::checkConfigProven() const {
  if (Routing_->View_ && Clocks_.Now_() < Routing_->MayActUntil_)
    return {};
  return tl::unexpected(
      Refusal{Verdict::NotRun, RefusalReason::StaleConfiguration,
              "this host cannot prove that its configuration is the newest",
              EvidenceRetryHint});
}

Result<JobSpec> CallerApi::readSpec(const ApiRequest &Request,
                                    codec::SubmitEndpoint Endpoint) const {
  if (Result<void> Proven = checkConfigProven(); !Proven)
    return tl::unexpected(Proven.error());
  Result<codec::Submission> Parsed = codec::parseSubmission(
      Request.Body_, {Endpoint, Clocks_.UnixMs_(), RequestId(makeRequestId())});
  if (!Parsed)
    return tl::unexpected(Parsed.error());
  std::optional<std::string> KeyHash;
  if (auto Key = bearerKey(Request.Authorization_))
    KeyHash = hashKey(*Key);
  return codec::admitSubmission(*Parsed, *Routing_->View_, KeyHash);
}

void CallerApi::call(const ApiRequest &Request, ApiResponder Respond) {
  Result<JobSpec> Spec = readSpec(Request, codec::SubmitEndpoint::Calls);
  if (!Spec)
    Respond(refusalReply(Spec.error()));
  else
    dispatchSpec(*Spec, Options_.CallTimeout_, callReply, std::move(Respond));
}

void CallerApi::submit(const ApiRequest &Request, ApiResponder Respond) {
  Result<JobSpec> Spec = readSpec(Request, codec::SubmitEndpoint::Jobs);
  if (!Spec)
    Respond(refusalReply(Spec.error()));
  else
    dispatchSpec(*Spec, CommitAnswerTimeout, acceptedReply, std::move(Respond));
}

void CallerApi::dispatchSpec(const JobSpec &Spec, Duration Timeout,
                             ReplyBuilder BuildReply, ApiResponder Respond) {
  auto HomePartition =
      Routing_->View_->homePartitionOf(Spec.Team_, Spec.Request_);
  if (!HomePartition) {
    Respond(refusalReply({Verdict::NotRun, RefusalReason::OwnerUnavailable,
                          "no partition is configured", EvidenceRetryHint}));
    return;
  }
  TimePoint StartedAt = Clocks_.Now_();
  Dispatch Outgoing{*HomePartition, Submitted{0, Spec},
                    Spec.Class_ == WorkClass::Direct && Spec.Idempotent_,
                    StartedAt + Timeout};
  HomeDispatcher_.dispatch(
      std::move(Outgoing),
      [this, StartedAt, Team = Spec.Team_, Class = Spec.Class_,
       BuildReply = std::move(BuildReply),
       Respond = std::move(Respond)](const auto &Answer) {
        HostMetrics_.observe("request", Team, Class,
                             Clocks_.Now_() - StartedAt);
        Respond(Answer ? BuildReply(*Answer) : refusalReply(Answer.error()));
      });
}

Result<std::optional<TeamId>>
CallerApi::teamOfKey(const ApiRequest &Request) const {
  std::optional<std::string> Key = bearerKey(Request.Authorization_);
  if (!Key)
    return std::optional<TeamId>();
  const KeyRecord *StoredKey = Routing_->View_->findKey(hashKey(*Key));
  if (StoredKey == nullptr || StoredKey->Withdrawn_)
    return tl::unexpected(Refusal{Verdict::MayHaveRun,
                                  RefusalReason::UnknownKey,
                                  "the key is not valid", Duration(0)});
  return std::optional<TeamId>(StoredKey->Team_);
}

Result<Dispatch> CallerApi::makeJobQuery(const ApiRequest &Request,
                                         const JobId &Job,
                                         Duration Timeout) const {
  if (Result<void> Proven = checkConfigProven(); !Proven)
    return tl::unexpected(asQueryRefusal(Proven.error()));
  auto Parts = codec::parseJobId(Job.str());
  if (!Parts)
    return tl::unexpected(notFound());
  Result<std::optional<TeamId>> Team = teamOfKey(Request);
  if (!Team)
    return tl::unexpected(Team.error());
  // A job of another team is reported as absent.
  if (*Team && **Team != Parts->first)
    return tl::unexpected(notFound());
  auto HomePartition =
      Routing_->View_->homePartitionOf(Parts->first, Parts->second);
  if (!HomePartition)
    return tl::unexpected(notFound());
  return Dispatch{*HomePartition, JobQueried{0, Parts->first, Job, false},
                  false, Clocks_.Now_() + Timeout};
}

/// Returns whether the requester may see the job. Without a key, only jobs of
/// queues that are open to all are visible.
bool CallerApi::mayShowJob(bool HasKey, const JobStatus &Status) const {
  if (HasKey)
    return true;
  const QueueRecord *Queue = Routing_->View_->findQueue(Status.Queue_);
  return Queue != nullptr && Queue->OpenToAll_;
}

void CallerApi::dispatchQuery(const ApiRequest &Request, const JobId &Job,
                              ReplyBuilder BuildReply, ApiResponder Respond) {
  auto WaitParameter = Request.Query_.find("wait");
  bool WaitForEnd =
      WaitParameter != Request.Query_.end() && WaitParameter->second == "1";
  Result<Dispatch> Outgoing = makeJobQuery(
      Request, Job, WaitForEnd ? Options_.CallTimeout_ : QueryTimeout);
  if (!Outgoing) {
    Respond(refusalReply(Outgoing.error()));
    return;
  }
  std::get<JobQueried>(Outgoing->Request_).WaitForEnd_ = WaitForEnd;
  bool HasKey = bearerKey(Request.Authorization_).has_value();
  HomeDispatcher_.dispatch(
      std::move(*Outgoing), [this, HasKey, BuildReply = std::move(BuildReply),
                             Respond = std::move(Respond)](const auto &Answer) {
        if (!Answer)
          Respond(refusalReply(asQueryRefusal(Answer.error())));
        else if (!mayShowJob(HasKey, *Answer))
          Respond(refusalReply(notFound()));
        else
          Respond(BuildReply(*Answer));
      });
}

void CallerApi::query(const ApiRequest &Request, const JobId &Job,
                      ApiResponder Respond) {
  dispatchQuery(Request, Job, jobReply, std::move(Respond));
}

void CallerApi::explain(const ApiRequest &Request, const JobId &Job,
                        ApiResponder Respond) {
  dispatchQuery(Request, Job, explanationReply, std::move(Respond));
}

void CallerApi::cancel(const ApiRequest &Request, const JobId &Job,
                       ApiResponder Respond) {
  Result<Dispatch> Outgoing = makeJobQuery(Request, Job, CommitAnswerTimeout);
  if (!Outgoing) {
    Respond(refusalReply(Outgoing.error()));
    return;
  }
  if (!bearerKey(Request.Authorization_)) {
    Respond(
        refusalReply({Verdict::MayHaveRun, RefusalReason::UnknownKey,
                      "a job is cancelled with its team's key", Duration(0)}));
    return;
  }
  TeamId Team = std::get<JobQueried>(Outgoing->Request_).Team_;
  Outgoing->Request_ = CancelRequested{0, Team, Job};
  HomeDispatcher_.dispatch(
      std::move(*Outgoing), [Respond = std::move(Respond)](const auto &Answer) {
        Respond(Answer ? jobReply(*Answer)
                       : refusalReply(asQueryRefusal(Answer.error())));
      });
}

} // namespace oleandergauge::daemon
