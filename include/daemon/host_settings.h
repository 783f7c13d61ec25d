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

// What one entry host is told at its start; everything else comes from the
// fleet's configuration.
struct HostSettings {
  HostId host;
  ZoneId zone;
  // Where callers and other entry hosts send HTTP.
  Endpoint callers;
  // Where other entry hosts speak the inner protocol.
  Endpoint peers;
  // Metrics, health, status. Loopback, or protected by `admin_token`.
  Endpoint admin;
  std::string admin_token;
  // The platform's store.
  Endpoint store;
  Duration store_timeout{2'000};
  // Entry hosts to learn the configuration from while the store is down.
  std::vector<Endpoint> seeds;
  // One key, or two while keys are changed; the first one is used to send.
  std::vector<FleetKey> fleet_keys;
  int workers = 2;
  int max_connections = 4096;
  // Request bodies held at once, in bytes.
  int64_t max_buffered_bytes = 256LL << 20;
  // How long a host that leaves still takes requests of callers who looked it
  // up before.
  Duration leave_notice{2'000};
  LogFormat log_format = LogFormat::kText;
  std::string log_level = "info";
};

// Reads a host's settings, JSON with comments. Throws InvalidConfigError with
// every fault; `source` is what the error calls the text.
HostSettings ParseHostSettings(std::string_view text,
                               const std::string& source);

// Reads them from a file. Throws Error when it cannot be read.
HostSettings LoadHostSettings(const std::string& path);

}  // namespace toucanknot

#endif  // INCLUDE_DAEMON_HOST_SETTINGS_H_
