#include <cstdio>

#include "cli/commands.h"
#include "node/host.h"

namespace oleandergauge::cli {

int runHost(const Words &Given) {
  const CommandSpec Spec{
      "host",
      "Runs an entry host on the platform until SIGTERM. All settings come "
      "from the settings file that the platform provides.",
      {{"settings", "PATH",
        "settings file [default: where the platform's "
        "environment variable says]"},
       {"admission", "on|off",
        "whether the owner refuses submissions that cannot end while they are "
        "of value [default: on]"}},
      ""};
  auto Parsed = parseArguments(Spec, Given);
  if (const auto *Code = std::get_if<ExitCode>(&Parsed))
    return *Code;
  const auto Flags = std::get<Arguments>(Parsed).values();
  const auto It = Flags.find("settings");
  const std::string Path =
      It == Flags.end() ? platform::settingsPath() : It->second;
  const auto Admission = Flags.find("admission");
  const std::string Switch =
      Admission == Flags.end() ? "on" : Admission->second;
  if (Switch != "on" && Switch != "off")
    return failUsage("host", "--admission is neither on nor off: " + Switch);
  auto Settings = node::readSettings(Path);
  if (!Settings) {
    std::fprintf(stderr, "oleandergauge host: %s\n", Settings.error().c_str());
    return BadUsage;
  }
  Settings->Admission_ = Switch == "on";
  return node::runHost(Path, *Settings);
}

} // namespace oleandergauge::cli
