#ifndef SRC_STEERING_PICKER_H_
#define SRC_STEERING_PICKER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "include/base/clock.h"
#include "include/base/ids.h"
#include "include/steering/dispatcher.h"
#include "include/steering/dispatcher_builder.h"
#include "src/steering/fleet_view.h"
#include "src/steering/host_table.h"
#include "src/steering/server_table.h"

namespace toucanknot {

// The choice for one request inside the own region.
struct Pick {
  enum class Kind {
    // Send to the server with the index `server`.
    kServer,
    // Forward to the entry host `host`.
    kHost,
    // Wait: all slots that the request may use are taken.
    kWait,
    // No server is usable.
    kNoServer,
  };
  Kind kind = Kind::kNoServer;
  size_t server = 0;
  HostId host;
};

// A SplitMix64 random number generator.
class Random {
 public:
  explicit Random(uint64_t seed) : state_(seed) {}
  uint64_t Next();
  // A number from 0 to `n` - 1; `n` must be positive.
  size_t Below(size_t n) { return static_cast<size_t>(Next() % n); }

 private:
  uint64_t state_;
};

// The state that a picker reads.
struct PickerInputs {
  HostId own;
  // Returns null until there is a configuration.
  std::function<const FleetView*()> view;
  const ServerTable* servers = nullptr;
  const HostTable* hosts = nullptr;
  // Returns the number of requests waiting at this host.
  std::function<int()> waiting;
  uint64_t seed = 1;
};

// Chooses backend servers inside the own region.
class Picker {
 public:
  virtual ~Picker() = default;

  // `may_forward`: whether the request may go to another host of the region.
  // Not called without a configuration.
  virtual Pick Choose(const DispatchRequest& request,
                      bool may_forward,
                      Instant now) = 0;
  // Whether this host may send to `server`.
  virtual bool MaySendTo(size_t server) const = 0;
  // Whether peers should forward requests for `server` to this host.
  virtual bool IsHomeOf(size_t server) const { return MaySendTo(server); }
  // How many requests this host may have in flight at `server`, and how many it
  // may add now.
  virtual int UsableSlots(size_t server, Instant now) const = 0;
  virtual int FreeSlots(size_t server, Instant now) const = 0;
};

std::unique_ptr<Picker> MakePicker(Policy policy, PickerInputs inputs);

// The target number of slots of a server pool under `policy`.
int PoolSlots(Policy policy);

}  // namespace toucanknot

#endif  // SRC_STEERING_PICKER_H_
