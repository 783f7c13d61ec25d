#ifndef INCLUDE_BASE_CLOCK_H_
#define INCLUDE_BASE_CLOCK_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <limits>

namespace toucanknot {

// A length of time in whole milliseconds. May be negative.
class Duration {
 public:
  constexpr Duration() = default;
  constexpr explicit Duration(int64_t ms) : ms_(ms) {}

  // Longer than any duration in use; small enough that sums do not overflow.
  static constexpr Duration Max() {
    return Duration(std::numeric_limits<int64_t>::max() / 4);
  }
  static constexpr Duration Seconds(int64_t s) { return Duration(s * 1000); }

  constexpr int64_t ms() const { return ms_; }
  constexpr double seconds() const { return static_cast<double>(ms_) / 1000; }

  // The linter mistakes the 0 in a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  constexpr auto operator<=>(const Duration&) const = default;
  constexpr Duration operator+(Duration d) const {
    return Duration(ms_ + d.ms_);
  }
  constexpr Duration operator-(Duration d) const {
    return Duration(ms_ - d.ms_);
  }
  constexpr Duration operator*(int64_t n) const { return Duration(ms_ * n); }
  constexpr Duration operator/(int64_t n) const { return Duration(ms_ / n); }

 private:
  int64_t ms_ = 0;
};

// A point in time on the process's monotonic clock, in milliseconds since an
// origin that is specific to the process. Never sent to other processes:
// messages carry ages and lifetimes as Duration instead.
class Instant {
 public:
  constexpr Instant() = default;
  constexpr explicit Instant(int64_t ms) : ms_(ms) {}

  // Later than any point in time in use.
  static constexpr Instant Never() {
    return Instant(std::numeric_limits<int64_t>::max() / 2);
  }

  constexpr int64_t ms() const { return ms_; }

  // The linter mistakes the 0 in a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  constexpr auto operator<=>(const Instant&) const = default;
  constexpr Instant operator+(Duration d) const {
    return Instant(ms_ + d.ms());
  }
  constexpr Instant operator-(Duration d) const {
    return Instant(ms_ - d.ms());
  }
  constexpr Duration operator-(Instant t) const {
    return Duration(ms_ - t.ms_);
  }

 private:
  int64_t ms_ = 0;
};

// Clock of the code that performs I/O. The decision logic never reads a clock:
// its functions take the current time as an argument.
using ClockFn = std::function<Instant()>;

// The process's monotonic clock.
Instant SteadyNow();

// A monotonic clock that, unlike SteadyNow(), also counts the time for which
// the machine was suspended. Its instants must not be mixed with SteadyNow()'s.
Instant BootNow();

// Milliseconds since the Unix epoch. Used for output and for the expiry of
// exceptions, never where correctness depends on it, because the clock may be
// set.
int64_t UnixMillis();

}  // namespace toucanknot

#endif  // INCLUDE_BASE_CLOCK_H_
