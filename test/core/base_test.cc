#include "oleandergauge/base.h"

#include <gtest/gtest.h>

namespace oleandergauge {
namespace {

// Guards against accepting a need because only some of its components fit.
TEST(ResourcesTest, FitsOnlyWhereEveryComponentFits) {
  const Resources Capacity{1000, 512, 1, 8, 64};
  EXPECT_TRUE((Resources{1000, 512, 1, 8, 64}.fitsIn(Capacity)));
  EXPECT_FALSE((Resources{1001, 1, 0, 1, 1}.fitsIn(Capacity)));
  EXPECT_FALSE((Resources{1, 1, 2, 1, 1}.fitsIn(Capacity)));
}

// Guards against a hash that differs between versions. A retry would then reach
// another partition and could run a second time.
TEST(StableHashTest, HasTheKnownValueOfXxh64) {
  EXPECT_EQ(stableHash(""), 0xef46db3751d8e999ULL);
}

} // namespace
} // namespace oleandergauge
