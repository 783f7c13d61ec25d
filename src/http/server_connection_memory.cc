// What a connection holds of the memory account, and who gives way.
#include "src/http/server_connection.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

namespace toucanknot {
namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
// Heads whose fields take more than this may not use the last quarter of the
// memory for heads, so that ordinary requests are served while hostile ones
// arrive. A head of 8 kB in 100 fields takes 42 kB.
constexpr int64_t kOrdinaryHeadBytes = 64 << 10;
// A request waits this many times this long for memory that is being freed.
constexpr int kRoomAttempts = 25;
constexpr std::chrono::milliseconds kRoomWait{20};
// When responses take up most of their memory, connections are closed that made
// no progress for the first or need longer than the second for one response.
constexpr Duration kNoProgress{1'000};
constexpr Duration kSlowWrite{10'000};
// What a client must have acknowledged in kNoProgress to count as reading.
constexpr int64_t kReadProgressBytes = 8 << 10;

}  // namespace

ServerConnection::Held ServerConnection::HeldFor(MemoryUse use) const {
  const int64_t now_ms = SteadyNow().ms();
  const int64_t age_ms = now_ms - held_since_ms_;
  if (use == MemoryUse::kRequestHead) {
    const int64_t bytes = held_head_bytes_;
    return {bytes, bytes * (age_ms + 1), held_idle_};
  }
  const int64_t stalled_ms = now_ms - progress_at_ms_;
  if (use != MemoryUse::kResponse ||
      (stalled_ms < kNoProgress.ms() && age_ms < kSlowWrite.ms())) {
    return {};
  }
  const int64_t bytes = unsent_bytes_;
  return {bytes, bytes * (stalled_ms + 1), false};
}

void ServerConnection::Evict(MemoryUse use) {
  asio::post(stream_.get_executor(), [self = shared_from_this(), use] {
    const bool evict = use == MemoryUse::kResponse
                           ? self->writing_ && self->UnsentBytes() > 0
                           : self->reading_head_ && self->exchanges_.empty() &&
                                 !(self->awaiting_ && self->HasUnread());
    if (!evict || !self->stream_.socket().is_open())
      return;
    if (use == MemoryUse::kResponse && self->ClientReads())
      return;
    // The client may still read the last response.
    if (use == MemoryUse::kRequestHead && self->Undelivered() != 0 &&
        SteadyNow() - self->write_began_at_ < kSlowWrite) {
      return;
    }
    ++self->state_->evicted;
    self->Close(CloseReason::kNoMemory);
  });
}

bool ServerConnection::ClientReads() {
  const Instant now = SteadyNow();
  const std::optional<int64_t> undelivered = Undelivered();
  if (!undelivered || now - write_began_at_ >= kSlowWrite)
    return false;
  const std::optional<int64_t> before =
      std::exchange(unread_by_client_, undelivered);
  // More than before: the kernel has taken some meanwhile.
  if (before && *undelivered <= *before &&
      *before - *undelivered < kReadProgressBytes) {
    return false;
  }
  progress_at_ms_ = now.ms();
  return true;
}

void ServerConnection::UpdateHeld() {
  const bool reading = reading_head_ && exchanges_.empty();
  held_head_bytes_ = reading ? memory_.bytes() : 0;
  held_idle_ = awaiting_;
  // A response that waits for an earlier one is not held by the client.
  unsent_bytes_ = writing_ ? UnsentBytes() : 0;
  held_since_ms_ = reading ? began_at_.ms() : write_began_at_.ms();
}

int64_t ServerConnection::UnsentBytes() const {
  int64_t bytes = 0;
  for (const ExchangePtr& it : exchanges_) {
    if (it->response && it->response->memory)
      bytes += it->response->memory->bytes();
  }
  return bytes;
}

bool ServerConnection::MayReserveHead(const MemoryReservation& reservation,
                                      int64_t bytes) const {
  if (bytes <= kOrdinaryHeadBytes)
    return true;
  const MemoryAccount& memory = *state_->memory;
  const int64_t limit =
      memory.limits().by_use[static_cast<size_t>(MemoryUse::kRequestHead)];
  return memory.reserved(MemoryUse::kRequestHead) + bytes -
             reservation.bytes() <=
         limit / 4 * 3;
}

asio::awaitable<bool> ServerConnection::ReserveHead(
    MemoryReservation& reservation,
    int64_t bytes) {
  asio::steady_timer timer(stream_.get_executor());
  for (int i = 0;; ++i) {
    if (MayReserveHead(reservation, bytes) && reservation.Resize(bytes)) {
      UpdateHeld();
      co_return true;
    }
    if (i == kRoomAttempts || !stream_.socket().is_open())
      break;
    if (state_->make_room)
      state_->make_room(MemoryUse::kRequestHead, bytes);
    timer.expires_after(kRoomWait);
    co_await timer.async_wait(kAwait);
  }
  ++state_->no_memory;
  co_return false;
}

size_t ServerConnection::BufferSizeFor(size_t free_bytes) const {
  const size_t size = buffer_.size();
  return std::min(buffer_.max_size(), std::max(2 * size, size + free_bytes));
}

bool ServerConnection::GrowBuffer(size_t free_bytes) {
  const size_t old = buffer_.capacity();
  if (old - buffer_.size() >= free_bytes)
    return true;
  const size_t size = BufferSizeFor(free_bytes);
  if (size <= old)
    return true;
  // The old buffer exists until its bytes are copied.
  if (!memory_.Resize(kConnectionBytes + static_cast<int64_t>(old + size)))
    return false;
  buffer_.reserve(size);
  memory_.Resize(kConnectionBytes + static_cast<int64_t>(buffer_.capacity()));
  UpdateHeld();
  return true;
}

asio::awaitable<bool> ServerConnection::AwaitBuffer(size_t free_bytes) {
  if (GrowBuffer(free_bytes))
    co_return true;
  const size_t size = buffer_.capacity() + BufferSizeFor(free_bytes);
  co_return co_await ReserveHead(
      memory_, kConnectionBytes + static_cast<int64_t>(size)) &&
      GrowBuffer(free_bytes);
}

void ServerConnection::ShrinkBuffer() {
  buffer_.shrink_to_fit();
  memory_.Resize(kConnectionBytes + static_cast<int64_t>(buffer_.capacity()));
}

std::string_view ServerConnection::Buffered() const {
  const auto data = buffer_.data();
  return {static_cast<const char*>(data.data()), data.size()};
}

}  // namespace toucanknot
