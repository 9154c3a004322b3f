#include "oleandergauge/journal.h"

#include "store.pb.h"
#include "wire_job.h"

namespace oleandergauge {
namespace {

// The last enumerators. A higher value was written by a later build, whose
// transitions this build cannot replay.
constexpr auto LastVerdict = static_cast<std::uint32_t>(Verdict::Ran);
constexpr auto LastReason =
    static_cast<std::uint32_t>(RefusalReason::WorkerFailed);

void encode(const TaskId &Value, wire::Task *Message) {
  Message->set_job(Value.Job_.str());
  Message->set_index(Value.Index_);
}

TaskId decode(const wire::Task &Message) {
  return {JobId(Message.job()), Message.index()};
}

std::optional<Transition> decode(const wire::JobSpec &Message) {
  std::optional<JobSpec> Spec = detail::fromWire(Message);
  if (!Spec)
    return std::nullopt;
  return JobAccepted{std::move(*Spec)};
}

std::optional<Transition> decode(const wire::TaskAssigned &Message) {
  return TaskAssigned{decode(Message.task()), Message.attempt(),
                      WorkerId(Message.worker()),
                      detail::fromWire(Message.reserved())};
}

std::optional<Transition> decode(const wire::TaskReturned &Message) {
  return TaskReturned{decode(Message.task()), Message.attempt()};
}

std::optional<Transition> decode(const wire::TaskEnded &Message) {
  if (Message.verdict() > LastVerdict)
    return std::nullopt;
  return TaskEnded{decode(Message.task()), Message.attempt(),
                   static_cast<Verdict>(Message.verdict()), Message.exit_code(),
                   Message.output()};
}

std::optional<Transition> decode(const wire::JobCancelled &Message) {
  if (Message.reason() > LastReason)
    return std::nullopt;
  return JobCancelled{JobId(Message.job()),
                      static_cast<RefusalReason>(Message.reason())};
}

/// Encodes a transition into the matching field of a message.
class TransitionEncoder {
public:
  explicit TransitionEncoder(wire::Transition *Message) : Message_(Message) {}

  void operator()(const JobAccepted &Value) const {
    detail::toWire(Value.Spec_, Message_->mutable_accepted());
  }
  void operator()(const TaskAssigned &Value) const {
    wire::TaskAssigned *Assigned = Message_->mutable_assigned();
    encode(Value.Task_, Assigned->mutable_task());
    Assigned->set_attempt(Value.Attempt_);
    Assigned->set_worker(Value.Worker_.str());
    detail::toWire(Value.Reserved_, Assigned->mutable_reserved());
  }
  void operator()(const TaskReturned &Value) const {
    wire::TaskReturned *Returned = Message_->mutable_returned();
    encode(Value.Task_, Returned->mutable_task());
    Returned->set_attempt(Value.Attempt_);
  }
  void operator()(const TaskEnded &Value) const {
    wire::TaskEnded *Ended = Message_->mutable_ended();
    encode(Value.Task_, Ended->mutable_task());
    Ended->set_attempt(Value.Attempt_);
    Ended->set_verdict(static_cast<std::uint32_t>(Value.Verdict_));
    Ended->set_exit_code(Value.ExitCode_);
    Ended->set_output(Value.Output_);
  }
  void operator()(const JobCancelled &Value) const {
    wire::JobCancelled *Cancelled = Message_->mutable_cancelled();
    Cancelled->set_job(Value.Job_.str());
    Cancelled->set_reason(static_cast<std::uint32_t>(Value.Reason_));
  }
  void operator()(const JobForgotten &Value) const {
    Message_->set_forgotten_job(Value.Job_.str());
  }

private:
  wire::Transition *Message_;
};

std::optional<Transition> decode(const wire::Transition &Message) {
  switch (Message.change_case()) {
  case wire::Transition::kAccepted:
    return decode(Message.accepted());
  case wire::Transition::kAssigned:
    return decode(Message.assigned());
  case wire::Transition::kReturned:
    return decode(Message.returned());
  case wire::Transition::kEnded:
    return decode(Message.ended());
  case wire::Transition::kCancelled:
    return decode(Message.cancelled());
  case wire::Transition::kForgottenJob:
    return JobForgotten{JobId(Message.forgotten_job())};
  case wire::Transition::CHANGE_NOT_SET:
    break;
  }
  return std::nullopt;
}

} // namespace

std::string encodeBatch(const JournalBatch &Batch) {
  wire::JournalBatch Message;
  Message.set_epoch(Batch.Epoch_);
  Message.set_sequence(Batch.Sequence_);
  for (const Transition &Change : Batch.Changes_)
    std::visit(TransitionEncoder(Message.add_changes()), Change);
  return Message.SerializeAsString();
}

std::optional<JournalBatch> decodeBatch(const std::string &Bytes) {
  wire::JournalBatch Message;
  if (!Message.ParseFromString(Bytes))
    return std::nullopt;
  JournalBatch Batch{Message.epoch(), Message.sequence(), {}};
  for (const wire::Transition &Change : Message.changes()) {
    std::optional<Transition> Decoded = decode(Change);
    if (!Decoded)
      return std::nullopt;
    Batch.Changes_.push_back(std::move(*Decoded));
  }
  return Batch;
}

} // namespace oleandergauge
