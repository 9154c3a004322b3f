#ifndef OLEANDERGAUGE_CELL_DIRECTORY_H
#define OLEANDERGAUGE_CELL_DIRECTORY_H

#include "cell/types.h"

namespace oleandergauge::cell {

/// The target and the key of a caller's request, before any check.
struct CallerRequest {
  std::string Host_; ///< Host of the URL, without the port.
  std::string Path_;
  std::string Key_; ///< Empty if the request has no key.
  friend bool operator==(const CallerRequest &,
                         const CallerRequest &) = default;
};

/// Whether a request may proceed, or why not.
enum class Access { Allowed, NoState, NoQueue, BadJobId, UnknownKey };

/// The queue, team and job that a request refers to, according to one version
/// of the desired state.
struct Resolution {
  Access Access_ = Access::NoState;
  std::uint64_t Version_ = 0;
  std::string Queue_;
  std::string Team_;  ///< Empty for a public queue without a known key.
  std::string JobId_; ///< Empty if the request refers to the whole queue.
  friend bool operator==(const Resolution &, const Resolution &) = default;
};

/// Whether a text has the form of a job's id.
bool isJobId(const std::string &Text);

/// Finds the queue and the team of a request. The queue with the longest
/// matching prefix wins.
Resolution resolve(const DesiredState *State, const CallerRequest &Request);

/// Returns null if there is no queue or team with the name.
const Queue *findQueue(const DesiredState &State, const std::string &Name);
const Team *findTeam(const DesiredState &State, const std::string &Name);

} // namespace oleandergauge::cell

#endif // OLEANDERGAUGE_CELL_DIRECTORY_H
