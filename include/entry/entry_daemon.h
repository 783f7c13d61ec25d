#ifndef INCLUDE_ENTRY_ENTRY_DAEMON_H_
#define INCLUDE_ENTRY_ENTRY_DAEMON_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "include/entry/entry_settings.h"
#include "include/entry/entry_wire.h"
#include "include/entry/fleet_store.h"

namespace toucanknot {

// One entry host on a platform that keeps the fleet's state in its store: it
// follows the store, serves callers, tells them where to connect, and answers
// the platform's readiness checks. Everything runs on one loop in one thread;
// the methods may be called from any other thread.
class EntryDaemon {
 public:
  // Makes the adapter to the platform's store on the host's loop.
  using StoreFactory =
      std::function<std::unique_ptr<FleetStore>(boost::asio::io_context& loop,
                                                const EntrySettings& settings)>;

  EntryDaemon(EntrySettings settings,
              EntryWire names,
              const StoreFactory& make_store);
  ~EntryDaemon();
  EntryDaemon(const EntryDaemon&) = delete;
  EntryDaemon& operator=(const EntryDaemon&) = delete;

  // Opens the listeners. Throws boost::system::system_error when an address
  // cannot be had.
  void Start();
  // The addresses in use, for settings that leave the ports open.
  Endpoint callers() const;
  Endpoint readiness() const;
  Endpoint directory() const;
  Endpoint metrics() const;
  // Takes what may change while the host runs: limits, not addresses.
  void Reload(const EntrySettings& settings);
  // Begins to leave: no new callers, what runs goes on.
  void BeginStop();
  // Waits until nothing runs any more, or for EntrySettings::stop_within.
  // Returns whether every request has ended.
  bool WaitStopped();

 private:
  class Impl;

  std::unique_ptr<Impl> impl_;
};

}  // namespace toucanknot

#endif  // INCLUDE_ENTRY_ENTRY_DAEMON_H_
