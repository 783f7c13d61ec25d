#ifndef INCLUDE_DAEMON_HOST_DAEMON_H_
#define INCLUDE_DAEMON_HOST_DAEMON_H_

#include <cstdint>
#include <memory>

#include "include/base/clock.h"
#include "include/daemon/host_settings.h"
#include "include/store/store.h"

namespace toucanknot {

// A host of the system, whole: listens for callers, peers and operators,
// decides, forwards. toucanknotd runs one; tests and the demonstration run
// several in one process.
class HostDaemon {
 public:
  // `store` is the platform's; it is called from a thread of its own.
  HostDaemon(HostSettings settings, std::shared_ptr<Store> store);
  // Stops at once whatever still runs, as a crash does.
  ~HostDaemon();
  HostDaemon(const HostDaemon&) = delete;
  HostDaemon& operator=(const HostDaemon&) = delete;

  // Binds and serves. Until a configuration is in force, requests are refused
  // and /readyz says so. Throws boost::system::system_error when an address
  // cannot be had.
  void Start();

  // Begins the graceful shutdown and returns: look-ups stop naming this host,
  // peers are told, connections are closed as their requests end.
  void BeginStop();
  // Waits until the last request has been answered, or for the configured
  // limit. True when nothing was cut.
  bool WaitStopped();

  // The version of the configuration in force; 0 before the first.
  uint64_t ConfigVersion() const;
  // When it came into force here.
  Instant ConfigSince() const;

 private:
  class Impl;

  std::unique_ptr<Impl> impl_;
};

}  // namespace toucanknot

#endif  // INCLUDE_DAEMON_HOST_DAEMON_H_
