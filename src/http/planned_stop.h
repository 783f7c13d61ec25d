#ifndef SRC_HTTP_PLANNED_STOP_H_
#define SRC_HTTP_PLANNED_STOP_H_

#include <atomic>
#include <cstdint>

#include "include/base/clock.h"

namespace toucanknot {

// When the process ends, known from the stop signal on, and which requests may
// still be passed on until then. A request that is cut when the process ends is
// lost to its caller, while one that is refused can go to another host at once.
// Thread-safe.
class PlannedStop {
 public:
  // A request that is to be passed on.
  struct Work {
    // When it ends, answered or not.
    Instant deadline;
    // Expected time to its response; zero while it is unknown.
    Duration expected;
    // Whether its caller may send it again after it was cut.
    bool repeatable = false;
  };

  // Time from the last response to the end of the process.
  static constexpr Duration kAnswerMargin{100};

  // The process ends at `end`. Until `notice_until`, callers may not know yet
  // that it stops.
  void Begin(Instant notice_until, Instant end);
  bool begun() const { return answer_by() != Instant::Never(); }

  // When the last response must be there; Never() before Begin().
  Instant answer_by() const { return Instant(answer_by_ms_.load()); }
  // The latest time at which the request may be passed on; Never() if the stop
  // does not limit it.
  Instant LatestSend(const Work& work) const;
  bool MaySend(const Work& work) const {
    return SteadyNow() <= LatestSend(work);
  }

 private:
  std::atomic<int64_t> notice_until_ms_{Instant::Never().ms()};
  std::atomic<int64_t> answer_by_ms_{Instant::Never().ms()};
};

}  // namespace toucanknot

#endif  // SRC_HTTP_PLANNED_STOP_H_
