#ifndef OLEANDERGAUGE_TEST_CELL_FAKE_RENEWALS_H
#define OLEANDERGAUGE_TEST_CELL_FAKE_RENEWALS_H

#include <algorithm>
#include <utility>
#include <vector>

#include "fake_fleet.h"
#include "fake_orders.h"
#include "task_checks.h"

namespace oleandergauge::cell::test {

/// Lets the fake workers answer renewals of their leases: with the runs and
/// ends that they have, as soon as there is an end or the wait is over.
class FakeRenewals {
public:
  FakeRenewals(SimulationCore &Core, FakeFleet &Fleet, TaskChecks &Checks)
      : Core_(Core), Fleet_(Fleet), Checks_(Checks) {}

  void send(const SendRenewal &Each) {
    Core_.schedule(1, [this, Each, Generation = Core_.ownerGeneration()] {
      if (Generation != Core_.ownerGeneration())
        return;
      const FakeWorker &Receiver = *Fleet_.find(Each.Worker_.Id_);
      const Millis Until =
          Core_.now() + Each.Wait_ + (Receiver.Disconnected_ ? Timeout : 0);
      Pending_.push_back({Each, Until, Receiver.Incarnation_});
    });
  }
  /// Drops the renewals of an owner whose process has ended.
  void dropAll() { Pending_.clear(); }

  void answerDue() {
    for (std::size_t At = 0; !Core_.OwnerPaused_ && At < Pending_.size();) {
      const PendingRenewal Next = Pending_[At];
      FakeWorker *Receiver = Fleet_.find(Next.Renewal_.Worker_.Id_);
      const bool HolderEnded = Receiver->Incarnation_ != Next.Holder_;
      const Millis Until = Next.Until_ + (HolderEnded ? Timeout : 0);
      if (Core_.now() < Until && (Receiver->Ends_.empty() || HolderEnded)) {
        ++At;
        continue;
      }
      Pending_.erase(Pending_.begin() + static_cast<std::ptrdiff_t>(At));
      answer(*Receiver, Next.Renewal_, HolderEnded);
    }
  }

private:
  /// Time without an answer after which a renewal counts as unanswered.
  static constexpr Millis Timeout = 500;

  /// A renewal that a worker holds until a run ends.
  struct PendingRenewal {
    SendRenewal Renewal_;
    Millis Until_ = 0;
    Millis Holder_ = 0; ///< The incarnation of the worker that received it.
  };

  void answer(FakeWorker &Receiver, const SendRenewal &Renewal,
              bool HolderEnded) {
    RenewalOutcome Out{Renewal.Token_, Renewal.Worker_, OrderResult::Done, {}};
    if (Receiver.Disconnected_ || HolderEnded) {
      Out.Result_ = OrderResult::NoAnswer;
    } else if (Renewal.Worker_.Fence_ < Receiver.Fence_) {
      Out.Result_ = OrderResult::Fenced;
    } else {
      renew(Receiver, Renewal);
      removeAcknowledged(Receiver, Renewal.AcknowledgedEnd_);
      Out.List_ = listOf(Receiver);
    }
    Core_.scheduleForOwner(Core_.drawBetween(1, 3), [this, Out] {
      Core_.cell().handle(Core_.now(), Out);
      Core_.processEffects();
    });
  }

  void renew(FakeWorker &Receiver, const SendRenewal &Renewal) {
    Receiver.Fence_ = Renewal.Worker_.Fence_;
    if (Renewal.Deadline_ > 0)
      Receiver.Deadline_ =
          std::max(Receiver.Deadline_,
                   std::min(Renewal.Deadline_, Receiver.clock(Core_.now()) +
                                                   FakeOrders::MaxLease));
  }

  void removeAcknowledged(FakeWorker &Receiver, std::uint64_t Last) {
    while (!Receiver.Ends_.empty() && Receiver.Ends_.front().Number_ <= Last) {
      Checks_.recordAcknowledged(Receiver, Receiver.Ends_.front());
      Receiver.Ends_.pop_front();
    }
  }

  WorkerList listOf(const FakeWorker &Receiver) const {
    WorkerList Out;
    Out.ClockMs_ = Receiver.clock(Core_.now());
    Out.Incarnation_ = Receiver.Incarnation_;
    for (const auto &[Name, Each] : Receiver.Runs_)
      Out.Running_.push_back(
          {Name, Each.Attempt_, Each.Checkpoint_,
           Each.Gang_ && !Each.Assembled_ ? 0 : 100,
           Core_.ReportedTail_ ? Core_.ReportedTail_(Name) : 0});
    Out.AllRuns_ = true;
    const std::size_t Count =
        std::min(Receiver.Ends_.size(), Core_.EndsPerList_);
    Out.Ended_.assign(Receiver.Ends_.begin(),
                      Receiver.Ends_.begin() +
                          static_cast<std::ptrdiff_t>(Count));
    Out.AllEnds_ = Count < Core_.EndsPerList_;
    return Out;
  }

  SimulationCore &Core_;
  FakeFleet &Fleet_;
  TaskChecks &Checks_;
  std::vector<PendingRenewal> Pending_;
};

} // namespace oleandergauge::cell::test

#endif // OLEANDERGAUGE_TEST_CELL_FAKE_RENEWALS_H
