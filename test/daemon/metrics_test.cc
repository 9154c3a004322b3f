#include "daemon/metrics.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace oleandergauge::daemon {
namespace {

using std::chrono::milliseconds;

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

TEST(MetricsTest, CountersAddUpForEachSetOfLabels) {
  Metrics Own;
  Own.count("requests", {{"route", "calls"}});
  Own.count("requests", {{"route", "calls"}}, 2);
  Own.count("requests", {{"route", "jobs"}});
  std::string Text = Own.exposition();
  EXPECT_TRUE(contains(Text, "# TYPE oleandergauge_requests_total counter\n"));
  EXPECT_TRUE(
      contains(Text, "oleandergauge_requests_total{route=\"calls\"} 3\n"));
  EXPECT_TRUE(
      contains(Text, "oleandergauge_requests_total{route=\"jobs\"} 1\n"));
}

// Guards against buckets that are not cumulative or miss samples outside of
// the axis, which scrapers reject.
TEST(MetricsTest, BucketsAreCumulativeAndEndWithTheCount) {
  Metrics Own;
  for (Duration Sample : {Duration(0), Duration(50), Duration(milliseconds(5)),
                          Duration(std::chrono::hours(10))})
    Own.observe("wait", TeamId("t"), WorkClass::Direct, Sample);
  std::string Text = Own.exposition();
  std::string With = "{team=\"t\",class=\"direct\"";
  std::string Name = "oleandergauge_wait_seconds";
  EXPECT_TRUE(contains(Text, Name + "_bucket" + With + ",le=\"0.0001\"} 2\n"));
  EXPECT_TRUE(contains(Text, Name + "_bucket" + With + ",le=\"1000\"} 3\n"));
  EXPECT_TRUE(contains(Text, Name + "_bucket" + With + ",le=\"+Inf\"} 4\n"));
  EXPECT_TRUE(contains(Text, Name + "_count" + With + "} 4\n"));
}

// Guards against a label that breaks the format of the whole page.
TEST(MetricsTest, LabelsAreEscaped) {
  Metrics Own;
  Own.count("requests", {{"team", "a\"b\\c\nd"}});
  EXPECT_TRUE(contains(Own.exposition(), "{team=\"a\\\"b\\\\c\\nd\"} 1\n"));
}

TEST(MetricsTest, JsonGivesQuantilesOfEachTeamAndClass) {
  Metrics Own;
  for (int I = 0; I < 99; ++I)
    Own.observe("wait", TeamId("t"), WorkClass::Batch, milliseconds(1));
  Own.observe("wait", TeamId("t"), WorkClass::Batch, milliseconds(900));
  auto Page = nlohmann::json::parse(Own.histogramsJson());
  ASSERT_EQ(Page["histograms"].size(), 1U);
  const auto &Only = Page["histograms"][0];
  EXPECT_EQ(Only["count"], 100);
  EXPECT_GE(Only["p50_us"], 1000.0);
  EXPECT_LE(Only["p50_us"], 1600.0);
  EXPECT_LE(Only["p99_us"], 1600.0);
  EXPECT_EQ(Only["sum_us"], 99 * 1000 + 900 * 1000);
}

} // namespace
} // namespace oleandergauge::daemon
