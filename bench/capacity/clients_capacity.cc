#include "bench/capacity/clients_capacity.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "bench/capacity/line_fit.h"
#include "bench/capacity/process_cost.h"
#include "bench/capacity/synthetic_clients.h"
#include "include/clients/client_table.h"

namespace toucanknot::bench {
namespace {

constexpr size_t kDesignBlockCount = 3'100'000;
constexpr int kDesignSiteCount = 2'000;
constexpr double kMemoryTargetMb = 64;
constexpr double kLookupTargetNs = 1'000;
constexpr uint64_t kSeed = 20261204;
constexpr int kLookupCount = 2'000'000;

using SteadyClock = std::chrono::steady_clock;

double SecondsSince(SteadyClock::time_point begin) {
  return std::chrono::duration<double>(SteadyClock::now() - begin).count();
}

double HeapMb() {
  return HeapBytes() / 1e6;
}

ClientTablePtr LoadTable(const ClientMapParts& map,
                         const ClientTable& previous) {
  return ClientTable::Build(ClientManifest::Decode(map.manifest), previous,
                            [&](const std::string& name) {
                              return std::optional(map.parts.at(name));
                            });
}

struct TableMeasurement {
  double heap_mb = 0;
  double build_s = 0;
  double load_s = 0;
  double lookup_ns = 0;
};

double MeasureLookup(const ClientTable& table,
                     const std::vector<ClientBlock>& blocks) {
  std::mt19937_64 random(kSeed);
  std::vector<ClientAddress> addresses;
  addresses.reserve(kLookupCount);
  for (int i = 0; i < kLookupCount; ++i) {
    const ClientPrefix& prefix = blocks[random() % blocks.size()].prefix;
    const AddressBits span = prefix.Last() - prefix.first;
    addresses.push_back({prefix.family, prefix.first + (random() & span)});
  }
  uint64_t sum = 0;
  const auto begin = SteadyClock::now();
  for (const ClientAddress& it : addresses)
    sum += table.Find(it);
  const double ns = SecondsSince(begin) * 1e9 / kLookupCount;
  // Uses the sum, so that the compiler can't remove the loop.
  if (sum == 0)
    std::printf("no address was found\n");
  return ns;
}

TableMeasurement MeasureTable(size_t n) {
  TableMeasurement measured;
  const auto blocks = MakeBlocks(n, kDesignSiteCount, kSeed);
  auto begin = SteadyClock::now();
  const ClientMapParts map =
      BuildClientMap(blocks, MakeSites(kDesignSiteCount));
  measured.build_s = SecondsSince(begin);
  const double heap_before = HeapMb();
  begin = SteadyClock::now();
  const ClientTablePtr table = LoadTable(map, ClientTable());
  measured.load_s = SecondsSince(begin);
  measured.heap_mb = HeapMb() - heap_before;
  measured.lookup_ns = MeasureLookup(*table, blocks);
  size_t largest = 0;
  for (const auto& [name, bytes] : map.parts)
    largest = std::max(largest, bytes.size());
  std::printf(
      "blocks %zu: ranges %zu, parts %zu, largest part %zu B, manifest %zu B, "
      "MemoryBytes %.1f MB, heap %.1f MB, build %.2f s, load %.2f s, "
      "lookup %.0f ns\n",
      n, table->range_count(), map.parts.size(), largest, map.manifest.size(),
      static_cast<double>(table->MemoryBytes()) / 1e6, measured.heap_mb,
      measured.build_s, measured.load_s, measured.lookup_ns);
  std::fflush(stdout);
  return measured;
}

void MeasureChange(size_t changed) {
  auto blocks = MakeBlocks(kDesignBlockCount, kDesignSiteCount, kSeed);
  const auto sites = MakeSites(kDesignSiteCount);
  const ClientTablePtr before = LoadTable(BuildClientMap(blocks, sites), {});
  ChangeBlocks(&blocks, changed, kDesignSiteCount, kSeed + changed);
  const ClientMapParts map = BuildClientMap(blocks, sites);
  const auto missing =
      ClientTable::MissingParts(ClientManifest::Decode(map.manifest), *before);
  size_t bytes = map.manifest.size();
  for (const std::string& it : missing)
    bytes += map.parts.at(it).size();
  const double heap_before = HeapMb();
  const auto begin = SteadyClock::now();
  const ClientTablePtr after = LoadTable(map, *before);
  std::printf(
      "change of %zu blocks: %zu parts, %zu B with the manifest, load %.1f ms, "
      "heap of both tables %+.1f MB\n",
      changed, missing.size(), bytes, SecondsSince(begin) * 1e3,
      HeapMb() - heap_before);
  std::fflush(stdout);
}

}  // namespace

void PrintClientsCapacity() {
  std::vector<Sample> heap;
  std::vector<Sample> lookup;
  for (const size_t n : {kDesignBlockCount / 8, kDesignBlockCount / 4,
                         kDesignBlockCount / 2, kDesignBlockCount}) {
    const TableMeasurement measured = MeasureTable(n);
    heap.push_back({static_cast<double>(n), measured.heap_mb});
    lookup.push_back({static_cast<double>(n), measured.lookup_ns});
  }
  PrintFit("memory of the client table", "MB", "blocks", heap,
           kDesignBlockCount, kMemoryTargetMb);
  PrintFit("time of a lookup", "ns", "blocks", lookup, kDesignBlockCount,
           kLookupTargetNs);
  for (const size_t changed : {1, 100, 10'000})
    MeasureChange(changed);
}

}  // namespace toucanknot::bench
