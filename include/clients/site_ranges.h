#ifndef INCLUDE_CLIENTS_SITE_RANGES_H_
#define INCLUDE_CLIENTS_SITE_RANGES_H_

#include <vector>

#include "include/clients/client_prefix.h"

namespace toucanknot {

// From `start` up to the next range's start, clients belong to `site`.
struct SiteRange {
  AddressBits start = 0;
  SiteIndex site = kNoSite;

  bool operator==(const SiteRange&) const = default;
};

// The same map as `blocks` of `family` with longest-prefix match, as ranges
// that cover all IP numbers, the first from 0, neighbours with different sites.
// There are at most twice as many as blocks, and one. Throws Error when a block
// has two sites or the site kNoSite.
std::vector<SiteRange> ToSiteRanges(const std::vector<ClientBlock>& blocks,
                                    IpFamily family);

}  // namespace toucanknot

#endif  // INCLUDE_CLIENTS_SITE_RANGES_H_
