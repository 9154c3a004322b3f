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

void runOnce(evutil_socket_t, short, void *Argument) {
  const std::unique_ptr<std::function<void()>> Callback(
      static_cast<std::function<void()> *>(Argument));
  (*Callback)();
}

} // namespace

Millis bootTime() { return readClock(CLOCK_BOOTTIME); }
Millis wallTime() { return readClock(CLOCK_REALTIME); }

struct EventLoop::Watcher {
  std::function<void()> Callback_;
  event *Event_ = nullptr;
  ~Watcher() { event_free(Event_); }
  static void invoke(evutil_socket_t, short, void *Self) {
    static_cast<Watcher *>(Self)->Callback_();
  }
};

EventLoop::EventLoop() : Base_(event_base_new()) {}

EventLoop::~EventLoop() {
  Watchers_.clear();
  event_base_free(Base_);
}

void EventLoop::runAfter(Millis Delay, std::function<void()> Callback) {
  const timeval Span = toTimeval(Delay);
  event_base_once(Base_, -1, EV_TIMEOUT, runOnce,
                  new std::function<void()>(std::move(Callback)), &Span);
}

void EventLoop::runEvery(Millis Interval, std::function<void()> Callback) {
  auto NewWatcher = std::make_unique<Watcher>();
  NewWatcher->Callback_ = std::move(Callback);
  NewWatcher->Event_ =
      event_new(Base_, -1, EV_PERSIST, Watcher::invoke, NewWatcher.get());
  const timeval Span = toTimeval(Interval);
  event_add(NewWatcher->Event_, &Span);
  Watchers_.push_back(std::move(NewWatcher));
}

void EventLoop::onSignal(int Number, std::function<void()> Callback) {
  auto NewWatcher = std::make_unique<Watcher>();
  NewWatcher->Callback_ = std::move(Callback);
  NewWatcher->Event_ =
      evsignal_new(Base_, Number, Watcher::invoke, NewWatcher.get());
  event_add(NewWatcher->Event_, nullptr);
  Watchers_.push_back(std::move(NewWatcher));
}

void EventLoop::run() {
  while (event_base_loop(Base_, EVLOOP_ONCE) == 0 &&
         event_base_got_break(Base_) == 0)
    ++Turns_;
}

void EventLoop::stop() { event_base_loopbreak(Base_); }

} // namespace oleandergauge::node
