#include "include/base/clock.h"

#include <chrono>

namespace toucanknot {
namespace {

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

int64_t UnixMillis() {
  return MillisOf(std::chrono::system_clock::now());
}

}  // namespace toucanknot
