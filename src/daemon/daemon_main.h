#ifndef SRC_DAEMON_DAEMON_MAIN_H_
#define SRC_DAEMON_DAEMON_MAIN_H_

namespace toucanknot {

// Entry point of toucanknotd: loads the settings, runs one host, and shuts it
// down gracefully on SIGTERM or SIGINT; a second signal aborts immediately.
// Returns the exit code: 0 after a graceful shutdown, 1 when requests were cut
// or the host could not run, 2 for bad usage or settings.
int DaemonMain(int argc, char** argv);

}  // namespace toucanknot

#endif  // SRC_DAEMON_DAEMON_MAIN_H_
