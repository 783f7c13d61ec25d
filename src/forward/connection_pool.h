#ifndef SRC_FORWARD_CONNECTION_POOL_H_
#define SRC_FORWARD_CONNECTION_POOL_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "include/base/clock.h"
#include "include/base/endpoint.h"
#include "include/steering/dispatcher.h"
#include "src/http/http_message.h"

namespace toucanknot {

// How one exchange is to be made.
struct ExchangeOptions {
  // The answer must be whole by then.
  Instant deadline = Instant::Never();
  // Only a new connection, or one that moved bytes within this time, is used.
  Duration fresh_for = Duration::Max();
  // A connection attempt that takes longer has failed.
  Duration connect_limit{1'000};
  // No idle connection is used.
  bool new_connection = false;
  // Bytes that the peer does not acknowledge for this long break the
  // connection.
  Duration silent_after{3'000};
  // A larger answer ends the exchange.
  uint64_t max_answer_bytes = 32 << 20;
  // Interim answers (1xx) and answers to other requests that may come before
  // the one that counts; a server that sends more will not stop by itself.
  int max_other_answers = 8;
  // Called once, before the first byte is handed to the kernel. Returns
  // whether it may be; when not, the exchange ends as kCancelled.
  std::function<bool()> before_first_byte;
  // Whether a whole answer belongs to this request; the others on the
  // connection are dropped and it is closed after its use. Null: the first one
  // does.
  std::function<bool(const HttpResponse&)> is_own_answer;
};

// How an exchange ended.
struct ExchangeResult {
  AttemptEnd end = AttemptEnd::kNotSent;
  // Whole when `end` is kAnswered; not yet judged by its status.
  HttpResponse response;
  Duration took;
  // It went over a connection that had served before. Such a connection may
  // have been closed by the other side while it was idle.
  bool reused = false;
  // Some byte of an answer arrived.
  bool answer_started = false;
  // What went wrong, for people.
  std::string error;
};

// Counts since the start.
struct ConnectionPoolCounts {
  uint64_t opened = 0;
  uint64_t reused = 0;
  uint64_t discarded = 0;
  uint64_t connect_failed = 0;
  uint64_t surplus_bytes = 0;
  // Answers that were broken off for their length or number.
  uint64_t endless = 0;
  // Bytes of answers that are being read.
  int64_t buffered_bytes = 0;
};

// HTTP/1.1 connections to backend servers and other entry hosts, kept open
// between exchanges. One pool belongs to one worker and is used on its thread
// only. An exchange owns its connection, so an answer can reach nobody else;
// a connection that broke, timed out, was cancelled or sent more than its
// answer is closed, never used again.
class ConnectionPool {
 public:
  // `limit` is asked before a connection is opened to an endpoint and gets
  // the change (+1, -1) in open connections; it answers whether it may.
  using ConnectionLimit = std::function<bool(const Endpoint&, int change)>;

  explicit ConnectionPool(boost::asio::io_context& loop);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  void set_connection_limit(ConnectionLimit limit);
  // The memory for bodies of answers that are being read, of all exchanges
  // together. Beyond it an exchange ends as kBroken.
  void set_max_buffered_bytes(int64_t bytes);

  // Sends `request` to `endpoint` and reads the whole answer. Cancellation
  // closes the connection. Never throws for what the network does.
  boost::asio::awaitable<ExchangeResult> Exchange(Endpoint endpoint,
                                                  HttpRequest request,
                                                  ExchangeOptions options);

  // Closes connections that have been idle for longer than `idle`.
  void CloseIdle(Duration idle);
  ConnectionPoolCounts counts() const;

 private:
  class Impl;

  std::shared_ptr<Impl> impl_;
};

}  // namespace toucanknot

#endif  // SRC_FORWARD_CONNECTION_POOL_H_
