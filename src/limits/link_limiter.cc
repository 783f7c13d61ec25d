#include "include/limits/link_limiter.h"

#include <algorithm>
#include <cmath>

namespace toucanknot {
namespace {

// Weight of the newest response in the moving means.
constexpr double kNewestWeight = 0.05;
constexpr double kBytesPerMsPerMbit = 125;

}  // namespace

void ResponseSizeEstimate::OnResponse(int64_t bytes) {
  const auto size = static_cast<double>(bytes);
  if (!seen_) {
    seen_ = true;
    mean_ = size;
    return;
  }
  deviation_ += kNewestWeight * (std::abs(size - mean_) - deviation_);
  mean_ += kNewestWeight * (size - mean_);
}

int64_t ResponseSizeEstimate::Expected() const {
  return static_cast<int64_t>(mean_ + 2 * deviation_);
}

void LinkBucket::SetRate(double mbit_per_s, Instant now) {
  Refill(now);
  mbit_per_s_ = std::max(mbit_per_s, 0.0);
  tokens_ = std::min(tokens_, Capacity());
}

bool LinkBucket::CanConsume(int64_t bytes, Instant now) {
  Refill(now);
  if (mbit_per_s_ <= 0)
    return false;
  return tokens_ >= std::min(static_cast<double>(bytes), Capacity());
}

void LinkBucket::Consume(int64_t bytes, Instant now) {
  Refill(now);
  tokens_ = std::min(tokens_ - static_cast<double>(bytes), Capacity());
}

double LinkBucket::Headroom(Instant now) {
  Refill(now);
  if (Capacity() <= 0)
    return 0;
  return std::clamp(tokens_ / Capacity(), 0.0, 1.0);
}

void LinkBucket::Refill(Instant now) {
  if (started_ && now > filled_) {
    const auto ms = static_cast<double>((now - filled_).ms());
    tokens_ =
        std::min(tokens_ + ms * mbit_per_s_ * kBytesPerMsPerMbit, Capacity());
  }
  if (!started_ || now > filled_)
    filled_ = now;
  started_ = true;
}

double LinkBucket::Capacity() const {
  return mbit_per_s_ * kBytesPerMsPerMbit * static_cast<double>(kBurst.ms());
}

void LinkLimiter::SetRates(double out_mbit_per_s,
                           double back_mbit_per_s,
                           Instant now) {
  out_.SetRate(out_mbit_per_s, now);
  back_.SetRate(back_mbit_per_s, now);
}

bool LinkLimiter::TryReserve(int64_t request_bytes,
                             int64_t response_bytes,
                             Instant now) {
  if (!out_.CanConsume(request_bytes, now) ||
      !back_.CanConsume(response_bytes, now))
    return false;
  out_.Consume(request_bytes, now);
  back_.Consume(response_bytes, now);
  reserved_ += response_bytes;
  return true;
}

void LinkLimiter::Settle(int64_t reserved, int64_t received, Instant now) {
  back_.Consume(received - reserved, now);
  reserved_ -= reserved;
}

}  // namespace toucanknot
