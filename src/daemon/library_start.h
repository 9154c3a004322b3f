#ifndef OLEANDERGAUGE_DAEMON_LIBRARY_START_H
#define OLEANDERGAUGE_DAEMON_LIBRARY_START_H

namespace oleandergauge::daemon {

/// Makes GLib and libsoup set up their types on the calling thread, by one
/// request to a server of its own on loopback. To be called before other
/// threads use them: GObject can deadlock where two threads set up types that
/// refer to each other, which hung 6 of 120 starts of the daemon.
void startLibraries();

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_LIBRARY_START_H
