#ifndef OLEANDERGAUGE_CELL_RECORDS_H
#define OLEANDERGAUGE_CELL_RECORDS_H

#include "cell/types.h"

namespace oleandergauge::cell::pb {
class Job;
} // namespace oleandergauge::cell::pb

namespace oleandergauge::cell {

/// Tables of the owner's rows in the store.
inline constexpr const char *OwnerTable = "owner";
inline constexpr const char *JobTable = "jobs";
inline constexpr const char *ProgressTable = "progress";
inline constexpr const char *EndedTable = "ended";
inline constexpr const char *WorkersTable = "workers";
inline constexpr const char *WavesTable = "waves";
/// Key of the row in tables with a single row.
inline constexpr const char *SingleRowKey = "cell";

/// The row of the current owner.
struct OwnerRow {
  std::uint64_t Epoch_ = 0;    ///< Increases with each takeover.
  std::uint64_t Sequence_ = 0; ///< Increases with each transaction.
  std::string Host_;
  std::string Address_;
  bool Released_ = false; ///< The owner has given up the cell.
  friend bool operator==(const OwnerRow &, const OwnerRow &) = default;
};

/// What a job needs from its queue, as it was when the job was accepted. It
/// applies where an owner does not know the queue, because the operators
/// removed it before the takeover.
struct QueueTerms {
  std::string Service_;
  int Priority_ = 0;
  std::uint32_t Attempts_ = 1;
  double SlackFactor_ = 1;
  Millis Objective_ = 0;
  std::optional<AdviceCost> Advice_;
  friend bool operator==(const QueueTerms &, const QueueTerms &) = default;
};
QueueTerms termsOf(const Queue &Config);
/// Returns a queue of that name with these terms, which callers cannot address.
Queue queueFrom(const std::string &Name, const QueueTerms &Terms);

/// A job as it was accepted.
struct JobRecord {
  JobSpec Spec_;
  std::string Queue_;
  std::string Team_;
  Millis AcceptedAt_ = 0; ///< In milliseconds since 1970.
  /// Nothing in a row of an earlier version, or if the queue was not known.
  std::optional<QueueTerms> Terms_ = std::nullopt;
  friend bool operator==(const JobRecord &, const JobRecord &) = default;
};

/// A failed run of a task.
struct Failure {
  std::uint32_t Task_ = 0;
  std::uint64_t Attempt_ = 0;
  friend bool operator==(const Failure &, const Failure &) = default;
};

/// The progress of one step of one occurrence.
struct StepProgress {
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  std::vector<bool> Done_; ///< Whether tasks are done, from FirstTask_ on.
  std::vector<Failure> Failures_;
  std::uint32_t FirstTask_ = 0;
  friend bool operator==(const StepProgress &, const StepProgress &) = default;
};

/// The progress of a job in one row of the store.
struct JobProgress {
  std::vector<StepProgress> Steps_;
  /// Occurrences, from the first one on, that are done and have no entries.
  std::uint32_t DoneOccurrences_ = 0;
  friend bool operator==(const JobProgress &, const JobProgress &) = default;
};

/// How a job ended.
enum class EndState { Complete, Failed, Cancelled };

/// A job that has ended, as it is stored.
struct EndedRecord {
  EndState State_ = EndState::Complete;
  Millis EndedAt_ = 0; ///< In milliseconds since 1970.
  std::string Queue_;
  friend bool operator==(const EndedRecord &, const EndedRecord &) = default;
};

/// The decoders return nothing for invalid bytes.
std::string encode(const OwnerRow &Row);
std::optional<OwnerRow> decodeOwner(const std::string &Bytes);
std::string encode(const JobRecord &Record);
std::optional<JobRecord> decodeJob(const std::string &Bytes);
std::string encode(const JobProgress &Progress);
std::optional<JobProgress> decodeProgress(const std::string &Bytes);
std::string encode(const EndedRecord &Record);
std::optional<EndedRecord> decodeEnded(const std::string &Bytes);

/// The jobs that ended in one transaction, by id. They share a row whose key
/// begins with EndedBatchPrefix. A row of an earlier version contains one job
/// and has its id as key.
using EndedBatch = std::vector<std::pair<std::string, EndedRecord>>;
inline constexpr char EndedBatchPrefix = '#';
std::string encode(const EndedBatch &Batch);
std::optional<EndedBatch> decodeEndedBatch(const std::string &Key,
                                           const std::string &Bytes);
std::string encode(const std::set<std::string> &WorkerIds);
std::optional<std::set<std::string>> decodeWorkers(const std::string &Bytes);

void toMessage(const JobRecord &Record, pb::Job &Out);
JobRecord fromMessage(const pb::Job &Message);

/// Encodes the machines of a wave whose upkeep is done.
std::string encodeWaveProgress(const std::set<std::string> &Done);
std::optional<std::set<std::string>>
decodeWaveProgress(const std::string &Bytes);

} // namespace oleandergauge::cell

#endif // OLEANDERGAUGE_CELL_RECORDS_H
