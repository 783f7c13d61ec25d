#ifndef SRC_DAEMON_RECENT_LATENCY_H_
#define SRC_DAEMON_RECENT_LATENCY_H_

#include <array>
#include <cstddef>
#include <optional>

#include "include/base/clock.h"

namespace toucanknot {

// Tracks the latency of a service's recent responses. Not thread-safe.
class RecentLatency {
 public:
  // P95() is empty until this many samples were added.
  static constexpr size_t kMinSamples = 64;

  void Add(Duration took);
  // The 95th percentile of the last samples, recomputed every kRefreshInterval
  // samples; empty before there are kMinSamples.
  std::optional<Duration> P95() const { return p95_; }

 private:
  static constexpr size_t kMaxSamples = 256;
  // The percentile is recomputed after this many samples.
  static constexpr size_t kRefreshInterval = 32;

  std::array<Duration, kMaxSamples> samples_{};
  size_t added_ = 0;
  std::optional<Duration> p95_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_RECENT_LATENCY_H_
