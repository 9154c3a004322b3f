#include <cstdio>

#include "cli/commands.h"
#include "daemon/host.h"
#include "daemon/log.h"
#include "daemon/settings.h"

namespace oleandergauge::cli {
namespace {

std::string describe(const daemon::SettingSpec &Spec) {
  std::string Default = Spec.Default_.empty()
                            ? (Spec.Required_ ? "required" : "no default")
                            : "default: " + Spec.Default_;
  return Spec.Help_ + " [" + Spec.Allowed_ + "; " + Default +
         "; environment: " + daemon::environmentName(Spec) + "]";
}

CommandSpec serveSpec() {
  CommandSpec Out{
      "serve", "Runs an entry host until SIGTERM or SIGINT.", {}, ""};
  for (const daemon::SettingSpec &Spec : daemon::settingSpecs()) {
    if (Spec.EnvironmentOnly_)
      Out.Summary_ += " " + daemon::environmentName(Spec) +
                      " (environment only): " + Spec.Help_ + " [" +
                      Spec.Allowed_ + "]";
    else
      Out.Options_.push_back({Spec.Flag_, "VALUE", describe(Spec)});
  }
  return Out;
}

} // namespace

int runServe(const Words &Given) {
  auto Parsed = parseArguments(serveSpec(), Given);
  if (const auto *Code = std::get_if<ExitCode>(&Parsed))
    return *Code;
  auto Options = daemon::resolveSettings(std::get<Arguments>(Parsed).values(),
                                         daemon::readEnvironment);
  if (!Options) {
    std::fprintf(stderr, "oleandergauge serve: %s\n", Options.error().c_str());
    return BadUsage;
  }
  daemon::startLog(Options->Host_, Options->LogLevel_);
  return daemon::runHost(*Options);
}

} // namespace oleandergauge::cli
