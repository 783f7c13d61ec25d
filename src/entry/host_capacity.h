#ifndef SRC_ENTRY_HOST_CAPACITY_H_
#define SRC_ENTRY_HOST_CAPACITY_H_

#include <cstdint>

#include "include/entry/entry_settings.h"
#include "include/limits/usage_caps.h"
#include "src/http/http_server.h"

namespace toucanknot {

// Requests per second that the host can serve, from its link and its cores.
int64_t CapacityOf(const EntrySettings& settings);
// Memory for request bodies, and for responses being read, in bytes.
int64_t BodyMemoryOf(const EntrySettings& settings);
// Limits of the listener for callers, and of one for the platform.
HttpServerLimits LimitsOf(const EntrySettings& settings, int connections);
HttpServerLimits SmallLimits(int connections);

// Options of the usage caps of this run of the host.
UsageCaps::Options CapOptions(const EntrySettings& settings,
                              Incarnation incarnation);

}  // namespace toucanknot

#endif  // SRC_ENTRY_HOST_CAPACITY_H_
