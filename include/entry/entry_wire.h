#ifndef INCLUDE_ENTRY_ENTRY_WIRE_H_
#define INCLUDE_ENTRY_ENTRY_WIRE_H_

#include <functional>
#include <string>
#include <vector>

#include "include/base/clock.h"
#include "include/base/endpoint.h"

namespace toucanknot {

// How callers, entry hosts and backend servers tell each other more than HTTP
// does. The adapter to a platform names it all.
struct EntryWire {
  // Names one attempt of a caller; the answer repeats it.
  std::string request_id;
  // Milliseconds that the sender waits.
  std::string deadline_ms;
  // What the request is about.
  std::string object;
  // The server that must run the request; any other refuses it.
  std::string target_server;
  // Only answers of backend servers have it.
  std::string stamp;
  // The server did not run the request.
  std::string not_run;
  // Running requests, waiting requests and slots, with commas between.
  std::string load;
  // The path of the directory.
  std::string lookup_path;
  // The region and the availability zone of a caller of the directory, in the
  // query.
  std::string lookup_region;
  std::string lookup_zone;
  // The directory's answer: addresses, and how long a caller may keep them.
  std::function<std::string(const std::vector<Endpoint>&, Duration lifetime)>
      write_hosts;
};

}  // namespace toucanknot

#endif  // INCLUDE_ENTRY_ENTRY_WIRE_H_
