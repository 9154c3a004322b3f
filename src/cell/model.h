#ifndef OLEANDERGAUGE_CELL_MODEL_H
#define OLEANDERGAUGE_CELL_MODEL_H

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <span>
#include <unordered_map>
#include <unordered_set>

#include "cell/admission.h"
#include "cell/cell.h"
#include "cell/occurrence_set.h"
#include "cell/progress_rows.h"
#include "cell/work_memory.h"

namespace oleandergauge::cell::detail {

struct Job;
struct StepRun;

/// Identifies a worker for as long as the owner lives; zero is none. References
/// that outlive a call are numbers, because the owner forgets workers that have
/// left. Engine::workerAt() returns the worker, or null once it is forgotten.
using WorkerNumber = std::uint32_t;
constexpr WorkerNumber NoWorker = 0;

/// One attempt to run a task on a worker, from the start order until its end is
/// listed or it can no longer run there.
struct Run {
  enum class Phase { Ordered, Running, Stopping };
  StepRun *Step_ = nullptr; ///< Null for a run that no job asked for.
  std::uint32_t Index_ = 0;
  std::uint64_t Attempt_ = 0;
  Phase Phase_ = Phase::Ordered;
  Resources Need_;
  Millis OrderedAt_ = 0;
  Millis LastOrderAt_ = 0;
  Millis LastStartAt_ = 0; ///< Time of the latest start order.
  /// When the worker first confirmed the start; zero before that, and for a run
  /// that a former owner started.
  Millis StartConfirmedAt_ = 0;
  bool Resumed_ = false; ///< Started from a checkpoint.
  /// The worker's clock when it confirmed the start or the stop.
  Millis ConfirmedClock_ = 0;
  bool StopConfirmed_ = false;
  std::uint32_t SentStarts_ = 0; ///< Start orders that were sent.
  /// Start orders without an answer so far, copies of which may still arrive.
  /// An order whose call has timed out counts until a list shows the run.
  std::uint32_t OpenStarts_ = 0;
  /// Time of the latest answer that confirmed a start. It does not tell which
  /// incarnation of the worker gave it.
  Millis StartAnsweredAt_ = 0;
  /// The clock in that answer continues the one in the worker's lists, so that
  /// another incarnation is very unlikely to have given it.
  bool StartClockMatches_ = false;
  bool OrderInFlight_ = false;
  int Priority_ = 0;
  std::string Checkpoint_;
  std::string Ticket_;
  Resources TeamNeed_; ///< Resources counted against the team's limit.
  double Usage_ = 0;   ///< Tail latency of a service's task, in milliseconds.
  /// Progress in the latest list; negative before the first one. A task of a
  /// service reports 100 while it is serving.
  int Percent_ = -1;
  int Pace_ = 100; ///< Requested speed, in percent.
  int ConfirmedPace_ = 100;
  Token PaceOrder_ = 0; ///< The pending pace order, or zero.
};

/// One task of a step, over all of its runs.
struct Task {
  enum class Phase { Waiting, Active, Done };
  Phase Phase_ = Phase::Waiting;
  /// Set while the task is active, and kept when it is done.
  WorkerNumber AssignedWorker_ = NoWorker;
  std::uint32_t Starts_ = 0; ///< Runs started by this owner.
  std::set<std::uint64_t> FailedAttempts_;
  std::string Checkpoint_;
  std::uint64_t CheckpointAttempt_ = 0; ///< The run that saved it.
  Millis NotBefore_ = 0;                ///< Earliest time of the next start.
};

/// The permission to run a step on a worker. It never changes; only the ticket
/// expires.
struct Permission {
  std::string Ticket_;
  Millis ValidUntil_ = 0;
};

/// Room on a worker that is kept for tasks of one step while runs are being
/// stopped, or tickets requested, for them.
struct Reservation {
  StepRun *Step_ = nullptr;
  std::uint32_t Copies_ = 0; ///< Tasks that have not started yet.
  Millis Until_ = 0;
};

/// One attempt to run a gang. All members carry the same run number and start
/// working once all of them are present. An attempt either assembles completely
/// or is aborted as a whole, because members that wait for a missing one only
/// occupy room.
struct GangAttempt {
  enum class Phase {
    None,       ///< No attempt has begun.
    Assembling, ///< Some members are not confirmed yet.
    /// All members are confirmed, or progress proves that they are present.
    Assembled,
    Finished ///< The attempt is done or aborted; members may still be ending.
  };
  Phase Phase_ = Phase::None;
  std::uint64_t Attempt_ = 0;
  /// Time of the start, or of the discovery if inherited.
  Millis StartedAt_ = 0;
  /// Number of members that their workers confirmed.
  std::uint32_t ConfirmedMembers_ = 0;
  bool Inherited_ = false;    ///< A former owner started the attempt.
  bool MadeProgress_ = false; ///< A member has made progress.

  bool isActive(std::uint64_t Attempt) const {
    return Attempt_ == Attempt &&
           (Phase_ == Phase::Assembling || Phase_ == Phase::Assembled);
  }
};

/// What a waiting gang has and what it lacks, for the log.
struct GangWait {
  std::uint32_t Members_ = 0;
  std::size_t KnownWorkers_ = 0;      ///< Workers with advice for the step.
  std::uint32_t AllowedWorkers_ = 0;  ///< Usable workers among them that may
                                      ///< run the step.
  std::uint32_t Tickets_ = 0;         ///< Valid tickets on these.
  std::uint32_t TicketedRoom_ = 0;    ///< Members that fit with these tickets.
  std::uint32_t Room_ = 0;            ///< Members that fit on allowed workers.
  std::uint32_t RoomWithVictims_ = 0; ///< The same after preemption.
  std::uint32_t Reserved_ = 0;        ///< Members for which room is reserved.
  std::size_t PendingCalls_ = 0;      ///< Calls for advice without an answer.
  std::string text() const;
  friend bool operator==(const GangWait &, const GangWait &) = default;
};

/// The place of a step in the order in which waiting steps are examined.
struct Urgency {
  /// Steps that can still meet their objective go first, then late ones, then
  /// those over the team's share or too late to be of value. Each class is
  /// ordered by priority and latest start, so that an overloaded cell runs the
  /// most urgent steps first.
  enum class Class { Service, OnTime, Late, Worthless };
  Class Class_ = Class::OnTime;
  int Priority_ = 0;
  Millis LatestStart_ = 0;
  std::string Name_;
  friend auto operator<=>(const Urgency &, const Urgency &) = default;
};

/// One step of one occurrence of a job.
struct StepRun {
  Job *Job_ = nullptr;
  const StepSpec *Spec_ = nullptr; ///< Part of the job's specification.
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  std::string Name_; ///< "job.occurrence.step"
  std::vector<Task> Tasks_;
  std::uint32_t DoneCount_ = 0;
  std::uint32_t ActiveCount_ = 0;
  std::size_t LiveRuns_ = 0; ///< Runs of its tasks that workers may have.
  /// The occurrence is due and all earlier steps are done.
  bool Ready_ = false;
  Millis ReadySince_ = 0;     ///< When Ready_ was set.
  Millis NextWaitReport_ = 0; ///< Earliest time of the next gang_waits line.
  /// Time by which the occurrence should be done.
  Millis Objective_ = 0;
  /// Time by which the first task should start for the job to meet its
  /// objective.
  Millis LatestStart_ = 0;
  /// The step is in the set of waiting steps, at Urgency_.
  bool InWaiting_ = false;
  Urgency Urgency_;
  /// Waiting work of the step that the load of its queue contains.
  Work CountedWork_ = 0;
  /// Workers that may run the step and workers that may not, by
  /// Worker::Number_. Nothing is known of the others.
  std::unordered_map<WorkerNumber, Permission> Allowed_;
  std::unordered_set<WorkerNumber> Refused_;
  std::vector<Token> AdviceCalls_; ///< Calls for advice without an answer.
  std::unordered_set<std::string> AskedWorkers_; ///< Named by these calls.
  Millis AdviceNotBefore_ = 0;    ///< Earliest time of the next call.
  bool AskedFreeWorkers_ = false; ///< The latest call names workers with room.
  /// Doubles while there is no worker worth asking about.
  Millis NoRoomBackoff_ = 0;
  std::uint32_t GangStarts_ = 0;
  GangAttempt Gang_;                     ///< The latest attempt of a gang.
  std::vector<WorkerNumber> ReservedOn_; ///< Workers with a reservation for it.
  /// Until when room for all members of a gang stays reserved.
  Millis GangPlanUntil_ = 0;
  Millis GangBackoff_ = 0; ///< Doubles with each attempt that did not assemble.
  /// When the preferred place was first found without room while there was room
  /// elsewhere; kept until no task of the step waits.
  std::optional<Millis> PlaceWaitSince_;
  /// A gang for one rack may start on several, from now until it starts.
  bool MaySpanRacks_ = false;
  /// Some rack could hold the gang when empty, as found before RackSizesUntil_.
  bool FitsInRack_ = true;
  Millis RackSizesUntil_ = 0;

  const StepSpec &spec() const { return *Spec_; }
  bool hasAdvice() const { return !Allowed_.empty() || !Refused_.empty(); }
  bool hasAdviceOn(WorkerNumber Worker) const {
    return Allowed_.count(Worker) != 0 || Refused_.count(Worker) != 0;
  }
  bool isDone() const { return DoneCount_ == Tasks_.size(); }
  std::uint32_t waiting() const {
    return static_cast<std::uint32_t>(Tasks_.size()) - DoneCount_ -
           ActiveCount_;
  }
};

/// A change of a job that has to be stored.
struct JobChange {
  /// Contained in the transaction in flight or in an earlier one.
  bool InTransaction_ = false;
  /// The change that covers this one since the store rejected a transaction
  /// with it.
  std::shared_ptr<const JobChange> CoveredBy_;

  bool isSent() const {
    return InTransaction_ || (CoveredBy_ && CoveredBy_->isSent());
  }
};

/// An end that a worker listed and that is not acknowledged to it yet.
struct UnstoredEnd {
  std::uint64_t Number_ = 0;
  /// The change that has to be stored first; null if there is none.
  std::shared_ptr<const JobChange> Change_;
};

/// A job, from its submission until its end is stored and its runs are over.
struct Job {
  std::string Id_;
  std::shared_ptr<const JobSpec> Spec_;
  std::string Queue_;
  /// The queue as of the job's acceptance; null if that is not stored.
  std::shared_ptr<const Queue> AcceptedQueue_;
  /// The queue in the latest version that has it, else AcceptedQueue_.
  std::shared_ptr<const Queue> QueueConfig_;
  std::string Team_;
  Millis AcceptedWall_ = 0; ///< In milliseconds since 1970.
  Millis Objective_ = 0; ///< Time by which an unscheduled job should be done.
  /// Time from acceptance or due time to the objective.
  Millis ObjectiveSpan_ = 0;
  /// Contained in a transaction. Until then the job waits in NewJobs_.
  bool Sent_ = false;
  /// Contained in a rejected transaction since the last one that was stored. An
  /// unanswered copy of that transaction may still be stored, so the job must
  /// not be refused.
  bool MayBeStoredLate_ = false;
  bool Stored_ = false;
  bool Started_ = false; ///< A worker has started one of its tasks.
  /// Counted among the waiting jobs of its queue.
  bool CountedWaiting_ = false;
  /// Time at which the latest submission that waits must have its answer.
  Millis AnswerBy_ = 0;
  bool Inherited_ = false; ///< A former owner accepted the job.
  /// Submitted while the team exceeded its share.
  bool OverTeamShare_ = false;
  /// Wait until the first start, as forecast at the submission.
  std::optional<Millis> ForecastWait_;
  std::optional<EndState> EndState_;
  Millis EndedAt_ = 0; ///< When EndState_ was set.
  /// The steps of the open occurrences, ordered by occurrence and step.
  std::vector<std::unique_ptr<StepRun>> Steps_;
  /// Occurrences that are done and no longer open.
  OccurrenceSet FinishedOccurrences_;
  /// Each earlier occurrence is open or finished.
  std::uint32_t NextOccurrence_ = 0;
  /// The next one to open of those that can still be of value, which go before
  /// older ones.
  std::uint32_t NextRecentOccurrence_ = 0;
  /// Progress, as it was stored, of occurrences that are neither open nor done.
  std::map<std::uint32_t, std::vector<StepProgress>> UnopenedProgress_;
  JobMemory Memory_;
  /// Some occurrences are due but not open, and the job is in OverdueJobs_.
  bool Overdue_ = false;
  /// Number of tasks in an occurrence before each step, and of all.
  std::vector<TaskNumber> StepOffsets_;
  std::size_t LiveRuns_ = 0;
  /// Submissions that wait for the job to be stored.
  std::vector<Token> Callers_;
  /// Requests that wait for the cancellation to be stored.
  std::vector<Token> Cancellers_;
  std::shared_ptr<JobChange> LatestChange_; ///< Null before the first change.
  bool ProgressDirty_ = false; ///< Some progress is not stored yet.
  ProgressRows ProgressRows_;
  /// Finished occurrences, from the first one on, are stored as a number.
  bool CompactsProgress_ = false;
  std::uint32_t DoneOccurrences_ = 0; ///< That number, as it is stored.

  TaskNumber tasksPerOccurrence() const { return StepOffsets_.back(); }
  /// Returns how often the steps run.
  std::uint32_t occurrences() const { return Spec_->timesRun(); }
  /// Returns the first step of the open occurrences from \p Occurrence on, or
  /// the end of Steps_.
  std::vector<std::unique_ptr<StepRun>>::const_iterator
  firstStepFrom(std::uint32_t Occurrence) const {
    return std::lower_bound(
        Steps_.begin(), Steps_.end(), Occurrence,
        [](const std::unique_ptr<StepRun> &Each, std::uint32_t Wanted) {
          return Each->Occurrence_ < Wanted;
        });
  }
  /// Returns the steps of an occurrence; none if it is not open.
  std::span<const std::unique_ptr<StepRun>>
  stepsOf(std::uint32_t Occurrence) const {
    const auto First = firstStepFrom(Occurrence);
    if (First == Steps_.end() || (*First)->Occurrence_ != Occurrence)
      return {};
    return {First, Spec_->Steps_.size()};
  }
  std::uint32_t openOccurrences() const {
    const std::size_t StepCount =
        std::max<std::size_t>(1, Spec_->Steps_.size());
    return static_cast<std::uint32_t>(Steps_.size() / StepCount);
  }
};

/// Sums over the runs of a worker. They depend on the phases and priorities of
/// the runs and on the highest priority of the desired state.
struct NeedSums {
  /// Milli-cores in use by work of the highest priority, or of a higher one
  /// whose queue was removed.
  std::int64_t UrgentCpu_ = 0;
  Resources Stopping_;                   ///< Of stopping runs.
  std::map<int, Resources> Preemptible_; ///< Of preemptible runs by priority.
  friend bool operator==(const NeedSums &, const NeedSums &) = default;
};

/// A worker as this owner knows it.
struct Worker {
  std::string Id_;
  /// Distinguishes the workers that this owner has known.
  WorkerNumber Number_ = NoWorker;
  std::string Service_;
  std::string Address_;
  std::string Domain_;
  std::vector<std::string> Labels_;
  std::string Rack_;
  Resources Capacity_;
  bool Listed_ = false;
  Millis UnlistedSince_ = 0;
  bool Draining_ = false; ///< As the worker itself declares.
  /// The machine is being drained for upkeep; nothing new starts on it.
  bool DrainingForUpkeep_ = false;
  Millis Incarnation_ = 0;
  /// The incarnation whose entry tells the service, labels, rack and capacity.
  Millis DescribedIncarnation_ = 0;
  /// Number of restarts that this owner has seen.
  std::uint32_t RestartCount_ = 0;
  std::uint64_t Fence_ = 0;
  /// The present incarnation has answered a request with this owner's fence,
  /// and no restart has been suspected since.
  bool FenceAccepted_ = false;
  bool ListsEnds_ = false; ///< The latest list contains ends.
  /// The latest list did not name all ends that are not acknowledged.
  bool EndsHidden_ = false;
  bool Reachable_ = false;
  Millis UnreachableSince_ = 0;
  /// Estimate of the worker's clock: it showed ClockMs_ at the time ClockAt_.
  Millis ClockMs_ = 0;
  Millis ClockAt_ = 0;
  /// When the latest list of the present incarnation was requested. Every later
  /// incarnation began after this time.
  Millis ListRequestedAt_ = 0;
  /// Time by which all leases that were sent have certainly ended.
  Millis LeaseEnd_ = 0;
  Token Renewal_ = 0;        ///< The renewal in flight; zero if there is none.
  Millis RenewalSentAt_ = 0; ///< Time of the latest renewal.
  Millis NextRenewal_ = 0;
  /// When advanceWorkers() next has to examine the worker.
  Millis DueAt_ = 0;
  std::uint64_t LastSeenEnd_ = 0;   ///< Highest end number that was processed.
  std::uint64_t LastStoredEnd_ = 0; ///< Highest end number that is stored.
  /// Highest end number that the transaction in flight stores.
  std::uint64_t LastCommitEnd_ = 0;
  /// Processed ends after LastStoredEnd_, by number.
  std::deque<UnstoredEnd> UnstoredEnds_;
  std::unordered_map<std::string, Run> Runs_; ///< By task name.
  /// The worker rejected a start or left one unanswered and gets no gang
  /// members before this time.
  Millis GangsNotBefore_ = 0;
  /// Number of consecutive failures that count against the worker.
  std::uint32_t FailStreak_ = 0;
  Millis QuarantineUntil_ = 0;
  /// The stored list of workers contains the id, so that a next owner waits for
  /// the runs on this worker.
  bool Recorded_ = false;
  /// Time since when all tails have been well below their goals; zero if one is
  /// not.
  Millis BelowGoalSince_ = 0;
  std::vector<Reservation> Reservations_; ///< At most one for each step.
  Resources Used_;                        ///< Sum of the resources of Runs_.
  NeedSums Needs_;
  /// Learned speed relative to the median worker; 1 if it is not known.
  double Speed_ = 1;

  bool hasLabel(const std::string &Label) const;
  /// Names the rack among those of all services.
  std::string place() const { return Service_ + "/" + Rack_; }
};

/// The progress of one machine through its upkeep.
struct MachineUpkeep {
  enum class Phase { Draining, Ordered, Down };
  Phase Phase_ = Phase::Draining;
  Millis Since_ = 0;     ///< Start of the phase.
  Millis NextOrder_ = 0; ///< Time of the next order in phase Ordered.
  bool OrderInFlight_ = false;
};

/// The progress of an upkeep wave.
struct WaveRun {
  Wave Spec_;
  std::set<std::string> Done_;
  /// Machines that are being drained, ordered or down, by id.
  std::map<std::string, MachineUpkeep> ActiveMachines_;
  std::size_t StoredDoneCount_ = 0; ///< Size of Done_ in the store.
  /// Size of Done_ in the latest transaction.
  std::size_t CommitDoneCount_ = 0;
  bool StartReported_ = false; ///< The wave was reported as running.
  bool CompleteReported_ = false;
};

/// Returns whether free resources suffice for a task.
inline bool fits(const Resources &Need, const Resources &Free) {
  return Need.CpuMilli_ <= Free.CpuMilli_ &&
         Need.MemoryMib_ <= Free.MemoryMib_ &&
         Need.Accelerators_ <= Free.Accelerators_;
}

/// Returns the resources that one task of the step takes on its worker.
inline Resources workerNeed(const StepSpec &Spec) {
  Resources Out = Spec.Need_;
  if (Spec.Fill_)
    Out.CpuMilli_ = 0;
  return Out;
}

/// The parts of a task name, "job.occurrence.step.index".
struct TaskName {
  std::string Job_;
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  std::uint32_t Index_ = 0;
};
/// Returns nothing if the text is not a task name.
std::optional<TaskName> parseTaskName(const std::string &Text);
std::string taskName(const StepRun &Step, std::uint32_t Index);

} // namespace oleandergauge::cell::detail

#endif // OLEANDERGAUGE_CELL_MODEL_H
