#ifndef SOAK_SOAK_CALLERS_H_
#define SOAK_SOAK_CALLERS_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "include/entry/entry_wire.h"
#include "soak/invariant_checker.h"
#include "soak/soak_fleet.h"
#include "src/forward/connection_pool.h"

namespace toucanknot::soak {

// Callers that look up hosts in the directory, keep connections open, retry a
// rejected or idempotent request once, and check every response. Used on one
// loop only.
class SoakCallers {
 public:
  SoakCallers(boost::asio::io_context& loop,
              SoakFleet& fleet,
              const EntryWire& names,
              InvariantChecker& checker,
              uint64_t seed);

  // Sends the requests of one caller until `stop` is set.
  boost::asio::awaitable<void> RunCaller(int caller, const bool& stop);
  // Probes every running host with the route of the newest configuration
  // version and of the version before, until `stop` is set.
  boost::asio::awaitable<void> ProbeConfig(const bool& stop);

  // Number of the callers' requests that have ended, and of those that were
  // served, since the last call of TakeServedCounts.
  struct ServedCounts {
    int ended = 0;
    int served = 0;
  };
  ServedCounts TakeServedCounts() { return std::exchange(served_counts_, {}); }

  struct Request {
    std::string id;
    std::string path;
    std::string body;
    bool idempotent = true;
    std::string host;
    Instant sent_at;
    Duration timeout;
    // When a long body was sent completely, if it was.
    std::optional<Instant> last_byte_at;
  };
  enum class Outcome { kServed, kRejected, kFailed };

  // Judges how a request ended, and reports what it violates.
  Outcome Classify(const Request& request, const ExchangeResult& result);
  std::string NextId();

 private:
  struct Caller {
    explicit Caller(boost::asio::io_context& loop) : connections(loop) {}

    std::string region;
    ConnectionPool connections;
    std::vector<Endpoint> addresses;
    Instant looked_up_at;
  };
  boost::asio::awaitable<void> LookUp(Caller& caller);
  boost::asio::awaitable<ExchangeResult> Send(Caller& caller, Request& request);
  void VerifyResponse(const Request& request, const HttpResponse& response);
  boost::asio::awaitable<void> Probe(SoakFleet::Host& host, uint64_t version);
  int64_t Draw(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(random_);
  }

  boost::asio::io_context& loop_;
  SoakFleet& fleet_;
  const EntryWire& names_;
  InvariantChecker& checker_;
  std::mt19937_64 random_;
  uint64_t next_id_ = 0;
  ServedCounts served_counts_;
};

}  // namespace toucanknot::soak

#endif  // SOAK_SOAK_CALLERS_H_
