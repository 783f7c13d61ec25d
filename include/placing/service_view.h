#ifndef INCLUDE_PLACING_SERVICE_VIEW_H_
#define INCLUDE_PLACING_SERVICE_VIEW_H_

#include <array>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "include/base/clock.h"
#include "include/placing/server_load.h"
#include "include/placing/server_registry.h"

namespace toucanknot {

// The usable servers of one service as seen by one host, and the preference
// order of servers for each object. Rebuilt when the registry changes. Does no
// I/O.
class ServiceView {
 public:
  // Proximity of a server to this host.
  enum class Nearness { kZone, kRegion, kElsewhere };

  struct Server {
    // Valid until the registry changes, in contrast to the other members.
    const ServerRegistry::Server* entry = nullptr;
    int slots = 0;
    std::shared_ptr<ServerLoad> load;
    // Its ServerRunKey().
    uint32_t run_key = 0;
    ZoneId zone;
    RegionId region;
    Nearness nearness = Nearness::kElsewhere;
    // Round-trip time in ms.
    double rtt = 0;
  };
  // The first servers of a preference order, as indexes into servers(); -1
  // marks unused places at the end.
  static constexpr size_t kOrderSize = 8;
  using Order = std::array<int, kOrderSize>;

  explicit ServiceView(std::vector<Server> servers);

  const std::vector<Server>& servers() const { return servers_; }
  double slots() const { return slots_; }
  // Number of slots of servers at least as near as `nearness`.
  double SlotsWithin(Nearness nearness) const {
    return slots_within_[static_cast<size_t>(nearness)];
  }
  // How much longer, in ms, the way to the servers beyond `within` is on
  // average than to those within; 0 when there are none on either side.
  double ExtraRttBeyond(Nearness within) const;
  // Sets the round-trip times of all servers to what `rtt_ms` returns.
  void UpdateRtts(const std::function<double(const Server&)>& rtt_ms);
  // Indexes of the servers that appeared last, newest first; at most
  // kMaxNewest.
  const std::vector<int>& newest() const { return newest_; }
  // Index of a server; -1 when it accepts no requests.
  int IndexOf(const ServerId& id) const;

  // The preference order for an object: servers of this region first if
  // `in_region`, else those of other regions first. Uses weighted rendezvous
  // hashing, so that each server ranks first for a share of the objects in
  // proportion to its slots, and the order is the same at all hosts of a
  // region.
  const Order& PreferenceOrder(uint64_t object, bool in_region);
  // A random sample of up to kOrderSize servers at least as near as `within`,
  // for requests that every server handles equally fast. Different values of
  // `draw` give different samples.
  Order Sample(uint64_t draw, Nearness within) const;

  // Fraction of the slots in use, measured with `busy` at most every
  // kMeasureEvery.
  double Utilization(const std::function<double(const ServerLoad&)>& busy,
                     Instant now);
  // The last measurement of the slots in use.
  struct Measurement {
    double utilization = 0;
    // Nothing before the first one.
    std::optional<Instant> at;
  };
  const Measurement& measurement() const { return measurement_; }
  void set_measurement(const Measurement& it) { measurement_ = it; }

 private:
  static constexpr Duration kMeasureEvery{25};
  static constexpr size_t kMaxNewest = 16;
  // Maximum number of cached orders; when it is reached, all are dropped.
  static constexpr size_t kMaxOrders = 100'000;

  std::vector<Server> servers_;
  std::vector<int> newest_;
  boost::unordered_flat_map<std::string_view, int> index_;
  double slots_ = 0;
  std::array<double, 3> slots_within_{};
  // Sum of the servers' round-trip times, by nearness.
  std::array<double, 3> rtt_sums_{};
  // Indexes of servers_ sorted by nearness, and the number of servers within
  // each nearness.
  std::vector<int> by_nearness_;
  std::array<size_t, 3> count_within_{};
  // Cached orders by object: [0] has the servers of other regions first, [1]
  // those of this region.
  std::array<boost::unordered_flat_map<uint64_t, Order>, 2> orders_;
  Measurement measurement_;
};

// Maps a hash to a number in the open interval (0, 1).
double HashToUnitInterval(uint64_t hash);

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_SERVICE_VIEW_H_
