#include "src/forward/response_memory.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <cmath>
#include <utility>

namespace toucanknot {
namespace {

namespace asio = boost::asio;

// A response that has just begun counts as held for this long, so that one that
// announces a large body does not displace smaller ones.
constexpr Duration kMinHeld{20};
// How often a response that waits looks for memory that is released elsewhere,
// as by responses that were written to their callers.
constexpr Duration kWaitInterval{20};
constexpr Duration kRecentHalfLife{5'000};
constexpr Duration kForgetInterval{5'000};

}  // namespace

void ResponseMemory::Server::Update(Instant now) {
  const double half_lives = static_cast<double>((now - updated_at).ms()) /
                            static_cast<double>(kRecentHalfLife.ms());
  const double factor = std::exp2(-half_lives);
  wasted *= factor;
  delivered *= factor;
  updated_at = now;
}

double ResponseMemory::Server::TakenWith(double more_bytes) const {
  const double taken = static_cast<double>(reserved) + wasted + more_bytes;
  return taken <= 0 ? 0 : taken * taken / (taken + delivered);
}

ResponseMemory::Server& ResponseMemory::ServerAt(const Endpoint& endpoint,
                                                 Instant now) {
  ForgetIdle(now);
  Server& server = by_server_[endpoint];
  server.Update(now);
  return server;
}

void ResponseMemory::ForgetIdle(Instant now) {
  if (now - forgot_at_ < kForgetInterval)
    return;
  forgot_at_ = now;
  std::erase_if(by_server_, [&](const auto& it) {
    Server server = it.second;
    server.Update(now);
    return server.reserved == 0 && server.wasted + server.delivered < 1;
  });
}

bool ResponseMemory::HasLighterWaiter(const ResponseReservation& than) const {
  if (waiting_ == 0)
    return false;
  const double weight = than.WantedWeight();
  return std::any_of(reading_.begin(), reading_.end(), [&](const auto* it) {
    return it != &than && it->waiting_ != nullptr && !it->evicted_ &&
           it->WantedWeight() < weight;
  });
}

void ResponseMemory::MakeRoom(const ResponseReservation& requester) {
  ResponseReservation* heaviest = nullptr;
  double max_weight = requester.WantedWeight();
  int64_t wanted = requester.wanted_bytes_ - requester.bytes();
  for (ResponseReservation* it : reading_) {
    if (it->evicted_) {
      wanted -= it->bytes();
      continue;
    }
    const double weight = it->HeldWeight();
    if (it != &requester && weight > max_weight) {
      heaviest = it;
      max_weight = weight;
    }
  }
  if (wanted <= 0 || heaviest == nullptr)
    return;
  heaviest->evicted_ = true;
  if (heaviest->waiting_ != nullptr)
    heaviest->waiting_->cancel();
  heaviest->on_evicted_();
}

void ResponseMemory::WakeLightest() {
  if (waiting_ == 0)
    return;
  const ResponseReservation* lightest = nullptr;
  for (const ResponseReservation* it : reading_) {
    if (it->waiting_ != nullptr && !it->evicted_ &&
        (lightest == nullptr || it->WantedWeight() < lightest->WantedWeight()))
      lightest = it;
  }
  if (lightest != nullptr)
    lightest->waiting_->cancel();
}

ResponseReservation::ResponseReservation(std::shared_ptr<ResponseMemory> memory,
                                         const Endpoint& server,
                                         std::function<void()> on_evicted)
    : memory_(std::move(memory)),
      server_(server),
      on_evicted_(std::move(on_evicted)),
      reserved_(std::make_shared<MemoryReservation>(memory_->account(),
                                                    MemoryUse::kResponse)) {
  memory_->reading_.insert(this);
}

ResponseReservation::~ResponseReservation() {
  if (!reserved_)
    return;
  Leave();
  reserved_.reset();
  memory_->WakeLightest();
}

void ResponseReservation::CountWaste() {
  memory_->ServerAt(server_, SteadyNow()).wasted +=
      static_cast<double>(bytes());
}

void ResponseReservation::Leave() {
  memory_->reading_.erase(this);
  memory_->by_server_[server_].reserved -= bytes();
}

double ResponseReservation::WeightAt(int64_t bytes) const {
  const auto more = static_cast<double>(bytes - this->bytes());
  const auto it = memory_->by_server_.find(server_);
  const double taken =
      it == memory_->by_server_.end() ? more : it->second.TakenWith(more);
  const Duration held = SteadyNow() - since_ + kMinHeld;
  return static_cast<double>(bytes) * taken * static_cast<double>(held.ms());
}

bool ResponseReservation::TryResize(int64_t bytes) {
  const int64_t change = bytes - this->bytes();
  if (evicted_ || !reserved_->Resize(bytes))
    return false;
  memory_->by_server_[server_].reserved += change;
  return true;
}

asio::awaitable<bool> ResponseReservation::Resize(int64_t bytes,
                                                  Instant deadline) {
  wanted_bytes_ = bytes;
  if (bytes <= this->bytes())
    co_return TryResize(bytes);
  if (!memory_->HasLighterWaiter(*this) && TryResize(bytes))
    co_return true;
  asio::steady_timer timer(co_await asio::this_coro::executor);
  // Ends the wait also when the coroutine is destroyed.
  const auto stop = [this](void*) {
    waiting_ = nullptr;
    --memory_->waiting_;
  };
  waiting_ = &timer;
  ++memory_->waiting_;
  const std::unique_ptr<void, decltype(stop)> wait(this, stop);
  while (!evicted_ && bytes <= memory_->limit() && SteadyNow() < deadline) {
    memory_->MakeRoom(*this);
    timer.expires_after(std::chrono::milliseconds(kWaitInterval.ms()));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (!memory_->HasLighterWaiter(*this) && TryResize(bytes)) {
      waiting_ = nullptr;
      memory_->WakeLightest();
      co_return true;
    }
  }
  co_return false;
}

std::shared_ptr<MemoryReservation> ResponseReservation::Release(int64_t bytes) {
  Leave();
  reserved_->Resize(bytes);
  memory_->ServerAt(server_, SteadyNow()).delivered +=
      static_cast<double>(bytes);
  memory_->WakeLightest();
  return std::exchange(reserved_, nullptr);
}

}  // namespace toucanknot
