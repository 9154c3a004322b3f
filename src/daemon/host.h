#ifndef OLEANDERGAUGE_DAEMON_HOST_H
#define OLEANDERGAUGE_DAEMON_HOST_H

#include "daemon/settings.h"

namespace oleandergauge::daemon {

/// Runs one entry host until SIGTERM or SIGINT arrives and the host has
/// drained. Returns the exit code: 0 after a complete drain, 1 if a task failed
/// or the drain limit was reached. A second signal ends the process at once.
int runHost(const Settings &Options);

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_HOST_H
