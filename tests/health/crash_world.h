#ifndef TESTS_HEALTH_CRASH_WORLD_H_
#define TESTS_HEALTH_CRASH_WORLD_H_

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "include/health/quarantine.h"

namespace toucanknot {

// Hosts that send requests to servers which some requests crash. Moves in
// milliseconds; hosts talk with a delay and may be cut off from each other.
class CrashWorld {
 public:
  struct Options {
    uint64_t seed = 1;
    int hosts = 7;
    int servers = 24;
    // Innocent requests a second over all hosts, how many fingerprints they
    // share, and the share of them that are unlike any other.
    int per_second = 2'000;
    int popular = 50;
    double unique = 0.2;
    // The naive version: no request is ever suspected.
    bool naive = false;
    // A broken variant: suspects run beside others.
    bool run_beside = false;
  };

  static constexpr uint64_t kKiller = 1'000'000'007;
  static constexpr int64_t kServiceMs = 10;
  static constexpr int64_t kCrashAfterMs = 4;
  static constexpr int64_t kRestartMs = 1'000;
  static constexpr int64_t kOneWayMs = 20;

  explicit CrashWorld(Options options);

  void Step();
  void Run(int64_t ms);
  // A caller sends the killer to `host` and repeats it, at random hosts, as
  // soon as it has the answer, `repeats` times.
  void SendKiller(int host, int repeats);
  // Every connection of `host` to `servers` servers breaks.
  void BreakConnections(int host, int servers);
  void Cut(int host, bool cut) { cut_[host] = cut; }

  // Servers that the killer took down.
  int killed() const { return killed_; }
  // Hosts at which the killer is refused now.
  int refusing();
  // Innocent fingerprints that were quarantined at any host at any time.
  const std::set<uint64_t>& wronged() const { return wronged_; }
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
    // When each reservation was asked for.
    std::map<uint64_t, int64_t> asked;
  };
  struct Mail {
    int to = 0;
    CrashNotice notice;
  };
  struct Repeat {
    int host = 0;
    Request request;
  };

  static ServerId Name(int server);
  void Arrive();
  void Serve(int host);
  // Whether the request left the queue.
  bool TryStart(int host, const Request& request);
  bool TryAlone(int host, const Request& request);
  void Start(int host, int server, const Request& request);
  void FinishAttempts();
  void Break(const Attempt& attempt);
  void Crash(int server);
  void Exchange();
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
  std::multimap<int64_t, Mail> mail_;
  std::multimap<int64_t, Repeat> repeats_;
  std::set<uint64_t> wronged_;
  uint64_t next_unique_ = 1'000;
  int killed_ = 0;
  int64_t answered_ = 0;
  int64_t now_ = 0;
};

}  // namespace toucanknot

#endif  // TESTS_HEALTH_CRASH_WORLD_H_
