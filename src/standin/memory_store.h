#ifndef SRC_STANDIN_MEMORY_STORE_H_
#define SRC_STANDIN_MEMORY_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "include/base/clock.h"
#include "include/store/store.h"

namespace toucanknot {

// The number of calls to a stand-in store. A waiting watch counts as one.
struct StoreCalls {
  uint64_t reads = 0;
  uint64_t writes = 0;
  uint64_t watches = 0;
  uint64_t leases = 0;

  uint64_t All() const { return reads + writes + watches + leases; }
};

// Whether the response to a write is lost before or after the write takes
// effect.
enum class LostResponse { kBeforeEffect, kAfterEffect };

// An in-memory stand-in for the platform's store, for tests, trials and the
// demonstration, with fault injection while it is in use. Thread-safe.
class MemoryStore : public Store {
 public:
  // A copy of the stored values.
  using Snapshot = std::map<std::string, StoreValue>;

  explicit MemoryStore(ClockFn clock = SteadyNow);

  std::optional<StoreValue> Get(const std::string& key) override;
  SwapResult CompareAndSwap(const std::string& key,
                            uint64_t expected,
                            const std::string& data) override;
  std::optional<StoreValue> Watch(const std::string& key,
                                  uint64_t seen,
                                  Duration limit) override;
  std::vector<std::string> List(const std::string& prefix) override;
  LeaseResult AcquireLease(const std::string& key,
                           const std::string& holder,
                           Duration ttl) override;
  std::vector<PlatformHost> Hosts() override;

  // While down, every call throws StoreUnavailableError, including waiting
  // watches.
  void SetDown(bool down);
  // Delays every call by `delay`.
  void SetSlow(Duration delay);
  // The next `n` writes and lease calls throw StoreOutcomeUnknownError.
  void LoseResponses(int n, LostResponse point = LostResponse::kAfterEffect);

  // Sets the host list; Hosts() returns it once the lag set by SetHostLag() has
  // passed.
  void SetHosts(std::vector<PlatformHost> hosts);
  void SetHostLag(Duration lag);

  // Copies all values without the leases, and restores such a copy including
  // the revisions.
  Snapshot TakeSnapshot() const;
  void Restore(Snapshot snapshot);

  StoreCalls calls() const;

  // Sets a callback that is called after each change of a key, without locks
  // held. For a server that keeps watches open without a thread for each.
  using ChangeFn = std::function<void(const std::string& key)>;
  void SetOnChange(ChangeFn fn);
  // The value of `key`, regardless of faults and not counted as a call.
  std::optional<StoreValue> Peek(const std::string& key) const;

 private:
  struct Lease {
    std::string holder;
    uint64_t epoch = 0;
    Instant until;
  };
  struct HostList {
    Instant since;
    std::vector<PlatformHost> hosts;
  };
  using Lock = std::unique_lock<std::mutex>;

  // Starts a call: counts it, waits while slow, throws while down.
  Lock BeginCall(uint64_t StoreCalls::*counter);
  void ThrowIfDown() const;
  // Throws if the response to this write is to be lost at `point`.
  void LoseResponseAt(LostResponse point);
  std::optional<StoreValue> Find(const std::string& key) const;

  const ClockFn clock_;
  mutable std::mutex mutex_;
  // Signalled on each change of a value or a fault.
  std::condition_variable changed_;
  Snapshot values_;
  std::map<std::string, Lease> leases_;
  std::deque<HostList> host_lists_;
  Duration host_lag_;
  bool down_ = false;
  Duration delay_;
  int responses_to_lose_ = 0;
  LostResponse lost_point_ = LostResponse::kAfterEffect;
  StoreCalls calls_;
  ChangeFn on_change_;
};

}  // namespace toucanknot

#endif  // SRC_STANDIN_MEMORY_STORE_H_
