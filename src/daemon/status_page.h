#ifndef SRC_DAEMON_STATUS_PAGE_H_
#define SRC_DAEMON_STATUS_PAGE_H_

#include <boost/json/value.hpp>
#include <string>

#include "include/once/ticket.h"
#include "include/peer/peer_transport.h"
#include "src/forward/connection_pool.h"
#include "src/http/http_server.h"

namespace toucanknot {

// The state of a host as reported by /status and /metrics.
struct StatusFacts {
  HostIncarnation self;
  ZoneId zone;
  bool leaving = false;
  // Version of the active configuration.
  uint64_t version = 0;
  bool store_up = false;
  bool store_reader = false;
  uint64_t store_calls = 0;
  PeerTransportStats peers;
  // The JSON returned by HolderStatus().
  boost::json::value config;
  size_t ticket_records = 0;
  int64_t cached_response_bytes = 0;
  HttpServerCounts callers;
  ConnectionPoolCounts connections;
};

// Formats the facts as JSON.
std::string StatusJson(const StatusFacts& facts);
// Formats the numeric facts in the Prometheus text format.
std::string StatusMetrics(const StatusFacts& facts);

}  // namespace toucanknot

#endif  // SRC_DAEMON_STATUS_PAGE_H_
