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

// Where one request goes inside the own region.
struct Pick {
  enum class Kind {
    // To the server with the index `server`.
    kServer,
    // To the entry host `host`.
    kHost,
    // All slots that it may use are taken.
    kWait,
    // There is no server that it may use.
    kNoServer,
  };
  Kind kind = Kind::kNoServer;
  size_t server = 0;
  HostId host;
};

// A small generator of random numbers (SplitMix64).
class Random {
 public:
  explicit Random(uint64_t seed) : state_(seed) {}
  uint64_t Next();
  // Below `n`, which is above 0.
  size_t Below(size_t n) { return static_cast<size_t>(Next() % n); }

 private:
  uint64_t state_;
};

// What a picker decides from.
struct PickerInputs {
  HostId own;
  // Null until there is a configuration.
  std::function<const FleetView*()> view;
  const ServerTable* servers = nullptr;
  const HostTable* hosts = nullptr;
  // Requests that wait at this host.
  std::function<int()> waiting;
  uint64_t seed = 1;
};

// A way to choose backend servers inside the own region.
class Picker {
 public:
  virtual ~Picker() = default;

  // `may_forward`: whether another host of the region may be named. Not called
  // without a configuration.
  virtual Pick Choose(const DispatchRequest& request,
                      bool may_forward,
                      Instant now) = 0;
  // Whether this host sends to `server`.
  virtual bool Sends(size_t server) const = 0;
  // Whether this host is where peers should pass requests for `server` to.
  virtual bool IsHome(size_t server) const { return Sends(server); }
  // How many requests this host may have in flight at `server`, and how many
  // more than now.
  virtual int Slots(size_t server, Instant now) const = 0;
  virtual int Free(size_t server, Instant now) const = 0;
};

std::unique_ptr<Picker> MakePicker(Policy policy, PickerInputs inputs);

// The number of slots up to which servers share a pool under `policy`.
int PoolSlots(Policy policy);

}  // namespace toucanknot

#endif  // SRC_STEERING_PICKER_H_
