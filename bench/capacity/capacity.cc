// The raw figures of docs/CAPACITY.md.

#include <cstdio>
#include <string>
#include <vector>

#include "bench/capacity/clients_capacity.h"
#include "bench/capacity/fleet_capacity.h"
#include "bench/registry.h"

namespace toucanknot::bench {
namespace {

int RunCapacity(const std::vector<std::string>& args) {
  const std::string part = args.empty() ? "all" : args.front();
  if (part == "all" || part == "clients")
    PrintClientsCapacity();
  if (part == "all" || part == "host")
    PrintHostCost();
  if (part == "all" || part == "spread")
    PrintTimeInForce();
  if (part == "all" || part == "store")
    PrintStoreCalls();
  if (part == "all" || part == "design")
    PrintDesignSize();
  return 0;
}

const Registration kCapacity{
    {"capacity",
     "figures at the design size; takes clients, host, spread, store or design",
     RunCapacity}};

}  // namespace
}  // namespace toucanknot::bench
