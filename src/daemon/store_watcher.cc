#include "src/daemon/store_watcher.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <random>
#include <utility>

namespace toucanknot {
namespace {

// Short enough for a graceful shutdown to wait for.
constexpr Duration kWatchLimit{2'000};
constexpr Duration kHostListInterval{2'000};
constexpr Duration kMinPause{100};
constexpr Duration kMaxPause{5'000};

}  // namespace

StoreWatcher::StoreWatcher(std::shared_ptr<Store> store,
                           uint64_t seed,
                           Hooks hooks)
    : store_(std::move(store)),
      hooks_(std::move(hooks)),
      seed_(seed),
      thread_([this] { Run(); }) {}

StoreWatcher::~StoreWatcher() {
  {
    const std::lock_guard lock(mutex_);
    stop_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

void StoreWatcher::SetReading(bool reading) {
  {
    const std::lock_guard lock(mutex_);
    reading_ = reading;
  }
  wake_.notify_all();
}

void StoreWatcher::Run() {
  std::minstd_rand random(seed_);
  Duration pause = kMinPause;
  std::optional<bool> up;
  for (;;) {
    {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return reading_ || stop_; });
      if (stop_)
        return;
    }
    std::string error;
    try {
      ReadOnce();
    } catch (const std::exception& e) {
      error = e.what();
    }
    if (up != error.empty()) {
      up = error.empty();
      hooks_.on_state(*up, error);
    }
    if (*up) {
      pause = kMinPause;
      continue;
    }
    ++failures_;
    std::uniform_int_distribution<int64_t> jitter(pause.ms() / 2, pause.ms());
    Pause(Duration(jitter(random)));
    pause = std::min(pause * 2, kMaxPause);
  }
}

void StoreWatcher::ReadOnce() {
  if (seen_ == 0) {
    ++calls_;
    const RootSnapshot snapshot = ReadRootSnapshot(*store_);
    if (snapshot.exists())
      hooks_.on_offer(FetchOffer(*store_, snapshot.root));
    seen_ = snapshot.revision;
  }
  if (SteadyNow() - hosts_read_at_ >= kHostListInterval) {
    ++calls_;
    hooks_.on_hosts(store_->Hosts());
    hosts_read_at_ = SteadyNow();
  }
  ++calls_;
  const auto value = store_->Watch(kRootKey, seen_, kWatchLimit);
  if (!value)
    return;
  hooks_.on_offer(FetchOffer(*store_, ReadRoot(value->data)));
  seen_ = value->revision;
}

void StoreWatcher::Pause(Duration d) {
  std::unique_lock lock(mutex_);
  wake_.wait_for(lock, std::chrono::milliseconds(d.ms()),
                 [this] { return stop_; });
}

}  // namespace toucanknot
