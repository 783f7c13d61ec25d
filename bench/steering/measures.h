#ifndef BENCH_STEERING_MEASURES_H_
#define BENCH_STEERING_MEASURES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "include/base/ids.h"

namespace toucanknot::bench {

// What happened to the requests of one service in one run.
struct ServiceMeasures {
  ServiceId service;
  // Latencies of whole answers in microseconds.
  std::vector<int64_t> latencies_us;
  int64_t offered = 0;
  int64_t answered = 0;
  // Answers after the warm-up, also to requests that came before its end.
  int64_t answered_in_window = 0;
  int64_t refused = 0;
  // Neither answered nor refused: timed out, or broken too often.
  int64_t failed = 0;
  // Requests that found all slots of their backend server taken.
  int64_t queued_at_servers = 0;
  // answered_in_window over what the slots alive could have answered.
  double goodput = 0;
  // From the first sign that a server leaves to its last new request; negative
  // without such a server.
  int64_t drain_ms = -1;
  // From the end of a burst until answers keep up again; negative without.
  int64_t recovery_ms = -1;
  // Answered in each second of the run.
  std::vector<int64_t> answered_in_second;
  std::vector<int64_t> arrived_in_second;
  // Requests that were decided on in each second: what a shift is a share of.
  std::vector<int64_t> requests_in_second;
  // Passed to another region in each second.
  std::vector<int64_t> shifted_in_second;

  // The latency that the share `q` of the answers does not exceed, in
  // milliseconds.
  double Percentile(double q);
};

// What happened in one run.
struct Measures {
  std::vector<ServiceMeasures> services;
  // Least share of slots that is free on average in a region; negative when it
  // was not measured.
  double region_headroom = -1;
  // Least share of a link that is free in any second; the same.
  double link_headroom = -1;
  // Seconds of links over their rate, requests over servers' connections, and
  // seconds of shifts over their share.
  int64_t link_caps_passed = 0;
  int64_t connection_caps_passed = 0;
  int64_t shift_caps_passed = 0;

  int64_t CapsPassed() const {
    return link_caps_passed + connection_caps_passed + shift_caps_passed;
  }
};

}  // namespace toucanknot::bench

#endif  // BENCH_STEERING_MEASURES_H_
