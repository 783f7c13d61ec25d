#ifndef SRC_ENTRY_HOST_CAPACITY_H_
#define SRC_ENTRY_HOST_CAPACITY_H_

#include <cstdint>

#include "include/entry/entry_settings.h"
#include "include/limits/usage_caps.h"
#include "src/http/http_server.h"

namespace toucanknot {

// Requests per second that the host can serve, from its link and its cores.
int64_t CapacityOf(const EntrySettings& settings);
// Limits of the listener for callers.
HttpServerLimits LimitsOf(int connections);
// Limits of a listener with memory of its own, so that callers cannot make the
// host seem not ready.
HttpServerLimits SmallLimits(const EntrySettings& settings, int connections);

// Options of the usage caps of this run of the host.
UsageCaps::Options CapOptions(const EntrySettings& settings,
                              Incarnation incarnation);

}  // namespace toucanknot

#endif  // SRC_ENTRY_HOST_CAPACITY_H_
