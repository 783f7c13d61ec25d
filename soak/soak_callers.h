#ifndef SOAK_SOAK_CALLERS_H_
#define SOAK_SOAK_CALLERS_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "include/entry/entry_wire.h"
#include "soak/invariant_checker.h"
#include "soak/soak_fleet.h"
#include "src/forward/connection_pool.h"

namespace toucanknot::soak {

// Callers that ask the directory, keep connections open, come back after a
// refusal, and check every answer. Used on one loop.
class SoakCallers {
 public:
  SoakCallers(boost::asio::io_context& loop,
              SoakFleet& fleet,
              const EntryWire& names,
              InvariantChecker& ledger,
              uint64_t seed);

  // One caller, until `stop` is set.
  boost::asio::awaitable<void> Call(int caller, const bool& stop);
  // Asks every host that runs for the newest route and the one before, until
  // `stop` is set.
  boost::asio::awaitable<void> ProbeConfig(const bool& stop);

  // Requests of callers that ended since the last call, and those that were
  // served.
  struct Share {
    int ended = 0;
    int served = 0;
  };
  Share TakeShare() { return std::exchange(share_, {}); }

 private:
  struct Caller {
    explicit Caller(boost::asio::io_context& loop) : connections(loop) {}

    std::string region;
    ConnectionPool connections;
    std::vector<Endpoint> addresses;
    Instant asked_at;
  };
  struct Request {
    std::string id;
    std::string path;
    std::string body;
    bool idempotent = true;
    std::string host;
    Instant sent_at;
    Duration patience;
  };
  enum class Outcome { kServed, kRefused, kFailed };

  boost::asio::awaitable<void> LookUp(Caller& caller);
  boost::asio::awaitable<ExchangeResult> Send(Caller& caller, Request& call);
  Outcome Judge(const Request& call, const ExchangeResult& result);
  void CheckAnswer(const Request& call, const HttpResponse& response);
  boost::asio::awaitable<void> Probe(SoakFleet::Host& host, uint64_t version);
  std::string NextId();
  int64_t Draw(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(random_);
  }

  boost::asio::io_context& loop_;
  SoakFleet& fleet_;
  const EntryWire& names_;
  InvariantChecker& ledger_;
  std::mt19937_64 random_;
  uint64_t next_id_ = 0;
  Share share_;
};

}  // namespace toucanknot::soak

#endif  // SOAK_SOAK_CALLERS_H_
