#include "include/clients/site_ranges.h"

#include <algorithm>
#include <tuple>

#include "include/base/error.h"

namespace toucanknot {
namespace {

// Collects ranges in the order of their starts, merging those with equal sites.
class RangeBuilder {
 public:
  RangeBuilder() { ranges_.push_back({0, kNoSite}); }

  void StartRange(AddressBits start, SiteIndex site) {
    if (ranges_.back().start == start)
      ranges_.pop_back();
    if (ranges_.empty() || ranges_.back().site != site)
      ranges_.push_back({start, site});
  }

  std::vector<SiteRange> TakeRanges() { return std::move(ranges_); }

 private:
  std::vector<SiteRange> ranges_;
};

std::vector<const ClientBlock*> SortedBlocks(
    const std::vector<ClientBlock>& blocks,
    IpFamily family) {
  std::vector<const ClientBlock*> sorted;
  for (const ClientBlock& it : blocks) {
    if (it.prefix.family == family)
      sorted.push_back(&it);
  }
  std::sort(sorted.begin(), sorted.end(), [](const auto* a, const auto* b) {
    return std::tie(a->prefix.first, a->prefix.length) <
           std::tie(b->prefix.first, b->prefix.length);
  });
  return sorted;
}

void ValidateBlock(const ClientBlock& block, const ClientBlock* previous) {
  if (block.site == kNoSite)
    throw Error("no site for clients " + block.prefix.ToString());
  if (previous && previous->prefix == block.prefix)
    throw Error("duplicate block of clients " + block.prefix.ToString());
}

}  // namespace

std::vector<SiteRange> ToSiteRanges(const std::vector<ClientBlock>& blocks,
                                    IpFamily family) {
  RangeBuilder builder;
  // The nested blocks that contain the current address, outermost first.
  std::vector<const ClientBlock*> open;
  const auto close_blocks_before = [&](const AddressBits* limit) {
    while (!open.empty() && (!limit || open.back()->prefix.Last() < *limit)) {
      const AddressBits last = open.back()->prefix.Last();
      open.pop_back();
      if (last != MaxAddress(family))
        builder.StartRange(last + 1,
                           open.empty() ? kNoSite : open.back()->site);
    }
  };
  const ClientBlock* previous = nullptr;
  for (const ClientBlock* it : SortedBlocks(blocks, family)) {
    ValidateBlock(*it, previous);
    close_blocks_before(&it->prefix.first);
    builder.StartRange(it->prefix.first, it->site);
    open.push_back(it);
    previous = it;
  }
  close_blocks_before(nullptr);
  return builder.TakeRanges();
}

}  // namespace toucanknot
