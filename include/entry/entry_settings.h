#ifndef INCLUDE_ENTRY_ENTRY_SETTINGS_H_
#define INCLUDE_ENTRY_ENTRY_SETTINGS_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "include/base/clock.h"
#include "include/base/endpoint.h"
#include "include/base/ids.h"

namespace toucanknot {

// Start-up settings of an entry host on the platform, from JSON with comments.
// Durations are written as "1500ms" or "2.5s".
struct EntrySettings {
  HostId host;
  ZoneId zone;
  RegionId region;
  // The region of each availability zone.
  std::map<ZoneId, RegionId> regions;
  // Listen addresses for callers' requests, for the platform's health checks,
  // and for callers that look up hosts.
  Endpoint callers;
  Endpoint readiness;
  Endpoint directory;
  // Listen address for metrics, if any.
  std::optional<Endpoint> metrics;
  Endpoint store;
  // Listen address for datagrams of the other hosts; the same port at all of
  // them.
  Endpoint peers;
  // A change in the store reaches the host within this time.
  Duration news_within{2'500};
  // How often a backend server writes its entry.
  Duration heartbeat{1'500};
  // Memory that the process may use.
  int64_t memory_bytes = 256LL << 20;
  // Bandwidth of its link in Mbit/s, and its share of CPU cores.
  double link_mbps = 1'000;
  double cpu_share = 1;
  // Maximum time from a stop signal to the end of the process.
  Duration stop_within{6'000};
  // Maximum time for which callers may cache a response of the directory.
  Duration lookup_lifetime{5'000};
  // Retry limit of a service within `retry_window`, over all hosts: a fraction
  // of its requests plus a constant number.
  double retry_ratio = 0.2;
  double retry_slack = 0;
  Duration retry_window{10'000};
  // If set, a request whose API key was removed from the configuration does not
  // run when it was sent later than this after the removal.
  std::optional<Duration> revoke_within;
  // Tolerance of the usage caps of workspaces: in any span of `cap_window`, the
  // runs of a workspace over all hosts may exceed its cap by a fraction and a
  // constant number.
  Duration cap_window{5'000};
  double cap_over = 0.1;
  double cap_slack = 20;
  // Whether servers that started or failed recently are limited until they
  // answer as their peers do.
  bool pace_servers = false;
  // File descriptors that the process may use; 0 means the limit of the
  // process.
  int64_t max_descriptors = 0;
};

// Throws InvalidConfigError listing every problem; `source` names the text in
// it.
EntrySettings ParseEntrySettings(std::string_view text,
                                 const std::string& source);

// Reads settings from a file. Throws Error when it cannot be read.
EntrySettings LoadEntrySettings(const std::string& path);

// Parses "1500ms" or "2.5s"; a duration of more than a year counts as a year.
// Throws Error when `text` is not a duration.
Duration ParseDuration(std::string_view text);

}  // namespace toucanknot

#endif  // INCLUDE_ENTRY_ENTRY_SETTINGS_H_
