#ifndef BENCH_STEERING_EVENT_QUEUE_H_
#define BENCH_STEERING_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "include/base/clock.h"

namespace toucanknot::bench {

// Simulated time in microseconds and the events scheduled on it. Events of the
// same time run in the order in which they were added.
class EventQueue {
 public:
  using Action = std::function<void()>;

  int64_t now_us() const { return now_us_; }
  Instant now() const { return Instant(now_us_ / 1000); }

  void ScheduleAt(int64_t us, Action action) {
    events_.push({us, next_++, std::move(action)});
  }
  void ScheduleAfter(int64_t us, Action action) {
    ScheduleAt(now_us_ + us, std::move(action));
  }

  // Runs all events up to and including `us`.
  void RunUntil(int64_t us) {
    while (!events_.empty() && events_.top().us <= us) {
      now_us_ = events_.top().us;
      const Action action = std::move(events_.top().action);
      events_.pop();
      action();
    }
    now_us_ = us;
  }

 private:
  struct Event {
    int64_t us;
    uint64_t order;
    mutable Action action;

    bool operator<(const Event& other) const {
      return std::pair(us, order) > std::pair(other.us, other.order);
    }
  };

  int64_t now_us_ = 0;
  uint64_t next_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace toucanknot::bench

#endif  // BENCH_STEERING_EVENT_QUEUE_H_
