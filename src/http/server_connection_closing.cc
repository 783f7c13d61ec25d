// Closing a connection without losing responses that the client has not read.
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

#include "src/http/send_window.h"
#include "src/http/server_connection.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
// What is received and discarded at most. Beyond it the client is no longer
// read, so that its sending stops, and the responses can still be delivered.
constexpr size_t kDiscardBytes = 1 << 20;
constexpr size_t kDiscardReadBytes = 2 << 10;

}  // namespace

int64_t ServerConnection::Undelivered() {
  return stream_.socket().is_open()
             ? UnacknowledgedBytes(stream_.socket().native_handle())
             : 0;
}

void ServerConnection::Cut() {
  if (Undelivered() > 0)
    ++state_->undelivered;
  Close();
}

void ServerConnection::Close() {
  SetLingering(false);
  stream_.close();
  read_timer_.cancel();
  wake_up_.Notify();
}

void ServerConnection::SetLingering(bool lingering) {
  if (lingering_.exchange(lingering) != lingering)
    state_->lingering += lingering ? 1 : -1;
}

bool ServerConnection::GiveWay() {
  if (!lingering_ || giving_way_.exchange(true))
    return false;
  Interrupt(true);
  return true;
}

void ServerConnection::Interrupt(bool force) {
  asio::post(stream_.get_executor(), [self = shared_from_this(), force] {
    if (force) {
      self->Cut();
      return;
    }
    // Requests that have arrived but were not read yet are still served.
    if (self->awaiting_ && self->exchanges_.empty() && !self->HasUnread())
      self->EndAfterDelivery();
  });
}

void ServerConnection::EndAfterDelivery() {
  closing_ = true;
  // Flush() calls Finish() when the response is written.
  if (writing_)
    return;
  if (Undelivered() > 0)
    Finish();
  else
    Close();
}

bool ServerConnection::MaySendOn() const {
  return state_->stopping || sent_on_ || buffer_.size() > 0 ||
         last_response_bytes_ > kSmallResponseBytes;
}

void ServerConnection::Finish() {
  boost::beast::error_code ec;
  stream_.socket().shutdown(tcp::socket::shutdown_send, ec);
  if (client_left_ || !MaySendOn()) {
    Close();
    return;
  }
  if (close_wait_)
    return;
  SetLingering(true);
  LingeringClose::Limits limits{state_->limits.write, state_->limits.write};
  // The end of the process bounds it.
  if (state_->stopping)
    limits.total = Duration::Max();
  close_wait_.emplace(limits, write_began_at_, SteadyNow());
  Linger();
}

void ServerConnection::Linger() {
  if (!stream_.socket().is_open())
    return;
  if (close_wait_->IsOver(Undelivered(), arrived_at_, SteadyNow())) {
    Cut();
    return;
  }
  read_timer_.expires_after(
      std::chrono::milliseconds(close_wait_->NextInterval().ms()));
  read_timer_.async_wait([self = shared_from_this()](ErrorCode ec) {
    if (!ec)
      self->Linger();
  });
}

asio::awaitable<void> ServerConnection::Discard() {
  std::string sink(kDiscardReadBytes, '\0');
  for (size_t total = 0; total < kDiscardBytes;) {
    stream_.expires_never();
    auto [ec, n] = co_await stream_.async_read_some(asio::buffer(sink), kAwait);
    if (ec) {
      OnClientLeft();
      co_return;
    }
    total += n;
    sent_on_ = true;
    arrived_at_ = SteadyNow();
  }
}

asio::awaitable<void> ServerConnection::AwaitDelivery() {
  if (!client_left_ && stream_.socket().is_open())
    co_await Discard();
  // The last responses may not be written, or not be read by the client yet.
  while (stream_.socket().is_open() &&
         (!exchanges_.empty() || (lingering_ && !client_left_))) {
    co_await wake_up_.Wait();
  }
}

}  // namespace toucanknot
