#ifndef BENCH_STEERING_MEASURES_H_
#define BENCH_STEERING_MEASURES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "include/base/ids.h"

namespace toucanknot::bench {

// The results of one service in one run.
struct ServiceMeasures {
  ServiceId service;
  // Latencies of complete responses in microseconds.
  std::vector<int64_t> latencies_us;
  int64_t offered = 0;
  int64_t answered = 0;
  // Responses after the warm-up, including those to requests that arrived
  // before its end.
  int64_t answered_in_window = 0;
  int64_t refused = 0;
  // Neither answered nor refused: timed out, or out of retries.
  int64_t failed = 0;
  // Requests that found all slots of their backend server in use.
  int64_t queued_at_servers = 0;
  // answered_in_window divided by what the live slots could have served.
  double goodput = 0;
  // From the first signal that a server leaves to its last new request;
  // negative if no server leaves.
  int64_t drain_ms = -1;
  // From the end of a burst until responses keep up with arrivals again;
  // negative without a burst.
  int64_t recovery_ms = -1;
  // Requests answered in each second of the run.
  std::vector<int64_t> answered_in_second;
  std::vector<int64_t> arrived_in_second;
  // Requests decided on in each second; the limit on shifts is a share of
  // these.
  std::vector<int64_t> requests_in_second;
  // Forwarded to another region in each second.
  std::vector<int64_t> shifted_in_second;

  // The latency quantile `q` (0 to 1), in milliseconds.
  double Percentile(double q);
};

// The results of one run.
struct Measures {
  std::vector<ServiceMeasures> services;
  // The lowest average share of free slots of any region; negative if not
  // measured.
  double region_headroom = -1;
  // The lowest free share of any link in any second; negative if not measured.
  double link_headroom = -1;
  // Violations: seconds in which a link exceeded its rate, requests above a
  // server's connection limit, and seconds in which a shift exceeded its share.
  int64_t link_caps_exceeded = 0;
  int64_t connection_caps_exceeded = 0;
  int64_t shift_caps_exceeded = 0;

  int64_t CapsExceeded() const {
    return link_caps_exceeded + connection_caps_exceeded + shift_caps_exceeded;
  }
};

}  // namespace toucanknot::bench

#endif  // BENCH_STEERING_MEASURES_H_
