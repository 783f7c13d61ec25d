#ifndef INCLUDE_HEALTH_KNOWN_GOOD_SET_H_
#define INCLUDE_HEALTH_KNOWN_GOOD_SET_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "include/base/clock.h"

namespace toucanknot {

// Fingerprints of requests that completed recently. Memory is fixed: a newer
// fingerprint replaces an older one that maps to the same slot, so the set may
// forget an entry but never holds a wrong one.
class KnownGoodSet {
 public:
  static constexpr size_t kSlots = 8'192;
  // How long a completed request counts.
  static constexpr Duration kLifetime{10'000};

  KnownGoodSet() : slots_(kSlots) {}

  void Add(uint64_t fingerprint, Instant now) {
    slots_[fingerprint % kSlots] = {fingerprint, now + kLifetime};
  }
  void Remove(uint64_t fingerprint) {
    Slot& slot = slots_[fingerprint % kSlots];
    if (slot.fingerprint == fingerprint)
      slot = Slot();
  }
  bool Contains(uint64_t fingerprint, Instant now) const {
    const Slot& slot = slots_[fingerprint % kSlots];
    return slot.fingerprint == fingerprint && now < slot.end;
  }
  // When the request completed last, as long as that is remembered.
  std::optional<Instant> CompletedAt(uint64_t fingerprint) const {
    const Slot& slot = slots_[fingerprint % kSlots];
    if (slot.fingerprint != fingerprint || slot.end == Instant())
      return std::nullopt;
    return slot.end - kLifetime;
  }

 private:
  struct Slot {
    uint64_t fingerprint = 0;
    Instant end;
  };

  std::vector<Slot> slots_;
};

}  // namespace toucanknot

#endif  // INCLUDE_HEALTH_KNOWN_GOOD_SET_H_
