// The measurements behind docs/CAPACITY.md.

#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "bench/capacity/clients_capacity.h"
#include "bench/capacity/fleet_capacity.h"
#include "bench/capacity/transport_capacity.h"
#include "bench/registry.h"

namespace toucanknot::bench {
namespace {

constexpr int kExitUsage = 2;

struct Section {
  std::string name;
  std::function<void()> print;
};

const std::vector<Section>& Sections() {
  static const std::vector<Section> sections{
      {"clients", PrintClientsCapacity}, {"transport", PrintTransportCapacity},
      {"host", PrintHostCost},           {"spread", PrintTimeInForce},
      {"store", PrintStoreCalls},        {"design", PrintDesignSize}};
  return sections;
}

// Prints the section named by the first argument, or all of them.
int RunCapacity(const std::vector<std::string>& args) {
  bool found = args.empty();
  for (const Section& it : Sections()) {
    if (!args.empty() && args.front() != it.name)
      continue;
    it.print();
    found = true;
  }
  return found ? 0 : kExitUsage;
}

const Registration kCapacity{{"capacity",
                              "cost at the design size; takes clients, "
                              "transport, host, spread, store or design",
                              RunCapacity}};

}  // namespace
}  // namespace toucanknot::bench
