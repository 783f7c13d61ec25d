#ifndef INCLUDE_DAEMON_HOST_SETTINGS_H_
#define INCLUDE_DAEMON_HOST_SETTINGS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "include/base/clock.h"
#include "include/base/endpoint.h"
#include "include/base/enum_names.h"
#include "include/base/ids.h"
#include "include/peer/fleet_keys.h"

namespace toucanknot {

// How log lines are written.
enum class LogFormat { kText, kJson };

inline constexpr EnumNames<LogFormat, 2> kLogFormatNames{{"text", "json"}};

// The start-up settings of one entry host; everything else comes from the
// fleet's configuration.
struct HostSettings {
  HostId host;
  ZoneId zone;
  // Listening address for HTTP from callers and other entry hosts.
  Endpoint callers;
  // Listening address for the peer protocol between entry hosts.
  Endpoint peers;
  // Listening address for metrics, health and status. Must be a loopback
  // address unless `admin_token` is set.
  Endpoint admin;
  std::string admin_token;
  // Address of the platform's store.
  Endpoint store;
  Duration store_timeout{2'000};
  // How long a watch waits at the store, and how often the platform's host list
  // is read.
  Duration store_watch{5'000};
  Duration host_list_interval{1'000};
  // Peer addresses of entry hosts from which the configuration is fetched while
  // the store is down.
  std::vector<Endpoint> seeds;
  // One key, or two during a key rotation; the first one signs outgoing
  // messages.
  std::vector<FleetKey> fleet_keys;
  int workers = 2;
  int max_connections = 4096;
  // Limit on buffered request bodies of all connections, in bytes.
  int64_t max_buffered_bytes = 256LL << 20;
  // How long a leaving host still accepts requests from callers that looked it
  // up earlier.
  Duration leave_notice{2'000};
  LogFormat log_format = LogFormat::kText;
  std::string log_level = "info";
};

// Parses a host's settings, JSON with comments. Throws InvalidConfigError that
// lists every problem; `source` names the text in the error message.
HostSettings ParseHostSettings(std::string_view text,
                               const std::string& source);

// Parses the settings in a file. Throws Error when the file cannot be read, and
// InvalidConfigError as above.
HostSettings LoadHostSettings(const std::string& path);

}  // namespace toucanknot

#endif  // INCLUDE_DAEMON_HOST_SETTINGS_H_
