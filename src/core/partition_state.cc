#include "partition_state.h"

#include <algorithm>

namespace oleandergauge::detail {
namespace {

TaskEntry *findTask(JobMap &Jobs, const TaskId &Task) {
  auto Found = Jobs.find(Task.Job_);
  if (Found == Jobs.end() || Task.Index_ >= Found->second.Tasks_.size())
    return nullptr;
  return &Found->second.Tasks_[Task.Index_];
}

void applyAccepted(JobMap &Jobs, const JobAccepted &Change) {
  if (Jobs.contains(Change.Spec_.Id_))
    return;
  JobEntry Job;
  Job.Spec_ = std::make_shared<const JobSpec>(Change.Spec_);
  Job.Committed_ = true;
  Job.Tasks_.resize(Change.Spec_.TaskCount_);
  Jobs.emplace(Change.Spec_.Id_, std::move(Job));
}

void applyAssigned(JobMap &Jobs, const TaskAssigned &Change) {
  TaskEntry *Task = findTask(Jobs, Change.Task_);
  if (!Task || Change.Attempt_ <= Task->Attempt_)
    return;
  Task->State_ = TaskState::Unknown;
  Task->MayHaveRun_ = true;
  Task->Attempt_ = Change.Attempt_;
  Task->Worker_ = Change.Worker_;
  Task->Reserved_ = Change.Reserved_;
}

void applyReturned(JobMap &Jobs, const TaskReturned &Change) {
  TaskEntry *Task = findTask(Jobs, Change.Task_);
  if (!Task || Change.Attempt_ < Task->Attempt_)
    return;
  Task->State_ = TaskState::Waiting;
  Task->MayHaveRun_ = true;
  Task->Attempt_ = Change.Attempt_;
  Task->Worker_ = WorkerId();
}

void applyEnded(JobMap &Jobs, const TaskEnded &Change) {
  TaskEntry *Task = findTask(Jobs, Change.Task_);
  if (!Task || Change.Attempt_ < Task->Attempt_)
    return;
  Task->State_ = TaskState::Ended;
  Task->Attempt_ = Change.Attempt_;
  Task->Verdict_ = Change.Verdict_;
  Task->ExitCode_ = Change.ExitCode_;
  Task->Output_ = Change.Output_;
}

void applyCancelled(JobMap &Jobs, const JobCancelled &Change) {
  auto Found = Jobs.find(Change.Job_);
  if (Found == Jobs.end())
    return;
  Found->second.CancelledFor_ = Change.Reason_;
  for (TaskEntry &Task : Found->second.Tasks_) {
    if (Task.State_ == TaskState::Waiting) {
      Task.State_ = TaskState::Ended;
      Task.Verdict_ = Task.MayHaveRun_ ? Verdict::MayHaveRun : Verdict::NotRun;
    } else
      Task.NoFurtherAttempt_ = true;
  }
}

void appendTaskTransition(const TaskId &Id, const TaskEntry &Task,
                          std::vector<Transition> &Out) {
  if (Task.isActive()) {
    Out.push_back(
        TaskAssigned{Id, Task.Attempt_, Task.Worker_, Task.Reserved_});
    return;
  }
  if (Task.State_ == TaskState::Ended) {
    Out.push_back(TaskEnded{Id, Task.Attempt_, Task.Verdict_, Task.ExitCode_,
                            Task.Output_});
    return;
  }
  if (Task.Attempt_ > 0)
    Out.push_back(TaskReturned{Id, Task.Attempt_});
}

} // namespace

void applyTransition(JobMap &Jobs, const Transition &Change) {
  std::visit(
      Overloaded{
          [&](const JobAccepted &Entry) { applyAccepted(Jobs, Entry); },
          [&](const TaskAssigned &Entry) { applyAssigned(Jobs, Entry); },
          [&](const TaskReturned &Entry) { applyReturned(Jobs, Entry); },
          [&](const TaskEnded &Entry) { applyEnded(Jobs, Entry); },
          [&](const JobCancelled &Entry) { applyCancelled(Jobs, Entry); },
          [&](const JobForgotten &Entry) { Jobs.erase(Entry.Job_); },
      },
      Change);
}

std::vector<Transition> stateAsTransitions(const JobMap &Jobs) {
  std::vector<Transition> Out;
  for (const auto &[Id, Job] : Jobs) {
    if (!Job.Journaled_)
      continue;
    Out.push_back(JobAccepted{*Job.Spec_});
    for (std::uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index)
      appendTaskTransition({Id, Index}, Job.Tasks_[Index], Out);
    if (Job.CancelledFor_)
      Out.push_back(JobCancelled{Id, *Job.CancelledFor_});
  }
  return Out;
}

bool allTasksEnded(const JobEntry &Job) {
  return std::all_of(
      Job.Tasks_.begin(), Job.Tasks_.end(),
      [](const TaskEntry &Task) { return Task.State_ == TaskState::Ended; });
}

} // namespace oleandergauge::detail
