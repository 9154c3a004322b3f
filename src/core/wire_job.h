#ifndef OLEANDERGAUGE_CORE_WIRE_JOB_H
#define OLEANDERGAUGE_CORE_WIRE_JOB_H

#include <optional>

#include "oleandergauge/journal.h"

namespace oleandergauge {

namespace wire {
class JobSpec;
class Resources;
} // namespace wire

namespace detail {

/// Convert job specifications and resources to and from their protobuf
/// messages, which are used in journal rows and in requests that entry hosts
/// forward.
void toWire(const Resources &Value, wire::Resources *Message);
Resources fromWire(const wire::Resources &Message);
void toWire(const JobSpec &Value, wire::JobSpec *Message);
/// Returns nothing if the work class is unknown, as from a later build.
std::optional<JobSpec> fromWire(const wire::JobSpec &Message);

} // namespace detail
} // namespace oleandergauge

#endif // OLEANDERGAUGE_CORE_WIRE_JOB_H
