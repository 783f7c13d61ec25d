#ifndef INCLUDE_ENTRY_HEADER_NAMES_H_
#define INCLUDE_ENTRY_HEADER_NAMES_H_

#include <string>

namespace toucanknot {

// The HTTP fields by which callers, entry hosts and backend servers tell each
// other more than HTTP does; a deployment's adapter names them.
struct HeaderNames {
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
  // Who answers a health check.
  std::string server_id;
  // How long the server stays cold.
  std::string cold_left_ms;
  // Paths of the host's own answers.
  std::string ready_path;
  std::string lookup_path;
};

}  // namespace toucanknot

#endif  // INCLUDE_ENTRY_HEADER_NAMES_H_
