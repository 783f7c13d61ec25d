#ifndef SRC_CLI_HOST_CLIENT_H_
#define SRC_CLI_HOST_CLIENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "include/cli/command.h"

namespace toucanknot {

// The state of a host and its configuration, from its /status.
struct HostStatus {
  // A configuration that the host rejected.
  struct Rejected {
    uint64_t version = 0;
    std::string from;
    std::string reason;
    int64_t age_ms = 0;
  };

  Endpoint admin;
  // Why no status was received; empty on success.
  std::string fault;
  std::string host;
  std::string state;
  uint64_t version = 0;
  std::string digest;
  int64_t age_ms = 0;
  // The version in the store, if older than the host's.
  std::optional<uint64_t> older_store_version;
  std::vector<Rejected> rejected;
};

// Fetches `target` from a host's admin address. Throws Error unless the
// response has status 200.
std::string FetchFromHost(const CliContext& context,
                          const Endpoint& admin,
                          const std::string& target);

// Fetches the status of all hosts in the settings concurrently, in their order.
// `fault` is set for hosts that do not respond.
std::vector<HostStatus> FetchStatuses(const CliContext& context);

// Percent-encodes `text` for a URL's query.
std::string PercentEncode(const std::string& text);

}  // namespace toucanknot

#endif  // SRC_CLI_HOST_CLIENT_H_
