#ifndef SRC_DAEMON_RECENT_LATENCY_H_
#define SRC_DAEMON_RECENT_LATENCY_H_

#include <array>
#include <cstddef>
#include <optional>

#include "include/base/clock.h"

namespace toucanknot {

// How long a service's answers took of late. Not thread-safe.
class RecentLatency {
 public:
  // Below this number of answers nothing is said.
  static constexpr size_t kLeastSamples = 64;

  void Add(Duration took);
  // The 95th percentile of the last answers, up to a few answers old; nothing
  // before there are enough.
  std::optional<Duration> P95() const { return p95_; }

 private:
  static constexpr size_t kKept = 256;
  // The percentile is found anew after so many answers.
  static constexpr size_t kRefresh = 32;

  std::array<Duration, kKept> samples_{};
  size_t added_ = 0;
  std::optional<Duration> p95_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_RECENT_LATENCY_H_
