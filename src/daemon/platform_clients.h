#ifndef OLEANDERGAUGE_DAEMON_PLATFORM_CLIENTS_H
#define OLEANDERGAUGE_DAEMON_PLATFORM_CLIENTS_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "oleandergauge/membership.h"
#include "oleandergauge/partition.h"
#include "oleandergauge/table.h"

namespace oleandergauge::daemon {

/// The clients below must be created and used on one task's thread. They are
/// asynchronous: each completion callback runs exactly once on that thread,
/// also after a timeout.

/// Sends requests to the table service. A request without a usable reply ends
/// with TableUnavailable if it certainly had no effect, otherwise with
/// OutcomeUnknown.
class TableClient {
public:
  TableClient(std::string BaseUrl, Duration Timeout);
  ~TableClient();
  void send(const TableRequest &Request,
            std::function<void(const TableReply &)> Done);

private:
  struct State;
  std::unique_ptr<State> State_;
};

/// The workers and entry hosts that the platform lists.
struct LiveList {
  std::vector<ListedWorker> Workers_;
  std::vector<HostId> EntryHosts_;
  /// True if the platform reported that the list is unchanged since the last
  /// read.
  bool Unchanged_ = false;
  friend bool operator==(const LiveList &, const LiveList &) = default;
};

/// Reads the platform's live list. If the platform supports entity tags, an
/// unchanged list is not transferred again; with 1,400 workers it has about
/// 350 KB.
class LiveListClient {
public:
  LiveListClient(std::string BaseUrl, Duration Timeout);
  ~LiveListClient();
  void read(std::function<void(const std::optional<LiveList> &)> Done);

private:
  struct State;
  std::unique_ptr<State> State_;
};

/// Sends commands to workers. The clock is checked directly before a command is
/// written, so that none is sent at or after its ValidUntil_.
class WorkerClient {
public:
  /// \p CallTimeout limits direct calls, \p CommandTimeout all other commands.
  WorkerClient(Duration CommandTimeout, Duration CallTimeout);
  ~WorkerClient();
  void start(const StartOnWorker &Command,
             std::function<void(const StartAnswered &)> Done);
  void call(const StartOnWorker &Command,
            std::function<void(const CallAnswered &)> Done);
  /// Ends with WorkerReported or WorkerUnresponsive.
  void exchange(const ExchangeWithWorker &Command,
                std::function<void(const PartitionEvent &)> Done);
  /// Sends a stop command without waiting for its outcome; the worker's next
  /// report shows whether it took effect.
  void stop(const StopOnWorker &Command);

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_PLATFORM_CLIENTS_H
