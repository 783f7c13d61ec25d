#ifndef SOAK_FAULT_HISTORY_H_
#define SOAK_FAULT_HISTORY_H_

#include <map>
#include <string>
#include <vector>

#include "include/base/clock.h"

namespace toucanknot::soak {

// Records when each subject was affected by faults, so that invariants with a
// time bound are checked only for subjects without a recent fault. A subject is
// the id of a host or server, or one of the names below.
class FaultHistory {
 public:
  // Any fault of the store; any fault but those of the store and of links to
  // it, planned stops and planned changes.
  static constexpr char kStore[] = "store";
  static constexpr char kUnplanned[] = "unplanned";

  // A subject counts as affected for this long after the end of a fault: within
  // this time a host that was cut off must have the newest state again.
  static constexpr Duration kSettleTime{3'000};

  // Records the begin and the end of a fault of `subject`; faults may overlap.
  void Begin(const std::string& subject) { ++faults_[subject].running; }
  void End(const std::string& subject, Instant now);

  // Whether the subject had no fault from kSettleTime before `from` until now.
  bool FaultFreeSince(const std::string& subject, Instant from) const;

 private:
  struct Subject {
    int running = 0;
    Instant ended_at;
  };

  std::map<std::string, Subject> faults_;
};

// Marks its subjects as affected by a fault for the lifetime of the object.
class ScopedFault {
 public:
  ScopedFault(FaultHistory& history, std::vector<std::string> subjects);
  ~ScopedFault();
  ScopedFault(const ScopedFault&) = delete;
  ScopedFault& operator=(const ScopedFault&) = delete;

 private:
  FaultHistory& history_;
  const std::vector<std::string> subjects_;
};

}  // namespace toucanknot::soak

#endif  // SOAK_FAULT_HISTORY_H_
