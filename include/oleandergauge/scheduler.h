#ifndef OLEANDERGAUGE_SCHEDULER_H
#define OLEANDERGAUGE_SCHEDULER_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "oleandergauge/base.h"

namespace oleandergauge {

/// A worker as the platform's live list describes it.
struct WorkerInfo {
  WorkerId Id_;
  std::string Address_; ///< "ip:port"
  Region Region_;
  FailureDomain Domain_;
  Rack Rack_;
  Resources Capacity_;
  friend bool operator==(const WorkerInfo &, const WorkerInfo &) = default;
};

/// What waits to be placed: one task, or all tasks of a gang, which are placed
/// together or not at all. Covers Count_ tasks from First_ on.
struct WorkItem {
  TaskId First_;
  std::uint32_t Count_ = 1;
  TeamId Team_;
  WorkClass Class_ = WorkClass::Batch;
  bool Urgent_ = false;
  Resources Need_;          ///< Of each task.
  Duration ExpectedRun_{0}; ///< Zero where unknown.
  TimePoint SubmittedAt_;
  friend bool operator==(const WorkItem &, const WorkItem &) = default;
};

/// A decision; the capacity is already reserved.
struct PlacedTask {
  TaskId Task_;
  WorkerId Worker_;
  Resources Reserved_;
  friend bool operator==(const PlacedTask &, const PlacedTask &) = default;
};

/// Asks the owner to make room: checkpoint the task and put it back in line.
struct Preemption {
  TaskId Task_;
  WorkerId Worker_;
  friend bool operator==(const Preemption &, const Preemption &) = default;
};

/// Waiting work and running tasks of one class.
struct ClassCounts {
  std::size_t Waiting_ = 0;
  std::size_t Running_ = 0;
  friend bool operator==(const ClassCounts &, const ClassCounts &) = default;
};

struct SchedulerOptions {
  /// Slots of each worker that only direct work may take: one in
  /// DirectReserveFraction, at least one where the worker has two or more.
  std::int32_t DirectReserveFraction_ = 8;
  /// Shapes of work of a band that may fail to fit in one round; bounds the
  /// time of one round. Divided evenly among the teams that wait in the band,
  /// at least one each, so that no team uses up the part of another.
  std::size_t MaxMisfitsPerBand_ = 64;
  /// Preemptions in one round after which no further urgent item is
  /// considered; the victims for one item are always named together.
  std::size_t MaxPreemptionsPerRound_ = 8;
};

/// Work done by a Scheduler since it was made; does not depend on the machine.
struct SchedulerCounters {
  std::uint64_t Decisions_ = 0;       ///< Attempts to place an item.
  std::uint64_t Placements_ = 0;      ///< Tasks placed.
  std::uint64_t WorkersExamined_ = 0; ///< Workers looked at by attempts.
  friend bool operator==(const SchedulerCounters &,
                         const SchedulerCounters &) = default;
};

/// Orders the waiting work of one partition and chooses workers for it. Never
/// places above a worker's capacity, never above a team's headroom, never on
/// a closed worker. Holds no clock and does no I/O.
class Scheduler {
public:
  explicit Scheduler(SchedulerOptions Options = {});
  ~Scheduler();
  Scheduler(Scheduler &&) noexcept;
  Scheduler &operator=(Scheduler &&) noexcept;

  /// Adds a worker, open for work, or changes its capacity and place.
  void upsertWorker(const WorkerInfo &Worker);
  /// Forgets a worker that runs nothing; otherwise only closes it.
  void removeWorker(const WorkerId &Worker);
  /// A closed worker receives no new work; what runs there stays counted.
  void setOpen(const WorkerId &Worker, bool Open);
  /// Opens a worker for one placement, after which it closes, as a probe of a
  /// quarantined worker needs.
  void openForProbe(const WorkerId &Worker);

  /// \p Headroom is how many more tasks the team may start now.
  void setTeam(const TeamId &Team, double Weight, std::uint32_t Headroom);

  /// Refuses, NotRun, what no worker or no partition can ever hold:
  /// FitsNoWorker, GangExceedsPartition.
  Result<void> checkFeasible(const WorkItem &Item) const;
  /// Has no effect where the first task waits or one of the tasks runs; a
  /// task that is put back in line must have been released.
  void enqueue(const WorkItem &Item);
  /// Removes waiting work. False where the item does not wait.
  bool dequeue(const TaskId &First);

  /// Chooses workers for up to \p MaxPlacements tasks, in the order of bands,
  /// shares and arrival, and reserves their capacity and headroom. A gang is
  /// placed whole, so the last one may go beyond \p MaxPlacements.
  std::vector<PlacedTask> decide(TimePoint Now, std::size_t MaxPlacements);
  /// While set, decide() places direct work only.
  void setDirectOnly(bool DirectOnly);
  /// Victims whose end would let waiting urgent work start. A task is named
  /// once until it is released.
  std::vector<Preemption> choosePreemptions(TimePoint Now);

  /// Counts a task that runs already, as after recovery, whatever is free.
  void adopt(const WorkItem &Item, const PlacedTask &Placed, TimePoint Since);
  /// Gives back a placed task's capacity; the headroom comes with the next
  /// setTeam.
  void release(const TaskId &Task);
  /// Reported usage above the reservation takes the worker's free capacity.
  void noteUsage(const TaskId &Task, const Resources &Usage);
  /// Capacity taken on a worker by tasks that are not of this partition's
  /// journal.
  void setForeignUsage(const WorkerId &Worker, const Resources &Usage);

  Resources freeOf(const WorkerId &Worker) const;
  /// Largest part of the partition's capacity that the team has, over the
  /// components.
  double dominantShareOf(const TeamId &Team) const;
  ClassCounts countsOf(WorkClass Class) const;
  /// Why an item waits, in a sentence for the submitter.
  std::string explain(const TaskId &First) const;
  const SchedulerCounters &counters() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace oleandergauge

#endif // OLEANDERGAUGE_SCHEDULER_H
