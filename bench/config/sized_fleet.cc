#include "bench/config/sized_fleet.h"

#include <fmt/format.h>

#include <algorithm>

namespace toucanknot::bench {
namespace {

constexpr int kRegions = 21;
constexpr int kZones = 76;
constexpr int kServices = 10;
constexpr int kSlots = 4;
constexpr int kMaxConnections = 2000;
constexpr double kLinkMbit = 4000;
constexpr int kHostPort = 80;
constexpr int kPeerPort = 81;
constexpr int kServerPort = 82;

std::string AddressOf(int i) {
  return fmt::format("10.{}.{}.{}", i / 65536, i / 256 % 256, i % 256);
}

ZoneId ZoneOf(int i) {
  return ZoneId(fmt::format("zone-{:02}", i));
}

void AddTopology(int hosts, FleetConfig& config) {
  const int regions = std::min(kRegions, hosts);
  const int zones = std::max(regions, std::min(kZones, hosts));
  for (int i = 0; i < regions; ++i)
    config.regions.push_back({RegionId(fmt::format("region-{:02}", i)), {}});
  for (int i = 0; i < zones; ++i)
    config.regions[i % regions].zones.push_back(ZoneOf(i));
  for (const Region& from : config.regions) {
    for (const Region& to : config.regions) {
      if (from.id != to.id)
        config.links.push_back({from.id, to.id, kLinkMbit, Duration(20)});
    }
  }
  for (int i = 0; i < hosts; ++i) {
    config.hosts.push_back({HostId(fmt::format("entry-{:05}", i)),
                            ZoneOf(i % zones),
                            {AddressOf(i), kHostPort},
                            {AddressOf(i), kPeerPort}});
  }
}

void AddServices(int hosts, FleetConfig& config) {
  const int zones =
      static_cast<int>(std::min<size_t>(config.hosts.size(), kZones));
  for (int i = 0; i < kServices; ++i) {
    Service service;
    service.id = ServiceId(fmt::format("service-{}", i));
    service.work_class = "work";
    config.services.push_back(std::move(service));
  }
  const int servers = std::max(hosts, kServices);
  for (int i = 0; i < servers; ++i) {
    config.services[i % kServices].servers.push_back(
        {ServerId(fmt::format("server-{:05}", i)),
         ZoneOf(i % zones),
         {AddressOf(i), kServerPort},
         kSlots,
         kMaxConnections});
  }
  config.refusal_order = {"work"};
}

}  // namespace

FleetConfig SizedFleet(int hosts, int exceptions) {
  FleetConfig config;
  AddTopology(hosts, config);
  AddServices(hosts, config);
  for (int i = 0; i < exceptions; ++i) {
    ConfigException exception;
    exception.id = fmt::format("exception-{}", i);
    if (i % 2 == 0)
      exception.scope.server = ServerId(fmt::format("server-{:05}", i % hosts));
    else
      exception.scope.zone = ZoneOf(i % std::min(hosts, kZones));
    exception.reason = "a reason of ordinary length for a departure";
    exception.author = "operations";
    exception.values = {{"drain", "false"}};
    config.exceptions.push_back(std::move(exception));
  }
  return config;
}

}  // namespace toucanknot::bench
