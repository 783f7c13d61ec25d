#ifndef SRC_ENTRY_ENTRY_METRICS_H_
#define SRC_ENTRY_ENTRY_METRICS_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "include/base/clock.h"
#include "include/base/ids.h"
#include "include/placing/placer.h"

namespace toucanknot {

// Counters and latency histograms of one entry host, for one thread.
class EntryMetrics {
 public:
  // Records that a request for `service` ended with `status` after `took`.
  void CountRequest(const ServiceId& service, int status, Duration took);
  // Records that an attempt at a backend server of `service` ended after
  // `took`.
  void CountAttempt(const ServiceId& service,
                    ServerAttemptEnd end,
                    Duration took);
  // Sets a gauge, such as "toucanknot_store_calls".
  void SetGauge(const std::string& name, double value) {
    gauges_[name] = value;
  }

  // All metrics in the Prometheus text format.
  std::string ToPrometheusText() const;

 private:
  // Upper bounds of the buckets in ms: each about twice the previous one, from
  // a response for a warm object to the longest timeouts.
  static constexpr std::array<int64_t, 10> kBounds{
      {10, 25, 50, 100, 200, 400, 800, 1'600, 3'200, 6'400}};

  struct Histogram {
    std::array<uint64_t, kBounds.size()> counts{};
    uint64_t total = 0;
    int64_t sum_ms = 0;

    void Add(Duration took);
  };

  static void WriteHistogram(const std::string& name,
                             const std::string& labels,
                             const Histogram& histogram,
                             std::string& out);

  // Keyed by labels.
  std::map<std::string, Histogram> requests_;
  std::map<std::string, Histogram> attempts_;
  std::map<std::string, double> gauges_;
};

}  // namespace toucanknot

#endif  // SRC_ENTRY_ENTRY_METRICS_H_
