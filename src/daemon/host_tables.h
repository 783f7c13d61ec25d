#ifndef SRC_DAEMON_HOST_TABLES_H_
#define SRC_DAEMON_HOST_TABLES_H_

#include <atomic>
#include <memory>

#include "src/daemon/routing_tables.h"

namespace toucanknot {

// Holds the active routing tables. Thread-safe; readers are not blocked while
// new tables are built.
class HostTables {
 public:
  // Null before the first configuration.
  RoutingTablesPtr Get() const { return tables_.load(); }
  void Set(RoutingTablesPtr tables) { tables_.store(std::move(tables)); }

 private:
  std::atomic<RoutingTablesPtr> tables_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_HOST_TABLES_H_
