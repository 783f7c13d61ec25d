#ifndef SRC_HTTP_LISTENER_STATE_H_
#define SRC_HTTP_LISTENER_STATE_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

#include "include/memory/memory_account.h"
#include "src/http/http_server.h"

namespace toucanknot {

// State shared by the connections of one listener. The atomics may be modified
// by any thread; the other members do not change.
struct ListenerState {
  static constexpr int64_t kNoLimit = INT64_MAX / 2;

  ListenerState(const HttpServerLimits& l,
                HttpServer::BodyLimit b,
                HttpServer::Handler h)
      : limits(l),
        body_limit(std::move(b)),
        handler(std::move(h)),
        memory(AccountOf(l)),
        idle_ms(l.idle.ms()),
        header_ms(l.header.ms()) {}

  // The account of a listener that shares none with others.
  static std::shared_ptr<MemoryAccount> AccountOf(const HttpServerLimits& l) {
    MemoryAccount::Limits limits;
    limits.by_use = {l.max_buffered_head_bytes, l.max_buffered_bytes, kNoLimit};
    limits.total = kNoLimit;
    return std::make_shared<MemoryAccount>(limits);
  }

  const HttpServerLimits limits;
  const HttpServer::BodyLimit body_limit;
  const HttpServer::Handler handler;
  // Set before the listener accepts connections; null if no requests overlap.
  HttpServer::MayOverlap may_overlap;
  // Set before the listener accepts connections; null if a stop has no effect
  // on requests that are being read.
  HttpServer::BodyTimeLimit body_time_limit;
  // Set before the listener accepts connections.
  std::shared_ptr<MemoryAccount> memory;
  // Set before the listener accepts connections; may be null.
  HttpServer::ClosedHook on_closed_stopping;
  // Closes connections that hold memory for `use` without a request that is
  // being handled, until at least `bytes` will be free. Takes effect later.
  std::function<void(MemoryUse use, int64_t bytes)> make_room;

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
  // Connections closed, and requests rejected, for want of memory.
  std::atomic<uint64_t> evicted{0};
  std::atomic<uint64_t> no_memory{0};
  // Connections that wait for their clients to have the last response, and
  // connections closed before their clients had acknowledged everything.
  std::atomic<int64_t> lingering{0};
  std::atomic<uint64_t> undelivered{0};
  // How often the kernel did not tell what clients have acknowledged.
  std::atomic<uint64_t> send_queue_unknown{0};
  // Connections closed during a stop, by CloseReason.
  std::array<std::atomic<uint64_t>, kCloseReasons> closed_stopping{};
};

}  // namespace toucanknot

#endif  // SRC_HTTP_LISTENER_STATE_H_
