#ifndef BENCH_ONCE_SCHEDULE_MODEL_H_
#define BENCH_ONCE_SCHEDULE_MODEL_H_

#include <cstdint>
#include <vector>

#include "bench/once/world_model.h"

namespace toucanknot::bench {

// How a random schedule ended.
struct ScheduleEnd {
  Violation violation = Violation::kNone;
  Verdict known = Verdict::kUnknown;
  int runs = 0;
  bool bytes_left = false;
  // A host died or stopped, a zone was cut off or the store went down.
  bool disturbed = false;
  int messages = 0;
  std::vector<Action> trace;
};

// A deployment of 7 hosts in 6 zones whose hosts die and whose zones are cut.
WorldOptions FaultyWorld(Design design);
// The same, but only host 0 dies, once, at an instant that is spread evenly
// over the time that the request takes when nothing fails; it comes back or
// not. Nothing is given up while a reply is on its way.
WorldOptions OneDeathWorld(Design design);
// The same, but the hosts stop gracefully. For tickets.
WorldOptions GracefulWorld(Design design);
// The same without faults, and with one request.
WorldOptions CalmWorld(Design design);

// One random schedule; the same `seed` gives the same one. Where the options
// allow faults, the seed also draws how many.
ScheduleEnd RunSchedule(const WorldOptions& options, uint64_t seed);

// What many schedules came to.
struct ScheduleSummary {
  int schedules = 0;
  int disturbed = 0;
  int doubled = 0;
  int false_refusals = 0;
  int false_ran = 0;
  // By the caller's last knowledge.
  int told_ran = 0;
  int told_not_run = 0;
  int unknown = 0;
  // Of the unknown: no byte had left a host.
  int unknown_unsent = 0;
  int64_t messages = 0;
  // Seeds of the schedules with a violation, the first few.
  std::vector<uint64_t> bad_seeds;
  // The same of those that left the caller without the truth.
  std::vector<uint64_t> unknown_seeds;
};

// Schedules with the seeds `first_seed`, `first_seed` + 1, ...
ScheduleSummary RunSchedules(const WorldOptions& options,
                             uint64_t first_seed,
                             int count);

}  // namespace toucanknot::bench

#endif  // BENCH_ONCE_SCHEDULE_MODEL_H_
