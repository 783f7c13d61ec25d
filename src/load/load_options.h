#ifndef SRC_LOAD_LOAD_OPTIONS_H_
#define SRC_LOAD_LOAD_OPTIONS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "include/base/clock.h"
#include "include/base/endpoint.h"

namespace toucanknot {

// One stream of requests to one service.
struct LoadStream {
  std::string service;
  // New work items per second, at most kMaxRate.
  double per_second = 50;
  // Fraction of the work items that must run at most once.
  double run_once_share = 0.2;
  // Size of the body of each run-once request, and of each response, in bytes.
  size_t request_bytes = 200;
  size_t response_bytes = 1'000;

  static constexpr double kMaxRate = 20'000;
};

// Options of a load run. Load is sent to loopback addresses only.
struct LoadOptions {
  // Seed entry hosts for the look-ups of each group of callers.
  std::vector<std::vector<Endpoint>> groups;
  std::vector<LoadStream> streams;
  Duration duration{10'000};
  // How long a caller waits for one response, and keeps trying a work item in
  // total.
  Duration deadline{5'000};
  Duration patience{20'000};
  // Limit on concurrent work items; further ones are skipped.
  int max_in_flight = 2'000;
  uint64_t seed = 1;
  int workers = 2;
};

}  // namespace toucanknot

#endif  // SRC_LOAD_LOAD_OPTIONS_H_
