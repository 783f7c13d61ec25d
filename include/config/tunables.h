#ifndef INCLUDE_CONFIG_TUNABLES_H_
#define INCLUDE_CONFIG_TUNABLES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "include/base/clock.h"

namespace toucanknot {

// Settings that operators may change for the whole fleet and override by scope.
// Every member has a key of the same name in the configuration; keys of
// durations end in "_ms".
struct Tunables {
  // Sends no new work to a backend server, host, zone or region, before it is
  // taken out of service.
  bool drain = false;

  // Deadline of requests that state none, and the longest deadline that a
  // request may state.
  Duration deadline{10'000};
  Duration max_deadline{60'000};
  // Maximum number of a service's requests that wait at one host; requests
  // beyond it are rejected.
  int64_t max_queue = 512;

  // Retries and hedged requests allowed, as a share of recent successes.
  double retry_ratio = 0.1;
  double hedge_ratio = 0.05;

  // Maximum body sizes. Larger bodies are rejected, not truncated.
  int64_t max_request_bytes = 8 << 20;
  int64_t max_answer_bytes = 32 << 20;

  // Share of a region's slots up to which load may be steered to the region.
  double region_load_limit = 0.95;
  // Share of a link's capacity that steered load may use, in each direction.
  double link_load_limit = 0.9;
  // Share of a service's traffic that may move to another region per interval.
  double shift_share = 0.1;
  Duration shift_interval{1'000};
  // How long a newly started backend server takes to reach its full share of
  // the load.
  Duration warmup{10'000};

  // Load reports and figures from peers that are older than this are ignored.
  Duration max_report_age{5'000};
  Duration probe_interval{1'000};
  // Consecutive failures after which a backend server is ejected, the duration
  // of the ejection, and the maximum share of a service's servers that may be
  // ejected at the same time.
  int64_t eject_after_failures = 5;
  Duration eject_for{5'000};
  double max_ejected_share = 0.5;
  // How long a request that crashed two backend servers is rejected.
  Duration quarantine_for{300'000};
  // A pooled connection without progress for this long is replaced.
  Duration silent_after{3'000};
  // A pooled connection that was idle for longer than this is not used for
  // run-once requests.
  Duration fresh_for{1'000};

  // Lifetime of a ticket, and how long the response to a run-once request is
  // cached.
  Duration ticket_lifetime{120'000};
  Duration keep_answer{300'000};
  // Maximum memory for cached responses at one host, in bytes.
  int64_t kept_answers_bytes = 32 << 20;

  // How long a caller may use the result of a look-up.
  Duration lookup_lifetime{10'000};
  // The longest time a graceful shutdown waits for requests in flight.
  Duration drain_limit{60'000};

  bool operator==(const Tunables&) const = default;
};

// The value that an exception sets for one tunable, as JSON text.
struct TunableValue {
  std::string key;
  std::string json;

  bool operator==(const TunableValue&) const = default;
};

}  // namespace toucanknot

#endif  // INCLUDE_CONFIG_TUNABLES_H_
