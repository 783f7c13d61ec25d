#ifndef TESTS_HEALTH_CRASH_SIMULATION_H_
#define TESTS_HEALTH_CRASH_SIMULATION_H_

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "include/health/quarantine.h"

namespace toucanknot {

// Simulates hosts that send requests to servers, some of which crash the
// server. Time advances in milliseconds; messages between hosts are delayed,
// and hosts can be cut off from each other.
class CrashSimulation {
 public:
  struct Options {
    uint64_t seed = 1;
    int hosts = 7;
    int servers = 24;
    // Harmless requests a second over all hosts, the number of fingerprints
    // they share, and the share of them with a fingerprint of their own.
    int per_second = 2'000;
    int popular = 50;
    double unique = 0.2;
    // Baseline: no request is ever suspected.
    bool no_quarantine = false;
    // Faulty variant: suspects run beside other requests.
    bool run_beside = false;
  };

  static constexpr uint64_t kPoison = 1'000'000'007;
  static constexpr int64_t kServiceMs = 10;
  static constexpr int64_t kCrashAfterMs = 4;
  static constexpr int64_t kRestartMs = 1'000;
  static constexpr int64_t kOneWayMs = 20;

  explicit CrashSimulation(Options options);

  void AdvanceOneMs();
  void Run(int64_t ms);
  // A caller sends the crashing request to `host` and, each time its connection
  // breaks, repeats it at a random host, `repeats` times.
  void SendPoison(int host, int repeats);
  // Breaks all connections of `host` to the first `servers` servers.
  void BreakConnections(int host, int servers);
  void Cut(int host, bool cut) { cut_[host] = cut; }

  // Servers that the crashing request has crashed.
  int crashed() const { return crashed_; }
  // Hosts that reject the crashing request now.
  int refusing();
  // Harmless fingerprints that were quarantined at any host at any time.
  const std::set<uint64_t>& wrongly_quarantined() const {
    return wrongly_quarantined_;
  }
  size_t waiting() const;
  size_t suspects() const;
  int64_t answered() const { return answered_; }
  Quarantine& quarantine(int host) { return hosts_[host].quarantine; }
  int64_t now() const { return now_; }

 private:
  struct Request {
    uint64_t fingerprint = 0;
    int repeats = 0;
  };
  struct Attempt {
    Request request;
    int host = 0;
    int server = 0;
    int64_t end = 0;
    bool crash = false;
  };
  struct Host {
    Quarantine quarantine;
    std::vector<Request> queue;
    // When each reservation was requested.
    std::map<uint64_t, int64_t> requested_at;
  };
  struct NoticeInTransit {
    int to = 0;
    CrashNotice notice;
  };
  struct Repeat {
    int host = 0;
    Request request;
  };

  static ServerId Name(int server);
  void ReceiveRequests();
  void ServeQueue(int host);
  // Whether the request left the queue.
  bool TryStart(int host, const Request& request);
  bool TryAlone(int host, const Request& request);
  void Start(int host, int server, const Request& request);
  void FinishAttempts();
  void Break(const Attempt& attempt);
  void Crash(int server);
  void ExchangeNotices();
  int InFlight(int host, int server) const;
  // A server that is up and not reserved; -1 when there is none.
  int PickServer(int host);
  int Random(int n) { return static_cast<int>(random_() % n); }
  Instant Now() const { return Instant(now_); }

  Options options_;
  std::mt19937_64 random_;
  std::vector<Host> hosts_;
  std::vector<int64_t> up_at_;
  std::vector<bool> cut_;
  std::vector<Attempt> attempts_;
  std::multimap<int64_t, NoticeInTransit> notices_in_transit_;
  std::multimap<int64_t, Repeat> repeats_;
  std::set<uint64_t> wrongly_quarantined_;
  uint64_t next_unique_ = 1'000;
  int crashed_ = 0;
  int64_t answered_ = 0;
  int64_t now_ = 0;
};

}  // namespace toucanknot

#endif  // TESTS_HEALTH_CRASH_SIMULATION_H_
