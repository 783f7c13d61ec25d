#include "bench/capacity/fleet_capacity.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bench/capacity/line_fit.h"
#include "bench/capacity/process_cost.h"
#include "tests/membership/simulated_fleet.h"

namespace toucanknot::bench {
namespace {

constexpr int kDesignZones = 76;
constexpr int kDesignHosts = 6'800;
constexpr int kDesignZoneHosts = 90;
// 7,200 changes a day.
constexpr Duration kChangeInterval{12'000};
// Size of a root value whose hosts, services and client blocks are stored in
// parts of their own.
constexpr size_t kRootBytes = 16'000;
// Backend servers at which one host has requests in flight.
constexpr int kServersInUse = 8;
// IP and TCP headers of each frame.
constexpr double kPacketHeaderBytes = 52;

constexpr double kTrafficTargetBytesPerS = 15'000;
constexpr double kCpuTargetPercent = 1.1;
constexpr double kMemoryTargetMb = 64;
constexpr double kInForceTargetS = 11;

struct HostCost {
  // Per host and second. Bytes are of both directions, with packet headers: the
  // mean of all hosts, and the busiest host.
  double sent_messages = 0;
  double bytes = 0;
  double max_bytes = 0;
  double cpu_percent = 0;
  double heap_kb = 0;
  double store_calls = 0;
};

void SetHostLoads(SimulatedFleet& loop) {
  std::vector<ServerInFlight> in_flight;
  in_flight.reserve(kServersInUse);
  for (int i = 0; i < kServersInUse; ++i)
    in_flight.push_back({ServerId("server-" + std::to_string(1000 + i)), i});
  for (auto& it : loop.nodes())
    it.agent->membership().SetOwnLoad(in_flight, 32, loop.now());
}

std::string MakeRootValue(uint64_t version) {
  return std::to_string(version) + std::string(kRootBytes, 'x');
}

// Measures `changes` intervals with one change of the configuration each, after
// the fleet has settled.
HostCost MeasureHostCost(const SimulatedFleet::Options& options, int changes) {
  const double heap_before = HeapBytes();
  SimulatedFleet loop(options);
  loop.WriteStore(1, MakeRootValue(1));
  loop.RunFor(Duration::Seconds(15));
  SetHostLoads(loop);
  HostCost cost;
  cost.heap_kb = (HeapBytes() - heap_before) / options.hosts / 1e3;
  for (auto& it : loop.nodes())
    it.sent = it.received = it.sent_bytes = it.received_bytes = 0;
  const uint64_t calls_before = loop.store_calls();
  const double cpu_before = CpuSeconds();
  for (int i = 0; i < changes; ++i) {
    loop.WriteStore(2 + i, MakeRootValue(2 + i));
    loop.RunFor(kChangeInterval);
  }
  const double seconds = kChangeInterval.seconds() * changes;
  cost.cpu_percent =
      (CpuSeconds() - cpu_before) / (seconds * options.hosts) * 100;
  cost.store_calls =
      static_cast<double>(loop.store_calls() - calls_before) / seconds;
  for (const auto& it : loop.nodes()) {
    const auto packets = static_cast<double>(it.sent + it.received);
    const double bytes =
        (static_cast<double>(it.sent_bytes + it.received_bytes) +
         packets * kPacketHeaderBytes) /
        seconds;
    cost.sent_messages +=
        static_cast<double>(it.sent) / seconds / options.hosts;
    cost.bytes += bytes / options.hosts;
    cost.max_bytes = std::max(cost.max_bytes, bytes);
  }
  return cost;
}

SimulatedFleet::Options MakeOptions(int regions,
                                    int zones_per_region,
                                    int hosts) {
  SimulatedFleet::Options options;
  options.regions = regions;
  options.zones_per_region = zones_per_region;
  options.hosts = hosts;
  options.loss = 0.01;
  options.count_bytes = true;
  return options;
}

void PrintCost(const char* label, int zones, int hosts, const HostCost& cost) {
  std::printf(
      "%s: %d zones, %d hosts: sent %.1f messages/s, both ways %.0f B/s (most "
      "%.0f), cpu %.3f %%, heap %.0f kB, store %.2f calls/s\n",
      label, zones, hosts, cost.sent_messages, cost.bytes, cost.max_bytes,
      cost.cpu_percent, cost.heap_kb, cost.store_calls);
  std::fflush(stdout);
}

struct CostSamples {
  std::vector<Sample> bytes;
  std::vector<Sample> cpu;
  std::vector<Sample> heap_mb;

  void Add(double size, const HostCost& cost) {
    bytes.push_back({size, cost.bytes});
    cpu.push_back({size, cost.cpu_percent});
    heap_mb.push_back({size, cost.heap_kb / 1e3});
  }

  void Print(const std::string& size_unit, double design) const {
    PrintFit("bytes of a host, both ways", "B/s", size_unit, bytes, design,
             kTrafficTargetBytesPerS);
    PrintFit("processor time of a host", "%", size_unit, cpu, design,
             kCpuTargetPercent);
    PrintFit("memory of a host", "MB", size_unit, heap_mb, design,
             kMemoryTargetMb);
  }
};

std::string FormatSeconds(std::optional<Duration> time) {
  if (!time)
    return "not in force";
  char text[32];
  std::snprintf(text, sizeof(text), "%.2f s", time->seconds());
  return text;
}

using Fault = std::function<void(SimulatedFleet&)>;

// Prints the longest time until a change is in force in `runs` runs, each with
// its own seed.
void PrintWorst(const char* label, int hosts, int runs, const Fault& fault) {
  Duration worst;
  int late = 0;
  for (int seed = 1; seed <= runs; ++seed) {
    SimulatedFleet loop(
        {.hosts = hosts, .loss = 0.01, .seed = static_cast<uint64_t>(seed)});
    loop.WriteStore(1);
    loop.RunFor(Duration::Seconds(20));
    fault(loop);
    loop.WriteStore(2);
    const auto time = loop.TimeUntilInForce(2, Duration::Seconds(60));
    worst = std::max(worst, time.value_or(Duration::Seconds(60)));
    late += !time || time->seconds() > kInForceTargetS;
  }
  std::printf(
      "in force, %s, %d hosts, %d runs: worst %s, later than 11 s: %d\n", label,
      hosts, runs, FormatSeconds(worst).c_str(), late);
  std::fflush(stdout);
}

// Kills one reader of each zone that has another host.
void KillReaders(SimulatedFleet& loop) {
  std::vector<size_t> readers;
  for (auto it = loop.nodes().begin(); it != loop.nodes().end(); ++it) {
    if (it->agent->dissemination().IsReader(loop.now()))
      readers.push_back(static_cast<size_t>(it - loop.nodes().begin()));
  }
  std::set<ZoneId> done;
  for (const size_t it : readers) {
    const ZoneId zone = loop.nodes()[it].zone;
    if (loop.roster()->FindZone(zone)->hosts.size() > 1 &&
        done.insert(zone).second) {
      loop.Kill(it);
    }
  }
}

}  // namespace

void PrintHostCost() {
  CostSamples by_zone_size;
  for (const int n : {10, 20, 40, 60, 90}) {
    const HostCost cost = MeasureHostCost(MakeOptions(3, 2, n * 6), 3);
    PrintCost("zone size", 6, n * 6, cost);
    by_zone_size.Add(n, cost);
  }
  by_zone_size.Print("zone hosts", kDesignZoneHosts);
  CostSamples by_zones;
  for (const int regions : {3, 6, 12, 19}) {
    const HostCost cost =
        MeasureHostCost(MakeOptions(regions, 4, regions * 80), 3);
    PrintCost("zones", regions * 4, regions * 80, cost);
    by_zones.Add(regions * 4, cost);
  }
  by_zones.Print("zones", kDesignZones);
}

void PrintTimeInForce() {
  const auto healthy = [](SimulatedFleet&) {};
  const auto cut_from_store = [](SimulatedFleet& loop) {
    loop.CutFromStore(loop.nodes()[0].zone);
  };
  for (const int hosts : {7, 70, 700}) {
    const int runs = hosts == 700 ? 3 : 20;
    PrintWorst("1 % loss", hosts, runs, healthy);
    PrintWorst("1 % loss and dead readers", hosts, runs, KillReaders);
    PrintWorst("1 % loss and a zone cut from the store", hosts, runs,
               cut_from_store);
  }
}

void PrintStoreCalls() {
  std::vector<Sample> by_hosts;
  for (const int hosts : {12, 70, 350, 700}) {
    SimulatedFleet::Options options = MakeOptions(3, 2, hosts);
    options.count_bytes = false;
    const HostCost cost = MeasureHostCost(options, 5);
    by_hosts.push_back({static_cast<double>(hosts), cost.store_calls});
  }
  PrintFit("calls to the store, six zones", "calls/s", "hosts", by_hosts,
           kDesignHosts, 2'000);
  std::vector<Sample> by_zones;
  for (const int regions : {3, 6, 12, 19}) {
    SimulatedFleet::Options options = MakeOptions(regions, 4, regions * 16);
    options.count_bytes = false;
    const HostCost cost = MeasureHostCost(options, 5);
    by_zones.push_back({regions * 4.0, cost.store_calls});
  }
  PrintFit("calls to the store, four hosts a zone", "calls/s", "zones",
           by_zones, kDesignZones, 2'000);
}

// 76 zones can't be split evenly over 21 regions; 19 regions of four zones are
// close enough.
void PrintDesignSize() {
  const SimulatedFleet::Options options = MakeOptions(19, 4, kDesignHosts);
  PrintCost("design size", kDesignZones, kDesignHosts,
            MeasureHostCost(options, 1));
  SimulatedFleet::Options quiet = options;
  quiet.count_bytes = false;
  SimulatedFleet loop(quiet);
  loop.WriteStore(1);
  loop.RunFor(Duration::Seconds(15));
  loop.WriteStore(2);
  std::printf(
      "in force at %d hosts, 1 %% loss: %s\n", kDesignHosts,
      FormatSeconds(loop.TimeUntilInForce(2, Duration::Seconds(60))).c_str());
}

}  // namespace toucanknot::bench
