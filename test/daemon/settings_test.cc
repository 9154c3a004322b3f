#include "daemon/settings.h"

#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace oleandergauge::daemon {
namespace {

using Values = std::map<std::string, std::string>;

Values validFlags() {
  return {{"host-id", "entry-1"},
          {"region", "north"},
          {"failure-domain", "fd-a"},
          {"table-url", "http://127.0.0.1:9001"},
          {"live-list-url", "http://127.0.0.1:9003"}};
}

Environment environmentOf(const Values &Set) {
  return [Set](const std::string &Name) -> std::optional<std::string> {
    auto Found = Set.find(Name);
    if (Found == Set.end())
      return std::nullopt;
    return Found->second;
  };
}

tl::expected<Settings, std::string> resolveWith(const std::string &Flag,
                                                const std::string &Value) {
  Values Flags = validFlags();
  Flags[Flag] = Value;
  return resolveSettings(Flags, environmentOf({}));
}

TEST(SettingsTest, DefaultsFillWhatIsNotGiven) {
  auto Found = resolveSettings(validFlags(), environmentOf({}));
  ASSERT_TRUE(Found) << Found.error();
  EXPECT_EQ(Found->HttpListen_, "127.0.0.1:8080");
  EXPECT_EQ(Found->PeerAdvertise_, Found->PeerListen_);
  EXPECT_EQ(Found->TableTimeout_, std::chrono::milliseconds(1000));
  EXPECT_EQ(Found->MaxBodyBytes_, 8192U * 1024U);
}

// Guards against a setting that cannot be set by its environment variable.
TEST(SettingsTest, EverySettingIsReadFromTheEnvironment) {
  for (const SettingSpec &Spec : settingSpecs()) {
    Values Flags = validFlags();
    Flags.erase(Spec.Flag_);
    std::string Name = environmentName(Spec);
    auto Found = resolveSettings(Flags, environmentOf({{Name, "\n"}}));
    ASSERT_FALSE(Found) << Name;
    EXPECT_NE(Found.error().find(Name), std::string::npos) << Found.error();
  }
}

TEST(SettingsTest, FlagsGoBeforeTheEnvironment) {
  auto Found = resolveSettings(
      validFlags(), environmentOf({{"OLEANDERGAUGE_HOST_ID", "other"}}));
  ASSERT_TRUE(Found) << Found.error();
  EXPECT_EQ(Found->Host_, HostId("entry-1"));
}

// Guards against values that are parsed only in part, such as "10x" as 10.
TEST(SettingsTest, InvalidValuesAreRefused) {
  const std::vector<std::pair<std::string, std::string>> Cases = {
      {"host-id", ""},
      {"host-id", "a/b"},
      {"region", std::string(65, 'r')},
      {"http-listen", "127.0.0.1"},
      {"http-listen", "localhost:80"},
      {"http-listen", "127.0.0.1:0"},
      {"http-listen", "127.0.0.1:65536"},
      {"peer-listen", "127.0.0.1:80x"},
      {"peer-advertise", "0.0.0.0:8081"},
      {"table-url", ""},
      {"table-url", "https://127.0.0.1"},
      {"table-url", "127.0.0.1:9000"},
      {"live-list-url", "http://"},
      {"log-level", "loud"},
      {"drain-limit-ms", "-1"},
      {"drain-limit-ms", "10x"},
      {"table-timeout-ms", ""},
      {"table-timeout-ms", "1001"},
      {"command-timeout-ms", "1001"},
      {"call-timeout-ms", "99999999999999999999"},
      {"max-in-flight", "0"},
      {"max-body-kib", "8193"}};
  for (const auto &[Flag, Value] : Cases)
    EXPECT_FALSE(resolveWith(Flag, Value)) << Flag << "=" << Value;
}

TEST(SettingsTest, ErrorIsOneLineWithNameValueAndRange) {
  auto Found = resolveWith("table-timeout-ms", "7");
  ASSERT_FALSE(Found);
  EXPECT_EQ(Found.error(),
            "invalid setting --table-timeout-ms / "
            "OLEANDERGAUGE_TABLE_TIMEOUT_MS: \"7\"; allowed: milliseconds, "
            "50 to 1000");
}

// Guards against showing an operator key in a log or on a terminal.
TEST(SettingsTest, ErrorNeverShowsTheOperatorKey) {
  auto Found = resolveSettings(
      validFlags(),
      environmentOf({{"OLEANDERGAUGE_OPERATOR_KEY", "short-key"}}));
  ASSERT_FALSE(Found);
  EXPECT_EQ(Found.error().find("short-key"), std::string::npos);
  EXPECT_NE(Found.error().find("OLEANDERGAUGE_OPERATOR_KEY"),
            std::string::npos);
}

// Guards against a value that splits the error message into two lines.
TEST(SettingsTest, ErrorStaysOneLineForAnyValue) {
  auto Found = resolveWith("host-id", "a\nb");
  ASSERT_FALSE(Found);
  EXPECT_EQ(Found.error().find('\n'), std::string::npos);
}

} // namespace
} // namespace oleandergauge::daemon
