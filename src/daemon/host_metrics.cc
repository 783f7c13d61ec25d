#include "src/daemon/host_metrics.h"

#include <fmt/format.h>

#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace toucanknot {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.99, 0.999};

using Accumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count,
                                    acc::tag::sum,
                                    acc::tag::extended_p_square_quantile>>;

std::string Label(const char* name, std::string_view value) {
  return fmt::format("{}=\"{}\"", name, value);
}

}  // namespace

class HostMetrics::Latency {
 public:
  Latency() : all_(acc::extended_p_square_probabilities = kQuantiles) {}

  void Add(Duration took) { all_(static_cast<double>(took.ms())); }

  std::string Text() const {
    std::string text;
    if (acc::count(all_) > 0) {
      for (const double it : kQuantiles) {
        text += MetricLine("toucanknot_request_ms",
                           fmt::format("quantile=\"{}\"", it),
                           acc::quantile(all_, acc::quantile_probability = it));
      }
    }
    text += MetricLine("toucanknot_request_ms_sum", "", acc::sum(all_));
    text += MetricLine("toucanknot_request_ms_count", "",
                       static_cast<double>(acc::count(all_)));
    return text;
  }

 private:
  Accumulator all_;
};

HostMetrics::HostMetrics() : latency_(std::make_unique<Latency>()) {}

HostMetrics::~HostMetrics() = default;

void HostMetrics::CountRequest(Verdict verdict, Duration took) {
  ++requests_[static_cast<size_t>(verdict)];
  const std::lock_guard lock(mutex_);
  latency_->Add(took);
}

std::string HostMetrics::Text() const {
  std::string text;
  text += MetricLine("toucanknot_lookups_total", "",
                     static_cast<double>(lookups_.load()));
  text += MetricLine("toucanknot_forged_passes_total", "",
                     static_cast<double>(forged_forwardings_.load()));
  for (size_t i = 0; i < requests_.size(); ++i) {
    text += MetricLine("toucanknot_requests_total",
                       Label("verdict", kVerdictNames.names[i]),
                       static_cast<double>(requests_[i].load()));
  }
  for (size_t i = 1; i < refusals_.size(); ++i) {
    text += MetricLine("toucanknot_refusals_total",
                       Label("reason", kRefusalNames.names[i]),
                       static_cast<double>(refusals_[i].load()));
  }
  for (size_t i = 0; i < attempts_.size(); ++i) {
    text += MetricLine("toucanknot_attempts_total",
                       Label("end", kAttemptEndNames.names[i]),
                       static_cast<double>(attempts_[i].load()));
  }
  const std::lock_guard lock(mutex_);
  return text + latency_->Text();
}

std::string MetricLine(const std::string& name,
                       const std::string& labels,
                       double value) {
  if (labels.empty())
    return fmt::format("{} {}\n", name, value);
  return fmt::format("{}{{{}}} {}\n", name, labels, value);
}

}  // namespace toucanknot
