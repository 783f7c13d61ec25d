#ifndef INCLUDE_PLACING_DEMAND_H_
#define INCLUDE_PLACING_DEMAND_H_

#include "include/base/clock.h"

namespace toucanknot {

// Moving average of the work that one host's callers bring to a service.
// Measured as the time that requests need on a server that has their objects
// cached, so that it does not grow while servers are slow. Does no I/O.
class Demand {
 public:
  // Adds a request that needs `ms` of slot time.
  void Add(double ms, Instant now);
  // Average number of slots needed.
  double Slots(Instant now) const;

 private:
  // Slot time in ms, decayed exponentially with age.
  double slot_ms_ = 0;
  Instant updated_at_;
  Instant started_at_;
};

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_DEMAND_H_
