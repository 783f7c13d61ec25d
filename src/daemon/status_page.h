#ifndef SRC_DAEMON_STATUS_PAGE_H_
#define SRC_DAEMON_STATUS_PAGE_H_

#include <boost/json/value.hpp>
#include <string>

#include "include/once/ticket.h"
#include "include/peer/peer_transport.h"
#include "src/forward/connection_pool.h"
#include "src/http/http_server.h"

namespace toucanknot {

// What /status tells of a host.
struct StatusFacts {
  HostIncarnation self;
  ZoneId zone;
  bool leaving = false;
  // Of the configuration in force.
  uint64_t version = 0;
  bool store_up = false;
  bool store_reader = false;
  uint64_t store_calls = 0;
  PeerTransportStats peers;
  // As ActiveConfigStatus() gives it.
  boost::json::value config;
  size_t ticket_records = 0;
  int64_t kept_answer_bytes = 0;
  HttpServerCounts callers;
  ConnectionPoolCounts connections;
};

// The facts as JSON.
std::string StatusJson(const StatusFacts& facts);
// Those that change, in the Prometheus text format.
std::string StatusMetrics(const StatusFacts& facts);

}  // namespace toucanknot

#endif  // SRC_DAEMON_STATUS_PAGE_H_
