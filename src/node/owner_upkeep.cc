// The owner's calls to the platform's machines, and its news of waves.

#include "machine_calls.h"
#include "node/owner.h"

namespace oleandergauge::node {
namespace {

constexpr Millis MachineTimeout = 1500;
constexpr Millis WaveNewsRetry = 300;

} // namespace

void Owner::perform(const cell::ListMachines &) {
  ListedMachines_.clear();
  if (Machines_)
    listMachines("");
}

void Owner::listMachines(const std::string &Page) {
  Machines_->send(
      platform::encodeMachineList(Page), MachineTimeout,
      [this, Alive = Alive_](const HttpReply &Reply) {
        if (!*Alive || Over_)
          return;
        const auto Read = platform::decodeMachineList(Reply);
        if (Read)
          ListedMachines_.insert(ListedMachines_.end(), Read->Machines_.begin(),
                                 Read->Machines_.end());
        if (Read && !Read->Next_.empty()) {
          listMachines(Read->Next_);
          return;
        }
        Cell_->setMachines(bootTime(),
                           Read ? std::optional(std::move(ListedMachines_))
                                : std::nullopt);
        ListedMachines_.clear();
        drain();
      });
}

void Owner::perform(const cell::OrderUpkeep &Each) {
  Machines_->send(platform::encodeUpkeep(Each, Log_.row()), MachineTimeout,
                  [this, Each, Alive = Alive_](const HttpReply &Reply) {
                    if (!*Alive || Over_)
                      return;
                    Cell_->handle(
                        bootTime(),
                        cell::UpkeepOutcome{Each.Machine_, Each.Wave_,
                                            platform::decodeUpkeep(Reply)});
                    drain();
                  });
}

void Owner::perform(const cell::ReportWave &Each) {
  WaveNews &Of = WaveNews_[Each.Wave_];
  Of.News_ = Each;
  Of.Told_ = false;
  tellWave(Each.Wave_);
}

/// Writes the newest state of a wave until the store has it.
void Owner::tellWave(std::uint64_t Wave) {
  WaveNews &Of = WaveNews_[Wave];
  if (Of.InFlight_ || Of.Told_)
    return;
  Of.InFlight_ = true;
  Shared_.Store_.tellWave(
      Of.News_, Of.Version_,
      [this, Sent = Of.News_,
       Alive = Alive_](const std::optional<platform::WaveStateAnswer> &Answer) {
        if (!*Alive || Over_)
          return;
        WaveNews &Now = WaveNews_[Sent.Wave_];
        Now.InFlight_ = false;
        if (Answer)
          Now.Version_ = Answer->Version_;
        Now.Told_ = Answer && Answer->Done_ && Now.News_ == Sent;
        if (!Now.Told_)
          Shared_.Events_.after(Answer ? 0 : WaveNewsRetry,
                                [this, Sent, Alive] {
                                  if (*Alive && !Over_)
                                    tellWave(Sent.Wave_);
                                });
      });
}

} // namespace oleandergauge::node
