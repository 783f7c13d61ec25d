#ifndef TESTS_PLATFORM_STORE_STANDIN_H_
#define TESTS_PLATFORM_STORE_STANDIN_H_

#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "include/base/clock.h"
#include "src/http/http_server.h"
#include "src/http/worker_pool.h"

namespace toucanknot::platform {

// A store that speaks the platform's protocol over loopback, as far as an
// entry host uses it, and misbehaves on demand. Thread-safe.
class StoreStandin {
 public:
  StoreStandin();
  ~StoreStandin();

  const Endpoint& endpoint() const { return endpoint_; }

  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // The value; empty when the key is not there.
  std::string Get(const std::string& key);

  // Watches that wait now hear nothing any more and stay open.
  void DropWatches();
  // While set, calls are answered with this status instead (0: normally).
  void RefuseWith(int status);
  // While set, calls get no answer.
  void SetSilent(bool silent);
  // Each answer takes this much longer.
  void SetDelay(Duration delay);
  // While set, writes are done and not answered.
  void SetLosingAnswers(bool losing);
  // Forgets all changes before now: watches from before get 410.
  void Compact();
  // Items of one page of a listing.
  void SetPage(size_t items);

  // Calls whose target begins with `prefix`.
  int Calls(const std::string& prefix);

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
    uint64_t lease = 0;
  };
  // Its keys go when it ends.
  struct Lease {
    Duration lifetime;
    Instant ends_at;
  };
  struct Change {
    std::string key;
    uint64_t revision = 0;
    bool removed = false;
  };

  boost::asio::awaitable<HttpResponse> Answer(HttpRequest request);
  boost::asio::awaitable<HttpResponse> Watch(std::string target);
  // Every call but a watch.
  HttpResponse Execute(const HttpRequest& request);
  // With the lock held, as all that follow.
  HttpResponse List(const std::string& target);
  HttpResponse Transact(const std::string& body);
  HttpResponse GrantLease(const std::string& body);
  HttpResponse KeepLease(uint64_t lease);
  HttpResponse EndLease(uint64_t lease);
  // Ends the leases whose time is over.
  void ExpireLeases();
  void Write(const std::string& key, const std::string& value, uint64_t lease);
  void Erase(const std::string& key);
  boost::json::object Show(const std::string& key) const;

  std::mutex mutex_;
  std::map<std::string, Item> items_;
  std::vector<Change> changes_;
  uint64_t revision_ = 1;
  uint64_t compacted_ = 0;
  std::map<uint64_t, Lease> leases_;
  uint64_t next_lease_ = 0;
  uint64_t watch_round_ = 0;
  int refuse_with_ = 0;
  bool silent_ = false;
  Duration delay_;
  bool losing_answers_ = false;
  size_t page_ = 500;
  std::vector<std::string> calls_;
  WorkerPool workers_{1};
  HttpServer server_;
  Endpoint endpoint_;
};

}  // namespace toucanknot::platform

#endif  // TESTS_PLATFORM_STORE_STANDIN_H_
