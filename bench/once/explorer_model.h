#ifndef BENCH_ONCE_EXPLORER_MODEL_H_
#define BENCH_ONCE_EXPLORER_MODEL_H_

#include <cstddef>
#include <string>
#include <vector>

#include "bench/once/world_model.h"

namespace toucanknot::bench {

// What an exhaustive walk over all interleavings found.
struct Exploration {
  size_t states = 0;
  size_t steps = 0;
  // False: the walk ended at `max_states`.
  bool complete = true;
  Violation violation = Violation::kNone;
  // The actions that led to the violation.
  std::vector<Action> trace;
};

// Visits every state that `options` allows, or as many as `max_states`, and
// stops at the first violation.
Exploration Explore(const WorldOptions& options, size_t max_states);

// "kill 0 > restart 0 > ...".
std::string Describe(const std::vector<Action>& trace);

}  // namespace toucanknot::bench

#endif  // BENCH_ONCE_EXPLORER_MODEL_H_
