#ifndef OLEANDERGAUGE_CELL_CELL_H
#define OLEANDERGAUGE_CELL_CELL_H

#include <functional>
#include <memory>
#include <string_view>
#include <variant>

#include "cell/directory.h"
#include "cell/records.h"
#include "cell/types.h"

namespace oleandergauge::cell {

/// Time for which a caller waits unless its request says otherwise.
constexpr Millis DefaultCallerTimeout = 3000;

/// Identifies an effect in the event that reports its outcome.
using Token = std::uint64_t;

// --------------------------------------------------------------- Effects

/// The outcome of a caller's request.
enum class Answer {
  Accepted,  ///< The job is stored.
  State,     ///< DesiredState_ holds the state of a job.
  Count,     ///< Waiting_ holds the number of waiting jobs of a queue.
  Cancelled, ///< The job is cancelled and runs no further.
  NoJob,     ///< The job does not exist.
  NoQueue,
  UnknownKey,
  BadRequest,
  OtherTeam,   ///< The job belongs to another team.
  TooLarge,    ///< The job does not fit into a row of the store and never runs.
  NotStorable, ///< The store does not take the job, which never runs.
  TooManyTasks, ///< The owner has no memory for the job, which never runs.
  Busy ///< The job was not accepted and never ran; the caller may retry later.
};

/// Whether the cell refuses a job that it has looked up and does not know.
constexpr bool isRefusal(Answer Given) {
  return Given == Answer::TooLarge || Given == Answer::NotStorable ||
         Given == Answer::TooManyTasks || Given == Answer::Busy;
}

/// The state of a job as callers see it.
enum class JobState { Queued, Running, Complete, Failed, Cancelled };

/// Answers a caller's request.
struct Reply {
  Token Token_ = 0;
  Answer Answer_ = Answer::Busy;
  JobState State_ = JobState::Queued;
  std::uint64_t Waiting_ = 0;
  /// With Busy, the time after which the request is likely to succeed; zero if
  /// it is not known.
  Millis RetryAfter_ = 0;
  friend bool operator==(const Reply &, const Reply &) = default;
};

/// Addresses orders and lease renewals to one incarnation of a worker.
struct WorkerAddress {
  std::string Id_;
  std::string Address_;
  /// The worker rejects requests with a lower fence than the highest it has
  /// seen.
  std::uint64_t Fence_ = 0;
  friend bool operator==(const WorkerAddress &,
                         const WorkerAddress &) = default;
};

/// Orders a worker to start a run.
struct SendStart {
  Token Token_ = 0;
  WorkerAddress Worker_;
  std::string Task_;
  std::uint64_t Attempt_ = 0;
  std::shared_ptr<const JobSpec> Job_;
  Millis Deadline_ = 0; ///< In milliseconds on the worker's clock.
  std::string Checkpoint_;
  std::string Ticket_;
  friend bool operator==(const SendStart &, const SendStart &) = default;
};

/// Orders a worker to stop a run.
struct SendStop {
  Token Token_ = 0;
  WorkerAddress Worker_;
  std::string Task_;
  std::uint64_t Attempt_ = 0;
  friend bool operator==(const SendStop &, const SendStop &) = default;
};

/// Limits a run to a percentage of its usual speed.
struct SendPace {
  Token Token_ = 0;
  WorkerAddress Worker_;
  std::string Task_;
  std::uint64_t Attempt_ = 0;
  int Percent_ = 100;
  friend bool operator==(const SendPace &, const SendPace &) = default;
};

/// Renews the lease of a worker's runs and requests the list of running and
/// ended runs.
struct SendRenewal {
  Token Token_ = 0;
  WorkerAddress Worker_;
  /// In milliseconds on the worker's clock; zero does not extend the lease.
  Millis Deadline_ = 0;
  /// Ends up to this number are stored, so that the worker may forget them.
  std::uint64_t AcknowledgedEnd_ = 0;
  /// How long the worker may hold the request until a run ends.
  Millis Wait_ = 0;
  friend bool operator==(const SendRenewal &, const SendRenewal &) = default;
};

/// Asks, through an entry host, which workers may run a step.
struct AskAdvice {
  Token Token_ = 0;
  std::string EntryHost_;
  std::string Step_;
  std::vector<std::string> Workers_;
  Millis Timeout_ = 0;
  friend bool operator==(const AskAdvice &, const AskAdvice &) = default;
};

/// Writes changes to the store in one transaction. At most one transaction is
/// in flight.
struct Commit {
  std::vector<RowChange> Changes_;
  friend bool operator==(const Commit &, const Commit &) = default;
};

/// Requests the list of machines from the platform.
struct ListMachines {
  friend bool operator==(const ListMachines &, const ListMachines &) = default;
};

/// Takes a machine down for upkeep. All runs on it end immediately.
struct OrderUpkeep {
  std::string Machine_;
  std::uint64_t Wave_ = 0;
  friend bool operator==(const OrderUpkeep &, const OrderUpkeep &) = default;
};

/// Reports the progress of an upkeep wave to the operators.
struct ReportWave {
  std::uint64_t Wave_ = 0;
  bool Complete_ = false;
  friend bool operator==(const ReportWave &, const ReportWave &) = default;
};

/// A log record of a scheduling decision: the event, the task or worker
/// concerned, and the reason.
struct Decision {
  std::string_view Event_;
  std::string Subject_;
  std::string Reason_;
  /// Age of the information that the decision is based on.
  Millis InputAge_ = 0;
  /// Run number; zero if the decision concerns no run.
  std::uint64_t Attempt_ = 0;
  friend bool operator==(const Decision &, const Decision &) = default;
};

/// A duration in milliseconds for the histograms, which are kept by class.
struct DurationSample {
  std::string_view Metric_;
  std::string Class_; ///< "team/queue", or the reason why a run was stopped.
  Millis Duration_ = 0;
  friend bool operator==(const DurationSample &,
                         const DurationSample &) = default;
};

using Effect = std::variant<Reply, SendStart, SendStop, SendPace, SendRenewal,
                            AskAdvice, Commit, ListMachines, OrderUpkeep,
                            ReportWave, DurationSample, Decision>;

// ---------------------------------------------------------------- Events

/// The outcome of an order or a lease renewal at a worker.
enum class OrderResult {
  Done,
  Rejected,         ///< The order was certainly not carried out.
  Fenced,           ///< The worker has accepted a higher fence.
  OtherIncarnation, ///< The addressed incarnation of the worker has ended.
  /// The ticket has expired; the order was certainly not carried out.
  BadTicket,
  NotSent, ///< The order was withdrawn before it was sent.
  NoAnswer ///< The order may be carried out now or later.
};

/// Reports the outcome of a start, stop or pace order.
struct OrderOutcome {
  Token Token_ = 0;
  OrderResult Result_ = OrderResult::NoAnswer;
  /// The worker's clock; zero if the answer did not contain it.
  Millis ClockMs_ = 0;
  friend bool operator==(const OrderOutcome &, const OrderOutcome &) = default;
};

/// Reports the outcome of a lease renewal.
struct RenewalOutcome {
  Token Token_ = 0;
  WorkerAddress Worker_; ///< As the renewal was addressed.
  OrderResult Result_ = OrderResult::NoAnswer;
  WorkerList List_; ///< Valid if Result_ is Done.
  friend bool operator==(const RenewalOutcome &,
                         const RenewalOutcome &) = default;
};

/// Reports the outcome of a call for advice.
struct AdviceOutcome {
  Token Token_ = 0;
  bool Answered_ = false;
  /// Tickets by worker id.
  std::vector<std::pair<std::string, std::string>> Tickets_;
  Millis Valid_ = 0; ///< Remaining validity of the tickets.
  friend bool operator==(const AdviceOutcome &,
                         const AdviceOutcome &) = default;
};

/// The outcome of an upkeep order at the platform.
enum class UpkeepResult {
  Done, ///< Upkeep has begun, with this order or an earlier one.
  /// Upkeep has not begun because the machine is not up or is being moved.
  Busy,
  Unknown, ///< The machine does not exist or is not part of the wave.
  Refused, ///< Upkeep has certainly not begun; the order may be retried.
  NoAnswer ///< Upkeep may begin now or later.
};

/// Reports the outcome of an upkeep order.
struct UpkeepOutcome {
  std::string Machine_;
  std::uint64_t Wave_ = 0;
  UpkeepResult Result_ = UpkeepResult::NoAnswer;
  friend bool operator==(const UpkeepOutcome &,
                         const UpkeepOutcome &) = default;
};

/// Rows that a former owner stored, read after this host became the owner.
struct StoredCell {
  std::vector<std::pair<std::string, std::string>> Jobs_;
  std::vector<std::pair<std::string, std::string>> Progress_;
  std::vector<std::pair<std::string, std::string>> Ended_;
  std::set<std::string> Workers_;
  std::size_t WorkerRows_ = 0; ///< Rows that contained Workers_.
  /// Progress by wave number.
  std::vector<std::pair<std::string, std::string>> Waves_;
};

/// Counts of the owner's state, for metrics.
struct CellStats {
  std::size_t Jobs_ = 0;
  std::size_t EndedJobs_ = 0;
  std::size_t Running_ = 0;
  std::size_t WaitingSteps_ = 0;
  /// Steps and tasks that are kept in memory, of the occurrences that are open.
  std::size_t OpenSteps_ = 0;
  std::size_t OpenTasks_ = 0;
  /// Jobs with occurrences that are due but not open.
  std::size_t OverdueJobs_ = 0;
  /// Bytes that the accepted jobs may take, and are estimated to take.
  std::uint64_t WorkMemoryLimit_ = 0;
  std::uint64_t WorkMemoryHeld_ = 0;
  std::size_t Workers_ = 0;
  std::size_t ReachableWorkers_ = 0;
  double UsedShare_ = 0;       ///< Share of the processor capacity in use.
  std::size_t OpenOrders_ = 0; ///< Orders without an outcome so far.
  /// Starts that were sent again, or stopped, for want of an answer.
  std::uint64_t RepeatedStarts_ = 0;
  /// Age of the oldest end of a job that is not stored yet; zero if there is
  /// none.
  Millis OldestUnstoredEnd_ = 0;
  /// Steps examined for placement, and workers examined for due work, since
  /// the takeover.
  std::uint64_t StepsExamined_ = 0;
  std::uint64_t WorkersExamined_ = 0;
  /// Workers compared for the steps examined, since the takeover.
  std::uint64_t WorkersCompared_ = 0;
  /// Waits for a preferred place since the takeover: those that ended there,
  /// those that were given up, the time of both, and the time that the starts
  /// elsewhere are expected to lose.
  std::uint64_t PlaceWaitsMet_ = 0;
  std::uint64_t PlaceWaitsGivenUp_ = 0;
  std::uint64_t PlaceWaitMs_ = 0;
  std::uint64_t PlaceLossMs_ = 0;
  /// Submissions refused since the takeover: those that would not have ended
  /// while they are of value, and those over the share of their team.
  std::uint64_t RefusedHopeless_ = 0;
  std::uint64_t RefusedOverShare_ = 0;
  /// Submissions refused for want of memory since the takeover.
  std::uint64_t RefusedForMemory_ = 0;
  friend bool operator==(const CellStats &, const CellStats &) = default;
};

/// The scheduler of the whole cell, active while its host is the owner. It is a
/// state machine without a clock or I/O: calls pass in events, and
/// takeEffects() returns what to send. The outcome of an effect may arrive
/// late, out of order or never.
class Cell {
public:
  Cell(std::string Self, Epoch OwnEpoch, Bounds Limits);
  ~Cell();
  Cell(const Cell &) = delete;
  Cell &operator=(const Cell &) = delete;

  /// Restores the state that a former owner stored. \p Wall is the time in
  /// milliseconds since 1970.
  void restore(Millis Now, Millis Wall, const StoredCell &Stored);

  void setDesiredState(Millis Now, std::shared_ptr<const DesiredState> State);
  void setWithdrawnDomains(Millis Now, std::set<std::string> Domains);
  /// Sets the workers that are listed in the store. \p Fresh is false while the
  /// list may be incomplete because the store was unavailable; no worker counts
  /// as removed then.
  void setWorkers(Millis Now, const std::vector<WorkerEntry> &Entries,
                  bool Fresh);
  /// Sets the waves that operators currently request.
  void setWaves(Millis Now, const std::vector<Wave> &Waves);
  /// Sets all machines; empty if the platform did not return a list.
  void setMachines(Millis Now,
                   const std::optional<std::vector<MachineEntry>> &Machines);
  /// Adds an entry host through which advice can be requested. \p Strength is
  /// its processor capacity as a share of a core.
  void addAdviceHost(const std::string &Host, double Strength);
  void removeAdviceHost(Millis Now, const std::string &Host);

  /// Accepts a job. The reply follows once the job is stored. A job that cannot
  /// be stored well within \p Timeout, for which the caller waits, is refused
  /// and never runs.
  void submit(Millis Now, Millis Wall, Token Caller, const Resolution &Request,
              const JobSpec &Spec, Millis Timeout = DefaultCallerTimeout);
  /// Handles a submission without its specification. Returns false, and does
  /// nothing, if the job is not known and not certain to be refused; submit()
  /// handles it then.
  bool resubmit(Millis Now, Token Caller, const Resolution &Request,
                Millis Timeout);
  /// Cancels a job. The reply follows once the cancellation is stored.
  void cancel(Millis Now, Token Caller, const Resolution &Request);
  /// Returns whether a job is accepted, waits to be stored, or has ended.
  bool knowsJob(const std::string &Id) const;
  /// Queries the state of a job, or the waiting jobs of a queue.
  void query(Millis Now, Token Caller, const Resolution &Request);

  void handle(Millis Now, const OrderOutcome &Outcome);
  /// Returns whether an order that has waited to be sent is still wanted: the
  /// worker has not restarted since, and a run to be started is not being
  /// stopped. The outcome of one that is not sent is OrderResult::NotSent.
  bool maySend(Token Order) const;
  void handle(Millis Now, const RenewalOutcome &Outcome);
  /// Returns whether the outcome of the renewal still counts. A worker may
  /// reject one that was sent before it restarted, in favour of a later one.
  bool awaitsRenewal(const SendRenewal &Renewal) const;
  void handle(Millis Now, const AdviceOutcome &Outcome);
  void handle(Millis Now, const UpkeepOutcome &Outcome);
  /// Reports that the transaction in flight is stored.
  void committed(Millis Now, Millis Wall);
  /// Reports that the store will not take the transaction in flight, none of
  /// which is stored. The cell finds the change at fault by smaller
  /// transactions: a job that cannot be stored is refused, or ended as failed
  /// if it was accepted, and the other changes are stored.
  void commitRejected(Millis Now);
  /// Sets whether this host may still act as the owner. While another host may
  /// have taken over unnoticed, no lease is renewed and nothing is started,
  /// because the next owner expects all leases to end within a fixed time after
  /// its takeover.
  void setAuthorized(bool Authorized);
  /// Sets whether the store answers at present, however slowly. While it does
  /// not, submissions that no transaction contains are refused.
  void setStoreReachable(bool Reachable);
  /// Sets whether submissions are refused that are not expected to end while
  /// they are of value, and those over a team's share while on-time work waits
  /// for capacity. They are unless this is called.
  void setAdmission(bool Enabled);
  /// Advances the time. Timeouts and retries depend on frequent calls.
  void tick(Millis Now, Millis Wall);

  /// Returns the effects since the last call.
  std::vector<Effect> takeEffects();
  CellStats stats(Millis Now) const;
  /// Counts the sums over runs, of workers, teams and steps, anew and returns
  /// how many differ from those that are kept; zero unless there is a fault.
  /// The cost grows with the number of runs.
  std::size_t countWrongSums() const;

private:
  class Engine;
  std::unique_ptr<Engine> Engine_;
};

} // namespace oleandergauge::cell

#endif // OLEANDERGAUGE_CELL_CELL_H
