#include "include/placing/server_load.h"

#include <algorithm>
#include <cmath>

namespace toucanknot {
namespace {

// Requests of other hosts end within about a second.
constexpr double kOthersFadeMs = 1'000;
// A slow server is tried again as the estimate decays.
constexpr double kSlownessFadeMs = 4'000;
constexpr double kSlownessWeight = 0.3;
constexpr double kMaxSlowness = 20;
constexpr double kFailureFadeMs = 3'000;
constexpr double kFailureWeight = 0.25;
// Length of the first suspension after a broken connection; doubles with each
// further one.
constexpr Duration kFirstSuspension{250};
constexpr int kMaxDoublings = 3;
// An object that a server handled longer ago may have been evicted by others.
constexpr Duration kWarmFor{30'000};
constexpr size_t kMaxWarmObjects = 4'096;
constexpr double kMsPerSecond = 1'000;
// Less is no rate.
constexpr double kMinPacedRate = 0.001;

double Fade(Duration age, double fade_ms) {
  return std::exp(-static_cast<double>(age.ms()) / fade_ms);
}

}  // namespace

double ServerLoad::OthersInFlight(Instant now) const {
  return others_in_flight_ * Fade(now - others_at_, kOthersFadeMs);
}

void ServerLoad::OnSent(Instant now) {
  ++in_flight_;
  last_sent_ = now;
}

void ServerLoad::OnReport(int running, int waiting, Instant now) {
  // A server may state figures whose sum exceeds an int.
  others_in_flight_ =
      std::max(0.0, static_cast<double>(running) + waiting - in_flight_);
  others_at_ = now;
}

void ServerLoad::OnRelativeDuration(double ratio, Instant now) {
  const double old = Slowness(now);
  ratio = std::clamp(ratio, 0.2, kMaxSlowness);
  slowness_ = old + (ratio - old) * kSlownessWeight;
  slowness_at_ = now;
}

double ServerLoad::Slowness(Instant now) const {
  return 1 + (slowness_ - 1) * Fade(now - slowness_at_, kSlownessFadeMs);
}

void ServerLoad::OnFailure(Instant now) {
  const double old = FailureRate(now);
  failure_rate_ = old + (1 - old) * kFailureWeight;
  failure_at_ = now;
}

void ServerLoad::OnSuccess(Instant now) {
  failure_rate_ = FailureRate(now) * (1 - kFailureWeight);
  failure_at_ = now;
  broken_connections_ = 0;
}

double ServerLoad::FailureRate(Instant now) const {
  return failure_rate_ * Fade(now - failure_at_, kFailureFadeMs);
}

void ServerLoad::Suspend(Instant now) {
  if (IsSuspended(now))
    return;
  suspended_until_ =
      now +
      kFirstSuspension * (1 << std::min(broken_connections_, kMaxDoublings));
  ++broken_connections_;
}

bool ServerLoad::IsWarm(uint64_t object, Instant now) const {
  const auto it = warm_.find(object);
  return it != warm_.end() && now - it->second < kWarmFor;
}

void ServerLoad::SetWarm(uint64_t object, Instant now) {
  if (warm_.size() >= kMaxWarmObjects && !warm_.contains(object))
    warm_.clear();
  warm_[object] = now;
}

Instant ServerLoad::NextPacedSend(double rate) const {
  if (rate < kMinPacedRate)
    return Instant::Never();
  if (last_paced_send_ == Instant())
    return last_paced_send_;
  return last_paced_send_ +
         Duration(static_cast<int64_t>(std::ceil(kMsPerSecond / rate)));
}

bool ServerLoad::TryReservePacedSend(double rate, Instant now) {
  if (NextPacedSend(rate) > now)
    return false;
  last_paced_send_ = now;
  return true;
}

}  // namespace toucanknot
