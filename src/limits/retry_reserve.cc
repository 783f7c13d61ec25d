#include "include/limits/retry_reserve.h"

#include <algorithm>

namespace toucanknot {
namespace {

// Weight of the newest attempt in the moving share of rejections.
constexpr double kWeight = 0.01;

}  // namespace

void RetryReserve::OnAttempt(bool rejected) {
  rejected_ += ((rejected ? 1 : 0) - rejected_) * kWeight;
}

double RetryReserve::ReservedShare(double ratio) const {
  if (ratio <= 0)
    return 1;
  return std::min(1.0, rejected_ * rejected_ / ratio);
}

}  // namespace toucanknot
