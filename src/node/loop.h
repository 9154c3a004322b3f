#ifndef OLEANDERGAUGE_NODE_LOOP_H
#define OLEANDERGAUGE_NODE_LOOP_H

#include <functional>
#include <memory>
#include <vector>

#include "cell/types.h"

struct event_base;

namespace oleandergauge::node {

using cell::Millis;

/// Milliseconds on the boot-time clock, which also advances while the machine
/// is suspended.
Millis bootTime();
/// Milliseconds since 1970.
Millis wallTime();

/// The event loop of the process. An entry host has one thread, which runs it.
class EventLoop {
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  event_base *base() { return Base_; }
  /// Calls \p Callback once. With a delay of 0 it runs after the current event.
  void runAfter(Millis Delay, std::function<void()> Callback);
  /// Calls \p Callback periodically for the lifetime of the loop.
  void runEvery(Millis Interval, std::function<void()> Callback);
  void onSignal(int Number, std::function<void()> Callback);
  void run();
  void stop();
  /// Returns how often the loop has looked at its sockets and timers and called
  /// back for those that were ready.
  std::uint64_t turns() const { return Turns_; }

private:
  /// A periodic timer or a signal handler.
  struct Watcher;
  event_base *Base_;
  std::uint64_t Turns_ = 0;
  std::vector<std::unique_ptr<Watcher>> Watchers_;
};

} // namespace oleandergauge::node

#endif // OLEANDERGAUGE_NODE_LOOP_H
