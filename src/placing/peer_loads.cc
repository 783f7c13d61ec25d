#include "include/placing/peer_loads.h"

#include <xxhash.h>

namespace toucanknot {

uint32_t ServerKey(const ServerId& id) {
  return static_cast<uint32_t>(XXH3_64bits(id.str().data(), id.str().size()));
}

uint32_t ServerRunKey(const ServerId& id, Incarnation incarnation) {
  return static_cast<uint32_t>(
      XXH3_64bits_withSeed(id.str().data(), id.str().size(), incarnation));
}

uint64_t HostKey(const HostId& id) {
  return XXH3_64bits(id.str().data(), id.str().size());
}

uint32_t ServiceKey(const ServiceId& id) {
  return static_cast<uint32_t>(XXH3_64bits(id.str().data(), id.str().size()));
}

void PeerLoads::AddToTotals(const std::vector<LoadSheet::Row>& rows, int sign) {
  for (const LoadSheet::Row& it : rows) {
    int& total = totals_[it.server];
    total += sign * it.requests;
    if (total == 0)
      totals_.erase(it.server);
  }
}

void PeerLoads::DropRows(Host& host) {
  if (!host.fresh)
    return;
  AddToTotals(host.rows, -1);
  host.rows.clear();
  host.fresh = false;
  --fresh_hosts_;
}

void PeerLoads::OnLoadSheet(const LoadSheet& sheet, Instant now) {
  Host& host = hosts_[sheet.host];
  // A host that restarts after its clock was set back has a lower incarnation
  // than before; it is accepted once no sheets of the old one arrive.
  const bool earlier =
      sheet.incarnation < host.incarnation && now - host.at <= kFreshFor;
  const bool late =
      sheet.incarnation == host.incarnation && sheet.sequence <= host.sequence;
  if (earlier || late)
    return;
  DropRows(host);
  host.incarnation = sheet.incarnation;
  host.sequence = sheet.sequence;
  host.at = now;
  host.rows = sheet.rows;
  host.fresh = true;
  ++fresh_hosts_;
  AddToTotals(host.rows, +1);
}

void PeerLoads::Expire(Instant now) {
  for (auto& [key, host] : hosts_) {
    if (now - host.at > kFreshFor)
      DropRows(host);
  }
}

int PeerLoads::InFlight(uint32_t server) const {
  const auto it = totals_.find(server);
  return it == totals_.end() ? 0 : it->second;
}

}  // namespace toucanknot
