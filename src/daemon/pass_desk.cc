#include "src/daemon/pass_desk.h"

#include <algorithm>
#include <utility>

namespace toucanknot {
namespace {

Refusal RefusalFor(PassBlock block) {
  switch (block) {
    case PassBlock::kNone:
      return Refusal::kNone;
    case PassBlock::kRegion:
      return Refusal::kRegionLimit;
    case PassBlock::kLink:
      return Refusal::kLinkLimit;
    case PassBlock::kShift:
      return Refusal::kShiftLimit;
  }
  return Refusal::kRegionLimit;
}

}  // namespace

PassDesk::PassDesk(HostId host, Incarnation incarnation, Instant now)
    : limits_(std::move(host), incarnation, BudgetTimes(), {}, now) {}

void PassDesk::OnConfig(const FleetConfigPtr& config,
                        int64_t unix_ms,
                        Instant now) {
  const std::lock_guard lock(mutex_);
  regions_.clear();
  for (const Region& it : config->regions)
    regions_.push_back(it.id);
  limits_.OnConfig(config, unix_ms, now);
}

void PassDesk::OnLiveRegions(const std::vector<RegionId>& live, Instant now) {
  const std::lock_guard lock(mutex_);
  for (const RegionId& it : regions_) {
    const bool lives = std::find(live.begin(), live.end(), it) != live.end();
    limits_.OnRegion(it, lives, now);
  }
}

void PassDesk::Advance(Instant now) {
  const std::lock_guard lock(mutex_);
  limits_.Advance(now);
}

void PassDesk::OnRequest(const ServiceId& service, Instant now) {
  const std::lock_guard lock(mutex_);
  limits_.OnRequest(service, now);
}

Refusal PassDesk::MayPass(const RegionId& region,
                          const WorkItem& item,
                          Instant now) {
  const std::lock_guard lock(mutex_);
  const PassPermit permit =
      limits_.MayPass(item.service, region, item.request_bytes, now);
  if (permit.allowed())
    under_way_[item.id] = {region, permit};
  return RefusalFor(permit.block);
}

void PassDesk::OnEnded(const ServiceId& service,
                       const AttemptResult& result,
                       Instant now) {
  const std::lock_guard lock(mutex_);
  const auto it = under_way_.find(result.item);
  if (it == under_way_.end())
    return;
  limits_.OnPassEnded(service, it->second.region, it->second.permit,
                      result.answer_bytes, now);
  under_way_.erase(it);
}

std::string PassDesk::Explain(Instant now) {
  const std::lock_guard lock(mutex_);
  return limits_.Explain(now);
}

}  // namespace toucanknot
