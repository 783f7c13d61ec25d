#include "src/entry/host_capacity.h"

#include <algorithm>

#include "include/placing/peer_loads.h"

namespace toucanknot {
namespace {

// Requests of some ten kilobytes (request and response) that one Mbit/s
// carries, and requests that a core serves, both at about half of their limits.
constexpr double kRequestsPerMbit = 5;
constexpr double kRequestsPerCore = 1'000;
// Fraction (1/n) of the memory for each of the directory, the readiness check
// and the metrics.
constexpr int64_t kSmallMemoryDivisor = 32;

}  // namespace

int64_t CapacityOf(const EntrySettings& settings) {
  const double requests = std::min(settings.link_mbps * kRequestsPerMbit,
                                   settings.cpu_share * kRequestsPerCore);
  return std::max<int64_t>(1, static_cast<int64_t>(requests));
}

HttpServerLimits LimitsOf(int connections) {
  HttpServerLimits limits;
  limits.max_connections = connections;
  return limits;
}

HttpServerLimits SmallLimits(const EntrySettings& settings, int connections) {
  HttpServerLimits limits = LimitsOf(connections);
  limits.max_buffered_head_bytes = settings.memory_bytes / kSmallMemoryDivisor;
  limits.max_buffered_bytes = settings.memory_bytes / kSmallMemoryDivisor;
  return limits;
}

UsageCaps::Options CapOptions(const EntrySettings& settings,
                              Incarnation incarnation) {
  return {settings.cap_window, settings.cap_over, settings.cap_slack,
          HostKey(settings.host), incarnation};
}

}  // namespace toucanknot
