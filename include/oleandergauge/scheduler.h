#ifndef OLEANDERGAUGE_SCHEDULER_H
#define OLEANDERGAUGE_SCHEDULER_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "oleandergauge/base.h"

namespace oleandergauge {

/// A worker as described by the platform's list of live workers.
struct WorkerInfo {
  WorkerId Id_;
  std::string Address_; ///< "ip:port"
  Region Region_;
  FailureDomain Domain_;
  Rack Rack_;
  Resources Capacity_;
  friend bool operator==(const WorkerInfo &, const WorkerInfo &) = default;
};

/// The unit of placement: one task, or all tasks of a gang, which are placed
/// together or not at all. Covers Count_ tasks with consecutive indices, of
/// which Head_ is the lowest.
struct WorkItem {
  TaskId First_;
  std::uint32_t Count_ = 1;
  TeamId Team_;
  WorkClass Class_ = WorkClass::Batch;
  bool Urgent_ = false;
  Resources Need_;          ///< Resource request of each task.
  Duration ExpectedRun_{0}; ///< Zero if unknown.
  TimePoint SubmittedAt_;
  friend bool operator==(const WorkItem &, const WorkItem &) = default;
};

/// The placement of one task. Its capacity is already reserved.
struct PlacedTask {
  TaskId Task_;
  WorkerId Worker_;
  Resources Reserved_;
  friend bool operator==(const PlacedTask &, const PlacedTask &) = default;
};

/// Requests that the partition owner checkpoints the task, stops it and puts it
/// back into the queue, which frees its capacity for urgent work.
struct Preemption {
  TaskId Task_;
  WorkerId Worker_;
  friend bool operator==(const Preemption &, const Preemption &) = default;
};

/// Numbers of waiting and running tasks of one work class.
struct ClassCounts {
  std::size_t Waiting_ = 0;
  std::size_t Running_ = 0;
  friend bool operator==(const ClassCounts &, const ClassCounts &) = default;
};

struct SchedulerOptions {
  /// One slot in DirectReserveDivisor_ of each worker is reserved for direct
  /// work, and at least one if the worker has two or more. A value of zero or
  /// less turns the reserve off.
  std::int32_t DirectReserveDivisor_ = 8;
  /// Number of different shapes of work for which a search may fail in one
  /// round of a priority band. Bounds the time of a round. It is divided evenly
  /// among the teams that wait in the band, with at least one for each team, so
  /// that no team uses up the searches of another.
  std::size_t MaxFailedShapesPerBand_ = 64;
  /// After this many preemptions in one call of choosePreemptions() no further
  /// urgent item is considered. The victims for one item are always returned
  /// together, so a call may exceed this number.
  std::size_t MaxPreemptionsPerRound_ = 8;
};

/// Work that a Scheduler has done since its construction. The counts are the
/// same on every machine.
struct SchedulerCounters {
  std::uint64_t Decisions_ = 0;       ///< Attempts to place a work item.
  std::uint64_t Placements_ = 0;      ///< Tasks placed.
  std::uint64_t WorkersExamined_ = 0; ///< Workers examined by these attempts.
  friend bool operator==(const SchedulerCounters &,
                         const SchedulerCounters &) = default;
};

/// Orders the waiting work of one partition and chooses workers for it. It
/// never places work beyond a worker's capacity, beyond a team's headroom or on
/// a closed worker. It reads no clock and does no I/O.
class Scheduler {
public:
  explicit Scheduler(SchedulerOptions Options = {});
  ~Scheduler();
  Scheduler(Scheduler &&) noexcept;
  Scheduler &operator=(Scheduler &&) noexcept;

  /// Adds a worker, which is then open for new work, or updates its capacity,
  /// failure domain and rack.
  void upsertWorker(const WorkerInfo &Worker);
  /// Removes a worker. A worker that still runs tasks is closed and is removed
  /// when the last one is released.
  void removeWorker(const WorkerId &Worker);
  /// A closed worker receives no new work. Its running tasks stay counted.
  void setOpen(const WorkerId &Worker, bool Open);
  /// Opens a worker for a single placement, after which it closes again. This
  /// serves to probe a quarantined worker.
  void openForProbe(const WorkerId &Worker);

  /// Sets the team's weight for fair sharing. \p Headroom is the number of
  /// further tasks that the team may start now.
  void setTeam(const TeamId &Team, double Weight, std::uint32_t Headroom);

  /// Returns a refusal with the verdict NotRun for an item that can never be
  /// placed, even without other work: FitsNoWorker if no worker can hold one of
  /// its tasks, GangExceedsPartition if all workers together cannot hold all.
  Result<void> checkFeasible(const WorkItem &Item) const;
  /// Adds an item to the waiting work. Has no effect if its first task is
  /// waiting already or one of its tasks is running, so a preempted task must
  /// be released before it is queued again.
  void enqueue(const WorkItem &Item);
  /// Removes a waiting item. Returns false if the item is not waiting.
  bool dequeue(const TaskId &First);

  /// Chooses workers for up to \p MaxPlacements tasks, ordered by priority
  /// band, by the share of the team and by arrival, and reserves capacity and
  /// headroom for them. A gang is placed as a whole, so the last one may exceed
  /// \p MaxPlacements.
  std::vector<PlacedTask> decide(TimePoint Now, std::size_t MaxPlacements);
  /// While this is set, decide() places only direct work.
  void setDirectOnly(bool DirectOnly);
  /// Chooses running tasks to preempt so that waiting urgent work can start. A
  /// task is returned at most once until it is released.
  std::vector<Preemption> choosePreemptions(TimePoint Now);

  /// Records a task that is already running, for example after recovery. Its
  /// capacity is counted even if it is not free.
  void adopt(const WorkItem &Item, const PlacedTask &Placed,
             TimePoint StartedAt);
  /// Frees the capacity of a task that has ended. The team's headroom does not
  /// change before the next call of setTeam().
  void release(const TaskId &Task);
  /// Records the reported usage of a running task. Usage above the task's
  /// reservation reduces the free capacity of its worker.
  void noteUsage(const TaskId &Task, const Resources &Usage);
  /// Sets the capacity that is in use on a worker by tasks that are not in this
  /// partition's journal.
  void setForeignUsage(const WorkerId &Worker, const Resources &Usage);

  /// Returns the worker's capacity less what is in use, or nothing for an
  /// unknown worker.
  Resources freeOf(const WorkerId &Worker) const;
  /// Returns the largest fraction that the team uses of any resource of the
  /// partition.
  double dominantShareOf(const TeamId &Team) const;
  ClassCounts countsOf(WorkClass Class) const;
  /// Returns the reason why an item is waiting, as text for the submitter.
  std::string explain(const TaskId &First) const;
  const SchedulerCounters &counters() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace oleandergauge

#endif // OLEANDERGAUGE_SCHEDULER_H
