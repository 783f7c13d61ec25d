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
      Signal& signal = signals_[static_cast<size_t>(source)];
      count_ -= signal.leaving ? 1 : 0;
      signal.leaving = false;
      break;
    }
    case LeavingSource::kProbe:
      Clear(LeavingSource::kProbe, seen);
      Clear(LeavingSource::kResponse, seen);
      Clear(LeavingSource::kPeer, seen);
      break;
    case LeavingSource::kHostList:
      Clear(LeavingSource::kHostList, seen);
      break;
    case LeavingSource::kResponse:
    case LeavingSource::kPeer:
      // A response or a peer that does not mention it proves nothing.
      break;
  }
}

Instant LeavingSignals::since() const {
  Instant newest;
  for (const Signal& it : signals_) {
    if (it.leaving)
      newest = std::max(newest, it.seen);
  }
  return newest;
}

void LeavingSignals::Set(LeavingSource source, Instant seen) {
  Signal& signal = signals_[static_cast<size_t>(source)];
  if (!signal.leaving && seen <= signal.seen)
    return;
  count_ += signal.leaving ? 0 : 1;
  signal.seen = std::max(signal.seen, seen);
  signal.leaving = true;
}

void LeavingSignals::Clear(LeavingSource source, Instant seen) {
  Signal& signal = signals_[static_cast<size_t>(source)];
  if (seen < signal.seen + kLag)
    return;
  count_ -= signal.leaving ? 1 : 0;
  signal.leaving = false;
  signal.seen = seen - kLag;
}

}  // namespace toucanknot
