#ifndef OLEANDERGAUGE_TEST_FAKE_WORKERS_H
#define OLEANDERGAUGE_TEST_FAKE_WORKERS_H

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "fake_table.h"
#include "invariants.h"

namespace oleandergauge {

/// A fake worker that runs tasks under leases and does not check epochs. The
/// command of a task is its run time in milliseconds.
class FakeWorker {
public:
  using CallDone = std::function<void(std::int32_t)>;

  FakeWorker(VirtualTime &Time, Invariants &Checks, WorkerInfo Info,
             unsigned ClockRatePermille)
      : Info_(std::move(Info)), Time_(Time), Checks_(Checks),
        ClockRatePermille_(ClockRatePermille) {}

  const WorkerInfo &info() const { return Info_; }
  bool isLeaving() const { return Leaving_; }
  bool receivesCommands() const {
    return !Crashed_ && (!isSilent() || ReceivesWhenSilent_);
  }
  bool isSilent() const { return Crashed_ || Time_.now() < SilentUntil_; }

  /// Makes the worker send no answers for \p Span. It still processes commands
  /// if \p Receives is set.
  void silenceFor(Duration Span, bool Receives) {
    SilentUntil_ = Time_.now() + Span;
    ReceivesWhenSilent_ = Receives;
  }
  void setFailing(bool Fails) { Fails_ = Fails; }
  void setLeaving(bool Leaving) { Leaving_ = Leaving; }
  /// Ends all tasks and discards all state of the worker.
  void crash() {
    while (!Running_.empty())
      end(Running_.begin()->first);
    Finished_.clear();
    SeenAttempts_.clear();
    Crashed_ = true;
  }
  void restart() { Crashed_ = false; }

  CommandOutcome start(const StartOnWorker &Command, CallDone OnDone) {
    const AttemptId Id{Command.Task_, Command.Attempt_};
    if (SeenAttempts_.contains(Id))
      return CommandOutcome::Started;
    if (Fails_ && Command.Attempt_ % 2 == 0)
      return CommandOutcome::Refused;
    SeenAttempts_.insert(Id);
    Checks_.noteStart(Time_.now(), Command, Info_);
    const int Millis = std::stoi(Command.Spec_->Command_);
    const Duration Length = std::chrono::milliseconds(Fails_ ? 20 : Millis);
    Running_[Id] = {Command.Spec_, Command.Reserved_, leaseEnd(Command.Lease_),
                    Time_.now() + Length, std::move(OnDone)};
    return CommandOutcome::Started;
  }

  void exchange(const ExchangeWithWorker &Exchange, WorkerReported &Report) {
    for (const AttemptId &Id : Exchange.Renew_)
      if (const auto Found = Running_.find(Id); Found != Running_.end())
        Found->second.LeaseEnd_ = leaseEnd(Exchange.Lease_);
    for (const AttemptId &Id : Exchange.AcknowledgedEnds_)
      Finished_.erase(Id);
    for (const auto &[Id, Run] : Running_)
      Report.Running_.push_back(
          {Id.Task_, Id.Attempt_, isCall(Run), Run.Reserved_});
    for (const auto &[Id, Finished] : Finished_)
      Report.Finished_.push_back(Finished);
  }

  void stop(const StopOnWorker &Command) {
    if (Command.Mode_ == StopMode::Throttle)
      return;
    const bool Checkpoint = Command.Mode_ == StopMode::Checkpoint;
    finish(Command.Attempt_, Checkpoint ? 0 : 143, Checkpoint);
  }

  /// Ends tasks whose run time or lease is over.
  void tick() {
    std::vector<AttemptId> Completed;
    std::vector<AttemptId> Expired;
    for (const auto &[Id, Run] : Running_) {
      if (Time_.now() >= Run.EndsAt_)
        Completed.push_back(Id);
      else if (Time_.now() >= Run.LeaseEnd_)
        Expired.push_back(Id);
    }
    for (const AttemptId &Id : Completed)
      finish(Id, Fails_ ? 1 : 0, false);
    for (const AttemptId &Id : Expired)
      end(Id);
  }

private:
  struct Run {
    std::shared_ptr<const JobSpec> Spec_;
    Resources Reserved_;
    TimePoint LeaseEnd_;
    TimePoint EndsAt_;
    CallDone OnDone_;
  };

  static bool isCall(const Run &Target) {
    return Target.Spec_->Class_ == WorkClass::Direct;
  }
  TimePoint leaseEnd(Duration Length) const {
    return Time_.now() + Length * 1000 / ClockRatePermille_;
  }

  Run end(const AttemptId &Id) {
    Run Ended = std::move(Running_.at(Id));
    Running_.erase(Id);
    Checks_.noteEnd(*Ended.Spec_, Id, Ended.Reserved_, Info_.Id_);
    return Ended;
  }

  void finish(const AttemptId &Id, std::int32_t ExitCode, bool Checkpointed) {
    if (!Running_.contains(Id))
      return;
    const Run Ended = end(Id);
    if (isCall(Ended)) {
      Ended.OnDone_(ExitCode);
      return;
    }
    if (Checkpointed)
      Checks_.noteCheckpoint(Id.Task_);
    Finished_[Id] = {Id.Task_, Id.Attempt_, ExitCode, Checkpointed, ""};
  }

  WorkerInfo Info_;
  VirtualTime &Time_;
  Invariants &Checks_;
  unsigned ClockRatePermille_;
  TimePoint SilentUntil_;
  bool ReceivesWhenSilent_ = false;
  bool Crashed_ = false;
  bool Fails_ = false;
  bool Leaving_ = false;
  std::map<AttemptId, Run> Running_;
  std::map<AttemptId, FinishedTask> Finished_;
  std::set<AttemptId> SeenAttempts_;
};

} // namespace oleandergauge

#endif // OLEANDERGAUGE_TEST_FAKE_WORKERS_H
