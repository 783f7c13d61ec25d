#ifndef SRC_HTTP_HTTP_SERVER_H_
#define SRC_HTTP_HTTP_SERVER_H_

#include <array>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "include/base/clock.h"
#include "include/base/endpoint.h"
#include "include/memory/memory_account.h"
#include "src/http/closed_connection.h"
#include "src/http/http_message.h"
#include "src/http/worker_pool.h"

namespace toucanknot {

// Limits of one listener.
struct HttpServerLimits {
  int max_connections = 4096;
  uint32_t max_header_bytes = 16 << 10;
  // Maximum total size of the request bodies held by all connections.
  int64_t max_buffered_bytes = 256LL << 20;
  // Maximum memory for connections and request heads. Not reached by
  // `max_connections` with heads of the size that clients usually send. This
  // and `max_buffered_bytes` apply unless SetMemory() is called.
  int64_t max_buffered_head_bytes = 128LL << 20;
  // Maximum idle time of a connection between requests.
  Duration idle{75'000};
  // Maximum time from the first byte of a request to the end of its header.
  Duration header{10'000};
  // Maximum time from the end of the header to the end of the body.
  Duration body{60'000};
  // The connection is closed if a response makes no progress for this long.
  Duration write{30'000};
};

// Counters of one listener since its start.
struct HttpServerCounts {
  uint64_t accepted = 0;
  uint64_t refused_connections = 0;
  // Connections that could not be accepted, such as for want of a descriptor.
  uint64_t accept_failures = 0;
  uint64_t requests = 0;
  // Requests handed to the handler while an earlier one of the same connection
  // had no response yet.
  uint64_t overlapping = 0;
  uint64_t malformed = 0;
  uint64_t too_large = 0;
  uint64_t timed_out = 0;
  int64_t open_connections = 0;
  int64_t buffered_bytes = 0;
  // Connections closed, and requests rejected, for want of memory.
  uint64_t evicted = 0;
  uint64_t no_memory = 0;
  // Open connections that will get no further response and wait for their
  // clients to have the last one.
  int64_t lingering = 0;
  // Connections closed before their clients had acknowledged all responses.
  uint64_t undelivered = 0;
  // How often the kernel did not tell what clients have acknowledged.
  uint64_t send_queue_unknown = 0;
  // Connections closed after BeginStop(), by CloseReason.
  std::array<uint64_t, kCloseReasons> closed_stopping{};
};

// An HTTP/1.1 listener. Each request is read completely, within limits, and
// handed to the handler on the connection's worker. Responses on one connection
// are sent in the order of the requests; requests are handled one after the
// other unless they may overlap. For a malformed or too large request, the
// server responds with an error status and the verdict "not-run" and closes the
// connection.
class HttpServer {
 public:
  // Returns the complete response. If it throws, the caller gets a 500.
  using Handler =
      std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;
  // The maximum body size of a request for `target`, in bytes.
  using BodyLimit = std::function<uint64_t(std::string_view target)>;
  // Whether a request may be handled concurrently with others of its
  // connection. Such a request must be safe to repeat: when the response to an
  // earlier one closes the connection, the client sends it again.
  using MayOverlap = std::function<bool(const HttpRequest&)>;
  // Limits how long bodies of requests are read after BeginStop(). Both get the
  // request without its body, on the connection's worker.
  struct BodyTimeLimit {
    // When the body must be complete; Never() if there is no limit.
    std::function<Instant(const HttpRequest& head)> complete_by;
    // The response to a request whose body is not complete by then.
    std::function<HttpResponse(const HttpRequest& head)> refuse;
  };

  // Called on a connection's worker.
  using ClosedHook = std::function<void(const ClosedConnection&)>;

  HttpServer(WorkerPool& workers,
             HttpServerLimits limits,
             BodyLimit body_limit,
             Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Must be called before Listen(). By default no requests overlap.
  void SetMayOverlap(MayOverlap hook);
  // Must be called before Listen(). By default a stop changes no limits.
  void SetBodyTimeLimit(BodyTimeLimit limit);
  // Must be called before Listen(). Counts the memory of connections, requests
  // and responses in `account`, which is shared with other users.
  void SetMemory(std::shared_ptr<MemoryAccount> account);
  // Must be called before Listen(). Reports connections that are cut after
  // BeginStop(): closed before their clients have closed them or have
  // everything.
  void SetOnClosedStopping(ClosedHook hook);
  // Binds and starts to accept connections. Returns the bound address; port 0
  // selects a free port. Throws boost::system::system_error when the address is
  // not available.
  Endpoint Listen(const Endpoint& endpoint);

  // From now on, connections are closed after their last pending response.
  void BeginStop();
  // Stops accepting connections, after those already queued by the kernel, and
  // ends connections that wait for a request: they are closed when their
  // clients close them, which may still read the last response.
  void StopAccepting();
  // Prepares for the end of the process, which closes the sockets: reads what
  // clients have sent, since a socket that is closed with unread bytes is
  // reset, and loses what its client has not read. Takes effect on the workers.
  void DiscardUnread();
  // Closes all connections immediately.
  void Abort();
  // Changes the timeouts, with effect from the next time a connection waits.
  void SetTimeouts(Duration idle, Duration header);

  // Number of open connections.
  int64_t OpenConnections() const;
  HttpServerCounts Counts() const;

 private:
  class Listener;

  std::shared_ptr<Listener> listener_;
};

}  // namespace toucanknot

#endif  // SRC_HTTP_HTTP_SERVER_H_
