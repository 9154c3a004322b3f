#ifndef OLEANDERGAUGE_CELL_OWNERSHIP_H
#define OLEANDERGAUGE_CELL_OWNERSHIP_H

#include "cell/records.h"

namespace oleandergauge::cell {

/// The owner's row in the store; Version_ is 0 if there is none.
struct StoredOwner {
  std::uint64_t Version_ = 0;
  OwnerRow Row_;
  friend bool operator==(const StoredOwner &, const StoredOwner &) = default;
};

/// The outcome of a conditional transaction.
enum class TransactionResult {
  Done,
  Conflict, ///< The condition did not hold; the present row is known.
  Refused,  ///< The store was busy; the transaction was certainly not stored.
  /// The store will not take this transaction, which was certainly not stored.
  Rejected,
  Unknown ///< No answer; the transaction may be stored now or later.
};

/// Decides when a host may try to become the owner. Ownership itself is decided
/// by the conditional write of the owner's row. Each transaction of an owner
/// changes this row, so that an unchanged row indicates an owner that is gone
/// or cannot reach the store.
class TakeoverPolicy {
public:
  /// \p Spread delays this host against others that see the same state.
  TakeoverPolicy(std::string Self, Millis Spread);

  /// Processes a successful read of the row. Two reads more than MaxReadGap
  /// apart do not count as continuous observation, and the time without a
  /// change is measured from the second one.
  void observe(Millis Now, const StoredOwner &Seen);
  /// Reports that the connection to the owner was refused or reset, which shows
  /// that its process is gone.
  void ownerLinkLost() { LinkLost_ = true; }
  /// Reports that the owner's process of this epoch has ended or has stopped
  /// acting as the owner. One more read of the row suffices for a takeover.
  void ownerGone(Millis Now, Epoch Gone);
  /// Reports that this process has given up ownership of this epoch. A row that
  /// still names it does not belong to an earlier process of this host.
  void releasedOwnership(Epoch Own) { ReleasedEpoch_ = Own; }
  /// Sets whether the owner is alive and reaches the store. Such an owner is
  /// not replaced however long its row stays unchanged, as with a slow store.
  void setOwnerHealthy(bool Healthy) { OwnerHealthy_ = Healthy; }
  /// Sets whether the owner has named this host as its successor.
  void setPreferred(bool Preferred) { Preferred_ = Preferred; }
  /// Sets whether much stronger hosts follow the owner. They go first, since a
  /// weak host cannot keep up with a cell that they can serve.
  void setOutranked(bool Outranked) { Outranked_ = Outranked; }
  /// Returns whether this host should try to write itself into the row now.
  bool mayTakeOver(Millis Now) const;
  const StoredOwner &lastObserved() const { return LastObserved_; }
  /// Returns the time of the latest read; negative if there was none.
  Millis lastReadAt() const { return LastReadAt_; }
  /// Restarts the measurement of the owner's silence, as after a failed
  /// attempt.
  void restart(Millis Now);

private:
  std::string Self_;
  Millis Spread_;
  StoredOwner LastObserved_;
  Millis UnchangedSince_ = 0;
  Millis LastReadAt_ = -1;
  bool LinkLost_ = false; ///< Reset by a change of the row.
  /// Time since when the owner of GoneEpoch_ is known to be gone.
  std::optional<Millis> GoneSince_;
  Epoch GoneEpoch_ = 0;
  bool ReadSinceGone_ = false; ///< The row was read after GoneSince_.
  Epoch ReleasedEpoch_ = 0;    ///< The latest epoch that this process gave up.
  bool Preferred_ = false;
  bool Outranked_ = false;
  bool OwnerHealthy_ = false;
};

/// Sequences the owner's transactions. One is in flight at a time, and each is
/// conditional on the version that the previous one left, so that a late copy
/// of an earlier transaction fails.
class OwnerTransactions {
public:
  OwnerTransactions(OwnerRow Self, std::uint64_t PreviousVersion)
      : Row_(std::move(Self)), Version_(PreviousVersion) {}

  /// What the owner does next: proceed, repeat the transaction, compose another
  /// one in its place, stop acting because another host is the owner, or stop
  /// because the store holds a transaction that it has abandoned.
  enum class Verdict { Committed, Retry, Abandoned, Deposed, Diverged };

  /// The owner's row to write with the next transaction.
  const OwnerRow &row() const { return Row_; }
  /// The version of the row that the next transaction requires.
  std::uint64_t version() const { return Version_; }
  /// Whether an unanswered copy of an abandoned transaction may still be
  /// stored.
  bool mayBeStoredLate() const { return FirstAbandoned_.has_value(); }
  /// Processes the outcome of a transaction. \p NewVersion is the version of
  /// the row after Done; \p Present is the row found after Conflict.
  Verdict settle(TransactionResult Result, std::uint64_t NewVersion,
                 const StoredOwner &Present);

private:
  OwnerRow Row_;
  std::uint64_t Version_;
  /// The first sequence number abandoned since the last stored transaction.
  std::optional<std::uint64_t> FirstAbandoned_;
};

} // namespace oleandergauge::cell

#endif // OLEANDERGAUGE_CELL_OWNERSHIP_H
