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

/// Conversions between job specifications and their message, which stands in
/// journal rows and in what entry hosts forward to each other.
void toWire(const Resources &Value, wire::Resources *Message);
Resources fromWire(const wire::Resources &Message);
void toWire(const JobSpec &Value, wire::JobSpec *Message);
/// Empty where the class is one of a later build.
std::optional<JobSpec> fromWire(const wire::JobSpec &Message);

} // namespace detail
} // namespace oleandergauge

#endif // OLEANDERGAUGE_CORE_WIRE_JOB_H
