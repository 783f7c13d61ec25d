#ifndef SOAK_FAULT_TIMES_H_
#define SOAK_FAULT_TIMES_H_

#include <map>
#include <string>
#include <vector>

#include "include/base/clock.h"

namespace toucanknot::soak {

// Records when each subject was affected by faults, so that invariants with a
// time bound are checked only for subjects without a recent fault. A subject is
// the id of a host or server, or one of the names below.
class FaultTimes {
 public:
  // Any fault of the store; any fault but those of the store and of links to
  // it, planned stops and planned changes.
  static constexpr char kStore[] = "store";
  static constexpr char kUnplanned[] = "unplanned";

  // A subject counts as affected for this long after the end of a fault: within
  // this time a host that was cut off must have the newest state again.
  static constexpr Duration kSettle{3'000};

  void Begin(const std::string& subject) { ++faults_[subject].running; }
  void End(const std::string& subject, Instant now);

  // Whether the subject had no fault from kSettle before `from` until now.
  bool CalmSince(const std::string& subject, Instant from) const;

 private:
  struct Subject {
    int running = 0;
    Instant ended_at;
  };

  std::map<std::string, Subject> faults_;
};

// Marks its subjects as affected by a fault for the lifetime of the object.
class FaultSpan {
 public:
  FaultSpan(FaultTimes& times, std::vector<std::string> subjects);
  ~FaultSpan();
  FaultSpan(const FaultSpan&) = delete;
  FaultSpan& operator=(const FaultSpan&) = delete;

 private:
  FaultTimes& times_;
  const std::vector<std::string> subjects_;
};

}  // namespace toucanknot::soak

#endif  // SOAK_FAULT_TIMES_H_
