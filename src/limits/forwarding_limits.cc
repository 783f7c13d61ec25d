#include "include/limits/forwarding_limits.h"

#include <algorithm>
#include <boost/json.hpp>

#include "include/config/locations.h"

namespace toucanknot {
namespace {

constexpr double kKbitPerMbit = 1'000;
constexpr double kBitsPerByte = 8;
// How often demand is measured, and the weight of the newest measurement.
constexpr Duration kMeterInterval{100};
constexpr double kNewestWeight = 0.3;

double Mbit(int64_t kbit_per_s) {
  return static_cast<double>(kbit_per_s) / kKbitPerMbit;
}

}  // namespace

std::vector<Cap> LinkCapsOf(const FleetConfig& config,
                            const HostId& host,
                            int64_t unix_ms) {
  const EntryHost* self = config.FindHost(host);
  if (!self)
    return {};
  const RegionId region = config.RegionOf(self->zone);
  std::vector<Cap> caps;
  for (const Link& link : config.links) {
    if (link.from != region && link.to != region)
      continue;
    const Tunables tunables = config.Resolve(LocationOfLink(link), unix_ms);
    Cap cap{LinkCap(link.from, link.to),
            static_cast<int64_t>(link.mbit_per_s * kKbitPerMbit *
                                 tunables.link_load_limit)};
    for (const EntryHost& it : config.hosts) {
      const RegionId end = config.RegionOf(it.zone);
      if (end == link.from || end == link.to)
        cap.members.push_back(it.id);
    }
    caps.push_back(std::move(cap));
  }
  return caps;
}

ForwardingLimits::ForwardingLimits(HostId host,
                                   Incarnation incarnation,
                                   BudgetTimes times,
                                   SlowStart::Options slow_start,
                                   Instant now)
    : host_(host),
      slow_start_options_(slow_start),
      budget_(std::move(host), incarnation, times, now),
      last_metered_(now) {}

void ForwardingLimits::OnConfig(const FleetConfigPtr& config,
                                int64_t unix_ms,
                                Instant now) {
  const EntryHost* self = config->FindHost(host_);
  if (!self)
    return;
  region_ = config->RegionOf(self->zone);
  budget_.SetCaps(LinkCapsOf(*config, host_, unix_ms), kGrowAfter, now);
  std::map<ShiftKey, ShiftLimiter> shifts;
  for (const Region& region : config->regions) {
    if (region.id == region_)
      continue;
    regions_.try_emplace(region.id, slow_start_options_);
    for (const Service& service : config->services) {
      const Tunables tunables =
          config->Resolve({.service = service.id, .region = region_}, unix_ms);
      const ShiftKey key{service.id, region.id};
      const auto old = shifts_.find(key);
      const auto it =
          old != shifts_.end()
              ? shifts.emplace(key, old->second).first
              : shifts
                    .emplace(key, ShiftLimiter(tunables.shift_share,
                                               tunables.shift_interval))
                    .first;
      it->second.Configure(tunables.shift_share, tunables.shift_interval);
    }
  }
  shifts_ = std::move(shifts);
  SetRates(now);
}

void ForwardingLimits::OnRegion(const RegionId& region,
                                bool available,
                                Instant now) {
  if (RegionLimits* it = FindRegion(region))
    it->slow_start.Update(available, now);
}

void ForwardingLimits::Advance(Instant now) {
  if (now - last_metered_ >= kMeterInterval) {
    const Duration since = now - last_metered_;
    last_metered_ = now;
    for (auto& [region, it] : regions_) {
      const int64_t out = it.out.Roll(since);
      const int64_t back = it.back.Roll(since);
      budget_.SetUse(LinkCap(region_, region), out, out);
      budget_.SetUse(LinkCap(region, region_), back, back);
    }
  }
  SetRates(now);
}

void ForwardingLimits::SetRates(Instant now) {
  for (auto& [region, it] : regions_) {
    it.link.SetRates(Mbit(budget_.Limit(LinkCap(region_, region), now)),
                     Mbit(budget_.Limit(LinkCap(region, region_), now)), now);
  }
}

void ForwardingLimits::OnRequest(const ServiceId& service, Instant now) {
  for (auto it = shifts_.lower_bound({service, RegionId()});
       it != shifts_.end() && it->first.first == service; ++it)
    it->second.OnRequest(now);
}

ForwardingPermit ForwardingLimits::MayForward(const ServiceId& service,
                                              const RegionId& region,
                                              int64_t request_bytes,
                                              Instant now) {
  RegionLimits* limits = FindRegion(region);
  const auto shift = shifts_.find({service, region});
  if (!limits || shift == shifts_.end() || limits->slow_start.Share(now) <= 0)
    return {ForwardingDenial::kRegion};
  const int64_t response_bytes = response_sizes_[service].Expected();
  if (!shift->second.TryMove(now))
    return {ForwardingDenial::kShift};
  limits->out.Add(request_bytes);
  limits->back.Add(response_bytes);
  if (!limits->link.TryReserve(request_bytes, response_bytes, now)) {
    shift->second.Undo(now);
    return {ForwardingDenial::kLink};
  }
  if (TakeSlowStart(limits, now))
    return {ForwardingDenial::kNone, response_bytes};
  limits->link.out().Consume(-request_bytes, now);
  limits->link.Settle(response_bytes, 0, now);
  shift->second.Undo(now);
  return {ForwardingDenial::kRegion};
}

void ForwardingLimits::OnForwardingEnded(const ServiceId& service,
                                         const RegionId& region,
                                         const ForwardingPermit& permit,
                                         int64_t response_bytes,
                                         Instant now) {
  if (response_bytes > 0)
    response_sizes_[service].OnResponse(response_bytes);
  if (RegionLimits* it = FindRegion(region))
    it->link.Settle(permit.reserved_bytes, response_bytes, now);
}

double ForwardingLimits::Headroom(const RegionId& region, Instant now) {
  RegionLimits* it = FindRegion(region);
  if (!it)
    return 0;
  return std::min(it->link.out().Headroom(now), it->link.back().Headroom(now));
}

bool ForwardingLimits::TakeSlowStart(RegionLimits* limits, Instant now) {
  limits->credit += limits->slow_start.Share(now);
  if (limits->credit < 1)
    return false;
  limits->credit -= 1;
  return true;
}

ForwardingLimits::RegionLimits* ForwardingLimits::FindRegion(
    const RegionId& region) {
  const auto it = regions_.find(region);
  return it == regions_.end() ? nullptr : &it->second;
}

int64_t ForwardingLimits::Meter::Roll(Duration since) {
  const double rate = static_cast<double>(bytes_) * kBitsPerByte /
                      static_cast<double>(since.ms());
  // Rises apply at once, falls gradually: units that are released too early
  // would have to be requested again.
  kbit_per_s_ = rate > kbit_per_s_
                    ? rate
                    : kbit_per_s_ + kNewestWeight * (rate - kbit_per_s_);
  bytes_ = 0;
  return static_cast<int64_t>(kbit_per_s_);
}

std::string ForwardingLimits::Explain(Instant now) {
  boost::json::array regions;
  for (auto& [region, it] : regions_) {
    boost::json::array moved;
    for (auto& [key, shift] : shifts_) {
      if (key.second == region) {
        moved.push_back({{"service", key.first.str()},
                         {"moved", shift.Moved(now)},
                         {"available", shift.Available(now)}});
      }
    }
    regions.push_back({{"region", region.str()},
                       {"ramp", it.slow_start.Share(now)},
                       {"settling", it.slow_start.settling()},
                       {"headroom", Headroom(region, now)},
                       {"answers_under_way_bytes", it.link.reserved_bytes()},
                       {"shifts", std::move(moved)}});
  }
  return boost::json::serialize(
      boost::json::object{{"budget", boost::json::parse(budget_.Explain(now))},
                          {"regions", std::move(regions)}});
}

}  // namespace toucanknot
