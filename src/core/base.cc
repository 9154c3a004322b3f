#include "oleandergauge/base.h"

#include <algorithm>

#include <xxhash.h>

namespace oleandergauge {

Resources componentMax(const Resources &A, const Resources &B) {
  return {
      std::max(A.CpuMilli_, B.CpuMilli_), std::max(A.MemoryMib_, B.MemoryMib_),
      std::max(A.Accelerators_, B.Accelerators_), std::max(A.Slots_, B.Slots_),
      std::max(A.Connections_, B.Connections_)};
}

std::string_view toString(Verdict Value) {
  switch (Value) {
  case Verdict::NotRun:
    return "not_run";
  case Verdict::MayHaveRun:
    return "may_have_run";
  case Verdict::Ran:
    return "ran";
  }
  return "unknown";
}

std::string_view toString(RefusalReason Value) {
  switch (Value) {
  case RefusalReason::InvalidRequest:
    return "invalid_request";
  case RefusalReason::UnknownKey:
    return "unknown_key";
  case RefusalReason::WrongTeam:
    return "wrong_team";
  case RefusalReason::UnknownQueue:
    return "unknown_queue";
  case RefusalReason::LimitReached:
    return "limit_reached";
  case RefusalReason::QueueFull:
    return "queue_full";
  case RefusalReason::FitsNoWorker:
    return "fits_no_worker";
  case RefusalReason::GangExceedsPartition:
    return "gang_exceeds_partition";
  case RefusalReason::DeadlineExceeded:
    return "deadline_exceeded";
  case RefusalReason::StaleConfiguration:
    return "stale_configuration";
  case RefusalReason::StoreUnavailable:
    return "store_unavailable";
  case RefusalReason::OwnerUnavailable:
    return "owner_unavailable";
  case RefusalReason::Draining:
    return "draining";
  case RefusalReason::Cancelled:
    return "cancelled";
  case RefusalReason::Conflict:
    return "conflict";
  case RefusalReason::NotFound:
    return "not_found";
  case RefusalReason::WorkerFailed:
    return "worker_failed";
  }
  return "unknown";
}

std::string_view toString(WorkClass Value) {
  switch (Value) {
  case WorkClass::Direct:
    return "direct";
  case WorkClass::Batch:
    return "batch";
  case WorkClass::Gang:
    return "gang";
  case WorkClass::Service:
    return "service";
  }
  return "unknown";
}

std::uint64_t stableHash(std::string_view Text) {
  return XXH64(Text.data(), Text.size(), 0);
}

} // namespace oleandergauge
