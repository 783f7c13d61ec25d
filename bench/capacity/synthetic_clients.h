#ifndef BENCH_CAPACITY_SYNTHETIC_CLIENTS_H_
#define BENCH_CAPACITY_SYNTHETIC_CLIENTS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "include/clients/client_prefix.h"

namespace toucanknot::bench {

// `n` different blocks of clients, four fifths of them IPv4, with sites drawn
// without regard to neighbours, which leaves the least to merge.
std::vector<ClientBlock> MakeBlocks(size_t n, int sites, uint64_t seed);

std::vector<std::string> MakeSites(int n);

// Gives `n` blocks of `blocks` another site.
void ChangeBlocks(std::vector<ClientBlock>* blocks,
                  size_t n,
                  int sites,
                  uint64_t seed);

}  // namespace toucanknot::bench

#endif  // BENCH_CAPACITY_SYNTHETIC_CLIENTS_H_
