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
  // New pieces of work a second; bounded by kMaxRate.
  double per_second = 50;
  // Share of the work that must run once.
  double run_once_share = 0.2;
  // Bytes of each request and of the answer it asks for.
  size_t request_bytes = 200;
  size_t answer_bytes = 1'000;

  static constexpr double kMaxRate = 20'000;
};

// What a load run does. Load goes to loopback addresses only.
struct LoadOptions {
  // Entry hosts that a caller may ask first, for each group of callers.
  std::vector<std::vector<Endpoint>> groups;
  std::vector<LoadStream> streams;
  Duration duration{10'000};
  // How long a caller waits for one answer, and for its work in all.
  Duration deadline{5'000};
  Duration patience{20'000};
  // Pieces of work under way at once; what would go beyond is not begun.
  int max_in_flight = 2'000;
  uint64_t seed = 1;
  int workers = 2;
};

}  // namespace toucanknot

#endif  // SRC_LOAD_LOAD_OPTIONS_H_
