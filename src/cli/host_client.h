#ifndef SRC_CLI_HOST_CLIENT_H_
#define SRC_CLI_HOST_CLIENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "include/cli/command.h"

namespace toucanknot {

// What a host says of its configuration.
struct HostStatus {
  struct Refused {
    uint64_t version = 0;
    std::string from;
    std::string reason;
    int64_t age_ms = 0;
  };

  Endpoint admin;
  // Why there is no answer; empty when there is one.
  std::string fault;
  std::string host;
  std::string state;
  uint64_t version = 0;
  std::string digest;
  int64_t age_ms = 0;
  // The store's, when it is older than the host's.
  std::optional<uint64_t> older_store_version;
  std::vector<Refused> refused;
};

// Asks one host's admin listener. Throws Error when there is no answer 200.
std::string AskHost(const CliContext& context,
                    const Endpoint& admin,
                    const std::string& target);

// The status of every host whose admin listener the settings name, in their
// order, asked at once; a host that does not answer has a fault.
std::vector<HostStatus> AskStatuses(const CliContext& context);

// `text` as the value of a URL's query.
std::string QueryEncoded(const std::string& text);

}  // namespace toucanknot

#endif  // SRC_CLI_HOST_CLIENT_H_
