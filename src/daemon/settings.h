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

/// Severity from which on log lines are written.
enum class LogLevel { Debug, Info, Warning, Error };

/// "debug", "info", "warning" or "error".
std::string_view toString(LogLevel Value);

/// Everything that can be set about one daemon, checked.
struct Settings {
  HostId Host_;
  Region Region_;
  FailureDomain Domain_;
  std::string HttpListen_;    ///< "ip:port" for callers and operators.
  std::string PeerListen_;    ///< "ip:port" for other entry hosts.
  std::string PeerAdvertise_; ///< "ip:port" that other entry hosts use.
  std::string TableUrl_;
  std::string LiveListUrl_;
  std::string OperatorKey_; ///< Never logged. Empty: no operator access.
  LogLevel LogLevel_ = LogLevel::Info;
  Duration DrainLimit_{0};
  Duration TableTimeout_{0};
  Duration LiveListTimeout_{0};
  Duration CommandTimeout_{0};
  Duration CallTimeout_{0};
  Duration LiveListInterval_{0};
  std::uint32_t MaxInFlight_ = 0;
  std::uint32_t MaxBodyBytes_ = 0;

  /// How this host is registered.
  Member member() const { return {Host_, PeerAdvertise_, Region_, Domain_}; }
  friend bool operator==(const Settings &, const Settings &) = default;
};

/// One setting as `serve --help` lists it.
struct SettingSpec {
  std::string Flag_;    ///< Without the leading dashes.
  std::string Default_; ///< Empty where the setting must be given.
  std::string Allowed_; ///< What is allowed, with the unit.
  std::string Help_;
  bool EnvironmentOnly_ = false;
  bool Required_ = true;
  friend bool operator==(const SettingSpec &, const SettingSpec &) = default;
};

/// All settings, in the order of the help text.
const std::vector<SettingSpec> &settingSpecs();

/// "OLEANDERGAUGE_" and the flag in capitals with underscores.
std::string environmentName(const SettingSpec &Spec);

/// Reads an environment variable; empty where it is not set.
using Environment =
    std::function<std::optional<std::string>(const std::string &Name)>;

/// The process's environment.
std::optional<std::string> readEnvironment(const std::string &Name);

/// Joins flags (by SettingSpec::Flag_), environment and defaults, in this
/// order of precedence, and checks each value. The error is one line with
/// the setting, its value and what is allowed; it never shows a key.
tl::expected<Settings, std::string>
resolveSettings(const std::map<std::string, std::string> &Flags,
                const Environment &Env);

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_SETTINGS_H
