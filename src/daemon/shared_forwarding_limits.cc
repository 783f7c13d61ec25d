#include "src/daemon/shared_forwarding_limits.h"

#include <algorithm>
#include <utility>

namespace toucanknot {
namespace {

Refusal RefusalFor(ForwardingDenial block) {
  switch (block) {
    case ForwardingDenial::kNone:
      return Refusal::kNone;
    case ForwardingDenial::kRegion:
      return Refusal::kRegionLimit;
    case ForwardingDenial::kLink:
      return Refusal::kLinkLimit;
    case ForwardingDenial::kShift:
      return Refusal::kShiftLimit;
  }
  return Refusal::kRegionLimit;
}

}  // namespace

SharedForwardingLimits::SharedForwardingLimits(HostId host,
                                               Incarnation incarnation,
                                               Instant now)
    : limits_(std::move(host), incarnation, BudgetTimes(), {}, now) {}

void SharedForwardingLimits::OnConfig(const FleetConfigPtr& config,
                                      int64_t unix_ms,
                                      Instant now) {
  const std::lock_guard lock(mutex_);
  regions_.clear();
  for (const Region& it : config->regions)
    regions_.push_back(it.id);
  limits_.OnConfig(config, unix_ms, now);
}

void SharedForwardingLimits::OnLiveRegions(const std::vector<RegionId>& live,
                                           Instant now) {
  const std::lock_guard lock(mutex_);
  for (const RegionId& it : regions_) {
    const bool is_live = std::find(live.begin(), live.end(), it) != live.end();
    limits_.OnRegion(it, is_live, now);
  }
}

void SharedForwardingLimits::Advance(Instant now) {
  const std::lock_guard lock(mutex_);
  limits_.Advance(now);
}

void SharedForwardingLimits::OnRequest(const ServiceId& service, Instant now) {
  const std::lock_guard lock(mutex_);
  limits_.OnRequest(service, now);
}

Refusal SharedForwardingLimits::MayForward(const RegionId& region,
                                           const DispatchRequest& item,
                                           Instant now) {
  const std::lock_guard lock(mutex_);
  const ForwardingPermit permit =
      limits_.MayForward(item.service, region, item.request_bytes, now);
  if (permit.allowed())
    in_progress_[item.id] = {region, permit};
  return RefusalFor(permit.denial);
}

void SharedForwardingLimits::OnEnded(const ServiceId& service,
                                     const AttemptResult& result,
                                     Instant now) {
  const std::lock_guard lock(mutex_);
  const auto it = in_progress_.find(result.request_id);
  if (it == in_progress_.end())
    return;
  limits_.OnForwardingEnded(service, it->second.region, it->second.permit,
                            result.response_bytes, now);
  in_progress_.erase(it);
}

std::string SharedForwardingLimits::Explain(Instant now) {
  const std::lock_guard lock(mutex_);
  return limits_.Explain(now);
}

}  // namespace toucanknot
