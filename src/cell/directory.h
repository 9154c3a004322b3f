#ifndef OLEANDERGAUGE_CELL_DIRECTORY_H
#define OLEANDERGAUGE_CELL_DIRECTORY_H

#include "cell/types.h"

namespace oleandergauge::cell {

/// What a caller asks for, before it is checked.
struct CallerRequest {
  std::string Host_; ///< Of the URL, without a port.
  std::string Path_;
  std::string Key_; ///< Empty where none was sent.
  friend bool operator==(const CallerRequest &,
                         const CallerRequest &) = default;
};

enum class Access { Allowed, NoState, NoQueue, BadJobId, UnknownKey };

/// Where a request goes by one version of the desired state.
struct Resolution {
  Access Access_ = Access::NoState;
  std::uint64_t Version_ = 0;
  std::string Queue_;
  std::string Team_;  ///< Empty for a public queue without a known key.
  std::string JobId_; ///< Empty where the whole queue is meant.
  friend bool operator==(const Resolution &, const Resolution &) = default;
};

/// Finds queue and team of a request. The longest prefix wins.
Resolution resolve(const DesiredState *State, const CallerRequest &Request);

const Queue *findQueue(const DesiredState &State, const std::string &Name);
const Team *findTeam(const DesiredState &State, const std::string &Name);

} // namespace oleandergauge::cell

#endif // OLEANDERGAUGE_CELL_DIRECTORY_H
