#ifndef SRC_HTTP_LISTENER_STATE_H_
#define SRC_HTTP_LISTENER_STATE_H_

#include <atomic>
#include <cstdint>
#include <utility>

#include "src/http/http_server.h"

namespace toucanknot {

// State shared by the connections of one listener. The atomics may be modified
// by any thread; the other members do not change.
struct ListenerState {
  ListenerState(const HttpServerLimits& l,
                HttpServer::BodyLimit b,
                HttpServer::Handler h)
      : limits(l),
        body_limit(std::move(b)),
        handler(std::move(h)),
        idle_ms(l.idle.ms()),
        header_ms(l.header.ms()) {}

  // Reserves memory for a body. Returns false when the limit is reached.
  bool Reserve(int64_t bytes) {
    if (buffered_bytes.fetch_add(bytes) + bytes <= limits.max_buffered_bytes)
      return true;
    buffered_bytes -= bytes;
    return false;
  }
  void Release(int64_t bytes) { buffered_bytes -= bytes; }

  const HttpServerLimits limits;
  const HttpServer::BodyLimit body_limit;
  const HttpServer::Handler handler;
  // Set before the listener accepts connections; null if no requests overlap.
  HttpServer::MayOverlap may_overlap;

  std::atomic<int64_t> idle_ms;
  std::atomic<int64_t> header_ms;
  // Set on shutdown: connections are closed after the requests that were
  // already handed to the handler.
  std::atomic<bool> stopping{false};

  std::atomic<uint64_t> requests{0};
  std::atomic<uint64_t> overlapping{0};
  std::atomic<uint64_t> malformed{0};
  std::atomic<uint64_t> too_large{0};
  std::atomic<uint64_t> timed_out{0};
  std::atomic<int64_t> buffered_bytes{0};
};

}  // namespace toucanknot

#endif  // SRC_HTTP_LISTENER_STATE_H_
