#include "daemon/task.h"

namespace oleandergauge::daemon {
namespace {

using Work = std::function<void()>;

gboolean runOnce(gpointer Data) {
  (*static_cast<Work *>(Data))();
  return G_SOURCE_REMOVE;
}

gboolean runRepeatedly(gpointer Data) {
  (*static_cast<Work *>(Data))();
  return G_SOURCE_CONTINUE;
}

void freeWork(gpointer Data) { delete static_cast<Work *>(Data); }

void attach(GMainContext *Context, GSource *Source, GSourceFunc Run,
            Work Callback) {
  g_source_set_callback(Source, Run, new Work(std::move(Callback)), freeWork);
  g_source_attach(Source, Context);
  g_source_unref(Source);
}

guint toMillis(Duration Span) {
  using std::chrono::duration_cast;
  return static_cast<guint>(
      duration_cast<std::chrono::milliseconds>(Span).count());
}

} // namespace

TimePoint monotonicNow() { return TimePoint(Duration(g_get_monotonic_time())); }

TaskThread::TaskThread(std::string Name)
    : Name_(std::move(Name)), Context_(g_main_context_new()),
      Loop_(g_main_loop_new(Context_, FALSE)) {
  Thread_ = std::thread([this] {
    g_main_context_push_thread_default(Context_);
    g_main_loop_run(Loop_);
    if (FinalWork_)
      FinalWork_();
    g_main_context_pop_thread_default(Context_);
  });
}

TaskThread::~TaskThread() {
  stop();
  g_main_loop_unref(Loop_);
  g_main_context_unref(Context_);
}

void TaskThread::post(std::function<void()> Callback) {
  GSource *Source = g_idle_source_new();
  g_source_set_priority(Source, G_PRIORITY_DEFAULT);
  attach(Context_, Source, runOnce, std::move(Callback));
}

void TaskThread::runEvery(Duration Interval, std::function<void()> Callback) {
  attach(Context_, g_timeout_source_new(toMillis(Interval)), runRepeatedly,
         std::move(Callback));
}

void TaskThread::runAfter(Duration Delay, std::function<void()> Callback) {
  attach(Context_, g_timeout_source_new(toMillis(Delay)), runOnce,
         std::move(Callback));
}

void TaskThread::stop() {
  if (!Thread_.joinable())
    return;
  // Posted, so that a stop before the loop starts to run is not lost.
  post([this] { g_main_loop_quit(Loop_); });
  Thread_.join();
}

void TaskThread::stop(std::function<void()> FinalWork) {
  // Assigned on the task's thread, before the loop ends.
  post([this, FinalWork = std::move(FinalWork)] { FinalWork_ = FinalWork; });
  stop();
}

} // namespace oleandergauge::daemon
