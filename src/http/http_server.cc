#include "src/http/http_server.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <mutex>
#include <optional>
#include <unordered_set>
#include <utility>
#include <vector>

#include "src/http/listener_state.h"
#include "src/http/server_connection.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
// Interval for checking the memory of responses.
constexpr std::chrono::milliseconds kMemoryInterval{100};
// Percentages of the memory for responses: above the first, clients that do not
// read are disconnected until the second is reached.
constexpr int64_t kHighPercent = 75;
constexpr int64_t kLowPercent = 50;
// Minimum interval between two searches for connections to close.
constexpr int64_t kRoomIntervalMs = 10;
// Fraction (1/n) of a use's memory that is freed at once.
constexpr int64_t kRoomDivisor = 16;

}  // namespace

// The listening socket and its connections.
class HttpServer::Listener
    : public std::enable_shared_from_this<HttpServer::Listener> {
 public:
  Listener(WorkerPool& workers,
           const HttpServerLimits& limits,
           BodyLimit body_limit,
           Handler handler)
      : workers_(workers),
        state_(std::make_shared<ListenerState>(limits,
                                               std::move(body_limit),
                                               std::move(handler))),
        acceptor_(std::in_place, workers.loop(0)) {}

  void SetOnClosedStopping(ClosedHook hook) {
    state_->on_closed_stopping = std::move(hook);
  }
  void DiscardUnread();
  void SetMayOverlap(MayOverlap hook) { state_->may_overlap = std::move(hook); }
  void SetMemory(std::shared_ptr<MemoryAccount> account) {
    state_->memory = std::move(account);
  }
  Endpoint Listen(const Endpoint& endpoint);
  void SetBodyTimeLimit(BodyTimeLimit limit) {
    state_->body_time_limit = std::move(limit);
  }
  void BeginStop();
  void StopAccepting();
  void Abort();
  void SetTimeouts(Duration idle, Duration header) {
    state_->idle_ms = idle.ms();
    state_->header_ms = header.ms();
  }
  // Closes all sockets in the calling thread; the workers must have been
  // stopped.
  void Release();
  WorkerPool& workers() { return workers_; }
  HttpServerCounts Counts() const;

 private:
  asio::awaitable<void> AcceptLoop();
  // Closes connections whose clients do not read while responses take up most
  // of their memory.
  asio::awaitable<void> WatchMemory();
  void MakeRoom(MemoryUse use, int64_t bytes);
  int64_t LimitOf(MemoryUse use) const {
    return state_->memory->limits().by_use[static_cast<size_t>(use)];
  }
  void StartConnection(tcp::socket socket);
  void RemoveConnection(ServerConnection* connection);
  // Closes a connection that only waits for its client to read the last
  // response, since a new client comes first: the one whose client has had all
  // of it for longest. Returns false if there is none. Must be called with the
  // lock held.
  bool EndOneLingering();

  WorkerPool& workers_;
  const std::shared_ptr<ListenerState> state_;
  // Empty once the listener is released.
  std::optional<tcp::acceptor> acceptor_;
  std::atomic<bool> accepting_{false};
  // When MakeRoom() last looked for connections.
  std::atomic<int64_t> room_made_at_ms_{0};
  std::atomic<uint64_t> accepted_{0};
  std::atomic<uint64_t> refused_connections_{0};
  std::atomic<uint64_t> accept_failures_{0};

  mutable std::mutex mutex_;
  std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
};

Endpoint HttpServer::Listener::Listen(const Endpoint& endpoint) {
  const tcp::endpoint address(asio::ip::make_address(endpoint.ip),
                              endpoint.port);
  // A failed call leaves the acceptor closed, for another one.
  tcp::acceptor acceptor(acceptor_->get_executor(), address.protocol());
  acceptor.set_option(asio::socket_base::reuse_address(true));
  acceptor.bind(address);
  acceptor.listen();
  *acceptor_ = std::move(acceptor);
  accepting_ = true;
  state_->make_room = [weak = weak_from_this()](MemoryUse use, int64_t bytes) {
    if (const auto self = weak.lock())
      self->MakeRoom(use, bytes);
  };
  asio::co_spawn(
      acceptor_->get_executor(),
      [self = shared_from_this()] { return self->AcceptLoop(); },
      asio::detached);
  if (LimitOf(MemoryUse::kResponse) < ListenerState::kNoLimit) {
    asio::co_spawn(
        acceptor_->get_executor(),
        [self = shared_from_this()] { return self->WatchMemory(); },
        asio::detached);
  }
  return {endpoint.ip, acceptor_->local_endpoint().port()};
}

asio::awaitable<void> HttpServer::Listener::AcceptLoop() {
  while (accepting_) {
    auto [ec, socket] =
        co_await acceptor_->async_accept(workers_.NextLoop(), kAwait);
    if (ec == asio::error::operation_aborted)
      co_return;
    if (ec) {
      ++accept_failures_;
      // Most likely there are no free file descriptors: wait until connections
      // are closed.
      asio::steady_timer pause(acceptor_->get_executor(),
                               std::chrono::milliseconds(50));
      co_await pause.async_wait(kAwait);
      continue;
    }
    StartConnection(std::move(socket));
  }
}

asio::awaitable<void> HttpServer::Listener::WatchMemory() {
  asio::steady_timer timer(workers_.loop(0));
  while (accepting_) {
    timer.expires_after(kMemoryInterval);
    co_await timer.async_wait(kAwait);
    const int64_t limit = LimitOf(MemoryUse::kResponse);
    const int64_t reserved = state_->memory->reserved(MemoryUse::kResponse);
    if (reserved > limit / 100 * kHighPercent)
      MakeRoom(MemoryUse::kResponse, reserved - limit / 100 * kLowPercent);
  }
}

void HttpServer::Listener::MakeRoom(MemoryUse use, int64_t bytes) {
  // Requests that wait for memory all ask for it.
  const int64_t now_ms = SteadyNow().ms();
  int64_t last_ms = room_made_at_ms_;
  if (now_ms - last_ms < kRoomIntervalMs ||
      !room_made_at_ms_.compare_exchange_strong(last_ms, now_ms)) {
    return;
  }
  struct Candidate {
    ServerConnection::Held held;
    std::shared_ptr<ServerConnection> connection;
  };
  std::vector<Candidate> candidates;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& it : connections_) {
      const ServerConnection::Held held = it->HeldFor(use);
      if (held.bytes > 0)
        candidates.push_back({held, it});
    }
  }
  // Frees some more at a time, since each call looks at all connections.
  bytes = std::max(bytes, LimitOf(use) / kRoomDivisor);
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::pair(a.held.idle, b.held.weight) <
                     std::pair(b.held.idle, a.held.weight);
            });
  for (const Candidate& it : candidates) {
    if (bytes <= 0)
      break;
    bytes -= it.held.bytes;
    it.connection->Evict(use);
  }
}

void HttpServer::Listener::StartConnection(tcp::socket socket) {
  error_code ec;
  socket.set_option(tcp::no_delay(true), ec);
  std::shared_ptr<ServerConnection> connection;
  {
    const std::lock_guard lock(mutex_);
    if (static_cast<int>(connections_.size()) >=
            state_->limits.max_connections &&
        !EndOneLingering()) {
      ++refused_connections_;
      return;
    }
    connection = std::make_shared<ServerConnection>(
        state_, std::move(socket),
        [self = shared_from_this()](ServerConnection* it) {
          self->RemoveConnection(it);
        });
    connections_.insert(connection);
  }
  ++accepted_;
  connection->Start();
}

bool HttpServer::Listener::EndOneLingering() {
  if (state_->lingering <= 0)
    return false;
  ServerConnection* first = nullptr;
  Instant since;
  for (const auto& it : connections_) {
    const std::optional<Instant> lingering_since = it->LingeringSince();
    if (!lingering_since || (first != nullptr && *lingering_since >= since))
      continue;
    first = it.get();
    since = *lingering_since;
  }
  return first != nullptr && first->GiveWay();
}

void HttpServer::Listener::RemoveConnection(ServerConnection* connection) {
  const std::shared_ptr<ServerConnection> keep = connection->shared_from_this();
  const std::lock_guard lock(mutex_);
  connections_.erase(keep);
}

void HttpServer::Listener::BeginStop() {
  if (state_->stopping.exchange(true) || !state_->body_time_limit.complete_by)
    return;
  const std::lock_guard lock(mutex_);
  for (const auto& it : connections_)
    it->OnStopBegun();
}

void HttpServer::Listener::StopAccepting() {
  BeginStop();
  if (!accepting_.exchange(false))
    return;
  asio::post(acceptor_->get_executor(), [self = shared_from_this()] {
    error_code ec;
    self->acceptor_->cancel(ec);
    self->acceptor_->non_blocking(true, ec);
    for (;;) {
      tcp::socket socket(self->workers_.NextLoop());
      self->acceptor_->accept(socket, ec);
      if (ec)
        break;
      self->StartConnection(std::move(socket));
    }
    self->acceptor_->close(ec);
    const std::lock_guard lock(self->mutex_);
    for (const auto& it : self->connections_)
      it->Interrupt();
  });
}

void HttpServer::Listener::DiscardUnread() {
  const std::lock_guard lock(mutex_);
  for (const auto& it : connections_)
    it->DiscardUnread();
}

void HttpServer::Listener::Abort() {
  BeginStop();
  accepting_ = false;
  asio::post(acceptor_->get_executor(), [self = shared_from_this()] {
    error_code ec;
    self->acceptor_->close(ec);
  });
  const std::lock_guard lock(mutex_);
  for (const auto& it : connections_)
    it->Abort();
}

void HttpServer::Listener::Release() {
  acceptor_.reset();
  const std::lock_guard lock(mutex_);
  for (const auto& it : connections_)
    it->Close(CloseReason::kEnded);
  connections_.clear();
}

HttpServerCounts HttpServer::Listener::Counts() const {
  HttpServerCounts counts;
  counts.accepted = accepted_;
  counts.refused_connections = refused_connections_;
  counts.accept_failures = accept_failures_;
  counts.requests = state_->requests;
  counts.overlapping = state_->overlapping;
  counts.malformed = state_->malformed;
  counts.too_large = state_->too_large;
  counts.timed_out = state_->timed_out;
  counts.buffered_bytes = state_->memory->reserved(MemoryUse::kRequestBody);
  counts.evicted = state_->evicted;
  counts.no_memory = state_->no_memory;
  counts.lingering = state_->lingering;
  counts.undelivered = state_->undelivered;
  counts.send_queue_unknown = state_->send_queue_unknown;
  for (size_t i = 0; i < kCloseReasons; ++i)
    counts.closed_stopping[i] = state_->closed_stopping[i];
  const std::lock_guard lock(mutex_);
  counts.open_connections = static_cast<int64_t>(connections_.size());
  return counts;
}

HttpServer::HttpServer(WorkerPool& workers,
                       HttpServerLimits limits,
                       BodyLimit body_limit,
                       Handler handler)
    : listener_(std::make_shared<Listener>(workers,
                                           limits,
                                           std::move(body_limit),
                                           std::move(handler))) {}

HttpServer::~HttpServer() {
  if (listener_->workers().stopped())
    listener_->Release();
  else
    listener_->Abort();
}

void HttpServer::SetMayOverlap(MayOverlap hook) {
  listener_->SetMayOverlap(std::move(hook));
}

void HttpServer::SetBodyTimeLimit(BodyTimeLimit limit) {
  listener_->SetBodyTimeLimit(std::move(limit));
}

void HttpServer::SetOnClosedStopping(ClosedHook hook) {
  listener_->SetOnClosedStopping(std::move(hook));
}

void HttpServer::SetMemory(std::shared_ptr<MemoryAccount> account) {
  listener_->SetMemory(std::move(account));
}

Endpoint HttpServer::Listen(const Endpoint& endpoint) {
  return listener_->Listen(endpoint);
}

void HttpServer::BeginStop() {
  listener_->BeginStop();
}

void HttpServer::StopAccepting() {
  listener_->StopAccepting();
}

void HttpServer::DiscardUnread() {
  listener_->DiscardUnread();
}

void HttpServer::Abort() {
  listener_->Abort();
}

void HttpServer::SetTimeouts(Duration idle, Duration header) {
  listener_->SetTimeouts(idle, header);
}

int64_t HttpServer::OpenConnections() const {
  return listener_->Counts().open_connections;
}

HttpServerCounts HttpServer::Counts() const {
  return listener_->Counts();
}

}  // namespace toucanknot
