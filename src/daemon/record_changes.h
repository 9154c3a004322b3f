#ifndef OLEANDERGAUGE_DAEMON_RECORD_CHANGES_H
#define OLEANDERGAUGE_DAEMON_RECORD_CHANGES_H

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "daemon/messages.h"

namespace oleandergauge::daemon {

/// The connections of RecordChanges to the rest of the daemon. All functions
/// are called on the configuration task's thread.
struct RecordChangesOutputs {
  std::function<void(const TableRequest &,
                     std::function<void(const TableReply &)>)>
      Table_;
  std::function<void(Duration, std::function<void()>)> RunAfter_;
  std::function<TimePoint()> Now_;
  std::function<std::int64_t()> UnixMs_;
  /// Returns whether the freshness guard allows this host to commit a change.
  std::function<bool()> MayCommit_;
  /// Called with true before a change is sent and with false once its outcome
  /// is known.
  std::function<void(bool)> SetInFlight_;
  Mailbox<HttpTaskMessage> Answers_;
};

/// Commits operators' changes one at a time. One transaction writes the record,
/// the head and the log entry, on the condition that the record's and the
/// head's versions are unchanged. If the reply is lost, the log entry is read
/// until the outcome is known, even after the operator was told that the change
/// may have run.
class RecordChanges {
public:
  explicit RecordChanges(RecordChangesOutputs Outputs)
      : Outputs_(std::move(Outputs)) {}

  /// Queues a change. The operator's name must include the host: log entries of
  /// two hosts must differ, since the entry shows whose change took effect.
  void change(RecordChangeRequested NewChange);
  void read(const RecordRequested &Request);
  void readLog(const ConfigLogRequested &Request);

private:
  /// The change that is being committed.
  struct ActiveChange {
    RecordChangeRequested Request_;
    TimePoint StartedAt_;
    std::optional<Record> Current_;
    std::optional<Record> NewRecord_;
    codec::ConfigHead Head_;
    codec::ChangeAuthor Author_;
    std::uint32_t Attempts_ = 0;
    bool OutcomeUnknown_ = false;
    bool Answered_ = false;
  };

  void startNext();
  void readCurrent();
  void handleCurrent(const TableReply &Reply);
  bool prepareRecord(const Rows &Read);
  void commit();
  void handleCommitReply(const TableReply &Reply);
  void readOutcome();
  void handleOutcome(const TableReply &Reply);
  void retryLater(void (RecordChanges::*Step)());
  void restart();
  void answerConflict();
  void answerAccepted(std::uint64_t RowVersion);
  void answerRefused(const Refusal &Cause);
  void finish(ChangeOutcome Outcome);
  void answer(ChangeOutcome Outcome);
  void sendTransaction();
  std::string nextLogKey() const;

  RecordChangesOutputs Outputs_;
  std::deque<RecordChangeRequested> Queue_;
  std::optional<ActiveChange> Active_;
  std::int64_t LastUnixMs_ = 0;
};

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_RECORD_CHANGES_H
