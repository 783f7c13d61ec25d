#ifndef SRC_ENTRY_SERVER_CHANGE_LOG_H_
#define SRC_ENTRY_SERVER_CHANGE_LOG_H_

#include "include/placing/server_registry.h"

namespace toucanknot {

// Logs a change of a backend server.
void LogServerChange(ServerChange change,
                     const ServerRegistry::Server& server,
                     Instant now);

}  // namespace toucanknot

#endif  // SRC_ENTRY_SERVER_CHANGE_LOG_H_
