#include "node/machine_lister.h"

#include <utility>

#include "machine_calls.h"

namespace oleandergauge::node {
namespace {

/// Time for the answer to one page.
constexpr Millis PageTimeout = 1500;

} // namespace

void MachineLister::read(Handler Then) {
  Open_ = std::make_shared<Reading>(Reading{std::move(Then), {}});
  requestPage("");
}

void MachineLister::requestPage(const std::string &Page) {
  Service_.send(
      platform::encodeMachineList(Page), PageTimeout,
      [this, Weak = std::weak_ptr<Reading>(Open_)](const HttpReply &Reply) {
        if (!Weak.expired())
          handlePage(Reply);
      },
      [Weak = std::weak_ptr<Reading>(Open_)] { return !Weak.expired(); });
}

/// Adds a page of the open reading, and ends the reading with the last one.
void MachineLister::handlePage(const HttpReply &Reply) {
  const auto Read = platform::decodeMachineList(Reply);
  if (Read)
    Open_->Machines_.insert(Open_->Machines_.end(), Read->Machines_.begin(),
                            Read->Machines_.end());
  if (Read && !Read->NextPage_.empty()) {
    requestPage(Read->NextPage_);
    return;
  }
  const std::shared_ptr<Reading> Ended = std::exchange(Open_, nullptr);
  Ended->Then_(Read ? std::optional(std::move(Ended->Machines_))
                    : std::nullopt);
}

} // namespace oleandergauge::node
