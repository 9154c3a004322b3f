#ifndef OLEANDERGAUGE_BENCH_CELL_DRIVER_H
#define OLEANDERGAUGE_BENCH_CELL_DRIVER_H

/// Drives one Partition in virtual time without faults, against a table and
/// workers in memory, and counts what it sends.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "oleandergauge/oleandergauge.h"

namespace oleandergauge::bench {

/// What the partition sent and what became of it.
struct CellCounts {
  std::uint64_t TableWrites_ = 0;
  std::uint64_t TableReads_ = 0;
  std::uint64_t TableBytes_ = 0;
  std::uint64_t Exchanges_ = 0;
  std::uint64_t RenewedLeases_ = 0;
  std::uint64_t Starts_ = 0;
  std::uint64_t Replies_ = 0;
  std::uint64_t Refusals_ = 0;
  std::uint64_t Ended_ = 0;
  std::vector<std::int64_t> WaitsMicros_;
};

class CellDriver {
public:
  static constexpr Duration Step = std::chrono::milliseconds(10);
  static constexpr Duration TableDelay = std::chrono::milliseconds(4);
  static constexpr Duration WorkerDelay = std::chrono::milliseconds(1);

  CellDriver(std::size_t WorkerCount, std::size_t TeamCount)
      : Subject_(std::make_unique<Partition>(PartitionId("p0"), HostId("host"),
                                             "127.0.0.1:1")) {
    setUpWorkers(WorkerCount);
    setUpView(TeamCount);
    renewEvidence();
    feed(ConfigApplied{View_});
    feed(WorkersListed{Listed_});
  }

  TimePoint now() const { return Now_; }
  const CellCounts &counts() const { return Counts_; }
  void resetCounts() { Counts_ = CellCounts(); }
  Partition &partition() { return *Subject_; }

  /// Replaces the owner by a new process that has to recover.
  void replaceOwner() {
    Subject_ = std::make_unique<Partition>(PartitionId("p0"), HostId("next"),
                                           "127.0.0.1:2");
    Answers_.clear();
    renewEvidence();
    feed(ConfigApplied{View_});
    feed(WorkersListed{Listed_});
  }

  void submit(const JobSpec &Spec) { feed(Submitted{++LastToken_, Spec}); }

  void advance(Duration Span) {
    const TimePoint End = Now_ + Span;
    while (Now_ < End) {
      const TimePoint Next = Now_ + Step;
      deliverUntil(Next);
      Now_ = Next;
      renewEvidence();
      feed(Tick{});
    }
  }

private:
  struct RunningOnWorker {
    AttemptId Id_;
    TimePoint EndsAt_;
    Resources Usage_;
  };

  void setUpWorkers(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I) {
      WorkerInfo Info;
      Info.Id_ = WorkerId("w" + std::to_string(I));
      Info.Address_ = "127.0.0.1:9000";
      Info.Region_ = Region("r0");
      Info.Domain_ = FailureDomain("d" + std::to_string(I % 3));
      Info.Rack_ = Rack("k" + std::to_string(I / 8));
      Info.Capacity_ = {64000, 131072, 1, 16, 64};
      Listed_.push_back({Info, false});
    }
  }

  void setUpView(std::size_t TeamCount) {
    std::vector<Record> Records;
    for (std::size_t I = 0; I < TeamCount; ++I) {
      const std::string Team = "t" + std::to_string(I);
      Records.push_back({Team, 2, LimitRecord{100000}, "", 1});
      Records.push_back({Team, 2, ShareRecord{1.0}, "", 1});
    }
    Records.push_back({"p0", 2, PartitionRecord{Region("r0"), 0, 1}, "", 1});
    View_ = std::make_shared<const ConfigView>(1, Records);
  }

  void renewEvidence() {
    if (Now_ < NextEvidence_)
      return;
    NextEvidence_ = Now_ + std::chrono::milliseconds(500);
    feed(EvidenceChanged{Now_ + MaxEvidenceAge, TimePoint(), true, 0});
  }

  void feed(const PartitionEvent &Event) {
    for (const PartitionEffect &Effect : Subject_->handle(Now_, Event))
      std::visit([this](const auto &Sent) { run(Sent); }, Effect);
  }

  void answer(Duration Delay, PartitionEvent Event) {
    Answers_.emplace(Now_ + Delay, std::move(Event));
  }

  void deliverUntil(TimePoint Bound) {
    while (!Answers_.empty() && Answers_.begin()->first <= Bound) {
      Now_ = std::max(Now_, Answers_.begin()->first);
      const PartitionEvent Event = std::move(Answers_.begin()->second);
      Answers_.erase(Answers_.begin());
      feed(Event);
    }
  }

  void run(const SendTableRequest &Sent) {
    TableReply Reply = std::visit(
        [this](const auto &Request) { return apply(Request); }, Sent.Request_);
    answer(TableDelay, TableAnswered{Sent.Token_, std::move(Reply)});
  }

  TableReply apply(const Transaction &Change) {
    ++Counts_.TableWrites_;
    Conflicted Conflict;
    bool Holds = true;
    for (const Condition &Expected : Change.Conditions_) {
      const std::uint64_t Version = versionOf(Expected.Key_);
      Conflict.Rows_.push_back({Expected.Key_, "", Version});
      Holds = Holds && Version == Expected.Version_;
    }
    if (!Holds)
      return Conflict;
    Committed Done;
    for (const Write &Wanted : Change.Writes_) {
      Done.Versions_.push_back(++LastVersion_);
      if (!Wanted.Value_) {
        Rows_.erase(Wanted.Key_);
        continue;
      }
      Counts_.TableBytes_ += Wanted.Value_->size();
      Rows_[Wanted.Key_] = {Wanted.Key_, *Wanted.Value_, LastVersion_};
    }
    return Done;
  }

  TableReply apply(const ReadKeys &Read) {
    Rows Found;
    for (const std::string &Key : Read.Keys_) {
      ++Counts_.TableReads_;
      const auto Present = Rows_.find(Key);
      Found.Rows_.push_back(Present == Rows_.end() ? Row{Key, "", 0}
                                                   : Present->second);
    }
    return Found;
  }

  TableReply apply(const Scan &Read) {
    Rows Found;
    for (auto Next = Rows_.upper_bound(Read.After_); Next != Rows_.end();
         ++Next) {
      const bool Matches = Next->first.starts_with(Read.Prefix_);
      if (!Matches && Next->first > Read.Prefix_)
        break;
      if (!Matches || Found.Rows_.size() == Read.Limit_)
        continue;
      ++Counts_.TableReads_;
      Found.Rows_.push_back(Next->second);
    }
    return Found;
  }

  std::uint64_t versionOf(const std::string &Key) const {
    const auto Found = Rows_.find(Key);
    return Found == Rows_.end() ? 0 : Found->second.Version_;
  }

  void run(const StartOnWorker &Sent) {
    ++Counts_.Starts_;
    const AttemptId Id{Sent.Task_, Sent.Attempt_};
    if (Sent.Spec_->Class_ == WorkClass::Direct) {
      answer(WorkerDelay + Sent.Spec_->DeclaredRun_,
             CallAnswered{Sent.Task_, Sent.Attempt_, CommandOutcome::Started, 0,
                          "done"});
      return;
    }
    auto &Tasks = OnWorkers_[Sent.Worker_];
    Tasks[Id] = {Id, Now_ + Sent.Spec_->DeclaredRun_, Sent.Reserved_};
    answer(WorkerDelay,
           StartAnswered{Sent.Task_, Sent.Attempt_, CommandOutcome::Started});
  }

  void run(const ExchangeWithWorker &Sent) {
    ++Counts_.Exchanges_;
    Counts_.RenewedLeases_ += Sent.Renew_.size();
    WorkerReported Report{Sent.Worker_, Now_, {}, {}};
    auto &Tasks = OnWorkers_[Sent.Worker_];
    for (const AttemptId &Id : Sent.AcknowledgedEnds_)
      Tasks.erase(Id);
    for (const auto &[Id, Task] : Tasks) {
      if (Task.EndsAt_ <= Now_)
        Report.Finished_.push_back({Id.Task_, Id.Attempt_, 0, false, "done"});
      else
        Report.Running_.push_back({Id.Task_, Id.Attempt_, false, Task.Usage_});
    }
    answer(WorkerDelay, std::move(Report));
  }

  void run(const StopOnWorker &Sent) {
    OnWorkers_[Sent.Worker_].erase(Sent.Attempt_);
  }

  void run(const ReplyToCaller &Sent) {
    ++Counts_.Replies_;
    Counts_.Refusals_ += Sent.Answer_ ? 0 : 1;
  }

  void run(const MetricSample &Sent) {
    if (Sent.Name_ == "wait_us")
      Counts_.WaitsMicros_.push_back(Sent.Value_);
    if (Sent.Name_ == "run_us")
      ++Counts_.Ended_;
  }

  void run(const OwnershipChanged &) {}
  void run(const Drained &) {}

  TimePoint Now_ = TimePoint(std::chrono::seconds(1000));
  TimePoint NextEvidence_;
  std::unique_ptr<Partition> Subject_;
  std::shared_ptr<const ConfigView> View_;
  std::vector<ListedWorker> Listed_;
  std::multimap<TimePoint, PartitionEvent> Answers_;
  std::map<std::string, Row> Rows_;
  std::uint64_t LastVersion_ = 0;
  std::map<WorkerId, std::map<AttemptId, RunningOnWorker>> OnWorkers_;
  Token LastToken_ = 0;
  CellCounts Counts_;
};

} // namespace oleandergauge::bench

#endif // OLEANDERGAUGE_BENCH_CELL_DRIVER_H
