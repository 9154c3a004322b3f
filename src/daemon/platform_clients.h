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

/// The clients below are made and used on one task's thread. They are
/// asynchronous: each completion runs on that thread, exactly once, also
/// after a timeout.

/// Reaches the table service. A request that got no usable answer ends in
/// TableUnavailable where it certainly was not sent or was refused, else in
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

/// What the platform lists now.
struct LiveList {
  std::vector<ListedWorker> Workers_;
  std::vector<HostId> EntryHosts_;
  /// The platform says that the list is the same as at the last read.
  bool Unchanged_ = false;
  friend bool operator==(const LiveList &, const LiveList &) = default;
};

/// Reads the platform's live list. With a platform that gives entity tags an
/// unchanged list is not sent again: at 1,400 workers it has some 350 KB.
class LiveListClient {
public:
  LiveListClient(std::string BaseUrl, Duration Timeout);
  ~LiveListClient();
  void read(std::function<void(const std::optional<LiveList> &)> Done);

private:
  struct State;
  std::unique_ptr<State> State_;
};

/// Sends commands to workers. Looks at the clock directly before a command is
/// written: nothing is sent at or after its ValidUntil_.
class WorkerClient {
public:
  /// \p CallTimeout bounds a direct call, \p CommandTimeout all else.
  WorkerClient(Duration CommandTimeout, Duration CallTimeout);
  ~WorkerClient();
  void start(const StartOnWorker &Command,
             std::function<void(const StartAnswered &)> Done);
  void call(const StartOnWorker &Command,
            std::function<void(const CallAnswered &)> Done);
  /// Ends with WorkerReported or WorkerUnresponsive.
  void exchange(const ExchangeWithWorker &Command,
                std::function<void(const PartitionEvent &)> Done);
  /// Best effort; the next report shows whether it worked.
  void stop(const StopOnWorker &Command);

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_PLATFORM_CLIENTS_H
