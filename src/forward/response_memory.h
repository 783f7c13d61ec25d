#ifndef SRC_FORWARD_RESPONSE_MEMORY_H_
#define SRC_FORWARD_RESPONSE_MEMORY_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_set>

#include "include/base/clock.h"
#include "include/base/endpoint.h"
#include "include/memory/memory_account.h"

namespace toucanknot {

class ResponseReservation;

// Divides the memory for responses between those that a pool reads at the same
// time, so that no server can take it from the callers of others. While memory
// is short, the heaviest response gives way, whichever asks for memory, and the
// lightest one that waits gets what becomes free. The weight is the product of
// the response's bytes, how long they have been held, and what its server
// takes: the bytes of all its responses and of those that recently came to
// nothing, which count less the more it recently delivered. Used on one thread.
class ResponseMemory {
 public:
  explicit ResponseMemory(std::shared_ptr<MemoryAccount> account)
      : account_(std::move(account)) {}
  ResponseMemory(const ResponseMemory&) = delete;
  ResponseMemory& operator=(const ResponseMemory&) = delete;

  const std::shared_ptr<MemoryAccount>& account() const { return account_; }

 private:
  friend class ResponseReservation;

  int64_t limit() const {
    return account_->limits().by_use[static_cast<size_t>(MemoryUse::kResponse)];
  }
  struct Server {
    // Halves the recent bytes for each kRecentHalfLife that has passed.
    void Update(Instant now);
    // What the server takes with `more_bytes`, which weighs less the more it
    // delivered recently.
    double TakenWith(double more_bytes) const;

    int64_t reserved = 0;
    // Recent bytes of responses that were broken or evicted, and of complete
    // ones.
    double wasted = 0;
    double delivered = 0;
    Instant updated_at;
  };

  Server& ServerAt(const Endpoint& endpoint, Instant now);
  // Removes servers that hold nothing and whose recent bytes have faded.
  void ForgetIdle(Instant now);
  // Whether a lighter response waits for memory.
  bool HasLighterWaiter(const ResponseReservation& than) const;
  // Evicts the heaviest response, unless that is `requester` itself or enough
  // is being released already.
  void MakeRoom(const ResponseReservation& requester);
  void WakeLightest();

  const std::shared_ptr<MemoryAccount> account_;
  std::unordered_set<ResponseReservation*> reading_;
  // Servers with responses in progress or recent bytes.
  std::map<Endpoint, Server> by_server_;
  Instant forgot_at_;
  int waiting_ = 0;
};

// What is reserved for a response while it is read.
class ResponseReservation {
 public:
  // `on_evicted` ends the operation that the reader waits for. The reader must
  // then destroy the reservation and what it holds memory for.
  ResponseReservation(std::shared_ptr<ResponseMemory> memory,
                      const Endpoint& server,
                      std::function<void()> on_evicted);
  ~ResponseReservation();
  ResponseReservation(const ResponseReservation&) = delete;
  ResponseReservation& operator=(const ResponseReservation&) = delete;

  // Changes the size to `bytes`. Waits for memory until `deadline`. Returns
  // false if the response was evicted, can never have that much, or at the
  // deadline.
  boost::asio::awaitable<bool> Resize(int64_t bytes, Instant deadline);
  // Changes the size without waiting. Returns false if memory is short.
  bool TryResize(int64_t bytes);
  // Counts what is reserved as wasted by the server: the response was broken or
  // evicted.
  void CountWaste();
  // Hands over what is reserved, reduced to `bytes`. Nothing is evicted after
  // that.
  std::shared_ptr<MemoryReservation> Release(int64_t bytes);

  int64_t bytes() const { return reserved_->bytes(); }
  bool evicted() const { return evicted_; }

 private:
  friend class ResponseMemory;

  double WeightAt(int64_t bytes) const;
  double HeldWeight() const { return WeightAt(bytes()); }
  // The weight with what the response waits for.
  double WantedWeight() const { return WeightAt(wanted_bytes_); }
  void Leave();

  const std::shared_ptr<ResponseMemory> memory_;
  const Endpoint server_;
  const std::function<void()> on_evicted_;
  const Instant since_ = SteadyNow();
  std::shared_ptr<MemoryReservation> reserved_;
  // While the response waits for memory.
  boost::asio::steady_timer* waiting_ = nullptr;
  // The size that was asked for last.
  int64_t wanted_bytes_ = 0;
  bool evicted_ = false;
};

}  // namespace toucanknot

#endif  // SRC_FORWARD_RESPONSE_MEMORY_H_
