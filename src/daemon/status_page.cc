#include "src/daemon/status_page.h"

#include <boost/json.hpp>

namespace toucanknot {

std::string StatusJson(const StatusFacts& facts) {
  const boost::json::value value = {
      {"host", facts.self.host.str()},
      {"incarnation", std::to_string(facts.self.incarnation)},
      {"zone", facts.zone.str()},
      {"state", facts.leaving ? "leaving" : "serving"},
      {"config", facts.config},
      {"store", {{"up", facts.store_up}, {"calls", facts.store_calls}}},
      {"tickets",
       {{"records", facts.ticket_records},
        {"kept_answer_bytes", facts.kept_answer_bytes}}},
      {"callers",
       {{"open_connections", facts.callers.open_connections},
        {"buffered_bytes", facts.callers.buffered_bytes},
        {"requests", facts.callers.requests},
        {"malformed", facts.callers.malformed},
        {"too_large", facts.callers.too_large},
        {"timed_out", facts.callers.timed_out}}},
      {"connections",
       {{"opened", facts.connections.opened},
        {"reused", facts.connections.reused},
        {"discarded", facts.connections.discarded},
        {"connect_failed", facts.connections.connect_failed},
        {"surplus_bytes", facts.connections.surplus_bytes}}}};
  return boost::json::serialize(value);
}

}  // namespace toucanknot
