// Memory: what jobs take in the owner's process, and which of them may take
// more.

#include "cell/engine.h"

namespace oleandergauge::cell {
namespace {

/// Shares of the process's memory for accepted jobs and for runs. The rest is
/// for connections, messages and what is read at a takeover.
constexpr double WorkMemoryShare = 0.4;
constexpr double RunMemoryShare = 0.2;
/// Estimated bytes of a small allocation on the heap, and of an entry of a map
/// or a set besides its value.
constexpr std::uint64_t AllocationBytes = 48;
constexpr std::uint64_t EntryBytes = 64;
/// Estimated bytes of a run: its entry, its order with the message to the
/// worker, and its end until that is stored.
constexpr std::uint64_t RunBytes = sizeof(Run) + sizeof(PendingOrder) + 1024;
/// Time after which a submission that found no memory should be repeated.
constexpr Millis MemoryRetryTime = 2000;

std::uint64_t shareOf(const Bounds &Limits, double Share) {
  return static_cast<std::uint64_t>(Share *
                                    static_cast<double>(Limits.MemoryBytes_));
}

std::uint64_t recordBytes(const JobSpec &Spec) {
  std::uint64_t Out = sizeof(Job) + sizeof(JobSpec) + 4 * EntryBytes +
                      4 * AllocationBytes + Spec.Payload_.size();
  for (const StepSpec &Each : Spec.Steps_)
    Out += sizeof(StepSpec) + Each.After_.size() * sizeof(std::uint32_t) +
           Each.RequiredLabel_.size() + Each.PreferredRack_.size() +
           Each.Image_.size();
  return Out;
}

/// Returns the bytes of the steps and tasks of one occurrence. Each step also
/// has a place among the waiting ones.
std::uint64_t occurrenceBytes(const JobSpec &Spec) {
  constexpr std::uint64_t StepBytes =
      sizeof(StepRun) + sizeof(Urgency) + EntryBytes + 4 * AllocationBytes;
  std::uint64_t Out = 0;
  for (const StepSpec &Each : Spec.Steps_)
    Out += StepBytes + Each.Count_ * std::uint64_t{sizeof(Task)};
  return Out;
}

JobMemory memoryOf(const JobSpec &Spec) {
  return {recordBytes(Spec), occurrenceBytes(Spec),
          std::min(ReservedOccurrences, Spec.timesRun())};
}

} // namespace

std::uint64_t workMemoryOf(const Bounds &Limits) {
  return shareOf(Limits, WorkMemoryShare);
}

std::size_t maxLiveRunsOf(const Bounds &Limits) {
  return shareOf(Limits, RunMemoryShare) / RunBytes;
}

/// Adds a new job to what the accepted ones hold.
void Cell::Engine::holdMemory(Job &TargetJob) {
  TargetJob.Memory_ = memoryOf(*TargetJob.Spec_);
  Memory_.change(TargetJob.Team_, 0, TargetJob.Memory_.held(0));
  OpenBytes_ += TargetJob.Memory_.Record_;
}

/// Removes a job that is being forgotten, with the occurrences that are open.
void Cell::Engine::releaseMemory(const Job &TargetJob) {
  const std::uint32_t Open = TargetJob.openOccurrences();
  Memory_.change(TargetJob.Team_, TargetJob.Memory_.held(Open), 0);
  OpenBytes_ -=
      TargetJob.Memory_.Record_ + Open * TargetJob.Memory_.Occurrence_;
  OpenOccurrences_ -= Open;
}

/// Updates the sums after occurrences of the job, of which \p Before were open,
/// were opened or released.
void Cell::Engine::countOpenOccurrences(const Job &TargetJob,
                                        std::uint32_t Before) {
  const JobMemory &Memory = TargetJob.Memory_;
  const std::uint32_t Open = TargetJob.openOccurrences();
  Memory_.change(TargetJob.Team_, Memory.held(Before), Memory.held(Open));
  OpenBytes_ =
      OpenBytes_ - Before * Memory.Occurrence_ + Open * Memory.Occurrence_;
  OpenOccurrences_ = OpenOccurrences_ - Before + Open;
}

/// Returns whether there is memory for one more occurrence of the job. That
/// which is reserved may be missing only where a former owner with more memory
/// has accepted the jobs; then they run one after another.
bool Cell::Engine::mayOpenOccurrence(const Job &TargetJob) const {
  const JobMemory &Memory = TargetJob.Memory_;
  const std::uint32_t Open = TargetJob.openOccurrences();
  if (Open >= MaxOpenOccurrences)
    return false;
  if (Open < Memory.Reserved_)
    return OpenOccurrences_ == 0 ||
           OpenBytes_ + Memory.Occurrence_ <= Memory_.limit();
  return Memory_.mayOpenFurther(TargetJob.Team_, Memory.Occurrence_);
}

/// Refuses a submission for which there is no memory. Returns whether it does.
bool Cell::Engine::refuseForMemory(Token Caller, const Resolution &Request,
                                   const JobSpec &Spec) {
  const JobMemory Memory = memoryOf(Spec);
  const MemoryVerdict Verdict = Memory_.judge(Request.Team_, Memory.held(0));
  if (Verdict == MemoryVerdict::Fits)
    return false;
  ++RefusedForMemory_;
  const bool TooLarge = Verdict == MemoryVerdict::TooLarge;
  Effects_.push_back(
      Decision{"job_refused", Request.JobId_,
               std::string(TooLarge ? "more tasks than memory allows"
                                    : "no memory for further jobs") +
                   ": team=" + Request.Team_ +
                   " bytes=" + std::to_string(Memory.held(0)) +
                   " held=" + std::to_string(Memory_.held()) +
                   " limit=" + std::to_string(Memory_.limit()),
               0});
  Effects_.push_back(
      Reply{Caller, TooLarge ? Answer::TooManyTasks : Answer::Busy,
            JobState::Queued, 0, TooLarge ? Millis{0} : MemoryRetryTime});
  return true;
}

} // namespace oleandergauge::cell
