#include "src/entry/server_change_log.h"

#include <algorithm>

#include "src/entry/decision_log.h"

namespace toucanknot {

void LogServerChange(ServerChange change,
                     const ServerRegistry::Server& server,
                     Instant now) {
  LogChange("server",
            {{"change", kServerChangeNames.Name(change)},
             {"server", server.entry.id.str()},
             {"service", server.entry.service.str()},
             {"zone", server.entry.zone.str()},
             {"cold_ms", std::max<int64_t>((server.cold_until - now).ms(), 0)},
             {"seen_ms_ago", (now - server.seen_at).ms()}});
}

}  // namespace toucanknot
