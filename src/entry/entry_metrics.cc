#include "src/entry/entry_metrics.h"

#include <fmt/format.h>

#include <iterator>

namespace toucanknot {

void EntryMetrics::Histogram::Add(Duration took) {
  for (size_t i = 0; i < kBounds.size(); ++i) {
    if (took.ms() <= kBounds[i])
      ++counts[i];
  }
  ++total;
  sum_ms += took.ms();
}

void EntryMetrics::CountRequest(const ServiceId& service,
                                int status,
                                Duration took) {
  requests_[fmt::format("service=\"{}\",status=\"{}\"", service.str(), status)]
      .Add(took);
}

void EntryMetrics::CountAttempt(const ServiceId& service,
                                ServerAttemptEnd end,
                                Duration took) {
  attempts_[fmt::format("service=\"{}\",end=\"{}\"", service.str(),
                        kServerAttemptEndNames.Name(end))]
      .Add(took);
}

void EntryMetrics::WriteHistogram(const std::string& name,
                                  const std::string& labels,
                                  const Histogram& histogram,
                                  std::string& out) {
  const auto end = std::back_inserter(out);
  for (size_t i = 0; i < kBounds.size(); ++i) {
    fmt::format_to(end, "{}_bucket{{{},le=\"{}\"}} {}\n", name, labels,
                   kBounds[i], histogram.counts[i]);
  }
  fmt::format_to(end, "{}_bucket{{{},le=\"+Inf\"}} {}\n", name, labels,
                 histogram.total);
  fmt::format_to(end, "{}_sum{{{}}} {}\n", name, labels, histogram.sum_ms);
  fmt::format_to(end, "{}_count{{{}}} {}\n", name, labels, histogram.total);
}

std::string EntryMetrics::ToPrometheusText() const {
  std::string out;
  out += "# TYPE toucanknot_request_ms histogram\n";
  for (const auto& [labels, histogram] : requests_)
    WriteHistogram("toucanknot_request_ms", labels, histogram, out);
  out += "# TYPE toucanknot_attempt_ms histogram\n";
  for (const auto& [labels, histogram] : attempts_)
    WriteHistogram("toucanknot_attempt_ms", labels, histogram, out);
  for (const auto& [name, value] : gauges_)
    fmt::format_to(std::back_inserter(out), "{} {}\n", name, value);
  return out;
}

}  // namespace toucanknot
