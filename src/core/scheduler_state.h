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

/// A task that holds capacity.
struct Running {
  TaskId Id_;
  WorkerIndex Worker_ = NoWorker;
  TeamIndex Team_ = 0;
  WorkClass Class_ = WorkClass::Batch;
  bool Urgent_ = false;
  bool Victim_ = false; ///< Named by choosePreemptions.
  Resources Reserved_;
  Resources Taken_; ///< The larger of reservation and reported usage.
  TimePoint Since_;
  Duration ExpectedRun_{0};
  std::size_t Position_ = 0; ///< In the worker's list.
};

struct Worker {
  WorkerInfo Info_;
  bool Known_ = false;   ///< Listed; false for a place that is free for reuse.
  bool Open_ = false;    ///< Receives new work.
  bool Removed_ = false; ///< Forgotten as soon as it runs nothing.
  bool Probe_ = false;   ///< Closes after one placement.
  std::size_t Domain_ = 0; ///< Numbers given by the scheduler.
  std::size_t Rack_ = 0;
  Resources Used_;
  Resources Foreign_;
  std::int32_t OtherSlots_ = 0; ///< Slots in use by work that is not direct.
  FreeCapacity Free_;
  std::vector<Running *> Tasks_;
  std::size_t OpenPosition_ = 0;  ///< In the list of open workers.
  std::size_t ClassPosition_ = 0; ///< In the list of its capacity class.
  /// Urgent items for which room is being made here; others than urgent and
  /// direct work receive nothing of it meanwhile.
  std::uint32_t Pledges_ = 0;
  /// The reservation that this worker is part of.
  std::optional<std::size_t> Reservation_;
  TimePoint ReservedAt_; ///< When the holder is expected to fit.
  Resources Spare_;      ///< Left at that time beside the holder.
};

struct Team {
  TeamId Id_;
  double Weight_ = 1.0;
  std::uint32_t Headroom_ = 0;
  Resources Used_;
  double Share_ = 0.0; ///< Dominant share.
  /// Batch tasks that may be preempted, the oldest first.
  std::set<std::pair<TimePoint, TaskId>> Preemptible_;

  double weightedShare() const { return Share_ / Weight_; }
};

/// Victims on one worker, and how many more tasks of an item fit with them
/// gone.
struct Clearing {
  Resources Released_;
  std::vector<Preemption> Victims_;
  std::uint32_t Gain_ = 0;
};
using Clearings = std::map<WorkerIndex, Clearing>;

/// Room that is being made for an urgent item.
struct Pledge {
  std::vector<Preemption> Victims_;
  std::vector<WorkerIndex> Workers_;
};

/// Reservations that a band may have, each for another team.
inline constexpr std::size_t ReservationsPerBand = 4;

/// Room kept for the largest item of a team and band that did not fit.
struct Reservation {
  TaskId Holder_;
  TeamIndex Team_ = 0;
  TimePoint PlannedAt_;
  TimePoint ReadyAt_;
  std::uint64_t GrowthsSeen_ = 0; ///< Length of the log at the last plan.
  std::vector<WorkerIndex> Workers_;
};

/// Replicas of a service job by place.
struct Spread {
  std::unordered_map<std::size_t, std::uint32_t> Domains_;
  std::unordered_map<std::size_t, std::uint32_t> Racks_;
};

/// One call of decide().
struct Round {
  TimePoint Now_;
  std::size_t Max_ = 0;
  std::vector<PlacedTask> Placed_;
};

/// A team's turn in a band of a round.
struct Turn {
  double Share_ = 0.0;
  std::size_t Placed_ = 0;
  TeamIndex Team_ = 0;
  std::uint64_t Cursor_ = 0; ///< Arrival number of the group tried last.
  std::size_t Searched_ = 0; ///< Groups that were searched for and not placed.
  bool Started_ = false;     ///< Whether the turn was used at all.
  std::size_t Passed_ = 0;   ///< Groups passed over as known not to fit.
};

/// Workers with the same capacity.
struct CapacityClass {
  Resources Capacity_;
  std::vector<WorkerIndex> Workers_;
};

/// An item that did not fit in a round, with its part of all capacity.
struct Misfit {
  TaskId First_;
  double Size_ = 0.0;
};

} // namespace detail

struct Scheduler::State {
  using WorkerIndex = detail::WorkerIndex;
  using TeamIndex = detail::TeamIndex;

  explicit State(SchedulerOptions Options) : Options_(Options) {}

  using CapacityKey = std::tuple<std::int64_t, std::int64_t, std::int32_t,
                                 std::int32_t, std::int32_t>;

  /// The place of workers that are known by a running task only.
  static constexpr std::size_t UnknownPlace = 0;

  // Workers (scheduler_workers.cc).
  WorkerIndex internWorker(const WorkerId &Id);
  WorkerIndex findWorker(const WorkerId &Id) const;
  void upsert(const WorkerInfo &Info);
  void remove(WorkerIndex W);
  void setOpen(WorkerIndex W, bool Open);
  void forgetIfIdle(WorkerIndex W);
  /// Slots of a worker that only direct work may take.
  std::int32_t directReserve(const detail::Worker &W) const;
  /// Capacity of a worker for work of the kind, with nothing running.
  Resources capacityFor(const Resources &Capacity, bool Direct) const;
  /// \p Released is counted as free: the use of work that is not direct.
  detail::FreeCapacity freeOf(const detail::Worker &W,
                              const Resources &Released = {}) const;
  /// Moves a worker with its service replicas to its domain and rack.
  void setPlace(detail::Worker &W, const WorkerInfo &Info);
  void noteGrowth(WorkerIndex W);
  /// Brings the index in line with the worker's use and state.
  void refresh(WorkerIndex W);
  /// Adds a listed worker's capacity to the totals, or takes it away.
  void addCapacity(WorkerIndex W);
  void removeCapacity(WorkerIndex W);
  void refreshShares();

  // Teams and tasks (scheduler_tasks.cc).
  TeamIndex internTeam(const TeamId &Id);
  void refreshShare(TeamIndex T);
  /// False where the task runs already.
  bool start(const WorkItem &Item, const TaskId &Id, WorkerIndex W,
             const Resources &Reserved, TimePoint Since);
  void release(const TaskId &Id);
  void setTaken(detail::Running &Task, const Resources &Taken);
  void countReplica(const detail::Running &Task, bool Started);

  // Placement (scheduler_place.cc).
  bool chooseWorkers(const WorkItem &Item, TimePoint Now,
                     std::vector<WorkerIndex> &Chosen);
  WorkerIndex chooseDirect(const WorkItem &Item);
  WorkerIndex chooseSpread(const WorkItem &Item, TimePoint Now);
  WorkerIndex chooseInDomain(const WorkItem &Item, std::size_t Domain,
                             const detail::Spread *Replicas, TimePoint Now);
  bool choosePacked(const WorkItem &Item, TimePoint Now,
                    std::vector<WorkerIndex> &Chosen);
  /// What the item may take on a worker beside what is reserved there.
  Resources usableFor(const WorkItem &Item, const detail::Worker &W,
                      TimePoint Now);

  // Rounds (scheduler_round.cc).
  void runBand(std::size_t Band, detail::Round &R);
  /// Places the team's next item that fits. False where there is none or the
  /// team's part of the round's searches is used up.
  bool serveTeam(std::size_t Band, std::size_t Searches, detail::Turn &T,
                 detail::Round &R);
  bool tryGroup(detail::Group &G, std::size_t Band, detail::Round &R);
  bool tryItem(const WorkItem &Item, detail::Round &R);
  void place(const WorkItem &Item, const std::vector<WorkerIndex> &Chosen,
             detail::Round &R);
  /// Whether capacity grew since the group failed to fit, so that it might.
  bool mayFitNow(detail::Group &G, const WorkItem &Item) const;

  // Reservations (scheduler_reserve.cc).
  /// Reservations that a band may have now.
  std::size_t reservationLimit() const;
  std::optional<std::size_t> reservationOf(std::size_t Band, TeamIndex T) const;
  void noteMisfit(const detail::WaitingItem &Item, std::size_t Band);
  /// Ends the reservations of a band whose holders cannot start.
  void checkHolders(std::size_t Band);
  /// Places the holder of a team's reservation in the team's first turn of
  /// a round.
  bool tryHolder(std::size_t Band, detail::Turn &T, detail::Round &R);
  void renewReservations(std::size_t Band, TimePoint Now);
  void renewReservation(std::size_t Index, TimePoint Now);
  /// Gives a free reservation to the misfit of the team with the least share.
  void addReservation(std::size_t Index, std::size_t Band, TimePoint Now);
  /// Plans again where room for a task of a gang came up since the last plan,
  /// so that the gang collects it.
  void collectRoom(std::size_t Index, const WorkItem &Item, TimePoint Now);
  /// Chooses the workers on which the item is expected to fit first, among
  /// \p Candidates, those reserved now and, with \p Sample, some more.
  void plan(std::size_t Index, const WorkItem &Item, TimePoint Now,
            std::set<WorkerIndex> Candidates, bool Sample);
  /// Adds some workers that could hold a task of the item.
  void addCandidates(const WorkItem &Item, std::set<WorkerIndex> &Chosen);
  std::uint64_t nextRandom();
  void dropReservation(std::size_t Index);
  void dropReservationOf(const TaskId &Holder);
  double sizeOf(const WorkItem &Item) const;

  // Preemption (scheduler_preempt.cc).
  std::vector<Preemption> choosePreemptions(TimePoint Now);
  void addPledge(const TaskId &Item, std::vector<Preemption> Victims);
  void dropPledge(const TaskId &Item);
  /// Ends pledges whose victims have all ended.
  void dropFulfilledPledges();
  bool pending(const detail::Pledge &P) const;
  void preemptInLine(const detail::Line &L, TimePoint Now, std::size_t Failures,
                     std::vector<Preemption> &Chosen);
  /// False where room cannot be made for an item of the group.
  bool preemptInGroup(const detail::Group &G, TimePoint Now,
                      std::vector<Preemption> &Chosen);
  std::vector<Preemption> victimsFor(const WorkItem &Item);
  /// Tasks of the item that fit on workers without pledges.
  std::uint32_t fitsWithoutVictims(const WorkItem &Item);
  /// Counts a task among the victims and returns how many more tasks of the
  /// item fit for it.
  std::uint32_t addVictim(const WorkItem &Item, const detail::Running &Task,
                          detail::Clearings &Cleared) const;
  std::vector<TeamIndex> teamsByShare() const;

  std::string explain(const TaskId &First) const;
  std::string explainMisfit(const WorkItem &Item) const;

  SchedulerOptions Options_;
  bool DirectOnly_ = false;
  std::vector<detail::Worker> Workers_;
  std::vector<WorkerIndex> FreePlaces_;
  std::unordered_map<WorkerId, WorkerIndex> WorkerByName_;
  std::unordered_map<FailureDomain, std::size_t> DomainByName_{
      {FailureDomain(), UnknownPlace}};
  std::unordered_map<Rack, std::size_t> RackByName_{{Rack(), UnknownPlace}};
  std::vector<WorkerIndex> OpenWorkers_;
  Resources Total_; ///< Capacity of all listed workers.
  /// Listed workers by capacity, to see at once what can ever fit.
  std::map<CapacityKey, detail::CapacityClass> Capacities_;

  std::vector<detail::Team> Teams_;
  std::unordered_map<TeamId, TeamIndex> TeamByName_;
  std::unordered_map<TaskId, detail::Running> Running_;
  std::array<std::size_t, 4> RunningOfClass_{};
  std::unordered_map<JobId, detail::Spread> Spreads_;

  detail::WaitQueue Waiting_;
  detail::FreeIndex All_;      ///< One tree of the open workers.
  detail::FreeIndex ByDomain_; ///< A tree for each failure domain.
  /// Workers whose free capacity grew, in order; entry i has the number
  /// GrowthBase_ + i.
  std::vector<WorkerIndex> Growths_;
  std::uint64_t GrowthBase_ = 0;

  /// Those of band B start at B * ReservationsPerBand.
  std::array<std::optional<detail::Reservation>,
             detail::BandCount * detail::ReservationsPerBand>
      Reservations_;
  /// Whether the last attempt to place met room that is only reserved.
  bool MetReservation_ = false;
  /// Whether the band may have one more reservation.
  bool FreeReservation_ = false;
  /// Mean weighted share of the teams of the round and band.
  double FairShare_ = 0.0;
  /// The largest item of each team that did not fit, of the round and band.
  std::map<TeamIndex, detail::Misfit> Misfits_;
  std::vector<WorkerIndex> Chosen_; ///< Reused by attempts to place.
  /// Urgent items for which room is being made.
  std::unordered_map<TaskId, detail::Pledge> Pledges_;
  std::uint64_t RandomState_ = 1;
  SchedulerCounters Counters_;
};

} // namespace oleandergauge

#endif // OLEANDERGAUGE_CORE_SCHEDULER_STATE_H
