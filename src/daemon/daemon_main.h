#ifndef SRC_DAEMON_DAEMON_MAIN_H_
#define SRC_DAEMON_DAEMON_MAIN_H_

namespace toucanknot {

// The program toucanknotd: reads its settings, runs one host, and stops it
// gracefully at SIGTERM or SIGINT; a second signal stops it at once. Returns
// the exit code: 0 after a graceful shutdown, 1 when requests were cut or the
// host could not run, 2 for bad usage or settings.
int DaemonMain(int argc, char** argv);

}  // namespace toucanknot

#endif  // SRC_DAEMON_DAEMON_MAIN_H_
