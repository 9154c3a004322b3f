#ifndef OLEANDERGAUGE_BENCH_SIMULATION_H
#define OLEANDERGAUGE_BENCH_SIMULATION_H

#include <algorithm>
#include <map>
#include <queue>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "figures.h"
#include "policies.h"
#include "workload.h"

namespace oleandergauge::bench {

/// What a run showed.
struct Outcome {
  std::map<std::string, std::vector<double>> Waits_; ///< Seconds, by class.
  double End_ = 0.0;             ///< When the last task ended.
  double LowerBound_ = 0.0;      ///< Of End_, from the work and the capacity.
  double LargestDistance_ = 0.0; ///< From the fair share, as a part of it.
  double MeanDistance_ = 0.0;
  double UseWhileWaiting_ = 0.0; ///< Of the most used amount.
  double OutageWork_ = 0.0;      ///< As a part of what was left could do.
  double Work_ = 0.0;     ///< Useful work as a part of capacity, after warm-up.
  double Overload_ = 0.0; ///< Part of worker time with use above capacity.
  int FailedStarts_ = 0;
  int Preemptions_ = 0;
};

/// Runs one scenario under one policy in virtual time. Tasks on a worker whose
/// real use is above its capacity all slow down in proportion.
class Simulation {
public:
  Simulation(const Scenario &S, Policy P) : S_(S), P_(std::move(P)) {}

  Outcome run() {
    prepare();
    while (!Events_.empty()) {
      const Event E = Events_.top();
      if (!S_.UntilEmpty_ && E.At_ > S_.Length_)
        break;
      Events_.pop();
      Now_ = E.At_;
      apply(E);
      if (S_.UntilEmpty_ && Ended_ == Tasks_)
        break;
    }
    finish();
    return std::move(Out_);
  }

private:
  enum class Type { Arrive, End, Stop, Leave, Return, Wave, Tick };

  struct Event {
    double At_ = 0.0;
    std::uint64_t Order_ = 0;
    Type Type_ = Type::Tick;
    std::size_t Arrival_ = 0;
    TaskId Task_;
    std::uint64_t Version_ = 0;
    friend bool operator<(const Event &A, const Event &B) {
      return std::tie(B.At_, B.Order_) < std::tie(A.At_, A.Order_);
    }
  };
  struct Live {
    std::size_t Arrival_ = 0;
    int Worker_ = 0;
    double Left_ = 0.0; ///< Seconds of work at full speed.
    double Rate_ = 1.0;
    double Updated_ = 0.0;
    double Started_ = 0.0;
    std::uint64_t Version_ = 0;
    bool Fails_ = false;
  };
  struct Host {
    WorkerInfo Info_;
    bool Bad_ = false;
    Resources Used_; ///< Real use.
    std::vector<TaskId> Tasks_;
  };

  static constexpr double TickInterval = 0.1;
  /// Ticks between two usage reports of all workers.
  static constexpr std::uint64_t ReportTicks = 10;
  static constexpr double ShareWindow = 60.0;
  static constexpr double FailAfter = 1.0;
  static constexpr double CheckpointTime = 1.0;

  static double part(std::int64_t Used, std::int64_t All) {
    return static_cast<double>(Used) / static_cast<double>(All);
  }

  template <typename F> auto policy(F &&Call) {
    return std::visit(std::forward<F>(Call), P_);
  }

  void push(Event E) {
    E.Order_ = ++Order_;
    Events_.push(E);
  }

  void prepare() {
    for (int I = 0; I < WorkerCount; ++I) {
      Host H;
      H.Info_ = workerInfo(I);
      H.Bad_ = S_.BadWorkers_ && I % 17 == 5;
      Total_ = Total_ + H.Info_.Capacity_;
      IndexOf_[H.Info_.Id_] = I;
      policy([&](auto &P) { P.addWorker(H.Info_); });
      Hosts_.push_back(std::move(H));
    }
    for (const auto &Team : S_.Teams_)
      policy([&](auto &P) { P.addTeam(TeamId(Team.first), Team.second); });
    for (std::size_t I = 0; I < S_.Arrivals_.size(); ++I) {
      push({S_.Arrivals_[I].At_, 0, Type::Arrive, I, {}, 0});
      Tasks_ += S_.Arrivals_[I].Item_.Count_;
    }
    for (const auto &[At, Kind] : {std::pair{S_.LeaveAt_, Type::Leave},
                                   {S_.ReturnAt_, Type::Return},
                                   {S_.WaveAt_, Type::Wave}})
      if (At >= 0)
        push({At, 0, Kind, 0, {}, 0});
    push({TickInterval, 0, Type::Tick, 0, {}, 0});
  }

  void apply(const Event &E) {
    switch (E.Type_) {
    case Type::Arrive:
      submit(E.Arrival_, S_.Arrivals_[E.Arrival_].Item_);
      // All of a backlog arrives before the first decision.
      if (!Events_.empty() && Events_.top().Type_ == Type::Arrive &&
          Events_.top().At_ == Now_)
        return;
      break;
    case Type::End:
      if (!current(E))
        return;
      end(E.Task_);
      break;
    case Type::Stop:
      if (!Running_.contains(E.Task_))
        return;
      putBack(E.Task_, true);
      break;
    case Type::Leave:
      leave();
      break;
    case Type::Return:
      forDomain([this](Host &H) { setOpen(H, true); });
      break;
    case Type::Wave:
      cancelWave();
      break;
    case Type::Tick:
      tick();
      break;
    }
    decide();
  }

  bool current(const Event &E) const {
    const auto Found = Running_.find(E.Task_);
    return Found != Running_.end() && Found->second.Version_ == E.Version_;
  }

  void submit(std::size_t Arrival, const WorkItem &Item) {
    Waiting_[Item.First_] = {Arrival, Item, Now_};
    policy([&](auto &P) { P.enqueue(Item); });
  }

  void decide() {
    for (const PlacedTask &Placed :
         policy([&](auto &P) { return P.decide(at(Now_)); }))
      start(Placed);
  }

  void start(const PlacedTask &Placed) {
    const TaskId First = itemOf(Placed.Task_);
    const auto &W = Waiting_.at(First);
    const Arrival &A = S_.Arrivals_[W.Arrival_];
    Live L;
    L.Arrival_ = W.Arrival_;
    L.Worker_ = IndexOf_.at(Placed.Worker_);
    Host &H = Hosts_[static_cast<std::size_t>(L.Worker_)];
    L.Fails_ = H.Bad_;
    // The wait ends with the first start that does not fail at once.
    if (!L.Fails_ && Started_.insert(Placed.Task_).second &&
        A.At_ >= S_.WarmUp_)
      Out_.Waits_[classOf(A)].push_back(Now_ - A.At_);
    const auto Saved = Left_.find(Placed.Task_);
    L.Left_ = Saved == Left_.end() ? A.Run_ : Saved->second;
    L.Updated_ = L.Started_ = Now_;
    Running_.emplace(Placed.Task_, L);
    H.Tasks_.push_back(Placed.Task_);
    H.Used_ = H.Used_ + A.Usage_;
    rerate(H);
    if (++W.Placed_ == W.Item_.Count_)
      Waiting_.erase(First);
  }

  /// Brings the work done on a worker up to date and sets its new speed.
  void rerate(Host &H) {
    const double Load =
        std::max({1.0, part(H.Used_.CpuMilli_, H.Info_.Capacity_.CpuMilli_),
                  part(H.Used_.MemoryMib_, H.Info_.Capacity_.MemoryMib_)});
    for (const TaskId &Id : H.Tasks_) {
      Live &L = Running_.at(Id);
      progress(L);
      L.Rate_ = 1.0 / Load;
      const double EndAt =
          L.Fails_ ? L.Started_ + FailAfter : Now_ + L.Left_ / L.Rate_;
      push({EndAt, 0, Type::End, 0, Id, ++L.Version_});
    }
  }

  void progress(Live &L) {
    const double Done = L.Fails_ ? 0.0 : (Now_ - L.Updated_) * L.Rate_;
    L.Left_ -= Done;
    L.Updated_ = Now_;
    credit(L, Done);
  }

  /// Counts work done now, or, with a negative amount, lost again.
  void credit(const Live &L, double Done) {
    const Resources &Use = S_.Arrivals_[L.Arrival_].Usage_;
    const bool Outage = Now_ >= S_.LeaveAt_ && Now_ < S_.ReturnAt_;
    for (std::vector<double> *To : {&Work_, &OutageWork_}) {
      if (To == &OutageWork_ ? !Outage : Now_ < S_.WarmUp_)
        continue;
      (*To)[0] += Done * static_cast<double>(Use.CpuMilli_);
      (*To)[1] += Done * static_cast<double>(Use.MemoryMib_);
      (*To)[2] += Done * Use.Slots_;
    }
  }

  /// Takes a task off its worker.
  Live takeOff(const TaskId &Id) {
    Live L = Running_.at(Id);
    Host &H = Hosts_[static_cast<std::size_t>(L.Worker_)];
    progress(L);
    std::erase(H.Tasks_, Id);
    Running_.erase(Id);
    H.Used_ = H.Used_ - S_.Arrivals_[L.Arrival_].Usage_;
    rerate(H);
    policy([&](auto &P) { P.release(Id); });
    return L;
  }

  void end(const TaskId &Id) {
    const Live L = takeOff(Id);
    const Arrival &A = S_.Arrivals_[L.Arrival_];
    const WorkerId &On = Hosts_[static_cast<std::size_t>(L.Worker_)].Info_.Id_;
    if (L.Fails_) {
      ++Out_.FailedStarts_;
      policy([&](auto &P) { P.noteFailure(On, at(Now_)); });
      requeue(Id, L);
      return;
    }
    const Duration Run(std::llround((Now_ - L.Started_) * 1e6));
    policy([&](auto &P) { P.noteEnd(A.Item_, On, at(Now_), Run, A.Usage_); });
    ++Ended_;
    Out_.End_ = Now_;
  }

  /// A task goes back in line, alone where it was one of a gang.
  void putBack(const TaskId &Id, bool Checkpointed) {
    const Live L = takeOff(Id);
    if (Checkpointed)
      Left_[Id] = L.Left_;
    else
      credit(L, L.Left_ - S_.Arrivals_[L.Arrival_].Run_);
    requeue(Id, L);
  }

  void requeue(const TaskId &Id, const Live &L) {
    WorkItem Item = S_.Arrivals_[L.Arrival_].Item_;
    Item.First_ = Id;
    Item.Count_ = 1;
    submit(L.Arrival_, Item);
  }

  template <typename F> void forDomain(F &&Call) {
    for (Host &H : Hosts_)
      if (H.Info_.Domain_.str() == "d0")
        Call(H);
  }
  void setOpen(const Host &H, bool Open) {
    policy([&](auto &P) { P.setOpen(H.Info_.Id_, Open); });
  }
  void leave() {
    forDomain([this](Host &H) { setOpen(H, false); });
    forDomain([this](Host &H) {
      for (const TaskId &Id : std::vector<TaskId>(H.Tasks_))
        putBack(Id, false);
      CapacityOut_ = CapacityOut_ + H.Info_.Capacity_;
    });
  }

  void cancelWave() {
    for (auto It = Waiting_.begin(); It != Waiting_.end();) {
      const bool Cancelled =
          S_.Arrivals_[It->second.Arrival_].Wave_ &&
          policy([&](auto &P) { return P.dequeue(It->first); });
      It = Cancelled ? Waiting_.erase(It) : std::next(It);
    }
  }

  void tick() {
    push({Now_ + TickInterval, 0, Type::Tick, 0, {}, 0});
    for (const Preemption &Victim :
         policy([&](auto &P) { return P.preempt(at(Now_)); })) {
      ++Out_.Preemptions_;
      push({Now_ + CheckpointTime, 0, Type::Stop, 0, Victim.Task_, 0});
    }
    if (++Ticks_ % ReportTicks != 0)
      return;
    for (const auto &Task : Running_)
      policy([&](auto &P) {
        P.noteUsage(Task.first, S_.Arrivals_[Task.second.Arrival_].Usage_);
      });
    for (const Host &H : Hosts_) {
      ++HostSamples_;
      Overloads_ += H.Used_.fitsIn(H.Info_.Capacity_) ? 0 : 1;
    }
    sampleShares();
    sampleUse();
  }

  /// Use of the most used amount, as long as work waits.
  void sampleUse() {
    if (Waiting_.empty() || Now_ < S_.WarmUp_)
      return;
    Resources Used;
    for (const Host &H : Hosts_)
      Used = Used + H.Used_;
    Uses_ += std::max({part(Used.CpuMilli_, Total_.CpuMilli_),
                       part(Used.MemoryMib_, Total_.MemoryMib_),
                       part(Used.Slots_, Total_.Slots_)});
    ++UseSamples_;
  }

  void sampleShares() {
    if (Now_ < S_.WarmUp_)
      return;
    std::map<std::string, Resources> Held;
    for (const auto &[Id, L] : Running_) {
      const Arrival &A = S_.Arrivals_[L.Arrival_];
      Resources &Of = Held[A.Item_.Team_.str()];
      Of = Of + componentMax(A.Item_.Need_, A.Usage_);
    }
    for (const auto &[Team, Weight] : S_.Teams_) {
      const Resources &Of = Held[Team];
      WindowShares_[Team] += std::max({part(Of.CpuMilli_, Total_.CpuMilli_),
                                       part(Of.MemoryMib_, Total_.MemoryMib_),
                                       part(Of.Slots_, Total_.Slots_)}) /
                             Weight;
    }
    if (++Samples_ % static_cast<std::uint64_t>(ShareWindow) == 0)
      closeWindow();
  }

  void closeWindow() {
    double Sum = 0.0;
    for (const auto &[Unused, Share] : WindowShares_)
      Sum += Share;
    const double Mean = Sum / static_cast<double>(S_.Teams_.size());
    for (const auto &[Unused, Share] : WindowShares_) {
      const double Distance = Mean > 0 ? std::abs(Share - Mean) / Mean : 0.0;
      Out_.LargestDistance_ = std::max(Out_.LargestDistance_, Distance);
      DistanceSum_ += Distance;
      ++Distances_;
    }
    WindowShares_.clear();
  }

  void finish() {
    for (auto &[Id, L] : Running_)
      progress(L);
    for (const auto &[Id, W] : Waiting_) {
      const Arrival &A = S_.Arrivals_[W.Arrival_];
      // What still waits counts with its time so far.
      if (A.At_ >= S_.WarmUp_ && !Started_.contains(Id))
        Out_.Waits_[classOf(A)].push_back(Now_ - A.At_);
    }
    Out_.MeanDistance_ =
        Distances_ == 0 ? 0.0 : DistanceSum_ / static_cast<double>(Distances_);
    const double Measured = (S_.UntilEmpty_ ? Out_.End_ : Now_) - S_.WarmUp_;
    Out_.Work_ = partOf(Work_, Total_, Measured);
    Out_.OutageWork_ =
        partOf(OutageWork_, Total_ - CapacityOut_, S_.ReturnAt_ - S_.LeaveAt_);
    Out_.LowerBound_ = lowerBound();
    Out_.UseWhileWaiting_ =
        Uses_ / static_cast<double>(std::max<std::uint64_t>(UseSamples_, 1));
    Out_.Overload_ =
        static_cast<double>(Overloads_) /
        static_cast<double>(std::max<std::uint64_t>(HostSamples_, 1));
  }

  /// The largest part of an amount that was in useful use.
  static double partOf(const std::vector<double> &Work, const Resources &All,
                       double Time) {
    const double Cpu = Work[0] / static_cast<double>(All.CpuMilli_);
    const double Memory = Work[1] / static_cast<double>(All.MemoryMib_);
    const double Slots = Work[2] / All.Slots_;
    return std::max({Cpu, Memory, Slots}) / Time;
  }

  double lowerBound() const {
    std::vector<double> All(3, 0.0);
    double Longest = 0.0;
    for (const Arrival &A : S_.Arrivals_) {
      const double Work = A.Run_ * A.Item_.Count_;
      All[0] += Work * static_cast<double>(A.Usage_.CpuMilli_);
      All[1] += Work * static_cast<double>(A.Usage_.MemoryMib_);
      All[2] += Work * A.Usage_.Slots_;
      Longest = std::max(Longest, A.Run_);
    }
    return std::max(partOf(All, Total_, 1.0), Longest);
  }

  TaskId itemOf(const TaskId &Id) const {
    return Waiting_.contains(Id) ? Id : TaskId{Id.Job_, 0};
  }
  static std::string classOf(const Arrival &A) {
    if (A.Item_.Urgent_)
      return "urgent";
    if (A.Item_.Class_ != WorkClass::Batch)
      return std::string(toString(A.Item_.Class_));
    return "batch_" + A.Item_.Team_.str();
  }

  struct WaitingItem {
    std::size_t Arrival_ = 0;
    WorkItem Item_;
    double Since_ = 0.0;
    mutable std::uint32_t Placed_ = 0;
  };

  const Scenario &S_;
  Policy P_;
  Outcome Out_;
  double Now_ = 0.0;
  std::uint64_t Order_ = 0;
  std::uint64_t Ticks_ = 0;
  std::priority_queue<Event> Events_;
  std::vector<Host> Hosts_;
  std::map<WorkerId, int> IndexOf_;
  std::unordered_map<TaskId, WaitingItem> Waiting_;
  std::map<TaskId, Live> Running_;
  std::unordered_set<TaskId> Started_;      ///< On a worker that does not fail.
  std::unordered_map<TaskId, double> Left_; ///< Of checkpointed tasks.
  Resources Total_;
  Resources CapacityOut_; ///< Capacity of the failure domain that left.
  std::vector<double> Work_ = std::vector<double>(3, 0.0);
  std::vector<double> OutageWork_ = std::vector<double>(3, 0.0);
  std::uint64_t Tasks_ = 0;
  std::uint64_t Ended_ = 0;
  std::map<std::string, double> WindowShares_;
  std::uint64_t Samples_ = 0;
  std::uint64_t HostSamples_ = 0;
  double Uses_ = 0.0;
  std::uint64_t UseSamples_ = 0;
  std::uint64_t Overloads_ = 0;
  double DistanceSum_ = 0.0;
  std::uint64_t Distances_ = 0;
};

} // namespace oleandergauge::bench

#endif // OLEANDERGAUGE_BENCH_SIMULATION_H
