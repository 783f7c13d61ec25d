#ifndef INCLUDE_DAEMON_HOST_DAEMON_H_
#define INCLUDE_DAEMON_HOST_DAEMON_H_

#include <cstdint>
#include <memory>

#include "include/base/clock.h"
#include "include/daemon/host_settings.h"
#include "include/store/store.h"

namespace toucanknot {

// A complete entry host: listens for callers, peers and operators, and routes
// requests to backend servers or other entry hosts. toucanknotd runs one; tests
// and the demonstration run several in one process.
class HostDaemon {
 public:
  // `store` is the platform's store; it is called from dedicated threads.
  HostDaemon(HostSettings settings, std::shared_ptr<Store> store);
  // Stops immediately and cuts unfinished requests, as a crash would.
  ~HostDaemon();
  HostDaemon(const HostDaemon&) = delete;
  HostDaemon& operator=(const HostDaemon&) = delete;

  // Binds the listening addresses and starts serving. Until a configuration is
  // active, requests are refused and /readyz reports 503. Throws
  // boost::system::system_error when an address cannot be bound.
  void Start();

  // Begins the graceful shutdown and returns: look-ups no longer list this
  // host, peers are notified, connections are closed as their requests end.
  void BeginStop();
  // Blocks until the last request has completed or the configured drain limit
  // has passed. Returns true when no request was cut.
  bool WaitStopped();

  // The version of the active configuration; 0 before the first.
  uint64_t ConfigVersion() const;
  // When that configuration became active on this host.
  Instant ConfigSince() const;

 private:
  class Impl;

  std::unique_ptr<Impl> impl_;
};

}  // namespace toucanknot

#endif  // INCLUDE_DAEMON_HOST_DAEMON_H_
