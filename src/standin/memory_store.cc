#include "src/standin/memory_store.h"

#include <chrono>
#include <utility>

namespace toucanknot {
namespace {

constexpr size_t kMaxValueBytes = 1 << 20;

}  // namespace

MemoryStore::MemoryStore(ClockFn clock) : clock_(std::move(clock)) {}

MemoryStore::Lock MemoryStore::BeginCall(uint64_t StoreCalls::*counter) {
  Lock lock(mutex_);
  ++(calls_.*counter);
  if (delay_ > Duration()) {
    changed_.wait_for(lock, std::chrono::milliseconds(delay_.ms()),
                      [this] { return delay_ == Duration(); });
  }
  ThrowIfDown();
  return lock;
}

void MemoryStore::ThrowIfDown() const {
  if (down_)
    throw StoreUnavailableError("the store is down");
}

void MemoryStore::LoseResponseAt(LostResponse point) {
  if (responses_to_lose_ == 0 || lost_point_ != point)
    return;
  --responses_to_lose_;
  throw StoreOutcomeUnknownError("the store's response was lost");
}

std::optional<StoreValue> MemoryStore::Find(const std::string& key) const {
  const auto it = values_.find(key);
  return it == values_.end() ? std::nullopt
                             : std::optional<StoreValue>(it->second);
}

std::optional<StoreValue> MemoryStore::Get(const std::string& key) {
  const Lock lock = BeginCall(&StoreCalls::reads);
  return Find(key);
}

SwapResult MemoryStore::CompareAndSwap(const std::string& key,
                                       uint64_t expected,
                                       const std::string& data) {
  Lock lock = BeginCall(&StoreCalls::writes);
  if (data.size() > kMaxValueBytes)
    throw StoreUnavailableError("the value is larger than 1 MiB");
  LoseResponseAt(LostResponse::kBeforeEffect);
  const auto present = Find(key);
  const uint64_t revision = present ? present->revision : 0;
  if (revision != expected) {
    LoseResponseAt(LostResponse::kAfterEffect);
    return {false, revision};
  }
  values_[key] = {data, revision + 1};
  changed_.notify_all();
  const ChangeFn on_change = on_change_;
  lock.unlock();
  if (on_change)
    on_change(key);
  lock.lock();
  LoseResponseAt(LostResponse::kAfterEffect);
  return {true, revision + 1};
}

std::optional<StoreValue> MemoryStore::Watch(const std::string& key,
                                             uint64_t seen,
                                             Duration limit) {
  Lock lock = BeginCall(&StoreCalls::watches);
  StoreValue value;
  const bool woken =
      changed_.wait_for(lock, std::chrono::milliseconds(limit.ms()), [&] {
        value = Find(key).value_or(StoreValue());
        return down_ || value.revision != seen;
      });
  ThrowIfDown();
  return woken ? std::optional<StoreValue>(std::move(value)) : std::nullopt;
}

std::vector<std::string> MemoryStore::List(const std::string& prefix) {
  const Lock lock = BeginCall(&StoreCalls::reads);
  std::vector<std::string> keys;
  for (auto it = values_.lower_bound(prefix);
       it != values_.end() && it->first.starts_with(prefix); ++it)
    keys.push_back(it->first);
  return keys;
}

LeaseResult MemoryStore::AcquireLease(const std::string& key,
                                      const std::string& holder,
                                      Duration ttl) {
  const Lock lock = BeginCall(&StoreCalls::leases);
  LoseResponseAt(LostResponse::kBeforeEffect);
  const Instant now = clock_();
  Lease& lease = leases_[key];
  const bool live = lease.epoch != 0 && now < lease.until;
  const bool granted = !live || lease.holder == holder;
  if (!live)
    ++lease.epoch;
  if (granted) {
    lease.holder = holder;
    lease.until = now + ttl;
  }
  LoseResponseAt(LostResponse::kAfterEffect);
  return {granted, granted ? lease.epoch : 0, lease.holder};
}

std::vector<PlatformHost> MemoryStore::Hosts() {
  const Lock lock = BeginCall(&StoreCalls::reads);
  const Instant visible_since = clock_() - host_lag_;
  while (host_lists_.size() > 1 && host_lists_[1].since <= visible_since)
    host_lists_.pop_front();
  return host_lists_.empty() ? std::vector<PlatformHost>()
                             : host_lists_.front().hosts;
}

void MemoryStore::SetDown(bool down) {
  const Lock lock(mutex_);
  down_ = down;
  changed_.notify_all();
}

void MemoryStore::SetSlow(Duration delay) {
  const Lock lock(mutex_);
  delay_ = delay;
  changed_.notify_all();
}

void MemoryStore::LoseResponses(int n, LostResponse point) {
  const Lock lock(mutex_);
  responses_to_lose_ = n;
  lost_point_ = point;
}

void MemoryStore::SetHosts(std::vector<PlatformHost> hosts) {
  const Lock lock(mutex_);
  host_lists_.push_back({clock_(), std::move(hosts)});
}

void MemoryStore::SetHostLag(Duration lag) {
  const Lock lock(mutex_);
  host_lag_ = lag;
}

MemoryStore::Snapshot MemoryStore::TakeSnapshot() const {
  const Lock lock(mutex_);
  return values_;
}

void MemoryStore::Restore(Snapshot snapshot) {
  const Lock lock(mutex_);
  values_ = std::move(snapshot);
  changed_.notify_all();
}

StoreCalls MemoryStore::calls() const {
  const Lock lock(mutex_);
  return calls_;
}

void MemoryStore::SetOnChange(ChangeFn fn) {
  const Lock lock(mutex_);
  on_change_ = std::move(fn);
}

std::optional<StoreValue> MemoryStore::Peek(const std::string& key) const {
  const Lock lock(mutex_);
  return Find(key);
}

}  // namespace toucanknot
