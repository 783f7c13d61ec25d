#include "bench/steering/fake_server.h"

#include <algorithm>
#include <utility>

namespace toucanknot::bench {
namespace {

// Factor on the service time of a cold server; it falls linearly to 1 over
// kWarmupUs.
constexpr double kColdSlowness = 3;
constexpr int64_t kWarmupUs = 10'000'000;

}  // namespace

void FakeServer::Kill() {
  AddBusyTime();
  alive_ = false;
  queue_.clear();
  running_.clear();
}

void FakeServer::Restart(bool cold) {
  AddBusyTime();
  alive_ = true;
  traits_.cold_since_us = cold ? events_.now_us() : -1;
}

double FakeServer::Slowness() const {
  if (traits_.cold_since_us < 0)
    return traits_.slowness;
  const int64_t age = events_.now_us() - traits_.cold_since_us;
  const double cold = std::max(0.0, 1 - static_cast<double>(age) / kWarmupUs);
  return traits_.slowness * (1 + (kColdSlowness - 1) * cold);
}

void FakeServer::AddBusyTime() {
  const int64_t now = events_.now_us();
  busy_slot_us_ += static_cast<double>(now - busy_since_us_) * running();
  busy_since_us_ = now;
}

double FakeServer::BusySlotUs() {
  AddBusyTime();
  return busy_slot_us_;
}

uint64_t FakeServer::OnRequest(int64_t work_us, Done done) {
  last_arrival_us_ = events_.now_us();
  const uint64_t id = next_++;
  if (load() >= config_.max_connections)
    ++over_connections_;
  if (traits_.fails) {
    done(AttemptEnd::kFailed);
  } else if (running() < config_.slots) {
    Start({id, work_us, std::move(done)});
  } else {
    ++queued_;
    queue_.push_back({id, work_us, std::move(done)});
  }
  return id;
}

void FakeServer::Start(Attempt attempt) {
  AddBusyTime();
  const uint64_t id = attempt.id;
  running_.emplace(id, std::move(attempt.done));
  const auto us =
      static_cast<int64_t>(static_cast<double>(attempt.work_us) * Slowness());
  events_.ScheduleAfter(us, [this, id] {
    const auto it = running_.find(id);
    if (it == running_.end())
      return;
    AddBusyTime();
    const Done done = std::move(it->second);
    running_.erase(it);
    StartNext();
    done(AttemptEnd::kAnswered);
  });
}

void FakeServer::StartNext() {
  if (queue_.empty() || running() >= config_.slots)
    return;
  Attempt next = std::move(queue_.front());
  queue_.pop_front();
  Start(std::move(next));
}

void FakeServer::Cancel(uint64_t attempt) {
  std::erase_if(queue_, [&](const Attempt& it) { return it.id == attempt; });
  if (!running_.contains(attempt))
    return;
  AddBusyTime();
  running_.erase(attempt);
  StartNext();
}

LoadReport FakeServer::Report() const {
  return {.server = config_.id,
          .healthy = true,
          .leaving = leaving,
          .running = traits_.misleads ? 0 : running(),
          .waiting = traits_.misleads ? 0 : static_cast<int>(queue_.size())};
}

}  // namespace toucanknot::bench
