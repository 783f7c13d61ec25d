#ifndef INCLUDE_HEALTH_KNOWN_GOOD_SET_H_
#define INCLUDE_HEALTH_KNOWN_GOOD_SET_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "include/base/clock.h"

namespace toucanknot {

// Fingerprints that have run whole lately. Fixed memory: a newer fingerprint
// takes the place of an older one that falls on the same slot, which makes the
// set forget and never remember wrongly.
class KnownGoodSet {
 public:
  static constexpr size_t kSlots = 8'192;
  // How long a whole answer counts.
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

 private:
  struct Slot {
    uint64_t fingerprint = 0;
    Instant end;
  };

  std::vector<Slot> slots_;
};

}  // namespace toucanknot

#endif  // INCLUDE_HEALTH_KNOWN_GOOD_SET_H_
