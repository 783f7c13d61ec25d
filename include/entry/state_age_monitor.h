#ifndef INCLUDE_ENTRY_STATE_AGE_MONITOR_H_
#define INCLUDE_ENTRY_STATE_AGE_MONITOR_H_

#include <optional>

#include "include/base/clock.h"
#include "include/base/enum_names.h"

namespace toucanknot {

// What a host that reads the store waits for.
enum class StoreWait {
  // A page of a listing.
  kPage,
  // A watch.
  kWatch,
  // The delay before the next watch, or after a failure.
  kDelay,
  // News of the readers of its zone.
  kReaders,
};

inline constexpr EnumNames<StoreWait, 4> kStoreWaitNames{
    {"page", "watch", "delay", "readers"}};

// Decides when a host reports how old its configuration and its list of servers
// may be. Instants are those of BootNow(). Does no I/O. Not thread-safe.
class StateAgeMonitor {
 public:
  // How often a host that is behind says so.
  static constexpr Duration kRepeat{5'000};

  struct Report {
    // Whether the state may be older than it should be. The first report that
    // is not behind ends a series.
    bool behind = false;
    Duration age;
  };

  // `max_age`: how old the state may be in normal operation. `start`: when the
  // host began to read the store.
  StateAgeMonitor(Duration max_age, Instant start)
      : max_age_(max_age), start_(start) {}

  // Returns what to report now, if anything. All changes until `known_until`
  // are known; empty if the host has never known any.
  std::optional<Report> Update(std::optional<Instant> known_until, Instant now);

 private:
  const Duration max_age_;
  const Instant start_;
  std::optional<Instant> reported_at_;
};

}  // namespace toucanknot

#endif  // INCLUDE_ENTRY_STATE_AGE_MONITOR_H_
