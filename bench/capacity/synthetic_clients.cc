#include "bench/capacity/synthetic_clients.h"

#include <array>
#include <random>
#include <unordered_set>

namespace toucanknot::bench {
namespace {

// Prefix lengths, drawn uniformly from these lists: a repeated length is drawn
// more often.
constexpr std::array<int, 10> kV4Lengths{24, 24, 24, 24, 24,
                                         24, 23, 22, 20, 16};
constexpr std::array<int, 10> kV6Lengths{48, 48, 48, 48, 48,
                                         44, 40, 36, 32, 32};
// All IPv6 blocks lie in 2000::/3.
constexpr uint64_t kV6BlockPrefix = 0x2000'0000'0000'0000;

ClientPrefix RandomPrefix(std::mt19937_64& random) {
  const bool is_v4 = random() % 5 != 0;
  if (is_v4) {
    const int length = kV4Lengths[random() % kV4Lengths.size()];
    const uint32_t drawn = static_cast<uint32_t>(random());
    return {IpFamily::kV4, drawn >> (32 - length) << (32 - length), length};
  }
  const int length = kV6Lengths[random() % kV6Lengths.size()];
  const uint64_t drawn = (random() >> 3) | kV6BlockPrefix;
  const uint64_t high = drawn >> (64 - length) << (64 - length);
  return {IpFamily::kV6, AddressBits{high} << 64, length};
}

uint64_t KeyOf(const ClientPrefix& prefix) {
  const auto high = static_cast<uint64_t>(
      prefix.family == IpFamily::kV4 ? prefix.first << 32 : prefix.first >> 64);
  return high ^ static_cast<uint64_t>(prefix.length) ^
         (prefix.family == IpFamily::kV4 ? 0x80 : 0);
}

SiteIndex RandomSite(std::mt19937_64& random, int sites) {
  return static_cast<SiteIndex>(random() % static_cast<uint64_t>(sites));
}

}  // namespace

std::vector<ClientBlock> MakeBlocks(size_t n, int sites, uint64_t seed) {
  std::mt19937_64 random(seed);
  std::unordered_set<uint64_t> seen;
  seen.reserve(n);
  std::vector<ClientBlock> blocks;
  blocks.reserve(n);
  while (blocks.size() < n) {
    const ClientPrefix prefix = RandomPrefix(random);
    if (seen.insert(KeyOf(prefix)).second)
      blocks.push_back({prefix, RandomSite(random, sites)});
  }
  return blocks;
}

std::vector<std::string> MakeSites(int n) {
  std::vector<std::string> sites;
  sites.reserve(n);
  for (int i = 0; i < n; ++i)
    sites.push_back("site-" + std::to_string(i));
  return sites;
}

void ChangeBlocks(std::vector<ClientBlock>* blocks,
                  size_t n,
                  int sites,
                  uint64_t seed) {
  std::mt19937_64 random(seed);
  for (size_t i = 0; i < n; ++i) {
    ClientBlock& block = (*blocks)[random() % blocks->size()];
    block.site = static_cast<SiteIndex>((block.site + 1) % sites);
  }
}

}  // namespace toucanknot::bench
