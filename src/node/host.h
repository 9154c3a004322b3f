#ifndef OLEANDERGAUGE_NODE_HOST_H
#define OLEANDERGAUGE_NODE_HOST_H

#include <string>

#include "host_settings.h"

namespace oleandergauge::node {

/// Runs an entry host on the platform until SIGTERM or SIGINT. Returns the
/// exit code of the process.
int runHost(const std::string &SettingsPath,
            const platform::HostSettings &Settings);

/// Reads and checks a settings file.
tl::expected<platform::HostSettings, std::string>
readSettings(const std::string &Path);

} // namespace oleandergauge::node

#endif // OLEANDERGAUGE_NODE_HOST_H
