#ifndef SRC_DAEMON_HOST_METRICS_H_
#define SRC_DAEMON_HOST_METRICS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

#include "include/base/clock.h"
#include "include/base/verdict.h"
#include "include/steering/dispatcher.h"

namespace toucanknot {

// Counters and request latency of one host since its start. Thread-safe.
class HostMetrics {
 public:
  HostMetrics();
  ~HostMetrics();
  HostMetrics(const HostMetrics&) = delete;
  HostMetrics& operator=(const HostMetrics&) = delete;

  void CountLookup() { ++lookups_; }
  void CountForgedForwarding() { ++forged_forwardings_; }
  void CountRefusal(Refusal refusal) {
    ++refusals_[static_cast<size_t>(refusal)];
  }
  void CountAttempt(AttemptEnd end) { ++attempts_[static_cast<size_t>(end)]; }
  // Counts a caller's request that ended with `verdict` after `took`.
  void CountRequest(Verdict verdict, Duration took);

  uint64_t Requests(Verdict verdict) const {
    return requests_[static_cast<size_t>(verdict)];
  }

  // In the Prometheus text format.
  std::string Text() const;

 private:
  class Latency;

  std::atomic<uint64_t> lookups_{0};
  std::atomic<uint64_t> forged_forwardings_{0};
  std::array<std::atomic<uint64_t>, 3> requests_{};
  std::array<std::atomic<uint64_t>, kRefusalNames.names.size()> refusals_{};
  std::array<std::atomic<uint64_t>, kAttemptEndNames.names.size()> attempts_{};

  mutable std::mutex mutex_;
  std::unique_ptr<Latency> latency_;
};

// One sample line of the Prometheus text format.
std::string MetricLine(const std::string& name,
                       const std::string& labels,
                       double value);

}  // namespace toucanknot

#endif  // SRC_DAEMON_HOST_METRICS_H_
