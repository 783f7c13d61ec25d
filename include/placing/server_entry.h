#ifndef INCLUDE_PLACING_SERVER_ENTRY_H_
#define INCLUDE_PLACING_SERVER_ENTRY_H_

#include <cstdint>

#include "include/base/clock.h"
#include "include/base/endpoint.h"
#include "include/base/ids.h"

namespace toucanknot {

// What a backend server publishes about itself in the registry.
struct ServerEntry {
  ServerId id;
  ServiceId service;
  Endpoint endpoint;
  ZoneId zone;
  // Number of requests that it runs concurrently; at least 1.
  int slots = 1;
  // It accepts no new work and will stop.
  bool leaving = false;
  // Remaining time for which it is cold, counted from when the entry was
  // written.
  Duration cold_left;
  // Unix milliseconds of its start; distinguishes two runs under one id.
  Incarnation incarnation = 0;
  // Heartbeat number within one incarnation.
  uint64_t sequence = 0;

  bool operator==(const ServerEntry&) const = default;
};

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_SERVER_ENTRY_H_
