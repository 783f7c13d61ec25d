#ifndef INCLUDE_PLACING_SERVICE_VIEW_H_
#define INCLUDE_PLACING_SERVICE_VIEW_H_

#include <array>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "include/base/clock.h"
#include "include/placing/server_load.h"
#include "include/placing/server_registry.h"

namespace toucanknot {

// The servers of one service that take requests, as one host sees them, and
// the order of the servers for each object. Made anew when the registry
// changes. Does no I/O.
class ServiceView {
 public:
  // How near a server is to this host.
  enum class Nearness { kZone, kRegion, kElsewhere };

  struct Server {
    const ServerRegistry::Server* entry = nullptr;
    std::shared_ptr<ServerLoad> load;
    RegionId region;
    Nearness nearness = Nearness::kElsewhere;
    // Time there and back, in ms.
    double rtt = 0;
  };
  // The first servers of an object's order, as indexes; -1 behind the last.
  static constexpr size_t kOrderSize = 8;
  using Order = std::array<int, kOrderSize>;

  explicit ServiceView(std::vector<Server> servers);

  const std::vector<Server>& servers() const { return servers_; }
  double slots() const { return slots_; }
  // The slots of servers that are as near as `nearness` or nearer.
  double SlotsWithin(Nearness nearness) const {
    return slots_within_[static_cast<size_t>(nearness)];
  }
  // Servers by the time when they appeared, the newest first, kMostJoined at
  // most.
  const std::vector<int>& joined() const { return joined_; }
  // The index of a server; -1 when it takes no requests.
  int IndexOf(const ServerId& id) const;

  // Servers of this region first if `here`, else those of the others. Weighted
  // rendezvous hashing: each server comes first for a part of the objects that
  // its slots make up, and the order is the same at all hosts of a region.
  const Order& OrderOf(uint64_t object, bool here);
  // Servers for a request that any of them answers as fast: kOrderSize of those
  // as near as `within` or nearer, another draw for each `draw`.
  Order Sample(uint64_t draw, Nearness within) const;

  // The part of the slots in use, measured every kMeasureEvery by `busy`.
  double Filled(const std::function<double(const ServerLoad&)>& busy,
                Instant now);

 private:
  static constexpr Duration kMeasureEvery{25};
  static constexpr size_t kMostJoined = 16;
  // Orders remembered; beyond it all are forgotten.
  static constexpr size_t kMostOrders = 100'000;

  std::vector<Server> servers_;
  std::vector<int> joined_;
  boost::unordered_flat_map<std::string_view, int> index_;
  double slots_ = 0;
  std::array<double, 3> slots_within_{};
  // Indexes of servers_, the nearest first, and how many are within each
  // nearness.
  std::vector<int> by_nearness_;
  std::array<size_t, 3> count_within_{};
  // By object: with the servers of the other regions first, and of this one.
  std::array<boost::unordered_flat_map<uint64_t, Order>, 2> orders_;
  double filled_ = 0;
  Instant filled_at_;
  bool measured_ = false;
};

// A number between 0 and 1 for a hash, neither included.
double UnitOf(uint64_t hash);

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_SERVICE_VIEW_H_
