#include <gtest/gtest.h>

#include "partition_fuzz_world.h"

namespace oleandergauge {
namespace {

// Guards against a team above its upper limit after an outage of the table
// (seed 53087487340245934 of the fuzz, made small).
TEST(PartitionLimitReplayTest, TheLimitHoldsAcrossAnOutage) {
  FuzzWorld World(867489964);
  play(World, {{3, 0, 0},
               {3, 0, 0},
               {12, 0, 87},
               {3, 0, 0},
               {3, 0, 11},
               {3, 0, 59},
               {11, 0, 79},
               {0, 0, 64},
               {0, 0, 93}});
}

} // namespace
} // namespace oleandergauge
