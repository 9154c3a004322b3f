#ifndef OLEANDERGAUGE_TEST_CELL_TASK_CHECKS_H
#define OLEANDERGAUGE_TEST_CELL_TASK_CHECKS_H

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "fake_desired_state.h"
#include "fake_fleet.h"
#include "simulation_core.h"

namespace oleandergauge::cell::test {

/// The history of a task over all owners, as seen by the checks.
struct TaskHistory {
  int RunningCount_ = 0;
  bool Done_ = false;
  Millis DoneAt_ = 0; ///< Time at which the first run ended as done.
  std::uint64_t DoneAttempt_ = 0; ///< The number of that run.
  Millis StartedAt_ = 0;          ///< Time of the latest start.
  /// Run numbers of failures that an owner acknowledged.
  std::set<std::uint64_t> AcknowledgedFailures_;
};

/// Returns the id of the job of a task.
inline std::string jobOf(const std::string &Task) {
  return Task.substr(0, Task.find('.'));
}

/// Returns the name of the step of a task, with its occurrence.
inline std::string stepOf(const std::string &Task) {
  return Task.substr(0, Task.rfind('.'));
}

/// Records the history of all tasks and checks each start, stop and end against
/// the invariants of the scheduler.
class TaskChecks {
public:
  TaskChecks(SimulationCore &Core, const FakeFleet &Fleet,
             const FakeDesiredState &Desired)
      : Core_(Core), Fleet_(Fleet), Desired_(Desired) {}

  void addJob(const std::string &Id, const JobSpec &Spec,
              const std::string &Queue) {
    Specs_[Id] = Spec;
    Queues_[Id] = Queue;
  }
  const std::string &queueOf(const std::string &Job) { return Queues_[Job]; }
  const StepSpec &specOf(const std::string &Task) const {
    const std::string Job = jobOf(Task);
    const std::size_t Second = Task.find('.', Job.size() + 1);
    return Specs_.at(Job).Steps_[std::stoul(Task.substr(Second + 1))];
  }
  std::size_t starts() const { return Starts_; }
  std::size_t aloneEnds() const { return AloneEnds_; }

  void checkStart(const FakeWorker &Receiver, const SendStart &Order) {
    const std::string Job = jobOf(Order.Task_);
    checkHistory(Order.Task_);
    checkCapacity(Receiver, specOf(Order.Task_));
    checkEarlierSteps(Order.Task_);
    checkLabel(Receiver, specOf(Order.Task_));
    if (Core_.Accepted_.count(Job) == 0 &&
        Core_.Rows_.count({JobTable, Job}) == 0)
      Core_.addViolation("started a job that is not stored: " + Job);
    const auto Cancelled = Core_.CancelledAt_.find(Job);
    if (Cancelled != Core_.CancelledAt_.end() &&
        Core_.now() > Cancelled->second + CancelTime)
      Core_.addViolation("started long after its cancellation: " + Order.Task_);
  }
  void recordStart(const std::string &Task) {
    Core_.Started_.insert(jobOf(Task));
    ++Tasks_[Task].RunningCount_;
    Tasks_[Task].StartedAt_ = Core_.now();
    ++Starts_;
  }

  /// Checks that a stop leaves enough tasks of the service running.
  void checkStop(const std::string &Task) {
    const StepSpec &Spec = specOf(Task);
    if (Spec.MaxUnavailable_ == 0 || Core_.CancelledAt_.count(jobOf(Task)) != 0)
      return;
    std::uint32_t Unavailable = 0;
    for (std::uint32_t At = 0; At < Spec.Count_; ++At) {
      const std::string Other = stepOf(Task) + "." + std::to_string(At);
      Unavailable += Other != Task && Tasks_[Other].RunningCount_ == 0 ? 1 : 0;
    }
    if (Unavailable >= Spec.MaxUnavailable_)
      Core_.addViolation("too many tasks of a service made unavailable: " +
                         Task);
  }

  /// Notes that a run ended without an end that the worker can report.
  void recordLostRun(const std::string &Task) { --Tasks_[Task].RunningCount_; }
  void recordEnd(const std::string &Task, const FakeWorker::ActiveRun &EndedRun,
                 EndKind Kind) {
    TaskHistory &History = Tasks_[Task];
    --History.RunningCount_;
    if (Kind == EndKind::Done && !History.Done_) {
      History.DoneAt_ = Core_.now();
      History.DoneAttempt_ = EndedRun.Attempt_;
    }
    History.Done_ = History.Done_ || Kind == EndKind::Done;
    if (Kind == EndKind::Alone)
      checkAloneEnd(Task, EndedRun);
  }
  /// Notes that the owner has acknowledged an end.
  void recordAcknowledged(const FakeWorker &Receiver, const EndEntry &Entry) {
    if (Entry.Kind_ == EndKind::Done)
      recordAcknowledgedDone(Receiver, Entry);
    if (Entry.Kind_ == EndKind::Failed)
      Tasks_[Entry.Task_].AcknowledgedFailures_.insert(Entry.Attempt_);
  }

private:
  /// Time within which an owner in contact with all workers aborts a gang.
  static constexpr Millis GangAbortTime = 2000;
  /// Time in milliseconds after a cancel in which tasks may still start.
  static constexpr Millis CancelTime = 9000;
  /// Thousandths of a CPU that all runs of the team may need together.
  static constexpr std::int64_t TeamCpuLimit = 9900 + 4000;

  void checkHistory(const std::string &Task) {
    const TaskHistory &History = Tasks_[Task];
    if (History.RunningCount_ > 0)
      Core_.addViolation("two runs of a task at once: " + Task);
    if (History.Done_ && AcknowledgedDone_.count(Task) != 0)
      Core_.addViolation("started after its end was acknowledged: " + Task);
    if (History.AcknowledgedFailures_.size() >= Desired_.attempts())
      Core_.addViolation("started after its last allowed attempt: " + Task);
  }

  void checkCapacity(const FakeWorker &Receiver, const StepSpec &Spec) {
    const Resources Sum = Receiver.used() + Spec.Need_;
    if (Sum.CpuMilli_ > Receiver.Capacity_.CpuMilli_ ||
        Sum.MemoryMib_ > Receiver.Capacity_.MemoryMib_)
      Core_.addViolation("worker above its capacity: " + Receiver.Id_);
    std::int64_t TeamCpu = Spec.Need_.CpuMilli_;
    for (const FakeWorker &Each : Fleet_.workers())
      TeamCpu += Each.used().CpuMilli_;
    if (TeamCpu > TeamCpuLimit)
      Core_.addViolation("team above its limit");
  }

  void checkLabel(const FakeWorker &Receiver, const StepSpec &Spec) {
    const auto &Labels = Receiver.Labels_;
    if (!Spec.RequiredLabel_.empty() &&
        std::find(Labels.begin(), Labels.end(), Spec.RequiredLabel_) ==
            Labels.end())
      Core_.addViolation("started without the required label: " + Receiver.Id_);
  }

  void checkEarlierSteps(const std::string &Task) {
    const std::string Job = jobOf(Task);
    const std::string Occurrence =
        Task.substr(0, Task.find('.', Job.size() + 1) + 1);
    for (std::uint32_t Earlier : specOf(Task).After_)
      for (std::uint32_t At = 0; At < Specs_[Job].Steps_[Earlier].Count_; ++At)
        if (!Tasks_[Occurrence + std::to_string(Earlier) + "." +
                    std::to_string(At)]
                 .Done_)
          Core_.addViolation("started before an earlier step was done: " +
                             Task);
  }

  /// Checks whether an owner in contact with all workers should have ended the
  /// wait of this member earlier.
  void checkAloneEnd(const std::string &Task,
                     const FakeWorker::ActiveRun &EndedRun) {
    ++AloneEnds_;
    const Millis Since = Core_.now() - EndedRun.WaitedForMembers_;
    const bool OwnerActive =
        Core_.hasOwner() &&
        Core_.now() - std::max(Core_.ownerSince(), Since) >= GangAbortTime;
    const bool Connected = Core_.now() - Fleet_.lastDisconnectedAt() >=
                           Bounds{}.GangTimeout_ + GangAbortTime;
    if (OwnerActive && Connected)
      Core_.addViolation("a member of a gang waited alone: " + Task);
  }

  /// Notes that a task's end counts. A start since then ran the task twice,
  /// unless the worker's lease lapsed after the end.
  void recordAcknowledgedDone(const FakeWorker &Receiver,
                              const EndEntry &Entry) {
    AcknowledgedDone_.insert(Entry.Task_);
    const TaskHistory &History = Tasks_[Entry.Task_];
    if (Entry.Attempt_ == History.DoneAttempt_ &&
        History.StartedAt_ > History.DoneAt_ &&
        Receiver.LapsedAt_ < History.DoneAt_)
      Core_.addViolation("started again after an end that counts: " +
                         Entry.Task_);
  }

  SimulationCore &Core_;
  const FakeFleet &Fleet_;
  const FakeDesiredState &Desired_;
  std::map<std::string, JobSpec> Specs_;
  std::map<std::string, std::string> Queues_;
  std::map<std::string, TaskHistory> Tasks_;
  std::set<std::string> AcknowledgedDone_;
  std::size_t Starts_ = 0;
  std::size_t AloneEnds_ = 0;
};

} // namespace oleandergauge::cell::test

#endif // OLEANDERGAUGE_TEST_CELL_TASK_CHECKS_H
