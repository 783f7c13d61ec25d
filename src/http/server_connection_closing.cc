// Closing a connection without losing responses that the client has not read.
#include <sys/socket.h>

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
// What is received and discarded at most, but while a stop lasts. Beyond it the
// client is no longer read, so that its sending stops, and the responses can
// still be delivered.
constexpr size_t kDiscardBytes = 1 << 20;
constexpr size_t kDiscardReadBytes = 2 << 10;

}  // namespace

std::optional<int64_t> ServerConnection::Undelivered() {
  if (!stream_.socket().is_open())
    return 0;
  const auto bytes = UnacknowledgedBytes(stream_.socket().native_handle());
  state_->send_queue_unknown += bytes ? 0 : 1;
  return bytes;
}

void ServerConnection::NoteClose(CloseReason reason) {
  if (!stream_.socket().is_open())
    return;
  // A client that sends nothing more is not reset, and gets the rest.
  const bool cut =
      reason != CloseReason::kClientClosed && reason != CloseReason::kDelivered;
  const std::optional<int64_t> undelivered = cut ? Undelivered() : 0;
  state_->undelivered += undelivered != 0 ? 1 : 0;
  if (!state_->stopping)
    return;
  ++state_->closed_stopping[static_cast<size_t>(reason)];
  if (state_->on_closed_stopping && cut) {
    state_->on_closed_stopping(
        {reason, remote_ip_, undelivered, exchanges_.size()});
  }
}

void ServerConnection::Close(CloseReason reason) {
  NoteClose(reason);
  SetLingering(false);
  stream_.close();
  read_timer_.cancel();
  wake_up_.Notify();
}

void ServerConnection::SetLingering(bool lingering) {
  if (lingering_.exchange(lingering) != lingering)
    state_->lingering += lingering ? 1 : -1;
}

std::optional<Instant> ServerConnection::LingeringSince() const {
  if (!lingering_ || giving_way_)
    return std::nullopt;
  return Instant(delivered_at_ms_.load());
}

bool ServerConnection::GiveWay() {
  if (!lingering_ || giving_way_.exchange(true))
    return false;
  asio::post(stream_.get_executor(), [self = shared_from_this()] {
    self->Close(CloseReason::kGaveWay);
  });
  return true;
}

void ServerConnection::Abort() {
  asio::post(stream_.get_executor(),
             [self = shared_from_this()] { self->Close(CloseReason::kEnded); });
}

void ServerConnection::DiscardUnread() {
  asio::post(stream_.get_executor(), [self = shared_from_this()] {
    if (!self->stream_.socket().is_open())
      return;
    self->NoteClose(CloseReason::kEnded);
    const int socket = self->stream_.socket().native_handle();
    char sink[kDiscardReadBytes];
    for (size_t total = 0; total < kDiscardBytes; total += sizeof sink) {
      if (::recv(socket, sink, sizeof sink, MSG_DONTWAIT) <= 0)
        break;
    }
    boost::beast::error_code ec;
    self->stream_.socket().shutdown(tcp::socket::shutdown_send, ec);
  });
}

void ServerConnection::Interrupt() {
  asio::post(stream_.get_executor(), [self = shared_from_this()] {
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
  if (state_->stopping || Undelivered() != 0)
    Finish();
  else
    Close(CloseReason::kDelivered);
}

bool ServerConnection::MaySendOn() const {
  return state_->stopping || sent_on_ || buffer_.size() > 0 ||
         last_response_bytes_ > kSmallResponseBytes;
}

void ServerConnection::Finish() {
  boost::beast::error_code ec;
  stream_.socket().shutdown(tcp::socket::shutdown_send, ec);
  if (client_left_ || !MaySendOn()) {
    Close(client_left_ ? CloseReason::kClientClosed : CloseReason::kDelivered);
    return;
  }
  if (close_wait_)
    return;
  SetLingering(true);
  const LingeringClose::Limits limits{state_->limits.write,
                                      state_->limits.write};
  close_wait_.emplace(limits, write_began_at_, SteadyNow());
  Linger();
}

void ServerConnection::Linger() {
  if (!stream_.socket().is_open())
    return;
  const bool stopping = state_->stopping;
  const std::optional<int64_t> undelivered = Undelivered();
  if (close_wait_->IsOver(undelivered, arrived_at_, SteadyNow(), stopping)) {
    Close(undelivered == 0 ? CloseReason::kDelivered
                           : CloseReason::kNoProgress);
    return;
  }
  delivered_at_ms_ = close_wait_->delivered_at().ms();
  read_timer_.expires_after(
      std::chrono::milliseconds(close_wait_->NextInterval(stopping).ms()));
  read_timer_.async_wait([self = shared_from_this()](ErrorCode ec) {
    if (!ec)
      self->Linger();
  });
}

asio::awaitable<void> ServerConnection::Discard() {
  std::string sink(kDiscardReadBytes, '\0');
  // The end of the process bounds what is read during a stop.
  for (size_t total = 0; total < kDiscardBytes || state_->stopping;) {
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
