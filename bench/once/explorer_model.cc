#include "bench/once/explorer_model.h"

#include <xxhash.h>

#include <unordered_set>

namespace toucanknot::bench {
namespace {

// States are identified by a 128-bit hash of their key.
struct StateId {
  uint64_t low = 0;
  uint64_t high = 0;

  bool operator==(const StateId&) const = default;
};

struct HashStateId {
  size_t operator()(const StateId& id) const { return id.low; }
};

StateId StateIdOf(const World& world) {
  const std::string key = world.Key();
  const XXH128_hash_t hash = XXH3_128bits(key.data(), key.size());
  return {hash.low64, hash.high64};
}

// Depth-first search: the current path is short, and each of its worlds is
// kept.
class DepthFirstSearch {
 public:
  explicit DepthFirstSearch(size_t max_states) : max_states_(max_states) {}

  void Visit(const World& world) {
    if (!seen_.insert(StateIdOf(world)).second)
      return;
    ++result_.states;
    for (const Action& it : world.EnabledActions()) {
      if (result_.states >= max_states_) {
        result_.complete = false;
        return;
      }
      World next(world);
      next.Apply(it);
      ++result_.steps;
      path_.push_back(it);
      if (next.violation() != Violation::kNone) {
        result_.violation = next.violation();
        result_.trace = path_;
        return;
      }
      Visit(next);
      path_.pop_back();
      if (result_.violation != Violation::kNone)
        return;
    }
  }

  const Exploration& result() const { return result_; }

 private:
  size_t max_states_;
  std::unordered_set<StateId, HashStateId> seen_;
  std::vector<Action> path_;
  Exploration result_;
};

}  // namespace

Exploration Explore(const WorldOptions& options, size_t max_states) {
  DepthFirstSearch search(max_states);
  search.Visit(World(options));
  return search.result();
}

std::string Describe(const std::vector<Action>& trace) {
  std::string text;
  for (const Action& it : trace) {
    if (!text.empty())
      text += " > ";
    text +=
        std::string(kActionNames.Name(it.kind)) + ' ' + std::to_string(it.a);
    if (it.kind == ActionKind::kSend)
      text += " to " + std::to_string(it.c);
  }
  return text;
}

}  // namespace toucanknot::bench
