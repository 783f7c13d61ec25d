#include "src/entry/stop_log.h"

#include <boost/json.hpp>

#include "src/entry/decision_log.h"

namespace toucanknot {

void LogClosedConnection(const ClosedConnection& connection) {
  LogChange("caller_closed",
            {{"why", kCloseReasonNames.Name(connection.reason)},
             {"caller", connection.remote_ip},
             {"undelivered", connection.undelivered
                                 ? boost::json::value(*connection.undelivered)
                                 : boost::json::value()},
             {"unanswered", connection.unanswered}});
}

boost::json::object CountsByReason(const HttpServerCounts& counts) {
  boost::json::object out;
  for (size_t i = 0; i < kCloseReasons; ++i) {
    if (counts.closed_stopping[i] > 0)
      out[kCloseReasonNames.names[i]] = counts.closed_stopping[i];
  }
  return out;
}

}  // namespace toucanknot
