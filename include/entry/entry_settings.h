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

// What an entry host on the platform is told at its start. JSON with comments;
// lengths of time are texts such as "1500ms" or "2.5s".
struct EntrySettings {
  HostId host;
  ZoneId zone;
  RegionId region;
  // The region of each availability zone.
  std::map<ZoneId, RegionId> regions;
  // Where callers send requests, health checks of the platform come to, and
  // callers ask for hosts.
  Endpoint callers;
  Endpoint readiness;
  Endpoint directory;
  // Where metrics are read, if anywhere.
  std::optional<Endpoint> metrics;
  Endpoint store;
  // Where the other hosts send datagrams; the same port at all of them.
  Endpoint peers;
  // The host hears of a change in the store within this time.
  Duration news_within{2'500};
  // How often a backend server writes its entry.
  Duration heartbeat{1'500};
  // Memory that the process may use.
  int64_t memory_bytes = 256LL << 20;
  // Its link, in Mbit/s, and its part of a core.
  double link_mbps = 1'000;
  double cpu_share = 1;
  // From a stop signal to the end of the process, at most.
  Duration stop_within{6'000};
  // The longest time that callers may keep an answer of the directory.
  Duration lookup_lifetime{5'000};
  // Retries of a service in `retry_window`, over all hosts: a part of its
  // requests, and a number beside.
  double retry_ratio = 0.2;
  double retry_slack = 0;
  Duration retry_window{10'000};
};

// Throws InvalidConfigError with every fault; `source` names the text there.
EntrySettings ParseEntrySettings(std::string_view text,
                                 const std::string& source);

// Reads them from a file. Throws Error when it cannot be read.
EntrySettings LoadEntrySettings(const std::string& path);

// Reads "1500ms" or "2.5s". Throws Error when `text` is no length of time.
Duration ParseDuration(std::string_view text);

}  // namespace toucanknot

#endif  // INCLUDE_ENTRY_ENTRY_SETTINGS_H_
