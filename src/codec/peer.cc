#include "codec/peer.h"

#include <algorithm>
#include <utility>

#include "codec/checks.h"
#include "codec/json.h"
#include "core/wire_job.h"
#include "peer.pb.h"

namespace oleandergauge::codec {

namespace {

/// An older read is evidence of nothing, and a longer age could overflow.
constexpr Duration MaxAge = std::chrono::hours(24);

template <typename Enum> std::uint32_t numberOf(Enum Value) {
  return static_cast<std::uint32_t>(Value);
}

/// The enumerator with this number, \p Otherwise where there is none.
template <typename Enum>
Enum enumOf(std::uint32_t Number, Enum Last, Enum Otherwise) {
  return Number <= numberOf(Last) ? static_cast<Enum>(Number) : Otherwise;
}

Verdict verdictOf(std::uint32_t Number) {
  return enumOf(Number, Verdict::Ran, Verdict::MayHaveRun);
}

// -------------------------------------------------------------- Heartbeats

void writeBeat(wire::Heartbeat &To, const Heartbeat &Beat) {
  To.mutable_from()->set_host(Beat.From_.Host_.str());
  To.mutable_from()->set_address(Beat.From_.Address_);
  To.mutable_from()->set_region(Beat.From_.Region_.str());
  To.mutable_from()->set_failure_domain(Beat.From_.Domain_.str());
  To.set_draining(Beat.Draining_);
  const PeerVouch &Vouch = Beat.Vouch_;
  To.mutable_vouch()->set_head_version(Vouch.HeadVersion_);
  To.mutable_vouch()->set_store_out(Vouch.StoreOut_);
  if (Vouch.HeadReadAt_) {
    const Duration Age =
        std::max(Vouch.SentAt_ - *Vouch.HeadReadAt_, Duration(0));
    To.mutable_vouch()->set_head_read(true);
    To.mutable_vouch()->set_head_read_age_us(Age.count());
  }
  for (const OwnedPartition &Each : Beat.Owned_) {
    wire::OwnedPartition &Owned = *To.add_owned();
    Owned.set_partition(Each.Partition_.str());
    Owned.set_epoch(Each.Epoch_);
    Owned.set_waiting(Each.Waiting_);
  }
}

Result<Heartbeat> readBeat(const wire::Heartbeat &From) {
  Heartbeat Beat;
  const wire::MemberRow &Host = From.from();
  if (const Result<void> Checked = checkName("from.host", Host.host());
      !Checked)
    return tl::unexpected(Checked.error());
  Beat.From_ = {HostId(Host.host()), Host.address(), Region(Host.region()),
                FailureDomain(Host.failure_domain())};
  Beat.Draining_ = From.draining();
  Beat.Vouch_.HeadVersion_ = From.vouch().head_version();
  Beat.Vouch_.SentAt_ = UnknownTime;
  for (const wire::OwnedPartition &Each : From.owned()) {
    if (const Result<void> Checked =
            checkName("owned.partition", Each.partition());
        !Checked)
      return tl::unexpected(Checked.error());
    Beat.Owned_.push_back(
        {PartitionId(Each.partition()), Each.epoch(), Each.waiting()});
  }
  return Beat;
}

std::optional<TimePoint> readMoment(const wire::Vouch &Vouch,
                                    TimePoint RequestSentAt) {
  const Duration Age(Vouch.head_read_age_us());
  if (!Vouch.head_read() || Age < Duration(0) || Age > MaxAge)
    return std::nullopt;
  return RequestSentAt - Age - Age / 10;
}

// ---------------------------------------------------------------- Forwards

/// Refuses amounts that would make room on a worker or never end.
Result<void> checkSpec(const JobSpec &Spec) {
  if (!parseJobId(Spec.Id_.str()) ||
      Spec.Id_ != makeJobId(Spec.Team_, Spec.Request_))
    return refuse("job is " + quoteForMessage(Spec.Id_.str()) +
                  "; expected is that of its team and request");
  if (Spec.TaskCount_ == 0 || Spec.TaskCount_ > MaxTaskCount)
    return refuse("task_count is " + std::to_string(Spec.TaskCount_) +
                  "; allowed are 1 to " + std::to_string(MaxTaskCount));
  if (!Resources{}.fitsIn(Spec.Need_))
    return refuse("a component of need is negative");
  if (std::min({Spec.DeclaredRun_, Spec.StartWithin_, Spec.ExpiresIn_}) <
          Duration(0) ||
      Spec.ExpiresIn_ > MaxExpiry)
    return refuse("a time span is negative, or expires_in is above 15 minutes");
  return checkName("queue", Spec.Queue_.str());
}

Result<JobSpec> readSpec(const wire::JobSpec &From) {
  std::optional<JobSpec> Spec = detail::fromWire(From);
  if (!Spec)
    return refuse("work_class is " + std::to_string(From.work_class()) +
                  "; this build knows 0 to 3");
  if (const Result<void> Checked = checkSpec(*Spec); !Checked)
    return tl::unexpected(Checked.error());
  return std::move(*Spec);
}

/// Refuses a request for a job of another team.
Result<void> checkJob(const std::string &Team, const std::string &Job) {
  const auto Parts = parseJobId(Job);
  if (!Parts || Parts->first != TeamId(Team))
    return refuse("job is " + quoteForMessage(Job) +
                  "; expected is one of team " + quoteForMessage(Team));
  return {};
}

Result<ForwardedRequest> readRequest(const wire::Forward &From) {
  switch (From.request_case()) {
  case wire::Forward::kSubmit: {
    Result<JobSpec> Spec = readSpec(From.submit().spec());
    if (!Spec)
      return tl::unexpected(Spec.error());
    return ForwardedSubmit{*std::move(Spec)};
  }
  case wire::Forward::kCancel: {
    const wire::CancelRequest &Asked = From.cancel();
    if (const auto Checked = checkJob(Asked.team(), Asked.job()); !Checked)
      return tl::unexpected(Checked.error());
    return ForwardedCancel{TeamId(Asked.team()), JobId(Asked.job())};
  }
  case wire::Forward::kQuery: {
    const wire::QueryRequest &Asked = From.query();
    if (const auto Checked = checkJob(Asked.team(), Asked.job()); !Checked)
      return tl::unexpected(Checked.error());
    return ForwardedQuery{TeamId(Asked.team()), JobId(Asked.job()),
                          Asked.wait_for_end()};
  }
  case wire::Forward::REQUEST_NOT_SET:
    break;
  }
  return refuse("the forward holds no request that this build knows");
}

void writeStatus(wire::JobStatus &To, const JobStatus &Status) {
  To.set_job(Status.Job_.str());
  To.set_team(Status.Team_.str());
  To.set_queue(Status.Queue_.str());
  To.set_work_class(numberOf(Status.Class_));
  To.set_ended(Status.Ended_);
  To.set_cancelled(Status.CancelledFor_.has_value());
  if (Status.CancelledFor_)
    To.set_cancelled_for(numberOf(*Status.CancelledFor_));
  for (const TaskStatus &Each : Status.Tasks_) {
    wire::TaskStatus &Task = *To.add_tasks();
    Task.mutable_task()->set_job(Each.Task_.Job_.str());
    Task.mutable_task()->set_index(Each.Task_.Index_);
    Task.set_state(numberOf(Each.State_));
    Task.set_attempt(Each.Attempt_);
    Task.set_worker(Each.Worker_.str());
    Task.set_verdict(numberOf(Each.Verdict_));
    Task.set_exit_code(Each.ExitCode_);
    Task.set_output(Each.Output_);
    Task.set_explanation(Each.Explanation_);
  }
}

RefusalReason reasonOf(std::uint32_t Number) {
  return enumOf(Number, RefusalReason::WorkerFailed,
                RefusalReason::OwnerUnavailable);
}

JobStatus readStatus(const wire::JobStatus &From) {
  JobStatus Status{
      JobId(From.job()),
      TeamId(From.team()),
      QueueId(From.queue()),
      enumOf(From.work_class(), WorkClass::Service, WorkClass::Batch),
      From.ended(),
      std::nullopt,
      {}};
  if (From.cancelled())
    Status.CancelledFor_ = reasonOf(From.cancelled_for());
  for (const wire::TaskStatus &Each : From.tasks())
    Status.Tasks_.push_back(
        {{JobId(Each.task().job()), Each.task().index()},
         enumOf(Each.state(), TaskState::Ended, TaskState::Unknown),
         Each.attempt(),
         WorkerId(Each.worker()),
         verdictOf(Each.verdict()),
         Each.exit_code(),
         Each.output(),
         Each.explanation()});
  return Status;
}

} // namespace

std::string encodeHeartbeat(const Heartbeat &Beat) {
  wire::Heartbeat Message;
  writeBeat(Message, Beat);
  return Message.SerializeAsString();
}

std::string encodeHeartbeatReply(const Heartbeat &Beat) {
  wire::HeartbeatReply Message;
  writeBeat(*Message.mutable_heartbeat(), Beat);
  return Message.SerializeAsString();
}

Result<Heartbeat> decodeHeartbeat(const std::string &Bytes) {
  wire::Heartbeat Message;
  if (!Message.ParseFromString(Bytes))
    return refuse("the bytes are no Heartbeat message");
  return readBeat(Message);
}

Result<Heartbeat> decodeHeartbeatReply(const std::string &Bytes,
                                       TimePoint RequestSentAt) {
  wire::HeartbeatReply Message;
  if (!Message.ParseFromString(Bytes))
    return refuse("the bytes are no HeartbeatReply message");
  Result<Heartbeat> Beat = readBeat(Message.heartbeat());
  if (!Beat)
    return Beat;
  const wire::Vouch &Vouch = Message.heartbeat().vouch();
  Beat->Vouch_.SentAt_ = RequestSentAt;
  Beat->Vouch_.StoreOut_ = Vouch.store_out();
  Beat->Vouch_.HeadReadAt_ = readMoment(Vouch, RequestSentAt);
  return Beat;
}

std::string encodeForward(const Forward &Passed) {
  wire::Forward Message;
  Message.set_partition(Passed.Partition_.str());
  std::visit(detail::Overloaded{
                 [&](const ForwardedSubmit &Request) {
                   detail::toWire(Request.Spec_,
                                  Message.mutable_submit()->mutable_spec());
                 },
                 [&](const ForwardedCancel &Request) {
                   Message.mutable_cancel()->set_team(Request.Team_.str());
                   Message.mutable_cancel()->set_job(Request.Job_.str());
                 },
                 [&](const ForwardedQuery &Request) {
                   wire::QueryRequest &Query = *Message.mutable_query();
                   Query.set_team(Request.Team_.str());
                   Query.set_job(Request.Job_.str());
                   Query.set_wait_for_end(Request.WaitForEnd_);
                 }},
             Passed.Request_);
  return Message.SerializeAsString();
}

Result<Forward> decodeForward(const std::string &Bytes) {
  wire::Forward Message;
  if (!Message.ParseFromString(Bytes))
    return refuse("the bytes are no Forward message");
  if (const auto Checked = checkName("partition", Message.partition());
      !Checked)
    return tl::unexpected(Checked.error());
  Result<ForwardedRequest> Request = readRequest(Message);
  if (!Request)
    return tl::unexpected(Request.error());
  return Forward{PartitionId(Message.partition()), *std::move(Request)};
}

std::string encodeForwardReply(const Result<JobStatus> &Answer) {
  wire::ForwardReply Message;
  if (Answer) {
    writeStatus(*Message.mutable_status(), *Answer);
    return Message.SerializeAsString();
  }
  wire::Refusal &Refused = *Message.mutable_refusal();
  Refused.set_verdict(numberOf(Answer.error().Verdict_));
  Refused.set_reason(numberOf(Answer.error().Reason_));
  Refused.set_message(Answer.error().Message_);
  Refused.set_retry_after_us(Answer.error().RetryAfter_.count());
  return Message.SerializeAsString();
}

Result<JobStatus> decodeForwardReply(const std::string &Bytes) {
  wire::ForwardReply Message;
  if (Message.ParseFromString(Bytes)) {
    if (Message.has_status())
      return readStatus(Message.status());
    if (Message.has_refusal()) {
      const wire::Refusal &From = Message.refusal();
      return tl::unexpected(Refusal{verdictOf(From.verdict()),
                                    reasonOf(From.reason()), From.message(),
                                    Duration(From.retry_after_us())});
    }
  }
  return tl::unexpected(
      Refusal{Verdict::MayHaveRun, RefusalReason::OwnerUnavailable,
              "the home's answer cannot be read", Duration(0)});
}

} // namespace oleandergauge::codec
