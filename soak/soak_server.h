#ifndef SOAK_SOAK_SERVER_H_
#define SOAK_SOAK_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "include/entry/entry_wire.h"
#include "include/placing/server_entry.h"
#include "soak/fault_proxy.h"
#include "soak/invariant_checker.h"
#include "src/http/http_server.h"

namespace toucanknot::soak {

// A digest of what a server must see of a request.
uint64_t DigestOf(const std::string& method,
                  const std::string& target,
                  const std::string& body);

// The body that a server answers to a request, and the mark that goes with it:
// a caller can tell a whole answer to its own request from any other.
std::string AnswerBody(const std::string& id, size_t bytes);
std::string AnswerMark(const std::string& server, const std::string& body);

// A backend server behind a proxy: slots, a short queue, honest refusals. Used
// on the loop of `workers` only.
class SoakServer {
 public:
  struct Options {
    ServerEntry entry;
    // Mean time of work.
    Duration work{120};
    int queue = 8;
    uint64_t seed = 1;
  };
  // Called for each request that reached it, before it decides.
  using ArrivalHook =
      std::function<void(const std::string& server, const std::string& id)>;

  SoakServer(WorkerPool& workers,
             const EntryWire& names,
             InvariantChecker& ledger,
             ArrivalHook on_arrival,
             Options options);

  // As it registers itself: its address is the proxy's.
  const ServerEntry& entry() const { return options_.entry; }
  FaultProxy& link() { return *link_; }
  bool up() const { return up_; }

  // Ends without a word: connections are reset, nothing listens.
  void Crash();
  // Comes back as another life, under the same id or another one.
  void Restart(const ServerId& id);
  void SetLeaving() { options_.entry.leaving = true; }
  // Work takes this many times as long.
  void SetSlowness(int64_t times) { slowness_ = times; }
  // The part of requests that it runs and answers with a failure.
  void SetFailing(double part) { failing_ = part; }

 private:
  boost::asio::awaitable<HttpResponse> Answer(HttpRequest request);
  // Whether it got a slot.
  boost::asio::awaitable<bool> WaitForSlot(const HttpRequest& request,
                                           Instant deadline);
  HttpResponse NotRun(int status, const std::string& id) const;

  const EntryWire& names_;
  InvariantChecker& ledger_;
  const ArrivalHook on_arrival_;
  Options options_;
  std::mt19937_64 random_;
  bool up_ = true;
  int64_t slowness_ = 1;
  double failing_ = 0;
  int running_ = 0;
  int waiting_ = 0;
  HttpServer server_;
  std::unique_ptr<FaultProxy> link_;
};

}  // namespace toucanknot::soak

#endif  // SOAK_SOAK_SERVER_H_
