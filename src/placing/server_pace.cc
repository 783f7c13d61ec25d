#include "include/placing/server_pace.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace toucanknot {
namespace {

// Requests at once after a start or a failure. Two cost callers of a slow
// server more than they gain callers of a fast one.
constexpr double kFirst = 1;
// A response within this multiple of the typical time is as good as one of the
// peers. Times of the same work differ by some ten percent.
constexpr double kGoodRatio = 1.6;
// Further requests at once after a good response: two responses end the limit
// of a server with four slots.
constexpr double kGrowth = 4;
// While nothing is heard from the server, the number doubles in this time, so
// that a server whose few hosts have no requests for it is used by others.
constexpr double kDoublingMs = 3'000;
// When servers with this fraction of a service's slots are limited at once, as
// in a release of all, the others cannot do their work, and none is limited.
constexpr double kMaxLimitedPart = 0.2;

}  // namespace

void ServerPace::BeginAfterStart(Instant now) {
  active_ = true;
  shared_ = true;
  allowed_ = kFirst;
  changed_at_ = now;
}

void ServerPace::BeginAfterFailure(Instant now) {
  shared_ = active_ && shared_;
  active_ = true;
  allowed_ = kFirst;
  changed_at_ = now;
}

void ServerPace::OnSent(uint64_t request_id, Instant due) {
  if (active_)
    sent_.push_back({request_id, due});
}

void ServerPace::OnEnded(uint64_t request_id) {
  std::erase_if(sent_,
                [&](const Sent& it) { return it.request_id == request_id; });
}

bool ServerPace::IsAnyLate(Instant now) const {
  return std::any_of(sent_.begin(), sent_.end(),
                     [&](const Sent& it) { return it.due < now; });
}

void ServerPace::OnAnswered(double ratio, Instant now) {
  if (!active_)
    return;
  if (ratio > kGoodRatio) {
    OnFailed(now);
    return;
  }
  allowed_ += kGrowth;
  changed_at_ = now;
}

void ServerPace::OnFailed(Instant now) {
  if (!active_)
    return;
  allowed_ = std::max(kFirst, allowed_ / 2);
  changed_at_ = now;
}

double ServerPace::Allowed(double at_others,
                           double limited_part,
                           Instant now) const {
  if (!active_ || limited_part >= kMaxLimitedPart)
    return std::numeric_limits<double>::infinity();
  if (IsAnyLate(now))
    return 0;
  const double quiet = static_cast<double>((now - changed_at_).ms());
  return std::max(allowed_ * std::exp2(quiet / kDoublingMs), at_others + 1) /
         (1 - limited_part / kMaxLimitedPart);
}

void ServerPace::EndIfEnough(double enough, double at_others, Instant now) {
  if (IsLimitedBelow(enough, at_others, now))
    return;
  active_ = false;
  sent_.clear();
}

}  // namespace toucanknot
