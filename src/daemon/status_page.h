#ifndef SRC_DAEMON_STATUS_PAGE_H_
#define SRC_DAEMON_STATUS_PAGE_H_

#include <boost/json/value.hpp>
#include <string>

#include "include/once/ticket.h"
#include "src/forward/connection_pool.h"
#include "src/http/http_server.h"

namespace toucanknot {

// What /status tells of a host.
struct StatusFacts {
  HostLife self;
  ZoneId zone;
  bool leaving = false;
  bool store_up = false;
  uint64_t store_calls = 0;
  // As HolderStatus() gives it.
  boost::json::value config;
  size_t ticket_records = 0;
  int64_t kept_answer_bytes = 0;
  HttpServerCounts callers;
  ConnectionPoolCounts connections;
};

// The facts as JSON.
std::string StatusJson(const StatusFacts& facts);

}  // namespace toucanknot

#endif  // SRC_DAEMON_STATUS_PAGE_H_
