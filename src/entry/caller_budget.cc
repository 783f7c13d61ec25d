#include "src/entry/caller_budget.h"

#include <algorithm>
#include <cstdint>

namespace toucanknot {
namespace {

// Samples before any caller is taken for a returning one.
constexpr int kMinSamples = 8;
// Step of the median for each request, as a fraction of it.
constexpr double kStep = 0.002;
// By which fraction of its distance to the median the longest budget shrinks
// with each request, so that budgets may become shorter.
constexpr double kShrink = 0.001;
// A budget counts as at most this multiple of the median, so that one absurd
// value does not hide all returns.
constexpr double kMaxToMedian = 2;
// Minimum distance from the median to the end of the range, and the margin
// below the range, as fractions of the median and of that distance.
constexpr double kMinHalfRange = 0.02;
constexpr double kMargin = 0.3;

}  // namespace

void CallerBudget::AddSample(double budget_ms) {
  if (samples_ < kMinSamples) {
    ++samples_;
    median_ms_ += (budget_ms - median_ms_) / samples_;
    longest_ms_ = std::max(longest_ms_, budget_ms);
    return;
  }
  median_ms_ *= budget_ms > median_ms_ ? 1 + kStep : 1 - kStep;
  longest_ms_ -= (longest_ms_ - median_ms_) * kShrink;
  longest_ms_ =
      std::max(longest_ms_, std::min(budget_ms, median_ms_ * kMaxToMedian));
}

Duration CallerBudget::TimeSpent(Duration left) {
  const auto budget_ms = static_cast<double>(std::max<int64_t>(left.ms(), 1));
  AddSample(budget_ms);
  const double half_range_ms =
      std::max(longest_ms_ - median_ms_, median_ms_ * kMinHalfRange);
  const double shortest_ms = median_ms_ - half_range_ms * (1 + kMargin);
  if (samples_ < kMinSamples || budget_ms >= shortest_ms)
    return Duration(0);
  return Duration(static_cast<int64_t>(median_ms_ - budget_ms));
}

}  // namespace toucanknot
