#ifndef OLEANDERGAUGE_BENCH_POLICIES_H
#define OLEANDERGAUGE_BENCH_POLICIES_H

#include <array>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <unordered_map>
#include <variant>

#include "oleandergauge/estimator.h"
#include "oleandergauge/health.h"
#include "oleandergauge/scheduler.h"

namespace oleandergauge::bench {

/// The library's Scheduler with learned sizes and the quarantine of workers,
/// joined as a partition joins them.
class LibraryPolicy {
public:
  void addTeam(const TeamId &Team, double Weight) {
    S_.setTeam(Team, Weight, Unlimited);
  }
  void addWorker(const WorkerInfo &Worker) { S_.upsertWorker(Worker); }
  void setOpen(const WorkerId &Worker, bool Open) {
    if (Open)
      Out_.erase(Worker);
    else
      Out_.insert(Worker);
    S_.setOpen(Worker, Open && !Health_.isQuarantined(Worker));
  }
  void enqueue(WorkItem Item) {
    const QueueId Queue = queueOf(Item);
    Item.Need_ = E_.expectedNeed(Item.Team_, Queue, Item.Need_);
    Item.ExpectedRun_ = E_.expectedRun(Item.Team_, Queue, Item.ExpectedRun_);
    S_.enqueue(Item);
  }
  bool dequeue(const TaskId &First) { return S_.dequeue(First); }
  std::vector<PlacedTask> decide(TimePoint Now) {
    for (const WorkerId &Worker : Health_.dueProbes(Now))
      if (!Out_.contains(Worker))
        S_.openForProbe(Worker);
    return S_.decide(Now, MaxPlacements);
  }
  std::vector<Preemption> preempt(TimePoint Now) {
    return S_.choosePreemptions(Now);
  }
  void noteUsage(const TaskId &Task, const Resources &Usage) {
    S_.noteUsage(Task, Usage);
  }
  void release(const TaskId &Task) { S_.release(Task); }
  void noteEnd(const WorkItem &Item, const WorkerId &Worker, TimePoint Now,
               Duration Run, const Resources &Usage) {
    E_.noteEnd(Item.Team_, queueOf(Item), Run, Usage, Item.Need_);
    const bool Closed = Health_.isQuarantined(Worker);
    Health_.noteSuccess(Worker, Now);
    if (Closed && !Health_.isQuarantined(Worker))
      S_.setOpen(Worker, !Out_.contains(Worker));
  }
  void noteFailure(const WorkerId &Worker, TimePoint Now) {
    Health_.noteFailure(Worker, Now);
    if (Health_.isQuarantined(Worker))
      S_.setOpen(Worker, false);
  }

private:
  static constexpr std::uint32_t Unlimited = 1000000;
  static constexpr std::size_t MaxPlacements = 1000;

  static QueueId queueOf(const WorkItem &Item) {
    return QueueId(std::string(toString(Item.Class_)));
  }

  Scheduler S_;
  Estimator E_;
  WorkerHealth Health_;
  std::set<WorkerId> Out_;
};

/// Takes the first worker on which the task fits.
struct FirstFit {};
/// Draws two workers and takes the one with more free processor.
struct TwoRandom {
  std::mt19937_64 Random_{7};
};

/// A queue in order of arrival, or a queue for each priority band, in which
/// the first items are looked at; reserves the declared sizes.
class SimplePolicy {
public:
  SimplePolicy(std::variant<FirstFit, TwoRandom> Choice, bool Bands)
      : Choice_(std::move(Choice)), Bands_(Bands) {}

  void addTeam(const TeamId &, double) {}
  void addWorker(const WorkerInfo &Worker) {
    Index_[Worker.Id_] = Workers_.size();
    Workers_.push_back({Worker.Id_, Worker.Capacity_, true});
  }
  void setOpen(const WorkerId &Worker, bool Open) {
    Workers_[Index_.at(Worker)].Open_ = Open;
  }
  void enqueue(const WorkItem &Item) { Queues_[bandOf(Item)].push_back(Item); }
  bool dequeue(const TaskId &First) {
    for (auto &Queue : Queues_)
      if (std::erase_if(Queue, [&First](const WorkItem &Item) {
            return Item.First_ == First;
          }) > 0)
        return true;
    return false;
  }
  std::vector<PlacedTask> decide(TimePoint) {
    std::vector<PlacedTask> Placed;
    for (auto &Queue : Queues_)
      serve(Queue, Placed);
    return Placed;
  }
  std::vector<Preemption> preempt(TimePoint) { return {}; }
  void noteUsage(const TaskId &, const Resources &) {}
  void release(const TaskId &Task) {
    const auto Found = Running_.find(Task);
    const auto &[Worker, Reserved] = Found->second;
    Workers_[Worker].Free_ = Workers_[Worker].Free_ + Reserved;
    Running_.erase(Found);
  }
  void noteEnd(const WorkItem &, const WorkerId &, TimePoint, Duration,
               const Resources &) {}
  void noteFailure(const WorkerId &, TimePoint) {}

private:
  /// Items of a queue that are tried in one decision.
  static constexpr std::size_t LookAhead = 100;

  struct SimpleWorker {
    WorkerId Id_;
    Resources Free_;
    bool Open_ = true;
  };

  std::size_t bandOf(const WorkItem &Item) const {
    if (!Bands_)
      return 0;
    if (Item.Class_ == WorkClass::Direct)
      return Item.Urgent_ ? 0 : 1;
    if (Item.Urgent_)
      return 2;
    return Item.Class_ == WorkClass::Service ? 3 : 4;
  }

  void serve(std::deque<WorkItem> &Queue, std::vector<PlacedTask> &Placed) {
    for (std::size_t I = 0; I < std::min(Queue.size(), LookAhead);) {
      if (tryPlace(Queue[I], Placed))
        Queue.erase(Queue.begin() + static_cast<std::ptrdiff_t>(I));
      else
        ++I;
    }
  }

  bool tryPlace(const WorkItem &Item, std::vector<PlacedTask> &Placed) {
    std::vector<std::size_t> Chosen;
    while (Chosen.size() < Item.Count_) {
      const std::size_t W =
          std::visit([&](auto &C) { return choose(C, Item); }, Choice_);
      if (W == Workers_.size())
        break;
      Workers_[W].Free_ = Workers_[W].Free_ - Item.Need_;
      Chosen.push_back(W);
    }
    if (Chosen.size() < Item.Count_) {
      for (const std::size_t W : Chosen)
        Workers_[W].Free_ = Workers_[W].Free_ + Item.Need_;
      return false;
    }
    TaskId Id = Item.First_;
    for (const std::size_t W : Chosen) {
      Running_[Id] = {W, Item.Need_};
      Placed.push_back({Id, Workers_[W].Id_, Item.Need_});
      ++Id.Index_;
    }
    return true;
  }

  bool fits(std::size_t W, const WorkItem &Item) const {
    return Workers_[W].Open_ && Item.Need_.fitsIn(Workers_[W].Free_);
  }
  std::size_t choose(FirstFit &, const WorkItem &Item) const {
    std::size_t W = 0;
    while (W < Workers_.size() && !fits(W, Item))
      ++W;
    return W;
  }
  std::size_t choose(TwoRandom &Draw, const WorkItem &Item) const {
    const std::size_t A = Draw.Random_() % Workers_.size();
    const std::size_t B = Draw.Random_() % Workers_.size();
    if (!fits(A, Item))
      return fits(B, Item) ? B : Workers_.size();
    if (!fits(B, Item))
      return A;
    const bool First =
        Workers_[A].Free_.CpuMilli_ > Workers_[B].Free_.CpuMilli_;
    return First ? A : B;
  }

  std::variant<FirstFit, TwoRandom> Choice_;
  bool Bands_ = false;
  std::array<std::deque<WorkItem>, 5> Queues_;
  std::vector<SimpleWorker> Workers_;
  std::map<WorkerId, std::size_t> Index_;
  std::unordered_map<TaskId, std::pair<std::size_t, Resources>> Running_;
};

using Policy = std::variant<LibraryPolicy, SimplePolicy>;

} // namespace oleandergauge::bench

#endif // OLEANDERGAUGE_BENCH_POLICIES_H
