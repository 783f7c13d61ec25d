#include "include/placing/peer_loads.h"

#include <xxhash.h>

#include <algorithm>

namespace toucanknot {

uint32_t ServerKey(const ServerId& id) {
  return static_cast<uint32_t>(XXH3_64bits(id.str().data(), id.str().size()));
}

uint64_t HostKey(const HostId& id) {
  return XXH3_64bits(id.str().data(), id.str().size());
}

void PeerLoads::OnSheet(const LoadSheet& sheet, Instant now) {
  Host& host = hosts_[sheet.host];
  if (sheet.incarnation < host.incarnation ||
      (sheet.incarnation == host.incarnation &&
       sheet.sequence <= host.sequence)) {
    return;
  }
  host.incarnation = sheet.incarnation;
  host.sequence = sheet.sequence;
  host.at = now;
  host.requests.clear();
  for (const LoadSheet::Row& it : sheet.rows)
    host.requests[it.server] += it.requests;
}

int PeerLoads::InFlight(uint32_t server, Instant now) const {
  int sum = 0;
  for (const auto& [key, host] : hosts_) {
    if (now - host.at > kFresh)
      continue;
    if (const auto it = host.requests.find(server); it != host.requests.end())
      sum += it->second;
  }
  return sum;
}

int PeerLoads::FreshHosts(Instant now) const {
  return static_cast<int>(
      std::count_if(hosts_.begin(), hosts_.end(), [&](const auto& it) {
        return now - it.second.at <= kFresh;
      }));
}

}  // namespace toucanknot
