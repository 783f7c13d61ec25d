#ifndef SRC_HTTP_HTTP_SERVER_H_
#define SRC_HTTP_HTTP_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "include/base/clock.h"
#include "include/base/endpoint.h"
#include "src/http/http_message.h"
#include "src/http/worker_pool.h"

namespace toucanknot {

// Bounds on what one listener takes from its clients.
struct HttpServerLimits {
  int max_connections = 4096;
  uint32_t max_header_bytes = 16 << 10;
  // Request bodies held at once by all connections together.
  int64_t max_buffered_bytes = 256LL << 20;
  // A connection may be idle for this long between requests.
  Duration idle{75'000};
  // From a request's first byte to the end of its header.
  Duration header{10'000};
  // From the end of the header to the end of the body.
  Duration body{60'000};
  // A response that makes no progress for this long breaks the connection.
  Duration write{30'000};
};

// Counts of one listener, since its start.
struct HttpServerCounts {
  uint64_t accepted = 0;
  uint64_t refused_connections = 0;
  uint64_t requests = 0;
  // Requests that were begun while an earlier one of their connection was not
  // answered yet.
  uint64_t overlapping = 0;
  uint64_t malformed = 0;
  uint64_t too_large = 0;
  uint64_t timed_out = 0;
  int64_t open_connections = 0;
  int64_t buffered_bytes = 0;
};

// An HTTP/1.1 listener. Each request is read whole, within limits, and handed
// to the handler on the connection's worker; requests on one connection are
// answered in order, and worked on one after the other unless they may overlap.
// What is malformed or too large is answered with a 4xx
// that says "not run", and the connection is closed.
class HttpServer {
 public:
  // Returns the whole response. May throw; the caller then gets a 500.
  using Handler =
      std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;
  // The most bytes a body for `target` may have.
  using BodyLimit = std::function<uint64_t(std::string_view target)>;
  // Whether a request may be worked on while others of its connection are. It
  // must bear a repeat: when an answer ahead of it closes the connection, its
  // client sends it again.
  using MayOverlap = std::function<bool(const HttpRequest&)>;

  HttpServer(WorkerPool& workers,
             HttpServerLimits limits,
             BodyLimit body_limit,
             Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Call before Listen(). Without it no requests overlap.
  void SetMayOverlap(MayOverlap hook);
  // Binds and accepts. A port of 0 takes a free one. Throws
  // boost::system::system_error when the address cannot be had.
  Endpoint Listen(const Endpoint& endpoint);

  // From now on every response closes its connection.
  void BeginStop();
  // Stops accepting, after what the kernel has queued, and closes connections
  // that wait for a request.
  void StopAccepting();
  // Closes every connection at once.
  void Abort();
  // Changes the time limits of connections for what they wait for next.
  void SetTimeouts(Duration idle, Duration header);

  // Connections that are open.
  int64_t OpenConnections() const;
  HttpServerCounts Counts() const;

 private:
  class Listener;

  std::shared_ptr<Listener> listener_;
};

}  // namespace toucanknot

#endif  // SRC_HTTP_HTTP_SERVER_H_
