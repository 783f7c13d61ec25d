#include "include/base/clock.h"

#include <time.h>

#include <chrono>

namespace toucanknot {
namespace {

constexpr int64_t kMsPerSecond = 1'000;
constexpr int64_t kNsPerMs = 1'000'000;

template <typename Point>
int64_t MillisOf(Point t) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             t.time_since_epoch())
      .count();
}

}  // namespace

Instant SteadyNow() {
  return Instant(MillisOf(std::chrono::steady_clock::now()));
}

Instant BootNow() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(now.tv_sec * kMsPerSecond + now.tv_nsec / kNsPerMs);
}

int64_t UnixMillis() {
  return MillisOf(std::chrono::system_clock::now());
}

}  // namespace toucanknot
