#include "src/daemon/status_page.h"

#include <boost/json.hpp>

#include "src/daemon/host_metrics.h"

namespace toucanknot {

std::string StatusJson(const StatusFacts& facts) {
  const boost::json::value value = {
      {"host", facts.self.host.str()},
      {"incarnation", std::to_string(facts.self.incarnation)},
      {"zone", facts.zone.str()},
      {"state", facts.leaving ? "leaving" : "serving"},
      {"config", facts.config},
      {"store",
       {{"up", facts.store_up},
        {"reader", facts.store_reader},
        {"calls", facts.store_calls}}},
      {"peers",
       {{"sent_messages", facts.peers.sent_messages},
        {"sent_bytes", facts.peers.sent_bytes},
        {"received_messages", facts.peers.received_messages},
        {"received_bytes", facts.peers.received_bytes},
        {"dropped_messages", facts.peers.dropped_messages},
        {"bad_connections", facts.peers.bad_connections},
        {"connect_failures", facts.peers.connect_failures}}},
      {"tickets",
       {{"records", facts.ticket_records},
        {"kept_answer_bytes", facts.cached_response_bytes}}},
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

std::string StatusMetrics(const StatusFacts& facts) {
  std::string text;
  const auto add = [&](const char* name, const char* labels, auto value) {
    text += MetricLine(std::string("toucanknot_") + name, labels,
                       static_cast<double>(value));
  };
  add("config_version", "", facts.version);
  add("store_calls_total", "", facts.store_calls);
  add("store_up", "", facts.store_up ? 1 : 0);
  add("peer_messages_total", "direction=\"sent\"", facts.peers.sent_messages);
  add("peer_messages_total", "direction=\"received\"",
      facts.peers.received_messages);
  add("peer_bytes_total", "direction=\"sent\"", facts.peers.sent_bytes);
  add("peer_dropped_messages_total", "", facts.peers.dropped_messages);
  add("peer_bad_connections_total", "", facts.peers.bad_connections);
  add("open_connections", "", facts.callers.open_connections);
  add("malformed_requests_total", "", facts.callers.malformed);
  add("ticket_records", "", facts.ticket_records);
  return text;
}

}  // namespace toucanknot
