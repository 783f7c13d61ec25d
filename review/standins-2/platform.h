#ifndef REVIEW_STANDINS_2_PLATFORM_H_
#define REVIEW_STANDINS_2_PLATFORM_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "loopback.h"

// Stand-ins for the platform's store and the backend servers, and the settings
// of an entry host, for the cases of a review.
namespace review {

// A store that holds what entry hosts read and write. Sound: it answers at
// once, and keeps every change.
class Store {
 public:
  Store(const std::string& ip, uint16_t port);

  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);

 private:
  struct Item {
    // In base64.
    std::string value;
    uint64_t revision = 0;
    uint64_t created = 0;
    uint64_t lease = 0;
  };
  struct Change {
    std::string key;
    uint64_t revision = 0;
    // The JSON of the event.
    std::string event;
  };

  void Serve(std::shared_ptr<Connection> connection);
  std::string Execute(const Message& request, int& status);
  std::string List(const std::string& prefix, const std::string& after);
  std::string Watch(const std::string& prefix, uint64_t after, int64_t wait_ms);
  // Those below are called with the lock held.
  void Write(const std::string& key, const std::string& base64, uint64_t lease);
  void Erase(const std::string& key);
  void EndLease(uint64_t lease);
  void ExpireLeases();
  std::string ItemJson(const std::string& key, const Item& item) const;

  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t revision_ = 1;
  uint64_t last_lease_ = 100;
  std::map<std::string, Item> items_;
  std::vector<Change> changes_;
  // When each lease ends, in NowMs().
  std::map<uint64_t, int64_t> leases_;
  std::unique_ptr<Listener> listener_;
};

// A route of the configuration.
struct RouteSpec {
  std::string name;
  std::string prefix;
  std::string kind;
  std::string service;
  int timeout_ms = 2'000;
  int target_ms = 500;
  int attempts = 2;
  int priority = 1;
};

inline constexpr char kHostName[] = "shop.example";

// The value of op/config.
std::string ConfigText(int version,
                       const std::vector<RouteSpec>& routes,
                       int idle_timeout_ms = 15'000);

// Registers a backend server in the store, and renews its entry until the
// program ends.
void RegisterServer(Store& store,
                    const std::string& ip,
                    uint16_t port,
                    const std::string& id,
                    const std::string& service,
                    const std::string& zone);

// A backend server that is registered.
class Backend {
 public:
  // Handles one request on the connection; returns whether to keep it open.
  using Handle = std::function<bool(Backend&, Connection&, const Message&)>;

  Backend(Store& store,
          const std::string& ip,
          const std::string& id,
          const std::string& service,
          const std::string& zone,
          Handle handle);

  const std::string& id() const { return id_; }
  // Answers a request that expects another server, with 421. Returns whether
  // it did.
  bool Misdirected(Connection& connection, const Message& request) const;
  // The head of a response up to its last field, without the empty line.
  std::string Head(const Message& request, int status) const;

 private:
  const std::string id_;
  std::unique_ptr<Listener> listener_;
};

// An entry host: its settings as deploy/host.json.in fills them in, and its
// process.
struct EntryOptions {
  std::string ip = "127.0.46.1";
  std::string host = "front-a-1";
  std::string zone = "a";
  int memory_mb = 260;
  int max_descriptors = 4'100;
  int grace_ms = 6'000;
};

class Entry {
 public:
  // `program` is what the deploy file runs; `folder` takes settings and log.
  Entry(const std::string& program,
        const std::string& folder,
        const EntryOptions& options,
        const std::string& store_ip,
        uint16_t store_port);

  // Waits until the host says that it is ready.
  bool AwaitReady(int64_t ms);
  // Starts the process again with the same settings, after it has ended.
  void Restart();
  Process& process() { return *process_; }
  const std::string& ip() const { return options_.ip; }
  uint16_t port() const { return port_; }

 private:
  const std::string program_;
  const std::string folder_;
  const EntryOptions options_;
  const uint16_t port_;
  const uint16_t ready_port_;
  std::unique_ptr<Process> process_;
};

// A new id of a client attempt.
std::string NewId();
// A request as a client sends it. A body is sent with a length.
std::string RequestText(const std::string& method,
                        const std::string& path,
                        const std::string& id,
                        int budget_ms,
                        const std::string& body = "");

}  // namespace review

#endif  // REVIEW_STANDINS_2_PLATFORM_H_
