#include "include/health/leaving_signals.h"

#include <algorithm>

namespace toucanknot {

void LeavingSignals::Note(LeavingSource source, bool leaving, Instant seen) {
  if (leaving) {
    Set(source, seen);
    return;
  }
  switch (source) {
    case LeavingSource::kException: {
      Sign& sign = signs_[static_cast<size_t>(source)];
      count_ -= sign.leaving ? 1 : 0;
      sign.leaving = false;
      break;
    }
    case LeavingSource::kProbe:
      Clear(LeavingSource::kProbe, seen);
      Clear(LeavingSource::kAnswer, seen);
      Clear(LeavingSource::kPeer, seen);
      break;
    case LeavingSource::kHostList:
      Clear(LeavingSource::kHostList, seen);
      break;
    case LeavingSource::kAnswer:
    case LeavingSource::kPeer:
      // A response or a peer that does not mention it proves nothing.
      break;
  }
}

Instant LeavingSignals::since() const {
  Instant newest;
  for (const Sign& it : signs_) {
    if (it.leaving)
      newest = std::max(newest, it.seen);
  }
  return newest;
}

void LeavingSignals::Set(LeavingSource source, Instant seen) {
  Sign& sign = signs_[static_cast<size_t>(source)];
  if (!sign.leaving && seen <= sign.seen)
    return;
  count_ += sign.leaving ? 0 : 1;
  sign.seen = std::max(sign.seen, seen);
  sign.leaving = true;
}

void LeavingSignals::Clear(LeavingSource source, Instant seen) {
  Sign& sign = signs_[static_cast<size_t>(source)];
  if (seen < sign.seen + kLag)
    return;
  count_ -= sign.leaving ? 1 : 0;
  sign.leaving = false;
  sign.seen = seen - kLag;
}

}  // namespace toucanknot
