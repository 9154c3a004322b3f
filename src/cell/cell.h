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

/// Names an effect whose outcome is reported back.
using Token = std::uint64_t;

// --------------------------------------------------------------- Effects

/// How a caller's request ended.
enum class Answer {
  Accepted,  ///< The job is stored.
  State,     ///< State_ of a job.
  Count,     ///< Waiting_ jobs of a queue.
  Cancelled, ///< The job will not run on.
  NoJob,     ///< No such job.
  NoQueue,
  UnknownKey,
  BadRequest,
  OtherTeam, ///< The job belongs to another team.
  Busy       ///< Not accepted and never run; come back later.
};

enum class JobState { Queued, Running, Complete, Failed, Cancelled };

struct Reply {
  Token Token_ = 0;
  Answer Answer_ = Answer::Busy;
  JobState State_ = JobState::Queued;
  std::uint64_t Waiting_ = 0;
  friend bool operator==(const Reply &, const Reply &) = default;
};

/// An order or a look that goes to one life of a worker.
struct WorkerAddress {
  std::string Id_;
  std::string Address_;
  std::uint64_t Fence_ = 0; ///< The worker does nothing for lower ones.
  friend bool operator==(const WorkerAddress &,
                         const WorkerAddress &) = default;
};

struct SendStart {
  Token Token_ = 0;
  WorkerAddress Worker_;
  std::string Task_;
  std::uint64_t Attempt_ = 0;
  std::shared_ptr<const JobSpec> Job_;
  Millis Deadline_ = 0; ///< On the worker's clock.
  std::string Checkpoint_;
  std::string Ticket_;
  friend bool operator==(const SendStart &, const SendStart &) = default;
};

struct SendStop {
  Token Token_ = 0;
  WorkerAddress Worker_;
  std::string Task_;
  std::uint64_t Attempt_ = 0;
  friend bool operator==(const SendStop &, const SendStop &) = default;
};

/// Lets a run work, and disturb others, at a share of its usual speed.
struct SendPace {
  Token Token_ = 0;
  WorkerAddress Worker_;
  std::string Task_;
  std::uint64_t Attempt_ = 0;
  int Percent_ = 100;
  friend bool operator==(const SendPace &, const SendPace &) = default;
};

/// Renews the lease of a worker's runs and asks what runs and what ended.
struct SendRenewal {
  WorkerAddress Worker_;
  Millis Deadline_ = 0; ///< On the worker's clock; zero leaves it as it is.
  std::uint64_t AcknowledgedEnd_ = 0; ///< Ends up to this number are stored.
  Millis Wait_ = 0; ///< How long the worker may wait for an end.
  friend bool operator==(const SendRenewal &, const SendRenewal &) = default;
};

/// Asks through an entry host which workers may run a step.
struct AskAdvice {
  Token Token_ = 0;
  std::string EntryHost_;
  std::string Step_;
  std::vector<std::string> Workers_;
  Millis Timeout_ = 0;
  friend bool operator==(const AskAdvice &, const AskAdvice &) = default;
};

/// Writes to the store in one transaction. One is in flight at a time.
struct Commit {
  std::vector<RowChange> Changes_;
  friend bool operator==(const Commit &, const Commit &) = default;
};

/// Asks the platform for all machines.
struct ListMachines {
  friend bool operator==(const ListMachines &, const ListMachines &) = default;
};

/// Takes a machine down for its upkeep; all that runs there ends at once.
struct OrderUpkeep {
  std::string Machine_;
  std::uint64_t Wave_ = 0;
  friend bool operator==(const OrderUpkeep &, const OrderUpkeep &) = default;
};

/// Tells operators how far a wave is.
struct ReportWave {
  std::uint64_t Wave_ = 0;
  bool Complete_ = false;
  friend bool operator==(const ReportWave &, const ReportWave &) = default;
};

/// A decision for the log: what, on which task or worker, and why.
struct Decision {
  std::string_view What_;
  std::string Subject_;
  std::string Reason_;
  Millis InputAge_ = 0;       ///< Of the inputs.
  std::uint64_t Attempt_ = 0; ///< Of the run; zero where it is about none.
  friend bool operator==(const Decision &, const Decision &) = default;
};

/// A time for the histograms, by team and queue.
struct DurationSample {
  std::string_view What_;
  std::string Class_; ///< "team/queue"
  Millis Duration_ = 0;
  friend bool operator==(const DurationSample &,
                         const DurationSample &) = default;
};

using Effect = std::variant<Reply, SendStart, SendStop, SendPace, SendRenewal,
                            AskAdvice, Commit, ListMachines, OrderUpkeep,
                            ReportWave, DurationSample, Decision>;

// ---------------------------------------------------------------- Events

/// How a worker answered an order.
enum class OrderResult {
  Done,
  Rejected,         ///< Certainly not run.
  Fenced,           ///< Another owner has given orders there.
  OtherIncarnation, ///< The worker of this id is gone.
  BadTicket,        ///< Certainly not run, the advice is out of date.
  NoAnswer          ///< May be carried out now or later.
};

struct OrderOutcome {
  Token Token_ = 0;
  OrderResult Result_ = OrderResult::NoAnswer;
  Millis ClockMs_ = 0; ///< The worker's; zero where it gave none.
  Millis Incarnation_ = 0;
  friend bool operator==(const OrderOutcome &, const OrderOutcome &) = default;
};

struct RenewalOutcome {
  std::string Worker_;
  std::uint64_t Fence_ = 0; ///< That the look carried.
  OrderResult Result_ = OrderResult::NoAnswer;
  WorkerList List_; ///< With Done.
  friend bool operator==(const RenewalOutcome &,
                         const RenewalOutcome &) = default;
};

struct AdviceOutcome {
  Token Token_ = 0;
  bool Answered_ = false;
  std::vector<std::pair<std::string, std::string>> Tickets_; ///< By worker.
  Millis Valid_ = 0;                                         ///< From now on.
  friend bool operator==(const AdviceOutcome &,
                         const AdviceOutcome &) = default;
};

/// How the platform answered an order for upkeep.
enum class UpkeepResult {
  Done,    ///< It has begun, now or earlier.
  Busy,    ///< The machine is not up or is leaving; not begun.
  Unknown, ///< No such machine, or it is not part of the wave.
  Refused, ///< Certainly not begun; come back later.
  NoAnswer ///< May begin now or later.
};

struct UpkeepOutcome {
  std::string Machine_;
  std::uint64_t Wave_ = 0;
  UpkeepResult Result_ = UpkeepResult::NoAnswer;
  friend bool operator==(const UpkeepOutcome &,
                         const UpkeepOutcome &) = default;
};

/// Rows of a former owner, read after this host became owner.
struct StoredCell {
  std::vector<std::pair<std::string, std::string>> Jobs_;
  std::vector<std::pair<std::string, std::string>> Progress_;
  std::vector<std::pair<std::string, std::string>> Ended_;
  std::set<std::string> Workers_;
  std::vector<std::pair<std::string, std::string>> Waves_; ///< By number.
};

/// What the owner holds, for metrics.
struct CellStats {
  std::size_t Jobs_ = 0;
  std::size_t EndedJobs_ = 0;
  std::size_t Running_ = 0;
  std::size_t WaitingSteps_ = 0;
  std::size_t Workers_ = 0;
  std::size_t ReachableWorkers_ = 0;
  double UsedShare_ = 0; ///< Of the processor capacity.
  friend bool operator==(const CellStats &, const CellStats &) = default;
};

/// Decides for the whole cell while its host is owner. A state machine
/// without clock and I/O: calls in, effects out. Outcomes of effects may come
/// late, in any order, or never.
class Cell {
public:
  Cell(std::string Self, Epoch OwnEpoch, Bounds Limits);
  ~Cell();
  Cell(const Cell &) = delete;
  Cell &operator=(const Cell &) = delete;

  /// Takes over a former owner's jobs. \p Wall is the time since 1970.
  void restore(Millis Now, Millis Wall, const StoredCell &Stored);

  void setDesiredState(Millis Now, std::shared_ptr<const DesiredState> State);
  void setWithdrawnDomains(Millis Now, std::set<std::string> Domains);
  /// The complete list of workers that the store has. \p Fresh is false while
  /// entries may be missing because the store was away.
  void setWorkers(Millis Now, const std::vector<WorkerEntry> &Entries,
                  bool Fresh);
  /// The waves that operators ask for at present.
  void setWaves(Millis Now, const std::vector<Wave> &Waves);
  /// All machines, or nothing where the platform did not list them.
  void setMachines(Millis Now,
                   const std::optional<std::vector<MachineEntry>> &Machines);
  /// A host through which advice can be asked. \p Strength: share of a core.
  void addAdviceHost(const std::string &Host, double Strength);
  void removeAdviceHost(Millis Now, const std::string &Host);

  void submit(Millis Now, Millis Wall, Token Caller, const Resolution &Request,
              const JobSpec &Spec);
  void cancel(Millis Now, Token Caller, const Resolution &Request);
  void query(Millis Now, Token Caller, const Resolution &Request);

  void handle(Millis Now, const OrderOutcome &Outcome);
  void handle(Millis Now, const RenewalOutcome &Outcome);
  void handle(Millis Now, const AdviceOutcome &Outcome);
  void handle(Millis Now, const UpkeepOutcome &Outcome);
  /// The transaction in flight is stored.
  void committed(Millis Now, Millis Wall);
  /// Whether this host may still act as owner. While another host could have
  /// taken over unseen, no lease is renewed and nothing is started: the next
  /// owner counts leases from its takeover on.
  void setAuthorized(bool Authorized);
  /// Whether the store answers at present, be it slowly. While it does not,
  /// submissions that are in no transaction are refused.
  void setStoreReachable(bool Reachable);
  void tick(Millis Now, Millis Wall);

  std::vector<Effect> takeEffects();
  CellStats stats(Millis Now) const;

private:
  class Engine;
  std::unique_ptr<Engine> Engine_;
};

} // namespace oleandergauge::cell

#endif // OLEANDERGAUGE_CELL_CELL_H
