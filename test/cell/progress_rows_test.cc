#include "cell/progress_rows.h"

#include <gtest/gtest.h>

namespace oleandergauge::cell::detail {
namespace {

TEST(ProgressRows, BeginsWithOneRowWithoutAnEnd) {
  ProgressRows Rows;
  EXPECT_FALSE(Rows.lastChanged());
  Rows.markChanged(1000000, 1000001);
  EXPECT_EQ(Rows.lastChanged(), TaskNumber{0});
  Rows.markSent(0);
  EXPECT_FALSE(Rows.lastChanged());
  EXPECT_TRUE(Rows.isStored(0));
}

TEST(ProgressRows, SendsTheUpperPartOfADividedRowFirst) {
  ProgressRows Rows;
  Rows.markChanged(5, 6);
  Rows.split(0, 10);
  EXPECT_EQ(Rows.endOf(0), TaskNumber{10});
  EXPECT_EQ(Rows.lastChanged(), TaskNumber{10});
  Rows.markSent(10);
  EXPECT_EQ(Rows.lastChanged(), TaskNumber{0});
}

TEST(ProgressRows, MarksEachRowOfARange) {
  ProgressRows Rows;
  for (const TaskNumber First : {10, 20, 30})
    Rows.addStored(First);
  Rows.markChanged(12, 21);
  EXPECT_EQ(Rows.lastChanged(), TaskNumber{20});
  Rows.markSent(20);
  EXPECT_EQ(Rows.lastChanged(), TaskNumber{10});
  Rows.markSent(10);
  EXPECT_FALSE(Rows.lastChanged());
}

TEST(ProgressRows, RemovesWholeRowsButNeverTheFirst) {
  ProgressRows Rows;
  for (const TaskNumber First : {0, 10, 20, 30})
    Rows.addStored(First);
  EXPECT_EQ(Rows.removeBefore(29), std::vector<TaskNumber>{10});
  EXPECT_EQ(Rows.stored(), (std::vector<TaskNumber>{0, 20, 30}));
  EXPECT_EQ(Rows.endOf(0), TaskNumber{20});
}

TEST(ProgressKeys, NameTheJobAndTheFirstTask) {
  EXPECT_EQ(encode(ProgressKey{"ab", 0}), "ab");
  EXPECT_EQ(encode(ProgressKey{"ab", 12}), "ab.12");
  for (const ProgressKey &Each : {ProgressKey{"ab", 0}, ProgressKey{"ab", 12}})
    EXPECT_EQ(decodeProgressKey(encode(Each)), Each);
  for (const char *Bad : {"ab.", "ab.0", "ab.x", "ab.1x", "ab.-1"})
    EXPECT_FALSE(decodeProgressKey(Bad)) << Bad;
}

} // namespace
} // namespace oleandergauge::cell::detail
