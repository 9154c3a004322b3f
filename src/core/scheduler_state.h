#ifndef OLEANDERGAUGE_CORE_SCHEDULER_STATE_H
#define OLEANDERGAUGE_CORE_SCHEDULER_STATE_H

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "free_index.h"
#include "oleandergauge/scheduler.h"
#include "wait_queue.h"

namespace oleandergauge {

namespace detail {

/// A placed task, which uses capacity of its worker.
struct RunningTask {
  TaskId Id_;
  WorkerIndex Worker_ = NoWorker;
  TeamIndex Team_ = 0;
  WorkClass Class_ = WorkClass::Batch;
  bool Urgent_ = false;
  bool Victim_ = false; ///< Chosen for preemption.
  Resources Reserved_;
  Resources Charged_; ///< Maximum of reservation and reported usage.
  TimePoint StartedAt_;
  Duration ExpectedRun_{0};
  std::size_t PositionOnWorker_ = 0; ///< In Worker::TaskCounts_.
};

struct Worker {
  WorkerInfo Info_;
  bool Listed_ = false; ///< Added by upsertWorker; false if only tasks name it.
  bool Open_ = false;   ///< May receive new work.
  bool Removed_ = false;   ///< Is erased when its last task is released.
  bool Probe_ = false;     ///< Is closed after one placement.
  std::size_t Domain_ = 0; ///< Assigned by DomainNumbers_.
  std::size_t Rack_ = 0;   ///< Assigned by RackNumbers_.
  Resources Used_;         ///< Sum of Charged_ of the tasks on the worker.
  Resources ForeignUsage_; ///< Used by tasks outside the partition's journal.
  std::int32_t NonDirectSlots_ = 0; ///< Slots used by work that is not direct.
  FreeCapacity Free_;
  std::vector<RunningTask *> Tasks_;
  std::size_t OpenPosition_ = 0;  ///< In State::OpenWorkers_.
  std::size_t ClassPosition_ = 0; ///< In CapacityClass::Workers_.
  /// Number of urgent items for which tasks on this worker are being preempted.
  /// Meanwhile, only urgent and direct work is placed on the worker.
  std::uint32_t PendingPreemptionCount_ = 0;
  /// Index of the reservation that includes this worker.
  std::optional<std::size_t> Reservation_;
  TimePoint ReservationReadyAt_; ///< When the holder is expected to fit.
  Resources SpareResources_;     ///< Free beside the holder at that time.
};

struct Team {
  TeamId Id_;
  double Weight_ = 1.0;
  std::uint32_t Headroom_ = 0;
  Resources Used_;
  double Share_ = 0.0; ///< Dominant share: largest used fraction of a resource.
  /// Batch tasks that are not urgent and may be preempted, the oldest first.
  std::set<std::pair<TimePoint, TaskId>> Preemptible_;

  double weightedShare() const { return Share_ / Weight_; }
};

/// Candidate victims on one worker, and the number of additional tasks of an
/// urgent item that fit on it without them.
struct WorkerVictims {
  Resources Released_;
  std::vector<Preemption> Victims_;
  std::uint32_t AddedFits_ = 0;
};
using VictimsByWorker = std::map<WorkerIndex, WorkerVictims>;

/// The victims that are being preempted for one urgent item, and their workers.
struct PendingPreemption {
  std::vector<Preemption> Victims_;
  std::vector<WorkerIndex> Workers_;
};

/// Maximum number of reservations of a band. Each is for a different team.
inline constexpr std::size_t MaxReservationsPerBand = 4;

/// Workers that are reserved for the largest item of a team and band that did
/// not fit. That item is the holder of the reservation.
struct Reservation {
  TaskId Holder_;
  TeamIndex Team_ = 0;
  TimePoint PlannedAt_;
  TimePoint ReadyAt_; ///< When the holder is expected to fit.
  /// Number of the first capacity increase after the last plan.
  std::uint64_t IncreasesSeen_ = 0;
  std::vector<WorkerIndex> Workers_;
};

/// Numbers of running replicas of a service job by failure domain and rack.
struct ReplicaCounts {
  std::unordered_map<std::size_t, std::uint32_t> Domains_;
  std::unordered_map<std::size_t, std::uint32_t> Racks_;
};

/// The limit and the results of one call of decide().
struct SchedulingRound {
  TimePoint Now_;
  std::size_t MaxPlacements_ = 0;
  std::vector<PlacedTask> Placed_;
};

/// A team's progress in one band of a round.
struct TeamTurn {
  double Share_ = 0.0;
  std::size_t Placed_ = 0;
  TeamIndex Team_ = 0;
  std::uint64_t Cursor_ = 0;       ///< Arrival number of the group tried last.
  std::size_t FailedSearches_ = 0; ///< Searches that found no worker.
  bool HolderTried_ = false; ///< Whether the reservation's holder was tried.
  std::size_t SkippedGroups_ = 0; ///< Groups skipped as known not to fit.
};

/// Workers with the same capacity.
struct CapacityClass {
  Resources Capacity_;
  std::vector<WorkerIndex> Workers_;
};

/// An item that did not fit in a round, and the largest fraction of the
/// partition's resources that it needs.
struct UnplacedItem {
  TaskId First_;
  double CapacityShare_ = 0.0;
};

} // namespace detail

struct Scheduler::State {
  using WorkerIndex = detail::WorkerIndex;
  using TeamIndex = detail::TeamIndex;

  explicit State(SchedulerOptions Options) : Options_(Options) {}

  using CapacityKey = std::tuple<std::int64_t, std::int64_t, std::int32_t,
                                 std::int32_t, std::int32_t>;

  /// Domain and rack number of workers that are known only by a running task.
  static constexpr std::size_t UnknownLocation = 0;

  // Workers (scheduler_workers.cc).
  /// Returns the index of a worker, which is added if it is new.
  WorkerIndex internWorker(const WorkerId &Id);
  /// Returns the index of a worker, or NoWorker if it is unknown.
  WorkerIndex findWorker(const WorkerId &Id) const;
  void upsertWorker(const WorkerInfo &Info);
  void removeWorker(WorkerIndex W);
  void setOpen(WorkerIndex W, bool Open);
  /// Erases a worker that runs no task and is not listed.
  void eraseWorkerIfIdle(WorkerIndex W);
  /// Returns the number of the worker's slots that only direct work may use.
  std::int32_t directReservedSlots(const detail::Worker &W) const;
  /// Returns the amounts that direct or other work may use on an idle worker of
  /// the given capacity.
  Resources capacityFor(const Resources &Capacity, bool Direct) const;
  /// Returns the free capacity of a worker. \p Released is the usage of tasks
  /// that are not direct and that count as ended.
  detail::FreeCapacity freeOf(const detail::Worker &W,
                              const Resources &Released = {}) const;
  /// Sets the worker's domain and rack and moves the counts of its service
  /// replicas there.
  void setLocation(detail::Worker &W, const WorkerInfo &Info);
  /// Appends the worker to the log of capacity increases.
  void recordCapacityIncrease(WorkerIndex W);
  /// Recomputes the worker's free capacity and updates the indexes of open
  /// workers.
  void updateFreeCapacity(WorkerIndex W);
  /// Adds a listed worker's capacity to the totals.
  void addCapacity(WorkerIndex W);
  /// Subtracts a listed worker's capacity from the totals.
  void removeCapacity(WorkerIndex W);
  void updateShares();

  // Teams and tasks (scheduler_tasks.cc).
  /// Returns the index of a team, which is added if it is new.
  TeamIndex internTeam(const TeamId &Id);
  void updateShare(TeamIndex T);
  /// Returns false if the task is running already.
  bool startTask(const WorkItem &Item, const TaskId &Id, WorkerIndex W,
                 const Resources &Reserved, TimePoint StartedAt);
  void releaseTask(const TaskId &Id);
  /// Sets the resources that a task uses of its worker and team.
  void setCharged(detail::RunningTask &Task, const Resources &Charged);
  /// Counts the start or the end of a service replica.
  void updateReplicaCounts(const detail::RunningTask &Task, bool Started);

  // Placement (scheduler_place.cc).
  /// Appends a worker for each task of the item to \p Chosen. Returns false if
  /// the item does not fit.
  bool chooseWorkers(const WorkItem &Item, TimePoint Now,
                     std::vector<WorkerIndex> &Chosen);
  WorkerIndex chooseDirectWorker(const WorkItem &Item);
  /// Chooses a worker for a service replica in the failure domain with the
  /// fewest replicas of the job in which one fits.
  WorkerIndex chooseSpreadWorker(const WorkItem &Item, TimePoint Now);
  WorkerIndex chooseWorkerInDomain(const WorkItem &Item, std::size_t Domain,
                                   const detail::ReplicaCounts *Replicas,
                                   TimePoint Now);
  /// Chooses the workers with the least free capacity on which the item fits.
  bool choosePackedWorkers(const WorkItem &Item, TimePoint Now,
                           std::vector<WorkerIndex> &Chosen);
  /// Returns the free amounts that the item may use on a worker, without those
  /// reserved for other items.
  Resources usableFor(const WorkItem &Item, const detail::Worker &W,
                      TimePoint Now);

  // Rounds (scheduler_round.cc).
  void placeBand(std::size_t Band, detail::SchedulingRound &R);
  /// Places the team's next item that fits. Returns false if there is none or
  /// the team has used up its \p Searches of the round.
  bool placeNextItem(std::size_t Band, std::size_t Searches,
                     detail::TeamTurn &T, detail::SchedulingRound &R);
  bool tryPlaceGroup(detail::ShapeGroup &G, std::size_t Band,
                     detail::SchedulingRound &R);
  bool tryPlaceItem(const WorkItem &Item, detail::SchedulingRound &R);
  void placeItem(const WorkItem &Item, const std::vector<WorkerIndex> &Chosen,
                 detail::SchedulingRound &R);
  /// Returns whether capacity has grown since the group failed to fit, so that
  /// a search for workers may succeed.
  bool mayFitNow(detail::ShapeGroup &G, const WorkItem &Item) const;

  // Reservations (scheduler_reserve.cc).
  /// Returns the number of reservations that a band may have now.
  std::size_t reservationLimit() const;
  std::optional<std::size_t> reservationOf(std::size_t Band, TeamIndex T) const;
  /// Records an item that did not fit as a candidate for a reservation.
  void recordUnplaced(const detail::WaitingItem &Item, std::size_t Band);
  /// Drops the reservations of a band whose holders no longer wait or lack
  /// headroom, and sets ReservationAvailable_.
  void dropBlockedReservations(std::size_t Band);
  /// Tries to place the holder of a team's reservation. Only the first call in
  /// a round and band does so.
  bool tryPlaceHolder(std::size_t Band, detail::TeamTurn &T,
                      detail::SchedulingRound &R);
  void replanReservations(std::size_t Band, TimePoint Now);
  void replanReservation(std::size_t Index, TimePoint Now);
  /// Assigns a free reservation to the unplaced item of the team with the
  /// lowest weighted share.
  void addReservation(std::size_t Index, std::size_t Band, TimePoint Now);
  /// Plans a gang's reservation again if workers have gained room for one of
  /// its tasks since the last plan, so that the reservation can include them.
  void collectFreedWorkers(std::size_t Index, const WorkItem &Item,
                           TimePoint Now);
  /// Reserves the workers on which the item is expected to fit first, chosen
  /// among \p Candidates, the workers reserved so far and, if \p Sample is set,
  /// a random sample of workers. Drops the reservation if the item would not
  /// fit on these workers.
  void planReservation(std::size_t Index, const WorkItem &Item, TimePoint Now,
                       std::set<WorkerIndex> Candidates, bool Sample);
  /// Adds a random sample of workers that are large enough for a task of the
  /// item.
  void addCandidateWorkers(const WorkItem &Item, std::set<WorkerIndex> &Chosen);
  std::uint64_t nextRandom();
  void dropReservation(std::size_t Index);
  void dropReservationOf(const TaskId &Holder);
  /// Returns the largest fraction of the partition's resources that the item
  /// needs.
  double capacityShareOf(const WorkItem &Item) const;

  // Preemption (scheduler_preempt.cc).
  std::vector<Preemption> choosePreemptions(TimePoint Now);
  void addPendingPreemption(const TaskId &Item,
                            std::vector<Preemption> Victims);
  void dropPendingPreemption(const TaskId &Item);
  /// Drops the pending preemptions whose victims have all ended.
  void dropFinishedPreemptions();
  bool hasRunningVictim(const detail::PendingPreemption &P) const;
  void preemptForTeam(const detail::TeamQueue &Queue, TimePoint Now,
                      std::size_t MaxFailures, std::vector<Preemption> &Chosen);
  /// Returns false if no victims can be found for an item of the group.
  bool preemptForGroup(const detail::ShapeGroup &G, TimePoint Now,
                       std::vector<Preemption> &Chosen);
  /// Returns the tasks whose end lets the item start, or none if preemption
  /// does not free enough capacity.
  std::vector<Preemption> chooseVictims(const WorkItem &Item);
  /// Returns the number of the item's tasks that fit on workers without pending
  /// preemptions.
  std::uint32_t countFitsWithoutVictims(const WorkItem &Item);
  /// Adds a task to the candidate victims of its worker and returns how many
  /// more tasks of the item fit without it.
  std::uint32_t addVictim(const WorkItem &Item, const detail::RunningTask &Task,
                          detail::VictimsByWorker &VictimCandidates) const;
  /// Returns the teams with preemptible tasks, the highest weighted share
  /// first.
  std::vector<TeamIndex> teamsByShare() const;

  std::string explainWaiting(const TaskId &First) const;
  std::string explainMissingCapacity(const WorkItem &Item) const;

  SchedulerOptions Options_;
  bool DirectOnly_ = false;
  std::vector<detail::Worker> Workers_;
  std::vector<WorkerIndex> FreeWorkerIndices_; ///< Unused entries of Workers_.
  std::unordered_map<WorkerId, WorkerIndex> WorkerIndices_;
  std::unordered_map<FailureDomain, std::size_t> DomainNumbers_{
      {FailureDomain(), UnknownLocation}};
  std::unordered_map<Rack, std::size_t> RackNumbers_{{Rack(), UnknownLocation}};
  std::vector<WorkerIndex> OpenWorkers_;
  Resources TotalCapacity_; ///< Capacity of all listed workers.
  /// Listed workers by capacity, so that checks whether an item can ever fit
  /// need not visit every worker.
  std::map<CapacityKey, detail::CapacityClass> CapacityClasses_;

  std::vector<detail::Team> Teams_;
  std::unordered_map<TeamId, TeamIndex> TeamIndices_;
  std::unordered_map<TaskId, detail::RunningTask> Running_;
  std::array<std::size_t, 4> RunningOfClass_{};
  std::unordered_map<JobId, detail::ReplicaCounts> ReplicaCounts_;

  detail::WaitQueue Waiting_;
  detail::FreeIndex FreeIndex_;         ///< A single tree of all open workers.
  detail::FreeIndex FreeIndexByDomain_; ///< One tree per failure domain.
  /// Log of the workers whose free capacity has grown, in order. Entry i has
  /// the number FirstIncreaseNumber_ + i.
  std::vector<WorkerIndex> CapacityIncreases_;
  std::uint64_t FirstIncreaseNumber_ = 0;

  /// The reservations of band B start at index B * MaxReservationsPerBand.
  std::array<std::optional<detail::Reservation>,
             detail::BandCount * detail::MaxReservationsPerBand>
      Reservations_;
  /// Whether the last search skipped free capacity because it is reserved for
  /// other work.
  bool BlockedByReservation_ = false;
  /// Whether the band of the current round may have another reservation.
  bool ReservationAvailable_ = false;
  /// Mean weighted share of the teams in the current round and band.
  double MeanShare_ = 0.0;
  /// The largest item of each team that did not fit in the current round and
  /// band.
  std::map<TeamIndex, detail::UnplacedItem> LargestUnplaced_;
  std::vector<WorkerIndex> ChosenWorkers_; ///< Buffer reused by searches.
  /// Pending preemptions by the first task of the urgent item.
  std::unordered_map<TaskId, detail::PendingPreemption> PendingPreemptions_;
  std::uint64_t RandomState_ = 1;
  SchedulerCounters Counters_;
};

} // namespace oleandergauge

#endif // OLEANDERGAUGE_CORE_SCHEDULER_STATE_H
