#ifndef OLEANDERGAUGE_NODE_HOST_H
#define OLEANDERGAUGE_NODE_HOST_H

#include <string>

#include "host_settings.h"

namespace oleandergauge::node {

/// Runs an entry host on the platform until SIGTERM or SIGINT has drained it; a
/// second signal stops it at once. SIGHUP reloads the settings. Returns the
/// exit code of the process.
int runHost(const std::string &SettingsPath,
            const platform::HostSettings &Settings);

/// Reads and checks a settings file. The error is a message for the operator.
tl::expected<platform::HostSettings, std::string>
readSettings(const std::string &Path);

} // namespace oleandergauge::node

#endif // OLEANDERGAUGE_NODE_HOST_H
