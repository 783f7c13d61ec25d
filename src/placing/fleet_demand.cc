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
  sums_.reported_share = {1, 1, 1};
}

void FleetDemand::SetHosts(std::vector<FleetHost> hosts) {
  hosts_ = std::move(hosts);
  for (const FleetHost& it : hosts_) {
    if (it.key == self_.key)
      self_ = it;
  }
}

void FleetDemand::OnLoadSheet(const LoadSheet& sheet, Instant now) {
  HostReport& report = reports_[sheet.host];
  // A late datagram. A new incarnation of the host starts a new sequence.
  if (sheet.incarnation == report.incarnation &&
      sheet.sequence < report.sequence)
    return;
  report = {now, sheet.incarnation, sheet.sequence, sheet.demands};
}

void FleetDemand::Update(Instant now) {
  boost::unordered::erase_if(reports_, [&](const auto& it) {
    return now - it.second.at >= kReportLifetime;
  });
  Sums sums;
  Slots capacity;
  Add(capacity, self_, self_, self_.capacity);
  Slots reported_capacity = capacity;
  for (const FleetHost& it : hosts_) {
    if (it.key == self_.key)
      continue;
    Add(capacity, it, self_, it.capacity);
    const auto report = reports_.find(it.key);
    if (report == reports_.end())
      continue;
    Add(reported_capacity, it, self_, it.capacity);
    for (const LoadSheet::Demand& demand : report->second.demands)
      Add(sums.reported[demand.service], it, self_, demand.slots);
  }
  sums.reported_share = {reported_capacity.zone / capacity.zone,
                         reported_capacity.region / capacity.region,
                         reported_capacity.all / capacity.all};
  sums_ = std::move(sums);
}

FleetDemand::Slots FleetDemand::SlotsFor(uint32_t service, double own) const {
  const auto it = sums_.reported.find(service);
  const Slots reported = it == sums_.reported.end() ? Slots() : it->second;
  const Slots& share = sums_.reported_share;
  return {(reported.zone + own) / share.zone,
          (reported.region + own) / share.region,
          (reported.all + own) / share.all};
}

}  // namespace toucanknot
