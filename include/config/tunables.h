#ifndef INCLUDE_CONFIG_TUNABLES_H_
#define INCLUDE_CONFIG_TUNABLES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "include/base/clock.h"

namespace toucanknot {

// What operators may set for the fleet and except by scope. Every member has
// a key of the same name in the configuration; durations there end in "_ms".
struct Tunables {
  // Takes no new work: a backend server, host, zone or region that leaves.
  bool drain = false;

  // How long a request may take that states no deadline, and the longest that
  // one may state.
  Duration deadline{10'000};
  Duration max_deadline{60'000};
  // Requests of a service that may wait at one host; the rest is refused.
  int64_t max_queue = 512;

  // Share of recent successes that may be spent on retries and on hedges.
  double retry_ratio = 0.1;
  double hedge_ratio = 0.05;

  // Bodies above these sizes are refused, not cut.
  int64_t max_request_bytes = 8 << 20;
  int64_t max_answer_bytes = 32 << 20;

  // Share of a region's slots that steering may fill.
  double region_load_limit = 0.95;
  // Share of a link that steering may fill, each way.
  double link_load_limit = 0.9;
  // Share of a service's traffic that may move to another region per interval.
  double shift_share = 0.1;
  Duration shift_interval{1'000};
  // How long a cold backend server takes to reach its full share.
  Duration warmup{10'000};

  // A load report or a peer's figure older than this is not used.
  Duration max_report_age{5'000};
  Duration probe_interval{1'000};
  // Failures in a row after which a backend server is ejected, for how long,
  // and the share of a service's servers that may be out at once.
  int64_t eject_after_failures = 5;
  Duration eject_for{5'000};
  double max_ejected_share = 0.5;
  // How long a request that crashed two backend servers is refused.
  Duration quarantine_for{300'000};
  // A pooled connection without progress for this long is replaced.
  Duration silent_after{3'000};
  // A pooled connection idle for longer than this carries no run-once request.
  Duration fresh_for{1'000};

  // Life of a ticket, and how long the answer of a run-once request is kept.
  Duration ticket_lifetime{120'000};
  Duration keep_answer{300'000};
  // Memory for kept answers at one host, in bytes.
  int64_t kept_answers_bytes = 32 << 20;

  // How long a caller may use a look-up's answer.
  Duration lookup_lifetime{10'000};
  // The longest a graceful shutdown waits for requests in flight.
  Duration drain_limit{60'000};

  bool operator==(const Tunables&) const = default;
};

// One value that an exception or a changed default sets, as JSON text.
struct TunableValue {
  std::string key;
  std::string json;

  bool operator==(const TunableValue&) const = default;
};

}  // namespace toucanknot

#endif  // INCLUDE_CONFIG_TUNABLES_H_
