#ifndef OLEANDERGAUGE_BASE_H
#define OLEANDERGAUGE_BASE_H

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace oleandergauge {

/// A span of time in microseconds.
using Duration = std::chrono::microseconds;

/// The monotonic clock of one process. The library never reads it: every call
/// that depends on time takes a TimePoint. Values of different processes are
/// not comparable.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
};

using TimePoint = MonotonicClock::time_point;

/// A string identifier of one kind of object. Identifiers of different kinds do
/// not convert to each other. Ordered and hashable.
template <typename Tag> class Name {
public:
  Name() = default;
  explicit Name(std::string Text) : Text_(std::move(Text)) {}
  const std::string &str() const { return Text_; }
  bool empty() const { return Text_.empty(); }
  friend bool operator==(const Name &, const Name &) = default;
  // Not defaulted, because clang-tidy 14 reports problems in the code that is
  // generated for a defaulted operator.
  friend std::strong_ordering operator<=>(const Name &A, const Name &B) {
    return A.Text_ <=> B.Text_;
  }

private:
  std::string Text_;
};

using HostId = Name<struct HostTag>;
using WorkerId = Name<struct WorkerTag>;
using PartitionId = Name<struct PartitionTag>;
using FailureDomain = Name<struct FailureDomainTag>;
using Rack = Name<struct RackTag>;
using Region = Name<struct RegionTag>;
using TeamId = Name<struct TeamTag>;
using QueueId = Name<struct QueueTag>;
using JobId = Name<struct JobTag>;
/// The caller's own identifier of a request, unique within its team.
using RequestId = Name<struct RequestTag>;

/// Number of an ownership of a partition. Each takeover raises it, and writes
/// with a lower epoch are fenced off.
using Epoch = std::uint64_t;

/// One task of a job. Ordered by job, then index.
struct TaskId {
  JobId Job_;
  std::uint32_t Index_ = 0;
  friend bool operator==(const TaskId &, const TaskId &) = default;
  friend std::strong_ordering operator<=>(const TaskId &A, const TaskId &B) {
    const auto Jobs = A.Job_ <=> B.Job_;
    return std::is_neq(Jobs) ? Jobs : A.Index_ <=> B.Index_;
  }
};

/// One attempt of a task. Attempts are numbered from 1. A worker treats
/// different attempts of a task as different runs.
struct AttemptId {
  TaskId Task_;
  std::uint32_t Attempt_ = 0;
  friend bool operator==(const AttemptId &, const AttemptId &) = default;
  friend std::strong_ordering operator<=>(const AttemptId &A,
                                          const AttemptId &B) {
    const auto Tasks = A.Task_ <=> B.Task_;
    return std::is_neq(Tasks) ? Tasks : A.Attempt_ <=> B.Attempt_;
  }
};

/// Amounts of resources that a worker provides or a task needs. All operations
/// work on each component. A task fits on a worker only if no component of its
/// need exceeds what is free.
struct Resources {
  std::int64_t CpuMilli_ = 0;  ///< Thousandths of a core.
  std::int64_t MemoryMib_ = 0; ///< Mebibytes.
  std::int32_t Accelerators_ = 0;
  std::int32_t Slots_ = 0;
  std::int32_t Connections_ = 0;

  friend bool operator==(const Resources &, const Resources &) = default;

  /// Returns true if no component exceeds that of \p Other.
  bool fitsIn(const Resources &Other) const {
    return CpuMilli_ <= Other.CpuMilli_ && MemoryMib_ <= Other.MemoryMib_ &&
           Accelerators_ <= Other.Accelerators_ && Slots_ <= Other.Slots_ &&
           Connections_ <= Other.Connections_;
  }

  friend Resources operator+(const Resources &A, const Resources &B) {
    return {A.CpuMilli_ + B.CpuMilli_, A.MemoryMib_ + B.MemoryMib_,
            A.Accelerators_ + B.Accelerators_, A.Slots_ + B.Slots_,
            A.Connections_ + B.Connections_};
  }

  friend Resources operator-(const Resources &A, const Resources &B) {
    return {A.CpuMilli_ - B.CpuMilli_, A.MemoryMib_ - B.MemoryMib_,
            A.Accelerators_ - B.Accelerators_, A.Slots_ - B.Slots_,
            A.Connections_ - B.Connections_};
  }
};

/// Returns the maximum of \p A and \p B in each component.
Resources componentMax(const Resources &A, const Resources &B);

/// Tells whether the work of a request may have run. NotRun guarantees that it
/// has not run and will not run.
enum class Verdict { NotRun, MayHaveRun, Ran };

/// Returns "not_run", "may_have_run" or "ran".
std::string_view toString(Verdict Value);

/// The reason why a request was refused. Its text form is part of the API.
enum class RefusalReason {
  InvalidRequest,
  UnknownKey,
  WrongTeam,
  UnknownQueue,
  LimitReached,
  QueueFull,
  FitsNoWorker,
  GangExceedsPartition,
  DeadlineExceeded,
  StaleConfiguration,
  StoreUnavailable,
  OwnerUnavailable,
  Draining,
  Cancelled,
  Conflict,
  NotFound,
  WorkerFailed,
};

/// Returns the name in snake case, such as "limit_reached".
std::string_view toString(RefusalReason Value);

/// The error type of all operations that serve requests.
struct Refusal {
  Verdict Verdict_ = Verdict::NotRun;
  RefusalReason Reason_ = RefusalReason::InvalidRequest;
  std::string Message_;
  Duration RetryAfter_{0}; ///< Suggested delay; zero if a retry cannot help.
  friend bool operator==(const Refusal &, const Refusal &) = default;
};

template <typename T> using Result = tl::expected<T, Refusal>;

/// The kind of work, which decides how its tasks are scheduled: see "Unlike
/// workloads" in docs/design.md.
enum class WorkClass { Direct, Batch, Gang, Service };

/// Returns "direct", "batch", "gang" or "service".
std::string_view toString(WorkClass Value);

/// Returns a 64-bit hash (XXH64) that is the same on all hosts and in all
/// versions.
std::uint64_t stableHash(std::string_view Text);

namespace detail {

/// Combines lambdas into one visitor for std::visit.
template <typename... Ts> struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <typename... Ts> Overloaded(Ts...) -> Overloaded<Ts...>;

} // namespace detail
} // namespace oleandergauge

template <typename Tag> struct std::hash<oleandergauge::Name<Tag>> {
  std::size_t operator()(const oleandergauge::Name<Tag> &Value) const {
    return std::hash<std::string>()(Value.str());
  }
};

template <> struct std::hash<oleandergauge::TaskId> {
  std::size_t operator()(const oleandergauge::TaskId &Value) const {
    return std::hash<oleandergauge::JobId>()(Value.Job_) * 31 + Value.Index_;
  }
};

#endif // OLEANDERGAUGE_BASE_H
