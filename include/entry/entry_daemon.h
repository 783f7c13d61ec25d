#ifndef INCLUDE_ENTRY_ENTRY_DAEMON_H_
#define INCLUDE_ENTRY_ENTRY_DAEMON_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "include/entry/entry_settings.h"
#include "include/entry/entry_wire.h"
#include "include/entry/fleet_store.h"

namespace toucanknot {

// One entry host on a platform that keeps the state of the fleet in its store.
// It watches the store, serves callers, tells them which hosts to connect to,
// and answers the platform's readiness checks. Everything runs on one loop in
// one thread; the methods may be called from any other thread.
class EntryDaemon {
 public:
  // Creates the adapter to the platform's store on the host's loop.
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
  // cannot be bound.
  void Start();
  // The bound addresses, for settings that leave the ports open.
  Endpoint callers() const;
  Endpoint readiness() const;
  Endpoint directory() const;
  Endpoint metrics() const;
  // Applies the settings that may change at run time: limits, not addresses.
  void Reload(const EntrySettings& settings);
  // Starts to shut down: accepts no new callers, while running requests go on.
  void BeginStop();
  // Waits until all requests have ended, or for EntrySettings::stop_within.
  // Returns whether all have ended.
  bool WaitStopped();

 private:
  class Impl;

  std::unique_ptr<Impl> impl_;
};

}  // namespace toucanknot

#endif  // INCLUDE_ENTRY_ENTRY_DAEMON_H_
