#ifndef OLEANDERGAUGE_CELL_MODEL_H
#define OLEANDERGAUGE_CELL_MODEL_H

#include <memory>
#include <unordered_map>

#include "cell/cell.h"

namespace oleandergauge::cell::detail {

struct Job;
struct StepRun;
struct Worker;

/// One attempt of a task on a worker, from the order until its end is listed
/// or it can no longer run there.
struct Run {
  enum class Phase { Ordered, Running, Stopping };
  StepRun *Step_ = nullptr; ///< Empty for a run that no job asked for.
  std::uint32_t Index_ = 0;
  std::uint64_t Attempt_ = 0;
  Phase Phase_ = Phase::Ordered;
  Resources Need_;
  Millis OrderedAt_ = 0;
  Millis LastOrderAt_ = 0;
  Millis LastStartAt_ = 0; ///< Of the orders to start it.
  /// Worker's clock when it confirmed the start, or the stop.
  Millis ConfirmedClock_ = 0;
  bool StopConfirmed_ = false;
  /// An order got no answer, so a copy of it may still arrive.
  bool Unanswered_ = false;
  bool OrderInFlight_ = false;
  int Priority_ = 0;
  std::string Checkpoint_;
  std::string Ticket_;
  Resources TeamNeed_; ///< Counted against its team's limit.
  double Usage_ = 0;   ///< Of a service's task: its tail, in milliseconds.
  /// As of the last list, negative before the first; a service at work has 100.
  int Percent_ = -1;
  int Pace_ = 100; ///< Wanted speed, in percent.
  int ConfirmedPace_ = 100;
  Token PaceOrder_ = 0; ///< While one is under way.
};

struct Task {
  enum class Phase { Waiting, Active, Done };
  Phase Phase_ = Phase::Waiting;
  Worker *AssignedWorker_ = nullptr; ///< While active.
  std::uint32_t Starts_ = 0;
  std::set<std::uint64_t> FailedAttempts_;
  std::string Checkpoint_;
  Millis NotBefore_ = 0;
};

/// What is known of a worker for one step. Whether it may run the step does
/// not change; only the ticket ages.
struct Advice {
  bool Allowed_ = false;
  std::string Ticket_;
  Millis ValidUntil_ = 0;
};

/// One attempt to run a gang: all members carry its run number and work from
/// the moment when all are present. It holds together or is called off as a
/// whole, since members that wait for one that will not come only hold room.
struct GangAttempt {
  enum class Phase {
    None,       ///< None has begun.
    Assembling, ///< Some members are not confirmed yet.
    Assembled,  ///< All were confirmed or shown to work.
    Finished    ///< Done or called off; members may still be ending.
  };
  Phase Phase_ = Phase::None;
  std::uint64_t Attempt_ = 0;
  Millis StartedAt_ = 0; ///< Or found, where it is inherited.
  std::uint32_t ConfirmedMembers_ =
      0;                      ///< Members that their workers confirmed.
  bool Inherited_ = false;    ///< Begun by a former owner.
  bool MadeProgress_ = false; ///< A member has made progress.

  bool isActive(std::uint64_t Attempt) const {
    return Attempt_ == Attempt &&
           (Phase_ == Phase::Assembling || Phase_ == Phase::Assembled);
  }
};

/// One step of one occurrence of a job.
struct StepRun {
  Job *Job_ = nullptr;
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  std::string Name_; ///< "job.occurrence.step"
  std::vector<Task> Tasks_;
  std::uint32_t DoneCount_ = 0;
  std::uint32_t ActiveCount_ = 0;
  bool Ready_ = false; ///< All earlier steps are done and it is due.
  /// When the occurrence should be done.
  Millis Objective_ = 0;
  /// When its first task should start for the job to meet its objective.
  Millis LatestStart_ = 0;
  std::unordered_map<std::string, Advice> Advice_; ///< By worker id.
  Token AdviceToken_ = 0;                          ///< While one is asked for.
  Millis AdviceNotBefore_ = 0;
  Millis NoRoomBackoff_ = 0; ///< Grows while no worker is worth asking about.
  std::uint32_t GangStarts_ = 0;
  GangAttempt Gang_;       ///< Newest attempt, of a gang.
  Millis GangBackoff_ = 0; ///< Grows with each attempt that did not gather.

  const StepSpec &spec() const;
  std::uint32_t waiting() const {
    return static_cast<std::uint32_t>(Tasks_.size()) - DoneCount_ -
           ActiveCount_;
  }
};

struct Job {
  std::string Id_;
  std::shared_ptr<const JobSpec> Spec_;
  std::string Queue_;
  std::string Team_;
  Millis AcceptedWall_ = 0;
  Millis Objective_ = 0;     ///< When it should be done, if not scheduled.
  Millis ObjectiveSpan_ = 0; ///< From arrival or due time to the objective.
  bool Stored_ = false;
  bool Started_ = false;
  bool Inherited_ = false; ///< Accepted by a former owner.
  bool OverTeamShare_ = false;
  std::optional<EndState> EndState_;
  std::vector<std::unique_ptr<StepRun>> Steps_;
  std::size_t LiveRuns_ = 0;
  std::vector<Token> Callers_;    ///< Wait for the job to be stored.
  std::vector<Token> Cancellers_; ///< Wait for the cancel to be stored.
  bool ProgressDirty_ = false;    ///< Progress is not stored yet.
  bool ProgressStored_ = false;   ///< It has a row of its own.
};

struct Worker {
  std::string Id_;
  std::string Service_;
  std::string Address_;
  std::string Domain_;
  std::vector<std::string> Labels_;
  std::string Rack_;
  Resources Capacity_;
  bool Listed_ = false;
  Millis UnlistedSince_ = 0;
  bool Draining_ = false;
  /// Its machine is to go down for upkeep: nothing new starts.
  bool DrainingForUpkeep_ = false;
  Millis Incarnation_ = 0;
  std::uint32_t IncarnationCount_ = 0;
  std::uint64_t Fence_ = 0;
  /// It has answered with this owner's fence in its present life.
  bool FenceAccepted_ = false;
  bool Reachable_ = false;
  Millis UnreachableSince_ = 0;
  /// Estimate of the worker's clock: ClockMs_ at the moment ClockAt_.
  Millis ClockMs_ = 0;
  Millis ClockAt_ = 0;
  /// Moment by which all leases that were sent have surely ended.
  Millis LeaseEnd_ = 0;
  bool RenewalInFlight_ = false;
  Millis NextRenewal_ = 0;
  std::uint64_t LastSeenEnd_ = 0;   ///< Highest end that was taken in.
  std::uint64_t LastStoredEnd_ = 0; ///< Highest end that is stored.
  std::uint64_t LastCommitEnd_ = 0; ///< Highest end of the commit in flight.
  Resources Used_;
  std::unordered_map<std::string, Run> Runs_; ///< By task name.
  /// No gang uses it before: it rejected a start or left one unanswered.
  Millis GangsNotBefore_ = 0;
  std::uint32_t FailStreak_ = 0;
  Millis QuarantineUntil_ = 0;
  /// Its id is in the stored list of workers, so that a next owner waits for
  /// what may run there.
  bool Recorded_ = false;
  Millis BelowGoalSince_ =
      0; ///< Services here are well below their goals since.
  /// Step that freed room is kept for, until KeptUntil_.
  StepRun *ReservedFor_ = nullptr;
  Millis ReservedUntil_ = 0;
  std::int64_t UrgentCpu_ = 0; ///< In use by work of the first priority.
  /// Sums over Runs_ as of the last pass: what is ending, and what work of a
  /// lower number may displace, by its priority.
  Resources StoppingNeed_;
  std::map<int, Resources> PreemptibleNeed_;

  bool hasLabel(const std::string &Label) const;
};

/// A machine of a wave on its way through its upkeep.
struct MachineUpkeep {
  enum class Phase { Draining, Ordered, Down };
  Phase Phase_ = Phase::Draining;
  Millis Since_ = 0;     ///< Of the phase.
  Millis NextOrder_ = 0; ///< While it is ordered.
  bool OrderInFlight_ = false;
};

struct WaveRun {
  Wave Spec_;
  std::set<std::string> Done_;
  std::map<std::string, MachineUpkeep> ActiveMachines_; ///< By machine.
  std::size_t StoredDoneCount_ = 0; ///< Size of Done_ as stored.
  std::size_t CommitDoneCount_ = 0; ///< The same in the last transaction.
  bool StartReported_ = false;      ///< As running.
  bool CompleteReported_ = false;
};

inline bool fits(const Resources &Need, const Resources &Free) {
  return Need.CpuMilli_ <= Free.CpuMilli_ &&
         Need.MemoryMib_ <= Free.MemoryMib_ &&
         Need.Accelerators_ <= Free.Accelerators_;
}

/// The parts of "job.occurrence.step.index".
struct TaskName {
  std::string Job_;
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  std::uint32_t Index_ = 0;
};
std::optional<TaskName> parseTaskName(const std::string &Text);
std::string taskName(const StepRun &Step, std::uint32_t Index);

} // namespace oleandergauge::cell::detail

#endif // OLEANDERGAUGE_CELL_MODEL_H
