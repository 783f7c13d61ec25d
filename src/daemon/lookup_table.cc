#include "src/daemon/lookup_table.h"

#include <algorithm>
#include <boost/json.hpp>

namespace toucanknot {
namespace {

using Ranked = LookupTable::Source::Ranked;

// Limit on the number of orders in which hosts with the same rank are listed.
constexpr size_t kMaxRotations = 16;
// Lifetimes are shortened by up to this fraction, so that callers do not all
// repeat their look-ups at the same time.
constexpr double kMaxLifetimeReduction = 0.2;

// The hosts with each run of equal ranks rotated by `rotation`.
std::vector<Ranked> RotateRanks(std::vector<Ranked> hosts, size_t rotation) {
  for (auto from = hosts.begin(); from != hosts.end();) {
    const auto to = std::find_if(from, hosts.end(), [&](const Ranked& it) {
      return it.rank != from->rank;
    });
    const auto n = static_cast<size_t>(to - from);
    std::rotate(from, from + static_cast<ptrdiff_t>(rotation % n), to);
    from = to;
  }
  return hosts;
}

boost::json::array HostsJson(const FleetConfig& config,
                             const std::vector<Ranked>& hosts) {
  boost::json::array list;
  for (const Ranked& it : hosts) {
    list.push_back({{"id", it.host.id.str()},
                    {"address", it.host.address.ToString()},
                    {"zone", it.host.zone.str()},
                    {"region", config.RegionOf(it.host.zone).str()}});
  }
  return list;
}

}  // namespace

LookupTable::LookupTable(const Source& source)
    : host_count_(source.hosts.size()) {
  const size_t rotations = std::clamp<size_t>(host_count_, 1, kMaxRotations);
  for (const Service& service : source.config->services) {
    Responses& responses = services_[service.id.str()];
    for (size_t i = 0; i < rotations; ++i) {
      const double part =
          static_cast<double>(i) / static_cast<double>(rotations);
      const double factor = 1 - kMaxLifetimeReduction * part;
      const auto lifetime = static_cast<int64_t>(
          static_cast<double>(source.lifetime.ms()) * factor);
      responses.push_back(boost::json::serialize(boost::json::value{
          {"service", service.id.str()},
          {"version", source.config->version},
          {"lifetime_ms", lifetime},
          {"hosts", HostsJson(*source.config, RotateRanks(source.hosts, i))}}));
    }
  }
}

const std::string* LookupTable::Find(std::string_view service,
                                     uint64_t rotation) const {
  const auto it = services_.find(service);
  if (it == services_.end())
    return nullptr;
  return &it->second[rotation % it->second.size()];
}

}  // namespace toucanknot
