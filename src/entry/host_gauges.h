#ifndef SRC_ENTRY_HOST_GAUGES_H_
#define SRC_ENTRY_HOST_GAUGES_H_

#include <cstddef>
#include <cstdint>

#include "include/entry/fleet_store.h"
#include "src/entry/entry_metrics.h"
#include "src/forward/connection_pool.h"
#include "src/http/http_server.h"

namespace toucanknot {

// State of an entry host that its metrics show, beside what EntryMetrics
// counts.
struct HostGauges {
  FleetStoreCounts store;
  ConnectionPoolCounts connections;
  HttpServerCounts callers;
  ConfigVersion config_version;
  size_t servers = 0;
  int hosts = 0;
  size_t requests_waiting = 0;
  bool ready = false;
  // API keys known, and whether requests with keys can be served. The number of
  // gauges does not depend on the number of workspaces.
  size_t api_keys = 0;
  bool keys_proven = true;
  // Bytes reserved in the MemoryAccount.
  int64_t memory_reserved = 0;

  // Sets the gauges of `metrics`.
  void WriteTo(EntryMetrics& metrics) const;
};

}  // namespace toucanknot

#endif  // SRC_ENTRY_HOST_GAUGES_H_
