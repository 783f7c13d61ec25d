#ifndef BENCH_ONCE_SCHEDULE_MODEL_H_
#define BENCH_ONCE_SCHEDULE_MODEL_H_

#include <cstdint>
#include <vector>

#include "bench/once/world_model.h"

namespace toucanknot::bench {

// How a random schedule ended.
struct ScheduleEnd {
  Violation violation = Violation::kNone;
  Verdict known_verdict = Verdict::kUnknown;
  int runs = 0;
  bool bytes_sent = false;
  // A host died or stopped, a zone was cut off or the store went down.
  bool disturbed = false;
  int messages = 0;
  std::vector<Action> trace;
};

// A deployment of 7 hosts in 6 zones with dying hosts and zones that are cut
// off.
WorldOptions FaultyWorld(Design design);
// The same, but only host 0 dies, once, at a time uniformly distributed over
// the duration of the request without faults; it may restart. No reply on its
// way times out.
WorldOptions OneDeathWorld(Design design);
// The same, but the hosts stop gracefully. For tickets only.
WorldOptions GracefulWorld(Design design);
// The same without faults, and with one request.
WorldOptions CalmWorld(Design design);

// Runs one random schedule, determined by `seed`. Where the options allow
// faults, the seed also determines how many.
ScheduleEnd RunSchedule(const WorldOptions& options, uint64_t seed);

// The totals of many schedules.
struct ScheduleSummary {
  int schedules = 0;
  int disturbed = 0;
  int doubled = 0;
  int false_refusals = 0;
  int false_ran = 0;
  // By the last verdict that the caller got.
  int reported_ran = 0;
  int reported_not_run = 0;
  int unknown = 0;
  // Unknown although no byte had left a host.
  int unknown_unsent = 0;
  int64_t messages = 0;
  // The seeds of the first few schedules with a violation.
  std::vector<uint64_t> bad_seeds;
  // The seeds of the first few schedules that ended unknown.
  std::vector<uint64_t> unknown_seeds;
};

// Schedules with the seeds `first_seed`, `first_seed` + 1, ...
ScheduleSummary RunSchedules(const WorldOptions& options,
                             uint64_t first_seed,
                             int count);

}  // namespace toucanknot::bench

#endif  // BENCH_ONCE_SCHEDULE_MODEL_H_
