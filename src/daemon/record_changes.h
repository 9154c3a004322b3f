#ifndef OLEANDERGAUGE_DAEMON_RECORD_CHANGES_H
#define OLEANDERGAUGE_DAEMON_RECORD_CHANGES_H

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "daemon/messages.h"

namespace oleandergauge::daemon {

/// What RecordChanges reaches the rest of the daemon by. All of it runs on
/// the task's own thread.
struct RecordChangesOutputs {
  std::function<void(const TableRequest &,
                     std::function<void(const TableReply &)>)>
      Table_;
  std::function<void(Duration, std::function<void()>)> RunAfter_;
  std::function<TimePoint()> Now_;
  std::function<std::int64_t()> UnixMs_;
  /// Whether the freshness guard lets this host commit a change now.
  std::function<bool()> MayCommit_;
  /// Told before a change is sent and after its fate is known.
  std::function<void(bool)> SetInFlight_;
  Mailbox<HttpTaskMessage> Answers_;
};

/// Commits operators' changes, one at a time: the record, the head and the
/// log entry in one transaction that is conditional on the record's and the
/// head's version. A change whose answer was lost is read back until its fate
/// is known, also after the operator was told that it may have run.
class RecordChanges {
public:
  explicit RecordChanges(RecordChangesOutputs Outputs)
      : Outputs_(std::move(Outputs)) {}

  /// The operator's name must tell the host too: a log entry shows which
  /// host's change took effect.
  void change(RecordChangeRequested Wanted);
  void read(const RecordRequested &Request);
  void readLog(const ConfigLogRequested &Request);

private:
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
  void answerRefused(const Refusal &Why);
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
