#ifndef OLEANDERGAUGE_DAEMON_TASK_H
#define OLEANDERGAUGE_DAEMON_TASK_H

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include <glib.h>

#include "oleandergauge/base.h"

namespace oleandergauge::daemon {

/// Returns the time of the system's monotonic clock.
TimePoint monotonicNow();

/// A thread that runs a GMainContext of its own as its default context. A task
/// owns its sockets and state; other tasks interact with it only by messages.
class TaskThread {
public:
  explicit TaskThread(std::string Name);
  /// Stops the loop and joins the thread.
  ~TaskThread();
  TaskThread(const TaskThread &) = delete;
  TaskThread &operator=(const TaskThread &) = delete;

  /// Runs \p Work on the task's thread, after earlier posts. Thread-safe. Work
  /// that is posted after stop() is dropped.
  void post(std::function<void()> Work);
  /// Runs \p Work on the task's thread every \p Interval until stop(). Must be
  /// called on the task's thread.
  void runEvery(Duration Interval, std::function<void()> Work);
  /// Runs \p Work once after \p Delay. Must be called on the task's thread.
  void runAfter(Duration Delay, std::function<void()> Work);
  /// Ends the loop after the current callback and joins the thread.
  void stop();
  /// Like stop(), but also runs \p FinalWork on the task's thread after the
  /// loop has ended, so that no timer runs after it.
  void stop(std::function<void()> FinalWork);

private:
  std::string Name_;
  GMainContext *Context_;
  GMainLoop *Loop_;
  std::function<void()> FinalWork_;
  std::thread Thread_;
};

/// Sends a message of one variant type to a task. It may be called on any
/// thread.
template <typename Message> using Mailbox = std::function<void(Message)>;

/// Makes a mailbox that calls \p Receive on the thread of \p Thread.
template <typename Message>
Mailbox<Message> makeMailbox(TaskThread &Thread,
                             std::function<void(Message)> Receive) {
  return [&Thread, Receive = std::move(Receive)](Message Sent) {
    Thread.post([Receive, Sent = std::move(Sent)]() mutable {
      Receive(std::move(Sent));
    });
  };
}

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_TASK_H
