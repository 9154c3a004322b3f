#include "cell/cell.h"

#include <charconv>

#include "cell/engine.h"

namespace oleandergauge::cell {

namespace detail {

bool Worker::hasLabel(const std::string &Label) const {
  for (const std::string &Each : Labels_)
    if (Each == Label)
      return true;
  return false;
}

std::string taskName(const StepRun &Step, std::uint32_t Index) {
  return Step.Name_ + "." + std::to_string(Index);
}

std::optional<TaskName> parseTaskName(const std::string &Text) {
  TaskName Out;
  const std::size_t First = Text.find('.');
  if (First == std::string::npos)
    return std::nullopt;
  Out.Job_ = Text.substr(0, First);
  std::uint32_t *Parts[] = {&Out.Occurrence_, &Out.Step_, &Out.Index_};
  const char *At = Text.data() + First + 1;
  const char *End = Text.data() + Text.size();
  for (std::uint32_t *Part : Parts) {
    const auto Read = std::from_chars(At, End, *Part);
    const bool Last = Part == Parts[2];
    if (Read.ec != std::errc() || (Last ? Read.ptr != End : *Read.ptr != '.'))
      return std::nullopt;
    At = Read.ptr + 1;
  }
  return Out;
}

} // namespace detail

Cell::Cell(std::string Self, Epoch OwnEpoch, Bounds Limits)
    : Engine_(std::make_unique<Engine>(std::move(Self), OwnEpoch, Limits)) {}

Cell::~Cell() = default;

void Cell::restore(Millis Now, Millis Wall, const StoredCell &Stored) {
  Engine_->Now_ = Now;
  Engine_->Wall_ = Wall;
  Engine_->restore(Stored);
}

void Cell::setDesiredState(Millis Now,
                           std::shared_ptr<const DesiredState> State) {
  Engine_->Now_ = Now;
  Engine_->setDesiredState(std::move(State));
  Engine_->advanceAll();
}

void Cell::setWithdrawnDomains(Millis Now, std::set<std::string> Domains) {
  Engine_->Now_ = Now;
  Engine_->setWithdrawnDomains(std::move(Domains));
}

void Cell::setWorkers(Millis Now, const std::vector<WorkerEntry> &Entries,
                      bool Fresh) {
  Engine_->Now_ = Now;
  Engine_->setWorkers(Entries, Fresh);
  Engine_->advanceAll();
}

void Cell::setWaves(Millis Now, const std::vector<Wave> &Waves) {
  Engine_->Now_ = Now;
  Engine_->setWaves(Waves);
}

void Cell::setMachines(
    Millis Now, const std::optional<std::vector<MachineEntry>> &Machines) {
  Engine_->Now_ = Now;
  Engine_->setMachines(Machines);
  Engine_->advanceAll();
}

void Cell::addAdviceHost(const std::string &Host, double Strength) {
  Engine_->addAdviceHost(Host, Strength);
}

void Cell::removeAdviceHost(Millis Now, const std::string &Host) {
  Engine_->Now_ = Now;
  Engine_->removeAdviceHost(Host);
}

void Cell::submit(Millis Now, Millis Wall, Token Caller,
                  const Resolution &Request, const JobSpec &Spec,
                  Millis Timeout) {
  Engine_->Now_ = Now;
  Engine_->Wall_ = Wall;
  Engine_->submit(Caller, Request, Spec, Timeout);
  Engine_->commitChanges();
}

bool Cell::resubmit(Millis Now, Token Caller, const Resolution &Request,
                    Millis Timeout) {
  Engine_->Now_ = Now;
  return Engine_->resubmit(Caller, Request, Timeout);
}

void Cell::cancel(Millis Now, Token Caller, const Resolution &Request) {
  Engine_->Now_ = Now;
  Engine_->cancel(Caller, Request);
  Engine_->commitChanges();
}

bool Cell::knowsJob(const std::string &Id) const {
  return Engine_->knowsJob(Id);
}

void Cell::query(Millis Now, Token Caller, const Resolution &Request) {
  Engine_->Now_ = Now;
  Engine_->query(Caller, Request);
}

void Cell::handle(Millis Now, const OrderOutcome &Outcome) {
  Engine_->Now_ = Now;
  Engine_->handle(Outcome);
  Engine_->advanceAll();
}

void Cell::handle(Millis Now, const RenewalOutcome &Outcome) {
  Engine_->Now_ = Now;
  Engine_->handle(Outcome);
  Engine_->advanceAll();
}

bool Cell::maySend(Token Order) const { return Engine_->maySend(Order); }

bool Cell::awaitsRenewal(const SendRenewal &Renewal) const {
  return Engine_->awaitsRenewal(Renewal);
}

void Cell::handle(Millis Now, const AdviceOutcome &Outcome) {
  Engine_->Now_ = Now;
  Engine_->handle(Outcome);
  Engine_->advanceAll();
}

void Cell::handle(Millis Now, const UpkeepOutcome &Outcome) {
  Engine_->Now_ = Now;
  Engine_->handle(Outcome);
  Engine_->advanceAll();
}

void Cell::committed(Millis Now, Millis Wall) {
  Engine_->Now_ = Now;
  Engine_->Wall_ = Wall;
  Engine_->committed();
  Engine_->advanceAll();
}

void Cell::commitRejected(Millis Now) {
  Engine_->Now_ = Now;
  Engine_->commitRejected();
  Engine_->advanceAll();
}

void Cell::setAuthorized(bool Authorized) {
  Engine_->PlacementNeeded_ = Engine_->PlacementNeeded_ || Authorized;
  Engine_->Authorized_ = Authorized;
}

void Cell::setStoreReachable(bool Reachable) {
  Engine_->StoreReachable_ = Reachable;
}

void Cell::setAdmission(bool Enabled) { Engine_->setAdmission(Enabled); }

void Cell::tick(Millis Now, Millis Wall) {
  Engine_->Now_ = Now;
  Engine_->Wall_ = Wall;
  Engine_->advanceAll();
}

std::vector<Effect> Cell::takeEffects() {
  return std::exchange(Engine_->Effects_, {});
}

std::size_t Cell::countWrongSums() const { return Engine_->countWrongSums(); }

CellStats Cell::stats(Millis Now) const {
  Engine_->Now_ = Now;
  return Engine_->stats();
}

} // namespace oleandergauge::cell
