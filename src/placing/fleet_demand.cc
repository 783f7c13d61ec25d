#include "include/placing/fleet_demand.h"

#include <utility>

namespace toucanknot {
namespace {

// Adds `n` to the totals of the zone and region that `host` shares with `self`.
void Add(FleetDemand::Slots& to,
         const FleetHost& host,
         const FleetHost& self,
         double n) {
  to.zone += host.zone == self.zone ? n : 0;
  to.region += host.region == self.region ? n : 0;
  to.all += n;
}

}  // namespace

FleetDemand::FleetDemand(FleetHost self) : self_(std::move(self)) {
  sums_.heard_part = {1, 1, 1};
}

void FleetDemand::SetHosts(std::vector<FleetHost> hosts) {
  hosts_ = std::move(hosts);
  for (const FleetHost& it : hosts_) {
    if (it.key == self_.key)
      self_ = it;
  }
}

void FleetDemand::OnSheet(const LoadSheet& sheet, Instant now) {
  Told& told = told_[sheet.host];
  // A late datagram. A new incarnation of the host starts a new sequence.
  if (sheet.incarnation == told.incarnation && sheet.sequence < told.sequence)
    return;
  told = {now, sheet.incarnation, sheet.sequence, sheet.demands};
}

void FleetDemand::Update(Instant now) {
  boost::unordered::erase_if(
      told_, [&](const auto& it) { return now - it.second.at >= kMemory; });
  Sums sums;
  Slots capacity;
  Add(capacity, self_, self_, self_.capacity);
  Slots heard = capacity;
  for (const FleetHost& it : hosts_) {
    if (it.key == self_.key)
      continue;
    Add(capacity, it, self_, it.capacity);
    const auto told = told_.find(it.key);
    if (told == told_.end())
      continue;
    Add(heard, it, self_, it.capacity);
    for (const LoadSheet::Demand& demand : told->second.demands)
      Add(sums.told[demand.service], it, self_, demand.slots);
  }
  sums.heard_part = {heard.zone / capacity.zone, heard.region / capacity.region,
                     heard.all / capacity.all};
  sums_ = std::move(sums);
}

FleetDemand::Slots FleetDemand::Of(uint32_t service, double own) const {
  const auto it = sums_.told.find(service);
  const Slots told = it == sums_.told.end() ? Slots() : it->second;
  const Slots& part = sums_.heard_part;
  return {(told.zone + own) / part.zone, (told.region + own) / part.region,
          (told.all + own) / part.all};
}

}  // namespace toucanknot
