#ifndef OLEANDERGAUGE_TEST_CELL_FAKE_ORDERS_H
#define OLEANDERGAUGE_TEST_CELL_FAKE_ORDERS_H

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <tuple>

#include "fake_advice.h"
#include "fake_fleet.h"
#include "task_checks.h"

namespace oleandergauge::cell::test {

/// Carries the owner's orders to the fake workers, with faults drawn at random,
/// and lets these carry them out by the rules of the protocol.
class FakeOrders {
public:
  /// Maximum time in milliseconds that a worker's lease reaches into the
  /// future.
  static constexpr Millis MaxLease = 6000;

  FakeOrders(SimulationCore &Core, FakeFleet &Fleet, FakeAdvice &Advice,
             TaskChecks &Checks)
      : Core_(Core), Fleet_(Fleet), Advice_(Advice), Checks_(Checks) {}

  /// Delivers an order, or queues it where the connections to the worker are
  /// limited, and tells the owner its outcome.
  template <typename Order> void send(const Order &Each) {
    Connections &Target = connectionsTo(Each.Worker_.Id_);
    if (Core_.OrderConnections_ == 0 ||
        Target.Busy_ < Core_.OrderConnections_) {
      ++Target.Busy_;
      deliver(Each);
      return;
    }
    Target.Waiting_.push_back([this, Each] {
      if (!Core_.cell().maySend(Each.Token_)) {
        Core_.scheduleForOwner(0, [this, Token = Each.Token_] {
          tellOwner({Token, OrderResult::NotSent, 0});
        });
        return false;
      }
      deliver(Each);
      return true;
    });
  }

  void sendPace(const SendPace &Each) {
    Core_.Paces_[Each.Task_] = Each.Percent_;
    Core_.scheduleForOwner(2, [this, Each] {
      tellOwner({Each.Token_, OrderResult::Done,
                 Fleet_.find(Each.Worker_.Id_)->clock(Core_.now())});
    });
  }

private:
  /// Time in milliseconds after which an unanswered order has an outcome.
  static constexpr Millis AnswerTimeout = 350;
  static constexpr Millis MaxStopTime = 200;

  /// The present owner's connections to a worker.
  struct Connections {
    int OwnerGeneration_ = 0;
    std::size_t Busy_ = 0;
    /// Orders that wait for a connection. Each returns whether it was sent.
    std::deque<std::function<bool()>> Waiting_;
  };

  Connections &connectionsTo(const std::string &Worker) {
    Connections &Out = Connections_[Worker];
    if (Out.OwnerGeneration_ != Core_.ownerGeneration())
      Out = {Core_.ownerGeneration(), 0, {}};
    return Out;
  }

  void tellOwner(const OrderOutcome &Outcome) {
    Core_.cell().handle(Core_.now(), Outcome);
    Core_.processEffects();
  }

  /// Sends the next orders where connections are free.
  void sendWaiting(const std::string &Worker) {
    Connections &Target = connectionsTo(Worker);
    while (!Target.Waiting_.empty() && Target.Busy_ < Core_.OrderConnections_) {
      const std::function<bool()> Send = std::move(Target.Waiting_.front());
      Target.Waiting_.pop_front();
      if (Send())
        ++Target.Busy_;
    }
  }

  template <typename Order> void deliver(const Order &Each) {
    auto Answer = [this, Worker = Each.Worker_.Id_,
                   Generation =
                       Core_.ownerGeneration()](const OrderOutcome &Outcome) {
      if (Generation != Core_.ownerGeneration())
        return;
      Core_.scheduleForOwner(0, [this, Worker, Outcome] {
        --connectionsTo(Worker).Busy_;
        tellOwner(Outcome);
        sendWaiting(Worker);
      });
    };
    const OrderOutcome None{Each.Token_, OrderResult::NoAnswer, 0};
    if (Fleet_.find(Each.Worker_.Id_)->Disconnected_) {
      Core_.schedule(AnswerTimeout, [Answer, None] { Answer(None); });
    } else if (Core_.drawChance(Core_.Faults_.LateOrder_)) {
      Core_.schedule(AnswerTimeout, [Answer, None] { Answer(None); });
      // The worker holds the order, so that it ends with its incarnation.
      const Millis Holder = Fleet_.find(Each.Worker_.Id_)->Incarnation_;
      Core_.schedule(Core_.drawBetween(2000, 8000), [this, Each, Holder] {
        if (Fleet_.find(Each.Worker_.Id_)->Incarnation_ == Holder)
          execute(Each);
      });
    } else if (Core_.drawChance(Core_.Faults_.LostAnswer_)) {
      Core_.schedule(Core_.drawBetween(1, 3), [this, Each] { execute(Each); });
      Core_.schedule(AnswerTimeout, [Answer, None] { Answer(None); });
    } else {
      Core_.schedule(Core_.drawBetween(1, 3), [this, Each, Answer] {
        const OrderOutcome Outcome = execute(Each);
        Core_.schedule(Core_.drawBetween(1, 2),
                       [Answer, Outcome] { Answer(Outcome); });
      });
    }
  }

  OrderOutcome execute(const SendStart &Order) {
    FakeWorker &Receiver = *Fleet_.find(Order.Worker_.Id_);
    OrderOutcome Out{Order.Token_, OrderResult::Rejected,
                     Receiver.clock(Core_.now())};
    if (Order.Worker_.Fence_ < Receiver.Fence_) {
      Out.Result_ = OrderResult::Fenced;
      return Out;
    }
    Receiver.Fence_ = Order.Worker_.Fence_;
    const auto Known = Receiver.Runs_.find(Order.Task_);
    if (Known != Receiver.Runs_.end() &&
        Known->second.Attempt_ == Order.Attempt_) {
      Out.Result_ = OrderResult::Done;
      return Out;
    }
    if (Checks_.queueOf(jobOf(Order.Task_)) == "advised" &&
        !Advice_.isValid(Order.Ticket_, Receiver.Id_, stepOf(Order.Task_))) {
      Out.Result_ = OrderResult::BadTicket;
      return Out;
    }
    if (Receiver.RejectsStarts_)
      return Out;
    const bool Outdated =
        Receiver.HighestEndedAttempt_.count(Order.Task_) != 0 &&
        Order.Attempt_ <= Receiver.HighestEndedAttempt_[Order.Task_];
    if (Outdated || Known != Receiver.Runs_.end() ||
        Receiver.clock(Core_.now()) > Order.Deadline_)
      return Out;
    Receiver.Deadline_ = std::max(
        Receiver.Deadline_,
        std::min(Order.Deadline_, Receiver.clock(Core_.now()) + MaxLease));
    Checks_.checkStart(Receiver, Order);
    Receiver.Runs_[Order.Task_] = createRun(Order, Receiver.Rack_);
    Checks_.recordStart(Order.Task_);
    Out.Result_ = OrderResult::Done;
    return Out;
  }

  FakeWorker::ActiveRun createRun(const SendStart &Order,
                                  const std::string &Rack) {
    const StepSpec &Spec = Checks_.specOf(Order.Task_);
    FakeWorker::ActiveRun Out{
        Order.Attempt_, Spec.Need_, Core_.drawBetween(50, 900),
        Core_.drawChance(Core_.Faults_.FailedRun_), std::nullopt};
    Out.Gang_ = Spec.Gang_;
    Out.Checkpoint_ = Order.Checkpoint_;
    if (Core_.TaskBehaviour_)
      std::tie(Out.RemainingWork_, Out.Fails_) =
          Core_.TaskBehaviour_(Order.Task_);
    if (!Spec.PreferredRack_.empty() && Rack != Spec.PreferredRack_)
      Out.RemainingWork_ = Core_.workAway(Out.RemainingWork_);
    return Out;
  }

  OrderOutcome execute(const SendStop &Order) {
    FakeWorker &Receiver = *Fleet_.find(Order.Worker_.Id_);
    OrderOutcome Out{Order.Token_, OrderResult::Fenced,
                     Receiver.clock(Core_.now())};
    if (Order.Worker_.Fence_ < Receiver.Fence_)
      return Out;
    Receiver.Fence_ = Order.Worker_.Fence_;
    Out.Result_ = OrderResult::Done;
    const auto Known = Receiver.Runs_.find(Order.Task_);
    if (Known != Receiver.Runs_.end())
      Checks_.checkStop(Order.Task_);
    if (Known != Receiver.Runs_.end() &&
        Known->second.Attempt_ <= Order.Attempt_ &&
        !Known->second.RemainingStopTime_)
      Known->second.RemainingStopTime_ = Core_.drawBetween(0, MaxStopTime);
    Receiver.HighestEndedAttempt_[Order.Task_] =
        std::max(Receiver.HighestEndedAttempt_[Order.Task_], Order.Attempt_);
    return Out;
  }

  SimulationCore &Core_;
  FakeFleet &Fleet_;
  FakeAdvice &Advice_;
  TaskChecks &Checks_;
  std::map<std::string, Connections> Connections_; ///< By worker id.
};

} // namespace oleandergauge::cell::test

#endif // OLEANDERGAUGE_TEST_CELL_FAKE_ORDERS_H
