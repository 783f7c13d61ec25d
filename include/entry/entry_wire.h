#ifndef INCLUDE_ENTRY_ENTRY_WIRE_H_
#define INCLUDE_ENTRY_ENTRY_WIRE_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "include/base/clock.h"
#include "include/base/endpoint.h"
#include "include/placing/server_notice.h"

namespace toucanknot {

// Names of the header fields and of the directory's path and parameters that
// callers, entry hosts and backend servers use beyond plain HTTP. Defined by
// the adapter to a platform.
struct EntryWire {
  // Id of one attempt of a caller; the response repeats it.
  std::string request_id;
  // How long the sender will wait, in milliseconds.
  std::string deadline_ms;
  // The object that the request is about.
  std::string object;
  // The server that must run the request; any other rejects it.
  std::string target_server;
  // Present only in responses of backend servers.
  std::string stamp;
  // Present when the server did not run the request.
  std::string not_run;
  // Running requests, queued requests and slots, separated by commas.
  std::string load;
  // Decodes the speed of the server's machine in that field: how long work
  // takes there relative to usual. If null, or if it returns nothing, the speed
  // is unknown.
  std::function<std::optional<double>(std::string_view load)> read_work_ratio;
  // Decodes what the server states in a response with that status. If null, it
  // states nothing.
  std::function<ServerNotice(int status, const FieldReader& field)> read_notice;
  // The API key of the caller's workspace. Never forwarded to servers.
  std::string api_key;
  // The name of the caller's workspace, set by the host for the server whatever
  // the caller sent.
  std::string workspace;
  // Path of the directory.
  std::string lookup_path;
  // Query parameters with the region and the availability zone of the caller.
  std::string lookup_region;
  std::string lookup_zone;
  // Query parameter with the host name that the caller wants to reach; it may
  // be absent.
  std::string lookup_name;
  // Builds the response of the directory: addresses, and how long a caller may
  // cache them.
  std::function<std::string(const std::vector<Endpoint>&, Duration lifetime)>
      write_hosts;
};

}  // namespace toucanknot

#endif  // INCLUDE_ENTRY_ENTRY_WIRE_H_
