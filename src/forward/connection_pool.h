#ifndef SRC_FORWARD_CONNECTION_POOL_H_
#define SRC_FORWARD_CONNECTION_POOL_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "include/base/clock.h"
#include "include/base/endpoint.h"
#include "include/memory/memory_account.h"
#include "include/steering/dispatcher.h"
#include "src/http/http_message.h"

namespace toucanknot {

// Options of one exchange.
struct ExchangeOptions {
  // The complete response must have arrived by then.
  Instant deadline = Instant::Never();
  // The longest time to wait for the next byte of the response, the first one
  // included.
  Duration max_silence = Duration::Max();
  // In bytes per second: a response that falls behind this rate by more than
  // `max_silence` has stopped, however steadily single bytes arrive. 0: any
  // rate will do.
  int64_t min_rate = 0;
  // Called whenever bytes of the response have arrived.
  std::function<void()> on_bytes;
  // Only a new connection, or one that was used within this time, is used.
  Duration fresh_for = Duration::Max();
  // Timeout of a connection attempt.
  Duration connect_limit{1'000};
  // Hash of the id by which `is_own_response` knows the response; 0 if it has
  // none. A connection that carried a request with this id is not used, since
  // the peer may send its earlier response again. A connection forgets the ids
  // of old requests, but not of those that were refused.
  uint64_t id_hash = 0;
  // Never use an idle connection.
  bool new_connection = false;
  // The connection is broken if the peer acknowledges no sent bytes for this
  // long.
  Duration silent_after{3'000};
  // A larger response ends the exchange.
  uint64_t max_answer_bytes = 32 << 20;
  // Maximum number of interim responses (1xx) and responses to other requests
  // before the final one; a server that sends more will not stop by itself.
  int max_other_responses = 8;
  // Called once, before the first byte is handed to the kernel. If it returns
  // false, the exchange ends as kCancelled.
  std::function<bool()> before_first_byte;
  // Whether a complete response belongs to this request. Others on the
  // connection are dropped, and the connection is then closed after use. If
  // null, the first response belongs to it.
  std::function<bool(const HttpResponse&)> is_own_response;
  // Whether a response refuses a request, which may then be sent again. The
  // peer may write such a response once more. If the request has no id, the
  // copy would be taken for the response to the next one, so that the
  // connection is closed. If null, no response does.
  std::function<bool(const HttpResponse&)> is_refusal;
  // Fields that must not occur twice in a response, beyond those of HTTP; see
  // FindHeadProblem().
  std::vector<std::string> single_fields;
  // Sent in place of the request's body, which must be empty then. Shared by
  // the attempts of a request, so that its body is held once.
  std::shared_ptr<const std::string> body;
};

// Result of an exchange.
struct ExchangeResult {
  AttemptEnd end = AttemptEnd::kNotSent;
  // Complete when `end` is kAnswered; its status has not been checked.
  HttpResponse response;
  Duration took;
  // How long the connection took to open; zero if it was open already.
  Duration connect_took;
  // Number of requests that the connection had carried before; nothing if there
  // was no connection.
  std::optional<int> earlier_requests;
  // Complete responses that were dropped because they belong to other requests.
  int other_responses = 0;
  // Whether any byte of a response arrived.
  bool response_started = false;
  // Human-readable description of the error.
  std::string error;

  // Whether the connection had been used before. The other side may have closed
  // such a connection while it was idle.
  bool reused() const { return earlier_requests.value_or(0) > 0; }
};

// Counts since the start.
struct ConnectionPoolCounts {
  uint64_t opened = 0;
  uint64_t reused = 0;
  uint64_t discarded = 0;
  uint64_t connect_failed = 0;
  uint64_t surplus_bytes = 0;
  // Responses aborted because of their size or number.
  uint64_t endless = 0;
  // Responses that were not those of one message.
  uint64_t mixed_heads = 0;
  // Complete responses that belonged to other requests than the one sent.
  uint64_t other_responses = 0;
  // Responses that gave way to others while memory was short.
  uint64_t evicted = 0;
  // Memory reserved for responses.
  int64_t buffered_bytes = 0;
  uint64_t idle = 0;
};

// HTTP/1.1 connections to backend servers and other entry hosts, kept open
// between exchanges. A pool belongs to one worker and is used on its thread
// only. An exchange owns its connection, so its response cannot reach another
// request. A connection that broke, timed out, was cancelled or received bytes
// beyond its response is closed and never reused.
class ConnectionPool {
 public:
  // Called with +1 before a connection to an endpoint is opened, and with -1
  // after it is closed. Returns whether it may be opened.
  using ConnectionLimit = std::function<bool(const Endpoint&, int change)>;

  explicit ConnectionPool(boost::asio::io_context& loop);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  void set_connection_limit(ConnectionLimit limit);
  // Limits the memory for responses, over all exchanges, until the response is
  // destroyed. While it is short, exchanges wait for it, and those of the
  // servers that hold most end as kBroken; see ResponseMemory.
  void set_max_buffered_bytes(int64_t bytes);
  // Counts that memory in `account`, which is shared with other users.
  void set_memory(std::shared_ptr<MemoryAccount> account);
  // Sets the maximum number of open connections to all endpoints. Beyond it, a
  // new connection takes the place of an idle one, or is not opened. An eighth
  // of them is left to endpoints that have less than four.
  void set_max_connections(size_t n);

  // Sends `request` to `endpoint` and reads the complete response. Cancellation
  // closes the connection. Never throws for network errors.
  boost::asio::awaitable<ExchangeResult> Exchange(Endpoint endpoint,
                                                  HttpRequest request,
                                                  ExchangeOptions options);

  // Closes connections that have been idle for longer than `idle`, or for as
  // long as the peer keeps them open.
  void CloseIdle(Duration idle);
  // Closes the idle connections to an endpoint that is no longer used. Those in
  // use are closed by the next CloseIdle() after their time.
  void CloseIdleTo(const Endpoint& endpoint);
  ConnectionPoolCounts counts() const;

 private:
  class Impl;

  std::shared_ptr<Impl> impl_;
};

}  // namespace toucanknot

#endif  // SRC_FORWARD_CONNECTION_POOL_H_
