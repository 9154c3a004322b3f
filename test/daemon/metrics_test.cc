#include "daemon/metrics.h"

#include <gtest/gtest.h>

namespace oleandergauge::daemon {
namespace {

using std::chrono::milliseconds;

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

TEST(MetricsTest, CountersAddUpForEachSetOfLabels) {
  Metrics HostMetrics;
  HostMetrics.count("requests", {{"route", "calls"}});
  HostMetrics.count("requests", {{"route", "calls"}}, 2);
  HostMetrics.count("requests", {{"route", "jobs"}});
  std::string Text = HostMetrics.exposition();
  EXPECT_TRUE(contains(Text, "# TYPE oleandergauge_requests_total counter\n"));
  EXPECT_TRUE(
      contains(Text, "oleandergauge_requests_total{route=\"calls\"} 3\n"));
  EXPECT_TRUE(
      contains(Text, "oleandergauge_requests_total{route=\"jobs\"} 1\n"));
}

// Guards against buckets that are not cumulative or omit samples outside the
// axis. Scrapers reject such histograms.
TEST(MetricsTest, BucketsAreCumulativeAndEndWithTheCount) {
  Metrics HostMetrics;
  for (Duration Sample : {Duration(0), Duration(50), Duration(milliseconds(5)),
                          Duration(std::chrono::hours(10))})
    HostMetrics.observe("wait", TeamId("t"), WorkClass::Direct, Sample);
  std::string Text = HostMetrics.exposition();
  std::string With = "{team=\"t\",class=\"direct\"";
  std::string Name = "oleandergauge_wait_seconds";
  EXPECT_TRUE(contains(Text, Name + "_bucket" + With + ",le=\"0.0001\"} 2\n"));
  EXPECT_TRUE(contains(Text, Name + "_bucket" + With + ",le=\"1000\"} 3\n"));
  EXPECT_TRUE(contains(Text, Name + "_bucket" + With + ",le=\"+Inf\"} 4\n"));
  EXPECT_TRUE(contains(Text, Name + "_count" + With + "} 4\n"));
}

// Guards against a label value that breaks the format of the whole page.
TEST(MetricsTest, LabelsAreEscaped) {
  Metrics HostMetrics;
  HostMetrics.count("requests", {{"team", "a\"b\\c\nd"}});
  EXPECT_TRUE(
      contains(HostMetrics.exposition(), "{team=\"a\\\"b\\\\c\\nd\"} 1\n"));
}

// Guards against mixing the samples of different teams or classes in one
// histogram.
TEST(MetricsTest, EachTeamAndClassHasItsHistogram) {
  Metrics HostMetrics;
  for (int I = 0; I < 99; ++I)
    HostMetrics.observe("wait", TeamId("t"), WorkClass::Batch, milliseconds(1));
  HostMetrics.observe("wait", TeamId("t"), WorkClass::Batch, milliseconds(900));
  HostMetrics.observe("wait", TeamId("t"), WorkClass::Direct, milliseconds(1));
  HostMetrics.observe("wait", TeamId("u"), WorkClass::Batch,
                      std::chrono::hours(1));
  std::vector<codec::HistogramPage> All = HostMetrics.histograms();
  ASSERT_EQ(All.size(), 3U);
  EXPECT_EQ(All[0].Count_, 1U);
  EXPECT_EQ(All[1].Count_, 100U);
  EXPECT_EQ(All[1].SumUs_, 99 * 1000 + 900 * 1000);
  ASSERT_EQ(All[1].Buckets_.size(), 2U);
  EXPECT_EQ(All[1].Buckets_[0].Count_, 99U);
  EXPECT_GE(All[1].Buckets_[0].UpToUs_, 1000);
  EXPECT_LE(All[1].Buckets_[0].UpToUs_, 1600);
  // Above the axis: no bound.
  EXPECT_EQ(All[2].Buckets_, (std::vector<codec::HistogramBucket>{{-1, 1}}));
}

} // namespace
} // namespace oleandergauge::daemon
