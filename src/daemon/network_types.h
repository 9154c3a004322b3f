#ifndef OLEANDERGAUGE_DAEMON_NETWORK_TYPES_H
#define OLEANDERGAUGE_DAEMON_NETWORK_TYPES_H

namespace oleandergauge::daemon {

/// Makes GLib initialise the classes of the network libraries on the calling
/// thread. To be called before tasks use the network: GLib 2.74 can deadlock
/// where one thread registers a type with interfaces while another one, in
/// the initialisation of a class, waits for that type. Makes one HTTP request
/// to a server of its own on a free loopback port, which passes through the
/// classes that clients and servers use.
void prepareNetworkTypes();

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_NETWORK_TYPES_H
