#ifndef OLEANDERGAUGE_TEST_DAEMON_CODEC_GENERATORS_H
#define OLEANDERGAUGE_TEST_DAEMON_CODEC_GENERATORS_H

#include <string>

#include <rapidcheck.h>

#include "oleandergauge/config.h"

namespace oleandergauge::testing {

/// Generates names that the API accepts.
inline rc::Gen<std::string> names() {
  return rc::gen::nonEmpty(rc::gen::container<std::string>(
      rc::gen::element('a', 'Z', '0', '.', '_', '-')));
}

/// Generates a body of the given kind that passes checkRecord in schema version
/// \p Schema.
inline RecordBody anyBody(RecordKind Kind, std::uint32_t Schema) {
  const bool Flag = *rc::gen::arbitrary<bool>();
  const auto Number = *rc::gen::inRange<std::uint32_t>(1, 1000);
  switch (Kind) {
  case RecordKind::Team:
    return TeamRecord{*names()};
  case RecordKind::Key:
    return KeyRecord{TeamId(*names()), Flag};
  case RecordKind::Share:
    return ShareRecord{Number / 8.0};
  case RecordKind::Limit:
    return LimitRecord{Number};
  case RecordKind::Queue: {
    QueueRecord Body{static_cast<WorkClass>(Number % 4), Flag, {}};
    if (Schema > 1 && !Flag)
      Body.Teams_.emplace_back(*names());
    return Body;
  }
  case RecordKind::FailureDomain:
    return FailureDomainRecord{Flag};
  case RecordKind::Worker:
    return WorkerRecord{Flag};
  case RecordKind::Partition:
    return PartitionRecord{Region(*names()), Number - 1, Number};
  }
  return TeamRecord{};
}

inline RecordKind anyKind() {
  return static_cast<RecordKind>(*rc::gen::inRange(0, 8));
}

/// Returns \p Valid with random bytes changed, cut off or inserted.
inline std::string mutated(std::string Valid) {
  const int Changes = *rc::gen::inRange(1, 6);
  for (int I = 0; I < Changes && !Valid.empty(); ++I) {
    const auto At = *rc::gen::inRange<std::size_t>(0, Valid.size());
    const int Kind = *rc::gen::inRange(0, 4);
    if (Kind == 0)
      Valid.resize(At);
    else if (Kind == 1)
      Valid.insert(At, *rc::gen::arbitrary<std::string>());
    else
      Valid[At] = *rc::gen::arbitrary<char>();
  }
  return Valid;
}

} // namespace oleandergauge::testing

#endif // OLEANDERGAUGE_TEST_DAEMON_CODEC_GENERATORS_H
