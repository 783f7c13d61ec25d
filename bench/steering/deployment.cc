#include "bench/steering/deployment.h"

#include <fmt/format.h>

#include "include/base/error.h"

namespace toucanknot::bench {
namespace {

constexpr int kRegions = 3;
constexpr int kZonesPerRegion = 2;
constexpr int kZones = kRegions * kZonesPerRegion;
constexpr int kHosts = 7;

struct Site {
  std::vector<std::string> regions;
  double mbit_per_s;
};

std::shared_ptr<FleetConfig> MakeFleet(const Site& site) {
  auto config = std::make_shared<FleetConfig>();
  config->version = 1;
  for (const std::string& it : site.regions) {
    config->regions.push_back(
        {RegionId(it), {ZoneId(it + "-a"), ZoneId(it + "-b")}});
  }
  for (const Region& from : config->regions) {
    for (const Region& to : config->regions) {
      if (from.id != to.id) {
        config->links.push_back(
            {from.id, to.id, site.mbit_per_s, Duration(20)});
      }
    }
  }
  for (int i = 0; i < kHosts; ++i) {
    const Region& region = config->regions[i % kZones / kZonesPerRegion];
    config->hosts.push_back({.id = HostId(fmt::format("entry-{}", i + 1)),
                             .zone = region.zones[i % kZonesPerRegion]});
  }
  return config;
}

void AddService(FleetConfig& config,
                const std::string& name,
                int servers,
                int slots,
                int connections) {
  Service service{.id = ServiceId(name), .work_class = name};
  for (int i = 0; i < servers; ++i) {
    const Region& region = config.regions[i % kZones / kZonesPerRegion];
    service.servers.push_back(
        {.id = ServerId(fmt::format("{}-{:02}", name, i + 1)),
         .zone = region.zones[i % kZonesPerRegion],
         .slots = slots,
         .max_connections = connections});
  }
  config.refusal_order.push_back(name);
  config.services.push_back(std::move(service));
}

Deployment Haufiku() {
  Deployment d{.name = "haufiku",
               .config = MakeFleet({{"khomas", "erongo", "oshana"}, 4000}),
               .same_zone_us = 200,
               .between_zones_us = 1'000,
               .to_client_us = 1'000};
  AddService(*d.config, "tracker", 24, 4, 330);
  AddService(*d.config, "dispatch", 12, 3, 330);
  d.traffic = {{ServiceId("tracker"), 25, 1'000, 6'000, Duration(2'000)},
               {ServiceId("dispatch"), 60, 2'000, 2'000, Duration(5'000)}};
  return d;
}

Deployment Quetzal() {
  Deployment d{.name = "quetzal",
               .config = MakeFleet({{"centro", "oriente", "occidente"}, 300}),
               .same_zone_us = 200,
               .between_zones_us = 1'500,
               .to_client_us = 8'000};
  AddService(*d.config, "orders", 30, 3, 400);
  AddService(*d.config, "dispatch", 12, 3, 400);
  d.traffic = {{ServiceId("orders"), 40, 8'000, 60'000, Duration(3'000)},
               {ServiceId("dispatch"), 60, 2'000, 2'000, Duration(5'000)}};
  return d;
}

}  // namespace

Deployment MakeDeployment(const std::string& name) {
  if (name == "haufiku")
    return Haufiku();
  if (name == "quetzal")
    return Quetzal();
  throw Error("--deployment: " + name + ": haufiku or quetzal");
}

}  // namespace toucanknot::bench
