#include "cell/records.h"

#include "cell.pb.h"

namespace oleandergauge::cell {
namespace {

template <typename Message>
std::optional<Message> parse(const std::string &Bytes) {
  Message Out;
  if (!Out.ParseFromString(Bytes))
    return std::nullopt;
  return Out;
}

void toMessage(const StepSpec &Step, pb::Step &Out) {
  Out.set_count(Step.Count_);
  Out.set_cpu_milli(Step.Need_.CpuMilli_);
  Out.set_memory_mib(Step.Need_.MemoryMib_);
  Out.set_accelerators(Step.Need_.Accelerators_);
  Out.set_estimate_ms(Step.Estimate_);
  for (std::uint32_t Earlier : Step.After_)
    Out.add_after(Earlier);
  Out.set_checkpointed(Step.Checkpointed_);
  Out.set_gang(Step.Gang_);
  Out.set_same_rack(Step.SameRack_);
  Out.set_required_label(Step.RequiredLabel_);
  Out.set_preferred_rack(Step.PreferredRack_);
  Out.set_max_per_worker(Step.MaxPerWorker_);
  Out.set_speculative(Step.Speculative_);
  Out.set_service(Step.Service_);
  Out.set_image(Step.Image_);
  Out.set_tail_goal_ms(Step.TailGoal_);
  Out.set_fill(Step.Fill_);
  Out.set_max_unavailable(Step.MaxUnavailable_);
}

StepSpec fromMessage(const pb::Step &Step) {
  StepSpec Out;
  Out.Count_ = Step.count();
  Out.Need_.CpuMilli_ = Step.cpu_milli();
  Out.Need_.MemoryMib_ = Step.memory_mib();
  Out.Need_.Accelerators_ = Step.accelerators();
  Out.Estimate_ = Step.estimate_ms();
  Out.After_.assign(Step.after().begin(), Step.after().end());
  Out.Checkpointed_ = Step.checkpointed();
  Out.Gang_ = Step.gang();
  Out.SameRack_ = Step.same_rack();
  Out.RequiredLabel_ = Step.required_label();
  Out.PreferredRack_ = Step.preferred_rack();
  Out.MaxPerWorker_ = Step.max_per_worker();
  Out.Speculative_ = Step.speculative();
  Out.Service_ = Step.service();
  Out.Image_ = Step.image();
  Out.TailGoal_ = Step.tail_goal_ms();
  Out.Fill_ = Step.fill();
  Out.MaxUnavailable_ = Step.max_unavailable();
  return Out;
}

void toMessage(const QueueTerms &Terms, pb::QueueTerms &Out) {
  Out.set_service(Terms.Service_);
  Out.set_priority(Terms.Priority_);
  Out.set_attempts(Terms.Attempts_);
  Out.set_slack_factor(Terms.SlackFactor_);
  Out.set_objective_ms(Terms.Objective_);
  if (!Terms.Advice_)
    return;
  Out.mutable_advice()->set_base_ms(Terms.Advice_->Base_);
  Out.mutable_advice()->set_per_worker_ms(Terms.Advice_->PerWorker_);
  Out.mutable_advice()->set_validity_ms(Terms.Advice_->Validity_);
}

QueueTerms fromMessage(const pb::QueueTerms &Terms) {
  QueueTerms Out{Terms.service(),      Terms.priority(),     Terms.attempts(),
                 Terms.slack_factor(), Terms.objective_ms(), std::nullopt};
  if (Terms.has_advice())
    Out.Advice_ =
        AdviceCost{Terms.advice().base_ms(), Terms.advice().per_worker_ms(),
                   Terms.advice().validity_ms()};
  return Out;
}

std::string packBits(const std::vector<bool> &Bits) {
  std::string Out((Bits.size() + 7) / 8, '\0');
  for (std::size_t At = 0; At < Bits.size(); ++At)
    if (Bits[At])
      Out[At / 8] = static_cast<char>(Out[At / 8] | (1 << (At % 8)));
  return Out;
}

std::vector<bool> unpackBits(const std::string &Bytes) {
  std::vector<bool> Out(Bytes.size() * 8);
  for (std::size_t At = 0; At < Out.size(); ++At)
    Out[At] = (Bytes[At / 8] >> (At % 8)) & 1;
  return Out;
}

const char *const EndStateNames[] = {"complete", "failed", "cancelled"};

} // namespace

QueueTerms termsOf(const Queue &Config) {
  return {Config.Service_,     Config.Priority_,  Config.Attempts_,
          Config.SlackFactor_, Config.Objective_, Config.Advice_};
}

Queue queueFrom(const std::string &Name, const QueueTerms &Terms) {
  Queue Out;
  Out.Name_ = Name;
  Out.Service_ = Terms.Service_;
  Out.Priority_ = Terms.Priority_;
  Out.Attempts_ = Terms.Attempts_;
  Out.SlackFactor_ = Terms.SlackFactor_;
  Out.Objective_ = Terms.Objective_;
  Out.Advice_ = Terms.Advice_;
  return Out;
}

std::string encode(const OwnerRow &Row) {
  pb::Owner Out;
  Out.set_epoch(Row.Epoch_);
  Out.set_sequence(Row.Sequence_);
  Out.set_host(Row.Host_);
  Out.set_address(Row.Address_);
  Out.set_released(Row.Released_);
  return Out.SerializeAsString();
}

std::optional<OwnerRow> decodeOwner(const std::string &Bytes) {
  const auto Read = parse<pb::Owner>(Bytes);
  if (!Read)
    return std::nullopt;
  return OwnerRow{Read->epoch(), Read->sequence(), Read->host(),
                  Read->address(), Read->released()};
}

void toMessage(const JobRecord &Record, pb::Job &Out) {
  Out.set_payload(Record.Spec_.Payload_);
  for (const StepSpec &Step : Record.Spec_.Steps_)
    toMessage(Step, *Out.add_steps());
  Out.set_occurrences(Record.Spec_.Occurrences_);
  Out.set_first_due_ms(Record.Spec_.FirstDue_);
  Out.set_interval_ms(Record.Spec_.Interval_);
  Out.set_queue(Record.Queue_);
  Out.set_team(Record.Team_);
  Out.set_accepted_ms(Record.AcceptedAt_);
  if (Record.Terms_)
    toMessage(*Record.Terms_, *Out.mutable_terms());
}

JobRecord fromMessage(const pb::Job &Message) {
  JobRecord Out;
  Out.Spec_.Payload_ = Message.payload();
  for (const pb::Step &Step : Message.steps())
    Out.Spec_.Steps_.push_back(fromMessage(Step));
  Out.Spec_.Occurrences_ = Message.occurrences();
  Out.Spec_.FirstDue_ = Message.first_due_ms();
  Out.Spec_.Interval_ = Message.interval_ms();
  Out.Queue_ = Message.queue();
  Out.Team_ = Message.team();
  Out.AcceptedAt_ = Message.accepted_ms();
  if (Message.has_terms())
    Out.Terms_ = fromMessage(Message.terms());
  return Out;
}

std::string encode(const JobRecord &Record) {
  pb::Job Out;
  toMessage(Record, Out);
  return Out.SerializeAsString();
}

std::optional<JobRecord> decodeJob(const std::string &Bytes) {
  const auto Read = parse<pb::Job>(Bytes);
  if (!Read)
    return std::nullopt;
  return fromMessage(*Read);
}

std::string encode(const JobProgress &Progress) {
  pb::Progress Out;
  Out.set_done_occurrences(Progress.DoneOccurrences_);
  for (const StepProgress &Step : Progress.Steps_) {
    pb::StepProgress &Row = *Out.add_steps();
    Row.set_occurrence(Step.Occurrence_);
    Row.set_step(Step.Step_);
    Row.set_first_task(Step.FirstTask_);
    Row.set_done(packBits(Step.Done_));
    for (const Failure &Each : Step.Failures_) {
      pb::Failure &Entry = *Row.add_failures();
      Entry.set_task(Each.Task_);
      Entry.set_attempt(Each.Attempt_);
    }
  }
  return Out.SerializeAsString();
}

std::optional<JobProgress> decodeProgress(const std::string &Bytes) {
  const auto Read = parse<pb::Progress>(Bytes);
  if (!Read)
    return std::nullopt;
  JobProgress Out;
  Out.DoneOccurrences_ = Read->done_occurrences();
  for (const pb::StepProgress &Row : Read->steps()) {
    StepProgress &Step = Out.Steps_.emplace_back();
    Step.FirstTask_ = Row.first_task();
    Step.Occurrence_ = Row.occurrence();
    Step.Step_ = Row.step();
    Step.Done_ = unpackBits(Row.done());
    for (const pb::Failure &Entry : Row.failures())
      Step.Failures_.push_back({Entry.task(), Entry.attempt()});
  }
  return Out;
}

namespace {

pb::Ended toMessage(const EndedRecord &Record) {
  pb::Ended Out;
  Out.set_state(EndStateNames[static_cast<int>(Record.State_)]);
  Out.set_ended_ms(Record.EndedAt_);
  Out.set_queue(Record.Queue_);
  return Out;
}

std::optional<EndedRecord> fromMessage(const pb::Ended &In) {
  for (int State = 0; State < 3; ++State)
    if (In.state() == EndStateNames[State])
      return EndedRecord{static_cast<EndState>(State), In.ended_ms(),
                         In.queue()};
  return std::nullopt;
}

} // namespace

std::string encode(const EndedRecord &Record) {
  return toMessage(Record).SerializeAsString();
}

std::optional<EndedRecord> decodeEnded(const std::string &Bytes) {
  const auto Read = parse<pb::Ended>(Bytes);
  return Read ? fromMessage(*Read) : std::nullopt;
}

std::string encode(const EndedBatch &Batch) {
  pb::EndedBatch Out;
  for (const auto &[Job, Record] : Batch) {
    pb::EndedBatch::Entry &Entry = *Out.add_entries();
    Entry.set_job(Job);
    *Entry.mutable_ended() = toMessage(Record);
  }
  return Out.SerializeAsString();
}

std::optional<EndedBatch> decodeEndedBatch(const std::string &Key,
                                           const std::string &Bytes) {
  if (Key.empty() || Key.front() != EndedBatchPrefix) {
    const auto Single = decodeEnded(Bytes);
    return Single ? std::optional(EndedBatch{{Key, *Single}}) : std::nullopt;
  }
  const auto Read = parse<pb::EndedBatch>(Bytes);
  if (!Read)
    return std::nullopt;
  EndedBatch Out;
  for (const pb::EndedBatch::Entry &Each : Read->entries())
    if (const auto Record = fromMessage(Each.ended()))
      Out.emplace_back(Each.job(), *Record);
  return Out;
}

std::string encode(const std::set<std::string> &WorkerIds) {
  pb::Workers Out;
  for (const std::string &Id : WorkerIds)
    Out.add_ids(Id);
  return Out.SerializeAsString();
}

std::optional<std::set<std::string>> decodeWorkers(const std::string &Bytes) {
  const auto Read = parse<pb::Workers>(Bytes);
  if (!Read)
    return std::nullopt;
  return std::set<std::string>(Read->ids().begin(), Read->ids().end());
}

std::string encodeWaveProgress(const std::set<std::string> &Done) {
  pb::WaveProgress Out;
  for (const std::string &Machine : Done)
    Out.add_done(Machine);
  return Out.SerializeAsString();
}

std::optional<std::set<std::string>>
decodeWaveProgress(const std::string &Bytes) {
  const auto Read = parse<pb::WaveProgress>(Bytes);
  if (!Read)
    return std::nullopt;
  return std::set<std::string>(Read->done().begin(), Read->done().end());
}

} // namespace oleandergauge::cell
