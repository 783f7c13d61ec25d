#ifndef SOAK_FAULT_TIMES_H_
#define SOAK_FAULT_TIMES_H_

#include <map>
#include <string>
#include <vector>

#include "include/base/clock.h"

namespace toucanknot::soak {

// When what was in trouble, so that promises with a time bound are asked only
// of what was left alone. A subject is a host, a server, or one of the names
// below.
class FaultTimes {
 public:
  // A fault of the store, or one that is not a planned stop or change.
  static constexpr char kStore[] = "store";
  static constexpr char kUnplanned[] = "unplanned";

  // What was in trouble counts as such for this long after: the time in which
  // a host that was cut off must know the newest state again.
  static constexpr Duration kSettle{3'000};

  void Begin(const std::string& subject) { ++faults_[subject].running; }
  void End(const std::string& subject, Instant now);

  // Whether nothing happened to it from kSettle before `from` until now.
  bool CalmSince(const std::string& subject, Instant from) const;

 private:
  struct Subject {
    int running = 0;
    Instant ended_at;
  };

  std::map<std::string, Subject> faults_;
};

// One fault: its subjects are in trouble for as long as it lives.
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
