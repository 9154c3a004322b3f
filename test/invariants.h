#ifndef OLEANDERGAUGE_TEST_INVARIANTS_H
#define OLEANDERGAUGE_TEST_INVARIANTS_H

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "oleandergauge/partition.h"

namespace oleandergauge {

/// Checks the promises of docs/design.md, section 1, from the point of view of
/// an observer of all workers and callers. Does not depend on the scheduler.
class Invariants {
public:
  /// Longest time for which work may still start in a failure domain that was
  /// taken out: 3 s for the age of the evidence and 1 s for the delivery, plus
  /// 10% for the difference of the clocks.
  static constexpr Duration DomainOutDelay = std::chrono::milliseconds(4400);
  /// Longest time for which work may still start on a worker that leaves: the
  /// live list lags by up to 1 s, a host may pause within its lease, and a
  /// command is valid for 1 s and delivered within 1 s.
  static constexpr Duration WorkerLeavingDelay =
      std::chrono::milliseconds(6000);
  /// Time after which a lowered limit is in force and the excess tasks are
  /// stopped.
  static constexpr Duration LimitChangeDelay = std::chrono::milliseconds(8000);

  void noteStart(TimePoint Now, const StartOnWorker &Command,
                 const WorkerInfo &Worker) {
    const JobSpec &Spec = *Command.Spec_;
    const AttemptId Attempt{Command.Task_, Command.Attempt_};
    const std::string Text =
        Command.Task_.Job_.str() + "/" + std::to_string(Command.Task_.Index_) +
        "#" + std::to_string(Command.Attempt_) + " on " + Worker.Id_.str();
    Resources &Used = Used_[Worker.Id_];
    Used = Used + Command.Reserved_;
    require(Used.fitsIn(Worker.Capacity_), "P1 overfull worker: " + Text);
    require(Spec.Need_.fitsIn(Command.Reserved_), "P1 need: " + Text);
    std::set<AttemptId> &Running = RunningOf_[Command.Task_];
    Running.insert(Attempt);
    // A lost idempotent call is dispatched again immediately (D2).
    const bool Call = Spec.Class_ == WorkClass::Direct;
    require(Running.size() == 1 || (Call && Spec.Idempotent_),
            "P2 two places: " + Text);
    require(++RunningOfTeam_[Spec.Team_] <= highestLimit(Now, Spec.Team_) ||
                (Call && Running.size() > 1),
            "P4 above the limit: " + Text);
    const auto OutSince = OutSince_.find(Worker.Domain_);
    require(OutSince == OutSince_.end() ||
                Now - OutSince->second <= DomainOutDelay,
            "P5 domain out: " + Text);
    const auto LeavingSince = LeavingSince_.find(Worker.Id_);
    require(LeavingSince == LeavingSince_.end() ||
                Now - LeavingSince->second <= WorkerLeavingDelay,
            "P9 worker leaving: " + Text);
    Started_.insert(Command.Task_);
    require(NotRepeatable_.insert(Command.Task_).second || Spec.Idempotent_,
            "P8 second run: " + Text);
    require(!OpenSubmissions_[Spec.Id_].empty(), "P7 refused: " + Text);
  }

  void noteEnd(const JobSpec &Spec, const AttemptId &Attempt,
               const Resources &Reserved, const WorkerId &Worker) {
    RunningOf_[Attempt.Task_].erase(Attempt);
    --RunningOfTeam_[Spec.Team_];
    Used_[Worker] = Used_[Worker] - Reserved;
  }

  /// Records a checkpoint. Another attempt continues from it and is allowed
  /// even if the task is not idempotent.
  void noteCheckpoint(const TaskId &Task) { NotRepeatable_.erase(Task); }

  void noteSubmitted(Token Sent, const JobId &Job) {
    JobOfToken_[Sent] = Job;
    OpenSubmissions_[Job].insert(Sent);
  }

  void noteQueried(Token Sent, const JobId &Job) { JobOfToken_[Sent] = Job; }

  /// Checks the answer to a submission or a query.
  void noteReply(const ReplyToCaller &Reply) {
    const auto Found = JobOfToken_.find(Reply.Token_);
    if (Found == JobOfToken_.end())
      return;
    const JobId &Job = Found->second;
    require(Answered_.insert(Reply.Token_).second,
            "P6 second answer: " + Job.str());
    if (Reply.Answer_) {
      noteStatus(*Reply.Answer_, Job);
      Accepted_.insert(Job);
      return;
    }
    if (Reply.Answer_.error().Verdict_ != Verdict::NotRun)
      return;
    std::set<Token> &Open = OpenSubmissions_[Job];
    Open.erase(Reply.Token_);
    require(!Open.empty() || !Started_.contains({Job, 0}),
            "P7 ran although not_run was said: " + Job.str());
  }

  void noteStatus(const JobStatus &Status, const JobId &Job) {
    require(Status.Job_ == Job, "P6 answer of another job: " + Job.str());
    for (const TaskStatus &Task : Status.Tasks_)
      require(Task.State_ != TaskState::Ended ||
                  Task.Verdict_ != Verdict::NotRun ||
                  !Started_.contains(Task.Task_),
              "P7 ran although its state says not_run: " + Job.str());
  }

  void noteLimit(TimePoint Now, const TeamId &Team, std::uint32_t Limit) {
    Limits_[Team].emplace_back(Now, Limit);
  }
  void noteDomain(TimePoint Now, const FailureDomain &Domain, bool Out) {
    if (Out)
      OutSince_.try_emplace(Domain, Now);
    else
      OutSince_.erase(Domain);
  }
  void noteLeaving(TimePoint Now, const WorkerId &Worker, bool Leaving) {
    if (Leaving)
      LeavingSince_.try_emplace(Worker, Now);
    else
      LeavingSince_.erase(Worker);
  }

  const std::vector<std::string> &violations() const { return Violations_; }
  const std::set<JobId> &accepted() const { return Accepted_; }
  std::size_t starts() const { return Started_.size(); }
  std::uint32_t runningOf(const TeamId &Team) { return RunningOfTeam_[Team]; }

private:
  void require(bool Holds, const std::string &Violation) {
    if (!Holds)
      Violations_.push_back(Violation);
  }

  /// Returns the highest limit of the team that may still be in force on some
  /// host.
  std::uint32_t highestLimit(TimePoint Now, const TeamId &Team) {
    std::uint32_t Highest = 0;
    const auto &History = Limits_[Team];
    for (std::size_t Index = 0; Index < History.size(); ++Index) {
      const bool Superseded = Index + 1 < History.size() &&
                              Now - History[Index + 1].first > LimitChangeDelay;
      Highest = Superseded ? 0 : std::max(Highest, History[Index].second);
    }
    return Highest;
  }

  std::vector<std::string> Violations_;
  std::map<WorkerId, Resources> Used_;
  std::map<TaskId, std::set<AttemptId>> RunningOf_;
  std::map<TeamId, std::uint32_t> RunningOfTeam_;
  std::map<TeamId, std::vector<std::pair<TimePoint, std::uint32_t>>> Limits_;
  std::map<FailureDomain, TimePoint> OutSince_;
  std::map<WorkerId, TimePoint> LeavingSince_;
  std::set<TaskId> Started_;
  /// Tasks that were started and not checkpointed since.
  std::set<TaskId> NotRepeatable_;
  std::map<Token, JobId> JobOfToken_;
  std::set<Token> Answered_;
  std::set<JobId> Accepted_;
  /// Submissions of each job that were not refused with not_run.
  std::map<JobId, std::set<Token>> OpenSubmissions_;
};

} // namespace oleandergauge

#endif // OLEANDERGAUGE_TEST_INVARIANTS_H
