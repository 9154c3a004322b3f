#ifndef OLEANDERGAUGE_CODEC_CHECKS_H
#define OLEANDERGAUGE_CODEC_CHECKS_H

#include <cstddef>
#include <string>
#include <string_view>

#include "oleandergauge/base.h"
#include "oleandergauge/config.h"

namespace oleandergauge::codec {

/// Longest name or identifier that the API accepts.
inline constexpr std::size_t MaxNameLength = 128;

/// A refusal with NotRun, as every codec gives for input it cannot use.
tl::unexpected<Refusal>
refuse(std::string Message,
       RefusalReason Reason = RefusalReason::InvalidRequest);

/// Text for use in messages: quoted, cut after 64 characters, and without
/// bytes that could break a log line.
std::string quoteForMessage(std::string_view Text);

/// True where the text has 1 to MaxNameLength characters of [A-Za-z0-9._-].
bool isName(std::string_view Text);

/// Refuses what is no name; the message names the field.
Result<void> checkName(std::string_view Field, std::string_view Value);

/// Refuses values outside their range (weight, stripes, names of teams), and
/// what the record's schema version cannot express.
Result<void> checkRecord(const Record &Checked);

} // namespace oleandergauge::codec

#endif // OLEANDERGAUGE_CODEC_CHECKS_H
