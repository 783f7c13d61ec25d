#ifndef INCLUDE_CLIENTS_SITE_RANGES_H_
#define INCLUDE_CLIENTS_SITE_RANGES_H_

#include <vector>

#include "include/clients/client_prefix.h"

namespace toucanknot {

// Assigns the addresses from `start` up to the next range's start to `site`.
struct SiteRange {
  AddressBits start = 0;
  SiteIndex site = kNoSite;

  bool operator==(const SiteRange&) const = default;
};

// Converts the `blocks` of `family`, with longest-prefix match, to equivalent
// ranges. They cover all IP addresses, the first starts at 0, and adjacent
// ranges have different sites; n blocks result in at most 2n + 1 ranges. Throws
// Error when a block has two sites or the site kNoSite.
std::vector<SiteRange> ToSiteRanges(const std::vector<ClientBlock>& blocks,
                                    IpFamily family);

}  // namespace toucanknot

#endif  // INCLUDE_CLIENTS_SITE_RANGES_H_
