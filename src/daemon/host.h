#ifndef OLEANDERGAUGE_DAEMON_HOST_H
#define OLEANDERGAUGE_DAEMON_HOST_H

#include "daemon/settings.h"

namespace oleandergauge::daemon {

/// Runs one entry host until a signal ends it, and returns the exit code: 0
/// after a graceful drain, 1 where a task failed or the drain limit cut
/// something off. A second signal ends the process at once.
int runHost(const Settings &Options);

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_HOST_H
