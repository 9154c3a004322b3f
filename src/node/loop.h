#ifndef OLEANDERGAUGE_NODE_LOOP_H
#define OLEANDERGAUGE_NODE_LOOP_H

#include <functional>
#include <memory>
#include <vector>

#include "cell/types.h"

struct event_base;

namespace oleandergauge::node {

using cell::Millis;

/// Milliseconds on the boot-time clock, which runs on while the machine is
/// suspended.
Millis bootTime();
/// Milliseconds since 1970.
Millis wallTime();

/// The process's event loop. Everything of an entry host runs on it.
class Loop {
public:
  Loop();
  ~Loop();
  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;

  event_base *base() { return Base_; }
  void after(Millis Delay, std::function<void()> Work);
  /// Until the loop ends.
  void every(Millis Interval, std::function<void()> Work);
  void onSignal(int Number, std::function<void()> Work);
  void run();
  void stop();

private:
  struct Timer;
  event_base *Base_;
  std::vector<std::unique_ptr<Timer>> Lasting_;
};

} // namespace oleandergauge::node

#endif // OLEANDERGAUGE_NODE_LOOP_H
