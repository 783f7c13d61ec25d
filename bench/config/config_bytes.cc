// Prints how many bytes a host must fetch for a change of the configuration.

#include <cstdio>
#include <string>
#include <vector>

#include "bench/config/sized_fleet.h"
#include "bench/registry.h"
#include "include/config/config_candidate.h"
#include "include/config/text_parts.h"

namespace toucanknot::bench {
namespace {

constexpr int kExceptions = 200;
constexpr uint16_t kOtherPort = 99;

struct FetchCost {
  size_t parts = 0;
  size_t bytes = 0;
};

// The parts and bytes that a host with `before` must fetch to get `after`.
FetchCost FetchCostOf(const TextParts& before, const TextParts& after) {
  FetchCost cost;
  for (const std::string& it : before.Missing(after.digests())) {
    ++cost.parts;
    cost.bytes += after.Find(it)->size();
  }
  return cost;
}

TextParts PartsOf(const FleetConfig& config) {
  return TextParts(MakeConfigCandidate(config, 1).text);
}

// The configuration with one more exception.
FleetConfig WithException(FleetConfig config) {
  ConfigException exception = config.exceptions.front();
  exception.id = "added";
  config.exceptions.push_back(std::move(exception));
  return config;
}

// The configuration with other addresses for `n` evenly spaced hosts.
FleetConfig WithMovedHosts(FleetConfig config, size_t n) {
  const size_t hosts = config.hosts.size();
  for (size_t i = 0; i < n && i < hosts; ++i)
    config.hosts[i * hosts / n].peer_address.port = kOtherPort;
  return config;
}

void PrintRow(const char* what,
              int hosts,
              const FleetConfig& before,
              const FleetConfig& after) {
  const TextParts parts = PartsOf(before);
  const FetchCost cost = FetchCostOf(parts, PartsOf(after));
  std::printf("%6d  %-18s %9zu %6zu %8zu %9zu\n", hosts, what,
              parts.text().size(), parts.digests().size(), cost.parts,
              cost.bytes);
}

int Run(const std::vector<std::string>&) {
  std::printf("%6s  %-18s %9s %6s %8s %9s\n", "hosts", "change", "text",
              "parts", "fetched", "bytes");
  for (const int hosts : {70, 700, 6800}) {
    const FleetConfig config = SizedFleet(hosts, kExceptions);
    PrintRow("1 exception", hosts, config, WithException(config));
    for (const size_t n : {1, 10, 100}) {
      const std::string what = std::to_string(n) + " hosts move";
      PrintRow(what.c_str(), hosts, config, WithMovedHosts(config, n));
    }
  }
  return 0;
}

const Registration kConfigBytes{
    {"config-bytes",
     "bytes that a host fetches for a change of the configuration", Run}};

}  // namespace
}  // namespace toucanknot::bench
