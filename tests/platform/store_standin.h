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

// A store that implements the part of the platform's protocol that entry hosts
// use, over loopback, with fault injection. Thread-safe.
class StoreStandin {
 public:
  StoreStandin();
  ~StoreStandin();

  const Endpoint& endpoint() const { return endpoint_; }

  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // The value; empty when the key does not exist.
  std::string Get(const std::string& key);

  // Pending watches stay open but no longer report anything.
  void DropWatches();
  // While `status` is not 0, responds to all calls with it.
  void RejectWith(int status);
  // While `body` is not empty, responds to all calls with it.
  void RespondWith(std::string body);
  // While set, calls get no response.
  void SetSilent(bool silent);
  // Delays every response by `delay`.
  void SetDelay(Duration delay);
  // While set, writes take effect but get no response.
  void SetLosingResponses(bool losing);
  // Keeps a copy of all items and leases as they are now.
  void TakeCopy();
  // Returns to that copy, as an older one that the store comes back with: all
  // later changes are lost, their revisions and leases are given out again, and
  // the era rises. Waiting watches are cut.
  void RestoreCopy();
  // All keys that begin with `prefix`.
  std::vector<std::string> Keys(const std::string& prefix);
  // Discards the history of changes: watches from earlier revisions get 410.
  void Compact();
  // Sets the maximum number of items per page of a listing.
  void SetPageSize(size_t items);

  // Number of calls whose "METHOD target" begins with `prefix`.
  int CountCalls(const std::string& prefix);

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
    uint64_t lease = 0;
  };
  // A lease; its keys are removed when it ends.
  struct Lease {
    Duration lifetime;
    Instant ends_at;
  };
  struct Change {
    std::string key;
    uint64_t revision = 0;
    bool removed = false;
  };

  // Names the era in the response to any call.
  boost::asio::awaitable<HttpResponse> RespondInEra(HttpRequest request);
  boost::asio::awaitable<HttpResponse> Respond(HttpRequest request);
  boost::asio::awaitable<HttpResponse> Watch(std::string target);
  // Executes any call other than a watch.
  HttpResponse Execute(const HttpRequest& request);
  // This function and those below must be called with the lock held.
  HttpResponse List(const std::string& target);
  HttpResponse Transact(const std::string& body);
  HttpResponse GrantLease(const std::string& body);
  HttpResponse KeepLease(uint64_t lease);
  HttpResponse EndLease(uint64_t lease);
  // Ends expired leases.
  void ExpireLeases();
  void Write(const std::string& key, const std::string& value, uint64_t lease);
  void Erase(const std::string& key);
  boost::json::object ToJsonItem(const std::string& key) const;

  // What a copy of the store holds.
  struct Contents {
    std::map<std::string, Item> items;
    uint64_t revision = 1;
    std::map<uint64_t, Lease> leases;
    uint64_t next_lease = 0;
  };

  std::mutex mutex_;
  std::map<std::string, Item> items_;
  std::vector<Change> changes_;
  uint64_t revision_ = 1;
  uint64_t compacted_ = 0;
  std::map<uint64_t, Lease> leases_;
  uint64_t next_lease_ = 0;
  Contents copy_;
  uint64_t era_ = 1;
  uint64_t watch_round_ = 0;
  int reject_with_ = 0;
  std::string respond_with_;
  bool silent_ = false;
  Duration delay_;
  bool losing_responses_ = false;
  size_t page_size_ = 500;
  std::vector<std::string> calls_;
  WorkerPool workers_{1};
  HttpServer server_;
  Endpoint endpoint_;
};

}  // namespace toucanknot::platform

#endif  // TESTS_PLATFORM_STORE_STANDIN_H_
