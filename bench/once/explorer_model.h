#ifndef BENCH_ONCE_EXPLORER_MODEL_H_
#define BENCH_ONCE_EXPLORER_MODEL_H_

#include <cstddef>
#include <string>
#include <vector>

#include "bench/once/world_model.h"

namespace toucanknot::bench {

// The result of an exhaustive search over all interleavings.
struct Exploration {
  size_t states = 0;
  size_t steps = 0;
  // False: the search stopped at `max_states`.
  bool complete = true;
  Violation violation = Violation::kNone;
  // The actions that led to the violation.
  std::vector<Action> trace;
};

// Visits every state that `options` allows, but at most `max_states`, and stops
// at the first violation.
Exploration Explore(const WorldOptions& options, size_t max_states);

// The trace as text: "kill 0 > restart 0 > ...".
std::string Describe(const std::vector<Action>& trace);

}  // namespace toucanknot::bench

#endif  // BENCH_ONCE_EXPLORER_MODEL_H_
