#include "include/entry/state_age_monitor.h"

namespace toucanknot {

std::optional<StateAgeMonitor::Report> StateAgeMonitor::Update(
    std::optional<Instant> known_until,
    Instant now) {
  const Report report{now - known_until.value_or(start_) > max_age_,
                      now - known_until.value_or(start_)};
  if (!report.behind) {
    const bool ends = reported_at_.has_value();
    reported_at_.reset();
    return ends ? std::optional(report) : std::nullopt;
  }
  if (reported_at_ && now - *reported_at_ < kRepeat)
    return std::nullopt;
  reported_at_ = now;
  return report;
}

}  // namespace toucanknot
