#ifndef OLEANDERGAUGE_DAEMON_TASK_H
#define OLEANDERGAUGE_DAEMON_TASK_H

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include <glib.h>

#include "oleandergauge/base.h"

namespace oleandergauge::daemon {

/// The process's monotonic clock.
TimePoint monotonicNow();

/// A thread with its own GMainContext, which is the thread's default context.
/// A task owns its sockets and state; other tasks reach it by messages only.
class TaskThread {
public:
  explicit TaskThread(std::string Name);
  /// Stops and joins.
  ~TaskThread();
  TaskThread(const TaskThread &) = delete;
  TaskThread &operator=(const TaskThread &) = delete;

  /// Runs \p Work on the task's thread, after what was posted before. Safe
  /// from every thread. Dropped after stop().
  void post(std::function<void()> Work);
  /// Runs \p Work on the task's thread every \p Interval until stop(). Only
  /// from the task's own thread.
  void runEvery(Duration Interval, std::function<void()> Work);
  /// Runs \p Work once after \p Delay. Only from the task's own thread.
  void runAfter(Duration Delay, std::function<void()> Work);
  /// Ends the loop after the running callback and joins the thread.
  void stop();
  /// As stop(), and runs \p Last on the task's thread after the loop ended, so
  /// that no timer runs after it.
  void stop(std::function<void()> FinalWork);

private:
  std::string Name_;
  GMainContext *Context_;
  GMainLoop *Loop_;
  std::function<void()> FinalWork_;
  std::thread Thread_;
};

/// Where a task takes messages of one variant type: a function that may be
/// called from every thread and hands the message to the task.
template <typename Message> using Mailbox = std::function<void(Message)>;

/// A mailbox that delivers to \p Receive on the thread of \p Thread.
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
