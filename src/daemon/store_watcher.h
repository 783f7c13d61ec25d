#ifndef SRC_DAEMON_STORE_WATCHER_H_
#define SRC_DAEMON_STORE_WATCHER_H_

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "include/base/clock.h"
#include "include/config/config_offer.h"
#include "include/store/config_reader.h"
#include "include/store/store.h"

namespace toucanknot {

// Reads the configuration from the store on a thread of its own, for as long as
// it is told to, and waits for changes by watches. Failed calls are repeated
// after a pause that doubles, with jitter.
class StoreWatcher {
 public:
  struct Hooks {
    // A configuration that the store holds.
    std::function<void(const ConfigOffer& offer)> on_offer;
    // Whether the store answered; called on change.
    std::function<void(bool up, const std::string& error)> on_state;
    // The platform's host list.
    std::function<void(const std::vector<PlatformHost>& hosts)> on_hosts;
  };

  StoreWatcher(std::shared_ptr<Store> store, uint64_t seed, Hooks hooks);
  // Ends the thread; a call that waits is waited for.
  ~StoreWatcher();

  // Whether this host is one of those that read the store.
  void SetReading(bool reading);

  uint64_t calls() const { return calls_; }
  uint64_t failures() const { return failures_; }

 private:
  void Run();
  // One read and one watch. Throws when the store did not answer.
  void ReadOnce();
  void Pause(Duration d);

  const std::shared_ptr<Store> store_;
  const Hooks hooks_;
  const uint64_t seed_;
  uint64_t seen_ = 0;
  Instant hosts_read_at_{-1'000'000};
  std::atomic<uint64_t> calls_{0};
  std::atomic<uint64_t> failures_{0};

  std::mutex mutex_;
  std::condition_variable wake_;
  bool reading_ = false;
  bool stop_ = false;
  std::thread thread_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_STORE_WATCHER_H_
