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

  void change(RecordChange Wanted);
  void read(const RecordAsked &Asked);
  void readLog(const LogAsked &Asked);

private:
  struct Work {
    RecordChange Wanted_;
    TimePoint BeganAt_;
    std::optional<Record> Present_;
    std::uint64_t RowVersion_ = 0;
    std::uint64_t Head_ = 0;
    std::uint64_t HeadRowVersion_ = 0;
    std::string EntryBytes_;
    std::uint32_t Tries_ = 0;
    bool Unsettled_ = false;
    bool Answered_ = false;
  };

  void next();
  void readBase();
  void baseRead(const TableReply &Reply);
  void commit();
  void commitAnswered(const TableReply &Reply);
  void readBack();
  void backRead(const TableReply &Reply);
  void settleLater(void (RecordChanges::*Step)());
  void startOver();
  void conflict();
  void refuse(const Refusal &Why);
  void finish(ChangeOutcome Outcome);
  void answer(ChangeOutcome Outcome);
  Transaction transaction() const;

  RecordChangesOutputs Outputs_;
  std::deque<RecordChange> Queue_;
  std::optional<Work> Work_;
};

/// Row keys of records, of the head and of the log.
inline constexpr const char *ConfigPrefix = "config/";
inline constexpr const char *HeadKey = "config-head";
inline constexpr const char *LogPrefix = "config-log/";
std::string recordKey(RecordKind Kind, const std::string &Name);
std::string logKey(std::uint64_t Version);

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_RECORD_CHANGES_H
