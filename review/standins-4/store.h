#ifndef REVIEW_STANDINS_4_STORE_H_
#define REVIEW_STANDINS_4_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "review/standins-4/net.h"

namespace review {

// The platform's store, as PROTOCOL.md describes it: items, leases, watches,
// and the era of NEWS.md.
class Store {
 public:
  explicit Store(const std::string& ip);

  const Endpoint& endpoint() const { return endpoint_; }
  // Writes of operators and servers. Each is acknowledged when it returns.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);

  // While set, the store turns all calls away with 503: nothing is done.
  void SetRejecting(bool rejecting);
  // While set, calls are not answered, nor later on their connections.
  void SetSilent(bool silent);

  // Keeps a copy of all that the store holds.
  void TakeCopy();
  // While it is away, calls and waiting watches get no response; connections
  // are closed.
  void GoAway();
  // Comes back with the copy, in the next era.
  void ComeBackFromCopy();

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
    uint64_t created = 0;
    uint64_t lease = 0;
  };
  struct Event {
    std::string key;
    uint64_t revision = 0;
    bool removed = false;
  };
  struct Lease {
    int64_t lifetime_ms = 0;
    int64_t ends_at_ms = 0;
  };
  struct Contents {
    std::map<std::string, Item> items;
    std::vector<Event> events;
    std::map<uint64_t, Lease> leases;
    uint64_t revision = 1;
  };

  void ServeConnection(Connection& connection);
  // Returns the response; empty if there is none.
  std::string Answer(const Message& request);
  std::string Watch(const Message& request);
  // With the lock held.
  std::string Range(const Message& request);
  std::string Transact(const std::string& body);
  void Write(const std::string& key, const std::string& value, uint64_t lease);
  void Erase(const std::string& key);
  void ExpireLeases();
  std::string Respond(int status, const std::string& body) const;
  // Whether the call gets no answer.
  bool Unanswered();

  Endpoint endpoint_;
  std::mutex mutex_;
  std::condition_variable changed_;
  Contents now_;
  Contents copy_;
  uint64_t next_lease_ = 1;
  uint64_t era_ = 1;
  bool away_ = false;
  bool rejecting_ = false;
  bool silent_ = false;
};

}  // namespace review

#endif  // REVIEW_STANDINS_4_STORE_H_
