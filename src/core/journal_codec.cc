#include "oleandergauge/journal.h"

#include "store.pb.h"

namespace oleandergauge {
namespace {

// The last enumerators; a higher value comes from a later build, whose
// transitions this one cannot replay.
constexpr auto LastClass = static_cast<std::uint32_t>(WorkClass::Service);
constexpr auto LastVerdict = static_cast<std::uint32_t>(Verdict::Ran);
constexpr auto LastReason =
    static_cast<std::uint32_t>(RefusalReason::WorkerFailed);

wire::Resources *encode(const Resources &Value, wire::Resources *Message) {
  Message->set_cpu_milli(Value.CpuMilli_);
  Message->set_memory_mib(Value.MemoryMib_);
  Message->set_accelerators(Value.Accelerators_);
  Message->set_slots(Value.Slots_);
  Message->set_connections(Value.Connections_);
  return Message;
}

Resources decode(const wire::Resources &Message) {
  return {Message.cpu_milli(), Message.memory_mib(), Message.accelerators(),
          Message.slots(), Message.connections()};
}

void encode(const TaskId &Value, wire::Task *Message) {
  Message->set_job(Value.Job_.str());
  Message->set_index(Value.Index_);
}

TaskId decode(const wire::Task &Message) {
  return {JobId(Message.job()), Message.index()};
}

void encode(const JobSpec &Value, wire::JobSpec *Message) {
  Message->set_id(Value.Id_.str());
  Message->set_request(Value.Request_.str());
  Message->set_team(Value.Team_.str());
  Message->set_queue(Value.Queue_.str());
  Message->set_work_class(static_cast<std::uint32_t>(Value.Class_));
  Message->set_urgent(Value.Urgent_);
  Message->set_idempotent(Value.Idempotent_);
  Message->set_task_count(Value.TaskCount_);
  encode(Value.Need_, Message->mutable_need());
  Message->set_declared_run_us(Value.DeclaredRun_.count());
  Message->set_start_within_us(Value.StartWithin_.count());
  Message->set_expires_in_us(Value.ExpiresIn_.count());
  Message->set_command(Value.Command_);
  Message->set_body(Value.Body_);
}

std::optional<Transition> decode(const wire::JobSpec &Message) {
  if (Message.work_class() > LastClass)
    return std::nullopt;
  JobSpec Spec;
  Spec.Id_ = JobId(Message.id());
  Spec.Request_ = RequestId(Message.request());
  Spec.Team_ = TeamId(Message.team());
  Spec.Queue_ = QueueId(Message.queue());
  Spec.Class_ = static_cast<WorkClass>(Message.work_class());
  Spec.Urgent_ = Message.urgent();
  Spec.Idempotent_ = Message.idempotent();
  Spec.TaskCount_ = Message.task_count();
  Spec.Need_ = decode(Message.need());
  Spec.DeclaredRun_ = Duration(Message.declared_run_us());
  Spec.StartWithin_ = Duration(Message.start_within_us());
  Spec.ExpiresIn_ = Duration(Message.expires_in_us());
  Spec.Command_ = Message.command();
  Spec.Body_ = Message.body();
  return JobAccepted{std::move(Spec)};
}

std::optional<Transition> decode(const wire::TaskAssigned &Message) {
  return TaskAssigned{decode(Message.task()), Message.attempt(),
                      WorkerId(Message.worker()), decode(Message.reserved())};
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

/// Writes each kind of transition into the message of its kind.
class TransitionEncoder {
public:
  explicit TransitionEncoder(wire::Transition *Message) : Message_(Message) {}

  void operator()(const JobAccepted &Value) const {
    encode(Value.Spec_, Message_->mutable_accepted());
  }
  void operator()(const TaskAssigned &Value) const {
    wire::TaskAssigned *Assigned = Message_->mutable_assigned();
    encode(Value.Task_, Assigned->mutable_task());
    Assigned->set_attempt(Value.Attempt_);
    Assigned->set_worker(Value.Worker_.str());
    encode(Value.Reserved_, Assigned->mutable_reserved());
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
