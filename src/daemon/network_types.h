#ifndef OLEANDERGAUGE_DAEMON_NETWORK_TYPES_H
#define OLEANDERGAUGE_DAEMON_NETWORK_TYPES_H

namespace oleandergauge::daemon {

/// Initializes the GLib classes of the network libraries on the calling thread.
/// Must be called before tasks use the network: GLib 2.74 can deadlock if one
/// thread registers a type with interfaces while another thread, which is
/// initializing a class, waits for that type. The function sends one HTTP
/// request to a temporary server on a free loopback port, which initializes the
/// classes that clients and servers use.
void prepareNetworkTypes();

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_NETWORK_TYPES_H
