#ifndef SRC_DAEMON_SHARED_HEALTH_TABLE_H_
#define SRC_DAEMON_SHARED_HEALTH_TABLE_H_

#include <functional>
#include <mutex>

#include "include/health/health_table.h"

namespace toucanknot {

// One service's health table, shared by the workers. Its lock may be taken
// while a SharedDispatcher's lock is held, never the other way round.
class SharedHealthTable {
 public:
  explicit SharedHealthTable(const Tunables& tunables) : table_(tunables) {}

  // Runs `fn` under the lock. `fn` must not call into a SharedDispatcher.
  template <typename Fn>
  auto With(Fn fn) {
    const std::lock_guard lock(mutex_);
    return fn(table_);
  }

 private:
  std::mutex mutex_;
  HealthTable table_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_SHARED_HEALTH_TABLE_H_
