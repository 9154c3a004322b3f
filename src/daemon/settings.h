#ifndef OLEANDERGAUGE_DAEMON_SETTINGS_H
#define OLEANDERGAUGE_DAEMON_SETTINGS_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "oleandergauge/base.h"
#include "oleandergauge/membership.h"

namespace oleandergauge::daemon {

/// Severity of a log line; lines below the configured one are not written.
enum class LogLevel { Debug, Info, Warning, Error };

/// Returns "debug", "info", "warning" or "error".
std::string_view toString(LogLevel Value);

/// The validated settings of a daemon.
struct Settings {
  HostId Host_;
  Region Region_;
  FailureDomain Domain_;
  std::string HttpListen_;    ///< "ip:port" for callers and operators.
  std::string PeerListen_;    ///< "ip:port" for other entry hosts.
  std::string PeerAdvertise_; ///< "ip:port" that other entry hosts use.
  std::string TableUrl_;
  std::string LiveListUrl_;
  std::string OperatorKey_; ///< Must not be logged. Empty: no operator access.
  LogLevel LogLevel_ = LogLevel::Info;
  Duration DrainLimit_{0};
  Duration TableTimeout_{0};
  Duration LiveListTimeout_{0};
  Duration CommandTimeout_{0};
  Duration CallTimeout_{0};
  Duration LiveListInterval_{0};
  std::uint32_t MaxInFlight_ = 0;
  std::uint32_t MaxBodyBytes_ = 0;

  /// Returns the member entry that this host registers.
  Member member() const { return {Host_, PeerAdvertise_, Region_, Domain_}; }
  friend bool operator==(const Settings &, const Settings &) = default;
};

/// Describes a setting, as listed by `serve --help`.
struct SettingSpec {
  std::string Flag_;    ///< Without the leading dashes.
  std::string Default_; ///< Empty if there is no default.
  std::string Allowed_; ///< The allowed values, with their unit.
  std::string Help_;
  bool EnvironmentOnly_ = false;
  bool Required_ = true;
  friend bool operator==(const SettingSpec &, const SettingSpec &) = default;
};

/// Returns all settings in the order of the help text.
const std::vector<SettingSpec> &settingSpecs();

/// Returns the setting's environment variable: "OLEANDERGAUGE_" and the flag in
/// upper case with underscores.
std::string environmentName(const SettingSpec &Spec);

/// Reads an environment variable; returns nullopt if it is not set.
using Environment =
    std::function<std::optional<std::string>(const std::string &Name)>;

/// Reads a variable of the process's environment.
std::optional<std::string> readEnvironment(const std::string &Name);

/// Merges flags (keyed by SettingSpec::Flag_), environment and defaults, in
/// this order of precedence, and validates each value. The error is one line
/// with the setting, its value and the allowed values; it never shows a key.
tl::expected<Settings, std::string>
resolveSettings(const std::map<std::string, std::string> &Flags,
                const Environment &Env);

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_SETTINGS_H
