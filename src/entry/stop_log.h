#ifndef SRC_ENTRY_STOP_LOG_H_
#define SRC_ENTRY_STOP_LOG_H_

#include <boost/json/object.hpp>

#include "src/http/closed_connection.h"
#include "src/http/http_server.h"

namespace toucanknot {

// Logs that the host closes a caller's connection during a planned stop, which
// loses responses if it has bytes undelivered.
void LogClosedConnection(const ClosedConnection& connection);

// How many connections were closed during the stop, by reason.
boost::json::object CountsByReason(const HttpServerCounts& counts);

}  // namespace toucanknot

#endif  // SRC_ENTRY_STOP_LOG_H_
