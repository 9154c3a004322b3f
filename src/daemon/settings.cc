#include "daemon/settings.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>

#include <gio/gio.h>

#include "oleandergauge/partition.h"

namespace oleandergauge::daemon {
namespace {

using Flags = std::map<std::string, std::string>;

/// A command to a worker must end within MaxDeliveryDelay; otherwise the delay
/// after a takeover would not cover it.
constexpr std::int64_t MaxCommandTimeoutMs =
    std::chrono::duration_cast<std::chrono::milliseconds>(MaxDeliveryDelay)
        .count();

const SettingSpec &findSpec(const std::string &Flag) {
  const std::vector<SettingSpec> &Specs = settingSpecs();
  return *std::find_if(Specs.begin(), Specs.end(),
                       [&](const SettingSpec &S) { return S.Flag_ == Flag; });
}

/// Quotes and escapes a value, so that it stays on one line.
std::string quote(const std::string &Value) {
  char *Escaped = g_strescape(Value.c_str(), nullptr);
  std::string Text = std::string("\"") + Escaped + "\"";
  g_free(Escaped);
  return Text;
}

/// Looks up and validates setting values; keeps the first error.
class Resolver {
public:
  Resolver(const Flags &FlagValues, const Environment &Env)
      : FlagValues_(FlagValues), Env_(Env) {}

  std::string lookUp(const std::string &Flag) {
    const SettingSpec &Spec = findSpec(Flag);
    auto Found = FlagValues_.find(Flag);
    if (Found != FlagValues_.end())
      return Found->second;
    if (auto Value = Env_(environmentName(Spec)))
      return *Value;
    return Spec.Default_;
  }

  std::string validated(const std::string &Flag,
                        bool (*IsValid)(const std::string &)) {
    std::string Value = lookUp(Flag);
    if (!IsValid(Value))
      reject(Flag, Value);
    return Value;
  }

  std::int64_t number(const std::string &Flag, std::int64_t Min,
                      std::int64_t Max) {
    std::string Text = lookUp(Flag);
    std::int64_t Value = 0;
    const char *End = Text.data() + Text.size();
    auto [Stop, Code] = std::from_chars(Text.data(), End, Value);
    bool Parsed = Code == std::errc() && Stop == End && !Text.empty();
    if (!Parsed || Value < Min || Value > Max)
      reject(Flag, Text);
    return Value;
  }

  Duration millis(const std::string &Flag, std::int64_t Min, std::int64_t Max) {
    return std::chrono::milliseconds(number(Flag, Min, Max));
  }

  void reject(const std::string &Flag, const std::string &Value) {
    const SettingSpec &Spec = findSpec(Flag);
    if (!Error_.empty())
      return;
    std::string Shown = Spec.EnvironmentOnly_ ? "(not shown)"
                        : Value.empty()       ? "(not set)"
                                              : quote(Value);
    std::string Source = Spec.EnvironmentOnly_ ? "" : "--" + Flag + " / ";
    Error_ = "invalid setting " + Source + environmentName(Spec) + ": " +
             Shown + "; allowed: " + Spec.Allowed_;
  }

  const std::string &error() const { return Error_; }

private:
  const Flags &FlagValues_;
  const Environment &Env_;
  std::string Error_;
};

bool isName(const std::string &Text) {
  auto Allowed = [](unsigned char C) {
    return std::isalnum(C) != 0 || C == '-' || C == '_' || C == '.';
  };
  return !Text.empty() && Text.size() <= 64 &&
         std::all_of(Text.begin(), Text.end(), Allowed);
}

bool isAddress(const std::string &Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return false;
  std::string Host = Text.substr(0, Colon);
  int Port = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Code] = std::from_chars(Text.data() + Colon + 1, End, Port);
  bool PortValid =
      Code == std::errc() && Stop == End && Port >= 1 && Port <= 65535;
  return PortValid && g_hostname_is_ip_address(Host.c_str()) != FALSE &&
         Host.find(':') == std::string::npos;
}

bool isReachableAddress(const std::string &Text) {
  return isAddress(Text) && Text.rfind("0.0.0.0:", 0) != 0;
}

bool isHttpUrl(const std::string &Text) {
  GUri *Uri = g_uri_parse(Text.c_str(), G_URI_FLAGS_NONE, nullptr);
  if (Uri == nullptr)
    return false;
  const char *Host = g_uri_get_host(Uri);
  bool Valid = std::string(g_uri_get_scheme(Uri)) == "http" &&
               Host != nullptr && *Host != '\0';
  g_uri_unref(Uri);
  return Valid;
}

/// Returns whether the key is empty or long enough not to be guessed.
bool isOperatorKey(const std::string &Text) {
  return Text.empty() ||
         (Text.size() >= 16 && Text.size() <= 256 &&
          std::all_of(Text.begin(), Text.end(),
                      [](unsigned char C) { return std::isgraph(C) != 0; }));
}

std::optional<LogLevel> parseLogLevel(const std::string &Text) {
  for (LogLevel Level :
       {LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error})
    if (Text == toString(Level))
      return Level;
  return std::nullopt;
}

LogLevel readLogLevel(Resolver &Values) {
  std::string Text = Values.lookUp("log-level");
  std::optional<LogLevel> Level = parseLogLevel(Text);
  if (!Level)
    Values.reject("log-level", Text);
  return Level.value_or(LogLevel::Info);
}

/// Returns the advertised peer address, by default the peer listen address.
std::string readAdvertise(Resolver &Values, const std::string &PeerListen) {
  std::string Text = Values.lookUp("peer-advertise");
  if (Text.empty())
    Text = PeerListen;
  if (!isReachableAddress(Text))
    Values.reject("peer-advertise", Text);
  return Text;
}

void readIdentity(Resolver &Values, Settings &Out) {
  Out.Host_ = HostId(Values.validated("host-id", isName));
  Out.Region_ = Region(Values.validated("region", isName));
  Out.Domain_ = FailureDomain(Values.validated("failure-domain", isName));
  Out.HttpListen_ = Values.validated("http-listen", isAddress);
  Out.PeerListen_ = Values.validated("peer-listen", isAddress);
  Out.PeerAdvertise_ = readAdvertise(Values, Out.PeerListen_);
}

void readPlatform(Resolver &Values, Settings &Out) {
  Out.TableUrl_ = Values.validated("table-url", isHttpUrl);
  Out.LiveListUrl_ = Values.validated("live-list-url", isHttpUrl);
  Out.OperatorKey_ = Values.validated("operator-key", isOperatorKey);
}

void readDurations(Resolver &Values, Settings &Out) {
  Out.DrainLimit_ = Values.millis("drain-limit-ms", 0, 600000);
  Out.TableTimeout_ = Values.millis("table-timeout-ms", 50, 1000);
  Out.LiveListTimeout_ = Values.millis("live-list-timeout-ms", 50, 10000);
  Out.CommandTimeout_ =
      Values.millis("command-timeout-ms", 50, MaxCommandTimeoutMs);
  Out.CallTimeout_ = Values.millis("call-timeout-ms", 100, 900000);
  Out.LiveListInterval_ = Values.millis("live-list-interval-ms", 100, 5000);
}

} // namespace

std::string_view toString(LogLevel Value) {
  switch (Value) {
  case LogLevel::Debug:
    return "debug";
  case LogLevel::Info:
    return "info";
  case LogLevel::Warning:
    return "warning";
  case LogLevel::Error:
    return "error";
  }
  return "unknown";
}

const std::vector<SettingSpec> &settingSpecs() {
  static const std::string NameRule =
      "1 to 64 letters, digits, '-', '_' or '.'";
  static const std::string AddressRule = "IPv4 address:port, port 1 to 65535";
  static const std::string UrlRule = "http://host[:port]";
  static const std::vector<SettingSpec> Specs = {
      {"host-id", "", NameRule, "Unique name of this entry host."},
      {"region", "", NameRule, "Region of this entry host."},
      {"failure-domain", "", NameRule, "Failure domain of this entry host."},
      {"http-listen", "127.0.0.1:8080", AddressRule,
       "Listen address for callers and operators."},
      {"peer-listen", "127.0.0.1:8081", AddressRule,
       "Listen address for other entry hosts."},
      {"peer-advertise", "", AddressRule + ", not 0.0.0.0",
       "Address registered for other entry hosts; default: peer-listen.", false,
       false},
      {"table-url", "", UrlRule, "Base URL of the table service."},
      {"live-list-url", "", UrlRule, "Base URL of the live list."},
      {"operator-key", "", "empty or 16 to 256 printable characters, no space",
       "Key of operators; empty: no operator access.", true, false},
      {"log-level", "info", "debug, info, warning or error",
       "Lowest severity that is logged."},
      {"drain-limit-ms", "30000", "milliseconds, 0 to 600000",
       "Longest time that a graceful shutdown waits."},
      {"table-timeout-ms", "1000", "milliseconds, 50 to 1000",
       "Timeout of a table request."},
      {"live-list-timeout-ms", "1000", "milliseconds, 50 to 10000",
       "Timeout of a read of the live list."},
      {"live-list-interval-ms", "1000", "milliseconds, 100 to 5000",
       "Interval between reads of the live list."},
      {"command-timeout-ms", "1000", "milliseconds, 50 to 1000",
       "Timeout of a command to a worker."},
      {"call-timeout-ms", "60000", "milliseconds, 100 to 900000",
       "Longest time that a call or a wait for a job may take."},
      {"max-in-flight", "4096", "number, 1 to 100000",
       "Maximum requests in flight; others are refused with a retry hint."},
      {"max-body-kib", "8192", "kibibytes, 1 to 8192",
       "Largest body of a request."},
  };
  return Specs;
}

std::string environmentName(const SettingSpec &Spec) {
  std::string Name = "OLEANDERGAUGE_";
  for (char C : Spec.Flag_)
    Name += C == '-' ? '_' : static_cast<char>(std::toupper(C));
  return Name;
}

std::optional<std::string> readEnvironment(const std::string &Name) {
  const char *Value = std::getenv(Name.c_str());
  if (Value == nullptr)
    return std::nullopt;
  return std::string(Value);
}

tl::expected<Settings, std::string>
resolveSettings(const std::map<std::string, std::string> &FlagValues,
                const Environment &Env) {
  Resolver Values(FlagValues, Env);
  Settings Out;
  readIdentity(Values, Out);
  readPlatform(Values, Out);
  readDurations(Values, Out);
  Out.LogLevel_ = readLogLevel(Values);
  Out.MaxInFlight_ =
      static_cast<std::uint32_t>(Values.number("max-in-flight", 1, 100000));
  Out.MaxBodyBytes_ =
      static_cast<std::uint32_t>(Values.number("max-body-kib", 1, 8192) * 1024);
  if (!Values.error().empty())
    return tl::unexpected(Values.error());
  return Out;
}

} // namespace oleandergauge::daemon
