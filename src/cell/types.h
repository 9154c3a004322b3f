#ifndef OLEANDERGAUGE_CELL_TYPES_H
#define OLEANDERGAUGE_CELL_TYPES_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "oleandergauge/base.h"

/// The scheduler of a cell that keeps its state in the platform's store. One
/// owner makes all decisions; the other entry hosts forward requests to it and
/// request advice on its behalf.
namespace oleandergauge::cell {

/// Milliseconds: a duration, or a time on the boot-time clock of the process,
/// which also advances while the machine is suspended.
using Millis = std::int64_t;

constexpr std::uint64_t BytesPerMib = 1 << 20;

/// One step of a job, which consists of Count_ identical tasks.
struct StepSpec {
  std::uint32_t Count_ = 1;
  Resources Need_;      ///< Resources of each task.
  Millis Estimate_ = 0; ///< Estimated duration.
  /// Steps that must be done before this one starts.
  std::vector<std::uint32_t> After_;
  bool Checkpointed_ = false; ///< A stop saves a checkpoint to resume from.
  bool Gang_ = false;         ///< All tasks run together or not at all.
  bool SameRack_ = false;     ///< All tasks of a gang run in one rack.
  std::string RequiredLabel_; ///< Empty if any worker is suitable.
  std::string PreferredRack_;
  std::uint32_t MaxPerWorker_ = 0; ///< Zero if there is no limit.
  bool Speculative_ = false;
  bool Service_ = false; ///< Runs until the job is cancelled.
  std::string Image_;
  /// Goal for the tail latency of a service; zero if it has none.
  Millis TailGoal_ = 0;
  bool Fill_ = false; ///< Uses processor time that other tasks leave idle.
  /// Tasks of a service that the scheduler may make unavailable at once; zero
  /// if there is no limit.
  std::uint32_t MaxUnavailable_ = 0;
  friend bool operator==(const StepSpec &, const StepSpec &) = default;
};

/// A job as its caller specifies it.
struct JobSpec {
  std::string Payload_; ///< Passed to every task.
  std::vector<StepSpec> Steps_;
  /// Zero if the steps run once, without a schedule.
  std::uint32_t Occurrences_ = 0;
  Millis FirstDue_ = 0; ///< In milliseconds since 1970.
  Millis Interval_ = 0; ///< Time between the due times of occurrences.

  /// Returns how often the steps run.
  std::uint32_t timesRun() const {
    return Occurrences_ == 0 ? 1 : Occurrences_;
  }
  friend bool operator==(const JobSpec &, const JobSpec &) = default;
};

/// The cost of a call for advice and the validity of its tickets.
struct AdviceCost {
  double Base_ = 0;      ///< Milliseconds per call.
  double PerWorker_ = 0; ///< Milliseconds per worker.
  Millis Validity_ = 0;  ///< Time for which a ticket is valid.
  friend bool operator==(const AdviceCost &, const AdviceCost &) = default;
};

/// A queue as the operators configure it.
struct Queue {
  std::string Name_;
  std::string Host_;    ///< Host of the callers' URLs.
  std::string Prefix_;  ///< Prefix of the callers' paths.
  std::string Service_; ///< Workers of this service run the queue's jobs.
  int Priority_ = 0;    ///< Zero is the highest; may preempt higher numbers.
  std::uint32_t Attempts_ = 1; ///< Failed runs of a task that fail its job.
  /// A job's objective is its acceptance plus the estimated duration times
  /// SlackFactor_ plus Objective_.
  double SlackFactor_ = 1;
  Millis Objective_ = 0;
  std::optional<AdviceCost> Advice_;
  bool Public_ = false; ///< Accepts requests without a known key.
  friend bool operator==(const Queue &, const Queue &) = default;
};

/// A team as the operators configure it.
struct Team {
  std::string Name_;
  std::vector<std::string> Keys_;
  double Weight_ = 1; ///< Share of submissions, in jobs per second.
  Resources Limit_;   ///< Limit on the resources in use; zero is no limit.
  friend bool operator==(const Team &, const Team &) = default;
};

/// Limits on callers' connections and requests.
struct CallerLimits {
  std::size_t HeaderBytes_ = 16384;
  std::size_t BodyBytes_ = 262144;
  Millis HeaderTimeout_ = 3000;
  Millis IdleTimeout_ = 15000;
  friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

/// The latest configuration written by the operators.
struct DesiredState {
  std::uint64_t Version_ = 0;
  std::vector<Queue> Queues_;
  std::set<std::string> StandbyServices_;
  std::vector<Team> Teams_;
  CallerLimits Limits_;
  friend bool operator==(const DesiredState &, const DesiredState &) = default;
};

/// A worker as it registers itself in the store.
struct WorkerEntry {
  std::string Id_;
  std::string Service_;
  std::string Address_; ///< "ip:port"
  std::string Domain_;
  std::vector<std::string> Labels_;
  std::string Rack_;
  Resources Capacity_;
  bool Draining_ = false;
  /// Start of the worker in milliseconds since 1970; distinguishes incarnations
  /// under one id.
  Millis Incarnation_ = 0;
  friend bool operator==(const WorkerEntry &, const WorkerEntry &) = default;
};

/// A running task in a worker's list.
struct RunningEntry {
  std::string Task_;
  std::uint64_t Attempt_ = 0;
  std::string Checkpoint_;
  int Percent_ = 0;
  /// Tail latency in milliseconds of a service's task, else milli-cores in use.
  double Usage_ = 0;
  friend bool operator==(const RunningEntry &, const RunningEntry &) = default;
};

/// How a run ended.
enum class EndKind {
  Done,
  Failed,
  Stopped, ///< By a stop order.
  Lapsed,  ///< The worker's lease ended.
  Broken,  ///< Another member of its gang ended without success.
  Alone    ///< The other members of its gang did not start in time.
};

/// An ended run in a worker's list. The worker numbers its ends consecutively
/// and repeats them until they are acknowledged.
struct EndEntry {
  std::uint64_t Number_ = 0;
  std::string Task_;
  std::uint64_t Attempt_ = 0;
  EndKind Kind_ = EndKind::Done;
  std::string Checkpoint_;
  friend bool operator==(const EndEntry &, const EndEntry &) = default;
};

/// A request of the operators for upkeep of all listed machines within a time,
/// with at most MaxDown_ down at once.
struct Wave {
  std::uint64_t Number_ = 0;
  std::vector<std::string> Machines_;
  Millis Duration_ = 0;
  std::uint32_t MaxDown_ = 1;
  friend bool operator==(const Wave &, const Wave &) = default;
};

/// The state of a machine at the platform.
enum class MachineState { Up, Moving, Upkeep, Down };

/// A machine as the platform lists it.
struct MachineEntry {
  std::string Id_;
  std::string Worker_; ///< The id of the worker that currently runs on it.
  MachineState State_ = MachineState::Up;
  friend bool operator==(const MachineEntry &, const MachineEntry &) = default;
};

/// The runs that a worker lists at ClockMs_ on its own clock. An answer holds a
/// limited number of ends, so that the absence of a run proves its end only
/// where the list says that it is complete.
struct WorkerList {
  Millis ClockMs_ = 0;
  Millis Incarnation_ = 0;
  std::vector<RunningEntry> Running_;
  std::vector<EndEntry> Ended_;
  bool AllRuns_ = false; ///< Running_ names every run of the worker.
  /// Ended_ names every end that is not acknowledged to the worker.
  bool AllEnds_ = false;

  bool isComplete() const { return AllRuns_ && AllEnds_; }
  friend bool operator==(const WorkerList &, const WorkerList &) = default;
};

/// Limits that the platform guarantees to callers and workers, or demands.
struct Bounds {
  Millis MaxLease_ = 6000; ///< Workers grant no longer leases.
  Millis StopTime_ = 200;  ///< A run ends within this time after a stop.
  /// A gang member ends if the others are not present within this time.
  Millis GangTimeout_ = 3000;
  /// The state of an ended job must be available for this time.
  Millis StatusRetention_ = 120000;
  /// Two owners must not order upkeep of one machine within this time.
  Millis OrderLease_ = 3000;
  /// Duration of a machine's upkeep.
  Millis UpkeepTime_ = 2000;
  std::size_t RowBytes_ = 65536; ///< The store accepts no larger row.
  /// Memory of the owner's process, which ends if it takes more.
  std::uint64_t MemoryBytes_ = 260 * BytesPerMib;
  /// Factor by which a task runs longer away from its preferred rack, or a gang
  /// for one rack on several. Below 1 it is not known: tasks do not wait for
  /// their rack, and gangs wait without limit.
  double RemoteFactor_ = 0;
  friend bool operator==(const Bounds &, const Bounds &) = default;
};

/// A row that a transaction writes, or deletes if it has no value.
struct RowChange {
  std::string Table_;
  std::string Key_;
  std::optional<std::string> Value_;
  friend bool operator==(const RowChange &, const RowChange &) = default;
};

} // namespace oleandergauge::cell

#endif // OLEANDERGAUGE_CELL_TYPES_H
