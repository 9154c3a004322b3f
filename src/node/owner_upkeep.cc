// The owner's calls to the platform's machine service, and the wave states that
// it writes for operators.

#include "machine_calls.h"
#include "node/owner.h"

namespace oleandergauge::node {
namespace {

constexpr Millis MachineCallTimeout = 1500;
constexpr Millis WaveReportRetryDelay = 300;

} // namespace

void Owner::perform(const cell::ListMachines &) {
  if (!MachineLister_)
    return;
  MachineLister_->read([this, Alive = Alive_](const auto &Machines) {
    if (!*Alive || Stopped_)
      return;
    Cell_->setMachines(bootTime(), Machines);
    performEffects();
  });
}

/// Sends an order, unless another host may have taken over since it was
/// decided. The machine service does not compare fences, so an order that ends
/// without an answer is taken back as far as possible.
void Owner::perform(const cell::OrderUpkeep &Effect) {
  MachineService_->send(
      platform::encodeUpkeepOrder(Effect, OwnerLog_.row()), MachineCallTimeout,
      [this, Effect, Alive = Alive_](const HttpReply &Reply) {
        if (!*Alive || Stopped_)
          return;
        Cell_->handle(bootTime(),
                      cell::UpkeepOutcome{Effect.Machine_, Effect.Wave_,
                                          platform::decodeUpkeepAnswer(Reply)});
        performEffects();
      },
      [this] { return mayAct(); });
}

void Owner::perform(const cell::ReportWave &Effect) {
  WaveReport &Report = WaveReports_[Effect.Wave_];
  Report.State_ = Effect;
  Report.Written_ = false;
  writeWaveState(Effect.Wave_);
}

/// Writes the latest state of a wave and retries until the store has it. One
/// write per wave is in flight at a time.
void Owner::writeWaveState(std::uint64_t Wave) {
  WaveReport &Report = WaveReports_[Wave];
  if (Report.InFlight_ || Report.Written_)
    return;
  Report.InFlight_ = true;
  Context_.Store_.writeWaveState(
      Report.State_, Report.Version_,
      [this, Sent = Report.State_,
       Alive = Alive_](const std::optional<platform::WaveStateAnswer> &Answer) {
        if (!*Alive || Stopped_)
          return;
        WaveReport &Latest = WaveReports_[Sent.Wave_];
        Latest.InFlight_ = false;
        if (Answer)
          Latest.Version_ = Answer->Version_;
        Latest.Written_ = Answer && Answer->Written_ && Latest.State_ == Sent;
        if (!Latest.Written_)
          Context_.Loop_.runAfter(Answer ? 0 : WaveReportRetryDelay,
                                  [this, Sent, Alive] {
                                    if (*Alive && !Stopped_)
                                      writeWaveState(Sent.Wave_);
                                  });
      });
}

} // namespace oleandergauge::node
