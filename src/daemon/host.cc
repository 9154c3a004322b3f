#include "daemon/host.h"

#include <csignal>
#include <stdexcept>
#include <utility>

#include <glib-unix.h>

#include "daemon/config_task.h"
#include "daemon/http_api.h"
#include "daemon/log.h"
#include "daemon/metrics.h"
#include "daemon/network_types.h"
#include "daemon/partition_task.h"
#include "daemon/peer_task.h"

namespace oleandergauge::daemon {
namespace {

/// The exit code that shells report for a process ended by SIGINT.
constexpr int SecondSignalExitCode = 130;
/// Time in milliseconds after a second signal within which the answers to open
/// requests are written.
constexpr guint SecondSignalLimitMs = 2000;

/// Owns the tasks of the process, connects their mailboxes and runs the phases
/// of a shutdown. Runs on the main thread.
class Host {
public:
  explicit Host(const Settings &Options);
  ~Host();
  Host(const Host &) = delete;
  Host &operator=(const Host &) = delete;

  int run();

private:
  enum class Phase {
    Serving,
    FinishingRequests,
    DrainingPartitions,
    Leaving,
    EndingServer,
    StoppingSoon ///< After a second signal.
  };

  template <typename Task>
  void startTask(TaskThread &Thread, std::unique_ptr<Task> &Started);
  template <typename Task>
  void stopAndDestroy(TaskThread &Thread, std::unique_ptr<Task> &Ended);
  static gboolean onSignal(gpointer Data);
  static gboolean onDrainLimit(gpointer Data);
  static gboolean onSecondSignalLimit(gpointer Data);
  void drain();
  void stopSoon();
  void receive(const HostMessage &Message);
  void process(const HttpIdle &);
  void process(const PartitionsDrained &);
  void process(const Deregistered &);
  void process(const TaskFailed &Failure);
  void quit(int ExitCode);

  const Settings &Options_;
  Metrics HostMetrics_;
  GMainLoop *Loop_;
  Phase Phase_ = Phase::Serving;
  int ExitCode_ = 0;
  TaskThread PartitionThread_{"partition"};
  TaskThread ConfigThread_{"config"};
  TaskThread HttpThread_{"http"};
  TaskThread PeerThread_{"peer"};
  std::unique_ptr<PartitionTask> Partitions_;
  std::unique_ptr<ConfigTask> Config_;
  std::unique_ptr<HttpApi> Http_;
  std::unique_ptr<PeerTask> Peer_;
};

/// Makes a mailbox for a task that does not exist yet. Messages that arrive
/// before the task exists are dropped.
template <typename Message, typename Task>
Mailbox<Message> mailboxTo(TaskThread &Thread, std::unique_ptr<Task> &Target) {
  return makeMailbox<Message>(Thread, [&Target](Message Received) {
    if (Target)
      Target->handle(std::move(Received));
  });
}

/// Runs \p Work on the main thread.
void postToMain(std::function<void()> Work) {
  GSource *Source = g_idle_source_new();
  g_source_set_priority(Source, G_PRIORITY_DEFAULT);
  auto Run = [](gpointer Data) -> gboolean {
    (*static_cast<std::function<void()> *>(Data))();
    return G_SOURCE_REMOVE;
  };
  auto Free = [](gpointer Data) {
    delete static_cast<std::function<void()> *>(Data);
  };
  g_source_set_callback(Source, Run, new std::function<void()>(std::move(Work)),
                        Free);
  g_source_attach(Source, nullptr);
  g_source_unref(Source);
}

Host::Host(const Settings &Options)
    : Options_(Options), Loop_(g_main_loop_new(nullptr, FALSE)) {
  auto ToPartitions =
      mailboxTo<PartitionTaskMessage>(PartitionThread_, Partitions_);
  auto ToConfig = mailboxTo<ConfigTaskMessage>(ConfigThread_, Config_);
  auto ToHttp = mailboxTo<HttpTaskMessage>(HttpThread_, Http_);
  auto ToPeer = mailboxTo<PeerTaskMessage>(PeerThread_, Peer_);
  Mailbox<HostMessage> ToHost = [this](HostMessage Received) {
    postToMain([this, Received = std::move(Received)] { receive(Received); });
  };
  Partitions_ = std::make_unique<PartitionTask>(
      PartitionThread_, Options_, HostMetrics_,
      PartitionTaskOutputs{ToHttp, ToPeer, ToConfig, ToHost});
  Config_ = std::make_unique<ConfigTask>(
      ConfigThread_, Options_, HostMetrics_,
      ConfigTaskOutputs{ToPartitions, ToHttp, ToPeer, ToHost});
  Http_ =
      std::make_unique<HttpApi>(HttpThread_, Options_, HostMetrics_,
                                HttpApiOutputs{ToPartitions, ToConfig, ToHost});
  Peer_ = std::make_unique<PeerTask>(PeerThread_, Options_,
                                     PeerTaskOutputs{ToPartitions, ToConfig});
}

template <typename Task>
void Host::startTask(TaskThread &Thread, std::unique_ptr<Task> &Started) {
  Thread.post([this, &Started] {
    try {
      Started->start();
    } catch (const std::runtime_error &Error) {
      TaskFailed Failure{Error.what()};
      postToMain([this, Failure] { receive(Failure); });
    }
  });
}

/// Stops the thread and destroys its task there, since clients and servers
/// must be destroyed on the thread that created them.
template <typename Task>
void Host::stopAndDestroy(TaskThread &Thread, std::unique_ptr<Task> &Ended) {
  Thread.stop([&Ended] { Ended.reset(); });
}

Host::~Host() {
  stopAndDestroy(PeerThread_, Peer_);
  stopAndDestroy(HttpThread_, Http_);
  stopAndDestroy(ConfigThread_, Config_);
  stopAndDestroy(PartitionThread_, Partitions_);
  g_main_loop_unref(Loop_);
}

int Host::run() {
  guint TermSource = g_unix_signal_add(SIGTERM, onSignal, this);
  guint InterruptSource = g_unix_signal_add(SIGINT, onSignal, this);
  startTask(PartitionThread_, Partitions_);
  startTask(PeerThread_, Peer_);
  startTask(ConfigThread_, Config_);
  startTask(HttpThread_, Http_);
  logLine(LogLevel::Info, "started",
          {{"version", std::string(OLEANDERGAUGE_VERSION)},
           {"address", Options_.HttpListen_}});
  g_main_loop_run(Loop_);
  g_source_remove(TermSource);
  g_source_remove(InterruptSource);
  return ExitCode_;
}

gboolean Host::onSignal(gpointer Data) {
  auto *Self = static_cast<Host *>(Data);
  if (Self->Phase_ == Phase::StoppingSoon) {
    logLine(LogLevel::Warning, "third signal; exiting at once");
    std::_Exit(SecondSignalExitCode);
  }
  if (Self->Phase_ != Phase::Serving) {
    Self->stopSoon();
    return G_SOURCE_CONTINUE;
  }
  Self->drain();
  return G_SOURCE_CONTINUE;
}

gboolean Host::onDrainLimit(gpointer Data) {
  auto *Self = static_cast<Host *>(Data);
  logLine(LogLevel::Warning, "drain limit reached; ending with work in flight",
          {{"phase", static_cast<std::int64_t>(Self->Phase_)}});
  Self->quit(1);
  return G_SOURCE_REMOVE;
}

gboolean Host::onSecondSignalLimit(gpointer) {
  logLine(LogLevel::Warning, "answers not written in time; exiting");
  std::_Exit(SecondSignalExitCode);
}

/// Answers all open requests without waiting for their outcome, and exits when
/// the answers are written.
void Host::stopSoon() {
  logLine(LogLevel::Warning, "second signal; answering open requests");
  Phase_ = Phase::StoppingSoon;
  g_timeout_add(SecondSignalLimitMs, onSecondSignalLimit, this);
  HttpThread_.post([this] { Http_->handle(EndServer{true}); });
}

void Host::drain() {
  logLine(LogLevel::Info, "draining");
  Phase_ = Phase::FinishingRequests;
  auto LimitMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                     Options_.DrainLimit_)
                     .count();
  g_timeout_add(static_cast<guint>(LimitMs), onDrainLimit, this);
  ConfigThread_.post([this] { Config_->handle(DrainStarted{}); });
  HttpThread_.post([this] { Http_->handle(RefuseNewRequests{}); });
}

void Host::receive(const HostMessage &Message) {
  std::visit([this](const auto &Content) { process(Content); }, Message);
}

void Host::process(const HttpIdle &) {
  if (Phase_ == Phase::StoppingSoon)
    std::_Exit(SecondSignalExitCode);
  if (Phase_ == Phase::EndingServer)
    quit(0);
  if (Phase_ != Phase::FinishingRequests)
    return;
  Phase_ = Phase::DrainingPartitions;
  PartitionThread_.post([this] { Partitions_->handle(DrainRequested{}); });
}

void Host::process(const PartitionsDrained &) {
  if (Phase_ != Phase::DrainingPartitions)
    return;
  Phase_ = Phase::Leaving;
  ConfigThread_.post([this] { Config_->handle(DeregisterRequested{}); });
}

/// Requests that arrived after the first HttpIdle were refused; their answers
/// are written before the process ends.
void Host::process(const Deregistered &) {
  if (Phase_ != Phase::Leaving)
    return;
  Phase_ = Phase::EndingServer;
  HttpThread_.post([this] { Http_->handle(EndServer{}); });
}

void Host::process(const TaskFailed &Failure) {
  logLine(LogLevel::Error, Failure.Message_);
  quit(1);
}

void Host::quit(int ExitCode) {
  ExitCode_ = ExitCode;
  logLine(LogLevel::Info, "stopped", {{"exit", std::int64_t(ExitCode)}});
  g_main_loop_quit(Loop_);
}

} // namespace

int runHost(const Settings &Options) {
  prepareNetworkTypes();
  Host EntryHost(Options);
  return EntryHost.run();
}

} // namespace oleandergauge::daemon
