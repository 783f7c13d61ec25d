#ifndef INCLUDE_PLACING_SERVER_ENTRY_H_
#define INCLUDE_PLACING_SERVER_ENTRY_H_

#include <cstdint>

#include "include/base/clock.h"
#include "include/base/endpoint.h"
#include "include/base/ids.h"

namespace toucanknot {

// What a backend server states about itself in the registry.
struct ServerEntry {
  ServerId id;
  ServiceId service;
  Endpoint endpoint;
  ZoneId zone;
  // Requests that it runs at once; at least 1.
  int slots = 1;
  // It takes no new work and will end.
  bool leaving = false;
  // How much longer it stays cold, from when the entry was written.
  Duration cold_left;
  // Unix milliseconds of its start; tells two lives under one id apart.
  Incarnation incarnation = 0;
  // Counts the heartbeats of one life.
  uint64_t sequence = 0;

  bool operator==(const ServerEntry&) const = default;
};

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_SERVER_ENTRY_H_
