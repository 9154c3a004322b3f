#include "node/owner.h"

#include <algorithm>

#include "caller_calls.h"
#include "cell.pb.h"
#include "cell/request_copies.h"
#include "worker_calls.h"

namespace oleandergauge::node {
namespace {

constexpr std::size_t OrderConnectionsPerWorker = 2;
/// The second one is used only while a renewal to a former incarnation of the
/// worker still waits for its timeout.
constexpr std::size_t RenewalConnectionsPerWorker = 2;
constexpr Millis OrderTimeout = 150;
/// Added to the time that a renewal waits at the worker.
constexpr Millis RenewalTimeoutSlack = 500;
constexpr Millis WorkerReadInterval = 700;
/// Time after sending a committed transaction for which no other host can have
/// taken over.
constexpr Millis OwnershipProofDuration = 800;
constexpr Millis RowReadRetryDelay = 60;
constexpr Millis CommitRetryDelay = 25;
/// Time after a failed store call by which worker entries that expired during
/// the outage have been written again. Until then missing entries are not taken
/// as workers that have gone.
constexpr Millis WorkerEntryRecoveryTime = 2600;
constexpr std::size_t MachineServiceConnections = 2;
constexpr std::size_t MachineListConnections = 1;
/// Renewals rejected for a higher fence after which this owner steps down: the
/// workers obey a later owner.
constexpr int MaxFencedRenewals = 3;
/// Time between two ticks at or above which the process is logged as slow.
constexpr Millis SlowTickGap = 200;
constexpr Millis SlowTickLogInterval = 500;
/// Interval at which the busy times and the cell's figures enter the metrics.
constexpr Millis BusyTimesInterval = 1000;
/// Time between two ticks above which the process has stalled and its list of
/// followers is out of date. Followers look for another owner after this time.
constexpr Millis StallLimit = 500;
/// Age from which the copy of a request is logged as read late.
constexpr Millis LateCopyAge = 500;

cell::CopyStamp stampOf(const cell::pb::Forward &Request) {
  return {Request.request(), Request.copy(), Request.epoch(),
          Request.owner_clock_ms(),
          Request.timeout_ms() > 0 ? Request.timeout_ms()
                                   : cell::DefaultCallerTimeout};
}

const char *nameOf(cell::Access Refused) {
  switch (Refused) {
  case cell::Access::Allowed:
    return "allowed";
  case cell::Access::NoState:
    return "no desired state";
  case cell::Access::NoQueue:
    return "no queue";
  case cell::Access::BadJobId:
    return "invalid request";
  case cell::Access::UnknownKey:
    return "unknown key";
  }
  return "a cause that this version does not know";
}

} // namespace

cell::pb::ForwardReply makeNotOwnerReply() {
  cell::pb::ForwardReply Out;
  Out.set_not_owner(true);
  return Out;
}

Owner::Owner(HostContext &Context, const cell::OwnerRow &Row,
             std::uint64_t Version, Millis SentAt,
             std::function<void(const std::string &Why)> OnDeposed)
    : Context_(Context), OwnerLog_(Row, Version),
      DeposedHandler_(std::move(OnDeposed)), LastProofAt_(SentAt) {
  // The takeover was the first transaction of this owner.
  OwnerLog_.settle(cell::TransactionResult::Done, Version, {});
  if (!Context.Settings_.MachinesAddress_.empty()) {
    MachineService_ = std::make_unique<HttpConnectionPool>(
        Context.Loop_, Context.Settings_.MachinesAddress_,
        MachineServiceConnections, AbandonedCall::IsTakenBack);
    MachineLists_ = std::make_unique<HttpConnectionPool>(
        Context.Loop_, Context.Settings_.MachinesAddress_,
        MachineListConnections);
    MachineLister_ = std::make_unique<MachineLister>(*MachineLists_);
  }
  Cell_ = std::make_unique<cell::Cell>(Row.Host_, Row.Epoch_,
                                       Context.Settings_.Bounds_);
  Cell_->setAdmission(Context.Settings_.Admission_);
}

Owner::~Owner() { *Alive_ = false; }

void Owner::readStoredRows() {
  UnreadTables_ = 5; // The number of reads below.
  readStoredTable(cell::WavesTable, [this](const platform::RowPage &Page) {
    for (const platform::Row &Each : Page.Rows_)
      StoredRows_.Waves_.emplace_back(Each.Key_, Each.Value_);
  });
  readStoredTable(cell::JobTable, [this](const platform::RowPage &Page) {
    for (const platform::Row &Each : Page.Rows_)
      StoredRows_.Jobs_.emplace_back(Each.Key_, Each.Value_);
  });
  readStoredTable(cell::ProgressTable, [this](const platform::RowPage &Page) {
    for (const platform::Row &Each : Page.Rows_)
      StoredRows_.Progress_.emplace_back(Each.Key_, Each.Value_);
  });
  readStoredTable(cell::EndedTable, [this](const platform::RowPage &Page) {
    for (const platform::Row &Each : Page.Rows_)
      StoredRows_.Ended_.emplace_back(Each.Key_, Each.Value_);
  });
  readStoredTable(cell::WorkersTable, [this](const platform::RowPage &Page) {
    for (const platform::Row &Each : Page.Rows_)
      if (const auto Ids = cell::decodeWorkers(Each.Value_))
        StoredRows_.Workers_.insert(Ids->begin(), Ids->end());
    StoredRows_.WorkerRows_ = Page.Rows_.size();
  });
}

/// Reads one table and retries until the store serves it.
void Owner::readStoredTable(
    const std::string &Table,
    std::function<void(const platform::RowPage &Rows)> Then) {
  Context_.Store_.readTable(
      platform::TableSpace::Own, Table,
      [this, Table, Then = std::move(Then),
       Alive = Alive_](const std::optional<platform::RowPage> &Page) {
        if (!*Alive || Stopped_)
          return;
        if (!Page) {
          Context_.Loop_.runAfter(RowReadRetryDelay,
                                  [this, Table, Then, Alive] {
                                    if (*Alive && !Stopped_)
                                      readStoredTable(Table, Then);
                                  });
          return;
        }
        Then(*Page);
        --UnreadTables_;
        becomeReadyIfComplete();
      });
}

/// Restores the cell once the former owner's rows and the operator's rows have
/// been read.
void Owner::becomeReadyIfComplete() {
  if (Ready_ || UnreadTables_ > 0 || !OperatorRows_ ||
      !OperatorRows_->DesiredState_)
    return;
  Ready_ = true;
  const Millis Now = bootTime();
  Cell_->setDesiredState(Now, OperatorRows_->DesiredState_);
  Cell_->setWithdrawnDomains(Now, OperatorRows_->WithdrawnDomains_);
  Cell_->restore(Now, wallTime(), StoredRows_);
  updateCellWaves();
  Cell_->addAdviceHost(OwnerLog_.row().Host_, Context_.Settings_.CpuShare_);
  for (const auto &[Host, Each] : LinkedHosts_)
    Cell_->addAdviceHost(Host, Each.first);
  Context_.Log_.logEvent(
      "owner of the cell",
      {{"epoch", static_cast<std::int64_t>(epoch())},
       {"jobs", static_cast<std::int64_t>(StoredRows_.Jobs_.size())},
       {"ended", static_cast<std::int64_t>(StoredRows_.Ended_.size())},
       {"workers", static_cast<std::int64_t>(StoredRows_.Workers_.size())}});
  StoredRows_ = {};
  tick();
}

void Owner::setOperatorRows(const platform::OperatorRows &Rows) {
  OperatorRows_ = Rows;
  DesiredState_ = Rows.DesiredState_;
  if (!Ready_) {
    becomeReadyIfComplete();
    return;
  }
  Cell_->setDesiredState(bootTime(), Rows.DesiredState_);
  Cell_->setWithdrawnDomains(bootTime(), Rows.WithdrawnDomains_);
  updateCellWaves();
  performEffects();
}

/// Passes the operator's waves to the cell.
void Owner::updateCellWaves() {
  std::vector<cell::Wave> Waves;
  for (const auto &[Key, Each] : OperatorRows_->Waves_)
    Waves.push_back(Each);
  Cell_->setWaves(bootTime(), Waves);
}

void Owner::addHost(const std::string &Host, double CpuShare,
                    FrameSender Send) {
  LinkedHosts_[Host] = {CpuShare, std::move(Send)};
  if (Ready_)
    Cell_->addAdviceHost(Host, CpuShare);
}

void Owner::removeHost(const std::string &Host) {
  LinkedHosts_.erase(Host);
  if (!Ready_)
    return;
  Cell_->removeAdviceHost(bootTime(), Host);
  performEffects();
}

void Owner::handleRequest(const cell::pb::Forward &Request, ReplyHandler Then) {
  const BusyTime::Scope Scope(Busy_, OwnerPart::Requests);
  recordCopy(Request);
  const cell::CopyStamp Stamp = stampOf(Request);
  const auto Timeout = cell::remainingTime(Stamp, epoch(), bootTime());
  if (ReleaseHandler_ || !Timeout ||
      !LatestCopies_.recordUnlessSuperseded(Stamp, bootTime())) {
    Then(makeNotOwnerReply());
    return;
  }
  const cell::Token Caller = NextCallerToken_++;
  const cell::CallerRequest CallerRequest{Request.host(), Request.path(),
                                          Request.key()};
  cell::Resolution Resolved = cell::resolve(DesiredState_.get(), CallerRequest);
  // This host and the caller's host may have read different versions of the
  // desired state; the newer one decides.
  if (Request.config_version() > Resolved.Version_)
    Resolved = {static_cast<cell::Access>(Request.access()),
                Request.config_version(), Request.queue(), Request.team(),
                Request.job_id()};
  const bool Submits = Request.method() == "POST";
  if (Submits && Resolved.Access_ == cell::Access::Allowed &&
      (Resolved.JobId_.empty() || Request.job().steps().empty()))
    Resolved.Access_ = cell::Access::BadJobId;
  if (Resolved.Access_ != cell::Access::Allowed && !isAuthorized()) {
    Then(makeNotOwnerReply());
    return;
  }
  if (Resolved.Access_ != cell::Access::Allowed) {
    Context_.Log_.logDecision(
        "request refused",
        {{"id", Request.job_id()},
         {"by", nameOf(Resolved.Access_)},
         {"copy", Request.copy()},
         {"config", static_cast<std::int64_t>(Resolved.Version_)}});
    const platform::CallerAnswer Refused =
        platform::encodeRefusal(Resolved.Access_);
    cell::pb::ForwardReply Reply;
    Reply.set_status(Refused.Status_);
    Reply.set_body(Refused.Body_);
    Reply.set_retry_later(Refused.RetryLater_);
    // With another text in place of an id, an earlier copy may have named a job
    // by an older desired state.
    if (cell::isJobId(Request.job_id()) && !Cell_->knowsJob(Request.job_id()))
      Reply.set_unknown_to_epoch(epoch());
    Then(Reply);
    return;
  }
  ReplyHandlers_[Caller] = std::move(Then);
  const Millis Now = bootTime();
  // The job of a repeated or refused submission is not decoded.
  if (Submits && !Cell_->resubmit(Now, Caller, Resolved, *Timeout))
    Cell_->submit(Now, wallTime(), Caller, Resolved,
                  cell::fromMessage(Request.job()).Spec_, *Timeout);
  else if (Request.method() == "DELETE")
    Cell_->cancel(Now, Caller, Resolved);
  else if (!Submits)
    Cell_->query(Now, Caller, Resolved);
  performEffects();
}

/// Counts the copies that were sent again or that are read late, and logs each
/// of them, so that the answers to one request can be told apart.
void Owner::recordCopy(const cell::pb::Forward &Request) {
  const cell::CopyStamp Stamp = stampOf(Request);
  const Millis Age = cell::ageOf(Stamp, bootTime());
  const bool IsLate = Age >= LateCopyAge;
  if (IsLate)
    Context_.Metrics_.incrementCounter("copies", "late");
  if (Stamp.Number_ > 1)
    Context_.Metrics_.incrementCounter("copies", "sent again");
  if (IsLate || Stamp.Number_ > 1)
    Context_.Log_.logDecision(
        "request copy read",
        {{"id", Request.job_id()},
         {"copy", Stamp.Number_},
         {"sent_to_epoch", static_cast<std::int64_t>(Stamp.Epoch_)},
         {"epoch", static_cast<std::int64_t>(epoch())},
         {"age_ms", Age},
         {"timeout_ms", Stamp.Timeout_}});
}

void Owner::handleAdviceReply(const cell::pb::AdviceReply &Reply) {
  const BusyTime::Scope Scope(Busy_, OwnerPart::AdviceReplies);
  if (!Ready_ || Reply.epoch() != epoch())
    return;
  cell::AdviceOutcome Out{
      Reply.token(), Reply.answered(), {}, Reply.valid_ms()};
  for (const cell::pb::Ticket &Each : Reply.allowed())
    Out.Tickets_.emplace_back(Each.worker(), Each.ticket());
  Cell_->handle(bootTime(), Out);
  performEffects();
}

/// Records the time since the previous tick and logs a large gap. In a process
/// that cannot keep up, orders leave late and answers that arrived in time look
/// lost.
void Owner::recordTickGap() {
  const Millis Now = bootTime();
  const Millis Gap = LastTickAt_ == 0 ? 0 : Now - LastTickAt_;
  LastTickAt_ = Now;
  if (Gap > StallLimit)
    StallEndedAt_ = Now;
  Context_.Metrics_.recordDuration("owner_tick_gap", "owner", Gap);
  if (Gap < SlowTickGap || Now < NextSlowTickLogAt_)
    return;
  NextSlowTickLogAt_ = Now + SlowTickLogInterval;
  reportSlowTick(Gap);
}

/// Logs a slow tick with the part that has taken the most time since the last
/// such line, and with the amounts of work that are open.
void Owner::reportSlowTick(Millis Gap) {
  OwnerPart Busiest = OwnerPart::Requests;
  std::uint64_t Longest = 0;
  for (std::size_t At = 1; At < OwnerPartCount; ++At) {
    const auto Part = static_cast<OwnerPart>(At);
    const std::uint64_t Spent = Busy_.micros(Part) - ReportedBusy_.micros(Part);
    if (Spent <= Longest)
      continue;
    Busiest = Part;
    Longest = Spent;
  }
  ReportedBusy_ = Busy_;
  const cell::CellStats Stats = Cell_->stats(bootTime());
  Context_.Log_.logEvent(
      "owner is slow",
      {{"tick_gap_ms", Gap},
       {"busiest", nameOf(Busiest)},
       {"busy_ms", static_cast<std::int64_t>(Longest / 1000)},
       {"jobs", static_cast<std::int64_t>(Stats.Jobs_)},
       {"steps", static_cast<std::int64_t>(Stats.WaitingSteps_)},
       {"orders", static_cast<std::int64_t>(Stats.OpenOrders_)},
       {"repeated", static_cast<std::int64_t>(Stats.RepeatedStarts_)},
       {"unstored_ms", Stats.OldestUnstoredEnd_}});
}

/// Publishes the busy times and the cell's figures as metrics, at most once per
/// BusyTimesInterval.
void Owner::publishBusyTimes() {
  const Millis Now = bootTime();
  if (Now < NextBusyTimesAt_)
    return;
  NextBusyTimesAt_ = Now + BusyTimesInterval;
  for (std::size_t At = 1; At < OwnerPartCount; ++At) {
    const auto Part = static_cast<OwnerPart>(At);
    Context_.Metrics_.incrementCounter("owner_busy_us", nameOf(Part),
                                       Busy_.micros(Part) -
                                           PublishedBusy_.micros(Part));
  }
  PublishedBusy_ = Busy_;
  const cell::CellStats Stats = Cell_->stats(Now);
  auto Publish = [this](const char *Name, auto Value) {
    Context_.Metrics_.setGauge(Name, static_cast<double>(Value));
  };
  Publish("jobs", Stats.Jobs_);
  Publish("waiting_steps", Stats.WaitingSteps_);
  Publish("open_steps", Stats.OpenSteps_);
  Publish("open_tasks", Stats.OpenTasks_);
  Publish("overdue_jobs", Stats.OverdueJobs_);
  Publish("work_memory_bytes", Stats.WorkMemoryHeld_);
  Publish("work_memory_limit_bytes", Stats.WorkMemoryLimit_);
  Publish("refused_for_memory", Stats.RefusedForMemory_);
  Publish("open_orders", Stats.OpenOrders_);
  Publish("wrong_sums", Cell_->countWrongSums());
  Publish("repeated_starts", Stats.RepeatedStarts_);
  Publish("oldest_unstored_end_ms", Stats.OldestUnstoredEnd_);
  Publish("steps_examined", Stats.StepsExamined_);
  Publish("workers_examined", Stats.WorkersExamined_);
  Publish("place_waits_met", Stats.PlaceWaitsMet_);
  Publish("place_waits_given_up", Stats.PlaceWaitsGivenUp_);
  Publish("place_wait_ms", Stats.PlaceWaitMs_);
  Publish("place_loss_ms", Stats.PlaceLossMs_);
  Publish("refused_hopeless", Stats.RefusedHopeless_);
  Publish("refused_over_share", Stats.RefusedOverShare_);
}

void Owner::tick() {
  if (!Ready_ || Stopped_)
    return;
  const BusyTime::Scope Scope(Busy_, OwnerPart::Ticks);
  recordTickGap();
  publishBusyTimes();
  readWorkerEntries();
  Cell_->setStoreReachable(Context_.Store_.isReachable());
  Cell_->setAuthorized(mayAct());
  Cell_->tick(bootTime(), wallTime());
  performEffects();
}

/// Reads the list of workers at most once per WorkerReadInterval and passes it
/// to the cell. Each unusable entry is logged once with its cause.
void Owner::readWorkerEntries() {
  if (ReadingWorkerEntries_ || bootTime() < NextWorkerReadAt_)
    return;
  ReadingWorkerEntries_ = true;
  NextWorkerReadAt_ = bootTime() + WorkerReadInterval;
  Context_.Store_.readTable(
      platform::TableSpace::Workers, "",
      [this, Alive = Alive_](const std::optional<platform::RowPage> &Page) {
        if (!*Alive || Stopped_)
          return;
        const BusyTime::Scope Scope(Busy_, OwnerPart::WorkerList);
        ReadingWorkerEntries_ = false;
        if (!Page)
          return;
        std::vector<cell::WorkerEntry> Entries;
        std::map<std::string, std::string> Bad;
        for (const platform::Row &Each : Page->Rows_) {
          auto Entry = platform::decodeWorker(Each);
          if (Entry) {
            Entries.push_back(std::move(*Entry));
            continue;
          }
          const auto Logged = UnusableWorkerEntries_.find(Each.Key_);
          if (Logged == UnusableWorkerEntries_.end() ||
              Logged->second != Entry.error())
            Context_.Log_.logEvent(
                "worker entry cannot be used",
                {{"worker", Each.Key_}, {"why", Entry.error()}});
          Bad[Each.Key_] = Entry.error();
        }
        UnusableWorkerEntries_ = std::move(Bad);
        const bool Fresh = bootTime() - Context_.Store_.lastFailureAt() >
                           WorkerEntryRecoveryTime;
        Cell_->setWorkers(bootTime(), Entries, Fresh);
        performEffects();
      });
}

/// Performs the effects of the cell until it has no more. Performing an effect
/// may add further ones.
void Owner::performEffects() {
  const BusyTime::Scope Scope(Busy_, OwnerPart::Effects);
  for (std::vector<cell::Effect> Effects = Cell_->takeEffects();
       !Effects.empty() && !Stopped_; Effects = Cell_->takeEffects())
    for (const cell::Effect &Each : Effects)
      std::visit([this](const auto &Kind) { perform(Kind); }, Each);
}

void Owner::perform(const cell::Reply &Effect) {
  const auto It = ReplyHandlers_.find(Effect.Token_);
  if (It == ReplyHandlers_.end())
    return;
  const ReplyHandler Then = std::move(It->second);
  ReplyHandlers_.erase(It);
  // A later owner may have accepted a job that this one does not know.
  if (Effect.Answer_ == cell::Answer::NoJob && !isAuthorized()) {
    Then(makeNotOwnerReply());
    return;
  }
  const platform::CallerAnswer Answer = platform::encodeAnswer(Effect);
  cell::pb::ForwardReply Out;
  Out.set_status(Answer.Status_);
  Out.set_body(Answer.Body_);
  Out.set_retry_later(Answer.RetryLater_);
  Out.set_retry_after_ms(Effect.RetryAfter_);
  if (cell::isRefusal(Effect.Answer_))
    Out.set_unknown_to_epoch(epoch());
  Then(Out);
}

Owner::WorkerConnections &Owner::connectionsTo(const cell::WorkerAddress &To) {
  WorkerConnections &Out = WorkerConnections_[To.Address_];
  if (!Out.OrderPool_) {
    Out.OrderPool_ = std::make_unique<HttpConnectionPool>(
        Context_.Loop_, To.Address_, OrderConnectionsPerWorker);
    Out.RenewalPool_ = std::make_unique<HttpConnectionPool>(
        Context_.Loop_, To.Address_, RenewalConnectionsPerWorker);
  }
  return Out;
}

/// Sends an order, or queues it behind others to the worker. It is withdrawn if
/// it is not wanted any more when its turn comes.
void Owner::sendOrder(const cell::WorkerAddress &To, cell::Token Order,
                      HttpCall Call, std::function<bool()> MaySend,
                      CallOrder Place) {
  connectionsTo(To).OrderPool_->send(
      std::move(Call), OrderTimeout,
      [this, Order, Alive = Alive_](const HttpReply &Reply) {
        if (!*Alive || Stopped_)
          return;
        const BusyTime::Scope Scope(Busy_, OwnerPart::OrderOutcomes);
        Cell_->handle(bootTime(), platform::decodeOrderAnswer(Order, Reply));
        performEffects();
      },
      std::move(MaySend), Place);
}

void Owner::perform(const cell::SendStart &Effect) {
  sendOrder(
      Effect.Worker_, Effect.Token_, platform::encodeStart(Effect),
      [this, Order = Effect.Token_] {
        return mayAct() && Cell_->maySend(Order);
      },
      CallOrder::InTurn);
}

void Owner::perform(const cell::SendStop &Effect) {
  // Starts that wait may be many, and a stop is due at once.
  sendOrder(
      Effect.Worker_, Effect.Token_, platform::encodeStop(Effect),
      [this, Order = Effect.Token_] { return Cell_->maySend(Order); },
      CallOrder::First);
}

void Owner::perform(const cell::SendPace &Effect) {
  sendOrder(
      Effect.Worker_, Effect.Token_, platform::encodePace(Effect),
      [this, Order = Effect.Token_] { return Cell_->maySend(Order); },
      CallOrder::InTurn);
}

void Owner::perform(const cell::SendRenewal &Effect) {
  connectionsTo(Effect.Worker_)
      .RenewalPool_->send(
          platform::encodeRenewal(Effect), Effect.Wait_ + RenewalTimeoutSlack,
          [this, Effect, Alive = Alive_](const HttpReply &Reply) {
            if (!*Alive || Stopped_)
              return;
            const BusyTime::Scope Scope(Busy_, OwnerPart::Renewals);
            const cell::RenewalOutcome Outcome =
                platform::decodeRenewalAnswer(Effect, Reply);
            if (Outcome.Result_ == cell::OrderResult::Fenced &&
                Cell_->awaitsRenewal(Effect) &&
                ++FencedRenewals_ >= MaxFencedRenewals) {
              stepDown("workers obey a later owner");
              return;
            }
            Cell_->handle(bootTime(), Outcome);
            performEffects();
          });
}

void Owner::perform(const cell::AskAdvice &Effect) {
  if (Effect.EntryHost_ == OwnerLog_.row().Host_) {
    Context_.Advice_.requestAdvice(
        Effect, [this, Alive = Alive_](const cell::AdviceOutcome &Outcome) {
          if (!*Alive || Stopped_)
            return;
          Cell_->handle(bootTime(), Outcome);
          performEffects();
        });
    return;
  }
  const auto Host = LinkedHosts_.find(Effect.EntryHost_);
  if (Host == LinkedHosts_.end())
    return;
  Frame Out;
  cell::pb::AdviceRequest &Request = *Out.mutable_advice_request();
  Request.set_epoch(epoch());
  Request.set_token(Effect.Token_);
  Request.set_step(Effect.Step_);
  for (const std::string &Id : Effect.Workers_)
    Request.add_workers(Id);
  Request.set_timeout_ms(Effect.Timeout_);
  Host->second.second(Out);
}

void Owner::perform(const cell::Commit &Effect) {
  if (ReleaseHandler_)
    return; // Callers get no further answers, so no accepted job is lost.
  CommitChanges_ = Effect.Changes_;
  CommitPending_ = true;
  CommitPendingSince_ = bootTime();
  sendCommit();
}

/// Whether no other host can have become owner. A candidate first waits 0.8 s
/// for the owner row to change, so a recent transaction proves it. Later, only
/// a host that followed this owner at that time can have taken over: while all
/// of them still follow, this host remains authorized, for example during an
/// outage of the store that affects all hosts. A process that stalled may have
/// missed that a follower left and is not authorized until its next
/// transaction.
bool Owner::isAuthorized() const {
  const Millis Now = bootTime();
  if (Now - LastProofAt_ < OwnershipProofDuration)
    return true;
  if (Now - LastTickAt_ > StallLimit || LastProofAt_ < StallEndedAt_)
    return false;
  return std::includes(Followers_.begin(), Followers_.end(),
                       FollowersAtProof_.begin(), FollowersAtProof_.end());
}

/// Whether this host may order something new. An owner that is releasing
/// ownership could not finish what it starts.
bool Owner::mayAct() const {
  return isAuthorized() && !isReleasing() && !Stopped_;
}

void Owner::sendCommit() {
  CommitSentAt_ = bootTime();
  Context_.Store_.transact(
      OwnerLog_.row(), OwnerLog_.version(), CommitChanges_,
      [this, Alive = Alive_](const platform::TransactionAnswer &Answer) {
        if (*Alive && !Stopped_)
          handleCommitAnswer(Answer);
      });
}

void Owner::handleCommitAnswer(const platform::TransactionAnswer &Answer) {
  const BusyTime::Scope Scope(Busy_, OwnerPart::Commits);
  switch (OwnerLog_.settle(Answer.Result_, Answer.Version_, Answer.Present_)) {
  case cell::OwnerTransactions::Verdict::Committed:
    CommitPending_ = false;
    LastProofAt_ = CommitSentAt_;
    FollowersAtProof_ = Followers_;
    Context_.Metrics_.incrementCounter("commits", "done");
    Cell_->committed(bootTime(), wallTime());
    performEffects();
    if (ReleaseHandler_ && !Stopped_)
      finishRelease();
    return;
  case cell::OwnerTransactions::Verdict::Abandoned:
    abandonCommit(Answer.Status_);
    return;
  case cell::OwnerTransactions::Verdict::Deposed:
    stepDown("the owner row names another host");
    return;
  case cell::OwnerTransactions::Verdict::Diverged:
    // The next owner, which may be this host, reads what the store holds.
    stepDown("the store holds a transaction that counted as rejected");
    return;
  case cell::OwnerTransactions::Verdict::Retry:
    Context_.Metrics_.incrementCounter("commits", "retried");
    Context_.Loop_.runAfter(Answer.Result_ == cell::TransactionResult::Refused
                                ? CommitRetryDelay * 2
                                : CommitRetryDelay,
                            [this, Alive = Alive_] {
                              if (*Alive && !Stopped_)
                                sendCommit();
                            });
    return;
  }
}

/// Lets the cell compose other transactions in place of one that the store
/// rejects.
void Owner::abandonCommit(int Status) {
  CommitPending_ = false;
  Context_.Metrics_.incrementCounter("commits", "rejected");
  Context_.Log_.logEvent(
      "transaction rejected",
      {{"status", Status},
       {"rows", static_cast<std::int64_t>(CommitChanges_.size())}});
  Cell_->commitRejected(bootTime());
  performEffects();
  if (ReleaseHandler_ && !Stopped_)
    finishRelease();
}

/// Ends this ownership, because another host is owner.
void Owner::stepDown(const std::string &Why) {
  Stopped_ = true;
  // The handler destroys this object, so it must not run within one of this
  // object's own callbacks.
  Context_.Loop_.runAfter(0, [this, Why, Alive = Alive_] {
    if (*Alive)
      DeposedHandler_(Why);
  });
}

void Owner::release(ReleaseHandler Done) {
  ReleaseHandler_ = std::move(Done);
  if (!CommitPending_)
    finishRelease(); // Otherwise handleCommitAnswer() calls it.
}

/// Returns all open requests and reports the last owner row. While a rejected
/// transaction may still be stored, a request in it must not be returned as not
/// carried out; without a reply, its front end asks the next owner.
void Owner::finishRelease() {
  Stopped_ = true;
  if (OwnerLog_.mayBeStoredLate())
    ReplyHandlers_.clear();
  for (const auto &[Caller, Then] : std::exchange(ReplyHandlers_, {}))
    Then(makeNotOwnerReply());
  ReleaseHandler_({OwnerLog_.version(), OwnerLog_.row()});
}

void Owner::perform(const cell::DurationSample &Effect) {
  Context_.Metrics_.recordDuration(std::string(Effect.Metric_), Effect.Class_,
                                   Effect.Duration_);
}

void Owner::perform(const cell::Decision &Effect) {
  Context_.Metrics_.incrementCounter("decisions", std::string(Effect.Event_));
  if (Effect.Attempt_ == 0) {
    Context_.Log_.logDecision(Effect.Event_, {{"id", Effect.Subject_},
                                              {"by", Effect.Reason_},
                                              {"age_ms", Effect.InputAge_}});
    return;
  }
  Context_.Log_.logDecision(
      Effect.Event_, {{"id", Effect.Subject_},
                      {"run", static_cast<std::int64_t>(Effect.Attempt_)},
                      {"by", Effect.Reason_},
                      {"age_ms", Effect.InputAge_}});
}

} // namespace oleandergauge::node
