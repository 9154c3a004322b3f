#include "node/loop.h"

#include <ctime>

#include <event2/event.h>

namespace oleandergauge::node {
namespace {

Millis readClock(clockid_t Clock) {
  timespec Now{};
  clock_gettime(Clock, &Now);
  return Millis{Now.tv_sec} * 1000 + Now.tv_nsec / 1000000;
}

timeval toTimeval(Millis Span) {
  return {static_cast<time_t>(Span / 1000),
          static_cast<suseconds_t>(Span % 1000 * 1000)};
}

void runOnce(evutil_socket_t, short, void *Given) {
  const std::unique_ptr<std::function<void()>> Work(
      static_cast<std::function<void()> *>(Given));
  (*Work)();
}

} // namespace

Millis bootTime() { return readClock(CLOCK_BOOTTIME); }
Millis wallTime() { return readClock(CLOCK_REALTIME); }

struct Loop::Timer {
  std::function<void()> Work_;
  event *Event_ = nullptr;
  ~Timer() { event_free(Event_); }
  static void fire(evutil_socket_t, short, void *Self) {
    static_cast<Timer *>(Self)->Work_();
  }
};

Loop::Loop() : Base_(event_base_new()) {}

Loop::~Loop() {
  Lasting_.clear();
  event_base_free(Base_);
}

void Loop::after(Millis Delay, std::function<void()> Work) {
  const timeval Span = toTimeval(Delay);
  event_base_once(Base_, -1, EV_TIMEOUT, runOnce,
                  new std::function<void()>(std::move(Work)), &Span);
}

void Loop::every(Millis Interval, std::function<void()> Work) {
  auto Made = std::make_unique<Timer>();
  Made->Work_ = std::move(Work);
  Made->Event_ = event_new(Base_, -1, EV_PERSIST, Timer::fire, Made.get());
  const timeval Span = toTimeval(Interval);
  event_add(Made->Event_, &Span);
  Lasting_.push_back(std::move(Made));
}

void Loop::onSignal(int Number, std::function<void()> Work) {
  auto Made = std::make_unique<Timer>();
  Made->Work_ = std::move(Work);
  Made->Event_ = evsignal_new(Base_, Number, Timer::fire, Made.get());
  event_add(Made->Event_, nullptr);
  Lasting_.push_back(std::move(Made));
}

void Loop::run() { event_base_dispatch(Base_); }

void Loop::stop() { event_base_loopbreak(Base_); }

} // namespace oleandergauge::node
