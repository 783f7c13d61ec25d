#include "include/steering/forwarding_gate.h"

#include <algorithm>

#include "include/config/locations.h"

namespace toucanknot {

void ForwardingGate::OnConfig(const FleetConfigPtr& config,
                              int64_t unix_ms,
                              Instant now) {
  const EntryHost* own = config->FindHost(host_);
  const RegionId region = own ? config->RegionOf(own->zone) : RegionId();
  classes_ = ClassShedder(config->refusal_order);

  std::map<ServiceId, PerService> services;
  for (const Service& it : config->services) {
    const Tunables tunables =
        config->Resolve(LocationOfRegion(region, it.id), unix_ms);
    const auto old = services_.find(it.id);
    PerService service = old != services_.end()
                             ? old->second
                             : PerService{it.work_class,
                                          ShiftLimiter(tunables.shift_share,
                                                       tunables.shift_interval),
                                          {}};
    service.work_class = it.work_class;
    service.shift.Configure(tunables.shift_share, tunables.shift_interval);
    services.emplace(it.id, service);
  }
  services_ = std::move(services);

  const auto hosts = std::count_if(
      config->hosts.begin(), config->hosts.end(),
      [&](const EntryHost& it) { return config->RegionOf(it.zone) == region; });
  std::erase_if(links_, [&](const auto& it) {
    return !config->FindLink(region, it.first);
  });
  for (const Link& it : config->links) {
    const Link* back = config->FindLink(it.to, region);
    if (it.from != region || !back)
      continue;
    const auto share = [&](const Link& link) {
      return link.mbit_per_s *
             config->Resolve(LocationOfLink(link), unix_ms).link_load_limit /
             static_cast<double>(std::max<int64_t>(hosts, 1));
    };
    links_[it.to].SetRates(share(it) * kRequestShare,
                           share(*back) * kResponseShare, now);
  }
}

void ForwardingGate::OnRequest(const DispatchRequest& request, Instant now) {
  const auto it = services_.find(request.service);
  if (it != services_.end())
    it->second.shift.OnRequest(now);
}

Refusal ForwardingGate::TryForward(const RegionId& region,
                                   const DispatchRequest& request,
                                   Instant now) {
  const auto service = services_.find(request.service);
  const auto link = links_.find(region);
  if (service == services_.end() || link == links_.end())
    return Refusal::kLinkLimit;
  PerService& it = service->second;
  if (!classes_.Admit(it.work_class, now))
    return Refusal::kClass;
  const int64_t expected = it.response_size.Expected();
  if (!link->second.TryReserve(request.request_bytes, expected, now)) {
    classes_.OnShort(it.work_class, now);
    return Refusal::kLinkLimit;
  }
  if (!it.shift.TryMove(now)) {
    link->second.Settle(expected, 0, now);
    return Refusal::kShiftLimit;
  }
  reservations_[request.id] = {request.service, region, expected};
  return Refusal::kNone;
}

void ForwardingGate::OnForwardingEnded(uint64_t request_id,
                                       int64_t response_bytes,
                                       Instant now) {
  const auto it = reservations_.find(request_id);
  if (it == reservations_.end())
    return;
  const Reservation held = it->second;
  reservations_.erase(it);
  const auto link = links_.find(held.region);
  if (link != links_.end())
    link->second.Settle(held.response_bytes, response_bytes, now);
  const auto service = services_.find(held.service);
  if (service != services_.end() && response_bytes > 0)
    service->second.response_size.OnResponse(response_bytes);
}

}  // namespace toucanknot
