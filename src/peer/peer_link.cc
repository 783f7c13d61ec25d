#include "src/peer/peer_link.h"

#include <netinet/tcp.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

#include "include/peer/frame_codec.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;
using asio::use_awaitable;

// TCP_USER_TIMEOUT, in milliseconds.
using UserTimeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

}  // namespace

PeerLink::PeerLink(const PeerStrand& strand,
                   const PeerTransportOptions& options,
                   Endpoint peer,
                   std::shared_ptr<TransportCounters> counters)
    : options_(options),
      peer_(std::move(peer)),
      counters_(std::move(counters)),
      socket_(strand),
      watchdog_(socket_),
      wake_(strand),
      random_(options.self.incarnation ^ std::hash<std::string>()(peer_.ip) ^
              peer_.port),
      backoff_(options.min_backoff) {}

void PeerLink::Start() {
  asio::co_spawn(
      socket_.get_executor(),
      [self = shared_from_this()]() -> asio::awaitable<void> {
        co_await self->Run();
      },
      asio::detached);
}

void PeerLink::Send(std::shared_ptr<const std::string> body) {
  queued_bytes_ += body->size();
  queue_.push_back(std::move(body));
  while (queued_bytes_ > options_.max_queue_bytes) {
    queued_bytes_ -= queue_.front()->size();
    queue_.pop_front();
    ++counters_->dropped_messages;
  }
  wake_.cancel();
}

void PeerLink::Close() {
  closed_ = true;
  boost::system::error_code ec;
  socket_.close(ec);
  watchdog_.Disarm();
  wake_.cancel();
}

asio::awaitable<void> PeerLink::Run() {
  while (!closed_) {
    while (queue_.empty() && !closed_)
      co_await WaitForWakeUp();
    if (closed_)
      break;
    bool failed = false;
    try {
      co_await ConnectAndSend();
    } catch (const std::exception&) {
      failed = true;
    }
    watchdog_.Disarm();
    boost::system::error_code ec;
    socket_.close(ec);
    if (failed && !closed_)
      co_await BackOff();
  }
  DropQueue();
}

asio::awaitable<void> PeerLink::WaitForWakeUp() {
  wake_.expires_at(std::chrono::steady_clock::time_point::max());
  boost::system::error_code ec;
  co_await wake_.async_wait(asio::redirect_error(use_awaitable, ec));
}

asio::awaitable<void> PeerLink::ConnectAndSend() {
  co_await Connect();
  FrameSigner signer(options_.keys, nonce_);
  std::string frame = signer.Hello();
  while (!closed_) {
    watchdog_.Arm(options_.progress_limit, shared_from_this());
    co_await asio::async_write(socket_, asio::buffer(frame), use_awaitable);
    watchdog_.Disarm();
    backoff_ = options_.min_backoff;
    counters_->sent_bytes += frame.size();
    while (queue_.empty() && socket_.is_open())
      co_await WaitForWakeUp();
    if (!socket_.is_open())
      break;
    const auto body = std::move(queue_.front());
    queue_.pop_front();
    queued_bytes_ -= body->size();
    frame = signer.SignBody(*body);
    ++counters_->sent_messages;
  }
}

asio::awaitable<void> PeerLink::Connect() {
  watchdog_.Arm(options_.progress_limit, shared_from_this());
  const asio::ip::tcp::endpoint address(asio::ip::make_address(peer_.ip),
                                        peer_.port);
  co_await socket_.async_connect(address, use_awaitable);
  socket_.set_option(asio::ip::tcp::no_delay(true));
  socket_.set_option(
      UserTimeout(static_cast<int>(options_.progress_limit.ms())));
  nonce_.resize(kNonceBytes);
  co_await asio::async_read(socket_, asio::buffer(nonce_), use_awaitable);
  CloseWhenReadable();
}

// The peer sends nothing after the nonce, so the socket becomes readable only
// when the connection ends.
void PeerLink::CloseWhenReadable() {
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](boost::system::error_code ec) {
                       if (ec)
                         return;
                       self->socket_.close(ec);
                       self->wake_.cancel();
                     });
}

// Drops the messages queued in the meantime, because they are out of date.
asio::awaitable<void> PeerLink::BackOff() {
  ++counters_->connect_failures;
  std::uniform_int_distribution<int64_t> pause(backoff_.ms() / 2,
                                               backoff_.ms());
  const auto until = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(pause(random_));
  backoff_ = std::min(backoff_ * 2, options_.max_backoff);
  while (!closed_ && std::chrono::steady_clock::now() < until) {
    DropQueue();
    wake_.expires_at(until);
    boost::system::error_code ec;
    co_await wake_.async_wait(asio::redirect_error(use_awaitable, ec));
  }
}

void PeerLink::DropQueue() {
  counters_->dropped_messages += queue_.size();
  queue_.clear();
  queued_bytes_ = 0;
}

}  // namespace toucanknot
