#include "src/entry/caller_room.h"

namespace toucanknot {
namespace {

// Percentages of the descriptors for callers: a host that has used up the first
// accepts new callers again below the second.
constexpr int64_t kFullPercent = 97;
constexpr int64_t kFreePercent = 85;

}  // namespace

bool CallerRoom::Update(int64_t open_connections, uint64_t accept_failures) {
  const bool failed = accept_failures != accept_failures_;
  accept_failures_ = accept_failures;
  const int64_t percent = open_connections * 100 / max_connections_;
  const bool full = failed || percent >= (full_ ? kFreePercent : kFullPercent);
  const bool changed = full != full_;
  full_ = full;
  return changed;
}

}  // namespace toucanknot
