#ifndef BENCH_CAPACITY_SYNTHETIC_CLIENTS_H_
#define BENCH_CAPACITY_SYNTHETIC_CLIENTS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "include/clients/client_prefix.h"

namespace toucanknot::bench {

// Returns `n` distinct client blocks, four fifths of them IPv4. Each gets a
// random site independent of its neighbours', which is the worst case for
// merging them.
std::vector<ClientBlock> MakeBlocks(size_t n, int sites, uint64_t seed);

// Returns the names of `n` sites.
std::vector<std::string> MakeSites(int n);

// Assigns another site to `n` randomly drawn blocks; one may be drawn more than
// once.
void ChangeBlocks(std::vector<ClientBlock>* blocks,
                  size_t n,
                  int sites,
                  uint64_t seed);

}  // namespace toucanknot::bench

#endif  // BENCH_CAPACITY_SYNTHETIC_CLIENTS_H_
