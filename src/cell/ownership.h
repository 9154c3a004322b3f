#ifndef OLEANDERGAUGE_CELL_OWNERSHIP_H
#define OLEANDERGAUGE_CELL_OWNERSHIP_H

#include "cell/records.h"

namespace oleandergauge::cell {

/// The owner's row as the store holds it; version 0 where there is none.
struct StoredOwner {
  std::uint64_t Version_ = 0;
  OwnerRow Row_;
  friend bool operator==(const StoredOwner &, const StoredOwner &) = default;
};

/// How the store answered a conditional transaction.
enum class TransactionResult {
  Done,
  Conflict, ///< The condition did not hold; the present row is known.
  Refused,  ///< Certainly not done, the store was busy.
  Unknown   ///< No answer; may be done now or later.
};

/// Says when a host may try to become owner. Ownership itself is decided by
/// the conditional write of the owner's row, which each transaction of an
/// owner changes: a row that stays the same shows an owner that is gone or
/// cannot reach the store.
class TakeoverPolicy {
public:
  /// \p Spread delays this host against others that see the same.
  TakeoverPolicy(std::string Self, Millis Spread);

  /// Takes an answered read of the row. Reads more than MaxReadGap apart do
  /// not show that the row was unchanged in between.
  void observe(Millis Now, const StoredOwner &Seen);
  /// The link to the owner was refused or reset: its process is gone.
  void ownerLinkLost() { LinkLost_ = true; }
  /// The process of the owner of that epoch has ended, or says that it acts no
  /// longer. The next read of the row is enough for a takeover.
  void ownerGone(Millis Now, Epoch Gone);
  /// This process was owner of that epoch and is no longer: a row that still
  /// names it says nothing of a former life.
  void releasedOwnership(Epoch Own) { ReleasedEpoch_ = Own; }
  /// The owner is alive and reaches the store: however long its row stays
  /// the same, as with a slow store, it is not replaced.
  void setOwnerHealthy(bool Well) { OwnerHealthy_ = Well; }
  /// The owner named this host to follow it.
  void setPreferred(bool Preferred) { Preferred_ = Preferred; }
  /// Much stronger hosts than this one follow the owner: they go first, since
  /// a weak host cannot keep up with a cell that they can serve.
  void setOutranked(bool Outranked) { Outranked_ = Outranked; }
  /// True where this host should write itself into the row now.
  bool mayTakeOver(Millis Now) const;
  const StoredOwner &lastObserved() const { return LastObserved_; }
  /// Forgets how long the row was unchanged, as after a failed attempt.
  void restart(Millis Now);

private:
  std::string Self_;
  Millis Spread_;
  StoredOwner LastObserved_;
  Millis UnchangedSince_ = 0;
  Millis LastReadAt_ = -1;
  bool LinkLost_ = false;
  /// Since then the owner of GoneEpoch_ is known to be gone.
  std::optional<Millis> GoneSince_;
  Epoch GoneEpoch_ = 0;
  bool ReadSinceGone_ = false;
  Epoch ReleasedEpoch_ = 0;
  bool Preferred_ = false;
  bool Outranked_ = false;
  bool OwnerHealthy_ = false;
};

/// The owner's transactions: one at a time, each on condition of the version
/// that the one before left. A late copy of an earlier one therefore fails.
class OwnerTransactions {
public:
  OwnerTransactions(OwnerRow Self, std::uint64_t PreviousVersion)
      : Row_(std::move(Self)), Version_(PreviousVersion) {}

  enum class Verdict { Committed, Retry, Deposed };

  /// The row to write with the next transaction.
  const OwnerRow &row() const { return Row_; }
  /// The version that the row must have for it.
  std::uint64_t version() const { return Version_; }
  /// Takes the answer. \p NewVersion is the row's after Done; \p Present the
  /// row after Conflict.
  Verdict settle(TransactionResult Result, std::uint64_t NewVersion,
                 const StoredOwner &Present);

private:
  OwnerRow Row_;
  std::uint64_t Version_;
};

} // namespace oleandergauge::cell

#endif // OLEANDERGAUGE_CELL_OWNERSHIP_H
