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
  std::function<void(Duration, std::function<void()>)> After_;
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
  void change(ChangeAsked Wanted);
  void read(const RecordAsked &Asked);
  void readLog(const LogAsked &Asked);

private:
  struct Work {
    ChangeAsked Wanted_;
    TimePoint BeganAt_;
    std::optional<Record> Present_;
    std::optional<Record> Next_;
    codec::ConfigHead Head_;
    codec::ChangeAuthor Author_;
    std::uint32_t Tries_ = 0;
    bool Unsettled_ = false;
    bool Answered_ = false;
  };

  void next();
  void readBase();
  void baseRead(const TableReply &Reply);
  bool prepare(const Rows &Read);
  void commit();
  void commitAnswered(const TableReply &Reply);
  void readBack();
  void backRead(const TableReply &Reply);
  void settleLater(void (RecordChanges::*Step)());
  void startOver();
  void conflict();
  void accept(std::uint64_t RowVersion);
  void refuse(const Refusal &Why);
  void finish(ChangeOutcome Outcome);
  void answer(ChangeOutcome Outcome);
  void send();
  std::string nextLogKey() const;

  RecordChangesOutputs Outputs_;
  std::deque<ChangeAsked> Queue_;
  std::optional<Work> Work_;
  std::int64_t LastUnixMs_ = 0;
};

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_RECORD_CHANGES_H
