#include "wire_job.h"

#include "store.pb.h"

namespace oleandergauge::detail {
namespace {

constexpr auto LastWorkClass = static_cast<std::uint32_t>(WorkClass::Service);

} // namespace

void toWire(const Resources &Value, wire::Resources *Message) {
  Message->set_cpu_milli(Value.CpuMilli_);
  Message->set_memory_mib(Value.MemoryMib_);
  Message->set_accelerators(Value.Accelerators_);
  Message->set_slots(Value.Slots_);
  Message->set_connections(Value.Connections_);
}

Resources fromWire(const wire::Resources &Message) {
  return {Message.cpu_milli(), Message.memory_mib(), Message.accelerators(),
          Message.slots(), Message.connections()};
}

void toWire(const JobSpec &Value, wire::JobSpec *Message) {
  Message->set_id(Value.Id_.str());
  Message->set_request(Value.Request_.str());
  Message->set_team(Value.Team_.str());
  Message->set_queue(Value.Queue_.str());
  Message->set_work_class(static_cast<std::uint32_t>(Value.Class_));
  Message->set_urgent(Value.Urgent_);
  Message->set_idempotent(Value.Idempotent_);
  Message->set_task_count(Value.TaskCount_);
  toWire(Value.Need_, Message->mutable_need());
  Message->set_declared_run_us(Value.DeclaredRun_.count());
  Message->set_start_within_us(Value.StartWithin_.count());
  Message->set_expires_in_us(Value.ExpiresIn_.count());
  Message->set_command(Value.Command_);
  Message->set_body(Value.Body_);
}

std::optional<JobSpec> fromWire(const wire::JobSpec &Message) {
  if (Message.work_class() > LastWorkClass)
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
  Spec.Need_ = fromWire(Message.need());
  Spec.DeclaredRun_ = Duration(Message.declared_run_us());
  Spec.StartWithin_ = Duration(Message.start_within_us());
  Spec.ExpiresIn_ = Duration(Message.expires_in_us());
  Spec.Command_ = Message.command();
  Spec.Body_ = Message.body();
  return Spec;
}

} // namespace oleandergauge::detail
